//! The program `foxctl`.

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = foxctl::cli::Cli::parse();
    let mut out = std::io::stdout().lock();
    match foxctl::run::run(&cli, &mut out) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("foxctl: {error}");
            ExitCode::from(error.code())
        }
    }
}
