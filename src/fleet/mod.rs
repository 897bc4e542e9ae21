//! The fleet: what the cloud offers and which machines there are. Only the leader rents, drains
//! and returns.

pub mod client;
pub mod plan;
pub mod wire;

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};
use serde::{Deserialize, Serialize};

use crate::types::{MachineId, MachineTypeId, Millis, Resources, Zone};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeSpec {
    #[serde(rename = "sku")]
    pub id: MachineTypeId,
    #[serde(rename = "room")]
    pub resources: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<Zone>,
}

/// A fetch that takes no more than this part of a boot is quick: it is not worth spending machines on.
const QUICK: f64 = 0.5;

impl MachineTypeSpec {
    /// Seconds that an image takes to fetch, beyond a quick fetch.
    pub fn slow_s(&self, gb: f64) -> f64 {
        (gb / self.rate() - QUICK * self.boot_s).max(0.0)
    }

    /// Gigabytes a second at which images are fetched.
    pub fn rate(&self) -> f64 {
        self.fetch_gb_per_s.max(0.01)
    }
}

/// Gigabytes a second at which a machine of a type fetches images.
pub fn fetch_rate(type_specs: &[MachineTypeSpec], id: &MachineTypeId) -> f64 {
    let type_spec = type_specs.iter().find(|type_spec| type_spec.id == *id);
    type_spec.map_or(1.0, MachineTypeSpec::rate)
}

/// Where the leader keeps the machine types, for controllers that start while the cloud is away.
pub const MACHINE_TYPES_KEY: &str = "jt/flavors";

/// What can be rented: a type, in a zone, spot or ordinary.
pub type Offer = (MachineTypeId, Zone, bool);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStage {
    Booting,
    Running,
    Failed,
}

/// A rented machine as the cloud has it.
#[derive(Clone, Debug)]
pub struct Rented {
    pub machine_type: MachineTypeId,
    pub zone: Zone,
    pub spot: bool,
    pub stage: MachineStage,
    pub since: Millis,
    /// When it was last in a list, or rented.
    pub seen: Millis,
    /// Since when it stands idle.
    pub idle: Option<Millis>,
}

#[derive(Clone, Debug)]
pub enum CloudCall {
    MachineTypes,
    List {
        after: Option<MachineId>,
    },
    Rent {
        request_id: String,
        offer: Offer,
        count: u32,
    },
    Delete(Vec<MachineId>),
}

#[derive(Clone, Debug)]
pub struct Listed {
    pub machine_id: MachineId,
    pub machine_type: MachineTypeId,
    pub zone: Zone,
    pub spot: bool,
    pub stage: MachineStage,
    pub age: Millis,
}

#[derive(Clone, Debug)]
pub enum CloudResponse {
    MachineTypes(Vec<MachineTypeSpec>),
    Page {
        machine_ids: Vec<Listed>,
        more: bool,
    },
    Rented(Vec<MachineId>),
    NoCapacity,
    Deleted,
    Failed,
}

/// What the leader knows of the fleet.
#[derive(Default)]
pub struct Fleet {
    pub machine_ids: BTreeMap<MachineId, Rented>,
    /// Being deleted.
    pub deleting: HashSet<MachineId>,
    /// The cloud answered that they are gone; lists may still show them.
    pub gone: HashSet<MachineId>,
    /// Offers that had no capacity: not asked again before.
    pub refused: HashMap<Offer, Millis>,
    /// Rental requests under way.
    pub renting: HashMap<u64, (Offer, u32)>,
    pub rental_requests: u64,
    /// When machines were last chosen to be returned.
    pub returned: Millis,
    pub logged: Millis,
    pub list_started: Millis,
    pub listing: bool,
    /// When the cloud's list was last read to its end.
    pub listed: Millis,
}
