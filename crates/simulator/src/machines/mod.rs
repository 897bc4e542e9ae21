//! Models of the worker machines: agent epochs, worker tokens, leases, images, tasks, gangs and checkpoints.
//!
//! `Machines` owns the state of all machines. Whoever drives it lets time pass in steps and carries the heartbeats,
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
use jaspertiller::workers::wire::Heartbeat;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config::{Config, MachineType, Timing};

pub use machine::{Machine, OutgoingHeartbeat, Task};

use gangs::GangRun;

/// A worker heartbeats this soon after a change, so that controllers learn of it.
const HEARTBEAT_AFTER_CHANGE: Millis = Millis(200);
/// A worker tries the next controller this long after one did not take its heartbeat.
const RETRY_DELAY: Millis = Millis(1_000);

/// What users uploaded of a job.
#[derive(Clone, Debug)]
pub struct JobDescription {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Run time of each of its tasks.
    pub run_time: Millis,
    /// It was submitted with a mistake: its tasks fail on every machine.
    pub broken: bool,
}

/// Run time until the last checkpoint of a task that ran for `ran`.
fn last_checkpoint(ran: Millis, spec: &JobSpec) -> Millis {
    let interval = Millis::from_secs(spec.checkpoint_s);
    // Without checkpoints the interval is 0, and all is lost.
    Millis(ran.0.checked_div(interval.0).unwrap_or(0) * interval.0)
}

/// All machines, and the jobs as their users described them.
pub struct Machines {
    /// The machines, with those that have stopped.
    pub by_id: BTreeMap<MachineId, Machine>,
    /// Descriptions of the jobs.
    pub jobs: HashMap<JobId, JobDescription>,
    /// Tasks that ran to their end.
    pub completed: HashSet<TaskId>,
    gangs: BTreeMap<JobId, GangRun>,
    /// Saved progress by task; that of a gang under its first task.
    progress: HashMap<TaskId, Millis>,
    machine_type: MachineType,
    timing: Timing,
    /// Number of controllers.
    controllers: usize,
    rng: SmallRng,
    /// How long any fetch of an image takes in milliseconds, instead of by its size.
    pub fetch_duration: Option<Range<u64>>,
    /// Share by which run times deviate at most from their job's, from 0 to 1.
    pub run_time_spread: f64,
    /// Disables a safeguard for tests: workers keep their tasks when their lease expires.
    pub ignore_lease_expiry: bool,
    /// Attempts of gangs that ended because a member was gone.
    pub broken_gangs: u64,
    /// Run time that was lost to stops and failures.
    pub lost_run_time: Millis,
    /// Tasks that their worker killed because its lease expired.
    pub killed_by_lease: u64,
}

impl Machines {
    /// No machines yet; `seed` determines every random draw.
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
            killed_by_lease: 0,
        }
    }

    /// Adds a machine that was rented at one time and has booted at another.
    pub fn add(
        &mut self,
        machine_id: &MachineId,
        zone: Zone,
        spot: bool,
        rented_at: Millis,
        up_at: Millis,
    ) {
        let controller = self.rng.random_range(0..self.controllers);
        let machine = Machine::new(zone, spot, rented_at, up_at, controller);
        self.by_id.insert(machine_id.clone(), machine);
    }

    /// Stops a machine as the cloud deletes it; whether it was healthy and had tasks.
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

    /// Stops a machine for good.
    pub fn kill(&mut self, machine_id: &MachineId, now: Millis) {
        if let Some(machine) = self.by_id.get_mut(machine_id) {
            machine.stop(now);
        }
    }

    /// Restarts a machine at once, without its tasks. With `anew` its agent loses its counters, too.
    pub fn reboot(&mut self, machine_id: &MachineId, anew: bool, now: Millis) {
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
        if anew {
            machine.agent_epoch = 1;
            machine.heartbeat_sequence = 0;
            machine.worker_token = WorkerToken(0);
        } else {
            machine.agent_epoch += 1;
        }
    }

    fn is_lease_over(&self, machine: &Machine, now: Millis) -> bool {
        machine.is_lease_expired(self.timing.lease, now) && !self.ignore_lease_expiry
    }

    /// Every task that a machine has now, in whatever state.
    fn tasks(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId, &Task)> {
        let is_leased =
            move |machine: &Machine| machine.is_running() && !self.is_lease_over(machine, now);
        let machines = self.by_id.iter();
        let machines = machines.filter(move |(_, machine)| is_leased(machine));
        machines.flat_map(|(machine_id, machine)| {
            let tasks = machine.tasks.iter();
            tasks.map(move |(id, task)| (machine_id, id, task))
        })
    }

    /// Every task that has its image and has not exited, with its machine.
    pub fn tasks_started(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId)> {
        let tasks = self.tasks(now).filter(|(.., task)| task.on_machine());
        tasks.map(|(machine_id, id, _)| (machine_id, id))
    }

    /// Whether a task has started and not exited on this machine.
    pub fn is_on(&self, machine_id: &MachineId, task: &TaskId) -> bool {
        let machine = self.by_id.get(machine_id);
        let machine = machine.filter(|machine| machine.is_running());
        let task = machine.and_then(|machine| machine.tasks.get(task));
        task.is_some_and(Task::on_machine)
    }

    /// Every task that resources of a machine are allocated to: those that fetch their image, too.
    pub fn tasks_allocated(&self, now: Millis) -> impl Iterator<Item = &TaskId> {
        self.allocations(now).map(|(_, task)| task)
    }

    /// Every task that resources are allocated to, with its machine.
    pub fn allocations(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId)> {
        let tasks = self.tasks(now).filter(|(.., task)| !task.is_exited());
        tasks.map(|(machine_id, id, _)| (machine_id, id))
    }

    /// Machines that are up, not faulty and reachable by every controller, with their available resources.
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

    /// Type of all machines.
    pub fn machine_type(&self) -> &MachineTypeId {
        &self.machine_type.id
    }

    /// What a machine's heartbeat says now.
    pub fn heartbeat(&self, machine_id: &MachineId) -> Option<Heartbeat> {
        let machine = self.by_id.get(machine_id)?;
        Some(machine.heartbeat(machine_id, &self.machine_type))
    }

    /// Whether anything from outside reaches the machine.
    pub fn reachable(&self, machine_id: &MachineId, now: Millis) -> bool {
        let machine = self.by_id.get(machine_id);
        self.can_send(machine_id, now) && machine.is_some_and(|m| m.commands_lost_until <= now)
    }

    /// Whether what the machine sends arrives.
    pub fn can_send(&self, machine_id: &MachineId, now: Millis) -> bool {
        self.by_id.get(machine_id).is_some_and(|machine| {
            machine.is_running()
                && machine.unreachable_until <= now
                && machine.hung_until <= now
                && machine.up_at <= now
        })
    }

    /// Whether what this controller sends reaches the machine.
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

    /// Resources of a machine that are allocated to tasks.
    fn allocated_on(&self, machine: &Machine) -> Resources {
        let tasks = machine.tasks.iter().filter(|(_, task)| !task.is_exited());
        let amounts = tasks.filter_map(|(id, _)| Some(self.jobs.get(&id.job)?.spec.resources));
        amounts.fold(Resources::default(), Resources::plus)
    }
}
