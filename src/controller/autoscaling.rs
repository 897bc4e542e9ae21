//! The leader's care of the fleet: renting by need, replacing what never comes up, returning
//! what stands idle.

use std::collections::BTreeMap;

use rustc_hash::FxHashSet as HashSet;

use super::{CallPurpose, Controller, Effect};
use crate::fleet::plan::{Bin, Headroom, Need, plan};
use crate::fleet::{
    CloudCall, CloudResponse, Fleet, MACHINE_TYPES_KEY, MachineStage, MachineTypeSpec, Offer,
    Rented,
};
use crate::jobs::cache::{Evidence, TaskChange};
use crate::jobs::{JobKind, JobSpec, PriorityClass};
use crate::lease::LEADER;
use crate::settings::Objective;
use crate::store::{CallClass, Transaction};
use crate::types::{JobId, MachineId, Millis, Resources, Zone};
use crate::workers::{Machine, shard_of};
use crate::zones::zone_health::{SuspectedMachine, ZoneHealthTracker, ZoneObservation};

const EVERY: Millis = Millis(1_000);
/// Machines are planned for this many tasks of a job at the most.
const MOST_NEEDED: u32 = 2_000;
const LIST_EVERY: Millis = Millis(2_500);
const TYPE_SPECS_EVERY: Millis = Millis(60_000);
/// After this long a new holder has asked its machines, and their workers, which give a silent
/// controller 4 s, have found it over one or two others.
const HOLDER_ASKS: Millis = Millis(10_000);
/// Only a machine with this share of its room free is emptied.
const EMPTY_ENOUGH: f64 = 0.4;
/// Only this many of the emptiest machines are looked at each time.
const MOST_EMPTIED: usize = 8;
const LOG_EVERY: Millis = Millis(10_000);
const RETRY: Millis = Millis(1_000);
/// An offer without capacity is asked for again after this long.
const SOLD_OUT: Millis = Millis(15_000);
/// A machine that takes this many times its usual boot time never comes up.
const NEVER: f64 = 3.0;
/// What a quick fetch and the first heartbeat take, about.
const QUICK_FETCH_S: f64 = 8.0;
/// The kind of objective that says how soon work should start.
const STARTS: &str = "wait";
/// Arrivals of this long tell the rate.
const WINDOW: Millis = Millis(180_000);
/// Spare machines cover this many standard deviations of what comes and goes.
const SPREAD: f64 = 2.0;
/// Arrivals seen for less time than this tell too little of their rate.
const LEAST_SEEN: Millis = Millis(30_000);
/// Idle machines are returned one by one before arrivals have been seen for this long.
const RETURNS_AFTER: Millis = Millis(90_000);
const RETURN_EVERY: Millis = Millis(3_000);
/// The most machines one request may ask for.
const MOST_RENTED: u32 = 50;
const MOST_DELETED: usize = 100;

/// Seconds of fetching that go with a machine's cache when it is returned.
fn cache_worth_s(machine: &Machine, type_spec: &MachineTypeSpec) -> f64 {
    let cached = machine.images.values();
    cached.map(|cached| type_spec.slow_s(cached.gb)).sum()
}

/// Work that came and should not have to wait for a machine to boot.
#[derive(Debug)]
pub(super) struct Arrival {
    pub(super) at: Millis,
    /// How many machines it takes.
    pub(super) share: f64,
    pub(super) image_gb: f64,
    /// Whether spot machines will do.
    pub(super) spot: bool,
    /// Whether it may have other work stopped.
    pub(super) urgent: bool,
}

/// The fleet as the leader knows it, and the demand that decides its size.
#[derive(Default)]
pub(super) struct Autoscaler {
    pub(super) type_specs: Vec<MachineTypeSpec>,
    /// The machine types as the key-value store has them.
    pub(super) stored_type_specs: Vec<MachineTypeSpec>,
    pub(super) type_specs_requested_at: Millis,
    pub(super) fleet: Fleet,
    pub(super) reconciled_at: Millis,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) arrivals_until: Millis,
    pub(super) arrivals_since: Millis,
    /// Machines that are being drained.
    pub(super) drains: HashSet<MachineId>,
    /// When the leader's list of drains last arrived.
    pub(super) drains_heard_at: Millis,
}

