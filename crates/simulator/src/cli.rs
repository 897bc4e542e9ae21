//! The command line: subcommands and their arguments. The doc comments of commands and fields are the help texts.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use cluster_simulator::live::faults::Kind;

/// Help text of `scale` on its exit status.
const SCALE_HELP: &str = "Exit status: 2 if a file or count is invalid or this machine's limits are too low, 3 if the \
    run stopped itself, 1 if a rule was violated or a controller exited unexpectedly. All figures are simulated.";

/// Simulates a region for real controllers: on loopback, or in virtual time.
#[derive(Parser)]
#[command(version, about)]
pub(crate) struct Cli {
    /// Command to run
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Start a region and three controllers, run a mixed set of jobs, and print the outcome
    Demo(DemoArgs),
    /// Run a region and its controllers until Ctrl-C
    Serve(ServeArgs),
    /// Request a fault from a region that `serve` runs
    Fault(FaultArgs),
    /// Simulate contention under nested quotas in virtual time, with flat quotas as the baseline
    Contention(ContentionArgs),
    /// Simulate network partitions of a zone in virtual time, with the zone's machines kept and given up
    Cuts(CutsArgs),
    /// Load real controller processes with simulated workers on loopback, and measure them
    #[command(after_help = SCALE_HELP)]
    Scale(ScaleArgs),
    /// Simulate one load at several region sizes in virtual time, and measure controller traffic and processing time
    Slopes(SlopesArgs),
    /// Run the daemon's own command line; the region starts its controllers with this command
    #[command(disable_help_flag = true)]
    Controller {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

/// Arguments of `demo`.
#[derive(Args)]
pub(crate) struct DemoArgs {
    /// Seed of the random arrival, boot and fetch times
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Faults to inject during the run (INI); without it, one controller is killed
    #[arg(long, value_name = "FILE")]
    pub(crate) plan: Option<PathBuf>,
}

/// Arguments of `serve`.
#[derive(Args)]
pub(crate) struct ServeArgs {
    /// Configuration of the region (INI)
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// The controllers' operator settings (INI)
    #[arg(long, value_name = "FILE")]
    pub(crate) operator: Option<PathBuf>,
    /// Faults to inject during the run (INI)
    #[arg(long, value_name = "FILE")]
    pub(crate) plan: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Arguments of `fault`.
#[derive(Args)]
pub(crate) struct FaultArgs {
    /// Address of the region, as printed by `serve`
    #[arg(long)]
    pub(crate) region: SocketAddr,
    #[arg(value_enum)]
    pub(crate) kind: Kind,
    /// Controller (n0) or machine (vm-000001) that the fault affects
    #[arg(default_value = "")]
    pub(crate) target: String,
    /// Duration of the fault in seconds
    #[arg(long, default_value_t = 10.0)]
    pub(crate) for_s: f64,
}

/// Arguments of `contention`.
#[derive(Args)]
pub(crate) struct ContentionArgs {
    /// Number of seeds to simulate for each kind of quotas
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
    pub(crate) seeds: u64,
    /// Write a page with plots of every quota node's share (HTML, needs no network)
    #[arg(long, value_name = "FILE")]
    pub(crate) report: Option<PathBuf>,
}

/// Arguments of `cuts`.
#[derive(Args)]
pub(crate) struct CutsArgs {
    /// Write a page with plots of the tasks that keep running (HTML, needs no network)
    #[arg(long, value_name = "FILE")]
    pub(crate) report: Option<PathBuf>,
}

/// Arguments of `scale`.
#[derive(Args)]
pub(crate) struct ScaleArgs {
    /// Fraction of the target load in docs/CAPACITY.md, from 0.01 to 2, instead of the small default load
    #[arg(long, value_parser = parse_target_fraction)]
    pub(crate) target: Option<f64>,
    /// Counts and rates (INI, section [scale]; keys: the flags' names, and accelerators, zones, teams,
    /// burst_starts, burst_s, gang, state_requests, state_changes, state_value_kb)
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    #[arg(long)]
    pub(crate) machines: Option<u64>,
    #[arg(long)]
    pub(crate) controllers: Option<u64>,
    /// Tasks that run outside of bursts
    #[arg(long)]
    pub(crate) tasks: Option<u64>,
    #[arg(long)]
    pub(crate) seconds: Option<u64>,
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// Inject no controller crash and no zone outage
    #[arg(long)]
    pub(crate) no_faults: bool,
    /// Write one row per second and controller as CSV
    #[arg(long, value_name = "FILE")]
    pub(crate) csv: Option<PathBuf>,
    /// Write a page of plots (HTML, needs no network)
    #[arg(long, value_name = "FILE")]
    pub(crate) report: Option<PathBuf>,
}

/// Arguments of `slopes`.
#[derive(Args)]
pub(crate) struct SlopesArgs {
    /// Numbers of machines to simulate, one for each size
    #[arg(long, value_delimiter = ',', default_value = "250,500,1000,2000",
        value_parser = clap::value_parser!(u32).range(10..=20_000))]
    pub(crate) machines: Vec<u32>,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=13))]
    pub(crate) controllers: u64,
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=64))]
    pub(crate) zones: u64,
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub(crate) teams: u64,
    /// Virtual seconds to simulate, starting from an empty fleet
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(20..=3_600))]
    pub(crate) seconds: u64,
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Write every figure as CSV
    #[arg(long, value_name = "FILE")]
    pub(crate) csv: Option<PathBuf>,
}

/// Parses the fraction of the target load that `scale` runs.
fn parse_target_fraction(text: &str) -> Result<f64, String> {
    let fraction: f64 = text.parse().map_err(|_| "must be a number")?;
    if (0.01..=2.0).contains(&fraction) {
        Ok(fraction)
    } else {
        Err("must be between 0.01 and 2".into())
    }
}
