use super::*;

/// The claim of the quota documentation, with one seed: shares rarely deviate by more than the
/// tolerance, and follow demand in time except where a task needs a whole machine. The flat quotas
/// show that the check can fail.
#[test]
fn shares_follow_demand_within_the_tolerance() {
    // Quota kind, maximum samples per thousand outside the tolerance.
    let cases = [(Kind::Quiet, 20.0), (Kind::Faults, 40.0)];
    for (kind, most) in cases {
        let replay = replay(kind, 1);
        assert!(replay.broken.is_empty(), "{kind:?}: {:?}", replay.broken);
        let outside = replay.outside() as f64 * 1e3 / replay.settled() as f64;
        assert!(outside <= most, "{kind:?}: {outside} in a thousand outside");
        let in_time = |after: &Option<u64>| after.is_some_and(|after| after <= SETTLE_S);
        let late = replay.reclaimed.iter().filter(|(_, s)| !in_time(s));
        assert!(late.count() <= 2, "{kind:?}: {:?}", replay.reclaimed);
    }
    let flat = replay(Kind::Flat, 1);
    assert!(flat.outside() * 10 > flat.settled(), "{}", flat.outside());
}