impl Controller {
    pub(super) fn start_leading(&mut self) {
        self.autoscaler.fleet = Fleet::default();
        // The next answer may have to be noted.
        self.autoscaler.type_specs_requested_at = Millis(0);
        self.autoscaler.drains.clear();
        self.partition.zone_health = ZoneHealthTracker::default();
        // Deals of an earlier term rest on it.
        self.quota.unresolved_allocations.clear();
    }

    fn call_cloud(&mut self, call: CloudCall) -> u64 {
        let tag = self.tag();
        self.calls.cloud.insert(tag, call.clone());
        self.effects.push(Effect::Cloud { tag, call });
        tag
    }

    pub(super) fn reconcile_fleet(&mut self) {
        let pause = if self.autoscaler.type_specs.is_empty() {
            RETRY
        } else {
            TYPE_SPECS_EVERY
        };
        if self.autoscaler.type_specs_requested_at == Millis(0)
            || self.now.since(self.autoscaler.type_specs_requested_at) >= pause
        {
            self.autoscaler.type_specs_requested_at = self.now;
            self.call_cloud(CloudCall::MachineTypes);
        }
        if self.store_sync.synced {
            self.note_arrivals();
        }
        // A leader whose lease may be over acts no more: another may lead already, and hear
        // machines that this one thinks dead.
        if self.leading().is_none()
            || !self.may_place()
            || self.now.since(self.autoscaler.reconciled_at) < EVERY
            || self.autoscaler.type_specs.is_empty()
        {
            return;
        }
        self.autoscaler.reconciled_at = self.now;
        if !self.autoscaler.fleet.listing
            && self.now.since(self.autoscaler.fleet.list_started) >= LIST_EVERY
        {
            self.autoscaler.fleet.listing = true;
            self.autoscaler.fleet.list_started = self.now;
            self.call_cloud(CloudCall::List { after: None });
        }
        self.adopt_reporting();
        self.mark_idle();
        self.log_use();
        self.delete_lost();
        self.leave_the_gone();
        if self.without_store().0 < 4_000 {
            self.rent_and_return();
        }
    }

    /// Jobs that are new since the last look, for the rate at which room is asked for.
    fn note_arrivals(&mut self) {
        let now = self.now;
        let seen = self.autoscaler.arrivals_until;
        let mut found = Vec::new();
        for job in self
            .jobs
            .iter()
            .filter(|job| job.born > seen && job.born <= now)
        {
            let urgent = job.spec.priority >= PriorityClass::Urgent;
            if !urgent && !self.waits_are_seen(&job.spec) {
                continue;
            }
            let capacity = self
                .autoscaler
                .type_specs
                .iter()
                .filter(|f| job.spec.resources.fits_in(f.resources))
                .map(|f| job.spec.resources.share_of(f.resources))
                .fold(1.0, f64::min);
            let share = capacity * f64::from(job.record.tasks);
            found.push(Arrival {
                at: job.born,
                share,
                image_gb: job.spec.image_gb,
                spot: job.spec.spot,
                urgent,
            });
        }
        self.autoscaler.arrivals.extend(found);
        self.autoscaler.arrivals_until = now;
        self.autoscaler
            .arrivals
            .retain(|arrival| now.since(arrival.at) <= WINDOW);
    }

    /// Whether the operators say how soon such work should start, though it can't have others
    /// stopped to make room.
    fn waits_are_seen(&self, spec: &JobSpec) -> bool {
        let objectives = &self.settings.deployment.objectives;
        let starts = |o: &Objective| o.kind == STARTS && o.class.as_ref() == Some(&spec.class);
        objectives.iter().any(starts)
    }

    /// Machines that report are there, whatever the list says.
    fn adopt_reporting(&mut self) {
        let silence = self.silence();
        for machine in self.machines.values() {
            if self.autoscaler.fleet.gone.contains(&machine.machine_id) {
                continue;
            }
            let rented = self
                .autoscaler
                .fleet
                .machine_ids
                .entry(machine.machine_id.clone())
                .or_insert_with(|| Rented {
                    machine_type: machine.machine_type.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    stage: MachineStage::Running,
                    since: self.now,
                    seen: self.now,
                    idle: None,
                });
            if machine.heard + silence >= self.now {
                rented.stage = MachineStage::Running;
                rented.seen = self.now;
            }
        }
    }

    fn mark_idle(&mut self) {
        for (machine_id, rented) in &mut self.autoscaler.fleet.machine_ids {
            let idle = rented.stage == MachineStage::Running && !self.jobs.busy(machine_id);
            rented.idle = match (idle, rented.idle) {
                (false, _) => None,
                (true, None) => Some(self.now),
                (true, since) => since,
            };
        }
    }

