//! Copies of direct commands that were carried out and answered reach their workers again. None of them may start a
//! task: it may run elsewhere by then, be done, or have been cancelled.

use super::finish;
use cluster_simulator::config::Config;
use cluster_simulator::machines::TaskAttempt;
use cluster_simulator::sim::{ExecutedCommands, World, job};
use jaspertiller::types::{Attempt, MachineId, Millis, TaskId};
use jaspertiller::workers::wire::{ExitCause, WorkerCommand};

/// When the first attempt is under way, in milliseconds.
const JOB_SUBMITTED: u64 = 30_000;
/// Index of the job whose task is started twice.
const JOB_INDEX: usize = 0;
/// Delays after which a copy arrives, in milliseconds.
const COPY_DELAYS: [u64; 2] = [1_000, 45_000];
/// Distance between the seeds that a case is prepared with.
const SEED_STEP: usize = 8;
/// Most seeds that a case is prepared with.
const MAX_SEEDS: usize = 6;
/// Longest time in milliseconds until something that has to happen.
const PATIENCE: u64 = 60_000;

/// What happens between the end of the first attempt and the copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    StartedElsewhere,
    CancelledForLongerThanAllowed,
    JobDone,
    MachineIdle,
    ShardAcquiredBeforeTheWorkerKnows,
    ShardAcquiredAndTheWorkerKnows,
    ControllerBackAtOnce,
    MachineBackAtOnce,
    MachineBackWithCountersReset,
}

/// Which commands of the request that started the first attempt are copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copied {
    Start,
    Stop,
    StartAndStop,
}

/// A run in which the first attempt of a task was started directly and has ended.
struct Run {
    world: World,
    task: TaskId,
    /// The request that started the first attempt.
    started_by: ExecutedCommands,
}

impl Run {
    fn new(seed: u64, cause: ExitCause, between: Between) -> Self {
        let is_gang = matches!(cause, ExitCause::GangMemberLost | ExitCause::GangTimeout);
        let (kind, tasks) = if is_gang { ("gang", 2) } else { ("sweep", 1) };
        let run_ms = if between == Between::JobDone {
            6_000
        } else {
            70_000
        };
        let mut watched = job(JOB_INDEX, "large", kind, tasks, 1.0, run_ms);
        watched.at = Some(JOB_SUBMITTED);
        watched.body["oneZone"] = false.into();
        // Others keep machines at work in both zones.
        let others = (1..=4).map(|index| {
            let mut other = job(index, "large", "standing", 2, 1.0, 0);
            other.at = Some(1_000);
            other
        });
        let config = Config::default();
        let mut jobs = vec![watched];
        jobs.extend(others);
        let mut world = World::new(config, seed, jobs);
        world.rules.calm = Millis(JOB_SUBMITTED + 6 * PATIENCE);
        world.executed_commands = Some(Vec::new());
        // The machine is still there when the first copies arrive; in one case it is returned later.
        if between == Between::MachineIdle {
            world.change_operator_settings(|settings| settings.idle_return = Millis(40_000));
        } else {
            world.change_operator_settings(|settings| settings.idle_return = Millis(600_000));
        }
        let task = TaskId {
            job: world.jobs[JOB_INDEX].id(),
            index: 0,
        };
        world.run_until(JOB_SUBMITTED);
        let started_by = wait(&mut world, "a direct start", |world| {
            let mut executed = world.executed_commands.iter().flatten();
            executed
                .find(|executed| executed.starts_task(&task))
                .cloned()
        });
        let mut run = Self {
            world,
            task,
            started_by,
        };
        run.end_first_attempt(cause);
        run
    }

    fn machine_id(&self) -> &MachineId {
        &self.started_by.machine_id
    }

    /// Index of the controller that sent the start.
    fn controller(&self) -> usize {
        self.started_by.controller
    }

    /// Ends the first attempt on its machine, which fails every further task until the task runs elsewhere.
    fn end_first_attempt(&mut self, cause: ExitCause) {
        let is_refused = matches!(
            cause,
            ExitCause::InsufficientResources
                | ExitCause::OtherAttemptPresent
                | ExitCause::UnknownTask
        );
        if !is_refused {
            let (task, machine_id) = (self.task.clone(), self.machine_id().clone());
            wait(&mut self.world, "the first attempt", |world| {
                world.machines.is_on(&machine_id, &task).then_some(())
            });
        }
        let first = TaskAttempt {
            task: self.task.clone(),
            attempt: Attempt(1),
        };
        let machine_id = self.machine_id().clone();
        self.world.machines.end_attempt(&machine_id, &first, cause);
        self.set_faulty(cause != ExitCause::Done);
    }

