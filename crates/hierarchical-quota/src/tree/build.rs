//! Builds a validated [`Tree`] from an operator's [`TreeSpec`] and the platform's teams.

use std::collections::{BTreeMap, HashMap};

use super::{
    Node, NodeIndex, NodeSpec, PlatformTeam, Tree, TreeError, TreeNote, TreeProblem, TreeSpec,
};
use crate::amount::{Amount, TOLERANCE};

/// Maximum number of levels below a root. A deeper tree is rejected as a mistake.
const MAX_DEPTH: usize = 16;

impl TreeSpec {
    /// Builds the tree, and validates it in itself and against the platform's teams. The file's
    /// name is for errors only.
    ///
    /// # Errors
    ///
    /// If a parent does not exist, the nodes form a cycle or are too deep, a team has two leaves, a
    /// leaf has no team, or guarantees and limits contradict each other or those of the platform.
    pub fn build(
        &self,
        file: &str,
        platform: &[PlatformTeam],
    ) -> Result<(Tree, Vec<TreeNote>), TreeError> {
        self.builder(file, ConflictPolicy::Reject).build(platform)
    }

    /// Builds a tree that was validated when it was written, against a platform whose settings may
    /// have changed since. Where the two contradict each other, the platform's guarantees and
    /// limits apply.
    ///
    /// # Errors
    ///
    /// As [`TreeSpec::build`], but not for contradictions.
    pub fn build_resolving_conflicts(
        &self,
        file: &str,
        platform: &[PlatformTeam],
    ) -> Result<Tree, TreeError> {
        let builder = self.builder(file, ConflictPolicy::Resolve);
        builder.build(platform).map(|(tree, _)| tree)
    }

    fn builder<'a>(&'a self, file: &'a str, conflicts: ConflictPolicy) -> Builder<'a> {
        Builder {
            file,
            spec: self,
            conflicts,
        }
    }
}

/// What to do if guarantees and limits contradict each other.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConflictPolicy {
    /// Refuse the tree.
    Reject,
    /// Apply the platform's values, and raise the guarantees of ancestors as needed.
    Resolve,
}

/// The inputs of building one tree.
struct Builder<'a> {
    file: &'a str,
    spec: &'a TreeSpec,
    conflicts: ConflictPolicy,
}

/// A node of the spec and its depth in the tree.
#[derive(Clone, Copy)]
struct PlacedSpec {
    index: usize,
    depth: u32,
}

