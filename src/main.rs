use std::process::ExitCode;

fn main() -> ExitCode {
    jaspertiller::cli::main()
}
