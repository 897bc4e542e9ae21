//! Building a checked [`Tree`] from what an operator wrote and the platform's teams.

use std::collections::{BTreeMap, HashMap};

use super::{
    Node, NodeIndex, NodeSpec, PlatformTeam, Tree, TreeError, TreeNote, TreeProblem, TreeSpec,
};
use crate::amount::{Amount, TOLERANCE};

/// The most levels below a root. A deeper tree is a mistake.
const MAX_DEPTH: usize = 16;

impl TreeSpec {
    /// Builds the tree and checks it against itself and the platform's teams. The file's name is
    /// for errors only.
    ///
    /// # Errors
    ///
    /// If a parent does not exist, the nodes form a cycle or are too deep, a team has two leaves, a
    /// leaf has no team, or guarantees and limits contradict each other or the platform's.
    pub fn build(
        &self,
        file: &str,
        platform: &[PlatformTeam],
    ) -> Result<(Tree, Vec<TreeNote>), TreeError> {
        self.builder(file, Contradictions::Reject).build(platform)
    }

    /// Builds a tree that was checked when it was written, against a platform that may have changed
    /// since: where the two contradict each other, the platform's guarantees and limits apply.
    ///
    /// # Errors
    ///
    /// As [`TreeSpec::build`], but not for contradictions.
    pub fn build_resolving_conflicts(
        &self,
        file: &str,
        platform: &[PlatformTeam],
    ) -> Result<Tree, TreeError> {
        let builder = self.builder(file, Contradictions::Resolve);
        builder.build(platform).map(|(tree, _)| tree)
    }

    fn builder<'a>(&'a self, file: &'a str, contradictions: Contradictions) -> Builder<'a> {
        Builder {
            file,
            spec: self,
            contradictions,
        }
    }
}

/// What to do if guarantees and limits contradict each other.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Contradictions {
    /// Refuse the tree.
    Reject,
    /// Let the platform's values apply, and raise the guarantees above them as needed.
    Resolve,
}

/// Builds one tree.
struct Builder<'a> {
    file: &'a str,
    spec: &'a TreeSpec,
    contradictions: Contradictions,
}

/// A node of the spec and its depth in the tree.
#[derive(Clone, Copy)]
struct PlacedSpec {
    index: usize,
    depth: u32,
}

impl Builder<'_> {
    fn problem(&self, node: &str, key: &str, reason: TreeProblem) -> TreeError {
        TreeError {
            file: self.file.into(),
            field: format!("[node {node}] {key}"),
            reason,
        }
    }

    fn build(&self, platform: &[PlatformTeam]) -> Result<(Tree, Vec<TreeNote>), TreeError> {
        let teams: BTreeMap<&str, &PlatformTeam> = platform
            .iter()
            .map(|outer| (outer.team.as_str(), outer))
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
        // Children come before their parents, so their guarantees are known.
        for index in (0..tree.nodes.len()).rev() {
            self.check_node(&mut tree, index)?;
        }
        let outside = platform
            .iter()
            .filter(|outer| !tree.leaves.contains_key(&outer.team));
        notes.extend(outside.map(|outer| TreeNote::TeamOutside(outer.team.clone())));
        Ok((tree, notes))
    }

    /// The nodes with their depths, parents before children, in the order of the file among equals.
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

    /// The number of nodes above a node.
    fn depth_of(&self, index: usize, by_name: &HashMap<&str, usize>) -> Result<u32, TreeError> {
        let nodes = &self.spec.nodes;
        let node = &nodes[index];
        let (mut depth, mut at, mut above) = (0, node, vec![index]);
        while let Some(parent) = &at.parent {
            let Some(next) = by_name.get(parent.as_str()) else {
                let reason = TreeProblem::UnknownParent(parent.clone());
                return Err(self.problem(&at.name, "parent", reason));
            };
            depth += 1;
            at = &nodes[*next];
            if above.contains(next) {
                return Err(self.problem(&at.name, "parent", TreeProblem::Cycle));
            }
            above.push(*next);
            if depth as usize > MAX_DEPTH {
                let reason = TreeProblem::TooDeep(MAX_DEPTH);
                return Err(self.problem(&node.name, "parent", reason));
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
            let above = &mut tree.nodes[parent.index()];
            if above.team.is_some() {
                let reason = TreeProblem::ParentIsLeaf(above.name.clone());
                return Err(self.problem(&spec.name, "parent", reason));
            }
            above.children.push(ix);
        }
        let (mut guarantee, mut limit) = (spec.guarantee, spec.limit);
        if let Some(team) = &spec.team {
            if tree.leaves.insert(team.clone(), ix).is_some() {
                let reason = TreeProblem::DuplicateTeam(team.clone());
                return Err(self.problem(&spec.name, "team", reason));
            }
            if let Some(outer) = teams.get(team.as_str()) {
                guarantee = self.leaf_guarantee(spec, outer)?;
                limit = limit.tighter(outer.limit);
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

    /// A leaf's guarantee is the platform's unless the file states more.
    fn leaf_guarantee(&self, spec: &NodeSpec, outer: &PlatformTeam) -> Result<Amount, TreeError> {
        let (stated, platform, limit) = (spec.guarantee, outer.guarantee, outer.limit);
        let guarantee = |key: &str, stated: f64, platform: f64, limit: f64| {
            self.leaf_guarantee_of(stated, platform, limit)
                .map_err(|reason| self.problem(&spec.name, key, reason))
        };
        Ok(Amount {
            cpus: guarantee("cpus", stated.cpus, platform.cpus, limit.cpus)?,
            gpus: guarantee("gpus", stated.gpus, platform.gpus, limit.gpus)?,
        })
    }

    /// The same for one kind of resource, of which the file states `stated`, the platform
    /// guarantees `platform`, and allows `limit` at most; 0 means none.
    fn leaf_guarantee_of(
        &self,
        stated: f64,
        platform: f64,
        limit: f64,
    ) -> Result<f64, TreeProblem> {
        if self.contradictions == Contradictions::Resolve {
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

    /// Checks a node against its children, and raises its guarantee to theirs if it has none.
    fn check_node(&self, tree: &mut Tree, index: usize) -> Result<(), TreeError> {
        let node = &tree.nodes[index];
        if node.children.is_empty() && node.team.is_none() {
            return Err(self.problem(&node.name, "team", TreeProblem::LeafWithoutTeam));
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

    /// The guarantee of a node for one kind of resource: its own, or that of its children.
    fn node_guarantee_of(
        &self,
        node: &Node,
        key: &str,
        own: f64,
        children: f64,
        limit: f64,
    ) -> Result<f64, TreeError> {
        let guarantee = if own == 0.0 { children } else { own };
        if self.contradictions == Contradictions::Resolve {
            return Ok(guarantee.max(children));
        }
        if children > guarantee + TOLERANCE {
            let reason = TreeProblem::ChildrenExceedGuarantee {
                guarantee,
                children,
            };
            return Err(self.problem(&node.name, key, reason));
        }
        if limit > 0.0 && guarantee > limit + TOLERANCE {
            let reason = TreeProblem::LimitBelowGuarantee { limit, guarantee };
            return Err(self.problem(&node.name, &format!("{key}_max"), reason));
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
                return Err(self.problem(&child.name, key, reason));
            }
        }
        Ok(())
    }
}
