use super::*;
use crate::types::FencingToken;
use crate::workers::reported_attempts::ReportedAttempt;
use crate::workers::wire::TaskStage;

const EPOCH: AgentEpoch = AgentEpoch(2);

fn token(number: u64) -> WorkerToken {
    WorkerToken::connected(FencingToken(number))
}

fn attempt(index: u32, attempt: u64) -> (TaskId, Attempt) {
    let task = TaskId {
        job: "job-1".into(),
        index,
    };
    (task, Attempt(attempt))
}

fn start(index: u32, number: u64) -> WorkerCommand {
    let (task, attempt) = attempt(index, number);
    WorkerCommand::Start { task, attempt }
}

/// An exchange under this token, begun when the worker's heartbeat 5 was known.
fn exchange(number: u64, worker_token: WorkerToken) -> ExchangeStart {
    ExchangeStart {
        exchange: ExchangeId(number),
        worker_token,
        agent_epoch: EPOCH,
        heartbeat_sequence: 5,
    }
}

/// A heartbeat's list of attempts, all of them exited.
fn reported(attempts: &[(TaskId, Attempt)]) -> ReportedAttempts {
    let exited = |(task, attempt): &(TaskId, Attempt)| ReportedAttempt {
        task: task.clone(),
        attempt: *attempt,
        stage: TaskStage::Exited,
        cause: None,
    };
    attempts.iter().map(exited).collect()
}

/// Guards against a task that runs twice: a machine was dropped from view during an exchange and seen again. The
/// reply to that exchange ended a later one, whose start then counted as answered while it could still arrive.
#[test]
fn a_reply_ends_only_its_own_exchange() {
    let mut channel = DirectChannel::default();
    channel.begin(exchange(2, token(1)), &[start(0, 1)]);
    assert!(
        channel
            .end(ExchangeId(1), ExchangeOutcome::NotSent)
            .is_none()
    );
    assert!(channel.is_in_flight());
    let (task, number) = attempt(0, 1);
    assert!(channel.may_still_start(&task, number));
    let ended = channel.end(ExchangeId(2), ExchangeOutcome::NotSent);
    assert_eq!(ended, Some(false));
    assert!(!channel.is_in_flight());
    assert!(!channel.may_still_start(&task, number));
    assert!(
        channel
            .end(ExchangeId(2), ExchangeOutcome::NotSent)
            .is_none()
    );
}

/// Guards against `ran_twice`: an answered start arrived again after its attempt had been forgotten.
#[test]
fn a_direct_start_is_unfenced_until_a_higher_token_or_a_later_agent_epoch_is_seen() {
    let answered = ExchangeOutcome::Answered(EPOCH, 6);
    let partitioned = WorkerToken::partitioned(FencingToken(4));
    let cases = [
        // outcome of the exchange, token and agent epoch shown after it, unfenced
        (answered, token(3), EPOCH, true),
        (answered, token(4), EPOCH, true),
        (answered, partitioned, EPOCH, false),
        (answered, token(5), EPOCH, false),
        (answered, token(4), AgentEpoch(3), false),
        (answered, token(0), AgentEpoch(1), true),
        (ExchangeOutcome::Unanswered, token(4), EPOCH, true),
        (ExchangeOutcome::Unanswered, token(5), EPOCH, false),
        (ExchangeOutcome::NotSent, token(4), EPOCH, false),
    ];
    for (outcome, shown, agent_epoch, unfenced) in cases {
        let mut channel = DirectChannel::default();
        channel.begin(exchange(1, token(4)), &[start(0, 1)]);
        channel.end(ExchangeId(1), outcome);
        let (task, number) = attempt(0, 1);
        channel.observe(shown, agent_epoch, &reported(&[(task.clone(), number)]));
        let case = format!("{outcome:?}, then {shown:?} in {agent_epoch:?}");
        assert_eq!(channel.is_unfenced(&task, number), unfenced, "{case}");
        assert_eq!(channel.may_still_start(&task, number), unfenced, "{case}");
    }
}

/// A start that is sent again under a higher token is fenced by a token above that one only.
#[test]
fn a_repeated_start_is_fenced_by_a_token_above_its_last() {
    let mut channel = DirectChannel::default();
    for (number, sent_under) in [(1, token(4)), (2, token(6))] {
        channel.begin(exchange(number, sent_under), &[start(0, 1)]);
        channel.end(ExchangeId(number), ExchangeOutcome::Unanswered);
    }
    for (shown, unfenced) in [(token(5), 1), (token(6), 1), (token(7), 0)] {
        channel.observe(shown, EPOCH, &reported(&[]));
        assert_eq!(channel.unfenced_count(), unfenced, "{shown:?}");
    }
}

