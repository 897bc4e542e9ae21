//! Invariants of the protocol, checked on everything that happens, and the responses that users got.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use jaspertiller::jobs::JobSpec;
use jaspertiller::jobs::api::{JobStage, JobState};
use jaspertiller::settings::TeamSettings;
use jaspertiller::types::{JobId, MachineId, Millis, Resources, TaskId, Team};

use crate::config::{Config, Timing};
use crate::machines::Machines;

/// How long polls of one job may fail while others are answered.
const MAX_POLL_FAILURE: Millis = Millis(90_000);

/// Longest time without a response about a job after all faults have ended.
const MAX_SILENCE: Millis = Millis(75_000);

/// Longest time for which a job may wait although a machine that fits has room and its team is under its limit.
const MAX_WAIT: Millis = Millis(90_000);

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

/// What a controller's response says to a user about a job.
#[derive(Clone, Debug)]
pub enum JobResponse {
    /// Accepted now, or known already.
    State(JobStage),
    /// The job is not known.
    NotFound,
    /// 400 or 422.
    Refused(u16),
    /// Any other status, or no answer.
    Later,
}

/// Shorter name of [`JobResponse`] for the models of users.
pub type Told = JobResponse;

impl From<&JobState> for JobResponse {
    fn from(state: &JobState) -> Self {
        JobResponse::State(state.stage)
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

    /// Whether the group's limits allow that its tasks use so much together.
    #[must_use]
    pub fn allows(&self, used: Resources) -> bool {
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + ROUNDING;
        within(used.cpus, self.cpus_max) && within(used.gpus, self.gpus_max)
    }
}

/// Violations that a run records at most.
const MAX_VIOLATIONS: usize = 100;

/// Slack for rounding when sums of resources are compared with limits.
const ROUNDING: f64 = 1e-6;

/// A task and the machine where it runs.
type PlacedTask<'a> = (&'a MachineId, &'a TaskId);

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
    /// For each job, when a poll of it was last answered with its state, and the longest time without such an
    /// answer since all faults ended.
    silences: BTreeMap<JobId, (Millis, Millis)>,
    /// Since when each job waits that could run.
    could_run: BTreeMap<JobId, Millis>,
    /// The longest time that each job has waited though it could run, since all faults ended.
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

