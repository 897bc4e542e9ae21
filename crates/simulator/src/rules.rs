//! Invariants of the protocol, checked on everything that happens, and the responses that users got.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use jaspertiller::jobs::JobSpec;
use jaspertiller::jobs::api::{JobStage, JobState};
use jaspertiller::settings::TeamSettings;
use jaspertiller::types::{JobId, MachineId, Millis, Resources, TaskId, Team};

use crate::config::{Config, Timing};
use crate::machines::Machines;

/// How long polls of one job may fail while others are answered.
const FORGOTTEN: Millis = Millis(90_000);

/// Longest time without a response about a job after all faults have ended.
const UNHEARD: Millis = Millis(75_000);

/// Longest time for which a job may wait although a machine that fits has room and its team is under its limit.
const LEFT_WAITING: Millis = Millis(90_000);

/// Names of the rules, as in the protocol's description.
pub const RULES: &[&str] = &[
    "ran_twice",
    "quota",
    "wrong_place",
    "ran_cancelled",
    "forgotten",
    "invented",
    "not_done",
    "went_back",
    "nothing_ran",
];

/// What a response told a user.
#[derive(Clone, Debug)]
pub enum Told {
    /// Accepted now, or known already.
    State(JobStage),
    /// The job is not known.
    NotFound,
    /// 400 or 422.
    Refused(u16),
    /// Any other status, or no answer.
    Later,
}

impl From<&JobState> for Told {
    fn from(state: &JobState) -> Self {
        Told::State(state.stage)
    }
}

/// Teams whose tasks share a limit.
pub struct Group {
    /// Name for violations.
    pub name: String,
    /// The teams.
    pub teams: Vec<Team>,
    /// Most CPUs that their tasks may use together; 0 means no limit.
    pub cpus_max: f64,
    /// Most GPUs that their tasks may use together; 0 means no limit.
    pub gpus_max: f64,
}

impl Group {
    /// A group of one team with its own limits.
    pub fn team(team: &TeamSettings) -> Self {
        Self {
            name: team.name.to_string(),
            teams: vec![team.name.clone()],
            cpus_max: team.cpus_max,
            gpus_max: team.gpus_max,
        }
    }
}

/// Checks the invariants, and keeps what users know of their jobs.
#[derive(Default)]
pub struct Rules {
    /// Violations found, each with the rule and what happened.
    pub violations: BTreeSet<String>,
    /// Groups of teams with shared limits.
    pub groups: Vec<Group>,
    /// Jobs whose users know that they were accepted.
    pub accepted: HashSet<JobId>,
    /// Jobs whose users know that they are done.
    pub done: HashSet<JobId>,
    /// Jobs whose users know that they are cancelled, and since when.
    pub aborted: HashMap<JobId, Millis>,
    /// Jobs whose users asked to cancel them, and when they did first.
    pub wanted_aborts: HashMap<JobId, Millis>,
    /// When each job was first submitted.
    pub submitted: HashMap<JobId, Millis>,
    /// When the first task of each job started.
    pub first_start: HashMap<JobId, Millis>,
    /// When a poll of each job was last answered.
    polled: HashMap<JobId, Millis>,
    /// When any poll was last answered.
    answered: Millis,
    /// When all faults have ended: from then on users must get responses in time.
    pub calm: Millis,
    /// Of each job when a question about it was last answered with its state, and the longest time
    /// without that since the troubles were over.
    silences: BTreeMap<JobId, (Millis, Millis)>,
    /// Since when each job waits that could run, and the longest that one has waited since the troubles
    /// were over.
    could_run: BTreeMap<JobId, Millis>,
    waited: BTreeMap<JobId, Millis>,
    /// Tasks that started.
    pub starts: u64,
    /// How long tasks may run after a user learned of the cancellation.
    cancel: Millis,
}

impl Rules {
    /// Rules for a cluster: each team is a group of its own.
    pub fn new(config: &Config) -> Self {
        let Timing { cancel, .. } = config.timing;
        Self {
            groups: config.teams.iter().map(Group::team).collect(),
            cancel,
            ..Self::default()
        }
    }

    fn broken(&mut self, rule: &str, what: impl std::fmt::Display) {
        if self.violations.len() < 100 {
            self.violations.insert(format!("{rule}: {what}"));
        }
    }

