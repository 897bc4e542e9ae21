//! A report against the records: what to tell the worker, and what the records should say next.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::Machine;
use super::wire::{ExitCause, TaskStage, WorkerCommand};
use crate::jobs::cache::{Evidence, Job, JobCache, TaskChange};
use crate::jobs::{Phase, Placement, Task};
use crate::types::{Attempt, FencingToken, JobId, MachineId, TaskId};

/// Tasks that their holder is stopping, to make room or to empty a machine.
pub type Stops = HashMap<TaskId, Stop>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    pub attempt: Attempt,
    /// It gets the time to save its progress.
    pub save: bool,
}

#[derive(Debug, Default, PartialEq)]
pub struct Reconciliation {
    pub commands: Vec<WorkerCommand>,
    pub changes: Vec<(JobId, u32, TaskChange)>,
    /// Exits with an error, and starts that were refused.
    pub failures: Vec<(JobId, ExitCause)>,
    pub successes: u32,
}

/// An answer stays well below 64 KiB with this many commands.
const MOST_COMMANDS: usize = 300;

fn job_wants_it(job: &Job) -> bool {
    job.record.phase == Phase::Active && !job.broken_gang()
}

fn placed_here<'a>(
    job: Option<&'a Job>,
    task: &TaskId,
    machine_id: &MachineId,
) -> Option<&'a Placement> {
    job.and_then(|job| job.task(task.index).placement())
        .filter(|p| p.machine_id == *machine_id)
}

