//! Worker API: heartbeats as decoded, their responses, and direct commands.

use std::time::Duration;

use jaspertiller::http_client::HttpClient;
use jaspertiller::types::{AgentEpoch, Attempt, TaskId, WorkerToken};
use jaspertiller::workers::client;
use jaspertiller::workers::wire::{
    ExitCause, Heartbeat, HeartbeatResponse, TaskStage, WorkerCommand, WorkerCommandBody,
};

use crate::Fixtures;
use crate::loopback::{Reply, ask, server, service};

/// Text forms of task stages and exit causes, to compare decoded heartbeats.
fn stage(stage: TaskStage) -> &'static str {
    match stage {
        TaskStage::Fetching => "fetching",
        TaskStage::Waiting => "waiting for its gang",
        TaskStage::Running => "running",
        TaskStage::Saving => "saving",
        TaskStage::Exited => "exited",
    }
}

fn cause(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped => "stopped",
        ExitCause::GangMemberLost => "the rest of its gang is gone",
        ExitCause::GangTimeout => "its gang did not come",
        ExitCause::Error => "error",
        ExitCause::InsufficientResources => "no room",
        ExitCause::OtherAttemptPresent => "another attempt is there",
        ExitCause::UnknownTask => "unknown",
    }
}

/// A text form of a decoded heartbeat.
fn show(heartbeat: &Heartbeat) -> String {
    let mut shown = format!(
        "{} at {:?} type {} zone {} spot {} session {} tally {} token {} warning {:?}",
        heartbeat.machine_id,
        heartbeat.address,
        heartbeat.machine_type,
        heartbeat.zone,
        heartbeat.spot,
        heartbeat.agent_epoch.0,
        heartbeat.heartbeat_sequence,
        heartbeat.worker_token.0,
        heartbeat.warning_s,
    );
    for status in &heartbeat.tasks {
        let ended = status.cause.map_or("-", cause);
        let (task, attempt) = (&status.task, status.attempt.0);
        let (stage, kept) = (stage(status.stage), status.checkpoint_saved);
        shown += &format!("; {task} #{attempt} {stage}, {ended}, kept {kept:?}");
    }
    shown
}

fn read(body: &str) -> Result<String, String> {
    let heartbeat = serde_json::from_str::<Heartbeat>(body);
    heartbeat
        .map(|r| show(&r))
        .map_err(|error| error.to_string())
}

#[test]
fn heartbeats() {
    let mut fixtures = Fixtures::new("reports.txt", include_str!("fixtures/reports.txt"));
    let head =
        "vm-000231 at \"10.1.0.1:9000\" type g8 zone a spot true session 41 tally 88 token 83";
    let cases = [
        (
            "every-field",
            "warning Some(31.5); job-000412/3 #6 exited, done, kept Some(true)",
        ),
        ("no-warning", "warning None"),
        ("warning-null", "warning None"),
        (
            "stages",
            "warning None; job-1/0 #1 fetching, -, kept None; job-1/1 #2 waiting for its gang, -, kept None; \
             job-1/2 #3 running, -, kept None; job-1/3 #4 saving, -, kept None; \
             job-1/4 #5 exited, -, kept None",
        ),
        (
            "causes",
            "warning None; job-1/0 #1 exited, done, kept None; job-1/1 #1 exited, stopped, kept Some(false); \
             job-1/2 #1 exited, the rest of its gang is gone, kept None; \
             job-1/3 #1 exited, its gang did not come, kept None; \
             job-1/4 #1 exited, error, kept None; job-1/5 #1 exited, no room, kept None; \
             job-1/6 #1 exited, another attempt is there, kept None; \
             job-1/7 #1 exited, unknown, kept None",
        ),
        ("unknown-fields", "warning None"),
    ];
    for (name, rest) in cases {
        let found = read(fixtures.text(name));
        let expected = Ok(format!("{head} {rest}"));
        fixtures.check(name, "decoded value differs", found, expected);
    }
    let bare = "vm-1 at \"\" type c16 zone b spot false session 1 tally 2 token 0 warning None";
    let found = read(fixtures.text("optional-fields-absent"));
    fixtures.check(
        "optional-fields-absent",
        "decoded value differs",
        found,
        Ok(bare.into()),
    );
    fixtures.finish();
}

