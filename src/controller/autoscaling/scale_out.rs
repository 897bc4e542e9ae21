//! Scaling out: determines the capacity that work can rely on, plans the fleet for the demand, and sends
//! rental requests.

use super::{Autoscaler, Controller};
use crate::fleet::plan::{Bin, Plan, plan};
use crate::fleet::{CloudCall, MachineStage, MachineTypeSpec, Offer, PendingRental, RentedMachine};
use crate::types::{MachineId, Millis, Resources};
use crate::workers::Machine;

/// The most machines that one rental request may contain.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// A booting machine no longer counts as capacity after its usual boot time times this factor, plus
/// [`LATE_BOOT_MARGIN_S`].
const LATE_BOOT_FACTOR: f64 = 1.8;
/// Seconds that are added to the time by which a machine counts as late; they matter for types that
/// boot fast.
const LATE_BOOT_MARGIN_S: f64 = 5.0;
/// A running machine counts as capacity until it has been silent for this many heartbeat timeouts; it
/// gets no new tasks after one.
const MAX_HEARTBEAT_TIMEOUTS: u64 = 3;
/// Like [`MAX_HEARTBEAT_TIMEOUTS`], in a zone that is out of reach: no controller could start a task
/// there.
const MAX_HEARTBEAT_TIMEOUTS_OUT_OF_REACH: u64 = 1;

/// The machines that a plan starts from.
#[derive(Default)]
struct FleetCapacity {
    /// Rented or requested machines that work can rely on.
    bins: Vec<Bin>,
    /// Machines that are being drained.
    draining: Vec<MachineId>,
}

/// Seconds that fetching the images of a machine's cache again would take.
fn cache_refetch_s(machine: &Machine, type_spec: &MachineTypeSpec) -> f64 {
    let cached = machine.images.values();
    cached.map(|cached| type_spec.slow_fetch_s(cached.gb)).sum()
}

impl Autoscaler {
    /// Whether a rental of the offer failed so recently that it must not be requested again yet.
    fn is_in_backoff(&self, offer: &Offer, now: Millis) -> bool {
        let backoff_until = self.fleet.backoff_until.get(offer);
        backoff_until.is_some_and(|until| *until > now)
    }

    /// Machines that have been requested but not rented yet.
    fn pending_bins(&self) -> impl Iterator<Item = Bin> {
        let known = self.fleet.pending_rentals.values().filter_map(|rental| {
            let type_spec = self.type_spec(&rental.offer.machine_type)?;
            Some((rental, type_spec.resources))
        });
        known.flat_map(|(rental, capacity)| {
            (0..rental.count).map(move |_| Bin::unrented(rental.offer.clone(), capacity))
        })
    }
}

impl Controller {
    /// Rents machines for work that does not fit the fleet, and returns machines that are not
    /// needed.
    pub(super) fn scale(&mut self) {
        let FleetCapacity { bins, draining } = self.fleet_capacity();
        let mut plan = self.plan_fleet(bins);
        if !plan.rentals.is_empty() && self.autoscaler.cancel_drains(&self.machines) {
            // The next plan includes the machines that are kept.
            return;
        }
        self.autoscaler.limit_returns(&mut plan.returns, self.now);
        let settled = plan.is_empty() && !self.has_waiting_tasks();
        for (offer, count) in plan.rentals {
            self.rent(&offer, count);
        }
        let full_rate = self.autoscaler.returns_at_full_rate(self.now);
        if full_rate && settled && draining.is_empty() {
            self.consolidate();
        }
        self.autoscaler.drains.extend(plan.returns);
        self.delete_drained(draining);
    }

    /// Plans what to rent and return, given the machines that count as capacity.
    fn plan_fleet(&self, bins: Vec<Bin>) -> Plan {
        plan(
            bins,
            &self.needs(),
            &self.headroom(),
            &self.autoscaler.type_specs,
            |offer| {
                self.autoscaler.is_in_backoff(offer, self.now)
                    || self.partition.zone_health.is_unreachable(&offer.zone)
            },
            self.settings.operator.idle_return,
        )
    }

