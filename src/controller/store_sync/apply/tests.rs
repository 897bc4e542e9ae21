use serde_json::value::RawValue;

use crate::controller::commits::tests::controller;
use crate::controller::{CallPurpose, Controller, Effect};
use crate::jobs::Task;
use crate::jobs::api::{parse, tests::body};
use crate::store::{CallClass, Entry, StoreCall, StoreResponse, Transaction, Update};
use crate::types::{Millis, Revision};

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

/// Guards against a record that is cached without end after its deletion. The answer to a transaction came after the
/// watch had delivered the later deletion of what it had written, so the cache showed holders of shards that the store
/// did not have, and every later assignment was refused.
#[test]
fn a_late_answer_restores_no_record_that_the_watch_has_deleted() {
    type IsCached = fn(&Controller) -> bool;
    let cases: [(&str, &str, IsCached); 5] = [
        (
            "jt/node/n1",
            r#"{"permit":7,"zone":"a","hears":true}"#,
            |c| !c.membership.leases.controllers.is_empty(),
        ),
        ("jt/lead", r#"{"leader":"n1","permit":7}"#, |c| {
            c.leader().is_some()
        }),
        ("jt/block/a.1", r#"{"holder":"n1","permit":7}"#, |c| {
            c.membership.leases.shards.len() > 2
        }),
        ("jt/task/job-1/1", r#"[{"w":[1,1]}]"#, |c| {
            c.jobs.get(&"job-1".into()).unwrap().page_version(1) > Revision(0)
        }),
        ("jt/tree/3-abc/0", "[]", |c| {
            c.quota.hierarchy.page_version("jt/tree/3-abc/0") > Revision(0)
        }),
    ];
    for (key, data, is_cached) in cases {
        for (answered_after, cached) in [(13, false), (9, true)] {
            let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
            spec.tasks = 9;
            let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED; 8]);
            let mut txn = Transaction::default();
            txn.put_json(key.into(), data.into(), None);
            controller.transact(CallClass::Background, txn, CallPurpose::NoFollowUp);
            let tag = *controller.calls.store.keys().max().unwrap();
            // The transaction was committed at revision 10, and its record was deleted at 12.
            let put = Update::Put(Entry {
                key: key.into(),
                data: RawValue::from_string(data.into()).unwrap(),
                version: Revision(10),
            });
            let deleted = Update::Deleted {
                key: key.into(),
                version: Revision(12),
            };
            let updates = if answered_after == 13 {
                vec![put, deleted]
            } else {
                vec![]
            };
            let revision = Revision(answered_after);
            controller.on_watch(StoreResponse::Updates { updates, revision });
            controller.on_store(tag, StoreResponse::Committed(Revision(10)));
            assert_eq!(is_cached(&controller), cached, "{key} after {revision:?}");
        }
    }
}

/// Guards against a record that stays cached although it was deleted while a snapshot read failed and began anew: the
/// second read did not contain it, and the watch, which began later, did not deliver its deletion.
#[test]
fn a_snapshot_read_continues_after_the_last_page_that_was_read() {
    let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
    let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED; 8]);
    controller.resync();
    let page = |more, revision| StoreResponse::Page {
        entries: vec![Entry {
            key: "jt/node/n1".into(),
            data: RawValue::from_string(r#"{"permit":7,"zone":"a","hears":true}"#.into()).unwrap(),
            version: Revision(10),
        }],
        more,
        revision: Revision(revision),
    };
    let steps = [
        // answer to the page in flight, key after which the next page begins, revision that the cache reaches
        (StoreResponse::Refused, None, 0),
        (page(true, 20), Some("jt/node/n1"), 0),
        (StoreResponse::Unknown, Some("jt/node/n1"), 0),
        (StoreResponse::Refused, Some("jt/node/n1"), 0),
        (page(false, 30), None, 20),
    ];
    controller.continue_snapshot_read();
    for (answer, next_after, applied) in steps {
        controller.effects.clear();
        let case = format!("after {answer:?}");
        controller.on_snapshot(answer);
        controller.now = controller.now + Millis(1_000);
        if !controller.store_sync.synced {
            controller.continue_snapshot_read();
        }
        let after = controller.effects.iter().find_map(|effect| match effect {
            Effect::Store {
                call: StoreCall::List { after },
                ..
            } => after.as_deref(),
            _ => None,
        });
        assert_eq!(after, next_after, "{case}");
        assert_eq!(controller.store_sync.applied, Revision(applied), "{case}");
    }
    assert!(controller.store_sync.synced);
}
