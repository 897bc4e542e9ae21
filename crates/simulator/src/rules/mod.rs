//! Invariants of the protocol, checked on everything that happens. [`Rules`] keeps what users learned of their jobs
//! from responses; `running` checks the tasks on the machines. Both `sim` and `live` feed it.

mod running;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use jaspertiller::jobs::api::{JobStage, JobState};
use jaspertiller::settings::TeamSettings;
use jaspertiller::types::{JobId, Millis, Resources, TaskId, Team};

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

    /// The last rule: something must have run.
    pub fn finish(&mut self) {
        if self.starts == 0 {
            self.broken("nothing_ran", "no task was started");
        }
    }
}
