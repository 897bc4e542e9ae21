//! Sockets are a budget that the platform sets. Who gets how many is decided here, so that the
//! system never has to refuse one: first what leases hang on, then workers' reports, then orders
//! sent to workers, then users.

pub mod door;

use std::collections::HashMap;
use std::hash::Hash;

use crate::types::Millis;

/// Of the platform's limit, the part that is used at the most.
const USED: f64 = 0.88;
/// For the state service, the cloud and the process itself, and for each other controller.
const OWN: usize = 24;
const PER_MEMBER: usize = 4;
/// Part of the limit for orders sent to workers directly.
const DIRECT: f64 = 0.08;
const LEAST_DIRECT: usize = 4;

/// How the platform's limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections that other controllers may open to us.
    pub peers: usize,
    /// Orders to workers under way at a time.
    pub direct: usize,
    /// Connections of workers, users and probes.
    pub server: usize,
}

impl Budget {
    pub fn new(sockets: usize, members: usize) -> Self {
        let used = (sockets as f64 * USED) as usize;
        let direct = ((sockets as f64 * DIRECT) as usize).max(LEAST_DIRECT);
        let core = OWN + PER_MEMBER * members;
        Self {
            peers: 2 * members + 2,
            direct,
            // A process that has next to none still answers some.
            server: used.saturating_sub(core + direct).max(8),
        }
    }
}

/// What a connection to our server is for, by its latest request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Nothing was asked yet.
    New,
    Probe,
    Report,
    User,
}

impl Class {
    pub fn of(path: &str) -> Self {
        match path {
            "/v1/report" => Class::Report,
            "/ready" => Class::Probe,
            _ => Class::User,
        }
    }
}

/// Parts of the server's connections: those that have asked nothing yet, and users'.
const MOST_NEW: f64 = 0.3;
const MOST_USERS: f64 = 0.4;
/// From these parts on, answers to users and to workers end their connection; and idle ones of
/// users are closed soon.
const CLOSE_USERS: f64 = 0.65;
const CLOSE_REPORTS: f64 = 0.75;
const HASTE: f64 = 0.85;

/// What connections have to know of all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Users are told to come back.
    pub users_full: bool,
    pub close_users: bool,
    pub close_reports: bool,
}

