use crate::controller::commits::tests::controller;
use crate::fleet::{MachineStage, RentedMachine};
use crate::jobs::api::{parse, tests::body};
use crate::jobs::{JobKind, Placement, Task};
use crate::types::{AgentEpoch, Attempt, MachineId, Millis, ShardId};
use crate::workers::Machine;

/// Guards against placements that stay in the records forever: a holder that has not learned of a deletion
/// yet places a task on the deleted machine, where it never runs.
#[test]
fn tasks_on_a_deleted_machine_are_released_even_if_placed_after_deletion() {
    let placed = Task::Placed(Placement {
        machine_id: "vm-a".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(1),
    });
    for (deleted, released) in [(false, false), (true, true)] {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let (mut controller, id) = controller(spec, vec![placed.clone()]);
        if deleted {
            controller.autoscaler.fleet.deleted.insert("vm-a".into());
        }
        controller.release_tasks_on_deleted_machines();
        let job = controller.jobs.get(&id).unwrap();
        assert_eq!(
            !job.pending_changes.is_empty(),
            released,
            "deleted: {deleted}"
        );
    }
}

/// Guards against jobs that wait forever and cancellations that are never confirmed: a leader whose writes the
/// store rejects has machines deleted and cannot record that their tasks have ended. Its successor knows these
/// machines, but the cloud's list no longer contains them.
#[test]
fn a_silent_machine_missing_from_the_cloud_list_is_deleted_to_release_its_tasks() {
    let cases = [
        // machine is known, seconds since its last heartbeat, listed by the cloud, its holder receives other
        // heartbeats, seconds for which this controller has led and read lists; deleted
        (true, 60, false, true, 90, true),
        (true, 60, true, true, 90, true),
        (true, 1, false, true, 90, false),
        (false, 60, false, true, 90, true),
        // Last machine of its holder.
        (false, 60, false, false, 90, true),
        (true, 60, false, false, 90, true),
        (false, 60, false, false, 20, false),
        (true, 1, false, false, 90, false),
        (true, 60, true, false, 90, false),
    ];
    for (known, silent_s, listed, receives_heartbeats, led_s, deleted) in cases {
        let placed = Task::Placed(Placement {
            machine_id: "vm-2".into(),
            shard: ShardId::parse("a.0").unwrap(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(1),
        });
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let (mut controller, _) = controller(spec, vec![placed]);
        controller.now = Millis(100_000);
        controller.contact.receives_heartbeats = true;
        controller.contact.last_heartbeat =
            controller.now - Millis(if receives_heartbeats { 0 } else { 60_000 });
        controller.membership.leading_since = controller.now - Millis(led_s * 1_000);
        controller.autoscaler.fleet.list_completed_at = controller.now;
        let shard = ShardId::parse("a.0").unwrap();
        controller
            .membership
            .shard_moved_at
            .insert(shard.clone(), Millis(1));
        let machine_id = MachineId::from("vm-2");
        if known {
            let (machine_type, zone, by) = ("g8".into(), "a".into(), "n0".into());
            let mut machine =
                Machine::new(machine_id.clone(), machine_type, zone, false, shard, by);
            machine.last_contact = controller.now - Millis(silent_s * 1_000);
            controller.machines.insert(machine_id.clone(), machine);
        }
        if listed {
            let rented = RentedMachine {
                machine_type: "g8".into(),
                zone: "a".into(),
                spot: false,
                stage: MachineStage::Running,
                rented_at: Millis(0),
                last_seen: controller.now,
                idle_since: None,
            };
            controller
                .autoscaler
                .fleet
                .machines
                .insert(machine_id.clone(), rented);
        }
        controller.delete_lost_machines();
        let case = format!("{known}, {silent_s} s, {listed}, {receives_heartbeats}, {led_s} s");
        assert_eq!(
            controller.autoscaler.fleet.deleting.contains(&machine_id),
            deleted,
            "{case}"
        );
    }
}
