//! A replay of contention: three levels of quotas, eight teams, demand that rises, falls and
//! swarms, on a fleet that is just what the tree holds. It says how near every node's share is to
//! what the tree entitles it to. All of it in virtual time: simulated.

use std::collections::BTreeMap;
use std::sync::Arc;

use hierarchical_quota::{Amount, Entitlements, NodeIndex, Tree, TreeSpec};
use jaspertiller::jobs::Phase;
use jaspertiller::settings::Settings;
use jaspertiller::types::{JobId, Millis, Team};

use crate::config::{Config, team};
use crate::sim::{Cut, JobPlan, World, job};

/// The tree of the replay: an association, its members, their teams.
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

/// Each team's name, the GPUs of its tasks, and its flat guarantee for the baseline.
const TEAMS: [(&str, f64, f64); 8] = [
    ("north-slotting", 1.0, 16.0),
    ("north-training", 4.0, 8.0),
    ("north-forecast", 1.0, 0.0),
    ("south-slotting", 2.0, 8.0),
    ("south-training", 1.0, 0.0),
    ("south-forecast", 1.0, 0.0),
    ("west-slotting", 1.0, 6.0),
    ("west-forecast", 2.0, 0.0),
];

/// More than the fleet has.
const ALL: u32 = 400;

/// Tasks that each team wants, phase by phase; more than fit stay in the queue.
const PHASES: [(&str, [u32; 8]); 8] = [
    ("one team alone", [ALL, 0, 0, 0, 0, 0, 0, 0]),
    ("a second member", [ALL, 0, 0, ALL, 0, 0, 0, 0]),
    ("all swarm", [ALL; 8]),
    ("some fall", [ALL, 0, ALL, ALL, ALL, ALL, 4, ALL]),
    ("a member is gone", [0, 0, 0, ALL, ALL, ALL, ALL, ALL]),
    (
        "it is back, with small jobs",
        [0, 0, ALL, ALL, 0, 0, ALL, 0],
    ),
    ("little is wanted", [0, 3, 0, 0, 8, 0, 0, 5]),
    ("all swarm again", [ALL; 8]),
];

const PHASE_S: u64 = 75;
/// The fleet boots first.
const START_S: u64 = 30;
/// After demand last changed, shares have so long to follow.
pub const SETTLE_S: u64 = 30;
/// How far a share may be from what it should be, of its parent's capacity; one task if larger.
pub const TOLERANCE: f64 = 0.05;
/// A sample is the mean of so many looks in a second.
const LOOKS: u64 = 10;
/// What a task of the replay takes to save, and workers' heartbeats are apart.
pub const STASH_S: f64 = 1.0;

/// What a replay plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nested quotas, nothing fails.
    Quiet,
    /// Nested quotas with kills, a cut, an outage and lost answers.
    Faults,
    /// Today's flat guarantees on the same load.
    Flat,
}

impl Kind {
    /// All kinds, in the order of the table.
    pub const ALL: [Kind; 3] = [Kind::Quiet, Kind::Faults, Kind::Flat];

    /// The name in tables and pages.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Quiet => "nested, quiet",
            Kind::Faults => "nested, with faults",
            Kind::Flat => "flat, quiet (baseline)",
        }
    }
}

/// One second of one node: its mean share, and what it is entitled to at the end.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Second of the replay.
    pub at_s: u64,
    /// Mean use, as a part of the parent node's capacity.
    pub share: f64,
    /// The part that the tree entitles the node to.
    pub entitled: f64,
}

/// One node of the tree over a whole replay.
#[derive(Clone, Debug)]
pub struct Level {
    /// The node's name.
    pub name: String,
    /// Distance from the root.
    pub depth: u32,
    /// One sample a second.
    pub samples: Vec<Sample>,
    /// How far its share may be off.
    pub allowed: f64,
    /// The furthest off it was, once settled.
    pub worst: f64,
    /// Settled samples whose share is off by more than the tolerance.
    pub outside: usize,
    /// Samples taken long enough after demand last changed.
    pub settled: usize,
}

/// The result of one replay.
#[derive(Clone, Debug)]
pub struct Replay {
    /// What was played.
    pub kind: Kind,
    /// The seed of its random choices.
    pub seed: u64,
    /// All nodes of the tree, the root first.
    pub levels: Vec<Level>,
    /// By phase: after how many seconds every node was within its tolerance.
    pub reclaimed: Vec<(&'static str, Option<u64>)>,
    /// Rules of the protocol that were violated.
    pub broken: Vec<String>,
    /// Run time lost to stops and failures, in seconds.
    pub lost_s: f64,
    /// GPU seconds that were used.
    pub used: f64,
    /// Changes that the state service carried out.
    pub changes: u64,
}

impl Replay {
    /// Settled samples of all nodes whose share is off by more than the tolerance.
    pub fn outside(&self) -> usize {
        self.levels.iter().map(|level| level.outside).sum()
    }

