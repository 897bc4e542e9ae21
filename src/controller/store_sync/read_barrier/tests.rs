use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller;
use crate::jobs::Task;
use crate::jobs::api::{Response, parse, tests::body};
use crate::types::ReplyId;

/// The read barrier of a poll got its revision just before the controller was cut off from the key-value store.
/// The cache reached that revision 25 s later, after the partition, and the poll was answered from it: a job
/// that its user knew to be done was reported as queued.
#[test]
fn a_poll_is_not_answered_from_a_cache_that_reached_its_revision_late() {
    let cases = [
        // ms from the request until the cache reaches the revision, whether a tick expires reads before, answered
        (1_900, false, true),
        (1_900, true, true),
        (2_100, false, false),
        (25_000, true, false),
    ];
    for (after_ms, expires_reads, answered) in cases {
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let (mut controller, job) = controller(spec, vec![Task::NEVER_PLACED; 8]);
        (controller.now, controller.store_sync.applied) = (Millis(5_000), Revision(20));
        let reply = ReplyId(1);
        let requested_at = controller.now;
        let state = PendingRead::State { reply, job };
        controller.resume_at_revision(Revision(21), requested_at, state);
        controller.resume_ready_reads();
        assert!(controller.effects.is_empty());
        controller.now = requested_at + Millis(after_ms);
        if expires_reads {
            controller.expire_pending_reads();
        }
        controller.store_sync.applied = Revision(22);
        controller.resume_ready_reads();
        let answers = controller.effects.iter().filter_map(|effect| match effect {
            Effect::User { response, .. } => Some(matches!(response, Response::State(_))),
            _ => None,
        });
        assert_eq!(
            answers.collect::<Vec<_>>(),
            [answered],
            "{after_ms} ms, {expires_reads}"
        );
    }
}
