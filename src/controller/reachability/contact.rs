//! Whether workers' heartbeats reach this controller at all.

use rustc_hash::FxHashMap as HashMap;

use super::dropped_channels::DroppedChannels;
use super::start_counts::StartCounts;
use crate::types::{ExchangeId, MachineId, Millis};

/// Time before a controller that released its shards a second time in a row inspects workers again;
/// it doubles with each further release. Without this delay, shards would change holders every few
/// seconds while heartbeats reach no controller.
const RELEASE_BACKOFF: Millis = Millis(10_000);
/// The backoff stops growing after this many doublings.
const MAX_RELEASE_BACKOFF_DOUBLINGS: u32 = 3;

/// Whether workers' heartbeats arrive at this controller, and when.
#[derive(Debug)]
pub(in crate::controller) struct WorkerContact {
    /// Whether workers' heartbeats reach this controller; without them it cannot hold shards.
    pub(in crate::controller) receives_heartbeats: bool,
    /// When the last heartbeat of any worker arrived.
    pub(in crate::controller) last_heartbeat: Millis,
    /// When a worker was last inspected because no heartbeats arrived. It is in the future while
    /// the next inspection is delayed.
    pub(in crate::controller) last_inspection: Millis,
    /// How many times in a row this controller released its shards because no heartbeats arrived.
    pub(in crate::controller) shard_release_streak: u32,
    /// Whether the heartbeats of most machines of this controller's shards are overdue.
    pub(in crate::controller) most_heartbeats_overdue: bool,
    /// When peers received heartbeats of machines that no peer has described to this controller
    /// yet.
    pub(in crate::controller) relayed_heartbeats: HashMap<MachineId, Millis>,
    /// When the last sweep over all machines began.
    pub(in crate::controller) last_sweep: Millis,
    /// What machines that were dropped from view must not be told to forget.
    pub(in crate::controller) dropped_channels: DroppedChannels,
    /// Counts of starts, for the periodic log line.
    pub(in crate::controller) start_counts: StartCounts,
    /// The newest exchange of direct commands.
    last_exchange: ExchangeId,
}

impl WorkerContact {
    /// The state of a controller that has not received any heartbeats yet, but expects them.
    pub(in crate::controller) fn new() -> Self {
        Self {
            receives_heartbeats: true,
            last_heartbeat: Millis(0),
            last_inspection: Millis(0),
            shard_release_streak: 0,
            most_heartbeats_overdue: false,
            relayed_heartbeats: HashMap::default(),
            last_sweep: Millis(0),
            dropped_channels: DroppedChannels::default(),
            start_counts: StartCounts::default(),
            last_exchange: ExchangeId(0),
        }
    }

    /// The id of a new exchange of direct commands.
    pub(in crate::controller) fn next_exchange(&mut self) -> ExchangeId {
        self.last_exchange.0 += 1;
        self.last_exchange
    }

    /// Records that a heartbeat arrived.
    pub(in crate::controller) fn record_heartbeat(&mut self, now: Millis) {
        self.last_heartbeat = now;
        self.receives_heartbeats = true;
        self.shard_release_streak = 0;
    }

    /// Whether heartbeats arrive at this controller, the last one within `silence`.
    pub(in crate::controller) fn is_current(&self, now: Millis, silence: Millis) -> bool {
        self.receives_heartbeats && now.since(self.last_heartbeat) <= silence
    }

    /// Records that the shards are released since no heartbeats arrive. The first inspection of a
    /// worker follows after the backoff.
    pub(in crate::controller) fn begin_shard_release(&mut self, now: Millis) {
        self.receives_heartbeats = false;
        self.last_inspection = now + release_backoff(self.shard_release_streak);
        self.shard_release_streak += 1;
    }

    /// Records that a worker answered an inspection, so workers can be reached. The streak of
    /// releases is reset only when a heartbeat arrives.
    pub(in crate::controller) fn restore(&mut self, now: Millis) {
        self.receives_heartbeats = true;
        self.last_heartbeat = now;
    }
}

/// The time before the first inspection, after `earlier_releases` releases in a row.
fn release_backoff(earlier_releases: u32) -> Millis {
    match earlier_releases {
        0 => Millis(0),
        releases => {
            let doublings = (releases - 1).min(MAX_RELEASE_BACKOFF_DOUBLINGS);
            Millis(RELEASE_BACKOFF.0 << doublings)
        }
    }
}
