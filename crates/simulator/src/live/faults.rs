//! Faults, asked for by command or by a plan file.

use std::path::Path;
use std::time::Duration;

use ini::Ini;
use jaspertiller::settings::{SettingsError, problem, read_file};
use jaspertiller::types::{MachineId, Millis};
use serde::{Deserialize, Serialize};

use super::Shared;
use super::controllers::Controllers;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A controller (n0, n1, ...) is killed, and started again when the time is over
    Kill,
    /// A controller is cut off from state service, cloud and workers' heartbeats
    Cut,
    /// The state service is down
    Outage,
    /// The state service answers half a second late
    Slow,
    /// The cloud's interface is down
    Cloud,
    /// A machine (vm-000001, ...) does nothing, then goes on
    Hang,
    /// A machine stops for good
    Stop,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub kind: Kind,
    /// The controller or machine.
    #[serde(default)]
    pub target: String,
    pub for_s: f64,
}

impl Fault {
    fn controller(&self, count: usize) -> Result<usize, String> {
        let index = self.target.strip_prefix('n').and_then(|n| n.parse().ok());
        let known = index.filter(|index| *index < count);
        known.ok_or_else(|| format!("there is no controller {:?}", self.target))
    }

    /// Whether its target can exist and its length makes sense.
    pub fn check(&self, controllers: usize) -> Result<(), String> {
        if !(0.0..=3600.0).contains(&self.for_s) {
            return Err("for_s must lie between 0 and 3600".into());
        }
        match self.kind {
            Kind::Kill | Kind::Cut => self.controller(controllers).map(|_| ()),
            Kind::Hang | Kind::Stop if self.target.is_empty() => Err("names no machine".into()),
            _ => Ok(()),
        }
    }

    /// Carries it out; a killed controller is left to the caller to start again.
    pub fn strike(&self, shared: &Shared, controllers: &mut Controllers) -> Result<(), String> {
        self.check(controllers.addresses.len())?;
        let region = &mut *shared.lock();
        let now = region.now();
        let until = now + Millis::from_secs(self.for_s);
        match self.kind {
            Kind::Kill => controllers.kill(self.controller(controllers.addresses.len())?),
            Kind::Cut => {
                let index = self.controller(controllers.addresses.len())?;
                region.trouble.cut[index] = until;
            }
            Kind::Outage => region.trouble.state = until,
            Kind::Slow => region.trouble.slow = (until, Duration::from_millis(500)),
            Kind::Cloud => region.trouble.cloud = until,
            Kind::Hang | Kind::Stop => {
                let machine_id = MachineId::from(self.target.as_str());
                let machine = region.machines.by_id.get_mut(&machine_id);
                let Some(machine) = machine.filter(|m| m.stopped_at.is_none()) else {
                    return Err(format!("there is no machine {machine_id}"));
                };
                if self.kind == Kind::Hang {
                    machine.hung_until = until;
                } else {
                    region.machines.kill(&machine_id, now);
                }
            }
        }
        Ok(())
    }
}

/// Faults by the time at which they strike.
pub type Plan = Vec<(Millis, Fault)>;

/// Reads a plan: a `[fault NAME]` each, with `at_s`, `kind`, `target` and `for_s`.
pub fn read_plan(path: &Path, controllers: usize) -> Result<Plan, SettingsError> {
    let file = path.display().to_string();
    let text = read_file(path)?;
    parse_plan(&file, &text, controllers)
}

fn parse_plan(file: &str, text: &str, controllers: usize) -> Result<Plan, SettingsError> {
    let problem = |field: &str, reason: String| problem(file, field, reason);
    let ini = Ini::load_from_str(text).map_err(|e| problem("file", e.to_string()))?;
    let mut plan = Plan::new();
    for (section, entries) in ini.iter() {
        let section = section.unwrap_or("");
        if section.is_empty() && entries.is_empty() {
            continue;
        }
        if !section.starts_with("fault") {
            return Err(problem(&format!("[{section}]"), "unknown section".into()));
        }
        let (mut at_s, mut kind) = (None, None);
        let (mut target, mut for_s) = (String::new(), 0.0);
        for (key, text) in entries.iter() {
            let field = format!("[{section}] {key}");
            let number = || match text.trim().parse::<f64>() {
                Ok(number) if (0.0..=86_400.0).contains(&number) => Ok(number),
                _ => Err(problem(&field, "must be a number of seconds".into())),
            };
            match key {
                "at_s" => at_s = Some(number()?),
                "for_s" => for_s = number()?,
                "target" => target = text.trim().into(),
                "kind" => {
                    let text = serde_json::Value::from(text.trim());
                    let known = serde_json::from_value(text);
                    kind = Some(known.map_err(|e| problem(&field, e.to_string()))?);
                }
                _ => return Err(problem(&field, "unknown key".into())),
            }
        }
        let missing = |key: &str| problem(&format!("[{section}] {key}"), "is missing".into());
        let fault = Fault {
            kind: kind.ok_or_else(|| missing("kind"))?,
            target,
            for_s,
        };
        fault
            .check(controllers)
            .map_err(|why| problem(&format!("[{section}]"), why))?;
        let at = at_s.ok_or_else(|| missing("at_s"))?;
        plan.push((Millis::from_secs(at), fault));
    }
    plan.sort_by_key(|(at, _)| *at);
    Ok(plan)
}

#[cfg(test)]
mod tests;
