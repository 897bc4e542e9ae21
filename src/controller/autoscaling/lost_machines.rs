//! Detection of lost machines: those that failed, never booted, are quarantined and empty, or have
//! been silent for longer than a lease. They are deleted; the cloud's confirmation is the
//! evidence that their tasks have ended.

use std::collections::BTreeMap;

use super::scale_in::MAX_DELETIONS_PER_REQUEST;
use super::{Autoscaler, Controller};
use crate::controller::heartbeats::MachineSilence;
use crate::fleet::{MachineStage, RentedMachine};
use crate::types::{MachineId, Millis, ShardId, Zone};
use crate::workers::shard_of;
use crate::zones::zone_health::{SuspectedMachine, ZoneObservation};

/// A machine counts as silent, or early as lost, only after its shard has been held for this long.
/// By then a new holder has asked the shard's machines for their state, and their workers have found
/// the holder: a worker gives up on a silent controller after 4 s, and needs at most two other
/// controllers to find the holder.
const MIN_HELD_TIME_FOR_SILENCE: Millis = Millis(10_000);
/// A machine is considered unable to boot after its usual boot time times this factor, plus
/// [`MAX_BOOT_MARGIN_S`].
const MAX_BOOT_FACTOR: f64 = 3.0;
/// Seconds that are added to the limit of the boot time.
const MAX_BOOT_MARGIN_S: f64 = 10.0;
/// Lower bound of the usual boot time, in seconds.
const MIN_BOOT_S: f64 = 5.0;
/// Usual boot time, in seconds, of machines whose type the cloud no longer lists.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;
/// Seconds that are added to a worker's lease before its tasks count as stopped.
const LEASE_MARGIN_S: f64 = 4.0;
/// A machine in a zone where most others report is lost after a silence of this many heartbeat
/// intervals, plus [`EARLY_MARGIN_S`].
const EARLY_HEARTBEAT_INTERVALS: f64 = 3.2;
/// Seconds of silence that are added to the heartbeat intervals.
const EARLY_MARGIN_S: f64 = 1.0;

/// The result of one inspection of all machines.
#[derive(Default)]
struct FleetHealth {
    /// Machines that failed or never booted, and drained machines that must not take new tasks.
    lost: Vec<MachineId>,
    /// Machines that are presumed lost because they are silent.
    suspected: Vec<SuspectedMachine>,
    /// What was observed of each zone.
    zones: BTreeMap<Zone, ZoneObservation>,
}

/// The state of a running machine's contact with the controllers.
struct MachineContact {
    /// How long it has been silent, by the holder of its shard; `None` if that holder cannot tell.
    silence: Option<MachineSilence>,
    /// Whether it sends heartbeats while nothing confirms that it receives commands.
    commands_unconfirmed: bool,
}

impl Autoscaler {
    /// Drops machines that are being deleted already. Presumed losses are limited in number, so
    /// only machines whose deletion is requested now may count.
    fn drop_deleting(&self, health: &mut FleetHealth) {
        let deleting = &self.fleet.deleting;
        health
            .lost
            .retain(|machine_id| !deleting.contains(machine_id));
        health
            .suspected
            .retain(|suspect| !deleting.contains(&suspect.machine_id));
    }
}

impl Controller {
    /// Deletes lost machines, and updates the health of the zones from the machines that are silent.
    pub(super) fn delete_lost_machines(&mut self) {
        let mut health = self.inspect_fleet();
        health.suspected.extend(self.suspected_unlisted_machines());
        self.autoscaler.drop_deleting(&mut health);
        let FleetHealth {
            mut lost,
            suspected,
            zones,
        } = health;
        self.observe_zones(zones);
        let max_deletions = MAX_DELETIONS_PER_REQUEST.saturating_sub(lost.len());
        let hold = self.settings.operator.partitioned_zone_hold;
        lost.extend(self.partition.zone_health.choose_deletions(
            suspected,
            max_deletions,
            hold,
            self.now,
        ));
        self.drain_quarantined_machines();
        self.delete_machines(lost);
    }

    /// Inspects all machines of the fleet.
    fn inspect_fleet(&self) -> FleetHealth {
        let mut health = FleetHealth::default();
        for (machine_id, rented) in &self.autoscaler.fleet.machines {
            let running = rented.stage == MachineStage::Running;
            let contact = running.then(|| self.contact_with(machine_id, &rented.zone));
            if let Some(contact) = &contact {
                let zone = health.zones.entry(rented.zone.clone()).or_default();
                self.observe_machine(machine_id, contact, zone);
            }
            if self.has_not_booted(rented) || self.is_unfit_and_drained(machine_id) {
                health.lost.push(machine_id.clone());
            } else if contact.is_some_and(|contact| self.is_lost(machine_id, rented, &contact)) {
                health
                    .suspected
                    .push(self.suspected_machine(machine_id, &rented.zone));
            }
        }
        health
    }

    /// The state of a machine's contact with the controllers.
    fn contact_with(&self, machine_id: &MachineId, zone: &Zone) -> MachineContact {
        let shard = shard_of(machine_id, zone, self.settings.operator.shards_per_zone);
        let early = self.early_loss_timeout();
        let machine = self.machines.get(machine_id);
        MachineContact {
            silence: self.silence_of(machine_id, &shard),
            commands_unconfirmed: machine.is_some_and(|machine| {
                machine
                    .reachability
                    .is_live_but_unconfirmed(self.now, early)
            }),
        }
    }

