//! Accepts or rejects submissions, and computes how long a rejected user should wait before a retry.
//!
//! A submission that can't be written within `MAX_WAIT_S` is rejected at once. A rejected user is
//! asked to retry after the time that accepting the earlier rejected submissions takes at the present
//! rate, with jitter, so that the retries are spread out.

use std::collections::BTreeMap;
use std::fmt;

use crate::floors::Floors;
use crate::plan::Rate;
use crate::slots::Slot;

/// Submissions that would wait longer than this, in seconds, are rejected.
const MAX_WAIT_S: f64 = 1.0;
/// The fraction of the allowed changes that is guaranteed to submissions.
const SUBMISSION_FRACTION: f64 = 0.7;
/// The fraction of the accepted submissions that is divided among the floors of the classes while
/// some are rejected.
const CLASS_FLOOR_FRACTION: f64 = 0.5;
/// Additional pending submissions that are allowed for an urgent job, or for a class behind its floor.
const EXTRA_PENDING: usize = 2;
/// A class counts as waiting for this long, in seconds, after one of its submissions was rejected.
const REJECTED_CLASS_MEMORY_S: f64 = 3.0;
/// Lower bound of the retry delay, in seconds. The bounds are short because users give up after 60 s,
/// and a job that is not submitted again is lost, whereas rejecting an early retry costs little.
const MIN_RETRY_S: f64 = 1.0;
/// Upper bound of the retry delay, in seconds.
const MAX_RETRY_S: f64 = 6.0;
/// Rates are measured over intervals of at least this, in seconds.
const MEASUREMENT_INTERVAL_S: f64 = 1.0;
/// Weight of the newest interval in the smoothed rates.
const SMOOTHING: f64 = 0.3;
/// Lower bound of the rate at which rejected users are assumed to be accepted, in submissions a second.
const MIN_ACCEPT_RATE: Rate = 0.1;

/// How urgent a submitted job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Accepted if it can be written within `MAX_WAIT_S`.
    Normal,
    /// Accepted slightly beyond that bound, by `EXTRA_PENDING` submissions.
    Urgent,
}

/// A submission, with the values on which its acceptance depends.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionRequest {
    /// The job's class.
    pub class: Slot,
    /// How urgent the job is.
    pub urgency: Urgency,
    /// Accepted submissions that are not written yet.
    pub pending: usize,
    /// Changes a second that this controller may write.
    pub allowed: Rate,
    /// The time, in seconds.
    pub now_s: f64,
    /// A random number from 0 to 1 that spreads the retry delays.
    pub jitter: f64,
}

/// The rejection of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Seconds after which the user should retry.
    pub retry_after_s: u32,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rejected: retry after {} s", self.retry_after_s)
    }
}

impl std::error::Error for Rejected {}

/// Accepts or rejects submissions, and measures the rate at which they are accepted.
#[derive(Debug)]
pub struct Gate {
    floors: Floors<Slot>,
    /// The time, in seconds, of the last rejection in each class.
    rejected_classes: BTreeMap<Slot, f64>,
    /// When the present measurement interval began, in seconds.
    measured_at_s: f64,
    /// Submissions accepted in this interval.
    accepted: u32,
    /// Submissions rejected in this interval.
    rejected: u32,
    /// Smoothed rate of accepted submissions.
    accept_rate: Rate,
    /// The retry delay before jitter, in seconds.
    retry_s: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            floors: Floors::equal(CLASS_FLOOR_FRACTION),
            rejected_classes: BTreeMap::new(),
            measured_at_s: 0.0,
            accepted: 0,
            rejected: 0,
            accept_rate: 0.0,
            retry_s: MIN_RETRY_S,
        }
    }
}

impl Gate {
    /// Decides whether a submission is accepted now.
    ///
    /// # Errors
    /// The rejection with the retry delay, if the submission is not accepted.
    pub fn admit(&mut self, request: SubmissionRequest) -> Result<(), Rejected> {
        let SubmissionRequest { class, now_s, .. } = request;
        self.measure(request.allowed, now_s);
        let waiting = self.waiting_classes(class, now_s);
        if request.pending < self.max_pending(&request) {
            self.floors.record_served(&class, 1.0, waiting);
            self.accepted += 1;
            return Ok(());
        }
        self.rejected_classes.insert(class, now_s);
        self.rejected += 1;
        let retry_s = self.retry_s * (0.5 + request.jitter);
        Err(Rejected {
            retry_after_s: retry_s.round().clamp(MIN_RETRY_S, MAX_RETRY_S) as u32,
        })
    }

    /// The classes that count as waiting: the given one, and those with a rejection in the last
    /// `REJECTED_CLASS_MEMORY_S` seconds.
    fn waiting_classes(&mut self, class: Slot, now_s: f64) -> Vec<Slot> {
        self.rejected_classes
            .retain(|_, rejected_at| now_s - *rejected_at < REJECTED_CLASS_MEMORY_S);
        let mut waiting: Vec<Slot> = self.rejected_classes.keys().copied().collect();
        if !waiting.contains(&class) {
            waiting.push(class);
        }
        waiting
    }

    /// The number of pending submissions from which on the request is rejected.
    fn max_pending(&self, request: &SubmissionRequest) -> usize {
        let bound = request.allowed * SUBMISSION_FRACTION * MAX_WAIT_S;
        let bound = bound.ceil().max(1.0) as usize;
        let is_preferred =
            self.floors.has_credit(&request.class) || request.urgency == Urgency::Urgent;
        bound + if is_preferred { EXTRA_PENDING } else { 0 }
    }

    /// Updates the retry delay. The number of users who will retry is about the number of rejections
    /// within one retry delay. They are accepted at the smoothed rate of acceptance, or at the allowed
    /// rate if that is higher.
    fn measure(&mut self, allowed: Rate, now_s: f64) {
        let elapsed_s = now_s - self.measured_at_s;
        if elapsed_s < MEASUREMENT_INTERVAL_S {
            return;
        }
        let (accepted, rejected) = (f64::from(self.accepted), f64::from(self.rejected));
        self.measured_at_s = now_s;
        (self.accepted, self.rejected) = (0, 0);
        self.accept_rate += (accepted / elapsed_s - self.accept_rate) * SMOOTHING;
        let retrying = rejected / elapsed_s * self.retry_s;
        let retry_s = retrying / self.accept_rate.max(allowed).max(MIN_ACCEPT_RATE);
        self.retry_s += (retry_s.clamp(MIN_RETRY_S, MAX_RETRY_S) - self.retry_s) * SMOOTHING;
    }
}

#[cfg(test)]
mod tests;
