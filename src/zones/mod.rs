//! Decisions about zones that are cut off, free of I/O: what a controller does that loses contact with the
//! key-value store together with its machines, and what the leader makes of a zone's silence.

pub mod partition_mode;
pub mod zone_health;
