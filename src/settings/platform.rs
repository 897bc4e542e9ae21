//! The platform's settings: a JSON file with the identity of this controller, the addresses of all other components,
//! and the limits and objectives of the deployment.

use std::net::SocketAddr;

use hierarchical_quota::{TreeNote, TreeSpec};
use rustc_hash::FxHashMap as HashMap;
use serde::Deserialize;

use super::error::{SettingsError, settings_error};
use super::operator::OperatorSettings;
use crate::types::{ControllerId, Team, Zone};

/// All settings of a controller. Fields of the file that are not listed here are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller.
    pub label: ControllerId,
    /// The zone in which it runs.
    pub zone: Zone,
    /// Where it serves users, workers and health checks.
    pub public_addr: SocketAddr,
    /// Where it accepts connections of the other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub members: Vec<Member>,
    /// The services that it calls.
    #[serde(rename = "outside")]
    pub endpoints: Endpoints,
    /// What is the same for all controllers.
    pub deployment: Deployment,
    /// The operator's settings; the defaults without a file.
    #[serde(skip)]
    pub operator: OperatorSettings,
    /// The tree of nested quotas, from the file that the operator's settings name.
    #[serde(skip)]
    pub quota_tree: Option<TreeSpec>,
    /// Findings in the tree that the operator should know of, but that do not keep it from being used.
    #[serde(skip)]
    pub tree_notes: Vec<TreeNote>,
    /// Index of each team in the deployment's list.
    #[serde(skip)]
    team_positions: HashMap<Team, usize>,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its label.
    pub label: ControllerId,
    /// The zone in which it runs.
    pub zone: Zone,
    /// Where it accepts connections of controllers.
    pub address: SocketAddr,
}

/// Addresses of the services that a controller calls.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// What is the same for all controllers of a deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// Number of controllers that the platform runs.
    pub count: u32,
    /// All zones; at least one.
    pub zones: Vec<Zone>,
    /// All teams, with what they are guaranteed.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Times of the workers' protocol.
    pub workers: WorkerTimings,
    /// Limits of the store.
    pub state: StoreLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Limits of this process.
    #[serde(rename = "quota")]
    pub process_limits: ProcessLimits,
    /// Bound on the error of clocks between controllers and workers, in milliseconds.
    pub clock_error_ms: f64,
}

/// A team's guarantees and limits.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    /// The team, as jobs name it.
    pub name: Team,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Limit of CPUs; 0 for none.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Limit of GPUs; 0 for none.
    pub gpus_max: f64,
}

impl TeamSettings {
    /// Whether the team has a limit.
    #[must_use]
    pub fn has_limit(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What it measures.
    pub kind: String,
    /// The job class to which it applies, if to one only.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which it is to be met, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Part of the cases in which it is to be met, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Times of the workers' protocol, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// Time between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// A worker stops its tasks after this time without a response from a controller.
    pub lease_s: f64,
    /// A gang's task that was started waits this long for the others of its gang.
    pub gang_wait_s: f64,
    /// A gang's tasks must all be stopped within this time after one of them was lost.
    pub gang_peer_s: f64,
    /// A cancelled task must be stopped within this time.
    pub cancel_s: f64,
}

/// Limits of the store, for all controllers together.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most conditions and changes of a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests a second, for all controllers together.
    pub rps: f64,
    /// A list may be out of date by this much, in seconds.
    pub list_lag_s: f64,
}

/// Limits that the platform sets for this process.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// CPU cores.
    pub cores: f64,
    /// Memory, in MB.
    pub mem_mb: f64,
    /// Open sockets.
    pub sockets: usize,
}

/// Least `txn_ops` that is accepted, in conditions and changes.
const MIN_TRANSACTION_OPS: usize = 4;

impl Settings {
    /// Reads and checks the text of the platform's file, which errors name as `file`. The operator's settings are
    /// the defaults, and there is no quota tree.
    ///
    /// # Errors
    /// The text is no JSON, or a field is missing, of the wrong type or out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let mut settings: Self =
            serde_path_to_error::deserialize(&mut json).map_err(|error| describe(file, &error))?;
        settings.check(file)?;
        let teams = settings.deployment.teams.iter().enumerate();
        settings.team_positions = teams.map(|(at, team)| (team.name.clone(), at)).collect();
        Ok(settings)
    }

    /// Number of controllers, this one included.
    #[must_use]
    pub fn controllers(&self) -> usize {
        self.members.len() + 1
    }

    /// The team of this name, if the platform's file lists it.
    #[must_use]
    pub fn team(&self, name: &Team) -> Option<&TeamSettings> {
        let position = self.team_positions.get(name)?;
        self.deployment.teams.get(*position)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        self.deployment.check_positive(file)?;
        if self.deployment.zones.is_empty() {
            return Err(settings_error(
                file,
                "deployment.zones",
                "must not be empty",
            ));
        }
        if self.deployment.state.txn_ops < MIN_TRANSACTION_OPS {
            let reason = format!("must be at least {MIN_TRANSACTION_OPS}");
            return Err(settings_error(file, "deployment.state.txn_ops", reason));
        }
        if self.members.iter().any(|member| member.label == self.label) {
            let reason = "must list the other controllers only";
            return Err(settings_error(file, "members", reason));
        }
        self.deployment.check_teams(file)
    }
}

impl Deployment {
    fn check_positive(&self, file: &str) -> Result<(), SettingsError> {
        let Self {
            workers,
            state,
            cloud,
            process_limits,
            ..
        } = self;
        let positive = [
            ("workers.report_s", workers.heartbeat_interval_s),
            ("workers.lease_s", workers.lease_s),
            ("workers.gang_wait_s", workers.gang_wait_s),
            ("workers.gang_peer_s", workers.gang_peer_s),
            ("workers.cancel_s", workers.cancel_s),
            ("state.rps", state.rps),
            ("state.write_rps", state.write_rps),
            ("state.value_kb", state.value_kb),
            ("cloud.rps", cloud.rps),
            ("quota.cores", process_limits.cores),
            ("quota.mem_mb", process_limits.mem_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                let field = format!("deployment.{field}");
                return Err(settings_error(file, &field, "must be a positive number"));
            }
        }
        Ok(())
    }

    fn check_teams(&self, file: &str) -> Result<(), SettingsError> {
        for (index, team) in self.teams.iter().enumerate() {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                let field = format!("deployment.teams[{index}]");
                return Err(settings_error(file, &field, "amounts must not be negative"));
            }
        }
        Ok(())
    }
}

/// Names the field at which reading failed.
fn describe(file: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> SettingsError {
    let (path, reason) = (error.path().to_string(), error.inner().to_string());
    // A missing field has no path of its own: the path is its parent's, and its name is in the message only.
    let missing = reason
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    match missing {
        Some(name) if path == "." => settings_error(file, name, "is missing"),
        Some(name) => settings_error(file, &format!("{path}.{name}"), "is missing"),
        None => settings_error(file, &path, reason),
    }
}
