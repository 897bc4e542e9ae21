//! The cloud: one machine type, rented by name of request, listed late, deleted for good.

use std::collections::{BTreeSet, HashMap};

use jaspertiller::fleet::{CloudCall, CloudResponse, ListedMachine, MachineStage, Offer};
use jaspertiller::types::{MachineId, Millis};
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::config::Config;
use crate::machines::{Machine, Machines};

/// The simulated cloud.
pub struct Cloud {
    config: Config,
    rental_requests: HashMap<String, Vec<MachineId>>,
    /// Machines that were deleted.
    pub deleted: BTreeSet<MachineId>,
    made: u32,
    /// Machines that were well, reachable and at work when they were deleted.
    pub deleted_at_work: u64,
}

impl Cloud {
    /// A cloud that has rented nothing yet.
    pub fn new(config: &Config) -> Self {
        Self {
            config: config.clone(),
            rental_requests: HashMap::new(),
            deleted: BTreeSet::new(),
            made: 0,
            deleted_at_work: 0,
        }
    }

    /// From now on it has so many machines to give.
    pub fn offer(&mut self, capacity: u32) {
        self.config.capacity = capacity;
    }

    /// The body that lists the machine types.
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
            CloudCall::MachineTypes => match serde_json::from_value(self.type_specs()) {
                Ok(jaspertiller::fleet::wire::MachineTypesBody { machine_types }) => {
                    CloudResponse::MachineTypes(machine_types.into_iter().map(Into::into).collect())
                }
                Err(_) => CloudResponse::Failed,
            },
            CloudCall::Rent {
                request_id,
                offer,
                count,
            } => self.rent(request_id, &offer, count, machines, now, rng),
            CloudCall::Delete(machine_ids) => {
                for machine_id in machine_ids {
                    if machines.delete(&machine_id, now) {
                        self.deleted_at_work += 1;
                    }
                    self.deleted.insert(machine_id);
                }
                CloudResponse::Deleted
            }
            CloudCall::List { after } => {
                let after = |machine_id: &&MachineId| {
                    after.as_ref().is_none_or(|after| *machine_id > after)
                };
                let machine_ids = machines
                    .by_id
                    .iter()
                    .filter(|(machine_id, m)| after(machine_id) && !self.gone(machine_id, m, now))
                    .filter(|(_, m)| m.rented_at + self.config.list_lag < now)
                    .map(|(machine_id, machine)| self.listed(machine_id, machine, now))
                    .collect();
                CloudResponse::Page {
                    machines: machine_ids,
                    more: false,
                }
            }
        }
    }

    /// A machine that died stays listed for a while, one that was deleted doesn't.
    fn gone(&self, machine_id: &MachineId, machine: &Machine, now: Millis) -> bool {
        let died = machine
            .stopped_at
            .is_some_and(|at| now.since(at).0 > 30_000);
        self.deleted.contains(machine_id) || died
    }

    fn listed(&self, machine_id: &MachineId, machine: &Machine, now: Millis) -> ListedMachine {
        let seen = now - self.config.list_lag;
        ListedMachine {
            machine_id: machine_id.clone(),
            machine_type: self.config.machine_type.id.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            stage: if machine.up_at > seen {
                MachineStage::Booting
            } else {
                MachineStage::Running
            },
            age: seen - machine.rented_at,
        }
    }

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
        let alive = machines
            .by_id
            .values()
            .filter(|m| m.stopped_at.is_none())
            .count() as u32;
        let count = count.min(self.config.capacity.saturating_sub(alive));
        let known =
            *machine_type == self.config.machine_type.id && self.config.zones.contains(zone);
        if count == 0 || !known {
            return CloudResponse::NoCapacity;
        }
        let boot = self.config.machine_type.boot.0;
        let machine_ids: Vec<MachineId> = (0..count)
            .map(|_| {
                self.made += 1;
                let machine_id = MachineId::from(format!("vm-{:06}", self.made));
                let up_at = now + Millis(rng.random_range(boot / 2..=boot * 3 / 2));
                machines.add(&machine_id, zone.clone(), *spot, now, up_at);
                machine_id
            })
            .collect();
        self.rental_requests.insert(request_id, machine_ids.clone());
        CloudResponse::Rented(machine_ids)
    }
}
