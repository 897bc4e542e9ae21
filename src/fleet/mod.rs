//! The fleet of machines rented from the cloud, as the leader knows it. Only the leader rents, drains
//! and returns machines.
//!
//! [`plan`] decides what to rent and return, [`client`] performs the calls of [`cloud_api`], and
//! [`wire`] defines their JSON bodies.

pub mod client;
pub mod cloud_api;
pub mod machine_types;
pub mod plan;
pub mod wire;

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

pub use cloud_api::{CloudCall, CloudResponse, ListedMachine, MachineStage, Offer};
pub use machine_types::{MACHINE_TYPES_KEY, MachineTypeSpec, fetch_rate, find_machine_type};

use crate::types::{MachineId, MachineTypeId, Millis, Zone};

/// The leader's view of a rented machine.
#[derive(Clone, Debug)]
pub struct RentedMachine {
    /// Type as of the rental; the cloud may no longer list it.
    pub machine_type: MachineTypeId,
    /// Zone that it was rented in.
    pub zone: Zone,
    /// Whether it is a spot machine, which the cloud may take away at short notice.
    pub spot: bool,
    /// Its stage, by the cloud's list or by its heartbeats.
    pub stage: MachineStage,
    /// When it was rented; if the cloud's list has not shown its age, when it was first observed.
    pub rented_at: Millis,
    /// When it was rented, last listed, or last known to send heartbeats.
    pub last_seen: Millis,
    /// Since when it has had no task; `None` while it has tasks or is not running.
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

    /// The offer under which it was rented.
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
    /// Rented machines, by the responses to rentals, the cloud's lists, and heartbeats.
    pub machines: BTreeMap<MachineId, RentedMachine>,
    /// Machines whose deletion is in flight.
    pub deleting: HashSet<MachineId>,
    /// Machines whose deletion the cloud confirmed; lists may still show them.
    pub deleted: HashSet<MachineId>,
    /// Offers that had no capacity or whose rental failed, and when each may be requested again.
    pub backoff_until: HashMap<Offer, Millis>,
    /// Rental requests in flight, by the tag of the call.
    pub pending_rentals: HashMap<u64, PendingRental>,
    /// Number of rental requests in this term; makes their request ids unique.
    pub rental_requests: u64,
    /// When idle machines were last chosen to be returned.
    pub last_scale_in_at: Millis,
    /// When the usage of the fleet was last logged.
    pub usage_logged_at: Millis,
    /// When the last read of the cloud's list was started.
    pub list_started_at: Millis,
    /// Whether the cloud's list is being read.
    pub list_in_progress: bool,
    /// When the cloud's list was last read to its end.
    pub list_completed_at: Millis,
}
