//! Machine types as the cloud describes them: capacity, price, boot time and zones.

use serde::{Deserialize, Serialize};

use crate::types::{MachineTypeId, Resources, Zone};

/// Key under which the leader stores the machine types, for controllers that start during an
/// outage of the cloud.
pub const MACHINE_TYPES_KEY: &str = "jt/flavors";

/// An image fetch that takes at most this part of the boot time counts as quick: machines are not
/// kept idle to avoid it.
const QUICK_FETCH_BOOT_FRACTION: f64 = 0.5;
/// Lower bound of a fetch rate, in GB per second. Prevents a division by zero for types whose rate is
/// not given.
const MIN_FETCH_GB_PER_S: f64 = 0.01;
/// Fetch rate, in GB per second, that is assumed for a machine type that the cloud does not list.
const UNKNOWN_TYPE_FETCH_GB_PER_S: f64 = 1.0;

/// A machine type. This is also the record under [`MACHINE_TYPES_KEY`], where fields have their
/// serialized names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeSpec {
    /// Its name in the cloud.
    #[serde(rename = "sku")]
    pub id: MachineTypeId,
    /// Capacity of an empty machine.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Size of the image cache, in GB.
    pub cache_gb: f64,
    /// Rate of image fetches, in GB per second; 0 if it is not given. For calculations see [`MachineTypeSpec::fetch_rate`].
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine, in the cloud's unit per unit of time.
    pub price: f64,
    /// Price of a spot machine, in the same unit.
    pub spot_price: f64,
    /// Usual time from the rental to the first heartbeat, in seconds.
    pub boot_s: f64,
    /// Zones that offer the type.
    pub zones: Vec<Zone>,
}

impl MachineTypeSpec {
    /// Seconds by which fetching an image of `gb` gigabytes takes longer than a quick fetch; 0 if the
    /// fetch is quick.
    #[must_use]
    pub fn slow_fetch_s(&self, gb: f64) -> f64 {
        (gb / self.fetch_rate() - QUICK_FETCH_BOOT_FRACTION * self.boot_s).max(0.0)
    }

    /// Rate at which images are fetched, in GB per second; never 0.
    #[must_use]
    pub fn fetch_rate(&self) -> f64 {
        self.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
    }
}

/// The description of a machine type; `None` if the cloud does not list it.
#[must_use]
pub fn find_machine_type<'a>(
    type_specs: &'a [MachineTypeSpec],
    id: &MachineTypeId,
) -> Option<&'a MachineTypeSpec> {
    type_specs.iter().find(|type_spec| type_spec.id == *id)
}

/// Rate at which a machine of a type fetches images, in GB per second. A default is assumed for a type
/// that the cloud does not list.
#[must_use]
pub fn fetch_rate(type_specs: &[MachineTypeSpec], id: &MachineTypeId) -> f64 {
    find_machine_type(type_specs, id)
        .map_or(UNKNOWN_TYPE_FETCH_GB_PER_S, MachineTypeSpec::fetch_rate)
}
