//! The command line: subcommands and their arguments. Doc comments of commands and fields are the help texts.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use cluster_simulator::live::faults::Kind;

/// Exit statuses of `scale`.
const SCALE_HELP: &str = "Ends with 2 if files, counts or this machine's limits do not do, with 3 if it stopped \
    itself, with 1 if a rule broke or a controller ended by itself. All figures are simulated.";

/// A region of stand-ins on loopback, round real controllers.
#[derive(Parser)]
#[command(version, about)]
pub(crate) struct Cli {
    /// What to do
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Start a region and three controllers, run a mixed set of jobs, and say what came of it
    Demo(DemoArgs),
    /// Keep a region and its controllers up until Ctrl-C
    Serve(ServeArgs),
    /// Ask a region that is served for a fault
    Fault(FaultArgs),
    /// Replay contention under nested quotas in virtual time, and under flat ones beside it
    Contention(ContentionArgs),
    /// Replay cuts of a zone in virtual time, kept and given up beside each other
    Cuts(CutsArgs),
    /// Play a load on real controller processes with hollow workers, on loopback, and measure it
    #[command(after_help = SCALE_HELP)]
    Scale(ScaleArgs),
    /// Play one load at several sizes in virtual time: what controllers send, receive and spend
    Slopes(SlopesArgs),
    /// Run the daemon's own command line: what the region starts its controllers with
    #[command(disable_help_flag = true)]
    Controller {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

/// Arguments of `demo`.
#[derive(Args)]
pub(crate) struct DemoArgs {
    /// Luck: of arrival times, boots and fetches
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Faults to strike meanwhile (INI); without, one controller is killed
    #[arg(long, value_name = "FILE")]
    pub(crate) plan: Option<PathBuf>,
}

/// Arguments of `serve`.
#[derive(Args)]
pub(crate) struct ServeArgs {
    /// What the region is made of (INI)
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// The controllers' operator settings (INI)
    #[arg(long, value_name = "FILE")]
    pub(crate) operator: Option<PathBuf>,
    /// Faults to strike meanwhile (INI)
    #[arg(long, value_name = "FILE")]
    pub(crate) plan: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Arguments of `fault`.
#[derive(Args)]
pub(crate) struct FaultArgs {
    /// The address that `serve` printed
    #[arg(long)]
    pub(crate) region: SocketAddr,
    #[arg(value_enum)]
    pub(crate) kind: Kind,
    /// The controller (n0) or machine (vm-000001)
    #[arg(default_value = "")]
    pub(crate) target: String,
    /// Seconds
    #[arg(long, default_value_t = 10.0)]
    pub(crate) for_s: f64,
}

/// Arguments of `contention`.
#[derive(Args)]
pub(crate) struct ContentionArgs {
    /// How many seeds of each
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
    pub(crate) seeds: u64,
    /// Writes a page with plots of every level's share (HTML, needs no network)
    #[arg(long, value_name = "FILE")]
    pub(crate) report: Option<PathBuf>,
}

/// Arguments of `cuts`.
#[derive(Args)]
pub(crate) struct CutsArgs {
    /// Writes a page with plots of the tasks that go on (HTML, needs no network)
    #[arg(long, value_name = "FILE")]
    pub(crate) report: Option<PathBuf>,
}

/// Arguments of `scale`.
#[derive(Args)]
pub(crate) struct ScaleArgs {
    /// This part of the target in docs/CAPACITY.md, instead of the small default
    #[arg(long, value_parser = part)]
    pub(crate) target: Option<f64>,
    /// Counts and rates (INI, section [scale]: the flags' names, and accelerators, zones, teams,
    /// burst_starts, burst_s, gang, state_requests, state_changes, state_value_kb)
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    #[arg(long)]
    pub(crate) machines: Option<u64>,
    #[arg(long)]
    pub(crate) controllers: Option<u64>,
    /// Tasks that run when nothing bursts
    #[arg(long)]
    pub(crate) tasks: Option<u64>,
    #[arg(long)]
    pub(crate) seconds: Option<u64>,
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// Kills no controller and loses no zone
    #[arg(long)]
    pub(crate) no_faults: bool,
    /// Writes a row a second and controller
    #[arg(long, value_name = "FILE")]
    pub(crate) csv: Option<PathBuf>,
    /// Writes a page of plots (HTML, needs no network)
    #[arg(long, value_name = "FILE")]
    pub(crate) report: Option<PathBuf>,
}

/// Arguments of `slopes`.
#[derive(Args)]
pub(crate) struct SlopesArgs {
    /// Machines of each size
    #[arg(long, value_delimiter = ',', default_value = "250,500,1000,2000",
        value_parser = clap::value_parser!(u32).range(10..=20_000))]
    pub(crate) machines: Vec<u32>,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=13))]
    pub(crate) controllers: u64,
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=64))]
    pub(crate) zones: u64,
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub(crate) teams: u64,
    /// Virtual seconds, from an empty fleet on
    #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(20..=600))]
    pub(crate) seconds: u64,
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Writes every figure as CSV
    #[arg(long, value_name = "FILE")]
    pub(crate) csv: Option<PathBuf>,
}

/// Parses the part of the target that `scale` plays.
fn part(text: &str) -> Result<f64, String> {
    let part: f64 = text.parse().map_err(|_| "must be a number")?;
    if (0.01..=2.0).contains(&part) {
        Ok(part)
    } else {
        Err("must lie between 0.01 and 2".into())
    }
}
