//! `cluster-simulator serve`, which runs a live region until it is stopped, and `cluster-simulator fault`, which
//! requests a fault from such a region.

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

/// Interval between checks for due faults and controller restarts.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a fault request.
const FAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a region with its controllers until SIGINT or SIGTERM. The exit code is a failure if a rule was violated.
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
    // Checks the settings before the start: a rejection by the controllers would only appear in their own logs, which
    // the user does not see.
    jaspertiller::settings::Settings::read(&controllers.settings_path(0), operator.as_deref())?;
    tokio::spawn(shared.clone().run());
    let (address, mut requests) = control::serve(&shared)?;
    controllers.start_all()?;
    println!("region       http://{address}");
    for (index, address) in controllers.addresses.iter().enumerate() {
        println!("controller   n{index} http://{address}");
    }
    println!("press Ctrl-C to stop the region");
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
                // The requester may have disconnected.
                let _ = request.reply.send(outcome);
            }
        }
    }
    drop(controllers);
    let region = shared.lock();
    for violation in &region.rules.violations {
        println!("rule violated: {violation}");
    }
    Ok(exit_code(region.rules.violations.is_empty()))
}

/// Requests a fault from the region at an address and prints the response. The exit code is a failure if the region
/// rejected the fault.
///
/// # Errors
/// No region responds at the address.
pub(crate) async fn request_fault(
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
    let (status, body) = call
        .await
        .ok()
        .with_context(|| format!("no region responds at {region}"))?;
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
