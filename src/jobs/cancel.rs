//! Users who wait to hear that their job is cancelled.
//!
//! They are told once no task of it is left on any machine, by evidence: what is told then can't
//! be made untrue by a machine that nobody reaches.

use std::collections::BTreeMap;

use crate::types::{JobId, Millis, ReplyId};

/// A user waits this long for the tasks to go before being told to ask again.
const WAITS: Millis = Millis(500);

#[derive(Debug, Default)]
pub struct Cancelling {
    waiting: BTreeMap<JobId, Vec<(ReplyId, Millis)>>,
}

impl Cancelling {
    pub fn add(&mut self, job: &JobId, reply: ReplyId, now: Millis) {
        let waiting = self.waiting.entry(job.clone()).or_default();
        waiting.push((reply, now + WAITS));
    }

    pub fn waits_for(&self, job: &JobId) -> bool {
        self.waiting.contains_key(job)
    }

    /// Whose job is over now.
    pub fn over(&mut self, over: impl Fn(&JobId) -> bool) -> Vec<(JobId, ReplyId)> {
        let mut told = Vec::new();
        self.waiting.retain(|job, replies| {
            let ended = over(job);
            if ended {
                told.extend(replies.iter().map(|(reply, _)| (job.clone(), *reply)));
            }
            !ended
        });
        told
    }

    /// Who has waited long enough.
    pub fn late(&mut self, now: Millis) -> Vec<ReplyId> {
        let mut late = Vec::new();
        self.waiting.retain(|_, replies| {
            replies.retain(|(reply, until)| {
                let waits = now < *until;
                if !waits {
                    late.push(*reply);
                }
                waits
            });
            !replies.is_empty()
        });
        late
    }
}

#[cfg(test)]
mod tests;
