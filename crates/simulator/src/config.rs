//! Configuration of a simulated cluster, its defaults, and the settings that are generated from it for each controller.

use std::net::SocketAddr;
use std::path::Path;

use ini::Ini;
use jaspertiller::settings::{
    ProcessLimits, SettingsError, TeamSettings, read_file, settings_error,
};
use jaspertiller::types::{MachineTypeId, Millis, Resources, Zone};
use serde_json::{Value, json};

/// Configuration of a simulated cluster; [`Config::default`] is a small one with two zones.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of controllers.
    pub controllers: usize,
    /// Zones of machines and controllers, at least one; controllers are assigned to them in turn.
    pub zones: Vec<Zone>,
    /// Job classes for which the deployment gets a wait objective; empty means no objectives.
    pub classes: Vec<String>,
    /// Teams with their quotas.
    pub teams: Vec<TeamSettings>,
    /// Intervals and timeouts of workers.
    pub timing: Timing,
    /// The only machine type that the cloud offers.
    pub machine_type: MachineType,
    /// Most machines that may be rented at a time.
    pub capacity: u32,
    /// How far the cloud's list of machines lags behind its state.
    pub list_lag: Millis,
    /// Rate and size limits of the store.
    pub state: StateLimits,
    /// Rate limit of the cloud in calls per second.
    pub cloud_rps: f64,
    /// CPU cores, memory and sockets that a controller process may use.
    pub quota: ProcessLimits,
}

/// Intervals and timeouts of workers and jobs.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval at which a worker sends heartbeats.
    pub heartbeat: Millis,
    /// A worker without a response for this long kills its tasks.
    pub lease: Millis,
    /// How long a started gang task waits for the other members before it exits.
    pub gang_wait: Millis,
    /// How long members of a gang may continue after one of them was asked to stop.
    pub gang_peer: Millis,
    /// How long tasks of a job may run after its user was told that it is cancelled.
    pub cancel: Millis,
}

/// A machine type.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// Name of the type, unique within the cloud.
    pub id: MachineTypeId,
    /// Capacity of a machine.
    pub resources: Resources,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Mean time from the rental until the machine is up.
    pub boot: Millis,
}

/// Rate and size limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletions per second.
    pub write_rps: f64,
    /// Size of the largest value in KiB.
    pub value_kb: f64,
    /// Most puts and deletions in one transaction.
    pub txn_ops: usize,
}

/// Returns a team with this GPU guarantee and GPU limit, without guarantee or limit for CPUs; a limit of 0 means none.
pub fn team(name: &str, gpus: f64, gpus_max: f64) -> TeamSettings {
    TeamSettings {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus,
        gpus_max,
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            controllers: 3,
            zones: vec!["a".into(), "b".into()],
            classes: Vec::new(),
            teams: vec![team("small", 4.0, 6.0), team("large", 0.0, 0.0)],
            timing: Timing {
                heartbeat: Millis(1_500),
                lease: Millis(12_000),
                gang_wait: Millis(20_000),
                gang_peer: Millis(3_000),
                cancel: Millis(30_000),
            },
            machine_type: MachineType {
                id: "g4".into(),
                resources: Resources {
                    cpus: 16.0,
                    gpus: 4.0,
                    memory_gb: 64.0,
                },
                fetch_gb_per_s: 1.0,
                boot: Millis(4_000),
            },
            capacity: 10,
            list_lag: Millis(2_000),
            state: StateLimits {
                rps: 100.0,
                write_rps: 50.0,
                value_kb: 8.0,
                txn_ops: 12,
            },
            cloud_rps: 5.0,
            quota: ProcessLimits {
                cores: 0.2,
                mem_mb: 100.0,
                sockets: 1000,
            },
        }
    }
}

/// Stores the value of a key in the configuration.
type Setter = fn(&mut Config, f64);
/// Numeric keys of the configuration file: section, key, smallest and largest value, and setter.
const KEYS: &[(&str, &str, f64, f64, Setter)] = &[
    ("region", "controllers", 1.0, 9.0, |c, v| {
        c.controllers = v as usize
    }),
    ("machines", "capacity", 1.0, 200.0, |c, v| {
        c.capacity = v as u32
    }),
    ("machines", "cpus", 1.0, 1024.0, |c, v| {
        c.machine_type.resources.cpus = v
    }),
    ("machines", "gpus", 0.0, 64.0, |c, v| {
        c.machine_type.resources.gpus = v
    }),
    ("machines", "memory_gb", 1.0, 65_536.0, |c, v| {
        c.machine_type.resources.memory_gb = v
    }),
    ("machines", "boot_s", 0.1, 3600.0, |c, v| {
        c.machine_type.boot = Millis::from_secs(v)
    }),
    ("machines", "fetch_gb_per_s", 0.01, 100.0, |c, v| {
        c.machine_type.fetch_gb_per_s = v
    }),
    ("workers", "report_s", 0.5, 60.0, |c, v| {
        c.timing.heartbeat = Millis::from_secs(v)
    }),
    ("workers", "lease_s", 5.0, 600.0, |c, v| {
        c.timing.lease = Millis::from_secs(v)
    }),
    ("workers", "cancel_s", 10.0, 600.0, |c, v| {
        c.timing.cancel = Millis::from_secs(v)
    }),
    ("state", "rps", 10.0, 100_000.0, |c, v| c.state.rps = v),
    ("state", "write_rps", 10.0, 100_000.0, |c, v| {
        c.state.write_rps = v
    }),
];

