//! What the leader makes of machines that nobody hears.
//!
//! A machine that falls silent alone is dead, or as good as that: it is deleted, and its work
//! starts elsewhere. A zone that falls silent as a whole is most likely cut off, and its machines
//! at work: deleting them destroys what would be back when the cut ends. So that is held back, and
//! then done in steps, what is worth least first. Whatever is thought, only so many machines are
//! deleted for their silence in a while.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{MachineId, Millis, Zone};

/// How a zone stands, as far as its machines are heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneHealth {
    #[default]
    Healthy,
    /// Many machines are silent while others speak, or all though a controller is in contact from
    /// there: they are lost.
    Degraded,
    /// Nearly all are silent, and so are the zone's controllers: they go on without us.
    Partitioned,
    /// Machines of a zone that was cut off speak again, not all of them yet.
    Recovering,
}

/// What is seen of a zone at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneObservation {
    /// Machines of which somebody can tell whether they are silent.
    pub machines: u32,
    pub silent: u32,
    /// Machines that speak and are not proved to hear, or that hear and can't report, for long.
    pub one_way: u32,
    /// The zone has controllers, and none of them is in contact.
    pub controllers_silent: bool,
}

/// What would be destroyed with a machine, least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionCost {
    Idle,
    Arrays,
    Gangs,
    Replicas,
}

/// A machine that is thought lost for its silence.
#[derive(Clone, Debug)]
pub struct SuspectedMachine {
    pub machine_id: MachineId,
    pub zone: Zone,
    pub worth: EvictionCost,
}

/// Fewer machines than this tell nothing of their zone.
const FEW: u32 = 3;
/// A zone is cut off once this part is silent, and until less than the second is.
const CUT: (f64, f64) = (0.8, 0.5);
/// And partly lost likewise.
const PART: (f64, f64) = (0.25, 0.125);
/// The bound on deletions for silence holds over so long.
const WINDOW: Millis = Millis(30_000);
/// Part of a zone's machines, and of all, that may be deleted for silence within the window; and
/// the least that may be.
const MOST_OF_ZONE: f64 = 0.5;
const MOST_OF_ALL: f64 = 0.25;
const LEAST: usize = 8;
/// After it was held, a cut zone is deleted in steps: the part of the first, and how long until
/// the next, which doubles it.
const FIRST_STEP: f64 = 0.02;
const STEP: Millis = Millis(10_000);

#[derive(Debug, Default)]
struct State {
    health: ZoneHealth,
    since: Millis,
    machines: u32,
    /// Deleted for silence since the zone was cut off.
    given_up: usize,
}

/// All zones.
#[derive(Debug, Default)]
pub struct ZoneHealthTracker {
    zones: BTreeMap<Zone, State>,
    /// Deletions for silence within the window.
    deleted: VecDeque<(Millis, Zone)>,
}

fn over(silent: f64, (enter, leave): (f64, f64), is: bool) -> bool {
    silent >= if is { leave } else { enter }
}

impl ZoneHealthTracker {
    /// Takes in how a zone looks; its standing, if that has changed.
    pub fn observe(
        &mut self,
        zone: &Zone,
        seen: ZoneObservation,
        now: Millis,
    ) -> Option<ZoneHealth> {
        let state = self.zones.entry(zone.clone()).or_default();
        if seen.machines < FEW {
            return None;
        }
        state.machines = seen.machines;
        let silent = f64::from(seen.silent) / f64::from(seen.machines);
        let was = state.health;
        let one_way = f64::from(seen.one_way) / f64::from(seen.machines);
        // Many that are there, and in contact one way only, are no dead machines: it is the way to them.
        let many = seen.one_way as usize >= LEAST || seen.one_way >= FEW && one_way >= CUT.1;
        let cut = over(silent, CUT, was == ZoneHealth::Partitioned) && seen.controllers_silent
            || many && over(one_way, PART, was == ZoneHealth::Partitioned);
        let part = over(silent, PART, was != ZoneHealth::Healthy);
        let next = match (was, cut, part) {
            (_, true, _) => ZoneHealth::Partitioned,
            (ZoneHealth::Partitioned | ZoneHealth::Recovering, _, true) => ZoneHealth::Recovering,
            (_, _, true) => ZoneHealth::Degraded,
            _ => ZoneHealth::Healthy,
        };
        if next == was {
            return None;
        }
        if next == ZoneHealth::Partitioned {
            state.given_up = 0;
        }
        (state.health, state.since) = (next, now);
        Some(next)
    }

    pub fn health(&self, zone: &Zone) -> ZoneHealth {
        self.zones.get(zone).map(|s| s.health).unwrap_or_default()
    }

    /// Whether nothing should be started or rented there, since nobody could tell it to.
    pub fn out_of_reach(&self, zone: &Zone) -> bool {
        self.health(zone) == ZoneHealth::Partitioned
    }

    /// Of machines thought lost, those that are given up now; the others stay for the time being.
    /// No more than `max_deletions` can be deleted now; `hold` is how long a zone that is cut off is left alone.
    pub fn give_up(
        &mut self,
        mut lost: Vec<SuspectedMachine>,
        max_deletions: usize,
        hold: Millis,
        now: Millis,
    ) -> Vec<MachineId> {
        while (self.deleted.front()).is_some_and(|(at, _)| now.since(*at) > WINDOW) {
            self.deleted.pop_front();
        }
        lost.sort_by(|a, b| (a.worth, &a.machine_id).cmp(&(b.worth, &b.machine_id)));
        let all: u32 = self.zones.values().map(|state| state.machines).sum();
        let most = |part: f64, of: u32| LEAST.max((part * f64::from(of)) as usize);
        let mut given_up = Vec::new();
        let mut held = 0;
        for suspect in lost {
            let state = self.zones.entry(suspect.zone.clone()).or_default();
            let in_zone = self.deleted.iter().filter(|(_, z)| *z == suspect.zone);
            let bounded = in_zone.count() >= most(MOST_OF_ZONE, state.machines)
                || self.deleted.len() >= most(MOST_OF_ALL, all);
            let stays = match state.health {
                ZoneHealth::Partitioned => {
                    state.given_up >= steps(now.since(state.since), hold, state)
                }
                // Word of it may be on its way.
                ZoneHealth::Recovering => now.since(state.since) < STEP,
                ZoneHealth::Healthy | ZoneHealth::Degraded => false,
            };
            if bounded || stays || given_up.len() >= max_deletions {
                held += 1;
                continue;
            }
            state.given_up += 1;
            self.deleted.push_back((now, suspect.zone));
            given_up.push(suspect.machine_id);
        }
        if held > 0 {
            tracing::debug!(held, "silent machines retained");
        }
        given_up
    }
}

/// How many machines of a zone may have been given up that was cut off so long ago.
fn steps(cut_off: Millis, hold: Millis, state: &State) -> usize {
    if cut_off < hold {
        return 0;
    }
    let doubled = (cut_off.since(hold).0 / STEP.0).min(16) as i32;
    (f64::from(state.machines) * FIRST_STEP * 2f64.powi(doubled)).ceil() as usize
}

#[cfg(test)]
mod tests;
