//! `cluster-simulator`: a region on loopback to try the daemon in, and replays in virtual time.

mod cut_report;
mod demo;
mod report;
mod scale_report;
mod serve;
mod slope_report;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use cluster_simulator::live::faults::Kind;
use cluster_simulator::slopes::Size;

/// A region of stand-ins on loopback, round real controllers.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start a region and three controllers, run a mixed set of jobs, and say what came of it
    Demo {
        /// Luck: of arrival times, boots and fetches
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Faults to strike meanwhile (INI); without, one controller is killed
        #[arg(long, value_name = "FILE")]
        plan: Option<PathBuf>,
    },
    /// Keep a region and its controllers up until Ctrl-C
    Serve {
        /// What the region is made of (INI)
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The controllers' operator settings (INI)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// Faults to strike meanwhile (INI)
        #[arg(long, value_name = "FILE")]
        plan: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Ask a region that is served for a fault
    Fault {
        /// The address that `serve` printed
        #[arg(long)]
        region: SocketAddr,
        #[arg(value_enum)]
        kind: Kind,
        /// The controller (n0) or machine (vm-000001)
        #[arg(default_value = "")]
        target: String,
        /// Seconds
        #[arg(long, default_value_t = 10.0)]
        for_s: f64,
    },
    /// Replay contention under nested quotas in virtual time, and under flat ones beside it
    Contention {
        /// How many seeds of each
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: u64,
        /// Writes a page with plots of every level's share (HTML, needs no network)
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Replay cuts of a zone in virtual time, kept and given up beside each other
    Cuts {
        /// Writes a page with plots of the tasks that go on (HTML, needs no network)
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Play a load on real controller processes with hollow workers, on loopback, and measure it
    #[command(after_help = SCALE_HELP)]
    Scale {
        /// This part of the target in docs/CAPACITY.md, instead of the small default
        #[arg(long, value_parser = part)]
        target: Option<f64>,
        /// Counts and rates (INI, section [scale]: the flags' names, and accelerators, zones, teams,
        /// burst_starts, burst_s, gang, state_requests, state_changes, state_value_kb)
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        #[arg(long)]
        machines: Option<u64>,
        #[arg(long)]
        controllers: Option<u64>,
        /// Tasks that run when nothing bursts
        #[arg(long)]
        tasks: Option<u64>,
        #[arg(long)]
        seconds: Option<u64>,
        #[arg(long)]
        seed: Option<u64>,
        /// Kills no controller and loses no zone
        #[arg(long)]
        no_faults: bool,
        /// Writes a row a second and controller
        #[arg(long, value_name = "FILE")]
        csv: Option<PathBuf>,
        /// Writes a page of plots (HTML, needs no network)
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Play one load at several sizes in virtual time: what controllers send, receive and spend
    Slopes {
        /// Machines of each size
        #[arg(long, value_delimiter = ',', default_value = "250,500,1000,2000",
            value_parser = clap::value_parser!(u32).range(10..=20_000))]
        machines: Vec<u32>,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=13))]
        controllers: u64,
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=64))]
        zones: u64,
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        teams: u64,
        /// Virtual seconds, from an empty fleet on
        #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(20..=600))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes every figure as CSV
        #[arg(long, value_name = "FILE")]
        csv: Option<PathBuf>,
    },
    /// Run the daemon's own command line: what the region starts its controllers with
    #[command(disable_help_flag = true)]
    Controller {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

/// Threads of the stand-ins in a scale run.
const SCALE_THREADS: usize = 4;
const SCALE_HELP: &str = "Ends with 2 if files, counts or this machine's limits do not do, with 3 if it stopped \
    itself, with 1 if a rule broke or a controller ended by itself. All figures are simulated.";

/// A part of the target.
fn part(text: &str) -> Result<f64, String> {
    let part: f64 = text.parse().map_err(|_| "must be a number")?;
    if (0.01..=2.0).contains(&part) {
        Ok(part)
    } else {
        Err("must lie between 0.01 and 2".into())
    }
}

/// Exit status for files that can't be used.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let command = Cli::parse().command;
    if let Command::Controller { args } = command {
        // The region holds the other end: a controller does not outlive it.
        std::thread::spawn(|| {
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            std::process::exit(1);
        });
        let name = OsString::from("jaspertiller");
        return jaspertiller::cli::run(std::iter::once(name).chain(args));
    }
    let runtime = match command {
        // Thousands of workers are more than one thread can play.
        Command::Scale { .. } => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(SCALE_THREADS)
            .enable_all()
            .build(),
        _ => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build(),
    };
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("tiller-region: {error}");
            return ExitCode::FAILURE;
        }
    };
    let ended = runtime.block_on(async {
        match command {
            Command::Demo { seed, plan } => demo::run(seed, plan.as_deref()).await,
            Command::Serve {
                config,
                operator,
                plan,
                seed,
            } => serve::run(config, operator, plan, seed).await,
            Command::Fault {
                region,
                kind,
                target,
                for_s,
            } => serve::ask(region, kind, target, for_s).await,
            Command::Contention { seeds, report } => report::run(seeds, report.as_deref()),
            Command::Cuts { report } => cut_report::run(report.as_deref()),
            Command::Scale {
                target,
                config,
                machines,
                controllers,
                tasks,
                seconds,
                seed,
                no_faults,
                csv,
                report,
            } => {
                let flags = vec![
                    ("machines", machines),
                    ("controllers", controllers),
                    ("tasks", tasks),
                    ("seconds", seconds),
                    ("seed", seed),
                ];
                let asked = scale_report::Asked {
                    part: target,
                    config,
                    flags,
                    no_faults,
                    csv,
                    report,
                };
                scale_report::play(asked).await
            }
            Command::Slopes {
                machines,
                controllers,
                zones,
                teams,
                seconds,
                seed,
                csv,
            } => {
                let sizes = machines.into_iter().map(|machines| Size {
                    machines,
                    controllers: controllers as usize,
                    zones: zones as usize,
                    teams: teams as usize,
                    seconds,
                });
                slope_report::run(sizes, seed, csv.as_deref())
            }
            Command::Controller { .. } => Ok(ExitCode::SUCCESS),
        }
    });
    ended.unwrap_or_else(|error| {
        eprintln!("tiller-region: {error:#}");
        let settings = error.is::<jaspertiller::settings::SettingsError>();
        ExitCode::from(if settings { BAD_SETTINGS } else { 1 })
    })
}
