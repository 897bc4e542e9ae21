//! Zones in trouble: what a controller does that is cut off together with its machines, and what
//! the others make of their silence.

pub mod partition_mode;
pub mod zone_health;
