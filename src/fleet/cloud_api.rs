//! Calls to the cloud and its responses, independent of their wire format.

use std::fmt;

use super::MachineTypeSpec;
use crate::types::{MachineId, MachineTypeId, Millis, Zone};

/// What can be rented: machines of a type in a zone, spot or ordinary.
///
/// The order of the fields decides the order in which a plan's rentals are requested.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Type of the machines, described by a [`MachineTypeSpec`].
    pub machine_type: MachineTypeId,
    /// The zone of the machines.
    pub zone: Zone,
    /// Whether the machines are spot: cheaper, and taken away by the cloud at short notice.
    pub spot: bool,
}

/// Formats the offer for log lines as `(type, zone, spot)`.
impl fmt::Display for Offer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({}, {}, {})", self.machine_type, self.zone, self.spot)
    }
}

/// Lifecycle stage of a rented machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStage {
    /// Rented, and its worker has not started yet.
    Booting,
    /// Its worker has started.
    Running,
    /// The cloud reports it as failed; it will not run again.
    Failed,
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// Reads all machine types.
    MachineTypes,
    /// Reads one page of the list of rented machines.
    List {
        /// The last machine of the previous page; `None` requests the first page.
        after: Option<MachineId>,
    },
    /// Rents machines.
    Rent {
        /// Idempotency key: the cloud answers a repeated request with the same machines.
        request_id: String,
        /// What to rent.
        offer: Offer,
        /// How many machines.
        count: u32,
    },
    /// Deletes machines permanently.
    Delete(Vec<MachineId>),
}

/// A machine on a page of the cloud's list.
#[derive(Clone, Debug)]
pub struct ListedMachine {
    /// Unique id; the last one of a page is the cursor for the next page.
    pub machine_id: MachineId,
    /// Type that it was rented as.
    pub machine_type: MachineTypeId,
    /// Zone that it was rented in.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its stage when the list was made, which may be outdated.
    pub stage: MachineStage,
    /// Time since it was rented.
    pub age: Millis,
}

/// The cloud's response to a [`CloudCall`].
#[derive(Clone, Debug)]
pub enum CloudResponse {
    /// All machine types.
    MachineTypes(Vec<MachineTypeSpec>),
    /// A page of the list of machines.
    Page {
        /// The machines, in order of their ids.
        machines: Vec<ListedMachine>,
        /// Whether another page follows.
        more: bool,
    },
    /// The machines that were rented: at most as many as requested.
    Rented(Vec<MachineId>),
    /// The offer has no capacity at present.
    NoCapacity,
    /// The machines are deleted: no task runs on them any more.
    Deleted,
    /// The call failed, or its outcome is unknown.
    Failed,
}
