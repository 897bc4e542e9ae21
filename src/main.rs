//! The `jaspertiller` binary, a wrapper around the command line of the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    jaspertiller::cli::main()
}
