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
    /// The platform's settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// The operators' own settings (S-expressions); all have defaults.
    #[arg(long)]
    policy: Option<PathBuf>,
    /// Check the settings and end.
    #[arg(long)]
    check: bool,
}

/// Why the process cannot start.
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

fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
        path: path.display().to_string(),
        source,
    })
}

/// Reads the settings and the policy, and checks that they fit together.
fn load(args: &Args) -> Result<(Settings, Policy), LoadError> {
    let settings = Settings::parse(&read(&args.config)?)?;
    let policy = match &args.policy {
        Some(path) => Policy::parse(&read(path)?)?,
        None => Policy::default(),
    };
    settings.check_policy(&policy)?;
    Ok((settings, policy))
}

/// The log level that the environment names, or `info`.
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
        eprintln!("foxspur: settings are fine");
        return ExitCode::SUCCESS;
    }
    let served = actix_rt::System::new().block_on(foxspur::app::run(settings, policy));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxspur: {error}");
            ExitCode::FAILURE
        }
    }
}
