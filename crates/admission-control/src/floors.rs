//! Floors: every flow that asks is served at least so often, and the rest goes by priority.
//!
//! This is the guaranteed rate of a hierarchical token bucket with service in place of time: each
//! unit that is served gives every flow that waits credit for its part of the floors, and a flow
//! with credit for a unit goes before priority. What a flow does not ask for is lent to the others
//! at once, and nothing is saved up meanwhile.

use std::collections::BTreeMap;

/// No flow saves up more: one that could not be served for another reason does not make the
/// others wait for long afterwards.
const MOST_CREDIT: f64 = 4.0;
/// What is left of the credit of a flow that does not ask, for each time that others are served.
const FORGETS: f64 = 0.8;
const LEAST_CREDIT: f64 = 0.01;

/// How a flow's floor weighs against the others'.
type Weight<K> = fn(&K) -> f64;

#[derive(Clone, Debug)]
pub struct Floors<K> {
    /// Of what is served, the part that goes by floors.
    part: f64,
    weight: Weight<K>,
    credit: BTreeMap<K, f64>,
}

impl<K: Ord + Clone> Floors<K> {
    /// Equal floors.
    pub fn equal(part: f64) -> Self {
        Self::weighted(part, |_| 1.0)
    }

    pub fn weighted(part: f64, weight: Weight<K>) -> Self {
        Self {
            part,
            weight,
            credit: BTreeMap::new(),
        }
    }

    /// Which of the flows that wait goes next, each with its first request's priority (the least
    /// goes first).
    pub fn next<P: Ord>(&self, waiting: impl IntoIterator<Item = (K, P)>) -> Option<K> {
        let mut first: Option<(P, K)> = None;
        let mut due: Option<(f64, K)> = None;
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
    pub fn is_due(&self, flow: &K) -> bool {
        self.credit.get(flow).is_some_and(|credit| *credit >= 1.0)
    }

    /// So many units of a flow were served while these waited, itself included.
    pub fn served(&mut self, flow: &K, units: f64, waiting: impl IntoIterator<Item = K>) {
        let waiting: Vec<K> = waiting.into_iter().collect();
        let weights: f64 = waiting.iter().map(self.weight).sum();
        // A flow that asks again a moment later keeps most of its credit.
        for (kept, credit) in &mut self.credit {
            if !waiting.contains(kept) {
                *credit *= FORGETS;
            }
        }
        self.credit.retain(|_, credit| *credit > LEAST_CREDIT);
        for waits in waiting {
            let gained = units * self.part * (self.weight)(&waits) / weights.max(f64::MIN_POSITIVE);
            let paid = if waits == *flow { units } else { 0.0 };
            let credit = self.credit.entry(waits).or_insert(0.0);
            *credit = (*credit + gained - paid).clamp(0.0, MOST_CREDIT);
        }
    }
}

#[cfg(test)]
mod tests;
