//! Samples the simulator's counters and the processes once per second.
//!
//! [`Sampler`] keeps the previous sample, because rates are differences between consecutive samples.

use super::measure::{ProcessSample, Second};
use crate::live::SharedRegion;
use crate::live::controllers::Controllers;

/// Cumulative counters of the simulated region.
#[derive(Clone, Copy, Default)]
struct Counters {
    starts: u64,
    changes: u64,
    requests: u64,
    worker_bytes: u64,
}

/// The result of one sampling.
pub(super) struct Sample {
    /// The measurements to report.
    pub second: Second,
    /// Resident memory of the controllers and this process together, in megabytes.
    pub memory_mb: f64,
}

/// Takes samples, and keeps the previous one of each process and of the counters.
pub(super) struct Sampler {
    controllers: Vec<Option<ProcessSample>>,
    simulator: ProcessSample,
    counters: Counters,
}

impl Sampler {
    /// A sampler without a previous sample.
    pub(super) fn new(controllers: usize) -> Self {
        Self {
            controllers: vec![None; controllers],
            simulator: ProcessSample::default(),
            counters: Counters::default(),
        }
    }

    /// Discards the previous sample of a controller that was restarted: CPU time starts from zero in a new process.
    pub(super) fn reset(&mut self, controller: usize) {
        self.controllers[controller] = None;
    }

    /// Samples the second that ends `at` seconds after the start of the run.
    pub(super) fn sample(
        &mut self,
        at: u64,
        leader: Option<usize>,
        shared: &SharedRegion,
        controllers: &Controllers,
    ) -> Sample {
        let mut second = Second {
            at,
            leader,
            ..Second::default()
        };
        self.sample_region(&mut second, shared);
        let memory_mb = self.sample_processes(&mut second, controllers);
        Sample { second, memory_mb }
    }

    fn sample_region(&mut self, second: &mut Second, shared: &SharedRegion) {
        let counters = {
            let region = &mut *shared.lock();
            let now = region.now();
            second.running = region.machines.tasks_started(now).count();
            second.machines = region.machines.healthy(now).count();
            second.longest_step_ms = std::mem::take(&mut region.longest_step_ms);
            Counters {
                starts: region.rules.starts,
                changes: region.store.written,
                requests: region.requests,
                worker_bytes: region.worker_bytes,
            }
        };
        second.starts = counters.starts - self.counters.starts;
        second.changes = counters.changes - self.counters.changes;
        second.requests = counters.requests - self.counters.requests;
        second.worker_bytes = counters.worker_bytes - self.counters.worker_bytes;
        self.counters = counters;
    }

    /// Returns the resident memory of all processes together, in megabytes.
    fn sample_processes(&mut self, second: &mut Second, controllers: &Controllers) -> f64 {
        let mut memory_mb = 0.0;
        for (index, previous) in self.controllers.iter_mut().enumerate() {
            let pid = controllers.pid(index);
            let sample = pid.and_then(ProcessSample::of);
            let before = std::mem::replace(previous, sample);
            let cores = sample
                .zip(before)
                .map(|(now, before)| now.cpu_s - before.cpu_s);
            second.cores.push(cores);
            let sample = sample.unwrap_or_default();
            second.memory_mb.push(sample.memory_mb);
            second.sockets.push(sample.sockets);
            memory_mb += sample.memory_mb;
        }
        let simulator = ProcessSample::of(std::process::id()).unwrap_or_default();
        second.simulator_cores = simulator.cpu_s - self.simulator.cpu_s;
        second.simulator_sockets = simulator.sockets;
        self.simulator = simulator;
        memory_mb + simulator.memory_mb
    }
}
