//! How jobs leave the backoff part and the parked part: by events, by the end of their backoff, and
//! by a flush of jobs that have been parked for long.

use super::{Check, Part, Queue};
use crate::types::{JobId, Millis};

impl Queue {
    /// Releases the parked jobs that an event may help: those for which `helps` is true of one of the
    /// checks that rejected them.
    pub fn wake(&mut self, now: Millis, mut helps: impl FnMut(&JobId, Check) -> bool) {
        let woken: Vec<(JobId, Millis)> = self
            .entries
            .iter()
            .filter_map(|(job, entry)| match &entry.part {
                Part::Parked {
                    checks,
                    backoff_until,
                    ..
                } if checks.iter().any(|check| helps(job, *check)) => {
                    Some((job.clone(), *backoff_until))
                }
                _ => None,
            })
            .collect();
        for (job, backoff_until) in woken {
            self.release_parked(&job, backoff_until, now);
        }
    }

    /// Activates jobs whose backoff is over, and releases jobs that were parked for so long that the
    /// event which they wait for may have been missed.
    pub fn tick(&mut self, now: Millis) {
        self.activate_backed_off(now);
        self.flush_parked(now);
    }

    fn activate_backed_off(&mut self, now: Millis) {
        while let Some((until, job)) = self.backoff.first().cloned() {
            if until > now {
                break;
            }
            if let Some(entry) = self.detach(&job) {
                let part = Part::Active(entry.key);
                self.attach(job, part, entry.failures, entry.key);
            }
        }
    }

    fn flush_parked(&mut self, now: Millis) {
        let flush_after = self.backoff_policy.flush_after;
        let flushed: Vec<(JobId, Millis)> = self
            .entries
            .iter()
            .filter_map(|(job, entry)| match &entry.part {
                Part::Parked {
                    since,
                    backoff_until,
                    ..
                } if now.since(*since) >= flush_after => Some((job.clone(), *backoff_until)),
                _ => None,
            })
            .collect();
        for (job, backoff_until) in flushed {
            self.release_parked(&job, backoff_until, now);
        }
    }

    /// Moves a parked job to the backoff part if its backoff has not ended, otherwise to the active
    /// part.
    fn release_parked(&mut self, job: &JobId, backoff_until: Millis, now: Millis) {
        if let Some(entry) = self.detach(job) {
            let part = if backoff_until > now {
                Part::Backoff {
                    until: backoff_until,
                }
            } else {
                Part::Active(entry.key)
            };
            self.attach(job.clone(), part, entry.failures, entry.key);
        }
    }
}
