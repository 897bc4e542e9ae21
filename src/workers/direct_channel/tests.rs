use super::*;

fn start(index: u32, attempt: u64) -> WorkerCommand {
    WorkerCommand::Start {
        task: TaskId {
            job: "job-1".into(),
            index,
        },
        attempt: Attempt(attempt),
    }
}

/// Guards against a task that runs twice: a machine was dropped from view during an exchange and seen again. The
/// reply to that exchange ended a later one, whose start then counted as answered while it could still arrive.
#[test]
fn a_reply_ends_only_its_own_exchange() {
    let task = TaskId::parse("job-1/0").unwrap();
    let mut channel = DirectChannel::default();
    channel.begin(ExchangeId(2), &[start(0, 1)]);
    assert!(channel.end(ExchangeId(1)).is_none());
    assert!(channel.is_in_flight());
    assert!(channel.may_still_start(&task, Attempt(1)));
    let ended = channel.end(ExchangeId(2)).unwrap();
    channel.acknowledge(&ended.starts);
    assert!(!channel.is_in_flight());
    assert!(!channel.may_still_start(&task, Attempt(1)));
    assert!(channel.end(ExchangeId(2)).is_none());
}
