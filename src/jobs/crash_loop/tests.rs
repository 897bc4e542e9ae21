use super::*;

/// Jobs with a mistake were started again at once, all their tasks, and two of them on one sound
/// machine had it deleted: 206 machines on one day.
#[test]
fn a_job_that_fails_on_several_machines_is_tried_ever_more_seldom() {
    let job = JobId::from("job-1");
    let hosts: Vec<HostId> = (0..4).map(|i| format!("vm-{i}").as_str().into()).collect();
    // Shape, where it failed, suspect.
    let cases: [(Shape, &[usize], bool); 5] = [
        (Shape::Array, &[0], false),
        (Shape::Array, &[0, 0, 0], false),
        (Shape::Array, &[0, 1], true),
        (Shape::Service, &[0, 1, 2], false),
        (Shape::Service, &[0, 1, 2, 3], true),
    ];
    for (shape, failed, suspect) in cases {
        let mut trials = Trials::default();
        for index in failed {
            trials.failed(&job, shape, &hosts[*index], Millis(5));
        }
        assert_eq!(trials.suspect(&job), suspect, "{shape:?} on {failed:?}");
        assert_eq!(trials.not_before(&job).is_some(), suspect);
        trials.succeeded(&job);
        assert!(!trials.suspect(&job), "one success clears it");
    }
    let mut trials = Trials::default();
    for (host, at) in [(0, 5), (1, 5), (2, 6), (0, 9)] {
        trials.failed(&job, Shape::Gang, &hosts[host], Millis(at));
    }
    // It was the machines after all.
    for (sick, suspect) in [(2, true), (1, false), (0, false)] {
        trials.sick(&hosts[sick], Millis(20));
        assert_eq!(trials.suspect(&job), suspect, "{sick} is sick");
    }
    // A service meets a faulty machine every ten minutes.
    let mut trials = Trials::default();
    for (round, host) in hosts.iter().enumerate() {
        let at = Millis(5 + 600_000 * round as u64);
        trials.failed(&job, Shape::Service, host, at);
    }
    assert!(!trials.suspect(&job));
    let mut trials = Trials::default();
    let mut now = Millis(1_000);
    let mut waits = Vec::new();
    for round in 0..8 {
        for host in &hosts[..2] {
            let newly = trials.failed(&job, Shape::Array, host, now);
            assert_eq!(newly, round == 0 && *host == hosts[1]);
        }
        let next = trials.not_before(&job).unwrap();
        waits.push(next.since(now).0 / 1_000);
        now = next;
    }
    assert_eq!(waits, [2, 4, 8, 16, 32, 45, 45, 45]);
}
