use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller;
use crate::jobs::Task;
use crate::jobs::api::{Response, parse, tests::body};
use crate::types::ReplyId;

/// A poll was proved at a revision just before its controller was cut off from the state service. The
/// cache reached that revision 25 s later, with what the cut had held back, and the poll was
/// answered by it: a job that its user knew to be done was called queued.
#[test]
fn a_proof_tells_nothing_once_others_may_have_told_more() {
    let cases = [
        // ms from the question until the cache is as new as proved, whether time passes before that
        (1_900, false, true),
        (1_900, true, true),
        (2_100, false, false),
        (25_000, true, false),
    ];
    for (after_ms, ticks, answered) in cases {
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let (mut controller, job) = controller(spec, vec![Task::FRESH; 8]);
        (controller.now, controller.store_sync.applied) = (Millis(5_000), Revision(20));
        let reply = ReplyId(1);
        let asked = controller.now;
        let state = PendingRead::State { reply, job };
        controller.once_applied(Revision(21), asked, state);
        controller.proved();
        assert!(controller.effects.is_empty());
        controller.now = asked + Millis(after_ms);
        if ticks {
            controller.expire_pending_reads();
        }
        controller.store_sync.applied = Revision(22);
        controller.proved();
        let told = controller.effects.iter().filter_map(|effect| match effect {
            Effect::User { response, .. } => Some(matches!(response, Response::State(_))),
            _ => None,
        });
        assert_eq!(
            told.collect::<Vec<_>>(),
            [answered],
            "{after_ms} ms, {ticks}"
        );
    }
}
