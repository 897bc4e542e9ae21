//! Decisions about zones that are cut off, free of I/O: what a controller does when it loses the key-value
//! store together with its machines, and how the leader judges a zone whose machines are silent.

pub mod partition_mode;
pub mod zone_health;
