//! The ordinary path: one task a cycle from the queue onto a machine of our blocks; what does
//! not fit goes to the leader.

use std::collections::BTreeSet;

use super::{Controller, Effect, Nomination};
use crate::cycle::{self, Candidate};
use crate::fleet::Flavor;
use crate::jobs::cache::{Change, Job, Writing};
use crate::jobs::{Placement, Rank, Shape};
use crate::peers::{MachineView, Message, Status};
use crate::preempt::{self, Site, Victim};
use crate::queue::{Check, Event, Order};
use crate::quota;
use crate::types::{
    Attempt, BlockId, HostId, JobId, Millis, NodeId, Revision, Room, Session, Sku, TaskId, Token,
    Zone,
};
use crate::workers::reconcile::Stop;
use crate::workers::{Machine, block_of};

/// Cycles in one go, so that other events are not kept waiting.
const MOST_CYCLES: usize = 64;
/// A guarantee takes room from another team's replicas after its job waited this long.
const REPLICAS_GIVE_WAY: Millis = Millis(20_000);
/// Room is kept this long for the job that it was made for.
const NOMINATED: Millis = Millis(20_000);
const STATUS_EVERY: Millis = Millis(1_000);
/// What the leader wants emptied is kept so for this long after it was last heard.
const DRAIN_HOLDS: Millis = Millis(15_000);

/// Where room may be made.
enum Where {
    /// On this machine of ours.
    On(HostId),
    /// Where the image is.
    Cached,
    Anywhere,
}

impl Controller {
    fn responsible(&self, job: &Job) -> bool {
        let home = &job.record.home;
        *home == self.me
            || self.handed.contains(&job.id)
            || (self.leading().is_some() && !self.leases.nodes.contains_key(home))
    }

