//! What the leader makes of machines that nobody hears.
//!
//! A machine that falls silent alone is dead, or as good as that: it is deleted, and its work
//! starts elsewhere. A zone that falls silent as a whole is most likely cut off, and its machines
//! at work: deleting them destroys what would be back when the cut ends. So that is held back, and
//! then done in steps, what is worth least first. Whatever is thought, only so many machines are
//! deleted for their silence in a while.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{HostId, Millis, Zone};

/// How a zone stands, as far as its machines are heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Sound,
    /// Many machines are silent while others speak, or all though a controller is in contact from
    /// there: they are lost.
    PartlyLost,
    /// Nearly all are silent, and so are the zone's controllers: they go on without us.
    CutOff,
    /// Machines of a zone that was cut off speak again, not all of them yet.
    Returning,
}

/// What is seen of a zone at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Machines of which somebody can tell whether they are silent.
    pub machines: u32,
    pub silent: u32,
    /// Machines that speak and are not proved to hear, or that hear and can't report, for long.
    pub deaf: u32,
    /// The zone has controllers, and none of them is in contact.
    pub controllers_silent: bool,
}

/// What would be destroyed with a machine, least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Worth {
    Idle,
    Arrays,
    Gangs,
    Replicas,
}

/// A machine that is thought lost for its silence.
#[derive(Clone, Debug)]
pub struct Suspect {
    pub host: HostId,
    pub zone: Zone,
    pub worth: Worth,
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
    standing: Standing,
    since: Millis,
    machines: u32,
    /// Deleted for silence since the zone was cut off.
    given_up: usize,
}

/// All zones.
#[derive(Debug, Default)]
pub struct Zones {
    zones: BTreeMap<Zone, State>,
    /// Deletions for silence within the window.
    deleted: VecDeque<(Millis, Zone)>,
}

fn over(silent: f64, (enter, leave): (f64, f64), is: bool) -> bool {
    silent >= if is { leave } else { enter }
}

impl Zones {
    /// Takes in how a zone looks; its standing, if that has changed.
    pub fn observe(&mut self, zone: &Zone, seen: Seen, now: Millis) -> Option<Standing> {
        let state = self.zones.entry(zone.clone()).or_default();
        if seen.machines < FEW {
            return None;
        }
        state.machines = seen.machines;
        let silent = f64::from(seen.silent) / f64::from(seen.machines);
        let was = state.standing;
        let deaf = f64::from(seen.deaf) / f64::from(seen.machines);
        // Many that are there, and in contact one way only, are no dead machines: it is the way to them.
        let many = seen.deaf as usize >= LEAST || seen.deaf >= FEW && deaf >= CUT.1;
        let cut = over(silent, CUT, was == Standing::CutOff) && seen.controllers_silent
            || many && over(deaf, PART, was == Standing::CutOff);
        let part = over(silent, PART, was != Standing::Sound);
        let next = match (was, cut, part) {
            (_, true, _) => Standing::CutOff,
            (Standing::CutOff | Standing::Returning, _, true) => Standing::Returning,
            (_, _, true) => Standing::PartlyLost,
            _ => Standing::Sound,
        };
        if next == was {
            return None;
        }
        if next == Standing::CutOff {
            state.given_up = 0;
        }
        (state.standing, state.since) = (next, now);
        Some(next)
    }

    pub fn standing(&self, zone: &Zone) -> Standing {
        self.zones.get(zone).map(|s| s.standing).unwrap_or_default()
    }

    /// Whether nothing should be started or rented there, since nobody could tell it to.
    pub fn out_of_reach(&self, zone: &Zone) -> bool {
        self.standing(zone) == Standing::CutOff
    }

