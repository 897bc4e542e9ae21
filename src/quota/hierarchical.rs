//! The tree of nested quotas: what the operator's file says, what the state service holds, and what
//! of it is in force. The tree in the state service counts, for every controller alike; a file with
//! a higher revision replaces it.

use std::collections::BTreeMap;
use std::sync::Arc;

use hierarchical_quota::{Amount, NodeIx, NodeSpec, Outer, Shares, Tree, TreeError, TreeSpec};
use rustc_hash::FxHashMap as HashMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::jobs::cache::Groups;
use crate::settings::TeamSettings;
use crate::types::{Millis, Resources, Revision, Team};

/// The record that says which tree is in force. Its version is a condition of every placement.
pub const HEAD: &str = "jt/tree";
/// Its nodes, in pages.
pub const PAGES: &str = "jt/tree/";
/// Of a value, the part that a page fills at the most.
const FULL: f64 = 0.9;
/// The most bytes that a group's share takes in a shard's record, besides its name.
const SHARE_BYTES: usize = 64;

impl From<Resources> for Amount {
    fn from(resources: Resources) -> Self {
        Amount::new(resources.cpus, resources.gpus)
    }
}

/// What the platform says of its teams, as the tree wants to know it.
pub fn outers(teams: &[TeamSettings]) -> Vec<Outer> {
    let outer = |team: &TeamSettings| Outer {
        team: team.name.to_string(),
        guarantee: Amount::new(team.cpus, team.gpus),
        limit: Amount::new(team.cpus_max, team.gpus_max),
    };
    teams.iter().map(outer).collect()
}

/// The name under which a node's use and share are counted beside the teams'.
pub fn group_name(node: &str) -> Team {
    format!("#{node}").into()
}

/// Bytes of a shard's record if every team and node with a limit has a share there.
pub fn share_bytes(teams: &[TeamSettings], tree: &Tree) -> usize {
    let mut names: Vec<usize> = Vec::new();
    let limited = teams.iter().filter(|team| team.limited());
    names.extend(limited.map(|team| team.name.as_str().len()));
    let nodes = tree.nodes.iter().filter(|node| !node.own_limit.is_zero());
    names.extend(nodes.map(|node| node.name.len()));
    names.iter().map(|name| name + SHARE_BYTES).sum()
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    revision: u64,
    hash: String,
    pages: u32,
    hold_ms: u64,
    enabled: bool,
}

impl Head {
    fn page_key(&self, page: u32) -> String {
        format!("{PAGES}{}-{}/{page}", self.revision, self.hash)
    }
}

/// A tree cut into pages that each fit one value.
#[derive(Clone, Debug)]
struct Paged {
    head: Head,
    pages: Vec<String>,
}

