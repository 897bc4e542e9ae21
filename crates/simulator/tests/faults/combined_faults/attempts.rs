//! Workers that know several attempts of a task.

use std::collections::HashSet;

use cluster_simulator::config::Config;
use cluster_simulator::sim::{JobPlan, World, job};
use jaspertiller::types::{JobId, Millis};

use super::super::{finish, seeds};
use super::confirmed_cancellations;

/// Jobs whose task is preempted again and again.
const PREEMPTED_JOBS: usize = 4;
/// Milliseconds at which the first of these jobs is cancelled.
const FIRST_CANCELLATION: u64 = 70_000;
/// Milliseconds from one cancellation to the next.
const CANCELLATION_INTERVAL: u64 = 500;
/// Share of replies to direct commands that are late.
const LATE_REPLY_SHARE: f64 = 0.5;

/// A job with one task that takes a whole machine, at a time in milliseconds.
fn whole_machine(id: usize, kind: &str, rank: &str, run_ms: u64, at: u64) -> JobPlan {
    let mut plan = job(id, "large", kind, 1, 4.0, run_ms);
    plan.body["rank"] = rank.into();
    plan.body["loaners"] = false.into();
    plan.at = Some(at);
    plan
}

/// Long jobs that fill all machines, and short urgent ones that preempt them.
fn preempting_jobs() -> Vec<JobPlan> {
    let long = |i: usize| whole_machine(i, "sweep", "best_effort", 120_000, 1_000);
    let short = |i: usize| {
        let at = 20_000 + 2_500 * i as u64;
        whole_machine(100 + i, "gang", "urgent", 800, at)
    };
    let long_jobs = (0..PREEMPTED_JOBS).map(long);
    long_jobs.chain((0..18).map(short)).collect()
}

/// Guards against `ran_cancelled`: the reply to a direct start was late, so its attempt stayed listed after its
/// exit. It hid the attempt that ran on the same machine, which was never killed once its job was cancelled.
#[test]
fn a_task_that_returned_to_its_machine_is_killed_when_cancelled() {
    let seeds = seeds("ATTEMPTS", 6);
    let runs = seeds.end - seeds.start;
    let mut cancelled = 0;
    for seed in seeds {
        let config = Config {
            capacity: PREEMPTED_JOBS as u32,
            ..Config::default()
        };
        let mut world = World::new(config, seed, preempting_jobs());
        world.network.late_reply_share = LATE_REPLY_SHARE;
        let mut returned: HashSet<JobId> = HashSet::new();
        super::super::enable_logging_if_requested();
        while world.now < FIRST_CANCELLATION {
            world.run_until(world.now + 250);
            let tasks = world
                .machines
                .tasks_with_several_attempts(Millis(world.now));
            returned.extend(tasks.map(|task| task.job.clone()));
        }
        for index in 0..PREEMPTED_JOBS {
            let at = FIRST_CANCELLATION + CANCELLATION_INTERVAL * index as u64;
            world.abort_at(at, index);
        }
        finish(&mut world, &format!("preempted tasks return (seed {seed})"));
        cancelled += confirmed_cancellations(&world, &returned, FIRST_CANCELLATION, world.now);
    }
    assert!(
        cancelled >= runs,
        "only {cancelled} jobs were cancelled whose machine knew several attempts of their task"
    );
}
