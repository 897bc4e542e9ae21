//! The platform's settings file (JSON) and the operator's own (INI), read into checked types.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hierarchical_quota::{TreeNote, TreeSpec};
use ini::Ini;
use rustc_hash::FxHashMap as HashMap;
use serde::Deserialize;

use crate::quota::hierarchical;
use crate::types::{ControllerId, Millis, Team, Zone};

/// A settings file that can't be used: which file, which field, and why.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct SettingsError {
    pub file: String,
    pub field: String,
    pub reason: String,
}

impl From<hierarchical_quota::TreeError> for SettingsError {
    fn from(error: hierarchical_quota::TreeError) -> Self {
        problem(&error.file, &error.field, error.reason)
    }
}

pub fn problem(file: &str, field: &str, reason: impl ToString) -> SettingsError {
    SettingsError {
        file: file.into(),
        field: field.into(),
        reason: reason.to_string(),
    }
}

/// The text of a file that a setting names.
pub fn read_file(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |error| problem(&path.display().to_string(), "file", error);
    std::fs::read_to_string(path).map_err(unreadable)
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub label: ControllerId,
    pub zone: Zone,
    pub public_addr: SocketAddr,
    pub peer_bind: SocketAddr,
    pub members: Vec<Member>,
    pub outside: Outside,
    pub deployment: Deployment,
    #[serde(skip)]
    pub operator: Operator,
    /// The tree of nested quotas, from the file that the operator's settings name.
    #[serde(skip)]
    pub tree: Option<TreeSpec>,
    /// What the operator should know of it.
    #[serde(skip)]
    pub tree_notes: Vec<TreeNote>,
    /// Where each team stands in the deployment's list.
    #[serde(skip)]
    team_positions: HashMap<Team, usize>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub label: ControllerId,
    pub zone: Zone,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    pub count: u32,
    pub zones: Vec<Zone>,
    pub teams: Vec<TeamSettings>,
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub quota: Quota,
    pub clock_error_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    pub name: Team,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl TeamSettings {
    /// Whether anything caps what the team may use. A value of 0 means none.
    pub fn limited(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    pub cores: f64,
    pub mem_mb: f64,
    pub sockets: usize,
}

/// What an operator may tune. The compiled defaults suffice without a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    pub backoff_first: Millis,
    pub backoff_most: Millis,
    pub flush: Millis,
    pub lease: Millis,
    pub stop_before: Millis,
    pub blocks_per_zone: u32,
    pub idle_return: Millis,
    /// How long a controller that is cut off keeps its machines at work.
    pub keep: Millis,
    /// How long the machines of a zone that is cut off are left alone by the leader.
    pub hold: Millis,
    /// The file of the tree of nested quotas.
    pub tree: Option<PathBuf>,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            backoff_first: Millis(1_000),
            backoff_most: Millis(10_000),
            flush: Millis(30_000),
            lease: Millis(5_000),
            stop_before: Millis(1_500),
            blocks_per_zone: 2,
            idle_return: Millis(20_000),
            keep: Millis(900_000),
            hold: Millis(180_000),
            tree: None,
        }
    }
}

/// The operator's keys: section, key, smallest and largest value, and where it goes.
type Setter = fn(&mut Operator, f64);
const OPERATOR_KEYS: &[(&str, &str, f64, f64, Setter)] = &[
    ("queue", "backoff_first_s", 0.1, 600.0, |o, v| {
        o.backoff_first = Millis::from_secs(v)
    }),
    ("queue", "backoff_most_s", 0.1, 3600.0, |o, v| {
        o.backoff_most = Millis::from_secs(v)
    }),
    ("queue", "flush_s", 1.0, 3600.0, |o, v| {
        o.flush = Millis::from_secs(v)
    }),
    ("lease", "lease_s", 2.0, 600.0, |o, v| {
        o.lease = Millis::from_secs(v)
    }),
    ("lease", "stop_before_s", 0.5, 60.0, |o, v| {
        o.stop_before = Millis::from_secs(v)
    }),
    ("lease", "blocks_per_zone", 1.0, 64.0, |o, v| {
        o.blocks_per_zone = v as u32
    }),
    ("fleet", "idle_return_s", 0.0, 86_400.0, |o, v| {
        o.idle_return = Millis::from_secs(v)
    }),
    ("zones", "keep_s", 5.0, 86_400.0, |o, v| {
        o.keep = Millis::from_secs(v)
    }),
    ("zones", "hold_s", 0.0, 86_400.0, |o, v| {
        o.hold = Millis::from_secs(v)
    }),
];

