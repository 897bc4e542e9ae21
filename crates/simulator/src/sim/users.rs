//! Simulated users, who submit, poll and cancel jobs, and the handling of responses to them.

use jaspertiller::controller::Event;
use jaspertiller::jobs::api::{self, JobStage, Response};
use jaspertiller::types::{JobId, Millis, TaskId};
use rand::Rng;
use serde_json::{Value, json};

use super::World;
use super::message::{PendingReply, ScheduledMessage};
use crate::machines::JobDescription;
use crate::rules::JobResponse;

/// A user repeats a submission after this many milliseconds, until the job is over.
const RESUBMIT_INTERVAL: u64 = 5_000;
/// A user polls a job for the first time this many milliseconds after its acceptance.
const FIRST_POLL_DELAY: u64 = 1_000;
/// Poll interval for an open job, in milliseconds.
const POLL_INTERVAL: u64 = 2_000;
/// Poll interval for a job that is over, in milliseconds. Polling continues to check that the final state does not
/// change.
const FINISHED_POLL_INTERVAL: u64 = 9_000;
/// A user repeats a cancellation after this many milliseconds, until the job is over.
const ABORT_INTERVAL: u64 = 2_000;
/// In a completion race each request is sent within this many milliseconds after the last task completed.
const COMPLETION_RACE_WINDOW: u64 = 1_500;

/// A job of the cluster's users.
#[derive(Clone)]
pub struct JobPlan {
    /// Body of the submission.
    pub body: Value,
    /// Run time of each task in milliseconds.
    pub run_ms: u64,
    /// Time of submission in milliseconds; `None` means a random time from 0.5 s to 30.5 s.
    pub at: Option<u64>,
    /// Whether its tasks fail on every machine.
    pub broken: bool,
}

impl JobPlan {
    /// Identity of the job from the submission's body; empty if the body has none.
    pub fn id(&self) -> JobId {
        self.body["id"].as_str().unwrap_or_default().into()
    }
}

/// A job of `tasks` tasks that run `run_ms` milliseconds each, submitted at a random time. Services run until they
/// are cancelled.
pub fn job(id: usize, team: &str, kind: &str, tasks: u32, gpus: f64, run_ms: u64) -> JobPlan {
    let array = kind == "sweep";
    let body = json!({"id": format!("job-{id:06}"), "lot": "x", "crew": team, "shape": kind,
        "rank": if array { "normal" } else { "urgent" }, "picks": tasks,
        "vcpus": 1.0, "accelerators": gpus, "memoryGb": 1.0, "kit": format!("img-{id}"),
        "sizeGb": 0.7, "rigs": null, "yard": null, "oneZone": kind == "gang",
        "spread": kind == "standing", "loaners": array, "expectS": run_ms as f64 / 1e3,
        "markS": if array { 2.0 } else { 0.0 }, "stashS": 1.0, "dueS": null});
    JobPlan {
        body,
        run_ms,
        at: None,
        broken: false,
    }
}

impl World {
    /// Schedules the submission of a job.
    pub fn submit(&mut self, plan: JobPlan) {
        // Drawn for every plan, so that a plan with a fixed time does not change later draws.
        let random_time = 500 + self.rng.random_range(0..30_000);
        let at = plan.at.unwrap_or(random_time);
        self.jobs.push(plan);
        let job_index = self.jobs.len() - 1;
        self.post(at, ScheduledMessage::Submit { job_index });
    }

    /// Schedules the cancellation of the job with this index in `jobs`.
    pub fn abort_at(&mut self, at: u64, job: usize) {
        let id = self.jobs[job].id();
        self.post(at, ScheduledMessage::Abort(id));
    }

    /// Whether a response has reported the job as done or cancelled.
    pub(super) fn is_over(&self, id: &JobId) -> bool {
        self.rules.aborted.contains_key(id) || self.rules.done.contains(id)
    }

