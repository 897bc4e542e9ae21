//! Frames between controllers: the payload of each message in hex, and the frame around it.

use std::time::Duration;

use jaspertiller::peers::link::Peers;
use jaspertiller::peers::{
    MachineCondition, MachineDescription, Message, Status, TaskDeparture, VERSION,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::Fixtures;
use crate::loopback::free_address;
use crate::settings::settings;

const ACKNOWLEDGED: u8 = 1;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// The frame on the wire for a payload.
fn frame(payload: &str) -> Vec<u8> {
    let payload = bytes(payload);
    let mut frame = (payload.len() as u32).to_be_bytes().to_vec();
    frame.extend(payload);
    frame
}

fn machine_condition(machine_id: &str, flags: [bool; 4]) -> MachineCondition {
    let [unconfirmed, termination_announced, quarantined, draining] = flags;
    MachineCondition {
        machine_id: machine_id.into(),
        since_contact_ms: 250,
        agent_epoch: 21,
        unconfirmed,
        termination_announced,
        quarantined,
        draining,
    }
}

/// A heartbeat with every field set. Each flag is set in a different machine, so that swapped flags are
/// detected.
fn heartbeat() -> Status {
    Status {
        lease_id: Some(7001),
        revision: 81_234,
        without_store_ms: 1_250,
        receives_heartbeats: true,
        plan_revision: 80_001,
        change_rate_milli: 12_500,
        pending_changes: 17,
        shards: vec![("a.0".into(), 501), ("b.1".into(), 502)],
        machines: vec![
            machine_condition("vm-1", [true, false, false, false]),
            machine_condition("vm-2", [false, true, false, false]),
            machine_condition("vm-3", [false, false, true, false]),
            machine_condition("vm-4", [false, false, false, true]),
        ],
        descriptions: vec![
            MachineDescription {
                machine_id: "vm-1".into(),
                address: "10.1.0.1:9000".into(),
                machine_type: "g8".into(),
                zone: "a".into(),
                spot: true,
                images: vec![("img-7".into(), 4_000), ("img-8".into(), 12)],
            },
            MachineDescription {
                machine_id: "vm-2".into(),
                address: String::new(),
                machine_type: "c16".into(),
                zone: "b".into(),
                spot: false,
                images: vec![],
            },
        ],
        draining: vec!["vm-4".into()],
    }
}

fn left(index: u32, done: bool) -> TaskDeparture {
    TaskDeparture {
        job: "job-000412".into(),
        index,
        attempt: 6,
        token: 501,
        done,
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let job = || "job-000412".to_string();
    let machine_id = || "vm-000231".to_string();
    let hello = Message::Hello {
        version: VERSION,
        label: "n1".into(),
    };
    vec![
        ("hello", hello),
        ("heartbeat", Message::Status(heartbeat())),
        ("heartbeat-empty", Message::Status(Status::default())),
        (
            "left",
            Message::TasksDeparted(vec![left(3, true), left(70_000, false)]),
        ),
        (
            "failed",
            Message::TaskFailed {
                job: job(),
                machine_id: machine_id(),
            },
        ),
        ("unplaced", Message::Unplaced { job: job() }),
        (
            "place",
            Message::Place {
                job: job(),
                preempt: None,
            },
        ),
        (
            "place-preempt",
            Message::Place {
                job: job(),
                preempt: Some(machine_id()),
            },
        ),
        (
            "make-room",
            Message::Preempt {
                job: job(),
                machine_id: machine_id(),
            },
        ),
    ]
}

fn fixtures() -> Fixtures {
    Fixtures::new("peers.txt", include_str!("fixtures/peers.txt"))
}

#[test]
fn payloads() {
    let mut fixtures = fixtures();
    for (name, message) in messages() {
        fixtures.writes(name, &hex(&bitcode::encode(&message)));
        let payload = bytes(fixtures.text(name));
        match bitcode::decode::<Message>(&payload) {
            Ok(read) => fixtures.check(name, "is read differently", read, message),
            Err(error) => fixtures.fail(name, format!("can't be read: {error}")),
        }
    }
    fixtures.check("hello", "protocol version", VERSION, 6);
    fixtures.finish();
}

/// Frames on the wire, sent and received: a length of four bytes in big-endian order and the payload;
/// one byte acknowledges a frame.
#[tokio::test]
async fn frames() {
    let mut fixtures = fixtures();
    let (listener, bind) = (
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        free_address().await,
    );
    let mut settings = settings();
    settings.label = "n1".into();
    settings.peer_bind = bind;
    settings.members.truncate(1);
    settings.members[0].address = listener.local_addr().unwrap();
    let to = settings.members[0].label.clone();
    let (inbox, mut heard) = mpsc::channel(64);
    let link = Peers::start(&settings, 8, inbox);

    let (mut stream, _) = listener.accept().await.unwrap();
    let rest = messages().into_iter().skip(1);
    for (_, message) in rest.clone() {
        link.send(&to, message);
    }
    for (name, _) in messages() {
        let expected = frame(fixtures.text(name));
        let mut spoken = vec![0; expected.len()];
        let read = tokio::time::timeout(Duration::from_secs(2), stream.read_exact(&mut spoken));
        let whole = read.await.is_ok_and(|read| read.is_ok());
        fixtures.check(name, "is spoken whole", whole, true);
        fixtures.check(name, "is spoken", hex(&spoken), hex(&expected));
        stream.write_all(&[ACKNOWLEDGED]).await.unwrap();
    }

    // The listener is another task that may not have started yet.
    let mut stream = loop {
        match TcpStream::connect(bind).await {
            Ok(stream) => break stream,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    };
    for (name, message) in messages() {
        stream.write_all(&frame(fixtures.text(name))).await.unwrap();
        let read = tokio::time::timeout(Duration::from_secs(2), stream.read_u8()).await;
        let acknowledged = read.is_ok_and(|read| read.is_ok_and(|byte| byte == ACKNOWLEDGED));
        fixtures.check(name, "is acknowledged", acknowledged, true);
        if name != "hello" {
            let heard = heard.try_recv().ok();
            let heard = heard.map(|heard| (heard.from.to_string(), heard.message));
            fixtures.check(name, "is heard", heard, Some(("n1".into(), message)));
        }
    }
    fixtures.finish();
}
