use super::*;
use crate::types::FencingToken;

/// In an outage all controllers lose the key-value store at once, and leases do not expire. If partition mode
/// were entered then, every shard would get a new token when the store is back, for nothing.
#[test]
fn partition_mode_is_entered_when_cut_off_and_not_in_an_outage() {
    for (lease_over, outage, holds_shards, entered) in [
        (true, false, true, true),
        (false, false, true, false),
        (true, true, true, false),
        (true, false, false, false),
    ] {
        let mut partition_mode = PartitionMode::default();
        let circumstances = Circumstances {
            lease_over,
            outage,
            holds_shards,
        };
        assert!(
            !partition_mode.update(circumstances, Millis(9)),
            "not at once"
        );
        assert_eq!(
            partition_mode.update(circumstances, Millis(1_509)),
            entered,
            "{circumstances:?}"
        );
        assert!(
            !partition_mode.update(circumstances, Millis(1_510)),
            "once only"
        );
        assert_eq!(
            partition_mode.leave(Millis(1_519)),
            entered.then_some(Millis(10))
        );
        assert!(!partition_mode.is_on());
    }
}

/// A process that was suspended for half a minute found its lease over, entered partition mode, and gave its
/// shards up a quarter of a second later when it read the answers that had been waiting.
#[test]
fn a_suspended_process_reads_waiting_answers_first() {
    let mut partition_mode = PartitionMode::default();
    let circumstances = |lease_over| Circumstances {
        lease_over,
        outage: false,
        holds_shards: true,
    };
    for (at, lease_over, entered) in [
        (100, false, false),
        (32_000, true, false),
        (32_200, false, false),
        (33_600, true, false),
        (35_000, true, false),
        (35_100, true, true),
    ] {
        assert_eq!(
            partition_mode.update(circumstances(lease_over), Millis(at)),
            entered,
            "at {at}"
        );
    }
}

/// Outside partition mode a holder may take a worker's tasks for ended once the worker's lease is over, so no
/// other controller may renew that lease.
#[test]
fn only_workers_under_a_partitioned_token_are_renewed_by_others() {
    let token = FencingToken(7);
    for (worker_token, cut_off, holder_in_contact, renews) in [
        (WorkerToken::partitioned(token), true, false, true),
        (WorkerToken::connected(token), true, false, false),
        (WorkerToken::partitioned(token), false, false, false),
        (WorkerToken::partitioned(token), true, true, false),
    ] {
        assert_eq!(may_renew(worker_token, cut_off, holder_in_contact), renews);
    }
    assert!(WorkerToken::connected(token) < WorkerToken::partitioned(token));
    assert!(WorkerToken::partitioned(token) < WorkerToken::connected(FencingToken(8)));
    assert_eq!(WorkerToken::partitioned(token).fencing_token(), token);
}
