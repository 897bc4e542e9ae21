//! Runs the simulation and samples, each second, what every node of the quota tree uses and what it is entitled to.

use std::collections::BTreeMap;
use std::sync::Arc;

use hierarchical_quota::{Amount, Entitlements, Tree};
use jaspertiller::jobs::Phase;
use jaspertiller::types::{JobId, Millis, TaskId, Team};

use super::Kind;
use super::demand::{START_S, TEAMS, end_s};
use super::evaluation::{ContentionResult, Sample, evaluate_nodes, node_use, reclaim_times};
use super::scenario::{quota_tree, world};
use crate::sim::{JobPlan, World};

/// Observations per second; a sample is the mean of one second's observations.
const OBSERVATIONS_PER_S: u64 = 10;

/// Simulates one variant in virtual time.
#[must_use]
pub fn simulate(kind: Kind, seed: u64) -> ContentionResult {
    let tree = quota_tree();
    let mut world = world(kind, seed);
    let mut samples: Vec<Vec<Sample>> = vec![Vec::new(); tree.nodes.len()];
    let mut used_gpu_s = 0.0;
    for at_s in START_S..end_s() {
        let team_use = mean_team_use(&mut world, at_s);
        used_gpu_s += team_use.values().sum::<f64>();
        let entitlements = current_entitlements(&world, &tree);
        for index in tree.node_indices() {
            samples[index.0 as usize].push(Sample {
                at_s,
                share: node_use(&tree, index, &team_use),
                entitled: entitlements.entitled(index).gpus,
            });
        }
    }
    world.rules.finish();
    let nodes = evaluate_nodes(&tree, samples);
    let reclaim_times_s = reclaim_times(&nodes);
    ContentionResult {
        kind,
        seed,
        nodes,
        reclaim_times_s,
        violations: world.rules.violations.iter().cloned().collect(),
        lost_run_time_s: world.machines.lost_run_time.secs(),
        used_gpu_s,
        committed_changes: world.store.written,
    }
}

/// Simulates one second and returns the GPUs that each team's tasks hold during it, on average.
fn mean_team_use(world: &mut World, at_s: u64) -> BTreeMap<Team, f64> {
    let mut team_use = BTreeMap::new();
    for observation in 0..OBSERVATIONS_PER_S {
        world.run_until(at_s * 1_000 + observation * 1_000 / OBSERVATIONS_PER_S);
        add_observation(world, &mut team_use);
    }
    team_use
}

/// Adds one observation to the mean over a second: the GPUs that each team's tasks hold now.
fn add_observation(world: &World, team_use: &mut BTreeMap<Team, f64>) {
    for task in world.machines.tasks_allocated(Millis(world.now)) {
        if let Some(job) = world.machines.jobs.get(&task.job) {
            let sum = team_use.entry(job.spec.team.clone()).or_default();
            *sum += job.spec.resources.gpus / OBSERVATIONS_PER_S as f64;
        }
    }
}

/// Computes the entitlements from current demand only: a fresh computation has no hysteresis.
fn current_entitlements(world: &World, tree: &Arc<Tree>) -> Entitlements {
    let mut entitlements = Entitlements::new(tree.clone());
    for team in &TEAMS {
        if let Some(leaf) = tree.leaf(team.name) {
            entitlements.set_demand(leaf, Amount::new(0.0, gpu_demand(world, team.name)), 0);
        }
    }
    entitlements.refresh();
    entitlements
}

/// GPUs of all incomplete tasks of a team's active jobs, from the view of the team's users.
fn gpu_demand(world: &World, team: &str) -> f64 {
    let submitted = |plan: &&JobPlan| plan.at.is_some_and(|at| at <= world.now);
    let jobs = world.jobs.iter().filter(submitted).map(JobPlan::id);
    let mut sum = 0.0;
    for id in jobs.filter(|id| job_phase(world, id) == Phase::Active) {
        let Some(job) = world.machines.jobs.get(&id) else {
            continue;
        };
        if job.spec.team != Team::from(team) {
            continue;
        }
        let task = |index| TaskId {
            job: id.clone(),
            index,
        };
        let incomplete =
            (0..job.spec.tasks).filter(|index| !world.machines.completed.contains(&task(*index)));
        sum += incomplete.count() as f64 * job.spec.resources.gpus;
    }
    sum
}

/// The phase of a job from the view of its user.
fn job_phase(world: &World, id: &JobId) -> Phase {
    if world.rules.done.contains(id) {
        Phase::Done
    } else if world.rules.wanted_aborts.contains_key(id) {
        Phase::Aborted
    } else {
        Phase::Active
    }
}
