//! Whole controllers in a simulated region: virtual time, seeded luck, crashes, cuts and outages.

mod metering;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use jaspertiller::controller::{CommandReply, Controller, Effect, Event};
use jaspertiller::fleet::CloudResponse;
use jaspertiller::jobs::JobKind;
use jaspertiller::jobs::api::{self, JobStage, Response};
use jaspertiller::peers::Message;
use jaspertiller::settings::{Operator, Settings};
use jaspertiller::store::lanes::{Lanes, NextCall, QueuedCall};
use jaspertiller::store::{CallClass, StoreCall, StoreResponse, Transaction};
use jaspertiller::types::{
    AgentEpoch, ControllerId, JobId, MachineId, Millis, ReplyId, Revision, TaskId, WorkerToken,
    Zone,
};
use jaspertiller::workers::wire::{HeartbeatResponse, WorkerCommand};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::cloud::Cloud;
use crate::config::Config;
use crate::machines::{Description, Machines, Outgoing};
use crate::meter::{Direction, Meter};
use crate::rules::{Rules, Told};
use crate::state::StateService;
use crate::waits;

/// Time passes for machines and leases in steps of so many milliseconds.
const STEP: u64 = 50;
const TICK: u64 = 100;
/// A call that gets no answer is given up after so long.
const CALL_LIMIT: u64 = 2_500;
const DIRECT_LIMIT: u64 = 3_000;
/// Entries on a page of the state service's list: few, so that lists take several.
const PAGE: usize = 40;
/// Keys of the service.
const PREFIX: &str = "jt/";

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

/// A zone that reaches nothing outside, and is reached by nothing: inside, all goes on.
#[derive(Clone)]
pub struct ZoneCut {
    pub zone: Zone,
    pub since: u64,
    pub until: u64,
    /// What was sent is delivered at the end, instead of lost.
    pub hold: bool,
}

/// The state service refuses one controller alone: its calls are answered 503, its watches wait, and
/// its lease runs out.
#[derive(Clone)]
pub struct Refusal {
    pub node: usize,
    pub since: u64,
    pub until: u64,
}

/// A cut as one message meets it.
#[derive(Clone, Copy)]
struct Held {
    until: u64,
    hold: bool,
}

/// A job of the region's users.
#[derive(Clone)]
pub struct JobPlan {
    pub body: Value,
    pub run_ms: u64,
    /// When it is submitted; none: some time in the first 30 s.
    pub at: Option<u64>,
    /// Its tasks fail on every machine.
    pub broken: bool,
}

impl JobPlan {
    pub fn id(&self) -> JobId {
        self.body["id"].as_str().unwrap_or_default().into()
    }
}

/// A job of `tasks` tasks that run `run_ms` each; services run until cancelled.
pub fn job(id: usize, team: &str, kind: &str, tasks: u32, gpus: f64, run_ms: u64) -> JobPlan {
    let array = kind == "sweep";
    let body = json!({"id": format!("job-{id:06}"), "lot": "x", "crew": team, "shape": kind,
        "rank": if array { "normal" } else { "urgent" }, "picks": tasks,
        "vcpus": 1.0, "accelerators": gpus, "memoryGb": 1.0, "kit": format!("img-{id}"),
        "sizeGb": 0.7, "rigs": null, "yard": null, "oneZone": kind == "gang",
        "spread": kind == "standing", "loaners": array, "expectS": run_ms as f64 / 1e3,
        "markS": if array { 2.0 } else { 0.0 }, "stashS": 1.0, "dueS": null});
    JobPlan {
        body,
        run_ms,
        at: None,
        broken: false,
    }
}

enum Msg {
    Step,
    Tick(usize, u64),
    /// To a node, if it is still the same process.
    Node(usize, u64, Box<Event>),
    /// To the state service; whether an answer is still waited for.
    Store(usize, u64, QueuedCall<(u64, StoreCall)>, bool),
    /// A transaction whose sender gave up on it long ago.
    LateWrite(Transaction),
    /// A node's budget may allow another call.
    Budget(usize, u64),
    /// To a worker, when it was sent, and whether an answer is still waited for.
    Direct(
        usize,
        u64,
        MachineId,
        WorkerToken,
        AgentEpoch,
        Vec<WorkerCommand>,
        u64,
        bool,
    ),
    Heartbeat(Outgoing),
    /// A copy of a heartbeat that was sent long ago.
    Copy(Outgoing),
    StoreResponse(Outgoing, HeartbeatResponse),
    Submit(usize),
    Poll(JobId),
    Abort(JobId),
    Stop(usize),
    Start(usize),
}

fn lanes(settings: &Settings, now: u64) -> Lanes<(u64, StoreCall)> {
    let state = &settings.deployment.state;
    Lanes::new(state, settings.controllers(), Millis(now))
}

enum PendingReply {
    Worker(Outgoing),
    User(JobId),
}

