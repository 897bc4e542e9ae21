//! The memory that request bodies take while they are received.
//!
//! Many connections that each send a large part of a body and then stall would otherwise exhaust the memory of the
//! process, although each of them keeps to its own limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes that the bodies of a route may take at a time.
#[derive(Debug)]
pub(super) struct BodyMemory {
    available: AtomicUsize,
}

impl BodyMemory {
    /// Creates a budget of this many bytes.
    pub(super) fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            available: AtomicUsize::new(bytes),
        })
    }

    fn take(&self, bytes: usize) -> bool {
        let remaining = |available: usize| available.checked_sub(bytes);
        let order = Ordering::Relaxed;
        self.available.fetch_update(order, order, remaining).is_ok()
    }
}

/// The part of the budget that one body takes, returned when the reservation is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub(super) fn new(memory: Arc<BodyMemory>) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Reserves more bytes; returns whether they are available.
    #[must_use]
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let is_available = self.memory.take(bytes);
        if is_available {
            self.bytes += bytes;
        }
        is_available
    }

    /// Returns all bytes to the budget.
    pub(super) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.memory.available.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
