//! Model of two successive holders of one machine that write the record of one task by transactions which
//! may be applied late, after newer ones, while the user cancels the job. The task never runs on two
//! machines, and on none after the cancellation was confirmed. Removing any of four conditions violates
//! this; removing the job's version does not, since starts check the phase too. The argument is in
//! docs/combined-faults.md.

/// Bounds of the search: attempts of the task, and changes of its page.
const MAX_ATTEMPTS: u8 = 2;
const MAX_PAGE_CHANGES: u8 = 3;

/// The conditions of transactions and of the evidence behind them.
#[derive(Clone, Copy)]
struct Conditions {
    page: bool,
    token: bool,
    /// An unanswered start may still arrive.
    expect_late_starts: bool,
    /// A cancellation is confirmed when no task is left, not when it is recorded.
    confirm_after_task_left: bool,
}

const ALL: Conditions = Conditions {
    page: true,
    token: true,
    expect_late_starts: true,
    confirm_after_task_left: true,
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
    /// On the machine that the two holders manage.
    Here {
        attempt: u8,
    },
    /// On another machine, whose holder has a current cache and whose writes apply at once.
    Elsewhere {
        attempt: u8,
    },
}

/// The records, as stored or as cached by a holder. Phases and tokens only increase, so they serve as
/// their own versions.
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
    expected: Records,
    write: Write,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    store: Records,
    /// The caches of the two holders. The first holder is never notified of its replacement.
    caches: [Records; 2],
    /// The attempt that each holder wants to stop.
    stops: [Option<u8>; 2],
    late: [Option<Transaction>; 2],
    confirmed: bool,
    // The machine: the highest token seen, the last attempt known, and whether that attempt runs.
    highest_token: u8,
    last_attempt: u8,
    runs: bool,
    /// A start delayed by the network: token and attempt.
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
            caches: [records; 2],
            stops: [None; 2],
            late: [None; 2],
            confirmed: false,
            highest_token: 1,
            last_attempt: 0,
            runs: false,
            held_start: None,
            runs_elsewhere: false,
        }
    }

    fn violated(&self) -> bool {
        let on_two = self.runs && self.runs_elsewhere;
        on_two || self.confirmed && (self.runs || self.runs_elsewhere)
    }

    fn apply(&mut self, txn: Transaction, conditions: Conditions) {
        let (current, expected) = (self.store, txn.expected);
        let job = current.phase == expected.phase;
        let page = current.page == expected.page || !conditions.page;
        let token = current.token == expected.token || !conditions.token;
        match txn.write {
            Write::Task(task) if job && page && token => {
                self.store.task = task;
                self.store.page += 1;
            }
            // The end of a job is conditional on the job alone: no placement can follow `aborting`.
            Write::Phase(phase) if current.phase == expected.phase => {
                self.store.phase = phase;
                self.confirmed |= phase == Phase::Aborted;
            }
            _ => {}
        }
    }

    fn start_here(&mut self, token: u8, attempt: u8) {
        if token >= self.highest_token {
            self.highest_token = token;
            if attempt > self.last_attempt {
                (self.last_attempt, self.runs) = (attempt, true);
            }
        }
    }

    /// All possible next states.
    fn next(self, conditions: Conditions) -> Vec<State> {
        let mut next = Vec::new();
        let mut txns: Vec<Transaction> = Vec::new();
        for holder in [0, 1] {
            let (cache, token) = (self.caches[holder], holder as u8 + 1);
            let mut transition = |change: &dyn Fn(&mut State)| {
                let mut state = self;
                change(&mut state);
                next.push(state);
            };
            // The watch updates the holder's cache.
            transition(&|s| s.caches[holder] = s.store);
            // The holder announces its token to the machine.
            if self.store.token >= token {
                transition(&|s| s.highest_token = s.highest_token.max(token));
            }
            let mut write = |write| {
                let expected = cache;
                txns.push(Transaction { expected, write });
            };
            if cache.phase == Phase::Active {
                write(Write::Phase(Phase::Aborting));
            }
            let task_left =
                matches!(cache.task, Task::Waiting { .. }) || !conditions.confirm_after_task_left;
            if cache.phase == Phase::Aborting && task_left {
                write(Write::Phase(Phase::Aborted));
            }
            if cache.token != token {
                continue;
            }
            match cache.task {
                Task::Waiting { tried } if cache.phase == Phase::Active && tried < MAX_ATTEMPTS => {
                    let attempt = tried + 1;
                    write(Write::Task(Task::Here { attempt }));
                    write(Write::Task(Task::Elsewhere { attempt }));
                }
                Task::Here { attempt } => {
                    let wanted =
                        cache.phase == Phase::Active && self.stops[holder] != Some(attempt);
                    // The task is preempted.
                    transition(&|s| s.stops[holder] = Some(attempt));
                    if wanted {
                        transition(&|s| s.start_here(token, attempt));
                        if self.held_start.is_none() {
                            transition(&|s| s.held_start = Some((token, attempt)));
                        }
                    } else if token >= self.highest_token {
                        transition(&|s| {
                            s.highest_token = token;
                            s.runs &= s.last_attempt != attempt;
                        });
                    }
                    // Evidence from the machine's newest heartbeat, sent after it had seen the holder's token.
                    let absent = self.last_attempt < attempt && !wanted;
                    let ended =
                        self.last_attempt == attempt && !self.runs || self.last_attempt > attempt;
                    let may_arrive = self.held_start == Some((token, attempt));
                    let proved = ended || absent && (!may_arrive || !conditions.expect_late_starts);
                    if self.highest_token == token && proved {
                        write(Write::Task(Task::Waiting { tried: attempt }));
                    }
                }
                _ => {}
            }
        }
        for txn in txns {
            let mut applied = self;
            applied.apply(txn, conditions);
            next.push(applied);
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
                state.apply(txn, conditions);
                next.push(state);
            }
        }
        let mut transition = |enabled: bool, change: &dyn Fn(&mut State)| {
            if enabled {
                let mut state = self;
                change(&mut state);
                next.push(state);
            }
        };
        transition(self.store.token == 1, &|s| s.store.token = 2);
        transition(self.runs, &|s| s.runs = false);
        transition(self.held_start.is_some(), &|s| {
            if let Some((token, attempt)) = s.held_start.take() {
                s.start_here(token, attempt);
            }
        });
        if let Task::Elsewhere { attempt } = self.store.task {
            let active = self.store.phase == Phase::Active;
            transition(active, &|s| s.runs_elsewhere = true);
            transition(true, &|s| {
                s.runs_elsewhere = false;
                s.store.task = Task::Waiting { tried: attempt };
                s.store.page += 1;
            });
        }
        next.retain(|state| state.store.page <= MAX_PAGE_CHANGES);
        next
    }
}

fn explore(conditions: Conditions) -> (bool, usize) {
    super::explore(
        &[State::new()],
        |state| state.next(conditions),
        State::violated,
    )
}

#[test]
fn late_transactions_run_no_task_twice_and_no_cancelled_task() {
    let (violated, states) = explore(ALL);
    assert!(!violated, "violated within {states} states");
    assert!(states > 100_000, "{states} states");
}

#[test]
fn each_condition_is_needed() {
    type Disable = fn(&mut Conditions);
    let without: [(&str, Disable); 4] = [
        ("the page's version", |c| c.page = false),
        ("the token", |c| c.token = false),
        ("expecting late starts", |c| c.expect_late_starts = false),
        ("confirming after the task left", |c| {
            c.confirm_after_task_left = false
        }),
    ];
    for (name, disable) in without {
        let mut conditions = ALL;
        disable(&mut conditions);
        assert!(explore(conditions).0, "no violation found without {name}");
    }
}
