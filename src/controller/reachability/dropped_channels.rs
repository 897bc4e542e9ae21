//! The direct channels of machines that were dropped from view: their starts may still arrive if the machine runs.

use rustc_hash::FxHashMap as HashMap;

use crate::lease::Tenure;
use crate::types::{MachineId, ShardId, WorkerToken};
use crate::workers::{DirectChannel, Machine};

/// A channel with unfenced starts, and the shard of its machine.
#[derive(Debug)]
struct DroppedChannel {
    shard: ShardId,
    channel: DirectChannel,
}

/// Channels with unfenced starts, by machine.
#[derive(Debug, Default)]
pub(in crate::controller) struct DroppedChannels {
    by_machine: HashMap<MachineId, DroppedChannel>,
}

impl DroppedChannels {
    /// Keeps the channel of a machine that is about to be dropped from view, if any start is unfenced.
    pub(in crate::controller) fn keep(&mut self, machine: &mut Machine) {
        if machine.direct.unfenced_count() == 0 {
            return;
        }
        let dropped = DroppedChannel {
            shard: machine.shard.clone(),
            channel: std::mem::take(&mut machine.direct).without_exchange(),
        };
        self.by_machine.insert(machine.machine_id.clone(), dropped);
    }

    /// Gives a machine that is seen again the channel that it had.
    pub(in crate::controller) fn restore(&mut self, mut machine: Machine) -> Machine {
        if let Some(dropped) = self.by_machine.remove(&machine.machine_id) {
            machine.direct = dropped.channel;
        }
        machine
    }

    /// Drops the channels of machines that no longer exist, and those with starts of earlier tenures only: commands
    /// are sent only to workers that have seen a token of the present one.
    pub(in crate::controller) fn retain_unfenced(
        &mut self,
        held: impl Fn(&ShardId) -> Option<Tenure>,
        exists: impl Fn(&MachineId) -> bool,
    ) {
        self.by_machine.retain(|machine_id, dropped| {
            let unfenced = held(&dropped.shard).is_some_and(|tenure| {
                let acquired = WorkerToken::connected(tenure.acquired);
                dropped.channel.unfenced_under(acquired) > 0
            });
            unfenced && exists(machine_id)
        });
    }
}
