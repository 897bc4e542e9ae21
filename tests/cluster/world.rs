//! Stand-ins for the state service, the cloud and the workers, in virtual time and with seeded
//! luck, round three whole controllers. The world checks the rules itself.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use jaspertiller::controller::{Controller, DirectAnswer, Effect, Event};
use jaspertiller::fleet::{CloudAnswer, CloudCall, Listed, Stage, wire::FlavorsBody};
use jaspertiller::jobs::api::{self, Response};
use jaspertiller::peers::Message;
use jaspertiller::settings::Settings;
use jaspertiller::store::{Answer, Call, Change, Entry, Update};
use jaspertiller::types::*;
use jaspertiller::workers::wire::{Cause, Order, Pick, Report, ReportAnswer, TaskStage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, value::RawValue};

pub const NODES: usize = 5;
const LEASE_MS: u64 = 12_000;
const CANCEL_MS: u64 = 30_000;
const REPORT_MS: u64 = 1_500;
const GANG_WAIT_MS: u64 = 20_000;
/// `until` of a task that runs as long as its gang does.
const RUNS_WITH_GANG: u64 = u64::MAX - 1;
const GPUS: f64 = 4.0;

/// Which guard of the world is taken out, to see that its checks can fail.
#[derive(Clone, Copy, Default)]
pub struct Broken {
    /// The state service ignores conditions.
    pub conditions: bool,
    /// Workers keep their tasks when their lease is over.
    pub leases: bool,
}

/// What can't reach what, and until when.
#[derive(Clone)]
pub struct Cut {
    pub node: usize,
    pub from_store: bool,
    pub from_workers: bool,
    pub from_peers: bool,
    pub since: u64,
    pub until: u64,
    /// Held and delivered at the end, instead of lost.
    pub hold: bool,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    keys: BTreeMap<String, (String, u64, Option<u64>)>,
    changes: Vec<(String, Option<String>, u64)>,
    leases: HashMap<u64, (u64, u64)>,
    watches: Vec<(usize, u64, u64, u64, u64)>,
}

#[derive(Clone)]
struct WorkerTask {
    attempt: u64,
    stage: TaskStage,
    cause: Option<Cause>,
    /// When the present stage ends.
    until: u64,
}

struct Worker {
    zone: String,
    spot: bool,
    up_at: u64,
    session: u64,
    tally: u64,
    baton: u64,
    lease_from: u64,
    node: usize,
    next_report: u64,
    in_flight: Option<u64>,
    tasks: BTreeMap<String, WorkerTask>,
    /// Jobs whose image is here; only where fetches are slow.
    images: HashSet<String>,
    dead: bool,
    sick: bool,
    unreachable_until: u64,
}

pub struct JobPlan {
    pub body: serde_json::Value,
    pub run_ms: u64,
}

enum Msg {
    Tick(usize, u64),
    /// To a node, if it is still the same process.
    Node(usize, u64, Box<Event>),
    Store(usize, u64, u64, Call, bool),
    Direct(usize, u64, HostId, u64, u64, Vec<Order>, bool),
    Answer(HostId, u64, usize, ReportAnswer),
    Report(HostId, u64, usize),
    Worker(HostId),
    Submit(usize),
    Poll(String),
    Abort(String),
    Restart(usize),
}

enum Owed {
    Worker(HostId, u64),
    Submit(usize),
    Poll(String),
    Abort(String),
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub broken: Broken,
    queue: BinaryHeap<(Reverse<(u64, u64)>, usize)>,
    messages: HashMap<usize, Msg>,
    next: usize,
    nodes: Vec<Option<Controller>>,
    epochs: Vec<u64>,
    settings: Vec<Arc<Settings>>,
    owed: HashMap<ReplyId, Owed>,
    store: StoreState,
    pub outages: Vec<(u64, u64)>,
    pub cuts: Vec<Cut>,
    /// Share of transactions whose answer is lost, and that may be applied seconds late.
    pub lost_answers: f64,
    /// Fetches may take longer than a gang's task waits for the others.
    pub slow_fetches: bool,
    workers: BTreeMap<HostId, Worker>,
    rentals: HashMap<String, Vec<HostId>>,
    pub cloud_down: Vec<(u64, u64)>,
    pub jobs: Vec<JobPlan>,
    pub accepted: HashSet<String>,
    pub done: HashSet<String>,
    pub aborted: HashMap<String, u64>,
    wanted_aborts: HashSet<String>,
    completed: HashSet<String>,
    /// When the running gang of each job completes, by the prefix of its tasks.
    gang_ends: HashMap<String, u64>,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Machines that were well, reachable and at work when they were deleted.
    pub deleted_at_work: u64,
    quota: HashMap<String, f64>,
}

