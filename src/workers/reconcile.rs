//! A report against the records: what to tell the worker, and what the records should say next.

use std::collections::{HashMap, HashSet};

use super::Machine;
use super::wire::{Cause, Order, TaskStage};
use crate::jobs::cache::{Change, Evidence, Job, Jobs};
use crate::jobs::{Phase, Placement, Task};
use crate::types::{Attempt, HostId, JobId, TaskId, Token};

/// Tasks that their holder is stopping, to make room or to empty a machine.
pub type Stops = HashMap<TaskId, Stop>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    pub attempt: Attempt,
    /// It gets the time to save its progress.
    pub save: bool,
}

#[derive(Debug, Default, PartialEq)]
pub struct Outcome {
    pub orders: Vec<Order>,
    pub changes: Vec<(JobId, u32, Change)>,
    /// Exits with an error, and starts that were refused.
    pub failures: Vec<(JobId, Cause)>,
    pub successes: u32,
}

/// An answer stays well below 64 KiB with this many orders.
const MOST_ORDERS: usize = 300;

fn job_wants_it(job: &Job) -> bool {
    job.record.phase == Phase::Active && !job.broken_gang()
}

fn placed_here<'a>(job: Option<&'a Job>, task: &TaskId, host: &HostId) -> Option<&'a Placement> {
    job.and_then(|job| job.task(task.index).placement())
        .filter(|p| p.host == *host)
}

/// `machine` holds the newest report. `token` is what we hold its block under; a report whose
/// worker had not seen it yet proves nothing, since an earlier holder's start may follow it.
pub fn reconcile(machine: &Machine, token: Token, jobs: &Jobs, stops: &Stops) -> Outcome {
    let mut out = Outcome::default();
    if machine.baton < token {
        return out;
    }
    let mut settled: HashSet<&TaskId> = HashSet::new();
    let loose =
        |task: &TaskId, attempt: Attempt| machine.direct.loose.contains(&(task.clone(), attempt));
    for (task, seen) in &machine.tasks {
        let job = jobs.get(&task.job);
        let attempt = seen.attempt;
        let exited = seen.stage == TaskStage::Exited;
        let current = placed_here(job, task, &machine.host)
            .is_some_and(|p| p.session == machine.session && p.attempt == attempt);
        match (job, current) {
            (Some(job), true) => {
                settled.insert(task);
                let pending = job.changes.contains_key(&task.index);
                if exited && !pending {
                    let cause = seen.cause.unwrap_or(Cause::Error);
                    let change = if cause == Cause::Done {
                        out.successes += 1;
                        Change::Finish
                    } else {
                        if matches!(cause, Cause::Error | Cause::NoRoom | Cause::Unknown) {
                            out.failures.push((task.job.clone(), cause));
                        }
                        Change::Release {
                            evidence: Evidence::Holder,
                        }
                    };
                    out.changes.push((task.job.clone(), task.index, change));
                } else if !exited && !job_wants_it(job) {
                    out.orders.push(Order::Stop {
                        task: task.clone(),
                        attempt,
                        grace_s: 0.0,
                    });
                } else if let Some(stop) = stops.get(task)
                    && !exited
                    && stop.attempt == attempt
                    && (seen.stage != TaskStage::Saving || !stop.save)
                {
                    out.orders.push(Order::Stop {
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
                if !loose(task, attempt) {
                    out.orders.push(Order::Forget {
                        task: task.clone(),
                        attempt,
                    });
                }
            }
            _ => out.orders.push(Order::Stop {
                task: task.clone(),
                attempt,
                grace_s: 0.0,
            }),
        }
    }
    for (id, index) in jobs.on_host(&machine.host) {
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
        let release = Change::Release {
            evidence: Evidence::Holder,
        };
        if placement.session < machine.session {
            // The worker began a new session, so it killed all it had.
            out.changes.push((id.clone(), *index, release));
        } else if placement.session == machine.session {
            if job_wants_it(job) && !stops.contains_key(&task) {
                out.orders.push(Order::Start {
                    task,
                    attempt: placement.attempt,
                });
            } else if !loose(&task, placement.attempt) {
                // Starts ride on answers, and a worker has one report in flight: a newer
                // report that does not show the task proves that no start of it was executed,
                // and none follows; one sent directly would be loose until it is answered.
                out.changes.push((id.clone(), *index, release));
            }
        }
    }
    // Stops first: they make the room that starts need.
    out.orders
        .sort_by_key(|order| matches!(order, Order::Start { .. }));
    out.orders.truncate(MOST_ORDERS);
    out
}
