//! Faults of the live region: what they are, and how one is injected.
//!
//! `plan` reads faults from a file, `injector` injects them in time and restarts killed controllers.

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

/// Seconds that a fault may last.
const DURATION_S: std::ops::RangeInclusive<f64> = 0.0..=3600.0;
/// The delay of a slow store: half a second, which the daemon must bear without giving up its leases.
const STORE_DELAY: Duration = Duration::from_millis(500);

/// What goes wrong.
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

/// A fault with its target and its length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// The controller or machine; empty where the kind has no target.
    #[serde(default)]
    pub target: String,
    /// Seconds until it is over.
    pub for_s: f64,
}

/// Why a fault can't be injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultError {
    /// The target is no controller of the region.
    UnknownController(String),
    /// The target is no machine that is up.
    UnknownMachine(MachineId),
    /// The kind needs a machine, and the target is empty.
    MissingMachine,
    /// The length is out of bounds.
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
    /// The index of the controller that is the target, of `count` controllers.
    fn controller(&self, count: usize) -> Result<usize, FaultError> {
        let index = self.target.strip_prefix('n');
        let index = index.and_then(|index| index.parse().ok());
        let known = index.filter(|index| *index < count);
        known.ok_or_else(|| FaultError::UnknownController(self.target.clone()))
    }

    /// Checks the length, and that the target can exist in a region of `controllers` controllers.
    ///
    /// # Errors
    /// The first of the two that is wrong.
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

    /// Injects the fault. Returns the controller that was killed, which the caller has to restart.
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