impl Pressure {
    /// Whether a connection ends with the answer that it gets.
    pub fn closes(self, class: Class) -> bool {
        match class {
            Class::Report => self.close_reports,
            Class::User => self.close_users,
            Class::New | Class::Probe => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Open {
    class: Class,
    /// A request is being worked on.
    asked: bool,
    since: Millis,
}

/// How long a connection may be idle.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Until its first request is there in full.
    pub new: Millis,
    pub user: Millis,
    pub report: Millis,
}

impl Patience {
    /// Workers report so often, give or take a quarter.
    pub fn for_reports_every(report: Millis) -> Self {
        Self {
            new: Millis(5_000),
            user: Millis(30_000),
            report: Millis(4 * report.0 + 5_000),
        }
    }
}

/// The connections of our server.
#[derive(Debug)]
pub struct Ledger<K> {
    most: usize,
    patience: Patience,
    open: HashMap<K, Open>,
    new: usize,
    users: usize,
}

impl<K: Copy + Eq + Hash> Ledger<K> {
    pub fn new(most: usize, patience: Patience) -> Self {
        Self {
            most,
            patience,
            open: HashMap::new(),
            new: 0,
            users: 0,
        }
    }

    fn part(&self, part: f64) -> usize {
        ((self.most as f64 * part) as usize).max(2)
    }

    /// Whether one more is taken.
    pub fn admits(&self) -> bool {
        self.open.len() < self.most && self.new < self.part(MOST_NEW)
    }

    pub fn opened(&mut self, key: K, now: Millis) {
        let (class, asked) = (Class::New, false);
        let since = now;
        self.open.insert(
            key,
            Open {
                class,
                asked,
                since,
            },
        );
        self.new += 1;
    }

    fn count(&mut self, class: Class) -> Option<&mut usize> {
        match class {
            Class::New => Some(&mut self.new),
            Class::User => Some(&mut self.users),
            Class::Probe | Class::Report => None,
        }
    }

    pub fn asked(&mut self, key: K, class: Class, now: Millis) {
        let Some(open) = self.open.get_mut(&key) else {
            return;
        };
        let was = std::mem::replace(&mut open.class, class);
        (open.asked, open.since) = (true, now);
        if let Some(count) = self.count(was) {
            *count -= 1;
        }
        if let Some(count) = self.count(class) {
            *count += 1;
        }
    }

    pub fn answered(&mut self, key: K, now: Millis) {
        if let Some(open) = self.open.get_mut(&key) {
            (open.asked, open.since) = (false, now);
        }
    }

    pub fn closed(&mut self, key: K) {
        if let Some(open) = self.open.remove(&key)
            && let Some(count) = self.count(open.class)
        {
            *count -= 1;
        }
    }

    pub fn pressure(&self) -> Pressure {
        Pressure {
            users_full: self.users > self.part(MOST_USERS),
            close_users: self.open.len() >= self.part(CLOSE_USERS),
            close_reports: self.open.len() >= self.part(CLOSE_REPORTS),
        }
    }

    /// Connections that have been idle for too long.
    pub fn idle(&self, now: Millis) -> Vec<K> {
        let haste = self.open.len() >= self.part(HASTE);
        let hurry = |patience: Millis| {
            if haste {
                Millis(patience.0 / 5)
            } else {
                patience
            }
        };
        let limit = |open: &Open| match open.class {
            // Work on a request is bounded already; a peer that does not read the answer is not.
            _ if open.asked => self.patience.user,
            Class::New => hurry(self.patience.new),
            Class::User => hurry(self.patience.user),
            Class::Probe | Class::Report => self.patience.report,
        };
        let over = self
            .open
            .iter()
            .filter(|(_, open)| now.since(open.since) > limit(open));
        over.map(|(key, _)| *key).collect()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ledger(most: usize) -> Ledger<u32> {
        Ledger::new(most, Patience::for_reports_every(Millis(5_000)))
    }

    fn open(ledger: &mut Ledger<u32>, keys: std::ops::Range<u32>, class: Class) {
        for key in keys {
            assert!(ledger.admits(), "connection {key}");
            ledger.opened(key, Millis(0));
            ledger.asked(key, class, Millis(0));
            ledger.answered(key, Millis(0));
        }
    }

    /// Nothing bounded the sockets: a controller that held all blocks stood at its limit, the
    /// system refused workers, users and the state service alike.
    #[test]
    fn all_parts_together_stay_below_the_platforms_limit() {
        for (sockets, members) in [(40, 0), (64, 2), (300, 2), (1_800, 2), (3_352, 8)] {
            let budget = Budget::new(sockets, members);
            // Each connection out to a peer, and what is under way to state service and cloud.
            let all = budget.server + budget.direct + budget.peers + members + OWN / 2;
            assert!(all * 10 <= sockets * 9, "{sockets}: {budget:?}");
        }
    }

    #[test]
    fn users_give_way_to_workers_and_workers_connections_to_room() {
        let mut ledger = ledger(100);
        open(&mut ledger, 0..64, Class::Report);
        assert_eq!(ledger.pressure(), Pressure::default());
        open(&mut ledger, 100..101, Class::User);
        let tight = ledger.pressure();
        assert!(tight.closes(Class::User) && !tight.closes(Class::Report));
        open(&mut ledger, 64..75, Class::Report);
        assert!(ledger.pressure().closes(Class::Report));
        assert!(!ledger.pressure().closes(Class::Probe) && !ledger.pressure().users_full);
        let mut ledger = super::tests::ledger(100);
        open(&mut ledger, 0..41, Class::User);
        assert!(ledger.pressure().users_full);
        ledger.closed(7);
        ledger.asked(8, Class::Report, Millis(1));
        assert!(!ledger.pressure().users_full);
    }

    /// Half-open connections, and some that send a byte a second.
    #[test]
    fn connections_that_ask_nothing_take_a_part_only_and_not_for_long() {
        let mut ledger = ledger(100);
        for key in 0..30 {
            assert!(ledger.admits());
            ledger.opened(key, Millis(0));
        }
        assert!(!ledger.admits());
        ledger.asked(0, Class::Report, Millis(4_000));
        assert!(ledger.admits());
        let cases = [(5_000, 0), (5_001, 29), (33_000, 29), (34_001, 30)];
        for (at, idle) in cases {
            assert_eq!(ledger.idle(Millis(at)).len(), idle, "at {at}");
        }
        ledger.answered(0, Millis(10_000));
        assert_eq!(ledger.idle(Millis(35_000)).len(), 29);
        assert_eq!(ledger.idle(Millis(35_001)).len(), 30);
    }

    #[test]
    fn when_it_is_full_idle_users_go_first() {
        let mut ledger = ledger(100);
        open(&mut ledger, 0..20, Class::User);
        open(&mut ledger, 20..84, Class::Report);
        assert!(ledger.idle(Millis(7_000)).is_empty());
        open(&mut ledger, 84..100, Class::Report);
        assert!(!ledger.admits());
        let mut idle = ledger.idle(Millis(7_000));
        idle.sort();
        assert_eq!(idle, (0..20).collect::<Vec<_>>());
    }
}