    /// A user submits a job.
    pub fn submit(&mut self, id: &JobId, now: Millis) {
        self.submitted.entry(id.clone()).or_insert(now);
    }

    /// A user asks to cancel a job.
    pub fn wants_abort(&mut self, id: &JobId, now: Millis) {
        self.wanted_aborts.entry(id.clone()).or_insert(now);
    }

    /// What the answer to a submission, poll or cancellation says.
    pub fn told(&mut self, id: &JobId, told: &Told, machines: &Machines, now: Millis) {
        match told {
            Told::Later => {
                let last = self.polled.get(id).copied().unwrap_or(now);
                let others = self.answered.since(last);
                if self.accepted.contains(id) && others > FORGOTTEN {
                    self.broken("forgotten", format!("{id}: no answer since {} ms", last.0));
                }
                self.polled.entry(id.clone()).or_insert(now);
                return;
            }
            Told::NotFound if self.accepted.contains(id) => {
                self.broken("forgotten", format!("{id}: not found"));
            }
            Told::Refused(status) if self.accepted.contains(id) => {
                self.broken("forgotten", format!("{id}: {status}"));
            }
            Told::NotFound | Told::Refused(_) => {}
            Told::State(stage) => self.state(id, *stage, machines, now),
        }
        self.polled.insert(id.clone(), now);
        self.answered = now;
    }

    fn state(&mut self, id: &JobId, stage: JobStage, machines: &Machines, now: Millis) {
        if !self.submitted.contains_key(id) {
            return self.broken("invented", id);
        }
        self.accepted.insert(id.clone());
        let silence = self.silences.entry(id.clone());
        silence.or_insert((now, Millis(0))).0 = now;
        match stage {
            JobStage::Done => {
                let tasks = machines.jobs.get(id).map_or(0, |job| job.spec.tasks);
                let task = |index| TaskId {
                    job: id.clone(),
                    index,
                };
                let left = (0..tasks).find(|i| !machines.completed.contains(&task(*i)));
                if let Some(index) = left {
                    self.broken("not_done", format!("{id}/{index}"));
                }
                if self.aborted.contains_key(id) {
                    self.broken("went_back", format!("{id} from cancelled to done"));
                }
                self.done.insert(id.clone());
            }
            JobStage::Aborted => {
                if self.done.contains(id) || !self.wanted_aborts.contains_key(id) {
                    self.broken("went_back", format!("{id} to cancelled"));
                }
                self.aborted.entry(id.clone()).or_insert(now);
            }
            _ if self.done.contains(id) || self.aborted.contains_key(id) => {
                self.broken("went_back", format!("{id} to {stage:?}"));
            }
            _ => {}
        }
    }

    /// A user asks about a job.
    pub fn asked(&mut self, id: &JobId, now: Millis) {
        if let Some((last, longest)) = self.silences.get_mut(id) {
            *longest = (*longest).max(now.since((*last).max(self.calm)));
        }
    }

    /// Jobs about which users asked and heard nothing for longer than is allowed once the troubles
    /// were over, and for how long.
    pub fn unheard(&self) -> Vec<(JobId, Millis)> {
        let silences = self
            .silences
            .iter()
            .map(|(id, (_, longest))| (id.clone(), *longest));
        silences.filter(|(_, silence)| *silence > UNHEARD).collect()
    }

    /// Jobs that wait now though they could run.
    pub fn note_waiting(&mut self, jobs: Vec<JobId>, now: Millis) {
        let before = std::mem::take(&mut self.could_run);
        for id in jobs {
            let since = before.get(&id).copied().unwrap_or(now);
            let waited = self.waited.entry(id.clone()).or_default();
            *waited = (*waited).max(now.since(since));
            self.could_run.insert(id, since);
        }
    }

    /// Jobs that were left waiting though they could run, and for how long.
    pub fn left_waiting(&self) -> Vec<(JobId, Millis)> {
        let waited = self.waited.iter().map(|(id, waited)| (id.clone(), *waited));
        waited
            .filter(|(_, waited)| *waited > LEFT_WAITING)
            .collect()
    }

