//! Tasks that left their machines, on their way to the controller that writes their job.
//!
//! A job's tasks stand on the machines of several holders, and each of them used to write what it
//! saw itself: several changes for what fits one, and half of them overtaken by each other. So the
//! holder tells the job's home, which writes for all. What the home can't do, or does not in time,
//! the holder still writes itself.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap as HashMap;

use crate::jobs::cache::{Evidence, Job, TaskChange};
use crate::peers::TaskDeparture;
use crate::types::{Attempt, ControllerId, FencingToken, JobId, Millis};

/// What was told is told again after this long: a message may be lost.
const AGAIN: Millis = Millis(4_000);
/// A message of this many fits a frame by far.
const MOST: usize = 2_000;

/// A job with more noted changes than this is looked over only so often: each look goes through all
/// of them, and an array of 25,000 tasks has some in every heartbeat.
const MANY: usize = 100;
const LOOK_EVERY: Millis = Millis(400);

#[derive(Debug, Default)]
pub struct CompletionForwarder {
    /// Jobs with many changes, when they were looked over last, and whether there is more since.
    looked: HashMap<JobId, (Millis, bool)>,
    forwarded_at: HashMap<JobId, BTreeMap<u32, (Attempt, Millis)>>,
    outbox: BTreeMap<ControllerId, Vec<TaskDeparture>>,
}

/// What is told of a change, if it is one that another may write: evidence of its holder.
fn forwarded_at(
    id: &JobId,
    index: u32,
    change: &TaskChange,
    token: impl Fn(u32) -> Option<FencingToken>,
) -> Option<TaskDeparture> {
    let (attempt, token, done) = match change {
        TaskChange::Finish { attempt } => (*attempt, token(index)?, true),
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

impl CompletionForwarder {
    /// Whether a look at the job's changes can wait; it comes up again in `due`.
    pub fn waits(&mut self, job: &Job, now: Millis) -> bool {
        if job.changes.len() <= MANY {
            return false;
        }
        let (last, more) = self.looked.entry(job.id.clone()).or_default();
        let waits = *last > Millis(0) && now.since(*last) < LOOK_EVERY;
        if !waits {
            *last = now;
        }
        *more = waits;
        waits
    }

    /// Jobs whose look has waited long enough.
    pub fn due(&mut self, now: Millis) -> Vec<JobId> {
        let mut due = Vec::new();
        self.looked.retain(|job, (last, more)| {
            let over = now.since(*last) >= LOOK_EVERY;
            if over && *more {
                due.push(job.clone());
            }
            !over
        });
        due
    }

    /// Tells `owner` of all that is noted of a job. False if not all of it can be written there;
    /// then nothing is told.
    pub fn tell(
        &mut self,
        owner: &ControllerId,
        job: &Job,
        token: impl Fn(u32) -> Option<FencingToken>,
        now: Millis,
    ) -> bool {
        let changes = job.changes.iter();
        let all: Option<Vec<TaskDeparture>> = changes
            .map(|(index, change)| forwarded_at(&job.id, *index, change, &token))
            .collect();
        let Some(all) = all else { return false };
        let known = self.forwarded_at.entry(job.id.clone()).or_default();
        let outbox = self.outbox.entry(owner.clone()).or_default();
        for left in all {
            let attempt = Attempt(left.attempt);
            let again = known
                .get(&left.index)
                .is_none_or(|(of, at)| *of != attempt || now.since(*at) >= AGAIN);
            if again && outbox.len() < MOST {
                known.insert(left.index, (attempt, now));
                outbox.push(left);
            }
        }
        true
    }

    /// What is to be sent, by home.
    pub fn take(&mut self) -> BTreeMap<ControllerId, Vec<TaskDeparture>> {
        std::mem::take(&mut self.outbox)
    }

    /// The jobs of which something was told and nothing came yet; `pending` says of which that
    /// still holds.
    pub fn pending(&mut self, pending: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        self.forwarded_at.retain(|job, _| pending(job));
        self.forwarded_at.keys().cloned().collect()
    }
}

impl TaskDeparture {
    /// What the home notes, if the records still say that the task is on that machine.
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
