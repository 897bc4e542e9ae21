//! The JSON bodies of the cloud's HTTP interface, and their conversion to the types of
//! [`cloud_api`](super::cloud_api).

use serde::{Deserialize, Serialize};

use super::{ListedMachine, MachineStage, MachineTypeSpec};
use crate::types::{MachineId, MachineTypeId, Millis, Resources, Zone};

/// Response to `GET /flavors`.
#[derive(Deserialize)]
pub struct MachineTypesBody {
    /// All machine types.
    #[serde(rename = "rigs")]
    pub machine_types: Vec<MachineTypeBody>,
}

/// A machine type in [`MachineTypesBody`].
#[derive(Deserialize)]
pub struct MachineTypeBody {
    #[serde(rename = "sku")]
    id: MachineTypeId,
    vcpus: f64,
    accelerators: f64,
    #[serde(rename = "memoryGb")]
    memory_gb: f64,
    #[serde(rename = "localGb", default)]
    cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    fetch_gb_per_s: f64,
    price: f64,
    #[serde(rename = "marketPrice", default)]
    spot_price: f64,
    #[serde(rename = "bootS", default)]
    boot_s: f64,
    #[serde(rename = "yards")]
    zones: Vec<Zone>,
}

impl From<MachineTypeBody> for MachineTypeSpec {
    fn from(body: MachineTypeBody) -> Self {
        Self {
            id: body.id,
            resources: Resources {
                cpus: body.vcpus,
                gpus: body.accelerators,
                memory_gb: body.memory_gb,
            },
            cache_gb: body.cache_gb,
            fetch_gb_per_s: body.fetch_gb_per_s,
            price: body.price,
            spot_price: body.spot_price,
            boot_s: body.boot_s,
            zones: body.zones,
        }
    }
}

/// Request of `POST /rentals`.
#[derive(Serialize)]
pub struct RentBody<'a> {
    /// Idempotency key.
    #[serde(rename = "hire")]
    pub request_id: &'a str,
    /// The machine type to rent.
    #[serde(rename = "rig")]
    pub machine_type: &'a MachineTypeId,
    /// The zone to rent in.
    #[serde(rename = "yard")]
    pub zone: &'a Zone,
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// Ids of machines: the response to `POST /rentals`, and the request of `POST /rentals/delete`.
#[derive(Serialize, Deserialize)]
pub struct MachineIdsBody {
    /// Machines that were rented, or are to be deleted.
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

/// Response to `GET /rentals`: one page of the list.
#[derive(Deserialize)]
pub struct ListBody {
    /// The machines on the page.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListItem>,
    /// Whether another page follows.
    #[serde(default)]
    pub truncated: bool,
}

/// A machine in [`ListBody`].
#[derive(Deserialize)]
pub struct ListItem {
    id: MachineId,
    #[serde(rename = "rig")]
    machine_type: MachineTypeId,
    #[serde(rename = "yard")]
    zone: Zone,
    #[serde(rename = "loaners")]
    spot: bool,
    stage: StageBody,
    #[serde(rename = "ageS", default)]
    age_s: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StageBody {
    Booting,
    Running,
    Failed,
}

impl From<StageBody> for MachineStage {
    fn from(stage: StageBody) -> Self {
        match stage {
            StageBody::Booting => Self::Booting,
            StageBody::Running => Self::Running,
            StageBody::Failed => Self::Failed,
        }
    }
}

impl From<ListItem> for ListedMachine {
    fn from(item: ListItem) -> Self {
        Self {
            machine_id: item.id,
            machine_type: item.machine_type,
            zone: item.zone,
            spot: item.spot,
            stage: item.stage.into(),
            age: Millis::from_secs(item.age_s),
        }
    }
}
