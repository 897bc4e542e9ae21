//! Every order of events around one worker whose controllers are cut off, crash and come back, up
//! to a bound: no task is placed twice, and none is left when its user hears that the job is
//! cancelled. Each condition that this rests on, left out, breaks it. The argument is in
//! docs/network-partitions.md.

use jaspertiller::types::{FencingToken, WorkerToken};
use jaspertiller::zones::partition_mode::may_renew;

/// Ticks of a worker's lease; its clock may lag by one more in all.
const LEASE: u8 = 2;
const DRIFT: u8 = 1;
/// Ticks that a cancelled task may stay.
const CANCEL: u8 = LEASE + DRIFT + 1;
const CUTS: u8 = 2;

const FIRST: FencingToken = FencingToken(1);
const SECOND: FencingToken = FencingToken(2);

/// What the argument rests on.
#[derive(Clone, Copy)]
struct Conditions {
    /// A cancellation is told when its task is seen gone, not when it is recorded.
    told_when_gone: bool,
    /// Others renew a worker only if its holder marked it as kept.
    only_marked_are_renewed: bool,
    /// A holder that kept machines gives its token up when it is back.
    token_is_given_up: bool,
    /// Silence proves nothing while machines are kept.
    kept_silence_proves_nothing: bool,
    /// A new holder draws evidence only from workers that have seen its token.
    evidence_under_own_token: bool,
    /// A start without an answer may still come.
    late_starts_are_minded: bool,
    /// The worker's clock may lag.
    drift_is_allowed_for: bool,
    /// A new holder counts a worker's silence from when it was known to have seen the new token.
    counted_from_seeing: bool,
}

