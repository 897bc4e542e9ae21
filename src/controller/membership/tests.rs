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

/// A job's last tasks and its end are written in one transaction. With the job its team was forgotten, so
/// nobody who waited for the team's limit heard of it: tasks waited for half a minute beside free machines.
#[test]
fn the_end_of_a_job_wakes_who_waits_for_its_team_and_its_room() {
    use crate::jobs::record::{JobRecord, job_key};
    use crate::jobs::{JobKind, Phase, Placement};
    use crate::queue::Check;
    use crate::types::{AgentEpoch, Attempt, JobId, ShardId};
    for (check, phase) in [
        (Check::Team, Phase::Done),
        (Check::Team, Phase::Aborted),
        (Check::Resources, Phase::Done),
    ] {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let here = Task::Placed(Placement {
            machine_id: "vm-a".into(),
            shard: ShardId::parse("a.0").unwrap(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(1),
        });
        let (mut controller, first) = controller(spec, vec![here]);
        let record = controller.jobs.get(&first).unwrap().record.clone();
        let second = JobId::from("job-2");
        let text = serde_json::to_string(&record).unwrap();
        controller.apply(&job_key(&second), Some(&text), Revision(20));
        let order = controller.order(controller.jobs.get(&second).unwrap());
        controller.scheduler.queue.remove(&second);
        let (checks, now) = ([check].into(), controller.now);
        controller
            .scheduler
            .queue
            .fail(&second, 1, checks, order, now, &mut controller.rng);
        let rejected = |c: &Controller| {
            let cause = c.scheduler.queue.waits_for(&second);
            matches!(cause, Some(crate::queue::WaitReason::Rejected { .. }))
        };
        assert!(rejected(&controller), "{check:?}");
        let over = JobRecord {
            phase,
            spec: None,
            ..record
        };
        let text = serde_json::to_string(&over).unwrap();
        controller.apply(&job_key(&first), Some(&text), Revision(30));
        assert!(!rejected(&controller), "{check:?}, {phase:?}");
    }
}
