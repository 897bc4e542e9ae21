//! The health of zones, and which machines the leader deletes for their silence.
//!
//! A single silent machine has most likely failed: it is deleted, and its tasks start elsewhere. A zone that
//! falls silent as a whole is most likely cut off, with its machines still running their tasks, and deleting
//! them destroys work that would be available again after the partition. Deletions in such a zone are therefore
//! deferred at first, and then made in steps whose total doubles, cheapest machines first. Regardless of the
//! health of zones, the number of machines deleted for their silence within a time window is bounded.
//!
//! [`ZoneHealthTracker`] owns the health of each zone and the recent deletions; the leader's autoscaler passes
//! it an observation of each zone once a second and asks it which silent machines to delete.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{MachineId, Millis, Zone};

/// The health of a zone, judged by the heartbeats of its machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Heartbeats arrive from nearly all machines.
    #[default]
    Healthy,
    /// Many machines are silent while others send heartbeats, or all are silent while a controller of the zone is
    /// in contact: the silent machines have failed.
    Degraded,
    /// Nearly all machines are silent and so are the zone's controllers, or many machines are in contact one
    /// way only: the zone is cut off and its machines keep running their tasks.
    Partitioned,
    /// Machines of a zone that was partitioned send heartbeats again, but not nearly all of them yet.
    Recovering,
}

/// An observation of a zone at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneObservation {
    /// Machines whose silence at least one controller can judge.
    pub machines: u32,
    /// Machines among them that are silent.
    pub silent: u32,
    /// Machines among them that have been in contact one way only for a while: they send heartbeats but nothing
    /// confirms that commands arrive, or the reverse.
    pub one_way: u32,
    /// The zone has controllers, and none of them is in contact.
    pub controllers_silent: bool,
}

/// What is lost if a machine is deleted while it still runs; cheaper first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionCost {
    /// No task.
    Idle,
    /// Tasks of arrays: each loses its own progress.
    Arrays,
    /// Tasks of gangs: the whole gang loses its progress.
    Gangs,
    /// Replicas of services: users lose capacity.
    Replicas,
}

/// A machine that is presumed lost because of its silence.
#[derive(Clone, Debug)]
pub struct SuspectedMachine {
    /// The machine.
    pub machine_id: MachineId,
    /// Its zone.
    pub zone: Zone,
    /// What is lost if it still runs and is deleted.
    pub eviction_cost: EvictionCost,
}

/// A zone with fewer machines keeps its health, since so few are no evidence about the zone.
const MIN_OBSERVED_MACHINES: u32 = 3;

/// A threshold with hysteresis, so that a zone near it does not change its health repeatedly. Both values are
/// fractions of the zone's machines.
#[derive(Clone, Copy)]
struct Threshold {
    /// The state is entered at this fraction.
    enter: f64,
    /// The state is left below this fraction.
    leave: f64,
}

/// Fraction of silent machines at which a zone counts as partitioned.
const PARTITIONED: Threshold = Threshold {
    enter: 0.8,
    leave: 0.5,
};
/// Fraction of silent machines at which a zone is not healthy. Also the fraction of machines in contact one way
/// only at which a zone may count as partitioned, since independent failures do not explain a quarter of them.
const DEGRADED: Threshold = Threshold {
    enter: 0.25,
    leave: 0.125,
};
/// In a zone with few machines, this fraction of them in contact one way only is a partition.
const MIN_ONE_WAY_FRACTION: f64 = 0.5;

/// Deletions for silence are bounded within a window of this length, so that a wrong judgement becomes visible
/// before the whole fleet is deleted.
const DELETION_WINDOW: Millis = Millis(30_000);
/// The fraction of a zone's machines that may be deleted for silence within the window.
const MAX_ZONE_FRACTION: f64 = 0.5;
/// The fraction of all machines that may be deleted for silence within the window.
const MAX_FLEET_FRACTION: f64 = 0.25;
/// This many machines may be deleted in any case, so that a small fleet recovers from the loss of a few.
const MIN_DELETION_BOUND: usize = 8;
/// In a zone of any size, this many machines in contact one way only are too many to be independent failures.
const MANY_ONE_WAY_MACHINES: usize = 8;

/// Of a partitioned zone, this fraction of the machines may be deleted in the first step after the hold; each
/// further step doubles the total.
const FIRST_STEP_FRACTION: f64 = 0.02;
/// Time between steps; also how long nothing is deleted in a zone that recovers, since heartbeats of its
/// machines may still be in transit.
const STEP_INTERVAL: Millis = Millis(10_000);
/// Upper bound of the exponent. The steps allow every machine of a zone long before this many doublings.
const MAX_DOUBLINGS: u64 = 16;

impl Threshold {
    /// Whether the state holds at this fraction, given whether it held before.
    fn is_reached(self, fraction: f64, held_before: bool) -> bool {
        fraction >= if held_before { self.leave } else { self.enter }
    }
}

/// What is known of one zone.
#[derive(Debug, Default)]
struct ZoneState {
    health: ZoneHealth,
    /// When the health last changed.
    changed_at: Millis,
    /// Machines at the last observation.
    machines: u32,
    /// Machines deleted for silence since the zone was partitioned.
    deleted_since_partition: usize,
}

