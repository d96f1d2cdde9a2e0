//! The command line of `foxspur-report`.

use clap::Parser;
use foxspur_report::count::count;
use foxspur_report::markdown::markdown;
use foxspur_report::objectives::{Objective, Report, Reported};
use foxspur_report::{log, table};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Counts how many jobs of each class and team a day served, beside the best that any
/// scheduler could have done. Exits with status 1 if less than half of a class or of its
/// largest jobs is served.
#[derive(Parser, Debug)]
#[command(version)]
struct Args {
    /// Report of the day (JSON).
    #[arg(long)]
    report: PathBuf,
    /// Log of the controllers for the day at level `info`; each line begins with the time in
    /// seconds and the host name.
    #[arg(long)]
    log: PathBuf,
    /// CPU limit of a team for the bound; may be given several times.
    #[arg(long, value_name = "TEAM=CPUS", value_parser = parse_limit)]
    limit: Vec<(String, f64)>,
    /// Print JSON instead of a Markdown table.
    #[arg(long)]
    json: bool,
}

fn parse_limit(text: &str) -> Result<(String, f64), String> {
    let (team, cpus) = text.split_once('=').ok_or("expected TEAM=CPUS")?;
    let cpus: f64 = cpus.parse().map_err(|_| "CPUS is not a number")?;
    if !cpus.is_finite() || cpus <= 0.0 {
        return Err("CPUS must be finite and above 0".into());
    }
    Ok((team.to_string(), cpus))
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Prints the table. Returns whether at least half of each class and of its largest jobs is
/// served.
fn run(args: &Args) -> Result<bool, String> {
    let report: Report = serde_json::from_str(&read_file(&args.report)?)
        .map_err(|e| format!("{}: {e}", args.report.display()))?;
    let events =
        log::read(&read_file(&args.log)?).map_err(|e| format!("{}: {e}", args.log.display()))?;
    let day = count(&events, &objectives(&report), report.ends_s);
    if day.jobs.is_empty() {
        return Err(format!(
            "{}: the log contains no accepted job",
            args.log.display()
        ));
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

/// The objectives of each class, without the reported proportions.
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
