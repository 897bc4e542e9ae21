//! `cluster-simulator`: runs a simulated region on loopback for trying out the daemon, and simulations in virtual time.

mod cli;
mod cut_report;
mod demo;
mod report;
mod scale_report;
mod serve;
mod slope_report;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Parser;
use cluster_simulator::slopes::Size;
use tokio::runtime::{Builder, Runtime};

use crate::cli::{Cli, Command, ScaleArgs, ServeArgs, SlopesArgs};

/// Runtime threads of a scale run: one thread can't simulate its thousands of workers.
const SCALE_THREADS: usize = 4;

/// Exit status for settings files that can't be read or are invalid.
const STATUS_BAD_SETTINGS: u8 = 2;
/// Exit status for any other error.
const STATUS_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let command = match Cli::parse().command {
        Command::Controller { args } => return run_controller(args),
        command => command,
    };
    let runtime = match runtime_for(&command) {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cluster-simulator: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime
        .block_on(run(command))
        .unwrap_or_else(|error| report_error(&error))
}

/// Runs the daemon's command line. The process exits when standard input closes, so that no controller outlives the
/// region process that holds the other end.
fn run_controller(args: Vec<OsString>) -> ExitCode {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(1);
    });
    let name = OsString::from("jaspertiller");
    jaspertiller::cli::run(std::iter::once(name).chain(args))
}

/// Builds the runtime that a command needs.
///
/// # Errors
/// The operating system refuses a thread or an event queue.
fn runtime_for(command: &Command) -> std::io::Result<Runtime> {
    match command {
        Command::Scale(_) => Builder::new_multi_thread()
            .worker_threads(SCALE_THREADS)
            .enable_all()
            .build(),
        _ => Builder::new_current_thread().enable_all().build(),
    }
}

/// Runs a command and returns its exit status.
///
/// # Errors
/// A file can't be used, or a controller can't be started.
async fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Demo(args) => demo::run(args.seed, args.plan.as_deref()).await,
        Command::Serve(args) => run_serve(args).await,
        Command::Fault(args) => {
            serve::request_fault(args.region, args.kind, args.target, args.for_s).await
        }
        Command::Contention(args) => report::run(args.seeds, args.report.as_deref()),
        Command::Cuts(args) => cut_report::run(args.report.as_deref()),
        Command::Scale(args) => run_scale(args).await,
        Command::Slopes(args) => run_slopes(args),
        Command::Controller { args } => Ok(run_controller(args)),
    }
}

async fn run_serve(args: ServeArgs) -> anyhow::Result<ExitCode> {
    serve::run(args.config, args.operator, args.plan, args.seed).await
}

async fn run_scale(args: ScaleArgs) -> anyhow::Result<ExitCode> {
    let flags = vec![
        ("machines", args.machines),
        ("controllers", args.controllers),
        ("tasks", args.tasks),
        ("seconds", args.seconds),
        ("seed", args.seed),
    ];
    let options = scale_report::Options {
        target_fraction: args.target,
        config: args.config,
        flags,
        no_faults: args.no_faults,
        csv: args.csv,
        report: args.report,
    };
    scale_report::play(options).await
}

fn run_slopes(args: SlopesArgs) -> anyhow::Result<ExitCode> {
    let sizes = args.machines.into_iter().map(|machines| Size {
        machines,
        controllers: args.controllers as usize,
        zones: args.zones as usize,
        teams: args.teams as usize,
        seconds: args.seconds,
    });
    slope_report::run(sizes, args.seed, args.csv.as_deref())
}

/// Prints a command's error and returns the exit status for it.
fn report_error(error: &anyhow::Error) -> ExitCode {
    eprintln!("cluster-simulator: {error:#}");
    let is_bad_settings = error.is::<jaspertiller::settings::SettingsError>();
    ExitCode::from(if is_bad_settings {
        STATUS_BAD_SETTINGS
    } else {
        STATUS_FAILURE
    })
}
