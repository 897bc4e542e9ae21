//! The fleet of rented machines: the cloud's offers, and the leader's view of the rented machines.
//! Only the leader rents, drains and returns machines.
//!
//! [`plan`] decides what to rent and return, [`client`] performs the calls of [`cloud_api`], and
//! [`wire`] has their JSON.

pub mod client;
pub mod cloud_api;
pub mod machine_types;
pub mod plan;
pub mod wire;

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

pub use cloud_api::{CloudCall, CloudResponse, ListedMachine, MachineStage, Offer};
pub use machine_types::{MACHINE_TYPES_KEY, MachineTypeSpec, fetch_rate, find_type};

use crate::types::{MachineId, MachineTypeId, Millis, Zone};

/// The leader's view of a rented machine.
#[derive(Clone, Debug)]
pub struct RentedMachine {
    /// Its type.
    pub machine_type: MachineTypeId,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its stage, by the cloud's list or by its heartbeats.
    pub stage: MachineStage,
    /// When it was rented, or first observed if the list has not shown its age.
    pub rented_at: Millis,
    /// When it was rented, last listed, or last known to send heartbeats.
    pub last_seen: Millis,
    /// Since when no task is placed on it; none: tasks are, or it has not booted.
    pub idle_since: Option<Millis>,
}

impl RentedMachine {
    /// A machine that is known from `now` on and was rented at `rented_at`.
    #[must_use]
    pub fn new(offer: Offer, stage: MachineStage, rented_at: Millis, now: Millis) -> Self {
        Self {
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            stage,
            rented_at,
            last_seen: now,
            idle_since: None,
        }
    }

    /// The offer that it was rented by.
    #[must_use]
    pub fn offer(&self) -> Offer {
        Offer {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }
}

/// A rental request that the cloud has not answered yet.
#[derive(Clone, Debug)]
pub struct PendingRental {
    /// What was requested.
    pub offer: Offer,
    /// How many machines were requested.
    pub count: u32,
}

/// The leader's view of the fleet. It starts empty with each term of leadership.
#[derive(Default)]
pub struct Fleet {
    /// Machines that are rented, as far as lists and heartbeats show.
    pub machines: BTreeMap<MachineId, RentedMachine>,
    /// Machines whose deletion was requested and not answered yet.
    pub deleting: HashSet<MachineId>,
    /// Machines whose deletion the cloud confirmed; lists may still show them.
    pub deleted: HashSet<MachineId>,
    /// Offers that the cloud had no capacity for, or failed to rent, and when to request them again.
    pub refused_until: HashMap<Offer, Millis>,
    /// Rental requests in flight, by the tag of the call.
    pub pending_rentals: HashMap<u64, PendingRental>,
    /// Rental requests of this term; makes request ids unique.
    pub rental_requests: u64,
    /// When idle machines were last chosen to be returned.
    pub last_scale_in: Millis,
    /// When the usage of the fleet was last logged.
    pub usage_logged_at: Millis,
    /// When the last list was begun.
    pub list_started: Millis,
    /// A list is being read.
    pub listing: bool,
    /// When the cloud's list was last read to its end.
    pub listed: Millis,
}
