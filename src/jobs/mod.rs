//! Jobs: submissions, their records in the key-value store, and a cache of all records.
//!
//! The types here are shared by the rest of the controller. [`api`] is the user API, [`record`] the
//! encoding of the records, [`cache`] the cache of all jobs with the resources that they use,
//! [`cancel`] the cancellations that wait for the end of a job, [`crash_loop`] the detection of jobs
//! that fail on every machine, and [`completion_forwarding`] the reports of shard holders to the
//! owner of a job.

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

/// How the tasks of a job are scheduled relative to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks; each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks of which all run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job; the greater goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Runs on resources that the other priorities leave unused.
    BestEffort,
    /// The usual priority.
    Normal,
    /// May preempt lower priorities.
    Urgent,
    /// Goes before everything else.
    Critical,
}

/// A validated submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class of jobs to which the job belongs; service-level objectives are set per class.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: Team,
    /// Whether the tasks run independently, together or as replicas.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// The job's priority.
    #[serde(rename = "rank")]
    pub priority: PriorityClass,
    /// Number of tasks.
    #[serde(rename = "picks")]
    pub tasks: u32,
    /// The resources that each task requests.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The image that each task runs.
    #[serde(rename = "kit")]
    pub image: Image,
    /// Size of the image, in GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "rigs")]
    pub machine_types: Option<Vec<MachineTypeId>>,
    /// The only allowed zone; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yard")]
    pub zone: Option<Zone>,
    /// Whether all tasks must be in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    pub spot: bool,
    /// The user's estimate of how long a task runs, in seconds.
    pub estimate_s: f64,
    /// Seconds between checkpoints; zero: a task that stops loses all its work.
    pub checkpoint_s: f64,
    /// How long a task takes to save a checkpoint when it is asked to stop, in seconds.
    pub save_s: f64,
    /// Seconds after submission by which the job should be done; `None`: no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

/// If a job's checkpoints are at most this many saving times apart, killing a task is about as cheap
/// as a graceful eviction.
const CHEAP_CHECKPOINT_RATIO: f64 = 3.0;

impl JobSpec {
    /// Whether tasks may run on machines of this type in this zone; `spot`: whether these are spot
    /// machines.
    pub fn allows(&self, machine_type: &MachineTypeId, zone: &Zone, spot: bool) -> bool {
        self.machine_types
            .as_ref()
            .is_none_or(|machine_types| machine_types.contains(machine_type))
            && self.zone.as_ref().is_none_or(|allowed| allowed == zone)
            && (self.spot || !spot)
    }

    /// Whether its tasks can be preempted by urgent jobs without much loss.
    pub fn is_cheaply_preemptible(&self) -> bool {
        self.priority < PriorityClass::Urgent
            && self.checkpoint_s > 0.0
            && self.kind == JobKind::Array
    }

    /// Whether killing a task wastes about as little as a graceful eviction. A kill loses the work since
    /// the last checkpoint; an eviction blocks the task's resources while it saves.
    pub fn is_cheap_to_kill(&self) -> bool {
        self.checkpoint_s > 0.0 && self.checkpoint_s <= CHEAP_CHECKPOINT_RATIO * self.save_s
    }

    /// How many tasks may be in one zone if `spread` is set.
    pub fn max_tasks_per_zone(&self) -> u32 {
        self.tasks.div_ceil(2)
    }
}

/// Where a task was placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The machine that the task was placed on.
    pub machine_id: MachineId,
    /// The machine's shard.
    pub shard: ShardId,
    /// The epoch of the machine's agent; an agent that has restarted since has lost the task.
    pub agent_epoch: AgentEpoch,
    /// The attempt that this placement starts.
    pub attempt: Attempt,
}

/// The state of a task in the records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// On no machine.
    Waiting {
        /// The highest attempt so far; zero if the task was never placed.
        last_attempt: Attempt,
    },
    /// On this machine, or being started there, or not yet proven to have left it.
    Placed(Placement),
    /// Completed.
    Done,
}

impl Task {
    /// A task that was never placed.
    pub const NEVER_PLACED: Task = Task::Waiting {
        last_attempt: Attempt(0),
    };

    /// Where the task is placed, if it is.
    pub fn placement(&self) -> Option<&Placement> {
        match self {
            Task::Placed(placement) => Some(placement),
            _ => None,
        }
    }
}

/// The phase of a job in its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its tasks wait, run or are done.
    Active,
    /// Its user has cancelled it. The cancellation is confirmed once none of its tasks is left on any
    /// machine.
    Aborting,
    /// All tasks are done.
    Done,
    /// It was cancelled, and none of its tasks is left on any machine.
    Aborted,
}