    /// Deletes machines that failed, never came up, or fell silent for longer than a lease. The
    /// cloud's answer is the evidence that their tasks are gone.
    fn delete_lost(&mut self) {
        let lease = Millis::from_secs(self.settings.deployment.workers.lease_s + 4.0);
        let mut lost: Vec<MachineId> = Vec::new();
        let mut silenced: Vec<SuspectedMachine> = Vec::new();
        let mut zones: BTreeMap<Zone, ZoneObservation> = BTreeMap::new();
        let early =
            Millis::from_secs(3.2 * self.settings.deployment.workers.heartbeat_interval_s + 1.0);
        for (machine_id, rented) in &self.autoscaler.fleet.machine_ids {
            let boot = self
                .type_spec(&rented.machine_type)
                .map_or(60.0, |f| f.boot_s.max(5.0));
            let machine = self.machines.get(machine_id);
            let parts = self.settings.operator.blocks_per_zone;
            let shard = shard_of(machine_id, &rented.zone, parts);
            let silent = self.silent_for(machine_id, &shard);
            if rented.stage == MachineStage::Running {
                let seen = zones.entry(rented.zone.clone()).or_default();
                seen.machines += 1;
                // A new holder that hears nobody can't tell, and yet nobody hears the machine.
                let (held, since_heard) = match &silent {
                    Some(silent) => (silent.held, silent.since_heard),
                    None => {
                        let unheard = self.now.since(self.last_heard(machine_id));
                        (unheard.since(self.silence()), unheard)
                    }
                };
                let asked = held > HOLDER_ASKS && since_heard > self.silence();
                seen.silent += u32::from(asked);
                let doubtful = machine.is_some_and(|m| m.reachability.doubtful(self.now, early));
                seen.one_way += u32::from(silent.is_some() && doubtful && since_heard > early);
            }
            let never = rented.stage == MachineStage::Booting
                && self.now.since(rented.since) > Millis::from_secs(boot * NEVER + 10.0);
            let dead = rented.stage == MachineStage::Running
                && silent.as_ref().is_some_and(|silent| {
                    // A new holder asks each machine itself, so a few seconds suffice for it.
                    // One that speaks and does not hear may hear again; a lease without proof is
                    // enough.
                    let quiet = machine.is_none_or(|m| !m.reachability.doubtful(self.now, early));
                    let early = quiet && silent.since_heard > early && silent.held > HOLDER_ASKS;
                    silent.outlasts(lease) || early && self.zone_speaks(machine_id, &rented.zone)
                });
            let quarantined = machine
                .is_some_and(|m| m.quarantined || m.warned && m.tasks.is_empty())
                && !self.jobs.busy(machine_id)
                && self.drained(machine_id);
            if rented.stage == MachineStage::Failed || never || quarantined {
                lost.push(machine_id.clone());
            } else if dead {
                silenced.push(self.suspect(machine_id, &rented.zone));
            }
        }
        // Machines that no list shows any more, though the records have tasks there: an earlier leader
        // may have had them deleted, and been kept from writing what the cloud said.
        for machine_id in self.jobs.machine_ids() {
            if self.autoscaler.fleet.machine_ids.contains_key(machine_id) {
                continue;
            }
            let shard = self
                .jobs
                .on_machine(machine_id)
                .find_map(|(id, index)| Some(&self.jobs.get(id)?.task(*index).placement()?.shard));
            let Some(shard) = shard else { continue };
            let silent = self.silent_for(machine_id, shard);
            // A holder whose last machine this was hears nobody, and can't tell. But what was there when
            // we came to lead and is on no list so long after is there no more.
            let unlisted = self
                .autoscaler
                .fleet
                .listed
                .since(self.membership.leading_since)
                > self.lists_lag()
                && self.last_heard(machine_id) + lease < self.now;
            if unlisted || silent.is_some_and(|silent| silent.outlasts(lease)) {
                silenced.push(self.suspect(machine_id, &shard.zone));
            }
        }
        self.observe_zones(zones);
        // What is given up counts against a bound, so it must be what is sent now.
        let deleting = &self.autoscaler.fleet.deleting;
        lost.retain(|machine_id| !deleting.contains(machine_id));
        silenced.retain(|suspect| !deleting.contains(&suspect.machine_id));
        let remaining = MOST_DELETED.saturating_sub(lost.len());
        let hold = self.settings.operator.hold;
        lost.extend(
            self.partition
                .zone_health
                .give_up(silenced, remaining, hold, self.now),
        );
        for (machine_id, machine) in &self.machines {
            if machine.quarantined && !self.autoscaler.fleet.gone.contains(machine_id) {
                self.autoscaler.drains.insert(machine_id.clone());
            }
        }
        self.delete(lost);
    }

