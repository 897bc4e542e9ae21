//! The ordinary path: one task a cycle from the queue onto a machine of our shards; what does
//! not fit goes to the leader.

use std::collections::BTreeSet;

use super::candidates::Scope;
use super::preemption::PreemptionScope;
use super::{Controller, Effect};
use crate::admission::backlog::Lane;
use crate::cycle::{self, PlacementRequest};
use crate::jobs::cache::{Job, TaskChange, Writing};
use crate::jobs::{JobKind, Placement, PriorityClass};
use crate::peers::Message;
use crate::queue::{Check, QueueKey};
use crate::quota;
use crate::settings::TeamSettings;
use crate::types::{Attempt, JobId, MachineId, Millis, Zone};

/// Cycles in one go, so that other events are not kept waiting.
const MOST_CYCLES: usize = 64;
/// Seconds of this controller's part of the state service's limit that are reserved ahead.
const RESERVED_S: f64 = 0.5;
/// Changes count as short for this long after they stopped the cycles.
const SHORT_HOLDS: Millis = Millis(1_000);
/// Work of the lowest rank begins by then, if a machine is empty.
const BEGINS_BY: Millis = Millis(30_000);
/// Tasks that follow one onto its machine in one go.
const MOST_FILLED: usize = 64;

impl Controller {
    /// Work of the lowest rank filled the machines that stood ready for urgent work, which then had
    /// to wait for it to save: it takes an empty machine only while there are more than that needs, or
    /// to begin at all.
    pub(super) fn avoids_empty_machines(&self, job: &Job) -> bool {
        job.spec.priority == PriorityClass::BestEffort
            && !self.scheduler.candidates.spare
            && (job.placed > 0 || self.now.since(job.born) < BEGINS_BY)
    }

    /// Runs cycles until nothing is active.
    pub(super) fn schedule(&mut self) {
        if !self.may_place() || self.autoscaler.type_specs.is_empty() {
            return;
        }
        // What can't be written soon is better decided later: by then more is known, and what is
        // more important goes first.
        let state = &self.settings.deployment.state;
        let controllers = self.settings.controllers() as f64;
        let most = (state.write_rps / controllers * RESERVED_S).ceil().max(4.0) as usize;
        let mut cycles = 0..MOST_CYCLES;
        while cycles.next().is_some() {
            let waiting = self.commits.backlog.overdue_in(Lane::Places, self.now)
                + self.commits.noted_jobs.len();
            if waiting >= most {
                if self.scheduler.queue.first().is_some() {
                    self.commits.writes_short_until = self.now + SHORT_HOLDS;
                }
                break;
            }
            // Priority decides who has room. Where changes are what is short, floors do.
            let short = self.short();
            let next = if short {
                self.scheduler.queue.pop_fair()
            } else {
                self.scheduler.queue.pop()
            };
            let Some((id, fails)) = next else { break };
            // Another task of the job that was placed last goes into the same change.
            let new = self.commits.noted_jobs.last() != Some(&id);
            let placed = self.cycle(&id, fails);
            if short
                && new
                && placed
                && let Some(job) = self.jobs.get(&id)
            {
                self.scheduler
                    .queue
                    .served(self.commits.flows.of(&job.spec));
            }
        }
        // More tasks of jobs that are to be written anyway cost no change. They take room, though, so
        // none that is before them in that may wait.
        let first = self.scheduler.queue.first().map(|order| order.class());
        for id in self.commits.backlog.placing() {
            let class = self.jobs.get(&id).map(|job| self.order(job).class());
            if class > first {
                continue;
            }
            while cycles.next().is_some()
                && let Some((id, fails)) = self.scheduler.queue.pop_job(&id)
            {
                self.cycle(&id, fails);
            }
        }
        // Tasks of one job that were placed together are committed together.
        for id in std::mem::take(&mut self.commits.noted_jobs) {
            self.commit(&id);
        }
    }

