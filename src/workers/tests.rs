use super::*;
use crate::types::Millis;
use crate::workers::wire::Heartbeat;

/// Guards against a machine that stays draining after its shard changed holders: the new holder never
/// cleared the flag, and a gang stayed queued with four machines idle.
#[test]
fn a_drain_request_ends_when_the_shard_changes_holders() {
    let (machine_id, machine_type, zone) = ("vm-1".into(), "g8".into(), "a".into());
    let shard = ShardId::parse("a.0").unwrap();
    let mut machine = Machine::new(machine_id, machine_type, zone, false, shard, "n1".into());
    machine.reachability.set_by_holder(true, Millis(1));
    machine.draining = true;
    let heartbeat = r#"{"host":"vm-1","rig":"g8","yard":"a","loaners":false,"shift":1,"tally":8,
        "baton":41,"picks":[]}"#;
    let heartbeat: Heartbeat = serde_json::from_str(heartbeat).unwrap();
    let (now, silence) = (Millis(9_000), Millis(10_000));
    assert!(!machine.is_schedulable(now, silence));
    machine.apply_heartbeat(&heartbeat, now, &"n0".into());
    assert!(machine.is_schedulable(now, silence));
}

/// Guards against two errors of attribution: two faulty jobs caused the deletion of every healthy machine
/// that they ran on, and a gang whose only machines were faulty was considered faulty itself and was queued
/// forever.
#[test]
fn quarantine_depends_on_which_jobs_failed_and_how_often() {
    type Failures = &'static [(&'static str, u64)];
    let cases: [(Failures, &[&str], bool); 8] = [
        // job and second of each failure, crash-looping jobs, quarantined
        (&[("job-1", 1)], &[], false),
        (&[("job-1", 1), ("job-2", 2)], &[], true),
        (&[("job-1", 1), ("job-2", 2)], &["job-1"], false),
        (
            &[("job-1", 1), ("job-2", 2), ("job-3", 3)],
            &["job-1"],
            true,
        ),
        (
            &[("job-1", 1), ("job-1", 2), ("job-1", 3), ("job-1", 4)],
            &["job-1"],
            false,
        ),
        (
            &[("job-1", 1), ("job-1", 9), ("job-1", 20)],
            &["job-1"],
            false,
        ),
        (
            &[
                ("job-1", 1),
                ("job-1", 5),
                ("job-1", 9),
                ("job-1", 13),
                ("job-1", 17),
                ("job-1", 21),
                ("job-1", 25),
            ],
            &["job-1"],
            true,
        ),
        (
            &[("job-1", 1), ("job-1", 9), ("job-1", 20), ("job-1", 40)],
            &["job-1"],
            true,
        ),
    ];
    for (failures, crash_looping, quarantined) in cases {
        let (machine_id, machine_type, zone) = ("vm-1".into(), "g8".into(), "a".into());
        let shard = ShardId::parse("a.0").unwrap();
        let mut machine = Machine::new(machine_id, machine_type, zone, false, shard, "n0".into());
        for (job, at) in failures {
            machine.record_failure(&(*job).into(), Millis(at * 1_000));
        }
        machine.update_quarantine(|job| crash_looping.contains(&job.as_str()));
        assert_eq!(
            machine.quarantined, quarantined,
            "{failures:?}, crash-looping: {crash_looping:?}"
        );
    }
}

/// Guards against wrong fetch times: fetches were considered complete after a minute, although 20 GB take
/// three minutes, and a machine that fetched two other images scored hardly worse than one that fetched none.
#[test]
fn fetches_share_the_bandwidth_and_are_timed_by_size() {
    let shard = ShardId::parse("a.0").unwrap();
    type Case = (&'static str, &'static [(&'static str, f64)], u64, f64);
    let cases: [Case; 6] = [
        // requested image, of 12 GB at 0.1 GB/s; fetches pending since second 0; now; expected seconds
        ("cached", &[], 0, 0.0),
        ("new", &[], 0, 120.0),
        ("new", &[("other", 6.0)], 0, 180.0),
        ("new", &[("other", 6.0)], 30, 150.0),
        ("pending", &[("pending", 12.0)], 90, 30.0),
        ("pending", &[("pending", 12.0), ("other", 20.0)], 90, 150.0),
    ];
    for (requested, pending, now_s, expected) in cases {
        let (machine_id, machine_type, zone) = ("vm-1".into(), "g8".into(), "a".into());
        let mut machine = Machine::new(
            machine_id,
            machine_type,
            zone,
            false,
            shard.clone(),
            "n0".into(),
        );
        machine.record_image_use(&"cached".into(), 12.0, 80.0, Millis(0));
        for (image, gb) in pending {
            machine.add_pending_fetch(&(*image).into(), *gb, Millis(0));
        }
        let now = Millis(now_s * 1000);
        machine.expire_fetches(0.1, now);
        let wait_s = machine.image_wait_s(&requested.into(), 12.0, 0.1, now);
        assert!(
            (wait_s - expected).abs() < 0.01,
            "{requested}, {pending:?}: {wait_s}"
        );
        machine.expire_fetches(0.1, Millis(3_000_000));
        assert!(machine.pending_fetches.is_empty());
    }
}
