//! Jobs: what users ask for, how it is recorded in the state service, and a cache of all records.

pub mod api;
pub mod cache;
pub mod cancel;
pub mod completion_forwarding;
pub mod crash_loop;
pub mod record;

use serde::{Deserialize, Serialize};

use crate::types::{
    AgentEpoch, Attempt, Image, MachineId, MachineTypeId, Resources, ShardId, Team, Zone,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority; the greater goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    BestEffort,
    Normal,
    Urgent,
    Critical,
}

/// What a user asked for, checked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "lot")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: Team,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: PriorityClass,
    #[serde(rename = "picks")]
    pub tasks: u32,
    /// What each task takes.
    #[serde(rename = "room")]
    pub resources: Resources,
    #[serde(rename = "kit")]
    pub image: Image,
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "rigs")]
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The only allowed zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yard")]
    pub zone: Option<Zone>,
    pub one_zone: bool,
    pub spread: bool,
    /// Whether spot machines will do.
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

impl JobSpec {
    pub fn allows(&self, machine_type: &MachineTypeId, zone: &Zone, spot: bool) -> bool {
        self.machine_types
            .as_ref()
            .is_none_or(|machine_types| machine_types.contains(machine_type))
            && self.zone.as_ref().is_none_or(|allowed| allowed == zone)
            && (self.spot || !spot)
    }

    /// Whether its tasks give way to urgent work without much loss.
    pub fn yields(&self) -> bool {
        self.priority < PriorityClass::Urgent
            && self.checkpoint_s > 0.0
            && self.kind == JobKind::Array
    }

    /// Whether stopping a task at once wastes about as little as letting it save: what it did since
    /// its last checkpoint, against the time to save during which its room is of no use.
    pub fn cheap_to_kill(&self) -> bool {
        self.checkpoint_s > 0.0 && self.checkpoint_s <= 3.0 * self.save_s
    }

    /// With `spread`, the most tasks that may be in one zone.
    pub fn zone_share(&self) -> u32 {
        self.tasks.div_ceil(2)
    }
}

/// Where a task was put, as committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    pub machine_id: MachineId,
    pub shard: ShardId,
    pub agent_epoch: AgentEpoch,
    pub attempt: Attempt,
}

/// What the record says of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// On no machine; `tried` is the highest attempt so far.
    Waiting {
        tried: Attempt,
    },
    /// On this machine, or on its way there, or not yet proven gone from it.
    Placed(Placement),
    Done,
}

impl Task {
    pub const FRESH: Task = Task::Waiting { tried: Attempt(0) };

    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Task::Placed(placement) => Some(placement),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Active,
    /// Its user has cancelled it, and is told so once no task of it is left anywhere.
    Aborting,
    Done,
    Aborted,
}
