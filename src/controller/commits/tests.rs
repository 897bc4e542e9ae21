use std::sync::Arc;

use super::*;
use crate::controller::Effect;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::cache::{Evidence, TaskChange};
use crate::jobs::record::JobRecord;
use crate::jobs::{JobKind, Phase, PriorityClass};
use crate::jobs::{JobSpec, Placement};
use crate::lease::OwnLease;
use crate::settings::{Settings, tests::settings};
use crate::store::StoreCall;
use crate::types::{AgentEpoch, Attempt, FencingToken, LeaseId, MachineId, ShardId};
use crate::workers::Machine;

/// A task that the records place on a machine in its first agent epoch.
pub(crate) fn placed(machine_id: &str, shard: &str, attempt: u64) -> Task {
    Task::Placed(Placement {
        machine_id: machine_id.into(),
        shard: ShardId::parse(shard).unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(attempt),
    })
}

/// A controller that holds shard a.0 under token 5 and knows one machine there and one in b.0.
pub(crate) fn controller(spec: JobSpec, tasks: Vec<Task>) -> (Controller, JobId) {
    controller_with(&settings(), spec, tasks)
}

pub(crate) fn controller_with(
    settings: &serde_json::Value,
    spec: JobSpec,
    tasks: Vec<Task>,
) -> (Controller, JobId) {
    let settings = Settings::parse("f", &settings.to_string()).unwrap();
    let mut controller = Controller::new(Arc::new(settings), 1);
    controller.store_sync.synced = true;
    controller.membership.leases.own = OwnLease::Held {
        lease_id: LeaseId(1),
        expires_at: Millis(60_000),
    };
    for shard in ["a.0", "b.0"] {
        let record = r#"{"holder":"n0","permit":1}"#;
        controller.apply(&format!("jt/block/{shard}"), Some(record), Revision(5));
    }
    let type_spec = r#"[{"sku":"g8","room":{"cpus":96.0,"gpus":8.0,"memory_gb":768.0},"cache_gb":100.0,
        "fetch_gb_per_s":1.0,"price":10.0,"spot_price":4.0,"boot_s":30.0,"zones":["a","b"]}]"#;
    controller.apply("jt/flavors", Some(type_spec), Revision(1));
    for (machine_id, zone) in [("vm-a", "a"), ("vm-b", "b")] {
        let shard = ShardId {
            zone: zone.into(),
            index: 0,
        };
        let (id, by) = (MachineId::from(machine_id), "n0".into());
        let mut machine = Machine::new(id.clone(), "g8".into(), zone.into(), false, shard, by);
        machine.agent_epoch = AgentEpoch(1);
        controller.machines.insert(id, machine);
    }
    let id = JobId::from("job-1");
    let record = JobRecord {
        phase: Phase::Active,
        owner: "n0".into(),
        tasks: spec.tasks,
        page_size: 8,
        spec: Some(spec),
    };
    let record = serde_json::to_string(&record).unwrap();
    controller.apply(&job_key(&id), Some(&record), Revision(6));
    let page = encode_page(&tasks);
    controller.apply(&page_key(&id, 0), Some(&page), Revision(7));
    controller.effects.clear();
    (controller, id)
}

