//! The attempts that a worker listed in its newest heartbeat.
//!
//! A worker lists every attempt that it knows, in no particular order: besides the attempt that it runs,
//! a task may have earlier or refused attempts there that have exited and are not forgotten yet.

use super::wire::{ExitCause, TaskStage, TaskStatus};
use crate::types::{Attempt, TaskId};

/// An attempt of a task, as its machine reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt that the machine runs, or ran.
    pub attempt: Attempt,
    /// The attempt's stage of execution.
    pub stage: TaskStage,
    /// Why it exited; `None` if it has not, or if the worker gave no cause.
    pub cause: Option<ExitCause>,
}

impl ReportedAttempt {
    /// Whether the attempt has exited or was refused, so that it is not on the machine.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.stage == TaskStage::Exited
    }

    /// A task in a heartbeat, unless its name is malformed.
    fn from_status(status: &TaskStatus) -> Option<Self> {
        Some(Self {
            task: TaskId::parse(&status.task)?,
            attempt: status.attempt,
            stage: status.stage,
            cause: status.cause,
        })
    }
}

/// All attempts in a heartbeat, whatever the order in which the worker listed them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedAttempts {
    /// Sorted by task and attempt.
    attempts: Vec<ReportedAttempt>,
}

impl ReportedAttempts {
    /// The attempts in a heartbeat's list, without those whose name is malformed.
    #[must_use]
    pub fn from_statuses(statuses: &[TaskStatus]) -> Self {
        statuses
            .iter()
            .filter_map(ReportedAttempt::from_status)
            .collect()
    }

    /// All attempts, sorted by task and attempt.
    pub fn iter(&self) -> impl Iterator<Item = &ReportedAttempt> {
        self.attempts.iter()
    }

    /// Whether any attempt has not exited, so that a task is on the machine.
    #[must_use]
    pub fn has_live_attempts(&self) -> bool {
        self.iter().any(|reported| !reported.has_exited())
    }

    /// All attempts of a task, in ascending order.
    #[must_use]
    pub fn of_task(&self, task: &TaskId) -> &[ReportedAttempt] {
        let start = self
            .attempts
            .partition_point(|reported| reported.task < *task);
        let of_task = &self.attempts[start..];
        let len = of_task.partition_point(|reported| reported.task == *task);
        &of_task[..len]
    }

    /// One attempt of a task, if the worker listed it.
    #[must_use]
    pub fn get(&self, task: &TaskId, attempt: Attempt) -> Option<&ReportedAttempt> {
        self.of_task(task)
            .iter()
            .find(|reported| reported.attempt == attempt)
    }

    /// Whether any attempt of a task has not exited, so that the task is on the machine.
    #[must_use]
    pub fn has_live_attempt_of(&self, task: &TaskId) -> bool {
        let mut attempts = self.of_task(task).iter();
        attempts.any(|reported| !reported.has_exited())
    }
}

impl FromIterator<ReportedAttempt> for ReportedAttempts {
    fn from_iter<I: IntoIterator<Item = ReportedAttempt>>(attempts: I) -> Self {
        let mut attempts: Vec<ReportedAttempt> = attempts.into_iter().collect();
        attempts.sort_unstable_by(|a, b| (&a.task, a.attempt).cmp(&(&b.task, b.attempt)));
        Self { attempts }
    }
}
