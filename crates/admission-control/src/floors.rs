//! Floors: every flow that asks is served at a guaranteed rate, and the rest goes by priority.
//!
//! This is the guaranteed rate of a hierarchical token bucket with service in place of time: each
//! unit that is served gives every waiting flow credit for its part of the floors, and a flow with
//! credit for a unit goes before priority. What a flow does not ask for is lent to the others at once,
//! and nothing is saved up meanwhile.

use std::collections::BTreeMap;

/// Credit of a flow, in units, at most. A flow that could not be served for another reason must not
/// make the others wait for long afterwards.
const MAX_CREDIT: f64 = 4.0;
/// Factor on the credit of a flow that does not ask, each time that others are served.
const IDLE_DECAY: f64 = 0.8;
/// Credits below this are forgotten.
const MIN_CREDIT: f64 = 0.01;

/// How a flow's floor weighs against the others'.
type Weight<Flow> = fn(&Flow) -> f64;

/// The credits of flows that share a resource.
#[derive(Clone, Debug)]
pub struct Floors<Flow> {
    /// The part of what is served that floors divide.
    floored_part: f64,
    weight: Weight<Flow>,
    /// Units that each flow is owed.
    credit: BTreeMap<Flow, f64>,
}

impl<Flow: Ord + Clone> Floors<Flow> {
    /// Equal floors for all flows. `floored_part`: the part of what is served that they divide, from 0
    /// to 1.
    pub fn equal(floored_part: f64) -> Self {
        Self::weighted(floored_part, |_| 1.0)
    }

    /// Floors that are divided by weight.
    pub fn weighted(floored_part: f64, weight: Weight<Flow>) -> Self {
        Self {
            floored_part,
            weight,
            credit: BTreeMap::new(),
        }
    }

    /// Which of the waiting flows is served next: the one with the most credit, if one has credit for
    /// a unit, else the first by the priority of its first request (the least goes first).
    pub fn next<P: Ord>(&self, waiting: impl IntoIterator<Item = (Flow, P)>) -> Option<Flow> {
        let mut first: Option<(P, Flow)> = None;
        let mut due: Option<(f64, Flow)> = None;
        for (flow, priority) in waiting {
            let credit = self.credit.get(&flow).copied().unwrap_or(0.0);
            if credit >= 1.0 && due.as_ref().is_none_or(|(most, _)| credit > *most) {
                due = Some((credit, flow.clone()));
            }
            if first.as_ref().is_none_or(|(least, _)| priority < *least) {
                first = Some((priority, flow));
            }
        }
        due.map(|(_, flow)| flow).or(first.map(|(_, flow)| flow))
    }

    /// Whether a flow has credit for a unit.
    pub fn is_due(&self, flow: &Flow) -> bool {
        self.credit.get(flow).is_some_and(|credit| *credit >= 1.0)
    }

    /// Counts units of a flow that were served while these flows waited, itself included.
    pub fn served(&mut self, flow: &Flow, units: f64, waiting: impl IntoIterator<Item = Flow>) {
        let waiting: Vec<Flow> = waiting.into_iter().collect();
        let weights: f64 = waiting.iter().map(self.weight).sum();
        self.decay_idle(&waiting);
        for waiting_flow in waiting {
            let weight = (self.weight)(&waiting_flow);
            let gained = units * self.floored_part * weight / weights.max(f64::MIN_POSITIVE);
            let paid = if waiting_flow == *flow { units } else { 0.0 };
            let credit = self.credit.entry(waiting_flow).or_insert(0.0);
            *credit = (*credit + gained - paid).clamp(0.0, MAX_CREDIT);
        }
    }

    /// Reduces the credit of flows that do not ask. One that asks again a moment later keeps most of it.
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