fn commands() -> Vec<WorkerCommand> {
    let task = || TaskId::parse("job-000412/3").unwrap();
    vec![
        WorkerCommand::Start {
            task: task(),
            attempt: Attempt(6),
        },
        WorkerCommand::Stop {
            task: task(),
            attempt: Attempt(7),
            grace_s: 12.5,
        },
        WorkerCommand::Forget {
            task: task(),
            attempt: Attempt(8),
        },
    ]
}

#[test]
fn single_commands() {
    let mut fixtures = Fixtures::new("orders.txt", include_str!("fixtures/orders.txt"));
    for (name, command) in ["start", "stop", "forget"].into_iter().zip(commands()) {
        fixtures.check_encoded(name, &serde_json::to_string(&command).unwrap());
        let read = serde_json::from_str::<WorkerCommandBody>(fixtures.text(name));
        let read = read.ok().and_then(|body| body.command());
        fixtures.check(name, "decoded value differs", read, Some(command));
    }
    fixtures.finish();
}

#[tokio::test]
async fn heartbeat_responses() {
    let file = include_str!("fixtures/report-answers.txt");
    let mut fixtures = Fixtures::new("report-answers.txt", file);
    let answer = |commands| HeartbeatResponse::Commands {
        worker_token: WorkerToken(83),
        commands,
    };
    let cases = [
        ("orders", answer(commands())),
        ("no-orders", answer(vec![])),
        ("elsewhere", HeartbeatResponse::Redirect(Some("n2".into()))),
        ("elsewhere-unknown", HeartbeatResponse::Redirect(None)),
        ("not-now", HeartbeatResponse::RetryLater),
    ];
    let replies = cases.iter().map(|(_, a)| Reply::Worker(a.clone()));
    let (address, mut received) = server(replies.collect()).await;
    let heartbeat = include_str!("fixtures/reports.txt").lines().next().unwrap();
    let (_, heartbeat) = heartbeat.split_once(": ").unwrap();
    for (name, _) in &cases {
        let answer = ask(address, "POST /v1/report", heartbeat).await;
        fixtures.check_encoded(name, &answer);
        let decoded = received.recv().await;
        let expected = Some("report vm-000231");
        fixtures.check(name, "decoded request", decoded.as_deref(), expected);
    }
    let answer = ask(address, "POST /v1/report", "{}").await;
    fixtures.check_encoded("malformed", &answer);
    fixtures.finish();
}

#[tokio::test]
async fn direct_commands() {
    let file = include_str!("fixtures/direct-orders.txt");
    let mut fixtures = Fixtures::new("direct-orders.txt", file);
    let heartbeat = include_str!("fixtures/reports.txt").lines().next().unwrap();
    let (_, heartbeat) = heartbeat.split_once(": ").unwrap();
    // Whether the response settles the command, and the heartbeat that it carried.
    let cases = [
        (
            "executed",
            format!("200 {heartbeat}"),
            commands(),
            Some(true),
        ),
        ("no-orders", format!("200 {heartbeat}"), vec![], Some(true)),
        (
            "stale-token",
            format!("409 {heartbeat}"),
            commands(),
            Some(true),
        ),
        ("refused", "400 {}".into(), commands(), Some(false)),
        ("failed", "500 {}".into(), commands(), None),
    ];
    let answers = cases.iter().map(|(_, answer, ..)| answer.clone()).collect();
    let (address, mut requests) = service(answers).await;
    let http = HttpClient::without_idle_connections(address);
    for (name, _, commands, expected) in cases {
        let sent = client::send(
            http.clone(),
            address,
            WorkerToken(83),
            AgentEpoch(41),
            commands,
        );
        let answer = sent.await;
        fixtures.check_encoded(name, &requests.recv().await.unwrap());
        let shown = answer.map(|answer| {
            answer
                .heartbeat
                .is_some_and(|r| r.machine_id.as_str() == "vm-000231")
        });
        fixtures.check(name, "decoded response differs", shown, expected);
    }
    let (address, mut requests) = service(vec!["200 ".into(), "500 ".into()]).await;
    for (name, expected) in [("inspect", true), ("inspect-failed", false)] {
        let found = client::inspect(http.clone(), address).await;
        let request = tokio::time::timeout(Duration::from_secs(1), requests.recv()).await;
        fixtures.check_encoded(name, &request.unwrap().unwrap());
        fixtures.check(name, "decoded response differs", found, expected);
    }
    fixtures.finish();
}
