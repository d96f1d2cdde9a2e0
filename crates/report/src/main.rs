//! The command line of `foxspur-report`.

use clap::Parser;
use foxspur_report::count::count;
use foxspur_report::markdown::markdown;
use foxspur_report::objectives::{Objective, Report, Reported};
use foxspur_report::{log, table};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Counts what a day served of each class and team, beside the best that any
/// scheduler could have done. Ends with 1 if less than half of a class or of its largest
/// jobs is served.
#[derive(Parser, Debug)]
#[command(version)]
struct Args {
    /// The day's report (JSON).
    #[arg(long)]
    report: PathBuf,
    /// The controllers' log of the day, at `info`, behind time and name.
    #[arg(long)]
    log: PathBuf,
    /// A team's limit in CPUs, for the bound; may be given several times.
    #[arg(long, value_name = "TEAM=CPUS", value_parser = limit)]
    limit: Vec<(String, f64)>,
    /// JSON instead of a table.
    #[arg(long)]
    json: bool,
}

fn limit(text: &str) -> Result<(String, f64), String> {
    let (team, cpus) = text.split_once('=').ok_or("is not TEAM=CPUS")?;
    let cpus: f64 = cpus.parse().map_err(|_| "CPUS is no number")?;
    if !cpus.is_finite() || cpus <= 0.0 {
        return Err("CPUS is not above 0".into());
    }
    Ok((team.to_string(), cpus))
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Prints the table; whether enough is served.
fn run(args: &Args) -> Result<bool, String> {
    let report: Report = serde_json::from_str(&read(&args.report)?)
        .map_err(|e| format!("{}: {e}", args.report.display()))?;
    let events =
        log::read(&read(&args.log)?).map_err(|e| format!("{}: {e}", args.log.display()))?;
    let day = count(&events, &objectives(&report), report.ends_s);
    if day.jobs.is_empty() {
        return Err(format!("{}: no accepted job in it", args.log.display()));
    }
    let limits = args.limit.iter().cloned().collect();
    let table = table::table(&report, &day, &limits);
    if args.json {
        let text = serde_json::to_string_pretty(&table).map_err(|e| e.to_string())?;
        println!("{text}");
    } else {
        print!("{}", markdown(&table));
    }
    Ok(table.failed().is_empty() && table.failed_largest().is_empty())
}

/// The objectives of each class.
fn objectives(report: &Report) -> BTreeMap<String, Vec<Objective>> {
    let only_objectives =
        |reported: Vec<Reported>| reported.into_iter().map(|r| r.objective).collect();
    let classes = report.objectives().into_iter();
    classes
        .map(|(class, reported)| (class, only_objectives(reported)))
        .collect()
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("foxspur-report: {error}");
            ExitCode::from(2)
        }
    }
}
