//! Evaluation of a replay's samples: how far each node's share was from its entitlement, and how long shares took to
//! follow demand.

use std::collections::BTreeMap;

use hierarchical_quota::{NodeIndex, Tree};
use jaspertiller::types::Team;

use super::Kind;
use super::demand::{PHASE_S, ReplayTeam, TEAMS, phases};

/// Seconds after the last change of demand until shares must have followed it.
pub const SETTLE_S: u64 = 30;
/// How far a share may be from its entitlement, as a part of its parent's capacity; one task if that is larger.
pub const TOLERANCE: f64 = 0.05;
/// Slack, in GPUs, for rounding when amounts are compared.
const ROUNDING: f64 = 1e-6;
/// Successive samples that must be within the tolerance for a share to have followed demand.
const STEADY_SAMPLES: u64 = 3;

/// One second of one node: its mean use, and its entitlement.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Second of the replay.
    pub at_s: u64,
    /// Mean use, in GPUs.
    pub share: f64,
    /// GPUs that the tree entitles the node to, by the demand at the end of the second.
    pub entitled: f64,
}

impl Sample {
    /// How far the share is from the entitlement, in GPUs.
    fn deviation(&self) -> f64 {
        (self.share - self.entitled).abs()
    }
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
    /// How far its share may be from its entitlement, in GPUs.
    pub allowed: f64,
    /// The largest deviation of its settled samples, in GPUs.
    pub worst: f64,
    /// Settled samples whose deviation is more than allowed.
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
    /// Settled samples of all nodes whose deviation is more than allowed.
    #[must_use]
    pub fn outside(&self) -> usize {
        self.levels.iter().map(|level| level.outside).sum()
    }

    /// Settled samples of all nodes.
    #[must_use]
    pub fn settled(&self) -> usize {
        self.levels.iter().map(|level| level.settled).sum()
    }

    /// The longest time, in seconds, that a share took to follow demand; none if one never did.
    #[must_use]
    pub fn longest(&self) -> Option<u64> {
        let times: Option<Vec<u64>> = self.reclaimed.iter().map(|(_, time_s)| *time_s).collect();
        times?.into_iter().max()
    }
}

/// The levels of all nodes of the tree, from each node's samples in the order of the nodes.
pub(super) fn evaluate_levels(tree: &Tree, samples: Vec<Vec<Sample>>) -> Vec<Level> {
    tree.node_indices()
        .zip(samples)
        .map(|(index, samples)| level(tree, index, samples))
        .collect()
}

/// For each phase its name, and after how many seconds every node was within its tolerance.
pub(super) fn reclaim_times(levels: &[Level]) -> Vec<(&'static str, Option<u64>)> {
    phases()
        .map(|(start_s, name)| (name, settled_after(levels, start_s)))
        .collect()
}

/// GPUs that a node uses: the sum over the teams below it.
pub(super) fn node_use(tree: &Tree, index: NodeIndex, team_use: &BTreeMap<Team, f64>) -> f64 {
    teams_below(tree, index)
        .filter_map(|team| team_use.get(&Team::from(team.name)))
        .sum()
}

/// The teams whose leaves are a node or below it.
fn teams_below(tree: &Tree, index: NodeIndex) -> impl Iterator<Item = &'static ReplayTeam> {
    TEAMS.iter().filter(move |team| {
        tree.leaf(team.name)
            .is_some_and(|leaf| tree.path(leaf).any(|node| node == index))
    })
}

fn level(tree: &Tree, index: NodeIndex, samples: Vec<Sample>) -> Level {
    let node = tree.node(index);
    let parent = node.parent.map_or(node, |parent| tree.node(parent));
    let largest_task = teams_below(tree, index)
        .map(|team| team.gpus_per_task)
        .fold(0.0, f64::max);
    let allowed = (parent.guarantee.gpus * TOLERANCE).max(largest_task);
    let deviations: Vec<f64> = samples
        .iter()
        .filter(|sample| is_settled(sample))
        .map(Sample::deviation)
        .collect();
    Level {
        name: node.name.clone(),
        depth: node.depth,
        allowed,
        worst: deviations.iter().copied().fold(0.0, f64::max),
        outside: deviations
            .iter()
            .filter(|deviation| **deviation > allowed + ROUNDING)
            .count(),
        settled: deviations.len(),
        samples,
    }
}

/// Whether demand last changed long enough before a sample.
fn is_settled(sample: &Sample) -> bool {
    let last_change_s = phases()
        .map(|(start_s, _)| start_s)
        .filter(|start_s| *start_s <= sample.at_s)
        .max();
    last_change_s.is_some_and(|start_s| sample.at_s >= start_s + SETTLE_S)
}

/// Seconds from a phase's start until every node was within its tolerance for [`STEADY_SAMPLES`] samples.
fn settled_after(levels: &[Level], start_s: u64) -> Option<u64> {
    (0..PHASE_S - STEADY_SAMPLES).find(|after_s| {
        (0..STEADY_SAMPLES).all(|more_s| all_within_tolerance(levels, start_s + after_s + more_s))
    })
}

fn all_within_tolerance(levels: &[Level], at_s: u64) -> bool {
    levels.iter().all(|level| {
        let sample = level.samples.iter().find(|sample| sample.at_s == at_s);
        sample.is_none_or(|sample| sample.deviation() <= level.allowed + ROUNDING)
    })
}
