//! Injects the faults of a plan at their times, and restarts killed controllers.

use std::time::Duration;

use jaspertiller::types::Millis;

use super::{Fault, FaultError, Plan};
use crate::live::SharedRegion;
use crate::live::controllers::Controllers;

/// A pending restart of a killed controller.
struct Restart {
    at: Duration,
    controller: usize,
}

/// Pending faults and restarts of controllers. All times are relative to the start of the run.
pub struct FaultInjector {
    plan: Plan,
    restarts: Vec<Restart>,
}

impl FaultInjector {
    /// An injector for a plan, whose faults must be sorted by time.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        let restarts = Vec::new();
        Self { plan, restarts }
    }

    /// Injects the faults that are due, and restarts the controllers whose downtime is over. A fault that can't
    /// be injected is reported on standard error and skipped.
    ///
    /// # Errors
    /// A controller can't be started.
    pub fn advance(
        &mut self,
        shared: &SharedRegion,
        controllers: &mut Controllers,
        now: Duration,
    ) -> anyhow::Result<()> {
        let time = Millis(now.as_millis() as u64);
        while self.plan.first().is_some_and(|planned| planned.at <= time) {
            let planned = self.plan.remove(0);
            if let Err(error) = self.inject(&planned.fault, shared, controllers, now) {
                eprintln!("skipping a planned fault that can't be injected: {error}");
            }
        }
        let (due, pending): (Vec<Restart>, Vec<Restart>) = std::mem::take(&mut self.restarts)
            .into_iter()
            .partition(|restart| restart.at <= now);
        self.restarts = pending;
        due.into_iter()
            .try_for_each(|restart| controllers.start(restart.controller))
    }

    /// Injects one fault immediately, and schedules the restart of a controller that it killed. A restart already
    /// pending for that controller is replaced.
    ///
    /// # Errors
    /// The fault's target does not exist, or its duration is out of bounds.
    pub fn inject(
        &mut self,
        fault: &Fault,
        shared: &SharedRegion,
        controllers: &mut Controllers,
        now: Duration,
    ) -> Result<(), FaultError> {
        if let Some(controller) = fault.inject(shared, controllers)? {
            self.restarts
                .retain(|restart| restart.controller != controller);
            let at = now + Duration::from_secs_f64(fault.for_s);
            self.restarts.push(Restart { at, controller });
        }
        Ok(())
    }
}
