//! Settings of a scale run, read from an INI file and flags, and the region configuration derived from them.

use std::path::Path;

use ini::Ini;
use jaspertiller::settings::{SettingsError, TeamSettings, read_file, settings_error};
use jaspertiller::types::{Millis, Resources, Zone};

use crate::config::{Config, StateLimits, team};

/// The full capacity target, as in `docs/CAPACITY.md`.
const TARGET: ScaleSettings = ScaleSettings {
    machines: 6_900,
    accelerators: 15_000,
    controllers: 13,
    zones: 16,
    teams: 460,
    tasks: 28_000,
    burst_starts: 4_400,
    burst_s: 5,
    gang: 256,
    seconds: 180,
    seed: 1,
    state_requests: 8_000,
    state_changes: 3_000,
    state_value_kb: 16,
    faults: true,
};
/// Smallest number of controllers of a scaled target, because no deployment has fewer.
const MIN_CONTROLLERS: u64 = 3;
/// Smallest number of zones of a scaled target, because one zone fails during the run.
const MIN_ZONES: u64 = 2;
/// CPUs of a machine: enough for four tasks of the base load and, beside them, tasks of a burst.
const MACHINE_CPUS: f64 = 20.0;
/// Memory of a machine: more than its tasks request, so that CPUs are the scarce resource.
const MACHINE_MEMORY_GB: f64 = 128.0;

/// Size, load and rate limits of a scale run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleSettings {
    /// Number of machines that the cloud can provide.
    pub machines: u64,
    /// Total number of GPUs of all machines.
    pub accelerators: u64,
    /// Number of controller processes.
    pub controllers: u64,
    /// Number of zones over which machines and controllers are spread.
    pub zones: u64,
    /// Number of teams that submit jobs.
    pub teams: u64,
    /// Number of running tasks of the base load, without the burst.
    pub tasks: u64,
    /// Task starts per second that the burst requests.
    pub burst_starts: u64,
    /// Length of the burst in seconds.
    pub burst_s: u64,
    /// Number of tasks of the largest gang, which must fit in one zone.
    pub gang: u64,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Seed of the load and of the simulated region.
    pub seed: u64,
    /// Rate limit of the store in requests per second.
    pub state_requests: u64,
    /// Rate limit of the store in changes per second.
    pub state_changes: u64,
    /// Largest value that the store accepts, in kilobytes: the quota allocations of 230 teams with limits need
    /// more than 8.
    pub state_value_kb: u64,
    /// Whether controllers are killed and a zone fails during the run.
    pub faults: bool,
}

impl Default for ScaleSettings {
    fn default() -> Self {
        Self {
            machines: 60,
            accelerators: 130,
            controllers: 3,
            zones: 3,
            teams: 6,
            tasks: 200,
            burst_starts: 40,
            gang: 8,
            seconds: 90,
            state_requests: 600,
            state_changes: 200,
            ..TARGET
        }
    }
}

/// A key of the section `[scale]`.
struct Key {
    name: &'static str,
    min: u64,
    max: u64,
    field: fn(&mut ScaleSettings) -> &mut u64,
}

const fn key(
    name: &'static str,
    min: u64,
    max: u64,
    field: fn(&mut ScaleSettings) -> &mut u64,
) -> Key {
    Key {
        name,
        min,
        max,
        field,
    }
}

/// All keys of the section `[scale]`, with their smallest and largest values.
const KEYS: &[Key] = &[
    key("machines", 1, 20_000, |s| &mut s.machines),
    key("accelerators", 1, 160_000, |s| &mut s.accelerators),
    key("controllers", 1, 99, |s| &mut s.controllers),
    key("zones", 1, 64, |s| &mut s.zones),
    key("teams", 1, 5_000, |s| &mut s.teams),
    key("tasks", 1, 200_000, |s| &mut s.tasks),
    key("burst_starts", 1, 20_000, |s| &mut s.burst_starts),
    key("burst_s", 1, 60, |s| &mut s.burst_s),
    key("gang", 1, 1_024, |s| &mut s.gang),
    key("seconds", 30, 600, |s| &mut s.seconds),
    key("seed", 0, u64::MAX, |s| &mut s.seed),
    key("state_requests", 50, 1_000_000, |s| &mut s.state_requests),
    key("state_changes", 20, 1_000_000, |s| &mut s.state_changes),
    key("state_value_kb", 1, 1_024, |s| &mut s.state_value_kb),
];
/// The only section of the file.
const SECTION: &str = "scale";
/// Maximum number of processes of a run: its controllers and this process.
const MAX_PROCESSES: u64 = 100;

impl ScaleSettings {
    /// The target with its counts and store rates multiplied by `fraction`, each at least 1. Times are kept, and
    /// the largest gang too, up to half of the machines.
    #[must_use]
    pub fn fraction_of_target(fraction: f64) -> Self {
        let scaled = |count: u64| ((count as f64 * fraction).round() as u64).max(1);
        Self {
            machines: scaled(TARGET.machines),
            accelerators: scaled(TARGET.accelerators),
            controllers: scaled(TARGET.controllers).max(MIN_CONTROLLERS),
            zones: scaled(TARGET.zones).max(MIN_ZONES),
            teams: scaled(TARGET.teams),
            tasks: scaled(TARGET.tasks),
            burst_starts: scaled(TARGET.burst_starts),
            state_requests: scaled(TARGET.state_requests),
            state_changes: scaled(TARGET.state_changes),
            gang: TARGET.gang.min(scaled(TARGET.machines) / 2),
            ..TARGET
        }
    }

