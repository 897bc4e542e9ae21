//! Machines and their workers: agent epochs, tokens, images, gangs, saving. A worker's life goes on in
//! steps of a few milliseconds; who drives it carries its heartbeats.

use std::collections::{BTreeMap, HashMap, HashSet};

use jaspertiller::jobs::{JobKind, JobSpec};
use jaspertiller::types::{
    AgentEpoch, Attempt, Image, JobId, MachineId, MachineTypeId, Millis, Resources, TaskId,
    WorkerToken, Zone,
};
use jaspertiller::workers::wire::{
    ExitCause, Heartbeat, HeartbeatResponse, TaskStage, TaskStatus, WorkerCommand,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config::{Config, MachineType, Timing};

/// A worker waits this long for the answer to a heartbeat.
const ANSWER: Millis = Millis(4_000);
const NEVER: Millis = Millis(u64::MAX);
/// After a change a worker reports this soon.
const SOON: Millis = Millis(200);

/// What users uploaded of a job.
#[derive(Clone, Debug)]
pub struct JobDescription {
    pub spec: JobSpec,
    pub run_time: Millis,
    /// It was submitted with a mistake: its tasks fail on every machine.
    pub broken: bool,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: Attempt,
    pub stage: TaskStage,
    cause: Option<ExitCause>,
    checkpointed: bool,
    /// When the present stage ends.
    stage_ends_at: Millis,
    /// When it began to run.
    running_since: Millis,
    /// When it was first told to stop.
    stop_requested_at: Option<Millis>,
}

impl Task {
    pub fn on_machine(&self) -> bool {
        use TaskStage::{Running, Saving, Waiting};
        matches!(self.stage, Running | Saving | Waiting)
    }

    fn exit(&mut self, cause: ExitCause) {
        self.stage = TaskStage::Exited;
        self.cause = Some(cause);
    }
}

pub struct Machine {
    pub zone: Zone,
    pub spot: bool,
    pub rented_at: Millis,
    pub up_at: Millis,
    pub agent_epoch: u64,
    heartbeat_sequence: u64,
    /// The highest token that it has seen.
    pub worker_token: WorkerToken,
    lease_start: Millis,
    /// The controller that it reports to.
    pub controller: usize,
    next_heartbeat: Millis,
    /// The report that waits for its answer: when it was sent, and its number.
    in_flight: Option<(Millis, u64)>,
    pub tasks: BTreeMap<TaskId, Task>,
    /// When each image is there.
    image_ready_at: HashMap<Image, Millis>,
    pub stopped_at: Option<Millis>,
    pub faulty: bool,
    pub unreachable_until: Millis,
    /// It does nothing until then.
    pub hung_until: Millis,
    /// Its reports arrive, but nothing reaches it until then.
    pub commands_lost_until: Millis,
    /// It reaches no controller until then, though direct commands reach it.
    pub heartbeats_lost_until: Millis,
    /// Only this controller's answers and commands reach it until then.
    pub reached_only_by: Option<(usize, Millis)>,
    /// Whose answer renewed its lease last, and when.
    pub last_renewal: Option<(usize, Millis)>,
    /// When it last stopped and was back at once.
    pub rebooted_at: Millis,
    pub address: String,
}

impl Machine {
    fn heartbeat(&self, machine_id: &MachineId, machine_type: &MachineType) -> Heartbeat {
        let task = |(id, task): (&TaskId, &Task)| TaskStatus {
            task: id.to_string(),
            attempt: task.attempt,
            stage: task.stage,
            cause: task.cause,
            kept: task.checkpointed.then_some(true),
        };
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
            tasks: self.tasks.iter().map(task).collect(),
        }
    }
}

/// A report to be carried to a controller.
#[derive(Clone, Debug)]
pub struct OutgoingHeartbeat {
    pub machine_id: MachineId,
    pub controller: usize,
    pub heartbeat: Heartbeat,
}

/// The run of a gang's attempt.
struct GangRun {
    attempt: Attempt,
    began: Millis,
    end: Millis,
    told: Option<Millis>,
    saved: bool,
}