/// Selects the field of a team that a key sets.
type TeamField = fn(&mut TeamSettings) -> &mut f64;
/// Keys of a `[team NAME]` section.
const TEAM_KEYS: &[(&str, TeamField)] = &[
    ("cpus", |t| &mut t.cpus),
    ("cpus_max", |t| &mut t.cpus_max),
    ("gpus", |t| &mut t.gpus),
    ("gpus_max", |t| &mut t.gpus_max),
];

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// If the file cannot be read, or for the same reasons as [`Config::parse`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        Self::parse(&file, &text)
    }

    /// Parses the sections `[region]`, `[machines]`, `[workers]`, `[state]`, and a `[team NAME]` for each team. Absent
    /// keys keep their defaults; any team section replaces all default teams. `file` is only used in errors.
    ///
    /// # Errors
    /// If the text is not valid INI, a key is unknown, or a value is outside its range.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let invalid = |field: &str, reason: String| settings_error(file, field, reason);
        let ini = Ini::load_from_str(text).map_err(|e| invalid("file", e.to_string()))?;
        let mut config = Self::default();
        if ini
            .sections()
            .flatten()
            .any(|section| section.starts_with("team "))
        {
            config.teams.clear();
        }
        for (section, entries) in ini.iter() {
            let section = section.unwrap_or("");
            let mut section_team = section
                .strip_prefix("team ")
                .map(|name| team(name.trim(), 0.0, 0.0));
            for (key, text) in entries.iter() {
                let field = format!("[{section}] {key}");
                if section == "region" && key == "zones" {
                    config.zones = text.split_whitespace().map(Zone::from).collect();
                    if config.zones.is_empty() {
                        return Err(invalid(&field, "must name a zone".into()));
                    }
                    continue;
                }
                let value: f64 = text
                    .trim()
                    .parse()
                    .map_err(|_| invalid(&field, "must be a number".into()))?;
                if let Some(team) = &mut section_team {
                    let known = TEAM_KEYS.iter().find(|(name, _)| *name == key);
                    let (_, team_field) =
                        known.ok_or_else(|| invalid(&field, "unknown key".into()))?;
                    if !(0.0..=1e9).contains(&value) {
                        return Err(invalid(&field, "must lie between 0 and 1e9".into()));
                    }
                    *team_field(team) = value;
                    continue;
                }
                let known = KEYS.iter().find(|k| k.0 == section && k.1 == key);
                let (_, _, min, max, set) =
                    known.ok_or_else(|| invalid(&field, "unknown key".into()))?;
                if !(*min..=*max).contains(&value) {
                    return Err(invalid(&field, format!("must lie between {min} and {max}")));
                }
                set(&mut config, value);
            }
            config.teams.extend(section_team);
        }
        Ok(config)
    }

    /// Returns the label of the controller with this index, counted from 0.
    pub fn label(index: usize) -> String {
        format!("n{index}")
    }

    fn zone_of(&self, index: usize) -> &Zone {
        &self.zones[index % self.zones.len()]
    }

    /// Returns the settings JSON of one controller. `addresses` holds the public address and the peer address of each
    /// controller, by index, and must have an entry for all of them.
    pub fn settings(
        &self,
        index: usize,
        addresses: &[(SocketAddr, SocketAddr)],
        cloud: SocketAddr,
        state: SocketAddr,
    ) -> Value {
        let members: Vec<Value> = (0..self.controllers)
            .filter(|i| *i != index)
            .map(|i| {
                json!({"label": Self::label(i), "zone": self.zone_of(i),
                    "address": addresses[i].1.to_string()})
            })
            .collect();
        let teams: Vec<Value> = self
            .teams
            .iter()
            .map(|t| {
                json!({"name": t.name, "cpus": t.cpus, "cpus_max": t.cpus_max,
                    "gpus": t.gpus, "gpus_max": t.gpus_max})
            })
            .collect();
        let classes = self.classes.iter();
        let classes: Vec<Value> = classes
            .map(|class| json!({"kind": "wait", "class": class}))
            .collect();
        let t = &self.timing;
        json!({
            "label": Self::label(index), "zone": self.zone_of(index),
            "public_addr": addresses[index].0.to_string(),
            "peer_bind": addresses[index].1.to_string(), "members": members,
            "outside": {"cloud": cloud.to_string(), "state": state.to_string()},
            "deployment": {"count": self.controllers, "zones": self.zones, "objectives": classes,
                "teams": teams,
                "workers": {"report_s": t.heartbeat.secs(), "lease_s": t.lease.secs(),
                    "gang_wait_s": t.gang_wait.secs(), "gang_peer_s": t.gang_peer.secs(),
                    "cancel_s": t.cancel.secs()},
                "state": {"rps": self.state.rps, "write_rps": self.state.write_rps,
                    "value_kb": self.state.value_kb, "txn_ops": self.state.txn_ops},
                "cloud": {"rps": self.cloud_rps, "list_lag_s": self.list_lag.secs() * 2.0},
                "quota": {"cores": self.quota.cores, "mem_mb": self.quota.mem_mb,
                    "sockets": self.quota.sockets},
                "clock_error_ms": 100.0}
        })
    }
}

#[cfg(test)]
mod tests;
