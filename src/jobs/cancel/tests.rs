use super::*;

#[test]
fn a_user_is_answered_once() {
    let (a, b) = (JobId::from("job-1"), JobId::from("job-2"));
    let mut cancelling = Cancelling::default();
    cancelling.add(&a, ReplyId(1), Millis(0));
    cancelling.add(&a, ReplyId(2), Millis(300));
    cancelling.add(&b, ReplyId(3), Millis(0));
    assert_eq!(cancelling.late(Millis(499)), []);
    assert_eq!(cancelling.late(Millis(500)), [ReplyId(1), ReplyId(3)]);
    assert!(cancelling.waits_for(&a) && !cancelling.waits_for(&b));
    assert_eq!(cancelling.over(|job| *job == a), [(a.clone(), ReplyId(2))]);
    assert_eq!(cancelling.over(|_| true), []);
    assert_eq!(cancelling.late(Millis(9_000)), []);
}