    fn set_faulty(&mut self, faulty: bool) {
        let machine_id = self.machine_id().clone();
        if let Some(machine) = self.world.machines.by_id.get_mut(&machine_id) {
            machine.faulty = faulty;
        }
    }

    /// Whether the task runs on another machine.
    fn is_elsewhere(&self) -> bool {
        let mut started = self.world.machines.tasks_started(Millis(self.world.now));
        started.any(|(machine_id, task)| *task == self.task && machine_id != self.machine_id())
    }

    /// Waits until the task runs on another machine, if it has to run at all.
    fn move_elsewhere(&mut self, cause: ExitCause) {
        let until = self.world.now + PATIENCE;
        while cause != ExitCause::Done && !self.is_elsewhere() && self.world.now < until {
            self.world.run_until(self.world.now + 50);
        }
        self.set_faulty(false);
        if matches!(
            cause,
            ExitCause::GangMemberLost | ExitCause::GangTimeout | ExitCause::Done
        ) {
            return;
        }
        assert!(self.is_elsewhere(), "{} did not move", self.task);
    }

    fn machine_is_up(&self) -> bool {
        let machine = self.world.machines.by_id.get(self.machine_id());
        machine.is_some_and(|machine| machine.stopped_at.is_none())
    }

    /// Ends the controller that sent the start, and waits until its shard has another holder.
    fn hand_shard_over(&mut self) {
        let (controller, now) = (self.controller(), self.world.now);
        self.world.crash(controller, now, PATIENCE);
        let label = Config::label(controller);
        wait(&mut self.world, "another holder", |world| {
            let keys = ["a.0", "a.1", "b.0", "b.1"].map(|shard| format!("jt/block/{shard}"));
            let held_by_others = |key: &String| {
                let record = world.store.get(key);
                record.is_some_and(|(record, ..)| !record.contains(&format!("\"{label}\"")))
            };
            keys.iter().all(held_by_others).then_some(())
        });
    }

    fn prepare(&mut self, cause: ExitCause, between: Between) {
        self.move_elsewhere(cause);
        let (controller, now) = (self.controller(), self.world.now);
        let machine_id = self.machine_id().clone();
        match between {
            Between::StartedElsewhere => {}
            Between::CancelledForLongerThanAllowed => {
                self.world.abort_at(now + 100, JOB_INDEX);
                let id = self.task.job.clone();
                let cancelled_at = wait(&mut self.world, "a confirmed cancellation", |world| {
                    world.rules.aborted.get(&id).copied()
                });
                let limit = self.world.config.timing.cancel;
                self.world.run_until(cancelled_at.0 + limit.0);
            }
            Between::JobDone => {
                let id = self.task.job.clone();
                wait(&mut self.world, "the end of the job", |world| {
                    world.rules.done.contains(&id).then_some(())
                });
            }
            Between::MachineIdle => self.world.run_until(now + 8_000),
            Between::ShardAcquiredBeforeTheWorkerKnows => {
                if let Some(machine) = self.world.machines.by_id.get_mut(&machine_id) {
                    machine.unreachable_until = Millis(now + PATIENCE);
                }
                self.hand_shard_over();
                if let Some(machine) = self.world.machines.by_id.get_mut(&machine_id) {
                    machine.unreachable_until = Millis(0);
                    assert!(machine.worker_token <= self.started_by.worker_token);
                }
            }
            Between::ShardAcquiredAndTheWorkerKnows => {
                self.hand_shard_over();
                let sent_under = self.started_by.worker_token;
                wait(&mut self.world, "a higher token", |world| {
                    let machine = world.machines.by_id.get(&machine_id)?;
                    (machine.worker_token > sent_under || machine.stopped_at.is_some())
                        .then_some(())
                });
            }
            Between::ControllerBackAtOnce => {
                self.world.crash(controller, now, 300);
                self.world.run_until(now + 301);
            }
            Between::MachineBackAtOnce => {
                self.world.machines.reboot(&machine_id, false, Millis(now));
            }
            Between::MachineBackWithCountersReset => {
                self.world.machines.reboot(&machine_id, true, Millis(now));
                // Until it has seen a higher token than before the reset, it obeys every copy.
                let sent_under = self.started_by.worker_token;
                let reset_at = self.world.now;
                wait(&mut self.world, "a raised token", |world| {
                    let machine = world.machines.by_id.get(&machine_id)?;
                    (machine.worker_token > sent_under || machine.stopped_at.is_some())
                        .then_some(())
                });
                let exposed_for = self.world.now - reset_at;
                println!("{cause:?}: obeyed copies for {exposed_for} ms after the reset");
            }
        }
    }

