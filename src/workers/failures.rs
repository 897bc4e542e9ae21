//! Task failures on a machine, and when they quarantine it.

use super::machine::Machine;
use crate::types::{JobId, Millis};

/// A machine is quarantined once tasks of this many jobs failed on it in a row; with one job, the job
/// itself may be faulty.
const QUARANTINE_FAILED_JOBS: usize = 2;
/// A machine is also quarantined after this many tries that failed in a row, even if the jobs are
/// crash-looping: a job that fits no other machine is tried on faulty machines repeatedly.
const QUARANTINE_FAILED_TRIES: u32 = 4;
/// Tasks that fail closer together than this were started together, and count as one try.
const SAME_TRY_WINDOW: Millis = Millis(5_000);

/// Consecutive failed tries of a job on a machine, and the first failure of the last try.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureStreak {
    tries: u32,
    last_try: Millis,
}

impl FailureStreak {
    fn record(&mut self, now: Millis) {
        if self.tries == 0 || now.since(self.last_try) > SAME_TRY_WINDOW {
            self.tries += 1;
            self.last_try = now;
        }
    }
}

impl Machine {
    /// Records that a task of a job failed here.
    pub fn record_failure(&mut self, job: &JobId, now: Millis) {
        self.failure_streaks
            .entry(job.clone())
            .or_default()
            .record(now);
    }

    /// Updates whether the machine, rather than the jobs, is the likely cause of its failures.
    /// `crash_looping` tells which jobs fail on other machines, too: otherwise two faulty jobs would
    /// quarantine any healthy machine that they are tried on.
    pub fn update_quarantine(&mut self, crash_looping: impl Fn(&JobId) -> bool) {
        let healthy_jobs = self
            .failure_streaks
            .keys()
            .filter(|job| !crash_looping(job))
            .count();
        let tries: u32 = self
            .failure_streaks
            .values()
            .map(|streak| streak.tries)
            .sum();
        self.quarantined =
            healthy_jobs >= QUARANTINE_FAILED_JOBS || tries >= QUARANTINE_FAILED_TRIES;
    }

    /// Records that a task succeeded here, which shows that the machine is healthy.
    pub fn record_success(&mut self) {
        self.failure_streaks.clear();
        self.quarantined = false;
    }
}