    /// Of machines thought lost, those that are given up now; the others stay for the time being.
    /// No more than `room` can be deleted now; `hold` is how long a zone that is cut off is left alone.
    pub fn give_up(
        &mut self,
        mut lost: Vec<Suspect>,
        room: usize,
        hold: Millis,
        now: Millis,
    ) -> Vec<HostId> {
        while (self.deleted.front()).is_some_and(|(at, _)| now.since(*at) > WINDOW) {
            self.deleted.pop_front();
        }
        lost.sort_by(|a, b| (a.worth, &a.host).cmp(&(b.worth, &b.host)));
        let all: u32 = self.zones.values().map(|state| state.machines).sum();
        let most = |part: f64, of: u32| LEAST.max((part * f64::from(of)) as usize);
        let mut given_up = Vec::new();
        let mut held = 0;
        for suspect in lost {
            let state = self.zones.entry(suspect.zone.clone()).or_default();
            let in_zone = self.deleted.iter().filter(|(_, z)| *z == suspect.zone);
            let bounded = in_zone.count() >= most(MOST_OF_ZONE, state.machines)
                || self.deleted.len() >= most(MOST_OF_ALL, all);
            let stays = match state.standing {
                Standing::CutOff => state.given_up >= steps(now.since(state.since), hold, state),
                // Word of it may be on its way.
                Standing::Returning => now.since(state.since) < STEP,
                Standing::Sound | Standing::PartlyLost => false,
            };
            if bounded || stays || given_up.len() >= room {
                held += 1;
                continue;
            }
            state.given_up += 1;
            self.deleted.push_back((now, suspect.zone));
            given_up.push(suspect.host);
        }
        if held > 0 {
            tracing::debug!(held, "silent machines are left alone");
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
mod tests {
    use super::*;

    const HOLD: Millis = Millis(60_000);
    const ANY: usize = usize::MAX;

    fn seen(machines: u32, silent: u32, controllers_silent: bool) -> Seen {
        Seen {
            machines,
            silent,
            deaf: 0,
            controllers_silent,
        }
    }

    fn suspects(zone: &str, count: usize) -> Vec<Suspect> {
        let worth = [Worth::Replicas, Worth::Idle, Worth::Gangs, Worth::Arrays];
        let suspect = |i: usize| Suspect {
            host: format!("vm-{i:04}").into(),
            zone: zone.into(),
            worth: worth[i % 4],
        };
        (0..count).map(suspect).collect()
    }

    #[test]
    fn a_zone_stands_as_its_machines_are_heard() {
        use Standing::{CutOff, PartlyLost, Returning, Sound};
        let cases = [
            // machines, silent, its controllers too: standing after each
            (vec![(100, 5, false)], vec![Sound]),
            (vec![(2, 2, true)], vec![Sound]),
            (vec![(100, 30, false)], vec![PartlyLost]),
            // A controller speaks from there, so it is no cut.
            (vec![(100, 100, false)], vec![PartlyLost]),
            (
                vec![(100, 79, true), (100, 80, true)],
                vec![PartlyLost, CutOff],
            ),
            // It is left at another point than entered.
            (
                vec![
                    (100, 90, true),
                    (100, 60, true),
                    (100, 49, true),
                    (100, 9, true),
                ],
                vec![CutOff, CutOff, Returning, Sound],
            ),
            (
                vec![(100, 90, true), (100, 90, false)],
                vec![CutOff, Returning],
            ),
            (
                vec![(100, 30, false), (100, 13, false), (100, 12, false)],
                vec![PartlyLost, PartlyLost, Sound],
            ),
        ];
        // Machines in contact one way only: a few are replaced, many are a cut, and in a small zone most.
        for (machines, deaf, expected) in [
            (4, 2, PartlyLost),
            (5, 3, CutOff),
            (7, 3, PartlyLost),
            (100, 20, Sound),
            (100, 30, CutOff),
        ] {
            let mut zones = Zones::default();
            let observed = Seen {
                deaf,
                ..seen(machines, deaf, false)
            };
            zones.observe(&Zone::from("a"), observed, Millis(1));
            assert_eq!(
                zones.standing(&Zone::from("a")),
                expected,
                "{deaf} of {machines}"
            );
        }
        for (observations, expected) in cases {
            let (mut zones, zone) = (Zones::default(), Zone::from("a"));
            for (index, (observed, expected)) in observations.iter().zip(&expected).enumerate() {
                let (machines, silent, controllers) = *observed;
                let at = Millis(index as u64 * 1_000);
                zones.observe(&zone, seen(machines, silent, controllers), at);
                assert_eq!(
                    zones.standing(&zone),
                    *expected,
                    "{observations:?}, {index}"
                );
            }
        }
    }

    /// A zone was cut off for 51 s. From the 35th second on its machines were deleted, a hundred a
    /// second, nearly all of them at work.
    #[test]
    fn a_silent_zone_is_left_alone_and_then_given_up_in_steps() {
        let zone = Zone::from("a");
        let cases = [
            // silent, its controllers too, given up after 0, 59, 60, 70, 80 and 110 s
            (10, false, [10, 10, 10, 10, 10, 10]),
            // The bound of half a zone in 30 s holds then.
            (100, true, [0, 0, 2, 4, 8, 54]),
        ];
        for (silent, controllers, expected) in cases {
            let mut zones = Zones::default();
            zones.observe(&zone, seen(100, silent, controllers), Millis(0));
            zones.observe(&Zone::from("b"), seen(900, 0, false), Millis(0));
            let mut left = suspects("a", silent as usize);
            let mut given_up = 0;
            for (at_s, expected) in [0, 59, 60, 70, 80, 110].into_iter().zip(expected) {
                let gone = zones.give_up(left.clone(), ANY, HOLD, Millis(at_s * 1_000));
                left.retain(|suspect| !gone.contains(&suspect.host));
                given_up += gone.len();
                assert_eq!(given_up, expected, "{silent} silent, after {at_s} s");
            }
        }
    }

    #[test]
    fn what_is_worth_least_goes_first() {
        let mut zones = Zones::default();
        let zone = Zone::from("a");
        zones.observe(&zone, seen(40, 40, true), Millis(0));
        let gone = zones.give_up(suspects("a", 40), ANY, Millis(0), Millis(30_000));
        let expected: Vec<HostId> = (0..7)
            .map(|i| format!("vm-{:04}", 4 * i + 1).into())
            .collect();
        assert_eq!(gone, expected);
    }

    /// The cloud takes a hundred names at a time. All that was given up at once counted against the
    /// bound, and what had not been sent waited for half a minute.
    #[test]
    fn only_what_is_sent_counts_against_the_bound() {
        let mut zones = Zones::default();
        zones.observe(&Zone::from("a"), seen(1_000, 200, false), Millis(0));
        let mut lost = suspects("a", 200);
        for at in [1_000, 2_000] {
            let gone = zones.give_up(lost.clone(), 100, HOLD, Millis(at));
            assert_eq!(gone.len(), 100, "at {at}");
            lost.retain(|suspect| !gone.contains(&suspect.host));
        }
    }

    /// Whatever a leader thinks it knows, it can't delete a fleet at once.
    #[test]
    fn deletions_for_silence_are_bounded_in_a_zone_and_in_all() {
        for (zones_silent, expected) in [(1, 50), (4, 100)] {
            let mut zones = Zones::default();
            let names = ["a", "b", "c", "d"];
            let mut lost = Vec::new();
            for (index, name) in names.into_iter().enumerate() {
                let silent = if index < zones_silent { 100 } else { 0 };
                zones.observe(&Zone::from(name), seen(100, silent, false), Millis(0));
                lost.extend(
                    suspects(name, silent as usize)
                        .into_iter()
                        .map(|s| Suspect {
                            host: format!("{name}-{}", s.host).into(),
                            ..s
                        }),
                );
            }
            let first = zones.give_up(lost.clone(), ANY, HOLD, Millis(1_000));
            assert_eq!(first.len(), expected, "{zones_silent} zones");
            lost.retain(|suspect| !first.contains(&suspect.host));
            assert!(
                zones
                    .give_up(lost.clone(), ANY, HOLD, Millis(30_000))
                    .is_empty()
            );
            assert!(!zones.give_up(lost, ANY, HOLD, Millis(32_000)).is_empty());
        }
    }
}