    fn delete(&mut self, machine_ids: Vec<MachineId>) {
        let mut machine_ids: Vec<MachineId> = machine_ids
            .into_iter()
            .filter(|h| !self.autoscaler.fleet.deleting.contains(h))
            .collect();
        machine_ids.truncate(MOST_DELETED);
        if !machine_ids.is_empty() {
            tracing::info!(?machine_ids, "machine deletion requested");
            self.autoscaler
                .fleet
                .deleting
                .extend(machine_ids.iter().cloned());
            self.call_cloud(CloudCall::Delete(machine_ids));
        }
    }

    /// Whether a machine's holder keeps it free of new tasks and we know of all it placed there.
    fn drained(&self, machine_id: &MachineId) -> bool {
        if !self.autoscaler.drains.contains(machine_id) || self.jobs.busy(machine_id) {
            return false;
        }
        let Some(machine) = self.machines.get(machine_id) else {
            return false;
        };
        if self.token_for(&machine.shard).is_some() {
            return true;
        }
        machine.draining
            && (self.recent_status(&machine.heard_by))
                .is_some_and(|peer| self.store_sync.applied >= peer.revision)
    }

    fn sold_out(&self, offer: &Offer) -> bool {
        self.autoscaler
            .fleet
            .refused
            .get(offer)
            .is_some_and(|until| *until > self.now)
    }

