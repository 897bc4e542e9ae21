//! Machines and their workers: agent epochs, tokens, images, gangs, saving. A worker's life goes on in
//! steps of a few milliseconds; who drives it carries its heartbeats.

use std::collections::{BTreeMap, HashMap, HashSet};

use jaspertiller::jobs::{Shape, Spec};
use jaspertiller::types::{
    Attempt, Baton, HostId, Image, JobId, Millis, Room, Session, Sku, TaskId, Zone,
};
use jaspertiller::workers::wire::{Cause, Order, Pick, Report, ReportAnswer, TaskStage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config::{Config, Rig, Timing};

/// A worker waits this long for the answer to a heartbeat.
const ANSWER: Millis = Millis(4_000);
const NEVER: Millis = Millis(u64::MAX);
/// After a change a worker reports this soon.
const SOON: Millis = Millis(200);

/// What users uploaded of a job.
#[derive(Clone, Debug)]
pub struct Description {
    pub spec: Spec,
    pub run: Millis,
    /// It was submitted with a mistake: its tasks fail on every machine.
    pub broken: bool,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: Attempt,
    pub stage: TaskStage,
    cause: Option<Cause>,
    kept: bool,
    /// When the present stage ends.
    until: Millis,
    /// When it began to run.
    began: Millis,
    /// When it was first told to stop.
    told: Option<Millis>,
}

impl Task {
    pub fn on_machine(&self) -> bool {
        use TaskStage::{Running, Saving, Waiting};
        matches!(self.stage, Running | Saving | Waiting)
    }

    fn exit(&mut self, cause: Cause) {
        self.stage = TaskStage::Exited;
        self.cause = Some(cause);
    }
}

pub struct Machine {
    pub zone: Zone,
    pub spot: bool,
    pub rented: Millis,
    pub up_at: Millis,
    pub session: u64,
    tally: u64,
    /// The highest token that it has seen.
    pub baton: Baton,
    lease_from: Millis,
    /// The controller that it reports to.
    pub node: usize,
    next_report: Millis,
    /// The report that waits for its answer: when it was sent, and its number.
    in_flight: Option<(Millis, u64)>,
    pub tasks: BTreeMap<TaskId, Task>,
    /// When each image is there.
    images: HashMap<Image, Millis>,
    pub dead: Option<Millis>,
    pub sick: bool,
    pub unreachable_until: Millis,
    /// It does nothing until then.
    pub hung_until: Millis,
    /// Its reports arrive, but nothing reaches it until then.
    pub deaf_until: Millis,
    /// It reaches no controller until then, though direct commands reach it.
    pub mute_until: Millis,
    /// Only this controller's answers and commands reach it until then.
    pub hears_only: Option<(usize, Millis)>,
    /// Whose answer renewed its lease last, and when.
    pub renewed: Option<(usize, Millis)>,
    /// When it last stopped and was back at once.
    pub back: Millis,
    pub address: String,
}

impl Machine {
    fn report(&self, host: &HostId, rig: &Rig) -> Report {
        let pick = |(id, task): (&TaskId, &Task)| Pick {
            pick: id.to_string(),
            attempt: task.attempt,
            stage: task.stage,
            cause: task.cause,
            kept: task.kept.then_some(true),
        };
        Report {
            host: host.clone(),
            address: self.address.clone(),
            rig: rig.sku.clone(),
            yard: self.zone.clone(),
            loaners: self.spot,
            shift: Session(self.session),
            tally: self.tally,
            baton: self.baton,
            warning_s: None,
            picks: self.tasks.iter().map(pick).collect(),
        }
    }
}

/// A report to be carried to a controller.
#[derive(Clone, Debug)]
pub struct Outgoing {
    pub host: HostId,
    pub node: usize,
    pub report: Report,
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
    pub hosts: BTreeMap<HostId, Machine>,
    pub jobs: HashMap<JobId, Description>,
    pub completed: HashSet<TaskId>,
    gangs: BTreeMap<JobId, GangRun>,
    /// Saved progress: of a gang under its first task.
    progress: HashMap<TaskId, Millis>,
    rig: Rig,
    timing: Timing,
    nodes: usize,
    rng: SmallRng,
    /// How long any fetch takes, instead of by size and rate.
    pub fetch: Option<std::ops::Range<u64>>,
    /// Tasks of an array run up to this part shorter or longer than their job says.
    pub spread: f64,
    /// A guard that a test takes out: workers keep their tasks when their lease is over.
    pub keep_past_lease: bool,
    /// Attempts of gangs that ended because a task of theirs was gone.
    pub broken_gangs: u64,
    /// Run time that was lost to stops and failures.
    pub lost: Millis,
    /// Tasks that their worker killed since nobody had answered it for a lease.
    pub killed_by_lease: u64,
}

impl Machines {
    pub fn new(config: &Config, seed: u64) -> Self {
        Self {
            hosts: BTreeMap::new(),
            jobs: HashMap::new(),
            completed: HashSet::new(),
            gangs: BTreeMap::new(),
            progress: HashMap::new(),
            rig: config.rig.clone(),
            timing: config.timing,
            nodes: config.controllers,
            rng: SmallRng::seed_from_u64(seed),
            fetch: None,
            spread: 0.0,
            keep_past_lease: false,
            broken_gangs: 0,
            lost: Millis(0),
            killed_by_lease: 0,
        }
    }

    pub fn add(&mut self, host: &HostId, zone: Zone, spot: bool, rented: Millis, up_at: Millis) {
        let machine = Machine {
            zone,
            spot,
            rented,
            up_at,
            session: 1,
            tally: 0,
            baton: Baton(0),
            lease_from: up_at,
            node: self.rng.random_range(0..self.nodes),
            next_report: up_at,
            in_flight: None,
            tasks: BTreeMap::new(),
            images: HashMap::new(),
            dead: None,
            sick: false,
            unreachable_until: Millis(0),
            hung_until: Millis(0),
            deaf_until: Millis(0),
            mute_until: Millis(0),
            hears_only: None,
            renewed: None,
            back: Millis(0),
            address: "10.1.0.1:1".into(),
        };
        self.hosts.insert(host.clone(), machine);
    }

    /// The cloud deletes a machine; whether it was well and at work.
    pub fn delete(&mut self, host: &HostId, now: Millis) -> bool {
        let Some(machine) = self.hosts.get_mut(host) else {
            return false;
        };
        let well = machine.dead.is_none() && !machine.sick && machine.unreachable_until <= now;
        let at_work = well && machine.tasks.values().any(Task::on_machine);
        machine.dead.get_or_insert(now);
        machine.tasks.clear();
        at_work
    }

    pub fn kill(&mut self, host: &HostId, now: Millis) {
        if let Some(machine) = self.hosts.get_mut(host) {
            machine.dead.get_or_insert(now);
            machine.tasks.clear();
        }
    }

    /// A machine stops and is back at once, with nothing on it. Its counters may begin anew.
    pub fn reboot(&mut self, host: &HostId, anew: bool, now: Millis) {
        let node = self.rng.random_range(0..self.nodes);
        let Some(machine) = self.hosts.get_mut(host).filter(|m| m.dead.is_none()) else {
            return;
        };
        machine.back = now;
        machine.tasks.clear();
        machine.in_flight = None;
        (machine.lease_from, machine.next_report, machine.node) = (now, now, node);
        if anew {
            (machine.session, machine.tally, machine.baton) = (1, 0, Baton(0));
        } else {
            machine.session += 1;
        }
    }

    fn lease_over(&self, machine: &Machine, now: Millis) -> bool {
        now > machine.lease_from + self.timing.lease && !self.keep_past_lease
    }

    /// Every task that a machine has now, in whatever state.
    fn tasks(&self, now: Millis) -> impl Iterator<Item = (&HostId, &TaskId, &Task)> {
        let alive = move |m: &&Machine| m.dead.is_none() && !self.lease_over(m, now);
        let hosts = self.hosts.iter().filter(move |(_, m)| alive(m));
        hosts.flat_map(|(host, machine)| {
            let tasks = machine.tasks.iter();
            tasks.map(move |(id, task)| (host, id, task))
        })
    }

    /// Every task that is on a machine now.
    pub fn present(&self, now: Millis) -> impl Iterator<Item = (&HostId, &TaskId)> {
        let tasks = self.tasks(now).filter(|(.., task)| task.on_machine());
        tasks.map(|(host, id, _)| (host, id))
    }

    /// Whether a task is on this machine.
    pub fn is_on(&self, host: &HostId, task: &TaskId) -> bool {
        let machine = self.hosts.get(host).filter(|m| m.dead.is_none());
        let task = machine.and_then(|machine| machine.tasks.get(task));
        task.is_some_and(Task::on_machine)
    }

    /// Every task that holds room on a machine now: those that fetch their image, too.
    pub fn holding(&self, now: Millis) -> impl Iterator<Item = &TaskId> {
        self.on_hosts(now).map(|(_, task)| task)
    }

    /// The same with their machines.
    pub fn on_hosts(&self, now: Millis) -> impl Iterator<Item = (&HostId, &TaskId)> {
        let tasks = self.tasks(now);
        let alive = tasks.filter(|(.., task)| task.stage != TaskStage::Exited);
        alive.map(|(host, id, _)| (host, id))
    }

    /// Machines that are up, well, in touch with everybody, and what is free there.
    pub fn sound(&self, now: Millis) -> impl Iterator<Item = (&Machine, Room)> {
        let sound = move |(host, m): &(&HostId, &Machine)| {
            let apart = m.hears_only.is_some_and(|(_, until)| until > now);
            self.reachable(host, now) && !m.sick && m.mute_until <= now && !apart
        };
        let sound = self.hosts.iter().filter(sound);
        sound.map(|(_, machine)| (machine, self.rig.room.minus(self.used(machine))))
    }

    pub fn rig(&self) -> &Sku {
        &self.rig.sku
    }

    /// Lets time pass; returns the tasks that came on a machine, and reports to be carried.
    pub fn step(&mut self, now: Millis) -> (Vec<(HostId, TaskId)>, Vec<Outgoing>) {
        let (mut started, mut reports) = (Vec::new(), Vec::new());
        let (timing, nodes, keep) = (self.timing, self.nodes, self.keep_past_lease);
        let spread = self.spread;
        for (host, machine) in &mut self.hosts {
            let idle = machine.dead.is_some() || now < machine.up_at;
            if idle || now < machine.hung_until {
                continue;
            }
            if now > machine.lease_from + timing.lease && !keep {
                machine.session += 1;
                machine.lease_from = now;
                let killed = machine.tasks.values().filter(|task| task.on_machine());
                self.killed_by_lease += killed.count() as u64;
                machine.tasks.clear();
                machine.in_flight = None;
            }
            let sick = machine.sick;
            let mut changed = false;
            for (id, task) in &mut machine.tasks {
                if task.stage == TaskStage::Exited || now < task.until {
                    continue;
                }
                let Some(job) = self.jobs.get(&id.job) else {
                    task.exit(Cause::Unknown);
                    continue;
                };
                changed = true;
                match task.stage {
                    TaskStage::Fetching if sick || job.broken => task.exit(Cause::Error),
                    TaskStage::Fetching => {
                        started.push((host.clone(), id.clone()));
                        let done = self.completed.contains(id);
                        if job.spec.shape == Shape::Gang && !done {
                            task.stage = TaskStage::Waiting;
                            task.until = now + timing.gang_wait;
                            continue;
                        }
                        let saved = self.progress.get(id).copied().unwrap_or_default();
                        let luck = f64::from(id.index.wrapping_mul(2_654_435_761) >> 8)
                            / f64::from(1u32 << 23)
                            - 1.0;
                        let takes = Millis((job.run.0 as f64 * (1.0 + spread * luck)) as u64);
                        let run = if done { Millis(0) } else { takes - saved };
                        let service = job.spec.shape == Shape::Service;
                        task.stage = TaskStage::Running;
                        task.began = now;
                        task.until = if service { NEVER } else { now + run };
                    }
                    TaskStage::Waiting => task.exit(Cause::Alone),
                    TaskStage::Running => {
                        task.exit(Cause::Done);
                        self.completed.insert(id.clone());
                    }
                    TaskStage::Saving => {
                        let told = task.told.unwrap_or(now);
                        let progress = self.progress.entry(id.clone()).or_default();
                        *progress = *progress + told.since(task.began);
                        self.lost = self.lost + now.since(told);
                        task.kept = true;
                        task.exit(Cause::Stopped);
                    }
                    TaskStage::Exited => {}
                }
            }
            if changed {
                machine.next_report = machine.next_report.min(now + SOON);
            }
            if machine
                .in_flight
                .is_some_and(|(sent, _)| now.since(sent) > ANSWER)
            {
                machine.in_flight = None;
                machine.node = (machine.node + 1) % nodes;
                machine.next_report = now + Millis(1_000);
            }
            if machine.in_flight.is_none() && now >= machine.next_report {
                machine.tally += 1;
                machine.in_flight = Some((now, machine.tally));
                machine.next_report = now + timing.report;
                reports.push(Outgoing {
                    host: host.clone(),
                    node: machine.node,
                    report: machine.report(host, &self.rig),
                });
            }
        }
        self.step_gangs(now);
        (started, reports)
    }

    /// Gangs start together, complete together, save together, and exit when a member is gone.
    fn step_gangs(&mut self, now: Millis) {
        let keep = self.keep_past_lease;
        let mut attempts: BTreeMap<(JobId, Attempt), Vec<(TaskId, &mut Task)>> = BTreeMap::new();
        for machine in self.hosts.values_mut() {
            let over = now > machine.lease_from + self.timing.lease && !keep;
            if machine.dead.is_some() || over || now < machine.hung_until {
                continue;
            }
            let before = machine.tasks.len();
            for (id, task) in &mut machine.tasks {
                let gang = |job: &Description| job.spec.shape == Shape::Gang;
                let alive = task.stage != TaskStage::Exited || task.kept;
                if alive && self.jobs.get(&id.job).is_some_and(gang) {
                    let members = attempts.entry((id.job.clone(), task.attempt)).or_default();
                    members.push((id.clone(), task));
                }
            }
            if before > 0 {
                machine.next_report = machine.next_report.min(now + SOON.max(Millis(1_000)));
            }
        }
        for ((id, attempt), mut members) in attempts {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let picks = job.spec.tasks as usize;
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
                if count(&members, TaskStage::Waiting) == picks {
                    let run = GangRun {
                        attempt,
                        began: now,
                        end: now + (job.run - saved),
                        told: None,
                        saved: false,
                    };
                    self.gangs.insert(id, run);
                    for (_, task) in members {
                        (task.stage, task.began, task.until) = (TaskStage::Running, now, NEVER);
                    }
                }
                continue;
            };
            let running = count(&members, TaskStage::Running);
            let kept = members.iter().filter(|(_, t)| t.kept).count();
            let saving = count(&members, TaskStage::Saving);
            if saving > 0 {
                run.told.get_or_insert(now);
            }
            if running == picks && now >= run.end {
                for (task_id, task) in members {
                    task.exit(Cause::Done);
                    self.completed.insert(task_id);
                }
                continue;
            }
            if saving + kept == picks || run.saved {
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
            let gone = members.len() < picks && run.told.is_none();
            if late || gone {
                let mark = Millis::from_secs(job.spec.checkpoint_s);
                let ran = run.told.unwrap_or(now).since(run.began);
                let marks = ran.0.checked_div(mark.0).unwrap_or(0) * mark.0;
                if !run.saved {
                    run.saved = true;
                    self.broken_gangs += 1;
                    self.lost = self.lost + (ran - Millis(marks));
                    self.progress.insert(first, saved + Millis(marks));
                }
                for (_, task) in members.iter_mut().filter(|(_, t)| t.on_machine()) {
                    task.exit(Cause::PeersGone);
                }
            }
        }
    }

    pub fn report(&self, host: &HostId) -> Option<Report> {
        Some(self.hosts.get(host)?.report(host, &self.rig))
    }

    /// Whether anything from outside reaches the machine.
    pub fn reachable(&self, host: &HostId, now: Millis) -> bool {
        let hears = |m: &Machine| m.deaf_until <= now;
        self.speaks(host, now) && self.hosts.get(host).is_some_and(hears)
    }

    /// Whether what the machine sends arrives.
    pub fn speaks(&self, host: &HostId, now: Millis) -> bool {
        self.hosts.get(host).is_some_and(|m| {
            m.dead.is_none() && m.unreachable_until <= now && m.hung_until <= now && m.up_at <= now
        })
    }

    /// Whether what this controller sends reaches the machine.
    pub fn hears(&self, host: &HostId, node: usize, now: Millis) -> bool {
        let only = self.hosts.get(host).and_then(|m| m.hears_only);
        only.is_none_or(|(only, until)| only == node || until <= now)
    }

    /// A controller's answer to a heartbeat.
    pub fn answered(&mut self, out: &Outgoing, answer: ReportAnswer, now: Millis) {
        let nodes = self.nodes;
        let hears = self.hears(&out.host, out.node, now);
        let Some(machine) = self.hosts.get_mut(&out.host).filter(|_| hears) else {
            return;
        };
        let alive = machine.dead.is_none() && machine.deaf_until <= now;
        let number = out.report.tally;
        let Some((sent, _)) = machine.in_flight.filter(|(_, n)| alive && *n == number) else {
            return;
        };
        machine.in_flight = None;
        match answer {
            ReportAnswer::Orders { baton, orders } => {
                // Dropped: its lease is not renewed, its commands are not executed.
                if baton < machine.baton {
                    return;
                }
                if baton > machine.baton {
                    machine.baton = baton;
                    machine.next_report = now + SOON;
                }
                machine.lease_from = sent;
                machine.renewed = Some((out.node, now));
                self.execute(&out.host, orders, now);
            }
            ReportAnswer::Elsewhere(Some(foreman)) => {
                let node = (0..nodes).find(|i| Config::label(*i) == foreman.as_str());
                machine.node = node.unwrap_or((machine.node + 1) % nodes);
                machine.next_report = now + Millis(100);
            }
            _ => {
                machine.node = (machine.node + 1) % nodes;
                machine.next_report = now + Millis(1_000);
            }
        }
    }

    /// Orders sent directly; whether they were executed.
    pub fn direct(
        &mut self,
        host: &HostId,
        baton: Baton,
        session: Session,
        orders: Vec<Order>,
        now: Millis,
    ) -> bool {
        let Some(machine) = self.hosts.get_mut(host) else {
            return false;
        };
        let obeyed = baton >= machine.baton && session.0 == machine.session;
        if obeyed {
            machine.baton = machine.baton.max(baton);
            self.execute(host, orders, now);
        }
        if let Some(machine) = self.hosts.get_mut(host) {
            machine.tally += 1;
            machine.next_report = machine.next_report.min(now + Millis(500));
        }
        obeyed
    }

    fn used(&self, machine: &Machine) -> Room {
        let alive = machine
            .tasks
            .iter()
            .filter(|(_, t)| t.stage != TaskStage::Exited);
        let rooms = alive.filter_map(|(id, _)| Some(self.jobs.get(&id.job)?.spec.room));
        rooms.fold(Room::default(), Room::plus)
    }

    fn fetched_at(&mut self, host: &HostId, image: &Image, gb: f64, now: Millis) -> Millis {
        let takes = match self.fetch.clone() {
            Some(range) => self.rng.random_range(range) as f64,
            None => gb / self.rig.fetch_gb_per_s * self.rng.random_range(670.0..1_330.0),
        };
        let machine = self.hosts.get_mut(host);
        let Some(machine) = machine else { return NEVER };
        let there = machine.images.entry(image.clone());
        *there.or_insert(now + Millis(takes as u64))
    }

    fn execute(&mut self, host: &HostId, orders: Vec<Order>, now: Millis) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start(host, task, attempt, now),
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop(host, &task, attempt, grace_s, now),
                Order::Forget { task, attempt } => {
                    let Some(machine) = self.hosts.get_mut(host) else {
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

    fn start(&mut self, host: &HostId, id: TaskId, attempt: Attempt, now: Millis) {
        let Some(machine) = self.hosts.get(host) else {
            return;
        };
        let known = machine.tasks.get(&id);
        if known.is_some_and(|t| t.attempt == attempt || t.stage != TaskStage::Exited) {
            return;
        }
        let job = self.jobs.get(&id.job).filter(|j| id.index < j.spec.tasks);
        let job = job.map(|job| (job.spec.room, job.spec.image.clone(), job.spec.image_gb));
        let mut task = Task {
            attempt,
            stage: TaskStage::Fetching,
            cause: None,
            kept: false,
            until: now,
            began: now,
            told: None,
        };
        match job {
            None => task.exit(Cause::Unknown),
            Some((room, image, gb)) => {
                if self.used(machine).plus(room).fits_in(self.rig.room) {
                    task.until = self.fetched_at(host, &image, gb, now);
                } else {
                    task.exit(Cause::NoRoom);
                }
            }
        }
        if let Some(machine) = self.hosts.get_mut(host) {
            machine.tasks.insert(id, task);
            machine.next_report = machine.next_report.min(now + Millis(500));
        }
    }

    fn stop(&mut self, host: &HostId, id: &TaskId, attempt: Attempt, grace_s: f64, now: Millis) {
        let (Some(machine), Some(job)) = (self.hosts.get_mut(host), self.jobs.get(&id.job)) else {
            return;
        };
        let spec = &job.spec;
        let Some(task) = machine.tasks.get_mut(id).filter(|t| {
            let alive = t.stage != TaskStage::Exited;
            alive && t.attempt == attempt
        }) else {
            return;
        };
        machine.next_report = machine.next_report.min(now + SOON);
        let saves = spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
        match task.stage {
            TaskStage::Running if saves => {
                task.stage = TaskStage::Saving;
                task.told = Some(now);
                task.until = now + Millis::from_secs(spec.save_s);
            }
            TaskStage::Saving if grace_s > 0.0 => {}
            TaskStage::Running | TaskStage::Saving => {
                let ran = task.told.unwrap_or(now).since(task.began);
                let mark = Millis::from_secs(spec.checkpoint_s);
                let marks = ran.0.checked_div(mark.0).unwrap_or(0) * mark.0;
                if spec.shape == Shape::Array {
                    let progress = self.progress.entry(id.clone()).or_default();
                    *progress = *progress + Millis(marks);
                }
                if spec.shape != Shape::Service {
                    self.lost = self.lost + (ran - Millis(marks));
                }
                task.exit(Cause::Stopped);
            }
            _ => task.exit(Cause::Stopped),
        }
    }
}