    /// Records a violation of a rule; a run that breaks a rule all the time records the first ones only.
    fn broken(&mut self, rule: &str, what: impl std::fmt::Display) {
        if self.violations.len() < MAX_VIOLATIONS {
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
    pub fn told(&mut self, id: &JobId, response: &JobResponse, machines: &Machines, now: Millis) {
        match response {
            JobResponse::Later => {
                let last = self.polled.get(id).copied().unwrap_or(now);
                let others = self.answered.since(last);
                if self.accepted.contains(id) && others > MAX_POLL_FAILURE {
                    self.broken("forgotten", format!("{id}: no answer since {} ms", last.0));
                }
                self.polled.entry(id.clone()).or_insert(now);
                return;
            }
            JobResponse::NotFound if self.accepted.contains(id) => {
                self.broken("forgotten", format!("{id}: not found"));
            }
            JobResponse::Refused(status) if self.accepted.contains(id) => {
                self.broken("forgotten", format!("{id}: {status}"));
            }
            JobResponse::NotFound | JobResponse::Refused(_) => {}
            JobResponse::State(stage) => self.state(id, *stage, machines, now),
        }
        self.polled.insert(id.clone(), now);
        self.answered = now;
    }

    /// Takes the stage that a response reports: jobs may not end before their tasks, nor leave a final stage.
    fn state(&mut self, id: &JobId, stage: JobStage, machines: &Machines, now: Millis) {
        if !self.submitted.contains_key(id) {
            return self.broken("invented", id);
        }
        self.accepted.insert(id.clone());
        let silence = self.silences.entry(id.clone());
        silence.or_insert((now, Millis(0))).0 = now;
        match stage {
            JobStage::Done => self.reported_done(id, machines),
            JobStage::Aborted => self.reported_aborted(id, now),
            _ if self.done.contains(id) || self.aborted.contains_key(id) => {
                self.broken("went_back", format!("{id} to {stage:?}"));
            }
            _ => {}
        }
    }

    fn reported_done(&mut self, id: &JobId, machines: &Machines) {
        let tasks = machines.jobs.get(id).map_or(0, |job| job.spec.tasks);
        let task = |index| TaskId {
            job: id.clone(),
            index,
        };
        let incomplete = (0..tasks).find(|index| !machines.completed.contains(&task(*index)));
        if let Some(index) = incomplete {
            self.broken("not_done", format!("{id}/{index}"));
        }
        if self.aborted.contains_key(id) {
            self.broken("went_back", format!("{id} from cancelled to done"));
        }
        self.done.insert(id.clone());
    }

    fn reported_aborted(&mut self, id: &JobId, now: Millis) {
        if self.done.contains(id) || !self.wanted_aborts.contains_key(id) {
            self.broken("went_back", format!("{id} to cancelled"));
        }
        self.aborted.entry(id.clone()).or_insert(now);
    }

    /// A user asks about a job.
    pub fn asked(&mut self, id: &JobId, now: Millis) {
        if let Some((last, longest)) = self.silences.get_mut(id) {
            *longest = (*longest).max(now.since((*last).max(self.calm)));
        }
    }

    /// Jobs whose polls got no answer for longer than is allowed after all faults ended, and for how long.
    pub fn unheard(&self) -> Vec<(JobId, Millis)> {
        let silences = self
            .silences
            .iter()
            .map(|(id, (_, longest))| (id.clone(), *longest));
        silences
            .filter(|(_, silence)| *silence > MAX_SILENCE)
            .collect()
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
        waited.filter(|(_, waited)| *waited > MAX_WAIT).collect()
    }

    /// Checks all machines after a step in which the tasks `started` began on theirs.
    pub fn check(&mut self, started: &[(MachineId, TaskId)], machines: &Machines, now: Millis) {
        self.starts += started.len() as u64;
        let present: Vec<PlacedTask> = machines.tasks_started(now).collect();
        self.check_cancelled(&present, now);
        if started.is_empty() {
            return;
        }
        let tasks_by_job = tasks_of_started_jobs(started, &present);
        for (machine_id, task) in started {
            self.first_start.entry(task.job.clone()).or_insert(now);
            let tasks_of_job = tasks_by_job.get(&task.job).map_or(&[][..], Vec::as_slice);
            self.check_runs_once(machine_id, task, tasks_of_job, now);
            self.check_place(machine_id, task, tasks_of_job, machines);
        }
        self.check_quotas(&present, machines, now);
    }

    /// No task of a job may run long after its user learned that the job is cancelled.
    fn check_cancelled(&mut self, present: &[PlacedTask], now: Millis) {
        for (machine_id, task) in present {
            let cancelled_at = self.aborted.get(&task.job);
            if cancelled_at.is_some_and(|at| now.since(*at) > self.cancel) {
                self.broken(
                    "ran_cancelled",
                    format!("{task} on {machine_id} at {}", now.0),
                );
            }
        }
    }

    /// A task that started may not run on another machine, too.
    fn check_runs_once(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        tasks_of_job: &[PlacedTask],
        now: Millis,
    ) {
        let elsewhere = tasks_of_job
            .iter()
            .find(|(other_machine, other)| *other == task && *other_machine != machine_id);
        if let Some((other_machine, _)) = elsewhere {
            let at = now.0;
            self.broken(
                "ran_twice",
                format!("{task} on {machine_id} and {other_machine} at {at}"),
            );
        }
    }

    /// A task that started must belong to a known job, on a machine that the job allows.
    fn check_place(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        tasks_of_job: &[PlacedTask],
        machines: &Machines,
    ) {
        let Some(job) = machines.jobs.get(&task.job) else {
            return self.broken("invented", format!("{task} started"));
        };
        if let Some(why) = wrong_place(machine_id, task, &job.spec, tasks_of_job, machines) {
            self.broken("wrong_place", why);
        }
    }

    /// The tasks of each group of teams must stay under the group's limits.
    fn check_quotas(&mut self, present: &[PlacedTask], machines: &Machines, now: Millis) {
        let used = use_by_team(present, machines);
        for index in 0..self.groups.len() {
            let group = &self.groups[index];
            let amounts = group.teams.iter().filter_map(|team| used.get(team));
            let sum = amounts.fold(Resources::default(), |sum, resources| sum.plus(*resources));
            if group.allows(sum) {
                continue;
            }
            let tasks = tasks_of_group(group, present, machines);
            let violation = format!("{} uses {sum:?} at {}: {tasks:?}", group.name, now.0);
            self.broken("quota", violation);
        }
    }

    /// The last rule: something must have run.
    pub fn finish(&mut self) {
        if self.starts == 0 {
            self.broken("nothing_ran", "no task was started");
        }
    }
}

/// All tasks present of the jobs of which a task started, by job.
fn tasks_of_started_jobs<'a>(
    started: &'a [(MachineId, TaskId)],
    present: &[PlacedTask<'a>],
) -> HashMap<&'a JobId, Vec<PlacedTask<'a>>> {
    let mut tasks_by_job: HashMap<&JobId, Vec<PlacedTask>> = HashMap::new();
    for (_, task) in started {
        tasks_by_job.entry(&task.job).or_default();
    }
    for (machine_id, task) in present {
        if let Some(tasks) = tasks_by_job.get_mut(&task.job) {
            tasks.push((machine_id, task));
        }
    }
    tasks_by_job
}

/// Resources that the tasks present use, by team.
fn use_by_team<'a>(
    present: &[PlacedTask],
    machines: &'a Machines,
) -> BTreeMap<&'a Team, Resources> {
    let mut used: BTreeMap<&Team, Resources> = BTreeMap::new();
    for (_, task) in present {
        if let Some(job) = machines.jobs.get(&task.job) {
            let sum = used.entry(&job.spec.team).or_default();
            *sum = sum.plus(job.spec.resources);
        }
    }
    used
}

/// The tasks present of a group's teams, each with its machine, for the text of a violation.
fn tasks_of_group(group: &Group, present: &[PlacedTask], machines: &Machines) -> Vec<String> {
    let is_in_group = |id: &JobId| {
        let job = machines.jobs.get(id);
        job.is_some_and(|job| group.teams.contains(&job.spec.team))
    };
    present
        .iter()
        .filter(|(_, task)| is_in_group(&task.job))
        .map(|(machine_id, task)| format!("{task} on {machine_id}"))
        .collect()
}

/// Why a task may not run on its machine, by the machine's kind and zone and by its job's other tasks; none if it may.
fn wrong_place(
    machine_id: &MachineId,
    task: &TaskId,
    spec: &JobSpec,
    tasks_of_job: &[PlacedTask],
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
    for (machine_id, _) in tasks_of_job {
        if let Some(machine) = machines.by_id.get(*machine_id) {
            *zones.entry(&machine.zone).or_default() += 1;
        }
    }
    let here = zones.get(&machine.zone).copied().unwrap_or_default();
    let apart = spec.one_zone && zones.len() > 1;
    let crowded = spec.spread && here > spec.max_tasks_per_zone();
    (apart || crowded).then(|| format!("{task} in {zones:?}"))
}