/// Of what the nodes say, in one way of writing it: the state service keeps JSON, not text, and may
/// give it back written in another.
fn hash_of(nodes: &[NodeSpec]) -> String {
    let mut hash = Sha256::new();
    for node in nodes {
        hash.update(serde_json::to_vec(node).unwrap_or_default());
        hash.update([0]);
    }
    let bytes = hash.finalize();
    bytes[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn paged(spec: &TreeSpec, value_kb: f64) -> Paged {
    let most = (value_kb * 1024.0 * FULL) as usize;
    let mut pages = Vec::new();
    let mut page = String::from("[");
    for node in &spec.nodes {
        let text = serde_json::to_string(node).unwrap_or_default();
        if page.len() > 1 && page.len() + text.len() + 2 > most {
            pages.push(std::mem::replace(&mut page, "[".into()) + "]");
        }
        if page.len() > 1 {
            page.push(',');
        }
        page.push_str(&text);
    }
    pages.push(page + "]");
    let head = Head {
        revision: spec.revision,
        hash: hash_of(&spec.nodes),
        pages: pages.len() as u32,
        hold_ms: (spec.hold_s * 1e3) as u64,
        enabled: spec.enabled,
    };
    Paged { head, pages }
}

/// What the controller has to write so that its file comes into force.
#[derive(Debug, PartialEq)]
pub enum PendingTreeWrite {
    Nothing,
    /// Pages that are not there yet: key and text.
    Pages(Vec<(String, String)>),
    /// All pages are there: the head, to be written over this version of it.
    Head(String, Revision),
}

/// How the file of this controller stands to the tree in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TreeStatus {
    None,
    InForce,
    /// A newer one is in force.
    Old,
    /// Another one with the same revision is.
    Differs,
    /// It is newer, and on its way into the state service.
    New,
}

/// The tree in force, and what its nodes are entitled to.
pub struct ActiveTree {
    pub shares: Shares,
    /// By team: those that cap it, itself first.
    limits: HashMap<Team, Vec<TeamSettings>>,
    /// By team: the nodes above it, under their groups' names.
    groups: Groups,
    names: Vec<Team>,
}

#[derive(Default)]
pub struct HierarchicalQuota {
    platform: Vec<TeamSettings>,
    file: Option<Paged>,
    head: Option<Head>,
    head_version: Revision,
    pages: BTreeMap<String, (String, Revision)>,
    /// The version of the head that `force` was made from.
    version: Revision,
    force: Option<ActiveTree>,
    /// Without a tree: each team's own limit.
    flat: HashMap<Team, Vec<TeamSettings>>,
    refreshed: Millis,
}

fn limits_of(team: &TeamSettings) -> Vec<TeamSettings> {
    team.limited().then(|| team.clone()).into_iter().collect()
}

impl HierarchicalQuota {
    pub fn new(teams: &[TeamSettings], file: Option<&TreeSpec>, value_kb: f64) -> Self {
        Self {
            platform: teams.to_vec(),
            file: file.map(|spec| paged(spec, value_kb)),
            flat: teams
                .iter()
                .map(|team| (team.name.clone(), limits_of(team)))
                .collect(),
            ..Self::default()
        }
    }

    /// The version of the head that decisions rest on. Another one may be there already, whose
    /// pages have not all come: what is decided then is not written.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Whether the newest head that was seen is the one in force.
    pub fn settled(&self) -> bool {
        self.version == self.head_version
    }

    pub fn force(&self) -> Option<&ActiveTree> {
        self.force.as_ref()
    }

    /// Whatever caps a team, itself first.
    pub fn limits(&self, team: &Team) -> &[TeamSettings] {
        let limits = match &self.force {
            Some(force) => &force.limits,
            None => &self.flat,
        };
        limits.get(team).map_or(&[], Vec::as_slice)
    }

    /// All that have a limit, each once.
    pub fn limited(&self) -> Vec<TeamSettings> {
        let teams = self.platform.iter();
        let mut all: Vec<TeamSettings> = teams
            .flat_map(|team| self.limits(&team.name).iter().cloned())
            .collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all.dedup_by(|a, b| a.name == b.name);
        all
    }

    /// Whether room that one team frees may help another past a limit.
    pub fn related(&self, a: &Team, b: &Team) -> bool {
        let caps_b = |name: &Team| self.limits(b).iter().any(|limit| limit.name == *name);
        a == b || self.limits(a).iter().any(|limit| caps_b(&limit.name))
    }

    pub fn standing(&self) -> TreeStatus {
        let Some(file) = &self.file else {
            return TreeStatus::None;
        };
        match &self.head {
            Some(head) if head.revision > file.head.revision => TreeStatus::Old,
            Some(head) if head.revision == file.head.revision && *head != file.head => {
                TreeStatus::Differs
            }
            Some(head) if head.revision == file.head.revision => TreeStatus::InForce,
            _ => TreeStatus::New,
        }
    }

    /// What is to be written next, at most so many pages and bytes at a time.
    pub fn owed(&self, most: usize) -> PendingTreeWrite {
        let Some(file) = self
            .file
            .as_ref()
            .filter(|_| self.standing() == TreeStatus::New)
        else {
            return PendingTreeWrite::Nothing;
        };
        // Revision and hash in its key say what a page holds.
        let missing = |(page, _): &(u32, &String)| {
            let key = file.head.page_key(*page);
            !self.pages.contains_key(&key)
        };
        let pages: Vec<(String, String)> = (0..)
            .zip(&file.pages)
            .filter(missing)
            .take(most)
            .map(|(page, text)| (file.head.page_key(page), text.clone()))
            .collect();
        if !pages.is_empty() {
            return PendingTreeWrite::Pages(pages);
        }
        let head = serde_json::to_string(&file.head).unwrap_or_default();
        PendingTreeWrite::Head(head, self.head_version)
    }

    /// Pages of trees that have been replaced. Those of a newer revision than the head's are on
    /// their way in, so they are left alone.
    pub fn leftovers(&self) -> impl Iterator<Item = &String> {
        let head = self.head.as_ref();
        self.pages.keys().filter(move |key| {
            let revision = key
                .strip_prefix(PAGES)
                .and_then(|rest| rest.split('-').next())
                .and_then(|text| text.parse::<u64>().ok());
            head.is_some_and(|head| {
                let its = format!("{PAGES}{}-{}/", head.revision, head.hash);
                revision.is_none_or(|revision| revision <= head.revision) && !key.starts_with(&its)
            })
        })
    }

    pub fn page_version(&self, key: &str) -> Revision {
        self.pages.get(key).map(|(_, v)| *v).unwrap_or_default()
    }

    /// Takes a record; whether another tree is in force now.
    pub fn apply(&mut self, key: &str, data: Option<&str>, version: Revision) -> bool {
        if key == HEAD {
            if version <= self.head_version {
                return false;
            }
            self.head_version = version;
            self.head = data.and_then(|text| serde_json::from_str(text).ok());
        } else if self.page_version(key) < version {
            match data {
                Some(text) => {
                    self.pages.insert(key.into(), (text.into(), version));
                }
                None => {
                    self.pages.remove(key);
                }
            }
        }
        self.adopt()
    }

    /// Forgets what came from the state service, but goes on by the tree it knows until it has
    /// read it again.
    pub fn resync(&mut self) {
        self.head = None;
        self.head_version = Revision(0);
        self.version = Revision(0);
        self.pages.clear();
    }

    fn adopt(&mut self) -> bool {
        if self.settled() {
            return false;
        }
        let Some(head) = self.head.clone() else {
            return false;
        };
        let texts: Option<Vec<&str>> = (0..head.pages)
            .map(|page| Some(self.pages.get(&head.page_key(page))?.0.as_str()))
            .collect();
        let Some(texts) = texts else { return false };
        let force = match force(&head, &texts, &self.platform) {
            Ok(force) => force,
            Err(error) => {
                tracing::error!(%error, "quota tree record is invalid");
                return false;
            }
        };
        let nodes = force.as_ref().map_or(0, |f| f.shares.tree().nodes.len());
        tracing::info!(revision = head.revision, nodes, "quota tree activated");
        self.force = force;
        self.version = self.head_version;
        true
    }

    /// The groups that each team is counted in.
    pub fn groups(&self) -> Groups {
        let force = self.force.as_ref();
        force.map(|f| f.groups.clone()).unwrap_or_default()
    }

    /// Notes the teams' demands, at most once in `every`; the teams that are entitled to more than
    /// before.
    pub fn refresh<'a>(
        &mut self,
        now: Millis,
        every: Millis,
        demands: impl FnOnce() -> HashMap<&'a Team, Resources>,
    ) -> Option<Vec<Team>> {
        let force = self.force.as_mut()?;
        if now.since(self.refreshed) < every {
            return None;
        }
        self.refreshed = now;
        Some(force.refresh(now, &demands()))
    }
}

