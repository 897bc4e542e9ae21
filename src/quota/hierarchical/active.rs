//! The active quota tree: its limits and groups by team, and the nodes' entitlements.

use std::sync::Arc;

use hierarchical_quota::{
    Entitlements, NodeIndex, NodeSpec, Tree, TreeError, TreeProblem, TreeSpec,
};
use rustc_hash::FxHashMap as HashMap;

use super::pages::{Head, hash_nodes};
use super::{TREE_HEAD_KEY, flat_limits, group_name, platform_teams};
use crate::jobs::cache::TeamGroups;
use crate::settings::TeamSettings;
use crate::types::{Millis, Resources, Team};

/// The active tree with the limits that it implies and the nodes' current entitlements.
pub struct ActiveTree {
    /// The nodes' entitlements, computed from the teams' demands.
    pub entitlements: Entitlements,
    /// By team: the limits that apply to it, its own first.
    limits: HashMap<Team, Vec<TeamSettings>>,
    /// By team: the group names of the nodes above its leaf.
    groups: TeamGroups,
    /// By node: the name under which its usage is counted.
    usage_names: Vec<Team>,
}

impl ActiveTree {
    /// Loads a tree from its records. `None`: the tree is disabled, and quotas are flat.
    ///
    /// # Errors
    ///
    /// If the pages are not valid JSON, do not match the hash in the head, or are not a valid tree
    /// for these teams.
    pub(super) fn load(
        head: &Head,
        pages: &[&str],
        teams: &[TeamSettings],
    ) -> Result<Option<Self>, TreeError> {
        if !head.enabled {
            return Ok(None);
        }
        let tree_error = |reason: TreeProblem| TreeError {
            file: TREE_HEAD_KEY.into(),
            field: format!("revision {}", head.revision),
            reason,
        };
        let mut nodes: Vec<NodeSpec> = Vec::new();
        for text in pages {
            let page: Vec<NodeSpec> = serde_json::from_str(text)
                .map_err(|error| tree_error(TreeProblem::Syntax(error.to_string())))?;
            nodes.extend(page);
        }
        if hash_nodes(&nodes) != head.hash {
            return Err(tree_error(TreeProblem::HashMismatch));
        }
        let spec = TreeSpec {
            revision: head.revision,
            hold_s: head.hold_ms as f64 / 1e3,
            enabled: true,
            nodes,
        };
        let tree = spec.build_resolving_conflicts(TREE_HEAD_KEY, &platform_teams(teams))?;
        Ok(Some(Self::new(Arc::new(tree), teams)))
    }

    fn new(tree: Arc<Tree>, teams: &[TeamSettings]) -> Self {
        let usage_names = usage_names(&tree);
        let mut limits: HashMap<Team, Vec<TeamSettings>> = HashMap::default();
        let mut groups = TeamGroups::default();
        for team in teams {
            let Some(leaf) = tree.leaf(team.name.as_str()) else {
                limits.insert(team.name.clone(), flat_limits(team));
                continue;
            };
            limits.insert(team.name.clone(), path_limits(&tree, leaf, &usage_names));
            let above = tree.path(leaf).skip(1);
            let above = above.map(|ix| usage_names[ix.0 as usize].clone()).collect();
            groups.insert(team.name.clone(), above);
        }
        Self {
            entitlements: Entitlements::new(tree),
            limits,
            groups,
            usage_names,
        }
    }

    /// The limits that apply to each team, its own first.
    pub(super) fn limits(&self) -> &HashMap<Team, Vec<TeamSettings>> {
        &self.limits
    }

    /// The groups that each team's usage is counted in.
    pub(super) fn groups(&self) -> &TeamGroups {
        &self.groups
    }

    /// The leaf that represents a team; `None` if the team is not in the tree.
    pub fn leaf(&self, team: &Team) -> Option<NodeIndex> {
        self.entitlements.tree().leaf(team.as_str())
    }

    /// The name under which a node's usage is counted: the team of a leaf, or the group name of
    /// another node.
    pub fn usage_name(&self, ix: NodeIndex) -> &Team {
        &self.usage_names[ix.0 as usize]
    }

    /// Whether a team's leaf is the node or below it, so that the team's usage counts there.
    pub fn is_below(&self, team: &Team, ix: NodeIndex) -> bool {
        let leaf = self.leaf(team);
        leaf.is_some_and(|leaf| self.entitlements.tree().path(leaf).any(|at| at == ix))
    }

    /// Updates the teams' demands and recomputes the entitlements. Returns the teams that
    /// are entitled to more than before. Teams that `demands` lacks have no demand.
    pub(super) fn refresh(
        &mut self,
        now: Millis,
        demands: &HashMap<&Team, Resources>,
    ) -> Vec<Team> {
        let tree = self.entitlements.tree().clone();
        for ix in tree
            .node_indices()
            .filter(|ix| tree.node(*ix).team.is_some())
        {
            let demand = demands
                .get(self.usage_name(ix))
                .copied()
                .unwrap_or_default();
            self.entitlements.set_demand(ix, demand.into(), now.0);
        }
        let raised = self.entitlements.refresh();
        raised
            .into_iter()
            .map(|ix| self.usage_name(ix).clone())
            .collect()
    }
}

/// The names under which the nodes' usage is counted, by node index: the team of a leaf, or the
/// group name of another node.
fn usage_names(tree: &Tree) -> Vec<Team> {
    tree.node_indices()
        .map(|ix| match &tree.node(ix).team {
            Some(team) => team.as_str().into(),
            None => group_name(&tree.node(ix).name),
        })
        .collect()
}

/// The limits of a leaf and of the nodes above it, the leaf's first. Nodes without a limit are
/// omitted.
fn path_limits(tree: &Tree, leaf: NodeIndex, usage_names: &[Team]) -> Vec<TeamSettings> {
    let settings = tree.path(leaf).map(|ix| {
        let node = tree.node(ix);
        TeamSettings {
            name: usage_names[ix.0 as usize].clone(),
            cpus: node.guarantee.cpus,
            cpus_max: node.limit.cpus,
            gpus: node.guarantee.gpus,
            gpus_max: node.limit.gpus,
        }
    });
    settings.filter(TeamSettings::has_limit).collect()
}
