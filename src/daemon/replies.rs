//! Pending replies: the channels of requests that the controller has not answered yet.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::jobs::api::Response;
use crate::types::ReplyId;
use crate::workers::wire::HeartbeatResponse;

/// The channel for a reply, by the kind of its request.
pub(super) enum PendingReply {
    /// To a user.
    User(oneshot::Sender<Response>),
    /// To a worker.
    Worker(oneshot::Sender<HeartbeatResponse>),
    /// To a health check.
    Ready(oneshot::Sender<bool>),
}

/// All pending replies. An entry is removed when its reply is sent.
#[derive(Default)]
pub(super) struct PendingReplies {
    pending: HashMap<ReplyId, PendingReply>,
    last_id: u64,
}

impl PendingReplies {
    /// Adds a pending reply, and returns the id by which the controller refers to it.
    pub(super) fn insert(&mut self, reply: PendingReply) -> ReplyId {
        self.last_id += 1;
        let id = ReplyId(self.last_id);
        self.pending.insert(id, reply);
        id
    }

    /// Sends the reply to a user; ignored if the id is of no pending reply to a user.
    pub(super) fn send_to_user(&mut self, id: ReplyId, response: Response) {
        if let Some(PendingReply::User(sender)) = self.pending.remove(&id) {
            deliver(sender, response);
        }
    }

    /// Sends the reply to a worker; ignored if the id is of no pending reply to a worker.
    pub(super) fn send_to_worker(&mut self, id: ReplyId, response: HeartbeatResponse) {
        if let Some(PendingReply::Worker(sender)) = self.pending.remove(&id) {
            deliver(sender, response);
        }
    }

    /// Sends the reply to a health check; ignored if the id is of no pending reply to a health check.
    pub(super) fn send_readiness(&mut self, id: ReplyId, ready: bool) {
        if let Some(PendingReply::Ready(sender)) = self.pending.remove(&id) {
            deliver(sender, ready);
        }
    }
}

fn deliver<T>(sender: oneshot::Sender<T>, reply: T) {
    // The requester may have disconnected meanwhile; then the reply is dropped.
    let _ = sender.send(reply);
}
