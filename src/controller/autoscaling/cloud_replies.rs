//! Responses of the cloud, and the updates of the leader's fleet that follow from them.

use super::{Autoscaler, Controller};
use crate::controller::calls::CallPurpose;
use crate::fleet::{
    CloudCall, CloudResponse, ListedMachine, MACHINE_TYPES_KEY, MachineStage, MachineTypeSpec,
    Offer, RentedMachine,
};
use crate::lease::LEADER_KEY;
use crate::store::{CallClass, Transaction};
use crate::types::{MachineId, Millis};

/// Time before an offer that had no capacity is requested again.
const NO_CAPACITY_BACKOFF: Millis = Millis(15_000);
/// Time before an offer is requested again after a rental failed for another reason.
const RENTAL_FAILURE_BACKOFF: Millis = Millis(3_000);
/// The maximum age of a list is the lag that the deployment's settings state, times this factor, plus
/// [`LIST_LAG_MARGIN_S`].
const LIST_LAG_FACTOR: f64 = 2.0;
/// Seconds that are added to the maximum age of a list.
const LIST_LAG_MARGIN_S: f64 = 5.0;

impl Autoscaler {
    /// Updates the fleet with a machine of the cloud's list.
    fn merge_listed(&mut self, listed: ListedMachine, now: Millis) {
        if self.fleet.deleted.contains(&listed.machine_id) {
            return;
        }
        let rented_at = now - listed.age;
        let offer = Offer {
            machine_type: listed.machine_type,
            zone: listed.zone,
            spot: listed.spot,
        };
        let rented = self
            .fleet
            .machines
            .entry(listed.machine_id)
            .or_insert_with(|| RentedMachine::new(offer, listed.stage, rented_at, now));
        rented.last_seen = now;
        // Lists lag: a machine that has sent heartbeats is running, though a list shows it booting.
        if listed.stage != MachineStage::Booting {
            rented.stage = listed.stage;
        }
    }

    /// Machines that were listed or sent heartbeats once, and have done neither for `max_list_age`.
    fn vanished_machines(&self, max_list_age: Millis, now: Millis) -> Vec<MachineId> {
        self.fleet
            .machines
            .iter()
            .filter(|(_, rented)| now.since(rented.last_seen) > max_list_age)
            .map(|(machine_id, _)| machine_id.clone())
            .collect()
    }

    /// Adds machines that were rented, and records whether the offer had fewer than requested.
    fn on_rented(&mut self, tag: u64, offer: &Offer, machine_ids: Vec<MachineId>, now: Millis) {
        let pending = self.fleet.pending_rentals.remove(&tag);
        let requested = pending.map_or(0, |rental| rental.count);
        if (machine_ids.len() as u32) < requested {
            self.back_off(offer.clone(), now + NO_CAPACITY_BACKOFF);
        }
        for machine_id in machine_ids {
            self.fleet.machines.entry(machine_id).or_insert_with(|| {
                RentedMachine::new(offer.clone(), MachineStage::Booting, now, now)
            });
        }
    }

    /// Records a rental request that failed, and delays the next one for its offer.
    fn on_rental_failed(&mut self, tag: u64, offer: Offer, response: &CloudResponse, now: Millis) {
        self.fleet.pending_rentals.remove(&tag);
        let backoff = match response {
            CloudResponse::NoCapacity => NO_CAPACITY_BACKOFF,
            _ => RENTAL_FAILURE_BACKOFF,
        };
        self.back_off(offer, now + backoff);
    }

    /// Prevents rentals of an offer until `until`.
    fn back_off(&mut self, offer: Offer, until: Millis) {
        self.fleet.backoff_until.insert(offer, until);
    }

    /// Allows the deletion of machines to be requested again.
    fn on_deletion_failed(&mut self, machine_ids: &[MachineId]) {
        for machine_id in machine_ids {
            self.fleet.deleting.remove(machine_id);
        }
    }
}

impl Controller {
    /// Handles the cloud's response to the call with this tag.
    pub(in crate::controller) fn on_cloud_response(&mut self, tag: u64, response: CloudResponse) {
        let Some(call) = self.calls.cloud.remove(&tag) else {
            return;
        };
        let now = self.now;
        match (call, response) {
            (CloudCall::MachineTypes, CloudResponse::MachineTypes(type_specs)) => {
                self.on_machine_types(type_specs);
            }
            // `request_machine_types` repeats the call after its interval.
            (CloudCall::MachineTypes, _) => {}
            (CloudCall::List { .. }, CloudResponse::Page { machines, more }) => {
                self.on_list_page(machines, more);
            }
            (CloudCall::List { .. }, _) => self.autoscaler.fleet.list_in_progress = false,
            (CloudCall::Rent { offer, .. }, CloudResponse::Rented(machine_ids)) => {
                self.autoscaler.on_rented(tag, &offer, machine_ids, now);
            }
            (CloudCall::Rent { offer, .. }, response) => {
                self.autoscaler.on_rental_failed(tag, offer, &response, now);
            }
            (CloudCall::Delete(machine_ids), CloudResponse::Deleted) => {
                self.on_machines_deleted(machine_ids);
            }
            (CloudCall::Delete(machine_ids), _) => {
                self.autoscaler.on_deletion_failed(&machine_ids);
            }
        }
    }

    /// Handles the machine types that the cloud offers.
    fn on_machine_types(&mut self, type_specs: Vec<MachineTypeSpec>) {
        if self.autoscaler.type_specs.is_empty() {
            tracing::info!(types = type_specs.len(), "machine types loaded");
        }
        self.store_machine_types(&type_specs);
        self.autoscaler.type_specs = type_specs;
    }

    /// Writes the machine types to the key-value store if they differ from what it has.
    fn store_machine_types(&mut self, type_specs: &[MachineTypeSpec]) {
        let Some(term) = self.leading() else { return };
        if self.autoscaler.stored_type_specs == type_specs {
            return;
        }
        let mut txn = Transaction::default();
        // If it is applied late, it must not overwrite what a later leader has written.
        txn.require(LEADER_KEY.into(), term);
        txn.put(MACHINE_TYPES_KEY.into(), type_specs);
        self.transact(CallClass::Background, txn, CallPurpose::NoFollowUp);
    }

    /// Handles one page of the cloud's list of machines.
    fn on_list_page(&mut self, listed: Vec<ListedMachine>, more: bool) {
        let last = listed.last().map(|listed| listed.machine_id.clone());
        for machine in listed {
            self.autoscaler.merge_listed(machine, self.now);
        }
        match last.filter(|_| more) {
            Some(last) => {
                self.call_cloud(CloudCall::List { after: Some(last) });
            }
            None => self.on_list_end(),
        }
    }

    /// Requests the deletion of machines that vanished from the list. Lists lag and disagree, so
    /// that only the response to a deletion proves that a machine does not exist.
    fn on_list_end(&mut self) {
        self.autoscaler.fleet.list_in_progress = false;
        self.autoscaler.fleet.list_completed_at = self.now;
        let max_list_age = self.max_list_age();
        let vanished = self.autoscaler.vanished_machines(max_list_age, self.now);
        self.delete_machines(vanished);
    }

    /// Upper bound of the age of what a list shows.
    pub(super) fn max_list_age(&self) -> Millis {
        let lag_s = self.settings.deployment.cloud.list_lag_s;
        Millis::from_secs(lag_s * LIST_LAG_FACTOR + LIST_LAG_MARGIN_S)
    }
}
