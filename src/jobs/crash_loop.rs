//! What failures tell of a job, and what they do not tell of a machine.
//!
//! A faulty machine fails every task; a job that was submitted with a mistake fails on every
//! machine, until its user cancels it. A job that failed on several machines and succeeded on none
//! is suspect: its failures no longer speak against machines, and it is tried one task at a time,
//! with a wait that doubles. It is never given up, and one success clears it.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap as HashMap;

use super::JobKind;
use crate::types::{JobId, MachineId, Millis};

/// A job is suspect once it failed on this many machines.
const SUSPECT_AFTER: usize = 2;
/// A service's replicas never complete, so no success clears it: more has to speak against it.
const SERVICE_SUSPECT_AFTER: usize = 4;
/// The first wait of a suspect job, and the longest.
const FIRST: Millis = Millis(2_000);
const MOST: Millis = Millis(45_000);
/// What failed longer ago says nothing: a service runs for days, and meets a faulty machine now and
/// then.
const FORGET: Millis = Millis(300_000);
/// Machines that are remembered of a job.
const MOST_MACHINES: usize = 8;

#[derive(Debug, Default)]
struct CrashLoop {
    failed_on: BTreeSet<MachineId>,
    suspect: bool,
    waits: u32,
    not_before: Millis,
    last: Millis,
}

#[derive(Debug, Default)]
pub struct CrashLoopTracker {
    jobs: HashMap<JobId, CrashLoop>,
}

impl CrashLoopTracker {
    /// A task of the job failed on a machine. True if the job is suspect since this failure.
    pub fn failed(
        &mut self,
        job: &JobId,
        kind: JobKind,
        machine_id: &MachineId,
        now: Millis,
    ) -> bool {
        let trial = self.jobs.entry(job.clone()).or_default();
        if now.since(trial.last) > FORGET {
            *trial = CrashLoop::default();
        }
        trial.last = now;
        if trial.failed_on.len() < MOST_MACHINES {
            trial.failed_on.insert(machine_id.clone());
        }
        let enough = match kind {
            JobKind::Service => SERVICE_SUSPECT_AFTER,
            JobKind::Array | JobKind::Gang => SUSPECT_AFTER,
        };
        let was = trial.suspect;
        trial.suspect |= trial.failed_on.len() >= enough;
        // All tasks that were started together fail together: that is one try.
        if trial.suspect && now >= trial.not_before {
            let doubled = FIRST.0.saturating_mul(1 << trial.waits.min(16));
            trial.not_before = now + Millis(doubled.min(MOST.0));
            trial.waits += 1;
        }
        trial.suspect && !was
    }

    /// A task of the job completed somewhere: whatever failed, it was not the job.
    pub fn succeeded(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    pub fn suspect(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|trial| trial.suspect)
    }

    /// A machine turned out to be quarantined: what failed there does not speak against jobs any more.
    pub fn quarantined(&mut self, machine_id: &MachineId, now: Millis) {
        for trial in self.jobs.values_mut() {
            if trial.failed_on.remove(machine_id) {
                trial.suspect &= trial.failed_on.len() >= SUSPECT_AFTER;
                trial.not_before = now;
            }
        }
    }

    /// When a suspect job may be tried again.
    pub fn not_before(&self, job: &JobId) -> Option<Millis> {
        let trial = self.jobs.get(job).filter(|trial| trial.suspect)?;
        Some(trial.not_before)
    }

    /// Forgets jobs that are over.
    pub fn retain(&mut self, active: impl Fn(&JobId) -> bool) {
        self.jobs.retain(|job, _| active(job));
    }
}

#[cfg(test)]
mod tests;
