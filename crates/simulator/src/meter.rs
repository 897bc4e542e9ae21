//! Counters of the messages and events of each simulated controller, for measuring cost against region size.

use std::collections::BTreeMap;
use std::time::Duration;

/// Direction of a message, seen from the controller that counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// To the controller.
    Received,
    /// From the controller.
    Sent,
}

impl Direction {
    /// The direction's label in CSV output.
    pub fn label(self) -> &'static str {
        match self {
            Direction::Received => "received",
            Direction::Sent => "sent",
        }
    }
}

/// Message count and volume for one kind of message in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the messages in bytes; 0 for kinds whose size is not counted.
    pub bytes: u64,
}

/// Event count and processing time for one kind of event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Handling {
    /// Number of events.
    pub events: u64,
    /// Time spent handling the events on the machine that runs the simulation. It varies from run to run, unlike the
    /// counts.
    pub time: Duration,
}

/// Counters of one controller.
#[derive(Clone, Debug, Default)]
pub struct NodeMeter {
    /// Traffic by direction and kind of message.
    pub traffic: BTreeMap<(Direction, &'static str), Traffic>,
    /// Handled events by kind.
    pub handling: BTreeMap<&'static str, Handling>,
}

impl NodeMeter {
    /// Counts one message and its size in bytes.
    pub fn message(&mut self, direction: Direction, kind: &'static str, bytes: usize) {
        let traffic = self.traffic.entry((direction, kind)).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// Counts one event and the time that the controller took to handle it.
    pub fn handled(&mut self, kind: &'static str, time: Duration) {
        let handling = self.handling.entry(kind).or_default();
        handling.events += 1;
        handling.time += time;
    }

    /// Total time spent handling events.
    pub fn busy(&self) -> Duration {
        self.handling.values().map(|handling| handling.time).sum()
    }
}

/// Counters of all controllers of a simulated region.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// One entry for each controller, by controller index.
    pub nodes: Vec<NodeMeter>,
}

impl Meter {
    /// Creates zeroed counters for a number of controllers.
    pub fn new(controllers: usize) -> Self {
        Self {
            nodes: vec![NodeMeter::default(); controllers],
        }
    }
}
