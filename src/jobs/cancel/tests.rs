use super::*;

#[test]
fn a_cancellation_is_answered_once() {
    let (a, b) = (JobId::from("job-1"), JobId::from("job-2"));
    let mut cancellations = PendingCancellations::default();
    cancellations.add(&a, ReplyId(1), Millis(0));
    cancellations.add(&a, ReplyId(2), Millis(300));
    cancellations.add(&b, ReplyId(3), Millis(0));
    assert_eq!(cancellations.take_expired(Millis(499)), []);
    assert_eq!(
        cancellations.take_expired(Millis(500)),
        [ReplyId(1), ReplyId(3)]
    );
    assert!(cancellations.waits_for(&a) && !cancellations.waits_for(&b));
    assert_eq!(
        cancellations.take_finished(|job| *job == a),
        [(a.clone(), ReplyId(2))]
    );
    assert_eq!(cancellations.take_finished(|_| true), []);
    assert_eq!(cancellations.take_expired(Millis(9_000)), []);
}