    /// Settled samples of all nodes.
    pub fn settled(&self) -> usize {
        self.levels.iter().map(|level| level.settled).sum()
    }

    /// The longest time, in seconds, that a share took to follow demand; none if one never did.
    pub fn longest(&self) -> Option<u64> {
        let all: Option<Vec<u64>> = self.reclaimed.iter().map(|(_, s)| *s).collect();
        all?.into_iter().max()
    }
}

/// The phases' starts, for plots.
pub fn phases() -> impl Iterator<Item = (u64, &'static str)> {
    (0..)
        .zip(PHASES)
        .map(|(i, (name, _))| (START_S + i * PHASE_S, name))
}

/// The last second of a replay.
pub fn end_s() -> u64 {
    START_S + PHASES.len() as u64 * PHASE_S
}

fn work(id: usize, index: usize, tasks: u32, at: u64) -> JobPlan {
    let (team, gpus, _) = TEAMS[index];
    // Tasks outlast two phases where few are wanted, so that demand changes with the phases only.
    let run_ms = if tasks < ALL {
        600_000
    } else {
        45_000 + 3_000 * index as u64
    };
    let mut plan = job(id, team, "sweep", tasks, gpus, run_ms);
    // All share one image: what is replayed is contention for room.
    plan.body["kit"] = "img".into();
    plan.body["stashS"] = STASH_S.into();
    plan.body["markS"] = 5.0.into();
    plan.at = Some(at * 1_000);
    plan
}

fn world(kind: Kind, seed: u64) -> World {
    let flat = |guarantee: f64| if kind == Kind::Flat { guarantee } else { 0.0 };
    let config = Config {
        teams: TEAMS
            .iter()
            .map(|(name, _, guarantee)| team(name, flat(*guarantee), 0.0))
            .collect(),
        capacity: 16,
        ..Config::default()
    };
    let mut world = World::new(config, seed, Vec::new());
    if kind != Kind::Flat {
        for settings in &mut world.settings {
            let mut with_tree: Settings = (**settings).clone();
            if let Err(error) = with_tree.load_quota_tree("the replay's tree", TREE) {
                panic!("{error}");
            }
            *settings = Arc::new(with_tree);
        }
    }
    world.machines.run_time_spread = 0.5;
    load(&mut world);
    if kind == Kind::Faults {
        faults(&mut world);
    }
    world
}

/// Every phase's work; what a later phase does not want is cancelled when that begins.
fn load(world: &mut World) {
    let mut next = 0;
    let mut running: [Vec<usize>; 8] = Default::default();
    for ((start, _), (phase, (_, wants))) in phases().zip(PHASES.iter().enumerate()) {
        for index in 0..TEAMS.len() {
            let before = if phase == 0 {
                0
            } else {
                PHASES[phase - 1].1[index]
            };
            if wants[index] == before {
                continue;
            }
            for job in running[index].drain(..) {
                world.abort_at(start * 1_000, job);
            }
            if wants[index] == 0 {
                continue;
            }
            // Small jobs that come together, where the phase is about them.
            let jobs = if phase == 5 { 20 } else { 1 };
            for _ in 0..jobs {
                running[index].push(world.jobs.len());
                world.submit(work(next, index, wants[index].div_ceil(jobs), start));
                next += 1;
            }
        }
    }
}

fn faults(world: &mut World) {
    let at = |phase: u64, second: u64| (START_S + phase * PHASE_S + second) * 1_000;
    world.store_faults.lost_response_share = 0.03;
    world.crash(0, at(2, 2), 5_000);
    world.crash(1, at(4, 1), 4_000);
    world.crash(2, at(4, 7), 4_000);
    world.store_faults.outages.push((at(3, 1), at(3, 9)));
    world.network.cuts.push(Cut {
        controller: 1,
        from_store: true,
        from_workers: true,
        from_peers: true,
        since: at(7, 1),
        until: at(7, 12),
        hold: true,
    });
}

/// What a team wants now, by its users' jobs and what is done of them.
fn demand(world: &World, name: &str) -> f64 {
    let submitted = |plan: &&JobPlan| plan.at.is_some_and(|at| at <= world.now);
    let jobs = world.jobs.iter().filter(submitted).map(JobPlan::id);
    let mut sum = 0.0;
    for id in jobs.filter(|id| phase(world, id) == Phase::Active) {
        let Some(job) = world.machines.jobs.get(&id) else {
            continue;
        };
        if job.spec.team != Team::from(name) {
            continue;
        }
        let task = |index| jaspertiller::types::TaskId {
            job: id.clone(),
            index,
        };
        let left = (0..job.spec.tasks).filter(|i| !world.machines.completed.contains(&task(*i)));
        sum += left.count() as f64 * job.spec.resources.gpus;
    }
    sum
}

fn phase(world: &World, id: &JobId) -> Phase {
    if world.rules.done.contains(id) {
        Phase::Done
    } else if world.rules.wanted_aborts.contains_key(id) {
        Phase::Aborted
    } else {
        Phase::Active
    }
}

/// Adds what each team holds, in GPUs, to its mean over a second.
fn look_at(world: &World, held: &mut BTreeMap<Team, f64>) {
    for task in world.machines.tasks_allocated(Millis(world.now)) {
        if let Some(job) = world.machines.jobs.get(&task.job) {
            let sum = held.entry(job.spec.team.clone()).or_default();
            *sum += job.spec.resources.gpus / LOOKS as f64;
        }
    }
}

fn tree() -> Arc<Tree> {
    let built = TreeSpec::parse("the replay's tree", TREE).and_then(|spec| spec.build("", &[]));
    match built {
        Ok((tree, _)) => Arc::new(tree),
        Err(error) => panic!("{error}"),
    }
}

/// Plays one replay in virtual time.
pub fn replay(kind: Kind, seed: u64) -> Replay {
    let tree = tree();
    let mut world = world(kind, seed);
    let mut samples: Vec<Vec<Sample>> = vec![Vec::new(); tree.nodes.len()];
    let mut used = 0.0;
    for at_s in START_S..end_s() {
        let mut held: BTreeMap<Team, f64> = BTreeMap::new();
        for look in 0..LOOKS {
            world.run_until(at_s * 1_000 + look * 1_000 / LOOKS);
            look_at(&world, &mut held);
        }
        used += held.values().sum::<f64>();
        // Without hysteresis: what is due as things stand.
        let mut shares = Entitlements::new(tree.clone());
        for (name, ..) in TEAMS {
            if let Some(leaf) = tree.leaf(name) {
                shares.set_demand(leaf, Amount::new(0.0, demand(&world, name)), 0);
            }
        }
        shares.refresh();
        for ix in tree.all() {
            samples[ix.0 as usize].push(Sample {
                at_s,
                share: share(&tree, ix, &held),
                entitled: shares.entitled(ix).gpus,
            });
        }
    }
    world.rules.finish();
    let levels: Vec<Level> = tree
        .all()
        .zip(samples)
        .map(|(ix, samples)| level(&tree, ix, samples))
        .collect();
    let reclaimed = phases()
        .map(|(start, name)| (name, settled_after(&levels, start)))
        .collect();
    Replay {
        kind,
        seed,
        levels,
        reclaimed,
        broken: world.rules.violations.iter().cloned().collect(),
        lost_s: world.machines.lost_run_time.secs(),
        used,
        changes: world.store.written,
    }
}

fn leaves(tree: &Tree, ix: NodeIndex) -> impl Iterator<Item = (&'static str, f64)> {
    TEAMS.into_iter().filter_map(move |(name, gpus, _)| {
        let leaf = tree.leaf(name)?;
        tree.path(leaf).any(|at| at == ix).then_some((name, gpus))
    })
}

fn share(tree: &Tree, ix: NodeIndex, held: &BTreeMap<Team, f64>) -> f64 {
    let its = leaves(tree, ix).filter_map(|(name, _)| held.get(&Team::from(name)));
    its.sum()
}

fn level(tree: &Tree, ix: NodeIndex, samples: Vec<Sample>) -> Level {
    let node = tree.node(ix);
    let parent = node.parent.map_or(node, |parent| tree.node(parent));
    let task = leaves(tree, ix).map(|(_, gpus)| gpus).fold(0.0, f64::max);
    let allowed = (parent.guarantee.gpus * TOLERANCE).max(task);
    let settled = samples.iter().filter(|s| {
        let begun = phases()
            .map(|(start, _)| start)
            .filter(|start| *start <= s.at_s);
        begun.max().is_some_and(|start| s.at_s >= start + SETTLE_S)
    });
    let off: Vec<f64> = settled.map(|s| (s.share - s.entitled).abs()).collect();
    Level {
        name: node.name.clone(),
        depth: node.depth,
        allowed,
        worst: off.iter().copied().fold(0.0, f64::max),
        outside: off.iter().filter(|off| **off > allowed + 1e-6).count(),
        settled: off.len(),
        samples,
    }
}

/// Seconds from a phase's start until every node was within its tolerance for three samples.
fn settled_after(levels: &[Level], start: u64) -> Option<u64> {
    let near = |at: u64| {
        levels.iter().all(|level| {
            let sample = level.samples.iter().find(|s| s.at_s == at);
            sample.is_none_or(|s| (s.share - s.entitled).abs() <= level.allowed + 1e-6)
        })
    };
    (0..PHASE_S - 3).find(|after| (0..3).all(|more| near(start + after + more)))
}

#[cfg(test)]
mod tests;
