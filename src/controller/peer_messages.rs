//! What controllers tell each other: statuses once a second, jobs that are handed over, room to be made.

use rustc_hash::FxHashMap as HashMap;
use std::hash::BuildHasher;

use rustc_hash::FxBuildHasher;

use super::preemption::PreemptionScope;
use super::{Controller, Effect};
use crate::admission::shared::AdmissionReport;
use crate::peers::{MachineHeartbeat, MachineView, Message, Status};
use crate::queue::ClusterEvent;
use crate::types::{
    AgentEpoch, ControllerId, FencingToken, JobId, LeaseId, MachineId, Millis, Revision, ShardId,
    Zone,
};
use crate::workers::{Cached, Machine, shard_of};
use admission_control::plan::Demand;

const STATUS_EVERY: Millis = Millis(1_000);
/// What others said of a machine that nobody described is of no use after this long.
const HEARD_OF: Millis = Millis(120_000);
/// Each machine is described again once in this many statuses, whether it changed or not.
const TOLD_AGAIN: u64 = 8;
/// What the leader wants emptied is kept so for this long after it was last heard.
const DRAIN_HOLDS: Millis = Millis(15_000);

/// What another controller said last.
#[derive(Debug)]
pub(super) struct PeerStatus {
    pub(super) heard: Millis,
    pub(super) revision: Revision,
    /// How long it had been without the state service.
    pub(super) without_store: Millis,
    /// Whether workers reach it.
    pub(super) receives_heartbeats: bool,
}

/// The other controllers, as far as their messages tell.
#[derive(Debug, Default)]
pub(super) struct Peers {
    pub(super) statuses: HashMap<ControllerId, PeerStatus>,
    pub(super) status_sent_at: Millis,
    /// What the others were told of each machine, as a hash.
    pub(super) announced: HashMap<MachineId, u64>,
}

impl Controller {
    pub(super) fn on_peer(&mut self, from: ControllerId, message: Message) {
        match message {
            Message::Hello { .. } => {}
            Message::Unplaced { job } => {
                // One that is queued here already keeps its place: it must not come round faster
                // than its back-off lets it.
                let job = JobId::from(job);
                if self.leading().is_some() && !self.scheduler.queue.contains(&job) {
                    self.accept_forwarded(&job);
                }
            }
            Message::Place { job, preempt } => {
                let job = JobId::from(job);
                if let Some(machine_id) = preempt {
                    self.scheduler
                        .preemption_requests
                        .insert(job.clone(), machine_id.into());
                }
                self.accept_forwarded(&job);
            }
            Message::MakeRoom { job, machine_id } => {
                let job = JobId::from(job);
                if self.preempt(&job, PreemptionScope::On(machine_id.into())) {
                    self.expect_task(&job);
                }
            }
            Message::TasksDeparted(left) => self.on_completions(left),
            Message::Failed { job, machine_id } => {
                self.note_failed(&job.into(), &machine_id.into())
            }
            Message::Status(status) => self.on_status(from, status),
        }
    }

