//! The command line: reads the settings, starts the log, and runs the daemon or the check.
//!
//! Exit status 2 means that the settings can't be used; any other failure is 1.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::daemon;
use crate::settings::Settings;

/// A cluster scheduler: one daemon between users, workers, a cloud and a state service.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed
    Serve(Files),
    /// Check the settings files and print what is in force
    Check(Files),
}

#[derive(Args)]
struct Files {
    /// The operator's own settings (INI)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The platform's settings (JSON)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

/// Exit status for settings that can't be used.
const BAD_SETTINGS: u8 = 2;
/// Environment variable that sets the log's level.
const LOG_LEVEL: &str = "LOG_LEVEL";

fn log_level(text: &str) -> Option<LevelFilter> {
    match text {
        "error" => Some(LevelFilter::ERROR),
        "info" => Some(LevelFilter::INFO),
        "debug" => Some(LevelFilter::DEBUG),
        _ => None,
    }
}

fn start_logging() {
    let text = std::env::var(LOG_LEVEL).unwrap_or_default();
    let level = log_level(&text).unwrap_or(LevelFilter::ERROR);
    // The HTTP libraries log an error for every connection that its client or a partition ends early.
    let targets = Targets::new()
        .with_default(level)
        .with_target("warp::server", LevelFilter::OFF)
        .with_target("hyper", LevelFilter::OFF)
        .with_target("hyper_util", LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(lines)
        .with(targets)
        .init();
    if !text.is_empty() && log_level(&text).is_none() {
        tracing::error!(text, "LOG_LEVEL must be error, info or debug");
    }
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    run(std::env::args_os())
}

/// Runs the command line given, the program's name first.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = Cli::parse_from(args);
    start_logging();
    let (Command::Serve(files) | Command::Check(files)) = &cli.command;
    let settings = match Settings::read(&files.config, files.operator.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jaspertiller: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if matches!(cli.command, Command::Check(_)) {
        print!("{}", settings.summary());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = serve(settings) {
        tracing::error!(%error, "HTTP server failed");
        eprintln!("jaspertiller: {error:#}");
    }
    // A daemon runs until it is killed, so any end is a failure.
    ExitCode::FAILURE
}

/// The controller is one actor, and the I/O around it is light: one thread suffices.
fn serve(settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(daemon::run(settings))?;
    Ok(())
}
