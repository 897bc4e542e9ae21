//! Injected network and store faults, and lookups of the faults that are active now.

use std::collections::HashSet;
use std::ops::Range;

use jaspertiller::types::{MachineId, Zone};

use super::World;
use crate::machines::OutgoingHeartbeat;

/// A network cut around one controller. Times are virtual, in milliseconds.
#[derive(Clone)]
pub struct Cut {
    /// Index of the controller.
    pub controller: usize,
    /// The controller and the store do not reach each other.
    pub from_store: bool,
    /// The controller and workers do not reach each other.
    pub from_workers: bool,
    /// The controller and its peers do not reach each other.
    pub from_peers: bool,
    /// Start of the cut.
    pub since: u64,
    /// End of the cut, exclusive.
    pub until: u64,
    /// Messages are held and delivered at the end, instead of lost.
    pub hold: bool,
}

/// A network partition between a zone and everything outside the zone. Traffic inside the zone is not affected.
#[derive(Clone)]
pub struct ZoneCut {
    /// The zone that is cut off.
    pub zone: Zone,
    /// Start of the partition in milliseconds.
    pub since: u64,
    /// End of the partition in milliseconds, exclusive.
    pub until: u64,
    /// Messages are held and delivered at the end, instead of lost.
    pub hold: bool,
}

/// The store refuses one controller: its calls are answered with 503, its watches get no response, and its
/// lease expires.
#[derive(Clone)]
pub struct Refusal {
    /// Index of the controller.
    pub controller: usize,
    /// Start of the refusal in milliseconds.
    pub since: u64,
    /// End of the refusal in milliseconds, exclusive.
    pub until: u64,
}

/// A fault that delays a share of messages.
#[derive(Clone)]
pub struct RandomDelay {
    /// Share of messages that are affected, from 0 to 1.
    pub share: f64,
    /// Delay of an affected message in milliseconds.
    pub delay_ms: Range<u64>,
}

/// A fault that duplicates a share of heartbeats.
#[derive(Clone)]
pub struct HeartbeatCopies {
    /// Share of heartbeats that are duplicated, from 0 to 1.
    pub share: f64,
    /// Delay of the duplicate in milliseconds.
    pub delay_ms: Range<u64>,
    /// Share of duplicated heartbeats whose original is dropped, so that only the duplicate arrives, from 0 to 1.
    pub replace_share: f64,
}

/// A fault that delivers direct commands, which were carried out and answered, to their workers again.
#[derive(Clone)]
pub struct CommandCopies {
    /// Share of direct commands that are copied, from 0 to 1.
    pub share: f64,
    /// Share of recent direct commands that are copied when their sender or their machine is back within a second,
    /// from 0 to 1.
    pub restart_share: f64,
    /// Delay of a copy in milliseconds.
    pub delay_ms: Range<u64>,
    /// Most copies of the same commands.
    pub max_copies: u32,
}

/// A period in which store calls take longer.
#[derive(Clone)]
pub struct SlowStore {
    /// End of the period in milliseconds, exclusive.
    pub until: u64,
    /// Added to the duration of each call, in milliseconds.
    pub delay_ms: Range<u64>,
}

/// Faults of the network between controllers, workers and the cloud.
#[derive(Default)]
pub struct NetworkFaults {
    /// Cuts around single controllers.
    pub cuts: Vec<Cut>,
    /// Partitions of zones.
    pub zone_cuts: Vec<ZoneCut>,
    /// Added to the duration of messages between controllers and between controllers and workers, in milliseconds.
    pub slow_links: Option<Range<u64>>,
    /// Delay of direct commands. Responses to commands are delayed with the same share, by a delay of their own.
    pub held_commands: Option<RandomDelay>,
    /// Share of direct commands that are executed at once and whose reply comes after the sender has timed out, from 0
    /// to 1.
    pub late_reply_share: f64,
    /// Duplication of direct commands that were carried out and answered.
    pub command_copies: Option<CommandCopies>,
    /// Duplication of heartbeats.
    pub heartbeat_copies: Option<HeartbeatCopies>,
    /// Duplication of messages between controllers, with the delay of the duplicate.
    pub peer_copies: Option<RandomDelay>,
    /// Machines whose heartbeats are intercepted until `World::release_heartbeats`.
    pub intercepted_machines: HashSet<MachineId>,
    /// Heartbeats that were intercepted.
    pub intercepted_heartbeats: Vec<OutgoingHeartbeat>,
    /// Outages of the cloud: start and exclusive end in milliseconds.
    pub cloud_outages: Vec<(u64, u64)>,
}

/// Faults of the store and of the calls to it.
#[derive(Default)]
pub struct StoreFaults {
    /// Outages of the store: start and exclusive end in milliseconds.
    pub outages: Vec<(u64, u64)>,
    /// Periods in which the store refuses single controllers.
    pub refusals: Vec<Refusal>,
    /// A period in which calls take longer.
    pub slow: Option<SlowStore>,
    /// Share of transactions whose response is lost, from 0 to 1; half of these are also applied 4 s late.
    pub lost_response_share: f64,
    /// Share of transactions that get no response and are applied 2 to 12 s later, after newer transactions, from 0
    /// to 1.
    pub late_write_share: f64,
    /// Transactions that are executed at once and answered late, before their sender times out.
    pub late_answers: Option<RandomDelay>,
}

