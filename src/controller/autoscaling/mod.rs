//! Autoscaling by the leader: rents machines for waiting work and for the headroom that recent
//! arrivals require, replaces lost machines, and returns idle ones.
//!
//! [`Autoscaler`] owns the leader's view of the fleet, the demand that decides its size, and
//! the machines that are being drained. Each second [`Controller::reconcile_fleet`] compares the
//! fleet with the demand and sends calls to the cloud; `cloud_replies` handles the responses.
//! [`crate::fleet::plan`] decides what to rent and return.

mod cloud_replies;
mod demand;
mod drain;
mod lost_machines;
mod scale_in;
mod scale_out;
mod usage;

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::{Controller, Effect};
use crate::fleet::plan::Headroom;
use crate::fleet::{
    CloudCall, Fleet, MachineStage, MachineTypeSpec, Offer, RentedMachine, find_machine_type,
};
use crate::jobs::cache::JobCache;
use crate::types::{MachineId, MachineTypeId, Millis};
use crate::workers::Machine;
use crate::zones::zone_health::ZoneHealthTracker;
use demand::Arrival;

/// Time between reconciliations of the fleet: short compared with the boot time of a machine.
const RECONCILE_INTERVAL: Millis = Millis(1_000);
/// Time between the starts of two reads of the machine list: each page uses one request of the cloud's
/// budget.
const LIST_INTERVAL: Millis = Millis(2_500);
/// Time between reads of the machine types, which rarely change.
const MACHINE_TYPES_INTERVAL: Millis = Millis(60_000);
/// Time between reads of the machine types until the first succeeds: nothing is placed before.
const FIRST_MACHINE_TYPES_INTERVAL: Millis = Millis(1_000);
/// Machines are neither rented nor returned while the store has not answered for this long, since
/// the known demand is outdated.
const MAX_STORE_SILENCE: Millis = Millis(4_000);

/// The fleet as this controller knows it, and the demand that decides its size.
#[derive(Default)]
pub(super) struct Autoscaler {
    /// The machine types that the cloud offers; empty until they are known.
    pub(super) type_specs: Vec<MachineTypeSpec>,
    /// The machine types as the key-value store has them.
    pub(super) stored_type_specs: Vec<MachineTypeSpec>,
    /// When the machine types were last requested from the cloud; 0 requests them immediately.
    type_specs_requested_at: Millis,
    /// The machines; kept up to date by the leader only.
    pub(super) fleet: Fleet,
    /// When the fleet was last reconciled.
    reconciled_at: Millis,
    /// Work that arrived within the last `demand::ARRIVAL_WINDOW`.
    pub(super) arrivals: Vec<Arrival>,
    /// Jobs that were submitted up to this time have been considered for `arrivals`.
    pub(super) arrivals_until: Millis,
    /// When the observation of arrivals began.
    pub(super) arrivals_since: Millis,
    /// Machines that are being drained: no new tasks are placed there.
    pub(super) drains: HashSet<MachineId>,
    /// When the leader's list of drains was last received.
    pub(super) drains_received_at: Millis,
}

impl Autoscaler {
    pub(super) fn type_spec(&self, machine_type: &MachineTypeId) -> Option<&MachineTypeSpec> {
        find_machine_type(&self.type_specs, machine_type)
    }

    fn machine_types_due(&self, now: Millis) -> bool {
        let interval = if self.type_specs.is_empty() {
            FIRST_MACHINE_TYPES_INTERVAL
        } else {
            MACHINE_TYPES_INTERVAL
        };
        self.type_specs_requested_at == Millis(0)
            || now.since(self.type_specs_requested_at) >= interval
    }

    fn list_due(&self, now: Millis) -> bool {
        !self.fleet.list_in_progress && now.since(self.fleet.list_started_at) >= LIST_INTERVAL
    }

