//! Machines that are in contact one way only: those that speak and are not proved to hear, and those that
//! hear and can't report. The first are asked; the second are left before their lease is over.

use super::Controller;
use super::Effect;
use crate::jobs::JobKind;
use crate::types::{FencingToken, MachineId, Millis, TaskId};
use crate::workers::reconcile::Stop;
use crate::workers::wire::{TaskStage, WorkerCommand};
use rustc_hash::FxHashMap as HashMap;

/// A machine in doubt is asked this often.
const ASK_EVERY: Millis = Millis(2_500);
/// And only so many that fell silent in a second: most are dead, and hold a socket until that shows.
const MOST_ASKED: usize = 32;
/// A machine is quiet once so many of its heartbeats are missing.
const QUIET: f64 = 1.6;
/// Fewer quiet machines than these are none too many.
const FEW: usize = 3;
/// A new holder's machines have found it after so long.
const FOUND: Millis = Millis(10_000);
/// What a stop needs to reach a machine and its answer us, beyond the saving itself.
const TO_STOP: Millis = Millis(7_000);

/// Whether heartbeats arrive, and from whom.
#[derive(Debug)]
pub(super) struct WorkerContact {
    /// Whether workers' heartbeats reach us; without that we can hold no shards.
    pub(super) receives_heartbeats: bool,
    pub(super) last_heartbeat: Millis,
    /// When a worker was last asked for its state because no heartbeats arrived.
    pub(super) last_inspection: Millis,
    /// How often in a row we gave our shards up because no worker reached us.
    pub(super) shard_release_streak: u32,
    /// Most of our machines have sent no heartbeat for a while.
    pub(super) most_machines_quiet: bool,
    /// When peers received heartbeats of machines that we know nothing else of yet.
    pub(super) relayed_heartbeats: HashMap<MachineId, Millis>,
    /// When all machines were last looked over for silence.
    pub(super) last_sweep: Millis,
}

impl WorkerContact {
    pub(super) fn new() -> Self {
        Self {
            receives_heartbeats: true,
            last_heartbeat: Millis(0),
            last_inspection: Millis(0),
            shard_release_streak: 0,
            most_machines_quiet: false,
            relayed_heartbeats: HashMap::default(),
            last_sweep: Millis(0),
        }
    }
}

impl Controller {
    /// Whether most of our machines have not reported for a while. Then there is nowhere better to go, and most
    /// spells are over before a lease is, or before one that begins meanwhile: what answers directly is used
    /// as if it reported. Left as single mute ones are, nearly all work was stopped for nothing.
    pub(super) fn note_quiet(&mut self) {
        let often =
            Millis::from_secs(self.settings.deployment.workers.heartbeat_interval_s * QUIET);
        let (mut all, mut quiet) = (0, 0);
        for machine in self.machines.values() {
            let since = self.now.since(machine.reported);
            let counts = machine.reported > Millis(0) && since < super::heartbeats::FORGET;
            if counts && self.token_for(&machine.shard).is_some() {
                all += 1;
                quiet += usize::from(since > often);
            }
        }
        self.contact.most_machines_quiet = quiet >= FEW && quiet * 2 >= all;
    }

    /// Whether a machine of ours has not reported for so long that its worker must be unable to. What it
    /// says to direct commands renews no lease.
    pub(super) fn is_unable_to_report(&self, machine_id: &MachineId) -> bool {
        if self.contact.most_machines_quiet {
            return false;
        }
        self.machines.get(machine_id).is_some_and(|machine| {
            let took = self
                .membership
                .shard_moved_at
                .get(&machine.shard)
                .copied()
                .unwrap_or_default();
            let silent = self.now.since(machine.reported) > self.silence();
            // Taken from a holder that knew it as mute already, it stays so until it reports.
            silent && (self.now.since(took) > FOUND || !machine.reachability.proved())
        })
    }

    /// Asks machines of ours that fell silent whether they are there all the same.
    pub(super) fn ask_silent(&mut self) {
        let (now, silence) = (self.now, self.silence());
        let silent = self.machines.values().filter(|m| {
            let ours = self.token_for(&m.shard) == Some(m.worker_token.token());
            let since = now.since(m.heard);
            ours && since > silence
                && since < super::heartbeats::FORGET
                && !m.reachability.doubtful(now, silence)
                && now.since(m.direct.asked) >= ASK_EVERY
        });
        let silent: Vec<MachineId> = silent
            .map(|m| m.machine_id.clone())
            .take(MOST_ASKED)
            .collect();
        for machine_id in silent {
            self.ask(&machine_id);
        }
    }