    fn order(&self, job: &Job) -> Order {
        let at_once = match job.spec.shape {
            Shape::Array => 1,
            Shape::Gang | Shape::Service => job.record.tasks,
        };
        let wanted = job.spec.room.times(f64::from(at_once));
        let guaranteed = self.settings.team(&job.spec.team).is_some_and(|team| {
            quota::guaranteed(self.jobs.usage(&job.spec.team).plus(wanted), team)
        });
        Order {
            beyond_guarantee: !guaranteed,
            rank: std::cmp::Reverse(job.spec.rank),
            born: job.born,
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
            if ours {
                self.clear(id);
            }
            return;
        }
        if job.waiting() > 0 && self.responsible(job) && !self.queue.contains(id) {
            let order = self.order(job);
            if self.failed_jobs.remove(id) {
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
            machine.baton == token
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

    fn candidates(&self, id: &JobId, own: bool, zone: Option<&Zone>) -> Vec<Candidate<'_>> {
        self.machines
            .values()
            .filter(|m| if own { self.ours(m) } else { self.others(m) })
            .filter(|m| zone.is_none_or(|zone| m.zone == *zone))
            .map(|machine| Candidate {
                machine,
                whole: self.whole(machine),
                free: self.free_for(machine, id),
                yielding: self.yielding(&machine.host),
            })
            .collect()
    }

    /// Whether all work on a machine gives way to urgent work.
    pub(super) fn yielding(&self, host: &HostId) -> bool {
        self.jobs
            .on_host(host)
            .filter_map(|(id, _)| self.jobs.get(id))
            .all(|job| job.spec.yields())
    }

    /// Runs cycles until nothing is active.
    pub(super) fn schedule(&mut self) {
        if !self.may_place() || self.flavors.is_empty() {
            return;
        }
        for _ in 0..MOST_CYCLES {
            let Some((id, fails)) = self.queue.pop() else {
                break;
            };
            self.cycle(&id, fails);
        }
    }

    fn cycle(&mut self, id: &JobId, fails: u32) {
        let Some(job) = self.jobs.get(id) else { return };
        if !job.active() || job.waiting() == 0 || matches!(job.writing, Writing::Settling(_)) {
            // Settling brings it back.
            return;
        }
        let order = self.order(job);
        if fails == 0 && self.quicker(id, order) {
            return;
        }
        match self.place(id) {
            Ok(()) => {
                self.nominations.remove(id);
                self.commit(id);
                if let Some(job) = self.jobs.get(id)
                    && job.waiting() > 0
                {
                    self.queue.push(id, order);
                } else {
                    self.handed.remove(id);
                }
            }
            Err(checks) => self.not_placed(id, fails, checks, order),
        }
    }

    /// Whether a machine, ours or another's, has room and the job's image.
    fn cached(&self, job: &Job, own: bool) -> bool {
        self.candidates(&job.id, own, None).iter().any(|candidate| {
            candidate.machine.images.contains_key(&job.spec.image)
                && cycle::filter(job, candidate).is_none()
        })
    }

    /// Fetching an image takes far longer than the way over the leader, or than stopping work that
    /// gives way: where our blocks lack the image, a job is placed where it is, and room is made
    /// there for a critical one. False: the ordinary cycle goes on.
    fn quicker(&mut self, id: &JobId, order: Order) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let gang = job.spec.shape == Shape::Gang && job.record.tasks > 1;
        if gang || self.cached(job, true) {
            return false;
        }
        let critical = job.spec.rank == Rank::Critical;
        let asked = if critical {
            self.to_preempt.remove(id)
        } else {
            None
        };
        if asked.is_some_and(|host| self.preempt(id, Where::On(host))) {
            self.queue.expect_room(id, 0, order, self.now);
            return true;
        }
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let elsewhere = self.cached(job, false);
        if self.leading().is_some() {
            let room = BTreeSet::from([Check::Room]);
            if elsewhere {
                self.not_placed(id, 0, room, order);
                return true;
            }
            if critical && self.preempt(id, Where::Cached) {
                self.queue.expect_room(id, 0, order, self.now);
                return true;
            }
            return false;
        }
        let asks = !self.handed.contains(id) && (elsewhere || critical);
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
        let nominated = self.nominations.get(id).is_some_and(|n| n.holds(self.now));
        if !blocked && !nominated {
            let asked = self.to_preempt.remove(id);
            if asked.is_some_and(|host| self.preempt(id, Where::On(host))) {
                return self.queue.expect_room(id, fails, order, self.now);
            } else if self.leading().is_some() {
                let Some(job) = self.jobs.get(id) else { return };
                match cycle::choose(job, self.candidates(id, false, None).into_iter()) {
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
                        if self.preempt(id, Where::Anywhere) {
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
        if let Some(team) = self.settings.team(&job.spec.team) {
            let wanted = job.spec.room.times(f64::from(count));
            if !quota::within(self.jobs.usage(&team.name).plus(wanted), team) {
                return Err(BTreeSet::from([Check::Team]));
            }
        }
        if !gang {
            return match job.next_waiting(1).first().copied() {
                Some((index, tried)) => self.reserve(id, index, Attempt(tried.0 + 1), None),
                None => Ok(()),
            };
        }
        let attempt = Attempt(job.highest_attempt().0 + 1);
        let zones: Vec<Option<Zone>> = if job.spec.one_zone && count > 1 {
            let zones: BTreeSet<Zone> = self.machines.values().map(|m| m.zone.clone()).collect();
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let mut rejected = BTreeSet::from([Check::Machine]);
        for zone in zones {
            let all = (0..count).try_for_each(|i| self.reserve(id, i, attempt, zone.as_ref()));
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

    fn reserve(
        &mut self,
        id: &JobId,
        index: u32,
        attempt: Attempt,
        zone: Option<&Zone>,
    ) -> Result<(), BTreeSet<Check>> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let host = cycle::choose(job, self.candidates(id, true, zone).into_iter())?;
        if let Some(machine) = self.machines.get(&host) {
            let cached = machine.images.contains_key(&job.spec.image);
            let (class, age) = (&job.spec.class, self.now.since(job.born).secs());
            tracing::debug!(job = %id, class, index, %host, cached, age, "reserved");
            let placement = Placement {
                host,
                block: machine.block.clone(),
                session: machine.session,
                attempt,
            };
            self.jobs.want(id, index, Change::Place(placement));
        }
        Ok(())
    }

    /// Whether a task may be stopped for the job.
    fn may_stop(&self, job: &Job, guaranteed: bool, victim: &Job) -> bool {
        if victim.spec.rank < job.spec.rank {
            return true;
        }
        // Work beyond its team's guarantee gives way to another team's guarantee; replicas only
        // when nothing else made room for a while.
        let patient = self.now.since(job.settled) > REPLICAS_GIVE_WAY;
        guaranteed
            && (victim.spec.shape != Shape::Service || patient)
            && victim.spec.team != job.spec.team
            && self.settings.team(&victim.spec.team).is_some_and(|team| {
                let left = self.jobs.usage(&team.name).minus(victim.spec.room);
                !quota::guaranteed(left, team)
            })
    }

    /// Seconds that stopping a task wastes: saving, or its work so far, and starting it again.
    fn waste(&self, victim: &Job) -> f64 {
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
    /// the job. A gang of several tasks waits for room instead. The leader looks at the whole
    /// fleet and leaves the stopping to the machine's holder.
    fn preempt(&mut self, id: &JobId, place: Where) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.spec.shape == Shape::Gang && job.record.tasks > 1 {
            return false;
        }
        let guaranteed = !self.order(job).beyond_guarantee;
        let sites = self
            .machines
            .values()
            .filter(|m| match &place {
                Where::On(host) => m.host == *host && self.ours(m),
                Where::Cached => {
                    (self.ours(m) || self.others(m)) && m.images.contains_key(&job.spec.image)
                }
                Where::Anywhere => self.ours(m) || self.others(m),
            })
            .filter(|m| job.spec.allows(&m.rig, &m.zone, m.spot))
            .filter(|m| cycle::zone_allowed(job, &m.zone))
            .map(|machine| self.site(job, guaranteed, machine))
            .collect();
        let room = job.spec.room;
        let Some((host, victims)) = preempt::choose(room, sites) else {
            return false;
        };
        tracing::info!(job = %id, %host, ?victims, "making room");
        let nomination = Nomination {
            host: host.clone(),
            room,
            until: self.now + NOMINATED,
        };
        self.nominations.insert(id.clone(), nomination);
        match self.machines.get(&host) {
            Some(machine) if !self.ours(machine) => {
                let to = machine.heard_by.clone();
                let (job, preempt) = (id.to_string(), Some(host.to_string()));
                let message = Message::Place { job, preempt };
                self.effects.push(Effect::Peer { to, message });
                return true;
            }
            _ => {}
        }
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
        self.poke(&host);
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
            let whole = victim.spec.shape != Shape::Gang || victim.record.tasks == 1;
            let leaving = self.stops.contains_key(&task) || !victim.active();
            (leaving || whole && self.may_stop(job, guaranteed, victim)).then(|| Victim {
                task,
                room: victim.spec.room,
                rank: victim.spec.rank,
                waste_s: self.waste(victim),
                leaving,
            })
        };
        let flavor = self.flavor(&machine.rig);
        let fetch_s = flavor.map_or(0.0, |f| job.spec.image_gb / f.fetch_gb_per_s.max(0.01));
        let cached = machine.images.contains_key(&job.spec.image);
        Site {
            host: machine.host.clone(),
            free: self.free_for(machine, &job.id),
            victims: self
                .jobs
                .on_host(&machine.host)
                .filter_map(victim)
                .collect(),
            delay_s: if cached { 0.0 } else { fetch_s },
        }
    }

    /// Free room, without what is being made for others of no lower priority.
    fn free_for(&self, machine: &Machine, id: &JobId) -> Room {
        let rank = self.jobs.get(id).map(|job| job.spec.rank);
        self.nominations
            .iter()
            .filter(|(other, n)| {
                n.host == machine.host
                    && *other != id
                    && n.holds(self.now)
                    && self
                        .jobs
                        .get(other)
                        .is_some_and(|job| rank <= Some(job.spec.rank))
            })
            .fold(self.free(machine), |free, (_, n)| free.minus(n.room))
    }

    /// Tells the parked jobs of a change in the cluster.
    pub(super) fn wake(&mut self, event: Event) {
        let machine = match &event {
            Event::Machine(host) | Event::Freed(host) => self.machines.get(host),
            _ => None,
        };
        let room = machine.map(|m| (m, self.free(m)));
        let jobs = &self.jobs;
        self.queue.wake(self.now, |id, check| {
            let Some(job) = jobs.get(id) else { return true };
            match (check, &event) {
                (Check::Room | Check::Machine, Event::Machine(_) | Event::Freed(_)) => {
                    room.as_ref().is_some_and(|(machine, free)| {
                        job.spec.allows(&machine.rig, &machine.zone, machine.spot)
                            && job.spec.room.fits_in(*free)
                    })
                }
                (Check::Zones, Event::Machine(_)) => true,
                (Check::Zones | Check::Attempt, Event::TaskLeft(left)) => left == id,
                (Check::Team, Event::TeamFreed(team)) => *team == job.spec.team,
                _ => false,
            }
        });
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
            Message::Status(status) => self.on_status(from, status),
        }
    }

    fn take_over(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() && job.waiting() > 0 {
            let order = self.order(job);
            self.handed.insert(id.clone());
            self.queue.activate(id, order);
        }
    }

    fn on_status(&mut self, from: NodeId, status: Status) {
        let (now, parts) = (self.now, self.settings.operator.blocks_per_zone);
        let state = super::PeerState {
            heard: now,
            revision: Revision(status.revision),
            without_store: Millis(status.without_store_ms),
            hears: status.hears,
        };
        self.peers.insert(from.clone(), state);
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
        for view in status.machines {
            let host = HostId::from(view.host);
            let zone = Zone::from(view.zone);
            let block = block_of(&host, &zone, parts);
            let heard = now - Millis(view.silent_ms);
            if self.token_for(&block).is_some() {
                continue;
            }
            let machine = self.machines.entry(host.clone()).or_insert_with(|| {
                Machine::new(host, view.rig.into(), zone, view.spot, block, from.clone())
            });
            let was_fit = machine.fit(now, silence);
            machine.heard = machine.heard.max(heard);
            machine.heard_by = from.clone();
            machine.address = view.address.parse().ok().or(machine.address);
            machine.session = machine.session.max(Session(view.session));
            machine.warned = view.warned;
            machine.sick = view.sick;
            machine.draining = view.draining;
            machine.images = view.images.into_iter().map(|i| (i.into(), heard)).collect();
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
        let machines = self
            .machines
            .values()
            .filter(|m| {
                self.token_for(&m.block)
                    .is_some_and(|token| m.baton == token)
            })
            .map(|machine| MachineView {
                host: machine.host.to_string(),
                address: machine.address.map(|a| a.to_string()).unwrap_or_default(),
                rig: machine.rig.as_str().into(),
                zone: machine.zone.as_str().into(),
                spot: machine.spot,
                session: machine.session.0,
                silent_ms: self.now.since(machine.heard).0,
                warned: machine.warned,
                sick: machine.sick,
                draining: self.drains.contains(&machine.host),
                images: machine.images.keys().map(|i| i.as_str().into()).collect(),
            })
            .collect();
        let draining = if self.leading().is_some() {
            self.drains.iter().map(|host| host.to_string()).collect()
        } else {
            Vec::new()
        };
        let status = Status {
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
            draining,
        };
        for member in &self.settings.members {
            let (to, message) = (member.label.clone(), Message::Status(status.clone()));
            self.effects.push(Effect::Peer { to, message });
        }
    }
}