    /// Sends a submission now, and schedules its repetition unless the job is over.
    pub(super) fn send_submission(&mut self, job_index: usize) {
        let body = self.jobs[job_index].body.to_string();
        let submission = api::parse(body.as_bytes());
        if let Ok((id, spec)) = &submission {
            // Users upload the job description before they submit the job.
            let plan = &self.jobs[job_index];
            let description = JobDescription {
                spec: spec.clone(),
                run_time: Millis(plan.run_ms),
                broken: plan.broken,
            };
            let descriptions = &mut self.machines.jobs;
            descriptions.entry(id.clone()).or_insert(description);
            self.rules.submit(id, Millis(self.now));
        }
        let id = self.jobs[job_index].id();
        let reply = self.expect_reply(PendingReply::User(id.clone()));
        self.send_request(&id, Event::Submit { reply, submission });
        // A request may be lost, and a submission is idempotent, so it is repeated.
        if !self.is_over(&id) {
            let at = self.now + RESUBMIT_INTERVAL;
            self.post(at, ScheduledMessage::Submit { job_index });
        }
    }

    /// Polls a job now, and schedules the next poll.
    pub(super) fn send_poll(&mut self, job: JobId) {
        let reply = self.expect_reply(PendingReply::User(job.clone()));
        let interval = if self.is_over(&job) {
            FINISHED_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        self.post(self.now + interval, ScheduledMessage::Poll(job.clone()));
        self.send_request(&job.clone(), Event::Poll { reply, job });
    }

    /// Cancels a job now unless it is over, and schedules the repetition.
    pub(super) fn send_abort(&mut self, job: JobId) {
        if self.is_over(&job) {
            return;
        }
        self.rules.wants_abort(&job, Millis(self.now));
        let reply = self.expect_reply(PendingReply::User(job.clone()));
        let at = self.now + ABORT_INTERVAL;
        self.post(at, ScheduledMessage::Abort(job.clone()));
        self.send_request(&job.clone(), Event::Cancel { reply, job });
    }

    /// Sends a user's request to a random controller; it is lost if a partition separates the two.
    fn send_request(&mut self, id: &JobId, event: Event) {
        self.rules.asked(id, Millis(self.now));
        let controller = self.rng.random_range(0..self.controllers.len());
        let zone = &self.settings[controller].zone;
        if self.zone_cut(Some(zone), None).is_none() {
            self.handle(controller, event);
        }
    }

    /// Processes a controller's response to the user of a job.
    pub(super) fn receive_response(&mut self, id: JobId, response: &Response) {
        let job_response = match response {
            Response::Accepted(_) => JobResponse::State(JobStage::Queued),
            Response::State(state) => state.into(),
            Response::UnknownJob => JobResponse::NotFound,
            Response::Malformed(_) => JobResponse::Refused(400),
            Response::Infeasible(_) => JobResponse::Refused(422),
            Response::RetryAfter(_) => JobResponse::Later,
        };
        if matches!(response, Response::Accepted(_)) {
            let at = self.now + FIRST_POLL_DELAY;
            self.post(at, ScheduledMessage::Poll(id.clone()));
        }
        let now = Millis(self.now);
        self.rules.told(&id, &job_response, &self.machines, now);
    }

    /// Lets the users of a share of jobs cancel, poll and resubmit shortly after the last task of their job completes.
    pub(super) fn race_completions(&mut self) {
        for job_index in 0..self.jobs.len() {
            let id = self.jobs[job_index].id();
            if self.completed_jobs.contains(&id) || !self.is_completed(&id) {
                continue;
            }
            self.completed_jobs.insert(id.clone());
            let share = self.completion_race_share;
            if share > 0.0 && self.rng.random_bool(share) {
                self.race_completion(id, job_index);
            }
        }
    }

    fn race_completion(&mut self, id: JobId, job_index: usize) {
        self.fault_counts.completion_races += 1;
        let messages = [
            ScheduledMessage::Abort(id.clone()),
            ScheduledMessage::Poll(id),
            ScheduledMessage::Submit { job_index },
        ];
        for message in messages {
            let at = self.now + self.rng.random_range(0..COMPLETION_RACE_WINDOW);
            self.post(at, message);
        }
    }

    /// Whether every task of a job has completed.
    fn is_completed(&self, id: &JobId) -> bool {
        let Some(job) = self.machines.jobs.get(id) else {
            return false;
        };
        let task = |index| TaskId {
            job: id.clone(),
            index,
        };
        let mut tasks = (0..job.spec.tasks).map(task);
        tasks.all(|task| self.machines.completed.contains(&task))
    }
}