pub struct Machines {
    pub by_id: BTreeMap<MachineId, Machine>,
    pub jobs: HashMap<JobId, JobDescription>,
    pub completed: HashSet<TaskId>,
    gangs: BTreeMap<JobId, GangRun>,
    /// Saved progress: of a gang under its first task.
    progress: HashMap<TaskId, Millis>,
    machine_type: MachineType,
    timing: Timing,
    controllers: usize,
    rng: SmallRng,
    /// How long any fetch takes, instead of by size and rate.
    pub fetch_duration: Option<std::ops::Range<u64>>,
    /// Tasks of an array run up to this part shorter or longer than their job says.
    pub run_time_spread: f64,
    /// A guard that a test takes out: workers keep their tasks when their lease is over.
    pub ignore_lease_expiry: bool,
    /// Attempts of gangs that ended because a task of theirs was gone.
    pub broken_gangs: u64,
    /// Run time that was lost to stops and failures.
    pub lost_run_time: Millis,
    /// Tasks that their worker killed since nobody had answered it for a lease.
    pub killed_by_lease: u64,
}

impl Machines {
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

    pub fn add(
        &mut self,
        machine_id: &MachineId,
        zone: Zone,
        spot: bool,
        rented: Millis,
        up_at: Millis,
    ) {
        let machine = Machine {
            zone,
            spot,
            rented_at: rented,
            up_at,
            agent_epoch: 1,
            heartbeat_sequence: 0,
            worker_token: WorkerToken(0),
            lease_start: up_at,
            controller: self.rng.random_range(0..self.controllers),
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
        };
        self.by_id.insert(machine_id.clone(), machine);
    }

    /// The cloud deletes a machine; whether it was well and at work.
    pub fn delete(&mut self, machine_id: &MachineId, now: Millis) -> bool {
        let Some(machine) = self.by_id.get_mut(machine_id) else {
            return false;
        };
        let well =
            machine.stopped_at.is_none() && !machine.faulty && machine.unreachable_until <= now;
        let at_work = well && machine.tasks.values().any(Task::on_machine);
        machine.stopped_at.get_or_insert(now);
        machine.tasks.clear();
        at_work
    }

    pub fn kill(&mut self, machine_id: &MachineId, now: Millis) {
        if let Some(machine) = self.by_id.get_mut(machine_id) {
            machine.stopped_at.get_or_insert(now);
            machine.tasks.clear();
        }
    }

    /// A machine stops and is back at once, with nothing on it. Its counters may begin anew.
    pub fn reboot(&mut self, machine_id: &MachineId, anew: bool, now: Millis) {
        let node = self.rng.random_range(0..self.controllers);
        let Some(machine) = self
            .by_id
            .get_mut(machine_id)
            .filter(|m| m.stopped_at.is_none())
        else {
            return;
        };
        machine.rebooted_at = now;
        machine.tasks.clear();
        machine.in_flight = None;
        (
            machine.lease_start,
            machine.next_heartbeat,
            machine.controller,
        ) = (now, now, node);
        if anew {
            (
                machine.agent_epoch,
                machine.heartbeat_sequence,
                machine.worker_token,
            ) = (1, 0, WorkerToken(0));
        } else {
            machine.agent_epoch += 1;
        }
    }

    fn lease_over(&self, machine: &Machine, now: Millis) -> bool {
        now > machine.lease_start + self.timing.lease && !self.ignore_lease_expiry
    }

    /// Every task that a machine has now, in whatever state.
    fn tasks(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId, &Task)> {
        let alive = move |m: &&Machine| m.stopped_at.is_none() && !self.lease_over(m, now);
        let machine_ids = self.by_id.iter().filter(move |(_, m)| alive(m));
        machine_ids.flat_map(|(machine_id, machine)| {
            let tasks = machine.tasks.iter();
            tasks.map(move |(id, task)| (machine_id, id, task))
        })
    }

    /// Every task that is on a machine now.
    pub fn tasks_started(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId)> {
        let tasks = self.tasks(now).filter(|(.., task)| task.on_machine());
        tasks.map(|(machine_id, id, _)| (machine_id, id))
    }

    /// Whether a task is on this machine.
    pub fn is_on(&self, machine_id: &MachineId, task: &TaskId) -> bool {
        let machine = self
            .by_id
            .get(machine_id)
            .filter(|m| m.stopped_at.is_none());
        let task = machine.and_then(|machine| machine.tasks.get(task));
        task.is_some_and(Task::on_machine)
    }

