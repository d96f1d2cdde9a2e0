//! A testbed on loopback: see foxspur run, and play load and faults against it.

use clap::{Parser, Subcommand};
use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::history::{check, Entry, History};
use foxspur_testbed::load::{play, Counts, Tally};
use foxspur_testbed::site::{Site, DEFAULT};
use foxspur_testbed::testbed::{program_beside_us, Fault, Testbed};
use foxspur_wire::job::JobSpec;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Stand-ins for all that foxspur meets, and real controllers, on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Brings the testbed up, plays a load with faults, says what came of it.
    Up {
        /// A site in TOML; there is a small one by default.
        #[arg(long)]
        site: Option<PathBuf>,
        /// Decides arrivals.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many jobs arrive.
        #[arg(long, default_value_t = 100)]
        jobs: u64,
        /// Faults: WHAT[:AMOUNT]@AT[/EVERY], such as kill@5/10 or pause:3@8, of
        /// kill, kill-all, pause, refuse, refuse-owner, state, cloud, die, hang, cut, reset, delay,
        /// deaf, late-reports, late-commands, island, blink.
        #[arg(long = "fault", default_values_t = [String::from("cut:200@1"), "kill@8/12".into(), "die@12".into()])]
        faults: Vec<String>,
        /// No faults at all.
        #[arg(long)]
        calm: bool,
        /// Play no load: stay up until Ctrl-C, for `load` from another terminal.
        #[arg(long)]
        hold: bool,
        /// Where to write the history, as JSON lines.
        #[arg(long)]
        history: Option<PathBuf>,
        /// The controller's program; built with cargo if it is not given.
        #[arg(long)]
        foxspur: Option<PathBuf>,
    },
    /// Plays a load against a testbed that `up --hold` keeps up.
    Load {
        /// Base URL of the front, as `up` prints it.
        #[arg(long)]
        front: String,
        /// Base URL of the control address, as `up` prints it.
        #[arg(long)]
        control: String,
        /// The testbed's site, if it is not the default one.
        #[arg(long)]
        site: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 100)]
        jobs: u64,
        /// Where to write both histories together, as JSON lines.
        #[arg(long)]
        history: Option<PathBuf>,
    },
    /// Judges a history by the rules.
    Check {
        /// JSON lines, as `up --history` writes them.
        file: PathBuf,
    },
}

