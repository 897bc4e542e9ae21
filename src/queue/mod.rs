//! The pending queue: jobs that have tasks to place.
//!
//! It has three parts, as in other schedulers: *active* jobs may be tried at once, jobs in
//! *backoff* after a delay, and *parked* (unschedulable) jobs when an event in the cluster may help
//! them. The tasks of one job are identical, so one entry represents all of a job's waiting
//! tasks; a cycle still places one task.
//!
//! The queue only decides the order. The controller decides which jobs are queued, and places them.

mod active;
mod key;
mod reason;
mod wake;

use std::collections::BTreeSet;

use rand::Rng;
use rustc_hash::FxHashMap as HashMap;

use crate::admission::Flow;
use crate::types::{JobId, Millis};
use active::ActiveJobs;
pub use key::{QueueKey, QueueRank};
pub use reason::{Check, ClusterEvent, WaitReason};

/// Maximum number of times that the backoff is doubled: the shift must not overflow, and the longest
/// backoff is reached far earlier.
const MAX_DOUBLINGS: u32 = 20;
/// The jitter is a random time of at most the backoff divided by this. It is added so that jobs that
/// failed together are not retried together.
const JITTER_DIVISOR: u64 = 10;

/// The part of the queue that a job is in.
#[derive(Clone, Debug)]
enum Part {
    Active(QueueKey),
    Backoff {
        until: Millis,
    },
    /// Unschedulable until an event that may make one of `checks` pass, or until the flush.
    Parked {
        checks: BTreeSet<Check>,
        since: Millis,
        /// A job that is released before this time first moves to the backoff part.
        backoff_until: Millis,
    },
}

/// A queued job.
#[derive(Clone, Debug)]
struct Entry {
    part: Part,
    failures: u32,
    key: QueueKey,
}

/// How long jobs wait after failed cycles.
#[derive(Clone, Copy, Debug, Default)]
struct BackoffPolicy {
    first: Millis,
    max: Millis,
    flush_after: Millis,
}

/// A job that was removed from the queue for a cycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoppedJob {
    /// The job.
    pub id: JobId,
    /// Number of its failed cycles since it was queued.
    pub failures: u32,
}

/// The pending queue of one controller.
pub struct Queue {
    backoff_policy: BackoffPolicy,
    entries: HashMap<JobId, Entry>,
    active: ActiveJobs,
    backoff: BTreeSet<(Millis, JobId)>,
}

impl Default for Queue {
    fn default() -> Self {
        Self::new(Millis(0), Millis(0), Millis(0))
    }
}

impl Queue {
    /// An empty queue. The backoff is `first_backoff` after the first failure and doubles with each
    /// further one up to `max_backoff`; a job is parked for `flush_after` at most.
    pub fn new(first_backoff: Millis, max_backoff: Millis, flush_after: Millis) -> Self {
        Self {
            backoff_policy: BackoffPolicy {
                first: first_backoff,
                max: max_backoff,
                flush_after,
            },
            entries: HashMap::default(),
            active: ActiveJobs::new(),
            backoff: BTreeSet::new(),
        }
    }

    /// What a queued job waits for; `None` if the job is not queued.
    pub fn waits_for(&self, job: &JobId) -> Option<WaitReason> {
        let entry = self.entries.get(job)?;
        Some(match &entry.part {
            Part::Active(_) => WaitReason::Turn,
            Part::Backoff { until } => WaitReason::Backoff { until: *until },
            Part::Parked { checks, .. } => WaitReason::Rejected {
                checks: checks.clone(),
            },
        })
    }

    /// Whether a job is in any part of the queue.
    pub fn contains(&self, job: &JobId) -> bool {
        self.entries.contains_key(job)
    }

    /// Makes a job active; one that is queued already stays where it is.
    pub fn push(&mut self, job: &JobId, key: QueueKey) {
        if !self.contains(job) {
            self.attach(job.clone(), Part::Active(key), 0, key);
        }
    }

    /// Makes a job active, whichever part it was in.
    pub fn activate(&mut self, job: &JobId, key: QueueKey) {
        let failures = self.detach(job).map_or(0, |entry| entry.failures);
        self.attach(job.clone(), Part::Active(key), failures, key);
    }

    /// Replaces the keys of all jobs after the teams' entitlements have changed. A job for which
    /// `key` returns `None` keeps its key.
    pub fn reorder(&mut self, key: impl Fn(&JobId) -> Option<QueueKey>) {
        for (job, entry) in &mut self.entries {
            let Some(key) = key(job).filter(|key| *key != entry.key) else {
                continue;
            };
            entry.key = key;
            if let Part::Active(active_key) = &mut entry.part {
                self.active.remove(active_key, job);
                *active_key = key;
                self.active.insert(&key, job);
            }
        }
    }

