use super::*;

#[test]
fn a_bucket_allows_its_rate_and_one_second_of_burst() {
    let cases = [
        // rate, seconds, maximum number of calls
        (10.0, 0, 10),
        (10.0, 1, 20),
        (50.0, 2, 150),
        (0.5, 4, 3),
    ];
    for (rate, seconds, max_calls) in cases {
        let mut bucket = TokenBucket::new(rate, Millis(0));
        let mut passed = 0;
        for ms in 0..=seconds * 1000 {
            while bucket.time_until_available(1.0, Millis(ms)) == Millis(0) {
                bucket.take(1.0);
                passed += 1;
            }
        }
        assert_eq!(passed, max_calls, "rate {rate} over {seconds} s");
    }
}

/// With five controllers that each use a fixed 45% of the limit, most calls of a busy minute are rejected.
#[test]
fn rates_adapt_to_the_usage_of_other_controllers() {
    let mut rates: Vec<AdaptiveRate> = (0..5)
        .map(|_| AdaptiveRate::new(30.0, 5, Millis(0)))
        .collect();
    let mut service = TokenBucket::new(30.0, Millis(0));
    let (mut passed, mut rejected) = (0, 0);
    for ms in (0..60_000).step_by(10) {
        let now = Millis(ms);
        // All controllers exceed the limit for 30 s, then a single one makes calls.
        let busy = if ms < 30_000 { 5 } else { 1 };
        for rate in &mut rates[..busy] {
            rate.increase(now);
            if rate.bucket.time_until_available(1.0, now) > Millis(0) {
                continue;
            }
            rate.bucket.take(1.0);
            if service.time_until_available(1.0, now) == Millis(0) {
                service.take(1.0);
                passed += 1;
            } else {
                rate.on_rejection(now);
                rejected += 1;
            }
        }
    }
    assert!(passed > 1_450, "{passed} of 1,800 passed");
    assert!(
        rejected * 8 < passed,
        "{rejected} rejected, {passed} passed"
    );
}

/// When the rate limit of the store is halved without notice, calls within the assigned rate are rejected.
#[test]
fn rejections_below_the_assigned_rate_reduce_the_used_fraction() {
    for (limit, min_passed, max_rejected) in [(20.0, 1_150, 5), (10.0, 540, 120)] {
        let mut assigned = AssignedRate::new(20.0, Millis(0));
        let mut service = TokenBucket::new(limit, Millis(0));
        let (mut passed, mut rejected) = (0, 0);
        for ms in (0..60_000).step_by(10) {
            let now = Millis(ms);
            assigned.increase(now);
            if assigned.bucket.time_until_available(1.0, now) > Millis(0) {
                continue;
            }
            assigned.bucket.take(1.0);
            if service.time_until_available(1.0, now) == Millis(0) {
                service.take(1.0);
                passed += 1;
            } else {
                assigned.on_rejection(now);
                rejected += 1;
            }
        }
        assert!(passed > min_passed, "{passed} of limit {limit}");
        assert!(rejected < max_rejected, "{rejected} of limit {limit}");
    }
}

#[test]
fn a_large_amount_passes_once_the_bucket_is_full() {
    let mut bucket = TokenBucket::new(10.0, Millis(0));
    assert_eq!(bucket.time_until_available(12.0, Millis(0)), Millis(0));
    bucket.take(12.0);
    assert_eq!(bucket.time_until_available(1.0, Millis(0)), Millis(300));
}
