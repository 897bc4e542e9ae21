//! Bin packing of tasks onto machines: the machines that exist, are being rented, or would have to
//! be rented, and the resources that remain on each as needs are assigned to them.

use std::collections::BTreeMap;

use super::Need;
use crate::fleet::Offer;
use crate::types::{MachineId, Millis, Resources, Zone};

/// A machine that exists or is to be rented.
#[derive(Clone, Debug)]
pub struct Bin {
    /// Its name; none: it is not rented yet.
    pub machine_id: Option<MachineId>,
    /// The offer by which it is rented.
    pub offer: Offer,
    /// Its resources when it is empty.
    pub capacity: Resources,
    /// Resources that no task uses yet.
    pub available: Resources,
    /// Resources used by tasks that urgent work may preempt at little loss.
    pub preemptible: Resources,
    /// For how long it has been idle.
    pub idle_for: Millis,
    /// Seconds that fetching its cached images again would take.
    pub cache_refetch_s: f64,
}

impl Bin {
    /// An empty machine that is not rented yet.
    #[must_use]
    pub fn unrented(offer: Offer, capacity: Resources) -> Self {
        Self {
            machine_id: None,
            offer,
            capacity,
            available: capacity,
            preemptible: Resources::default(),
            idle_for: Millis(0),
            cache_refetch_s: 0.0,
        }
    }

    /// Whether no task uses it.
    pub(super) fn is_empty(&self) -> bool {
        self.available == self.capacity
    }

    /// Whether it is empty, or can be emptied for urgent work by preemption.
    pub(super) fn is_ready(&self) -> bool {
        self.capacity.fits_in(self.available.plus(self.preemptible))
    }

    /// Assigns up to `count` tasks to the machine and returns how many fitted.
    fn take(&mut self, need: &Need, count: u32) -> u32 {
        let resources = need.spec.resources;
        if !resources.fits_in(self.available) || !need.allows(&self.offer) {
            return 0;
        }
        let taken = self.available.fit_count(resources).min(count);
        self.available = self.available.minus(resources.times(f64::from(taken)));
        taken
    }
}

/// All machines, the fullest first, and which of them have capacity for the smallest need, so that a
/// full fleet is not visited for each waiting job.
pub(super) struct Bins {
    all: Vec<Bin>,
    /// Positions of the machines with capacity for the smallest need, in order.
    open: Vec<usize>,
    /// How many machines in `open` have been filled since it was last pruned.
    filled: usize,
    /// For each resource, the least that any need asks for.
    smallest_need: Resources,
}

impl Bins {
    /// The bins of `all` machines, for tasks of these needs.
    pub(super) fn new(all: Vec<Bin>, needs: &[Need]) -> Self {
        let amounts = needs.iter().map(|need| need.spec.resources);
        let smallest = amounts.reduce(|a, b| Resources {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            memory_gb: a.memory_gb.min(b.memory_gb),
        });
        let smallest_need = smallest.unwrap_or_default();
        let open = |index: &usize| smallest_need.fits_in(all[*index].available);
        Self {
            open: (0..all.len()).filter(open).collect(),
            filled: 0,
            all,
            smallest_need,
        }
    }

    /// All machines, in their order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Bin> {
        self.all.iter()
    }

    /// Adds a machine at the end.
    pub(super) fn add(&mut self, bin: Bin) {
        self.open.push(self.all.len());
        self.all.push(bin);
    }

    /// Assigns up to `count` tasks, only in `zone` if one is given, and returns how many
    /// fitted. Machines of the kind that the job asks for (spot or ordinary) are filled before the
    /// others.
    pub(super) fn take(&mut self, need: &Need, zone: Option<&Zone>, count: u32) -> u32 {
        let mut left = count;
        for preferred_kind in [true, false] {
            for index in &self.open {
                if left == 0 {
                    break;
                }
                let bin = &mut self.all[*index];
                if (bin.offer.spot == need.spec.spot) != preferred_kind
                    || zone.is_some_and(|zone| bin.offer.zone != *zone)
                {
                    continue;
                }
                let taken = bin.take(need, left);
                left -= taken;
                let now_filled = taken > 0 && !self.smallest_need.fits_in(bin.available);
                self.filled += usize::from(now_filled);
            }
        }
        self.prune_filled();
        count - left
    }

    /// Assigns up to `count` tasks to the machine that was added last.
    pub(super) fn take_last(&mut self, need: &Need, count: u32) -> u32 {
        self.all.last_mut().map_or(0, |bin| bin.take(need, count))
    }

    /// Drops filled machines from `open` once they are more than half of it, so that the cost is
    /// spread over many needs.
    fn prune_filled(&mut self) {
        if self.filled * 2 > self.open.len() {
            let (all, smallest_need) = (&self.all, self.smallest_need);
            self.open
                .retain(|index| smallest_need.fits_in(all[*index].available));
            self.filled = 0;
        }
    }

    /// The zone for a gang that must run in one: the one where most of its tasks already fit.
    pub(super) fn gang_zone(&self, need: &Need) -> Option<Zone> {
        let mut tasks_by_zone: BTreeMap<&Zone, u32> = BTreeMap::new();
        let open = self.open.iter().map(|index| &self.all[*index]);
        for bin in open.filter(|bin| need.allows(&bin.offer)) {
            let fits = bin.available.fit_count(need.spec.resources);
            let tasks = tasks_by_zone.entry(&bin.offer.zone).or_default();
            *tasks = (*tasks + fits).min(need.count);
        }
        let (zone, tasks) = tasks_by_zone.into_iter().max_by_key(|(_, tasks)| *tasks)?;
        (tasks > 0).then(|| zone.clone())
    }
}
