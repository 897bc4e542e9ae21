//! Zones in trouble: what a controller does that is cut off together with its machines, and what
//! the others make of their silence.

pub mod keep;
pub mod silence;