    /// Looks at all machines after a step in which these tasks came on theirs.
    pub fn check(&mut self, started: &[(MachineId, TaskId)], machines: &Machines, now: Millis) {
        self.starts += started.len() as u64;
        let present: Vec<(&MachineId, &TaskId)> = machines.tasks_started(now).collect();
        let spec = |id: &JobId| machines.jobs.get(id).map(|job| &job.spec);
        for (machine_id, task) in &present {
            let told = self.aborted.get(&task.job);
            if told.is_some_and(|at| now.since(*at) > self.cancel) {
                self.broken(
                    "ran_cancelled",
                    format!("{task} on {machine_id} at {}", now.0),
                );
            }
        }
        if started.is_empty() {
            return;
        }
        // Tasks of the jobs that started something, by job.
        let mut of_job: HashMap<&JobId, Vec<(&MachineId, &TaskId)>> = HashMap::new();
        for (_, task) in started {
            of_job.entry(&task.job).or_default();
        }
        let mut used: BTreeMap<&Team, Resources> = BTreeMap::new();
        for (machine_id, task) in &present {
            if let Some(tasks) = of_job.get_mut(&task.job) {
                tasks.push((machine_id, task));
            }
            if let Some(spec) = spec(&task.job) {
                let sum = used.entry(&spec.team).or_default();
                *sum = sum.plus(spec.resources);
            }
        }
        for (machine_id, task) in started {
            let first = self.first_start.entry(task.job.clone());
            first.or_insert(now);
            let its = of_job.get(&task.job).map_or(&[][..], Vec::as_slice);
            let mut on = its.iter().filter(|(_, other)| *other == task);
            if let Some((other, _)) = on.find(|(other, _)| *other != machine_id) {
                let at = now.0;
                self.broken(
                    "ran_twice",
                    format!("{task} on {machine_id} and {other} at {at}"),
                );
            }
            let Some(spec) = spec(&task.job) else {
                self.broken("invented", format!("{task} started"));
                continue;
            };
            if let Some(why) = wrong_place(machine_id, task, spec, its, machines) {
                self.broken("wrong_place", why);
            }
        }
        for index in 0..self.groups.len() {
            let group = &self.groups[index];
            let amounts = group.teams.iter().filter_map(|team| used.get(team));
            let sum = amounts.fold(Resources::default(), |sum, resources| sum.plus(*resources));
            let over = |used: f64, most: f64| most > 0.0 && used > most + 1e-6;
            if over(sum.cpus, group.cpus_max) || over(sum.gpus, group.gpus_max) {
                let its =
                    |id: &JobId| spec(id).is_some_and(|spec| group.teams.contains(&spec.team));
                let by = present.iter().filter(|(_, task)| its(&task.job));
                let by: Vec<String> = by
                    .map(|(machine_id, task)| format!("{task} on {machine_id}"))
                    .collect();
                let what = format!("{} uses {sum:?} at {}: {by:?}", group.name, now.0);
                self.broken("quota", what);
            }
        }
    }

    /// The last rule: something must have run.
    pub fn finish(&mut self) {
        if self.starts == 0 {
            self.broken("nothing_ran", "no task was started");
        }
    }
}

fn wrong_place(
    machine_id: &MachineId,
    task: &TaskId,
    spec: &JobSpec,
    of_its_job: &[(&MachineId, &TaskId)],
    machines: &Machines,
) -> Option<String> {
    let machine = machines.by_id.get(machine_id)?;
    if machine.spot && !spec.spot {
        return Some(format!("{task} on a spot machine"));
    }
    if spec.zone.as_ref().is_some_and(|zone| *zone != machine.zone) {
        return Some(format!("{task} in zone {}", machine.zone));
    }
    let mut zones: BTreeMap<_, u32> = BTreeMap::new();
    for (machine_id, _) in of_its_job {
        if let Some(machine) = machines.by_id.get(*machine_id) {
            *zones.entry(&machine.zone).or_default() += 1;
        }
    }
    let here = zones.get(&machine.zone).copied().unwrap_or_default();
    let apart = spec.one_zone && zones.len() > 1;
    let crowded = spec.spread && here > spec.max_tasks_per_zone();
    (apart || crowded).then(|| format!("{task} in {zones:?}"))
}
