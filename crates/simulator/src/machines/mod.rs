//! Model of the worker machines: agent epochs, worker tokens, leases, images, tasks, gangs and checkpoints.
//!
//! [`Machines`] owns the state of all machines. Its caller advances time in steps and delivers the heartbeats,
//! responses and commands.

mod commands;
mod gangs;
mod machine;
mod step;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Range;

use jaspertiller::jobs::JobSpec;
use jaspertiller::types::{
    JobId, MachineId, MachineTypeId, Millis, Resources, TaskId, WorkerToken, Zone,
};
use jaspertiller::workers::wire::{ExitCause, Heartbeat};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config::{Config, MachineType, Timing};

pub use machine::{ListOrder, Machine, OutgoingHeartbeat, Task, TaskAttempt};

use gangs::GangRun;

/// Delay of the heartbeat after a change on a machine, so that controllers learn of the change early.
const HEARTBEAT_AFTER_CHANGE: Millis = Millis(200);
/// Delay before a worker tries the next controller after one did not accept its heartbeat.
const RETRY_DELAY: Millis = Millis(1_000);

/// A job as its user submitted it, and how its tasks run in the simulation.
#[derive(Clone, Debug)]
pub struct JobDescription {
    /// The specification as submitted.
    pub spec: JobSpec,
    /// Run time of each task, before [`Machines::run_time_spread`] is applied.
    pub run_time: Millis,
    /// Whether the job was submitted with a mistake, so that its tasks fail on every machine.
    pub broken: bool,
}

/// Returns the run time that the last checkpoint covers, of a task that ran for `ran`.
fn last_checkpoint(ran: Millis, spec: &JobSpec) -> Millis {
    let interval = Millis::from_secs(spec.checkpoint_s);
    // Without checkpoints the interval is 0, and the whole run time is lost.
    Millis(ran.0.checked_div(interval.0).unwrap_or(0) * interval.0)
}

/// All machines, and the descriptions of the jobs that they run.
pub struct Machines {
    /// All machines, including stopped ones.
    pub by_id: BTreeMap<MachineId, Machine>,
    /// Job descriptions; a task whose job is missing here exits as unknown.
    pub jobs: HashMap<JobId, JobDescription>,
    /// Tasks that completed, in any attempt.
    pub completed: HashSet<TaskId>,
    gangs: BTreeMap<JobId, GangRun>,
    /// Saved progress by task; the progress of a gang is kept under its first task.
    progress: HashMap<TaskId, Millis>,
    machine_type: MachineType,
    timing: Timing,
    /// Number of controllers.
    controllers: usize,
    rng: SmallRng,
    /// Range of image fetch times in milliseconds; `None` derives the time from the image size.
    pub fetch_duration: Option<Range<u64>>,
    /// Largest relative deviation of a task's run time from that of its job, from 0 to 1.
    pub run_time_spread: f64,
    /// Disables a safeguard for tests: workers keep their tasks when their lease expires.
    pub ignore_lease_expiry: bool,
    /// Number of gang attempts that ended because a member was lost, or because not all saved in time.
    pub broken_gangs: u64,
    /// Run time lost to stops and failures, because no checkpoint covered it, and run time spent on saving.
    pub lost_run_time: Millis,
    /// Number of start commands that made a worker begin an attempt.
    pub attempts_begun: u64,
    /// Number of started tasks that workers killed because the lease of the worker expired.
    pub killed_by_lease: u64,
}

impl Machines {
    /// Creates a model without machines; `seed` determines every random draw.
    pub fn new(config: &Config, seed: u64) -> Self {
        Self {
            by_id: BTreeMap::new(),
            jobs: HashMap::new(),
            completed: HashSet::new(),
            gangs: BTreeMap::new(),
            progress: HashMap::new(),
            machine_type: config.machine_type.clone(),
            timing: config.timing,
            controllers: config.controllers,
            rng: SmallRng::seed_from_u64(seed),
            fetch_duration: None,
            run_time_spread: 0.0,
            ignore_lease_expiry: false,
            broken_gangs: 0,
            lost_run_time: Millis(0),
            attempts_begun: 0,
            killed_by_lease: 0,
        }
    }