    /// Counts a running machine in the observation of its zone.
    fn observe_machine(
        &self,
        machine_id: &MachineId,
        contact: &MachineContact,
        zone: &mut ZoneObservation,
    ) {
        zone.machines += 1;
        // A new holder that receives no heartbeats cannot tell whether the machine is silent. The
        // silence is then measured from the last heartbeat that any controller received.
        let (held, since_contact) = match &contact.silence {
            Some(silence) => (silence.held_for, silence.since_contact),
            None => {
                let since_contact = self.now.since(self.last_contact(machine_id));
                (since_contact.since(self.heartbeat_timeout()), since_contact)
            }
        };
        let silent = held > MIN_HELD_TIME_FOR_SILENCE && since_contact > self.heartbeat_timeout();
        zone.silent += u32::from(silent);
        let one_way = contact.silence.is_some()
            && contact.commands_unconfirmed
            && since_contact > self.early_loss_timeout();
        zone.one_way += u32::from(one_way);
    }

    /// Whether a machine failed, or has been booting for too long to succeed.
    fn has_not_booted(&self, rented: &RentedMachine) -> bool {
        match rented.stage {
            MachineStage::Failed => true,
            MachineStage::Running => false,
            MachineStage::Booting => {
                let type_spec = self.autoscaler.type_spec(&rented.machine_type);
                let boot_s = type_spec.map_or(UNKNOWN_TYPE_BOOT_S, |type_spec| {
                    type_spec.boot_s.max(MIN_BOOT_S)
                });
                let timeout = Millis::from_secs(boot_s * MAX_BOOT_FACTOR + MAX_BOOT_MARGIN_S);
                self.now.since(rented.rented_at) > timeout
            }
        }
    }

    /// Whether a machine that must not take new tasks is empty and stays so.
    fn is_unfit_and_drained(&self, machine_id: &MachineId) -> bool {
        self.machines.get(machine_id).is_some_and(|machine| {
            machine.quarantined
                || machine.termination_announced && !machine.reported.has_live_attempts()
        }) && self.is_drained(machine_id)
    }

    /// Whether a running machine has been silent for so long that its tasks must have stopped. If
    /// most other machines of its zone report, a few seconds suffice, since a new holder asks each
    /// machine for its state. A machine that sends heartbeats but receives nothing may receive again, so
    /// only the expiry of its lease counts.
    fn is_lost(
        &self,
        machine_id: &MachineId,
        rented: &RentedMachine,
        contact: &MachineContact,
    ) -> bool {
        let Some(silence) = &contact.silence else {
            return false;
        };
        let early = !contact.commands_unconfirmed
            && silence.since_contact > self.early_loss_timeout()
            && silence.held_for > MIN_HELD_TIME_FOR_SILENCE;
        silence.outlasts(self.lease_timeout())
            || early && self.most_of_zone_reports(machine_id, &rented.zone)
    }

    /// Silent machines that are no longer on any list, though the records have tasks there: an earlier
    /// leader may have deleted these machines and failed to write that their tasks had ended.
    fn suspected_unlisted_machines(&self) -> Vec<SuspectedMachine> {
        self.jobs
            .machine_ids()
            .filter(|machine_id| !self.autoscaler.fleet.machines.contains_key(*machine_id))
            .filter_map(|machine_id| Some((machine_id, self.recorded_shard(machine_id)?)))
            .filter(|(machine_id, shard)| self.is_unlisted_and_lost(machine_id, shard))
            .map(|(machine_id, shard)| self.suspected_machine(machine_id, &shard.zone))
            .collect()
    }

    /// The shard in which the records have a task on the machine; `None` if they have none.
    fn recorded_shard(&self, machine_id: &MachineId) -> Option<&ShardId> {
        self.jobs.tasks_on(machine_id).find_map(|(job_id, index)| {
            let placement = self.jobs.get(job_id)?.task(*index).placement()?;
            Some(&placement.shard)
        })
    }

    /// Whether a machine that is on no list is lost. The holder of its shard cannot tell that it is
    /// silent if this was the holder's last machine. But a machine that existed when this term of
    /// leadership began, and is on no list long after that, no longer exists.
    fn is_unlisted_and_lost(&self, machine_id: &MachineId, shard: &ShardId) -> bool {
        let lease = self.lease_timeout();
        let lists_read_for =
            (self.autoscaler.fleet.list_completed_at).since(self.membership.leading_since);
        let off_all_lists = lists_read_for > self.max_list_age()
            && self.last_contact(machine_id) + lease < self.now;
        off_all_lists
            || self
                .silence_of(machine_id, shard)
                .is_some_and(|silence| silence.outlasts(lease))
    }

    /// Starts to drain the machines that are quarantined.
    fn drain_quarantined_machines(&mut self) {
        for (machine_id, machine) in &self.machines {
            if machine.quarantined && !self.autoscaler.fleet.deleted.contains(machine_id) {
                self.autoscaler.drains.insert(machine_id.clone());
            }
        }
    }

    /// After this long without contact a worker's lease has expired and its tasks have stopped.
    fn lease_timeout(&self) -> Millis {
        Millis::from_secs(self.settings.deployment.workers.lease_s + LEASE_MARGIN_S)
    }

    /// After this long without contact a single machine is lost, if most others of its zone report.
    fn early_loss_timeout(&self) -> Millis {
        let interval_s = self.settings.deployment.workers.heartbeat_interval_s;
        Millis::from_secs(EARLY_HEARTBEAT_INTERVALS * interval_s + EARLY_MARGIN_S)
    }
}
