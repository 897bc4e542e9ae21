//! Compares a machine's newest heartbeat with the job records and decides which commands the worker gets
//! and how the records change. The caller commits the changes and sends the commands.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::wire::{ExitCause, TaskStage, WorkerCommand};
use super::{Machine, ReportedAttempt};
use crate::jobs::cache::{Evidence, GangPlacement, Job, JobCache, TaskChange};
use crate::jobs::{Placement, Task};
use crate::lease::Tenure;
use crate::types::{Attempt, JobId, TaskId};

/// Tasks that the holder of their machine's shard is stopping, to preempt them or to drain the machine.
pub type RequestedStops = HashMap<TaskId, Stop>;

/// A request to stop one attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The attempt to stop; later attempts are not affected.
    pub attempt: Attempt,
    /// Whether the task gets time to save a checkpoint before it is killed.
    pub save: bool,
}

/// The commands and record changes that follow from a heartbeat.
#[derive(Debug, Default, PartialEq)]
pub struct Reconciliation {
    /// Commands for the worker, in the order of their execution: stops and forgets before starts, then those
    /// that cancel late starts.
    pub commands: Vec<WorkerCommand>,
    /// Changes of the records, by job and index of the task.
    pub changes: Vec<(JobId, u32, TaskChange)>,
    /// Exits with an error, and starts that the worker refused.
    pub failures: Vec<(JobId, ExitCause)>,
    /// The number of tasks that completed successfully.
    pub successes: u32,
    /// The number of attempts on the machine that no record places there.
    pub unplaced: u32,
}

/// With this many commands an answer stays well below 64 KiB; the remaining commands follow with the next
/// answer.
const MAX_COMMANDS: usize = 300;
/// Seconds that a task gets beyond the duration of its checkpoint before it is killed.
const SAVE_GRACE_MARGIN_S: f64 = 1.0;

/// Reconciles the newest heartbeat in `machine` with the job records. `tenure` has the tokens under which this
/// controller holds the machine's shard: a heartbeat whose worker had not seen any of them yet proves nothing,
/// since an earlier holder's start may follow, and has no effect. `gang_may_be_fetching` tells whether other tasks
/// of a gang may still be fetching its image, `gang_is_being_placed` whether the rest of a gang that is placed in part
/// may soon be placed.
#[must_use]
pub fn reconcile(
    machine: &Machine,
    tenure: Tenure,
    jobs: &JobCache,
    stops: &RequestedStops,
    gang_may_be_fetching: impl Fn(&Job) -> bool,
    gang_is_being_placed: impl Fn(&Job) -> bool,
) -> Reconciliation {
    if machine.worker_token.fencing_token() < tenure.acquired {
        return Reconciliation::default();
    }
    let mut reconciler = Reconciler {
        machine,
        tenure,
        jobs,
        stops,
        gang_may_be_fetching,
        gang_is_being_placed,
        outcome: Reconciliation::default(),
        late_start_commands: Vec::new(),
    };
    let current = reconciler.reconcile_reported_tasks();
    reconciler.reconcile_unreported_tasks(&current);
    reconciler.finish()
}

/// One reconciliation of a heartbeat with the records.
struct Reconciler<'a, GangMayBeFetching, GangIsBeingPlaced> {
    machine: &'a Machine,
    tenure: Tenure,
    jobs: &'a JobCache,
    stops: &'a RequestedStops,
    gang_may_be_fetching: GangMayBeFetching,
    gang_is_being_placed: GangIsBeingPlaced,
    outcome: Reconciliation,
    /// Starts and stops of unwanted attempts whose start may still arrive. They keep their order, each
    /// start before its stop.
    late_start_commands: Vec<WorkerCommand>,
}

