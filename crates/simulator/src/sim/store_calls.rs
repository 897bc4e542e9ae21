//! Calls of controllers to the store: priority lanes, faults on the way, execution and watches.

use jaspertiller::controller::Event;
use jaspertiller::settings::Settings;
use jaspertiller::store::lanes::{Lanes, NextCall};
use jaspertiller::store::{CallClass, Mutation, StoreCall, StoreResponse, Transaction};
use jaspertiller::types::{Millis, Revision};
use rand::Rng;

use super::World;
use super::faults::Blocked;
use super::message::{ProcessId, QueuedStoreCall, Reply, ScheduledMessage};

/// A controller gives up on a store call after this many milliseconds.
const STORE_CALL_TIMEOUT: u64 = 2_500;
/// One-way latency of a store response, in milliseconds.
const STORE_RESPONSE_DELAY: u64 = 3;
/// A late write that arrives during an outage is retried after this many milliseconds.
const LATE_WRITE_RETRY_INTERVAL: u64 = 500;
/// Extra delay in milliseconds of a transaction that is applied late and also loses its response.
const LOST_RESPONSE_DELAY: u64 = 4_000;
/// Entries per page of a list of the store; small, so that a list takes several pages.
const PAGE_SIZE: usize = 40;
/// Prefix of the scheduler's keys.
const KEY_PREFIX: &str = "jt/";

/// An open watch: the controller process, and the tag under which it expects the response.
pub(super) struct OpenWatch {
    process: ProcessId,
    tag: u64,
}

/// Empty lanes for a controller's store calls, created at `now` in milliseconds.
pub(super) fn store_lanes(settings: &Settings, now: u64) -> Lanes<(u64, StoreCall)> {
    let state = &settings.deployment.state;
    Lanes::new(state, settings.controllers(), Millis(now))
}

/// The keys that a call writes; empty if it only reads or deletes.
fn written_keys(call: &StoreCall) -> Vec<String> {
    let StoreCall::Transaction(transaction) = call else {
        return Vec::new();
    };
    let put_key = |change: &Mutation| match change {
        Mutation::Put { key, .. } => Some(key.clone()),
        Mutation::Delete { .. } => None,
    };
    transaction.changes.iter().filter_map(put_key).collect()
}

impl World {
    /// Sends the calls that a controller's budget allows now.
    pub(super) fn send_store_calls(&mut self, controller: usize) {
        let now = self.now;
        loop {
            match self.store_lanes[controller].next(Millis(now)) {
                NextCall::Start(call) => self.send_store_call(controller, call),
                NextCall::Refuse((tag, _)) => {
                    self.respond_at(controller, tag, StoreResponse::Refused, now + 1);
                }
                NextCall::Wait(wait) => {
                    return self.schedule_budget_check(controller, now + wait.0);
                }
                NextCall::Nothing => return,
            }
        }
    }

    /// Schedules a budget check unless an earlier one is scheduled already.
    fn schedule_budget_check(&mut self, controller: usize, at: u64) {
        let scheduled = self.next_budget_check[controller];
        if scheduled <= self.now || at < scheduled {
            self.next_budget_check[controller] = at;
            let process = self.process(controller);
            self.post(at, ScheduledMessage::BudgetCheck(process));
        }
    }

    fn respond_at(&mut self, controller: usize, tag: u64, answer: StoreResponse, at: u64) {
        self.send_to(
            controller,
            at,
            Event::Store {
                tag,
                response: answer,
            },
        );
    }

    fn time_out_store_call(&mut self, controller: usize, tag: u64) {
        let at = self.now + STORE_CALL_TIMEOUT;
        self.respond_at(controller, tag, StoreResponse::Unknown, at);
    }

