//! Forwards departures of tasks to the controller that owns their job.
//!
//! A departure is a completed or released task that has left its machine. A job's tasks run on
//! machines of several shard holders. If each holder wrote the departures that it observes, that would
//! take several transactions where one is enough, and half of them would conflict. So a holder forwards
//! departures to the job's owner, which writes for all holders. A holder still writes those itself that
//! the owner can't write or does not write in time.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap as HashMap;

use crate::jobs::cache::{Evidence, Job, TaskChange};
use crate::peers::TaskDeparture;
use crate::types::{Attempt, ControllerId, FencingToken, JobId, Millis};

/// A departure that the records don't show yet is sent again after this long, since the message may
/// have been lost.
const RESEND_INTERVAL: Millis = Millis(4_000);
/// Maximum number of departures in one message, which keeps it well below the largest frame.
const MAX_DEPARTURES: usize = 2_000;

/// Jobs with more pending changes than this are scanned at most every `SCAN_INTERVAL`, since each scan
/// goes through all changes, and an array of 25,000 tasks has some in every heartbeat.
const MAX_UNTHROTTLED_CHANGES: usize = 100;
/// Minimum time between two scans of a job with more changes than `MAX_UNTHROTTLED_CHANGES`.
const SCAN_INTERVAL: Millis = Millis(400);

/// The last scan of a job with more pending changes than `MAX_UNTHROTTLED_CHANGES`.
#[derive(Debug, Default)]
struct Scan {
    at: Millis,
    /// Whether a later scan was deferred.
    deferred: bool,
}

/// What was forwarded for each task of a job: the attempt that left, and when it was last sent.
type ForwardedTasks = BTreeMap<u32, (Attempt, Millis)>;

/// Departures that are being forwarded to the owners of their jobs.
#[derive(Debug, Default)]
pub struct CompletionForwarder {
    /// The last scans of jobs with many pending changes.
    scans: HashMap<JobId, Scan>,
    /// What was forwarded and may not be written yet.
    forwarded: HashMap<JobId, ForwardedTasks>,
    /// Departures to be sent, by owner.
    outbox: BTreeMap<ControllerId, Vec<TaskDeparture>>,
}

impl CompletionForwarder {
    /// Whether a scan of the job's changes is deferred; `due_scans` returns the job later.
    pub fn defers_scan(&mut self, job: &Job, now: Millis) -> bool {
        if job.pending_changes.len() <= MAX_UNTHROTTLED_CHANGES {
            return false;
        }
        let scan = self.scans.entry(job.id.clone()).or_default();
        let defers = scan.at > Millis(0) && now.since(scan.at) < SCAN_INTERVAL;
        if !defers {
            scan.at = now;
        }
        scan.deferred = defers;
        defers
    }

    /// Takes the jobs whose scan was deferred and is now due.
    pub fn due_scans(&mut self, now: Millis) -> Vec<JobId> {
        let mut due = Vec::new();
        self.scans.retain(|job, scan| {
            let expired = now.since(scan.at) >= SCAN_INTERVAL;
            if expired && scan.deferred {
                due.push(job.clone());
            }
            !expired
        });
        due
    }

    /// Queues all pending changes of a job for its owner. Returns false, and forwards none, if the
    /// owner can't write one of them. `held_token`: the token under which this controller holds the
    /// shard of a task's machine.
    pub fn forward(
        &mut self,
        owner: &ControllerId,
        job: &Job,
        held_token: impl Fn(u32) -> Option<FencingToken>,
        now: Millis,
    ) -> bool {
        let departures: Option<Vec<TaskDeparture>> = job
            .pending_changes
            .iter()
            .map(|(index, change)| departure(&job.id, *index, change, &held_token))
            .collect();
        let Some(departures) = departures else {
            return false;
        };
        let forwarded = self.forwarded.entry(job.id.clone()).or_default();
        let outbox = self.outbox.entry(owner.clone()).or_default();
        for departure in departures {
            let attempt = Attempt(departure.attempt);
            let is_due = forwarded
                .get(&departure.index)
                .is_none_or(|(of, at)| *of != attempt || now.since(*at) >= RESEND_INTERVAL);
            if is_due && outbox.len() < MAX_DEPARTURES {
                forwarded.insert(departure.index, (attempt, now));
                outbox.push(departure);
            }
        }
        true
    }

    /// Takes the departures to be sent, by owner.
    #[must_use]
    pub fn take_outbox(&mut self) -> BTreeMap<ControllerId, Vec<TaskDeparture>> {
        std::mem::take(&mut self.outbox)
    }

    /// The jobs with forwarded departures that are not written yet, as `unwritten` tells. The other
    /// jobs are forgotten.
    pub fn retain_unwritten(&mut self, unwritten: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        self.forwarded.retain(|job, _| unwritten(job));
        self.forwarded.keys().cloned().collect()
    }
}

/// The departure that a pending change records. `None` if the owner can't write it: a placement, or a
/// departure that is not proven by the holder of the machine's shard.
fn departure(
    id: &JobId,
    index: u32,
    change: &TaskChange,
    held_token: impl Fn(u32) -> Option<FencingToken>,
) -> Option<TaskDeparture> {
    let (attempt, token, done) = match change {
        TaskChange::Finish { attempt } => (*attempt, held_token(index)?, true),
        TaskChange::Release {
            attempt,
            evidence: Evidence::Holder(token),
        } => (*attempt, *token, false),
        TaskChange::Release { .. } | TaskChange::Place(_) => return None,
    };
    Some(TaskDeparture {
        job: id.to_string(),
        index,
        attempt: attempt.0,
        token: token.0,
        done,
    })
}

impl TaskDeparture {
    /// The pending change that the owner adds if the records still place this attempt of the task.
    pub fn change(&self) -> TaskChange {
        let attempt = Attempt(self.attempt);
        if self.done {
            TaskChange::Finish { attempt }
        } else {
            TaskChange::Release {
                attempt,
                evidence: Evidence::Holder(FencingToken(self.token)),
            }
        }
    }
}

#[cfg(test)]
mod tests;
