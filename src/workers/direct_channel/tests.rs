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

/// Guards against heartbeats that grow without end: each late reply leaves an attempt that is listed for as long as
/// the token and the agent epoch stay the same.
#[test]
fn unacknowledged_starts_are_bounded() {
    let mut channel = DirectChannel::default();
    channel.set_validity(FencingToken(1), AgentEpoch(1));
    let max = MAX_UNACKNOWLEDGED_STARTS;
    let kept = |channel: &DirectChannel, commands: &[WorkerCommand]| {
        let mut kept = commands.to_vec();
        channel.remove_excess_starts(&mut kept);
        kept
    };
    let first: Vec<WorkerCommand> = (0..max as u32 - 1).map(|index| start(index, 1)).collect();
    assert_eq!(kept(&channel, &first), first);
    channel.begin(ExchangeId(1), &first);
    assert!(channel.end(ExchangeId(1)).is_some());
    // One more start fits; a repeated one adds nothing, and a stop is never left out.
    let stop = WorkerCommand::Stop {
        task: TaskId::parse("job-1/0").unwrap(),
        attempt: Attempt(1),
        grace_s: 0.0,
    };
    let commands = [start(0, 1), start(0, 2), start(1, 2), stop.clone()];
    let expected = [start(0, 1), start(0, 2), stop];
    assert_eq!(kept(&channel, &commands), expected);
    channel.begin(ExchangeId(2), &expected);
    assert!(channel.unacknowledged_starts.len() <= max);
    assert_eq!(kept(&channel, &[start(2, 2)]), []);
    // The worker refuses the earlier starts now, whenever they arrive.
    channel.set_validity(FencingToken(2), AgentEpoch(1));
    assert_eq!(kept(&channel, &[start(2, 2)]), [start(2, 2)]);
}
