//! Distinguishes jobs that fail on every machine from machines that fail every task.
//!
//! A faulty machine fails every task; a job that was submitted with a mistake fails on every machine
//! until its user cancels it. A job that failed on several machines and succeeded on none is
//! crash-looping: its failures no longer count against machines, and it is tried one task at a time
//! with exponential backoff. It is retried indefinitely, and one success clears it.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap as HashMap;

use super::JobKind;
use crate::types::{JobId, MachineId, Millis};

/// A job is crash-looping once it failed on this many machines.
const MAX_FAILED_MACHINES: usize = 2;
/// The same for a service. Its replicas never complete, so no success clears it; the threshold is
/// therefore higher.
const MAX_FAILED_MACHINES_SERVICE: usize = 4;
/// The first backoff of a crash-looping job; each further one is twice as long.
const MIN_BACKOFF: Millis = Millis(2_000);
/// The longest backoff.
const MAX_BACKOFF: Millis = Millis(45_000);
/// The backoff is doubled this often at most, which is far beyond `MAX_BACKOFF`.
const MAX_DOUBLINGS: u32 = 16;
/// Failures longer ago than this don't count: a service runs for days, and meets a faulty machine now
/// and then.
const FAILURE_LIFETIME: Millis = Millis(300_000);
/// Machines that are remembered for each job.
const MAX_REMEMBERED_MACHINES: usize = 8;

/// The failures of one job since its last success.
#[derive(Debug, Default)]
struct CrashLoop {
    /// The machines that it failed on.
    failed_on: BTreeSet<MachineId>,
    is_crash_looping: bool,
    /// How many backoffs there were.
    backoffs: u32,
    /// When the present backoff ends.
    not_before: Millis,
    last_failure: Millis,
}

/// The failures of all jobs.
#[derive(Debug, Default)]
pub struct CrashLoopTracker {
    jobs: HashMap<JobId, CrashLoop>,
}

impl CrashLoopTracker {
    /// Records that a task of the job failed on a machine. Returns true if the job is crash-looping
    /// since this failure.
    pub fn record_failure(
        &mut self,
        job: &JobId,
        kind: JobKind,
        machine_id: &MachineId,
        now: Millis,
    ) -> bool {
        let crash_loop = self.jobs.entry(job.clone()).or_default();
        if now.since(crash_loop.last_failure) > FAILURE_LIFETIME {
            *crash_loop = CrashLoop::default();
        }
        crash_loop.last_failure = now;
        if crash_loop.failed_on.len() < MAX_REMEMBERED_MACHINES {
            crash_loop.failed_on.insert(machine_id.clone());
        }
        let max_failed_machines = match kind {
            JobKind::Service => MAX_FAILED_MACHINES_SERVICE,
            JobKind::Array | JobKind::Gang => MAX_FAILED_MACHINES,
        };
        let was_crash_looping = crash_loop.is_crash_looping;
        crash_loop.is_crash_looping |= crash_loop.failed_on.len() >= max_failed_machines;
        // All tasks that were started together fail together, which counts as one attempt.
        if crash_loop.is_crash_looping && now >= crash_loop.not_before {
            crash_loop.not_before = now + backoff(crash_loop.backoffs);
            crash_loop.backoffs += 1;
        }
        crash_loop.is_crash_looping && !was_crash_looping
    }

    /// Records that a task of the job completed on some machine, so the job is not faulty.
    pub fn record_success(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Whether a job is crash-looping.
    pub fn is_crash_looping(&self, job: &JobId) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|crash_loop| crash_loop.is_crash_looping)
    }

    /// Records that a machine is quarantined: failures on it don't count against jobs any more.
    pub fn forget_machine(&mut self, machine_id: &MachineId, now: Millis) {
        for crash_loop in self.jobs.values_mut() {
            if crash_loop.failed_on.remove(machine_id) {
                crash_loop.is_crash_looping &= crash_loop.failed_on.len() >= MAX_FAILED_MACHINES;
                crash_loop.not_before = now;
            }
        }
    }

    /// When a crash-looping job may be tried again; `None` for other jobs.
    pub fn not_before(&self, job: &JobId) -> Option<Millis> {
        let crash_loop = self.jobs.get(job).filter(|c| c.is_crash_looping)?;
        Some(crash_loop.not_before)
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