impl Operator {
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        let mut operator = Self::parse(&file, &text)?;
        // It lies beside this file, unless its path says otherwise.
        let beside = |tree| path.parent().unwrap_or(Path::new("")).join(tree);
        operator.tree = operator.tree.map(beside);
        Ok(operator)
    }

    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|e| problem(file, "file", e))?;
        let mut operator = Self::default();
        for (section, entries) in ini.iter() {
            let section = section.unwrap_or("");
            let known = OPERATOR_KEYS.iter().any(|k| k.0 == section) || section == "quota";
            if !section.is_empty() && !known {
                return Err(problem(file, &format!("[{section}]"), "unknown section"));
            }
            for (key, text) in entries.iter() {
                let field = format!("[{section}] {key}");
                if (section, key) == ("quota", "tree") {
                    if text.trim().is_empty() {
                        return Err(problem(file, &field, "must name a file"));
                    }
                    operator.tree = Some(text.trim().into());
                    continue;
                }
                let (_, _, least, most, set) = OPERATOR_KEYS
                    .iter()
                    .find(|k| k.0 == section && k.1 == key)
                    .ok_or_else(|| problem(file, &field, "unknown key"))?;
                let value: f64 = text
                    .trim()
                    .parse()
                    .map_err(|_| problem(file, &field, "must be a number"))?;
                if !(*least..=*most).contains(&value) {
                    let reason = format!("must lie between {least} and {most}");
                    return Err(problem(file, &field, reason));
                }
                set(&mut operator, value);
            }
        }
        if operator.backoff_most < operator.backoff_first {
            let reason = "must not be below backoff_first_s";
            return Err(problem(file, "[queue] backoff_most_s", reason));
        }
        if operator.stop_before.0 * 2 > operator.lease.0 {
            let reason = "must be at most half of lease_s";
            return Err(problem(file, "[lease] stop_before_s", reason));
        }
        Ok(operator)
    }
}

impl Settings {
    pub fn read(config: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        let file = config.display().to_string();
        let text = read_file(config)?;
        let mut settings = Self::parse(&file, &text)?;
        if let Some(path) = operator {
            settings.operator = Operator::read(path)?;
        }
        if let Some(path) = &settings.operator.tree {
            let file = path.display().to_string();
            let text = read_file(path)?;
            settings.take_tree(&file, &text)?;
        }
        Ok(settings)
    }

    /// Reads and checks a tree of nested quotas against the platform's teams.
    pub fn take_tree(&mut self, file: &str, text: &str) -> Result<(), SettingsError> {
        let spec = TreeSpec::parse(file, text)?;
        let teams = &self.deployment.teams;
        let (tree, notes) = spec.build(file, &hierarchical::outers(teams))?;
        let most = (self.deployment.state.value_kb * 1024.0) as usize;
        let bytes = hierarchical::share_bytes(teams, &tree);
        if bytes > most {
            let reason = format!(
                "the shares of all teams and nodes with a limit take {bytes} bytes in a record of \
                 {most} at the most: leave limits out"
            );
            return Err(problem(file, "[node ...] gpus_max, cpus_max", reason));
        }
        let largest = |name: &str| name.len() > 1_000;
        if let Some(node) = spec.nodes.iter().find(|node| largest(&node.name)) {
            let field = format!(
                "[node {}...]",
                &node.name.chars().take(20).collect::<String>()
            );
            return Err(problem(file, &field, "the name is longer than 1,000 bytes"));
        }
        if let Some(team) = teams.iter().find(|t| t.name.as_str().starts_with('#')) {
            let reason = "a tree can't be used beside team names that start with #";
            return Err(problem(file, &format!("team {}", team.name), reason));
        }
        self.tree = Some(spec);
        self.tree_notes = notes;
        Ok(())
    }

