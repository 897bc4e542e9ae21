//! The command line: starts logging, reads the settings, and runs the daemon or the check of the settings.
//!
//! The exit status is 2 if the settings are invalid, and 1 for any other failure.

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

const EXIT_INVALID_SETTINGS: u8 = 2;
/// Environment variable with the log level: `error` (the default), `info` or `debug`.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";

fn parse_log_level(text: &str) -> Option<LevelFilter> {
    match text {
        "error" => Some(LevelFilter::ERROR),
        "info" => Some(LevelFilter::INFO),
        "debug" => Some(LevelFilter::DEBUG),
        _ => None,
    }
}

fn start_logging() {
    let text = std::env::var(LOG_LEVEL_VARIABLE).unwrap_or_default();
    let level = parse_log_level(&text).unwrap_or(LevelFilter::ERROR);
    // The HTTP libraries log an error for every connection that a client closes early or a partition interrupts.
    let targets = Targets::new()
        .with_default(level)
        .with_target("warp::server", LevelFilter::OFF)
        .with_target("hyper", LevelFilter::OFF)
        .with_target("hyper_util", LevelFilter::OFF);
    let stderr_layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(stderr_layer)
        .with(targets)
        .init();
    if !text.is_empty() && parse_log_level(&text).is_none() {
        tracing::error!(
            text,
            "invalid LOG_LEVEL, using error: must be error, info or debug"
        );
    }
}

/// Runs the command line of this process, and returns its exit status.
pub fn main() -> ExitCode {
    run(std::env::args_os())
}

/// Runs the given command line, whose first argument is the name of the program.
///
/// Exits the process if the arguments are invalid, or ask for the help or the version.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = Cli::parse_from(args);
    start_logging();
    let (Command::Serve(files) | Command::Check(files)) = &cli.command;
    let settings = match Settings::read(&files.config, files.operator.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jaspertiller: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if matches!(cli.command, Command::Check(_)) {
        print!("{}", settings.summary());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = serve(settings) {
        tracing::error!(%error, "daemon failed, exiting");
        eprintln!("jaspertiller: {error:#}");
    }
    // The daemon runs until it is killed, so a return is a failure even without an error.
    ExitCode::FAILURE
}

/// Runs the daemon on a single thread: the controller is one actor, and the I/O around it is light.
fn serve(settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(daemon::run(settings))?;
    Ok(())
}