    /// Removes a job, whichever part it is in.
    pub fn remove(&mut self, job: &JobId) {
        self.detach(job);
    }

    /// Removes and returns the first active job. [`Self::push`] or
    /// [`Self::requeue_after_failure`] queue it again.
    pub fn pop(&mut self) -> Option<PoppedJob> {
        let (_, job) = self.active.first()?.clone();
        self.take(job)
    }

    /// Removes and returns this job if it is active.
    pub fn pop_job(&mut self, job: &JobId) -> Option<PoppedJob> {
        let active = matches!(self.entries.get(job)?.part, Part::Active(_));
        active.then(|| self.take(job.clone()))?
    }

    /// Removes and returns the first active job of the class and team that are furthest behind their
    /// floors; where none is behind, the first of all.
    pub fn pop_by_floors(&mut self) -> Option<PoppedJob> {
        let job = self.active.first_by_floors()?.clone();
        self.take(job)
    }

    /// Charges the flow of a job from [`Self::pop_by_floors`] whose cycle led to a write.
    pub fn record_served(&mut self, flow: Flow) {
        self.active.record_served(flow);
    }

    /// The key of the first active job.
    pub fn first_key(&self) -> Option<QueueKey> {
        self.active.first().map(|(key, _)| *key)
    }

    /// Queues a job again after a failed cycle. If there are `checks`, every machine was rejected by
    /// one of them, and the job is parked until an event may make one pass; otherwise it only backs
    /// off. `failures` counts the failed cycles before this one.
    pub fn requeue_after_failure(
        &mut self,
        job: &JobId,
        failures: u32,
        checks: BTreeSet<Check>,
        key: QueueKey,
        now: Millis,
        rng: &mut impl Rng,
    ) {
        self.detach(job);
        let failures = failures + 1;
        let until = now + self.backoff_policy.backoff_after(failures, rng);
        let part = if checks.is_empty() {
            Part::Backoff { until }
        } else {
            Part::Parked {
                checks,
                since: now,
                backoff_until: until,
            }
        };
        self.attach(job.clone(), part, failures, key);
    }

    /// Keeps a job from being tried before `until`.
    pub fn back_off_until(&mut self, job: &JobId, key: QueueKey, until: Millis) {
        let failures = self.detach(job).map_or(0, |entry| entry.failures);
        self.attach(job.clone(), Part::Backoff { until }, failures, key);
    }

    /// Parks a job that was nominated for machines on which tasks are being preempted. It becomes
    /// active as soon as the resources of those tasks are released: the wait is not a failure, so no
    /// backoff applies.
    pub fn park_nominated(&mut self, job: &JobId, failures: u32, key: QueueKey, now: Millis) {
        self.detach(job);
        let part = Part::Parked {
            checks: BTreeSet::from([Check::Resources]),
            since: now,
            backoff_until: now,
        };
        self.attach(job.clone(), part, failures + 1, key);
    }

    fn take(&mut self, job: JobId) -> Option<PoppedJob> {
        let failures = self.detach(&job)?.failures;
        Some(PoppedJob { id: job, failures })
    }

    fn detach(&mut self, job: &JobId) -> Option<Entry> {
        let entry = self.entries.remove(job)?;
        match &entry.part {
            Part::Active(key) => self.active.remove(key, job),
            Part::Backoff { until } => {
                self.backoff.remove(&(*until, job.clone()));
            }
            Part::Parked { .. } => {}
        }
        Some(entry)
    }

    fn attach(&mut self, job: JobId, part: Part, failures: u32, key: QueueKey) {
        match &part {
            Part::Active(active_key) => self.active.insert(active_key, &job),
            Part::Backoff { until } => {
                self.backoff.insert((*until, job.clone()));
            }
            Part::Parked { .. } => {}
        }
        let entry = Entry {
            part,
            failures,
            key,
        };
        self.entries.insert(job, entry);
    }
}

impl BackoffPolicy {
    /// The backoff after `failures` failed cycles, with jitter.
    fn backoff_after(&self, failures: u32, rng: &mut impl Rng) -> Millis {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let doubled = self.first.0.saturating_mul(1 << doublings);
        let backoff = doubled.min(self.max.0);
        Millis(backoff + rng.random_range(0..=backoff / JITTER_DIVISOR))
    }
}

#[cfg(test)]
mod tests;
