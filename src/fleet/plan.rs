//! What to rent and what to return, as a pure function of the machines, the tasks that need
//! capacity, and the headroom that should be ready.

mod bins;

use std::collections::BTreeMap;

pub use bins::Bin;
use bins::Bins;

use super::{MachineTypeSpec, Offer};
use crate::jobs::{JobKind, JobSpec};
use crate::types::{MachineId, Millis, Resources, Zone};

/// Tasks of one job that need capacity.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// How many of its tasks need capacity.
    pub count: u32,
    /// Only spot machines serve the need: the tasks run already, on more expensive machines.
    pub spot_only: bool,
}

impl Need<'_> {
    fn allows(&self, offer: &Offer) -> bool {
        let spec_allows = self
            .spec
            .allows(&offer.machine_type, &offer.zone, offer.spot);
        spec_allows && (offer.spot || !self.spot_only)
    }
}

/// Whole machines that should be ready for future work.
#[derive(Clone, Debug)]
pub struct Headroom {
    /// Whether spot or ordinary machines.
    pub spot: bool,
    /// How many should be ready: empty, or with nothing on them but what urgent work may preempt.
    pub machines: u32,
    /// How many should be empty, for work that may not preempt.
    pub empty: u32,
    /// The resources that each should have available.
    pub resources: Resources,
}

/// What should change in the fleet.
#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    /// How many machines of each offer to rent.
    pub rent: BTreeMap<Offer, u32>,
    /// Idle machines to return.
    pub release: Vec<MachineId>,
}

impl Plan {
    /// Whether the fleet should stay as it is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rent.is_empty() && self.release.is_empty()
    }
}

/// Plans for `needs`, the most important first, and for `headroom`.
///
/// Offers for which `unavailable` holds are not rented. Machines beyond the headroom are returned
/// once they have been idle for `idle_return` and as long as fetching their cached images again
/// would take.
pub fn plan(
    mut bins: Vec<Bin>,
    needs: &[Need],
    headroom: &[Headroom],
    type_specs: &[MachineTypeSpec],
    unavailable: impl Fn(&Offer) -> bool,
    idle_return: Millis,
) -> Plan {
    let mut machines_by_zone: BTreeMap<Zone, usize> = BTreeMap::new();
    for bin in &bins {
        *machines_by_zone.entry(bin.offer.zone.clone()).or_default() += 1;
    }
    bins.sort_by(|a, b| {
        let free_share = |bin: &Bin| bin.available.dominant_share(bin.capacity);
        free_share(a).total_cmp(&free_share(b))
    });
    let mut planner = Planner {
        plan: Plan::default(),
        bins: Bins::new(bins, needs),
        machines_by_zone,
        type_specs,
        unavailable,
    };
    for need in needs {
        planner.serve(need);
    }
    for wanted in headroom {
        planner.rent_headroom(wanted);
        planner.release_idle(wanted, idle_return);
    }
    planner.plan
}

/// A plan under construction.
struct Planner<'a, Unavailable> {
    plan: Plan,
    bins: Bins,
    machines_by_zone: BTreeMap<Zone, usize>,
    type_specs: &'a [MachineTypeSpec],
    unavailable: Unavailable,
}

