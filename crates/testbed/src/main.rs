//! The command line of the test cluster: start it, generate load with faults, check histories.

mod commands;

use clap::{Parser, Subcommand};
use commands::{check, load, up};
use std::process::ExitCode;

/// Runs real foxspur controllers against simulated services on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a testbed, generates load with faults, and prints and checks the results.
    Up(up::Args),
    /// Generates load against a testbed started with `up --hold`.
    Load(load::Args),
    /// Checks a recorded history against the rules.
    Check(check::Args),
}

/// The exit code of a command that failed with an error.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let result = match Cli::parse().command {
        Command::Check(args) => check::run(&args),
        Command::Load(args) => load::run(args),
        Command::Up(args) => up::run(args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("foxspur-testbed: {error}");
        ExitCode::from(EXIT_ERROR)
    })
}