    fn rent_and_return(&mut self) {
        let mut bins = Vec::new();
        let mut draining_idle = Vec::new();
        for (machine_id, rented) in &self.autoscaler.fleet.machine_ids {
            let Some(type_spec) = self.type_spec(&rented.machine_type) else {
                continue;
            };
            let machine = self.machines.get(machine_id);
            let bad = machine.is_some_and(|m| m.quarantined || m.warned)
                || self.autoscaler.fleet.deleting.contains(machine_id)
                || rented.stage == MachineStage::Failed;
            // One that is late is not counted on.
            let late = rented.stage == MachineStage::Booting
                && self.now.since(rented.since).secs() > type_spec.boot_s * 1.8 + 5.0;
            // One that nobody could tell to start a task is no room, though it may be at work.
            let idle_timeouts = if self.partition.zone_health.out_of_reach(&rented.zone) {
                1
            } else {
                3
            };
            let silent = rented.stage == MachineStage::Running
                && machine
                    .is_none_or(|m| self.now.since(m.heard).0 > idle_timeouts * self.silence().0);
            if bad || late || silent {
                continue;
            }
            if self.autoscaler.drains.contains(machine_id) {
                draining_idle.push(machine_id.clone());
                continue;
            }
            let allocated = self.jobs.allocated(machine_id);
            let kept = self
                .scheduler
                .nominations
                .on(machine_id, self.now)
                .fold(Resources::default(), |sum, (_, resources)| {
                    sum.plus(resources)
                });
            bins.push(Bin {
                machine_id: Some(machine_id.clone()),
                offer: (
                    rented.machine_type.clone(),
                    rented.zone.clone(),
                    rented.spot,
                ),
                capacity: type_spec.resources,
                available: type_spec.resources.minus(allocated.plus(kept)),
                soft: self.jobs.machine_usage(machine_id).soft,
                idle_for: rented.idle.map_or(Millis(0), |since| self.now.since(since)),
                worth_s: machine.map_or(0.0, |m| cache_worth_s(m, type_spec)),
            });
        }
        for (offer, count) in self.autoscaler.fleet.renting.values() {
            let type_spec = self.type_spec(&offer.0);
            for _ in 0..*count {
                bins.extend(type_spec.map(|type_spec| Bin {
                    machine_id: None,
                    offer: offer.clone(),
                    capacity: type_spec.resources,
                    available: type_spec.resources,
                    soft: Resources::default(),
                    idle_for: Millis(0),
                    worth_s: 0.0,
                }));
            }
        }
        let mut jobs: Vec<_> = self
            .jobs
            .iter()
            .filter(|job| job.active() && job.waiting() > 0)
            .collect();
        jobs.sort_by_key(|job| (std::cmp::Reverse(job.spec.priority), job.born));
        let dear = self.unplaced_spot_demand();
        let mut budget: BTreeMap<_, Resources> = BTreeMap::new();
        let mut needs = Vec::new();
        for job in jobs {
            if self.scheduler.nominations.of(&job.id, self.now).is_some() {
                // Its room is being made.
                continue;
            }
            let spec = &job.spec;
            let mut count = job.waiting().min(MOST_NEEDED);
            for team in self.limits(job) {
                let used = budget
                    .entry(&team.name)
                    .or_insert_with(|| self.jobs.usage(&team.name));
                count = count.min(crate::quota::left(*used, team).holds(spec.resources));
            }
            for team in self.limits(job) {
                if let Some(used) = budget.get_mut(&team.name) {
                    *used = used.plus(spec.resources.times(f64::from(count)));
                }
            }
            needs.push(Need {
                spec,
                count,
                spot_only: false,
            });
        }
        needs.extend(dear);
        let mut plan = plan(
            bins,
            &needs,
            &self.headroom(),
            &self.autoscaler.type_specs,
            |offer| self.sold_out(offer) || self.partition.zone_health.out_of_reach(&offer.1),
            self.settings.operator.idle_return,
        );
        if !plan.rent.is_empty() && self.keep_drained() {
            return;
        }
        // A controller that has just come back knows neither how long machines have stood idle
        // nor what usually comes for them.
        let returns = self.now.since(self.autoscaler.arrivals_since) >= RETURNS_AFTER;
        if !returns {
            let due = self.now.since(self.autoscaler.fleet.returned) >= RETURN_EVERY;
            plan.release.truncate(usize::from(due));
        }
        if !plan.release.is_empty() {
            self.autoscaler.fleet.returned = self.now;
        }
        let waiting = self
            .jobs
            .iter()
            .any(|job| job.active() && job.waiting() > 0);
        let quiet = plan.rent.is_empty() && plan.release.is_empty() && !waiting;
        for (offer, mut count) in plan.rent {
            while count > 0 {
                let part = count.min(MOST_RENTED);
                self.rent(offer.clone(), part);
                count -= part;
            }
        }
        if returns && quiet && draining_idle.is_empty() {
            self.consolidate();
        }
        self.autoscaler.drains.extend(plan.release);
        let ready: Vec<MachineId> = draining_idle
            .into_iter()
            .filter(|machine_id| self.drained(machine_id))
            .collect();
        self.delete(ready);
    }

    /// Room is short: machines that were to be returned are kept instead of renting more.
    fn keep_drained(&mut self) -> bool {
        let kept: Vec<MachineId> = self
            .autoscaler
            .drains
            .iter()
            .filter(|machine_id| !self.autoscaler.fleet.deleting.contains(*machine_id))
            .filter(|machine_id| {
                self.machines
                    .get(*machine_id)
                    .is_some_and(|m| !m.quarantined && !m.warned)
            })
            .cloned()
            .collect();
        for machine_id in &kept {
            self.autoscaler.drains.remove(machine_id);
        }
        !kept.is_empty()
    }

