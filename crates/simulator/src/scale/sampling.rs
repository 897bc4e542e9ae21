//! Samples the stand-ins' counters and the processes once a second.
//!
//! [`Sampler`] owns the previous sample, from which the differences are taken.

use super::measure::{ProcessSample, Second};
use crate::live::SharedRegion;
use crate::live::controllers::Controllers;

/// Counters of the stand-ins since the run began.
#[derive(Clone, Copy, Default)]
struct Counters {
    starts: u64,
    changes: u64,
    requests: u64,
    worker_bytes: u64,
}

/// One sample.
pub(super) struct Sample {
    /// What is reported.
    pub second: Second,
    /// Megabytes that the controllers and this program use together.
    pub memory_mb: f64,
}

/// Takes samples, and keeps the last one of each process.
pub(super) struct Sampler {
    controllers: Vec<Option<ProcessSample>>,
    own: ProcessSample,
    counters: Counters,
}

impl Sampler {
    /// A sampler without a previous sample.
    pub(super) fn new(controllers: usize) -> Self {
        Self {
            controllers: vec![None; controllers],
            own: ProcessSample::default(),
            counters: Counters::default(),
        }
    }

    /// Forgets the last sample of a controller whose process is a new one.
    pub(super) fn reset(&mut self, controller: usize) {
        self.controllers[controller] = None;
    }

    /// Samples the second that ends `at` seconds after the run began.
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
        self.sample_stand_ins(&mut second, shared);
        let memory_mb = self.sample_processes(&mut second, controllers);
        Sample { second, memory_mb }
    }

    fn sample_stand_ins(&mut self, second: &mut Second, shared: &SharedRegion) {
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

    /// Returns the megabytes that all processes use together.
    fn sample_processes(&mut self, second: &mut Second, controllers: &Controllers) -> f64 {
        let mut memory_mb = 0.0;
        for (index, last) in self.controllers.iter_mut().enumerate() {
            let pid = controllers.pid(index);
            let sample = pid.and_then(ProcessSample::of);
            let before = std::mem::replace(last, sample);
            let core = sample.zip(before).map(|(now, then)| now.cpu_s - then.cpu_s);
            second.cores.push(core);
            let sample = sample.unwrap_or_default();
            second.memory_mb.push(sample.memory_mb);
            second.sockets.push(sample.sockets);
            memory_mb += sample.memory_mb;
        }
        let own = ProcessSample::of(std::process::id()).unwrap_or_default();
        second.stand_in_cores = own.cpu_s - self.own.cpu_s;
        second.stand_in_sockets = own.sockets;
        self.own = own;
        memory_mb + own.memory_mb
    }
}