impl<Unavailable: Fn(&Offer) -> bool> Planner<'_, Unavailable> {
    /// Assigns the tasks of one job to machines, and plans to rent machines for those that fit nowhere.
    fn serve(&mut self, need: &Need) {
        let spec = need.spec;
        let together = spec.kind == JobKind::Gang && spec.one_zone && need.count > 1;
        let mut zone = if together {
            self.bins.gang_zone(need)
        } else {
            None
        };
        let mut left = need.count - self.bins.take(need, zone.as_ref(), need.count);
        while left > 0 {
            let allows = |offer: &Offer| {
                need.allows(offer) && zone.as_ref().is_none_or(|zone| offer.zone == *zone)
            };
            let Some(rented_in) = self.rent(allows, spec.resources) else {
                break;
            };
            if together {
                zone = Some(rented_in);
            }
            let taken = self.bins.take_last(need, left);
            if taken == 0 {
                break;
            }
            left -= taken;
        }
    }

    /// Rents what is missing of the headroom.
    fn rent_headroom(&mut self, wanted: &Headroom) {
        let ready = self.serving(wanted).filter(|bin| bin.is_ready()).count() as u32;
        let empty = self.serving(wanted).filter(|bin| bin.is_empty()).count() as u32;
        let missing = wanted.machines.saturating_sub(ready);
        let missing_empty = wanted.empty.saturating_sub(empty);
        for _ in 0..missing.max(missing_empty) {
            let allows = |offer: &Offer| offer.spot == wanted.spot;
            if self.rent(allows, wanted.resources).is_none() {
                break;
            }
        }
    }

    /// Returns idle machines beyond the headroom. Machines that preemption can empty count as
    /// headroom first, then those that became idle last.
    fn release_idle(&mut self, wanted: &Headroom, idle_return: Millis) {
        let preemptible = self
            .serving(wanted)
            .filter(|bin| bin.is_ready() && !bin.is_empty())
            .count();
        let spare = wanted.machines.saturating_sub(preemptible as u32);
        let spare = spare.max(wanted.empty) as usize;
        let mut idle: Vec<&Bin> = self
            .serving(wanted)
            .filter(|bin| bin.machine_id.is_some() && bin.is_empty())
            .collect();
        idle.sort_by_key(|bin| bin.idle_for);
        let released: Vec<MachineId> = idle
            .into_iter()
            .skip(spare)
            .filter(|bin| bin.idle_for >= idle_return + Millis::from_secs(bin.cache_refetch_s))
            .filter_map(|bin| bin.machine_id.clone())
            .collect();
        self.plan.release.extend(released);
    }

    /// Machines of the kind and size that a headroom asks for.
    fn serving(&self, wanted: &Headroom) -> impl Iterator<Item = &Bin> {
        self.bins
            .iter()
            .filter(|bin| bin.offer.spot == wanted.spot && wanted.resources.fits_in(bin.capacity))
    }

    /// Plans to rent one machine by the cheapest offer, and returns its zone; none if no offer is suitable.
    fn rent(&mut self, allows: impl Fn(&Offer) -> bool, resources: Resources) -> Option<Zone> {
        let PricedOffer {
            offer, capacity, ..
        } = self.cheapest(allows, resources)?;
        let zone = offer.zone.clone();
        *self.machines_by_zone.entry(zone.clone()).or_default() += 1;
        *self.plan.rent.entry(offer.clone()).or_insert(0) += 1;
        self.bins.add(Bin::unrented(offer, capacity));
        Some(zone)
    }

    /// The cheapest available offer of a machine on which `resources` fit; among equals, in the
    /// zone with the fewest machines.
    fn cheapest(
        &self,
        allows: impl Fn(&Offer) -> bool,
        resources: Resources,
    ) -> Option<PricedOffer> {
        let mut best: Option<PricedOffer> = None;
        let large_enough = self
            .type_specs
            .iter()
            .filter(|type_spec| resources.fits_in(type_spec.resources));
        for candidate in large_enough.flat_map(|type_spec| self.offers(type_spec)) {
            if allows(&candidate.offer)
                && !(self.unavailable)(&candidate.offer)
                && best
                    .as_ref()
                    .is_none_or(|best| candidate.rank() < best.rank())
            {
                best = Some(candidate);
            }
        }
        best
    }

    /// All offers of a machine type.
    fn offers<'b>(
        &'b self,
        type_spec: &'b MachineTypeSpec,
    ) -> impl Iterator<Item = PricedOffer> + 'b {
        type_spec.zones.iter().flat_map(move |zone| {
            [true, false].map(|spot| PricedOffer {
                price: if spot {
                    type_spec.spot_price
                } else {
                    type_spec.price
                },
                machines_in_zone: self.machines_by_zone.get(zone).copied().unwrap_or(0),
                offer: Offer {
                    machine_type: type_spec.id.clone(),
                    zone: zone.clone(),
                    spot,
                },
                capacity: type_spec.resources,
            })
        })
    }
}

/// An offer with what decides between offers.
struct PricedOffer {
    price: f64,
    machines_in_zone: usize,
    offer: Offer,
    capacity: Resources,
}

impl PricedOffer {
    /// The lower, the better.
    fn rank(&self) -> (f64, usize) {
        (self.price, self.machines_in_zone)
    }
}

#[cfg(test)]
mod tests;
