//! The ordinary path: one task a cycle from the queue onto a machine of our blocks; what does
//! not fit goes to the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::BuildHasher;

use rustc_hash::FxBuildHasher;

use super::{Controller, Effect, Pool};
use crate::admission::backlog::Lane;
use crate::admission::shared::Said;
use crate::cycle::{self, Asking, Candidate};
use crate::fleet::{Flavor, fetch_rate};
use crate::jobs::cache::{Change, Job, Writing};
use crate::jobs::{Placement, Rank, Shape};
use crate::peers::{MachineView, Message, Pulse, Status};
use crate::preempt::{self, Offer, Site, Victim};
use crate::queue::{Check, Event, Order};
use crate::quota;
use crate::settings::TeamSettings;
use crate::types::{
    Attempt, BlockId, HostId, JobId, Millis, NodeId, Permit, Revision, Room, Session, Sku, TaskId,
    Token, Zone,
};
use crate::workers::reconcile::Stop;
use crate::workers::{Cached, Machine, block_of};
use tiller_admission::plan::Demand;

/// Cycles in one go, so that other events are not kept waiting.
const MOST_CYCLES: usize = 64;
/// A guarantee takes room from another team's replicas after its job waited this long.
const REPLICAS_GIVE_WAY: Millis = Millis(20_000);
/// Room is kept this long for the job that it was made for.
const NOMINATED: Millis = Millis(20_000);
const STATUS_EVERY: Millis = Millis(1_000);
/// What others said of a machine that nobody described is of no use after this long.
const HEARD_OF: Millis = Millis(120_000);
/// Each machine is described again once in this many statuses, whether it changed or not.
const TOLD_AGAIN: u64 = 8;
/// What the leader wants emptied is kept so for this long after it was last heard.
const DRAIN_HOLDS: Millis = Millis(15_000);

/// Seconds of this controller's part of the state service's limit that are reserved ahead.
const RESERVED_S: f64 = 0.5;
/// Changes count as short for this long after they stopped the cycles.
const SHORT_HOLDS: Millis = Millis(1_000);
/// Work of the lowest rank begins by then, if a machine is empty.
const BEGINS_BY: Millis = Millis(30_000);
/// Tasks that follow one onto its machine in one go.
const MOST_FILLED: usize = 64;
/// The fleet is looked over again after this long.
const POOL_HOLDS: Millis = Millis(200);

/// Whose machines a cycle looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    Own,
    Others,
    All,
}

/// Where room may be made.
enum Where {
    /// On this machine of ours.
    On(HostId),
    /// Where the job would start soonest, if that is by stopping work rather than by a fetch.
    Quickest,
    Anywhere,
}

impl Controller {
    fn responsible(&self, job: &Job) -> bool {
        let home = &job.record.home;
        *home == self.me
            || self.handed.contains(&job.id)
            || (self.leading().is_some() && !self.leases.nodes.contains_key(home))
    }

    pub(super) fn order(&self, job: &Job) -> Order {
        Order {
            beyond_guarantee: !self.guaranteed(job),
            rank: std::cmp::Reverse(job.spec.rank),
            born: job.born,
            flow: self.flows.of(&job.spec),
        }
    }

