//! What the cloud's JSON looks like.

use serde::{Deserialize, Serialize};

use super::{Flavor, Listed, Stage};
use crate::types::{HostId, Millis, Room, Sku, Zone};

#[derive(Deserialize)]
pub struct FlavorsBody {
    pub rigs: Vec<FlavorBody>,
}

#[derive(Deserialize)]
pub struct FlavorBody {
    sku: Sku,
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
    yards: Vec<Zone>,
}

impl From<FlavorBody> for Flavor {
    fn from(b: FlavorBody) -> Self {
        Self {
            sku: b.sku,
            room: Room {
                cpus: b.vcpus,
                gpus: b.accelerators,
                memory_gb: b.memory_gb,
            },
            cache_gb: b.local_gb,
            fetch_gb_per_s: b.fetch_gb_per_s,
            price: b.price,
            spot_price: b.market_price,
            boot_s: b.boot_s,
            zones: b.yards,
        }
    }
}

#[derive(Serialize)]
pub struct RentBody<'a> {
    pub hire: &'a str,
    pub rig: &'a Sku,
    pub yard: &'a Zone,
    pub loaners: bool,
    pub count: u32,
}

#[derive(Serialize, Deserialize)]
pub struct Hosts {
    pub hosts: Vec<HostId>,
}

#[derive(Deserialize)]
pub struct ListBody {
    pub hosts: Vec<ListItem>,
    #[serde(default)]
    pub truncated: bool,
}

#[derive(Deserialize)]
pub struct ListItem {
    id: HostId,
    rig: Sku,
    yard: Zone,
    loaners: bool,
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
            host: item.id,
            rig: item.rig,
            zone: item.yard,
            spot: item.loaners,
            stage: match item.stage {
                StageBody::Booting => Stage::Booting,
                StageBody::Running => Stage::Running,
                StageBody::Failed => Stage::Failed,
            },
            age: Millis::from_secs(item.age_s),
        }
    }
}
