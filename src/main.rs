//! The foxspur controller.

#![warn(clippy::unwrap_used)]

use clap::Parser;
use foxspur::protocol::policy::{Policy, PolicyError};
use foxspur::protocol::settings::{Settings, SettingsError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// One controller of a foxspur cluster.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Settings file of the platform (TOML).
    #[arg(long)]
    config: PathBuf,
    /// Policy file of the operators (S-expressions); every field has a default.
    #[arg(long)]
    policy: Option<PathBuf>,
    /// Check the settings and the policy, and exit.
    #[arg(long)]
    check: bool,
}

/// Why the settings or the policy could not be loaded.
#[derive(thiserror::Error, Debug)]
enum LoadError {
    #[error("{path}: {source}")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Policy(#[from] PolicyError),
}

fn read_file(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
        path: path.display().to_string(),
        source,
    })
}

/// Reads the settings and the policy, and checks that they do not contradict each other.
fn load(args: &Args) -> Result<(Settings, Policy), LoadError> {
    let settings = Settings::parse(&read_file(&args.config)?)?;
    let policy = match &args.policy {
        Some(path) => Policy::parse(&read_file(path)?)?,
        None => Policy::default(),
    };
    settings.check_policy(&policy)?;
    Ok((settings, policy))
}

/// The log level from the environment variable `LOG_LEVEL`, or `info`.
fn log_level() -> tracing::Level {
    std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(tracing::Level::INFO)
}

fn init_log() {
    tracing_subscriber::fmt()
        .with_max_level(log_level())
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
}

fn main() -> ExitCode {
    let args = Args::parse();
    init_log();
    let (settings, policy) = match load(&args) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("foxspur: {error}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        eprintln!("foxspur: settings are valid");
        return ExitCode::SUCCESS;
    }
    let result = actix_rt::System::new().block_on(foxspur::app::run(settings, policy));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxspur: {error}");
            ExitCode::FAILURE
        }
    }
}