    /// Every task that holds room on a machine now: those that fetch their image, too.
    pub fn tasks_allocated(&self, now: Millis) -> impl Iterator<Item = &TaskId> {
        self.allocations(now).map(|(_, task)| task)
    }

    /// The same with their machines.
    pub fn allocations(&self, now: Millis) -> impl Iterator<Item = (&MachineId, &TaskId)> {
        let tasks = self.tasks(now);
        let alive = tasks.filter(|(.., task)| task.stage != TaskStage::Exited);
        alive.map(|(machine_id, id, _)| (machine_id, id))
    }

    /// Machines that are up, well, in touch with everybody, and what is free there.
    pub fn healthy(&self, now: Millis) -> impl Iterator<Item = (&Machine, Resources)> {
        let sound = move |(machine_id, m): &(&MachineId, &Machine)| {
            let apart = m.reached_only_by.is_some_and(|(_, until)| until > now);
            self.reachable(machine_id, now) && !m.faulty && m.heartbeats_lost_until <= now && !apart
        };
        let sound = self.by_id.iter().filter(sound);
        sound.map(|(_, machine)| {
            (
                machine,
                self.machine_type.resources.minus(self.used(machine)),
            )
        })
    }

    pub fn machine_type(&self) -> &MachineTypeId {
        &self.machine_type.id
    }

    /// Lets time pass; returns the tasks that came on a machine, and reports to be carried.
    pub fn step(&mut self, now: Millis) -> (Vec<(MachineId, TaskId)>, Vec<OutgoingHeartbeat>) {
        let (mut started, mut heartbeats) = (Vec::new(), Vec::new());
        let (timing, nodes, keep) = (self.timing, self.controllers, self.ignore_lease_expiry);
        let spread = self.run_time_spread;
        for (machine_id, machine) in &mut self.by_id {
            let idle = machine.stopped_at.is_some() || now < machine.up_at;
            if idle || now < machine.hung_until {
                continue;
            }
            if now > machine.lease_start + timing.lease && !keep {
                machine.agent_epoch += 1;
                machine.lease_start = now;
                let killed = machine.tasks.values().filter(|task| task.on_machine());
                self.killed_by_lease += killed.count() as u64;
                machine.tasks.clear();
                machine.in_flight = None;
            }
            let quarantined = machine.faulty;
            let mut changed = false;
            for (id, task) in &mut machine.tasks {
                if task.stage == TaskStage::Exited || now < task.stage_ends_at {
                    continue;
                }
                let Some(job) = self.jobs.get(&id.job) else {
                    task.exit(ExitCause::Unknown);
                    continue;
                };
                changed = true;
                match task.stage {
                    TaskStage::Fetching if quarantined || job.broken => task.exit(ExitCause::Error),
                    TaskStage::Fetching => {
                        started.push((machine_id.clone(), id.clone()));
                        let done = self.completed.contains(id);
                        if job.spec.kind == JobKind::Gang && !done {
                            task.stage = TaskStage::Waiting;
                            task.stage_ends_at = now + timing.gang_wait;
                            continue;
                        }
                        let saved = self.progress.get(id).copied().unwrap_or_default();
                        let luck = f64::from(id.index.wrapping_mul(2_654_435_761) >> 8)
                            / f64::from(1u32 << 23)
                            - 1.0;
                        let takes = Millis((job.run_time.0 as f64 * (1.0 + spread * luck)) as u64);
                        let run = if done { Millis(0) } else { takes - saved };
                        let service = job.spec.kind == JobKind::Service;
                        task.stage = TaskStage::Running;
                        task.running_since = now;
                        task.stage_ends_at = if service { NEVER } else { now + run };
                    }
                    TaskStage::Waiting => task.exit(ExitCause::Alone),
                    TaskStage::Running => {
                        task.exit(ExitCause::Done);
                        self.completed.insert(id.clone());
                    }
                    TaskStage::Saving => {
                        let told = task.stop_requested_at.unwrap_or(now);
                        let progress = self.progress.entry(id.clone()).or_default();
                        *progress = *progress + told.since(task.running_since);
                        self.lost_run_time = self.lost_run_time + now.since(told);
                        task.checkpointed = true;
                        task.exit(ExitCause::Stopped);
                    }
                    TaskStage::Exited => {}
                }
            }
            if changed {
                machine.next_heartbeat = machine.next_heartbeat.min(now + SOON);
            }
            if machine
                .in_flight
                .is_some_and(|(sent, _)| now.since(sent) > ANSWER)
            {
                machine.in_flight = None;
                machine.controller = (machine.controller + 1) % nodes;
                machine.next_heartbeat = now + Millis(1_000);
            }
            if machine.in_flight.is_none() && now >= machine.next_heartbeat {
                machine.heartbeat_sequence += 1;
                machine.in_flight = Some((now, machine.heartbeat_sequence));
                machine.next_heartbeat = now + timing.heartbeat;
                heartbeats.push(OutgoingHeartbeat {
                    machine_id: machine_id.clone(),
                    controller: machine.controller,
                    heartbeat: machine.heartbeat(machine_id, &self.machine_type),
                });
            }
        }
        self.step_gangs(now);
        (started, heartbeats)
    }

