//! The operator's own settings: an INI file in which every key is optional.

use std::path::{Path, PathBuf};

use ini::Ini;

use super::error::{SettingsError, read_file, settings_error};
use crate::types::Millis;

/// What an operator may tune. The compiled defaults suffice without a file.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Back-off of a job that can't be placed, at first.
    pub backoff_first: Millis,
    /// Upper bound of the back-off, which doubles.
    pub backoff_max: Millis,
    /// Jobs that can't be placed are all tried again after this time, whatever their back-off.
    pub flush: Millis,
    /// Time to live of a controller's lease in the store.
    pub lease: Millis,
    /// A controller places nothing in the last part of its lease, this long.
    pub stop_before: Millis,
    /// Shards into which the machines of each zone are divided.
    pub shards_per_zone: u32,
    /// An idle machine is returned to the cloud after this time.
    pub idle_return: Millis,
    /// How long a controller that can't reach the store keeps its workers' leases.
    pub partition_lease_keep: Millis,
    /// How long the leader leaves the machines of a partitioned zone alone.
    pub partitioned_zone_hold: Millis,
    /// The file with the tree of nested quotas.
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
            idle_return: Millis(20_000),
            partition_lease_keep: Millis(900_000),
            partitioned_zone_hold: Millis(180_000),
            quota_tree_file: None,
        }
    }
}

/// A key with a number as its value.
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

/// The section of the key that names the file of the quota tree.
const TREE_SECTION: &str = "quota";
/// The key that names the file of the quota tree.
const TREE_KEY: &str = "tree";

/// All keys with a number as their value, with the accepted range of each.
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
    /// Reads and checks the file. The path of a quota tree is relative to the file's directory.
    ///
    /// # Errors
    /// The file can't be read, or holds an unknown key or a value that is out of range.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        let mut operator = Self::parse(&file, &text)?;
        let directory = path.parent().unwrap_or(Path::new(""));
        operator.quota_tree_file = operator.quota_tree_file.map(|tree| directory.join(tree));
        Ok(operator)
    }

    /// Reads and checks the text of the file, which errors name as `file`.
    ///
    /// # Errors
    /// The text is no INI, or holds an unknown key or a value that is out of range.
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

    /// What the values must be in relation to each other.
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

/// Keys before the first section are reported one by one, as unknown.
fn is_known_section(section: &str) -> bool {
    section.is_empty()
        || section == TREE_SECTION
        || NUMBER_KEYS.iter().any(|known| known.section == section)
}
