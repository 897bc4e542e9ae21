//! A single machine: the state of its worker, its tasks, and the faults injected into it.

use std::collections::{BTreeMap, HashMap};

use jaspertiller::types::{
    AgentEpoch, Attempt, Image, MachineId, Millis, TaskId, WorkerToken, Zone,
};
use jaspertiller::workers::wire::{ExitCause, Heartbeat, TaskStage, TaskStatus};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::config::MachineType;

/// End of a stage that does not end by time.
pub(super) const NEVER: Millis = Millis(u64::MAX);

/// The key of a task that a worker knows: a worker may know several attempts of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt that the controller started.
    pub attempt: Attempt,
}

/// The order in which a worker lists its attempts; the protocol prescribes none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrder {
    /// By task, earlier attempts first.
    EarliestFirst,
    /// Attempts on the machine, then those that have exited.
    LiveFirst,
    /// Attempts that have exited, then those on the machine.
    ExitedFirst,
    /// A new order in each heartbeat.
    Shuffled,
}

impl ListOrder {
    /// All orders.
    pub const ALL: [Self; 4] = [
        Self::EarliestFirst,
        Self::LiveFirst,
        Self::ExitedFirst,
        Self::Shuffled,
    ];

    /// Puts attempts, sorted by task and attempt, into this order.
    fn apply(self, statuses: &mut [TaskStatus], heartbeat_sequence: u64) {
        match self {
            Self::EarliestFirst => {}
            Self::LiveFirst => statuses.sort_by_key(|status| status.stage == TaskStage::Exited),
            Self::ExitedFirst => statuses.sort_by_key(|status| status.stage != TaskStage::Exited),
            Self::Shuffled => statuses.shuffle(&mut SmallRng::seed_from_u64(heartbeat_sequence)),
        }
    }
}

/// An attempt of a task on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// The current stage, which the worker reports in its heartbeats.
    pub stage: TaskStage,
    pub(super) cause: Option<ExitCause>,
    /// Whether the task saved its progress before it exited.
    pub(super) checkpointed: bool,
    /// When the current stage ends; [`NEVER`] if it does not end by time.
    pub(super) stage_ends_at: Millis,
    /// When the task entered the running stage; until then, when the worker received it.
    pub(super) running_since: Millis,
    /// When the task was first asked to stop.
    pub(super) stop_requested_at: Option<Millis>,
}

impl Task {
    /// Whether the task is waiting, running or saving: its image is fetched and it has not exited.
    pub fn on_machine(&self) -> bool {
        use TaskStage::{Running, Saving, Waiting};
        matches!(self.stage, Running | Saving | Waiting)
    }

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

    fn status(&self, id: &TaskAttempt) -> TaskStatus {
        TaskStatus {
            task: id.task.to_string(),
            attempt: id.attempt,
            stage: self.stage,
            cause: self.cause,
            checkpoint_saved: self.checkpointed.then_some(true),
        }
    }
}