fn settings(index: usize) -> Settings {
    let label = |i: usize| format!("n{i}");
    let address = |i: usize| format!("10.0.0.{i}:1");
    let zones = ["a", "b", "a", "b", "a"];
    let members: Vec<_> = (0..NODES)
        .filter(|i| *i != index)
        .map(|i| json!({"label": label(i), "zone": zones[i], "address": address(i)}))
        .collect();
    let text = json!({
        "label": label(index), "zone": zones[index], "public_addr": address(index),
        "peer_bind": address(index), "members": members,
        "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "deployment": {"count": NODES, "zones": ["a", "b"], "objectives": [],
            "teams": [
                {"name": "small", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 6.0},
                {"name": "large", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": REPORT_MS as f64 / 1e3, "lease_s": LEASE_MS as f64 / 1e3,
                "gang_wait_s": 20.0, "gang_peer_s": 3.0, "cancel_s": CANCEL_MS as f64 / 1e3},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 4.0},
            "quota": {"cores": 0.2, "mem_mb": 100.0, "sockets": 1000}, "clock_error_ms": 100.0}
    });
    Settings::parse("settings", &text.to_string()).unwrap()
}

/// A job of the world's user: `gpus` a task, `run_ms` each; services run until cancelled.
pub fn job(id: usize, team: &str, shape: &str, tasks: u32, run_ms: u64) -> JobPlan {
    let body = json!({"id": format!("job-{id:06}"), "lot": "x", "crew": if team == "whole" { "large" } else { team }, "shape": shape,
        "rank": if shape == "sweep" { "normal" } else { "urgent" }, "picks": tasks,
        "vcpus": 1.0, "accelerators": if team == "whole" { GPUS } else { 1.0 }, "memoryGb": 1.0, "kit": "img", "sizeGb": 1.0,
        "rigs": null, "yard": null, "oneZone": shape == "gang", "spread": shape == "standing",
        "loaners": shape == "sweep", "expectS": run_ms as f64 / 1e3,
        "markS": if shape == "sweep" { 2.0 } else { 0.0 }, "stashS": 1.0, "dueS": null});
    JobPlan { body, run_ms }
}

impl World {
    pub fn new(seed: u64, jobs: Vec<JobPlan>) -> Self {
        let settings: Vec<_> = (0..NODES).map(|i| Arc::new(settings(i))).collect();
        let mut world = Self {
            now: 1,
            rng: SmallRng::seed_from_u64(seed),
            broken: Broken::default(),
            queue: BinaryHeap::new(),
            messages: HashMap::new(),
            next: 0,
            nodes: (0..NODES).map(|_| None).collect(),
            epochs: vec![0; NODES],
            settings,
            owed: HashMap::new(),
            store: StoreState {
                revision: 1,
                ..StoreState::default()
            },
            outages: Vec::new(),
            cuts: Vec::new(),
            lost_answers: 0.0,
            slow_fetches: false,
            workers: BTreeMap::new(),
            rentals: HashMap::new(),
            cloud_down: Vec::new(),
            jobs,
            accepted: HashSet::new(),
            done: HashSet::new(),
            aborted: HashMap::new(),
            wanted_aborts: HashSet::new(),
            completed: HashSet::new(),
            gang_ends: HashMap::new(),
            violations: Vec::new(),
            starts: 0,
            deleted_at_work: 0,
            quota: HashMap::from([("small".into(), 6.0)]),
        };
        for node in 0..NODES {
            world.post(1 + node as u64, Msg::Restart(node));
        }
        for index in 0..world.jobs.len() {
            let at = 500 + world.rng.random_range(0..30_000);
            world.post(at, Msg::Submit(index));
        }
        world
    }

    fn post(&mut self, at: u64, msg: Msg) {
        self.next += 1;
        let id = self.next;
        self.messages.insert(id, msg);
        self.queue
            .push((Reverse((at.max(self.now), id as u64)), id));
    }

    pub fn crash(&mut self, node: usize, at: u64, back_after: u64) {
        // A restart ends whatever process runs then.
        self.post(at, Msg::Restart(node + NODES));
        self.post(at + back_after, Msg::Restart(node));
    }

    pub fn abort_at(&mut self, at: u64, job: usize) {
        let id = self.jobs[job].body["id"].as_str().unwrap().to_string();
        self.post(at, Msg::Abort(id));
    }

    pub fn kill_worker(&mut self, index: usize) {
        if let Some(worker) = self.workers.values_mut().filter(|w| !w.dead).nth(index) {
            worker.dead = true;
            worker.tasks.clear();
        }
    }

    /// These machines reach nobody for a while.
    pub fn cut_workers(&mut self, indices: &[usize], from: u64, until: u64) {
        self.run_until(from);
        for (_, worker) in self
            .workers
            .iter_mut()
            .enumerate()
            .filter(|(i, _)| indices.contains(i))
        {
            worker.1.unreachable_until = until;
        }
    }

    pub fn make_sick(&mut self, index: usize) {
        if let Some(worker) = self.workers.values_mut().filter(|w| !w.dead).nth(index) {
            worker.sick = true;
        }
    }

