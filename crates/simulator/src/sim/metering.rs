//! Kinds and sizes of events and effects, as the meter records them. Sizes are in bytes of message bodies, without
//! HTTP headers.

use jaspertiller::controller::{Effect, Event};
use jaspertiller::fleet::CloudCall;
use jaspertiller::peers::Message;
use jaspertiller::store::{Mutation, StoreCall, StoreResponse, Transaction, Update};
use jaspertiller::workers::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

use crate::live::workers::heartbeat_body;
use crate::meter::{Direction, NodeMeter};

/// Approximate size in bytes of the JSON around each entry, change or condition.
const ENTRY_OVERHEAD: usize = 24;
/// Approximate size in bytes of a response without content.
const EMPTY_RESPONSE: usize = 28;

/// The kind of an event, and the size in bytes of the message that carried it.
pub(super) fn describe_event(event: &Event) -> (&'static str, usize) {
    match event {
        Event::Tick => ("tick", 0),
        Event::Store { response, .. } => (response_kind(response), response_bytes(response)),
        Event::Cloud { .. } => ("cloud answer", 0),
        Event::Peer { message, .. } => (peer_kind(message), bitcode::encode(message).len()),
        Event::Heartbeat { heartbeat, .. } => ("report", heartbeat_bytes(heartbeat)),
        Event::Submit { .. } => ("submission", 0),
        Event::Poll { .. } => ("poll", 0),
        Event::Cancel { .. } => ("cancellation", 0),
        Event::Ready { .. } => ("probe", 0),
        Event::Inspected { .. } => ("inspection", 0),
        Event::DirectReply { answer, .. } => {
            let heartbeat = answer.as_ref().and_then(|answer| answer.heartbeat.as_ref());
            ("direct answer", heartbeat.map_or(0, heartbeat_bytes))
        }
    }
}

/// Records the message that an effect sends, if any, and each change of a transaction.
pub(super) fn record_sent(meter: &mut NodeMeter, effect: &Effect) {
    let (kind, bytes) = match effect {
        Effect::Store { call, .. } => (call_kind(call), call_bytes(call)),
        Effect::Cloud { call, .. } => (cloud_kind(call), 0),
        Effect::Peer { message, .. } => (peer_kind(message), bitcode::encode(message).len()),
        Effect::DirectCommands { commands, .. } => ("direct orders", commands_bytes(commands)),
        Effect::Worker { answer, .. } => match answer {
            HeartbeatResponse::Commands { commands, .. } => {
                ("report answer", commands_bytes(commands))
            }
            _ => ("report sent on", EMPTY_RESPONSE),
        },
        Effect::User { .. } => ("user answer", 0),
        Effect::Inspect { .. } | Effect::SetWriteLimit { .. } | Effect::Ready { .. } => return,
    };
    meter.message(Direction::Sent, kind, bytes);
    if let Effect::Store {
        call: StoreCall::Transaction(txn),
        ..
    } = effect
    {
        for _ in &txn.changes {
            meter.message(Direction::Sent, "change", 0);
        }
    }
}

fn heartbeat_bytes(heartbeat: &Heartbeat) -> usize {
    heartbeat_body(heartbeat).to_string().len()
}

fn commands_bytes(commands: &[WorkerCommand]) -> usize {
    EMPTY_RESPONSE + serde_json::to_string(commands).map_or(0, |text| text.len())
}

fn response_kind(response: &StoreResponse) -> &'static str {
    match response {
        StoreResponse::Updates { .. } => "watch answer",
        StoreResponse::Page { .. } => "list page",
        _ => "state answer",
    }
}

fn response_bytes(response: &StoreResponse) -> usize {
    match response {
        StoreResponse::Updates { updates, .. } => updates
            .iter()
            .map(|update| match update {
                Update::Put(entry) => entry.key.len() + entry.data.get().len() + ENTRY_OVERHEAD,
                Update::Deleted { key, .. } => key.len() + ENTRY_OVERHEAD,
            })
            .sum(),
        StoreResponse::Page { entries, .. } => entries
            .iter()
            .map(|entry| entry.key.len() + entry.data.get().len() + ENTRY_OVERHEAD)
            .sum(),
        _ => EMPTY_RESPONSE,
    }
}

fn call_kind(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Transaction(_) => "transaction",
        StoreCall::Watch { .. } => "watch",
        StoreCall::List { .. } => "list",
        StoreCall::ReadRevision => "revision read",
        StoreCall::Grant { .. } | StoreCall::Renew(_) | StoreCall::Revoke(_) => "lease call",
    }
}

fn call_bytes(call: &StoreCall) -> usize {
    match call {
        StoreCall::Transaction(txn) => transaction_bytes(txn),
        _ => 0,
    }
}

fn transaction_bytes(txn: &Transaction) -> usize {
    let conditions = txn.conditions.iter();
    let conditions: usize = conditions.map(|(key, _)| key.len() + ENTRY_OVERHEAD).sum();
    let changes = txn.changes.iter().map(|change| match change {
        Mutation::Put { key, data, .. } => key.len() + data.len() + ENTRY_OVERHEAD,
        Mutation::Delete { key } => key.len() + ENTRY_OVERHEAD,
    });
    conditions + changes.sum::<usize>()
}

fn cloud_kind(call: &CloudCall) -> &'static str {
    match call {
        CloudCall::MachineTypes => "cloud types",
        CloudCall::List { .. } => "cloud list",
        CloudCall::Rent { .. } => "cloud rental",
        CloudCall::Delete(_) => "cloud deletion",
    }
}

fn peer_kind(message: &Message) -> &'static str {
    match message {
        Message::Hello { .. } => "peer hello",
        Message::Status(_) => "peer status",
        Message::TasksDeparted(_) => "peer left",
        Message::TaskFailed { .. } => "peer failed",
        Message::Unplaced { .. } => "peer unplaced",
        Message::Place { .. } => "peer place",
        Message::Preempt { .. } => "peer make room",
    }
}
