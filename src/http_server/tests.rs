use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;

use super::*;
use crate::jobs::api::RejectedSubmission;
use crate::jobs::api::tests::body as valid_submission;

/// Time after which a user stops waiting for a response.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a worker stops waiting for a response.
const WORKER_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes that a simulated connection holds in each direction.
const CONNECTION_BUFFER_BYTES: usize = 32 << 10;
const HEARTBEAT: &str = r#"{"host":"vm-1","rig":"g8","yard":"a","loaners":false,"shift":1,"tally":8,"baton":8,"picks":[]}"#;

/// A controller that accepts every valid submission at once, and redirects every worker.
async fn answer_requests(mut requests: mpsc::Receiver<Request>) {
    while let Some(request) = requests.recv().await {
        match request {
            Request::Submit { submission, reply } => {
                let response = match submission {
                    Ok((id, _)) => Response::Accepted(id),
                    Err(RejectedSubmission { reason, .. }) => reason.into(),
                };
                let _ = reply.send(response);
            }
            Request::Heartbeat { reply, .. } => {
                let _ = reply.send(HeartbeatResponse::Redirect(None));
            }
            Request::Poll { .. } | Request::Abort { .. } | Request::Ready { .. } => {}
        }
    }
}

/// The server's routes, in front of [`answer_requests`].
fn test_routes() -> Route {
    let (inbox, requests) = mpsc::channel(64);
    tokio::spawn(answer_requests(requests));
    routes(inbox)
}

/// Opens a simulated connection to the server.
fn connect(routes: &Route) -> DuplexStream {
    let (client, server) = tokio::io::duplex(CONNECTION_BUFFER_BYTES);
    let service = warp::service(routes.clone().recover(on_rejection));
    let service = TowerToHyperService::new(service);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(server), service);
    tokio::spawn(connection);
    client
}

