//! What to rent and what to return, as a pure function of need.

use std::collections::BTreeMap;

use super::{Flavor, Offer};
use crate::jobs::{Shape, Spec};
use crate::types::{HostId, Millis, Room, Zone};

/// A machine that is there or on its way.
#[derive(Clone, Debug)]
pub struct Bin {
    /// None: would have to be rented.
    pub host: Option<HostId>,
    pub offer: Offer,
    pub whole: Room,
    pub free: Room,
    /// Room held by work that gives way to urgent work without much loss.
    pub soft: Room,
    pub idle_for: Millis,
    /// Seconds that its cache would take to be fetched again.
    pub worth_s: f64,
}

impl Bin {
    fn empty(&self) -> bool {
        self.free == self.whole
    }

    /// Free, or free as soon as urgent work asks for it.
    fn ready(&self) -> bool {
        self.whole.fits_in(self.free.plus(self.soft))
    }
}

/// Waiting tasks of one job.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    pub spec: &'a Spec,
    pub count: u32,
    /// Only spot machines will do: the tasks run elsewhere, at a higher price.
    pub spot_only: bool,
}

impl Need<'_> {
    fn allows(&self, offer: &Offer) -> bool {
        self.spec.allows(&offer.0, &offer.1, offer.2) && (offer.2 || !self.spot_only)
    }
}

/// Spare room that should stand ready: this many whole machines of that offer.
#[derive(Clone, Debug)]
pub struct Headroom {
    pub spot: bool,
    pub machines: u32,
    /// Of these, so many with nothing on them: for work that can't have any stopped.
    pub empty: u32,
    pub room: Room,
}

#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    pub rent: BTreeMap<Offer, u32>,
    pub release: Vec<HostId>,
}

/// The cheapest offer that the spec allows and that is not known to be sold out.
pub fn cheapest(
    spec_allows: impl Fn(&Offer) -> bool,
    room: Room,
    flavors: &[Flavor],
    sold_out: impl Fn(&Offer) -> bool,
    count_in: impl Fn(&Zone) -> usize,
) -> Option<(Offer, Room)> {
    let mut best: Option<((f64, usize), Offer, Room)> = None;
    for flavor in flavors.iter().filter(|f| room.fits_in(f.room)) {
        for zone in &flavor.zones {
            for spot in [true, false] {
                let offer = (flavor.sku.clone(), zone.clone(), spot);
                if !spec_allows(&offer) || sold_out(&offer) {
                    continue;
                }
                let price = if spot {
                    flavor.spot_price
                } else {
                    flavor.price
                };
                let key = (price, count_in(zone));
                if best.as_ref().is_none_or(|(low, _, _)| key < *low) {
                    best = Some((key, offer, flavor.room));
                }
            }
        }
    }
    best.map(|(_, offer, whole)| (offer, whole))
}

/// Takes room for up to `count` tasks and returns how many found it: spot machines first where
/// they will do, and fuller ones first, as `bins` come.
fn take_from(bins: &mut [Bin], need: &Need, zone: Option<&Zone>, count: u32) -> u32 {
    let spec = need.spec;
    let mut left = count;
    for matching in [true, false] {
        for bin in bins.iter_mut() {
            if left == 0 {
                return count;
            }
            if (bin.offer.2 == spec.spot) != matching
                || !spec.room.fits_in(bin.free)
                || !need.allows(&bin.offer)
                || zone.is_some_and(|zone| bin.offer.1 != *zone)
            {
                continue;
            }
            let taken = bin.free.holds(spec.room).min(left);
            bin.free = bin.free.minus(spec.room.times(f64::from(taken)));
            left -= taken;
        }
    }
    count - left
}

/// The zone for a gang that must be in one: where most of its tasks find room already.
fn gang_zone(bins: &[Bin], need: &Need) -> Option<Zone> {
    let mut room: BTreeMap<&Zone, u32> = BTreeMap::new();
    for bin in bins.iter().filter(|bin| need.allows(&bin.offer)) {
        let fits = bin.free.holds(need.spec.room);
        let there = room.entry(&bin.offer.1).or_default();
        *there = (*there + fits).min(need.count);
    }
    let best = room.into_iter().max_by_key(|(_, tasks)| *tasks)?;
    (best.1 > 0).then(|| best.0.clone())
}

