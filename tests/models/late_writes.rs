//! Every order in which two holders of one machine, the second in place of the first, write of one task by
//! transactions that may be carried out late, after newer ones, while its user cancels. The task is never
//! on two machines, and on none once its user was told. Each of four conditions, left out, breaks it; the
//! job's version does not, as starts look at its phase too. The argument is in docs/combined-faults.md.

/// So many attempts, and changes of the task's page, are looked at.
const MOST_ATTEMPTS: u8 = 2;
const MOST_CHANGES: u8 = 3;

/// What transactions rest on.
#[derive(Clone, Copy)]
struct Conditions {
    page: bool,
    token: bool,
    /// A start without an answer may still come.
    late_starts_are_minded: bool,
    /// A cancellation is told when no task is left, not when it is recorded.
    told_when_gone: bool,
}

const ALL: Conditions = Conditions {
    page: true,
    token: true,
    late_starts_are_minded: true,
    told_when_gone: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Active,
    Aborting,
    Aborted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Task {
    Waiting {
        tried: u8,
    },
    /// On the machine of the two holders.
    Here {
        attempt: u8,
    },
    /// On another, whose holder knows all and writes at once.
    Elsewhere {
        attempt: u8,
    },
}

/// The records, as the state service has them or as a holder knows them. Phases and tokens only rise, so
/// they are their own versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Records {
    phase: Phase,
    task: Task,
    page: u8,
    token: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Write {
    Task(Task),
    Phase(Phase),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Transaction {
    rests_on: Records,
    write: Write,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    store: Records,
    /// What the two holders know. The first is never told that it is replaced.
    views: [Records; 2],
    /// The attempt that a holder wants stopped.
    stops: [Option<u8>; 2],
    late: [Option<Transaction>; 2],
    told: bool,
    // The machine: the highest token it has seen, the last attempt it knows, and whether that runs.
    seen: u8,
    known: u8,
    runs: bool,
    /// A start that the network holds: token and attempt.
    held_start: Option<(u8, u8)>,
    runs_elsewhere: bool,
}

impl State {
    fn new() -> Self {
        let records = Records {
            phase: Phase::Active,
            task: Task::Waiting { tried: 0 },
            page: 0,
            token: 1,
        };
        Self {
            store: records,
            views: [records; 2],
            stops: [None; 2],
            late: [None; 2],
            told: false,
            seen: 1,
            known: 0,
            runs: false,
            held_start: None,
            runs_elsewhere: false,
        }
    }

    fn broken(&self) -> bool {
        let on_two = self.runs && self.runs_elsewhere;
        on_two || self.told && (self.runs || self.runs_elsewhere)
    }

    fn carry_out(&mut self, txn: Transaction, rest_on: Conditions) {
        let (now, then) = (self.store, txn.rests_on);
        let job = now.phase == then.phase;
        let page = now.page == then.page || !rest_on.page;
        let token = now.token == then.token || !rest_on.token;
        match txn.write {
            Write::Task(task) if job && page && token => {
                self.store.task = task;
                self.store.page += 1;
            }
            // The end of a job rests on the job alone: no placement can follow `aborting`.
            Write::Phase(phase) if now.phase == then.phase => {
                self.store.phase = phase;
                self.told |= phase == Phase::Aborted;
            }
            _ => {}
        }
    }

    fn start_here(&mut self, token: u8, attempt: u8) {
        if token >= self.seen {
            self.seen = token;
            if attempt > self.known {
                (self.known, self.runs) = (attempt, true);
            }
        }
    }

    /// All that may happen next.
    fn next(self, rest_on: Conditions) -> Vec<State> {
        let mut next = Vec::new();
        let mut txns: Vec<Transaction> = Vec::new();
        for holder in [0, 1] {
            let (view, token) = (self.views[holder], holder as u8 + 1);
            let mut then = |change: &dyn Fn(&mut State)| {
                let mut state = self;
                change(&mut state);
                next.push(state);
            };
            // The watch.
            then(&|s| s.views[holder] = s.store);
            // Its token is shown.
            if self.store.token >= token {
                then(&|s| s.seen = s.seen.max(token));
            }
            let mut write = |write| {
                let rests_on = view;
                txns.push(Transaction { rests_on, write });
            };
            if view.phase == Phase::Active {
                write(Write::Phase(Phase::Aborting));
            }
            let gone = matches!(view.task, Task::Waiting { .. }) || !rest_on.told_when_gone;
            if view.phase == Phase::Aborting && gone {
                write(Write::Phase(Phase::Aborted));
            }
            if view.token != token {
                continue;
            }
            match view.task {
                Task::Waiting { tried } if view.phase == Phase::Active && tried < MOST_ATTEMPTS => {
                    let attempt = tried + 1;
                    write(Write::Task(Task::Here { attempt }));
                    write(Write::Task(Task::Elsewhere { attempt }));
                }
                Task::Here { attempt } => {
                    let wanted = view.phase == Phase::Active && self.stops[holder] != Some(attempt);
                    // Room is needed for something else.
                    then(&|s| s.stops[holder] = Some(attempt));
                    if wanted {
                        then(&|s| s.start_here(token, attempt));
                        if self.held_start.is_none() {
                            then(&|s| s.held_start = Some((token, attempt)));
                        }
                    } else if token >= self.seen {
                        then(&|s| {
                            s.seen = token;
                            s.runs &= s.known != attempt;
                        });
                    }
                    // The machine's newest report, sent after it had seen our token.
                    let absent = self.known < attempt && !wanted;
                    let ended = self.known == attempt && !self.runs || self.known > attempt;
                    let may_come = self.held_start == Some((token, attempt));
                    let proved = ended || absent && (!may_come || !rest_on.late_starts_are_minded);
                    if self.seen == token && proved {
                        write(Write::Task(Task::Waiting { tried: attempt }));
                    }
                }
                _ => {}
            }
        }
        for txn in txns {
            let mut now = self;
            now.carry_out(txn, rest_on);
            next.push(now);
            if let Some(slot) = self.late.iter().position(Option::is_none)
                && !self.late.contains(&Some(txn))
            {
                let mut later = self;
                later.late[slot] = Some(txn);
                later.late.sort_unstable();
                next.push(later);
            }
        }
        for slot in [0, 1] {
            if let Some(txn) = self.late[slot] {
                let mut state = self;
                state.late[slot] = None;
                state.late.sort_unstable();
                state.carry_out(txn, rest_on);
                next.push(state);
            }
        }
        let mut then = |may: bool, change: &dyn Fn(&mut State)| {
            if may {
                let mut state = self;
                change(&mut state);
                next.push(state);
            }
        };
        then(self.store.token == 1, &|s| s.store.token = 2);
        then(self.runs, &|s| s.runs = false);
        then(self.held_start.is_some(), &|s| {
            if let Some((token, attempt)) = s.held_start.take() {
                s.start_here(token, attempt);
            }
        });
        if let Task::Elsewhere { attempt } = self.store.task {
            let active = self.store.phase == Phase::Active;
            then(active, &|s| s.runs_elsewhere = true);
            then(true, &|s| {
                s.runs_elsewhere = false;
                s.store.task = Task::Waiting { tried: attempt };
                s.store.page += 1;
            });
        }
        next.retain(|state| state.store.page <= MOST_CHANGES);
        next
    }
}

fn explore(rest_on: Conditions) -> (bool, usize) {
    super::explore(&[State::new()], |state| state.next(rest_on), State::broken)
}

#[test]
fn late_transactions_run_nothing_twice_and_nothing_that_is_cancelled() {
    let (broken, states) = explore(ALL);
    assert!(!broken, "of {states} states");
    assert!(states > 100_000, "{states} states");
}

#[test]
fn each_version_that_is_rested_on_is_needed() {
    type LeaveOut = fn(&mut Conditions);
    let without: [(&str, LeaveOut); 4] = [
        ("the page's version", |c| c.page = false),
        ("the token", |c| c.token = false),
        ("held starts", |c| c.late_starts_are_minded = false),
        ("telling when gone", |c| c.told_when_gone = false),
    ];
    for (name, leave_out) in without {
        let mut rest_on = ALL;
        leave_out(&mut rest_on);
        assert!(explore(rest_on).0, "nothing breaks without {name}");
    }
}
