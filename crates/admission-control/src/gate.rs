//! The gate: whether a submission is accepted now, and when its user should come back.
//!
//! What can't be written within a moment is rejected at once. A rejected user is asked to come back
//! when, at the rate at which submissions are accepted, those who were rejected before have been, and
//! with jitter, so that not all come at the same time.

use std::collections::BTreeMap;
use std::fmt;

use crate::floors::Floors;
use crate::plan::Rate;
use crate::slots::Slot;

/// Submissions that would wait longer than this are rejected.
const MAX_WAIT_S: f64 = 1.0;
/// The part of the allowed changes that submissions surely get.
const SUBMISSION_PART: f64 = 0.7;
/// The part of what is accepted that the floors of classes divide while not all is.
const CLASS_FLOORS: f64 = 0.5;
/// Submissions of an urgent job, or of a class behind its floor, that are accepted beyond the bound.
const EXTRA_PENDING: usize = 2;
/// A class counts as asking for this long after one of its submissions was rejected.
const REJECTED_CLASS_MEMORY_S: f64 = 3.0;
/// Bounds of the pause that users are asked to make, in seconds. They give up after 60 s, and what
/// nobody submits again is lost; an early answer costs little.
const MIN_RETRY_S: f64 = 1.0;
const MAX_RETRY_S: f64 = 6.0;
/// Rates are measured over intervals of at least this, in seconds.
const MEASUREMENT_INTERVAL_S: f64 = 1.0;
/// Weight of the newest interval in the smoothed rates.
const SMOOTHING: f64 = 0.3;
/// The rate at which rejected users are assumed to be accepted, at least, in submissions a second.
const MIN_ACCEPT_RATE: Rate = 0.1;

/// How urgent a submitted job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Bounded by what can be written within a moment.
    Normal,
    /// Accepted a little beyond that.
    Urgent,
}

/// A submission, and what its acceptance depends on.
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
    /// A random number from 0 to 1 that spreads the pauses.
    pub jitter: f64,
}

/// A submission that is not accepted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Seconds until the user should come back.
    pub retry_after_s: u32,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rejected: retry after {} s", self.retry_after_s)
    }
}

impl std::error::Error for Rejected {}

/// Decides about submissions, and measures how many are accepted.
#[derive(Debug)]
pub struct Gate {
    floors: Floors<Slot>,
    /// Classes with rejected submissions, and when the last one was, in seconds.
    rejected_classes: BTreeMap<Slot, f64>,
    /// When the present measurement interval began, in seconds.
    measured_at_s: f64,
    /// Submissions accepted in this interval.
    accepted: u32,
    /// Submissions rejected in this interval.
    rejected: u32,
    /// Smoothed rate of accepted submissions.
    accept_rate: Rate,
    /// The pause that users are asked to make, in seconds, before jitter.
    retry_s: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            floors: Floors::equal(CLASS_FLOORS),
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
    /// When the user should come back, if it is not.
    pub fn admit(&mut self, request: SubmissionRequest) -> Result<(), Rejected> {
        let SubmissionRequest { class, now_s, .. } = request;
        self.measure(request.allowed, now_s);
        let asking = self.asking_classes(class, now_s);
        if request.pending < self.max_pending(&request) {
            self.floors.served(&class, 1.0, asking);
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

    /// The classes that ask for submissions to be accepted: this one, and those that were rejected a
    /// moment ago.
    fn asking_classes(&mut self, class: Slot, now_s: f64) -> Vec<Slot> {
        self.rejected_classes
            .retain(|_, rejected_at| now_s - *rejected_at < REJECTED_CLASS_MEMORY_S);
        let mut asking: Vec<Slot> = self.rejected_classes.keys().copied().collect();
        if !asking.contains(&class) {
            asking.push(class);
        }
        asking
    }

    /// How many submissions may be pending for this one to be accepted.
    fn max_pending(&self, request: &SubmissionRequest) -> usize {
        let bound = request.allowed * SUBMISSION_PART * MAX_WAIT_S;
        let bound = bound.ceil().max(1.0) as usize;
        let is_preferred = self.floors.is_due(&request.class) || request.urgency == Urgency::Urgent;
        bound + if is_preferred { EXTRA_PENDING } else { 0 }
    }

    /// Updates the pause. Rejected users who will be back are about as many as are rejected in the
    /// pause that they are asked to make; they are accepted at the rate at which submissions are.
    fn measure(&mut self, allowed: Rate, now_s: f64) {
        let elapsed_s = now_s - self.measured_at_s;
        if elapsed_s < MEASUREMENT_INTERVAL_S {
            return;
        }
        let (accepted, rejected) = (f64::from(self.accepted), f64::from(self.rejected));
        self.measured_at_s = now_s;
        (self.accepted, self.rejected) = (0, 0);
        self.accept_rate += (accepted / elapsed_s - self.accept_rate) * SMOOTHING;
        let returning = rejected / elapsed_s * self.retry_s;
        let retry_s = returning / self.accept_rate.max(allowed).max(MIN_ACCEPT_RATE);
        self.retry_s += (retry_s.clamp(MIN_RETRY_S, MAX_RETRY_S) - self.retry_s) * SMOOTHING;
    }
}

#[cfg(test)]
mod tests;
