//! Reads a fault plan from an INI file: one section `[fault NAME]` for each fault, with the keys `at_s`, `kind`,
//! `target` and `for_s`.

use std::path::Path;

use ini::{Ini, Properties};
use jaspertiller::settings::{SettingsError, read_file, settings_error};
use jaspertiller::types::Millis;

use super::Fault;

/// Range of a number of seconds in a plan: up to a day.
const SECONDS: std::ops::RangeInclusive<f64> = 0.0..=86_400.0;

/// A fault and the time of its injection.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Time since the start of the run.
    pub at: Millis,
    /// The fault to inject.
    pub fault: Fault,
}

/// Planned faults, sorted by time.
pub type Plan = Vec<PlannedFault>;

/// Reads a plan for a region of `controllers` controllers.
///
/// # Errors
/// The file can't be read, or a section is not a valid fault.
pub fn read_plan(path: &Path, controllers: usize) -> Result<Plan, SettingsError> {
    let file = path.display().to_string();
    let text = read_file(path)?;
    parse_plan(&file, &text, controllers)
}

pub(super) fn parse_plan(
    file: &str,
    text: &str,
    controllers: usize,
) -> Result<Plan, SettingsError> {
    let ini = Ini::load_from_str(text).map_err(|error| settings_error(file, "file", error))?;
    let mut plan = Plan::new();
    for (section, entries) in ini.iter() {
        let section = section.unwrap_or("");
        if section.is_empty() && entries.is_empty() {
            continue;
        }
        if !section.starts_with("fault") {
            return Err(settings_error(
                file,
                &format!("[{section}]"),
                "unknown section",
            ));
        }
        plan.push(parse_fault(file, section, entries, controllers)?);
    }
    plan.sort_by_key(|planned| planned.at);
    Ok(plan)
}

fn parse_fault(
    file: &str,
    section: &str,
    entries: &Properties,
    controllers: usize,
) -> Result<PlannedFault, SettingsError> {
    let (mut at_s, mut kind) = (None, None);
    let (mut target, mut for_s) = (String::new(), 0.0);
    for (key, text) in entries.iter() {
        let field = format!("[{section}] {key}");
        match key {
            "at_s" => at_s = Some(parse_seconds(file, &field, text)?),
            "for_s" => for_s = parse_seconds(file, &field, text)?,
            "target" => target = text.trim().into(),
            "kind" => {
                let parsed = serde_json::from_value(text.trim().into());
                kind = Some(parsed.map_err(|error| settings_error(file, &field, error))?);
            }
            _ => return Err(settings_error(file, &field, "unknown key")),
        }
    }
    let missing = |key: &str| settings_error(file, &format!("[{section}] {key}"), "is missing");
    let fault = Fault {
        kind: kind.ok_or_else(|| missing("kind"))?,
        target,
        for_s,
    };
    let checked = fault.check(controllers);
    checked.map_err(|error| settings_error(file, &format!("[{section}]"), error))?;
    let at = Millis::from_secs(at_s.ok_or_else(|| missing("at_s"))?);
    Ok(PlannedFault { at, fault })
}

fn parse_seconds(file: &str, field: &str, text: &str) -> Result<f64, SettingsError> {
    match text.trim().parse::<f64>() {
        Ok(seconds) if SECONDS.contains(&seconds) => Ok(seconds),
        _ => Err(settings_error(file, field, "must be a number of seconds")),
    }
}
