//! Exhaustive models of the safety arguments: every order of events up to a bound.

mod late_writes;
mod partition_mode;

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// Whether some order of events violates an invariant, and the number of states found until then.
fn explore<State: Copy + Eq + Hash>(
    starts: &[State],
    next: impl Fn(State) -> Vec<State>,
    violated: impl Fn(&State) -> bool,
) -> (bool, usize) {
    let mut known: HashSet<State> = starts.iter().copied().collect();
    let mut open: VecDeque<State> = starts.iter().copied().collect();
    while let Some(state) = open.pop_front() {
        if violated(&state) {
            return (true, known.len());
        }
        for next in next(state) {
            if known.insert(next) {
                open.push_back(next);
            }
        }
    }
    (false, known.len())
}