    /// Adds a machine rented at `rented_at` that is up from `up_at` on; its first controller is drawn at random, and
    /// its worker lists attempts in the next of all orders.
    pub fn add(
        &mut self,
        machine_id: &MachineId,
        zone: Zone,
        spot: bool,
        rented_at: Millis,
        up_at: Millis,
    ) {
        let controller = self.rng.random_range(0..self.controllers);
        let list_order = ListOrder::ALL[self.by_id.len() % ListOrder::ALL.len()];
        let machine = Machine::new(zone, spot, rented_at, up_at, controller, list_order);
        self.by_id.insert(machine_id.clone(), machine);
    }

    /// Stops a machine that the cloud deletes; returns whether the machine was healthy and had started tasks.
    pub fn delete(&mut self, machine_id: &MachineId, now: Millis) -> bool {
        let Some(machine) = self.by_id.get_mut(machine_id) else {
            return false;
        };
        let is_healthy =
            machine.is_running() && !machine.faulty && machine.unreachable_until <= now;
        let is_at_work = is_healthy && machine.tasks.values().any(Task::on_machine);
        machine.stop(now);
        is_at_work
    }

    /// Stops a machine permanently, as a hardware failure would.
    pub fn kill(&mut self, machine_id: &MachineId, now: Millis) {
        if let Some(machine) = self.by_id.get_mut(machine_id) {
            machine.stop(now);
        }
    }

    /// Reboots a running machine immediately; its tasks are lost. With `reset_agent` the agent also loses its epoch,
    /// heartbeat sequence and worker token.
    pub fn reboot(&mut self, machine_id: &MachineId, reset_agent: bool, now: Millis) {
        let controller = self.rng.random_range(0..self.controllers);
        let machine = self.by_id.get_mut(machine_id);
        let Some(machine) = machine.filter(|machine| machine.is_running()) else {
            return;
        };
        machine.rebooted_at = now;
        machine.tasks.clear();
        machine.in_flight = None;
        machine.lease_start = now;
        machine.next_heartbeat = now;
        machine.controller = controller;
        if reset_agent {
            machine.reset_at = now;
            machine.agent_epoch = 1;
            machine.heartbeat_sequence = 0;
            machine.worker_token = WorkerToken(0);
        } else {
            machine.agent_epoch += 1;
        }
    }

    /// Ends an attempt at once, as if the worker had seen it end for this cause.
    pub fn end_attempt(&mut self, machine_id: &MachineId, id: &TaskAttempt, cause: ExitCause) {
        let machine = self.by_id.get_mut(machine_id);
        let Some(task) = machine.and_then(|machine| machine.tasks.get_mut(id)) else {
            return;
        };
        task.exit(cause);
        if cause == ExitCause::Done {
            self.completed.insert(id.task.clone());
        }
    }

    fn has_lost_lease(&self, machine: &Machine, now: Millis) -> bool {
        machine.is_lease_expired(self.timing.lease, now) && !self.ignore_lease_expiry
    }

    /// Returns every attempt of every task, in any stage, on the running machines that hold their lease.
    fn tasks(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId, &Task)> {
        let holds_lease =
            move |machine: &Machine| machine.is_running() && !self.has_lost_lease(machine, now);
        let machines = self.by_id.iter();
        let machines = machines.filter(move |(_, machine)| holds_lease(machine));
        machines.flat_map(|(machine_id, machine)| {
            let tasks = machine.tasks.iter();
            tasks.map(move |(id, task)| (machine_id, &id.task, task))
        })
    }

    /// Returns every task that has fetched its image and has not exited, with its machine.
    pub fn tasks_started(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId)> {
        let tasks = self.tasks(now).filter(|(.., task)| task.on_machine());
        tasks.map(|(machine_id, id, _)| (machine_id, id))
    }

