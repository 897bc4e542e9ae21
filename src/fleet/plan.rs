//! What to rent and what to return, as a pure function of need.

use std::collections::BTreeMap;

use super::{MachineTypeSpec, Offer};
use crate::jobs::{JobKind, JobSpec};
use crate::types::{MachineId, Millis, Resources, Zone};

/// A machine that is there or on its way.
#[derive(Clone, Debug)]
pub struct Bin {
    /// None: would have to be rented.
    pub machine_id: Option<MachineId>,
    pub offer: Offer,
    pub capacity: Resources,
    pub available: Resources,
    /// Room held by work that gives way to urgent work without much loss.
    pub soft: Resources,
    pub idle_for: Millis,
    /// Seconds that its cache would take to be fetched again.
    pub worth_s: f64,
}

impl Bin {
    fn empty(&self) -> bool {
        self.available == self.capacity
    }

    /// Takes room for up to `count` tasks and returns how many found it.
    fn take(&mut self, need: &Need, count: u32) -> u32 {
        let resources = need.spec.resources;
        if !resources.fits_in(self.available) || !need.allows(&self.offer) {
            return 0;
        }
        let taken = self.available.holds(resources).min(count);
        self.available = self.available.minus(resources.times(f64::from(taken)));
        taken
    }

    /// Free, or free as soon as urgent work asks for it.
    fn ready(&self) -> bool {
        self.capacity.fits_in(self.available.plus(self.soft))
    }
}

/// Waiting tasks of one job.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    pub spec: &'a JobSpec,
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
    pub resources: Resources,
}

#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    pub rent: BTreeMap<Offer, u32>,
    pub release: Vec<MachineId>,
}

/// The cheapest offer that the spec allows and that is not known to be sold out.
pub fn cheapest(
    spec_allows: impl Fn(&Offer) -> bool,
    resources: Resources,
    type_specs: &[MachineTypeSpec],
    sold_out: impl Fn(&Offer) -> bool,
    count_in: impl Fn(&Zone) -> usize,
) -> Option<(Offer, Resources)> {
    let mut best: Option<((f64, usize), Offer, Resources)> = None;
    for type_spec in type_specs.iter().filter(|f| resources.fits_in(f.resources)) {
        for zone in &type_spec.zones {
            for spot in [true, false] {
                let offer = (type_spec.id.clone(), zone.clone(), spot);
                if !spec_allows(&offer) || sold_out(&offer) {
                    continue;
                }
                let price = if spot {
                    type_spec.spot_price
                } else {
                    type_spec.price
                };
                let key = (price, count_in(zone));
                if best.as_ref().is_none_or(|(low, _, _)| key < *low) {
                    best = Some((key, offer, type_spec.resources));
                }
            }
        }
    }
    best.map(|(_, offer, capacity)| (offer, capacity))
}

/// Machines that are there or on their way, and which of them still have room for any need at all. A full
/// fleet is not walked for each job that waits.
struct Bins {
    all: Vec<Bin>,
    /// Positions of those that have, in order.
    open: Vec<usize>,
    /// Of those, how many have been filled since.
    filled: usize,
    /// No need asks for less of anything.
    least: Resources,
}

impl Bins {
    fn new(all: Vec<Bin>, needs: &[Need]) -> Self {
        let amounts = needs.iter().map(|need| need.spec.resources);
        let least = amounts.reduce(|a, b| Resources {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            memory_gb: a.memory_gb.min(b.memory_gb),
        });
        let least = least.unwrap_or_default();
        let open = |index: &usize| least.fits_in(all[*index].available);
        Self {
            open: (0..all.len()).filter(open).collect(),
            filled: 0,
            all,
            least,
        }
    }

    fn add(&mut self, bin: Bin) {
        self.open.push(self.all.len());
        self.all.push(bin);
    }

    fn open(&self) -> impl Iterator<Item = &Bin> {
        self.open.iter().map(|index| &self.all[*index])
    }

    /// Takes room for up to `count` tasks and returns how many found it: spot machines first where
    /// they will do, and fuller ones first, as they come.
    fn take(&mut self, need: &Need, zone: Option<&Zone>, count: u32) -> u32 {
        let mut left = count;
        for matching in [true, false] {
            for index in &self.open {
                if left == 0 {
                    break;
                }
                let bin = &mut self.all[*index];
                if (bin.offer.2 == need.spec.spot) != matching
                    || zone.is_some_and(|zone| bin.offer.1 != *zone)
                {
                    continue;
                }
                let taken = bin.take(need, left);
                left -= taken;
                self.filled += usize::from(taken > 0 && !self.least.fits_in(bin.available));
            }
        }
        self.drop_filled();
        count - left
    }

    /// Takes room on the machine that was added last.
    fn take_last(&mut self, need: &Need, count: u32) -> u32 {
        self.all.last_mut().map_or(0, |bin| bin.take(need, count))
    }

