use super::*;

#[test]
fn frames_survive_and_nonsense_is_refused() {
    let message = Message::Status(Status {
        permit: Some(4),
        revision: 7,
        without_store_ms: 0,
        hears: true,
        plan: 3,
        used_milli: 1_500,
        waiting: 2,
        blocks: vec![],
        machines: vec![],
        views: vec![],
        draining: vec!["vm-1".into()],
    });
    let frame = bitcode::encode(&message);
    assert_eq!(bitcode::decode::<Message>(&frame).unwrap(), message);
    for bad in [
        &frame[..frame.len() - 1],
        b"".as_slice(),
        b"\xff\xff\xff\xff".as_slice(),
    ] {
        assert!(bitcode::decode::<Message>(bad).is_err());
    }
}
