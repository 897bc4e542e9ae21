//! The schedule of a scale run's faults, and of the restarts of the controllers that they kill.

use std::time::Duration;

/// How long a killed controller stays down.
const RESTART_DELAY: Duration = Duration::from_secs(4);

/// Faults, and at which part of the run's time each is injected: late enough that the load stands, and far
/// enough apart to recover from each.
const SCHEDULE: [(f64, FaultKind); 4] = [
    (0.60, FaultKind::KillOther),
    (0.70, FaultKind::KillLeader),
    (0.80, FaultKind::LoseZone),
    (0.88, FaultKind::KillAll),
];

/// A fault of a scale run. The names are printed with the run's events.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultKind {
    /// The first controller that does not lead is killed.
    KillOther,
    /// The leader is killed.
    KillLeader,
    /// All controllers are killed.
    KillAll,
    /// All machines of one zone stop.
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

/// What is still to come. All times are from the beginning of the run.
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

    /// The schedule of a run of so many seconds.
    pub(super) fn of_run(seconds: u64) -> Self {
        let faults = SCHEDULE.into_iter().map(|(part, kind)| ScheduledFault {
            at: Duration::from_secs_f64(seconds as f64 * part),
            kind,
        });
        Self {
            faults: faults.collect(),
            restarts: Vec::new(),
        }
    }

    /// Takes the faults that are due.
    pub(super) fn take_due_faults(&mut self, now: Duration) -> Vec<FaultKind> {
        let is_due = |fault: &ScheduledFault| fault.at <= now;
        let (due, pending) = std::mem::take(&mut self.faults)
            .into_iter()
            .partition(is_due);
        self.faults = pending;
        let due: Vec<ScheduledFault> = due;
        due.into_iter().map(|fault| fault.kind).collect()
    }

    /// Takes the controllers that are to be started again.
    pub(super) fn take_due_restarts(&mut self, now: Duration) -> Vec<usize> {
        let is_due = |restart: &ScheduledRestart| restart.at <= now;
        let (due, pending) = std::mem::take(&mut self.restarts)
            .into_iter()
            .partition(is_due);
        self.restarts = pending;
        let due: Vec<ScheduledRestart> = due;
        due.into_iter().map(|restart| restart.controller).collect()
    }

    /// Schedules the restart of a controller that was killed now.
    pub(super) fn schedule_restart(&mut self, controller: usize, now: Duration) {
        let at = now + RESTART_DELAY;
        self.restarts.push(ScheduledRestart { at, controller });
    }
}
