//! Periodic log line with the usage of the fleet.

use super::{Autoscaler, Controller};
use crate::fleet::MachineStage;
use crate::jobs::cache::JobCache;
use crate::types::{Millis, Resources};

const LOG_INTERVAL: Millis = Millis(10_000);

#[derive(Default)]
struct FleetUsage {
    busy: u32,
    idle: u32,
    /// Machines that have not booted, or have failed.
    booting: u32,
    spot: u32,
    capacity: Resources,
    allocated: Resources,
}

impl Autoscaler {
    /// Counts the machines and resources that are in use.
    fn usage(&self, jobs: &JobCache) -> FleetUsage {
        let mut usage = FleetUsage::default();
        for (machine_id, rented) in &self.fleet.machines {
            match (rented.stage, rented.idle_since) {
                (MachineStage::Running, None) => usage.busy += 1,
                (MachineStage::Running, Some(_)) => usage.idle += 1,
                _ => usage.booting += 1,
            }
            usage.spot += u32::from(rented.spot);
            if let Some(type_spec) = self.type_spec(&rented.machine_type) {
                usage.capacity = usage.capacity.plus(type_spec.resources);
                usage.allocated = usage.allocated.plus(jobs.allocated(machine_id));
            }
        }
        usage
    }
}

impl Controller {
    /// Logs the usage of the fleet at [`LOG_INTERVAL`].
    pub(super) fn log_usage(&mut self) {
        if self.now.since(self.autoscaler.fleet.usage_logged_at) < LOG_INTERVAL {
            return;
        }
        self.autoscaler.fleet.usage_logged_at = self.now;
        let usage = self.autoscaler.usage(&self.jobs);
        let active = self.jobs.iter().filter(|job| job.is_active());
        let waiting: u32 = active.map(|job| job.waiting_tasks()).sum();
        let headroom = self.headroom();
        tracing::info!(
            busy = usage.busy,
            idle = usage.idle,
            booting = usage.booting,
            spot = usage.spot,
            draining = self.autoscaler.drains.len(),
            waiting,
            headroom = ?headroom.iter().map(|kind| kind.machines).collect::<Vec<_>>(),
            used = format!("{:.2}", usage.allocated.dominant_share(usage.capacity)),
            "fleet usage"
        );
    }
}
