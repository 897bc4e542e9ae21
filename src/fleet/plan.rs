//! Plans which machines to rent and return: a pure function of the machines, the tasks that need
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
    /// What the job's tasks require.
    pub spec: &'a JobSpec,
    /// How many of its tasks need capacity.
    pub count: u32,
    /// Whether only spot machines count: the tasks already run, on more expensive machines.
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
    /// Whether the machines are spot or ordinary.
    pub spot: bool,
    /// How many should be ready: empty, or with nothing on them but what urgent work may preempt.
    pub machines: u32,
    /// How many should be empty, for work that may not preempt.
    pub empty: u32,
    /// The resources that each should have available.
    pub resources: Resources,
}

/// Changes to make to the fleet.
#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    /// How many machines of each offer to rent.
    pub rentals: BTreeMap<Offer, u32>,
    /// Idle machines to return.
    pub returns: Vec<MachineId>,
}

impl Plan {
    /// Whether the fleet should stay as it is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rentals.is_empty() && self.returns.is_empty()
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
        let available_share = |bin: &Bin| bin.available.dominant_share(bin.capacity);
        available_share(a).total_cmp(&available_share(b))
    });
    let mut planner = Planner {
        plan: Plan::default(),
        bins: Bins::new(bins, needs),
        machines_by_zone,
        type_specs,
        unavailable,
    };
    for need in needs {
        planner.plan_need(need);
    }
    for wanted in headroom {
        planner.rent_headroom(wanted);
        planner.return_idle(wanted, idle_return);
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
    /// Assigns the tasks of one job to machines, and plans to rent machines for tasks that fit on none.
    fn plan_need(&mut self, need: &Need) {
        let spec = need.spec;
        let single_zone = spec.kind == JobKind::Gang && spec.one_zone && need.count > 1;
        let mut zone = if single_zone {
            self.bins.gang_zone(need)
        } else {
            None
        };
        let mut remaining = need.count - self.bins.assign(need, zone.as_ref(), need.count);
        while remaining > 0 {
            let allows = |offer: &Offer| {
                need.allows(offer) && zone.as_ref().is_none_or(|zone| offer.zone == *zone)
            };
            let Some(rented_zone) = self.rent_cheapest(allows, spec.resources) else {
                break;
            };
            if single_zone {
                zone = Some(rented_zone);
            }
            let assigned = self.bins.assign_to_last(need, remaining);
            if assigned == 0 {
                break;
            }
            remaining -= assigned;
        }
    }

    /// Plans to rent the machines that are missing from the headroom.
    fn rent_headroom(&mut self, wanted: &Headroom) {
        let ready = self
            .matching_bins(wanted)
            .filter(|bin| bin.is_ready())
            .count() as u32;
        let empty = self
            .matching_bins(wanted)
            .filter(|bin| bin.is_empty())
            .count() as u32;
        let missing = wanted.machines.saturating_sub(ready);
        let missing_empty = wanted.empty.saturating_sub(empty);
        for _ in 0..missing.max(missing_empty) {
            let allows = |offer: &Offer| offer.spot == wanted.spot;
            if self.rent_cheapest(allows, wanted.resources).is_none() {
                break;
            }
        }
    }

    /// Plans to return idle machines beyond the headroom. Machines that preemption can empty count as
    /// headroom first, then those that became idle last.
    fn return_idle(&mut self, wanted: &Headroom, idle_return: Millis) {
        let preemptible = self
            .matching_bins(wanted)
            .filter(|bin| bin.is_ready() && !bin.is_empty())
            .count();
        let spare = wanted.machines.saturating_sub(preemptible as u32);
        let spare = spare.max(wanted.empty) as usize;
        let mut idle: Vec<&Bin> = self
            .matching_bins(wanted)
            .filter(|bin| bin.machine_id.is_some() && bin.is_empty())
            .collect();
        idle.sort_by_key(|bin| bin.idle_for);
        let returned: Vec<MachineId> = idle
            .into_iter()
            .skip(spare)
            .filter(|bin| bin.idle_for >= idle_return + Millis::from_secs(bin.cache_refetch_s))
            .filter_map(|bin| bin.machine_id.clone())
            .collect();
        self.plan.returns.extend(returned);
    }

    /// Machines of the kind and size that a headroom asks for.
    fn matching_bins(&self, wanted: &Headroom) -> impl Iterator<Item = &Bin> {
        self.bins
            .iter()
            .filter(|bin| bin.offer.spot == wanted.spot && wanted.resources.fits_in(bin.capacity))
    }

    /// Plans to rent one machine of the cheapest suitable offer and returns its zone, or `None` if no
    /// offer is suitable.
    fn rent_cheapest(
        &mut self,
        allows: impl Fn(&Offer) -> bool,
        resources: Resources,
    ) -> Option<Zone> {
        let PricedOffer {
            offer, capacity, ..
        } = self.cheapest(allows, resources)?;
        let zone = offer.zone.clone();
        *self.machines_by_zone.entry(zone.clone()).or_default() += 1;
        *self.plan.rentals.entry(offer.clone()).or_insert(0) += 1;
        self.bins.add(Bin::unrented(offer, capacity));
        Some(zone)
    }

    /// The cheapest available offer of a machine on which `resources` fit; among offers of equal price,
    /// one in the zone with the fewest machines.
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

    /// A spot and an ordinary offer of a machine type for each of its zones.
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

/// An offer with the values by which offers are ranked.
struct PricedOffer {
    price: f64,
    machines_in_zone: usize,
    offer: Offer,
    capacity: Resources,
}

impl PricedOffer {
    /// Sort key; the offer with the lowest one is preferred.
    fn rank(&self) -> (f64, usize) {
        (self.price, self.machines_in_zone)
    }
}

#[cfg(test)]
mod tests;
