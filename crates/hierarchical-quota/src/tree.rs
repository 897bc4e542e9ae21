//! The tree of quotas as an operator writes it, checked before anything rests on it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ini::Ini;
use serde::{Deserialize, Serialize};

use crate::amount::{Amount, SLACK};

/// Amounts and weights beyond this are surely mistakes.
const LARGEST: f64 = 1e9;
/// A tree deeper than this is surely one, too.
const DEEPEST: usize = 16;

/// A file that can't be used: which file, which field, and why.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct TreeError {
    pub file: String,
    pub field: String,
    pub reason: String,
}

/// A team of the platform's, with its own guarantee and limit.
#[derive(Clone, Debug)]
pub struct Outer {
    pub team: String,
    pub guarantee: Amount,
    pub limit: Amount,
}

/// One node as it was written; 0 means none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSpec {
    pub name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// The platform's team that this leaf stands for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    pub guarantee: Amount,
    pub limit: Amount,
    pub weight: f64,
}

/// What the file says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TreeSpec {
    /// Of two trees the one with the higher revision is in force.
    pub revision: u64,
    /// Demand that falls counts in full for so long, so that shares do not swing.
    pub hold_s: f64,
    /// Without: quotas are flat, as if there were no tree.
    pub enabled: bool,
    pub nodes: Vec<NodeSpec>,
}

/// Which of the tree's nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIx(pub u32);

impl NodeIx {
    pub(crate) fn at(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub parent: Option<NodeIx>,
    pub children: Vec<NodeIx>,
    pub team: Option<String>,
    /// With the platform's for a leaf, and at least the sum of the children's.
    pub guarantee: Amount,
    /// With the platform's for a leaf; 0: none.
    pub limit: Amount,
    /// The tree's own limit, without the platform's.
    pub own_limit: Amount,
    pub weight: f64,
    pub depth: u32,
}

/// A checked tree, or several beside each other. Parents come before their children.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    pub revision: u64,
    pub hold_ms: u64,
    pub nodes: Vec<Node>,
    leaves: HashMap<String, NodeIx>,
}

/// What an operator should know of a tree that is fit for use.
#[derive(Clone, Debug, PartialEq)]
pub enum TreeNote {
    /// The platform has the team, the tree has not: it keeps its flat quota.
    TeamOutside(String),
    /// The tree has a leaf for a team that the platform has not: nothing can use it, so its share
    /// is lent.
    LeafWithoutTeam(String, String),
}

impl std::fmt::Display for TreeNote {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TreeNote::TeamOutside(team) => {
                write!(f, "team {team} is not in the tree and keeps its flat quota")
            }
            TreeNote::LeafWithoutTeam(node, team) => write!(
                f,
                "node {node}: the platform has no team {team}, so its share is lent"
            ),
        }
    }
}