    /// How many controllers there are, this one included.
    pub fn controllers(&self) -> usize {
        self.members.len() + 1
    }

    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let mut settings: Self = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let (path, reason) = (e.path().to_string(), e.inner().to_string());
            // A field that is missing has no path of its own: its parent's and its name.
            let missing = reason
                .strip_prefix("missing field `")
                .and_then(|r| r.split('`').next());
            match missing {
                Some(name) if path == "." => problem(file, name, "is missing"),
                Some(name) => problem(file, &format!("{path}.{name}"), "is missing"),
                None => problem(file, &path, reason),
            }
        })?;
        settings.check(file)?;
        let teams = settings.deployment.teams.iter().enumerate();
        settings.team_positions = teams.map(|(at, team)| (team.name.clone(), at)).collect();
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let d = &self.deployment;
        let positive = [
            (
                "deployment.workers.report_s",
                d.workers.heartbeat_interval_s,
            ),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.gang_wait_s", d.workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", d.workers.gang_peer_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.quota.cores", d.quota.cores),
            ("deployment.quota.mem_mb", d.quota.mem_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(problem(file, field, "must be a positive number"));
            }
        }
        if d.zones.is_empty() {
            return Err(problem(file, "deployment.zones", "must not be empty"));
        }
        if d.state.txn_ops < 4 {
            return Err(problem(
                file,
                "deployment.state.txn_ops",
                "must be at least 4",
            ));
        }
        if self.members.iter().any(|m| m.label == self.label) {
            let reason = "must list the other controllers only";
            return Err(problem(file, "members", reason));
        }
        for (index, team) in d.teams.iter().enumerate() {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                let field = format!("deployment.teams[{index}]");
                return Err(problem(file, &field, "amounts must not be negative"));
            }
        }
        Ok(())
    }

    pub fn team(&self, name: &Team) -> Option<&TeamSettings> {
        let position = self.team_positions.get(name)?;
        self.deployment.teams.get(*position)
    }

    /// What is in force, a line each, for `check`.
    pub fn summary(&self) -> String {
        let (d, o) = (&self.deployment, &self.operator);
        let mut out = String::new();
        let mut line = |name: &str, value: String| {
            let _ = writeln!(out, "{name:<24} {value}");
        };
        line("label", self.label.to_string());
        line("zone", self.zone.to_string());
        line("public_addr", self.public_addr.to_string());
        line("peer_bind", self.peer_bind.to_string());
        for member in &self.members {
            let value = format!("{} ({}) {}", member.label, member.zone, member.address);
            line("member", value);
        }
        line("state service", self.outside.state.to_string());
        line("cloud", self.outside.cloud.to_string());
        line(
            "zones",
            d.zones
                .iter()
                .map(|z| z.as_str())
                .collect::<Vec<_>>()
                .join(", "),
        );
        for team in &d.teams {
            let value = format!(
                "{}: {} CPUs and {} GPUs guaranteed, at most {} and {} (0: none)",
                team.name, team.cpus, team.gpus, team.cpus_max, team.gpus_max
            );
            line("team", value);
        }
        line("worker lease", format!("{} s", d.workers.lease_s));
        line(
            "state budget",
            format!(
                "{} requests/s, {} changes/s",
                d.state.rps, d.state.write_rps
            ),
        );
        line("cloud budget", format!("{} requests/s", d.cloud.rps));
        line(
            "back-off",
            format!(
                "{} s doubling to {} s",
                o.backoff_first.secs(),
                o.backoff_most.secs()
            ),
        );
        line("flush", format!("{} s", o.flush.secs()));
        line(
            "lease",
            format!(
                "{} s, no placing in its last {} s",
                o.lease.secs(),
                o.stop_before.secs()
            ),
        );
        line("blocks per zone", o.blocks_per_zone.to_string());
        line(
            "idle machines return",
            format!("after {} s", o.idle_return.secs()),
        );
        if let Some(tree) = &self.tree {
            let state = if tree.enabled { "" } else { ", switched off" };
            let (nodes, revision) = (tree.nodes.len(), tree.revision);
            let value = format!("revision {revision}, {nodes} nodes{state}");
            line("tree of quotas", value);
        }
        for note in &self.tree_notes {
            line("note", note.to_string());
        }
        out
    }
}

#[cfg(test)]
pub(crate) mod tests;
