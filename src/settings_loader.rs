//! Loads all settings files of a controller, and checks the quota tree against the platform's teams and limits.
//!
//! It is apart from [`crate::settings`], which most modules use, because it needs to know how quotas are stored.

use std::path::Path;

use hierarchical_quota::{NodeSpec, Tree, TreeSpec};

use crate::quota::hierarchical;
use crate::settings::{
    OperatorSettings, Settings, SettingsError, TeamSettings, read_file, settings_error,
};

/// Longest name of a node, in bytes: it is the key of the node's allocation in each shard's record.
const MAX_NODE_NAME_BYTES: usize = 1_000;
/// Number of characters that an error shows of a name that is too long.
const SHOWN_NAME_CHARS: usize = 20;
/// Nodes are counted beside the teams under names with this prefix.
const NODE_PREFIX: char = '#';

impl Settings {
    /// Reads and checks the platform's file, the operator's file if there is one, and the file of the quota tree if
    /// the operator's file names one.
    ///
    /// # Errors
    /// The first file that can't be read, or the first field that is wrong.
    pub fn read(config: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        let text = read_file(config)?;
        let mut settings = Self::parse(&config.display().to_string(), &text)?;
        if let Some(path) = operator {
            settings.operator = OperatorSettings::read(path)?;
        }
        if let Some(path) = settings.operator.quota_tree_file.clone() {
            let text = read_file(&path)?;
            settings.load_quota_tree(&path.display().to_string(), &text)?;
        }
        Ok(settings)
    }

    /// Reads the text of a quota tree, checks it against the platform's teams and limits, and keeps it.
    ///
    /// # Errors
    /// The text is no tree, or the tree does not fit the platform.
    pub fn load_quota_tree(&mut self, file: &str, text: &str) -> Result<(), SettingsError> {
        let spec = TreeSpec::parse(file, text)?;
        let teams = &self.deployment.teams;
        let (tree, notes) = spec.build(file, &hierarchical::platform_teams(teams))?;
        let max_bytes = (self.deployment.state.value_kb * 1024.0) as usize;
        check_record_size(file, teams, &tree, max_bytes)?;
        check_node_names(file, &spec.nodes)?;
        check_team_names(file, teams)?;
        self.quota_tree = Some(spec);
        self.tree_notes = notes;
        Ok(())
    }
}

/// The allocations of all groups with a limit must fit into one record of a shard.
fn check_record_size(
    file: &str,
    teams: &[TeamSettings],
    tree: &Tree,
    max_bytes: usize,
) -> Result<(), SettingsError> {
    let bytes = hierarchical::max_allocation_record_bytes(teams, tree);
    if bytes <= max_bytes {
        return Ok(());
    }
    let reason = format!(
        "the shares of all teams and nodes with a limit take {bytes} bytes in a record of \
         {max_bytes} at the most: leave limits out"
    );
    Err(settings_error(
        file,
        "[node ...] gpus_max, cpus_max",
        reason,
    ))
}

fn check_node_names(file: &str, nodes: &[NodeSpec]) -> Result<(), SettingsError> {
    let too_long = |node: &&NodeSpec| node.name.len() > MAX_NODE_NAME_BYTES;
    let Some(node) = nodes.iter().find(too_long) else {
        return Ok(());
    };
    let shown: String = node.name.chars().take(SHOWN_NAME_CHARS).collect();
    let field = format!("[node {shown}...]");
    Err(settings_error(
        file,
        &field,
        "the name is longer than 1,000 bytes",
    ))
}

/// A team's name must not be taken for a node's.
fn check_team_names(file: &str, teams: &[TeamSettings]) -> Result<(), SettingsError> {
    let like_node = |team: &&TeamSettings| team.name.as_str().starts_with(NODE_PREFIX);
    let Some(team) = teams.iter().find(like_node) else {
        return Ok(());
    };
    let reason = "a tree can't be used beside team names that start with #";
    Err(settings_error(file, &format!("team {}", team.name), reason))
}