    /// Sends one call to the store, subject to refusals, late writes, lost responses and cuts.
    fn send_store_call(&mut self, controller: usize, call: QueuedStoreCall) {
        let now = self.now;
        let delay = self.store_call_delay();
        let (sender, tag) = (self.process(controller), call.payload.0);
        if self.refused_until(controller).is_some() {
            return self.respond_at(controller, tag, StoreResponse::Refused, now + delay);
        }
        if let StoreCall::Transaction(transaction) = &call.payload.1
            && self.store_faults.late_write_share > 0.0
            && self.store_cut(controller).is_none()
            && self.rng.random_bool(self.store_faults.late_write_share)
        {
            let at = now + self.rng.random_range(2_000..12_000);
            self.post(at, ScheduledMessage::LateWrite(transaction.clone()));
            return self.time_out_store_call(controller, tag);
        }
        let is_transaction = matches!(call.payload.1, StoreCall::Transaction(_));
        let is_lost = is_transaction && self.rng.random_bool(self.store_faults.lost_response_share);
        let is_late = is_lost && self.rng.random_bool(0.5);
        let (at, reply) = match self.store_cut(controller) {
            Some(cut) if cut.hold && is_transaction => (Some(cut.until + 1), Reply::Abandoned),
            Some(_) => (None, Reply::Abandoned),
            None => {
                let extra = if is_late { LOST_RESPONSE_DELAY } else { 0 };
                let reply = if is_lost {
                    Reply::Abandoned
                } else {
                    Reply::Expected
                };
                (Some(now + delay + extra), reply)
            }
        };
        if let Some(at) = at {
            let message = ScheduledMessage::StoreCall {
                sender,
                call,
                reply,
            };
            self.post(at, message);
        }
        if !reply.is_expected() {
            self.time_out_store_call(controller, tag);
        }
    }

    /// Draws the latency of a call to the store, in milliseconds.
    fn store_call_delay(&mut self) -> u64 {
        let now = self.now;
        let slow = self.store_faults.slow.clone();
        let slow = slow.filter(|slow| now < slow.until);
        let extra = slow.map_or(0, |slow| self.rng.random_range(slow.delay_ms));
        2 + extra + self.rng.random_range(0..6)
    }

    /// Executes a call that arrives at the store, or refuses it because of the rate limit.
    pub(super) fn receive_store_call(
        &mut self,
        sender: ProcessId,
        call: QueuedStoreCall,
        reply: Reply,
    ) {
        let now = Millis(self.now);
        let writes = call.writes as usize;
        if writes > 0 && !self.is_store_down() && !self.store.allows(writes, now) {
            return self.throttle(sender, call, reply);
        }
        let (tag, call) = call.payload;
        let delay = STORE_RESPONSE_DELAY + self.late_answer_delay(&call);
        let written = written_keys(&call);
        let response = if self.is_store_down() {
            Some(match call {
                StoreCall::Watch { .. } => StoreResponse::Unknown,
                _ => StoreResponse::Refused,
            })
        } else {
            self.execute_store_call(sender, tag, call)
        };
        if let Some(answer) = response
            && reply.is_expected()
        {
            if let StoreResponse::Committed(revision) = answer
                && delay > STORE_RESPONSE_DELAY
            {
                let late = ScheduledMessage::LateAnswer { written, revision };
                self.post(self.now + delay, late);
            }
            let event = Box::new(Event::Store {
                tag,
                response: answer,
            });
            let message = ScheduledMessage::ControllerEvent {
                process: sender,
                event,
            };
            self.post(self.now + delay, message);
        }
    }

    /// Draws by how much the answer to a call is late, in milliseconds; only answers to transactions are.
    fn late_answer_delay(&mut self, call: &StoreCall) -> u64 {
        let late = self.store_faults.late_answers.clone();
        match late {
            Some(late)
                if matches!(call, StoreCall::Transaction(_))
                    && self.rng.random_bool(late.share) =>
            {
                self.rng.random_range(late.delay_ms)
            }
            _ => 0,
        }
    }

    /// Counts the late answer to a commit that wrote these keys at `revision`.
    pub(super) fn count_late_answer(&mut self, written: &[String], revision: Revision) {
        let is_outdated = |key: &String| {
            let current = self.store.get(key);
            current.is_none_or(|(_, version, _)| version != revision)
        };
        self.fault_counts.late_answers += 1;
        self.fault_counts.outdated_answers += u64::from(written.iter().any(is_outdated));
    }

