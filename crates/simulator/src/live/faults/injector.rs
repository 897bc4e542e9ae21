//! Injects the faults of a plan in time, and starts killed controllers again.

use std::time::Duration;

use jaspertiller::types::Millis;

use super::{Fault, FaultError, Plan};
use crate::live::SharedRegion;
use crate::live::controllers::Controllers;

/// A killed controller that is to be started again.
struct Restart {
    at: Duration,
    controller: usize,
}

/// The faults that are still to come, and the controllers that are down. All times are from the beginning
/// of the run.
pub struct FaultInjector {
    plan: Plan,
    restarts: Vec<Restart>,
}

impl FaultInjector {
    /// Begins a plan.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        let restarts = Vec::new();
        Self { plan, restarts }
    }

    /// Injects the faults that are due, and starts the controllers whose time is over. A fault that can't
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
                eprintln!("a fault of the plan is passed over: {error}");
            }
        }
        let (due, pending): (Vec<Restart>, Vec<Restart>) = std::mem::take(&mut self.restarts)
            .into_iter()
            .partition(|restart| restart.at <= now);
        self.restarts = pending;
        due.into_iter()
            .try_for_each(|restart| controllers.start(restart.controller))
    }

    /// Injects one fault now, and plans the restart of a controller that it killed.
    ///
    /// # Errors
    /// The fault's target does not exist, or its length is out of bounds.
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