    /// Gangs start together, complete together, save together, and exit when a member is gone.
    fn step_gangs(&mut self, now: Millis) {
        let keep = self.ignore_lease_expiry;
        let mut attempts: BTreeMap<(JobId, Attempt), Vec<(TaskId, &mut Task)>> = BTreeMap::new();
        for machine in self.by_id.values_mut() {
            let over = now > machine.lease_start + self.timing.lease && !keep;
            if machine.stopped_at.is_some() || over || now < machine.hung_until {
                continue;
            }
            let before = machine.tasks.len();
            for (id, task) in &mut machine.tasks {
                let gang = |job: &JobDescription| job.spec.kind == JobKind::Gang;
                let alive = task.stage != TaskStage::Exited || task.checkpointed;
                if alive && self.jobs.get(&id.job).is_some_and(gang) {
                    let members = attempts.entry((id.job.clone(), task.attempt)).or_default();
                    members.push((id.clone(), task));
                }
            }
            if before > 0 {
                machine.next_heartbeat = machine.next_heartbeat.min(now + SOON.max(Millis(1_000)));
            }
        }
        for ((id, attempt), mut members) in attempts {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let tasks = job.spec.tasks as usize;
            let first = TaskId {
                job: id.clone(),
                index: 0,
            };
            let saved = self.progress.get(&first).copied().unwrap_or_default();
            let count = |members: &[(TaskId, &mut Task)], stage| {
                members.iter().filter(|(_, t)| t.stage == stage).count()
            };
            let run = self.gangs.get_mut(&id).filter(|run| run.attempt == attempt);
            let Some(run) = run else {
                if count(&members, TaskStage::Waiting) == tasks {
                    let run = GangRun {
                        attempt,
                        began: now,
                        end: now + (job.run_time - saved),
                        told: None,
                        saved: false,
                    };
                    self.gangs.insert(id, run);
                    for (_, task) in members {
                        (task.stage, task.running_since, task.stage_ends_at) =
                            (TaskStage::Running, now, NEVER);
                    }
                }
                continue;
            };
            let running = count(&members, TaskStage::Running);
            let kept = members.iter().filter(|(_, t)| t.checkpointed).count();
            let saving = count(&members, TaskStage::Saving);
            if saving > 0 {
                run.told.get_or_insert(now);
            }
            if running == tasks && now >= run.end {
                for (task_id, task) in members {
                    task.exit(ExitCause::Done);
                    self.completed.insert(task_id);
                }
                continue;
            }
            if saving + kept == tasks || run.saved {
                if kept > 0 && !run.saved {
                    run.saved = true;
                    let told = run.told.unwrap_or(now);
                    self.progress.insert(first, saved + told.since(run.began));
                }
                continue;
            }
            let late = run
                .told
                .is_some_and(|told| now.since(told) > self.timing.gang_peer);
            let gone = members.len() < tasks && run.told.is_none();
            if late || gone {
                let mark = Millis::from_secs(job.spec.checkpoint_s);
                let ran = run.told.unwrap_or(now).since(run.began);
                let marks = ran.0.checked_div(mark.0).unwrap_or(0) * mark.0;
                if !run.saved {
                    run.saved = true;
                    self.broken_gangs += 1;
                    self.lost_run_time = self.lost_run_time + (ran - Millis(marks));
                    self.progress.insert(first, saved + Millis(marks));
                }
                for (_, task) in members.iter_mut().filter(|(_, t)| t.on_machine()) {
                    task.exit(ExitCause::PeersGone);
                }
            }
        }
    }

