//! Performs a scale run: starts the controllers and the users, injects faults, and takes a sample every second.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use jaspertiller::lease::{LEADER_KEY, LeaderRecord};
use jaspertiller::types::{JobId, Zone};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::faults::{FaultKind, FaultSchedule};
use super::limits::memory_limit_mb;
use super::measure::{Event, JobCounts, Outcome, Second, histogram, record};
use super::sampling::{Sample, Sampler};
use super::users::{SharedUserLatencies, run_job};
use super::{ScaleSettings, load};
use crate::live::SharedRegion;
use crate::live::controllers::Controllers;
use crate::live::users::User;

/// Time within which all controllers must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two readiness checks of a controller.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the invariant checks: checking all tasks in every simulation step would take a CPU core.
const RULE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Sampling interval. Rates of a [`Second`] are differences between samples, so it must be one second.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The zone that fails: the second one, if the region has several.
const FAILED_ZONE: &str = "zone-01";

/// Called with the measurements of each second.
pub type Progress<'a> = &'a mut dyn FnMut(&Second);

/// Performs a run. It ends early on Ctrl-C, or if it uses more memory than a run may.
///
/// # Errors
/// A controller can't be started or does not become ready.
pub async fn run(settings: &ScaleSettings, progress: Progress<'_>) -> anyhow::Result<Outcome> {
    let config = settings.config();
    let (controllers, shared) = Controllers::prepare(&config, settings.seed, None)?;
    shared.lock().check_interval = RULE_CHECK_INTERVAL;
    let simulation = tokio::spawn(shared.clone().run());
    let mut run = Run::new(settings, controllers, shared);
    run.controllers.start_all()?;
    run.wait_until_ready().await?;
    let users = run.spawn_users();
    run.run_until_end(progress).await?;
    drop(users);
    simulation.abort();
    Ok(run.outcome())
}

/// What the report needs of a planned job.
struct PlannedJob {
    /// Planned time of submission, from the start of the run.
    send_at: Duration,
    class: String,
}

struct Run<'a> {
    settings: &'a ScaleSettings,
    controllers: Controllers,
    shared: SharedRegion,
    user: User,
    latencies: SharedUserLatencies,
    started_at: Instant,
    planned: HashMap<JobId, PlannedJob>,
    largest_gang: Option<JobId>,
    faults: FaultSchedule,
    sampler: Sampler,
    seconds: Vec<Second>,
    events: Vec<Event>,
    exited: Vec<usize>,
    stopped_early: Option<String>,
}

impl<'a> Run<'a> {
    fn new(settings: &'a ScaleSettings, controllers: Controllers, shared: SharedRegion) -> Self {
        let faults = if settings.faults {
            FaultSchedule::for_run(settings.seconds)
        } else {
            FaultSchedule::empty()
        };
        Self {
            user: User::new(shared.clone(), controllers.addresses.clone()),
            latencies: SharedUserLatencies::new(),
            sampler: Sampler::new(settings.controllers as usize),
            settings,
            controllers,
            shared,
            started_at: Instant::now(),
            planned: HashMap::new(),
            largest_gang: None,
            faults,
            seconds: Vec::new(),
            events: Vec::new(),
            exited: Vec::new(),
            stopped_early: None,
        }
    }