/// Guards against starts that are carried out again by a worker that has lost its memory of them under our token.
#[test]
fn a_worker_that_lost_its_memory_must_see_a_higher_token() {
    let (kept, lost) = (attempt(0, 1), attempt(1, 1));
    let cases = [
        // replies to two exchanges, then the attempts in a heartbeat under token 4, exposed under token 4
        (
            (EPOCH, 6),
            (EPOCH, 7),
            vec![kept.clone(), lost.clone()],
            false,
        ),
        ((EPOCH, 6), (EPOCH, 7), vec![kept.clone()], true),
        // The counters were reset: the first such reply shows it, a later one of the same life nothing new.
        (
            (EPOCH, 5),
            (EPOCH, 6),
            vec![kept.clone(), lost.clone()],
            true,
        ),
        (
            (AgentEpoch(1), 2),
            (AgentEpoch(1), 3),
            vec![kept, lost],
            true,
        ),
    ];
    for (first, second, listed, exposed) in cases {
        let mut channel = DirectChannel::default();
        let answered = |(agent_epoch, sequence)| ExchangeOutcome::Answered(agent_epoch, sequence);
        channel.begin(exchange(1, token(4)), &[start(0, 1), start(1, 1)]);
        channel.end(ExchangeId(1), answered(first));
        channel.observe(token(4), EPOCH, &reported(&listed));
        let case = format!("{first:?}, {listed:?}");
        assert_eq!(channel.is_exposed_under(token(4)), exposed, "{case}");
        // After the token was raised, nothing is left to do.
        channel.begin(exchange(2, token(5)), &[]);
        channel.end(ExchangeId(2), answered(second));
        assert!(!channel.is_exposed_under(token(5)), "{case}");
    }
}

/// A machine that was reset while it was out of view may reach the agent epoch of an unanswered start again.
#[test]
fn a_start_for_an_agent_epoch_that_may_come_again_must_be_fenced() {
    for (agent_epoch, exposed) in [
        (AgentEpoch(1), true),
        (EPOCH, false),
        (AgentEpoch(3), false),
    ] {
        let mut channel = DirectChannel::default();
        channel.begin(exchange(1, token(4)), &[start(0, 1)]);
        let mut channel = channel.without_exchange();
        channel.observe(token(4), agent_epoch, &reported(&[]));
        assert_eq!(
            channel.is_exposed_under(token(4)),
            exposed,
            "{agent_epoch:?}"
        );
    }
}

/// Guards against heartbeats that grow without end: each direct start leaves an attempt that is listed for as long as
/// the token and the agent epoch stay the same.
#[test]
fn unfenced_starts_are_bounded() {
    let mut channel = DirectChannel::default();
    let max = MAX_UNFENCED_STARTS;
    let kept = |channel: &DirectChannel, commands: &[WorkerCommand]| {
        let mut kept = commands.to_vec();
        let removed = channel.remove_excess_starts(&mut kept);
        assert_eq!(removed, commands.len() - kept.len());
        kept
    };
    let first: Vec<WorkerCommand> = (0..max as u32 - 1).map(|index| start(index, 1)).collect();
    assert_eq!(kept(&channel, &first), first);
    channel.begin(exchange(1, token(1)), &first);
    let answered = ExchangeOutcome::Answered(EPOCH, 6);
    assert!(channel.end(ExchangeId(1), answered).is_some());
    // One more start fits; a repeated one adds nothing, and a stop is never left out.
    let (task, number) = attempt(0, 1);
    let stop = WorkerCommand::Stop {
        task,
        attempt: number,
        grace_s: 0.0,
    };
    let commands = [start(0, 1), start(0, 2), start(1, 2), stop.clone()];
    let expected = [start(0, 1), start(0, 2), stop];
    assert_eq!(kept(&channel, &commands), expected);
    channel.begin(exchange(2, token(1)), &expected);
    assert!(channel.unfenced_count() <= max);
    assert_eq!(kept(&channel, &[start(2, 2)]), []);
    // The worker refuses the earlier starts now, whenever they arrive.
    channel.observe(token(2), EPOCH, &reported(&[]));
    assert_eq!(kept(&channel, &[start(2, 2)]), [start(2, 2)]);
}