/// Changes that were added during another transaction, or while the write budget was exhausted, were
/// written although the records had changed since.
#[test]
fn changes_overtaken_by_newer_records_are_not_written() {
    let release = |attempt, token| TaskChange::Release {
        attempt: Attempt(attempt),
        evidence: Evidence::Holder(FencingToken(token)),
    };
    let deleted = |attempt| TaskChange::Release {
        attempt: Attempt(attempt),
        evidence: Evidence::Deleted,
    };
    let place = |machine_id: &str, shard: &str, attempt| match placed(machine_id, shard, attempt) {
        Task::Placed(placement) => TaskChange::Place(placement),
        _ => unreachable!(),
    };
    let finish = |attempt| TaskChange::Finish {
        attempt: Attempt(attempt),
    };
    let on_a = || placed("vm-a", "a.0", 2);
    let waits = |last_attempt| Task::Waiting {
        last_attempt: Attempt(last_attempt),
    };
    let cases: Vec<(&str, f64, [Task; 2], TaskChange, bool)> = vec![
        (
            "current attempt",
            1.0,
            [on_a(), waits(0)],
            release(2, 5),
            true,
        ),
        (
            "earlier attempt",
            1.0,
            [on_a(), waits(0)],
            release(1, 5),
            false,
        ),
        (
            "earlier token",
            1.0,
            [on_a(), waits(0)],
            release(2, 4),
            false,
        ),
        ("machine deleted", 1.0, [on_a(), waits(0)], deleted(2), true),
        (
            "machine of earlier attempt deleted",
            1.0,
            [on_a(), waits(0)],
            deleted(1),
            false,
        ),
        ("done", 1.0, [on_a(), waits(0)], finish(2), true),
        (
            "earlier attempt done",
            1.0,
            [on_a(), waits(0)],
            finish(1),
            false,
        ),
        (
            "placement",
            1.0,
            [waits(2), on_a()],
            place("vm-b", "b.0", 3),
            true,
        ),
        (
            "attempt already used",
            1.0,
            [waits(3), on_a()],
            place("vm-b", "b.0", 3),
            false,
        ),
        (
            "spread excludes the zone",
            1.0,
            [waits(2), on_a()],
            place("vm-a", "a.0", 3),
            false,
        ),
        (
            "no resources left",
            8.0,
            [waits(2), on_a()],
            place("vm-a", "a.0", 3),
            false,
        ),
        (
            "unknown machine",
            1.0,
            [waits(2), on_a()],
            place("vm-c", "b.0", 3),
            false,
        ),
        (
            "shard without a holder",
            1.0,
            [waits(2), on_a()],
            place("vm-b", "b.1", 3),
            false,
        ),
    ];
    for (name, gpus, tasks, change, written) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks, spec.one_zone) = (JobKind::Array, 2, false);
        spec.spread = name != "no resources left";
        spec.resources.gpus = gpus;
        let (mut controller, id) = controller(spec, tasks.to_vec());
        // The change was valid when it was added; the records are newer now.
        controller.jobs.add_pending_change(&id, 0, change);
        controller.write(&id);
        let wrote = controller.effects.iter().any(|effect| {
            let Effect::Store { call, .. } = effect else {
                return false;
            };
            matches!(call, StoreCall::Transaction(txn) if !txn.changes.is_empty())
        });
        assert_eq!(wrote, written, "{name}");
    }
}

/// A gang completed, and one of its machines restarted at once without tasks: its task was released, the
/// others were recorded as done, and the gang waited for a task that could not be placed.
#[test]
fn one_done_task_of_a_gang_completes_all_tasks_of_its_attempt() {
    let waits = |last_attempt| Task::Waiting {
        last_attempt: Attempt(last_attempt),
    };
    let finish = TaskChange::Finish {
        attempt: Attempt(2),
    };
    let release = TaskChange::Release {
        attempt: Attempt(2),
        evidence: Evidence::Holder(FencingToken(5)),
    };
    let cases = [
        // state of the other task, the change pending for it, whether the gang is done
        (placed("vm-b", "b.0", 2), None, true),
        (placed("vm-b", "b.0", 2), Some(release), true),
        (waits(2), None, true),
        (waits(3), None, false),
    ];
    for (other_task, pending, done) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Gang, 2);
        let tasks = vec![placed("vm-a", "a.0", 2), other_task.clone()];
        let (mut controller, id) = controller(spec, tasks);
        controller.jobs.add_pending_change(&id, 0, finish.clone());
        if let Some(pending) = pending {
            controller.jobs.add_pending_change(&id, 1, pending);
        }
        controller.write(&id);
        let gang_done = controller.effects.iter().any(|effect| {
            let Effect::Store { call, .. } = effect else {
                return false;
            };
            let is_final_record = |c: &crate::store::Mutation| {
                matches!(c, crate::store::Mutation::Put { key, data, .. }
                    if *key == job_key(&id) && data.contains("\"done\""))
            };
            matches!(call, StoreCall::Transaction(txn) if txn.changes.iter().any(is_final_record))
        });
        assert_eq!(gang_done, done, "{other_task:?}");
    }
}