    async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let began = Instant::now();
        for index in 0..self.settings.controllers as usize {
            while !self.user.is_ready(index).await {
                if began.elapsed() > READY_TIMEOUT || !self.controllers.exited().is_empty() {
                    let log = self.controllers.log_tail(index);
                    anyhow::bail!(
                        "controller n{index} did not become ready; end of its log: {log}"
                    );
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        self.started_at = Instant::now();
        Ok(())
    }

    /// Spawns a user for each job, which submits it at its planned time whatever the progress of other jobs.
    fn spawn_users(&mut self) -> JoinSet<()> {
        let mut users = JoinSet::new();
        for plan in load::jobs(self.settings) {
            let send_at = Duration::from_millis(plan.at.unwrap_or(0));
            let class = plan.body["lot"].as_str().unwrap_or_default().to_string();
            let planned = PlannedJob { send_at, class };
            self.planned.insert(plan.id(), planned);
            if plan.body["picks"] == self.settings.gang && plan.body["shape"] == "gang" {
                self.largest_gang = Some(plan.id());
            }
            let (user, latencies) = (self.user.clone(), self.latencies.clone());
            users.spawn(run_job(user, plan, self.started_at + send_at, latencies));
        }
        users
    }

    async fn run_until_end(&mut self, progress: Progress<'_>) -> anyhow::Result<()> {
        let end = Duration::from_secs(self.settings.seconds);
        let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
        // The first tick of an interval completes immediately.
        ticks.tick().await;
        let mut interrupt = std::pin::pin!(tokio::signal::ctrl_c());
        while self.started_at.elapsed() < end && self.stopped_early.is_none() {
            tokio::select! {
                _ = &mut interrupt => self.stopped_early = Some("interrupted".into()),
                _ = ticks.tick() => {
                    self.record_exits();
                    self.advance_faults()?;
                    let second = self.sample();
                    progress(&second);
                    self.seconds.push(second);
                }
            }
        }
        Ok(())
    }

    fn log_event(&mut self, description: String) {
        let at = self.started_at.elapsed().as_secs();
        self.events.push(Event { at, description });
    }

    /// Records controllers that exited without being killed, each once.
    fn record_exits(&mut self) {
        for index in self.controllers.exited() {
            if !self.exited.contains(&index) {
                self.exited.push(index);
                let log = self.controllers.log_tail(index);
                self.log_event(format!(
                    "controller n{index} exited unexpectedly; end of its log: {log}"
                ));
            }
        }
    }

    /// Restarts the killed controllers and injects the faults that are due.
    fn advance_faults(&mut self) -> anyhow::Result<()> {
        let now = self.started_at.elapsed();
        for index in self.faults.take_due_restarts(now) {
            self.controllers.start(index)?;
            self.sampler.reset(index);
        }
        for kind in self.faults.take_due_faults(now) {
            self.inject(kind);
        }
        Ok(())
    }

    fn inject(&mut self, kind: FaultKind) {
        let leader = self.leader();
        let all = 0..self.settings.controllers as usize;
        let killed: Vec<usize> = match kind {
            FaultKind::KillOther => all.filter(|i| Some(*i) != leader).take(1).collect(),
            FaultKind::KillLeader => leader.into_iter().collect(),
            FaultKind::KillAll => all.collect(),
            FaultKind::LoseZone => {
                let stopped = self.shared.lock().lose_zone(&Zone::from(FAILED_ZONE));
                self.log_event(format!("{FAILED_ZONE} failed: {stopped} machines stopped"));
                return;
            }
        };
        let now = self.started_at.elapsed();
        for index in &killed {
            self.controllers.kill(*index);
            self.faults.schedule_restart(*index, now);
        }
        self.log_event(format!("{kind:?}: {killed:?} killed, leader {leader:?}"));
    }

    /// Index of the leader according to the leader record in the store.
    fn leader(&self) -> Option<usize> {
        let region = self.shared.lock();
        let (text, _, _) = region.store.get(LEADER_KEY)?;
        let record: LeaderRecord = serde_json::from_str(text).ok()?;
        record.leader.as_str().strip_prefix('n')?.parse().ok()
    }

    /// Samples one second, and ends the run early if it uses too much memory.
    fn sample(&mut self) -> Second {
        let leader = self.leader();
        let at = self.started_at.elapsed().as_secs();
        let sample = self
            .sampler
            .sample(at, leader, &self.shared, &self.controllers);
        let Sample { second, memory_mb } = sample;
        let limit_mb = memory_limit_mb().unwrap_or(u64::MAX);
        if memory_mb > limit_mb as f64 {
            let reason = format!("{memory_mb:.0} MB of memory in use, the limit is {limit_mb} MB");
            self.stopped_early = Some(reason);
        }
        second
    }

    /// Milliseconds from the planned submission of a job to the start of its first task; `None` if none started.
    fn wait_ms(&self, id: &JobId) -> Option<u64> {
        let planned = self.planned.get(id)?;
        let region = self.shared.lock();
        let start = region.rules.first_start.get(id)?;
        // The region's clock started before the run, when the controllers were prepared.
        let offset = region.now().0 as i64 - self.started_at.elapsed().as_millis() as i64;
        let wait = start.0 as i64 - offset - planned.send_at.as_millis() as i64;
        Some(wait.max(0) as u64)
    }

    fn log_largest_gang(&mut self) {
        let gang = format!("a gang of {} tasks", self.settings.gang);
        let wait = self.largest_gang.as_ref().and_then(|id| self.wait_ms(id));
        self.log_event(match wait {
            Some(ms) => format!("{gang} started {ms} ms after its planned submission"),
            None => format!("{gang} did not start"),
        });
    }

    fn outcome(mut self) -> Outcome {
        self.log_largest_gang();
        let mut waits: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        let mut jobs: BTreeMap<String, JobCounts> = BTreeMap::new();
        for (id, PlannedJob { class, .. }) in &self.planned {
            let counts = jobs.entry(class.clone()).or_default();
            counts.sent += 1;
            if let Some(ms) = self.wait_ms(id) {
                counts.started += 1;
                record(waits.entry(class.clone()).or_insert_with(histogram), ms);
            }
        }
        let region = self.shared.lock();
        let latencies = self.latencies.lock();
        Outcome {
            submissions: latencies.submissions.clone(),
            polls: latencies.polls.clone(),
            rejected: latencies.rejected,
            waits,
            jobs,
            violations: region.rules.violations.iter().cloned().collect(),
            seconds: self.seconds.clone(),
            exited: self.exited.clone(),
            stopped_early: self.stopped_early.clone(),
            events: self.events.clone(),
        }
    }
}