    fn has_waiting_tasks(&self) -> bool {
        self.jobs
            .iter()
            .any(|job| job.is_active() && job.waiting_tasks() > 0)
    }

    /// The machines of the fleet, and those requested, that count as capacity.
    fn fleet_capacity(&self) -> FleetCapacity {
        let mut capacity = FleetCapacity::default();
        for (machine_id, rented) in &self.autoscaler.fleet.machines {
            let Some(type_spec) = self.autoscaler.type_spec(&rented.machine_type) else {
                continue;
            };
            if !self.counts_as_capacity(machine_id, rented, type_spec) {
                continue;
            }
            if self.autoscaler.drains.contains(machine_id) {
                capacity.draining.push(machine_id.clone());
            } else {
                capacity.bins.push(self.bin(machine_id, rented, type_spec));
            }
        }
        capacity.bins.extend(self.autoscaler.pending_bins());
        capacity
    }

    /// Whether work can rely on the machine, now or once it has booted.
    fn counts_as_capacity(
        &self,
        machine_id: &MachineId,
        rented: &RentedMachine,
        type_spec: &MachineTypeSpec,
    ) -> bool {
        let machine = self.machines.get(machine_id);
        if machine.is_some_and(|machine| machine.quarantined || machine.termination_announced)
            || self.autoscaler.fleet.deleting.contains(machine_id)
        {
            return false;
        }
        match rented.stage {
            MachineStage::Failed => false,
            MachineStage::Booting => {
                let late_s = type_spec.boot_s * LATE_BOOT_FACTOR + LATE_BOOT_MARGIN_S;
                self.now.since(rented.rented_at).secs() <= late_s
            }
            MachineStage::Running => {
                let max_timeouts = if self.partition.zone_health.is_unreachable(&rented.zone) {
                    MAX_HEARTBEAT_TIMEOUTS_OUT_OF_REACH
                } else {
                    MAX_HEARTBEAT_TIMEOUTS
                };
                machine.is_some_and(|machine| {
                    self.now.since(machine.last_contact).0
                        <= max_timeouts * self.heartbeat_timeout().0
                })
            }
        }
    }

    /// The bin of a machine, with the resources that tasks and nominations leave available.
    fn bin(
        &self,
        machine_id: &MachineId,
        rented: &RentedMachine,
        type_spec: &MachineTypeSpec,
    ) -> Bin {
        let allocated = self.jobs.allocated(machine_id);
        let nominated = self
            .scheduler
            .nominations
            .jobs_on(machine_id, self.now)
            .fold(Resources::default(), |sum, (_, resources)| {
                sum.plus(resources)
            });
        Bin {
            machine_id: Some(machine_id.clone()),
            offer: rented.offer(),
            capacity: type_spec.resources,
            available: type_spec.resources.minus(allocated.plus(nominated)),
            preemptible: self.jobs.machine_usage(machine_id).preemptible,
            idle_for: rented
                .idle_since
                .map_or(Millis(0), |since| self.now.since(since)),
            cache_refetch_s: self
                .machines
                .get(machine_id)
                .map_or(0.0, |machine| cache_refetch_s(machine, type_spec)),
        }
    }

    /// Requests `count` machines, at most [`MAX_MACHINES_PER_RENTAL`] in each request.
    fn rent(&mut self, offer: &Offer, mut count: u32) {
        while count > 0 {
            let requested = count.min(MAX_MACHINES_PER_RENTAL);
            self.request_rental(offer.clone(), requested);
            count -= requested;
        }
    }

    fn request_rental(&mut self, offer: Offer, count: u32) {
        let Some(term) = self.leading() else { return };
        self.autoscaler.fleet.rental_requests += 1;
        // Unique across terms of leadership, since no two terms begin at the same revision.
        let request_id = format!(
            "{}-{}-{}",
            self.me, term.0, self.autoscaler.fleet.rental_requests
        );
        tracing::info!(request_id, %offer, count, "scale out requested");
        let tag = self.call_cloud(CloudCall::Rent {
            request_id,
            offer: offer.clone(),
            count,
        });
        let rental = PendingRental { offer, count };
        self.autoscaler.fleet.pending_rentals.insert(tag, rental);
    }
}