    /// Delivers a copy; returns how many tasks it started.
    fn deliver(&mut self, copied: Copied) -> u64 {
        let (task, attempt) = (self.task.clone(), Attempt(1));
        let start = WorkerCommand::Start {
            task: task.clone(),
            attempt,
        };
        let stop = WorkerCommand::Stop {
            task,
            attempt,
            grace_s: 0.0,
        };
        let mut copy = self.started_by.clone();
        copy.commands = match copied {
            Copied::Start => vec![start],
            Copied::Stop => vec![stop],
            Copied::StartAndStop => vec![start, stop],
        };
        self.world.deliver_command_copy(&copy)
    }
}

/// A run that is ready for the copies. A faulty machine may be returned before they arrive, depending on which
/// controller owns the job; then the run is prepared again with another seed. `None` if all seeds end so.
fn prepared_run(first_seed: u64, cause: ExitCause, between: Between) -> Option<Run> {
    (first_seed..)
        .step_by(SEED_STEP)
        .take(MAX_SEEDS)
        .find_map(|seed| {
            let mut run = Run::new(seed, cause, between);
            run.prepare(cause, between);
            run.machine_is_up().then_some(run)
        })
}

/// Runs until a condition holds, and returns what it yields.
fn wait<T>(world: &mut World, what: &str, condition: impl Fn(&World) -> Option<T>) -> T {
    let until = world.now + PATIENCE;
    loop {
        if let Some(found) = condition(world) {
            return found;
        }
        assert!(world.now < until, "no {what} by {until}");
        world.run_until(world.now + 10);
    }
}

/// Guards against `ran_twice` and `ran_cancelled`: a copy of an answered start ran a forgotten attempt again.
#[test]
fn copies_of_answered_direct_commands_start_nothing() {
    use Between::*;
    use ExitCause::*;
    let causes = [
        Error,
        Stopped,
        Done,
        GangMemberLost,
        GangTimeout,
        InsufficientResources,
        OtherAttemptPresent,
        UnknownTask,
    ];
    let betweens = [
        StartedElsewhere,
        CancelledForLongerThanAllowed,
        JobDone,
        MachineIdle,
        ShardAcquiredBeforeTheWorkerKnows,
        ShardAcquiredAndTheWorkerKnows,
        ControllerBackAtOnce,
        MachineBackAtOnce,
        MachineBackWithCountersReset,
    ];
    let (mut failed, mut accepted) = (Vec::new(), 0);
    for (seed, cause) in (1..).zip(causes) {
        for between in betweens {
            // A job that is done can't be cancelled, and its task runs nowhere else.
            let is_over = matches!(between, StartedElsewhere | CancelledForLongerThanAllowed);
            if cause == Done && is_over {
                continue;
            }
            for copied in [Copied::Start, Copied::Stop, Copied::StartAndStop] {
                let case = format!("{cause:?}, {between:?}, {copied:?}");
                let Some(mut run) = prepared_run(seed, cause, between) else {
                    failed.push(format!("{case}: the machine is gone"));
                    continue;
                };
                let from = run.world.now;
                let mut started = run.deliver(copied);
                for delay in COPY_DELAYS {
                    run.world.run_until(from + delay);
                    started += run.deliver(copied);
                }
                accepted += run.world.fault_counts.command_copies;
                if started > 0 {
                    failed.push(format!("{case}: {started}"));
                    continue;
                }
                finish(&mut run.world, &case);
            }
        }
    }
    println!("workers accepted {accepted} copies");
    assert!(failed.is_empty(), "{} cases: {failed:#?}", failed.len());
    assert!(accepted > 0, "no copy was accepted");
}
