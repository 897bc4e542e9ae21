use super::*;
use crate::types::FencingToken;

/// In an outage all controllers lose the key-value store at once, and leases do not expire. If partition mode
/// were entered then, every shard would needlessly get a new token once the store is available again.
#[test]
fn partition_mode_is_entered_when_cut_off_and_not_in_an_outage() {
    for (lease_expired, outage, holds_shards, entered) in [
        (true, false, true, true),
        (false, false, true, false),
        (true, true, true, false),
        (true, false, false, false),
    ] {
        let mut partition_mode = PartitionMode::default();
        let conditions = PartitionConditions {
            lease_expired,
            outage,
            holds_shards,
        };
        assert!(
            !partition_mode.update(conditions, Millis(9)),
            "entered without confirmation"
        );
        assert_eq!(
            partition_mode.update(conditions, Millis(1_509)),
            entered,
            "{conditions:?}"
        );
        assert!(
            !partition_mode.update(conditions, Millis(1_510)),
            "entered twice"
        );
        assert_eq!(
            partition_mode.leave(Millis(1_519)),
            entered.then_some(Millis(10))
        );
        assert!(!partition_mode.is_on());
    }
}

/// A process that was suspended for half a minute found its lease expired, entered partition mode, and released
/// its shards a quarter of a second later when it read the responses that had been waiting.
#[test]
fn a_suspended_process_reads_waiting_answers_first() {
    let mut partition_mode = PartitionMode::default();
    let conditions = |lease_expired| PartitionConditions {
        lease_expired,
        outage: false,
        holds_shards: true,
    };
    for (at, lease_expired, entered) in [
        (100, false, false),
        (32_000, true, false),
        (32_200, false, false),
        (33_600, true, false),
        (35_000, true, false),
        (35_100, true, true),
    ] {
        assert_eq!(
            partition_mode.update(conditions(lease_expired), Millis(at)),
            entered,
            "at {at}"
        );
    }
}

/// Outside partition mode a holder may treat a worker's tasks as ended once the worker's lease has expired, so
/// no other controller may renew that lease.
#[test]
fn only_workers_under_a_partitioned_token_are_renewed_by_others() {
    let token = FencingToken(7);
    for (worker_token, cut_off, holder_in_contact, renews) in [
        (WorkerToken::partitioned(token), true, false, true),
        (WorkerToken::connected(token), true, false, false),
        (WorkerToken::partitioned(token), false, false, false),
        (WorkerToken::partitioned(token), true, true, false),
    ] {
        assert_eq!(
            may_renew_worker_lease(worker_token, cut_off, holder_in_contact),
            renews
        );
    }
    assert!(WorkerToken::connected(token) < WorkerToken::partitioned(token));
    assert!(WorkerToken::partitioned(token) < WorkerToken::connected(FencingToken(8)));
    assert_eq!(WorkerToken::partitioned(token).fencing_token(), token);
}
