use super::*;

#[test]
fn heartbeats_precede_user_requests_without_starving_them() {
    let mut queue = RequestQueue::new(100);
    for index in 0..6 {
        queue.push(RequestKind::Heartbeat, format!("r{index}"), Millis(0));
    }
    queue.push(RequestKind::User, "u0".into(), Millis(0));
    queue.push(RequestKind::User, "u1".into(), Millis(0));
    queue.push(RequestKind::Probe, "p".into(), Millis(0));
    let mut expired = Vec::new();
    let order: Vec<String> = std::iter::from_fn(|| queue.pop(Millis(10), &mut expired)).collect();
    assert_eq!(order, ["p", "r0", "r1", "r2", "r3", "u0", "r4", "r5", "u1"]);
    assert!(expired.is_empty() && queue.is_empty());
}

/// A slow controller handled requests whose clients had already timed out, so that every response came too
/// late.
#[test]
fn expired_requests_are_dropped_and_overload_serves_the_newest_first() {
    let cases = [
        // time, order, expired
        (900, vec!["a", "b", "c"], vec![]),
        (1_001, vec!["c", "b", "a"], vec![]),
        (3_501, vec!["c", "b"], vec!["a"]),
        (4_600, vec![], vec!["a", "b", "c"]),
    ];
    for (at, order, too_old) in cases {
        let mut queue = RequestQueue::new(100);
        for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
            queue.push(RequestKind::Heartbeat, name, Millis(500 * index as u64));
        }
        let mut expired = Vec::new();
        let got: Vec<_> = std::iter::from_fn(|| queue.pop(Millis(at), &mut expired)).collect();
        assert_eq!((got, expired), (order, too_old), "at {at}");
    }
}

#[test]
fn a_full_queue_drops_the_oldest_request() {
    let mut queue = RequestQueue::new(2);
    assert_eq!(queue.push(RequestKind::User, 1, Millis(0)), None);
    assert_eq!(queue.push(RequestKind::Heartbeat, 2, Millis(0)), None);
    assert_eq!(queue.push(RequestKind::User, 3, Millis(0)), None);
    assert_eq!(queue.push(RequestKind::User, 4, Millis(0)), Some(1));
}
