//! Invariants of the protocol, checked on every event of a run. [`Rules`] tracks what users learned about their jobs
//! from responses; `running` checks the tasks on the machines. Both `sim` and `live` report to [`Rules`].

mod running;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use jaspertiller::jobs::api::{JobStage, JobState};
use jaspertiller::settings::TeamSettings;
use jaspertiller::types::{JobId, Millis, Resources, TaskId, Team};

use crate::config::{Config, Timing};
use crate::machines::Machines;

/// Longest time for which polls of one job may fail while other polls are answered.
const MAX_POLL_FAILURE: Millis = Millis(90_000);

/// Longest time without a response about a job after all faults have ended.
const MAX_SILENCE: Millis = Millis(75_000);

/// Longest time for which a job may wait although a suitable machine has room and its team is under its limit.
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
    /// The job was accepted now or earlier, and is in this stage.
    State(JobStage),
    /// The controller does not know the job.
    NotFound,
    /// The request was rejected with HTTP status 400 or 422.
    Refused(u16),
    /// Any other HTTP status, or no response.
    Later,
}

impl From<&JobState> for JobResponse {
    fn from(state: &JobState) -> Self {
        JobResponse::State(state.stage)
    }
}

/// Teams whose tasks share a resource limit.
pub struct Group {
    /// Name that reports of violations use.
    pub name: String,
    /// Members of the group.
    pub teams: Vec<Team>,
    /// Maximum CPUs that the tasks of all members may use together; 0 means no limit.
    pub cpus_max: f64,
    /// Maximum GPUs that the tasks of all members may use together; 0 means no limit.
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

    /// Whether the group's limits allow its tasks to use `used` in total.
    #[must_use]
    pub fn allows(&self, used: Resources) -> bool {
        let within = |used: f64, max: f64| max <= 0.0 || used <= max + ROUNDING_TOLERANCE;
        within(used.cpus, self.cpus_max) && within(used.gpus, self.gpus_max)
    }
}

/// Maximum number of violations that a run records.
const MAX_VIOLATIONS: usize = 100;

/// Tolerance for rounding errors when sums of resources are compared with limits.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Checks the invariants, and tracks what users know about their jobs.
#[derive(Default)]
pub struct Rules {
    /// Violations found, each as the rule's name and what happened.
    pub violations: BTreeSet<String>,
    /// Groups of teams with shared limits.
    pub groups: Vec<Group>,
    /// Jobs that a response reported as accepted.
    pub accepted: HashSet<JobId>,
    /// Jobs that a response reported as done.
    pub done: HashSet<JobId>,
    /// Jobs that a response reported as cancelled, with the time of the first such response.
    pub aborted: HashMap<JobId, Millis>,
    /// Jobs whose users asked to cancel them, with the time of the first request.
    pub wanted_aborts: HashMap<JobId, Millis>,
    /// Time of the first submission of each job.
    pub submitted: HashMap<JobId, Millis>,
    /// Start time of the first task of each job.
    pub first_start: HashMap<JobId, Millis>,
    /// Time of the last response about each job, or of the first failed request if there was no response yet.
    last_response: HashMap<JobId, Millis>,
    /// Time of the last response about any job.
    last_response_to_any: Millis,
    /// Time at which all faults have ended: from then on users must get responses in time.
    pub calm: Millis,
    /// For each job, the time of the last response with its state, and the longest time without such a response
    /// since all faults ended.
    silences: BTreeMap<JobId, (Millis, Millis)>,
    /// Jobs that wait although they could run, each with the time since when.
    waiting_since: BTreeMap<JobId, Millis>,
    /// Longest time for which each job has waited although it could run, since all faults ended.
    longest_waits: BTreeMap<JobId, Millis>,
    /// Number of task starts.
    pub starts: u64,
    /// Longest time for which tasks may run after a response reported the cancellation.
    cancel_limit: Millis,
}

impl Rules {
    /// Rules for a cluster in which each team is a group of its own.
    pub fn new(config: &Config) -> Self {
        let Timing { cancel, .. } = config.timing;
        Self {
            groups: config.teams.iter().map(Group::team).collect(),
            cancel_limit: cancel,
            ..Self::default()
        }
    }