impl<'a, GangMayBeFetching, GangIsBeingPlaced> Reconciler<'a, GangMayBeFetching, GangIsBeingPlaced>
where
    GangMayBeFetching: Fn(&Job) -> bool,
    GangIsBeingPlaced: Fn(&Job) -> bool,
{
    /// Compares each attempt in the heartbeat with the record of its task. Returns the tasks of the
    /// current ones: those placed here in the reported attempt and agent epoch.
    fn reconcile_reported_tasks(&mut self) -> HashSet<&'a TaskId> {
        let machine = self.machine;
        let mut current = HashSet::default();
        for reported in machine.reported.iter() {
            match self.current_job(&reported.task, reported.attempt) {
                Some(job) => {
                    current.insert(&reported.task);
                    self.reconcile_current_attempt(job, reported);
                }
                None => self.discard_outdated_attempt(reported),
            }
        }
        current
    }

    /// The job of a reported task, if its record has that attempt placed here in this agent epoch.
    fn current_job(&self, task: &TaskId, attempt: Attempt) -> Option<&'a Job> {
        let (job, placement) = self
            .jobs
            .placed_on(&self.machine.machine_id, task, attempt)?;
        (placement.agent_epoch == self.machine.agent_epoch).then_some(job)
    }

    fn reconcile_current_attempt(&mut self, job: &Job, reported: &ReportedAttempt) {
        let (task, attempt) = (&reported.task, reported.attempt);
        if !reported.has_exited() {
            self.stop_if_unwanted(job, reported);
            return;
        }
        let change_pending = job.pending_changes.contains_key(&task.index);
        let cause = reported.cause.unwrap_or(ExitCause::Error);
        let start = (task.clone(), attempt);
        if cause == ExitCause::GangTimeout
            && self.machine.direct.piggybacked.starts.contains(&start)
        {
            // The worker may already have a command to start this attempt again. A response to direct
            // commands may have been written before that command arrived, so it is no evidence.
            return;
        }
        if change_pending || self.machine.reported.has_live_attempt_of(task) {
            // Another attempt is on the machine; it is killed, and only its exit frees the task.
            return;
        }
        let restart = cause == ExitCause::GangTimeout
            && is_wanted(job)
            && !self.is_stopped(task, attempt)
            && (self.gang_may_be_fetching)(job);
        if restart {
            self.restart_at_barrier(task, attempt);
        } else {
            self.record_exit(task, attempt, cause);
        }
    }

    /// Restarts a task that timed out at the start barrier while other tasks of its gang still fetch the
    /// image. The image is already cached here, so the task waits again in place. Releasing the task would
    /// discard the fetches of the others.
    fn restart_at_barrier(&mut self, task: &TaskId, attempt: Attempt) {
        self.forget(task, attempt);
        self.outcome.commands.push(WorkerCommand::Start {
            task: task.clone(),
            attempt,
        });
    }

    /// Records that a task exited: it is finished, or released from the machine.
    fn record_exit(&mut self, task: &TaskId, attempt: Attempt, cause: ExitCause) {
        let change = if cause == ExitCause::Done {
            self.outcome.successes += 1;
            TaskChange::Finish { attempt }
        } else {
            if is_failure(cause) {
                self.outcome.failures.push((task.job.clone(), cause));
            }
            self.release(attempt)
        };
        self.push_change(task, change);
    }

    /// Stops a task that has not exited, if it should not run: its job is over or lost a gang member, or
    /// the holder is stopping the task.
    fn stop_if_unwanted(&mut self, job: &Job, reported: &ReportedAttempt) {
        let (task, attempt) = (&reported.task, reported.attempt);
        if !is_wanted(job) && !self.awaits_gang(job) {
            self.kill(task, attempt);
        } else if let Some(stop) = self.stops.get(task)
            && stop.attempt == attempt
            && (reported.stage != TaskStage::Saving || !stop.save)
        {
            let grace_s = if stop.save {
                job.spec.save_s.ceil() + SAVE_GRACE_MARGIN_S
            } else {
                0.0
            };
            self.stop(task, attempt, grace_s);
        }
    }

    /// Handles an attempt that the committed records do not place here: it is forgotten if it has exited,
    /// otherwise it must not run here and is killed.
    fn discard_outdated_attempt(&mut self, reported: &ReportedAttempt) {
        let (task, attempt) = (&reported.task, reported.attempt);
        if !reported.has_exited() {
            self.outcome.unplaced += 1;
            self.kill(task, attempt);
        } else if !self.machine.direct.may_still_start(task, attempt) {
            self.forget(task, attempt);
        } else {
            // A start that may arrive, for the first time or again, would run a forgotten attempt.
            let machine_id = &self.machine.machine_id;
            let unfenced = self.machine.direct.is_unfenced(task, attempt);
            tracing::debug!(%task, attempt = attempt.0, %machine_id, unfenced, "forget withheld");
        }
    }

    /// Handles the tasks that the records place here and the heartbeat does not show as current.
    fn reconcile_unreported_tasks(&mut self, current: &HashSet<&TaskId>) {
        let jobs = self.jobs;
        for (id, index) in jobs.tasks_on(&self.machine.machine_id) {
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            let Some(job) = jobs.get(id) else { continue };
            if current.contains(&task) || job.pending_changes.contains_key(index) {
                continue;
            }
            let Task::Placed(placement) = job.task(*index) else {
                continue;
            };
            self.reconcile_unreported_task(job, &task, placement);
        }
    }

    fn reconcile_unreported_task(&mut self, job: &Job, task: &TaskId, placement: &Placement) {
        let attempt = placement.attempt;
        if self.epoch_has_ended(placement) {
            self.release_if_absent(task, attempt);
            return;
        }
        if placement.agent_epoch != self.machine.agent_epoch {
            return;
        }
        let is_stopped = self.is_stopped(task, attempt);
        if self.awaits_gang(job) && !is_stopped {
            return;
        }
        if is_wanted(job) && !is_stopped {
            self.outcome.commands.push(WorkerCommand::Start {
                task: task.clone(),
                attempt,
            });
        } else if !self.machine.direct.may_still_start(task, attempt) {
            // No start is in flight, so the task is absent. A worker has one heartbeat in flight, so its
            // next heartbeat proves whether a start in the last answer was executed; a start sent
            // directly may arrive, even again, until the worker has seen a higher token.
            self.release_if_absent(task, attempt);
        } else if self.machine.direct.is_unfenced(task, attempt) {
            self.cancel_late_start(task, attempt);
        }
    }

    /// Whether a job is a gang whose placement is still being written. Its tasks are neither started nor released:
    /// all of them start, or none does.
    fn awaits_gang(&self, job: &Job) -> bool {
        let is_incomplete = matches!(job.gang_placement(), GangPlacement::Incomplete(_));
        job.is_active() && is_incomplete && (self.gang_is_being_placed)(job)
    }

    /// Whether the worker has begun a new agent epoch since a task was placed, and so has killed all tasks
    /// that it had.
    fn epoch_has_ended(&self, placement: &Placement) -> bool {
        // A machine whose counters were reset reports a lower agent epoch than an earlier holder saw.
        // This counts only for a machine that has responded to a probe: the agent epochs that this
        // controller sees of such a machine only rise.
        let counters_reset = placement.agent_epoch > self.machine.agent_epoch
            && self.machine.reachability.is_confirmed();
        placement.agent_epoch < self.machine.agent_epoch || counters_reset
    }

    /// Cancels an unwanted attempt whose start may still arrive, by starting and stopping it now. The worker
    /// then knows the attempt, so that the late start has no effect, and reports that it has exited.
    fn cancel_late_start(&mut self, task: &TaskId, attempt: Attempt) {
        self.late_start_commands.push(WorkerCommand::Start {
            task: task.clone(),
            attempt,
        });
        self.late_start_commands.push(WorkerCommand::Stop {
            task: task.clone(),
            attempt,
            grace_s: 0.0,
        });
    }

    /// Whether this attempt is being stopped. If a stop applied to the next attempt too, that attempt would
    /// be released before its start, and started once the stop was dropped, while the release may still be
    /// in flight.
    fn is_stopped(&self, task: &TaskId, attempt: Attempt) -> bool {
        let stop = self.stops.get(task);
        stop.is_some_and(|stop| stop.attempt == attempt)
    }

    /// Releases a task, unless the worker has another attempt of it that has not exited: that attempt is
    /// killed, and until it exits the task is on the machine.
    fn release_if_absent(&mut self, task: &TaskId, attempt: Attempt) {
        if !self.machine.reported.has_live_attempt_of(task) {
            self.push_change(task, self.release(attempt));
        }
    }

    fn release(&self, attempt: Attempt) -> TaskChange {
        TaskChange::Release {
            attempt,
            evidence: Evidence::Holder(self.tenure.token),
        }
    }

    fn push_change(&mut self, task: &TaskId, change: TaskChange) {
        self.outcome
            .changes
            .push((task.job.clone(), task.index, change));
    }

    fn forget(&mut self, task: &TaskId, attempt: Attempt) {
        self.outcome.commands.push(WorkerCommand::Forget {
            task: task.clone(),
            attempt,
        });
    }

    fn kill(&mut self, task: &TaskId, attempt: Attempt) {
        self.stop(task, attempt, 0.0);
    }

    fn stop(&mut self, task: &TaskId, attempt: Attempt, grace_s: f64) {
        self.outcome.commands.push(WorkerCommand::Stop {
            task: task.clone(),
            attempt,
            grace_s,
        });
    }

    /// Orders the commands with stops first, since they free the resources that starts need.
    fn finish(self) -> Reconciliation {
        let mut outcome = self.outcome;
        outcome
            .commands
            .sort_by_key(|command| matches!(command, WorkerCommand::Start { .. }));
        outcome.commands.truncate(MAX_COMMANDS);
        outcome.commands.extend(self.late_start_commands);
        outcome
    }
}

/// Whether a job's tasks should run.
fn is_wanted(job: &Job) -> bool {
    let gang_may_run = match job.gang_placement() {
        GangPlacement::None | GangPlacement::Complete => true,
        GangPlacement::Incomplete(_) | GangPlacement::Broken => false,
    };
    job.is_active() && gang_may_run
}

/// Whether an exit counts as a failure of the job or the machine.
fn is_failure(cause: ExitCause) -> bool {
    matches!(
        cause,
        ExitCause::Error | ExitCause::InsufficientResources | ExitCause::UnknownTask
    )
}

#[cfg(test)]
mod tests;
