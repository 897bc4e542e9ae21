//! The simulated load: the quota tree, the teams with their task sizes, and the jobs that each phase submits and
//! cancels. All of it is constant data; nothing here depends on the run.

use crate::sim::{JobPlan, World, job};

/// The quota tree as INI text: an association, its members and their teams.
pub const TREE: &str = "\
[tree]
revision = 1
hold_s = 3
[node association]
gpus = 64
[node north]
parent = association
gpus = 32
[node south]
parent = association
gpus = 20
[node west]
parent = association
gpus = 12
[node north-slotting]
parent = north
team = north-slotting
gpus = 16
[node north-training]
parent = north
team = north-training
gpus = 8
[node north-forecast]
parent = north
team = north-forecast
[node south-slotting]
parent = south
team = south-slotting
gpus = 8
[node south-training]
parent = south
team = south-training
weight = 2
[node south-forecast]
parent = south
team = south-forecast
[node west-slotting]
parent = west
team = west-slotting
gpus = 6
[node west-forecast]
parent = west
team = west-forecast
";

/// A team that submits jobs.
pub(super) struct TeamDemand {
    /// Its name in the quota tree.
    pub(super) name: &'static str,
    /// GPUs of each of its tasks.
    pub(super) gpus_per_task: f64,
    /// Guaranteed GPUs in the baseline, which has no quota tree.
    pub(super) flat_guarantee: f64,
}

const fn team_demand(name: &'static str, gpus_per_task: f64, flat_guarantee: f64) -> TeamDemand {
    TeamDemand {
        name,
        gpus_per_task,
        flat_guarantee,
    }
}

/// Number of teams.
const TEAM_COUNT: usize = 8;

/// All teams. [`DemandPhase::tasks`] has the same order.
pub(super) const TEAMS: [TeamDemand; TEAM_COUNT] = [
    team_demand("north-slotting", 1.0, 16.0),
    team_demand("north-training", 4.0, 8.0),
    team_demand("north-forecast", 1.0, 0.0),
    team_demand("south-slotting", 2.0, 8.0),
    team_demand("south-training", 1.0, 0.0),
    team_demand("south-forecast", 1.0, 0.0),
    team_demand("west-slotting", 1.0, 6.0),
    team_demand("west-forecast", 2.0, 0.0),
];

/// Number of tasks of a team whose demand exceeds the fleet.
const MORE_THAN_FLEET: u32 = 400;

/// A period of the simulation in which demand does not change.
struct DemandPhase {
    /// Its name on the page.
    name: &'static str,
    /// Tasks that each team submits; tasks that do not fit stay in the queue.
    tasks: [u32; TEAM_COUNT],
    /// Jobs over which a team's tasks are divided.
    jobs_per_team: u32,
}

const fn demand_phase(name: &'static str, tasks: [u32; TEAM_COUNT]) -> DemandPhase {
    DemandPhase {
        name,
        tasks,
        jobs_per_team: 1,
    }
}

/// All phases, in chronological order.
const PHASES: [DemandPhase; 8] = {
    const ALL: u32 = MORE_THAN_FLEET;
    [
        demand_phase("one team only", [ALL, 0, 0, 0, 0, 0, 0, 0]),
        demand_phase("a second member", [ALL, 0, 0, ALL, 0, 0, 0, 0]),
        demand_phase("all teams exceed the fleet", [ALL; TEAM_COUNT]),
        demand_phase(
            "demand of some teams falls",
            [ALL, 0, ALL, ALL, ALL, ALL, 4, ALL],
        ),
        demand_phase(
            "one member without demand",
            [0, 0, 0, ALL, ALL, ALL, ALL, ALL],
        ),
        DemandPhase {
            name: "the member returns, with small jobs",
            tasks: [0, 0, ALL, ALL, 0, 0, ALL, 0],
            jobs_per_team: 20,
        },
        demand_phase("low demand", [0, 3, 0, 0, 8, 0, 0, 5]),
        demand_phase("all teams exceed the fleet again", [ALL; TEAM_COUNT]),
    ]
};

/// Duration of a phase in seconds.
pub(super) const PHASE_S: u64 = 75;
/// Second at which the first phase begins: the fleet has booted by then.
pub(super) const START_S: u64 = 30;
/// Seconds that a task takes to save its state when it is stopped.
pub const SAVE_S: f64 = 1.0;
/// Seconds between the checkpoints of a task.
const CHECKPOINT_INTERVAL_S: f64 = 5.0;
/// Run time of the tasks of a team whose demand fits the fleet: longer than two phases, so that demand changes only
/// with the phases.
const LONG_RUN_MS: u64 = 600_000;
/// Run time of the first team's tasks when its demand exceeds the fleet.
const SHORT_RUN_MS: u64 = 45_000;
/// Added to the run time for each further team, so that the teams' tasks do not end at the same time.
const SHORT_RUN_STEP_MS: u64 = 3_000;

/// Iterates over the phases: the second at which each begins, and its name.
pub fn phases() -> impl Iterator<Item = (u64, &'static str)> {
    (0..)
        .zip(PHASES)
        .map(|(index, phase)| (START_S + index * PHASE_S, phase.name))
}

/// The second at which the simulation ends.
#[must_use]
pub fn end_s() -> u64 {
    START_S + PHASES.len() as u64 * PHASE_S
}

/// Submits the jobs of every phase, and cancels those that a later phase no longer wants when it begins.
pub(super) fn schedule_jobs(world: &mut World) {
    let mut next_job_id = 0;
    let mut submitted: [Vec<usize>; TEAM_COUNT] = Default::default();
    let mut tasks_before = [0; TEAM_COUNT];
    for ((start_s, _), phase) in phases().zip(&PHASES) {
        for team_index in 0..TEAM_COUNT {
            let tasks = phase.tasks[team_index];
            if tasks == tasks_before[team_index] {
                continue;
            }
            for job in submitted[team_index].drain(..) {
                world.abort_at(start_s * 1_000, job);
            }
            if tasks == 0 {
                continue;
            }
            let tasks_per_job = tasks.div_ceil(phase.jobs_per_team);
            for _ in 0..phase.jobs_per_team {
                submitted[team_index].push(world.jobs.len());
                world.submit(job_plan(next_job_id, team_index, tasks_per_job, start_s));
                next_job_id += 1;
            }
        }
        tasks_before = phase.tasks;
    }
}

/// Builds a job of one team, submitted at second `at_s`.
fn job_plan(id: usize, team_index: usize, tasks: u32, at_s: u64) -> JobPlan {
    let team = &TEAMS[team_index];
    let run_ms = if tasks < MORE_THAN_FLEET {
        LONG_RUN_MS
    } else {
        SHORT_RUN_MS + SHORT_RUN_STEP_MS * team_index as u64
    };
    let mut plan = job(id, team.name, "sweep", tasks, team.gpus_per_task, run_ms);
    // All jobs share one image, so that they contend only for machine capacity.
    plan.body["kit"] = "img".into();
    plan.body["stashS"] = SAVE_S.into();
    plan.body["markS"] = CHECKPOINT_INTERVAL_S.into();
    plan.at = Some(at_s * 1_000);
    plan
}
