//! Floors: every waiting flow is served at a guaranteed rate, and the rest is served by priority.
//!
//! This is the guaranteed rate of a hierarchical token bucket, measured in units served instead of
//! time: each unit that is served gives every waiting flow credit in proportion to its floor, and a
//! flow with credit for a whole unit is served before flows of higher priority. The guaranteed rate of
//! a flow with nothing to serve is lent to the others at once, and the flow earns no credit meanwhile.

use std::collections::BTreeMap;

/// The most credit that a flow can have, in units. A flow that could not be served for another reason
/// must not delay the others for long afterwards.
const MAX_CREDIT: f64 = 4.0;
/// Factor that reduces the credit of an idle flow each time that others are served.
const IDLE_DECAY: f64 = 0.8;
/// Credits below this, in units, are dropped.
const MIN_CREDIT: f64 = 0.01;

/// Returns the weight of a flow's floor relative to the others'.
type Weight<Flow> = fn(&Flow) -> f64;

/// The credits of flows that share a resource.
#[derive(Clone, Debug)]
pub struct Floors<Flow> {
    /// The fraction of the served units that is divided among the floors, from 0 to 1.
    guaranteed_fraction: f64,
    weight: Weight<Flow>,
    /// The credit of each flow, in units.
    credit: BTreeMap<Flow, f64>,
}

impl<Flow: Ord + Clone> Floors<Flow> {
    /// Equal floors for all flows. `guaranteed_fraction` is the fraction of the served units that is
    /// divided among them, from 0 to 1.
    pub fn equal(guaranteed_fraction: f64) -> Self {
        Self::weighted(guaranteed_fraction, |_| 1.0)
    }

    /// Floors in proportion to weights. `guaranteed_fraction` is the fraction of the served units
    /// that is divided among them, from 0 to 1.
    pub fn weighted(guaranteed_fraction: f64, weight: Weight<Flow>) -> Self {
        Self {
            guaranteed_fraction,
            weight,
            credit: BTreeMap::new(),
        }
    }

    /// Returns the waiting flow to serve next: the one with the most credit, if that is at least one
    /// unit, otherwise the one whose first request has the highest priority (the least `P`).
    pub fn next<P: Ord>(&self, waiting: impl IntoIterator<Item = (Flow, P)>) -> Option<Flow> {
        let mut highest_priority: Option<(P, Flow)> = None;
        let mut most_credited: Option<(f64, Flow)> = None;
        for (flow, priority) in waiting {
            let credit = self.credit.get(&flow).copied().unwrap_or(0.0);
            if credit >= 1.0
                && most_credited
                    .as_ref()
                    .is_none_or(|(most, _)| credit > *most)
            {
                most_credited = Some((credit, flow.clone()));
            }
            if highest_priority
                .as_ref()
                .is_none_or(|(least, _)| priority < *least)
            {
                highest_priority = Some((priority, flow));
            }
        }
        most_credited
            .map(|(_, flow)| flow)
            .or(highest_priority.map(|(_, flow)| flow))
    }

    /// Whether a flow has credit for at least one unit.
    pub fn has_credit(&self, flow: &Flow) -> bool {
        self.credit.get(flow).is_some_and(|credit| *credit >= 1.0)
    }

    /// Records that units of a flow were served while the flows in `waiting`, itself included, waited.
    pub fn record_served(
        &mut self,
        flow: &Flow,
        units: f64,
        waiting: impl IntoIterator<Item = Flow>,
    ) {
        let waiting: Vec<Flow> = waiting.into_iter().collect();
        let weights: f64 = waiting.iter().map(self.weight).sum();
        self.decay_idle(&waiting);
        for waiting_flow in waiting {
            let weight = (self.weight)(&waiting_flow);
            let earned = units * self.guaranteed_fraction * weight / weights.max(f64::MIN_POSITIVE);
            let spent = if waiting_flow == *flow { units } else { 0.0 };
            let credit = self.credit.entry(waiting_flow).or_insert(0.0);
            *credit = (*credit + earned - spent).clamp(0.0, MAX_CREDIT);
        }
    }

    /// Reduces the credit of idle flows step by step, so that one that is idle only briefly keeps
    /// most of it.
    fn decay_idle(&mut self, waiting: &[Flow]) {
        for (flow, credit) in &mut self.credit {
            if !waiting.contains(flow) {
                *credit *= IDLE_DECAY;
            }
        }
        self.credit.retain(|_, credit| *credit > MIN_CREDIT);
    }
}

#[cfg(test)]
mod tests;