    /// Passes over filled machines from now on, once they are many.
    fn drop_filled(&mut self) {
        if self.filled * 2 > self.open.len() {
            let (all, least) = (&self.all, self.least);
            self.open
                .retain(|index| least.fits_in(all[*index].available));
            self.filled = 0;
        }
    }

    /// The zone for a gang that must be in one: where most of its tasks find room already.
    fn gang_zone(&self, need: &Need) -> Option<Zone> {
        let mut resources: BTreeMap<&Zone, u32> = BTreeMap::new();
        for bin in self.open().filter(|bin| need.allows(&bin.offer)) {
            let fits = bin.available.holds(need.spec.resources);
            let there = resources.entry(&bin.offer.1).or_default();
            *there = (*there + fits).min(need.count);
        }
        let best = resources.into_iter().max_by_key(|(_, tasks)| *tasks)?;
        (best.1 > 0).then(|| best.0.clone())
    }
}

/// `needs` come with the most important first.
pub fn plan(
    mut bins: Vec<Bin>,
    needs: &[Need],
    headroom: &[Headroom],
    type_specs: &[MachineTypeSpec],
    sold_out: impl Fn(&Offer) -> bool,
    idle_return: Millis,
) -> Plan {
    let mut plan = Plan::default();
    let mut in_zone: BTreeMap<Zone, usize> = BTreeMap::new();
    for bin in &bins {
        *in_zone.entry(bin.offer.1.clone()).or_default() += 1;
    }
    bins.sort_by(|a, b| {
        let fullness = |bin: &Bin| bin.available.share_of(bin.capacity);
        fullness(a).total_cmp(&fullness(b))
    });
    let mut bins = Bins::new(bins, needs);
    let mut add =
        |bins: &mut Bins, allows: &dyn Fn(&Offer) -> bool, resources: Resources| -> Option<Zone> {
            let count_in = |zone: &Zone| in_zone.get(zone).copied().unwrap_or(0);
            let (offer, capacity) = cheapest(allows, resources, type_specs, &sold_out, count_in)?;
            let zone = offer.1.clone();
            *in_zone.entry(zone.clone()).or_default() += 1;
            *plan.rent.entry(offer.clone()).or_insert(0) += 1;
            bins.add(Bin {
                machine_id: None,
                offer,
                capacity,
                available: capacity,
                soft: Resources::default(),
                idle_for: Millis(0),
                worth_s: 0.0,
            });
            Some(zone)
        };
    for need in needs {
        let spec = need.spec;
        let together = spec.kind == JobKind::Gang && spec.one_zone && need.count > 1;
        let mut zone = if together { bins.gang_zone(need) } else { None };
        let mut left = need.count - bins.take(need, zone.as_ref(), need.count);
        while left > 0 {
            let allows = |o: &Offer| need.allows(o) && zone.as_ref().is_none_or(|z| o.1 == *z);
            let Some(rented) = add(&mut bins, &allows, spec.resources) else {
                break;
            };
            if together {
                zone = Some(rented);
            }
            let taken = bins.take_last(need, left);
            if taken == 0 {
                break;
            }
            left -= taken;
        }
    }
    for wanted in headroom {
        let kind =
            |bin: &&Bin| bin.offer.2 == wanted.spot && wanted.resources.fits_in(bin.capacity);
        let there = bins
            .all
            .iter()
            .filter(kind)
            .filter(|bin| bin.ready())
            .count() as u32;
        let empty = bins
            .all
            .iter()
            .filter(kind)
            .filter(|bin| bin.empty())
            .count() as u32;
        let missing = wanted.machines.saturating_sub(there);
        for _ in 0..missing.max(wanted.empty.saturating_sub(empty)) {
            if add(&mut bins, &|o: &Offer| o.2 == wanted.spot, wanted.resources).is_none() {
                break;
            }
        }
        // Those that give way to urgent work count as headroom first, then those that were in use
        // until a moment ago.
        let soft = bins
            .all
            .iter()
            .filter(kind)
            .filter(|bin| bin.ready() && !bin.empty())
            .count();
        let spare = wanted.machines.saturating_sub(soft as u32);
        let mut spare = spare.max(wanted.empty);
        let mut idle: Vec<&Bin> = bins
            .all
            .iter()
            .filter(kind)
            .filter(|bin| bin.machine_id.is_some() && bin.empty())
            .collect();
        idle.sort_by_key(|bin| bin.idle_for);
        for bin in idle {
            if spare > 0 {
                spare -= 1;
            } else if bin.idle_for >= idle_return + Millis::from_secs(bin.worth_s) {
                plan.release.extend(bin.machine_id.clone());
            }
        }
    }
    plan
}

#[cfg(test)]
mod tests;
