//! `load`: generates load against a test cluster in another process.

use super::{
    check_and_print, print_summary, read_entries, read_site, to_text, write_entries, SETTLE,
};
use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::history::{Entry, History};
use foxspur_testbed::load::{Arrivals, LoadCounters, LoadGenerator, Upload};
use foxspur_testbed::site::Site;
use foxspur_wire::job::JobSpec;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

#[derive(clap::Args)]
pub struct Args {
    /// Base URL of the load balancer, as `up` prints it under `front`.
    #[arg(long)]
    front: String,
    /// Base URL of the control API, as `up` prints it under `control`.
    #[arg(long)]
    control: String,
    /// Site file of the testbed; the built-in site by default.
    #[arg(long)]
    site: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 100)]
    jobs: u64,
    /// Where to write the combined history of the testbed and this load, as JSON lines.
    #[arg(long)]
    history: Option<PathBuf>,
}

pub fn run(args: Args) -> Result<ExitCode, String> {
    let site = read_site(args.site.as_deref())?;
    actix_web::rt::System::new().block_on(load(args, site))
}

/// Generates the load and checks the combined history of both processes.
async fn load(args: Args, site: Site) -> Result<ExitCode, String> {
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.map_err(to_text)?;
    let outbox = Outbox::in_memory().map_err(to_text)?;
    let settings = Settings::new([args.front]);
    let client = Client::with_outbox(settings, outbox).map_err(to_text)?;
    let (counters, history) = (LoadCounters::default(), History::default());
    let generator = LoadGenerator {
        client: &client,
        site: &site,
        history: &history,
        upload: uploader(&http, &args.control),
        counters: &counters,
    };
    let arrivals = Arrivals {
        seed: args.seed,
        jobs: args.jobs,
        settle: SETTLE,
    };
    generator.run(arrivals).await;
    print_summary(&counters.counts(), 0);
    let mut entries = fetch_entries(&http, &args.control).await?;
    append_shifted(&mut entries, history.entries());
    if let Some(path) = args.history {
        write_entries(&path, &entries)?;
    }
    Ok(check_and_print(&entries))
}

/// Makes a function that uploads job descriptions to the control API without waiting for the
/// answers.
fn uploader(http: &reqwest::Client, control: &str) -> Upload {
    let (http, url) = (http.clone(), format!("{control}/jobs"));
    Arc::new(move |id, spec| {
        let spec = JobSpec { id, ..spec };
        let body = serde_json::to_string(&spec).unwrap_or_default();
        let post = http.post(&url).header("content-type", "application/json");
        tokio::spawn(post.body(body).send());
    })
}

async fn fetch_entries(http: &reqwest::Client, control: &str) -> Result<Vec<Entry>, String> {
    let response = http.get(format!("{control}/history")).send().await;
    let text = response.map_err(to_text)?.text().await.map_err(to_text)?;
    read_entries(&text)
}

/// Appends the entries of the users, whose history has a different start time. The appended entries
/// are shifted behind all other entries, so that no answer to a user comes before the events on
/// which the answer depends.
fn append_shifted(entries: &mut Vec<Entry>, user_entries: Vec<Entry>) {
    let last = entries.last().map_or(0.0, |entry| entry.at);
    let shift = |entry: Entry| Entry {
        at: last + entry.at,
        ..entry
    };
    entries.extend(user_entries.into_iter().map(shift));
}
