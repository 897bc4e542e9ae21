//! Responses of the cloud, and what the leader learns of the fleet by them.

use super::{Autoscaler, Controller};
use crate::controller::calls::CallPurpose;
use crate::fleet::{
    CloudCall, CloudResponse, Listed, MACHINE_TYPES_KEY, MachineStage, MachineTypeSpec, Offer,
    RentedMachine,
};
use crate::lease::LEADER;
use crate::store::{CallClass, Transaction};
use crate::types::{MachineId, Millis};

/// An offer without capacity is requested again after this long.
const NO_CAPACITY_BACKOFF: Millis = Millis(15_000);
/// An offer is requested again this long after a rental failed for another reason.
const RENTAL_FAILURE_BACKOFF: Millis = Millis(3_000);
/// Lists are at most this many times as old as the deployment's settings say ...
const LIST_LAG_FACTOR: f64 = 2.0;
/// ... and this many seconds.
const LIST_LAG_MARGIN_S: f64 = 5.0;

impl Autoscaler {
    /// Takes in a machine of the cloud's list.
    fn merge_listed(&mut self, listed: Listed, now: Millis) {
        if self.fleet.gone.contains(&listed.machine_id) {
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
        // Lists lag behind: what has sent heartbeats is running, though a list shows it booting.
        if listed.stage != MachineStage::Booting {
            rented.stage = listed.stage;
        }
    }

    /// Machines that were listed or heard once and have been neither for `max_list_age`.
    fn vanished_machines(&self, max_list_age: Millis, now: Millis) -> Vec<MachineId> {
        self.fleet
            .machines
            .iter()
            .filter(|(_, rented)| now.since(rented.last_seen) > max_list_age)
            .map(|(machine_id, _)| machine_id.clone())
            .collect()
    }

    /// Adds machines that were rented, and notes if the offer had fewer than requested.
    fn on_rented(&mut self, tag: u64, offer: &Offer, machine_ids: Vec<MachineId>, now: Millis) {
        let pending = self.fleet.pending_rentals.remove(&tag);
        let requested = pending.map_or(0, |rental| rental.count);
        if (machine_ids.len() as u32) < requested {
            self.refuse(offer.clone(), now + NO_CAPACITY_BACKOFF);
        }
        for machine_id in machine_ids {
            self.fleet.machines.entry(machine_id).or_insert_with(|| {
                RentedMachine::new(offer.clone(), MachineStage::Booting, now, now)
            });
        }
    }

    fn on_rental_failed(&mut self, tag: u64, offer: Offer, response: &CloudResponse, now: Millis) {
        self.fleet.pending_rentals.remove(&tag);
        let backoff = match response {
            CloudResponse::NoCapacity => NO_CAPACITY_BACKOFF,
            _ => RENTAL_FAILURE_BACKOFF,
        };
        self.refuse(offer, now + backoff);
    }

    fn refuse(&mut self, offer: Offer, until: Millis) {
        self.fleet.refused_until.insert(offer, until);
    }

    /// Lets the deletion of machines be requested again.
    fn on_deletion_failed(&mut self, machine_ids: &[MachineId]) {
        for machine_id in machine_ids {
            self.fleet.deleting.remove(machine_id);
        }
    }
}

impl Controller {
    /// Takes in the cloud's response to the call with this tag.
    pub(in crate::controller) fn on_cloud(&mut self, tag: u64, response: CloudResponse) {
        let Some(call) = self.calls.cloud.remove(&tag) else {
            return;
        };
        let now = self.now;
        match (call, response) {
            (CloudCall::MachineTypes, CloudResponse::MachineTypes(type_specs)) => {
                self.on_machine_types(type_specs);
            }
            // They are requested again after an interval.
            (CloudCall::MachineTypes, _) => {}
            (CloudCall::List { .. }, CloudResponse::Page { machine_ids, more }) => {
                self.on_list_page(machine_ids, more);
            }
            (CloudCall::List { .. }, _) => self.autoscaler.fleet.listing = false,
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
        // Applied late, it would bring back what a later leader has replaced.
        txn.require(LEADER.into(), term);
        txn.put(MACHINE_TYPES_KEY.into(), type_specs);
        self.transact(CallClass::Rest, txn, CallPurpose::Note);
    }

    fn on_list_page(&mut self, listed: Vec<Listed>, more: bool) {
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
        self.autoscaler.fleet.listing = false;
        self.autoscaler.fleet.listed = self.now;
        let max_list_age = self.max_list_age();
        let vanished = self.autoscaler.vanished_machines(max_list_age, self.now);
        self.delete_machines(vanished);
    }

    /// No list is older than this.
    pub(super) fn max_list_age(&self) -> Millis {
        let lag_s = self.settings.deployment.cloud.list_lag_s;
        Millis::from_secs(lag_s * LIST_LAG_FACTOR + LIST_LAG_MARGIN_S)
    }
}
