//! The tree of nested quotas: the operator's tree file, the records in the store, and the active
//! tree.
//!
//! The tree in the store applies to all controllers. A file with a higher revision replaces it:
//! its pages are written first and the head record last, so that a reader never activates a partial
//! tree. [`HierarchicalQuota`] owns this state; the controller reads and writes the records.

mod active;
mod pages;

use hierarchical_quota::{Amount, PlatformTeam, Tree, TreeSpec};
use rustc_hash::FxHashMap as HashMap;

pub use self::active::ActiveTree;
use self::pages::{Head, PagedTree, StoredPages};
use crate::jobs::cache::TeamGroups;
use crate::settings::TeamSettings;
use crate::types::{Millis, Resources, Revision, Team};

/// The key of the head record, which names the active tree. Its version is a condition of every
/// placement.
pub const TREE_HEAD_KEY: &str = "jt/tree";

/// Prefix of the keys of the pages, which contain the tree's nodes.
pub const TREE_PAGES_PREFIX: &str = "jt/tree/";

/// The most bytes that the allocation of a team or node takes in a shard's record, besides its
/// name.
const ALLOCATION_BYTES: usize = 64;

impl From<Resources> for Amount {
    fn from(resources: Resources) -> Self {
        Amount::new(resources.cpus, resources.gpus)
    }
}

/// The platform's teams with the guarantees and limits that a tree is validated against.
pub fn platform_teams(teams: &[TeamSettings]) -> Vec<PlatformTeam> {
    let platform_team = |team: &TeamSettings| PlatformTeam {
        team: team.name.to_string(),
        guarantee: Amount::new(team.cpus, team.gpus),
        limit: Amount::new(team.cpus_max, team.gpus_max),
    };
    teams.iter().map(platform_team).collect()
}

/// The name under which a node's usage and allocations are counted, in the same maps as those of
/// the teams. The prefix `#` tells it from a team's name.
pub fn group_name(node: &str) -> Team {
    format!("#{node}").into()
}

/// Upper bound of the size of a shard's allocation record in bytes. Every team and node with a
/// limit of its own has an allocation there.
pub fn max_allocation_record_bytes(teams: &[TeamSettings], tree: &Tree) -> usize {
    let teams = teams.iter().filter(|team| team.has_limit());
    let nodes = tree.nodes.iter().filter(|node| !node.own_limit.is_zero());
    let team_names = teams.map(|team| team.name.as_str().len());
    let node_names = nodes.map(|node| node.name.len());
    team_names
        .chain(node_names)
        .map(|name_bytes| name_bytes + ALLOCATION_BYTES)
        .sum()
}

/// What the controller has to write next to the store so that its tree file becomes active.
#[derive(Debug, PartialEq)]
pub enum PendingTreeWrite {
    /// Nothing: there is no file, or it is not newer than the tree in the store.
    Nothing,
    /// Pages that are not in the store yet: key and JSON text.
    Pages(Vec<(String, String)>),
    /// All pages are in the store: the JSON text of the head record, and the version of the record
    /// that it replaces.
    Head(String, Revision),
}

/// How this controller's tree file compares with the tree in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TreeStatus {
    /// This controller has no tree file.
    #[default]
    NoFile,
    /// The store has the tree of the file.
    Active,
    /// The tree in the store has a higher revision.
    Outdated,
    /// The store has a different tree with the same revision. The file is ignored until its
    /// revision is raised.
    Conflicting,
    /// The file has a higher revision, or the store has no tree: the file's tree is being written.
    Newer,
}

/// The tree in the operator's file, the records in the store, and the active tree.
#[derive(Default)]
pub struct HierarchicalQuota {
    /// The platform's teams with their own guarantees and limits.
    teams: Vec<TeamSettings>,
    /// The tree of this controller's file.
    file: Option<PagedTree>,
    /// The newest head record that was read, and its version.
    head: Option<Head>,
    head_version: Revision,
    /// The pages that were read from the store.
    pages: StoredPages,
    /// The version of the head that `active` was loaded from.
    active_version: Revision,
    active: Option<ActiveTree>,
    /// Each team's own limit, which applies without a tree.
    flat_limits: HashMap<Team, Vec<TeamSettings>>,
    /// When entitlements were last recomputed.
    refreshed_at: Millis,
}

/// A team's own limit; empty if it has none.
fn flat_limits(team: &TeamSettings) -> Vec<TeamSettings> {
    team.has_limit().then(|| team.clone()).into_iter().collect()
}

impl HierarchicalQuota {
    /// The quota of a controller with these teams and this tree file, before it has read anything
    /// from the store. `value_kb` is the size of the store's largest value in KiB.
    pub fn new(teams: &[TeamSettings], file: Option<&TreeSpec>, value_kb: f64) -> Self {
        Self {
            teams: teams.to_vec(),
            file: file.map(|spec| PagedTree::new(spec, value_kb)),
            flat_limits: teams
                .iter()
                .map(|team| (team.name.clone(), flat_limits(team)))
                .collect(),
            ..Self::default()
        }
    }

    /// The version of the head that decisions are based on; 0 until a head is activated. The store
    /// may have a newer head whose pages have not all been read: transactions conditioned on this
    /// version then fail.
    pub fn active_version(&self) -> Revision {
        self.active_version
    }

    /// Whether the newest head that was read is the active one. False while some of its pages are
    /// missing, or if its tree is invalid.
    pub fn newest_head_is_active(&self) -> bool {
        self.active_version == self.head_version
    }

    /// The active tree; `None` if quotas are flat.
    pub fn active_tree(&self) -> Option<&ActiveTree> {
        self.active.as_ref()
    }

