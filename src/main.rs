//! The `jaspertiller` program; everything it does is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    jaspertiller::cli::main()
}
