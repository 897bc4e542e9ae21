//! What a scale run plays, read from INI and flags, and the region it makes of it.

use std::path::Path;

use ini::Ini;
use jaspertiller::settings::{SettingsError, problem, read_file};
use jaspertiller::types::{Millis, Resources, Zone};

use crate::config::{Config, StateLimits, team};

/// The operators' target, at part 1 (`docs/CAPACITY.md`).
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
/// A deployment has at least so many controllers.
const LEAST_CONTROLLERS: u64 = 3;
/// Processors of a machine: room for four tasks of the standing load, and for a burst beside them.
const CPUS: f64 = 20.0;
const MEMORY_GB: f64 = 128.0;

/// Counts and rates of a scale run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleSettings {
    pub machines: u64,
    pub accelerators: u64,
    pub controllers: u64,
    pub zones: u64,
    pub teams: u64,
    /// Tasks that run when nothing bursts.
    pub tasks: u64,
    /// Task starts a second that a burst asks for, and for how many seconds.
    pub burst_starts: u64,
    pub burst_s: u64,
    /// Tasks of the largest gang.
    pub gang: u64,
    pub seconds: u64,
    pub seed: u64,
    /// What the state service grants a second.
    pub state_requests: u64,
    pub state_changes: u64,
    /// The largest value that it takes: shares of 230 teams with limits need more than 8 KiB.
    pub state_value_kb: u64,
    /// Whether controllers are killed and a zone is lost.
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

type Field = fn(&mut ScaleSettings) -> &mut u64;

/// Keys of the section `[scale]`: name, smallest and largest value, and where it goes.
const KEYS: &[(&str, u64, u64, Field)] = &[
    ("machines", 1, 20_000, |s| &mut s.machines),
    ("accelerators", 1, 160_000, |s| &mut s.accelerators),
    ("controllers", 1, 99, |s| &mut s.controllers),
    ("zones", 1, 64, |s| &mut s.zones),
    ("teams", 1, 5_000, |s| &mut s.teams),
    ("tasks", 1, 200_000, |s| &mut s.tasks),
    ("burst_starts", 1, 20_000, |s| &mut s.burst_starts),
    ("burst_s", 1, 60, |s| &mut s.burst_s),
    ("gang", 1, 1_024, |s| &mut s.gang),
    ("seconds", 30, 600, |s| &mut s.seconds),
    ("seed", 0, u64::MAX, |s| &mut s.seed),
    ("state_requests", 50, 1_000_000, |s| &mut s.state_requests),
    ("state_changes", 20, 1_000_000, |s| &mut s.state_changes),
    ("state_value_kb", 1, 1_024, |s| &mut s.state_value_kb),
];
const SECTION: &str = "scale";
/// A controller and this program: no run has more processes.
const MOST_PROCESSES: u64 = 100;

impl ScaleSettings {
    /// A part of the operators' target: all counts but those of the gang and of time.
    pub fn part_of_target(part: f64) -> Self {
        let scaled = |count: u64| ((count as f64 * part).round() as u64).max(1);
        Self {
            machines: scaled(TARGET.machines),
            accelerators: scaled(TARGET.accelerators),
            controllers: scaled(TARGET.controllers).max(LEAST_CONTROLLERS),
            zones: scaled(TARGET.zones).max(2),
            teams: scaled(TARGET.teams),
            tasks: scaled(TARGET.tasks),
            burst_starts: scaled(TARGET.burst_starts),
            state_requests: scaled(TARGET.state_requests),
            state_changes: scaled(TARGET.state_changes),
            gang: TARGET.gang.min(scaled(TARGET.machines) / 2),
            ..TARGET
        }
    }

    /// Reads the section `[scale]` of a file over what is set.
    pub fn read(&mut self, path: &Path) -> Result<(), SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        self.take_ini(&file, &text)
    }

    /// The same from text.
    pub fn take_ini(&mut self, file: &str, text: &str) -> Result<(), SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|e| problem(file, "file", e.to_string()))?;
        for (section, entries) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, text) in entries.iter() {
                let field = format!("[{section}] {key}");
                let known = KEYS
                    .iter()
                    .find(|known| section == SECTION && known.0 == key);
                if known.is_none() {
                    return Err(problem(file, &field, "unknown key"));
                }
                let value = text.trim().parse();
                let value = value.map_err(|_| problem(file, &field, "must be a whole number"))?;
                self.set(file, key, value)?;
            }
        }
        Ok(())
    }

    /// Sets one key, within its bounds.
    pub fn set(&mut self, file: &str, key: &str, value: u64) -> Result<(), SettingsError> {
        let field = format!("[{SECTION}] {key}");
        let known = KEYS.iter().find(|known| known.0 == key);
        let (_, least, most, slot) = known.ok_or_else(|| problem(file, &field, "unknown key"))?;
        if !(*least..=*most).contains(&value) {
            let reason = format!("must lie between {least} and {most}");
            return Err(problem(file, &field, reason));
        }
        *slot(self) = value;
        Ok(())
    }

    /// Whether the counts go together.
    pub fn check(&self, file: &str) -> Result<(), SettingsError> {
        let refuse =
            |key: &str, reason: String| Err(problem(file, &format!("[{SECTION}] {key}"), reason));
        if self.controllers + 1 > MOST_PROCESSES {
            let reason = format!(
                "{} processes; {MOST_PROCESSES} at most",
                self.controllers + 1
            );
            return refuse("controllers", reason);
        }
        let resources = (self.machines as f64 * CPUS / super::load::MEAN_CPUS) as u64;
        if self.tasks > resources {
            let reason = format!("{} machines have room for {resources}", self.machines);
            return refuse("tasks", reason);
        }
        if self.gang > self.machines / self.zones {
            let each = self.machines / self.zones;
            let reason = format!("must fit in one zone, which has {each} machines");
            return refuse("gang", reason);
        }
        Ok(())
    }

    pub(super) fn gpus_a_machine(&self) -> f64 {
        self.accelerators as f64 / self.machines as f64
    }

    /// The region that is played.
    pub fn config(&self) -> Config {
        let zones = (0..self.zones).map(|zone| Zone::from(format!("zone-{zone:02}")));
        let teams = (0..self.teams).map(|index| {
            // Every other team has a limit, well above its part.
            let part = self.accelerators as f64 / self.teams as f64;
            let most = if index % 2 == 0 {
                0.0
            } else {
                (part * 8.0).max(64.0)
            };
            team(&team_name(index), part, most)
        });
        let mut config = Config {
            controllers: self.controllers as usize,
            zones: zones.collect(),
            classes: super::load::CLASSES.iter().map(|c| c.to_string()).collect(),
            teams: teams.collect(),
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
            cpus: CPUS,
            gpus: self.gpus_a_machine(),
            memory_gb: MEMORY_GB,
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

pub(super) fn team_name(index: u64) -> String {
    format!("team-{index:03}")
}

#[cfg(test)]
mod tests;
