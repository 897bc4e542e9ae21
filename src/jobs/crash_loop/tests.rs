use super::*;

/// All tasks of faulty jobs were restarted at once, and two such jobs on one healthy machine caused its
/// deletion: 206 machines in one day.
#[test]
fn a_job_that_fails_on_several_machines_is_retried_with_backoff() {
    let job = JobId::from("job-1");
    let machine_ids: Vec<MachineId> = (0..4).map(|i| format!("vm-{i}").as_str().into()).collect();
    // Kind, where it failed, crash-looping.
    let cases: [(JobKind, &[usize], bool); 5] = [
        (JobKind::Array, &[0], false),
        (JobKind::Array, &[0, 0, 0], false),
        (JobKind::Array, &[0, 1], true),
        (JobKind::Service, &[0, 1, 2], false),
        (JobKind::Service, &[0, 1, 2, 3], true),
    ];
    for (kind, failed, crash_looping) in cases {
        let mut tracker = CrashLoopTracker::default();
        for index in failed {
            tracker.record_failure(&job, kind, &machine_ids[*index], Millis(5));
        }
        assert_eq!(
            tracker.is_crash_looping(&job),
            crash_looping,
            "{kind:?} on {failed:?}"
        );
        assert_eq!(tracker.not_before(&job).is_some(), crash_looping);
        tracker.record_success(&job);
        assert!(!tracker.is_crash_looping(&job), "one success clears it");
    }
    let mut tracker = CrashLoopTracker::default();
    for (machine_id, at) in [(0, 5), (1, 5), (2, 6), (0, 9)] {
        tracker.record_failure(&job, JobKind::Gang, &machine_ids[machine_id], Millis(at));
    }
    // The machines were at fault, not the job.
    for (quarantined, crash_looping) in [(2, true), (1, false), (0, false)] {
        tracker.forget_machine(&machine_ids[quarantined], Millis(20));
        assert_eq!(
            tracker.is_crash_looping(&job),
            crash_looping,
            "{quarantined} is quarantined"
        );
    }
    // A service fails on a faulty machine every ten minutes.
    let mut tracker = CrashLoopTracker::default();
    for (round, machine_id) in machine_ids.iter().enumerate() {
        let at = Millis(5 + 600_000 * round as u64);
        tracker.record_failure(&job, JobKind::Service, machine_id, at);
    }
    assert!(!tracker.is_crash_looping(&job));
    let mut tracker = CrashLoopTracker::default();
    let mut now = Millis(1_000);
    let mut waits = Vec::new();
    for round in 0..8 {
        for machine_id in &machine_ids[..2] {
            let newly = tracker.record_failure(&job, JobKind::Array, machine_id, now);
            assert_eq!(newly, round == 0 && *machine_id == machine_ids[1]);
        }
        let next = tracker.not_before(&job).unwrap();
        waits.push(next.since(now).0 / 1_000);
        now = next;
    }
    assert_eq!(waits, [2, 4, 8, 16, 32, 45, 45, 45]);
}
