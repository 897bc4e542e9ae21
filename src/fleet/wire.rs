//! What the cloud's JSON looks like.

use serde::{Deserialize, Serialize};

use super::{Listed, MachineStage, MachineTypeSpec};
use crate::types::{MachineId, MachineTypeId, Millis, Resources, Zone};

#[derive(Deserialize)]
pub struct MachineTypesBody {
    #[serde(rename = "rigs")]
    pub machine_types: Vec<MachineTypeBody>,
}

#[derive(Deserialize)]
pub struct MachineTypeBody {
    #[serde(rename = "sku")]
    id: MachineTypeId,
    vcpus: f64,
    accelerators: f64,
    #[serde(rename = "memoryGb")]
    memory_gb: f64,
    #[serde(rename = "localGb", default)]
    local_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    fetch_gb_per_s: f64,
    price: f64,
    #[serde(rename = "marketPrice", default)]
    market_price: f64,
    #[serde(rename = "bootS", default)]
    boot_s: f64,
    #[serde(rename = "yards")]
    zones: Vec<Zone>,
}

impl From<MachineTypeBody> for MachineTypeSpec {
    fn from(b: MachineTypeBody) -> Self {
        Self {
            id: b.id,
            resources: Resources {
                cpus: b.vcpus,
                gpus: b.accelerators,
                memory_gb: b.memory_gb,
            },
            cache_gb: b.local_gb,
            fetch_gb_per_s: b.fetch_gb_per_s,
            price: b.price,
            spot_price: b.market_price,
            boot_s: b.boot_s,
            zones: b.zones,
        }
    }
}

#[derive(Serialize)]
pub struct RentBody<'a> {
    #[serde(rename = "hire")]
    pub request_id: &'a str,
    #[serde(rename = "rig")]
    pub machine_type: &'a MachineTypeId,
    #[serde(rename = "yard")]
    pub zone: &'a Zone,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub count: u32,
}

#[derive(Serialize, Deserialize)]
pub struct Machines {
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<MachineId>,
}

#[derive(Deserialize)]
pub struct ListBody {
    #[serde(rename = "hosts")]
    pub machine_ids: Vec<ListItem>,
    #[serde(default)]
    pub truncated: bool,
}

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

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StageBody {
    Booting,
    Running,
    Failed,
}

impl From<ListItem> for Listed {
    fn from(item: ListItem) -> Self {
        Self {
            machine_id: item.id,
            machine_type: item.machine_type,
            zone: item.zone,
            spot: item.spot,
            stage: match item.stage {
                StageBody::Booting => MachineStage::Booting,
                StageBody::Running => MachineStage::Running,
                StageBody::Failed => MachineStage::Failed,
            },
            age: Millis::from_secs(item.age_s),
        }
    }
}