impl TreeSpec {
    /// Reads `[tree]` and a `[node NAME]` for each node.
    pub fn parse(file: &str, text: &str) -> Result<Self, TreeError> {
        let problem = |field: &str, reason: &str| TreeError {
            file: file.into(),
            field: field.into(),
            reason: reason.into(),
        };
        let ini = Ini::load_from_str(text).map_err(|e| problem("file", &e.to_string()))?;
        let mut spec = Self {
            revision: 0,
            hold_s: 5.0,
            enabled: true,
            nodes: Vec::new(),
        };
        let mut names = BTreeSet::new();
        let mut trees = 0;
        for (section, entries) in ini.iter() {
            let section = section.unwrap_or("");
            let mut node = match section.split_once(char::is_whitespace) {
                None if section == "tree" => {
                    trees += 1;
                    if trees > 1 {
                        return Err(problem("[tree]", "is there twice"));
                    }
                    None
                }
                None if section.is_empty() && entries.is_empty() => continue,
                Some(("node", name)) if !name.trim().is_empty() => Some(NodeSpec {
                    name: name.trim().into(),
                    parent: None,
                    team: None,
                    guarantee: Amount::ZERO,
                    limit: Amount::ZERO,
                    weight: 1.0,
                }),
                _ => return Err(problem(&format!("[{section}]"), "unknown section")),
            };
            let mut seen = BTreeSet::new();
            for (key, text) in entries.iter() {
                let field = format!("[{section}] {key}");
                let text = text.trim();
                if !seen.insert(key.to_string()) {
                    return Err(problem(&field, "is there twice"));
                }
                let number = |least: f64, most: f64| match text.parse::<f64>() {
                    Ok(value) if (least..=most).contains(&value) => Ok(value),
                    Ok(_) => {
                        let reason = format!("must lie between {least} and {most}");
                        Err(problem(&field, &reason))
                    }
                    Err(_) => Err(problem(&field, "must be a number")),
                };
                let name = || match text {
                    "" => Err(problem(&field, "must not be empty")),
                    text => Ok(Some(text.to_string())),
                };
                match (&mut node, key) {
                    (None, "revision") => {
                        spec.revision = text
                            .parse()
                            .map_err(|_| problem(&field, "must be a whole number"))?;
                    }
                    (None, "enabled") => {
                        spec.enabled = match text {
                            "yes" => true,
                            "no" => false,
                            _ => return Err(problem(&field, "must be yes or no")),
                        }
                    }
                    (None, "hold_s") => spec.hold_s = number(0.0, 600.0)?,
                    (Some(node), "parent") => node.parent = name()?,
                    (Some(node), "team") => node.team = name()?,
                    (Some(node), "cpus") => node.guarantee.cpus = number(0.0, LARGEST)?,
                    (Some(node), "gpus") => node.guarantee.gpus = number(0.0, LARGEST)?,
                    (Some(node), "cpus_max") => node.limit.cpus = number(0.0, LARGEST)?,
                    (Some(node), "gpus_max") => node.limit.gpus = number(0.0, LARGEST)?,
                    (Some(node), "weight") => node.weight = number(1e-3, 1e6)?,
                    _ => return Err(problem(&field, "unknown key")),
                }
            }
            if let Some(node) = node {
                if !names.insert(node.name.clone()) {
                    let field = format!("[{section}]");
                    return Err(problem(&field, "is there twice"));
                }
                spec.nodes.push(node);
            }
        }
        if spec.revision == 0 {
            let reason = "must be there, at least 1, and rise with every change";
            return Err(problem("[tree] revision", reason));
        }
        if spec.nodes.is_empty() && spec.enabled {
            return Err(problem("[node ...]", "there must be at least one"));
        }
        Ok(spec)
    }

    /// Checks the tree against itself and the platform's teams.
    pub fn build(
        &self,
        file: &str,
        platform: &[Outer],
    ) -> Result<(Tree, Vec<TreeNote>), TreeError> {
        let strict = true;
        let spec = self;
        Builder { file, spec, strict }.build(platform)
    }

    /// Takes over a tree that was checked once, against a platform that may have changed since:
    /// where the two contradict each other, the platform's guarantees and limits hold.
    pub fn adopt(&self, file: &str, platform: &[Outer]) -> Result<Tree, TreeError> {
        let strict = false;
        let spec = self;
        let built = Builder { file, spec, strict }.build(platform);
        built.map(|(tree, _)| tree)
    }
}

struct Builder<'a> {
    file: &'a str,
    spec: &'a TreeSpec,
    /// Contradictions are errors.
    strict: bool,
}

