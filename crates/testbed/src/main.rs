//! The command line of the test cluster: start it, generate load with faults, check histories.

mod commands;

use clap::{Parser, Subcommand};
use commands::{check, load, up};
use std::process::ExitCode;

/// Stand-ins for all that foxspur meets, and real controllers, on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Brings the testbed up, plays a load with faults, says what came of it.
    Up(up::Args),
    /// Plays a load against a testbed that `up --hold` keeps up.
    Load(load::Args),
    /// Judges a history by the rules.
    Check(check::Args),
}

/// The exit code if a command could not be carried out.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let ended = match Cli::parse().command {
        Command::Check(args) => check::run(&args),
        Command::Load(args) => load::run(args),
        Command::Up(args) => up::run(args),
    };
    ended.unwrap_or_else(|why| {
        eprintln!("foxspur-testbed: {why}");
        ExitCode::from(EXIT_FAILED)
    })
}
