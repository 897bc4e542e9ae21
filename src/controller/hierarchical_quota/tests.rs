use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::cache::TaskChange;
use crate::jobs::{Placement, Task};
use crate::lease::LEADER_KEY;
use crate::quota::hierarchical::{HierarchicalQuota, PendingTreeWrite, TREE_HEAD_KEY};
use crate::settings::TeamSettings;
use crate::store::{StoreCall, Transaction};
use crate::types::{AgentEpoch, Attempt, Millis, ShardId};
use hierarchical_quota::TreeSpec;

/// A leader with one job of eight tasks and an active tree of version 11. The tree limits the job's team to
/// `gpus_max` GPUs and the team's parent node to one more. The cache has applied events up to `applied`.
fn leader_with_tree(applied: u64, gpus_max: u32) -> (Controller, JobId) {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Array, 8);
    let (mut controller, id) = controller(spec, vec![Task::NEVER_PLACED; 8]);
    let team = TeamSettings {
        name: "vision".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let text = format!(
        "[tree]\nrevision=1\n[node top]\ngpus=4\ngpus_max={}\n\
         [node v]\nparent=top\nteam=vision\ngpus_max={gpus_max}\n",
        gpus_max + 1
    );
    let file = TreeSpec::parse("f", &text).unwrap();
    controller.quota.hierarchy =
        HierarchicalQuota::new(std::slice::from_ref(&team), Some(&file), 8.0);
    controller.apply(
        LEADER_KEY,
        Some(r#"{"leader":"n0","permit":1}"#),
        Revision(9),
    );
    let mut revision = 9;
    loop {
        let changes = match controller.quota.hierarchy.pending_write(1) {
            PendingTreeWrite::Pages(pages) => pages,
            PendingTreeWrite::Head(text, _) => vec![(TREE_HEAD_KEY.to_string(), text)],
            PendingTreeWrite::Nothing => break,
        };
        for (key, text) in changes {
            revision += 1;
            controller.apply(&key, Some(&text), Revision(revision));
        }
    }
    assert_eq!(controller.quota.hierarchy.active_version(), Revision(11));
    controller.store_sync.applied = Revision(applied);
    controller.effects.clear();
    (controller, id)
}

fn place(controller: &mut Controller, id: &JobId, task: u32) -> Option<Transaction> {
    let placement = Placement {
        machine_id: "vm-a".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(1),
    };
    controller
        .jobs
        .add_pending_change(id, task, TaskChange::Place(placement));
    controller.commit(id);
    written(controller)
}

fn written(controller: &Controller) -> Option<Transaction> {
    controller.effects.iter().find_map(|effect| match effect {
        Effect::Store {
            call: StoreCall::Transaction(txn),
            ..
        } => Some(txn.clone()),
        _ => None,
    })
}

fn required(txn: &Transaction, key: &str) -> Option<u64> {
    let condition = txn.conditions.iter().find(|(name, _)| name == key);
    condition.map(|(_, version)| version.0)
}

/// A transaction may be applied minutes late, when a tree with other limits is active. So every
/// placement and every reallocation is conditioned on the version of the tree.
#[test]
fn placements_and_reallocations_are_conditioned_on_the_tree_version() {
    let (mut controller, id) = leader_with_tree(11, 5);
    let txn = place(&mut controller, &id, 0).unwrap();
    assert_eq!(required(&txn, TREE_HEAD_KEY), Some(11));
    // The same transaction raises the allocations of the team and the node in the shard's single record.
    let text = format!("{:?}", txn.changes);
    assert!(text.contains("vision") && text.contains("#top"), "{text}");
    assert_eq!(txn.changes.len(), 2, "{text}");

    let (mut controller, _) = leader_with_tree(11, 60);
    controller.now = Millis(10_000);
    controller.reallocate_quota();
    let txn = written(&controller).unwrap();
    assert_eq!(required(&txn, TREE_HEAD_KEY), Some(11));

    // A newer head whose pages have not been read: decisions under the old tree are conditioned on its
    // version, and so fail; nothing is reallocated or raised.
    let head = r#"{"revision":2,"hash":"x","pages":1,"hold_ms":0,"enabled":true}"#;
    let (mut controller, id) = leader_with_tree(12, 60);
    controller.apply(TREE_HEAD_KEY, Some(head), Revision(12));
    controller.now = Millis(10_000);
    controller.reallocate_quota();
    assert!(written(&controller).is_none());
    assert!(place(&mut controller, &id, 0).is_none());
}

/// The leader can't tell how much of a limit is unallocated while placements under the previous tree may be
/// missing from its cache.
#[test]
fn no_allocation_is_raised_before_all_placements_under_the_old_tree_are_known() {
    for (applied, may_raise) in [(10, false), (11, true)] {
        let (mut controller, id) = leader_with_tree(applied, 5);
        let is_placed = place(&mut controller, &id, 0).is_some();
        assert_eq!(is_placed, may_raise, "applied up to {applied}");
    }
}

/// The team's limit permits five tasks and its node's limit six: the sixth task is not placed.
#[test]
fn the_limits_of_all_levels_apply_to_placements() {
    let (mut controller, id) = leader_with_tree(11, 5);
    for task in 0..5 {
        let placement = Placement {
            machine_id: "vm-a".into(),
            shard: ShardId::parse("a.0").unwrap(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(1),
        };
        controller
            .jobs
            .add_pending_change(&id, task, TaskChange::Place(placement));
    }
    assert!(place(&mut controller, &id, 5).is_none());
    controller.jobs.discard_changes(&id, &[5]);
    assert!(place(&mut controller, &id, 4).is_some());
}