impl Builder<'_> {
    fn problem(&self, node: &NodeSpec, key: &str, reason: String) -> TreeError {
        TreeError {
            file: self.file.into(),
            field: format!("[node {}] {key}", node.name),
            reason,
        }
    }

    /// Nodes with their depths, parents before children, in the order of the file among equals.
    fn order(&self) -> Result<Vec<(usize, u32)>, TreeError> {
        let nodes = &self.spec.nodes;
        let names: HashMap<&str, usize> = nodes
            .iter()
            .enumerate()
            .map(|(i, node)| (node.name.as_str(), i))
            .collect();
        let mut depths: Vec<(usize, u32)> = Vec::with_capacity(nodes.len());
        for (index, node) in nodes.iter().enumerate() {
            let (mut depth, mut at, mut above) = (0, node, vec![index]);
            while let Some(parent) = &at.parent {
                let Some(next) = names.get(parent.as_str()) else {
                    let reason = format!("there is no node {parent}");
                    return Err(self.problem(at, "parent", reason));
                };
                depth += 1;
                at = &nodes[*next];
                if above.contains(next) {
                    return Err(self.problem(at, "parent", "the node is its own ancestor".into()));
                }
                above.push(*next);
                if depth as usize > DEEPEST {
                    let reason = format!("the tree is deeper than {DEEPEST} levels");
                    return Err(self.problem(node, "parent", reason));
                }
            }
            depths.push((index, depth));
        }
        depths.sort_by_key(|(index, depth)| (*depth, *index));
        Ok(depths)
    }

    fn build(&self, platform: &[Outer]) -> Result<(Tree, Vec<TreeNote>), TreeError> {
        let teams: BTreeMap<&str, &Outer> = platform.iter().map(|o| (o.team.as_str(), o)).collect();
        let mut tree = Tree {
            revision: self.spec.revision,
            hold_ms: (self.spec.hold_s * 1e3) as u64,
            ..Tree::default()
        };
        let mut notes = Vec::new();
        let mut places: HashMap<&str, NodeIx> = HashMap::new();
        let order = self.order()?;
        for (index, depth) in &order {
            let spec = &self.spec.nodes[*index];
            let parent = spec.parent.as_ref().map(|p| places[p.as_str()]);
            let ix = NodeIx(tree.nodes.len() as u32);
            if let Some(parent) = parent {
                let above = &mut tree.nodes[parent.at()];
                if above.team.is_some() {
                    let reason =
                        format!("{} stands for a team and can't have children", above.name);
                    return Err(self.problem(spec, "parent", reason));
                }
                above.children.push(ix);
            }
            let (mut guarantee, mut limit) = (spec.guarantee, spec.limit);
            if let Some(team) = &spec.team {
                if tree.leaves.insert(team.clone(), ix).is_some() {
                    let reason = format!("another node stands for team {team} already");
                    return Err(self.problem(spec, "team", reason));
                }
                match teams.get(team.as_str()) {
                    Some(outer) => {
                        guarantee = self.leaf_guarantee(spec, outer)?;
                        limit = limit.tighter(outer.limit);
                    }
                    None => {
                        notes.push(TreeNote::LeafWithoutTeam(spec.name.clone(), team.clone()));
                    }
                }
            }
            places.insert(&spec.name, ix);
            tree.nodes.push(Node {
                name: spec.name.clone(),
                parent,
                children: Vec::new(),
                team: spec.team.clone(),
                guarantee,
                limit,
                own_limit: spec.limit,
                weight: spec.weight,
                depth: *depth,
            });
        }
        for (place, (index, _)) in order.iter().enumerate().rev() {
            self.check(&mut tree, place, &self.spec.nodes[*index])?;
        }
        let outside = platform
            .iter()
            .filter(|o| !tree.leaves.contains_key(&o.team));
        notes.extend(outside.map(|o| TreeNote::TeamOutside(o.team.clone())));
        Ok((tree, notes))
    }

    /// A leaf's guarantee is the platform's unless the file states more.
    fn leaf_guarantee(&self, spec: &NodeSpec, outer: &Outer) -> Result<Amount, TreeError> {
        let pick = |key: &str, stated: f64, given: f64, most: f64| {
            if !self.strict {
                let held = stated.max(given);
                return Ok(if most > 0.0 { held.min(most) } else { held });
            }
            if stated > 0.0 && stated + SLACK < given {
                let reason = format!("the platform guarantees the team {given}, which is more");
                return Err(self.problem(spec, key, reason));
            }
            if most > 0.0 && stated > most + SLACK {
                let reason = format!("the platform allows the team {most} at most");
                return Err(self.problem(spec, key, reason));
            }
            Ok(if stated > 0.0 { stated } else { given })
        };
        let (stated, given, most) = (spec.guarantee, outer.guarantee, outer.limit);
        Ok(Amount {
            cpus: pick("cpus", stated.cpus, given.cpus, most.cpus)?,
            gpus: pick("gpus", stated.gpus, given.gpus, most.gpus)?,
        })
    }

    /// A node against its children, whose guarantees are known by now.
    fn check(&self, tree: &mut Tree, place: usize, spec: &NodeSpec) -> Result<(), TreeError> {
        let node = &tree.nodes[place];
        if node.children.is_empty() && node.team.is_none() {
            let reason = "a node without children must name its team".into();
            return Err(self.problem(spec, "team", reason));
        }
        let below = node.children.iter().map(|c| tree.nodes[c.at()].guarantee);
        let sum = below.fold(Amount::ZERO, Amount::plus);
        let mut guarantee = node.guarantee;
        let keys = [
            ("cpus", &mut guarantee.cpus, sum.cpus, node.limit.cpus),
            ("gpus", &mut guarantee.gpus, sum.gpus, node.limit.gpus),
        ];
        for (key, held, asked, limit) in keys {
            if *held == 0.0 {
                *held = asked;
            }
            if !self.strict {
                *held = held.max(asked);
                continue;
            }
            if asked > *held + SLACK {
                let reason = format!("holds {held}, its children are guaranteed {asked}");
                return Err(self.problem(spec, key, reason));
            }
            if limit > 0.0 && *held > limit + SLACK {
                let reason = format!("{limit} is less than the guarantee of {held}");
                return Err(self.problem(spec, &format!("{key}_max"), reason));
            }
        }
        for child in &node.children {
            let child = &tree.nodes[child.at()];
            let limits = [
                ("cpus_max", child.own_limit.cpus, node.limit.cpus),
                ("gpus_max", child.own_limit.gpus, node.limit.gpus),
            ];
            for (key, its, most) in limits {
                if most > 0.0 && its > most + SLACK {
                    let reason = format!("{its} is more than {most}, the limit of {}", node.name);
                    let error = TreeError {
                        file: self.file.into(),
                        field: format!("[node {}] {key}", child.name),
                        reason,
                    };
                    return Err(error);
                }
            }
        }
        tree.nodes[place].guarantee = guarantee;
        Ok(())
    }
}

