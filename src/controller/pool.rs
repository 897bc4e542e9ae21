//! The machines that a cycle looks at, and what it sees of each.

use std::collections::{BTreeMap, BTreeSet};

use super::{Controller, Pool};
use crate::cycle::{self, Asking, Candidate};
use crate::fleet::{Flavor, fetch_rate};
use crate::jobs::cache::Job;
use crate::queue::Check;
use crate::types::{HostId, JobId, Millis, Room, Sku, Zone};
use crate::workers::Machine;

/// The fleet is looked over again after this long.
const POOL_HOLDS: Millis = Millis(200);

/// Whose machines a cycle looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    Own,
    Others,
    All,
}

impl Controller {
    pub(super) fn flavor(&self, rig: &Sku) -> Option<&Flavor> {
        self.flavors.iter().find(|flavor| flavor.sku == *rig)
    }

    pub(super) fn whole(&self, machine: &Machine) -> Room {
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
    pub(super) fn refresh_pool(&mut self) {
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

    pub(super) fn candidates<'a>(
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
    pub(super) fn candidate<'a>(&self, job: &Job, machine: &'a Machine) -> Candidate<'a> {
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
    pub(super) fn choose(
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

    /// Whether a machine, ours or another's, has room and the job's image; for a gang, whether as
    /// many as it needs do.
    pub(super) fn cached(&mut self, id: &JobId, scope: Scope) -> bool {
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

    /// Zones in which all tasks of a gang find room, those with most of it first.
    pub(super) fn zones_by_room(&mut self, id: &JobId, scope: Scope) -> Vec<Zone> {
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
}