pub struct World {
    pub config: Config,
    pub now: u64,
    pub rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: HashMap<u64, Msg>,
    next: u64,
    pub nodes: Vec<Option<Controller>>,
    epochs: Vec<u64>,
    /// What waits for each node's budget, and when that is looked at next.
    lanes: Vec<Lanes<(u64, StoreCall)>>,
    budget_at: Vec<u64>,
    /// Transactions that were refused by the state service's limit.
    pub over_limit: u64,
    pub settings: Vec<Arc<Settings>>,
    pending_replies: HashMap<ReplyId, PendingReply>,
    pub store: StateService,
    /// Who waits for each open watch: node, epoch, tag.
    watches: HashMap<u64, (usize, u64, u64)>,
    pub outages: Vec<(u64, u64)>,
    pub cuts: Vec<Cut>,
    pub zone_cuts: Vec<ZoneCut>,
    pub refusals: Vec<Refusal>,
    /// Until when calls to the state service take so much longer, and by how much.
    pub slow_store: Option<(u64, std::ops::Range<u64>)>,
    /// Share of transactions whose answer is lost, and that may be applied seconds late.
    pub lost_answers: f64,
    /// Share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones.
    pub late_writes: f64,
    /// How many of these changed something, and how many nothing any more.
    pub late_written: (u64, u64),
    /// Share of direct commands of which the command or its answer is held up, and for how long.
    pub held_commands: Option<(f64, std::ops::Range<u64>)>,
    /// How many of these were obeyed after their sender had given up.
    pub obeyed_late: u64,
    /// Share of heartbeats of which a copy comes, how much later, and the share of these of which
    /// nothing but the copy comes.
    pub copies: Option<(f64, std::ops::Range<u64>, f64)>,
    /// Copies that came from an earlier agent epoch of their machine.
    pub copies_of_old_agent_epochs: u64,
    /// Share of messages between controllers of which a copy comes, and how much later.
    pub peer_copies: Option<(f64, std::ops::Range<u64>)>,
    /// How many of these came.
    pub peer_copies_sent: u64,
    /// How much longer what controllers and workers send each other is on its way.
    pub slow_links: Option<std::ops::Range<u64>>,
    /// Machines whose reports are held back on their way until they are let through, and these heartbeats.
    pub holds_heartbeats: HashSet<MachineId>,
    pub held_heartbeats: Vec<Outgoing>,
    /// Share of the jobs whose user cancels, asks and submits once more as the last task ends; how often
    /// that was done.
    pub meet_ends: f64,
    pub ends_met: u64,
    ended: HashSet<JobId>,
    pub machines: Machines,
    pub cloud: Cloud,
    pub cloud_down: Vec<(u64, u64)>,
    pub jobs: Vec<JobPlan>,
    pub rules: Rules,
    /// Counts what controllers exchange and do, if asked for.
    pub meter: Option<Meter>,
}

impl World {
    pub fn new(config: Config, seed: u64, jobs: Vec<JobPlan>) -> Self {
        let address = |node: usize, port| SocketAddr::from(([10, 0, 0, node as u8], port));
        let addresses: Vec<_> = (0..config.controllers)
            .map(|i| (address(i, 1), address(i, 2)))
            .collect();
        let settings = (0..config.controllers).map(|i| {
            let text = config.settings(i, &addresses, address(100, 1), address(101, 1));
            let settings = Settings::parse("region", &text.to_string());
            Arc::new(settings.unwrap_or_else(|e| panic!("{e}")))
        });
        let nodes = config.controllers;
        let settings: Vec<Arc<Settings>> = settings.collect();
        let mut world = Self {
            now: 1,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            messages: HashMap::new(),
            next: 0,
            nodes: (0..nodes).map(|_| None).collect(),
            epochs: vec![0; nodes],
            lanes: settings.iter().map(|s| lanes(s, 1)).collect(),
            budget_at: vec![0; nodes],
            over_limit: 0,
            settings,
            pending_replies: HashMap::new(),
            store: StateService::new(config.state),
            watches: HashMap::new(),
            outages: Vec::new(),
            cuts: Vec::new(),
            zone_cuts: Vec::new(),
            refusals: Vec::new(),
            slow_store: None,
            lost_answers: 0.0,
            late_writes: 0.0,
            late_written: (0, 0),
            held_commands: None,
            obeyed_late: 0,
            copies: None,
            copies_of_old_agent_epochs: 0,
            peer_copies: None,
            peer_copies_sent: 0,
            slow_links: None,
            holds_heartbeats: HashSet::new(),
            held_heartbeats: Vec::new(),
            meet_ends: 0.0,
            ends_met: 0,
            ended: HashSet::new(),
            machines: Machines::new(&config, seed),
            cloud: Cloud::new(&config),
            cloud_down: Vec::new(),
            jobs: Vec::new(),
            rules: Rules::new(&config),
            meter: None,
            config,
        };
        world.post(1, Msg::Step);
        for node in 0..nodes {
            world.post(1 + node as u64, Msg::Start(node));
        }
        for plan in jobs {
            world.submit(plan);
        }
        world
    }