    /// Adds machines that send heartbeats to the fleet, even if the cloud's list does not show
    /// them.
    fn adopt_reporting_machines(
        &mut self,
        machines: &HashMap<MachineId, Machine>,
        heartbeat_timeout: Millis,
        now: Millis,
    ) {
        for machine in machines.values() {
            if self.fleet.deleted.contains(&machine.machine_id) {
                continue;
            }
            let rented = self
                .fleet
                .machines
                .entry(machine.machine_id.clone())
                .or_insert_with(|| {
                    let offer = Offer {
                        machine_type: machine.machine_type.clone(),
                        zone: machine.zone.clone(),
                        spot: machine.spot,
                    };
                    RentedMachine::new(offer, MachineStage::Running, now, now)
                });
            if machine.last_contact + heartbeat_timeout >= now {
                rented.stage = MachineStage::Running;
                rented.last_seen = now;
            }
        }
    }

    /// Records since when each machine has been idle.
    fn mark_idle(&mut self, jobs: &JobCache, now: Millis) {
        for (machine_id, rented) in &mut self.fleet.machines {
            let idle = rented.stage == MachineStage::Running && !jobs.is_occupied(machine_id);
            rented.idle_since = idle.then(|| rented.idle_since.unwrap_or(now));
        }
    }
}

impl Controller {
    /// Drops the state of an earlier term of leadership.
    pub(super) fn start_leading(&mut self) {
        self.autoscaler.fleet = Fleet::default();
        // The machine types may have to be stored by the new leader.
        self.autoscaler.type_specs_requested_at = Millis(0);
        self.autoscaler.drains.clear();
        self.partition.zone_health = ZoneHealthTracker::default();
        // The unresolved quota allocations belong to an earlier term.
        self.quota.unresolved_allocations.clear();
    }

    /// Brings the fleet closer to what the demand requires. All controllers read the machine types
    /// and observe arrivals; only the leader does the rest.
    pub(super) fn reconcile_fleet(&mut self) {
        self.request_machine_types();
        if self.store_sync.synced {
            self.record_arrivals();
        }
        if !self.reconciliation_due() {
            return;
        }
        self.autoscaler.reconciled_at = self.now;
        self.request_machine_list();
        let (heartbeat_timeout, now) = (self.heartbeat_timeout(), self.now);
        self.autoscaler
            .adopt_reporting_machines(&self.machines, heartbeat_timeout, now);
        self.autoscaler.mark_idle(&self.jobs, now);
        self.log_usage();
        self.delete_lost_machines();
        self.release_tasks_on_deleted_machines();
        if self.without_store() < MAX_STORE_SILENCE {
            self.scale();
        }
    }

    /// Whether this controller is to reconcile the fleet now. A leader whose lease may have expired
    /// must not: another leader may exist already, and receive heartbeats from machines that are
    /// silent here.
    fn reconciliation_due(&self) -> bool {
        self.leading().is_some()
            && self.may_place()
            && self.now.since(self.autoscaler.reconciled_at) >= RECONCILE_INTERVAL
            && !self.autoscaler.type_specs.is_empty()
    }

    fn request_machine_types(&mut self) {
        if self.autoscaler.machine_types_due(self.now) {
            self.autoscaler.type_specs_requested_at = self.now;
            self.call_cloud(CloudCall::MachineTypes);
        }
    }

    fn request_machine_list(&mut self) {
        if self.autoscaler.list_due(self.now) {
            self.autoscaler.fleet.list_in_progress = true;
            self.autoscaler.fleet.list_started_at = self.now;
            self.call_cloud(CloudCall::List { after: None });
        }
    }

    /// Whole machines to keep ready for future work.
    pub(super) fn headroom(&self) -> Vec<Headroom> {
        self.autoscaler.headroom(self.now)
    }

    /// Sends a call to the cloud and returns its tag.
    fn call_cloud(&mut self, call: CloudCall) -> u64 {
        let tag = self.next_tag();
        self.calls.cloud.insert(tag, call.clone());
        self.effects.push(Effect::Cloud { tag, call });
        tag
    }
}

#[cfg(test)]
mod tests;
