//! Distinguishes jobs that fail on every machine from machines that fail every task.
//!
//! A faulty machine fails every task; a misconfigured job fails on every machine until its user
//! cancels it. A job that failed on several machines and succeeded on none is crash-looping: its
//! failures no longer count against machines, and it is tried one task at a time with exponential
//! backoff. It is retried indefinitely, and one success clears it.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap as HashMap;

use super::JobKind;
use crate::types::{JobId, MachineId, Millis};

/// A job is crash-looping once it has failed on this many machines.
const CRASH_LOOP_THRESHOLD: usize = 2;
/// The threshold for services. Their replicas never complete, so no success clears the failures; the
/// threshold is therefore higher.
const SERVICE_CRASH_LOOP_THRESHOLD: usize = 4;
/// The first backoff of a crash-looping job; each further one is twice as long.
const MIN_BACKOFF: Millis = Millis(2_000);
/// The longest backoff.
const MAX_BACKOFF: Millis = Millis(45_000);
/// Maximum number of doublings, so that the shift does not overflow. The backoff is then far beyond
/// `MAX_BACKOFF`.
const MAX_DOUBLINGS: u32 = 16;
/// The failures of a job are forgotten if the last one is longer ago than this, since a service runs
/// for days and meets a faulty machine now and then.
const FAILURE_LIFETIME: Millis = Millis(300_000);
/// Maximum number of machines that are remembered for each job.
const MAX_REMEMBERED_MACHINES: usize = 8;

/// The failures of one job since its last success.
#[derive(Debug, Default)]
struct JobFailures {
    failed_machines: BTreeSet<MachineId>,
    is_crash_looping: bool,
    backoffs: u32,
    /// The end of the current backoff.
    not_before: Millis,
    last_failure: Millis,
}

/// The failures of all jobs.
#[derive(Debug, Default)]
pub struct CrashLoopTracker {
    jobs: HashMap<JobId, JobFailures>,
}

impl CrashLoopTracker {
    /// Records that a task of the job failed on a machine. Returns true if this failure is the
    /// one that makes the job crash-looping.
    pub fn record_failure(
        &mut self,
        job: &JobId,
        kind: JobKind,
        machine_id: &MachineId,
        now: Millis,
    ) -> bool {
        let failures = self.jobs.entry(job.clone()).or_default();
        if now.since(failures.last_failure) > FAILURE_LIFETIME {
            *failures = JobFailures::default();
        }
        failures.last_failure = now;
        if failures.failed_machines.len() < MAX_REMEMBERED_MACHINES {
            failures.failed_machines.insert(machine_id.clone());
        }
        let threshold = match kind {
            JobKind::Service => SERVICE_CRASH_LOOP_THRESHOLD,
            JobKind::Array | JobKind::Gang => CRASH_LOOP_THRESHOLD,
        };
        let was_crash_looping = failures.is_crash_looping;
        failures.is_crash_looping |= failures.failed_machines.len() >= threshold;
        // All tasks that were started together fail together, which counts as one attempt.
        if failures.is_crash_looping && now >= failures.not_before {
            failures.not_before = now + backoff(failures.backoffs);
            failures.backoffs += 1;
        }
        failures.is_crash_looping && !was_crash_looping
    }

    /// Records that a task of the job completed on some machine, so the fault is not in the job.
    pub fn record_success(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Whether a job is crash-looping.
    pub fn is_crash_looping(&self, job: &JobId) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|failures| failures.is_crash_looping)
    }

    /// Records that a machine is quarantined: failures on it don't count against jobs any more.
    pub fn forget_machine(&mut self, machine_id: &MachineId, now: Millis) {
        for failures in self.jobs.values_mut() {
            if failures.failed_machines.remove(machine_id) {
                failures.is_crash_looping &= failures.failed_machines.len() >= CRASH_LOOP_THRESHOLD;
                failures.not_before = now;
            }
        }
    }

    /// When a crash-looping job may be tried again; `None` for other jobs.
    pub fn not_before(&self, job: &JobId) -> Option<Millis> {
        let failures = self.jobs.get(job).filter(|c| c.is_crash_looping)?;
        Some(failures.not_before)
    }

    /// Forgets jobs that are not active.
    pub fn retain(&mut self, active: impl Fn(&JobId) -> bool) {
        self.jobs.retain(|job, _| active(job));
    }
}

/// The backoff that follows `earlier` others.
fn backoff(earlier: u32) -> Millis {
    let doubled = MIN_BACKOFF
        .0
        .saturating_mul(1 << earlier.min(MAX_DOUBLINGS));
    Millis(doubled.min(MAX_BACKOFF.0))
}

#[cfg(test)]
mod tests;
