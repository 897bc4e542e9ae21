use super::*;
use crate::jobs::PriorityClass;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;

fn key(priority: PriorityClass, first_seen_at: u64) -> QueueKey {
    QueueKey {
        beyond_guarantee: true,
        priority: Reverse(priority),
        first_seen_at: Millis(first_seen_at),
        flow: Flow { class: 0, team: 0 },
    }
}

fn queue() -> (Queue, SmallRng) {
    let queue = Queue::new(Millis(1_000), Millis(10_000), Millis(30_000));
    (queue, SmallRng::seed_from_u64(1))
}

#[test]
fn jobs_within_their_guarantee_go_first_then_by_priority_and_age() {
    let (mut queue, _) = queue();
    let guaranteed = QueueKey {
        beyond_guarantee: false,
        ..key(PriorityClass::BestEffort, 9)
    };
    let jobs = [
        ("job-1", key(PriorityClass::Normal, 1)),
        ("job-2", key(PriorityClass::Critical, 5)),
        ("job-3", key(PriorityClass::Critical, 4)),
        ("job-4", guaranteed),
        ("job-5", key(PriorityClass::Normal, 0)),
    ];
    for (job, key) in jobs {
        queue.push(&job.into(), key);
    }
    let popped: Vec<String> = std::iter::from_fn(|| queue.pop())
        .map(|popped| popped.id.to_string())
        .collect();
    assert_eq!(popped, ["job-4", "job-3", "job-2", "job-5", "job-1"]);
}

/// A burst of jobs of the highest priority took all cycles, so no other job was placed although there
/// was capacity.
#[test]
fn under_a_tight_write_budget_every_class_and_team_has_its_floor() {
    let (mut queue, _) = queue();
    let flow = |class, team| Flow { class, team };
    let jobs = [
        (PriorityClass::Critical, flow(0, 0), 0..900),
        (PriorityClass::Critical, flow(0, 1), 900..1_000),
        (PriorityClass::Normal, flow(1, 0), 1_000..1_100),
    ];
    for (priority, flow, ids) in jobs {
        for n in ids {
            let key = QueueKey {
                flow,
                ..key(priority, n)
            };
            queue.push(&format!("job-{n}").as_str().into(), key);
        }
    }
    let mut served = [0; 3];
    for _ in 0..100 {
        let job = queue.pop_by_floors().unwrap().id;
        let n: u64 = job.as_str()[4..].parse().unwrap();
        let (index, flow) = match n {
            0..900 => (0, flow(0, 0)),
            900..1_000 => (1, flow(0, 1)),
            _ => (2, flow(1, 0)),
        };
        served[index] += 1;
        queue.record_served(flow);
    }
    assert!(served[1] >= 15 && served[2] >= 22, "{served:?}");
    // Without a tight write budget, only priority and age decide.
    assert!(queue.pop().unwrap().id.as_str() < "job-900");
}

#[test]
fn backoff_doubles_up_to_its_maximum() {
    let (mut queue, mut rng) = queue();
    let job = JobId::from("job-1");
    for (failures, least, most) in [(0, 1_000, 1_100), (1, 2_000, 2_200), (9, 10_000, 11_000)] {
        let key = key(PriorityClass::Normal, 0);
        queue.requeue_after_failure(&job, failures, BTreeSet::new(), key, Millis(0), &mut rng);
        queue.tick(Millis(least - 1));
        assert!(queue.pop().is_none(), "too early after {failures}");
        queue.tick(Millis(most));
        let popped = PoppedJob {
            id: job.clone(),
            failures: failures + 1,
        };
        assert_eq!(queue.pop(), Some(popped));
    }
}

#[test]
fn an_event_wakes_a_job_only_if_it_satisfies_a_rejecting_check() {
    let cases = [
        // rejecting check, check that the event satisfies, time of the event, when active
        (Check::Resources, Check::Resources, 500, Some(1_200)),
        (Check::Resources, Check::Resources, 5_000, Some(5_000)),
        (Check::Resources, Check::TeamQuota, 5_000, None),
        (Check::TeamQuota, Check::TeamQuota, 5_000, Some(5_000)),
    ];
    for (rejecting, satisfied, at, active) in cases {
        let (mut queue, mut rng) = queue();
        let job = JobId::from("job-1");
        let key = key(PriorityClass::Normal, 0);
        queue.requeue_after_failure(
            &job,
            0,
            BTreeSet::from([rejecting]),
            key,
            Millis(0),
            &mut rng,
        );
        queue.wake(Millis(at), |_, check| check == satisfied);
        queue.tick(Millis(at));
        let active_at_event = queue.pop().is_some();
        assert_eq!(
            active_at_event,
            active == Some(at),
            "{rejecting:?} {satisfied:?} {at}"
        );
        if let Some(active) = active.filter(|_| !active_at_event) {
            queue.tick(Millis(active));
            assert!(queue.pop().is_some(), "{rejecting:?} {satisfied:?} {at}");
        }
    }
}

#[test]
fn the_flush_releases_jobs_that_no_event_woke() {
    let (mut queue, mut rng) = queue();
    let job = JobId::from("job-1");
    let key = key(PriorityClass::Normal, 0);
    queue.requeue_after_failure(
        &job,
        0,
        BTreeSet::from([Check::Resources]),
        key,
        Millis(0),
        &mut rng,
    );
    queue.tick(Millis(29_999));
    assert!(queue.pop().is_none());
    queue.tick(Millis(30_000));
    assert!(queue.pop().is_some());
}