    /// A machine can't report, so its lease runs out: what was not begun there is placed elsewhere at once,
    /// and what runs is saved while there is time for it.
    pub(super) fn evacuate_unable_to_report(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let lease = Millis::from_secs(self.settings.deployment.workers.lease_s);
        let left = (machine.reported + lease).since(self.now);
        let here: Vec<TaskId> = self
            .jobs
            .on_machine(machine_id)
            .map(|(id, index)| TaskId {
                job: id.clone(),
                index: *index,
            })
            .collect();
        let mut leaving = Vec::new();
        for task in here {
            let seen = machine.tasks.get(&task).map(|seen| seen.stage);
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let spec = &job.spec;
            let last = Millis::from_secs(spec.save_s) + TO_STOP;
            match seen {
                None => leaving.push((task, false)),
                Some(TaskStage::Running) if spec.checkpoint_s > 0.0 && left < last => {
                    leaving.push((task, true));
                }
                Some(_) => {}
            }
        }
        for (task, save) in leaving {
            self.stop_with_its_gang(&task, save);
        }
    }

    /// Has a task stopped where it was placed; of a gang all tasks, since they save together.
    fn stop_with_its_gang(&mut self, task: &TaskId, save: bool) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let gang = job.spec.kind == JobKind::Gang;
        let stopped: Vec<_> = job
            .placements()
            .filter(|(index, _)| gang || *index == task.index)
            .map(|(index, p)| (index, p.attempt))
            .collect();
        for (index, attempt) in stopped {
            let job = task.job.clone();
            self.scheduler
                .stops
                .insert(TaskId { job, index }, Stop { attempt, save });
        }
    }

    /// The cloud takes the machine away: what can save its work is told to.
    pub(super) fn drain_warned(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id).filter(|m| m.warned) else {
            return;
        };
        let running: Vec<TaskId> = machine
            .tasks
            .iter()
            .filter(|(_, seen)| seen.stage == TaskStage::Running)
            .map(|(task, _)| task.clone())
            .collect();
        for task in running {
            let job = self.jobs.get(&task.job);
            if job.is_some_and(|job| job.spec.checkpoint_s > 0.0) {
                self.stop_with_its_gang(&task, true);
            }
        }
    }

    /// Only stops go to a machine that can't report: what is started there dies with its lease.
    pub(super) fn stop_where_unable_to_report(
        &mut self,
        machine_id: &MachineId,
        token: FencingToken,
        mut commands: Vec<WorkerCommand>,
    ) {
        commands.retain(|order| matches!(order, WorkerCommand::Stop { .. }));
        if !commands.is_empty() && self.may_answer() {
            self.send_direct(machine_id, token, commands);
        }
    }

    /// Shows our token to the machines of our shards that have not seen it: until then they may
    /// go on reporting to an earlier holder, who may not know that it is one. Asks those that speak
    /// and are not proved to hear.
    pub(super) fn fence(&mut self) {
        let (now, silence) = (self.now, self.silence());
        let unaware = self.machines.values().filter(|m| {
            let token = self.token_for(&m.shard);
            let unaware = token.is_some_and(|token| m.worker_token < self.worker_token(token));
            let due = now.since(m.direct.asked) >= ASK_EVERY;
            unaware || token.is_some() && due && m.reachability.doubtful(now, silence)
        });
        let unaware: Vec<MachineId> = unaware.map(|m| m.machine_id.clone()).collect();
        for machine_id in unaware {
            self.ask(&machine_id);
        }
    }

    /// Sends a machine of ours nothing but our token. Its answer is new, and proves that it hears.
    pub(super) fn ask(&mut self, machine_id: &MachineId) {
        let token = self
            .machines
            .get(machine_id)
            .map(|m| self.token_for(&m.shard));
        if let Some(Some(token)) = token {
            self.send_direct(machine_id, token, Vec::new());
        }
    }

    /// Sends a machine commands that start nothing, unless an exchange is under way.
    fn send_direct(
        &mut self,
        machine_id: &MachineId,
        token: FencingToken,
        commands: Vec<WorkerCommand>,
    ) {
        let worker_token = self.worker_token(token);
        let gone = self.autoscaler.fleet.gone.contains(machine_id);
        let machine = self.machines.get_mut(machine_id);
        let Some(machine) = machine.filter(|m| !m.direct.busy && !gone) else {
            return;
        };
        let Some(address) = machine.address else {
            return;
        };
        machine.direct.busy = true;
        machine.direct.asked = self.now;
        machine.direct.sent.clear();
        let (machine_id, agent_epoch) = (machine_id.clone(), machine.agent_epoch);
        self.effects.push(Effect::Direct {
            machine_id,
            address,
            worker_token,
            agent_epoch,
            commands,
        });
    }
}

#[cfg(test)]
mod tests;
