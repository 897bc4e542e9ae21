//! Compares a machine's newest heartbeat with the job records: which commands the worker gets, and what
//! the records should say next. It only decides; the caller commits the changes and sends the commands.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::wire::{ExitCause, TaskStage, WorkerCommand};
use super::{Machine, TaskObservation};
use crate::jobs::cache::{Evidence, Job, JobCache, TaskChange};
use crate::jobs::{Phase, Placement, Task};
use crate::types::{Attempt, FencingToken, JobId, TaskId};

/// Tasks that their holder is stopping, to preempt them or to drain a machine.
pub type Stops = HashMap<TaskId, Stop>;

/// A stop of one attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The attempt to stop; later attempts are not stopped.
    pub attempt: Attempt,
    /// The task gets the time to save a checkpoint.
    pub save: bool,
}

/// What follows from a heartbeat.
#[derive(Debug, Default, PartialEq)]
pub struct Reconciliation {
    /// Commands for the worker: stops and forgets before starts.
    pub commands: Vec<WorkerCommand>,
    /// Changes of the records, by job and index of the task.
    pub changes: Vec<(JobId, u32, TaskChange)>,
    /// Exits with an error, and starts that were refused.
    pub failures: Vec<(JobId, ExitCause)>,
    /// How many tasks are done.
    pub successes: u32,
}

/// An answer stays well below 64 KiB with this many commands; the rest follow with the next.
const MAX_COMMANDS: usize = 300;
/// Seconds beyond a checkpoint's own duration that a task gets before it is killed.
const SAVE_GRACE_MARGIN_S: f64 = 1.0;

/// `machine` holds the newest heartbeat. `token` is what we hold its shard under; a heartbeat whose
/// worker had not seen it yet proves nothing, since an earlier holder's start may follow it.
/// `may_be_fetching` tells of a gang whether the rest of it may still be fetching its image.
#[must_use]
pub fn reconcile(
    machine: &Machine,
    token: FencingToken,
    jobs: &JobCache,
    stops: &Stops,
    may_be_fetching: impl Fn(&Job) -> bool,
) -> Reconciliation {
    if machine.worker_token.fencing_token() < token {
        return Reconciliation::default();
    }
    let mut pass = Pass {
        machine,
        token,
        jobs,
        stops,
        may_be_fetching,
        outcome: Reconciliation::default(),
        late_start_commands: Vec::new(),
    };
    let current = pass.reconcile_reported_tasks();
    pass.reconcile_unreported_tasks(&current);
    pass.finish()
}

/// One comparison of a heartbeat with the records.
struct Pass<'a, MayBeFetching> {
    machine: &'a Machine,
    token: FencingToken,
    jobs: &'a JobCache,
    stops: &'a Stops,
    may_be_fetching: MayBeFetching,
    outcome: Reconciliation,
    /// Starts and stops of unwanted attempts that may still start late. They keep
    /// their order, each start before its stop.
    late_start_commands: Vec<WorkerCommand>,
}

