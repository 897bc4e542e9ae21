use super::*;

fn placed(n: u64) -> Task {
    Task::Placed(Placement {
        machine_id: format!("vm-{n:06}").as_str().into(),
        shard: ShardId::parse("a-long-zone-name.1").unwrap(),
        agent_epoch: AgentEpoch(n),
        attempt: Attempt(2),
    })
}

#[test]
fn pages_round_trip() {
    let cases = [
        vec![Task::NEVER_PLACED; 128],
        vec![Task::Done; 3],
        vec![
            Task::NEVER_PLACED,
            placed(1),
            placed(2),
            Task::Done,
            Task::Done,
        ],
        vec![
            Task::Waiting {
                last_attempt: Attempt(3),
            },
            Task::NEVER_PLACED,
        ],
    ];
    for tasks in cases {
        let text = encode_page(&tasks);
        assert_eq!(
            decode_page(&text, tasks.len() as u32),
            Some(tasks),
            "{text}"
        );
    }
    assert!(encode_page(&vec![Task::NEVER_PLACED; 128]).len() < 20);
}

#[test]
fn a_page_of_the_wrong_length_is_rejected() {
    for text in [
        "[]",
        "[{\"d\":1}]",
        "nonsense",
        "[{\"p\":[\"vm-1\",\"nodot\",1,1]},{\"d\":1}]",
    ] {
        assert_eq!(decode_page(text, 2), None, "{text}");
    }
}

#[test]
fn the_fullest_page_fits_one_value() {
    for (value_kb, zone) in [(8.0, 18), (8.0, 100), (2.0, 18)] {
        let name = "z".repeat(zone);
        let task = Task::Placed(Placement {
            machine_id: "vm-000000000000231".into(),
            shard: ShardId::parse(&format!("{name}.63")).unwrap(),
            agent_epoch: AgentEpoch(999_999_999),
            attempt: Attempt(999_999_999),
        });
        let tasks = vec![task; page_size(value_kb, zone) as usize];
        let size = encode_page(&tasks).len();
        assert!(
            size as f64 <= value_kb * 1024.0,
            "{size} bytes for {value_kb} KiB"
        );
    }
}