impl Tree {
    pub fn node(&self, ix: NodeIx) -> &Node {
        &self.nodes[ix.at()]
    }

    pub fn leaf(&self, team: &str) -> Option<NodeIx> {
        self.leaves.get(team).copied()
    }

    pub fn all(&self) -> impl Iterator<Item = NodeIx> + use<> {
        (0..self.nodes.len() as u32).map(NodeIx)
    }

    /// A node, its parent, and so on up to its root.
    pub fn path(&self, ix: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        std::iter::successors(Some(ix), |at| self.node(*at).parent)
    }

    pub fn root(&self, ix: NodeIx) -> NodeIx {
        self.path(ix).last().unwrap_or(ix)
    }

    /// The first two nodes that differ on the ways down from a common ancestor, if there is one.
    pub fn parting(&self, a: NodeIx, b: NodeIx) -> Option<(NodeIx, NodeIx)> {
        let (mut a, mut b) = (a, b);
        while self.node(a).depth > self.node(b).depth {
            a = self.node(a).parent?;
        }
        while self.node(b).depth > self.node(a).depth {
            b = self.node(b).parent?;
        }
        while a != b && self.node(a).parent != self.node(b).parent {
            a = self.node(a).parent?;
            b = self.node(b).parent?;
        }
        (a != b).then_some((a, b))
    }
}