    /// Takes a job over that was handed to us; as soon as it is known, if a message was faster
    /// than the watch.
    pub(super) fn accept_forwarded(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            self.scheduler.forwarded_early.insert(id.clone(), self.now);
            return;
        };
        if job.active() && job.waiting() > 0 {
            let order = self.order(job);
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.activate(id, order);
        }
    }

    pub(super) fn on_status(&mut self, from: ControllerId, status: Status) {
        // One that lost the state service has lost its lease too, and goes on; one that did not is
        // no more, and says so late.
        let over = |lease_id| self.membership.leases.is_over(LeaseId(lease_id));
        let went_on = Millis(status.without_store_ms) > self.settings.operator.lease;
        if status.lease_id.is_some_and(over) && !went_on {
            tracing::debug!(%from, "message from ended process dropped");
            return;
        }
        let (now, parts) = (self.now, self.settings.operator.blocks_per_zone);
        let state = PeerStatus {
            heard: now,
            revision: Revision(status.revision),
            without_store: Millis(status.without_store_ms),
            receives_heartbeats: status.receives_heartbeats,
        };
        self.peers.statuses.insert(from.clone(), state);
        let demand = Demand {
            used: status.used_milli as f64 / 1e3,
            waiting: status.waiting as f64,
        };
        let obeys = Revision(status.plan);
        self.commits
            .admission
            .said
            .insert(from.clone(), AdmissionReport { obeys, demand });
        for (shard, token) in status.shards {
            let Some(shard) = ShardId::parse(&shard) else {
                continue;
            };
            let token = FencingToken(token);
            if self.membership.leases.supersede(&shard, &from, token) {
                tracing::info!(%shard, holder = %from, token = token.0, "fenced by higher token");
                self.membership.shard_moved_at.insert(shard, now);
            }
        }
        let silence = self.silence();
        let mut fit = Vec::new();
        for view in status.views {
            let machine_id = MachineId::from(view.machine_id);
            let machine = match self.machines.get_mut(&machine_id) {
                Some(machine) => machine,
                None => {
                    let zone = Zone::from(view.zone);
                    let shard = shard_of(&machine_id, &zone, parts);
                    let (machine_type, by) = (view.machine_type.into(), from.clone());
                    let new =
                        Machine::new(machine_id.clone(), machine_type, zone, view.spot, shard, by);
                    self.machines.entry(machine_id).or_insert(new)
                }
            };
            if self
                .membership
                .leases
                .holds(&machine.shard, &self.me)
                .is_some()
            {
                continue;
            }
            machine.address = view.address.parse().ok().or(machine.address);
            let cached = |(image, mb): (String, u64)| {
                let gb = mb as f64 / 1e3;
                (image.into(), Cached { used: now, gb })
            };
            machine.images = view.images.into_iter().map(cached).collect();
            self.scheduler
                .candidates
                .touched
                .push(machine.machine_id.clone());
        }
        for pulse in status.machines {
            let machine_id = MachineId::from(pulse.machine_id);
            // One that we know nothing of yet is described soon. Until then it must not be taken
            // for one that its holder never heard.
            let Some(machine) = self.machines.get_mut(&machine_id) else {
                self.contact
                    .relayed_heartbeats
                    .insert(machine_id, now - Millis(pulse.silent_ms));
                continue;
            };
            if self
                .membership
                .leases
                .holds(&machine.shard, &self.me)
                .is_some()
            {
                continue;
            }
            let was_fit = machine.fit(now, silence);
            machine.heard = machine.heard.max(now - Millis(pulse.silent_ms));
            machine.heard_by = from.clone();
            let agent_epoch = AgentEpoch(pulse.agent_epoch);
            if agent_epoch != machine.agent_epoch {
                // What we know of its counter is of another agent epoch.
                (machine.agent_epoch, machine.heartbeat_sequence) = (agent_epoch, 0);
            }
            machine.reachability.told(!pulse.doubtful, now);
            machine.warned = pulse.warned;
            if machine.quarantined && !pulse.quarantined {
                // It was the jobs, not the machine.
                self.autoscaler.drains.remove(&machine.machine_id);
            }
            if pulse.quarantined && !machine.quarantined {
                self.scheduler
                    .crash_loops
                    .quarantined(&machine.machine_id, now);
            }
            machine.quarantined = pulse.quarantined;
            machine.draining = pulse.draining;
            if !was_fit && machine.fit(now, silence) {
                fit.push(machine.machine_id.clone());
            }
        }
        if self.leader() == Some(&from) {
            self.autoscaler.drains = status.draining.into_iter().map(MachineId::from).collect();
            self.autoscaler.drains_heard_at = now;
        }
        for machine_id in fit {
            self.wake(ClusterEvent::Machine(machine_id));
        }
    }

    /// Tells the others what we see, once a second.
    pub(super) fn broadcast_status(&mut self) {
        if self.leading().is_none()
            && !self.autoscaler.drains.is_empty()
            && self.now.since(self.autoscaler.drains_heard_at) > DRAIN_HOLDS
        {
            self.autoscaler.drains.clear();
        }
        if self.now.since(self.peers.status_sent_at) < STATUS_EVERY {
            return;
        }
        self.peers.status_sent_at = self.now;
        let round = self.now.0 / STATUS_EVERY.0 % TOLD_AGAIN;
        let (mut machines, mut views) = (Vec::new(), Vec::new());
        for machine in self.machines.values() {
            let token = self.membership.leases.holds(&machine.shard, &self.me);
            if token != Some(machine.worker_token.token()) {
                continue;
            }
            machines.push(MachineHeartbeat {
                machine_id: machine.machine_id.to_string(),
                silent_ms: self.now.since(machine.heard).0,
                agent_epoch: machine.agent_epoch.0,
                doubtful: !machine.reachability.proved(),
                warned: machine.warned,
                quarantined: machine.quarantined,
                draining: self.autoscaler.drains.contains(&machine.machine_id),
            });
            // The same images in any order give the same sum.
            let images = machine
                .images
                .keys()
                .map(|image| FxBuildHasher.hash_one(image));
            let images = images.fold(0u64, u64::wrapping_add);
            let state = FxBuildHasher.hash_one((machine.address, images));
            let changed = self
                .peers
                .announced
                .insert(machine.machine_id.clone(), state)
                != Some(state);
            let turn = FxBuildHasher.hash_one(&machine.machine_id) % TOLD_AGAIN;
            if changed || turn == round {
                views.push(MachineView {
                    machine_id: machine.machine_id.to_string(),
                    address: machine.address.map(|a| a.to_string()).unwrap_or_default(),
                    machine_type: machine.machine_type.as_str().into(),
                    zone: machine.zone.as_str().into(),
                    spot: machine.spot,
                    images: machine
                        .images
                        .iter()
                        .map(|(image, cached)| (image.as_str().into(), (cached.gb * 1e3) as u64))
                        .collect(),
                });
            }
        }
        let (known, now) = (&self.machines, self.now);
        self.contact.relayed_heartbeats.retain(|machine_id, heard| {
            !known.contains_key(machine_id) && now.since(*heard) < HEARD_OF
        });
        self.peers
            .announced
            .retain(|machine_id, _| known.contains_key(machine_id));
        let draining = if self.leading().is_some() {
            // What is placed on a machine that is being deleted dies at once: its holder places nothing there
            // either.
            let gone = self.autoscaler.fleet.gone.iter();
            let gone = gone.filter(|machine_id| self.machines.contains_key(*machine_id));
            let leaving = self
                .autoscaler
                .fleet
                .deleting
                .union(&self.autoscaler.drains)
                .chain(gone);
            leaving.map(|machine_id| machine_id.to_string()).collect()
        } else {
            Vec::new()
        };
        let said = self
            .commits
            .admission
            .said
            .get(&self.me)
            .copied()
            .unwrap_or_default();
        let status = Status {
            lease_id: self.membership.leases.lease_id().map(|lease_id| lease_id.0),
            plan: said.obeys.0,
            used_milli: (said.demand.used * 1e3) as u64,
            waiting: said.demand.waiting as u64,
            revision: self.store_sync.applied.0,
            without_store_ms: self.without_store().0,
            receives_heartbeats: self.contact.receives_heartbeats
                && self.now.since(self.contact.last_heartbeat) <= self.silence(),
            shards: self
                .membership
                .leases
                .shards
                .iter()
                .filter(|(_, (holder, _))| *holder == self.me)
                .map(|(shard, (_, token))| (shard.to_string(), token.0))
                .collect(),
            machines,
            views,
            draining,
        };
        for member in &self.settings.members {
            let (to, message) = (member.label.clone(), Message::Status(status.clone()));
            self.effects.push(Effect::Peer { to, message });
        }
    }
}
