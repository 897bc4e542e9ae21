use super::*;

/// Guards against a refused transaction that is sent again unchanged, several times a second, until the records change.
#[test]
fn a_refused_transaction_waits_until_the_cache_shows_why() {
    let cases = [
        // answer, revision that the cache has reached, whether another may be sent
        (StoreResponse::Committed(Revision(9)), 4, true),
        (StoreResponse::Unknown, 4, true),
        (StoreResponse::Conflict(Revision(9)), 8, false),
        (StoreResponse::Conflict(Revision(9)), 9, true),
    ];
    for (answer, applied, open) in cases {
        let mut gate = WriteGate::default();
        gate.begin();
        assert!(
            !gate.is_open(Revision(u64::MAX)),
            "{answer:?}: one is in flight"
        );
        gate.end(&answer);
        assert_eq!(
            gate.is_open(Revision(applied)),
            open,
            "{answer:?} at {applied}"
        );
    }
}
