//! Cancellation requests that wait for the end of their job.
//!
//! The response is sent once it is proven that no task of the job is left on any machine. Otherwise a
//! machine that no controller can reach could make the response wrong later.

use std::collections::BTreeMap;

use crate::types::{JobId, Millis, ReplyId};

/// How long a request waits for the tasks to leave before its user is asked to retry.
const REPLY_TIMEOUT: Millis = Millis(500);

/// A request that waits for the end of a job.
#[derive(Debug)]
struct WaitingReply {
    reply: ReplyId,
    deadline: Millis,
}

/// Requests that wait for the end of cancelled jobs.
#[derive(Debug, Default)]
pub struct PendingCancellations {
    waiting: BTreeMap<JobId, Vec<WaitingReply>>,
}

impl PendingCancellations {
    /// Adds a request that waits for the end of a job from `now` on.
    pub fn add(&mut self, job: &JobId, reply: ReplyId, now: Millis) {
        let deadline = now + REPLY_TIMEOUT;
        let waiting = self.waiting.entry(job.clone()).or_default();
        waiting.push(WaitingReply { reply, deadline });
    }

    /// Whether a request waits for the end of a job.
    pub fn waits_for(&self, job: &JobId) -> bool {
        self.waiting.contains_key(job)
    }

    /// Takes the requests whose job is over.
    #[must_use]
    pub fn take_finished(&mut self, is_over: impl Fn(&JobId) -> bool) -> Vec<(JobId, ReplyId)> {
        let mut finished = Vec::new();
        self.waiting.retain(|job, replies| {
            let over = is_over(job);
            if over {
                let replies = replies.iter().map(|waiting| (job.clone(), waiting.reply));
                finished.extend(replies);
            }
            !over
        });
        finished
    }

    /// Takes the requests that have waited long enough.
    #[must_use]
    pub fn take_expired(&mut self, now: Millis) -> Vec<ReplyId> {
        let mut expired = Vec::new();
        self.waiting.retain(|_, replies| {
            replies.retain(|waiting| {
                let in_time = now < waiting.deadline;
                if !in_time {
                    expired.push(waiting.reply);
                }
                in_time
            });
            !replies.is_empty()
        });
        expired
    }
}

#[cfg(test)]
mod tests;
