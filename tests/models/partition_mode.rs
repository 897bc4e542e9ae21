//! Model of one worker whose controllers are partitioned, crash and restart: no task runs twice, and
//! none runs after its cancellation was confirmed. Removing any condition violates this. The argument
//! is in docs/network-partitions.md.

use jaspertiller::types::{FencingToken, WorkerToken};
use jaspertiller::zones::partition_mode::may_renew_worker_lease;

/// Ticks of a worker's lease; its clock may lag by `MAX_DRIFT_TICKS` in total.
const LEASE_TICKS: u8 = 2;
const MAX_DRIFT_TICKS: u8 = 1;
/// Ticks for which a task may still run after its cancellation was confirmed.
const CANCEL_TIMEOUT_TICKS: u8 = LEASE_TICKS + MAX_DRIFT_TICKS + 1;
const MAX_PARTITIONS: u8 = 2;

const FIRST: FencingToken = FencingToken(1);
const SECOND: FencingToken = FencingToken(2);

/// The conditions of the safety argument.
#[derive(Clone, Copy)]
struct Conditions {
    /// A cancellation is confirmed when its task is known to have left, not when it is recorded.
    confirm_after_task_left: bool,
    /// Other controllers renew a worker's lease only under a token marked as partitioned.
    renew_only_partitioned_tokens: bool,
    /// A holder that was in partition mode releases its token when it reaches the store again.
    release_token_on_return: bool,
    /// In partition mode silence is no evidence that a lease has expired.
    ignore_silence_when_partitioned: bool,
    /// A new holder accepts evidence only from workers that have seen its token.
    require_own_token_for_evidence: bool,
    /// An unanswered start may still arrive.
    expect_late_starts: bool,
    /// The worker's clock may lag.
    allow_clock_drift: bool,
    /// A new holder counts a worker's silence from the acknowledgement of the new token.
    count_silence_from_acknowledgement: bool,
}