impl Builder<'_> {
    fn node_error(&self, node: &str, key: &str, reason: TreeProblem) -> TreeError {
        TreeError {
            file: self.file.into(),
            field: format!("[node {node}] {key}"),
            reason,
        }
    }

    fn build(&self, platform: &[PlatformTeam]) -> Result<(Tree, Vec<TreeNote>), TreeError> {
        let teams: BTreeMap<&str, &PlatformTeam> = platform
            .iter()
            .map(|platform_team| (platform_team.team.as_str(), platform_team))
            .collect();
        let mut tree = Tree {
            revision: self.spec.revision,
            hold_ms: (self.spec.hold_s * 1e3) as u64,
            ..Tree::default()
        };
        let mut notes = Vec::new();
        let mut indices: HashMap<&str, NodeIndex> = HashMap::new();
        let order = self.parents_first()?;
        for placed in &order {
            let spec = &self.spec.nodes[placed.index];
            let parent = spec.parent.as_ref().map(|name| indices[name.as_str()]);
            let ix = self.add_node(&mut tree, &teams, spec, parent, placed.depth)?;
            if let Some(team) = spec
                .team
                .as_ref()
                .filter(|team| !teams.contains_key(team.as_str()))
            {
                notes.push(TreeNote::LeafWithoutTeam(spec.name.clone(), team.clone()));
            }
            indices.insert(&spec.name, ix);
        }
        // In reverse order children precede their parents, so the guarantees of children are final.
        for index in (0..tree.nodes.len()).rev() {
            self.check_node(&mut tree, index)?;
        }
        let not_in_tree = platform
            .iter()
            .filter(|platform_team| !tree.leaves.contains_key(&platform_team.team));
        notes.extend(
            not_in_tree.map(|platform_team| TreeNote::TeamNotInTree(platform_team.team.clone())),
        );
        Ok((tree, notes))
    }

    /// The nodes with their depths, parents before children, and in the order of the file within a
    /// depth.
    fn parents_first(&self) -> Result<Vec<PlacedSpec>, TreeError> {
        let nodes = &self.spec.nodes;
        let by_name: HashMap<&str, usize> = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.name.as_str(), index))
            .collect();
        let mut order = Vec::with_capacity(nodes.len());
        for index in 0..nodes.len() {
            let depth = self.depth_of(index, &by_name)?;
            order.push(PlacedSpec { index, depth });
        }
        order.sort_by_key(|placed| (placed.depth, placed.index));
        Ok(order)
    }

    /// The number of ancestors of a node.
    fn depth_of(&self, index: usize, by_name: &HashMap<&str, usize>) -> Result<u32, TreeError> {
        let nodes = &self.spec.nodes;
        let node = &nodes[index];
        let (mut depth, mut at, mut visited) = (0, node, vec![index]);
        while let Some(parent) = &at.parent {
            let Some(next) = by_name.get(parent.as_str()) else {
                let reason = TreeProblem::UnknownParent(parent.clone());
                return Err(self.node_error(&at.name, "parent", reason));
            };
            depth += 1;
            at = &nodes[*next];
            if visited.contains(next) {
                return Err(self.node_error(&at.name, "parent", TreeProblem::Cycle));
            }
            visited.push(*next);
            if depth as usize > MAX_DEPTH {
                let reason = TreeProblem::TooDeep(MAX_DEPTH);
                return Err(self.node_error(&node.name, "parent", reason));
            }
        }
        Ok(depth)
    }

    /// Adds a node, whose parent is in the tree already.
    fn add_node(
        &self,
        tree: &mut Tree,
        teams: &BTreeMap<&str, &PlatformTeam>,
        spec: &NodeSpec,
        parent: Option<NodeIndex>,
        depth: u32,
    ) -> Result<NodeIndex, TreeError> {
        let ix = NodeIndex(tree.nodes.len() as u32);
        if let Some(parent) = parent {
            let parent_node = &mut tree.nodes[parent.index()];
            if parent_node.team.is_some() {
                let reason = TreeProblem::ParentIsLeaf(parent_node.name.clone());
                return Err(self.node_error(&spec.name, "parent", reason));
            }
            parent_node.children.push(ix);
        }
        let (mut guarantee, mut limit) = (spec.guarantee, spec.limit);
        if let Some(team) = &spec.team {
            if tree.leaves.insert(team.clone(), ix).is_some() {
                let reason = TreeProblem::DuplicateTeam(team.clone());
                return Err(self.node_error(&spec.name, "team", reason));
            }
            if let Some(platform_team) = teams.get(team.as_str()) {
                guarantee = self.leaf_guarantee(spec, platform_team)?;
                limit = limit.tighter(platform_team.limit);
            }
        }
        tree.nodes.push(Node {
            name: spec.name.clone(),
            parent,
            children: Vec::new(),
            team: spec.team.clone(),
            guarantee,
            limit,
            own_limit: spec.limit,
            weight: spec.weight,
            depth,
        });
        Ok(ix)
    }

    /// The guarantee of a leaf: the platform's, unless the file states more.
    fn leaf_guarantee(
        &self,
        spec: &NodeSpec,
        platform_team: &PlatformTeam,
    ) -> Result<Amount, TreeError> {
        let (stated, platform, limit) =
            (spec.guarantee, platform_team.guarantee, platform_team.limit);
        let guarantee = |key: &str, stated: f64, platform: f64, limit: f64| {
            self.leaf_guarantee_of(stated, platform, limit)
                .map_err(|reason| self.node_error(&spec.name, key, reason))
        };
        Ok(Amount {
            cpus: guarantee("cpus", stated.cpus, platform.cpus, limit.cpus)?,
            gpus: guarantee("gpus", stated.gpus, platform.gpus, limit.gpus)?,
        })
    }

    /// A leaf's guarantee for one kind of resource, of which the file states `stated`, and the
    /// platform guarantees `platform` and allows `limit` at most; 0 means none.
    fn leaf_guarantee_of(
        &self,
        stated: f64,
        platform: f64,
        limit: f64,
    ) -> Result<f64, TreeProblem> {
        if self.conflicts == ConflictPolicy::Resolve {
            let larger = stated.max(platform);
            return Ok(if limit > 0.0 {
                larger.min(limit)
            } else {
                larger
            });
        }
        if stated > 0.0 && stated + TOLERANCE < platform {
            return Err(TreeProblem::BelowPlatformGuarantee(platform));
        }
        if limit > 0.0 && stated > limit + TOLERANCE {
            return Err(TreeProblem::AbovePlatformLimit(limit));
        }
        Ok(if stated > 0.0 { stated } else { platform })
    }

    /// Checks a node against its children. A node without a guarantee gets the sum of theirs.
    fn check_node(&self, tree: &mut Tree, index: usize) -> Result<(), TreeError> {
        let node = &tree.nodes[index];
        if node.children.is_empty() && node.team.is_none() {
            return Err(self.node_error(&node.name, "team", TreeProblem::LeafWithoutTeam));
        }
        let guarantee = self.node_guarantee(tree, node)?;
        for child in &node.children {
            self.check_child_limit(node, tree.node(*child))?;
        }
        tree.nodes[index].guarantee = guarantee;
        Ok(())
    }

    fn node_guarantee(&self, tree: &Tree, node: &Node) -> Result<Amount, TreeError> {
        let children = node
            .children
            .iter()
            .map(|child| tree.node(*child).guarantee);
        let children = children.fold(Amount::ZERO, Amount::plus);
        let (own, limit) = (node.guarantee, node.limit);
        Ok(Amount {
            cpus: self.node_guarantee_of(node, "cpus", own.cpus, children.cpus, limit.cpus)?,
            gpus: self.node_guarantee_of(node, "gpus", own.gpus, children.gpus, limit.gpus)?,
        })
    }

    /// The guarantee of a node for one kind of resource: its own, or the sum of its children's if it
    /// states none.
    fn node_guarantee_of(
        &self,
        node: &Node,
        key: &str,
        own: f64,
        children: f64,
        limit: f64,
    ) -> Result<f64, TreeError> {
        let guarantee = if own == 0.0 { children } else { own };
        if self.conflicts == ConflictPolicy::Resolve {
            return Ok(guarantee.max(children));
        }
        if children > guarantee + TOLERANCE {
            let reason = TreeProblem::ChildrenExceedGuarantee {
                guarantee,
                children,
            };
            return Err(self.node_error(&node.name, key, reason));
        }
        if limit > 0.0 && guarantee > limit + TOLERANCE {
            let reason = TreeProblem::LimitBelowGuarantee { limit, guarantee };
            return Err(self.node_error(&node.name, &format!("{key}_max"), reason));
        }
        Ok(guarantee)
    }

    fn check_child_limit(&self, node: &Node, child: &Node) -> Result<(), TreeError> {
        let limits = [
            ("cpus_max", child.own_limit.cpus, node.limit.cpus),
            ("gpus_max", child.own_limit.gpus, node.limit.gpus),
        ];
        for (key, limit, parent_limit) in limits {
            if parent_limit > 0.0 && limit > parent_limit + TOLERANCE {
                let reason = TreeProblem::AboveParentLimit {
                    limit,
                    parent_limit,
                    parent: node.name.clone(),
                };
                return Err(self.node_error(&child.name, key, reason));
            }
        }
        Ok(())
    }
}
