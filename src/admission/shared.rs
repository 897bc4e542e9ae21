//! The store's write limit, which all controllers share: the demand that each controller reports, and
//! the plan that divides the limit. `admission_control::plan` explains why the controllers together
//! stay within the limit.

use admission_control::plan::{ControllerDemand, ControllerStatus, Demand, Plan, Rate};
use rustc_hash::FxHashMap as HashMap;

use crate::store::WriteGate;
use crate::types::{ControllerId, Millis, Revision};

/// The key of the plan's record.
pub const PLAN_KEY: &str = "jt/admission";
/// Minimum time between two plans, since each is itself a write.
const MIN_PLAN_INTERVAL: Millis = Millis(2_000);
/// Minimum length of the intervals over which the rate of writes is measured.
const MEASUREMENT_INTERVAL: Millis = Millis(500);
/// Weight of the newest interval in the smoothed rate.
const SMOOTHING: f64 = 0.35;
/// The fraction of the store's limit that is reserved for lease renewals, which bypass the budget.
const LEASE_RESERVE: f64 = 0.01;

/// What a controller reports about itself in each status message to the other controllers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionReport {
    /// The version of the plan that it follows; zero if it follows none.
    pub plan_version: Revision,
    /// Its demand for writes.
    pub demand: Demand,
}

/// The newest plan that this controller has read, and the reported demand of all controllers.
#[derive(Debug, Default)]
pub struct WriteAdmission {
    /// The newest plan.
    pub plan: Plan,
    /// The version of its record.
    pub version: Revision,
    /// The last report of each controller, this one included.
    pub reports: HashMap<ControllerId, AdmissionReport>,
    /// Changes written since the last measurement.
    written: f64,
    /// When the rate was last measured.
    measured_at: Millis,
    /// The smoothed rate, in changes a second.
    write_rate: Rate,
    /// When the next plan may be written.
    pub plan_write: WriteGate,
    /// When this controller last wrote a plan.
    planned_at: Millis,
    /// The rate that the write budget was last set to, in changes a second.
    pub allowed_rate: Rate,
}

impl WriteAdmission {
    /// Applies a version of the plan's record, unless it is outdated; `data` is `None` if the record
    /// was deleted. An invalid record is logged, and the previous plan stays in force.
    pub fn apply(&mut self, data: Option<&str>, version: Revision) {
        if version <= self.version {
            return;
        }
        match data.map(serde_json::from_str).transpose() {
            Ok(plan) => {
                self.plan = plan.unwrap_or_default();
                self.version = version;
            }
            Err(error) => {
                tracing::error!(%error, "invalid admission plan record; keeping the previous plan");
            }
        }
    }

    /// Counts changes that this controller writes.
    pub fn record_writes(&mut self, changes: usize) {
        self.written += changes as f64;
    }

    /// This controller's demand. `waiting` is the number of changes that should have been written by
    /// now.
    pub fn demand(&mut self, waiting: usize, now: Millis) -> Demand {
        let elapsed = now.since(self.measured_at);
        if elapsed >= MEASUREMENT_INTERVAL {
            let rate = std::mem::take(&mut self.written) / elapsed.secs();
            self.write_rate += (rate - self.write_rate) * SMOOTHING;
            self.measured_at = now;
        }
        Demand {
            used: self.write_rate,
            waiting: waiting as f64,
        }
    }

    /// The part of the store's write limit that plans divide, in changes a second: all but the
    /// reserve for lease renewals.
    pub fn limit_for_plans(write_rps: f64) -> Rate {
        write_rps * (1.0 - LEASE_RESERVE)
    }

    /// The plan to be written now; `None` if it differs too little from the present one, if a plan
    /// must not be written yet, or if it is too early for another. `has_lease` tells whether a controller
    /// has a lease. `applied`: the revision that the cache has reached.
    pub fn next_plan(
        &self,
        limit: Rate,
        controllers: impl Iterator<Item = ControllerId>,
        has_lease: impl Fn(&ControllerId) -> bool,
        applied: Revision,
        now: Millis,
    ) -> Option<Plan> {
        let is_early = now.since(self.planned_at) < MIN_PLAN_INTERVAL;
        if !self.plan_write.is_open(applied, now) || is_early && self.version != Revision(0) {
            return None;
        }
        let demands: Vec<ControllerDemand> = controllers
            .map(|controller| self.demand_of(&controller, has_lease(&controller)))
            .collect();
        let plan = self.plan.next(limit, &demands);
        plan.differs_significantly(&self.plan, limit)
            .then_some(plan)
    }

    fn demand_of(&self, controller: &ControllerId, has_lease: bool) -> ControllerDemand {
        let report = self.reports.get(controller).copied().unwrap_or_default();
        let status = if !has_lease {
            ControllerStatus::Absent
        } else if report.plan_version == self.version && self.version != Revision(0) {
            ControllerStatus::Current
        } else {
            ControllerStatus::Stale
        };
        ControllerDemand {
            label: controller.to_string(),
            status,
            demand: report.demand,
        }
    }

    /// Records that this controller starts to write a plan now.
    pub fn record_plan(&mut self, now: Millis) {
        self.plan_write.begin(now);
        self.planned_at = now;
    }
}
