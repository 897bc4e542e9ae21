//! A report against the records: what to tell the worker, and what the records should say next.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

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
/// `gathering` tells of a gang whether the rest of it may still be fetching its image.
pub fn reconcile(
    machine: &Machine,
    token: Token,
    jobs: &Jobs,
    stops: &Stops,
    gathering: impl Fn(&Job) -> bool,
) -> Outcome {
    let mut out = Outcome::default();
    if machine.baton.token() < token {
        return out;
    }
    let mut settled: HashSet<&TaskId> = HashSet::default();
    let loose = |task: &TaskId, attempt: Attempt| machine.direct.may_come(task, attempt);
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
        let current = placed_here(job, task, &machine.host)
            .is_some_and(|p| p.session == machine.session && p.attempt == attempt);
        match (job, current) {
            (Some(job), true) => {
                settled.insert(task);
                let pending = job.changes.contains_key(&task.index);
                let cause = seen.cause.unwrap_or(Cause::Error);
                let alone = exited && cause == Cause::Alone;
                if alone && machine.direct.riding.contains(&(task.clone(), attempt)) {
                    // It may have been told to start once more already. An answer to direct orders
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
                    out.orders.push(Order::Forget {
                        task: forget,
                        attempt,
                    });
                    out.orders.push(Order::Start { task, attempt });
                } else if exited && !pending {
                    let change = if cause == Cause::Done {
                        out.successes += 1;
                        Change::Finish { attempt }
                    } else {
                        if matches!(cause, Cause::Error | Cause::NoRoom | Cause::Unknown) {
                            out.failures.push((task.job.clone(), cause));
                        }
                        Change::Release {
                            attempt,
                            evidence: Evidence::Holder(token),
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
    let mut ended = Vec::new();
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
            attempt: placement.attempt,
            evidence: Evidence::Holder(token),
        };
        // A machine that came back with its counters begun anew shows a lower session than an earlier
        // holder saw. Only one that was asked and answered: to us its sessions only rise.
        let anew = placement.session > machine.session && machine.hearing.proved();
        if placement.session < machine.session || anew {
            // The worker began a new session, so it killed all it had.
            out.changes.push((id.clone(), *index, release));
        } else if placement.session == machine.session {
            if job_wants_it(job) && !stopped(&task, placement.attempt) {
                out.orders.push(Order::Start {
                    task,
                    attempt: placement.attempt,
                });
            } else if !loose(&task, placement.attempt) {
                // Starts ride on answers, and a worker has one report in flight: its next report
                // proves whether a start was executed; one sent directly is loose until it is
                // answered. Without either, none follows.
                out.changes.push((id.clone(), *index, release));
            } else if machine.direct.is_loose(&task, placement.attempt) {
                // Nobody wants it, and its start may still come. Started and stopped now, the attempt
                // is known to the worker, so the late start does nothing, and it is seen to have ended.
                let attempt = placement.attempt;
                let again = task.clone();
                ended.push(Order::Start {
                    task: again,
                    attempt,
                });
                ended.push(Order::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
            }
        }
    }
    // Stops first: they make the room that starts need.
    out.orders
        .sort_by_key(|order| matches!(order, Order::Start { .. }));
    out.orders.truncate(MOST_ORDERS);
    out.orders.extend(ended);
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::api::{parse, tests::body};
    use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
    use crate::jobs::{Shape, Spec};
    use crate::types::{Baton, BlockId, Millis, Revision, Session};
    use crate::workers::Seen;

    /// A gang placed on one machine with its image and fifteen without: the first waited alone for
    /// 30 s while the others fetched for a minute, its end took theirs with it, and the next attempt
    /// began with nothing. Started once more, it is not proved gone by an answer from before.
    #[test]
    fn a_task_that_waited_alone_waits_again_while_others_fetch() {
        let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.tasks, spec.shape) = (2, Shape::Gang);
        let placed = |host: &str, part| {
            Task::Placed(Placement {
                host: host.into(),
                block: BlockId::parse(part).unwrap(),
                session: Session(1),
                attempt: Attempt(3),
            })
        };
        let record = JobRecord {
            phase: Phase::Active,
            home: "n0".into(),
            tasks: 2,
            page: 8,
            spec: Some(spec),
        };
        let record = serde_json::to_string(&record).unwrap();
        let (here, other) = (placed("vm-1", "a.0"), placed("vm-2", "a.1"));
        let tried = Attempt(3);
        let task = TaskId {
            job: id.clone(),
            index: 0,
        };
        let cases = [
            // cause, the other task, may fetch, an order is on its way, started again, released
            (Cause::Alone, other.clone(), true, false, true, false),
            (Cause::Alone, other.clone(), true, true, false, false),
            (Cause::Alone, other.clone(), false, true, false, false),
            (Cause::Alone, other.clone(), false, false, false, true),
            (
                Cause::Alone,
                Task::Waiting { tried },
                true,
                false,
                false,
                true,
            ),
            (Cause::PeersGone, other, true, true, false, true),
        ];
        for (index, (cause, mate, fetches, rides, again, released)) in cases.into_iter().enumerate()
        {
            let mut jobs = Jobs::default();
            jobs.feed(&job_key(&id), Some(&record), Revision(5), Millis(1));
            let page = encode_page(&[here.clone(), mate]);
            jobs.feed(&page_key(&id, 0), Some(&page), Revision(6), Millis(1));
            let (host, block) = (HostId::from("vm-1"), BlockId::parse("a.0").unwrap());
            let (rig, zone) = ("g8".into(), "a".into());
            let mut machine = Machine::new(host, rig, zone, false, block, "n0".into());
            (machine.session, machine.baton) = (Session(1), Baton::of(Token(4)));
            let seen = Seen {
                attempt: tried,
                stage: TaskStage::Exited,
                cause: Some(cause),
            };
            machine.tasks.insert(task.clone(), seen);
            if rides {
                machine.direct.riding.insert((task.clone(), tried));
            }
            let outcome = reconcile(&machine, Token(4), &jobs, &Stops::default(), |_| fetches);
            let attempt = tried;
            let forget = Order::Forget {
                task: task.clone(),
                attempt,
            };
            let task = task.clone();
            let expected = if again {
                vec![forget, Order::Start { task, attempt }]
            } else {
                vec![]
            };
            assert_eq!(outcome.orders, expected, "case {index}");
            assert_eq!(!outcome.changes.is_empty(), released, "case {index}");
        }
    }

    /// The records of a job of one task, which is placed.
    fn one_placed(id: &JobId, spec: Spec, placement: Placement) -> Jobs {
        let record = JobRecord {
            phase: Phase::Active,
            home: "n0".into(),
            tasks: 1,
            page: 8,
            spec: Some(spec),
        };
        let mut jobs = Jobs::default();
        let record = serde_json::to_string(&record).unwrap();
        jobs.feed(&job_key(id), Some(&record), Revision(5), Millis(1));
        let page = encode_page(&[Task::Placed(placement)]);
        jobs.feed(&page_key(id, 0), Some(&page), Revision(6), Millis(1));
        jobs
    }

    /// A machine came back at once with its counters begun anew, and its block changed hands: its new
    /// holder found tasks of a session that the machine had not reached yet, and waited for ever.
    #[test]
    fn tasks_of_another_session_are_gone() {
        let cases = [
            // session of the placement, of the machine, it was asked and answered, released
            (1, 2, false, true),
            (2, 1, true, true),
            (2, 1, false, false),
            (2, 2, true, false),
        ];
        for (placed, now, proved, released) in cases {
            let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
            spec.tasks = 1;
            let block = BlockId::parse("a.0").unwrap();
            let placement = Placement {
                host: "vm-1".into(),
                block: block.clone(),
                session: Session(placed),
                attempt: Attempt(1),
            };
            let jobs = one_placed(&id, spec, placement);
            let (host, rig, zone) = ("vm-1".into(), "g8".into(), "a".into());
            let mut machine = Machine::new(host, rig, zone, false, block, "n0".into());
            (machine.session, machine.baton) = (Session(now), Baton::of(Token(4)));
            if proved {
                machine.hearing.prove();
            }
            let outcome = reconcile(&machine, Token(4), &jobs, &Stops::default(), |_| false);
            let release =
                |(_, _, change): &(JobId, u32, Change)| matches!(change, Change::Release { .. });
            let found = outcome.changes.iter().any(release);
            assert_eq!(found, released, "placed in {placed}, now {now}, {proved}");
        }
    }

    /// A task was stopped for another just after its start had left with the answer to a report.
    /// An answer to direct orders, written before the start came, did not show it; its room was
    /// given up, it was placed elsewhere and ran twice.
    #[test]
    fn a_start_on_its_way_is_not_proved_absent() {
        let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        spec.tasks = 1;
        let block = BlockId::parse("a.0").unwrap();
        let placement = Placement {
            host: "vm-1".into(),
            block: block.clone(),
            session: Session(1),
            attempt: Attempt(1),
        };
        let jobs = one_placed(&id, spec, placement);
        let task = TaskId { job: id, index: 0 };
        let attempt = Attempt(1);
        let stops = Stops::from_iter([(
            task.clone(),
            Stop {
                attempt,
                save: false,
            },
        )]);
        type Way = fn(&mut Machine, (TaskId, Attempt));
        let cases: [(&str, Way, bool); 4] = [
            // how its start went, released
            ("no start was sent", |_, _| {}, true),
            (
                "it left with the answer to the last report",
                |m, start| m.direct.riding.extend([start]),
                false,
            ),
            (
                "it was sent directly, without an answer",
                |m, start| m.direct.loose.extend([start]),
                false,
            ),
            (
                "it was sent in an earlier session",
                |m, start| {
                    m.direct.riding.extend([start]);
                    m.direct.enter(Token(4), Session(2));
                },
                true,
            ),
        ];
        for (name, way, gone) in cases {
            let host = HostId::from("vm-1");
            let (rig, zone) = ("g8".into(), "a".into());
            let mut machine = Machine::new(host, rig, zone, false, block.clone(), "n0".into());
            (machine.session, machine.baton) = (Session(1), Baton::of(Token(4)));
            way(&mut machine, (task.clone(), attempt));
            let outcome = reconcile(&machine, Token(4), &jobs, &stops, |_| false);
            assert_eq!(!outcome.changes.is_empty(), gone, "{name}");
            // A gang waited for ever for a task whose start had been sent to a machine that did not
            // hear: it is made known to the worker, and ended.
            let loose = machine.direct.is_loose(&task, attempt);
            let verbs = outcome.orders.iter().map(|order| match order {
                Order::Start { .. } => "start",
                Order::Stop { .. } => "stop",
                Order::Forget { .. } => "forget",
            });
            let expected: &[&str] = if loose { &["start", "stop"] } else { &[] };
            assert_eq!(verbs.collect::<Vec<_>>(), expected, "{name}");
        }
    }

    /// A task was stopped for another and placed again. The stop of its first attempt was held against the
    /// second, which was released before it was started; it was started when the stop was forgotten, the
    /// release was carried out after that, and it ran twice.
    #[test]
    fn a_stop_is_of_one_attempt() {
        for (stopped, released) in [(1, false), (2, true)] {
            let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
            spec.tasks = 1;
            let block = BlockId::parse("a.0").unwrap();
            let placement = Placement {
                host: "vm-1".into(),
                block: block.clone(),
                session: Session(1),
                attempt: Attempt(2),
            };
            let jobs = one_placed(&id, spec, placement);
            let (host, rig, zone) = ("vm-1".into(), "g8".into(), "a".into());
            let mut machine = Machine::new(host, rig, zone, false, block, "n0".into());
            (machine.session, machine.baton) = (Session(1), Baton::of(Token(4)));
            let stop = Stop {
                attempt: Attempt(stopped),
                save: false,
            };
            let stops = Stops::from_iter([(TaskId { job: id, index: 0 }, stop)]);
            let outcome = reconcile(&machine, Token(4), &jobs, &stops, |_| false);
            assert_eq!(!outcome.changes.is_empty(), released, "stop of {stopped}");
            assert_eq!(outcome.orders.is_empty(), released, "stop of {stopped}");
        }
    }
}