    /// Records a violation of a rule. Only the first [`MAX_VIOLATIONS`] are kept, since a run may break a rule
    /// continuously.
    fn record_violation(&mut self, rule: &str, what: impl std::fmt::Display) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.insert(format!("{rule}: {what}"));
        }
    }

    /// Records that a user submits a job. Repeated submissions keep the time of the first.
    pub fn submit(&mut self, id: &JobId, now: Millis) {
        self.submitted.entry(id.clone()).or_insert(now);
    }

    /// Records that a user asks to cancel a job. Repeated requests keep the time of the first.
    pub fn wants_abort(&mut self, id: &JobId, now: Millis) {
        self.wanted_aborts.entry(id.clone()).or_insert(now);
    }

    /// Checks and records the response to a submission, poll or cancellation.
    pub fn told(&mut self, id: &JobId, response: &JobResponse, machines: &Machines, now: Millis) {
        match response {
            JobResponse::Later => {
                let last = self.last_response.get(id).copied().unwrap_or(now);
                let failing_for = self.last_response_to_any.since(last);
                if self.accepted.contains(id) && failing_for > MAX_POLL_FAILURE {
                    self.record_violation(
                        "forgotten",
                        format!("{id}: no answer since {} ms", last.0),
                    );
                }
                self.last_response.entry(id.clone()).or_insert(now);
                return;
            }
            JobResponse::NotFound if self.accepted.contains(id) => {
                self.record_violation("forgotten", format!("{id}: not found"));
            }
            JobResponse::Refused(status) if self.accepted.contains(id) => {
                self.record_violation("forgotten", format!("{id}: {status}"));
            }
            JobResponse::NotFound | JobResponse::Refused(_) => {}
            JobResponse::State(stage) => self.check_stage(id, *stage, machines, now),
        }
        self.last_response.insert(id.clone(), now);
        self.last_response_to_any = now;
    }

    /// Checks the stage that a response reports: jobs must not end before their tasks, nor leave a final stage.
    fn check_stage(&mut self, id: &JobId, stage: JobStage, machines: &Machines, now: Millis) {
        if !self.submitted.contains_key(id) {
            return self.record_violation("invented", id);
        }
        self.accepted.insert(id.clone());
        let silence = self.silences.entry(id.clone());
        silence.or_insert((now, Millis(0))).0 = now;
        match stage {
            JobStage::Done => self.check_reported_done(id, machines),
            JobStage::Aborted => self.check_reported_aborted(id, now),
            _ if self.done.contains(id) || self.aborted.contains_key(id) => {
                self.record_violation("went_back", format!("{id} to {stage:?}"));
            }
            _ => {}
        }
    }

    fn check_reported_done(&mut self, id: &JobId, machines: &Machines) {
        let tasks = machines.jobs.get(id).map_or(0, |job| job.spec.tasks);
        let task = |index| TaskId {
            job: id.clone(),
            index,
        };
        let incomplete = (0..tasks).find(|index| !machines.completed.contains(&task(*index)));
        if let Some(index) = incomplete {
            self.record_violation("not_done", format!("{id}/{index}"));
        }
        if self.aborted.contains_key(id) {
            self.record_violation("went_back", format!("{id} from cancelled to done"));
        }
        self.done.insert(id.clone());
    }

    fn check_reported_aborted(&mut self, id: &JobId, now: Millis) {
        if self.done.contains(id) || !self.wanted_aborts.contains_key(id) {
            self.record_violation("went_back", format!("{id} to cancelled"));
        }
        self.aborted.entry(id.clone()).or_insert(now);
    }

    /// Records that a user sends a request about a job, and updates the job's longest time without a response.
    pub fn asked(&mut self, id: &JobId, now: Millis) {
        if let Some((last, longest)) = self.silences.get_mut(id) {
            *longest = (*longest).max(now.since((*last).max(self.calm)));
        }
    }

    /// Jobs about which users got no response for longer than is allowed after all faults ended, with the longest
    /// such time.
    pub fn unheard(&self) -> Vec<(JobId, Millis)> {
        let silences = self
            .silences
            .iter()
            .map(|(id, (_, longest))| (id.clone(), *longest));
        silences
            .filter(|(_, silence)| *silence > MAX_SILENCE)
            .collect()
    }

    /// Records all jobs that wait at `now` although they could run. A job that is missing no longer waits.
    pub fn record_waiting_jobs(&mut self, jobs: Vec<JobId>, now: Millis) {
        let before = std::mem::take(&mut self.waiting_since);
        for id in jobs {
            let since = before.get(&id).copied().unwrap_or(now);
            let longest = self.longest_waits.entry(id.clone()).or_default();
            *longest = (*longest).max(now.since(since));
            self.waiting_since.insert(id, since);
        }
    }

    /// Jobs that waited longer than is allowed although they could run, with the longest such time.
    pub fn left_waiting(&self) -> Vec<(JobId, Millis)> {
        let waits = self
            .longest_waits
            .iter()
            .map(|(id, waited)| (id.clone(), *waited));
        waits.filter(|(_, waited)| *waited > MAX_WAIT).collect()
    }

    /// Checks at the end of a run that at least one task was started.
    pub fn finish(&mut self) {
        if self.starts == 0 {
            self.record_violation("nothing_ran", "no task was started");
        }
    }
}
