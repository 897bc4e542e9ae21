use super::*;

fn resources(gpus: f64) -> Resources {
    Resources {
        cpus: gpus,
        gpus,
        memory_gb: gpus,
    }
}

fn site(
    machine_id: &str,
    available: f64,
    victims: &[(u32, f64, PriorityClass, f64, bool)],
) -> PreemptionSite {
    PreemptionSite {
        machine_id: machine_id.into(),
        available: resources(available),
        victims: victims
            .iter()
            .map(
                |(index, gpus, priority, waste_s, already_stopping)| Victim {
                    task: TaskId {
                        job: "job-1".into(),
                        index: *index,
                    },
                    resources: resources(*gpus),
                    priority: *priority,
                    waste_s: *waste_s,
                    already_stopping: *already_stopping,
                    unconditional: true,
                    borrowing_team: None,
                    overuse_steps: None,
                },
            )
            .collect(),
        delay_s: 0.0,
        under_quota_tree: false,
    }
}

#[test]
fn the_lowest_priority_with_the_least_lost_work_is_preempted_first() {
    use PriorityClass::{BestEffort, Normal, Urgent};
    let cases = [
        // sites, the chosen machine and the tasks preempted there
        (vec![site("a", 2.0, &[(0, 1.0, Normal, 5.0, false)])], None),
        (
            vec![site(
                "a",
                3.0,
                &[(0, 1.0, Normal, 9.0, false), (1, 1.0, Normal, 5.0, false)],
            )],
            Some(("a", vec![1])),
        ),
        (
            vec![
                site("a", 3.0, &[(0, 1.0, Urgent, 1.0, false)]),
                site("b", 0.0, &[(1, 4.0, BestEffort, 99.0, false)]),
            ],
            Some(("b", vec![1])),
        ),
        (
            vec![
                site("a", 3.0, &[(0, 1.0, Normal, 5.0, false)]),
                site("b", 0.0, &[(1, 4.0, Normal, 50.0, true)]),
            ],
            Some(("b", vec![])),
        ),
        (
            vec![site(
                "a",
                0.0,
                &[(0, 1.0, Normal, 1.0, false), (1, 4.0, Normal, 5.0, false)],
            )],
            Some(("a", vec![1])),
        ),
        // An empty machine without the image does not beat one where little work is lost.
        (
            vec![
                PreemptionSite {
                    delay_s: 58.0,
                    ..site("a", 4.0, &[])
                },
                site("b", 3.0, &[(0, 1.0, Normal, 5.0, false)]),
            ],
            Some(("b", vec![0])),
        ),
        (
            vec![
                PreemptionSite {
                    delay_s: 58.0,
                    ..site("a", 4.0, &[])
                },
                site("b", 3.0, &[(0, 1.0, Urgent, 5.0, false)]),
            ],
            Some(("a", vec![])),
        ),
    ];
    for (index, (sites, expected)) in cases.into_iter().enumerate() {
        let got = cheapest_offer(resources(4.0), sites);
        let got = got.as_ref().map(|offer| {
            (
                offer.machine_id.as_str(),
                offer.victims.iter().map(|t| t.index).collect::<Vec<_>>(),
            )
        });
        assert_eq!(got, expected, "case {index}");
    }
}
