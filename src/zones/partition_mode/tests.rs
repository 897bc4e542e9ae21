use super::*;
use crate::types::FencingToken;

/// In an outage all controllers lose the state service at once, and leases stand still. Kept
/// then, every shard would change its token when the service is back, for nothing.
#[test]
fn machines_are_kept_by_who_is_cut_off_and_not_in_an_outage() {
    for (lease_over, outage, holds, begins) in [
        (true, false, true, true),
        (false, false, true, false),
        (true, true, true, false),
        (true, false, false, false),
    ] {
        let mut keeping = PartitionMode::default();
        let seen = Circumstances {
            lease_over,
            outage,
            holds,
        };
        assert!(!keeping.begins(seen, Millis(9)), "not at once");
        assert_eq!(keeping.begins(seen, Millis(1_509)), begins, "{seen:?}");
        assert!(!keeping.begins(seen, Millis(1_510)), "once only");
        assert_eq!(keeping.end(Millis(1_519)), begins.then_some(Millis(10)));
        assert!(!keeping.on());
    }
}

/// A process that stood still for half a minute found its lease over, kept its machines, and gave
/// its shards up a quarter of a second later when it read what had been waiting.
#[test]
fn a_process_that_stood_still_reads_what_waits_first() {
    let mut keeping = PartitionMode::default();
    let seen = |lease_over| Circumstances {
        lease_over,
        outage: false,
        holds: true,
    };
    for (at, over, begins) in [
        (100, false, false),
        (32_000, true, false),
        (32_200, false, false),
        (33_600, true, false),
        (35_000, true, false),
        (35_100, true, true),
    ] {
        assert_eq!(keeping.begins(seen(over), Millis(at)), begins, "at {at}");
    }
}

/// A worker that is not kept may be thought dead by its holder once its lease is over: nobody
/// else may renew it.
#[test]
fn only_kept_workers_are_renewed_by_others() {
    let token = FencingToken(7);
    for (worker_token, cut_off, speaks, renews) in [
        (WorkerToken::partitioned(token), true, false, true),
        (WorkerToken::of(token), true, false, false),
        (WorkerToken::partitioned(token), false, false, false),
        (WorkerToken::partitioned(token), true, true, false),
    ] {
        assert_eq!(may_renew(worker_token, cut_off, speaks), renews);
    }
    assert!(WorkerToken::of(token) < WorkerToken::partitioned(token));
    assert!(WorkerToken::partitioned(token) < WorkerToken::of(FencingToken(8)));
    assert_eq!(WorkerToken::partitioned(token).token(), token);
}
