use super::*;

#[test]
fn heartbeats_go_before_users_who_have_their_turn_all_the_same() {
    let mut intake = RequestQueue::new(100);
    for index in 0..6 {
        intake.push(RequestKind::Heartbeat, format!("r{index}"), Millis(0));
    }
    intake.push(RequestKind::User, "u0".into(), Millis(0));
    intake.push(RequestKind::User, "u1".into(), Millis(0));
    intake.push(RequestKind::Probe, "p".into(), Millis(0));
    let mut gone = Vec::new();
    let order: Vec<String> = std::iter::from_fn(|| intake.pop(Millis(10), &mut gone)).collect();
    assert_eq!(order, ["p", "r0", "r1", "r2", "r3", "u0", "r4", "r5", "u1"]);
    assert!(gone.is_empty() && intake.is_empty());
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
        let mut intake = RequestQueue::new(100);
        for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
            intake.push(RequestKind::Heartbeat, name, Millis(500 * index as u64));
        }
        let mut gone = Vec::new();
        let got: Vec<_> = std::iter::from_fn(|| intake.pop(Millis(at), &mut gone)).collect();
        assert_eq!((got, gone), (order, late), "at {at}");
    }
}

#[test]
fn too_many_push_the_oldest_out() {
    let mut intake = RequestQueue::new(2);
    assert_eq!(intake.push(RequestKind::User, 1, Millis(0)), None);
    assert_eq!(intake.push(RequestKind::Heartbeat, 2, Millis(0)), None);
    assert_eq!(intake.push(RequestKind::User, 3, Millis(0)), None);
    assert_eq!(intake.push(RequestKind::User, 4, Millis(0)), Some(1));
}
