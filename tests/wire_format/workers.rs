//! Workers: reports as read, the answers to them, and orders that are sent directly.

use std::time::Duration;

use jaspertiller::http_client::HttpClient;
use jaspertiller::types::{Attempt, Baton, Session, TaskId};
use jaspertiller::workers::client;
use jaspertiller::workers::wire::{Cause, Order, OrderBody, Report, ReportAnswer, TaskStage};

use crate::Fixtures;
use crate::loopback::{Reply, ask, server, service};

/// The stages of a task and the causes of its end, in words of this test.
fn stage(stage: TaskStage) -> &'static str {
    match stage {
        TaskStage::Fetching => "fetching",
        TaskStage::Waiting => "waiting for its gang",
        TaskStage::Running => "running",
        TaskStage::Saving => "saving",
        TaskStage::Exited => "exited",
    }
}

fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Done => "done",
        Cause::Stopped => "stopped",
        Cause::PeersGone => "the rest of its gang is gone",
        Cause::Alone => "its gang did not come",
        Cause::Error => "error",
        Cause::NoRoom => "no room",
        Cause::Busy => "another attempt is there",
        Cause::Unknown => "unknown",
    }
}

/// A report as it was understood.
fn show(report: &Report) -> String {
    let mut shown = format!(
        "{} at {:?} type {} zone {} spot {} session {} tally {} token {} warning {:?}",
        report.host,
        report.address,
        report.rig,
        report.yard,
        report.loaners,
        report.shift.0,
        report.tally,
        report.baton.0,
        report.warning_s,
    );
    for pick in &report.picks {
        let ended = pick.cause.map_or("-", cause);
        let (task, attempt) = (&pick.pick, pick.attempt.0);
        let (stage, kept) = (stage(pick.stage), pick.kept);
        shown += &format!("; {task} #{attempt} {stage}, {ended}, kept {kept:?}");
    }
    shown
}

fn read(body: &str) -> Result<String, String> {
    let report = serde_json::from_str::<Report>(body);
    report.map(|r| show(&r)).map_err(|error| error.to_string())
}

#[test]
fn reports() {
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
        fixtures.check(name, "is read differently", found, expected);
    }
    let bare = "vm-1 at \"\" type c16 zone b spot false session 1 tally 2 token 0 warning None";
    let found = read(fixtures.text("optional-fields-absent"));
    fixtures.check(
        "optional-fields-absent",
        "is read differently",
        found,
        Ok(bare.into()),
    );
    fixtures.finish();
}

fn orders() -> Vec<Order> {
    let task = || TaskId::parse("job-000412/3").unwrap();
    vec![
        Order::Start {
            task: task(),
            attempt: Attempt(6),
        },
        Order::Stop {
            task: task(),
            attempt: Attempt(7),
            grace_s: 12.5,
        },
        Order::Forget {
            task: task(),
            attempt: Attempt(8),
        },
    ]
}

#[test]
fn single_orders() {
    let mut fixtures = Fixtures::new("orders.txt", include_str!("fixtures/orders.txt"));
    for (name, order) in ["start", "stop", "forget"].into_iter().zip(orders()) {
        fixtures.writes(name, &serde_json::to_string(&order).unwrap());
        let read = serde_json::from_str::<OrderBody>(fixtures.text(name));
        let read = read.ok().and_then(|body| body.order());
        fixtures.check(name, "is read differently", read, Some(order));
    }
    fixtures.finish();
}

#[tokio::test]
async fn answers_to_reports() {
    let file = include_str!("fixtures/report-answers.txt");
    let mut fixtures = Fixtures::new("report-answers.txt", file);
    let answer = |orders| ReportAnswer::Orders {
        baton: Baton(83),
        orders,
    };
    let cases = [
        ("orders", answer(orders())),
        ("no-orders", answer(vec![])),
        ("elsewhere", ReportAnswer::Elsewhere(Some("n2".into()))),
        ("elsewhere-unknown", ReportAnswer::Elsewhere(None)),
        ("not-now", ReportAnswer::Later),
    ];
    let replies = cases.iter().map(|(_, a)| Reply::Worker(a.clone()));
    let (address, mut told) = server(replies.collect()).await;
    let report = include_str!("fixtures/reports.txt").lines().next().unwrap();
    let (_, report) = report.split_once(": ").unwrap();
    for (name, _) in &cases {
        let answer = ask(address, "POST /v1/report", report).await;
        fixtures.writes(name, &answer);
        let understood = told.recv().await;
        let expected = Some("report vm-000231");
        fixtures.check(name, "is understood", understood.as_deref(), expected);
    }
    let answer = ask(address, "POST /v1/report", "{}").await;
    fixtures.writes("malformed", &answer);
    fixtures.finish();
}

#[tokio::test]
async fn direct_orders() {
    let file = include_str!("fixtures/direct-orders.txt");
    let mut fixtures = Fixtures::new("direct-orders.txt", file);
    let report = include_str!("fixtures/reports.txt").lines().next().unwrap();
    let (_, report) = report.split_once(": ").unwrap();
    // Whether the matter is settled, and the report that came with it.
    let cases = [
        ("executed", format!("200 {report}"), orders(), Some(true)),
        ("no-orders", format!("200 {report}"), vec![], Some(true)),
        ("stale-token", format!("409 {report}"), orders(), Some(true)),
        ("refused", "400 {}".into(), orders(), Some(false)),
        ("failed", "500 {}".into(), orders(), None),
    ];
    let answers = cases.iter().map(|(_, answer, ..)| answer.clone()).collect();
    let (address, mut asked) = service(answers).await;
    let http = HttpClient::without_idle(address);
    for (name, _, orders, expected) in cases {
        let sent = client::send(http.clone(), address, Baton(83), Session(41), orders);
        let answer = sent.await;
        fixtures.writes(name, &asked.recv().await.unwrap());
        let shown = answer.map(|answer| {
            answer
                .report
                .is_some_and(|r| r.host.as_str() == "vm-000231")
        });
        fixtures.check(name, "the answer is read differently", shown, expected);
    }
    let (address, mut asked) = service(vec!["200 ".into(), "500 ".into()]).await;
    for (name, expected) in [("inspect", true), ("inspect-failed", false)] {
        let found = client::inspect(http.clone(), address).await;
        let request = tokio::time::timeout(Duration::from_secs(1), asked.recv()).await;
        fixtures.writes(name, &request.unwrap().unwrap());
        fixtures.check(name, "the answer is read differently", found, expected);
    }
    fixtures.finish();
}