    /// Overwrites the settings with those of a file's section `[scale]`.
    ///
    /// # Errors
    /// The file can't be read, or has an unknown key or an invalid value.
    pub fn read(&mut self, path: &Path) -> Result<(), SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        self.apply_ini(&file, &text)
    }

    /// Overwrites the settings with those of an INI text; `file` is its name in errors.
    ///
    /// # Errors
    /// The text is not valid INI, or has an unknown key or an invalid value.
    pub fn apply_ini(&mut self, file: &str, text: &str) -> Result<(), SettingsError> {
        let ini =
            Ini::load_from_str(text).map_err(|e| settings_error(file, "file", e.to_string()))?;
        for (section, entries) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, text) in entries.iter() {
                let field = format!("[{section}] {key}");
                if section != SECTION || !KEYS.iter().any(|known| known.name == key) {
                    return Err(settings_error(file, &field, "unknown key"));
                }
                let value = text.trim().parse();
                let value =
                    value.map_err(|_| settings_error(file, &field, "must be a whole number"))?;
                self.set(file, key, value)?;
            }
        }
        Ok(())
    }

    /// Sets one key; `file` names the source of the value in errors.
    ///
    /// # Errors
    /// The key is unknown, or the value is outside the key's bounds.
    pub fn set(&mut self, file: &str, key: &str, value: u64) -> Result<(), SettingsError> {
        let field = format!("[{SECTION}] {key}");
        let known = KEYS.iter().find(|known| known.name == key);
        let known = known.ok_or_else(|| settings_error(file, &field, "unknown key"))?;
        let (min, max) = (known.min, known.max);
        if !(min..=max).contains(&value) {
            let reason = format!("must lie between {min} and {max}");
            return Err(settings_error(file, &field, reason));
        }
        *(known.field)(self) = value;
        Ok(())
    }

    /// Checks that the counts are consistent with each other; `file` names their source in errors.
    ///
    /// # Errors
    /// There are too many processes, too many tasks for the machines, or a zone is smaller than the gang.
    pub fn check(&self, file: &str) -> Result<(), SettingsError> {
        let reject = |key: &str, reason: String| {
            Err(settings_error(file, &format!("[{SECTION}] {key}"), reason))
        };
        let processes = self.controllers + 1;
        if processes > MAX_PROCESSES {
            let reason = format!("{processes} processes; {MAX_PROCESSES} at most");
            return reject("controllers", reason);
        }
        let max_tasks = (self.machines as f64 * MACHINE_CPUS / super::load::MEAN_CPUS) as u64;
        if self.tasks > max_tasks {
            let reason = format!("{} machines have room for {max_tasks}", self.machines);
            return reject("tasks", reason);
        }
        let zone_machines = self.machines / self.zones;
        if self.gang > zone_machines {
            let reason = format!("must fit in one zone, which has {zone_machines} machines");
            return reject("gang", reason);
        }
        Ok(())
    }

    /// Mean number of GPUs of a machine.
    pub(super) fn gpus_per_machine(&self) -> f64 {
        self.accelerators as f64 / self.machines as f64
    }

    /// Settings of the teams: an equal share of the GPUs is guaranteed to each, and every other team has a limit
    /// well above its guarantee.
    fn team_settings(&self) -> Vec<TeamSettings> {
        let guaranteed = self.accelerators as f64 / self.teams as f64;
        let limit = (guaranteed * 8.0).max(64.0);
        let teams = (0..self.teams).map(|index| {
            // 0 means no limit.
            let limit = if index % 2 == 0 { 0.0 } else { limit };
            team(&team_name(index), guaranteed, limit)
        });
        teams.collect()
    }

    /// The configuration of the simulated region. Timing, and the resource quotas of a controller, are those of
    /// the target.
    #[must_use]
    pub fn config(&self) -> Config {
        let zones = (0..self.zones).map(|zone| Zone::from(format!("zone-{zone:02}")));
        let classes = super::load::CLASSES.map(|class| class.name().to_string());
        let mut config = Config {
            controllers: self.controllers as usize,
            zones: zones.collect(),
            classes: classes.to_vec(),
            teams: self.team_settings(),
            capacity: self.machines as u32,
            list_lag: Millis(4_000),
            state: StateLimits {
                rps: self.state_requests as f64,
                write_rps: self.state_changes as f64,
                value_kb: self.state_value_kb as f64,
                txn_ops: 12,
            },
            ..Config::default()
        };
        config.timing.heartbeat = Millis(5_000);
        config.timing.lease = Millis(26_000);
        config.timing.gang_wait = Millis(35_000);
        config.timing.gang_peer = Millis(5_000);
        config.timing.cancel = Millis(46_000);
        config.machine_type.resources = Resources {
            cpus: MACHINE_CPUS,
            gpus: self.gpus_per_machine(),
            memory_gb: MACHINE_MEMORY_GB,
        };
        config.machine_type.boot = Millis(2_000);
        config.machine_type.fetch_gb_per_s = 2.0;
        config.cloud_rps = 20.0;
        config.quota.sockets = 16_000;
        config.quota.cores = 1.0;
        config.quota.mem_mb = 1_000.0;
        config
    }
}

/// The name of the team with an index, with leading zeros up to three digits.
pub(super) fn team_name(index: u64) -> String {
    format!("team-{index:03}")
}

#[cfg(test)]
mod tests;
