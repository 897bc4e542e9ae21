//! What the meter notes of each event and effect. Sizes are those of bodies, without HTTP's headers.

use jaspertiller::controller::{Effect, Event};
use jaspertiller::fleet::CloudCall;
use jaspertiller::peers::Message;
use jaspertiller::store::{Mutation, StoreCall, StoreResponse, Transaction, Update};
use jaspertiller::workers::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};

use crate::live::workers::heartbeat_body;
use crate::meter::{Direction, NodeMeter};

/// JSON around each order, change or condition, about.
const ENTRY_OVERHEAD: usize = 24;
/// JSON around an answer that has nothing in it, about.
const EMPTY_ANSWER: usize = 28;

/// The kind of an event, and the size of the message that brought it.
pub(super) fn received(event: &Event) -> (&'static str, usize) {
    match event {
        Event::Tick => ("tick", 0),
        Event::Store {
            response: answer, ..
        } => (answer_kind(answer), answer_bytes(answer)),
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

/// Notes a message that a controller sends.
pub(super) fn sent(meter: &mut NodeMeter, effect: &Effect) {
    let (kind, bytes) = match effect {
        Effect::Store { call, .. } => (call_kind(call), call_bytes(call)),
        Effect::Cloud { call, .. } => (cloud_kind(call), 0),
        Effect::Peer { message, .. } => (peer_kind(message), bitcode::encode(message).len()),
        Effect::DirectCommands { commands, .. } => ("direct orders", commands_bytes(commands)),
        Effect::Worker { answer, .. } => match answer {
            HeartbeatResponse::Commands { commands, .. } => {
                ("report answer", commands_bytes(commands))
            }
            _ => ("report sent on", EMPTY_ANSWER),
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
    EMPTY_ANSWER + serde_json::to_string(commands).map_or(0, |text| text.len())
}

fn answer_kind(answer: &StoreResponse) -> &'static str {
    match answer {
        StoreResponse::Updates { .. } => "watch answer",
        StoreResponse::Page { .. } => "list page",
        _ => "state answer",
    }
}

fn answer_bytes(answer: &StoreResponse) -> usize {
    match answer {
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
        _ => EMPTY_ANSWER,
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