/// How often injected faults took effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultCounts {
    /// Late transactions that the store committed.
    pub late_writes_committed: u64,
    /// Late transactions that the store rejected, since their conditions no longer held.
    pub late_writes_rejected: u64,
    /// Commits whose answer came late.
    pub late_answers: u64,
    /// Late answers to commits that came after one of their records had been changed again or deleted.
    pub outdated_answers: u64,
    /// Direct commands that were executed after their sender had timed out.
    pub late_commands_executed: u64,
    /// Duplicates of direct commands that workers accepted, with a start or a stop among them.
    pub command_copies: u64,
    /// Tasks that such a duplicate started.
    pub starts_by_copies: u64,
    /// Replies to direct commands that came after their sender had timed out.
    pub late_replies: u64,
    /// Duplicate heartbeats with an earlier agent epoch than the current one of their machine.
    pub copies_of_old_agent_epochs: u64,
    /// Duplicates of messages between controllers.
    pub peer_copies: u64,
    /// Jobs whose user cancelled, polled and resubmitted as the last task completed.
    pub completion_races: u64,
    /// Transactions that the store refused because of its rate limit.
    pub throttled_transactions: u64,
}

/// A cut that blocks a message, and what happens to the message.
#[derive(Clone, Copy)]
pub(super) struct Blocked {
    /// End of the cut in milliseconds.
    pub until: u64,
    /// The message is held and delivered at the end, instead of lost.
    pub hold: bool,
}

impl World {
    /// The cut around a controller that blocks a kind of traffic now, if any.
    fn controller_cut(&self, controller: usize, affects: fn(&Cut) -> bool) -> Option<Blocked> {
        let now = self.now;
        let active = |cut: &&Cut| {
            cut.controller == controller && affects(cut) && cut.since <= now && now < cut.until
        };
        self.network.cuts.iter().find(active).map(|cut| Blocked {
            until: cut.until,
            hold: cut.hold,
        })
    }

    /// The partition that separates two places now, if any. `None` as a place stands for what is in no zone.
    pub(super) fn zone_cut(&self, from: Option<&Zone>, to: Option<&Zone>) -> Option<Blocked> {
        let now = self.now;
        let separates = |cut: &&ZoneCut| {
            let is_inside = |place: Option<&Zone>| place == Some(&cut.zone);
            is_inside(from) != is_inside(to) && cut.since <= now && now < cut.until
        };
        let cut = self.network.zone_cuts.iter().find(separates)?;
        Some(Blocked {
            until: cut.until,
            hold: cut.hold,
        })
    }

    /// The cut between a controller and the store, if any.
    pub(super) fn store_cut(&self, controller: usize) -> Option<Blocked> {
        let cut = self.controller_cut(controller, |cut| cut.from_store);
        cut.or_else(|| self.zone_cut(Some(&self.settings[controller].zone), None))
    }

    /// The cut between a controller and a machine, if any.
    pub(super) fn worker_cut(&self, controller: usize, machine_id: &MachineId) -> Option<Blocked> {
        let cut = self.controller_cut(controller, |cut| cut.from_workers);
        let machine = self.machines.by_id.get(machine_id);
        let zone = machine.map(|machine| &machine.zone);
        cut.or_else(|| self.zone_cut(Some(&self.settings[controller].zone), zone))
    }

    /// Whether a cut separates two controllers now.
    pub(super) fn are_peers_cut(&self, from: usize, to: usize) -> bool {
        let cut = |controller| self.controller_cut(controller, |cut| cut.from_peers);
        let (from_zone, to_zone) = (&self.settings[from].zone, &self.settings[to].zone);
        cut(from).is_some()
            || cut(to).is_some()
            || self.zone_cut(Some(from_zone), Some(to_zone)).is_some()
    }

    /// End of the refusal of a controller that is active now, if any. An outage of the store that is under way at
    /// that end extends it.
    pub(super) fn refused_until(&self, controller: usize) -> Option<u64> {
        let now = self.now;
        let active = |refusal: &&Refusal| {
            refusal.controller == controller && refusal.since <= now && now < refusal.until
        };
        let until = self.store_faults.refusals.iter().find(active)?.until;
        let mut outages = self.store_faults.outages.iter();
        let following = outages.find(|(from, to)| (*from..*to).contains(&until));
        Some(following.map_or(until, |(_, to)| *to))
    }

    /// Whether the store is in an outage now.
    pub(super) fn is_store_down(&self) -> bool {
        self.is_within(&self.store_faults.outages)
    }

    /// Whether the cloud is in an outage now.
    pub(super) fn is_cloud_down(&self) -> bool {
        self.is_within(&self.network.cloud_outages)
    }

    fn is_within(&self, periods: &[(u64, u64)]) -> bool {
        let mut periods = periods.iter();
        periods.any(|(from, to)| (*from..*to).contains(&self.now))
    }
}