    /// Empties the machine with the least on it if all that would find room elsewhere: replicas
    /// where their image is at hand, so that they are back at once; arrays end by themselves.
    fn consolidate(&mut self) {
        let mut bins: Vec<(MachineId, Resources, Resources)> = Vec::new();
        for (machine_id, rented) in &self.autoscaler.fleet.machine_ids {
            let usable = self
                .machines
                .get(machine_id)
                .is_some_and(|m| self.ours(m) || self.others(m));
            let type_spec = self.type_spec(&rented.machine_type);
            if let (true, Some(type_spec)) = (usable, type_spec) {
                bins.push((
                    machine_id.clone(),
                    type_spec.resources,
                    type_spec.resources.minus(self.jobs.allocated(machine_id)),
                ));
            }
        }
        bins.sort_by(|a, b| b.2.share_of(b.1).total_cmp(&a.2.share_of(a.1)));
        let wanted: usize = self
            .headroom()
            .iter()
            .filter(|h| !h.spot)
            .map(|h| h.machines as usize)
            .sum();
        let ready = |machine_id: &MachineId| {
            self.jobs.yielding(machine_id)
                && self
                    .autoscaler
                    .fleet
                    .machine_ids
                    .get(machine_id)
                    .is_some_and(|r| !r.spot)
        };
        for (index, (machine_id, capacity, available)) in bins.iter().enumerate().take(MOST_EMPTIED)
        {
            let mut left: Vec<_> = bins.clone();
            left.remove(index);
            left.retain(|(other, _, _)| !self.autoscaler.drains.contains(other));
            if available == capacity || available.share_of(*capacity) < EMPTY_ENOUGH {
                continue;
            }
            let mut broken: HashSet<MachineId> = HashSet::default();
            let fits = self.jobs.on_machine(machine_id).all(|(id, _)| {
                let Some(job) = self.jobs.get(id) else {
                    return true;
                };
                let spec = &job.spec;
                if spec.kind == JobKind::Gang || !job.active() {
                    return false;
                }
                // The fullest machine that will do, as the cycle would choose.
                let target = left.iter_mut().rev().find(|(other, _, resources)| {
                    self.machines.get(other).is_some_and(|m| {
                        spec.allows(&m.machine_type, &m.zone, m.spot)
                            && (spec.yields()
                                || job.record.tasks == 1
                                || Some(&m.zone) == self.machines.get(machine_id).map(|m| &m.zone))
                            && (spec.yields() || m.images.contains_key(&spec.image))
                            && (spec.yields() || !ready(other))
                    }) && spec.resources.fits_in(*resources)
                });
                match target {
                    Some((other, _, resources)) => {
                        *resources = resources.minus(spec.resources);
                        if !spec.yields() {
                            broken.insert(other.clone());
                        }
                        true
                    }
                    None => false,
                }
            });
            let still_ready = left
                .iter()
                .filter(|(other, _, _)| ready(other) && !broken.contains(other))
                .count();
            if fits && (still_ready >= wanted || !ready(machine_id)) {
                tracing::info!(%machine_id, "drain started");
                self.autoscaler.drains.insert(machine_id.clone());
                return;
            }
        }
    }

    /// A line for the log: how much of the fleet is in use.
    fn log_use(&mut self) {
        if self.now.since(self.autoscaler.fleet.logged) < LOG_EVERY {
            return;
        }
        self.autoscaler.fleet.logged = self.now;
        let (mut booting, mut idle, mut busy, mut spot) = (0, 0, 0, 0);
        let (mut capacity, mut used) = (Resources::default(), Resources::default());
        for (machine_id, rented) in &self.autoscaler.fleet.machine_ids {
            match (rented.stage, rented.idle) {
                (MachineStage::Running, None) => busy += 1,
                (MachineStage::Running, Some(_)) => idle += 1,
                _ => booting += 1,
            }
            spot += u32::from(rented.spot);
            if let Some(type_spec) = self.type_spec(&rented.machine_type) {
                capacity = capacity.plus(type_spec.resources);
                used = used.plus(self.jobs.allocated(machine_id));
            }
        }
        let waiting: u32 = self
            .jobs
            .iter()
            .filter(|j| j.active())
            .map(|j| j.waiting())
            .sum();
        tracing::info!(
            busy,
            idle,
            booting,
            spot,
            draining = self.autoscaler.drains.len(),
            waiting,
            headroom = ?self.headroom().iter().map(|h| h.machines).collect::<Vec<_>>(),
            used = format!("{:.2}", used.share_of(capacity)),
            "fleet usage"
        );
    }

