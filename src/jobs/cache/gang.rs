//! How far a gang is placed, by its records.
//!
//! The tasks of a gang start together, so all of them are placed in one attempt. A gang of many pages is placed by
//! several transactions: it is incomplete in between, and its tasks are started once it is complete. If one of its
//! tasks leaves the attempt, the others are released before the gang is placed again.

use crate::jobs::Task;
use crate::types::Attempt;

/// How far the tasks of a gang are placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GangPlacement {
    /// No task is placed.
    #[default]
    None,
    /// Some tasks are placed in this attempt, and no task has left it: the others may still be placed in it.
    Incomplete(Attempt),
    /// All tasks are placed in one attempt, or done.
    Complete,
    /// Tasks are placed in an attempt that other tasks have left. They have to leave it too.
    Broken,
}

/// The attempts of some tasks of a job.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attempts {
    /// The highest attempt that a task which is waiting now has left; zero if there is none.
    left: Attempt,
    /// The lowest and the highest attempt of the tasks that are placed.
    placed: Option<(Attempt, Attempt)>,
}

impl Attempts {
    /// The attempts of these tasks.
    pub(super) fn of(tasks: &[Task]) -> Self {
        let mut attempts = Self::default();
        for task in tasks {
            match task {
                Task::Waiting { last_attempt } => attempts.left = attempts.left.max(*last_attempt),
                Task::Placed(placement) => {
                    attempts.add_placed(placement.attempt, placement.attempt)
                }
                Task::Done => {}
            }
        }
        attempts
    }

    /// The attempts of these tasks and others.
    pub(super) fn and(mut self, others: &Self) -> Self {
        self.left = self.left.max(others.left);
        if let Some((lowest, highest)) = others.placed {
            self.add_placed(lowest, highest);
        }
        self
    }

    fn add_placed(&mut self, lowest: Attempt, highest: Attempt) {
        let (low, high) = self.placed.unwrap_or((lowest, highest));
        self.placed = Some((low.min(lowest), high.max(highest)));
    }

    /// How far a gang whose tasks these are is placed. `none_waiting`: whether each task is placed or done.
    pub(super) fn gang_placement(&self, none_waiting: bool) -> GangPlacement {
        match self.placed {
            None => GangPlacement::None,
            Some((lowest, highest)) if lowest != highest => GangPlacement::Broken,
            Some(_) if none_waiting => GangPlacement::Complete,
            Some((attempt, _)) if self.left < attempt => GangPlacement::Incomplete(attempt),
            Some(_) => GangPlacement::Broken,
        }
    }
}
