//! One machine: its worker's state, the tasks on it, and the faults injected into it.

use std::collections::{BTreeMap, HashMap};

use jaspertiller::types::{
    AgentEpoch, Attempt, Image, MachineId, Millis, TaskId, WorkerToken, Zone,
};
use jaspertiller::workers::wire::{ExitCause, Heartbeat, TaskStage, TaskStatus};

use crate::config::MachineType;

/// A stage of a task that no time ends.
pub(super) const NEVER: Millis = Millis(u64::MAX);

/// A task on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// The attempt that the controller started.
    pub attempt: Attempt,
    /// What the task does now.
    pub stage: TaskStage,
    pub(super) cause: Option<ExitCause>,
    /// It saved its progress before it exited.
    pub(super) checkpointed: bool,
    /// When the present stage ends.
    pub(super) stage_ends_at: Millis,
    /// When it began to run.
    pub(super) running_since: Millis,
    /// When it was first asked to stop.
    pub(super) stop_requested_at: Option<Millis>,
}

impl Task {
    /// Whether its image is there and it has not exited.
    pub fn on_machine(&self) -> bool {
        use TaskStage::{Running, Saving, Waiting};
        matches!(self.stage, Running | Saving | Waiting)
    }

    /// Whether it has exited.
    pub(super) fn is_exited(&self) -> bool {
        self.stage == TaskStage::Exited
    }

    pub(super) fn exit(&mut self, cause: ExitCause) {
        self.stage = TaskStage::Exited;
        self.cause = Some(cause);
    }

    pub(super) fn run(&mut self, now: Millis, ends_at: Millis) {
        self.stage = TaskStage::Running;
        self.running_since = now;
        self.stage_ends_at = ends_at;
    }

    fn status(&self, id: &TaskId) -> TaskStatus {
        TaskStatus {
            task: id.to_string(),
            attempt: self.attempt,
            stage: self.stage,
            cause: self.cause,
            checkpoint_saved: self.checkpointed.then_some(true),
        }
    }
}

/// A worker machine.
pub struct Machine {
    /// Zone that it is in.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When it was rented.
    pub rented_at: Millis,
    /// When it has booted.
    pub up_at: Millis,
    /// Counts the starts of its agent and the expiries of its lease.
    pub agent_epoch: u64,
    pub(super) heartbeat_sequence: u64,
    /// The highest worker token that it has seen.
    pub worker_token: WorkerToken,
    /// When its lease was renewed last: when the heartbeat was sent that got the response.
    pub(super) lease_start: Millis,
    /// Index of the controller that it sends heartbeats to.
    pub controller: usize,
    pub(super) next_heartbeat: Millis,
    /// The heartbeat that waits for its response: when it was sent, and its sequence number.
    pub(super) in_flight: Option<(Millis, u64)>,
    /// Its tasks, with those that exited and that no controller has let it forget.
    pub tasks: BTreeMap<TaskId, Task>,
    /// When each image is, or will be, on the machine.
    pub(super) image_ready_at: HashMap<Image, Millis>,
    /// When it stopped for good.
    pub stopped_at: Option<Millis>,
    /// Tasks fail as they start on it.
    pub faulty: bool,
    /// Nothing reaches it and nothing that it sends arrives until then.
    pub unreachable_until: Millis,
    /// It is suspended until then.
    pub hung_until: Millis,
    /// Its heartbeats arrive, but nothing reaches it until then.
    pub commands_lost_until: Millis,
    /// Its heartbeats reach no controller until then, though direct commands reach it.
    pub heartbeats_lost_until: Millis,
    /// Only this controller's responses and commands reach it until then.
    pub reached_only_by: Option<(usize, Millis)>,
    /// The controller whose response renewed its lease last, and when.
    pub last_renewal: Option<(usize, Millis)>,
    /// When it last rebooted.
    pub rebooted_at: Millis,
    /// Address of its agent.
    pub address: String,
}

impl Machine {
    /// A machine that heartbeats to this controller once it has booted.
    pub(super) fn new(
        zone: Zone,
        spot: bool,
        rented_at: Millis,
        up_at: Millis,
        controller: usize,
    ) -> Self {
        Self {
            zone,
            spot,
            rented_at,
            up_at,
            agent_epoch: 1,
            heartbeat_sequence: 0,
            worker_token: WorkerToken(0),
            lease_start: up_at,
            controller,
            next_heartbeat: up_at,
            in_flight: None,
            tasks: BTreeMap::new(),
            image_ready_at: HashMap::new(),
            stopped_at: None,
            faulty: false,
            unreachable_until: Millis(0),
            hung_until: Millis(0),
            commands_lost_until: Millis(0),
            heartbeats_lost_until: Millis(0),
            reached_only_by: None,
            last_renewal: None,
            rebooted_at: Millis(0),
            address: "10.1.0.1:1".into(),
        }
    }

    /// Whether it has not stopped for good.
    pub(super) fn is_running(&self) -> bool {
        self.stopped_at.is_none()
    }

    /// Whether its lease, of this length, has expired.
    pub(super) fn is_lease_expired(&self, lease: Millis, now: Millis) -> bool {
        now > self.lease_start + lease
    }

    /// Stops it for good.
    pub(super) fn stop(&mut self, now: Millis) {
        self.stopped_at.get_or_insert(now);
        self.tasks.clear();
    }

    /// Starts a new agent epoch and kills its tasks, as a worker does when its lease expires.
    pub(super) fn expire_lease(&mut self, now: Millis) {
        self.agent_epoch += 1;
        self.lease_start = now;
        self.tasks.clear();
        self.in_flight = None;
    }

    /// Has the next heartbeat sent at this time at the latest.
    pub(super) fn heartbeat_by(&mut self, at: Millis) {
        self.next_heartbeat = self.next_heartbeat.min(at);
    }

    /// Sends heartbeats to the next controller from `at` on.
    pub(super) fn try_next_controller(&mut self, controllers: usize, at: Millis) {
        self.controller = (self.controller + 1) % controllers;
        self.next_heartbeat = at;
    }

    pub(super) fn heartbeat(
        &self,
        machine_id: &MachineId,
        machine_type: &MachineType,
    ) -> Heartbeat {
        let tasks = self.tasks.iter().map(|(id, task)| task.status(id));
        Heartbeat {
            machine_id: machine_id.clone(),
            address: self.address.clone(),
            machine_type: machine_type.id.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: AgentEpoch(self.agent_epoch),
            heartbeat_sequence: self.heartbeat_sequence,
            worker_token: self.worker_token,
            warning_s: None,
            tasks: tasks.collect(),
        }
    }
}

/// A heartbeat on its way to a controller.
#[derive(Clone, Debug)]
pub struct OutgoingHeartbeat {
    /// The machine that sends it.
    pub machine_id: MachineId,
    /// Index of the controller.
    pub controller: usize,
    /// What it says.
    pub heartbeat: Heartbeat,
}