    pub fn heartbeat(&self, machine_id: &MachineId) -> Option<Heartbeat> {
        Some(
            self.by_id
                .get(machine_id)?
                .heartbeat(machine_id, &self.machine_type),
        )
    }

    /// Whether anything from outside reaches the machine.
    pub fn reachable(&self, machine_id: &MachineId, now: Millis) -> bool {
        let receives_heartbeats = |m: &Machine| m.commands_lost_until <= now;
        self.can_send(machine_id, now)
            && self.by_id.get(machine_id).is_some_and(receives_heartbeats)
    }

    /// Whether what the machine sends arrives.
    pub fn can_send(&self, machine_id: &MachineId, now: Millis) -> bool {
        self.by_id.get(machine_id).is_some_and(|m| {
            m.stopped_at.is_none()
                && m.unreachable_until <= now
                && m.hung_until <= now
                && m.up_at <= now
        })
    }

    /// Whether what this controller sends reaches the machine.
    pub fn is_reachable_from(&self, machine_id: &MachineId, node: usize, now: Millis) -> bool {
        let only = self.by_id.get(machine_id).and_then(|m| m.reached_only_by);
        only.is_none_or(|(only, until)| only == node || until <= now)
    }

    /// A controller's answer to a heartbeat.
    pub fn receive_response(
        &mut self,
        out: &OutgoingHeartbeat,
        answer: HeartbeatResponse,
        now: Millis,
    ) {
        let nodes = self.controllers;
        let receives_heartbeats = self.is_reachable_from(&out.machine_id, out.controller, now);
        let Some(machine) = self
            .by_id
            .get_mut(&out.machine_id)
            .filter(|_| receives_heartbeats)
        else {
            return;
        };
        let alive = machine.stopped_at.is_none() && machine.commands_lost_until <= now;
        let number = out.heartbeat.heartbeat_sequence;
        let Some((sent, _)) = machine.in_flight.filter(|(_, n)| alive && *n == number) else {
            return;
        };
        machine.in_flight = None;
        match answer {
            HeartbeatResponse::Commands {
                worker_token,
                commands,
            } => {
                // Dropped: its lease is not renewed, its commands are not executed.
                if worker_token < machine.worker_token {
                    return;
                }
                if worker_token > machine.worker_token {
                    machine.worker_token = worker_token;
                    machine.next_heartbeat = now + SOON;
                }
                machine.lease_start = sent;
                machine.last_renewal = Some((out.controller, now));
                self.execute(&out.machine_id, commands, now);
            }
            HeartbeatResponse::Redirect(Some(redirect_to)) => {
                let node = (0..nodes).find(|i| Config::label(*i) == redirect_to.as_str());
                machine.controller = node.unwrap_or((machine.controller + 1) % nodes);
                machine.next_heartbeat = now + Millis(100);
            }
            _ => {
                machine.controller = (machine.controller + 1) % nodes;
                machine.next_heartbeat = now + Millis(1_000);
            }
        }
    }

    /// Orders sent directly; whether they were executed.
    pub fn execute_direct(
        &mut self,
        machine_id: &MachineId,
        worker_token: WorkerToken,
        agent_epoch: AgentEpoch,
        commands: Vec<WorkerCommand>,
        now: Millis,
    ) -> bool {
        let Some(machine) = self.by_id.get_mut(machine_id) else {
            return false;
        };
        let obeyed = worker_token >= machine.worker_token && agent_epoch.0 == machine.agent_epoch;
        if obeyed {
            machine.worker_token = machine.worker_token.max(worker_token);
            self.execute(machine_id, commands, now);
        }
        if let Some(machine) = self.by_id.get_mut(machine_id) {
            machine.heartbeat_sequence += 1;
            machine.next_heartbeat = machine.next_heartbeat.min(now + Millis(500));
        }
        obeyed
    }

    fn used(&self, machine: &Machine) -> Resources {
        let alive = machine
            .tasks
            .iter()
            .filter(|(_, t)| t.stage != TaskStage::Exited);
        let amounts = alive.filter_map(|(id, _)| Some(self.jobs.get(&id.job)?.spec.resources));
        amounts.fold(Resources::default(), Resources::plus)
    }

