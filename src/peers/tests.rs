use super::*;

#[test]
fn frames_round_trip_and_malformed_ones_are_rejected() {
    let message = Message::Status(Status {
        lease_id: Some(4),
        revision: 7,
        without_store_ms: 0,
        receives_heartbeats: true,
        plan_revision: 3,
        change_rate_milli: 1_500,
        pending_changes: 2,
        shards: vec![],
        machines: vec![],
        descriptions: vec![],
        draining: vec!["vm-1".into()],
    });
    let frame = bitcode::encode(&message);
    assert_eq!(bitcode::decode::<Message>(&frame).unwrap(), message);
    for malformed in [
        &frame[..frame.len() - 1],
        b"".as_slice(),
        b"\xff\xff\xff\xff".as_slice(),
    ] {
        assert!(bitcode::decode::<Message>(malformed).is_err());
    }
}

/// One message of each variant, in the order of the variants.
fn messages() -> Vec<Message> {
    let status = Status {
        lease_id: Some(4),
        revision: 7,
        without_store_ms: 12,
        receives_heartbeats: true,
        plan_revision: 3,
        change_rate_milli: 1_500,
        pending_changes: 2,
        shards: vec![("a.0".into(), 5)],
        machines: vec![MachineCondition {
            machine_id: "vm-1".into(),
            since_contact_ms: 250,
            agent_epoch: 2,
            unconfirmed: false,
            termination_announced: true,
            quarantined: false,
            draining: true,
        }],
        descriptions: vec![MachineDescription {
            machine_id: "vm-1".into(),
            address: "10.1.0.1:9000".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            images: vec![("img-7".into(), 4_000)],
        }],
        draining: vec!["vm-1".into()],
    };
    let job = || "job-1".to_string();
    let machine_id = || "vm-1".to_string();
    vec![
        Message::Hello {
            version: VERSION,
            label: "n0".into(),
        },
        Message::Status(status),
        Message::TasksDeparted(vec![TaskDeparture {
            job: job(),
            index: 3,
            attempt: 2,
            token: 5,
            done: true,
        }]),
        Message::TaskFailed {
            job: job(),
            machine_id: machine_id(),
        },
        Message::Unplaced { job: job() },
        Message::Place {
            job: job(),
            preempt: Some(machine_id()),
        },
        Message::Preempt {
            job: job(),
            machine_id: machine_id(),
        },
    ]
}

/// Frames encoded by the version in production (92be731). Controllers of both versions run side by side
/// during an upgrade, so each must be able to decode the other's frames.
const PRODUCTION: [&str; 7] = [
    "000406026e30",
    "010106040607060c01060304dc0506020103612e3006050104766d2d3106fa0602000100010104766d2d310d31302e312e302e313a393030300267380161010105696d672d3704a00f0104766d2d31",
    "0201056a6f622d3104030602060501",
    "03056a6f622d3104766d2d31",
    "04056a6f622d31",
    "05056a6f622d310104766d2d31",
    "06056a6f622d3104766d2d31",
];

#[test]
fn frames_match_those_of_the_version_in_production() {
    for (message, encoded) in messages().iter().zip(PRODUCTION) {
        let byte = |at| u8::from_str_radix(&encoded[at..at + 2], 16).unwrap();
        let frame: Vec<u8> = (0..encoded.len()).step_by(2).map(byte).collect();
        assert_eq!(bitcode::decode::<Message>(&frame).unwrap(), *message);
        assert_eq!(bitcode::encode(message), frame, "{message:?}");
    }
}
