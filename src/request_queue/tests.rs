use super::*;

#[test]
fn heartbeats_go_before_users_who_have_their_turn_all_the_same() {
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

/// A controller that was slow worked on requests whose askers had given up, and so came too
/// late for all.
#[test]
fn who_has_given_up_is_let_go_and_the_newest_come_first_when_it_is_late() {
    let cases = [
        // at, order, given up
        (900, vec!["a", "b", "c"], vec![]),
        (1_001, vec!["c", "b", "a"], vec![]),
        (3_501, vec!["c", "b"], vec!["a"]),
        (4_600, vec![], vec!["a", "b", "c"]),
    ];
    for (at, order, late) in cases {
        let mut queue = RequestQueue::new(100);
        for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
            queue.push(RequestKind::Heartbeat, name, Millis(500 * index as u64));
        }
        let mut expired = Vec::new();
        let got: Vec<_> = std::iter::from_fn(|| queue.pop(Millis(at), &mut expired)).collect();
        assert_eq!((got, expired), (order, late), "at {at}");
    }
}

#[test]
fn too_many_push_the_oldest_out() {
    let mut queue = RequestQueue::new(2);
    assert_eq!(queue.push(RequestKind::User, 1, Millis(0)), None);
    assert_eq!(queue.push(RequestKind::Heartbeat, 2, Millis(0)), None);
    assert_eq!(queue.push(RequestKind::User, 3, Millis(0)), None);
    assert_eq!(queue.push(RequestKind::User, 4, Millis(0)), Some(1));
}
