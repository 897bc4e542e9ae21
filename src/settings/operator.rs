//! The operator's own settings: an INI file in which every key is optional.

use std::path::{Path, PathBuf};

use ini::Ini;

use super::error::{SettingsError, read_file, settings_error};
use crate::types::Millis;
use crate::workers::direct_channel::MAX_UNFENCED_STARTS;

/// The settings that an operator may tune. All of them have defaults, so the file is optional.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Initial back-off of a job that can't be placed.
    pub backoff_first: Millis,
    /// Upper bound of the back-off, which doubles with each failed attempt.
    pub backoff_max: Millis,
    /// Time after which a job that can't be placed is tried again even if no event woke it. A back-off that is not over
    /// yet still has to end first.
    pub flush: Millis,
    /// Time to live of a controller's lease in the store.
    pub lease: Millis,
    /// A controller places no tasks when less than this time remains of its lease.
    pub stop_before: Millis,
    /// Number of shards into which the machines of each zone are divided.
    pub shards_per_zone: u32,
    /// A shard's token is raised once this many starts to one worker were sent directly under it. The worker lists
    /// each of them, with about 60 bytes, in every heartbeat until then.
    pub starts_per_token: u32,
    /// Time after which an idle machine is returned to the cloud.
    pub idle_return: Millis,
    /// How long a controller that can't reach the store keeps its workers' leases.
    pub partition_lease_keep: Millis,
    /// How long the leader deletes no machines of a partitioned zone.
    pub partitioned_zone_hold: Millis,
    /// The file with the tree of nested quotas; none if teams have flat quotas only.
    pub quota_tree_file: Option<PathBuf>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            backoff_first: Millis(1_000),
            backoff_max: Millis(10_000),
            flush: Millis(30_000),
            lease: Millis(5_000),
            stop_before: Millis(1_500),
            shards_per_zone: 2,
            starts_per_token: 32,
            idle_return: Millis(20_000),
            partition_lease_keep: Millis(900_000),
            partitioned_zone_hold: Millis(180_000),
            quota_tree_file: None,
        }
    }
}

/// A key whose value is a number, with the accepted range, both ends included.
struct NumberKey {
    section: &'static str,
    key: &'static str,
    min: f64,
    max: f64,
    set: fn(&mut OperatorSettings, f64),
}

impl NumberKey {
    const fn new(
        (section, key): (&'static str, &'static str),
        (min, max): (f64, f64),
        set: fn(&mut OperatorSettings, f64),
    ) -> Self {
        Self {
            section,
            key,
            min,
            max,
            set,
        }
    }

    fn find(section: &str, key: &str) -> Option<&'static Self> {
        NUMBER_KEYS
            .iter()
            .find(|known| known.section == section && known.key == key)
    }
}

/// Section of [`TREE_KEY`].
const TREE_SECTION: &str = "quota";
/// Key whose value is the path of the quota tree's file.
const TREE_KEY: &str = "tree";

/// All keys whose value is a number.
const NUMBER_KEYS: &[NumberKey] = &[
    NumberKey::new(("queue", "backoff_first_s"), (0.1, 600.0), |o, seconds| {
        o.backoff_first = Millis::from_secs(seconds);
    }),
    NumberKey::new(("queue", "backoff_most_s"), (0.1, 3600.0), |o, seconds| {
        o.backoff_max = Millis::from_secs(seconds);
    }),
    NumberKey::new(("queue", "flush_s"), (1.0, 3600.0), |o, seconds| {
        o.flush = Millis::from_secs(seconds);
    }),
    NumberKey::new(("lease", "lease_s"), (2.0, 600.0), |o, seconds| {
        o.lease = Millis::from_secs(seconds);
    }),
    NumberKey::new(("lease", "stop_before_s"), (0.5, 60.0), |o, seconds| {
        o.stop_before = Millis::from_secs(seconds);
    }),
    NumberKey::new(("lease", "blocks_per_zone"), (1.0, 64.0), |o, count| {
        o.shards_per_zone = count as u32;
    }),
    NumberKey::new(
        ("lease", "starts_per_token"),
        (1.0, MAX_UNFENCED_STARTS as f64),
        |o, count| {
            o.starts_per_token = count as u32;
        },
    ),
    NumberKey::new(("fleet", "idle_return_s"), (0.0, 86_400.0), |o, seconds| {
        o.idle_return = Millis::from_secs(seconds);
    }),
    NumberKey::new(("zones", "keep_s"), (5.0, 86_400.0), |o, seconds| {
        o.partition_lease_keep = Millis::from_secs(seconds);
    }),
    NumberKey::new(("zones", "hold_s"), (0.0, 86_400.0), |o, seconds| {
        o.partitioned_zone_hold = Millis::from_secs(seconds);
    }),
];

impl OperatorSettings {
    /// Reads and validates the file. A relative path of a quota tree is relative to the directory of this file.
    ///
    /// # Errors
    /// The file can't be read, or contains an unknown section or key or an invalid value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        let mut operator = Self::parse(&file, &text)?;
        let directory = path.parent().unwrap_or(Path::new(""));
        operator.quota_tree_file = operator.quota_tree_file.map(|tree| directory.join(tree));
        Ok(operator)
    }

    /// Parses and validates the text of the file. Errors name the text as `file`; the path of a quota tree stays as it
    /// is written.
    ///
    /// # Errors
    /// The text is not valid INI, or contains an unknown section or key or an invalid value.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|error| settings_error(file, "file", error))?;
        let mut operator = Self::default();
        for (section, entries) in ini.iter() {
            let section = section.unwrap_or("");
            if !is_known_section(section) {
                return Err(settings_error(
                    file,
                    &format!("[{section}]"),
                    "unknown section",
                ));
            }
            for (key, text) in entries.iter() {
                operator.set(file, section, key, text)?;
            }
        }
        operator.check(file)?;
        Ok(operator)
    }

    fn set(
        &mut self,
        file: &str,
        section: &str,
        key: &str,
        text: &str,
    ) -> Result<(), SettingsError> {
        let field = format!("[{section}] {key}");
        let text = text.trim();
        if (section, key) == (TREE_SECTION, TREE_KEY) {
            if text.is_empty() {
                return Err(settings_error(file, &field, "must name a file"));
            }
            self.quota_tree_file = Some(text.into());
            return Ok(());
        }
        let known = NumberKey::find(section, key)
            .ok_or_else(|| settings_error(file, &field, "unknown key"))?;
        let value: f64 = text
            .parse()
            .map_err(|_| settings_error(file, &field, "must be a number"))?;
        let NumberKey { min, max, .. } = known;
        if !(*min..=*max).contains(&value) {
            let reason = format!("must lie between {min} and {max}");
            return Err(settings_error(file, &field, reason));
        }
        (known.set)(self, value);
        Ok(())
    }

    /// Checks the values against each other.
    fn check(&self, file: &str) -> Result<(), SettingsError> {
        if self.backoff_max < self.backoff_first {
            let reason = "must not be below backoff_first_s";
            return Err(settings_error(file, "[queue] backoff_most_s", reason));
        }
        if self.stop_before.0 * 2 > self.lease.0 {
            let reason = "must be at most half of lease_s";
            return Err(settings_error(file, "[lease] stop_before_s", reason));
        }
        Ok(())
    }
}

/// Whether the section may appear in the file. The empty section, of keys before the first header, is accepted here so
/// that its keys are reported one by one as unknown.
fn is_known_section(section: &str) -> bool {
    section.is_empty()
        || section == TREE_SECTION
        || NUMBER_KEYS.iter().any(|known| known.section == section)
}
