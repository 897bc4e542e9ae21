//! When a job's pending changes are due, and in which lane of the backlog they wait.
//!
//! A transaction costs the same whatever it contains, so changes that no user or task waits for are
//! batched, and for longer while writes are scarce. The decision is a pure function of the job, the
//! write pressure and the team's use of its limit.

use crate::admission::backlog::Lane;
use crate::jobs::cache::{Job, TaskChange};
use crate::jobs::{JobKind, PriorityClass};
use crate::types::Millis;

/// How long completions of some of a job's tasks are batched. The resources of these tasks are
/// available in the meantime, and the store's write limit counts changes.
const BATCH_INTERVAL: Millis = Millis(3_000);
/// How long such completions are batched while writes are scarce.
const BATCH_INTERVAL_SCARCE: Millis = Millis(45_000);
/// While writes are scarce, the first placements of an array wait this long for more of them.
const MORE_PLACEMENTS_TIMEOUT: Millis = Millis(2_500);
/// How long to wait for the remaining tasks of a cancelled job or of a broken gang: other holders
/// are about to report that their tasks of it have left, too.
const LAST_TASKS_TIMEOUT: Millis = Millis(400);
/// Urgent changes are written before others that have waited for up to this long.
const URGENT_HEAD_START: Millis = Millis(2_000);

/// In which lane and until when a job's changes wait in the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CommitSchedule {
    /// The lane of the backlog.
    pub(super) lane: Lane,
    /// When the changes may be written. A time in the past ranks before others that are due.
    pub(super) due: Millis,
}

/// Whether the write limit is what holds up placements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WritePressure {
    /// Changes are written about as fast as they arise.
    Normal,
    /// Scheduling cycles were stopped recently because placements could not be written soon.
    Scarce,
}

/// The kind of a job's pending changes, as far as it decides their urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeKind {
    /// The job is over, and its tasks leave their machines.
    Stop,
    /// Completions of the last tasks, or of a gang.
    FinalCompletions,
    /// Completions of some of the tasks of an array.
    PartialCompletions,
    /// Tasks of a gang leave their machines; the gang can restart only as a whole.
    BrokenGang,
    /// Placements of a gang.
    GangPlacement,
    /// Placements of an array of which more tasks wait.
    ArrayPlacements,
    /// Other placements, or tasks that leave their machines without being done.
    Other,
}

/// The lane and the due time of a job's pending changes. `near_limit`: whether the team is so close
/// to a limit that its next tasks may wait for a completion; evaluated only if that matters.
pub(super) fn choose(
    job: &Job,
    pressure: WritePressure,
    near_limit: impl Fn() -> bool,
    now: Millis,
) -> CommitSchedule {
    let urgent = Millis(now.0.saturating_sub(URGENT_HEAD_START.0));
    let scarce = pressure == WritePressure::Scarce;
    let more_departures_expected = more_departures_expected(job);
    let (lane, due) = match kind_of(job) {
        // A user waits for the confirmation that the tasks of a cancelled job are gone.
        ChangeKind::Stop if more_departures_expected => {
            (Lane::Completions, now + LAST_TASKS_TIMEOUT)
        }
        ChangeKind::Stop => (Lane::Completions, urgent),
        ChangeKind::FinalCompletions => (Lane::Completions, now),
        ChangeKind::PartialCompletions => {
            let due = now + batch_interval(scarce, near_limit());
            (Lane::PartialCompletions, due)
        }
        ChangeKind::BrokenGang => (Lane::Placements, now + LAST_TASKS_TIMEOUT),
        // The gang's resources may be on machines of several holders, which may allocate them in
        // the meantime.
        ChangeKind::GangPlacement => (Lane::Completions, urgent),
        _ if job.spec.priority >= PriorityClass::Urgent => (Lane::Placements, urgent),
        // While writes are scarce, waiting for more placements costs less than a transaction.
        ChangeKind::ArrayPlacements if scarce => (Lane::Placements, now + MORE_PLACEMENTS_TIMEOUT),
        _ => (Lane::Placements, now),
    };
    CommitSchedule { lane, due }
}

/// Classifies a job's pending changes.
fn kind_of(job: &Job) -> ChangeKind {
    let completions = job.pending_changes.values().all(TaskChange::finishes);
    let complete = job.done as usize + job.pending_changes.len() >= job.record.tasks as usize;
    if !job.is_active() {
        ChangeKind::Stop
    } else if completions && (complete || job.is_multi_task_gang()) {
        ChangeKind::FinalCompletions
    } else if completions {
        ChangeKind::PartialCompletions
    } else if job.is_multi_task_gang() && only_placements(job) {
        ChangeKind::GangPlacement
    } else if more_departures_expected(job) && job.is_partially_placed_gang() {
        ChangeKind::BrokenGang
    } else if job.spec.kind == JobKind::Array && job.waiting_tasks() > 0 && only_placements(job) {
        ChangeKind::ArrayPlacements
    } else {
        ChangeKind::Other
    }
}

/// Whether tasks of the job are placed for which no change is pending yet.
fn more_departures_expected(job: &Job) -> bool {
    job.placed as usize > job.pending_changes.len()
}

/// Whether all pending changes are placements. Other changes free resources that a gang may be
/// waiting for on another controller.
fn only_placements(job: &Job) -> bool {
    let is_placement = |change: &TaskChange| matches!(change, TaskChange::Place(_));
    job.pending_changes.values().all(is_placement)
}

/// How long completions of some of a job's tasks are batched. Near the team's limit its next tasks
/// wait for every completion.
fn batch_interval(scarce: bool, near_limit: bool) -> Millis {
    match (near_limit, scarce) {
        (true, false) => Millis(0),
        (true, true) | (false, false) => BATCH_INTERVAL,
        (false, true) => BATCH_INTERVAL_SCARCE,
    }
}

#[cfg(test)]
mod tests;
