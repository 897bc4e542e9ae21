//! Both ends of HTTP on loopback: a service with scripted responses, and a client that shows the
//! responses of the daemon's server.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use jaspertiller::clock::Clock;
use jaspertiller::daemon::Request;
use jaspertiller::http_server;
use jaspertiller::jobs::api::Response;
use jaspertiller::sockets::IdleTimeouts;
use jaspertiller::types::Millis;
use jaspertiller::workers::wire::HeartbeatResponse;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

pub(crate) async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// `method path body`, without the body if it is empty.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    let (request_line, _) = line.trim_end().rsplit_once(' ')?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).await.ok()?;
        match header.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().ok()?;
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(format!("{request_line} {body}").trim_end().to_string())
}

/// A service that returns these responses, `status body`, in order, and reports the requests that it
/// received.
pub(crate) async fn service(answers: Vec<String>) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, received) = mpsc::unbounded_channel();
    let answers = Arc::new(Mutex::new(VecDeque::from(answers)));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (sender, answers) = (sender.clone(), answers.clone());
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                while let Some(request) = read_request(&mut stream).await {
                    let _ = sender.send(request);
                    let Some(answer) = answers.lock().unwrap().pop_front() else {
                        return;
                    };
                    let (status, body) = answer.split_once(' ').unwrap_or((&answer, ""));
                    let length = body.len();
                    let text =
                        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, received)
}

/// The next scripted reply of the controller.
pub(crate) enum Reply {
    User(Response),
    Worker(HeartbeatResponse),
    Ready(bool),
}

/// The daemon's server in front of a controller with scripted replies. Reports the users' requests as
/// the server decoded them.
pub(crate) async fn server(replies: Vec<Reply>) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let address = free_address().await;
    let (inbox, mut requests) = mpsc::channel(64);
    let (sender, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut replies = replies.into_iter();
        while let Some(request) = requests.recv().await {
            // Without a reply the server tells the client to retry.
            let _ = match (request, replies.next()) {
                (Request::Submit { submission, reply }, Some(Reply::User(response))) => {
                    let job = submission.map(|(job, _)| job.to_string());
                    let _ = sender.send(format!("submit {}", job.unwrap_or("refused".into())));
                    reply.send(response).is_ok()
                }
                (Request::Poll { job, reply }, Some(Reply::User(response))) => {
                    let _ = sender.send(format!("poll {job}"));
                    reply.send(response).is_ok()
                }
                (Request::Abort { job, reply }, Some(Reply::User(response))) => {
                    let _ = sender.send(format!("abort {job}"));
                    reply.send(response).is_ok()
                }
                (Request::Heartbeat { heartbeat, reply }, Some(Reply::Worker(answer))) => {
                    let _ = sender.send(format!("report {}", heartbeat.machine_id));
                    reply.send(answer).is_ok()
                }
                (Request::Ready { reply }, Some(Reply::Ready(ready))) => {
                    let _ = sender.send("ready".into());
                    reply.send(ready).is_ok()
                }
                _ => false,
            };
        }
    });
    let idle_timeouts = IdleTimeouts::for_heartbeats_every(Millis(3_000));
    tokio::spawn(http_server::serve(
        address,
        inbox,
        64,
        idle_timeouts,
        Clock::start(),
    ));
    (address, received)
}

/// Sends a request to the server; returns `status body`, with the Retry-After value in between if present.
pub(crate) async fn ask(address: SocketAddr, request_line: &str, body: &str) -> String {
    let mut stream = loop {
        match TcpStream::connect(address).await {
            Ok(stream) => break stream,
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    };
    let length = body.len();
    let request = format!(
        "{request_line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
    let status = head.split(' ').nth(1).unwrap_or_default();
    let header = |wanted: &str| {
        let mut headers = head.lines().filter_map(|line| line.split_once(": "));
        headers
            .find(|(name, _)| name.eq_ignore_ascii_case(wanted))
            .map(|(_, value)| value)
    };
    let mut shown = status.to_string();
    if let Some(seconds) = header("retry-after") {
        shown += &format!(" (retry after {seconds})");
    }
    if !body.is_empty() {
        assert_eq!(
            header("content-type"),
            Some("application/json"),
            "{request_line}"
        );
        shown += &format!(" {body}");
    }
    shown
}
