//! The HTTP server on real sockets, with more clients than connection slots that send no request, one byte
//! a second, or a single request. Guards against such connections using up all slots: workers' heartbeats
//! and readiness probes are still answered.

use std::time::{Duration, Instant};

use jaspertiller::clock::Clock;
use jaspertiller::daemon::Request;
use jaspertiller::http_client::HttpClient;
use jaspertiller::http_server;
use jaspertiller::jobs::api::Response;
use jaspertiller::sockets::IdleTimeouts;
use jaspertiller::types::{Millis, WorkerToken};
use jaspertiller::workers::wire::HeartbeatResponse;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const MAX_CONNECTIONS: usize = 200;
const IDLE_CLIENTS: usize = 1_500;
const ROUNDS: usize = 20;

/// Answers every request, in place of a controller.
async fn answer_requests(mut requests: mpsc::Receiver<Request>) {
    while let Some(request) = requests.recv().await {
        // The client may have closed its connection.
        let _ = match request {
            Request::Heartbeat { reply, .. } => {
                let (worker_token, commands) = (WorkerToken(4), Vec::new());
                reply
                    .send(HeartbeatResponse::Commands {
                        worker_token,
                        commands,
                    })
                    .is_ok()
            }
            Request::Ready { reply } => reply.send(true).is_ok(),
            Request::Poll { reply, .. }
            | Request::Submit { reply, .. }
            | Request::Abort { reply, .. } => reply.send(Response::UnknownJob).is_ok(),
        };
    }
}

/// Holds one connection that is half-open, slow, or idle after one request; reconnects when the server
/// closes it.
async fn hold_idle_connection(index: usize, address: std::net::SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let head: &[u8] = match index % 3 {
                0 => b"",
                1 => b"POST /v1/report HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n{",
                _ => b"GET /api/jobs/job-1 HTTP/1.1\r\nhost: a\r\n\r\n",
            };
            let mut open = stream.write_all(head).await.is_ok();
            while open && index % 3 == 1 {
                tokio::time::sleep(Duration::from_secs(1)).await;
                open = stream.write_all(b" ").await.is_ok();
            }
            let _ = stream.readable().await;
            let mut rest = [0; 1_024];
            while open {
                open = !matches!(stream.try_read(&mut rest), Ok(0));
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test]
async fn heartbeats_and_probes_are_answered_despite_many_idle_connections() {
    let reserved = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = reserved.local_addr().unwrap();
    drop(reserved);
    let (inbox, requests) = mpsc::channel(64);
    tokio::spawn(answer_requests(requests));
    let idle_timeouts = IdleTimeouts {
        new: Millis(500),
        user: Millis(1_000),
        heartbeat: Millis(2_000),
    };
    let clock = Clock::start();
    tokio::spawn(http_server::serve(
        address,
        inbox,
        MAX_CONNECTIONS,
        idle_timeouts,
        clock,
    ));
    tokio::time::sleep(Duration::from_millis(200)).await;
    for index in 0..IDLE_CLIENTS {
        tokio::spawn(hold_idle_connection(index, address));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let heartbeat =
        br#"{"host":"vm-1","address":"127.0.0.1:1","rig":"g8","yard":"a","loaners":false,
        "shift":1,"tally":1,"baton":0,"picks":[]}"#;
    let client = HttpClient::new(address);
    let (mut answered, mut slowest) = (0, Duration::ZERO);
    for _ in 0..ROUNDS {
        // Like a worker, retry when the server rejects the connection.
        for (method, path, body) in [
            (http::Method::POST, "/v1/report", heartbeat.to_vec()),
            (http::Method::GET, "/ready", Vec::new()),
        ] {
            let started = Instant::now();
            for _ in 0..200 {
                let timeout = Duration::from_secs(4);
                let response = client
                    .call(method.clone(), path, body.clone(), timeout)
                    .await;
                if response.is_ok_and(|(status, _)| status == 200) {
                    answered += 1;
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            slowest = slowest.max(started.elapsed());
        }
    }
    assert_eq!(answered, 2 * ROUNDS, "slowest request took {slowest:?}");
}