/// What a client sends after the head of its request.
enum Sent {
    /// Bytes, after a pause in milliseconds.
    Part(u64, String),
    /// The same bytes again and again, each after a pause in milliseconds.
    Endless(u64, &'static str),
    /// The end of the sending direction.
    End,
}

fn part(pause_ms: u64, bytes: &str) -> Sent {
    Sent::Part(pause_ms, bytes.into())
}

/// How a request ended for its client.
#[derive(Debug)]
struct Outcome {
    /// The status, or none if the connection was closed without a response.
    status: Option<u16>,
    asks_to_retry: bool,
    closed: bool,
    waited: Duration,
}

impl Outcome {
    /// Whether the client may take the request for wrong, and gives it up.
    fn is_refusal(&self) -> bool {
        matches!(self.status, Some(400 | 404 | 422))
    }
}

async fn send(mut connection: impl AsyncWriteExt + Unpin, parts: Vec<Sent>) {
    for part in parts {
        match part {
            Sent::Part(pause_ms, bytes) => {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                if connection.write_all(bytes.as_bytes()).await.is_err() {
                    return;
                }
            }
            Sent::Endless(pause_ms, bytes) => {
                while connection.write_all(bytes.as_bytes()).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                return;
            }
            Sent::End => {
                let _ = connection.shutdown().await;
                return;
            }
        }
    }
    // The client waits for the response on the open connection.
    std::future::pending::<()>().await;
}

/// Sends a request and waits for its response, or for the end of the connection.
async fn exchange(routes: &Route, path: &str, framing: &str, parts: Vec<Sent>) -> Outcome {
    let (mut responses, requests) = tokio::io::split(connect(routes));
    let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
    let all = std::iter::once(Sent::Part(0, head)).chain(parts).collect();
    let sender = tokio::spawn(send(requests, all));
    let started = Instant::now();
    let mut received = Vec::new();
    let mut waited = Duration::ZERO;
    let read = async {
        while let Ok(count) = responses.read_buf(&mut received).await {
            if count == 0 {
                return;
            }
            waited = started.elapsed();
        }
    };
    let ended = tokio::time::timeout(USER_TIMEOUT * 2, read).await;
    sender.abort();
    let text = String::from_utf8(received).unwrap();
    Outcome {
        status: text.split(' ').nth(1).and_then(|code| code.parse().ok()),
        asks_to_retry: text.to_ascii_lowercase().contains("\r\nretry-after: "),
        closed: ended.is_ok(),
        waited,
    }
}

fn length(bytes: usize) -> String {
    format!("content-length: {bytes}")
}

const CHUNKED: &str = "transfer-encoding: chunked";

/// Guards against `forgotten`: a sound submission of an accepted job whose body was held in the network for four
/// seconds was refused as malformed. Only what is wrong with the request itself is refused.
#[tokio::test(start_paused = true)]
async fn only_a_wrong_body_is_refused() {
    let routes = test_routes();
    let body = valid_submission().to_string();
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |bytes: &str| format!("{:x}\r\n{bytes}\r\n", bytes.len());
    let sound = length(body.len());
    let large = "x".repeat(api::MAX_BODY_BYTES + 1);
    let all = || sound.clone();
    let chunked = || CHUNKED.to_string();
    let too_large = length(large.len());
    let last = "0\r\n\r\n";
    let late_end = chunk(second) + last;
    let large_chunk = chunk(&large) + last;
    let unread: &[u16] = &[503, 0];
    let cases: Vec<(&str, String, Vec<Sent>, &[u16])> = vec![
        // how the body is sent, the framing, what follows the head, statuses; 0: closed without a response
        ("whole", all(), vec![part(0, &body)], &[201]),
        ("held", all(), vec![part(4_000, &body)], &[201]),
        (
            "half held",
            all(),
            vec![part(0, first), part(4_000, second)],
            &[201],
        ),
        (
            "chunks",
            chunked(),
            vec![part(100, &chunk(first)), part(3_900, &late_end)],
            &[201],
        ),
        ("never sent", all(), vec![], &[503]),
        ("held for too long", all(), vec![part(6_000, &body)], &[503]),
        ("cut off", all(), vec![part(0, first), Sent::End], unread),
        (
            "cut off in chunks",
            chunked(),
            vec![part(0, &chunk(first)), Sent::End],
            unread,
        ),
        (
            "byte by byte",
            length(api::MAX_BODY_BYTES),
            vec![Sent::Endless(200, " ")],
            &[503],
        ),
        ("not JSON", length(4), vec![part(0, "job-")], &[400]),
        (
            "no fields, held",
            length(2),
            vec![part(4_000, "{}")],
            &[400],
        ),
        ("empty", length(0), vec![], &[400]),
        (
            "too large",
            too_large.clone(),
            vec![part(0, &large)],
            &[400],
        ),
        (
            "too large, not ended",
            too_large,
            vec![part(0, first)],
            &[400],
        ),
        (
            "too large in chunks",
            chunked(),
            vec![part(0, &large_chunk)],
            &[400],
        ),
        (
            "endless",
            chunked(),
            vec![Sent::Endless(0, "10\r\n0123456789abcdef\r\n")],
            &[400],
        ),
        (
            "invalid chunk",
            chunked(),
            vec![part(0, "zz\r\n{}\r\n0\r\n\r\n")],
            &[400],
        ),
    ];
    for (name, framing, parts, expected) in cases {
        let outcome = exchange(&routes, "/api/jobs", &framing, parts).await;
        let status = outcome.status.unwrap_or(0);
        assert!(expected.contains(&status), "{name}: {outcome:?}");
        assert!(outcome.waited < USER_TIMEOUT, "{name}: {outcome:?}");
        assert_eq!(outcome.asks_to_retry, status == 503, "{name}: {outcome:?}");
        // A sender that does not complete its body can't keep the connection.
        assert!(
            outcome.closed || status == 201 || expected == [400],
            "{name}: {outcome:?}"
        );
        assert_eq!(
            outcome.is_refusal(),
            expected == [400],
            "{name}: {outcome:?}"
        );
    }
}

/// A worker whose heartbeat is held in the network tries the next controller, and must hear of it in time.
#[tokio::test(start_paused = true)]
async fn a_worker_with_a_late_heartbeat_is_asked_to_retry_in_time() {
    let routes = test_routes();
    let framing = length(HEARTBEAT.len());
    for (held_ms, expected) in [(0, 421), (3_000, 421), (3_700, 503), (6_000, 503)] {
        let parts = vec![part(held_ms, HEARTBEAT)];
        let outcome = exchange(&routes, "/v1/report", &framing, parts).await;
        assert_eq!(outcome.status, Some(expected), "{held_ms} ms: {outcome:?}");
        assert!(outcome.waited < WORKER_TIMEOUT, "{held_ms} ms: {outcome:?}");
    }
}

/// A controller that does not reply must not keep a user waiting beyond the user's own timeout, even if most of that
/// time has passed before the body was complete.
#[tokio::test(start_paused = true)]
async fn the_time_for_the_reply_ends_with_that_of_the_request() {
    let (inbox, _unanswered) = mpsc::channel(64);
    let routes = routes(inbox);
    let body = valid_submission().to_string();
    for held_ms in [0, 2_000, 4_300] {
        let parts = vec![part(held_ms, &body)];
        let outcome = exchange(&routes, "/api/jobs", &length(body.len()), parts).await;
        assert_eq!(outcome.status, Some(503), "{held_ms} ms: {outcome:?}");
        assert!(outcome.waited < USER_TIMEOUT, "{held_ms} ms: {outcome:?}");
    }
}

/// Guards against connections that each send most of a body and stall: all of them together would exhaust the memory.
#[tokio::test(start_paused = true)]
async fn stalled_bodies_are_bounded_in_memory() {
    let routes = test_routes();
    let body = valid_submission().to_string();
    let sound = length(body.len());
    let stalled_bytes = api::MAX_BODY_BYTES - 1;
    let fitting = SUBMISSION_BODIES_BYTES / stalled_bytes;
    let started = Instant::now();
    let mut stalled = Vec::new();
    for _ in 0..=fitting {
        let mut connection = connect(&routes);
        let framing = length(api::MAX_BODY_BYTES);
        let head = format!("POST /api/jobs HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
        connection.write_all(head.as_bytes()).await.unwrap();
        // Fails for the connection that finds no memory.
        let sent = connection.write_all(&vec![b' '; stalled_bytes]).await;
        stalled.push((connection, sent.is_ok()));
    }
    let mut refused = Vec::new();
    let (last, _) = stalled.last_mut().unwrap();
    last.read_to_end(&mut refused).await.unwrap();
    assert!(refused.starts_with(b"HTTP/1.1 503"), "no response");
    let waited = started.elapsed();
    assert!(waited < SUBMISSION_BODY.timeout / 2, "no bound was reached");
    // The memory of a body is free again once its time has passed.
    tokio::time::sleep(SUBMISSION_BODY.timeout * 2).await;
    let outcome = exchange(&routes, "/api/jobs", &sound, vec![part(0, &body)]).await;
    assert_eq!(outcome.status, Some(201), "{outcome:?}");
}
