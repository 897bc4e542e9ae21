use super::*;

#[test]
fn a_bucket_allows_its_rate_and_one_second_of_burst() {
    let cases = [
        // rate, seconds, most that may pass
        (10.0, 0, 10),
        (10.0, 1, 20),
        (50.0, 2, 150),
        (0.5, 4, 3),
    ];
    for (rate, seconds, most) in cases {
        let mut bucket = Bucket::new(rate, Millis(0));
        let mut passed = 0;
        for ms in 0..=seconds * 1000 {
            while bucket.wait(1.0, Millis(ms)) == Millis(0) {
                bucket.take(1.0);
                passed += 1;
            }
        }
        assert_eq!(passed, most, "rate {rate} over {seconds} s");
    }
}

/// With five controllers that each took 45% of the limit, most calls of a busy minute were
/// refused.
#[test]
fn shares_adapt_to_what_the_others_use() {
    let mut shares: Vec<Share> = (0..5).map(|_| Share::new(30.0, 5, Millis(0))).collect();
    let mut service = Bucket::new(30.0, Millis(0));
    let (mut passed, mut refused) = (0, 0);
    for ms in (0..60_000).step_by(10) {
        let now = Millis(ms);
        // All want more than there is for 30 s, then one alone does.
        let busy = if ms < 30_000 { 5 } else { 1 };
        for share in &mut shares[..busy] {
            share.increase(now);
            if share.bucket.wait(1.0, now) > Millis(0) {
                continue;
            }
            share.bucket.take(1.0);
            if service.wait(1.0, now) == Millis(0) {
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

/// The service's limit was halved without word.
#[test]
fn what_is_allowed_but_refused_is_not_asked_for_again_and_again() {
    for (limit, least, most_refused) in [(20.0, 1_150, 5), (10.0, 540, 120)] {
        let mut ours = Allowance::new(20.0, Millis(0));
        let mut service = Bucket::new(limit, Millis(0));
        let (mut passed, mut refused) = (0, 0);
        for ms in (0..60_000).step_by(10) {
            let now = Millis(ms);
            ours.increase(now);
            if ours.bucket.wait(1.0, now) > Millis(0) {
                continue;
            }
            ours.bucket.take(1.0);
            if service.wait(1.0, now) == Millis(0) {
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
    let mut bucket = Bucket::new(10.0, Millis(0));
    assert_eq!(bucket.wait(12.0, Millis(0)), Millis(0));
    bucket.take(12.0);
    assert_eq!(bucket.wait(1.0, Millis(0)), Millis(300));
}