    /// Whether changes are what is short: cycles were stopped by it a moment ago.
    pub(super) fn short(&self) -> bool {
        self.now < self.commits.writes_short_until
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
        self.work_counters.cycles.add(1);
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
                } else if self.commits.noted_jobs.last() != Some(id) {
                    self.commits.noted_jobs.push(id.clone());
                }
                if let Some(job) = self.jobs.get(id)
                    && job.waiting() > 0
                    && !self.hold_suspect(id, order)
                {
                    self.scheduler.queue.push(id, order);
                } else {
                    self.scheduler.forwarded.remove(id);
                }
            }
            Err(checks) => self.not_placed(id, fails, checks, order),
        }
        done
    }

    /// Fetching an image takes far longer than the way over the leader, or than stopping work that
    /// gives way: where our shards lack the image, a job is placed where it is, and room is made
    /// there for an urgent one. False: the ordinary cycle goes on.
    fn quicker(&mut self, id: &JobId, order: QueueKey) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let (urgent, gang) = (job.spec.priority >= PriorityClass::Urgent, job.whole_gang());
        if gang && self.leading().is_some() || self.cached(id, Scope::Own) {
            return false;
        }
        let asked = if urgent {
            self.scheduler.preemption_requests.remove(id)
        } else {
            None
        };
        if asked.is_some_and(|machine_id| self.preempt(id, PreemptionScope::On(machine_id))) {
            self.scheduler.queue.expect_room(id, 0, order, self.now);
            return true;
        }
        let elsewhere = !gang && self.cached(id, Scope::Others);
        if self.leading().is_some() {
            let resources = BTreeSet::from([Check::Resources]);
            if elsewhere {
                self.not_placed(id, 0, resources, order);
                return true;
            }
            if urgent && self.preempt(id, PreemptionScope::Quickest) {
                self.scheduler.queue.expect_room(id, 0, order, self.now);
                return true;
            }
            return false;
        }
        let asks = !self.scheduler.forwarded.contains(id) && (elsewhere || urgent);
        if asks && self.return_to_leader(id) {
            // Tried here all the same if that leads to nothing.
            let none = BTreeSet::new();
            self.scheduler
                .queue
                .fail(id, 0, none, order, self.now, &mut self.rng);
            return true;
        }
        false
    }

    /// Tells the leader that a job does not fit our shards, if there is one.
    fn return_to_leader(&mut self, id: &JobId) -> bool {
        let Some(to) = self.leader().cloned() else {
            return false;
        };
        let job = id.to_string();
        let message = Message::Unplaced { job };
        self.effects.push(Effect::Peer { to, message });
        true
    }

    /// No machine of ours will do.
    fn not_placed(&mut self, id: &JobId, fails: u32, checks: BTreeSet<Check>, order: QueueKey) {
        let blocked = checks.contains(&Check::Team) || checks.contains(&Check::Attempt);
        tracing::debug!(job = %id, fails, ?checks, "job does not fit own shards");
        let mut parked = checks;
        let nominated = self.scheduler.nominations.of(id, self.now).is_some();
        let gang = self.jobs.get(id).is_some_and(Job::whole_gang);
        if !blocked && !nominated {
            let asked = self.scheduler.preemption_requests.remove(id);
            if asked.is_some_and(|machine_id| self.preempt(id, PreemptionScope::On(machine_id))) {
                return self.scheduler.queue.expect_room(id, fails, order, self.now);
            } else if self.leading().is_some() && gang {
                // Tried over the whole fleet already.
                if self.make_room_for_gang(id) {
                    return self.scheduler.queue.expect_room(id, fails, order, self.now);
                }
            } else if self.leading().is_some() {
                match self.choose(id, Scope::Others, None, None) {
                    Ok(machine_id) => {
                        let holder = self.machines.get(&machine_id).map(|m| m.heard_by.clone());
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
                        if !parked.contains(&Check::ShardQuota)
                            && self.preempt(id, PreemptionScope::Anywhere)
                        {
                            return self.scheduler.queue.expect_room(id, fails, order, self.now);
                        }
                    }
                }
            } else if self.return_to_leader(id) {
                let owner = self.jobs.get(id).map(|job| &job.record.owner);
                if owner != Some(&self.me) {
                    self.scheduler.forwarded.remove(id);
                    return;
                }
            }
        }
        if nominated && self.several(id) {
            // Room for it is on its way on some machine: that is no failure.
            return self.scheduler.queue.expect_room(id, fails, order, self.now);
        }
        // Work within its share of the tree asks again soon: others hold what is its own.
        let due = !order.beyond_guarantee && self.several(id);
        let fails = if due { 0 } else { fails };
        self.scheduler
            .queue
            .fail(id, fails, parked, order, self.now, &mut self.rng);
    }

    /// Reserves machines for the next task, or for all tasks of a gang.
    fn place(&mut self, id: &JobId) -> Result<(), BTreeSet<Check>> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let gang = job.spec.kind == JobKind::Gang;
        if gang && (job.placed > 0 || !job.changes.is_empty()) {
            return Err(BTreeSet::from([Check::Attempt]));
        }
        let count = if gang { job.record.tasks } else { 1 };
        let wanted = job.spec.resources.times(f64::from(count));
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
                Ok(machine_id) => {
                    self.fill(id, &machine_id);
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
            if !checks.contains(&Check::ShardQuota) {
                return Err(checks);
            }
            let beyond = self.reserve(id, index, attempt, Scope::All, None, Some(1));
            return beyond.map(|_| ()).map_err(|_| checks);
        }
        let attempt = Attempt(job.highest_attempt().0 + 1);
        // The leader sees the whole fleet, so a gang that no shard has room for spans several.
        let (scope, raise) = if self.leading().is_some() {
            (Scope::All, Some(count))
        } else {
            (Scope::Own, None)
        };
        if count > 1 && scope == Scope::All {
            self.refresh_pool();
            let machine_ids: Option<Vec<MachineId>> =
                match self.scheduler.nominations.of(id, self.now) {
                    Some(machine_ids) => Some(machine_ids.to_vec()),
                    None => match self.gang_offers(id) {
                        Some(offers) if offers.iter().any(|offer| !offer.victims.is_empty()) => {
                            return Err(BTreeSet::from([Check::Resources]));
                        }
                        offers => {
                            offers.map(|o| o.into_iter().map(|offer| offer.machine_id).collect())
                        }
                    },
                };
            if machine_ids.is_some_and(|machine_ids| self.reserve_on(id, attempt, &machine_ids)) {
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
        let mut rejected = BTreeSet::from([Check::Machine, Check::Resources]);
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
    fn reserve_on(&mut self, id: &JobId, attempt: Attempt, machine_ids: &[MachineId]) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let asking = PlacementRequest::new(job, self.full_shards(job, Some(job.record.tasks)));
        let fits = |machine_id: &MachineId| {
            self.machines.get(machine_id).is_some_and(|m| {
                let available = self.free_for(m, id);
                (self.ours(m) || self.others(m))
                    && asking.allows(m)
                    && job.spec.resources.fits_in(available)
                    && job.spec.allows(&m.machine_type, &m.zone, m.spot)
            })
        };
        let zone = |machine_id: &MachineId| self.machines.get(machine_id).map(|m| m.zone.clone());
        let together =
            !job.spec.one_zone || machine_ids.iter().all(|h| zone(h) == zone(&machine_ids[0]));
        if machine_ids.len() != job.record.tasks as usize
            || !together
            || !machine_ids.iter().all(fits)
        {
            return false;
        }
        for (index, machine_id) in (0..).zip(machine_ids) {
            self.reserve_at(id, index, attempt, machine_id.clone());
        }
        true
    }

    fn reserve(
        &mut self,
        id: &JobId,
        index: u32,
        attempt: Attempt,
        scope: Scope,
        zone: Option<&Zone>,
        raise: Option<u32>,
    ) -> Result<MachineId, BTreeSet<Check>> {
        let machine_id = self.choose(id, scope, zone, raise)?;
        self.reserve_at(id, index, attempt, machine_id.clone());
        Ok(machine_id)
    }

    /// Further tasks of an array go to the machine that was just chosen for one, as long as cycles
    /// of their own would choose it again: its score is no lower than it was, and no other machine's
    /// has changed. A cycle looks at the whole pool, and an array may have 25,000 tasks.
    fn fill(&mut self, id: &JobId, machine_id: &MachineId) {
        let waiting = self.jobs.get(id).map(|job| job.next_waiting(MOST_FILLED));
        for (index, tried) in waiting.unwrap_or_default() {
            let Some(job) = self.jobs.get(id) else { return };
            let spec = &job.spec;
            if spec.kind != JobKind::Array || spec.one_zone || spec.spread {
                return;
            }
            let keeps = |team: &TeamSettings| {
                quota::within(self.jobs.usage(&team.name).plus(spec.resources), team)
            };
            let Some(machine) = self.machines.get(machine_id) else {
                return;
            };
            let asking = PlacementRequest::new(job, self.full_shards(job, None));
            let mut candidate = self.candidate(job, machine);
            let failed = machine.failed.contains_key(id);
            if !self.limits(job).iter().all(keeps) || cycle::filter(&asking, &candidate).is_some() {
                return;
            }
            let now = cycle::score(spec, &candidate, failed);
            candidate.available = candidate.available.plus(spec.resources);
            if now < cycle::score(spec, &candidate, failed) {
                return;
            }
            self.reserve_at(id, index, Attempt(tried.0 + 1), machine_id.clone());
        }
    }

    fn reserve_at(&mut self, id: &JobId, index: u32, attempt: Attempt, machine_id: MachineId) {
        if let (Some(machine), Some(job)) = (self.machines.get(&machine_id), self.jobs.get(id)) {
            let cached = machine.images.contains_key(&job.spec.image);
            let (class, age) = (&job.spec.class, self.now.since(job.born).secs());
            let image = job.spec.image.as_str();
            tracing::debug!(job = %id, class, index, %machine_id, image, cached, age, "task reserved");
            let placement = Placement {
                machine_id: machine_id.clone(),
                shard: machine.shard.clone(),
                agent_epoch: machine.agent_epoch,
                attempt,
            };
            let (image, gb) = (job.spec.image.clone(), job.spec.image_gb);
            self.jobs.want(id, index, TaskChange::Place(placement));
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.expect_image(&image, gb, self.now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
