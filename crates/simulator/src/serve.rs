//! `cluster-simulator serve` and `cluster-simulator fault`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use cluster_simulator::config::Config;
use cluster_simulator::live::control;
use cluster_simulator::live::controllers::Controllers;
use cluster_simulator::live::faults::{Fault, Kind, read_plan};
use jaspertiller::http_client::HttpClient;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use crate::demo::Faults;

pub async fn run(
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
    // Settings that the controllers would refuse are refused here, where it is seen.
    jaspertiller::settings::Settings::read(&controllers.settings(0), operator.as_deref())?;
    tokio::spawn(shared.clone().run());
    let (address, mut asked) = control::serve(&shared)?;
    controllers.start_all()?;
    println!("region       http://{address}");
    for (index, address) in controllers.addresses.iter().enumerate() {
        println!("controller   n{index} http://{address}");
    }
    println!("Ctrl-C ends it");
    let mut faults = Faults::new(plan);
    let began = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_millis(200));
    let mut stop = std::pin::pin!(tokio::signal::ctrl_c());
    let mut term = signal(SignalKind::terminate())?;
    loop {
        tokio::select! {
            _ = &mut stop => break,
            _ = term.recv() => break,
            _ = ticks.tick() => faults.strike(&shared, &mut controllers, began.elapsed())?,
            Some((fault, reply)) = asked.recv() => {
                let outcome = faults.one(&fault, &shared, &mut controllers, began.elapsed());
                let _ = reply.send(outcome);
            }
        }
    }
    drop(controllers);
    let region = shared.lock();
    for violation in &region.rules.violations {
        println!("broken: {violation}");
    }
    Ok(if region.rules.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

pub async fn ask(
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
    let limit = Duration::from_secs(5);
    let call = client.call(warp::http::Method::POST, "/faults", body, limit);
    let (status, body) = call.await.ok().context("no region answers there")?;
    let text = String::from_utf8_lossy(&body);
    println!("{status} {text}");
    Ok(if status == 200 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
