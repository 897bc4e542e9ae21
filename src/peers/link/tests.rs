use tokio::net::TcpListener;

use super::incoming::serve_incoming;
use super::outgoing::run_outgoing;
use super::*;

/// Guards against a connection whose peer is gone while the socket still accepts frames: after a controller
/// restarted during a zone partition, the leader received nothing for minutes.
#[tokio::test(start_paused = true)]
async fn a_connection_without_acknowledgements_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    tokio::spawn(run_outgoing("n0".into(), address, messages));
    let (unresponsive, _) = listener.accept().await.unwrap();
    for job in ["job-1", "job-2"] {
        let job = job.to_string();
        sender.send(Message::Unplaced { job }).await.unwrap();
    }
    let (inbox, mut received) = mpsc::channel(MAX_QUEUED_MESSAGES);
    tokio::spawn(async move {
        // The first connection stays open and is never read.
        let _unresponsive = unresponsive;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_incoming(stream, inbox.clone()));
        }
    });
    let job = "job-3".to_string();
    while received.try_recv().is_err() {
        let _ = sender.try_send(Message::Unplaced { job: job.clone() });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