/// `needs` come with the most important first.
pub fn plan(
    mut bins: Vec<Bin>,
    needs: &[Need],
    headroom: &[Headroom],
    flavors: &[Flavor],
    sold_out: impl Fn(&Offer) -> bool,
    idle_return: Millis,
) -> Plan {
    let mut plan = Plan::default();
    let mut in_zone: BTreeMap<Zone, usize> = BTreeMap::new();
    for bin in &bins {
        *in_zone.entry(bin.offer.1.clone()).or_default() += 1;
    }
    bins.sort_by(|a, b| {
        let fullness = |bin: &Bin| bin.free.share_of(bin.whole);
        fullness(a).total_cmp(&fullness(b))
    });
    let mut add =
        |bins: &mut Vec<Bin>, allows: &dyn Fn(&Offer) -> bool, room: Room| -> Option<Zone> {
            let count_in = |zone: &Zone| in_zone.get(zone).copied().unwrap_or(0);
            let (offer, whole) = cheapest(allows, room, flavors, &sold_out, count_in)?;
            let zone = offer.1.clone();
            *in_zone.entry(zone.clone()).or_default() += 1;
            *plan.rent.entry(offer.clone()).or_insert(0) += 1;
            bins.push(Bin {
                host: None,
                offer,
                whole,
                free: whole,
                soft: Room::default(),
                idle_for: Millis(0),
                worth_s: 0.0,
            });
            Some(zone)
        };
    for need in needs {
        let spec = need.spec;
        let together = spec.shape == Shape::Gang && spec.one_zone && need.count > 1;
        let mut zone = if together {
            gang_zone(&bins, need)
        } else {
            None
        };
        let mut left = need.count - take_from(&mut bins, need, zone.as_ref(), need.count);
        while left > 0 {
            let allows = |o: &Offer| need.allows(o) && zone.as_ref().is_none_or(|z| o.1 == *z);
            let Some(rented) = add(&mut bins, &allows, spec.room) else {
                break;
            };
            if together {
                zone = Some(rented);
            }
            let last = bins.len() - 1;
            let taken = take_from(&mut bins[last..], need, None, left);
            if taken == 0 {
                break;
            }
            left -= taken;
        }
    }
    for wanted in headroom {
        let kind = |bin: &&Bin| bin.offer.2 == wanted.spot && wanted.room.fits_in(bin.whole);
        let there = bins.iter().filter(kind).filter(|bin| bin.ready()).count() as u32;
        let empty = bins.iter().filter(kind).filter(|bin| bin.empty()).count() as u32;
        let missing = wanted.machines.saturating_sub(there);
        for _ in 0..missing.max(wanted.empty.saturating_sub(empty)) {
            if add(&mut bins, &|o: &Offer| o.2 == wanted.spot, wanted.room).is_none() {
                break;
            }
        }
        // Those that give way to urgent work count as headroom first, then those that were in use
        // until a moment ago.
        let soft = bins
            .iter()
            .filter(kind)
            .filter(|bin| bin.ready() && !bin.empty())
            .count();
        let spare = wanted.machines.saturating_sub(soft as u32);
        let mut spare = spare.max(wanted.empty);
        let mut idle: Vec<&Bin> = bins
            .iter()
            .filter(kind)
            .filter(|bin| bin.host.is_some() && bin.empty())
            .collect();
        idle.sort_by_key(|bin| bin.idle_for);
        for bin in idle {
            if spare > 0 {
                spare -= 1;
            } else if bin.idle_for >= idle_return + Millis::from_secs(bin.worth_s) {
                plan.release.extend(bin.host.clone());
            }
        }
    }
    plan
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::api::{parse, tests::body};
    use serde_json::json;

    fn room(gpus: f64) -> Room {
        Room {
            cpus: gpus * 10.0,
            gpus,
            memory_gb: gpus * 50.0,
        }
    }

    fn flavors() -> Vec<Flavor> {
        vec![Flavor {
            sku: "g8".into(),
            room: room(8.0),
            cache_gb: 100.0,
            fetch_gb_per_s: 1.0,
            price: 10.0,
            spot_price: 4.0,
            boot_s: 30.0,
            zones: vec!["a".into(), "b".into()],
        }]
    }

    fn spec(gpus: f64, spot: bool) -> Spec {
        let mut b = body();
        b["accelerators"] = json!(gpus);
        b["vcpus"] = json!(gpus * 10.0);
        b["memoryGb"] = json!(gpus * 50.0);
        b["loaners"] = json!(spot);
        b["rigs"] = json!(null);
        parse(b.to_string().as_bytes()).unwrap().1
    }

    fn bin(name: &str, spot: bool, free: f64, idle_s: u64) -> Bin {
        Bin {
            host: Some(name.into()),
            offer: ("g8".into(), "a".into(), spot),
            whole: room(8.0),
            free: room(free),
            soft: Room::default(),
            idle_for: Millis(idle_s * 1000),
            worth_s: 0.0,
        }
    }

    #[test]
    fn machines_are_rented_for_what_does_not_fit_and_returned_when_idle() {
        let small = spec(1.0, true);
        let firm = spec(1.0, false);
        let whole = spec(8.0, false);
        let need = |spec, count| Need {
            spec,
            count,
            spot_only: false,
        };
        let dear = |spec, count| Need {
            spec,
            count,
            spot_only: true,
        };
        let cases = [
            // bins, needs, spare, sold out spot, rented spot, rented ordinary, released
            (vec![], vec![need(&small, 9)], 0, false, 2, 0, 0),
            (vec![], vec![need(&small, 9)], 0, true, 0, 2, 0),
            (
                vec![],
                vec![need(&firm, 9), need(&small, 7)],
                0,
                false,
                0,
                2,
                0,
            ),
            (
                vec![bin("vm-1", false, 4.0, 0)],
                vec![need(&firm, 4)],
                0,
                false,
                0,
                0,
                0,
            ),
            (
                vec![bin("vm-1", true, 8.0, 0)],
                vec![need(&firm, 4)],
                0,
                false,
                0,
                1,
                0,
            ),
            (
                vec![bin("vm-1", false, 7.0, 0)],
                vec![need(&whole, 2)],
                0,
                false,
                0,
                2,
                0,
            ),
            (vec![bin("vm-1", false, 8.0, 99)], vec![], 0, false, 0, 0, 1),
            (vec![bin("vm-1", false, 8.0, 9)], vec![], 0, false, 0, 0, 0),
            (vec![bin("vm-1", false, 8.0, 99)], vec![], 2, false, 0, 1, 0),
            (
                vec![bin("vm-1", false, 4.0, 0)],
                vec![dear(&small, 3)],
                0,
                false,
                1,
                0,
                0,
            ),
            (vec![bin("vm-1", true, 8.0, 99)], vec![], 1, false, 0, 1, 1),
        ];
        for (index, (bins, needs, spare, no_spot, spot, ordinary, released)) in
            cases.into_iter().enumerate()
        {
            let headroom = [(false, spare), (true, 0)].map(|(spot, machines)| Headroom {
                spot,
                machines,
                empty: 0,
                room: room(8.0),
            });
            let sold_out = |o: &Offer| o.2 && no_spot;
            let plan = plan(
                bins,
                &needs,
                &headroom,
                &flavors(),
                sold_out,
                Millis(20_000),
            );
            let rented = |spot| -> u32 {
                plan.rent
                    .iter()
                    .filter(|(o, _)| o.2 == spot)
                    .map(|(_, n)| n)
                    .sum()
            };
            let got = (rented(true), rented(false), plan.release.len());
            assert_eq!(got, (spot, ordinary, released), "case {index}");
        }
    }

    /// Idle machines were returned after 20 s with images that took minutes to fetch again; and
    /// normal work, which can't have others stopped, was counted on to find room under arrays.
    #[test]
    fn machines_are_kept_for_their_images_and_for_work_that_stops_nobody() {
        let cases = [
            // free, soft, idle for, worth, ready, empty; rented, released
            ((8.0, 0.0, 30, 0.0, 0, 0), (0, 1)),
            ((8.0, 0.0, 30, 60.0, 0, 0), (0, 0)),
            ((8.0, 0.0, 90, 60.0, 0, 0), (0, 1)),
            ((2.0, 6.0, 0, 0.0, 1, 0), (0, 0)),
            ((2.0, 6.0, 0, 0.0, 1, 1), (1, 0)),
            ((8.0, 0.0, 30, 0.0, 1, 1), (0, 0)),
            ((8.0, 0.0, 30, 0.0, 0, 1), (0, 0)),
        ];
        for ((free, soft, idle_s, worth_s, machines, empty), (rented, released)) in cases {
            let bin = Bin {
                soft: room(soft),
                worth_s,
                ..bin("vm-1", false, free, idle_s)
            };
            let headroom = Headroom {
                spot: false,
                machines,
                empty,
                room: room(8.0),
            };
            let idle_return = Millis(20_000);
            let plan = plan(
                vec![bin],
                &[],
                &[headroom],
                &flavors(),
                |_| false,
                idle_return,
            );
            let got = (plan.rent.values().sum::<u32>(), plan.release.len());
            let case = (free, soft, idle_s, worth_s, machines, empty);
            assert_eq!(got, (rented, released), "{case:?}");
        }
    }

    /// Tasks of a gang that must be in one zone were counted as served by machines in several.
    #[test]
    fn a_gang_in_one_zone_gets_its_machines_there() {
        let mut gang = spec(8.0, false);
        (gang.shape, gang.one_zone) = (Shape::Gang, true);
        let there = |name: &str, zone: &str| Bin {
            offer: ("g8".into(), zone.into(), false),
            ..bin(name, false, 8.0, 0)
        };
        let cases = [
            // machines, tasks, rented in a, rented in b
            (vec![], 4, 4, 0),
            (vec![there("vm-1", "a"), there("vm-2", "b")], 2, 0, 1),
            (
                vec![there("vm-1", "a"), there("vm-2", "a"), there("vm-3", "b")],
                3,
                1,
                0,
            ),
            (vec![there("vm-1", "b"), there("vm-2", "b")], 2, 0, 0),
        ];
        for (bins, count, in_a, in_b) in cases {
            let needs = [Need {
                spec: &gang,
                count,
                spot_only: false,
            }];
            let plan = plan(bins, &needs, &[], &flavors(), |_| false, Millis(20_000));
            let rented = |zone: &str| -> u32 {
                let of = plan.rent.iter().filter(|(o, _)| o.1.as_str() == zone);
                of.map(|(_, n)| n).sum()
            };
            assert_eq!((rented("a"), rented("b")), (in_a, in_b), "{count} tasks");
        }
    }
}
