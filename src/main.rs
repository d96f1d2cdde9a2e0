//! The foxspur controller.

use clap::Parser;
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Settings;
use std::path::PathBuf;
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

fn load(args: &Args) -> Result<(Settings, Policy), String> {
    let read = |path: &PathBuf| {
        std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
    };
    let settings = Settings::parse(&read(&args.config)?).map_err(|e| e.to_string())?;
    let policy = match &args.policy {
        Some(path) => Policy::parse(&read(path)?).map_err(|e| e.to_string())?,
        None => Policy::default(),
    };
    settings.check_policy(&policy).map_err(|e| e.to_string())?;
    Ok((settings, policy))
}

fn level() -> tracing::Level {
    std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(tracing::Level::INFO)
}

fn main() -> ExitCode {
    let args = Args::parse();
    tracing_subscriber::fmt()
        .with_max_level(level())
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
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