    fn fetched_at(
        &mut self,
        machine_id: &MachineId,
        image: &Image,
        gb: f64,
        now: Millis,
    ) -> Millis {
        let takes = match self.fetch_duration.clone() {
            Some(range) => self.rng.random_range(range) as f64,
            None => gb / self.machine_type.fetch_gb_per_s * self.rng.random_range(670.0..1_330.0),
        };
        let machine = self.by_id.get_mut(machine_id);
        let Some(machine) = machine else { return NEVER };
        let there = machine.image_ready_at.entry(image.clone());
        *there.or_insert(now + Millis(takes as u64))
    }

    fn execute(&mut self, machine_id: &MachineId, commands: Vec<WorkerCommand>, now: Millis) {
        for order in commands {
            match order {
                WorkerCommand::Start { task, attempt } => {
                    self.start(machine_id, task, attempt, now)
                }
                WorkerCommand::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop(machine_id, &task, attempt, grace_s, now),
                WorkerCommand::Forget { task, attempt } => {
                    let Some(machine) = self.by_id.get_mut(machine_id) else {
                        continue;
                    };
                    let over = |t: &Task| t.attempt == attempt && t.stage == TaskStage::Exited;
                    if machine.tasks.get(&task).is_some_and(over) {
                        machine.tasks.remove(&task);
                    }
                }
            }
        }
    }

    fn start(&mut self, machine_id: &MachineId, id: TaskId, attempt: Attempt, now: Millis) {
        let Some(machine) = self.by_id.get(machine_id) else {
            return;
        };
        let known = machine.tasks.get(&id);
        if known.is_some_and(|t| t.attempt == attempt || t.stage != TaskStage::Exited) {
            return;
        }
        let job = self.jobs.get(&id.job).filter(|j| id.index < j.spec.tasks);
        let job = job.map(|job| {
            (
                job.spec.resources,
                job.spec.image.clone(),
                job.spec.image_gb,
            )
        });
        let mut task = Task {
            attempt,
            stage: TaskStage::Fetching,
            cause: None,
            checkpointed: false,
            stage_ends_at: now,
            running_since: now,
            stop_requested_at: None,
        };
        match job {
            None => task.exit(ExitCause::Unknown),
            Some((resources, image, gb)) => {
                if self
                    .used(machine)
                    .plus(resources)
                    .fits_in(self.machine_type.resources)
                {
                    task.stage_ends_at = self.fetched_at(machine_id, &image, gb, now);
                } else {
                    task.exit(ExitCause::NoRoom);
                }
            }
        }
        if let Some(machine) = self.by_id.get_mut(machine_id) {
            machine.tasks.insert(id, task);
            machine.next_heartbeat = machine.next_heartbeat.min(now + Millis(500));
        }
    }

    fn stop(
        &mut self,
        machine_id: &MachineId,
        id: &TaskId,
        attempt: Attempt,
        grace_s: f64,
        now: Millis,
    ) {
        let (Some(machine), Some(job)) = (self.by_id.get_mut(machine_id), self.jobs.get(&id.job))
        else {
            return;
        };
        let spec = &job.spec;
        let Some(task) = machine.tasks.get_mut(id).filter(|t| {
            let alive = t.stage != TaskStage::Exited;
            alive && t.attempt == attempt
        }) else {
            return;
        };
        machine.next_heartbeat = machine.next_heartbeat.min(now + SOON);
        let saves = spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
        match task.stage {
            TaskStage::Running if saves => {
                task.stage = TaskStage::Saving;
                task.stop_requested_at = Some(now);
                task.stage_ends_at = now + Millis::from_secs(spec.save_s);
            }
            TaskStage::Saving if grace_s > 0.0 => {}
            TaskStage::Running | TaskStage::Saving => {
                let ran = task
                    .stop_requested_at
                    .unwrap_or(now)
                    .since(task.running_since);
                let mark = Millis::from_secs(spec.checkpoint_s);
                let marks = ran.0.checked_div(mark.0).unwrap_or(0) * mark.0;
                if spec.kind == JobKind::Array {
                    let progress = self.progress.entry(id.clone()).or_default();
                    *progress = *progress + Millis(marks);
                }
                if spec.kind != JobKind::Service {
                    self.lost_run_time = self.lost_run_time + (ran - Millis(marks));
                }
                task.exit(ExitCause::Stopped);
            }
            _ => task.exit(ExitCause::Stopped),
        }
    }
}
