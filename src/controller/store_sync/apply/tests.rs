use crate::controller::Controller;
use crate::controller::commits::tests::controller;
use crate::jobs::Task;
use crate::jobs::api::{parse, tests::body};
use crate::types::Revision;

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
