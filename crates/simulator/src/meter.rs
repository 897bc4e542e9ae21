//! Counts of what each simulated controller is sent, sends, and does, for slopes of cost by size.

use std::collections::BTreeMap;
use std::time::Duration;

/// Whether a controller received a message or sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// The controller received it.
    Received,
    /// The controller sent it.
    Sent,
}

impl Direction {
    /// The word that tables use.
    pub fn word(self) -> &'static str {
        match self {
            Direction::Received => "received",
            Direction::Sent => "sent",
        }
    }
}

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Events of one kind that a controller handled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Handling {
    /// Number of events.
    pub events: u64,
    /// Processor time of this machine: it varies from run to run, the counts do not.
    pub time: Duration,
}

/// What one controller exchanged and handled.
#[derive(Clone, Debug, Default)]
pub struct NodeMeter {
    /// Messages by direction and kind.
    pub traffic: BTreeMap<(Direction, &'static str), Traffic>,
    /// Events by kind.
    pub handling: BTreeMap<&'static str, Handling>,
}

impl NodeMeter {
    /// Notes a message of so many bytes.
    pub fn message(&mut self, direction: Direction, kind: &'static str, bytes: usize) {
        let traffic = self.traffic.entry((direction, kind)).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// Notes an event that took the controller so long.
    pub fn handled(&mut self, kind: &'static str, time: Duration) {
        let handling = self.handling.entry(kind).or_default();
        handling.events += 1;
        handling.time += time;
    }

    /// Time spent on all events.
    pub fn busy(&self) -> Duration {
        self.handling.values().map(|handling| handling.time).sum()
    }
}

/// Meters of all controllers of a simulated region.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// One meter for each controller.
    pub nodes: Vec<NodeMeter>,
}

impl Meter {
    /// Meters that have counted nothing yet.
    pub fn new(controllers: usize) -> Self {
        Self {
            nodes: vec![NodeMeter::default(); controllers],
        }
    }
}
