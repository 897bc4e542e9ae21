use super::*;

fn id(n: usize) -> JobId {
    format!("job-{n}").as_str().into()
}

/// A backlog of completions used to block all writes of placements, while thousands of tasks waited
/// and hundreds of machines were idle.
#[test]
fn a_backlog_of_completions_leaves_placements_their_floor() {
    let mut backlog = Backlog::default();
    for n in 0..100 {
        backlog.add(&id(n), Lane::Completions, 0, Millis(0));
        backlog.add(&id(100 + n), Lane::PartialCompletions, 0, Millis(0));
        backlog.add(&id(200 + n), Lane::Placements, 0, Millis(50));
    }
    let written: Vec<JobId> = (0..60).filter_map(|_| backlog.next(Millis(100))).collect();
    let placements = (200..300).map(id).filter(|id| written.contains(id)).count();
    let partial_completions = (100..200).map(id).filter(|id| written.contains(id)).count();
    assert!((25..=32).contains(&placements), "{placements}");
    assert!(
        (6..=10).contains(&partial_completions),
        "{partial_completions}"
    );
}

#[test]
fn a_job_keeps_its_most_urgent_entry_and_is_written_once() {
    let mut backlog = Backlog::default();
    backlog.add(&id(1), Lane::PartialCompletions, 0, Millis(5_000));
    backlog.add(&id(1), Lane::PartialCompletions, 0, Millis(9_000));
    assert_eq!(backlog.next(Millis(4_999)), None);
    backlog.add(&id(1), Lane::Completions, 0, Millis(5_000));
    backlog.add(&id(1), Lane::PartialCompletions, 0, Millis(1_000));
    assert_eq!(backlog.waiting(Lane::Completions), 1);
    assert_eq!(backlog.overdue(Millis(5_000)), 1);
    assert_eq!(backlog.next(Millis(5_000)), Some(id(1)));
    assert!(backlog.next(Millis(9_000)).is_none() && backlog.is_empty());
}

/// A burst of jobs of one class used to delay all jobs that were due later.
#[test]
fn a_burst_of_one_class_leaves_the_others_their_floor() {
    let mut backlog = Backlog::default();
    for n in 0..1_000 {
        backlog.add(&id(n), Lane::Placements, 0, Millis(0));
    }
    for n in 1_000..1_100 {
        backlog.add(&id(n), Lane::Placements, 1, Millis(500));
    }
    let written: Vec<JobId> = (0..100).filter_map(|_| backlog.next(Millis(600))).collect();
    let others = written
        .iter()
        .filter(|w| (1_000..1_100).any(|n| id(n) == **w));
    assert!((20..=30).contains(&others.count()));
}
