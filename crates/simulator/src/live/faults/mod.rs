//! Faults of the live region: their kinds, their validation and their injection.
//!
//! `plan` reads faults from a file, `injector` injects them at their times and restarts killed controllers.

mod injector;
mod plan;

use std::fmt;
use std::time::Duration;

use jaspertiller::types::{MachineId, Millis};
use serde::{Deserialize, Serialize};

use super::controllers::Controllers;
use super::{SharedRegion, Slowdown};

pub use injector::FaultInjector;
#[cfg(test)]
use plan::parse_plan;
pub use plan::{Plan, PlannedFault, read_plan};

/// Range of a fault's duration in seconds.
const DURATION_S: std::ops::RangeInclusive<f64> = 0.0..=3600.0;
/// Response delay of a slow store. The daemon must tolerate it without losing its leases.
const STORE_DELAY: Duration = Duration::from_millis(500);

/// The kind of a fault. The comments of the variants are shown as command-line help.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A controller (n0, n1, ...) is killed, and restarted at the end of the fault
    Kill,
    /// A controller is cut off from state service, cloud and workers' heartbeats
    Cut,
    /// The state service is down
    Outage,
    /// The state service delays its responses by half a second
    Slow,
    /// The cloud's API is down
    Cloud,
    /// A machine (vm-000001, ...) hangs, and resumes at the end of the fault
    Hang,
    /// A machine stops permanently
    Stop,
}

/// A fault with its target and duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: Kind,
    /// Name of the controller or ID of the machine; ignored by kinds without a target.
    #[serde(default)]
    pub target: String,
    /// Duration in seconds; without effect on [`Kind::Stop`].
    pub for_s: f64,
}

/// Why a fault can't be injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultError {
    /// The region has no controller with the target's name.
    UnknownController(String),
    /// No machine with the target's ID is up.
    UnknownMachine(MachineId),
    /// The kind needs a machine, and the target is empty.
    MissingMachine,
    /// The duration is out of bounds.
    Duration,
}

impl fmt::Display for FaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownController(target) => write!(f, "there is no controller {target:?}"),
            Self::UnknownMachine(machine_id) => write!(f, "there is no machine {machine_id}"),
            Self::MissingMachine => f.write_str("names no machine"),
            Self::Duration => {
                let (shortest, longest) = (DURATION_S.start(), DURATION_S.end());
                write!(f, "for_s must lie between {shortest} and {longest}")
            }
        }
    }
}

impl std::error::Error for FaultError {}

impl Fault {
    /// Index of the target controller in a region of `count` controllers.
    fn controller(&self, count: usize) -> Result<usize, FaultError> {
        let index = self.target.strip_prefix('n');
        let index = index.and_then(|index| index.parse().ok());
        let known = index.filter(|index| *index < count);
        known.ok_or_else(|| FaultError::UnknownController(self.target.clone()))
    }

    /// Checks the duration, and that the target can exist in a region of `controllers` controllers. Whether a
    /// machine exists is only checked on injection.
    ///
    /// # Errors
    /// The duration is out of bounds, the controller is unknown, or the machine is not named.
    pub fn check(&self, controllers: usize) -> Result<(), FaultError> {
        if !DURATION_S.contains(&self.for_s) {
            return Err(FaultError::Duration);
        }
        match self.kind {
            Kind::Kill | Kind::Cut => self.controller(controllers).map(|_| ()),
            Kind::Hang | Kind::Stop if self.target.is_empty() => Err(FaultError::MissingMachine),
            _ => Ok(()),
        }
    }

    /// Injects the fault. Returns the index of a killed controller, which the caller must restart.
    ///
    /// # Errors
    /// The fault does not pass [`Fault::check`], or its machine is not up.
    pub fn inject(
        &self,
        shared: &SharedRegion,
        controllers: &mut Controllers,
    ) -> Result<Option<usize>, FaultError> {
        let count = controllers.addresses.len();
        self.check(count)?;
        let region = &mut *shared.lock();
        let now = region.now();
        let until = now + Millis::from_secs(self.for_s);
        match self.kind {
            Kind::Kill => {
                let controller = self.controller(count)?;
                controllers.kill(controller);
                return Ok(Some(controller));
            }
            Kind::Cut => region.faults.cut_off_until[self.controller(count)?] = until,
            Kind::Outage => region.faults.store_down_until = until,
            Kind::Slow => {
                region.faults.store_slow = Slowdown {
                    until,
                    delay: STORE_DELAY,
                };
            }
            Kind::Cloud => region.faults.cloud_down_until = until,
            Kind::Hang | Kind::Stop => {
                let machine_id = MachineId::from(self.target.as_str());
                let machine = region.machines.by_id.get_mut(&machine_id);
                let Some(machine) = machine.filter(|machine| machine.stopped_at.is_none()) else {
                    return Err(FaultError::UnknownMachine(machine_id));
                };
                if self.kind == Kind::Hang {
                    machine.hung_until = until;
                } else {
                    region.machines.kill(&machine_id, now);
                }
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
