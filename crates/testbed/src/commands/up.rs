//! `up`: starts a test cluster and generates load with faults.

use super::{check_and_print, print_summary, read_site, to_text, write_entries, SETTLE};
use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::fault::Fault;
use foxspur_testbed::load::{Arrivals, LoadCounters, LoadGenerator};
use foxspur_testbed::site::Site;
use foxspur_testbed::testbed::{foxspur_in_own_directory, Testbed};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Args {
    /// Site file in TOML; a small built-in site by default.
    #[arg(long)]
    site: Option<PathBuf>,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many jobs arrive.
    #[arg(long, default_value_t = 100)]
    jobs: u64,
    /// Faults: WHAT[:AMOUNT]@AT[/EVERY], such as kill@5/10 or pause:3@8, of
    /// kill, kill-all, pause, refuse, refuse-owner, state, cloud, die, hang, cut, reset, delay,
    /// deaf, late-reports, late-commands, lost-answers, close-looks, island, blink.
    #[arg(long = "fault", default_values_t = [String::from("cut:200@1"), "kill@8/12".into(), "die@12".into()])]
    faults: Vec<String>,
    /// Inject no faults.
    #[arg(long)]
    calm: bool,
    /// Generate no load and stay up until Ctrl-C, for `load` from another terminal.
    #[arg(long)]
    hold: bool,
    /// Where to write the history, as JSON lines.
    #[arg(long)]
    history: Option<PathBuf>,
    /// Path of the controller program; by default it is built with cargo.
    #[arg(long)]
    foxspur: Option<PathBuf>,
}

impl Args {
    fn faults(&self) -> Result<Vec<Fault>, String> {
        if self.calm {
            return Ok(Vec::new());
        }
        let parse = |text: &String| text.parse().map_err(to_text);
        self.faults.iter().map(parse).collect()
    }
}

pub fn run(args: Args) -> Result<ExitCode, String> {
    let site = read_site(args.site.as_deref())?;
    let faults = args.faults()?;
    let program = controller_program(args.foxspur.as_deref())?;
    actix_web::rt::System::new().block_on(up(args, site, faults, &program))
}

/// The path of the controller program. Builds the program if no path is given.
fn controller_program(given: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(path) = given {
        return Ok(path.to_path_buf());
    }
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut build = std::process::Command::new(cargo);
    build.args(["build", "--quiet"]);
    build.args(["--package", "foxspur", "--bin", "foxspur"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    match build.status() {
        Ok(status) if status.success() => {}
        Ok(status) => return Err(format!("cargo build ended with {status}")),
        Err(e) => {
            return Err(format!(
                "cargo build: {e}; give the path of the program with --foxspur"
            ))
        }
    }
    foxspur_in_own_directory().ok_or_else(|| {
        "no foxspur in the directory of this program; give its path with --foxspur".into()
    })
}

async fn up(
    args: Args,
    site: Site,
    faults: Vec<Fault>,
    program: &Path,
) -> Result<ExitCode, String> {
    let dir = tempfile::tempdir().map_err(to_text)?;
    let testbed = Testbed::up(site, program, dir.path()).await;
    let testbed = testbed.map_err(to_text)?;
    print_addresses(&testbed);
    let outbox = Outbox::open(&dir.path().join("outbox"), true).map_err(to_text)?;
    let settings = Settings::new([format!("http://{}", testbed.front)]);
    let client = Client::with_outbox(settings, outbox).map_err(to_text)?;
    if args.hold || args.jobs == 0 {
        hold(&testbed, &faults).await;
        return Ok(ExitCode::SUCCESS);
    }
    let last_arrival_s = args.jobs as f64 / testbed.site.load.jobs_per_s;
    testbed.schedule(&faults, last_arrival_s);
    let counters = LoadCounters::default();
    let arrivals = Arrivals {
        seed: args.seed,
        jobs: args.jobs,
        settle: SETTLE,
    };
    let finished = generate_load(&testbed, &client, arrivals, &counters).await;
    if !finished {
        println!("ended   by Ctrl-C; unfinished jobs stay open");
    }
    let stopped = testbed.logs_of_stopped_controllers().await;
    testbed.down().await;
    print_summary(&counters.counts(), testbed.connection_faults.cuts());
    let entries = testbed.history.entries();
    if let Some(path) = args.history {
        write_entries(&path, &entries)?;
    }
    print_stopped(&stopped);
    match finished {
        true => Ok(check_and_print(&entries)),
        false => Ok(ExitCode::SUCCESS),
    }
}

fn print_addresses(testbed: &Testbed) {
    println!(
        "front   http://{} ({} controllers behind it)",
        testbed.front,
        testbed.fronts.len()
    );
    println!("control http://{}", testbed.control);
    let admins: Vec<String> = testbed
        .admins
        .iter()
        .map(std::string::ToString::to_string)
        .collect();
    println!("operate export FOXSPUR_AT={}", admins.join(","));
}

/// Injects faults without a load until Ctrl-C.
async fn hold(testbed: &Testbed, faults: &[Fault]) {
    testbed.schedule(faults, f64::MAX);
    let _ = tokio::signal::ctrl_c().await;
    testbed.down().await;
}

/// Generates the load and shows its progress. Returns false if Ctrl-C ended it.
async fn generate_load(
    testbed: &Testbed,
    client: &Client,
    arrivals: Arrivals,
    counters: &LoadCounters,
) -> bool {
    let bar = ProgressBar::new(arrivals.jobs);
    let progress = tokio::spawn(show_progress(bar.clone(), counters.clone()));
    let machines = testbed.machines.clone();
    let generator = LoadGenerator {
        client,
        site: &testbed.site,
        history: &testbed.history,
        upload: Arc::new(move |id, spec| machines.upload(id, spec)),
        counters,
    };
    let finished = tokio::select! {
        () = generator.run(arrivals) => true,
        _ = tokio::signal::ctrl_c() => false,
    };
    progress.abort();
    bar.finish_and_clear();
    finished
}

async fn show_progress(bar: ProgressBar, counters: LoadCounters) {
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} over  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    loop {
        let counts = counters.counts();
        bar.set_position(counts.done + counts.withdrawn + counts.refused);
        bar.set_message(format!(
            "{} submitted, {} accepted",
            counts.submitted, counts.accepted
        ));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Prints the logs of controllers that are not running, if there are at least two. A single one
/// may have been killed by the last fault and not yet restarted.
fn print_stopped(logs: &[String]) {
    if logs.len() > 1 {
        println!(
            "ENDED   {} controllers are not running:\n{}",
            logs.len(),
            logs.join("\n")
        );
    }
}