const ALL: Conditions = Conditions {
    told_when_gone: true,
    only_marked_are_renewed: true,
    token_is_given_up: true,
    kept_silence_proves_nothing: true,
    evidence_under_own_token: true,
    late_starts_are_minded: true,
    drift_is_allowed_for: true,
    counted_from_seeing: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Holder {
    /// The first process, with the first token.
    Runs,
    /// Restarted, and cut off: it has read nothing.
    Blank,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The zone is cut off: worker and bystander inside, the state service and the second holder
    /// outside; the first holder on either side.
    cut: bool,
    cuts_left: u8,
    inside: bool,
    first: Holder,
    keeping: bool,
    kept_once: bool,
    /// The first holder knows that the job is cancelled.
    first_knows: bool,
    /// Ticks since the first holder answered the worker, as it counts them.
    unanswered: u8,
    /// A controller in the zone that holds nothing, and has read nothing since it started.
    bystander_blank: bool,
    /// By the state service: whether the second holds the shard now.
    moved: bool,
    /// Ticks that the second holder counts as the worker's silence; none: it counts none yet.
    second_counts: Option<u8>,
    /// The second knows that the worker has seen its token.
    second_aware: bool,
    placed: bool,
    cancelled: bool,
    told: Option<u8>,
    elsewhere: bool,
    // The worker.
    worker_token: WorkerToken,
    agent_epoch: u8,
    lease: u8,
    lag: u8,
    task: bool,
    deleted: bool,
    /// A start of the first holder in the first agent epoch that the network holds.
    late_start: bool,
}

impl State {
    fn new(inside: bool, running: bool) -> Self {
        Self {
            cut: false,
            cuts_left: CUTS,
            inside,
            first: Holder::Runs,
            keeping: false,
            kept_once: false,
            first_knows: false,
            unanswered: 0,
            bystander_blank: false,
            moved: false,
            second_counts: None,
            second_aware: false,
            placed: true,
            cancelled: false,
            told: None,
            elsewhere: false,
            worker_token: WorkerToken::of(FIRST),
            agent_epoch: 1,
            lease: LEASE,
            lag: DRIFT,
            task: running,
            deleted: false,
            late_start: !running,
        }
    }

    fn first_reaches_store(&self) -> bool {
        !(self.cut && self.inside)
    }

    fn first_reaches_worker(&self) -> bool {
        self.inside || !self.cut
    }

    fn broken(&self) -> bool {
        let twice = self.task && self.elsewhere;
        let cancelled = self.task && self.told.is_some_and(|ticks| ticks > CANCEL);
        !self.deleted && (twice || cancelled)
    }

    fn heard_worker_token(&mut self, worker_token: WorkerToken) -> bool {
        let taken = worker_token >= self.worker_token;
        if taken {
            self.worker_token = worker_token;
            self.lease = LEASE;
        }
        taken
    }

    /// Time passes at the controllers and the user.
    fn tick(&mut self) {
        self.unanswered = (self.unanswered + 1).min(LEASE + DRIFT + 1);
        let counts = |ticks: u8| (ticks + 1).min(LEASE + DRIFT + 1);
        self.second_counts = self.second_counts.map(counts);
        self.told = self.told.map(|ticks| (ticks + 1).min(CANCEL + 1));
    }

    /// The task is seen to have left.
    fn seen_gone(&mut self) {
        self.placed = false;
    }

    /// All that may happen next.
    fn next(self, rest_on: Conditions) -> Vec<State> {
        let mut next = Vec::new();
        let mut then = |change: &dyn Fn(&mut State) -> bool| {
            let mut state = self;
            if change(&mut state) {
                next.push(state);
            }
        };
        then(&|s| {
            // The cut begins or ends.
            if s.cut {
                s.cut = false;
                return true;
            }
            let may = s.cuts_left > 0;
            s.cuts_left = s.cuts_left.saturating_sub(1);
            s.cut = true;
            may
        });
        then(&|s| {
            // A tick of the worker's clock, and of the others'.
            s.lease = s.lease.saturating_sub(1);
            if s.lease == 0 {
                (s.task, s.agent_epoch, s.lease) =
                    (false, s.agent_epoch.saturating_add(1).min(3), LEASE);
            }
            s.tick();
            true
        });
        then(&|s| {
            // The worker's clock lags.
            let may = s.lag > 0;
            s.lag = s.lag.saturating_sub(1);
            s.tick();
            may
        });
        then(&|s| {
            // The first holder is cut off, and its lease is over: it keeps its machines.
            let may = s.first == Holder::Runs && !s.first_reaches_store() && !s.keeping;
            (s.keeping, s.kept_once) = (true, true);
            may
        });
        then(&|s| {
            // The first holder is back, or learns what is new.
            let may = s.first == Holder::Runs && s.first_reaches_store();
            if s.keeping || s.moved {
                let lost = s.moved || rest_on.token_is_given_up;
                (s.keeping, s.moved) = (false, lost);
                if lost {
                    s.first = Holder::Gone;
                }
            }
            s.first_knows = s.cancelled;
            may
        });
        then(&|s| {
            // It crashes; its next process knows nothing while it is cut off.
            let may = s.first == Holder::Runs;
            s.keeping = false;
            s.first = if s.first_reaches_store() {
                s.moved = true;
                Holder::Gone
            } else {
                Holder::Blank
            };
            may
        });
        then(&|s| {
            // A blank process reads the records.
            let may = s.first == Holder::Blank && s.first_reaches_store();
            (s.first, s.moved) = (Holder::Gone, true);
            may
        });
        then(&|s| {
            // The first holder's lease ends.
            let may = !s.moved && !s.first_reaches_store();
            s.moved = true;
            may
        });
        then(&|s| {
            // The bystander restarts inside the cut, or reads the records.
            if s.bystander_blank {
                s.bystander_blank = false;
                return !s.cut;
            }
            s.bystander_blank = true;
            s.cut
        });
        then(&|s| {
            // The worker reports to the first holder.
            if s.deleted || s.first != Holder::Runs || !s.first_reaches_worker() {
                return false;
            }
            let worker_token = if s.keeping {
                WorkerToken::partitioned(FIRST)
            } else {
                WorkerToken::of(FIRST)
            };
            if s.worker_token > worker_token {
                return false;
            }
            let absent = !s.task && (!s.late_start || !rest_on.late_starts_are_minded);
            s.unanswered = 0;
            if s.heard_worker_token(worker_token) {
                if s.first_knows {
                    s.task = false;
                } else if absent && !s.moved && s.first_reaches_store() {
                    s.seen_gone();
                }
            }
            true
        });
        then(&|s| {
            // It reports to a process that knows nothing: the restarted one, or the bystander.
            let blank = s.first == Holder::Blank && s.inside || s.bystander_blank;
            let marked = may_renew(s.worker_token, blank, false);
            let renews = marked || blank && !rest_on.only_marked_are_renewed;
            if s.deleted || !renews {
                return false;
            }
            s.lease = LEASE;
            true
        });
        for answer_comes in [true, false] {
            then(&|s| {
                // It reports to the second holder, whose answer may be lost.
                if s.deleted || !s.moved || s.cut {
                    return false;
                }
                let own = rest_on.evidence_under_own_token;
                let knew = s.worker_token >= WorkerToken::of(SECOND) || !own;
                let present = s.task;
                if knew || !rest_on.counted_from_seeing {
                    s.second_counts = Some(0);
                }
                s.second_aware |= knew;
                if answer_comes {
                    s.heard_worker_token(WorkerToken::of(SECOND));
                }
                if !knew {
                    return answer_comes || !rest_on.counted_from_seeing;
                }
                if !present {
                    s.seen_gone();
                } else if answer_comes && (s.cancelled || !s.placed) {
                    s.task = false;
                }
                true
            });
        }
        then(&|s| {
            // The first holder takes the worker's silence for the end of its lease.
            let allowed = !s.keeping || !rest_on.kept_silence_proves_nothing;
            let margin = if rest_on.drift_is_allowed_for {
                DRIFT
            } else {
                0
            };
            let over = s.unanswered >= LEASE + margin;
            let may = s.first == Holder::Runs
                && !s.moved
                && s.first_reaches_store()
                && s.worker_token.token() == FIRST
                && over
                && allowed;
            s.seen_gone();
            may
        });
        then(&|s| {
            // The second holder shows its token directly, which renews no lease, and is answered.
            let may = s.moved && !s.cut && !s.deleted && !s.second_aware;
            if rest_on.counted_from_seeing {
                s.second_counts = Some(0);
            }
            (s.second_aware, s.worker_token) = (true, s.worker_token.max(WorkerToken::of(SECOND)));
            may
        });
        then(&|s| {
            // The second holder takes the worker's silence for the end of its lease.
            let margin = if rest_on.drift_is_allowed_for {
                DRIFT
            } else {
                0
            };
            let over = s.second_counts.is_some_and(|ticks| ticks >= LEASE + margin);
            let may = s.moved && s.second_aware && over;
            s.seen_gone();
            may
        });
        then(&|s| {
            // The cloud deletes the machine.
            let may = !s.deleted && s.placed;
            (s.deleted, s.task, s.placed) = (true, false, false);
            may
        });
        then(&|s| {
            // A held start comes.
            if !s.late_start || s.cut && !s.inside {
                return false;
            }
            s.late_start = false;
            if !s.deleted && s.agent_epoch == 1 && s.worker_token <= WorkerToken::of(FIRST) {
                s.task = true;
            }
            true
        });
        then(&|s| {
            let may = !s.placed && !s.cancelled && !s.elsewhere;
            s.elsewhere = true;
            may
        });
        then(&|s| {
            let may = !s.cancelled && !s.elsewhere;
            s.cancelled = true;
            may
        });
        then(&|s| {
            let gone = !s.placed || !rest_on.told_when_gone;
            let may = s.cancelled && gone && s.told.is_none();
            s.told = Some(0);
            may
        });
        next
    }
}

fn explore(rest_on: Conditions) -> (bool, usize) {
    let starts = [(true, true), (true, false), (false, true), (false, false)];
    let starts = starts.map(|(inside, running)| State::new(inside, running));
    super::explore(&starts, |state| state.next(rest_on), State::broken)
}

#[test]
fn nothing_runs_twice_or_after_its_cancellation_was_told() {
    let (broken, states) = explore(ALL);
    assert!(!broken);
    // It went somewhere: cuts, crashes and late starts in all their commands.
    assert!(states > 500_000, "{states} states");
}

#[test]
fn each_condition_is_needed() {
    type LeaveOut = fn(&mut Conditions);
    let without: [(&str, LeaveOut); 8] = [
        ("told_when_gone", |c| c.told_when_gone = false),
        ("only_marked_are_renewed", |c| {
            c.only_marked_are_renewed = false
        }),
        ("token_is_given_up", |c| c.token_is_given_up = false),
        ("kept_silence_proves_nothing", |c| {
            (c.kept_silence_proves_nothing, c.token_is_given_up) = (false, false);
        }),
        ("evidence_under_own_token", |c| {
            c.evidence_under_own_token = false
        }),
        ("late_starts_are_minded", |c| {
            c.late_starts_are_minded = false
        }),
        ("drift_is_allowed_for", |c| c.drift_is_allowed_for = false),
        ("counted_from_seeing", |c| c.counted_from_seeing = false),
    ];
    for (name, leave_out) in without {
        let mut rest_on = ALL;
        leave_out(&mut rest_on);
        assert!(explore(rest_on).0, "nothing breaks without {name}");
    }
}
