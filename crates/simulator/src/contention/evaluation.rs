//! Evaluation of the samples: how far each node's share was from its entitlement, and how long shares took to
//! follow demand.

use std::collections::BTreeMap;

use hierarchical_quota::{NodeIndex, Tree};
use jaspertiller::types::Team;

use super::Kind;
use super::demand::{PHASE_S, TEAMS, TeamDemand, phases};

/// Seconds after the last change of demand until shares must have followed it.
pub const SETTLE_S: u64 = 30;
/// Allowed deviation of a node's share from its entitlement, as a fraction of its parent's guarantee. The allowed
/// deviation is at least the size of one task.
pub const TOLERANCE: f64 = 0.05;
/// Slack in GPUs for rounding errors when amounts are compared.
const ROUNDING: f64 = 1e-6;
/// Number of successive samples that must be within the tolerance before shares count as having followed demand.
const STEADY_SAMPLES: u64 = 3;

/// Mean use and entitlement of one node in one second.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Second of the simulation.
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

/// Samples and deviations of one node of the quota tree over a whole simulation.
#[derive(Clone, Debug)]
pub struct NodeResult {
    /// The node's name.
    pub name: String,
    /// Distance from the root, which has 0.
    pub depth: u32,
    /// One sample a second.
    pub samples: Vec<Sample>,
    /// Allowed deviation of the share from the entitlement, in GPUs.
    pub allowed_deviation: f64,
    /// Largest deviation among the settled samples, in GPUs.
    pub max_deviation: f64,
    /// Number of settled samples whose deviation exceeds `allowed_deviation`.
    pub outside: usize,
    /// Number of settled samples: those taken at least [`SETTLE_S`] seconds after demand last changed.
    pub settled: usize,
}

/// Measurements of one simulation.
#[derive(Clone, Debug)]
pub struct ContentionResult {
    /// The simulated variant.
    pub kind: Kind,
    /// The seed of its random choices.
    pub seed: u64,
    /// All nodes of the quota tree, the root first.
    pub nodes: Vec<NodeResult>,
    /// For each phase its name, and the seconds from its start until every node was within its tolerance; none if that
    /// did not happen in the phase.
    pub reclaim_times_s: Vec<(&'static str, Option<u64>)>,
    /// Violations of the protocol's rules, each with the rule's name.
    pub violations: Vec<String>,
    /// Run time lost to stops and failures, in seconds.
    pub lost_run_time_s: f64,
    /// GPU seconds that were used.
    pub used_gpu_s: f64,
    /// Changes that the state service committed.
    pub committed_changes: u64,
}

impl ContentionResult {
    /// Number of settled samples of all nodes whose deviation exceeds the allowed one.
    #[must_use]
    pub fn outside(&self) -> usize {
        self.nodes.iter().map(|node| node.outside).sum()
    }

    /// Number of settled samples of all nodes.
    #[must_use]
    pub fn settled(&self) -> usize {
        self.nodes.iter().map(|node| node.settled).sum()
    }

    /// The longest reclaim time of all phases, in seconds; none if a phase has no reclaim time.
    #[must_use]
    pub fn longest_reclaim_s(&self) -> Option<u64> {
        let times: Option<Vec<u64>> = self
            .reclaim_times_s
            .iter()
            .map(|(_, time_s)| *time_s)
            .collect();
        times?.into_iter().max()
    }
}

/// Evaluates all nodes of the quota tree. `samples` has one entry for each node, in the order of [`Tree::node_indices`].
pub(super) fn evaluate_nodes(tree: &Tree, samples: Vec<Vec<Sample>>) -> Vec<NodeResult> {
    tree.node_indices()
        .zip(samples)
        .map(|(index, samples)| evaluate_node(tree, index, samples))
        .collect()
}

/// For each phase its name, and the seconds from its start until every node was within its tolerance.
pub(super) fn reclaim_times(nodes: &[NodeResult]) -> Vec<(&'static str, Option<u64>)> {
    phases()
        .map(|(start_s, name)| (name, seconds_until_steady(nodes, start_s)))
        .collect()
}

/// GPUs that a node uses: the sum over the teams of its subtree.
pub(super) fn node_use(tree: &Tree, index: NodeIndex, team_use: &BTreeMap<Team, f64>) -> f64 {
    subtree_teams(tree, index)
        .filter_map(|team| team_use.get(&Team::from(team.name)))
        .sum()
}

/// The teams whose leaves are in the subtree of a node.
fn subtree_teams(tree: &Tree, index: NodeIndex) -> impl Iterator<Item = &'static TeamDemand> {
    TEAMS.iter().filter(move |team| {
        tree.leaf(team.name)
            .is_some_and(|leaf| tree.path(leaf).any(|node| node == index))
    })
}

fn evaluate_node(tree: &Tree, index: NodeIndex, samples: Vec<Sample>) -> NodeResult {
    let node = tree.node(index);
    let parent = node.parent.map_or(node, |parent| tree.node(parent));
    let largest_task = subtree_teams(tree, index)
        .map(|team| team.gpus_per_task)
        .fold(0.0, f64::max);
    let allowed_deviation = (parent.guarantee.gpus * TOLERANCE).max(largest_task);
    let deviations: Vec<f64> = samples
        .iter()
        .filter(|sample| is_settled(sample))
        .map(Sample::deviation)
        .collect();
    NodeResult {
        name: node.name.clone(),
        depth: node.depth,
        allowed_deviation,
        max_deviation: deviations.iter().copied().fold(0.0, f64::max),
        outside: deviations
            .iter()
            .filter(|deviation| **deviation > allowed_deviation + ROUNDING)
            .count(),
        settled: deviations.len(),
        samples,
    }
}

/// Whether a sample was taken at least [`SETTLE_S`] seconds after demand last changed.
fn is_settled(sample: &Sample) -> bool {
    let last_change_s = phases()
        .map(|(start_s, _)| start_s)
        .filter(|start_s| *start_s <= sample.at_s)
        .max();
    last_change_s.is_some_and(|start_s| sample.at_s >= start_s + SETTLE_S)
}

/// Seconds from a phase's start until every node was within its tolerance for [`STEADY_SAMPLES`] samples.
fn seconds_until_steady(nodes: &[NodeResult], start_s: u64) -> Option<u64> {
    (0..PHASE_S - STEADY_SAMPLES).find(|after_s| {
        (0..STEADY_SAMPLES)
            .all(|steady_s| all_within_tolerance(nodes, start_s + after_s + steady_s))
    })
}

fn all_within_tolerance(nodes: &[NodeResult], at_s: u64) -> bool {
    nodes.iter().all(|node| {
        let sample = node.samples.iter().find(|sample| sample.at_s == at_s);
        sample.is_none_or(|sample| sample.deviation() <= node.allowed_deviation + ROUNDING)
    })
}