    /// The limits that apply to a team, its own first.
    pub fn limits(&self, team: &Team) -> &[TeamSettings] {
        let limits = match &self.active {
            Some(tree) => tree.limits(),
            None => &self.flat_limits,
        };
        limits.get(team).map_or(&[], Vec::as_slice)
    }

    /// The limits of all teams and nodes that have one, each once, sorted by name.
    pub fn all_limits(&self) -> Vec<TeamSettings> {
        let teams = self.teams.iter();
        let mut limits: Vec<TeamSettings> = teams
            .flat_map(|team| self.limits(&team.name).iter().cloned())
            .collect();
        limits.sort_by(|a, b| a.name.cmp(&b.name));
        limits.dedup_by(|a, b| a.name == b.name);
        limits
    }

    /// Whether a limit applies to both teams, or both are the same team. A decrease of one's usage
    /// may then let the other place tasks.
    pub fn share_a_limit(&self, a: &Team, b: &Team) -> bool {
        let applies_to_b = |name: &Team| self.limits(b).iter().any(|limit| limit.name == *name);
        a == b || self.limits(a).iter().any(|limit| applies_to_b(&limit.name))
    }

    /// How this controller's tree file compares with the tree in the store.
    pub fn tree_status(&self) -> TreeStatus {
        let Some(file) = &self.file else {
            return TreeStatus::NoFile;
        };
        match &self.head {
            Some(head) if head.revision > file.head.revision => TreeStatus::Outdated,
            Some(head) if head.revision == file.head.revision && *head != file.head => {
                TreeStatus::Conflicting
            }
            Some(head) if head.revision == file.head.revision => TreeStatus::Active,
            _ => TreeStatus::Newer,
        }
    }

    /// What has to be written next so that the tree file becomes active, at most `max_pages` pages
    /// at a time.
    pub fn pending_write(&self, max_pages: usize) -> PendingTreeWrite {
        let is_newer = self.tree_status() == TreeStatus::Newer;
        let Some(file) = self.file.as_ref().filter(|_| is_newer) else {
            return PendingTreeWrite::Nothing;
        };
        let missing: Vec<(String, String)> = file
            .keyed_pages()
            .filter(|(key, _)| !self.pages.by_key.contains_key(key))
            .take(max_pages)
            .map(|(key, text)| (key, text.clone()))
            .collect();
        if !missing.is_empty() {
            return PendingTreeWrite::Pages(missing);
        }
        // Cannot fail: the head has no maps or types that JSON cannot represent.
        let head = serde_json::to_string(&file.head).unwrap_or_default();
        PendingTreeWrite::Head(head, self.head_version)
    }

    /// The keys of the pages in the store that belong to replaced trees.
    pub fn obsolete_pages(&self) -> impl Iterator<Item = &String> {
        self.pages.obsolete(self.head.as_ref())
    }

    /// The version of a page's record; 0 if it is not in the store.
    pub fn page_version(&self, key: &str) -> Revision {
        self.pages.version(key)
    }

    /// Applies a watch event of the head record or a page: its new content, or `None` if it was
    /// deleted. Events that are not newer than the known version are ignored. Returns whether the
    /// event changed the active tree.
    pub fn apply(&mut self, key: &str, data: Option<&str>, version: Revision) -> bool {
        if key == TREE_HEAD_KEY {
            if version <= self.head_version {
                return false;
            }
            self.head_version = version;
            self.head = data.and_then(|text| serde_json::from_str(text).ok());
        } else {
            self.pages.apply(key, data, version);
        }
        self.activate()
    }

    /// Forgets the records before a snapshot read. The active tree stays until the head in the
    /// snapshot is activated.
    pub fn forget_records(&mut self) {
        self.head = None;
        self.head_version = Revision(0);
        self.active_version = Revision(0);
        self.pages = StoredPages::default();
    }

    /// Activates the tree of the newest head if all its pages have been read. An invalid tree is
    /// logged and leaves the active one unchanged.
    fn activate(&mut self) -> bool {
        if self.newest_head_is_active() {
            return false;
        }
        let Some(head) = &self.head else {
            return false;
        };
        let Some(texts) = self.pages.page_texts(head) else {
            return false;
        };
        let active = match ActiveTree::load(head, &texts, &self.teams) {
            Ok(active) => active,
            Err(error) => {
                tracing::error!(%error, "quota tree record is invalid; keeping the active tree");
                return false;
            }
        };
        let nodes = active
            .as_ref()
            .map_or(0, |tree| tree.entitlements.tree().nodes.len());
        tracing::info!(revision = head.revision, nodes, "quota tree activated");
        self.active = active;
        self.active_version = self.head_version;
        true
    }

    /// The groups that each team's usage is counted in; empty without a tree.
    pub fn groups(&self) -> TeamGroups {
        let tree = self.active.as_ref();
        tree.map(|tree| tree.groups().clone()).unwrap_or_default()
    }

    /// Updates the teams' demands and recomputes the entitlements, at most once per `interval`.
    /// Returns the teams that are entitled to more than before; `None` if the interval has not
    /// passed or there is no tree.
    pub fn refresh<'a>(
        &mut self,
        now: Millis,
        interval: Millis,
        demands: impl FnOnce() -> HashMap<&'a Team, Resources>,
    ) -> Option<Vec<Team>> {
        let tree = self.active.as_mut()?;
        if now.since(self.refreshed_at) < interval {
            return None;
        }
        self.refreshed_at = now;
        Some(tree.refresh(now, &demands()))
    }
}

#[cfg(test)]
mod tests;