    /// Until when a message from or to a node is kept back; `None`: it passes.
    fn blocked(&self, node: usize, which: fn(&Cut) -> bool) -> Option<&Cut> {
        let now = self.now;
        self.cuts
            .iter()
            .find(|c| c.node == node && which(c) && c.since <= now && now < c.until)
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some((Reverse((at, _)), id)) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            self.expire_leases();
            let msg = self.messages.remove(&id).unwrap();
            self.deliver(msg);
        }
        self.now = end;
    }

    fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Restart(node) if node >= NODES => self.nodes[node - NODES] = None,
            Msg::Restart(node) => {
                self.epochs[node] += 1;
                let seed = self.rng.random();
                self.nodes[node] = Some(Controller::new(self.settings[node].clone(), seed));
                self.post(self.now + 1, Msg::Tick(node, self.epochs[node]));
            }
            Msg::Tick(node, epoch) => {
                if self.epochs[node] == epoch && self.nodes[node].is_some() {
                    self.handle(node, Event::Tick);
                    self.post(self.now + 100, Msg::Tick(node, epoch));
                }
            }
            Msg::Node(node, epoch, event) => {
                if self.epochs[node] == epoch {
                    self.handle(node, *event);
                }
            }
            Msg::Store(node, epoch, tag, call, reply) => {
                self.store_call(node, epoch, tag, call, reply)
            }
            Msg::Direct(node, epoch, host, token, session, orders, reply) => {
                self.direct(node, epoch, host, token, session, orders, reply);
            }
            Msg::Worker(host) => self.worker_step(&host),
            Msg::Report(host, tally, node) => self.report_arrives(host, tally, node),
            Msg::Answer(host, tally, node, answer) => {
                self.answer_arrives(&host, tally, node, answer)
            }
            Msg::Submit(index) => {
                let node = self.rng.random_range(0..NODES);
                let submission = api::parse(self.jobs[index].body.to_string().as_bytes());
                let reply = self.owe(Owed::Submit(index));
                self.handle(node, Event::Submit { reply, submission });
                // A user who hears nothing asks again.
                self.post(self.now + 5_000, Msg::Submit(index));
            }
            Msg::Poll(id) => {
                let node = self.rng.random_range(0..NODES);
                let reply = self.owe(Owed::Poll(id.clone()));
                self.handle(
                    node,
                    Event::Poll {
                        reply,
                        job: id.as_str().into(),
                    },
                );
                self.post(self.now + 2_000, Msg::Poll(id));
            }
            Msg::Abort(id) => {
                if self.aborted.contains_key(&id) || self.done.contains(&id) {
                    return;
                }
                self.wanted_aborts.insert(id.clone());
                let node = self.rng.random_range(0..NODES);
                let reply = self.owe(Owed::Abort(id.clone()));
                self.handle(
                    node,
                    Event::Abort {
                        reply,
                        job: id.as_str().into(),
                    },
                );
                self.post(self.now + 2_000, Msg::Abort(id));
            }
        }
    }

    fn owe(&mut self, owed: Owed) -> ReplyId {
        self.next += 1;
        let reply = ReplyId(self.next as u64);
        self.owed.insert(reply, owed);
        reply
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = Millis(self.now);
        let Some(controller) = &mut self.nodes[node] else {
            return;
        };
        let effects = controller.handle(event, now);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn send_to(&mut self, node: usize, at: u64, event: Event) {
        let epoch = self.epochs[node];
        self.post(at, Msg::Node(node, epoch, Box::new(event)));
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let delay = 2 + self.rng.random_range(0..6);
        match effect {
            Effect::Store { tag, call, .. } => {
                let epoch = self.epochs[node];
                let txn = matches!(call, Call::Txn(_));
                let lost = txn && self.rng.random_bool(self.lost_answers);
                let late = if lost && self.rng.random_bool(0.5) {
                    4_000
                } else {
                    0
                };
                match self.blocked(node, |c| c.from_store).cloned() {
                    Some(cut) => {
                        if cut.hold && txn {
                            self.post(cut.until + 1, Msg::Store(node, epoch, tag, call, false));
                        }
                        let answer = Answer::Unknown;
                        self.send_to(node, self.now + 2_500, Event::Store { tag, answer });
                    }
                    None => {
                        self.post(
                            self.now + delay + late,
                            Msg::Store(node, epoch, tag, call, !lost),
                        );
                        if lost {
                            let answer = Answer::Unknown;
                            self.send_to(node, self.now + 2_500, Event::Store { tag, answer });
                        }
                    }
                }
            }
            Effect::Cloud { tag, call } => {
                let answer = self.cloud(call);
                self.send_to(node, self.now + 80, Event::Cloud { tag, answer });
            }
            Effect::Peer { to, message } => {
                let target = (0..NODES).find(|i| format!("n{i}") == to.as_str()).unwrap();
                let cut = |w: &Self, n| w.blocked(n, |c| c.from_peers).is_some();
                if !cut(self, node) && !cut(self, target) && self.nodes[target].is_some() {
                    let from = NodeId::from(format!("n{node}"));
                    let frame = bitcode::encode(&message);
                    let message: Message = bitcode::decode(&frame).unwrap();
                    self.send_to(target, self.now + delay, Event::Peer { from, message });
                }
            }
            Effect::Direct {
                host,
                token,
                session,
                orders,
                ..
            } => {
                let epoch = self.epochs[node];
                match self.blocked(node, |c| c.from_workers).cloned() {
                    Some(cut) => {
                        if cut.hold {
                            let msg = Msg::Direct(
                                node,
                                epoch,
                                host.clone(),
                                token.0,
                                session.0,
                                orders,
                                false,
                            );
                            self.post(cut.until + 1, msg);
                        }
                        let answer = None;
                        self.send_to(node, self.now + 3_000, Event::Direct { host, answer });
                    }
                    None => {
                        let msg = Msg::Direct(node, epoch, host, token.0, session.0, orders, true);
                        self.post(self.now + delay, msg);
                    }
                }
            }
            Effect::Inspect { host, .. } => {
                let answered = self.blocked(node, |c| c.from_workers).is_none()
                    && self.workers.get(&host).is_some_and(|w| !w.dead);
                self.send_to(node, self.now + 50, Event::Inspected { answered });
            }
            Effect::Worker { reply, answer } => {
                if let Some(Owed::Worker(host, tally)) = self.owed.remove(&reply)
                    && self.blocked(node, |c| c.from_workers).is_none()
                {
                    self.post(self.now + delay, Msg::Answer(host, tally, node, answer));
                }
            }
            Effect::User { reply, response } => self.told(reply, response),
            Effect::Ready { .. } => {}
        }
    }

    fn told(&mut self, reply: ReplyId, response: Response) {
        let Some(owed) = self.owed.remove(&reply) else {
            return;
        };
        let id = match &owed {
            Owed::Submit(index) => self.jobs[*index].body["id"].as_str().unwrap().to_string(),
            Owed::Poll(id) | Owed::Abort(id) => id.clone(),
            Owed::Worker(..) => return,
        };
        match response {
            Response::Accepted(_) => {
                self.accepted.insert(id.clone());
                self.post(self.now + 1_000, Msg::Poll(id));
            }
            Response::Unknown if self.accepted.contains(&id) => {
                self.violations.push(format!("forgotten: {id}"));
            }
            Response::Malformed(_) | Response::NeverRuns(_) => {
                self.violations.push(format!("refused: {id}: {response:?}"));
            }
            Response::State(state) => {
                self.accepted.insert(id.clone());
                let total = self
                    .jobs
                    .iter()
                    .find(|j| j.body["id"] == id.as_str())
                    .unwrap()
                    .body["picks"]
                    .as_u64()
                    .unwrap();
                match state.stage {
                    api::Stage::Done => {
                        let all = (0..total).all(|i| self.completed.contains(&format!("{id}/{i}")));
                        if !all {
                            self.violations.push(format!("not_done: {id}"));
                        }
                        if self.aborted.contains_key(&id) {
                            self.violations
                                .push(format!("went_back: {id} from aborted"));
                        }
                        self.done.insert(id);
                    }
                    api::Stage::Aborted => {
                        if self.done.contains(&id) || !self.wanted_aborts.contains(&id) {
                            self.violations.push(format!("went_back: {id} to aborted"));
                        }
                        let now = self.now;
                        self.aborted.entry(id).or_insert(now);
                    }
                    _ if self.done.contains(&id) || self.aborted.contains_key(&id) => {
                        self.violations
                            .push(format!("went_back: {id} to {:?}", state.stage));
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    // The state service.

    fn in_outage(&self) -> bool {
        self.outages
            .iter()
            .any(|(from, to)| (*from..*to).contains(&self.now))
    }

    fn expire_leases(&mut self) {
        if self.in_outage() {
            // After an outage every lease has its full time again.
            let now = self.now;
            for (until, life) in self.store.leases.values_mut() {
                *until = now + *life;
            }
            return;
        }
        let over: Vec<u64> = self
            .store
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < self.now)
            .map(|(permit, _)| *permit)
            .collect();
        for permit in over {
            self.end_lease(permit);
        }
    }

    fn end_lease(&mut self, permit: u64) {
        self.store.leases.remove(&permit);
        let keys: Vec<String> = self
            .store
            .keys
            .iter()
            .filter(|(_, (_, _, held))| *held == Some(permit))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.store.revision += 1;
            for key in keys {
                self.store.keys.remove(&key);
                self.store.changes.push((key, None, self.store.revision));
            }
            self.wake_watches();
        }
    }

    fn wake_watches(&mut self) {
        for (node, epoch, tag, from, _) in std::mem::take(&mut self.store.watches) {
            let answer = self.updates(from);
            self.post(
                self.now + 3,
                Msg::Node(node, epoch, Box::new(Event::Store { tag, answer })),
            );
        }
    }

    fn updates(&self, from: u64) -> Answer {
        let raw = |data: &String| RawValue::from_string(data.clone()).unwrap();
        let updates = self
            .store
            .changes
            .iter()
            .filter(|(_, _, revision)| *revision > from)
            .map(|(key, data, revision)| match data {
                Some(data) => Update::Put(Entry {
                    key: key.clone(),
                    data: raw(data),
                    version: Revision(*revision),
                }),
                None => Update::Dropped {
                    key: key.clone(),
                    version: Revision(*revision),
                },
            })
            .collect();
        Answer::Updates {
            updates,
            revision: Revision(self.store.revision),
        }
    }

    fn store_call(&mut self, node: usize, epoch: u64, tag: u64, call: Call, reply: bool) {
        let answer = if self.in_outage() {
            if matches!(call, Call::Follow { .. }) {
                Answer::Unknown
            } else {
                Answer::Refused
            }
        } else {
            match call {
                Call::Grant { life_ms } => {
                    self.store.revision += 1;
                    let permit = self.store.revision;
                    self.store
                        .leases
                        .insert(permit, (self.now + life_ms, life_ms));
                    Answer::Granted(Permit(permit))
                }
                Call::Renew(permit) => match self.store.leases.get_mut(&permit.0) {
                    Some((until, life)) => {
                        *until = self.now + *life;
                        Answer::Renewed
                    }
                    None => Answer::NoLease,
                },
                Call::End(permit) => {
                    self.end_lease(permit.0);
                    Answer::Ended
                }
                Call::ReadRevision => Answer::Revision(Revision(self.store.revision)),
                Call::List { after } => {
                    let entries: Vec<Entry> = self
                        .store
                        .keys
                        .iter()
                        .filter(|(key, _)| after.as_ref().is_none_or(|a| *key > a))
                        .take(40)
                        .map(|(key, (data, version, _))| Entry {
                            key: key.clone(),
                            data: RawValue::from_string(data.clone()).unwrap(),
                            version: Revision(*version),
                        })
                        .collect();
                    let more = entries.len() == 40;
                    Answer::Page {
                        entries,
                        more,
                        revision: Revision(self.store.revision),
                    }
                }
                Call::Follow { from, wait_ms } => {
                    if self.store.revision > from.0
                        && self.store.changes.iter().any(|(_, _, r)| *r > from.0)
                    {
                        self.updates(from.0)
                    } else {
                        let until = self.now + wait_ms;
                        self.store.watches.push((node, epoch, tag, from.0, until));
                        return;
                    }
                }
                Call::Txn(txn) => self.apply(txn),
            }
        };
        if reply {
            self.post(
                self.now + 3,
                Msg::Node(node, epoch, Box::new(Event::Store { tag, answer })),
            );
        }
    }

    fn apply(&mut self, txn: jaspertiller::store::Txn) -> Answer {
        assert!(
            txn.changes.len() <= 12 && txn.conditions.len() <= 48,
            "{txn:?}"
        );
        let holds = txn
            .conditions
            .iter()
            .all(|(key, version)| self.store.keys.get(key).map_or(0, |(_, v, _)| *v) == version.0);
        if !holds && !self.broken.conditions {
            return Answer::Conflict(Revision(self.store.revision));
        }
        let leased = txn.changes.iter().all(|change| match change {
            Change::Put {
                permit: Some(permit),
                ..
            } => self.store.leases.contains_key(&permit.0),
            _ => true,
        });
        if !leased {
            return Answer::NoLease;
        }
        self.store.revision += 1;
        let revision = self.store.revision;
        for change in txn.changes {
            match change {
                Change::Put { key, data, permit } => {
                    assert!(data.len() <= 8 * 1024, "{key} is too large");
                    self.store
                        .changes
                        .push((key.clone(), Some(data.clone()), revision));
                    self.store
                        .keys
                        .insert(key, (data, revision, permit.map(|p| p.0)));
                }
                Change::Drop { key } => {
                    self.store.keys.remove(&key);
                    self.store.changes.push((key, None, revision));
                }
            }
        }
        self.wake_watches();
        Answer::Committed(Revision(revision))
    }

    // The cloud.

    fn cloud(&mut self, call: CloudCall) -> CloudAnswer {
        if self
            .cloud_down
            .iter()
            .any(|(from, to)| (*from..*to).contains(&self.now))
        {
            return CloudAnswer::Failed;
        }
        match call {
            CloudCall::Flavors => {
                let body = json!({"rigs": [{"sku": "g4", "vcpus": 16, "accelerators": GPUS,
                    "memoryGb": 64, "localGb": 100, "fetchGbPerS": 1.0, "price": 10.0,
                    "marketPrice": 4.0, "bootS": 4, "yards": ["a", "b"]}]});
                let body: FlavorsBody = serde_json::from_value(body).unwrap();
                CloudAnswer::Flavors(body.rigs.into_iter().map(Into::into).collect())
            }
            CloudCall::Rent { hire, offer, count } => {
                if let Some(hosts) = self.rentals.get(&hire) {
                    return CloudAnswer::Rented(hosts.clone());
                }
                let alive = self.workers.values().filter(|w| !w.dead).count() as u32;
                let count = count.min(10u32.saturating_sub(alive));
                if count == 0 {
                    return CloudAnswer::NoCapacity;
                }
                let hosts: Vec<HostId> = (0..count)
                    .map(|i| {
                        let number = self.workers.len() as u32 + i;
                        HostId::from(format!("vm-{number:06}"))
                    })
                    .collect();
                for host in &hosts {
                    let up_at = self.now + self.rng.random_range(2_000..6_000);
                    let worker = Worker {
                        zone: offer.1.to_string(),
                        spot: offer.2,
                        up_at,
                        session: 1,
                        tally: 0,
                        baton: 0,
                        lease_from: up_at,
                        node: self.rng.random_range(0..NODES),
                        next_report: up_at,
                        in_flight: None,
                        tasks: BTreeMap::new(),
                        images: HashSet::new(),
                        dead: false,
                        sick: false,
                        unreachable_until: 0,
                    };
                    self.workers.insert(host.clone(), worker);
                    self.post(up_at, Msg::Worker(host.clone()));
                }
                self.rentals.insert(hire, hosts.clone());
                CloudAnswer::Rented(hosts)
            }
            CloudCall::Delete(hosts) => {
                for host in hosts {
                    if let Some(worker) = self.workers.get_mut(&host) {
                        let at_work = worker.tasks.values().any(Self::on_machine);
                        let well = !worker.dead && !worker.sick;
                        if at_work && well && worker.unreachable_until <= self.now {
                            self.deleted_at_work += 1;
                        }
                        worker.dead = true;
                        worker.tasks.clear();
                    }
                }
                CloudAnswer::Deleted
            }
            CloudCall::List { after } => {
                let hosts = self
                    .workers
                    .iter()
                    .filter(|(host, w)| !w.dead && after.as_ref().is_none_or(|a| *host > a))
                    .filter(|(_, w)| w.up_at + 2_000 < self.now)
                    .map(|(host, w)| Listed {
                        host: host.clone(),
                        rig: "g4".into(),
                        zone: w.zone.as_str().into(),
                        spot: w.spot,
                        stage: Stage::Running,
                        age: Millis(self.now - w.up_at),
                    })
                    .collect();
                CloudAnswer::Page { hosts, more: false }
            }
        }
    }

    // The workers.

    fn worker_step(&mut self, host: &HostId) {
        let (now, jobs) = (self.now, &self.jobs);
        let Some(worker) = self.workers.get_mut(host).filter(|w| !w.dead) else {
            return;
        };
        if now > worker.lease_from + LEASE_MS && !self.broken.leases {
            worker.session += 1;
            worker.lease_from = now;
            worker.tasks.clear();
            worker.in_flight = None;
        }
        let mut started = Vec::new();
        let mut changed = false;
        for (id, task) in &mut worker.tasks {
            if task.stage == TaskStage::Exited || now < task.until {
                continue;
            }
            changed = true;
            match task.stage {
                TaskStage::Fetching if worker.sick => {
                    task.stage = TaskStage::Exited;
                    task.cause = Some(Cause::Error);
                }
                TaskStage::Fetching => {
                    let job = id.split('/').next().unwrap();
                    worker.images.insert(job.to_string());
                    let plan = jobs.iter().find(|j| j.body["id"] == job).unwrap();
                    let service = plan.body["shape"] == "standing";
                    let done = self.completed.contains(id);
                    if plan.body["shape"] == "gang" && !done {
                        task.stage = TaskStage::Waiting;
                        task.until = now + GANG_WAIT_MS;
                        started.push(id.clone());
                        continue;
                    }
                    let run = if done { 0 } else { plan.run_ms };
                    task.stage = TaskStage::Running;
                    task.until = if service { u64::MAX } else { now + run };
                    started.push(id.clone());
                }
                TaskStage::Waiting => {
                    task.stage = TaskStage::Exited;
                    task.cause = Some(Cause::Alone);
                }
                TaskStage::Running => {
                    task.stage = TaskStage::Exited;
                    task.cause = Some(Cause::Done);
                    self.completed.insert(id.clone());
                }
                _ => {
                    task.stage = TaskStage::Exited;
                    task.cause = Some(Cause::Stopped);
                }
            }
        }
        if changed {
            worker.next_report = worker.next_report.min(now + 200);
        }
        if worker.in_flight.is_some_and(|sent| now > sent + 4_000) {
            worker.in_flight = None;
            worker.node = (worker.node + 1) % NODES;
            worker.next_report = now + 1_000;
        }
        if worker.in_flight.is_none() && now >= worker.next_report {
            worker.in_flight = Some(now);
            worker.tally += 1;
            worker.next_report = now + REPORT_MS;
            let (tally, node) = (worker.tally, worker.node);
            self.post(now + 3, Msg::Report(host.clone(), tally, node));
        }
        for task in started {
            self.check_start(host, &task);
        }
        self.step_gangs();
        self.check_cancelled();
        self.post(now + 50, Msg::Worker(host.clone()));
    }

    /// Gangs start together, complete together, and exit when a member is gone.
    fn step_gangs(&mut self) {
        let now = self.now;
        for job in self.jobs.iter().filter(|j| j.body["shape"] == "gang") {
            let prefix = format!("{}/", job.body["id"].as_str().unwrap());
            let picks = job.body["picks"].as_u64().unwrap() as usize;
            let mut attempts: BTreeMap<u64, Vec<&mut WorkerTask>> = BTreeMap::new();
            for worker in self.workers.values_mut().filter(|w| !w.dead) {
                if now > worker.lease_from + LEASE_MS && !self.broken.leases {
                    continue;
                }
                let wake = now + 200;
                for (_, task) in worker
                    .tasks
                    .iter_mut()
                    .filter(|(id, t)| id.starts_with(&prefix) && t.stage != TaskStage::Exited)
                {
                    worker.next_report = worker.next_report.min(wake);
                    attempts.entry(task.attempt).or_default().push(task);
                }
            }
            for members in attempts.into_values() {
                let all = |stage| members.iter().filter(|t| t.stage == stage).count() == picks;
                let ran = members.iter().any(|t| t.until == RUNS_WITH_GANG);
                if all(TaskStage::Waiting) && !ran {
                    let end = now + job.run_ms;
                    self.gang_ends.insert(prefix.clone(), end);
                    for task in members {
                        task.stage = TaskStage::Running;
                        task.until = RUNS_WITH_GANG;
                    }
                } else if all(TaskStage::Running) && now >= self.gang_ends[&prefix] {
                    for task in members {
                        task.stage = TaskStage::Exited;
                        task.cause = Some(Cause::Done);
                    }
                    for index in 0..picks {
                        self.completed.insert(format!("{prefix}{index}"));
                    }
                } else if ran && members.len() < picks {
                    for task in members.into_iter().filter(|t| t.until == RUNS_WITH_GANG) {
                        task.stage = TaskStage::Exited;
                        task.cause = Some(Cause::PeersGone);
                    }
                }
            }
        }
    }

    fn report(&self, host: &HostId) -> Report {
        let worker = &self.workers[host];
        Report {
            host: host.clone(),
            address: "10.1.0.1:1".into(),
            rig: "g4".into(),
            yard: worker.zone.as_str().into(),
            loaners: worker.spot,
            shift: Session(worker.session),
            tally: worker.tally,
            baton: Token(worker.baton),
            warning_s: None,
            picks: worker
                .tasks
                .iter()
                .map(|(id, task)| Pick {
                    pick: id.clone(),
                    attempt: Attempt(task.attempt),
                    stage: task.stage,
                    cause: task.cause,
                    kept: None,
                })
                .collect(),
        }
    }

    fn report_arrives(&mut self, host: HostId, tally: u64, node: usize) {
        let down = self.nodes[node].is_none() || self.blocked(node, |c| c.from_workers).is_some();
        let unreachable = self.workers[&host].unreachable_until > self.now;
        if down || unreachable || self.workers[&host].dead || self.workers[&host].tally != tally {
            return;
        }
        let report = self.report(&host);
        let reply = self.owe(Owed::Worker(host, tally));
        self.handle(node, Event::Report { reply, report });
    }

    fn answer_arrives(&mut self, host: &HostId, tally: u64, node: usize, answer: ReportAnswer) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(host).filter(|w| !w.dead) else {
            return;
        };
        let Some(sent) = worker
            .in_flight
            .filter(|_| worker.tally >= tally && worker.node == node)
        else {
            return;
        };
        worker.in_flight = None;
        match answer {
            ReportAnswer::Orders { token, orders } => {
                if token.0 < worker.baton {
                    return;
                }
                if token.0 > worker.baton {
                    worker.baton = token.0;
                    worker.next_report = now + 200;
                }
                worker.lease_from = sent;
                self.execute(host, orders);
            }
            ReportAnswer::Elsewhere(Some(foreman)) => {
                worker.node = (0..NODES)
                    .find(|i| format!("n{i}") == foreman.as_str())
                    .unwrap();
                worker.next_report = now + 100;
            }
            _ => {
                worker.node = (worker.node + 1) % NODES;
                worker.next_report = now + 1_000;
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn direct(
        &mut self,
        node: usize,
        epoch: u64,
        host: HostId,
        token: u64,
        session: u64,
        orders: Vec<Order>,
        reply: bool,
    ) {
        let now = self.now;
        let reachable = |w: &&mut Worker| !w.dead && w.unreachable_until <= now;
        let Some(worker) = self.workers.get_mut(&host).filter(reachable) else {
            let event = Box::new(Event::Direct { host, answer: None });
            self.post(self.now + 3_000, Msg::Node(node, epoch, event));
            return;
        };
        if token >= worker.baton && session == worker.session {
            worker.baton = worker.baton.max(token);
            self.execute(&host, orders);
        }
        let worker = self.workers.get_mut(&host).unwrap();
        worker.tally += 1;
        // The report in flight keeps its own number in the real protocol; here it is overtaken.
        worker.in_flight = None;
        worker.next_report = worker.next_report.min(self.now + 500);
        if reply {
            let answer = Some(DirectAnswer {
                report: Some(self.report(&host)),
            });
            let event = Box::new(Event::Direct { host, answer });
            self.post(self.now + 3, Msg::Node(node, epoch, event));
        }
    }

    fn execute(&mut self, host: &HostId, orders: Vec<Order>) {
        let (now, quick) = (self.now, self.rng.random_range(100..1_500));
        let slow = self.slow_fetches;
        let slow = slow.then(|| self.rng.random_range(2_000..GANG_WAIT_MS * 5 / 4));
        let worker = self.workers.get_mut(host).unwrap();
        let jobs = &self.jobs;
        let gpus = |id: &str| {
            let job = id.split('/').next().unwrap();
            let plan = jobs.iter().find(|j| j.body["id"] == job).unwrap();
            plan.body["accelerators"].as_f64().unwrap()
        };
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let id = task.to_string();
                    let alive = |t: &WorkerTask| t.stage != TaskStage::Exited;
                    match worker.tasks.get(&id) {
                        Some(known) if known.attempt == attempt.0 || alive(known) => {}
                        _ => {
                            let on = worker.tasks.iter().filter(|(_, t)| alive(t));
                            let used: f64 = on.map(|(other, _)| gpus(other)).sum();
                            let room = used + gpus(&id) <= GPUS;
                            let job = id.split('/').next().unwrap();
                            let fetch = slow.filter(|_| !worker.images.contains(job));
                            let task = WorkerTask {
                                attempt: attempt.0,
                                stage: if room {
                                    TaskStage::Fetching
                                } else {
                                    TaskStage::Exited
                                },
                                cause: (!room).then_some(Cause::NoRoom),
                                until: now + fetch.unwrap_or(quick),
                            };
                            worker.tasks.insert(id, task);
                        }
                    }
                }
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    if let Some(known) = worker.tasks.get_mut(&task.to_string())
                        && known.attempt == attempt.0
                        && known.stage != TaskStage::Exited
                    {
                        if grace_s > 0.0 && known.stage == TaskStage::Running {
                            known.stage = TaskStage::Saving;
                            known.until = now + 1_000;
                        } else {
                            known.stage = TaskStage::Exited;
                            known.cause = Some(Cause::Stopped);
                        }
                        worker.next_report = worker.next_report.min(now + 200);
                    }
                }
                Order::Forget { task, attempt } => {
                    let id = task.to_string();
                    if worker
                        .tasks
                        .get(&id)
                        .is_some_and(|t| t.attempt == attempt.0 && t.stage == TaskStage::Exited)
                    {
                        worker.tasks.remove(&id);
                    }
                }
            }
        }
    }

    // The rules.

    fn on_machine(task: &WorkerTask) -> bool {
        use TaskStage::{Running, Saving, Waiting};
        matches!(task.stage, Running | Saving | Waiting)
    }

    fn check_start(&mut self, host: &HostId, task: &str) {
        self.starts += 1;
        let (now, zone) = (self.now, self.workers[host].zone.clone());
        let plan = |id: &str| {
            let job = id.split('/').next().unwrap().to_string();
            self.jobs
                .iter()
                .find(|j| j.body["id"] == job.as_str())
                .unwrap()
                .body
                .clone()
        };
        let body = plan(task);
        let mut found = Vec::new();
        let mut used = 0.0;
        let mut zones: HashMap<String, u64> = HashMap::new();
        for (other, worker) in &self.workers {
            let over = now > worker.lease_from + LEASE_MS && !self.broken.leases;
            if worker.dead || over {
                continue;
            }
            for (id, _) in worker.tasks.iter().filter(|(_, t)| Self::on_machine(t)) {
                if id == task && other != host {
                    found.push(format!("ran_twice: {task} on {host} and {other} at {now}"));
                }
                let its = plan(id);
                if its["crew"] == body["crew"] {
                    used += its["accelerators"].as_f64().unwrap();
                }
                if its["id"] == body["id"] {
                    *zones.entry(worker.zone.clone()).or_insert(0) += 1;
                }
            }
        }
        let team = body["crew"].as_str().unwrap();
        if self.quota.get(team).is_some_and(|most| used > *most) {
            found.push(format!("quota: {team} uses {used} at {now}"));
        }
        if body["oneZone"] == true && zones.len() > 1 {
            found.push(format!("wrong_place: {task} in {zones:?}"));
        }
        if body["spread"] == true && zones[&zone] > body["picks"].as_u64().unwrap().div_ceil(2) {
            found.push(format!("wrong_place: {task} in {zones:?}"));
        }
        if self.workers[host].spot && body["loaners"] == false {
            found.push(format!("wrong_place: {task} on a spot machine"));
        }
        self.violations.extend(found);
    }

    fn check_cancelled(&mut self) {
        let now = self.now;
        for (host, worker) in &self.workers {
            if worker.dead || now > worker.lease_from + LEASE_MS {
                continue;
            }
            for (id, _) in worker.tasks.iter().filter(|(_, t)| Self::on_machine(t)) {
                let job = id.split('/').next().unwrap();
                if self.aborted.get(job).is_some_and(|at| now > at + CANCEL_MS) {
                    self.violations
                        .push(format!("ran_cancelled: {id} on {host} at {now}"));
                }
            }
        }
    }

    /// Jobs that were accepted and are neither done, cancelled nor services.
    pub fn unfinished(&self) -> Vec<String> {
        let mut left: Vec<String> = self
            .jobs
            .iter()
            .filter(|job| job.body["shape"] != "standing")
            .map(|job| job.body["id"].as_str().unwrap().to_string())
            .filter(|id| !self.done.contains(id) && !self.aborted.contains_key(id))
            .collect();
        left.sort();
        left
    }
}
