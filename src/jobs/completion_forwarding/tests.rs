use super::*;
use crate::jobs::cache::tests::jobs;

/// An array of 25,000 tasks has completions in every heartbeat, and each scan went through all pending changes, so
/// that the CPU was saturated for minutes. Every change must still be scanned eventually.
#[test]
fn a_job_with_many_changes_is_scanned_at_a_bounded_rate() {
    for (count, expected) in [
        (MAX_UNTHROTTLED_CHANGES as u32, 20),
        (MAX_UNTHROTTLED_CHANGES as u32 + 1, 5),
    ] {
        let (mut jobs, id) = jobs(4 * count, &[]);
        for index in 0..count {
            let attempt = Attempt(1);
            jobs.add_pending_change(&id, index, TaskChange::Finish { attempt });
        }
        let job = jobs.get(&id).unwrap();
        let mut forwarder = CompletionForwarder::default();
        let mut scans = 0;
        // Twenty heartbeats in two seconds.
        for step in 1..=20 {
            scans += u32::from(!forwarder.defers_scan(job, Millis(step * 100)));
        }
        assert_eq!(scans, expected, "{count} changes");
        let due = forwarder.due_scans(Millis(2_500));
        assert_eq!(
            due.len(),
            usize::from(count as usize > MAX_UNTHROTTLED_CHANGES)
        );
        assert!(forwarder.due_scans(Millis(3_000)).is_empty(), "once");
    }
}
