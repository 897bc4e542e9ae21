//! Pending replies: requests that the controller has not answered yet.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::jobs::api::Response;
use crate::types::ReplyId;
use crate::workers::wire::HeartbeatResponse;

/// Where a reply goes, by the kind of its request.
pub(super) enum PendingReply {
    /// To a user.
    User(oneshot::Sender<Response>),
    /// To a worker.
    Worker(oneshot::Sender<HeartbeatResponse>),
    /// To a health check.
    Ready(oneshot::Sender<bool>),
}

/// All pending replies; each is removed when it is sent.
#[derive(Default)]
pub(super) struct PendingReplies {
    pending: HashMap<ReplyId, PendingReply>,
    last_id: u64,
}

impl PendingReplies {
    /// Stores where a reply goes, and returns the id by which the controller refers to it.
    pub(super) fn insert(&mut self, reply: PendingReply) -> ReplyId {
        self.last_id += 1;
        let id = ReplyId(self.last_id);
        self.pending.insert(id, reply);
        id
    }

    /// Sends a reply to a user.
    pub(super) fn send_to_user(&mut self, id: ReplyId, response: Response) {
        if let Some(PendingReply::User(sender)) = self.pending.remove(&id) {
            deliver(sender, response);
        }
    }

    /// Sends a reply to a worker.
    pub(super) fn send_to_worker(&mut self, id: ReplyId, response: HeartbeatResponse) {
        if let Some(PendingReply::Worker(sender)) = self.pending.remove(&id) {
            deliver(sender, response);
        }
    }

    /// Replies to a health check.
    pub(super) fn send_readiness(&mut self, id: ReplyId, ready: bool) {
        if let Some(PendingReply::Ready(sender)) = self.pending.remove(&id) {
            deliver(sender, ready);
        }
    }
}

fn deliver<T>(sender: oneshot::Sender<T>, reply: T) {
    // The requester may have disconnected meanwhile; its reply is dropped then.
    let _ = sender.send(reply);
}