    /// Returns every task that is on a running machine while the worker there also knows another attempt of it.
    pub fn tasks_with_several_attempts(&self, now: Millis) -> impl Iterator<Item = &TaskId> {
        let tasks = self.tasks_started(now);
        let several = |machine_id: &MachineId, task: &TaskId| {
            let machine = self.by_id.get(machine_id);
            machine.is_some_and(|machine| machine.attempts_of(task).count() > 1)
        };
        tasks
            .filter(move |(machine_id, task)| several(machine_id, task))
            .map(|(_, task)| task)
    }

    /// Whether a task has started on this machine and not exited. Ignores whether the lease has expired.
    pub fn is_on(&self, machine_id: &MachineId, task: &TaskId) -> bool {
        let machine = self.by_id.get(machine_id);
        let machine = machine.filter(|machine| machine.is_running());
        machine.is_some_and(|machine| machine.has_on_machine(task))
    }

    /// Returns every task that resources are allocated to, including tasks that are fetching their image.
    pub fn tasks_allocated(&self, now: Millis) -> impl Iterator<Item = &TaskId> {
        self.allocations(now).map(|(_, task)| task)
    }

    /// Returns the same tasks as [`Self::tasks_allocated`], each with its machine.
    pub fn allocations(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId)> {
        let tasks = self.tasks(now).filter(|(.., task)| !task.is_exited());
        tasks.map(|(machine_id, id, _)| (machine_id, id))
    }

    /// Returns the machines that are up, not faulty and able to exchange messages with every controller, with their
    /// unallocated resources.
    pub fn healthy(&self, now: Millis) -> impl Iterator<Item = (&Machine, Resources)> {
        let is_healthy = move |(machine_id, machine): &(&MachineId, &Machine)| {
            let is_partitioned = machine
                .reached_only_by
                .is_some_and(|(_, until)| until > now);
            self.reachable(machine_id, now)
                && !machine.faulty
                && machine.heartbeats_lost_until <= now
                && !is_partitioned
        };
        let capacity = self.machine_type.resources;
        let healthy = self.by_id.iter().filter(is_healthy);
        healthy.map(move |(_, machine)| (machine, capacity.minus(self.allocated_on(machine))))
    }

    /// Returns the type that all machines have.
    pub fn machine_type(&self) -> &MachineTypeId {
        &self.machine_type.id
    }

    /// Returns the heartbeat that a machine would send now, or `None` if there is no such machine.
    pub fn heartbeat(&self, machine_id: &MachineId) -> Option<Heartbeat> {
        let machine = self.by_id.get(machine_id)?;
        Some(machine.heartbeat(machine_id, &self.machine_type))
    }

    /// Whether messages from outside reach the machine and its own arrive; `heartbeats_lost_until` and
    /// `reached_only_by` are not considered.
    pub fn reachable(&self, machine_id: &MachineId, now: Millis) -> bool {
        let machine = self.by_id.get(machine_id);
        self.can_send(machine_id, now) && machine.is_some_and(|m| m.commands_lost_until <= now)
    }

    /// Whether the machine is up and its messages arrive; `heartbeats_lost_until` is not considered.
    pub fn can_send(&self, machine_id: &MachineId, now: Millis) -> bool {
        self.by_id.get(machine_id).is_some_and(|machine| {
            machine.is_running()
                && machine.unreachable_until <= now
                && machine.hung_until <= now
                && machine.up_at <= now
        })
    }

    /// Whether `reached_only_by` lets messages of this controller reach the machine; other faults are not considered.
    pub fn is_reachable_from(
        &self,
        machine_id: &MachineId,
        controller: usize,
        now: Millis,
    ) -> bool {
        let machine = self.by_id.get(machine_id);
        let only = machine.and_then(|machine| machine.reached_only_by);
        only.is_none_or(|(only, until)| only == controller || until <= now)
    }

    /// Returns the resources that are allocated to tasks which have not exited.
    fn allocated_on(&self, machine: &Machine) -> Resources {
        let tasks = machine.tasks.iter().filter(|(_, task)| !task.is_exited());
        let amounts = tasks.filter_map(|(id, _)| Some(self.jobs.get(&id.task.job)?.spec.resources));
        amounts.fold(Resources::default(), Resources::plus)
    }
}
