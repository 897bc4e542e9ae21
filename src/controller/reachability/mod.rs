//! Machines whose contact works in one direction only, and the state of the contact as a whole.
//!
//! Machines whose heartbeats arrive while nothing confirms that commands do are probed (`probes`).
//! Machines that answer commands while their heartbeats are lost are evacuated before their lease
//! expires (`evacuation`). [`WorkerContact`] shows whether heartbeats arrive here at all.

mod contact;
mod evacuation;
mod probes;

pub(super) use contact::WorkerContact;

#[cfg(test)]
mod tests;