    /// Queues a job if it has tasks to place and that is ours to do; sees to the rest of one
    /// that is over.
    pub(super) fn consider(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            self.queue.remove(id);
            self.handed.remove(id);
            self.failed_jobs.remove(id);
            return;
        };
        if !job.active() {
            let ours = self.responsible(job);
            self.queue.remove(id);
            if ours || self.cancelling.waits_for(id) {
                self.clear(id);
            }
            return;
        }
        if job.waiting() > 0 && self.responsible(job) && !self.queue.contains(id) {
            let order = self.order(job);
            let failed = self.failed_jobs.remove(id);
            if self.hold_suspect(id, order) {
                return;
            }
            if failed {
                // Its last task failed: no machine may be right for it.
                let none = BTreeSet::new();
                self.queue.fail(id, 1, none, order, self.now, &mut self.rng);
            } else {
                self.queue.push(id, order);
            }
        }
    }

    /// A temporary error: the job waits, whatever the cluster does.
    pub(super) fn fail_later(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() && job.waiting() > 0 && self.responsible(job) {
            let order = self.order(job);
            self.queue
                .fail(id, 0, BTreeSet::new(), order, self.now, &mut self.rng);
        }
    }

    pub(super) fn flavor(&self, rig: &Sku) -> Option<&Flavor> {
        self.flavors.iter().find(|flavor| flavor.sku == *rig)
    }

    fn whole(&self, machine: &Machine) -> Room {
        let flavor = self.flavor(&machine.rig);
        flavor.map(|f| f.room).unwrap_or_default()
    }

    pub(super) fn free(&self, machine: &Machine) -> Room {
        self.whole(machine).minus(self.jobs.taken(&machine.host))
    }

    /// Fit for tasks that we place ourselves: in a block of ours, and heard under its token.
    pub(super) fn ours(&self, machine: &Machine) -> bool {
        self.token_for(&machine.block).is_some_and(|token| {
            machine.baton.token() == token
                && machine.answered.is_some_and(|(under, _)| under == token)
                && machine.fit(self.now, self.silence())
                && !self.drains.contains(&machine.host)
                && !self.fleet.gone.contains(&machine.host)
        })
    }

    /// Fit as far as its holder says.
    pub(super) fn others(&self, machine: &Machine) -> bool {
        self.token_for(&machine.block).is_none()
            && self
                .leases
                .blocks
                .get(&machine.block)
                .is_some_and(|(holder, _)| *holder == machine.heard_by)
            && machine.fit(self.now, self.silence())
            && !self.drains.contains(&machine.host)
            && !self.fleet.gone.contains(&machine.host)
    }

    /// Looks over the fleet again if something came up since, or that was a while ago.
    fn refresh_pool(&mut self) {
        if !self.pool.stale && self.now.since(self.pool.built) < POOL_HOLDS {
            return;
        }
        let fit = |usable: &dyn Fn(&Machine) -> bool| {
            let machines = self.machines.values().filter(|m| usable(m));
            machines.map(|m| m.host.clone()).collect()
        };
        let own: Vec<HostId> = fit(&|m| self.ours(m));
        let others: Vec<HostId> = fit(&|m| self.others(m));
        let (built, stale) = (self.now, false);
        let empty = |host: &&HostId| !self.jobs.busy(host);
        let all = || own.iter().chain(&others);
        let ready: u32 = self.headroom().iter().map(|h| h.machines).sum();
        let spare = all().filter(empty).count() > ready as usize;
        self.pool = Pool {
            built,
            stale,
            spare,
            own,
            others,
        };
    }

    /// Work of the lowest rank filled the machines that stood ready for urgent work, which then had
    /// to wait for it to save: it takes an empty machine only while there are more than that needs, or
    /// to begin at all.
    fn keeps_off_empty(&self, job: &Job) -> bool {
        job.spec.rank == Rank::BestEffort
            && !self.pool.spare
            && (job.placed > 0 || self.now.since(job.born) < BEGINS_BY)
    }

    fn candidates<'a>(
        &'a self,
        job: &'a Job,
        scope: Scope,
        zone: Option<&'a Zone>,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let own = self.pool.own.iter().filter(move |_| scope != Scope::Others);
        let others = self.pool.others.iter().filter(move |_| scope != Scope::Own);
        own.chain(others)
            .filter_map(|host| self.machines.get(host))
            .filter(move |m| zone.is_none_or(|zone| m.zone == *zone))
            .map(move |machine| self.candidate(job, machine))
    }

    /// A machine as a cycle for the job sees it.
    fn candidate<'a>(&self, job: &Job, machine: &'a Machine) -> Candidate<'a> {
        let (whole, on_it) = (self.whole(machine), self.jobs.host_use(&machine.host));
        let rate = fetch_rate(&self.flavors, &machine.rig);
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        Candidate {
            machine,
            whole,
            free: self.free_for(machine, &job.id),
            yielding: on_it.yielding(),
            image_s: machine.image_s(image, gb, rate, self.now),
            fetch_s: gb / rate,
            firm: on_it.taken.minus(on_it.soft).share_of(whole),
        }
    }

    /// Filters and scores the machines for the next task of a job.
    fn choose(
        &mut self,
        id: &JobId,
        scope: Scope,
        zone: Option<&Zone>,
        raise: Option<u32>,
    ) -> Result<HostId, BTreeSet<Check>> {
        loop {
            self.refresh_pool();
            let Some(job) = self.jobs.get(id) else {
                return Err(BTreeSet::new());
            };
            let mut asking = Asking::new(job, self.full_blocks(job, raise));
            asking.keeps_off_empty = self.keeps_off_empty(job);
            let host = cycle::choose(&asking, self.candidates(job, scope, zone))?;
            let usable = |m: &Machine| self.ours(m) || self.others(m);
            if self.machines.get(&host).is_some_and(usable) {
                return Ok(host);
            }
            // Not fit any more: the pool is behind.
            self.pool.stale = true;
        }
    }

    /// Runs cycles until nothing is active.
    pub(super) fn schedule(&mut self) {
        if !self.may_place() || self.flavors.is_empty() {
            return;
        }
        // What can't be written soon is better decided later: by then more is known, and what is
        // more important goes first.
        let state = &self.settings.deployment.state;
        let controllers = self.settings.controllers() as f64;
        let most = (state.write_rps / controllers * RESERVED_S).ceil().max(4.0) as usize;
        let mut cycles = 0..MOST_CYCLES;
        while cycles.next().is_some() {
            let waiting = self.unwritten.overdue_in(Lane::Places, self.now) + self.to_commit.len();
            if waiting >= most {
                if self.queue.first().is_some() {
                    self.short_until = self.now + SHORT_HOLDS;
                }
                break;
            }
            // Priority decides who has room. Where changes are what is short, floors do.
            let short = self.short();
            let next = if short {
                self.queue.pop_fair()
            } else {
                self.queue.pop()
            };
            let Some((id, fails)) = next else { break };
            // Another task of the job that was placed last goes into the same change.
            let new = self.to_commit.last() != Some(&id);
            let placed = self.cycle(&id, fails);
            if short
                && new
                && placed
                && let Some(job) = self.jobs.get(&id)
            {
                self.queue.served(self.flows.of(&job.spec));
            }
        }
        // More tasks of jobs that are to be written anyway cost no change. They take room, though, so
        // none that is before them in that may wait.
        let first = self.queue.first().map(|order| order.class());
        for id in self.unwritten.placing() {
            let class = self.jobs.get(&id).map(|job| self.order(job).class());
            if class > first {
                continue;
            }
            while cycles.next().is_some()
                && let Some((id, fails)) = self.queue.pop_job(&id)
            {
                self.cycle(&id, fails);
            }
        }
        // Tasks of one job that were placed together are committed together.
        for id in std::mem::take(&mut self.to_commit) {
            self.commit(&id);
        }
    }

    /// Whether changes are what is short: cycles were stopped by it a moment ago.
    pub(super) fn short(&self) -> bool {
        self.now < self.short_until
    }

    /// Whether a task, or a gang, was placed.
    fn cycle(&mut self, id: &JobId, fails: u32) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if !job.active() || job.waiting() == 0 || job.writing != Writing::Idle {
            // The answer brings it back.
            return false;
        }
        let order = self.order(job);
        if self.hold_suspect(id, order) {
            return false;
        }
        if fails == 0 && self.quicker(id, order) {
            return false;
        }
        let placed = self.place(id);
        let done = placed.is_ok();
        match placed {
            Ok(()) => {
                self.room_taken(id);
                if self.jobs.get(id).is_some_and(Job::whole_gang) {
                    self.commit(id);
                } else if self.to_commit.last() != Some(id) {
                    self.to_commit.push(id.clone());
                }
                if let Some(job) = self.jobs.get(id)
                    && job.waiting() > 0
                    && !self.hold_suspect(id, order)
                {
                    self.queue.push(id, order);
                } else {
                    self.handed.remove(id);
                }
            }
            Err(checks) => self.not_placed(id, fails, checks, order),
        }
        done
    }

    /// Whether a machine, ours or another's, has room and the job's image; for a gang, whether as
    /// many as it needs do.
    fn cached(&mut self, id: &JobId, scope: Scope) -> bool {
        self.refresh_pool();
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let asking = Asking::new(job, self.full_blocks(job, None));
        let mut cached = self.candidates(job, scope, None).filter(|candidate| {
            cycle::filter(&asking, candidate).is_none()
                && candidate.machine.images.contains_key(&job.spec.image)
        });
        if !job.whole_gang() {
            return cached.next().is_some();
        }
        let mut zones: BTreeMap<Option<&Zone>, u32> = BTreeMap::new();
        for candidate in cached {
            let zone = job.spec.one_zone.then_some(&candidate.machine.zone);
            *zones.entry(zone).or_default() += candidate.free.holds(job.spec.room);
        }
        zones.values().any(|tasks| *tasks >= job.record.tasks)
    }

    /// Fetching an image takes far longer than the way over the leader, or than stopping work that
    /// gives way: where our blocks lack the image, a job is placed where it is, and room is made
    /// there for an urgent one. False: the ordinary cycle goes on.
    fn quicker(&mut self, id: &JobId, order: Order) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let (urgent, gang) = (job.spec.rank >= Rank::Urgent, job.whole_gang());
        if gang && self.leading().is_some() || self.cached(id, Scope::Own) {
            return false;
        }
        let asked = if urgent {
            self.to_preempt.remove(id)
        } else {
            None
        };
        if asked.is_some_and(|host| self.preempt(id, Where::On(host))) {
            self.queue.expect_room(id, 0, order, self.now);
            return true;
        }
        let elsewhere = !gang && self.cached(id, Scope::Others);
        if self.leading().is_some() {
            let room = BTreeSet::from([Check::Room]);
            if elsewhere {
                self.not_placed(id, 0, room, order);
                return true;
            }
            if urgent && self.preempt(id, Where::Quickest) {
                self.queue.expect_room(id, 0, order, self.now);
                return true;
            }
            return false;
        }
        let asks = !self.handed.contains(id) && (elsewhere || urgent);
        if asks && self.hand_back(id) {
            // Tried here all the same if that leads to nothing.
            let none = BTreeSet::new();
            self.queue.fail(id, 0, none, order, self.now, &mut self.rng);
            return true;
        }
        false
    }

    /// Tells the leader that a job does not fit our blocks, if there is one.
    fn hand_back(&mut self, id: &JobId) -> bool {
        let Some(to) = self.leader().cloned() else {
            return false;
        };
        let job = id.to_string();
        let message = Message::Unplaced { job };
        self.effects.push(Effect::Peer { to, message });
        true
    }

    /// No machine of ours will do.
    fn not_placed(&mut self, id: &JobId, fails: u32, checks: BTreeSet<Check>, order: Order) {
        let blocked = checks.contains(&Check::Team) || checks.contains(&Check::Attempt);
        tracing::debug!(job = %id, fails, ?checks, "does not fit our blocks");
        let mut parked = checks;
        let nominated = self.nominations.of(id, self.now).is_some();
        let gang = self.jobs.get(id).is_some_and(Job::whole_gang);
        if !blocked && !nominated {
            let asked = self.to_preempt.remove(id);
            if asked.is_some_and(|host| self.preempt(id, Where::On(host))) {
                return self.queue.expect_room(id, fails, order, self.now);
            } else if self.leading().is_some() && gang {
                // Tried over the whole fleet already.
                if self.make_room_for_gang(id) {
                    return self.queue.expect_room(id, fails, order, self.now);
                }
            } else if self.leading().is_some() {
                match self.choose(id, Scope::Others, None, None) {
                    Ok(host) => {
                        let holder = self.machines.get(&host).map(|m| m.heard_by.clone());
                        if let Some(to) = holder {
                            let job = id.to_string();
                            let preempt = None;
                            let message = Message::Place { job, preempt };
                            self.effects.push(Effect::Peer { to, message });
                        }
                        // Handed over: looked at again soon, in case it did not work.
                        parked.clear();
                    }
                    Err(more) => {
                        parked.extend(more);
                        // Where only shares are used up, room is no use.
                        if !parked.contains(&Check::Share) && self.preempt(id, Where::Anywhere) {
                            return self.queue.expect_room(id, fails, order, self.now);
                        }
                    }
                }
            } else if self.hand_back(id) {
                let home = self.jobs.get(id).map(|job| &job.record.home);
                if home != Some(&self.me) {
                    self.handed.remove(id);
                    return;
                }
            }
        }
        if nominated && self.several(id) {
            // Room for it is on its way on some machine: that is no failure.
            return self.queue.expect_room(id, fails, order, self.now);
        }
        // Work within its share of the tree asks again soon: others hold what is its own.
        let due = !order.beyond_guarantee && self.several(id);
        let fails = if due { 0 } else { fails };
        self.queue
            .fail(id, fails, parked, order, self.now, &mut self.rng);
    }

    /// Reserves machines for the next task, or for all tasks of a gang.
    fn place(&mut self, id: &JobId) -> Result<(), BTreeSet<Check>> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let gang = job.spec.shape == Shape::Gang;
        if gang && (job.placed > 0 || !job.changes.is_empty()) {
            return Err(BTreeSet::from([Check::Attempt]));
        }
        let count = if gang { job.record.tasks } else { 1 };
        let wanted = job.spec.room.times(f64::from(count));
        let keeps = |team: &TeamSettings| {
            let used = self.jobs.usage(&team.name);
            quota::within(used.plus(wanted), team)
        };
        if !self.limits(job).iter().all(keeps) {
            return Err(BTreeSet::from([Check::Team]));
        }
        if !gang {
            let Some((index, tried)) = job.next_waiting(1).first().copied() else {
                return Ok(());
            };
            let attempt = Attempt(tried.0 + 1);
            let mut checks = match self.reserve(id, index, attempt, Scope::Own, None, None) {
                Ok(host) => {
                    self.fill(id, &host);
                    return Ok(());
                }
                Err(checks) => checks,
            };
            let limited = self
                .jobs
                .get(id)
                .is_some_and(|job| !self.limits(job).is_empty());
            if self.leading().is_none() || !limited {
                return Err(checks);
            }
            // Where shares are used up, the leader places beyond them, as far as the limit goes.
            match self.choose(id, Scope::Others, None, None) {
                Err(more) => checks.extend(more),
                Ok(_) => return Err(checks),
            }
            if !checks.contains(&Check::Share) {
                return Err(checks);
            }
            let beyond = self.reserve(id, index, attempt, Scope::All, None, Some(1));
            return beyond.map(|_| ()).map_err(|_| checks);
        }
        let attempt = Attempt(job.highest_attempt().0 + 1);
        // The leader sees the whole fleet, so a gang that no block has room for spans several.
        let (scope, raise) = if self.leading().is_some() {
            (Scope::All, Some(count))
        } else {
            (Scope::Own, None)
        };
        if count > 1 && scope == Scope::All && !self.pool.stale {
            let hosts: Option<Vec<HostId>> = match self.nominations.of(id, self.now) {
                Some(hosts) => Some(hosts.to_vec()),
                None => match self.gang_offers(id) {
                    Some(offers) if offers.iter().any(|offer| !offer.victims.is_empty()) => {
                        return Err(BTreeSet::from([Check::Room]));
                    }
                    offers => offers.map(|o| o.into_iter().map(|offer| offer.host).collect()),
                },
            };
            if hosts.is_some_and(|hosts| self.reserve_on(id, attempt, &hosts)) {
                return Ok(());
            }
        }
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let zones: Vec<Option<Zone>> = if job.spec.one_zone && count > 1 {
            self.zones_by_room(id, scope)
                .into_iter()
                .map(Some)
                .collect()
        } else {
            vec![None]
        };
        let mut rejected = BTreeSet::from([Check::Machine, Check::Room]);
        for zone in zones {
            let all = (0..count).try_for_each(|i| {
                let raise = raise.map(|count| count - i);
                self.reserve(id, i, attempt, scope, zone.as_ref(), raise)
                    .map(|_| ())
            });
            match all {
                Ok(()) => return Ok(()),
                Err(checks) => {
                    // The permit step: all of a gang or none of it.
                    rejected.extend(checks);
                    self.jobs.discard_changes(id);
                }
            }
        }
        Err(rejected)
    }

    /// Reserves these machines for a gang, if all have room for it.
    fn reserve_on(&mut self, id: &JobId, attempt: Attempt, hosts: &[HostId]) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let asking = Asking::new(job, self.full_blocks(job, Some(job.record.tasks)));
        let fits = |host: &HostId| {
            self.machines.get(host).is_some_and(|m| {
                let free = self.free_for(m, id);
                (self.ours(m) || self.others(m))
                    && asking.allows(m)
                    && job.spec.room.fits_in(free)
                    && job.spec.allows(&m.rig, &m.zone, m.spot)
            })
        };
        let zone = |host: &HostId| self.machines.get(host).map(|m| m.zone.clone());
        let together = !job.spec.one_zone || hosts.iter().all(|h| zone(h) == zone(&hosts[0]));
        if hosts.len() != job.record.tasks as usize || !together || !hosts.iter().all(fits) {
            return false;
        }
        for (index, host) in (0..).zip(hosts) {
            self.reserve_at(id, index, attempt, host.clone());
        }
        true
    }

    /// Zones in which all tasks of a gang find room, those with most of it first.
    fn zones_by_room(&mut self, id: &JobId, scope: Scope) -> Vec<Zone> {
        self.refresh_pool();
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let asking = Asking::new(job, Vec::new());
        let mut room: BTreeMap<&Zone, u32> = BTreeMap::new();
        for candidate in self.candidates(job, scope, None) {
            if cycle::filter(&asking, &candidate).is_none() {
                let each = candidate.free.holds(job.spec.room);
                *room.entry(&candidate.machine.zone).or_default() += each;
            }
        }
        let mut zones: Vec<(u32, &Zone)> = room.into_iter().map(|(z, n)| (n, z)).collect();
        zones.retain(|(count, _)| *count >= job.record.tasks);
        zones.sort_by(|a, b| b.cmp(a));
        zones.into_iter().map(|(_, zone)| zone.clone()).collect()
    }

    fn reserve(
        &mut self,
        id: &JobId,
        index: u32,
        attempt: Attempt,
        scope: Scope,
        zone: Option<&Zone>,
        raise: Option<u32>,
    ) -> Result<HostId, BTreeSet<Check>> {
        let host = self.choose(id, scope, zone, raise)?;
        self.reserve_at(id, index, attempt, host.clone());
        Ok(host)
    }

    /// Further tasks of an array go to the machine that was just chosen for one, as long as cycles
    /// of their own would choose it again: its score is no lower than it was, and no other machine's
    /// has changed. A cycle looks at the whole pool, and an array may have 25,000 tasks.
    fn fill(&mut self, id: &JobId, host: &HostId) {
        let waiting = self.jobs.get(id).map(|job| job.next_waiting(MOST_FILLED));
        for (index, tried) in waiting.unwrap_or_default() {
            let Some(job) = self.jobs.get(id) else { return };
            let spec = &job.spec;
            if spec.shape != Shape::Array || spec.one_zone || spec.spread {
                return;
            }
            let keeps = |team: &TeamSettings| {
                quota::within(self.jobs.usage(&team.name).plus(spec.room), team)
            };
            let Some(machine) = self.machines.get(host) else {
                return;
            };
            let asking = Asking::new(job, self.full_blocks(job, None));
            let mut candidate = self.candidate(job, machine);
            let failed = machine.failed.contains_key(id);
            if !self.limits(job).iter().all(keeps) || cycle::filter(&asking, &candidate).is_some() {
                return;
            }
            let now = cycle::score(spec, &candidate, failed);
            candidate.free = candidate.free.plus(spec.room);
            if now < cycle::score(spec, &candidate, failed) {
                return;
            }
            self.reserve_at(id, index, Attempt(tried.0 + 1), host.clone());
        }
    }

    fn reserve_at(&mut self, id: &JobId, index: u32, attempt: Attempt, host: HostId) {
        if let (Some(machine), Some(job)) = (self.machines.get(&host), self.jobs.get(id)) {
            let cached = machine.images.contains_key(&job.spec.image);
            let (class, age) = (&job.spec.class, self.now.since(job.born).secs());
            let image = job.spec.image.as_str();
            tracing::debug!(job = %id, class, index, %host, image, cached, age, "reserved");
            let placement = Placement {
                host: host.clone(),
                block: machine.block.clone(),
                session: machine.session,
                attempt,
            };
            let (image, gb) = (job.spec.image.clone(), job.spec.image_gb);
            self.jobs.want(id, index, Change::Place(placement));
            if let Some(machine) = self.machines.get_mut(&host) {
                machine.expect_image(&image, gb, self.now);
            }
        }
    }

    /// Whether a task may be stopped for the job, by priority or by the teams' flat guarantees.
    /// With a tree of quotas its teams may be stopped as far as that allows; the ledger judges it.
    fn may_stop(&self, job: &Job, guaranteed: bool, victim: &Job) -> (bool, bool) {
        let lower = victim.spec.rank < job.spec.rank;
        // Work beyond its team's guarantee gives way to another team's guarantee; replicas only
        // when nothing else made room for a while.
        let patient = self.now.since(job.settled) > REPLICAS_GIVE_WAY;
        let gives = guaranteed
            && (victim.spec.shape != Shape::Service || patient)
            && victim.spec.team != job.spec.team;
        let nested = self.in_tree(&job.spec.team) && self.in_tree(&victim.spec.team);
        let flat = || {
            self.settings.team(&victim.spec.team).is_some_and(|team| {
                let left = self.jobs.usage(&team.name).minus(victim.spec.room);
                !quota::guaranteed(left, team)
            })
        };
        (lower || gives && !nested && flat(), gives && nested)
    }

    /// Seconds that stopping a task wastes: saving, or its work so far, and starting it again.
    pub(super) fn waste(&self, victim: &Job) -> f64 {
        let spec = &victim.spec;
        let whole = self.flavors.first().map(|f| f.room);
        let share = victim.spec.room.share_of(whole.unwrap_or(victim.spec.room));
        let lost = if spec.cheap_to_kill() {
            spec.checkpoint_s / 2.0 + 2.0
        } else if spec.checkpoint_s > 0.0 {
            spec.save_s + 5.0
        } else {
            spec.estimate_s.max(120.0)
        };
        // One that is late, or long, can afford it least.
        let age = self.now.since(victim.born).secs();
        let late = (age + spec.estimate_s) / spec.due_s.unwrap_or(600.0).max(1.0);
        lost * share * (0.5 + late)
    }

    /// Stops work of lower order on the machine where that wastes least, and keeps its room for
    /// the job. The leader looks at the whole fleet and leaves the stopping to the machine's
    /// holder.
    fn preempt(&mut self, id: &JobId, place: Where) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let guaranteed = !self.order(job).beyond_guarantee;
        let asking = Asking::new(job, Vec::new());
        let sites: Vec<Site> = self
            .machines
            .values()
            .filter(|m| match &place {
                Where::On(host) => m.host == *host && self.ours(m),
                Where::Quickest | Where::Anywhere => self.ours(m) || self.others(m),
            })
            .filter(|m| job.spec.allows(&m.rig, &m.zone, m.spot))
            .filter(|m| asking.zone_allowed(&m.zone))
            .map(|machine| self.site(job, guaranteed, machine))
            .collect();
        let room = job.spec.room;
        let most = match &place {
            Where::Anywhere => Self::claims(job),
            Where::On(_) | Where::Quickest => 1,
        };
        let offers = match self.ledger(job) {
            Some(ledger) => {
                let offers = ledger.clone().plan(room, sites.clone(), most);
                if offers.is_empty() && !matches!(place, Where::Quickest) {
                    let gathered = self.gather(id, ledger, &sites);
                    let asked = matches!(place, Where::On(_));
                    return gathered.is_some_and(|gathered| {
                        (asked || self.may_gather(id)) && self.gather_on(id, gathered)
                    });
                }
                offers
            }
            None => preempt::choose(room, sites).into_iter().collect(),
        };
        let Some(first) = offers.first() else {
            return false;
        };
        if matches!(place, Where::Quickest) && first.victims.is_empty() {
            return false;
        }
        let several = offers.len() > 1;
        let until = self.now + self.kept_for(id, &offers).unwrap_or(NOMINATED);
        for Offer { host, victims, .. } in offers {
            tracing::info!(job = %id, %host, ?victims, "making room");
            self.nominations.add(id, &host, room, until);
            match self.machines.get(&host) {
                Some(machine) if !self.ours(machine) => {
                    let to = machine.heard_by.clone();
                    let (job, host) = (id.to_string(), host.to_string());
                    let message = if several {
                        Message::MakeRoom { job, host }
                    } else {
                        let preempt = Some(host);
                        Message::Place { job, preempt }
                    };
                    self.effects.push(Effect::Peer { to, message });
                }
                _ => self.stop_victims(&host, victims),
            }
        }
        true
    }

    pub(super) fn stop_victims(&mut self, host: &HostId, victims: Vec<TaskId>) {
        for task in victims {
            let attempt = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.task(task.index).placement())
                .map(|placement| placement.attempt);
            let save = !self
                .jobs
                .get(&task.job)
                .is_some_and(|j| j.spec.cheap_to_kill());
            if let Some(attempt) = attempt {
                self.stops.insert(task, Stop { attempt, save });
            }
        }
        self.poke(host);
    }

    /// Where a gang would start soonest, all in one zone if it must: on machines that are free, and
    /// on those where stopping lower work wastes less than a fetch.
    fn gang_offers(&self, id: &JobId) -> Option<Vec<Offer>> {
        let job = self.jobs.get(id)?;
        let guaranteed = !self.order(job).beyond_guarantee;
        let (room, count) = (job.spec.room, job.record.tasks as usize);
        let asking = Asking::new(job, self.full_blocks(job, Some(job.record.tasks)));
        let mut zones: BTreeMap<Option<&Zone>, Vec<Site>> = BTreeMap::new();
        for host in self.pool.own.iter().chain(&self.pool.others) {
            let Some(machine) = self.machines.get(host) else {
                continue;
            };
            if !job.spec.allows(&machine.rig, &machine.zone, machine.spot)
                || !asking.allows(machine)
            {
                continue;
            }
            let zone = job.spec.one_zone.then_some(&machine.zone);
            let site = self.site(job, guaranteed, machine);
            zones.entry(zone).or_default().push(site);
        }
        let ledger = self.ledger(job);
        let sets = zones.into_values().map(|sites| match &ledger {
            Some(ledger) => ledger.clone().plan_all(room, sites, count),
            None => {
                let offers = sites.iter().filter_map(|site| preempt::offer(room, site));
                offers.collect()
            }
        });
        preempt::cheapest_set(sets, count)
    }

    /// Makes room for all tasks of a gang. Each machine's holder does it and keeps the room.
    fn make_room_for_gang(&mut self, id: &JobId) -> bool {
        let Some(offers) = self.gang_offers(id) else {
            return false;
        };
        let Some(room) = self.jobs.get(id).map(|job| job.spec.room) else {
            return false;
        };
        tracing::info!(job = %id, hosts = ?offers.iter().map(|o| &o.host).collect::<Vec<_>>(),
            "making room for a gang");
        let until = self.now + NOMINATED;
        for offer in offers {
            self.nominations.add(id, &offer.host, room, until);
            match self.machines.get(&offer.host) {
                Some(machine) if !self.ours(machine) => {
                    let to = machine.heard_by.clone();
                    let (job, host) = (id.to_string(), offer.host.to_string());
                    let message = Message::MakeRoom { job, host };
                    self.effects.push(Effect::Peer { to, message });
                }
                _ => self.stop_victims(&offer.host, offer.victims),
            }
        }
        true
    }

    /// What could be stopped on a machine for the job.
    fn site(&self, job: &Job, guaranteed: bool, machine: &Machine) -> Site {
        let victim = |(id, index): &(JobId, u32)| {
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            let victim = self.jobs.get(id)?;
            let leaving = self.stops.contains_key(&task) || !victim.active();
            let (lower, borrowed) = if leaving || victim.whole_gang() {
                (false, false)
            } else {
                self.may_stop(job, guaranteed, victim)
            };
            (leaving || lower || borrowed).then(|| Victim {
                task,
                room: victim.spec.room,
                rank: victim.spec.rank,
                waste_s: self.waste(victim),
                leaving,
                lower,
                team: borrowed.then(|| victim.spec.team.clone()),
                over: None,
            })
        };
        let victims = self
            .jobs
            .on_host(&machine.host)
            .filter_map(victim)
            .collect();
        let rate = fetch_rate(&self.flavors, &machine.rig);
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        Site {
            host: machine.host.clone(),
            free: self.free_for(machine, &job.id),
            victims,
            delay_s: machine.image_s(image, gb, rate, self.now),
            nested: false,
        }
    }

    /// Free room, without what is being made for others of no lower priority.
    fn free_for(&self, machine: &Machine, id: &JobId) -> Room {
        let mut free = self.free(machine);
        let mut rank = None;
        for (other, room) in self.nominations.on(&machine.host, self.now) {
            let rank = rank.get_or_insert_with(|| self.jobs.get(id).map(|job| job.spec.rank));
            let above = |job: &Job| *rank <= Some(job.spec.rank);
            if other != id && self.jobs.get(other).is_some_and(above) {
                free = free.minus(room);
            }
        }
        free
    }

    /// Tells the parked jobs of a change in the cluster.
    pub(super) fn wake(&mut self, event: Event) {
        if let Event::Freed(host) = &event {
            self.take_due(host);
        }
        let machine = match &event {
            Event::Machine(host) | Event::Freed(host) => self.machines.get(host),
            _ => None,
        };
        let room = machine.map(|m| (m, self.free(m)));
        if matches!(event, Event::Machine(_)) {
            self.pool.stale = true;
        }
        let jobs = &self.jobs;
        let mut queue = std::mem::take(&mut self.queue);
        queue.wake(self.now, |id, check| {
            let Some(job) = jobs.get(id) else { return true };
            // A gang waits until all of its machines are free; of other jobs any task may start.
            let all = job.whole_gang() || self.nested.force().is_none();
            let hosts = self.nominations.of(id, self.now).filter(|_| all);
            let hosts = hosts.unwrap_or_default();
            let fits = |host: &HostId| {
                let machine = self.machines.get(host);
                machine.is_some_and(|m| job.spec.room.fits_in(self.free(m)))
            };
            if hosts.len() > 1 && check == Check::Room && !hosts.iter().all(fits) {
                return false;
            }
            match (check, &event) {
                (Check::Room | Check::Machine, Event::Machine(_) | Event::Freed(_)) => {
                    room.as_ref().is_some_and(|(machine, free)| {
                        job.spec.allows(&machine.rig, &machine.zone, machine.spot)
                            && job.spec.room.fits_in(*free)
                    })
                }
                (Check::Zones, Event::Machine(_)) => true,
                (Check::Zones | Check::Attempt, Event::TaskLeft(left)) => left == id,
                (Check::Team | Check::Share, Event::TeamFreed(team)) => self.team_helps(team, id),
                (Check::Share, Event::Dealt) => true,
                (Check::Team | Check::Share | Check::Room, Event::NewTree) => true,
                (Check::Room | Check::Machine, Event::Entitled(team)) => *team == job.spec.team,
                _ => false,
            }
        });
        self.queue = queue;
    }

    pub(super) fn on_peer(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Hello { .. } => {}
            Message::Unplaced { job } => {
                // One that is queued here already keeps its place: it must not come round faster
                // than its back-off lets it.
                let job = JobId::from(job);
                if self.leading().is_some() && !self.queue.contains(&job) {
                    self.take_over(&job);
                }
            }
            Message::Place { job, preempt } => {
                let job = JobId::from(job);
                if let Some(host) = preempt {
                    self.to_preempt.insert(job.clone(), host.into());
                }
                self.take_over(&job);
            }
            Message::MakeRoom { job, host } => {
                let job = JobId::from(job);
                if self.preempt(&job, Where::On(host.into())) {
                    self.expect_task(&job);
                }
            }
            Message::Left(left) => self.on_left(left),
            Message::Failed { job, host } => self.note_failed(&job.into(), &host.into()),
            Message::Status(status) => self.on_status(from, status),
        }
    }

    /// Takes a job over that was handed to us; as soon as it is known, if a message was faster
    /// than the watch.
    pub(super) fn take_over(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            self.handed_early.insert(id.clone(), self.now);
            return;
        };
        if job.active() && job.waiting() > 0 {
            let order = self.order(job);
            self.handed.insert(id.clone());
            self.queue.activate(id, order);
        }
    }

    fn on_status(&mut self, from: NodeId, status: Status) {
        // One that lost the state service has lost its lease too, and goes on; one that did not is
        // no more, and says so late.
        let over = |permit| self.leases.is_over(Permit(permit));
        let went_on = Millis(status.without_store_ms) > self.settings.operator.lease;
        if status.permit.is_some_and(over) && !went_on {
            tracing::debug!(%from, "a message of a process that is no more");
            return;
        }
        let (now, parts) = (self.now, self.settings.operator.blocks_per_zone);
        let state = super::PeerState {
            heard: now,
            revision: Revision(status.revision),
            without_store: Millis(status.without_store_ms),
            hears: status.hears,
        };
        self.peers.insert(from.clone(), state);
        let demand = Demand {
            used: status.used_milli as f64 / 1e3,
            waiting: status.waiting as f64,
        };
        let obeys = Revision(status.plan);
        self.shared
            .said
            .insert(from.clone(), Said { obeys, demand });
        for (block, token) in status.blocks {
            let Some(block) = BlockId::parse(&block) else {
                continue;
            };
            let token = Token(token);
            if self.leases.supersede(&block, &from, token) {
                tracing::info!(%block, holder = %from, token = token.0, "superseded");
                self.moved.insert(block, now);
            }
        }
        let silence = self.silence();
        let mut fit = Vec::new();
        for view in status.views {
            let host = HostId::from(view.host);
            let machine = match self.machines.get_mut(&host) {
                Some(machine) => machine,
                None => {
                    let zone = Zone::from(view.zone);
                    let block = block_of(&host, &zone, parts);
                    let (rig, by) = (view.rig.into(), from.clone());
                    let new = Machine::new(host.clone(), rig, zone, view.spot, block, by);
                    self.machines.entry(host).or_insert(new)
                }
            };
            if self.leases.holds(&machine.block, &self.me).is_some() {
                continue;
            }
            machine.address = view.address.parse().ok().or(machine.address);
            let cached = |(image, mb): (String, u64)| {
                let gb = mb as f64 / 1e3;
                (image.into(), Cached { used: now, gb })
            };
            machine.images = view.images.into_iter().map(cached).collect();
        }
        for pulse in status.machines {
            let host = HostId::from(pulse.host);
            // One that we know nothing of yet is described soon. Until then it must not be taken
            // for one that its holder never heard.
            let Some(machine) = self.machines.get_mut(&host) else {
                self.heard_of.insert(host, now - Millis(pulse.silent_ms));
                continue;
            };
            if self.leases.holds(&machine.block, &self.me).is_some() {
                continue;
            }
            let was_fit = machine.fit(now, silence);
            machine.heard = machine.heard.max(now - Millis(pulse.silent_ms));
            machine.heard_by = from.clone();
            let session = Session(pulse.session);
            if session != machine.session {
                // What we know of its counter is of another session.
                (machine.session, machine.tally) = (session, 0);
            }
            machine.hearing.told(!pulse.doubtful, now);
            machine.warned = pulse.warned;
            if machine.sick && !pulse.sick {
                // It was the jobs, not the machine.
                self.drains.remove(&machine.host);
            }
            if pulse.sick && !machine.sick {
                self.trials.sick(&machine.host, now);
            }
            machine.sick = pulse.sick;
            machine.draining = pulse.draining;
            if !was_fit && machine.fit(now, silence) {
                fit.push(machine.host.clone());
            }
        }
        if self.leader() == Some(&from) {
            self.drains = status.draining.into_iter().map(HostId::from).collect();
            self.drains_heard = now;
        }
        for host in fit {
            self.wake(Event::Machine(host));
        }
    }

    /// Tells the others what we see, once a second.
    pub(super) fn keep_peers(&mut self) {
        if self.leading().is_none()
            && !self.drains.is_empty()
            && self.now.since(self.drains_heard) > DRAIN_HOLDS
        {
            self.drains.clear();
        }
        if self.now.since(self.status_sent) < STATUS_EVERY {
            return;
        }
        self.status_sent = self.now;
        let round = self.now.0 / STATUS_EVERY.0 % TOLD_AGAIN;
        let (mut machines, mut views) = (Vec::new(), Vec::new());
        for machine in self.machines.values() {
            let token = self.leases.holds(&machine.block, &self.me);
            if token != Some(machine.baton.token()) {
                continue;
            }
            machines.push(Pulse {
                host: machine.host.to_string(),
                silent_ms: self.now.since(machine.heard).0,
                session: machine.session.0,
                doubtful: !machine.hearing.proved(),
                warned: machine.warned,
                sick: machine.sick,
                draining: self.drains.contains(&machine.host),
            });
            // The same images in any order give the same sum.
            let images = machine
                .images
                .keys()
                .map(|image| FxBuildHasher.hash_one(image));
            let images = images.fold(0u64, u64::wrapping_add);
            let state = FxBuildHasher.hash_one((machine.address, images));
            let changed = self.told.insert(machine.host.clone(), state) != Some(state);
            let turn = FxBuildHasher.hash_one(&machine.host) % TOLD_AGAIN;
            if changed || turn == round {
                views.push(MachineView {
                    host: machine.host.to_string(),
                    address: machine.address.map(|a| a.to_string()).unwrap_or_default(),
                    rig: machine.rig.as_str().into(),
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
        self.heard_of
            .retain(|host, heard| !known.contains_key(host) && now.since(*heard) < HEARD_OF);
        self.told.retain(|host, _| known.contains_key(host));
        let draining = if self.leading().is_some() {
            // What is placed on a machine that is being deleted dies at once: its holder places nothing there
            // either.
            let gone = self.fleet.gone.iter();
            let gone = gone.filter(|host| self.machines.contains_key(*host));
            let leaving = self.fleet.deleting.union(&self.drains).chain(gone);
            leaving.map(|host| host.to_string()).collect()
        } else {
            Vec::new()
        };
        let said = self.shared.said.get(&self.me).copied().unwrap_or_default();
        let status = Status {
            permit: self.leases.permit().map(|permit| permit.0),
            plan: said.obeys.0,
            used_milli: (said.demand.used * 1e3) as u64,
            waiting: said.demand.waiting as u64,
            revision: self.applied.0,
            without_store_ms: self.without_store().0,
            hears: self.hears && self.now.since(self.last_report) <= self.silence(),
            blocks: self
                .leases
                .blocks
                .iter()
                .filter(|(_, (holder, _))| *holder == self.me)
                .map(|(block, (_, token))| (block.to_string(), token.0))
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

#[cfg(test)]
mod tests;
