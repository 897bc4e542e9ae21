//! Loads all settings files of a controller, and checks the quota tree against the platform's teams and limits.
//!
//! Separate from [`crate::settings`], which most modules use, because this module depends on how quotas are stored.

use std::path::Path;

use hierarchical_quota::{NodeSpec, Tree, TreeSpec};

use crate::quota::hierarchical;
use crate::settings::{
    OperatorSettings, Settings, SettingsError, TeamSettings, read_file, settings_error,
};

/// Longest name of a node in the quota tree, in bytes. The name is the key of the node's allocation in the record of
/// each shard, whose size is limited.
const MAX_NODE_NAME_BYTES: usize = 1_000;
/// Number of characters of a too long name that its error quotes.
const QUOTED_NAME_CHARS: usize = 20;
/// Prefix of the names under which the usage of nodes is counted beside that of teams.
const NODE_USAGE_PREFIX: char = '#';

impl Settings {
    /// Reads and checks the platform's file, the operator's file if there is one, and the file of the quota tree if
    /// the operator's file names one.
    ///
    /// # Errors
    /// Names the first file that can't be read, or the first field that is invalid.
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

    /// Parses a quota tree, checks it against the platform's teams and limits, and stores it in the settings. Errors
    /// name the text as `file`.
    ///
    /// # Errors
    /// The text is not a valid tree, or the tree does not match the platform's teams and limits.
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

/// Checks that the allocations of all teams and nodes with a limit fit into one record of a shard.
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
    let quoted: String = node.name.chars().take(QUOTED_NAME_CHARS).collect();
    let field = format!("[node {quoted}...]");
    Err(settings_error(
        file,
        &field,
        "the name is longer than 1,000 bytes",
    ))
}

/// Checks that no name of a team can be mistaken for that of a node.
fn check_team_names(file: &str, teams: &[TeamSettings]) -> Result<(), SettingsError> {
    let has_node_prefix = |team: &&TeamSettings| team.name.as_str().starts_with(NODE_USAGE_PREFIX);
    let Some(team) = teams.iter().find(has_node_prefix) else {
        return Ok(());
    };
    let reason = "a tree can't be used beside team names that start with #";
    Err(settings_error(file, &format!("team {}", team.name), reason))
}