impl ZoneState {
    /// The health that follows from an observation and the health before.
    fn next_health(&self, observation: ZoneObservation) -> ZoneHealth {
        let was_partitioned = self.health == ZoneHealth::Partitioned;
        let silent = f64::from(observation.silent) / f64::from(observation.machines);
        let one_way = f64::from(observation.one_way) / f64::from(observation.machines);
        // So many machines in contact one way only have not failed: the fault is in the network.
        let many_one_way = observation.one_way as usize >= MANY_ONE_WAY_MACHINES
            || observation.one_way >= MIN_OBSERVED_MACHINES && one_way >= MIN_ONE_WAY_FRACTION;
        let partitioned = PARTITIONED.is_reached(silent, was_partitioned)
            && observation.controllers_silent
            || many_one_way && DEGRADED.is_reached(one_way, was_partitioned);
        let degraded = DEGRADED.is_reached(silent, self.health != ZoneHealth::Healthy);
        match (self.health, partitioned, degraded) {
            (_, true, _) => ZoneHealth::Partitioned,
            (ZoneHealth::Partitioned | ZoneHealth::Recovering, _, true) => ZoneHealth::Recovering,
            (_, _, true) => ZoneHealth::Degraded,
            _ => ZoneHealth::Healthy,
        }
    }

    /// Whether the zone's silent machines must not be deleted at `now`.
    fn defers_deletions(&self, hold: Millis, now: Millis) -> bool {
        let elapsed = now.since(self.changed_at);
        match self.health {
            ZoneHealth::Partitioned => {
                self.deleted_since_partition >= self.allowed_deletions(elapsed, hold)
            }
            ZoneHealth::Recovering => elapsed < STEP_INTERVAL,
            ZoneHealth::Healthy | ZoneHealth::Degraded => false,
        }
    }

    /// How many machines of a zone that was partitioned `elapsed` ago may have been deleted by now.
    fn allowed_deletions(&self, elapsed: Millis, hold: Millis) -> usize {
        if elapsed < hold {
            return 0;
        }
        let doublings = (elapsed.since(hold).0 / STEP_INTERVAL.0).min(MAX_DOUBLINGS) as i32;
        (f64::from(self.machines) * FIRST_STEP_FRACTION * 2f64.powi(doublings)).ceil() as usize
    }
}

/// The health of all zones, and the deletions for silence within the window.
#[derive(Debug, Default)]
pub struct ZoneHealthTracker {
    zones: BTreeMap<Zone, ZoneState>,
    /// When a machine was deleted for silence, and in which zone; oldest first.
    recent_deletions: VecDeque<(Millis, Zone)>,
}

impl ZoneHealthTracker {
    /// Applies an observation of a zone; returns its health if that has changed.
    pub fn observe(
        &mut self,
        zone: &Zone,
        observation: ZoneObservation,
        now: Millis,
    ) -> Option<ZoneHealth> {
        let state = self.zones.entry(zone.clone()).or_default();
        if observation.machines < MIN_OBSERVED_MACHINES {
            return None;
        }
        state.machines = observation.machines;
        let next = state.next_health(observation);
        if next == state.health {
            return None;
        }
        if next == ZoneHealth::Partitioned {
            state.deleted_since_partition = 0;
        }
        (state.health, state.changed_at) = (next, now);
        Some(next)
    }

    /// The health of a zone; healthy if it was never observed.
    #[must_use]
    pub fn health(&self, zone: &Zone) -> ZoneHealth {
        self.zones
            .get(zone)
            .map(|state| state.health)
            .unwrap_or_default()
    }

    /// Whether nothing should be started or rented in a zone, since no command would arrive there: the zone is
    /// partitioned.
    #[must_use]
    pub fn is_unreachable(&self, zone: &Zone) -> bool {
        self.health(zone) == ZoneHealth::Partitioned
    }

    /// Chooses the machines to delete now among those that are presumed lost, cheapest first. The caller must
    /// delete all returned machines, since they count against the bound; all other machines must be kept for
    /// now. `max_deletions` is how many the caller can delete now; `hold` is the time after the start of a
    /// partition during which no machine of the zone is deleted.
    #[must_use]
    pub fn choose_deletions(
        &mut self,
        mut suspected: Vec<SuspectedMachine>,
        max_deletions: usize,
        hold: Millis,
        now: Millis,
    ) -> Vec<MachineId> {
        self.forget_old_deletions(now);
        suspected.sort_by(|a, b| {
            (a.eviction_cost, &a.machine_id).cmp(&(b.eviction_cost, &b.machine_id))
        });
        let all_machines: u32 = self.zones.values().map(|state| state.machines).sum();
        let fleet_bound = deletion_bound(MAX_FLEET_FRACTION, all_machines);
        let mut chosen = Vec::new();
        let mut deferred = 0;
        for suspect in suspected {
            let state = self.zones.entry(suspect.zone.clone()).or_default();
            let recent = &self.recent_deletions;
            let in_zone = recent.iter().filter(|(_, zone)| *zone == suspect.zone);
            let at_bound = in_zone.count() >= deletion_bound(MAX_ZONE_FRACTION, state.machines)
                || recent.len() >= fleet_bound;
            let held = state.defers_deletions(hold, now);
            if at_bound || held || chosen.len() >= max_deletions {
                deferred += 1;
                continue;
            }
            state.deleted_since_partition += 1;
            self.recent_deletions.push_back((now, suspect.zone));
            chosen.push(suspect.machine_id);
        }
        if deferred > 0 {
            tracing::debug!(held = deferred, "deletion of silent machines deferred");
        }
        chosen
    }

    fn forget_old_deletions(&mut self, now: Millis) {
        let is_old = |(at, _): &(Millis, Zone)| now.since(*at) > DELETION_WINDOW;
        while self.recent_deletions.front().is_some_and(is_old) {
            self.recent_deletions.pop_front();
        }
    }
}

/// How many of `machines` may be deleted for silence within the window.
fn deletion_bound(fraction: f64, machines: u32) -> usize {
    MIN_DELETION_BOUND.max((fraction * f64::from(machines)) as usize)
}

#[cfg(test)]
mod tests;