/// The controller's program, built if need be.
fn program(given: Option<PathBuf>) -> Result<PathBuf, String> {
    if let Some(path) = given {
        return Ok(path);
    }
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut build = std::process::Command::new(cargo);
    build.args([
        "build",
        "--quiet",
        "--package",
        "foxspur",
        "--bin",
        "foxspur",
    ]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    match build.status() {
        Ok(status) if status.success() => {}
        Ok(status) => return Err(format!("cargo build ended with {status}")),
        Err(e) => return Err(format!("cargo build: {e}; name a program with --foxspur")),
    }
    program_beside_us()
        .ok_or_else(|| "no foxspur beside this program; name one with --foxspur".into())
}

fn judge(entries: &[Entry]) -> ExitCode {
    let broken = check(entries);
    for rule in &broken {
        println!("BROKEN  {rule}");
    }
    if broken.is_empty() {
        println!("rules   none broken in {} events", entries.len());
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn summary(counts: &Counts, cuts: usize) {
    println!(
        "jobs    {} submitted, {} accepted, {} done, {} withdrawn, {} refused",
        counts.submitted, counts.accepted, counts.done, counts.withdrawn, counts.refused
    );
    for (what, times) in [("accept", &counts.accept_ms), ("done", &counts.done_ms)] {
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        println!("{what:7} p50 {p50} ms, p99 {p99} ms");
    }
    println!("cuts    {cuts} connections cut");
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    match Args::parse().verb {
        Verb::Check { file } => {
            let text = match std::fs::read_to_string(&file) {
                Ok(text) => text,
                Err(e) => return fail(&format!("{}: {e}", file.display())),
            };
            match read_lines(&text) {
                Ok(entries) => judge(&entries),
                Err(e) => fail(&format!("{}: {e}", file.display())),
            }
        }
        Verb::Load {
            front,
            control,
            site,
            seed,
            jobs,
            history,
        } => {
            let loaded = read_site(site).and_then(|site| {
                let load = load(site, front, control, seed, jobs, history);
                actix_web::rt::System::new().block_on(load)
            });
            loaded.unwrap_or_else(|e| fail(&e))
        }
        Verb::Up {
            site,
            seed,
            jobs,
            faults,
            calm,
            hold,
            history,
            foxspur,
        } => {
            let jobs = if hold { 0 } else { jobs };
            let faults = if calm { Vec::new() } else { faults };
            let faults: Result<Vec<Fault>, String> = faults.iter().map(|f| f.parse()).collect();
            let ready = read_site(site);
            match (ready, faults, program(foxspur)) {
                (Ok(site), Ok(faults), Ok(program)) => {
                    let up = up(site, seed, jobs, faults, history, program);
                    match actix_web::rt::System::new().block_on(up) {
                        Ok(code) => code,
                        Err(e) => fail(&e),
                    }
                }
                (Err(e), _, _) | (_, Err(e), _) | (_, _, Err(e)) => fail(&e),
            }
        }
    }
}

fn read_site(path: Option<PathBuf>) -> Result<Site, String> {
    let text = match &path {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => DEFAULT.into(),
    };
    Site::parse(&text)
}

fn read_lines(text: &str) -> Result<Vec<Entry>, String> {
    let read = |(n, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1))
    };
    text.lines().enumerate().map(read).collect()
}

fn write_lines(path: &Path, entries: &[Entry]) -> Result<(), String> {
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut file = std::fs::File::create(path).map_err(|e| failed(&e))?;
    for entry in entries {
        let line = serde_json::to_string(entry).map_err(|e| e.to_string())?;
        writeln!(file, "{line}").map_err(|e| failed(&e))?;
    }
    Ok(())
}

/// Plays a load against a testbed in another process, and judges what both saw.
async fn load(
    site: Site,
    front: String,
    control: String,
    seed: u64,
    jobs: u64,
    history: Option<PathBuf>,
) -> Result<ExitCode, String> {
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.map_err(|e| e.to_string())?;
    let outbox = Outbox::in_memory().map_err(|e| e.to_string())?;
    let client = Client::with_outbox(Settings::new([front]), outbox).map_err(|e| e.to_string())?;
    let (tally, ours) = (Tally::default(), History::default());
    let url = format!("{control}/jobs");
    let uploads = http.clone();
    let upload = Arc::new(move |id, spec| {
        let spec = JobSpec { id, ..spec };
        let body = serde_json::to_string(&spec).unwrap_or_default();
        let post = uploads
            .post(&url)
            .header("content-type", "application/json");
        tokio::spawn(post.body(body).send());
    });
    let arrivals = (seed, jobs, Duration::from_secs(120));
    play(&client, &site, &ours, upload, arrivals, &tally).await;
    summary(&tally.counts(), 0);
    let text = async {
        let got = http.get(format!("{control}/history")).send().await?;
        got.text().await
    };
    let mut entries = read_lines(&text.await.map_err(|e| e.to_string())?)?;
    // Two clocks that began at different times; what users were told comes
    // after, which is when it was known.
    let last = entries.last().map_or(0.0, |e| e.at);
    entries.extend(ours.entries().into_iter().map(|e| Entry {
        at: last + e.at,
        ..e
    }));
    if let Some(path) = history {
        write_lines(&path, &entries)?;
    }
    Ok(judge(&entries))
}

fn fail(why: &str) -> ExitCode {
    eprintln!("foxspur-testbed: {why}");
    ExitCode::from(2)
}

async fn up(
    site: Site,
    seed: u64,
    jobs: u64,
    faults: Vec<Fault>,
    history: Option<PathBuf>,
    program: PathBuf,
) -> Result<ExitCode, String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let testbed = Testbed::up(site, &program, dir.path())
        .await
        .map_err(|e| e.to_string())?;
    println!(
        "front   http://{} ({} controllers behind it)",
        testbed.front,
        testbed.fronts.len()
    );
    println!("control http://{}", testbed.control);
    let admins: Vec<String> = testbed.admins.iter().map(|a| a.to_string()).collect();
    println!("operate export FOXSPUR_AT={}", admins.join(","));
    let outbox = Outbox::open(&dir.path().join("outbox"), true).map_err(|e| e.to_string())?;
    let settings = Settings::new([format!("http://{}", testbed.front)]);
    let client = Client::with_outbox(settings, outbox).map_err(|e| e.to_string())?;
    if jobs == 0 {
        testbed.schedule(&faults, f64::MAX);
        let _ = tokio::signal::ctrl_c().await;
        testbed.down().await;
        return Ok(ExitCode::SUCCESS);
    }
    let span_s = jobs as f64 / testbed.site.load.jobs_per_s;
    testbed.schedule(&faults, span_s);
    let bar = ProgressBar::new(jobs);
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} over  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let tally = Tally::default();
    let shown = (bar.clone(), tally.clone());
    let showing = tokio::spawn(async move {
        loop {
            let counts = shown.1.counts();
            shown
                .0
                .set_position(counts.done + counts.withdrawn + counts.refused);
            shown.0.set_message(format!(
                "{} submitted, {} accepted",
                counts.submitted, counts.accepted
            ));
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    let machines = testbed.machines.clone();
    let upload = Arc::new(move |id, spec| machines.upload(id, spec));
    let settle = Duration::from_secs(120);
    let load = play(
        &client,
        &testbed.site,
        &testbed.history,
        upload,
        (seed, jobs, settle),
        &tally,
    );
    let finished = tokio::select! {
        () = load => true,
        _ = tokio::signal::ctrl_c() => false,
    };
    showing.abort();
    bar.finish_and_clear();
    if !finished {
        println!("ended   by Ctrl-C; what is open stays open");
    }
    let ended = testbed.ended().await;
    testbed.down().await;
    summary(
        &tally.counts(),
        testbed.trouble.cuts.load(Ordering::Relaxed),
    );
    let entries = testbed.history.entries();
    if let Some(path) = history {
        write_lines(&path, &entries)?;
    }
    // One that was killed a moment ago is on its way back.
    if ended.len() > 1 {
        println!(
            "ENDED   {} controllers are not running:\n{}",
            ended.len(),
            ended.join("\n")
        );
    }
    if !finished {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(judge(&entries))
}
