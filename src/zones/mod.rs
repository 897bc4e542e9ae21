//! Decisions about zones that are cut off, free of I/O: what a controller does that loses contact with the
//! key-value store together with its machines, and what the leader makes of a zone's silence.

/// Renews worker leases while the controller is cut off from the store.
pub mod partition_mode;
/// Assesses the health of zones, and selects silent machines for deletion.
pub mod zone_health;
