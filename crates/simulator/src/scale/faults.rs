//! The schedule of the faults of a scale run and of the restarts of killed controllers.

use std::time::Duration;

/// Time between the kill of a controller and its restart.
const RESTART_DELAY: Duration = Duration::from_secs(4);

/// Faults, each with the fraction of the run's length at which it is injected: late enough for the base load to
/// be running, and far enough apart for the region to recover from each.
const SCHEDULE: [(f64, FaultKind); 4] = [
    (0.60, FaultKind::KillOther),
    (0.70, FaultKind::KillLeader),
    (0.80, FaultKind::LoseZone),
    (0.88, FaultKind::KillAll),
];

/// A fault of a scale run. The variants' names are printed with the run's events.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultKind {
    /// Kills the follower with the lowest index.
    KillOther,
    /// Kills the leader.
    KillLeader,
    /// Kills all controllers.
    KillAll,
    /// Stops all machines of one zone.
    LoseZone,
}

struct ScheduledFault {
    at: Duration,
    kind: FaultKind,
}

struct ScheduledRestart {
    at: Duration,
    controller: usize,
}

/// Pending faults and restarts. All times are relative to the start of the run.
pub(super) struct FaultSchedule {
    faults: Vec<ScheduledFault>,
    restarts: Vec<ScheduledRestart>,
}

impl FaultSchedule {
    /// A schedule without faults.
    pub(super) fn empty() -> Self {
        Self {
            faults: Vec::new(),
            restarts: Vec::new(),
        }
    }

    /// The schedule of a run with a length in seconds.
    pub(super) fn for_run(seconds: u64) -> Self {
        let faults = SCHEDULE.into_iter().map(|(fraction, kind)| ScheduledFault {
            at: Duration::from_secs_f64(seconds as f64 * fraction),
            kind,
        });
        Self {
            faults: faults.collect(),
            restarts: Vec::new(),
        }
    }

    /// Removes and returns the faults that are due.
    pub(super) fn take_due_faults(&mut self, now: Duration) -> Vec<FaultKind> {
        let is_due = |fault: &ScheduledFault| fault.at <= now;
        let (due, pending) = std::mem::take(&mut self.faults)
            .into_iter()
            .partition(is_due);
        self.faults = pending;
        let due: Vec<ScheduledFault> = due;
        due.into_iter().map(|fault| fault.kind).collect()
    }

    /// Removes and returns the controllers whose restart is due.
    pub(super) fn take_due_restarts(&mut self, now: Duration) -> Vec<usize> {
        let is_due = |restart: &ScheduledRestart| restart.at <= now;
        let (due, pending) = std::mem::take(&mut self.restarts)
            .into_iter()
            .partition(is_due);
        self.restarts = pending;
        let due: Vec<ScheduledRestart> = due;
        due.into_iter().map(|restart| restart.controller).collect()
    }

    /// Schedules the restart of a controller that was killed at `now`.
    pub(super) fn schedule_restart(&mut self, controller: usize, now: Duration) {
        let at = now + RESTART_DELAY;
        self.restarts.push(ScheduledRestart { at, controller });
    }
}