/// While writes were scarce, the capacity preempted for a gang was released in the records 2.5 s late,
/// because releases were batched like the first placements of arrays. Releases must be written at once.
#[test]
fn while_writes_are_scarce_placements_are_batched_and_releases_are_not() {
    let release = TaskChange::Release {
        attempt: Attempt(2),
        evidence: Evidence::Holder(FencingToken(5)),
    };
    let Task::Placed(free) = placed("vm-b", "b.0", 3) else {
        unreachable!()
    };
    let cases = [
        // writes are scarce, task, change, written at once
        (false, 0, release.clone(), true),
        (true, 0, release, true),
        (false, 1, TaskChange::Place(free.clone()), true),
        (true, 1, TaskChange::Place(free), false),
    ];
    for (scarce, index, change, at_once) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks, spec.one_zone) = (JobKind::Array, 3, false);
        (spec.priority, spec.spread) = (PriorityClass::Normal, false);
        let tasks = vec![
            placed("vm-a", "a.0", 2),
            Task::NEVER_PLACED,
            Task::NEVER_PLACED,
        ];
        let (mut controller, id) = controller(spec, tasks);
        controller.now = Millis(10_000);
        if scarce {
            controller.commits.writes_scarce_until = Millis(11_000);
        }
        controller
            .jobs
            .add_pending_change(&id, index, change.clone());
        controller.commit(&id);
        let written = controller.jobs.get(&id).unwrap().commit_state == CommitState::InFlight;
        assert_eq!(written, at_once, "{change:?}, scarce: {scarce}");
    }
}

/// The changes of the transactions that the controller has sent, by key.
fn written_keys(controller: &Controller) -> Vec<(String, bool)> {
    let mut keys = Vec::new();
    for effect in &controller.effects {
        let Effect::Store {
            call: StoreCall::Transaction(txn),
            ..
        } = effect
        else {
            continue;
        };
        keys.extend(txn.changes.iter().map(|change| match change {
            crate::store::Mutation::Put { key, data, .. } => (key.clone(), data.contains("done")),
            crate::store::Mutation::Delete { key } => (key.clone(), false),
        }));
    }
    keys
}

/// A gang of 500 tasks was done, and one of its machines stopped before it reported that. The completions of the others
/// were written page by page, and the job waited for its other tasks without end: they could not be placed beside tasks
/// that were done.
#[test]
fn one_done_task_completes_a_gang_of_any_number_of_pages() {
    let waits = |last_attempt| Task::Waiting {
        last_attempt: Attempt(last_attempt),
    };
    let finish = Some(TaskChange::Finish {
        attempt: Attempt(2),
    });
    let cases = [
        // tasks of pages 1 to 8, pending change of the last task, whether the gang is recorded as done
        (placed("vm-b", "b.0", 2), finish.clone(), true),
        (waits(2), finish.clone(), true),
        (waits(2), None, false),
        // Left by a version that recorded completions page by page.
        (Task::Done, None, true),
        (Task::Done, finish, true),
    ];
    for (other_tasks, pending, done) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks, spec.one_zone) = (JobKind::Gang, 80, false);
        let (mut controller, id) = controller(spec, vec![waits(2); 8]);
        let case = format!("{other_tasks:?}, {pending:?}");
        for page in 1..=8 {
            let text = encode_page(&vec![other_tasks.clone(); 8]);
            controller.apply(&page_key(&id, page), Some(&text), Revision(8));
        }
        let text = encode_page(&vec![placed("vm-a", "a.0", 2); 8]);
        controller.apply(&page_key(&id, 9), Some(&text), Revision(9));
        if let Some(pending) = pending {
            controller.jobs.add_pending_change(&id, 79, pending);
            controller.write(&id);
        }
        let written = written_keys(&controller);
        let recorded = written
            .iter()
            .any(|(key, is_done)| *key == job_key(&id) && *is_done);
        assert_eq!(recorded, done, "{case}: {written:?}");
        let pages = written.iter().filter(|(key, _)| *key != job_key(&id));
        assert_eq!(pages.count(), 0, "{case}: {written:?}");
    }
}