    /// Tasks that may use spot machines but run on ordinary ones that would else stand ready.
    fn unplaced_spot_demand(&self) -> Vec<Need<'_>> {
        let mut counts: BTreeMap<&JobId, u32> = BTreeMap::new();
        for (machine_id, _) in self
            .autoscaler
            .fleet
            .machine_ids
            .iter()
            .filter(|(_, rented)| !rented.spot)
        {
            if !self.autoscaler.drains.contains(machine_id) && self.jobs.yielding(machine_id) {
                for (id, _) in self.jobs.on_machine(machine_id) {
                    *counts.entry(id).or_default() += 1;
                }
            }
        }
        counts
            .into_iter()
            .filter_map(|(id, count)| Some((&self.jobs.get(id)?.spec, count)))
            .filter(|(spec, _)| spec.spot)
            .map(|(spec, count)| Need {
                spec,
                count,
                spot_only: true,
            })
            .collect()
    }

    /// For how long arrivals have been seen: a controller that came back has seen few, but the
    /// others' users went on asking.
    fn arrivals_observed_for(&self) -> Millis {
        let seen = self.now.since(self.autoscaler.arrivals_since);
        Millis(seen.0.clamp(LEAST_SEEN.0, WINDOW.0))
    }

    /// Whole machines that should stand ready: what urgent work asks for while one boots.
    pub(super) fn headroom(&self) -> Vec<Headroom> {
        let Some(type_spec) = self
            .autoscaler
            .type_specs
            .iter()
            .min_by(|a, b| a.price.total_cmp(&b.price))
        else {
            return Vec::new();
        };
        // A machine serves once it has booted and fetched an image.
        let images_gb: f64 = self.autoscaler.arrivals.iter().map(|a| a.image_gb).sum();
        let mean_gb = images_gb / self.autoscaler.arrivals.len().max(1) as f64;
        let lead_s = type_spec.boot_s + QUICK_FETCH_S + type_spec.slow_s(mean_gb);
        [false, true]
            .map(|spot| {
                // What comes while a machine boots; in a large fleet about as much comes free
                // meanwhile, and only the fluctuation of both is to be covered.
                let part = lead_s / self.arrivals_observed_for().secs();
                let machines = |urgent: bool| {
                    let asked = self.autoscaler.arrivals.iter();
                    let asked = asked.filter(|a| a.spot == spot && (urgent || !a.urgent));
                    let (sum, squares) = asked.fold((0.0, 0.0), |(sum, squares), a| {
                        (sum + a.share, squares + a.share * a.share)
                    });
                    let spread: f64 = (2.0 * squares * part).sqrt();
                    (sum * part).min(SPREAD * spread).round() as u32
                };
                Headroom {
                    spot,
                    machines: machines(true),
                    empty: machines(false),
                    resources: type_spec.resources,
                }
            })
            .to_vec()
    }

    fn rent(&mut self, offer: Offer, count: u32) {
        let Some(lead) = self.leading() else { return };
        self.autoscaler.fleet.rental_requests += 1;
        // Unique for good: no two terms of leadership begin at the same revision.
        let request_id = format!(
            "{}-{}-{}",
            self.me, lead.0, self.autoscaler.fleet.rental_requests
        );
        tracing::info!(request_id, ?offer, count, "scale out requested");
        let call = CloudCall::Rent {
            request_id,
            offer: offer.clone(),
            count,
        };
        let tag = self.call_cloud(call);
        self.autoscaler.fleet.renting.insert(tag, (offer, count));
    }

    pub(super) fn on_cloud(&mut self, tag: u64, answer: CloudResponse) {
        let Some(call) = self.calls.cloud.remove(&tag) else {
            return;
        };
        match (call, answer) {
            (CloudCall::MachineTypes, CloudResponse::MachineTypes(type_specs)) => {
                if self.autoscaler.type_specs.is_empty() {
                    tracing::info!(types = type_specs.len(), "machine types loaded");
                }
                self.store_machine_types(&type_specs);
                self.autoscaler.type_specs = type_specs;
            }
            (CloudCall::List { .. }, CloudResponse::Page { machine_ids, more }) => {
                let last = machine_ids.last().map(|listed| listed.machine_id.clone());
                for listed in machine_ids {
                    if self.autoscaler.fleet.gone.contains(&listed.machine_id) {
                        continue;
                    }
                    let now = self.now;
                    let rented = self
                        .autoscaler
                        .fleet
                        .machine_ids
                        .entry(listed.machine_id)
                        .or_insert_with(|| Rented {
                            machine_type: listed.machine_type,
                            zone: listed.zone,
                            spot: listed.spot,
                            stage: listed.stage,
                            since: now - listed.age,
                            seen: now,
                            idle: None,
                        });
                    rented.seen = now;
                    if listed.stage != MachineStage::Booting {
                        rented.stage = listed.stage;
                    }
                }
                match last.filter(|_| more) {
                    Some(last) => {
                        self.call_cloud(CloudCall::List { after: Some(last) });
                    }
                    None => self.end_of_list(),
                }
            }
            (CloudCall::List { .. }, _) => self.autoscaler.fleet.listing = false,
            (CloudCall::Rent { offer, .. }, CloudResponse::Rented(machine_ids)) => {
                let asked = self
                    .autoscaler
                    .fleet
                    .renting
                    .remove(&tag)
                    .map_or(0, |(_, count)| count);
                if (machine_ids.len() as u32) < asked {
                    self.autoscaler
                        .fleet
                        .refused
                        .insert(offer.clone(), self.now + SOLD_OUT);
                }
                for machine_id in machine_ids {
                    self.autoscaler
                        .fleet
                        .machine_ids
                        .entry(machine_id)
                        .or_insert_with(|| Rented {
                            machine_type: offer.0.clone(),
                            zone: offer.1.clone(),
                            spot: offer.2,
                            stage: MachineStage::Booting,
                            since: self.now,
                            seen: self.now,
                            idle: None,
                        });
                }
            }
            (CloudCall::Rent { offer, .. }, answer) => {
                self.autoscaler.fleet.renting.remove(&tag);
                let pause = match answer {
                    CloudResponse::NoCapacity => SOLD_OUT,
                    _ => Millis(3_000),
                };
                self.autoscaler
                    .fleet
                    .refused
                    .insert(offer, self.now + pause);
            }
            (CloudCall::Delete(machine_ids), CloudResponse::Deleted) => self.deleted(machine_ids),
            (CloudCall::Delete(machine_ids), _) => {
                for machine_id in machine_ids {
                    self.autoscaler.fleet.deleting.remove(&machine_id);
                }
            }
            (CloudCall::MachineTypes, _) => {}
        }
    }

    /// Notes the machine types in the state service when they are new there.
    fn store_machine_types(&mut self, type_specs: &[MachineTypeSpec]) {
        if let Some(lead) = self
            .leading()
            .filter(|_| self.autoscaler.stored_type_specs != type_specs)
        {
            let mut txn = Transaction::default();
            // Carried out late, it would bring back what a later leader has replaced.
            txn.require(LEADER.into(), lead);
            txn.put(MACHINE_TYPES_KEY.into(), type_specs);
            self.transact(CallClass::Rest, txn, CallPurpose::Note);
        }
    }

    /// No list is older than this.
    fn lists_lag(&self) -> Millis {
        Millis::from_secs(self.settings.deployment.cloud.list_lag_s * 2.0 + 5.0)
    }

    /// A machine that was listed and is no more, nor heard, is gone.
    fn end_of_list(&mut self) {
        self.autoscaler.fleet.listing = false;
        self.autoscaler.fleet.listed = self.now;
        let (lag, now) = (self.lists_lag(), self.now);
        let vanished: Vec<MachineId> = self
            .autoscaler
            .fleet
            .machine_ids
            .iter()
            .filter(|(_, rented)| now.since(rented.seen) > lag)
            .map(|(machine_id, _)| machine_id.clone())
            .collect();
        // Lists lag and disagree: only the answer to a deletion proves it.
        self.delete(vanished);
    }

    fn deleted(&mut self, machine_ids: Vec<MachineId>) {
        let mut changes = Vec::new();
        for machine_id in machine_ids {
            self.autoscaler.fleet.deleting.remove(&machine_id);
            self.autoscaler.fleet.machine_ids.remove(&machine_id);
            self.autoscaler.drains.remove(&machine_id);
            self.machines.remove(&machine_id);
            self.gone_from(&machine_id, &mut changes);
            self.autoscaler.fleet.gone.insert(machine_id);
        }
        self.note_changes(changes);
    }

    /// What the records still have on a machine that is deleted has left it.
    fn gone_from(&self, machine_id: &MachineId, changes: &mut Vec<(JobId, u32, TaskChange)>) {
        for (id, index) in self.jobs.on_machine(machine_id) {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let placement = job.task(*index).placement();
            if let Some(attempt) = placement.map(|p| p.attempt)
                && !job.changes.contains_key(index)
            {
                let evidence = Evidence::Deleted;
                changes.push((
                    id.clone(),
                    *index,
                    TaskChange::Release { attempt, evidence },
                ));
            }
        }
    }

    /// A holder that had not heard of a deletion placed tasks on the machine after it, by a late
    /// copy of a heartbeat, or what was to be written of it was overtaken: nobody else will ever see
    /// these tasks leave.
    fn leave_the_gone(&mut self) {
        let machine_ids = self.jobs.machine_ids();
        let gone: Vec<MachineId> = machine_ids
            .filter(|h| self.autoscaler.fleet.gone.contains(*h))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for machine_id in gone {
            self.gone_from(&machine_id, &mut changes);
        }
        self.note_changes(changes);
    }
}

#[cfg(test)]
mod tests;