    /// A user submits a job when its plan says.
    pub fn submit(&mut self, plan: JobPlan) {
        let early = 500 + self.rng.random_range(0..30_000);
        let at = plan.at.unwrap_or(early);
        self.jobs.push(plan);
        self.post(at, Msg::Submit(self.jobs.len() - 1));
    }

    fn post(&mut self, at: u64, msg: Msg) {
        self.next += 1;
        self.messages.insert(self.next, msg);
        self.queue.push(Reverse((at.max(self.now), self.next)));
    }

    pub fn crash(&mut self, node: usize, at: u64, back_after: u64) {
        // A restart ends whatever process runs then.
        self.post(at, Msg::Stop(node));
        self.post(at + back_after, Msg::Start(node));
    }

    pub fn abort_at(&mut self, at: u64, job: usize) {
        let id = self.jobs[job].id();
        self.post(at, Msg::Abort(id));
    }

    fn alive(&self, index: usize) -> Option<MachineId> {
        let alive = self
            .machines
            .machine_ids
            .iter()
            .filter(|(_, m)| m.dead.is_none());
        alive.map(|(machine_id, _)| machine_id.clone()).nth(index)
    }

    pub fn kill_worker(&mut self, index: usize) {
        if let Some(machine_id) = self.alive(index) {
            self.machines.kill(&machine_id, Millis(self.now));
        }
    }

    /// Every machine of a zone stops.
    pub fn lose_power(&mut self, zone: &str) {
        let machine_ids = self.machines.machine_ids.iter();
        let inside = machine_ids.filter(|(_, m)| m.zone.as_str() == zone);
        let inside: Vec<MachineId> = inside.map(|(machine_id, _)| machine_id.clone()).collect();
        for machine_id in inside {
            self.machines.kill(&machine_id, Millis(self.now));
        }
    }

    /// Has all controllers that start from now on run with other settings of the operator's.
    pub fn operate(&mut self, change: fn(&mut Operator)) {
        for settings in &mut self.settings {
            change(&mut Arc::make_mut(settings).operator);
        }
    }

    /// These machines reach nobody for a while.
    pub fn cut_workers(&mut self, indices: &[usize], from: u64, until: u64) {
        self.run_until(from);
        for index in indices {
            let machine_id = self.alive(*index);
            if let Some(machine) =
                machine_id.and_then(|machine_id| self.machines.machine_ids.get_mut(&machine_id))
            {
                machine.unreachable_until = Millis(until);
            }
        }
    }

    /// A machine does nothing for a while, then goes on.
    pub fn hang_worker(&mut self, index: usize, until: u64) {
        let machine_id = self.alive(index);
        if let Some(machine) =
            machine_id.and_then(|machine_id| self.machines.machine_ids.get_mut(&machine_id))
        {
            machine.hung_until = Millis(until);
        }
    }

    /// Answers and commands do not reach a machine for a while, though its heartbeats arrive.
    pub fn drop_commands_to_worker(&mut self, index: usize, until: u64) {
        let machine_id = self.alive(index);
        if let Some(machine) =
            machine_id.and_then(|machine_id| self.machines.machine_ids.get_mut(&machine_id))
        {
            machine.commands_lost_until = Millis(until);
        }
    }

    /// Reports that were held back arrive at a controller, whatever has become of their machines. Nobody
    /// waits for the answers.
    pub fn let_heartbeats_through(&mut self, to: usize) {
        self.holds_heartbeats.clear();
        for mut out in std::mem::take(&mut self.held_heartbeats) {
            out.node = to;
            self.post(self.now + 3, Msg::Copy(out));
        }
    }

    /// A machine loses all that it has and is back at once.
    pub fn reboot_worker(&mut self, index: usize, anew: bool) {
        if let Some(machine_id) = self.alive(index) {
            self.machines.reboot(&machine_id, anew, Millis(self.now));
        }
    }

    pub fn make_quarantined(&mut self, index: usize) {
        let machine_id = self.alive(index);
        if let Some(machine) =
            machine_id.and_then(|machine_id| self.machines.machine_ids.get_mut(&machine_id))
        {
            machine.quarantined = true;
        }
    }

    /// The cut that keeps a message from or to a node back, if any.
    fn blocked(&self, node: usize, which: fn(&Cut) -> bool) -> Option<Held> {
        let now = self.now;
        let holds = |c: &&Cut| c.node == node && which(c) && c.since <= now && now < c.until;
        self.cuts.iter().find(holds).map(|cut| Held {
            until: cut.until,
            hold: cut.hold,
        })
    }

    /// The cut between two places, each a zone or none for what belongs to the region.
    fn zones_apart(&self, a: Option<&Zone>, b: Option<&Zone>) -> Option<Held> {
        let now = self.now;
        let parts = |c: &&ZoneCut| {
            let inside = |place: Option<&Zone>| place == Some(&c.zone);
            inside(a) != inside(b) && c.since <= now && now < c.until
        };
        self.zone_cuts.iter().find(parts).map(|cut| Held {
            until: cut.until,
            hold: cut.hold,
        })
    }