    /// Handles a call above the store's rate limit: lease calls are refused, other calls go back to the sender's
    /// lanes.
    fn throttle(&mut self, sender: ProcessId, call: QueuedStoreCall, reply: Reply) {
        let controller = sender.controller;
        self.fault_counts.throttled_transactions += 1;
        if !reply.is_expected() {
            return;
        }
        if call.class == CallClass::Leases {
            let at = self.now + STORE_RESPONSE_DELAY;
            self.respond_at(controller, call.payload.0, StoreResponse::Refused, at);
        } else if self.is_current(sender) {
            self.store_lanes[controller].requeue_rate_limited(call, Millis(self.now));
            self.send_store_calls(controller);
        }
    }

    /// Executes a call. `None` for a watch, whose response is sent later.
    fn execute_store_call(
        &mut self,
        process: ProcessId,
        tag: u64,
        call: StoreCall,
    ) -> Option<StoreResponse> {
        let now = Millis(self.now);
        Some(match call {
            StoreCall::Grant { ttl_ms } => {
                StoreResponse::Granted(self.store.grant(Millis(ttl_ms), now))
            }
            StoreCall::Renew(lease_id) if self.store.renew(lease_id, now) => StoreResponse::Renewed,
            StoreCall::Renew(_) => StoreResponse::LeaseExpired,
            StoreCall::Revoke(lease_id) => {
                self.store.end(lease_id);
                StoreResponse::Revoked
            }
            StoreCall::ReadRevision => StoreResponse::Revision(Revision(self.store.revision)),
            StoreCall::List { after } => self.store.list(KEY_PREFIX, after.as_deref(), PAGE_SIZE),
            StoreCall::Watch { from, wait_ms } => {
                let id = self.store.watch(KEY_PREFIX, from, Millis(wait_ms), now);
                self.watches.insert(id, OpenWatch { process, tag });
                return None;
            }
            StoreCall::Transaction(transaction) => self.apply(transaction),
        })
    }

    fn apply(&mut self, transaction: Transaction) -> StoreResponse {
        if let Some(reason) = self.store.malformed(&transaction) {
            let violation = format!("malformed: {reason}: {transaction:?}");
            self.rules.violations.insert(violation);
        }
        self.store.apply(transaction)
    }

    /// Applies a late transaction, to which the sender gets no response. During an outage it is retried later.
    pub(super) fn apply_late_write(&mut self, transaction: Transaction) {
        if self.is_store_down() {
            let at = self.now + LATE_WRITE_RETRY_INTERVAL;
            self.post(at, ScheduledMessage::LateWrite(transaction));
        } else if matches!(self.store.apply(transaction), StoreResponse::Committed(_)) {
            self.fault_counts.late_writes_committed += 1;
        } else {
            self.fault_counts.late_writes_rejected += 1;
        }
    }

    /// Sends the responses of all watches that have one.
    pub(super) fn respond_to_watches(&mut self) {
        for (id, response) in self.store.woken() {
            if let Some(watch) = self.watches.remove(&id) {
                self.respond_to_watch(watch, response);
            }
        }
    }

    /// Sends a watch's response. During a refusal or a cut that holds messages it arrives afterwards; during any other
    /// cut it is lost and the call times out.
    fn respond_to_watch(&mut self, watch: OpenWatch, response: StoreResponse) {
        let OpenWatch { process, tag } = watch;
        let refused = self.refused_until(process.controller);
        let refused = refused.map(|until| Blocked { until, hold: true });
        let (at, answer) = match refused.or_else(|| self.store_cut(process.controller)) {
            Some(Blocked { until, hold: true }) => (until + STORE_RESPONSE_DELAY, response),
            Some(_) => (self.now + STORE_CALL_TIMEOUT, StoreResponse::Unknown),
            None => (self.now + STORE_RESPONSE_DELAY, response),
        };
        let event = Box::new(Event::Store {
            tag,
            response: answer,
        });
        self.post(at, ScheduledMessage::ControllerEvent { process, event });
    }
}
