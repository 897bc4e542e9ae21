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
    for (rate, seconds, most) in cases {
        let mut bucket = TokenBucket::new(rate, Millis(0));
        let mut passed = 0;
        for ms in 0..=seconds * 1000 {
            while bucket.time_until_available(1.0, Millis(ms)) == Millis(0) {
                bucket.take(1.0);
                passed += 1;
            }
        }
        assert_eq!(passed, most, "rate {rate} over {seconds} s");
    }
}

/// With five controllers that each used 45% of the limit, most calls of a busy minute were rejected.
#[test]
fn shares_adapt_to_the_usage_of_other_controllers() {
    let mut shares: Vec<AdaptiveShare> = (0..5)
        .map(|_| AdaptiveShare::new(30.0, 5, Millis(0)))
        .collect();
    let mut service = TokenBucket::new(30.0, Millis(0));
    let (mut passed, mut refused) = (0, 0);
    for ms in (0..60_000).step_by(10) {
        let now = Millis(ms);
        // All controllers exceed the budget for 30 s, then a single one does.
        let busy = if ms < 30_000 { 5 } else { 1 };
        for share in &mut shares[..busy] {
            share.increase(now);
            if share.bucket.time_until_available(1.0, now) > Millis(0) {
                continue;
            }
            share.bucket.take(1.0);
            if service.time_until_available(1.0, now) == Millis(0) {
                service.take(1.0);
                passed += 1;
            } else {
                share.on_rejection(now);
                refused += 1;
            }
        }
    }
    assert!(passed > 1_450, "{passed} of 1,800 passed");
    assert!(refused * 8 < passed, "{refused} refused, {passed} passed");
}

/// The store's rate limit was halved without notice.
#[test]
fn calls_rejected_within_the_budget_are_backed_off() {
    for (limit, least, most_refused) in [(20.0, 1_150, 5), (10.0, 540, 120)] {
        let mut ours = Allowance::new(20.0, Millis(0));
        let mut service = TokenBucket::new(limit, Millis(0));
        let (mut passed, mut refused) = (0, 0);
        for ms in (0..60_000).step_by(10) {
            let now = Millis(ms);
            ours.increase(now);
            if ours.bucket.time_until_available(1.0, now) > Millis(0) {
                continue;
            }
            ours.bucket.take(1.0);
            if service.time_until_available(1.0, now) == Millis(0) {
                service.take(1.0);
                passed += 1;
            } else {
                ours.on_rejection(now);
                refused += 1;
            }
        }
        assert!(passed > least, "{passed} of limit {limit}");
        assert!(refused < most_refused, "{refused} of limit {limit}");
    }
}

#[test]
fn a_large_amount_passes_once_the_bucket_is_full() {
    let mut bucket = TokenBucket::new(10.0, Millis(0));
    assert_eq!(bucket.time_until_available(12.0, Millis(0)), Millis(0));
    bucket.take(12.0);
    assert_eq!(bucket.time_until_available(1.0, Millis(0)), Millis(300));
}