fn force(
    head: &Head,
    texts: &[&str],
    platform: &[TeamSettings],
) -> Result<Option<ActiveTree>, TreeError> {
    let problem = |reason: &str| TreeError {
        file: HEAD.into(),
        field: format!("revision {}", head.revision),
        reason: reason.into(),
    };
    if !head.enabled {
        return Ok(None);
    }
    let mut nodes: Vec<NodeSpec> = Vec::new();
    for text in texts {
        let page: Vec<NodeSpec> =
            serde_json::from_str(text).map_err(|error| problem(&error.to_string()))?;
        nodes.extend(page);
    }
    if hash_of(&nodes) != head.hash {
        return Err(problem("the pages are not those that were written"));
    }
    let spec = TreeSpec {
        revision: head.revision,
        hold_s: head.hold_ms as f64 / 1e3,
        enabled: true,
        nodes,
    };
    let tree = spec.adopt(HEAD, &outers(platform))?;
    Ok(Some(ActiveTree::new(Arc::new(tree), platform)))
}

impl ActiveTree {
    fn new(tree: Arc<Tree>, platform: &[TeamSettings]) -> Self {
        let names: Vec<Team> = tree
            .all()
            .map(|ix| match &tree.node(ix).team {
                Some(team) => team.as_str().into(),
                None => group_name(&tree.node(ix).name),
            })
            .collect();
        let mut limits: HashMap<Team, Vec<TeamSettings>> = HashMap::default();
        let mut groups = Groups::default();
        for team in platform {
            let Some(leaf) = tree.leaf(team.name.as_str()) else {
                limits.insert(team.name.clone(), limits_of(team));
                continue;
            };
            let capped = tree.path(leaf).map(|ix| {
                let node = tree.node(ix);
                TeamSettings {
                    name: names[ix.0 as usize].clone(),
                    cpus: node.guarantee.cpus,
                    cpus_max: node.limit.cpus,
                    gpus: node.guarantee.gpus,
                    gpus_max: node.limit.gpus,
                }
            });
            limits.insert(team.name.clone(), capped.filter(|t| t.limited()).collect());
            let above = tree.path(leaf).skip(1);
            let above = above.map(|ix| names[ix.0 as usize].clone()).collect();
            groups.insert(team.name.clone(), above);
        }
        Self {
            shares: Shares::new(tree),
            limits,
            groups,
            names,
        }
    }

    pub fn leaf(&self, team: &Team) -> Option<NodeIx> {
        self.shares.tree().leaf(team.as_str())
    }

    /// The name under which a node is counted.
    pub fn name(&self, ix: NodeIx) -> &Team {
        &self.names[ix.0 as usize]
    }

    /// Whether a team's work counts for a node.
    pub fn counts(&self, team: &Team, ix: NodeIx) -> bool {
        let leaf = self.leaf(team);
        leaf.is_some_and(|leaf| self.shares.tree().path(leaf).any(|at| at == ix))
    }

    fn refresh(&mut self, now: Millis, demands: &HashMap<&Team, Resources>) -> Vec<Team> {
        let tree = self.shares.tree().clone();
        for ix in tree.all().filter(|ix| tree.node(*ix).team.is_some()) {
            let demand = demands.get(self.name(ix)).copied().unwrap_or_default();
            self.shares.set_demand(ix, demand.into(), now.0);
        }
        let raised = self.shares.refresh();
        raised.into_iter().map(|ix| self.name(ix).clone()).collect()
    }
}

#[cfg(test)]
mod tests;
