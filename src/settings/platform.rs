//! The platform's settings: a JSON file with the identity of this controller, the addresses of the other components,
//! and the limits and objectives of the deployment.

use std::net::SocketAddr;

use hierarchical_quota::{TreeNote, TreeSpec};
use rustc_hash::FxHashMap as HashMap;
use serde::Deserialize;

use super::error::{SettingsError, settings_error};
use super::operator::OperatorSettings;
use crate::types::{ControllerId, Team, Zone};

/// All settings of a controller. Unknown fields of the platform's file are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The label of this controller, which identifies it among all controllers of the deployment.
    pub label: ControllerId,
    /// The zone in which this controller runs.
    pub zone: Zone,
    /// The address on which this controller serves users, workers and health checks.
    pub public_addr: SocketAddr,
    /// The address on which this controller accepts connections of the other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers, without this one.
    pub members: Vec<Member>,
    /// The addresses of the services that this controller calls.
    #[serde(rename = "outside")]
    pub endpoints: Endpoints,
    /// The settings that all controllers share.
    pub deployment: Deployment,
    /// The operator's settings; the defaults if there is no operator's file.
    #[serde(skip)]
    pub operator: OperatorSettings,
    /// The tree of nested quotas, from the file that the operator's settings name; none if they name no file.
    #[serde(skip)]
    pub quota_tree: Option<TreeSpec>,
    /// Warnings about the tree for the operator, which do not prevent its use.
    #[serde(skip)]
    pub tree_notes: Vec<TreeNote>,
    /// The index of each team in the deployment's list.
    #[serde(skip)]
    team_positions: HashMap<Team, usize>,
}

/// Another controller of the deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// The label of the controller.
    pub label: ControllerId,
    /// The zone in which the controller runs.
    pub zone: Zone,
    /// The address on which the controller accepts connections of other controllers.
    pub address: SocketAddr,
}

/// Addresses of the services that a controller calls.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// The address of the cloud's API.
    pub cloud: SocketAddr,
    /// The address of the store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// The settings that all controllers of a deployment share.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// Number of controllers that the platform runs.
    pub count: u32,
    /// All zones; at least one.
    pub zones: Vec<Zone>,
    /// All teams, with their guarantees and limits.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of the worker protocol.
    pub workers: WorkerTimings,
    /// Limits of the store.
    pub state: StoreLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Limits of each controller process.
    #[serde(rename = "quota")]
    pub process_limits: ProcessLimits,
    /// Upper bound of the clock error between controllers and workers, in milliseconds.
    pub clock_error_ms: f64,
}

/// A team's guarantees and limits.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    /// The name of the team, as jobs refer to it.
    pub name: Team,
    /// Guaranteed CPU cores.
    pub cpus: f64,
    /// Limit of CPU cores; 0 for no limit.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Limit of GPUs; 0 for no limit.
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
    /// The measure that the objective bounds, such as `first_start` or `cost`.
    pub kind: String,
    /// The job class to which the objective applies; none for all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which the objective is to be met, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Fraction of the cases in which the objective is to be met, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Intervals and timeouts of the worker protocol, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// Time between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without a response from a controller after which a worker stops its tasks.
    pub lease_s: f64,
    /// How long a started task of a gang waits for the other tasks of the gang.
    pub gang_wait_s: f64,
    /// Time after the loss of one task of a gang within which all of its tasks must be stopped.
    pub gang_peer_s: f64,
    /// Time within which a cancelled task must be stopped.
    pub cancel_s: f64,
}

/// Limits of the store, for all controllers together.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of conditions and changes together in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, for all controllers together.
    pub rps: f64,
    /// Maximum staleness of a list response, in seconds.
    pub list_lag_s: f64,
}

/// Limits that the platform sets for each controller process.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// CPU cores.
    pub cores: f64,
    /// Memory, in MB.
    pub mem_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

/// Smallest accepted `txn_ops`, in conditions and changes together.
const MIN_TRANSACTION_OPS: usize = 4;

impl Settings {
    /// Parses and validates the text of the platform's file, which errors name as `file`. The result has the default
    /// operator's settings and no quota tree.
    ///
    /// # Errors
    /// The text is not valid JSON, or a field is missing, of the wrong type or out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let mut settings: Self = serde_path_to_error::deserialize(&mut json)
            .map_err(|error| parse_error(file, &error))?;
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

    /// Returns the settings of a team; none if the platform's file does not list the team.
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

/// Creates the error for the field at which parsing failed.
fn parse_error(file: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> SettingsError {
    let (path, reason) = (error.path().to_string(), error.inner().to_string());
    // For a missing field, the path is that of its parent, and the name of the field is only in the message.
    let missing_field = reason
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    match missing_field {
        Some(name) if path == "." => settings_error(file, name, "is missing"),
        Some(name) => settings_error(file, &format!("{path}.{name}"), "is missing"),
        None => settings_error(file, &path, reason),
    }
}
