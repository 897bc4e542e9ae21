//! The load of the replay: the quota tree, the teams with their task sizes, and the jobs that each phase submits and
//! cancels. All of it is constant data; nothing here depends on the run.

use crate::sim::{JobPlan, World, job};

/// The quota tree of the replay, as its INI text: an association, its members and their teams.
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

/// A team of the replay.
pub(super) struct ReplayTeam {
    /// Its name in the quota tree.
    pub(super) name: &'static str,
    /// GPUs of each of its tasks.
    pub(super) gpus_per_task: f64,
    /// GPUs of its guarantee without a tree, in the baseline.
    pub(super) flat_guarantee: f64,
}

const fn replay_team(name: &'static str, gpus_per_task: f64, flat_guarantee: f64) -> ReplayTeam {
    ReplayTeam {
        name,
        gpus_per_task,
        flat_guarantee,
    }
}

/// Number of teams.
const TEAM_COUNT: usize = 8;

/// All teams; a phase lists its tasks in the same order.
pub(super) const TEAMS: [ReplayTeam; TEAM_COUNT] = [
    replay_team("north-slotting", 1.0, 16.0),
    replay_team("north-training", 4.0, 8.0),
    replay_team("north-forecast", 1.0, 0.0),
    replay_team("south-slotting", 2.0, 8.0),
    replay_team("south-training", 1.0, 0.0),
    replay_team("south-forecast", 1.0, 0.0),
    replay_team("west-slotting", 1.0, 6.0),
    replay_team("west-forecast", 2.0, 0.0),
];

/// Tasks of a team that wants more than the fleet holds.
const MORE_THAN_FLEET: u32 = 400;

/// A stretch of the replay in which demand does not change.
struct DemandPhase {
    /// Its name in tables and pages.
    name: &'static str,
    /// Tasks that each team wants; those that do not fit stay in the queue.
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

/// All phases, in the order of play.
const PHASES: [DemandPhase; 8] = {
    const ALL: u32 = MORE_THAN_FLEET;
    [
        demand_phase("one team alone", [ALL, 0, 0, 0, 0, 0, 0, 0]),
        demand_phase("a second member", [ALL, 0, 0, ALL, 0, 0, 0, 0]),
        demand_phase("all swarm", [ALL; TEAM_COUNT]),
        demand_phase("some fall", [ALL, 0, ALL, ALL, ALL, ALL, 4, ALL]),
        demand_phase("a member is gone", [0, 0, 0, ALL, ALL, ALL, ALL, ALL]),
        DemandPhase {
            name: "it is back, with small jobs",
            tasks: [0, 0, ALL, ALL, 0, 0, ALL, 0],
            jobs_per_team: 20,
        },
        demand_phase("little is wanted", [0, 3, 0, 0, 8, 0, 0, 5]),
        demand_phase("all swarm again", [ALL; TEAM_COUNT]),
    ]
};

/// Seconds that a phase lasts.
pub(super) const PHASE_S: u64 = 75;
/// Second at which the first phase begins: the fleet has booted by then.
pub(super) const START_S: u64 = 30;
/// Seconds that a task of the replay takes to save its state when it is stopped.
pub const STASH_S: f64 = 1.0;
/// Seconds between the progress marks of a task.
const MARK_S: f64 = 5.0;
/// Run time of tasks where few are wanted: longer than two phases, so that demand changes only with the phases.
const LONG_RUN_MS: u64 = 600_000;
/// Run time of the first team's tasks where more are wanted than fit.
const SHORT_RUN_MS: u64 = 45_000;
/// What each further team's tasks run longer, so that the teams' tasks do not end together.
const SHORT_RUN_STEP_MS: u64 = 3_000;

/// The second at which each phase begins, and its name.
pub fn phases() -> impl Iterator<Item = (u64, &'static str)> {
    (0..)
        .zip(PHASES)
        .map(|(index, phase)| (START_S + index * PHASE_S, phase.name))
}

/// The second at which a replay ends.
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

/// A job of one team that is submitted at a second of the replay.
fn job_plan(id: usize, team_index: usize, tasks: u32, at_s: u64) -> JobPlan {
    let team = &TEAMS[team_index];
    let run_ms = if tasks < MORE_THAN_FLEET {
        LONG_RUN_MS
    } else {
        SHORT_RUN_MS + SHORT_RUN_STEP_MS * team_index as u64
    };
    let mut plan = job(id, team.name, "sweep", tasks, team.gpus_per_task, run_ms);
    // All jobs share one image, so that only room on machines is contended.
    plan.body["kit"] = "img".into();
    plan.body["stashS"] = STASH_S.into();
    plan.body["markS"] = MARK_S.into();
    plan.at = Some(at_s * 1_000);
    plan
}
