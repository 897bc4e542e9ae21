use super::*;

/// Users submit at `rates` per second by class for some seconds; rejected users retry after the
/// requested wait, for a minute. Accepted submissions are written at 10 per second. Returns the
/// submissions and acceptances of each class, and the number of rejections.
fn simulate(rates: &[f64], seconds: u64) -> (Vec<(u32, u32)>, u32) {
    let mut gate = Gate::default();
    let mut users: Vec<(f64, f64, Slot)> = Vec::new();
    let mut counts = vec![(0, 0); rates.len()];
    for (class, rate) in rates.iter().enumerate() {
        let count = (rate * seconds as f64) as u32;
        counts[class].0 = count;
        users.extend((0..count).map(|n| {
            let at = f64::from(n) / rate;
            (at, at, class as Slot)
        }));
    }
    let (mut pending, mut rejections, mut jitter) = (0.0_f64, 0, 0.0);
    for step in 0..(seconds + 70) * 20 {
        let now = step as f64 / 20.0;
        pending = (pending - 0.5).max(0.0);
        for user in &mut users {
            let (first, at, class) = *user;
            if at > now {
                continue;
            }
            jitter = (jitter + 0.381_966) % 1.0;
            let request = SubmissionRequest {
                class,
                urgency: Urgency::Normal,
                pending: pending as usize,
                allowed: 20.0,
                now_s: now,
                jitter,
            };
            match gate.admit(request) {
                Ok(()) => {
                    pending += 1.0;
                    counts[usize::from(class)].1 += 1;
                    user.1 = f64::INFINITY;
                }
                Err(rejected) => {
                    rejections += 1;
                    let retry_at = now + f64::from(rejected.retry_after_s);
                    user.1 = if retry_at - first > 60.0 {
                        f64::INFINITY
                    } else {
                        retry_at
                    };
                }
            }
        }
    }
    (counts, rejections)
}

#[test]
fn a_burst_is_accepted_in_time_with_few_rejections_each() {
    // 300 submissions arrive in two seconds.
    let (counts, rejections) = simulate(&[150.0], 2);
    assert_eq!(counts, [(300, 300)]);
    assert!(rejections < 1_500, "{rejections}");
}

#[test]
fn a_burst_of_one_class_does_not_starve_the_others() {
    let (counts, _) = simulate(&[60.0, 1.0, 1.0], 60);
    let accepted_fraction = |class: usize| f64::from(counts[class].1) / f64::from(counts[class].0);
    assert!(
        accepted_fraction(1) > 0.95 && accepted_fraction(2) > 0.95,
        "{counts:?}"
    );
    // The write rate is fully used.
    let accepted: u32 = counts.iter().map(|(_, accepted)| accepted).sum();
    assert!(accepted > 550, "{counts:?}");
}

#[test]
fn all_submissions_are_accepted_under_low_load() {
    let (counts, rejections) = simulate(&[4.0, 3.0], 30);
    assert!(
        counts
            .iter()
            .all(|(submitted, accepted)| submitted == accepted)
            && rejections == 0
    );
}
