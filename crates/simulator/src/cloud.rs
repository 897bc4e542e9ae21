//! The simulated cloud, which offers one machine type. Rentals are idempotent by request ID, the list of machines is
//! stale by a fixed lag, and deletion is final. [`Cloud`] owns the rental requests; the state of the machines is in
//! [`crate::machines`].

use std::collections::{BTreeSet, HashMap};

use jaspertiller::fleet::wire::MachineTypesBody;
use jaspertiller::fleet::{CloudCall, CloudResponse, ListedMachine, MachineStage, Offer};
use jaspertiller::types::{MachineId, Millis};
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::config::Config;
use crate::machines::{Machine, Machines};

/// How long a machine that stopped without being deleted stays listed.
const STOPPED_LISTED: Millis = Millis(30_000);

/// The simulated cloud: rental requests, deletions and the capacity for rent.
pub struct Cloud {
    config: Config,
    /// The machines rented by each request, by request ID.
    rental_requests: HashMap<String, Vec<MachineId>>,
    /// Every machine that a controller has asked to delete.
    pub deleted: BTreeSet<MachineId>,
    /// Number of machines rented so far, which is also the number in the ID of the latest one.
    rented: u32,
    /// Number of machines that were healthy, reachable and running tasks when they were deleted.
    pub deleted_at_work: u64,
}

impl Cloud {
    /// Creates a cloud without machines.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        Self {
            config: config.clone(),
            rental_requests: HashMap::new(),
            deleted: BTreeSet::new(),
            rented: 0,
            deleted_at_work: 0,
        }
    }

    /// Sets how many machines may be rented at a time. Machines above a lowered capacity keep running.
    pub fn offer(&mut self, capacity: u32) {
        self.config.capacity = capacity;
    }

    /// Returns the response body that lists the machine types, as the cloud's API writes it.
    #[must_use]
    pub fn type_specs(&self) -> Value {
        let machine_type = &self.config.machine_type;
        json!({"rigs": [{"sku": machine_type.id, "vcpus": machine_type.resources.cpus, "accelerators": machine_type.resources.gpus,
            "memoryGb": machine_type.resources.memory_gb, "localGb": 100, "fetchGbPerS": machine_type.fetch_gb_per_s,
            "price": 10.0, "marketPrice": 4.0, "bootS": machine_type.boot.secs(),
            "yards": self.config.zones}]})
    }

    /// Executes a call of a controller and returns its response.
    pub fn call(
        &mut self,
        call: CloudCall,
        machines: &mut Machines,
        now: Millis,
        rng: &mut SmallRng,
    ) -> CloudResponse {
        match call {
            CloudCall::MachineTypes => self.machine_types(),
            CloudCall::Rent {
                request_id,
                offer,
                count,
            } => self.rent(request_id, &offer, count, machines, now, rng),
            CloudCall::Delete(machine_ids) => self.delete(machine_ids, machines, now),
            CloudCall::List { after } => self.list(after.as_ref(), machines, now),
        }
    }

    fn machine_types(&self) -> CloudResponse {
        match serde_json::from_value(self.type_specs()) {
            Ok(MachineTypesBody { machine_types }) => {
                CloudResponse::MachineTypes(machine_types.into_iter().map(Into::into).collect())
            }
            Err(_) => CloudResponse::Failed,
        }
    }

    fn delete(
        &mut self,
        machine_ids: Vec<MachineId>,
        machines: &mut Machines,
        now: Millis,
    ) -> CloudResponse {
        for machine_id in machine_ids {
            if machines.delete(&machine_id, now) {
                self.deleted_at_work += 1;
            }
            self.deleted.insert(machine_id);
        }
        CloudResponse::Deleted
    }

    /// Returns all listed machines with an ID after `after` on one page.
    fn list(&self, after: Option<&MachineId>, machines: &Machines, now: Millis) -> CloudResponse {
        let is_after = |machine_id: &MachineId| after.is_none_or(|after| machine_id > after);
        let listed = machines
            .by_id
            .iter()
            .filter(|(id, machine)| is_after(id) && !self.is_unlisted(id, machine, now))
            .filter(|(_, machine)| machine.rented_at + self.config.list_lag < now)
            .map(|(id, machine)| self.listed(id, machine, now))
            .collect();
        CloudResponse::Page {
            machines: listed,
            more: false,
        }
    }

    /// Whether a machine is missing from the list: immediately once it was deleted, after [`STOPPED_LISTED`] once it
    /// stopped.
    fn is_unlisted(&self, machine_id: &MachineId, machine: &Machine, now: Millis) -> bool {
        let stopped = machine
            .stopped_at
            .is_some_and(|at| now.since(at) > STOPPED_LISTED);
        self.deleted.contains(machine_id) || stopped
    }

    /// Returns a machine's entry in the list, which shows its state `list_lag` ago.
    fn listed(&self, machine_id: &MachineId, machine: &Machine, now: Millis) -> ListedMachine {
        let as_of = now - self.config.list_lag;
        ListedMachine {
            machine_id: machine_id.clone(),
            machine_type: self.config.machine_type.id.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            stage: if machine.up_at > as_of {
                MachineStage::Booting
            } else {
                MachineStage::Running
            },
            age: as_of - machine.rented_at,
        }
    }

    /// Rents up to `count` machines, or returns those that an earlier request with this ID rented.
    fn rent(
        &mut self,
        request_id: String,
        Offer {
            machine_type,
            zone,
            spot,
        }: &Offer,
        count: u32,
        machines: &mut Machines,
        now: Millis,
        rng: &mut SmallRng,
    ) -> CloudResponse {
        if let Some(machine_ids) = self.rental_requests.get(&request_id) {
            return CloudResponse::Rented(machine_ids.clone());
        }
        let running = machines
            .by_id
            .values()
            .filter(|m| m.stopped_at.is_none())
            .count() as u32;
        let count = count.min(self.config.capacity.saturating_sub(running));
        let is_offered =
            *machine_type == self.config.machine_type.id && self.config.zones.contains(zone);
        if count == 0 || !is_offered {
            return CloudResponse::NoCapacity;
        }
        let boot = self.config.machine_type.boot.0;
        let machine_ids: Vec<MachineId> = (0..count)
            .map(|_| {
                self.rented += 1;
                let machine_id = MachineId::from(format!("vm-{:06}", self.rented));
                let up_at = now + Millis(rng.random_range(boot / 2..=boot * 3 / 2));
                machines.add(&machine_id, zone.clone(), *spot, now, up_at);
                machine_id
            })
            .collect();
        self.rental_requests.insert(request_id, machine_ids.clone());
        CloudResponse::Rented(machine_ids)
    }
}
