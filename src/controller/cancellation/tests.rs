use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::{JobKind, Placement, Task};
use crate::store::StoreCall;
use crate::types::{AgentEpoch, Attempt, Revision, ShardId};

/// A placement of a cancelled job that the cache does not show yet could still run when the cancellation
/// was confirmed to the user.
#[test]
fn a_cancelled_job_ends_once_all_its_placed_tasks_are_known_and_gone() {
    let placed = Task::Placed(Placement {
        machine_id: "vm-a".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(1),
    });
    let cases = [
        // the task, revision that the cache has reached, job has ended
        (Task::NEVER_PLACED, 19, false),
        (Task::NEVER_PLACED, 20, true),
        (placed, 20, false),
    ];
    for (task, applied, finalized) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let (mut controller, id) = controller(spec, vec![task.clone()]);
        let record = JobRecord {
            phase: Phase::Aborting,
            ..controller.jobs.get(&id).unwrap().record.clone()
        };
        let text = serde_json::to_string(&record).unwrap();
        controller.apply(&job_key(&id), Some(&text), Revision(20));
        controller.store_sync.applied = Revision(applied);
        controller.store_sync.read_barrier.awaiting_cache.clear();
        controller.effects.clear();
        controller.finalize_cancelled(&id);
        let wrote_final_record = controller.effects.iter().any(|effect| {
            let Effect::Store { call, .. } = effect else {
                return false;
            };
            matches!(call, StoreCall::Transaction(txn) if !txn.changes.is_empty())
        });
        assert_eq!(
            wrote_final_record, finalized,
            "{task:?}, known up to {applied}"
        );
    }
}