impl<'a, MayBeFetching: Fn(&Job) -> bool> Pass<'a, MayBeFetching> {
    /// Compares each task in the heartbeat with its record. Returns those that are current: placed
    /// here in the reported attempt and agent epoch.
    fn reconcile_reported_tasks(&mut self) -> HashSet<&'a TaskId> {
        let machine = self.machine;
        let mut current = HashSet::default();
        for (task, observation) in &machine.tasks {
            match self.current_job(task, observation.attempt) {
                Some(job) => {
                    current.insert(task);
                    self.reconcile_current_task(job, task, observation);
                }
                None => self.discard_outdated_task(task, observation),
            }
        }
        current
    }

    /// The job of a reported task, if its record has that attempt placed here in this agent epoch.
    fn current_job(&self, task: &TaskId, attempt: Attempt) -> Option<&'a Job> {
        let job = self.jobs.get(&task.job)?;
        let placement = job.task(task.index).placement()?;
        let current = placement.machine_id == self.machine.machine_id
            && placement.agent_epoch == self.machine.agent_epoch
            && placement.attempt == attempt;
        current.then_some(job)
    }

    fn reconcile_current_task(&mut self, job: &Job, task: &TaskId, observation: &TaskObservation) {
        let attempt = observation.attempt;
        if observation.stage != TaskStage::Exited {
            self.stop_if_unwanted(job, task, observation);
            return;
        }
        let change_pending = job.pending_changes.contains_key(&task.index);
        let cause = observation.cause.unwrap_or(ExitCause::Error);
        let start = (task.clone(), attempt);
        if cause == ExitCause::Alone && self.machine.direct.piggybacked_starts.contains(&start) {
            // The worker may already have a command to start it once more. An answer to direct commands
            // that was written before says nothing of that.
            return;
        }
        if change_pending {
            return;
        }
        let starts_again = cause == ExitCause::Alone
            && is_wanted(job)
            && !self.is_stopped(task, attempt)
            && (self.may_be_fetching)(job);
        if starts_again {
            self.start_again(task, attempt);
        } else {
            self.record_exit(task, attempt, cause);
        }
    }

    /// Starts a task again that stopped waiting for its gang while others still fetch the image. The image
    /// is already here, so the task waits again in place. Releasing it would discard the others' fetches.
    fn start_again(&mut self, task: &TaskId, attempt: Attempt) {
        self.forget(task, attempt);
        self.outcome.commands.push(WorkerCommand::Start {
            task: task.clone(),
            attempt,
        });
    }

    /// Records that a task exited: it is done, or leaves the machine.
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

    /// Stops a task that runs, if its job is over or its holder is stopping it.
    fn stop_if_unwanted(&mut self, job: &Job, task: &TaskId, observation: &TaskObservation) {
        let attempt = observation.attempt;
        if !is_wanted(job) {
            self.kill(task, attempt);
        } else if let Some(stop) = self.stops.get(task)
            && stop.attempt == attempt
            && (observation.stage != TaskStage::Saving || !stop.save)
        {
            let grace_s = if stop.save {
                job.spec.save_s.ceil() + SAVE_GRACE_MARGIN_S
            } else {
                0.0
            };
            self.stop(task, attempt, grace_s);
        }
    }

    /// Handles a task whose attempt the committed records no longer place here: an exited one may be
    /// forgotten, any other must not run here.
    fn discard_outdated_task(&mut self, task: &TaskId, observation: &TaskObservation) {
        let attempt = observation.attempt;
        if observation.stage != TaskStage::Exited {
            self.kill(task, attempt);
        } else if !self.machine.direct.may_still_start(task, attempt) {
            // A start that is still under way would start a forgotten attempt again.
            self.forget(task, attempt);
        }
    }

    /// Compares the tasks that the records place here and the heartbeat does not show as current.
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
            self.push_change(task, self.release(attempt));
            return;
        }
        if placement.agent_epoch != self.machine.agent_epoch {
            return;
        }
        if is_wanted(job) && !self.is_stopped(task, attempt) {
            self.outcome.commands.push(WorkerCommand::Start {
                task: task.clone(),
                attempt,
            });
        } else if !self.machine.direct.may_still_start(task, attempt) {
            // Starts are sent with answers, and a worker has one heartbeat in flight: its next heartbeat
            // proves whether a start was executed; one sent directly may still come until it is
            // answered. Without either, none follows.
            self.push_change(task, self.release(attempt));
        } else if self.machine.direct.is_unacknowledged(task, attempt) {
            self.cancel_late_start(task, attempt);
        }
    }

    /// Whether the worker began a new agent epoch since a task was placed, so that it killed all
    /// it had.
    fn epoch_has_ended(&self, placement: &Placement) -> bool {
        // A machine that restarted its counters reports a lower agent epoch than an earlier holder saw.
        // This counts only for a machine that answered a probe: the agent epochs that this controller
        // sees of it only rise.
        let counters_reset = placement.agent_epoch > self.machine.agent_epoch
            && self.machine.reachability.is_confirmed();
        placement.agent_epoch < self.machine.agent_epoch || counters_reset
    }

    /// Handles an unwanted attempt whose start may still arrive. Started and stopped now, the attempt
    /// is known to the worker, so the late start does nothing, and it is seen to have ended.
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

    /// Whether this attempt is being stopped. If a stop applied to the next attempt too, that would be
    /// released before it was started, and started once the stop was forgotten, while the release may
    /// still be in flight.
    fn is_stopped(&self, task: &TaskId, attempt: Attempt) -> bool {
        let stop = self.stops.get(task);
        stop.is_some_and(|stop| stop.attempt == attempt)
    }

    fn release(&self, attempt: Attempt) -> TaskChange {
        TaskChange::Release {
            attempt,
            evidence: Evidence::Holder(self.token),
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

    /// Puts stops first, since they free the resources that starts need.
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
    job.record.phase == Phase::Active && !job.is_partially_placed_gang()
}

/// Whether an exit counts against the job or the machine.
fn is_failure(cause: ExitCause) -> bool {
    matches!(
        cause,
        ExitCause::Error | ExitCause::NoRoom | ExitCause::Unknown
    )
}

#[cfg(test)]
mod tests;
