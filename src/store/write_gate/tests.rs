use super::*;

/// Guards against a refused transaction that is sent again unchanged, several times a second, until the records change.
#[test]
fn a_refused_transaction_waits_until_the_cache_shows_why() {
    let cases = [
        // answer, revision that the cache has reached, ms since it was sent, whether another may be sent
        (StoreResponse::Committed(Revision(9)), 4, 10, true),
        (StoreResponse::Unknown, 4, 10, true),
        (StoreResponse::Conflict(Revision(9)), 8, 900, false),
        (StoreResponse::Conflict(Revision(9)), 9, 10, true),
        (StoreResponse::Conflict(Revision(9)), 8, 1_000, true),
    ];
    for (answer, applied, after_ms, open) in cases {
        let mut gate = WriteGate::default();
        gate.begin(Millis(5));
        assert!(
            !gate.is_open(Revision(u64::MAX), Millis(9_000)),
            "{answer:?}: one is in flight"
        );
        gate.end(&answer);
        assert_eq!(
            gate.is_open(Revision(applied), Millis(5 + after_ms)),
            open,
            "{answer:?} at {applied}"
        );
    }
}