    fn store_cut(&self, node: usize) -> Option<Held> {
        let cut = self.blocked(node, |c| c.from_store);
        cut.or_else(|| self.zones_apart(Some(&self.settings[node].zone), None))
    }

    /// Until when the state service refuses a node, and is away for all after that.
    fn refused(&self, node: usize) -> Option<u64> {
        let now = self.now;
        let holds = |r: &&Refusal| r.node == node && r.since <= now && now < r.until;
        let until = self.refusals.iter().find(holds)?.until;
        let away = self
            .outages
            .iter()
            .find(|(from, to)| (*from..*to).contains(&until));
        Some(away.map_or(until, |(_, to)| *to))
    }

    fn worker_cut(&self, node: usize, machine_id: &MachineId) -> Option<Held> {
        let cut = self.blocked(node, |c| c.from_workers);
        let zone = self
            .machines
            .machine_ids
            .get(machine_id)
            .map(|machine| &machine.zone);
        cut.or_else(|| self.zones_apart(Some(&self.settings[node].zone), zone))
    }

    fn peers_apart(&self, a: usize, b: usize) -> bool {
        let cut = |node| self.blocked(node, |c| c.from_peers).is_some();
        let (a_zone, b_zone) = (&self.settings[a].zone, &self.settings[b].zone);
        cut(a) || cut(b) || self.zones_apart(Some(a_zone), Some(b_zone)).is_some()
    }

    fn during(&self, spans: &[(u64, u64)]) -> bool {
        spans
            .iter()
            .any(|(from, to)| (*from..*to).contains(&self.now))
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(msg) = self.messages.remove(&id) {
                self.deliver(msg);
                self.wake_watches();
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Step => self.step(),
            Msg::Stop(node) => self.nodes[node] = None,
            Msg::Start(node) => {
                self.epochs[node] += 1;
                self.lanes[node] = lanes(&self.settings[node], self.now);
                self.budget_at[node] = 0;
                let seed = self.rng.random();
                self.nodes[node] = Some(Controller::new(self.settings[node].clone(), seed));
                self.post(self.now + 1, Msg::Tick(node, self.epochs[node]));
            }
            Msg::Tick(node, epoch) => {
                if self.epochs[node] == epoch && self.nodes[node].is_some() {
                    self.handle(node, Event::Tick);
                    self.post(self.now + TICK, Msg::Tick(node, epoch));
                }
            }
            Msg::Node(node, epoch, event) => {
                if self.epochs[node] == epoch {
                    self.handle(node, *event);
                }
            }
            Msg::Store(node, epoch, call, reply) => self.store_call(node, epoch, call, reply),
            Msg::LateWrite(txn) => {
                // While the state service is away it waits longer.
                if self.during(&self.outages) {
                    self.post(self.now + 500, Msg::LateWrite(txn));
                } else if matches!(self.store.apply(txn), StoreResponse::Committed(_)) {
                    self.late_written.0 += 1;
                } else {
                    self.late_written.1 += 1;
                }
            }
            Msg::Budget(node, epoch) => {
                if self.epochs[node] == epoch {
                    self.spend(node);
                }
            }
            Msg::Direct(
                node,
                epoch,
                machine_id,
                worker_token,
                agent_epoch,
                commands,
                sent,
                reply,
            ) => {
                // A machine that stopped meanwhile has lost the connection it was sent on.
                let stopped = self
                    .machines
                    .machine_ids
                    .get(&machine_id)
                    .is_some_and(|m| m.back.0 > sent);
                if !stopped {
                    self.direct(
                        node,
                        epoch,
                        machine_id,
                        worker_token,
                        agent_epoch,
                        commands,
                        reply,
                    );
                } else if reply {
                    let answer = None;
                    self.send_to(node, self.now + 1, Event::Direct { machine_id, answer });
                }
            }
            Msg::Heartbeat(out) if self.holds_heartbeats.contains(&out.machine_id) => {
                self.held_heartbeats.push(out);
            }
            Msg::Heartbeat(out) => self.heartbeat_arrives(out),
            Msg::Copy(out) => {
                // Nobody waits for the answer, and the machine may be no more.
                let (node, heartbeat) = (out.node, out.heartbeat);
                let machine = self.machines.machine_ids.get(&out.machine_id);
                let old = machine.is_some_and(|m| m.agent_epoch > heartbeat.agent_epoch.0);
                self.copies_of_old_agent_epochs += u64::from(old);
                if self.worker_cut(node, &out.machine_id).is_none() {
                    self.next += 1;
                    let reply = ReplyId(self.next);
                    self.handle(node, Event::Heartbeat { reply, heartbeat });
                }
            }
            Msg::StoreResponse(out, answer) => {
                self.machines.answered(&out, answer, Millis(self.now))
            }
            Msg::Submit(index) => {
                let body = self.jobs[index].body.to_string();
                let submission = api::parse(body.as_bytes());
                if let Ok((id, spec)) = &submission {
                    // Users upload the description before they submit.
                    let run = Millis(self.jobs[index].run_ms);
                    let spec = spec.clone();
                    let broken = self.jobs[index].broken;
                    let jobs = &mut self.machines.jobs;
                    let description = Description { spec, run, broken };
                    jobs.entry(id.clone()).or_insert(description);
                    self.rules.submit(id, Millis(self.now));
                }
                let id = self.jobs[index].id();
                let reply = self.expect_reply(PendingReply::User(id.clone()));
                self.ask(&id, Event::Submit { reply, submission });
                // A user who hears nothing asks again.
                if !self.over(&id) {
                    self.post(self.now + 5_000, Msg::Submit(index));
                }
            }
            Msg::Poll(job) => {
                let reply = self.expect_reply(PendingReply::User(job.clone()));
                // They may ask again at any later time: an end must stay what it was.
                let pause = if self.over(&job) { 9_000 } else { 2_000 };
                self.post(self.now + pause, Msg::Poll(job.clone()));
                self.ask(&job.clone(), Event::Poll { reply, job });
            }
            Msg::Abort(job) => {
                if self.over(&job) {
                    return;
                }
                self.rules.wants_abort(&job, Millis(self.now));
                let reply = self.expect_reply(PendingReply::User(job.clone()));
                let again = self.now + 2_000;
                self.post(again, Msg::Abort(job.clone()));
                self.ask(&job.clone(), Event::Abort { reply, job });
            }
        }
    }

