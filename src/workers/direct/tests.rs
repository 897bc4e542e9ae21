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
            worker_token: WorkerToken::connected(FencingToken(1)),
            agent_epoch: AgentEpoch(1),
            commands: if commands { vec![command] } else { Vec::new() },
        },
    }
}

/// When a shard changed holders, its token was announced to hundreds of machines at once, most of them behind
/// a partition: each occupied a socket for seconds, and starts waited for them.
#[test]
fn token_announcements_take_half_of_the_slots_and_expired_commands_none() {
    let mut queue = RequestQueue::new(4);
    for index in 0..5 {
        queue.push(request(&format!("s{index}"), false), Millis(0));
    }
    let leave = |queue: &mut RequestQueue, at: u64| -> Vec<(String, bool)> {
        let next = std::iter::from_fn(|| queue.next(Millis(at)));
        next.map(|dequeued| match dequeued {
            Dequeued::Send(request) => (request.machine_id.to_string(), false),
            Dequeued::Expired(request) => (request.machine_id.to_string(), true),
        })
        .collect()
    };
    let named = |names: &[(&str, bool)]| -> Vec<(String, bool)> {
        names
            .iter()
            .map(|(name, late)| (name.to_string(), *late))
            .collect()
    };
    assert_eq!(leave(&mut queue, 0), named(&[("s0", false), ("s1", false)]));
    for index in 0..3 {
        queue.push(request(&format!("o{index}"), true), Millis(10));
    }
    assert_eq!(
        leave(&mut queue, 10),
        named(&[("o0", false), ("o1", false)])
    );
    queue.finish(RequestClass::Probe);
    assert_eq!(leave(&mut queue, 20), named(&[("o2", false)]));
    queue.push(request("o3", true), Millis(30));
    assert_eq!(leave(&mut queue, 2_030), named(&[]));
    assert_eq!(leave(&mut queue, 2_031), named(&[("o3", true)]));
    queue.finish(RequestClass::Command);
    assert_eq!(leave(&mut queue, 2_032), named(&[("s2", false)]));
}
