//! The cloud: one machine type, rented by name of request, listed late, deleted for good.

use std::collections::{BTreeSet, HashMap};

use jaspertiller::fleet::{CloudAnswer, CloudCall, Listed, Offer, Stage};
use jaspertiller::types::{HostId, Millis};
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::config::Config;
use crate::machines::{Machine, Machines};

pub struct Cloud {
    config: Config,
    hires: HashMap<String, Vec<HostId>>,
    pub deleted: BTreeSet<HostId>,
    made: u32,
    /// Machines that were well, reachable and at work when they were deleted.
    pub deleted_at_work: u64,
}

impl Cloud {
    pub fn new(config: &Config) -> Self {
        Self {
            config: config.clone(),
            hires: HashMap::new(),
            deleted: BTreeSet::new(),
            made: 0,
            deleted_at_work: 0,
        }
    }

    /// From now on it has so many machines to give.
    pub fn offer(&mut self, capacity: u32) {
        self.config.capacity = capacity;
    }

    pub fn flavors(&self) -> Value {
        let rig = &self.config.rig;
        json!({"rigs": [{"sku": rig.sku, "vcpus": rig.room.cpus, "accelerators": rig.room.gpus,
            "memoryGb": rig.room.memory_gb, "localGb": 100, "fetchGbPerS": rig.fetch_gb_per_s,
            "price": 10.0, "marketPrice": 4.0, "bootS": rig.boot.secs(),
            "yards": self.config.zones}]})
    }

    pub fn call(
        &mut self,
        call: CloudCall,
        machines: &mut Machines,
        now: Millis,
        rng: &mut SmallRng,
    ) -> CloudAnswer {
        match call {
            CloudCall::Flavors => match serde_json::from_value(self.flavors()) {
                Ok(jaspertiller::fleet::wire::FlavorsBody { rigs }) => {
                    CloudAnswer::Flavors(rigs.into_iter().map(Into::into).collect())
                }
                Err(_) => CloudAnswer::Failed,
            },
            CloudCall::Rent { hire, offer, count } => {
                self.rent(hire, &offer, count, machines, now, rng)
            }
            CloudCall::Delete(hosts) => {
                for host in hosts {
                    if machines.delete(&host, now) {
                        self.deleted_at_work += 1;
                    }
                    self.deleted.insert(host);
                }
                CloudAnswer::Deleted
            }
            CloudCall::List { after } => {
                let after = |host: &&HostId| after.as_ref().is_none_or(|after| *host > after);
                let hosts = machines
                    .hosts
                    .iter()
                    .filter(|(host, m)| after(host) && !self.gone(host, m, now))
                    .filter(|(_, m)| m.rented + self.config.list_lag < now)
                    .map(|(host, machine)| self.listed(host, machine, now))
                    .collect();
                CloudAnswer::Page { hosts, more: false }
            }
        }
    }

    /// A machine that died stays listed for a while, one that was deleted doesn't.
    fn gone(&self, host: &HostId, machine: &Machine, now: Millis) -> bool {
        let died = machine.dead.is_some_and(|at| now.since(at).0 > 30_000);
        self.deleted.contains(host) || died
    }

    fn listed(&self, host: &HostId, machine: &Machine, now: Millis) -> Listed {
        let seen = now - self.config.list_lag;
        Listed {
            host: host.clone(),
            rig: self.config.rig.sku.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            stage: if machine.up_at > seen {
                Stage::Booting
            } else {
                Stage::Running
            },
            age: seen - machine.rented,
        }
    }

    fn rent(
        &mut self,
        hire: String,
        (rig, zone, spot): &Offer,
        count: u32,
        machines: &mut Machines,
        now: Millis,
        rng: &mut SmallRng,
    ) -> CloudAnswer {
        if let Some(hosts) = self.hires.get(&hire) {
            return CloudAnswer::Rented(hosts.clone());
        }
        let alive = machines.hosts.values().filter(|m| m.dead.is_none()).count() as u32;
        let count = count.min(self.config.capacity.saturating_sub(alive));
        let known = *rig == self.config.rig.sku && self.config.zones.contains(zone);
        if count == 0 || !known {
            return CloudAnswer::NoCapacity;
        }
        let boot = self.config.rig.boot.0;
        let hosts: Vec<HostId> = (0..count)
            .map(|_| {
                self.made += 1;
                let host = HostId::from(format!("vm-{:06}", self.made));
                let up_at = now + Millis(rng.random_range(boot / 2..=boot * 3 / 2));
                machines.add(&host, zone.clone(), *spot, now, up_at);
                host
            })
            .collect();
        self.hires.insert(hire, hosts.clone());
        CloudAnswer::Rented(hosts)
    }
}