/// A worker machine, with the faults that are injected into it. Times are those of the simulation.
pub struct Machine {
    /// Zone that the machine was rented in.
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// When the machine was rented.
    pub rented_at: Millis,
    /// When the machine has booted; before that it neither sends nor receives.
    pub up_at: Millis,
    /// Starts at 1 and grows with each start of the agent and each lease expiry; a reboot that resets the agent sets
    /// it back to 1.
    pub agent_epoch: u64,
    pub(super) heartbeat_sequence: u64,
    /// The highest worker token seen by the worker, which rejects commands with a lower one.
    pub worker_token: WorkerToken,
    /// Start of the current lease: when the heartbeat was sent whose response last renewed it.
    pub(super) lease_start: Millis,
    /// Index of the controller that the worker sends heartbeats to.
    pub controller: usize,
    pub(super) next_heartbeat: Millis,
    /// The heartbeat that awaits its response: when it was sent, and its sequence number.
    pub(super) in_flight: Option<(Millis, u64)>,
    /// All attempts that the worker knows, including exited ones until a controller commands it to forget them.
    pub tasks: BTreeMap<TaskAttempt, Task>,
    /// The order in which the worker lists them.
    pub list_order: ListOrder,
    /// When each image was, or will be, completely fetched.
    pub(super) image_ready_at: HashMap<Image, Millis>,
    /// When the machine stopped permanently; `None` while it runs.
    pub stopped_at: Option<Millis>,
    /// Fault: every task fails once its image is fetched.
    pub faulty: bool,
    /// Fault: until then nothing reaches the machine and nothing it sends arrives.
    pub unreachable_until: Millis,
    /// Fault: the machine is suspended until then.
    pub hung_until: Millis,
    /// Fault: until then its heartbeats arrive, but no response or command reaches the machine.
    pub commands_lost_until: Millis,
    /// Fault: until then its heartbeats reach no controller, though direct commands reach the machine.
    pub heartbeats_lost_until: Millis,
    /// Fault: only responses and commands of the controller with this index reach the machine until the given time.
    pub reached_only_by: Option<(usize, Millis)>,
    /// Index of the controller whose response last renewed the lease, and when it arrived.
    pub last_renewal: Option<(usize, Millis)>,
    /// When the machine last rebooted; 0 if it never has.
    pub rebooted_at: Millis,
    /// When a reboot last reset the agent's counters; 0 if none has.
    pub reset_at: Millis,
    /// Address of the agent as reported in heartbeats.
    pub address: String,
}

impl Machine {
    /// Creates a machine that sends heartbeats to this controller once it has booted.
    pub(super) fn new(
        zone: Zone,
        spot: bool,
        rented_at: Millis,
        up_at: Millis,
        controller: usize,
        list_order: ListOrder,
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
            list_order,
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
            reset_at: Millis(0),
            address: "10.1.0.1:1".into(),
        }
    }

    /// Whether an attempt of a task is on the machine.
    pub(super) fn has_on_machine(&self, task: &TaskId) -> bool {
        self.attempts_of(task).any(Task::on_machine)
    }

    /// The attempts of a task that the worker knows.
    pub(super) fn attempts_of(&self, task: &TaskId) -> impl Iterator<Item = &Task> {
        let attempt = |attempt| TaskAttempt {
            task: task.clone(),
            attempt: Attempt(attempt),
        };
        let of_task = self.tasks.range(attempt(0)..=attempt(u64::MAX));
        of_task.map(|(_, task)| task)
    }

    /// Whether the machine has not stopped permanently; true for a machine that still boots.
    pub(super) fn is_running(&self) -> bool {
        self.stopped_at.is_none()
    }

    /// Whether the lease, of duration `lease`, has expired.
    pub(super) fn is_lease_expired(&self, lease: Millis, now: Millis) -> bool {
        now > self.lease_start + lease
    }

    /// Stops the machine permanently.
    pub(super) fn stop(&mut self, now: Millis) {
        self.stopped_at.get_or_insert(now);
        self.tasks.clear();
    }

    /// Starts a new agent epoch and kills all tasks, as a worker does when its lease expires.
    pub(super) fn expire_lease(&mut self, now: Millis) {
        self.agent_epoch += 1;
        self.lease_start = now;
        self.tasks.clear();
        self.in_flight = None;
    }

    /// Schedules the next heartbeat for `at` at the latest.
    pub(super) fn heartbeat_by(&mut self, at: Millis) {
        self.next_heartbeat = self.next_heartbeat.min(at);
    }

    /// Switches to the next controller and schedules the next heartbeat for `at`.
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
        let mut tasks: Vec<TaskStatus> = tasks.collect();
        self.list_order.apply(&mut tasks, self.heartbeat_sequence);
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
            tasks,
        }
    }
}

/// A heartbeat to be delivered to a controller.
#[derive(Clone, Debug)]
pub struct OutgoingHeartbeat {
    /// The machine that sent the heartbeat.
    pub machine_id: MachineId,
    /// Index of the controller that the heartbeat is addressed to.
    pub controller: usize,
    /// The message as the controller receives it.
    pub heartbeat: Heartbeat,
}
