//! Requests that wait for the controller: what is asked for leases first, and nothing that its
//! asker has given up.

use std::collections::VecDeque;

use crate::types::Millis;

/// What a request is, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A health check: its asker waits a second.
    Probe,
    /// A worker's report: 4 s.
    Report,
    /// A user: 5 s, and at a poll 2.
    User,
}

const KINDS: usize = 3;

/// A request that is worked on later than this comes too late for its asker.
fn patience(kind: Kind) -> Millis {
    match kind {
        Kind::Probe => Millis(900),
        Kind::Report => Millis(3_500),
        Kind::User => Millis(4_000),
    }
}

/// Once the oldest has waited so long, there is more than can be done, and the newest have the
/// most time left.
const LATE: Millis = Millis(1_000);
/// After so many reports a user's turn comes.
const REPORTS_PER_USER: u32 = 4;

/// Requests by kind, each since when.
pub struct Intake<T> {
    waiting: [VecDeque<(Millis, T)>; KINDS],
    /// The most of a kind.
    most: usize,
    reports: u32,
}

impl<T> Intake<T> {
    pub fn new(most: usize) -> Self {
        Self {
            waiting: Default::default(),
            most,
            reports: 0,
        }
    }

    /// Takes a request; gives one back if too many wait.
    pub fn push(&mut self, kind: Kind, request: T, now: Millis) -> Option<T> {
        let waiting = &mut self.waiting[kind as usize];
        waiting.push_back((now, request));
        let over = waiting.len() > self.most;
        if over {
            waiting.pop_front().map(|(_, old)| old)
        } else {
            None
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }

    /// The request whose turn it is; `gone` are those that came too late, to be let go.
    pub fn pop(&mut self, now: Millis, gone: &mut Vec<T>) -> Option<T> {
        for kind in [Kind::Probe, Kind::Report, Kind::User] {
            let waiting = &mut self.waiting[kind as usize];
            while let Some((at, _)) = waiting.front()
                && now.since(*at) > patience(kind)
            {
                gone.extend(waiting.pop_front().map(|(_, old)| old));
            }
        }
        let users_turn = self.reports >= REPORTS_PER_USER;
        let order = if users_turn {
            [Kind::Probe, Kind::User, Kind::Report]
        } else {
            [Kind::Probe, Kind::Report, Kind::User]
        };
        for kind in order {
            let waiting = &mut self.waiting[kind as usize];
            let late = waiting.front().is_some_and(|(at, _)| now.since(*at) > LATE);
            let next = if late {
                waiting.pop_back()
            } else {
                waiting.pop_front()
            };
            let Some((_, request)) = next else { continue };
            match kind {
                Kind::Report => self.reports += 1,
                Kind::User => self.reports = 0,
                Kind::Probe => {}
            }
            return Some(request);
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_go_before_users_who_have_their_turn_all_the_same() {
        let mut intake = Intake::new(100);
        for index in 0..6 {
            intake.push(Kind::Report, format!("r{index}"), Millis(0));
        }
        intake.push(Kind::User, "u0".into(), Millis(0));
        intake.push(Kind::User, "u1".into(), Millis(0));
        intake.push(Kind::Probe, "p".into(), Millis(0));
        let mut gone = Vec::new();
        let order: Vec<String> = std::iter::from_fn(|| intake.pop(Millis(10), &mut gone)).collect();
        assert_eq!(order, ["p", "r0", "r1", "r2", "r3", "u0", "r4", "r5", "u1"]);
        assert!(gone.is_empty() && intake.is_empty());
    }

    /// A controller that was slow worked on requests whose askers had given up, and so came too
    /// late for all.
    #[test]
    fn who_has_given_up_is_let_go_and_the_newest_come_first_when_it_is_late() {
        let cases = [
            // at, order, given up
            (900, vec!["a", "b", "c"], vec![]),
            (1_001, vec!["c", "b", "a"], vec![]),
            (3_501, vec!["c", "b"], vec!["a"]),
            (4_600, vec![], vec!["a", "b", "c"]),
        ];
        for (at, order, late) in cases {
            let mut intake = Intake::new(100);
            for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
                intake.push(Kind::Report, name, Millis(500 * index as u64));
            }
            let mut gone = Vec::new();
            let got: Vec<_> = std::iter::from_fn(|| intake.pop(Millis(at), &mut gone)).collect();
            assert_eq!((got, gone), (order, late), "at {at}");
        }
    }

    #[test]
    fn too_many_push_the_oldest_out() {
        let mut intake = Intake::new(2);
        assert_eq!(intake.push(Kind::User, 1, Millis(0)), None);
        assert_eq!(intake.push(Kind::Report, 2, Millis(0)), None);
        assert_eq!(intake.push(Kind::User, 3, Millis(0)), None);
        assert_eq!(intake.push(Kind::User, 4, Millis(0)), Some(1));
    }
}
