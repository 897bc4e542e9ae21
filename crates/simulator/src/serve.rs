//! `cluster-simulator serve`, which keeps a live region up, and `cluster-simulator fault`, which asks one for a fault.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use cluster_simulator::config::Config;
use cluster_simulator::live::control;
use cluster_simulator::live::controllers::Controllers;
use cluster_simulator::live::faults::{Fault, FaultInjector, Kind, read_plan};
use jaspertiller::http_client::HttpClient;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

/// Interval at which planned faults and restarts are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a request for a fault waits for its answer.
const FAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves a region with its controllers until SIGINT or SIGTERM. Fails if a rule was broken.
///
/// # Errors
/// A file can't be read, an address can't be opened, or a controller can't be started.
pub(crate) async fn run(
    config: Option<PathBuf>,
    operator: Option<PathBuf>,
    plan: Option<PathBuf>,
    seed: u64,
) -> anyhow::Result<ExitCode> {
    let config = config.map_or_else(|| Ok(Config::default()), |path| Config::read(&path))?;
    let plan = plan.map_or_else(
        || Ok(Vec::new()),
        |path| read_plan(&path, config.controllers),
    )?;
    let (mut controllers, shared) = Controllers::prepare(&config, seed, operator.as_deref())?;
    // Settings that the controllers would refuse are refused here: the user would not see it in their logs.
    jaspertiller::settings::Settings::read(&controllers.settings_path(0), operator.as_deref())?;
    tokio::spawn(shared.clone().run());
    let (address, mut requests) = control::serve(&shared)?;
    controllers.start_all()?;
    println!("region       http://{address}");
    for (index, address) in controllers.addresses.iter().enumerate() {
        println!("controller   n{index} http://{address}");
    }
    println!("Ctrl-C ends it");
    let mut faults = FaultInjector::new(plan);
    let began = Instant::now();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let mut interrupt = std::pin::pin!(tokio::signal::ctrl_c());
    let mut terminate = signal(SignalKind::terminate())?;
    loop {
        tokio::select! {
            _ = &mut interrupt => break,
            _ = terminate.recv() => break,
            _ = ticks.tick() => faults.advance(&shared, &mut controllers, began.elapsed())?,
            Some(request) = requests.recv() => {
                let outcome = faults.inject(&request.fault, &shared, &mut controllers, began.elapsed());
                // The requester may have hung up.
                let _ = request.reply.send(outcome);
            }
        }
    }
    drop(controllers);
    let region = shared.lock();
    for violation in &region.rules.violations {
        println!("broken: {violation}");
    }
    Ok(exit_code(region.rules.violations.is_empty()))
}

/// Asks the region at an address for a fault and prints its answer. Fails if the fault was refused.
///
/// # Errors
/// No region answers at the address.
pub(crate) async fn ask(
    region: SocketAddr,
    kind: Kind,
    target: String,
    for_s: f64,
) -> anyhow::Result<ExitCode> {
    let fault = Fault {
        kind,
        target,
        for_s,
    };
    let client = HttpClient::new(region);
    let body = serde_json::to_vec(&fault)?;
    let call = client.call(warp::http::Method::POST, "/faults", body, FAULT_TIMEOUT);
    let (status, body) = call.await.ok().context("no region answers there")?;
    let text = String::from_utf8_lossy(&body);
    println!("{status} {text}");
    Ok(exit_code(status == 200))
}

fn exit_code(succeeded: bool) -> ExitCode {
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