const ALL: Conditions = Conditions {
    confirm_after_task_left: true,
    renew_only_partitioned_tokens: true,
    release_token_on_return: true,
    ignore_silence_when_partitioned: true,
    require_own_token_for_evidence: true,
    expect_late_starts: true,
    allow_clock_drift: true,
    count_silence_from_acknowledgement: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Holder {
    /// The first process, with the first token.
    Runs,
    /// Restarted while partitioned: it has read no records.
    Restarted,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The zone is partitioned: the worker and a controller without shards are inside, the store and the
    /// second holder are outside, and the first holder is on either side.
    partitioned: bool,
    partitions_left: u8,
    inside: bool,
    first: Holder,
    partition_mode: bool,
    was_in_partition_mode: bool,
    /// The first holder knows that the job is cancelled.
    first_knows_cancellation: bool,
    /// Ticks since the first holder answered the worker, by the holder's clock.
    unanswered: u8,
    /// A controller in the zone without shards has restarted and has read no records yet.
    shardless_controller_restarted: bool,
    /// Whether the second holder has the shard, by the store's records.
    second_holds_shard: bool,
    /// Ticks of the worker's silence that the second holder counts; `None` before it counts.
    second_silence_ticks: Option<u8>,
    /// The second holder knows that the worker has seen its token.
    second_token_acknowledged: bool,
    placed: bool,
    cancelled: bool,
    confirmed: Option<u8>,
    runs_elsewhere: bool,
    // The worker.
    worker_token: WorkerToken,
    agent_epoch: u8,
    lease_ticks_left: u8,
    /// Ticks by which the worker's clock may still lag.
    drift_ticks_left: u8,
    task: bool,
    deleted: bool,
    /// The network delays a start that the first holder sent in the first agent epoch.
    late_start: bool,
}

impl State {
    fn new(inside: bool, running: bool) -> Self {
        Self {
            partitioned: false,
            partitions_left: MAX_PARTITIONS,
            inside,
            first: Holder::Runs,
            partition_mode: false,
            was_in_partition_mode: false,
            first_knows_cancellation: false,
            unanswered: 0,
            shardless_controller_restarted: false,
            second_holds_shard: false,
            second_silence_ticks: None,
            second_token_acknowledged: false,
            placed: true,
            cancelled: false,
            confirmed: None,
            runs_elsewhere: false,
            worker_token: WorkerToken::connected(FIRST),
            agent_epoch: 1,
            lease_ticks_left: LEASE_TICKS,
            drift_ticks_left: MAX_DRIFT_TICKS,
            task: running,
            deleted: false,
            late_start: !running,
        }
    }

    fn first_reaches_store(&self) -> bool {
        !(self.partitioned && self.inside)
    }

    fn first_reaches_worker(&self) -> bool {
        self.inside || !self.partitioned
    }

    fn violated(&self) -> bool {
        let twice = self.task && self.runs_elsewhere;
        let cancelled = self.task
            && self
                .confirmed
                .is_some_and(|ticks| ticks > CANCEL_TIMEOUT_TICKS);
        !self.deleted && (twice || cancelled)
    }

    fn accept_worker_token(&mut self, worker_token: WorkerToken) -> bool {
        let taken = worker_token >= self.worker_token;
        if taken {
            self.worker_token = worker_token;
            self.lease_ticks_left = LEASE_TICKS;
        }
        taken
    }

    /// One tick passes for the controllers and the user.
    fn tick(&mut self) {
        self.unanswered = (self.unanswered + 1).min(LEASE_TICKS + MAX_DRIFT_TICKS + 1);
        let counts = |ticks: u8| (ticks + 1).min(LEASE_TICKS + MAX_DRIFT_TICKS + 1);
        self.second_silence_ticks = self.second_silence_ticks.map(counts);
        self.confirmed = self
            .confirmed
            .map(|ticks| (ticks + 1).min(CANCEL_TIMEOUT_TICKS + 1));
    }

    /// Records that the task has left the worker.
    fn record_task_left(&mut self) {
        self.placed = false;
    }

    /// All possible next states.
    fn next(self, conditions: Conditions) -> Vec<State> {
        let mut next = Vec::new();
        let mut transition = |change: &dyn Fn(&mut State) -> bool| {
            let mut state = self;
            if change(&mut state) {
                next.push(state);
            }
        };
        transition(&|s| {
            // The partition begins or heals.
            if s.partitioned {
                s.partitioned = false;
                return true;
            }
            let enabled = s.partitions_left > 0;
            s.partitions_left = s.partitions_left.saturating_sub(1);
            s.partitioned = true;
            enabled
        });
        transition(&|s| {
            // One tick of all clocks.
            s.lease_ticks_left = s.lease_ticks_left.saturating_sub(1);
            if s.lease_ticks_left == 0 {
                (s.task, s.agent_epoch, s.lease_ticks_left) =
                    (false, s.agent_epoch.saturating_add(1).min(3), LEASE_TICKS);
            }
            s.tick();
            true
        });
        transition(&|s| {
            // The worker's clock lags.
            let enabled = s.drift_ticks_left > 0;
            s.drift_ticks_left = s.drift_ticks_left.saturating_sub(1);
            s.tick();
            enabled
        });
        transition(&|s| {
            // The first holder is partitioned and its lease has expired: it enters partition mode.
            let enabled = s.first == Holder::Runs && !s.first_reaches_store() && !s.partition_mode;
            (s.partition_mode, s.was_in_partition_mode) = (true, true);
            enabled
        });
        transition(&|s| {
            // The first holder reaches the store again, or updates its cache.
            let enabled = s.first == Holder::Runs && s.first_reaches_store();
            if s.partition_mode || s.second_holds_shard {
                let lost = s.second_holds_shard || conditions.release_token_on_return;
                (s.partition_mode, s.second_holds_shard) = (false, lost);
                if lost {
                    s.first = Holder::Gone;
                }
            }
            s.first_knows_cancellation = s.cancelled;
            enabled
        });
        transition(&|s| {
            // The first holder crashes; its next process has no records while it is partitioned.
            let enabled = s.first == Holder::Runs;
            s.partition_mode = false;
            s.first = if s.first_reaches_store() {
                s.second_holds_shard = true;
                Holder::Gone
            } else {
                Holder::Restarted
            };
            enabled
        });
        transition(&|s| {
            // The restarted process reads the records.
            let enabled = s.first == Holder::Restarted && s.first_reaches_store();
            (s.first, s.second_holds_shard) = (Holder::Gone, true);
            enabled
        });
        transition(&|s| {
            // The first holder's lease expires.
            let enabled = !s.second_holds_shard && !s.first_reaches_store();
            s.second_holds_shard = true;
            enabled
        });
        transition(&|s| {
            // The controller without shards restarts inside the partition, or reads the records.
            if s.shardless_controller_restarted {
                s.shardless_controller_restarted = false;
                return !s.partitioned;
            }
            s.shardless_controller_restarted = true;
            s.partitioned
        });
        transition(&|s| {
            // The worker sends a heartbeat to the first holder.
            if s.deleted || s.first != Holder::Runs || !s.first_reaches_worker() {
                return false;
            }
            let worker_token = if s.partition_mode {
                WorkerToken::partitioned(FIRST)
            } else {
                WorkerToken::connected(FIRST)
            };
            if s.worker_token > worker_token {
                return false;
            }
            let absent = !s.task && (!s.late_start || !conditions.expect_late_starts);
            s.unanswered = 0;
            if s.accept_worker_token(worker_token) {
                if s.first_knows_cancellation {
                    s.task = false;
                } else if absent && !s.second_holds_shard && s.first_reaches_store() {
                    s.record_task_left();
                }
            }
            true
        });
        transition(&|s| {
            // The worker sends a heartbeat to a process without records: the restarted holder, or the
            // controller without shards.
            let restarted =
                s.first == Holder::Restarted && s.inside || s.shardless_controller_restarted;
            let marked = may_renew_worker_lease(s.worker_token, restarted, false);
            let renews = marked || restarted && !conditions.renew_only_partitioned_tokens;
            if s.deleted || !renews {
                return false;
            }
            s.lease_ticks_left = LEASE_TICKS;
            true
        });
        for response_arrives in [true, false] {
            transition(&|s| {
                // The worker sends a heartbeat to the second holder, whose response may be lost.
                if s.deleted || !s.second_holds_shard || s.partitioned {
                    return false;
                }
                let own = conditions.require_own_token_for_evidence;
                let knew_token = s.worker_token >= WorkerToken::connected(SECOND) || !own;
                let present = s.task;
                if knew_token || !conditions.count_silence_from_acknowledgement {
                    s.second_silence_ticks = Some(0);
                }
                s.second_token_acknowledged |= knew_token;
                if response_arrives {
                    s.accept_worker_token(WorkerToken::connected(SECOND));
                }
                if !knew_token {
                    return response_arrives || !conditions.count_silence_from_acknowledgement;
                }
                if !present {
                    s.record_task_left();
                } else if response_arrives && (s.cancelled || !s.placed) {
                    s.task = false;
                }
                true
            });
        }
        transition(&|s| {
            // The first holder concludes from the worker's silence that its lease has expired.
            let allowed = !s.partition_mode || !conditions.ignore_silence_when_partitioned;
            let margin = if conditions.allow_clock_drift {
                MAX_DRIFT_TICKS
            } else {
                0
            };
            let over = s.unanswered >= LEASE_TICKS + margin;
            let enabled = s.first == Holder::Runs
                && !s.second_holds_shard
                && s.first_reaches_store()
                && s.worker_token.fencing_token() == FIRST
                && over
                && allowed;
            s.record_task_left();
            enabled
        });
        transition(&|s| {
            // The second holder announces its token directly, which renews no lease; the worker responds.
            let enabled = s.second_holds_shard
                && !s.partitioned
                && !s.deleted
                && !s.second_token_acknowledged;
            if conditions.count_silence_from_acknowledgement {
                s.second_silence_ticks = Some(0);
            }
            (s.second_token_acknowledged, s.worker_token) =
                (true, s.worker_token.max(WorkerToken::connected(SECOND)));
            enabled
        });
        transition(&|s| {
            // The second holder concludes from the worker's silence that its lease has expired.
            let margin = if conditions.allow_clock_drift {
                MAX_DRIFT_TICKS
            } else {
                0
            };
            let over = s
                .second_silence_ticks
                .is_some_and(|ticks| ticks >= LEASE_TICKS + margin);
            let enabled = s.second_holds_shard && s.second_token_acknowledged && over;
            s.record_task_left();
            enabled
        });
        transition(&|s| {
            // The cloud deletes the machine.
            let enabled = !s.deleted && s.placed;
            (s.deleted, s.task, s.placed) = (true, false, false);
            enabled
        });
        transition(&|s| {
            // A delayed start arrives.
            if !s.late_start || s.partitioned && !s.inside {
                return false;
            }
            s.late_start = false;
            if !s.deleted && s.agent_epoch == 1 && s.worker_token <= WorkerToken::connected(FIRST) {
                s.task = true;
            }
            true
        });
        transition(&|s| {
            let enabled = !s.placed && !s.cancelled && !s.runs_elsewhere;
            s.runs_elsewhere = true;
            enabled
        });
        transition(&|s| {
            let enabled = !s.cancelled && !s.runs_elsewhere;
            s.cancelled = true;
            enabled
        });
        transition(&|s| {
            let gone = !s.placed || !conditions.confirm_after_task_left;
            let enabled = s.cancelled && gone && s.confirmed.is_none();
            s.confirmed = Some(0);
            enabled
        });
        next
    }
}

fn explore(conditions: Conditions) -> (bool, usize) {
    let starts = [(true, true), (true, false), (false, true), (false, false)];
    let starts = starts.map(|(inside, running)| State::new(inside, running));
    super::explore(&starts, |state| state.next(conditions), State::violated)
}

#[test]
fn no_task_runs_twice_or_after_its_confirmed_cancellation() {
    let (violated, states) = explore(ALL);
    assert!(!violated);
    // The search covered partitions, crashes and late starts in all their orders.
    assert!(states > 500_000, "{states} states");
}

#[test]
fn each_condition_is_needed() {
    type Disable = fn(&mut Conditions);
    let without: [(&str, Disable); 8] = [
        ("confirm_after_task_left", |c| {
            c.confirm_after_task_left = false
        }),
        ("renew_only_partitioned_tokens", |c| {
            c.renew_only_partitioned_tokens = false
        }),
        ("release_token_on_return", |c| {
            c.release_token_on_return = false
        }),
        ("ignore_silence_when_partitioned", |c| {
            (c.ignore_silence_when_partitioned, c.release_token_on_return) = (false, false);
        }),
        ("require_own_token_for_evidence", |c| {
            c.require_own_token_for_evidence = false
        }),
        ("expect_late_starts", |c| c.expect_late_starts = false),
        ("allow_clock_drift", |c| c.allow_clock_drift = false),
        ("count_silence_from_acknowledgement", |c| {
            c.count_silence_from_acknowledgement = false
        }),
    ];
    for (name, disable) in without {
        let mut conditions = ALL;
        disable(&mut conditions);
        assert!(explore(conditions).0, "no violation found without {name}");
    }
}
