use super::*;
use crate::types::{Attempt, FencingToken, TaskId};

fn request(name: &str, commands: bool) -> DirectRequest {
    let task = TaskId::parse("job-1/0").unwrap();
    let attempt = Attempt(1);
    let command = WorkerCommand::Start { task, attempt };
    DirectRequest {
        machine_id: name.into(),
        address: ([127, 0, 0, 1], 9).into(),
        kind: DirectRequestKind::Commands {
            exchange: ExchangeId(1),
            worker_token: WorkerToken::connected(FencingToken(1)),
            agent_epoch: AgentEpoch(1),
            commands: if commands { vec![command] } else { Vec::new() },
        },
    }
}

/// Guards against probes that delay starts: when a shard changed holders, its token was announced to hundreds
/// of machines at once, most of them behind a partition. Each probe occupied a socket for seconds.
#[test]
fn probes_take_half_of_the_slots_and_expired_commands_none() {
    let mut queue = RequestQueue::new(4);
    for index in 0..5 {
        queue.push(request(&format!("probe-{index}"), false), Millis(0));
    }
    let dequeue = |queue: &mut RequestQueue, at: u64| -> Vec<(String, bool)> {
        let next = std::iter::from_fn(|| queue.next(Millis(at)));
        next.map(|dequeued| match dequeued {
            Dequeued::Send(request) => (request.machine_id.to_string(), false),
            Dequeued::Expired(request) => (request.machine_id.to_string(), true),
        })
        .collect()
    };
    let expected = |names: &[(&str, bool)]| -> Vec<(String, bool)> {
        names
            .iter()
            .map(|(name, expired)| (name.to_string(), *expired))
            .collect()
    };
    assert_eq!(
        dequeue(&mut queue, 0),
        expected(&[("probe-0", false), ("probe-1", false)])
    );
    for index in 0..3 {
        queue.push(request(&format!("command-{index}"), true), Millis(10));
    }
    assert_eq!(
        dequeue(&mut queue, 10),
        expected(&[("command-0", false), ("command-1", false)])
    );
    queue.finish(RequestClass::Probe);
    assert_eq!(dequeue(&mut queue, 20), expected(&[("command-2", false)]));
    queue.push(request("command-3", true), Millis(30));
    assert_eq!(dequeue(&mut queue, 2_030), expected(&[]));
    assert_eq!(dequeue(&mut queue, 2_031), expected(&[("command-3", true)]));
    queue.finish(RequestClass::Command);
    assert_eq!(dequeue(&mut queue, 2_032), expected(&[("probe-2", false)]));
}
