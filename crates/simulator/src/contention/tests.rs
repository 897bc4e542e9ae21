use super::*;

/// Checks a claim of the quota documentation, with one seed: shares rarely deviate by more than the tolerance, and
/// follow demand in time except where a task needs a whole machine. The baseline with flat quotas shows that the check
/// can fail.
#[test]
fn shares_follow_demand_within_the_tolerance() {
    // Variant, maximum samples per thousand outside the tolerance.
    let cases = [(Kind::NoFaults, 20.0), (Kind::Faults, 40.0)];
    for (kind, max_per_mille) in cases {
        let result = simulate(kind, 1);
        assert!(
            result.violations.is_empty(),
            "{kind:?}: {:?}",
            result.violations
        );
        let outside = result.outside() as f64 * 1e3 / result.settled() as f64;
        assert!(
            outside <= max_per_mille,
            "{kind:?}: {outside} in a thousand outside"
        );
        let in_time = |time_s: &Option<u64>| time_s.is_some_and(|time_s| time_s <= SETTLE_S);
        let late = result
            .reclaim_times_s
            .iter()
            .filter(|(_, time_s)| !in_time(time_s));
        assert!(late.count() <= 2, "{kind:?}: {:?}", result.reclaim_times_s);
    }
    let flat = simulate(Kind::Flat, 1);
    assert!(flat.outside() * 10 > flat.settled(), "{}", flat.outside());
}