/// `machine` holds the newest report. `token` is what we hold its shard under; a heartbeat whose
/// worker had not seen it yet proves nothing, since an earlier holder's start may follow it.
/// `gathering` tells of a gang whether the rest of it may still be fetching its image.
pub fn reconcile(
    machine: &Machine,
    token: FencingToken,
    jobs: &JobCache,
    stops: &Stops,
    gathering: impl Fn(&Job) -> bool,
) -> Reconciliation {
    let mut out = Reconciliation::default();
    if machine.worker_token.token() < token {
        return out;
    }
    let mut settled: HashSet<&TaskId> = HashSet::default();
    let unacknowledged_starts =
        |task: &TaskId, attempt: Attempt| machine.direct.may_come(task, attempt);
    // A stop is of one attempt. Held against the next, it would have that released before it was started,
    // and started once it was forgotten, while the release may still be on its way.
    let stopped = |task: &TaskId, attempt: Attempt| {
        let stop = stops.get(task);
        stop.is_some_and(|stop| stop.attempt == attempt)
    };
    for (task, seen) in &machine.tasks {
        let job = jobs.get(&task.job);
        let attempt = seen.attempt;
        let exited = seen.stage == TaskStage::Exited;
        let current = placed_here(job, task, &machine.machine_id)
            .is_some_and(|p| p.agent_epoch == machine.agent_epoch && p.attempt == attempt);
        match (job, current) {
            (Some(job), true) => {
                settled.insert(task);
                let pending = job.changes.contains_key(&task.index);
                let cause = seen.cause.unwrap_or(ExitCause::Error);
                let alone = exited && cause == ExitCause::Alone;
                if alone
                    && machine
                        .direct
                        .piggybacked_starts
                        .contains(&(task.clone(), attempt))
                {
                    // It may have been told to start once more already. An answer to direct commands
                    // that was written before says nothing of that.
                } else if alone
                    && job_wants_it(job)
                    && !pending
                    && !stopped(task, attempt)
                    && gathering(job)
                {
                    // A fetch takes longer than a task waits for its gang: the image is here now,
                    // so it waits once more where it is. Given up, it would take the fetches of
                    // the others with it.
                    let task = task.clone();
                    let forget = task.clone();
                    out.commands.push(WorkerCommand::Forget {
                        task: forget,
                        attempt,
                    });
                    out.commands.push(WorkerCommand::Start { task, attempt });
                } else if exited && !pending {
                    let change = if cause == ExitCause::Done {
                        out.successes += 1;
                        TaskChange::Finish { attempt }
                    } else {
                        if matches!(
                            cause,
                            ExitCause::Error | ExitCause::NoRoom | ExitCause::Unknown
                        ) {
                            out.failures.push((task.job.clone(), cause));
                        }
                        TaskChange::Release {
                            attempt,
                            evidence: Evidence::Holder(token),
                        }
                    };
                    out.changes.push((task.job.clone(), task.index, change));
                } else if !exited && !job_wants_it(job) {
                    out.commands.push(WorkerCommand::Stop {
                        task: task.clone(),
                        attempt,
                        grace_s: 0.0,
                    });
                } else if let Some(stop) = stops.get(task)
                    && !exited
                    && stop.attempt == attempt
                    && (seen.stage != TaskStage::Saving || !stop.save)
                {
                    out.commands.push(WorkerCommand::Stop {
                        task: task.clone(),
                        attempt,
                        grace_s: if stop.save {
                            job.spec.save_s.ceil() + 1.0
                        } else {
                            0.0
                        },
                    });
                }
            }
            // The record has moved on, and it was committed before: an exited task may be
            // forgotten, any other has no business here.
            _ if exited => {
                // A start that is still under way would start a forgotten attempt once more.
                if !unacknowledged_starts(task, attempt) {
                    out.commands.push(WorkerCommand::Forget {
                        task: task.clone(),
                        attempt,
                    });
                }
            }
            _ => out.commands.push(WorkerCommand::Stop {
                task: task.clone(),
                attempt,
                grace_s: 0.0,
            }),
        }
    }
    let mut ended = Vec::new();
    for (id, index) in jobs.on_machine(&machine.machine_id) {
        let task = TaskId {
            job: id.clone(),
            index: *index,
        };
        let Some(job) = jobs.get(id) else { continue };
        if settled.contains(&task) || job.changes.contains_key(index) {
            continue;
        }
        let Task::Placed(placement) = job.task(*index) else {
            continue;
        };
        let release = TaskChange::Release {
            attempt: placement.attempt,
            evidence: Evidence::Holder(token),
        };
        // A machine that came back with its counters begun anew shows a lower agent epoch than an earlier
        // holder saw. Only one that was asked and answered: to us its agent epochs only rise.
        let anew = placement.agent_epoch > machine.agent_epoch && machine.reachability.proved();
        if placement.agent_epoch < machine.agent_epoch || anew {
            // The worker began a new agent epoch, so it killed all it had.
            out.changes.push((id.clone(), *index, release));
        } else if placement.agent_epoch == machine.agent_epoch {
            if job_wants_it(job) && !stopped(&task, placement.attempt) {
                out.commands.push(WorkerCommand::Start {
                    task,
                    attempt: placement.attempt,
                });
            } else if !unacknowledged_starts(&task, placement.attempt) {
                // Starts ride on answers, and a worker has one heartbeat in flight: its next heartbeat
                // proves whether a start was executed; one sent directly is loose until it is
                // answered. Without either, none follows.
                out.changes.push((id.clone(), *index, release));
            } else if machine.direct.is_unacknowledged(&task, placement.attempt) {
                // Nobody wants it, and its start may still come. Started and stopped now, the attempt
                // is known to the worker, so the late start does nothing, and it is seen to have ended.
                let attempt = placement.attempt;
                let again = task.clone();
                ended.push(WorkerCommand::Start {
                    task: again,
                    attempt,
                });
                ended.push(WorkerCommand::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
            }
        }
    }
    // Stops first: they make the room that starts need.
    out.commands
        .sort_by_key(|order| matches!(order, WorkerCommand::Start { .. }));
    out.commands.truncate(MOST_COMMANDS);
    out.commands.extend(ended);
    out
}

#[cfg(test)]
mod tests;