    /// Whether the user knows that the job is over.
    fn over(&self, id: &JobId) -> bool {
        self.rules.aborted.contains_key(id) || self.rules.done.contains(id)
    }

    fn expect_reply(&mut self, pending_replies: PendingReply) -> ReplyId {
        self.next += 1;
        let reply = ReplyId(self.next);
        self.pending_replies.insert(reply, pending_replies);
        reply
    }

    /// A user reaches whichever controller.
    fn ask(&mut self, id: &JobId, event: Event) {
        self.rules.asked(id, Millis(self.now));
        let node = self.rng.random_range(0..self.nodes.len());
        if self
            .zones_apart(Some(&self.settings[node].zone), None)
            .is_none()
        {
            self.handle(node, event);
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = Millis(self.now);
        let Some(controller) = &mut self.nodes[node] else {
            return;
        };
        let _span = tracing::info_span!("at", now = now.0, node).entered();
        let kind = self.meter.as_mut().map(|meter| {
            let (kind, bytes) = metering::received(&event);
            meter.nodes[node].message(Direction::Received, kind, bytes);
            kind
        });
        let began = Instant::now();
        let effects = controller.handle(event, now);
        if let (Some(kind), Some(meter)) = (kind, &mut self.meter) {
            meter.nodes[node].handled(kind, began.elapsed());
            for effect in &effects {
                metering::sent(&mut meter.nodes[node], effect);
            }
        }
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn step(&mut self) {
        let now = Millis(self.now);
        self.store.pass(now, self.during(&self.outages));
        let completed = self.machines.completed.len();
        let (started, heartbeats) = self.machines.step(now);
        self.rules.check(&started, &self.machines, now);
        if self.machines.completed.len() > completed {
            self.meet_ends_of_jobs();
        }
        if now >= self.rules.calm && now.0 % 1_000 < STEP {
            let waiting = waits::could_run(&self.machines, &self.rules, now);
            self.rules.note_waiting(waiting, now);
        }
        for out in heartbeats {
            if let Some((share, later, instead)) = self.copies.clone()
                && self.rng.random_bool(share)
            {
                let at = self.now + self.rng.random_range(later);
                self.post(at, Msg::Copy(out.clone()));
                if self.rng.random_bool(instead) {
                    continue;
                }
            }
            let delay = 3 + self.slow_link();
            self.post(self.now + delay, Msg::Heartbeat(out));
        }
        self.post(self.now + STEP, Msg::Step);
    }

    fn slow_link(&mut self) -> u64 {
        let by = self.slow_links.clone();
        by.map_or(0, |by| self.rng.random_range(by))
    }

    /// Users who cancel, ask and submit once more just as the last task of their job ends.
    fn meet_ends_of_jobs(&mut self) {
        let all_done = |world: &Self, id: &JobId| {
            let job = world.machines.jobs.get(id);
            job.is_some_and(|job| {
                let task = |index| TaskId {
                    job: id.clone(),
                    index,
                };
                let mut tasks = (0..job.spec.tasks).map(task);
                tasks.all(|task| world.machines.completed.contains(&task))
            })
        };
        for index in 0..self.jobs.len() {
            let id = self.jobs[index].id();
            if self.ended.contains(&id) || !all_done(self, &id) {
                continue;
            }
            self.ended.insert(id.clone());
            if self.meet_ends > 0.0 && self.rng.random_bool(self.meet_ends) {
                self.ends_met += 1;
                for msg in [Msg::Abort(id.clone()), Msg::Poll(id), Msg::Submit(index)] {
                    let at = self.now + self.rng.random_range(0..1_500);
                    self.post(at, msg);
                }
            }
        }
    }

    fn send_to(&mut self, node: usize, at: u64, event: Event) {
        let epoch = self.epochs[node];
        self.post(at, Msg::Node(node, epoch, Box::new(event)));
    }

    fn index(&self, label: &ControllerId) -> Option<usize> {
        (0..self.nodes.len()).find(|i| Config::label(*i) == label.as_str())
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let delay = 2 + self.rng.random_range(0..6) + self.slow_link();
        let (now, epoch) = (self.now, self.epochs[node]);
        match effect {
            Effect::Store { tag, class, call } => {
                let writes = call.writes();
                self.lanes[node].push(class, writes, (tag, call), Millis(now));
                self.spend(node);
            }
            Effect::Allow { writes } => {
                self.lanes[node].set_write_rate(writes, Millis(now));
                self.spend(node);
            }
            Effect::Cloud { tag, call } => {
                let answer = if self.during(&self.cloud_down) {
                    CloudResponse::Failed
                } else {
                    self.cloud
                        .call(call, &mut self.machines, Millis(now), &mut self.rng)
                };
                self.send_to(node, now + 80, Event::Cloud { tag, answer });
            }
            Effect::Peer { to, message } => {
                let Some(target) = self.index(&to) else {
                    return;
                };
                if !self.peers_apart(node, target) && self.nodes[target].is_some() {
                    let from = ControllerId::from(Config::label(node));
                    let frame = bitcode::encode(&message);
                    if let Ok(message) = bitcode::decode::<Message>(&frame) {
                        self.copy_to_peer(target, &from, &message);
                        self.send_to(target, now + delay, Event::Peer { from, message });
                    }
                }
            }
            Effect::Direct {
                machine_id,
                worker_token,
                agent_epoch,
                commands,
                ..
            } => match self.worker_cut(node, &machine_id) {
                Some(cut) => {
                    if cut.hold {
                        let machine_id = machine_id.clone();
                        let msg = Msg::Direct(
                            node,
                            epoch,
                            machine_id,
                            worker_token,
                            agent_epoch,
                            commands,
                            now,
                            false,
                        );
                        self.post(cut.until + 1, msg);
                    }
                    let answer = None;
                    self.send_to(
                        node,
                        now + DIRECT_LIMIT,
                        Event::Direct { machine_id, answer },
                    );
                }
                None => {
                    let held = self.held_commands.clone();
                    let held = held.filter(|(share, _)| self.rng.random_bool(*share));
                    let by = held.map_or(0, |(_, range)| self.rng.random_range(range));
                    // One that its sender has given up is obeyed all the same.
                    let waits = by < DIRECT_LIMIT;
                    if !waits {
                        let (machine_id, answer) = (machine_id.clone(), None);
                        self.send_to(
                            node,
                            now + DIRECT_LIMIT,
                            Event::Direct { machine_id, answer },
                        );
                    }
                    let msg = Msg::Direct(
                        node,
                        epoch,
                        machine_id,
                        worker_token,
                        agent_epoch,
                        commands,
                        now,
                        waits,
                    );
                    self.post(now + delay + by, msg);
                }
            },
            Effect::Inspect { machine_id, .. } => {
                let answered = self.worker_cut(node, &machine_id).is_none()
                    && self.machines.reachable(&machine_id, Millis(now));
                self.send_to(node, now + 50, Event::Inspected { answered });
            }
            Effect::Worker { reply, answer } => {
                if let Some(PendingReply::Worker(out)) = self.pending_replies.remove(&reply)
                    && self.worker_cut(node, &out.machine_id).is_none()
                {
                    self.post(now + delay, Msg::StoreResponse(out, answer));
                }
            }
            Effect::User { reply, response } => {
                if let Some(PendingReply::User(id)) = self.pending_replies.remove(&reply) {
                    tracing::debug!(now, node, job = %id, ?response, "told");
                    self.told(id, &response);
                }
            }
            Effect::Ready { .. } => {}
        }
    }

    /// Has a copy of a message between controllers come later, now and then.
    fn copy_to_peer(&mut self, target: usize, from: &ControllerId, message: &Message) {
        let Some((share, later)) = self.peer_copies.clone() else {
            return;
        };
        if self.rng.random_bool(share) {
            let at = self.now + self.rng.random_range(later);
            let (from, message) = (from.clone(), message.clone());
            self.peer_copies_sent += 1;
            self.send_to(target, at, Event::Peer { from, message });
        }
    }

    /// What the indices of free room of all controllers have wrong.
    pub fn index_drift(&mut self) -> Vec<String> {
        let nodes = self.nodes.iter_mut().enumerate();
        let drift = nodes.filter_map(|(node, controller)| {
            let drift = controller.as_mut()?.index_differences();
            (!drift.is_empty()).then(|| format!("n{node}: {drift:?}"))
        });
        drift.collect()
    }

    /// Makes the calls that a node's budget allows.
    fn spend(&mut self, node: usize) {
        let (now, epoch) = (self.now, self.epochs[node]);
        loop {
            match self.lanes[node].next(Millis(now)) {
                NextCall::Start(call) => self.call(node, call),
                NextCall::Refuse((tag, _)) => {
                    let answer = StoreResponse::Refused;
                    self.send_to(node, now + 1, Event::Store { tag, answer });
                }
                NextCall::Wait(wait) => {
                    let at = now + wait.0;
                    let planned = self.budget_at[node];
                    if planned <= now || at < planned {
                        self.budget_at[node] = at;
                        self.post(at, Msg::Budget(node, epoch));
                    }
                    return;
                }
                NextCall::Nothing => return,
            }
        }
    }

    fn call(&mut self, node: usize, call: QueuedCall<(u64, StoreCall)>) {
        let now = self.now;
        let slow = self.slow_store.clone().filter(|(until, _)| now < *until);
        let slow = slow.map_or(0, |(_, by)| self.rng.random_range(by));
        let delay = 2 + slow + self.rng.random_range(0..6);
        let (now, epoch, tag) = (self.now, self.epochs[node], call.payload.0);
        let txn = matches!(call.payload.1, StoreCall::Transaction(_));
        if self.refused(node).is_some() {
            let answer = StoreResponse::Refused;
            return self.send_to(node, now + delay, Event::Store { tag, answer });
        }
        if let StoreCall::Transaction(late) = &call.payload.1
            && self.late_writes > 0.0
            && self.store_cut(node).is_none()
            && self.rng.random_bool(self.late_writes)
        {
            let at = now + self.rng.random_range(2_000..12_000);
            self.post(at, Msg::LateWrite(late.clone()));
            let answer = StoreResponse::Unknown;
            return self.send_to(node, now + CALL_LIMIT, Event::Store { tag, answer });
        }
        let lost = txn && self.rng.random_bool(self.lost_answers);
        let late = lost && self.rng.random_bool(0.5);
        let unanswered = match self.store_cut(node) {
            Some(cut) => {
                if cut.hold && txn {
                    self.post(cut.until + 1, Msg::Store(node, epoch, call, false));
                }
                true
            }
            None => {
                let at = now + delay + if late { 4_000 } else { 0 };
                self.post(at, Msg::Store(node, epoch, call, !lost));
                lost
            }
        };
        if unanswered {
            let answer = StoreResponse::Unknown;
            self.send_to(node, now + CALL_LIMIT, Event::Store { tag, answer });
        }
    }

    fn told(&mut self, id: JobId, response: &Response) {
        let told = match response {
            Response::Accepted(_) => Told::State(JobStage::Queued),
            Response::State(state) => state.into(),
            Response::Unknown => Told::NotFound,
            Response::Malformed(_) => Told::Refused(400),
            Response::NeverRuns(_) => Told::Refused(422),
            Response::Later(_) => Told::Later,
        };
        if matches!(response, Response::Accepted(_)) {
            self.post(self.now + 1_000, Msg::Poll(id.clone()));
        }
        let now = Millis(self.now);
        self.rules.told(&id, &told, &self.machines, now);
    }

    fn wake_watches(&mut self) {
        for (id, answer) in self.store.woken() {
            if let Some((node, epoch, tag)) = self.watches.remove(&id) {
                // What is on its way when the cut begins comes late, or not at all.
                let refused = self.refused(node).map(|until| Held { until, hold: true });
                let (at, answer) = match refused.or_else(|| self.store_cut(node)) {
                    Some(Held { until, hold: true }) => (until + 3, answer),
                    Some(_) => (self.now + CALL_LIMIT, StoreResponse::Unknown),
                    None => (self.now + 3, answer),
                };
                let event = Box::new(Event::Store { tag, answer });
                self.post(at, Msg::Node(node, epoch, event));
            }
        }
    }

    fn store_call(
        &mut self,
        node: usize,
        epoch: u64,
        call: QueuedCall<(u64, StoreCall)>,
        reply: bool,
    ) {
        let now = Millis(self.now);
        let writes = call.writes as usize;
        if writes > 0 && !self.during(&self.outages) && !self.store.allows(writes, now) {
            self.over_limit += 1;
            let tag = call.payload.0;
            if call.class == CallClass::Leases && reply {
                let answer = StoreResponse::Refused;
                self.send_to(node, self.now + 3, Event::Store { tag, answer });
            } else if reply && self.epochs[node] == epoch {
                self.lanes[node].requeue_rate_limited(call, now);
                self.spend(node);
            }
            return;
        }
        let (tag, call) = call.payload;
        let answer = if self.during(&self.outages) {
            match call {
                StoreCall::Watch { .. } => StoreResponse::Unknown,
                _ => StoreResponse::Refused,
            }
        } else {
            match call {
                StoreCall::Grant { ttl_ms: life_ms } => {
                    StoreResponse::Granted(self.store.grant(Millis(life_ms), now))
                }
                StoreCall::Renew(lease_id) if self.store.renew(lease_id, now) => {
                    StoreResponse::Renewed
                }
                StoreCall::Renew(_) => StoreResponse::LeaseExpired,
                StoreCall::Revoke(lease_id) => {
                    self.store.end(lease_id);
                    StoreResponse::Revoked
                }
                StoreCall::ReadRevision => StoreResponse::Revision(Revision(self.store.revision)),
                StoreCall::List { after } => self.store.list(PREFIX, after.as_deref(), PAGE),
                StoreCall::Watch { from, wait_ms } => {
                    let id = self.store.watch(PREFIX, from, Millis(wait_ms), now);
                    self.watches.insert(id, (node, epoch, tag));
                    return;
                }
                StoreCall::Transaction(txn) => {
                    if let Some(why) = self.store.malformed(&txn) {
                        self.rules
                            .violations
                            .insert(format!("malformed: {why}: {txn:?}"));
                    }
                    self.store.apply(txn)
                }
            }
        };
        if reply {
            let event = Box::new(Event::Store { tag, answer });
            self.post(self.now + 3, Msg::Node(node, epoch, event));
        }
    }

    fn heartbeat_arrives(&mut self, out: Outgoing) {
        let node = out.node;
        if let Some(Held { until, hold: true }) = self.worker_cut(node, &out.machine_id) {
            return self.post(until + 1, Msg::Heartbeat(out));
        }
        let down = self.nodes[node].is_none() || self.worker_cut(node, &out.machine_id).is_some();
        let now = Millis(self.now);
        let unable_to_report = self.machines.machine_ids.get(&out.machine_id);
        let unable_to_report =
            unable_to_report.is_some_and(|machine| machine.heartbeats_lost_until > now);
        if down || unable_to_report || !self.machines.speaks(&out.machine_id, now) {
            return;
        }
        let heartbeat = out.heartbeat.clone();
        let reply = self.expect_reply(PendingReply::Worker(out));
        self.handle(node, Event::Heartbeat { reply, heartbeat });
    }

    #[allow(clippy::too_many_arguments)]
    fn direct(
        &mut self,
        node: usize,
        epoch: u64,
        machine_id: MachineId,
        worker_token: WorkerToken,
        agent_epoch: AgentEpoch,
        commands: Vec<WorkerCommand>,
        reply: bool,
    ) {
        let now = Millis(self.now);
        if !self.machines.reachable(&machine_id, now)
            || !self.machines.receives_heartbeats(&machine_id, node, now)
        {
            if reply {
                let event = Box::new(Event::Direct {
                    machine_id,
                    answer: None,
                });
                self.post(self.now + DIRECT_LIMIT, Msg::Node(node, epoch, event));
            }
            return;
        }
        let some = !commands.is_empty();
        let obeyed = self
            .machines
            .direct(&machine_id, worker_token, agent_epoch, commands, now);
        self.obeyed_late += u64::from(obeyed && some && !reply);
        if reply {
            let heartbeat = self.machines.heartbeat(&machine_id);
            let answer = Some(CommandReply { heartbeat });
            // An answer that is held up may come after newer reports.
            let held = self.held_commands.clone();
            let held = held.filter(|(share, _)| self.rng.random_bool(*share));
            let by = held.map_or(0, |_| self.rng.random_range(0..2_500));
            let event = Box::new(Event::Direct { machine_id, answer });
            self.post(self.now + 3 + by, Msg::Node(node, epoch, event));
        }
    }

    /// Jobs that users asked for, and that neither ran to their end, nor run, nor wait for a reason
    /// that the controllers can name.
    pub fn unaccounted(&self) -> Vec<String> {
        let present: HashSet<&JobId> = self
            .machines
            .holding(Millis(self.now))
            .map(|task| &task.job)
            .collect();
        let ids = self.jobs.iter().map(JobPlan::id);
        let open = ids.filter(|id| !self.over(id) && !present.contains(id));
        let lost = open.filter_map(|id| {
            if !self.rules.accepted.contains(&id) {
                return Some(format!("{id} was never accepted"));
            }
            let reasons = self.nodes.iter().flatten();
            let mut reasons = reasons.filter_map(|node| node.waits_for(&id));
            let named = reasons.next().is_some();
            (!named).then(|| format!("{id} waits for nothing"))
        });
        lost.collect()
    }

    /// Jobs that were submitted and are neither done, cancelled nor services.
    pub fn unfinished(&self) -> Vec<JobId> {
        let service = |id: &JobId| {
            let job = self.machines.jobs.get(id);
            job.is_some_and(|job| job.spec.kind == JobKind::Service)
        };
        let ids = self.jobs.iter().map(JobPlan::id);
        let mut left: Vec<JobId> = ids.filter(|id| !service(id) && !self.over(id)).collect();
        left.sort();
        left
    }
}
