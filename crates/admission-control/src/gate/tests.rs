use super::*;

/// Users submit at `rates` per second by class for some seconds; rejected users retry after the
/// requested wait, for a minute. Accepted submissions are written at 10 per second. Returns the
/// submissions and acceptances of each class, and the number of rejections.
fn play(rates: &[f64], seconds: u64) -> (Vec<(u32, u32)>, u32) {
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
    let (mut pending, mut sent_away, mut luck) = (0.0_f64, 0, 0.0);
    for step in 0..(seconds + 70) * 20 {
        let now = step as f64 / 20.0;
        pending = (pending - 0.5).max(0.0);
        for user in &mut users {
            let (first, at, class) = *user;
            if at > now {
                continue;
            }
            luck = (luck + 0.381_966) % 1.0;
            let request = SubmissionRequest {
                class,
                urgency: Urgency::Normal,
                pending: pending as usize,
                allowed: 20.0,
                now_s: now,
                jitter: luck,
            };
            match gate.admit(request) {
                Ok(()) => {
                    pending += 1.0;
                    counts[usize::from(class)].1 += 1;
                    user.1 = f64::INFINITY;
                }
                Err(rejected) => {
                    sent_away += 1;
                    let back = now + f64::from(rejected.retry_after_s);
                    user.1 = if back - first > 60.0 {
                        f64::INFINITY
                    } else {
                        back
                    };
                }
            }
        }
    }
    (counts, sent_away)
}

#[test]
fn a_burst_is_accepted_in_time_with_few_rejections_each() {
    // 300 submissions arrive in two seconds.
    let (counts, sent_away) = play(&[150.0], 2);
    assert_eq!(counts, [(300, 300)]);
    assert!(sent_away < 1_500, "{sent_away}");
}

#[test]
fn a_burst_of_one_class_does_not_shut_out_the_others() {
    let (counts, _) = play(&[60.0, 1.0, 1.0], 60);
    let share = |class: usize| f64::from(counts[class].1) / f64::from(counts[class].0);
    assert!(share(1) > 0.95 && share(2) > 0.95, "{counts:?}");
    // The write rate is fully used.
    let taken: u32 = counts.iter().map(|(_, taken)| taken).sum();
    assert!(taken > 550, "{counts:?}");
}

#[test]
fn all_submissions_are_accepted_under_low_load() {
    let (counts, sent_away) = play(&[4.0, 3.0], 30);
    assert!(counts.iter().all(|(came, taken)| came == taken) && sent_away == 0);
}
