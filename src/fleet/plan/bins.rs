//! Bin packing of tasks onto machines: the machines that exist, are being rented, or would have to
//! be rented, and the resources that remain on each as needs are assigned to them.

use std::collections::BTreeMap;

use super::Need;
use crate::fleet::Offer;
use crate::types::{MachineId, Millis, Resources, Zone};

/// A machine that exists or is to be rented.
#[derive(Clone, Debug)]
pub struct Bin {
    /// `None` if it is not rented yet.
    pub machine_id: Option<MachineId>,
    /// The offer under which it is rented.
    pub offer: Offer,
    /// Its resources when it is empty.
    pub capacity: Resources,
    /// Resources that are not assigned to any task yet.
    pub available: Resources,
    /// Resources of tasks that urgent work may preempt at little loss.
    pub preemptible: Resources,
    /// For how long it has been idle; 0 if it is not.
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

    /// Assigns up to `count` tasks to the machine and returns how many fit.
    fn assign(&mut self, need: &Need, count: u32) -> u32 {
        let resources = need.spec.resources;
        if !resources.fits_in(self.available) || !need.allows(&self.offer) {
            return 0;
        }
        let assigned = self.available.fit_count(resources).min(count);
        self.available = self.available.minus(resources.times(f64::from(assigned)));
        assigned
    }
}

/// All machines, the fullest first, and which of them have capacity for the smallest need: full
/// machines are skipped, so that the whole fleet is not scanned for each waiting job.
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
    /// `all` must be sorted, the fullest machine first.
    pub(super) fn new(all: Vec<Bin>, needs: &[Need]) -> Self {
        let amounts = needs.iter().map(|need| need.spec.resources);
        let smallest = amounts.reduce(|a, b| Resources {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            memory_gb: a.memory_gb.min(b.memory_gb),
        });
        let smallest_need = smallest.unwrap_or_default();
        let has_capacity = |index: &usize| smallest_need.fits_in(all[*index].available);
        Self {
            open: (0..all.len()).filter(has_capacity).collect(),
            filled: 0,
            all,
            smallest_need,
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Bin> {
        self.all.iter()
    }

    /// Adds a machine, which is filled after all others of its kind.
    pub(super) fn add(&mut self, bin: Bin) {
        self.open.push(self.all.len());
        self.all.push(bin);
    }

    /// Assigns up to `count` tasks, only in `zone` if one is given, and returns how many fit. Machines
    /// of the kind that the job asks for (spot or ordinary) are filled before the others.
    pub(super) fn assign(&mut self, need: &Need, zone: Option<&Zone>, count: u32) -> u32 {
        let mut remaining = count;
        for is_preferred in [true, false] {
            for index in &self.open {
                if remaining == 0 {
                    break;
                }
                let bin = &mut self.all[*index];
                if (bin.offer.spot == need.spec.spot) != is_preferred
                    || zone.is_some_and(|zone| bin.offer.zone != *zone)
                {
                    continue;
                }
                let assigned = bin.assign(need, remaining);
                remaining -= assigned;
                let now_filled = assigned > 0 && !self.smallest_need.fits_in(bin.available);
                self.filled += usize::from(now_filled);
            }
        }
        self.prune_filled();
        count - remaining
    }

    /// Assigns up to `count` tasks to the machine that was added last.
    pub(super) fn assign_to_last(&mut self, need: &Need, count: u32) -> u32 {
        self.all.last_mut().map_or(0, |bin| bin.assign(need, count))
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
