use crate::controller::Controller;
use crate::controller::commits::tests::controller;
use crate::jobs::Task;
use crate::jobs::api::{parse, tests::body};
use crate::types::Revision;

/// A job's last completions and its end are written in one transaction. The cache forgot the job's team with the
/// job, so no job that waited for the team's quota was woken: tasks waited for half a minute beside free machines.
#[test]
fn the_end_of_a_job_wakes_jobs_waiting_for_its_quota_or_resources() {
    use crate::jobs::record::{JobRecord, job_key};
    use crate::jobs::{JobKind, Phase, Placement};
    use crate::queue::Check;
    use crate::types::{AgentEpoch, Attempt, JobId, ShardId};
    for (check, phase) in [
        (Check::TeamQuota, Phase::Done),
        (Check::TeamQuota, Phase::Aborted),
        (Check::Resources, Phase::Done),
    ] {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let placed = Task::Placed(Placement {
            machine_id: "vm-a".into(),
            shard: ShardId::parse("a.0").unwrap(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(1),
        });
        let (mut controller, first) = controller(spec, vec![placed]);
        let record = controller.jobs.get(&first).unwrap().record.clone();
        let second = JobId::from("job-2");
        let text = serde_json::to_string(&record).unwrap();
        controller.apply(&job_key(&second), Some(&text), Revision(20));
        let order = controller.queue_key(controller.jobs.get(&second).unwrap());
        controller.scheduler.queue.remove(&second);
        let (checks, now) = ([check].into(), controller.now);
        controller.scheduler.queue.requeue_after_failure(
            &second,
            1,
            checks,
            order,
            now,
            &mut controller.rng,
        );
        let is_parked = |c: &Controller| {
            let cause = c.scheduler.queue.waits_for(&second);
            matches!(cause, Some(crate::queue::WaitReason::Rejected { .. }))
        };
        assert!(is_parked(&controller), "{check:?}");
        let final_record = JobRecord {
            phase,
            spec: None,
            ..record
        };
        let text = serde_json::to_string(&final_record).unwrap();
        controller.apply(&job_key(&first), Some(&text), Revision(30));
        assert!(!is_parked(&controller), "{check:?}, {phase:?}");
    }
}
