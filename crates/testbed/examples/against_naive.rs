//! Compares the client library with naive retry loops on the same testbed:
//!
//! ```text
//! cargo build --release && cargo run --release -p foxspur-testbed --example against_naive
//! ```
//!
//! All callers submit the same number of jobs, sixteen at a time, once without faults and once
//! with a quarter of the answers cut. A naive loop posts a job, and posts it again a second later
//! if there is no answer. One naive loop uses a new id for each post, as a caller without its own
//! ids would; the other one keeps the id. The output compares jobs per second and the p99 latency
//! of acceptance with the library's, and the number of existing jobs with the number wanted.

use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::load::work;
use foxspur_testbed::site::{Site, DEFAULT};
use foxspur_testbed::testbed::{foxspur_in_own_directory, Testbed};
use foxspur_wire::job::JobSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const JOBS: usize = 400;
const CONCURRENT_SUBMITTERS: usize = 16;

/// Who submits the jobs.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Caller {
    /// The client library.
    Library,
    /// A loop that repeats a post with a new id.
    Naive,
    /// A loop that repeats a post with the same id.
    NaiveSameId,
}

impl Caller {
    /// Whether the caller makes a new id for each post.
    fn makes_new_ids(self) -> bool {
        self == Caller::Naive
    }
}

/// The times of a run.
struct Run {
    total_s: f64,
    /// Latency of each acceptance, shortest first.
    acceptance_latencies_s: Vec<f64>,
}

impl Run {
    fn p99_s(&self) -> f64 {
        self.acceptance_latencies_s[self.acceptance_latencies_s.len() * 99 / 100]
    }
}

/// Submits all jobs, sixteen at a time.
async fn run(caller: Caller, front: String, site: Arc<Site>) -> Run {
    let client = {
        let outbox = Outbox::in_memory().expect("cannot create the in-memory outbox");
        Client::with_outbox(Settings::new([front.clone()]), outbox)
            .expect("cannot create the client")
    };
    let http = reqwest::Client::builder().no_proxy().build().expect("http");
    let next = Arc::new(AtomicUsize::new(0));
    let started_at = Instant::now();
    let mut submitters = Vec::new();
    for number in 0..CONCURRENT_SUBMITTERS {
        let (client, http, front) = (client.clone(), http.clone(), front.clone());
        let (next, site) = (next.clone(), site.clone());
        submitters.push(tokio::spawn(async move {
            let seed = number as u64 + 100 * caller as u64;
            let mut rng = StdRng::seed_from_u64(seed);
            let mut acceptance_latencies_s = Vec::new();
            loop {
                let job = next.fetch_add(1, Ordering::Relaxed);
                if job >= JOBS {
                    return acceptance_latencies_s;
                }
                let work = work(&site, &format!("{caller:?}/{job}"), &mut rng);
                let submitted_at = Instant::now();
                if caller == Caller::Library {
                    let told = client.submit(vec![work], Duration::from_secs(60)).await;
                    told.expect("outbox").pop();
                } else {
                    post_until_accepted(caller, &http, &front, work.spec, &mut rng).await;
                }
                acceptance_latencies_s.push(submitted_at.elapsed().as_secs_f64());
            }
        }));
    }
    let mut acceptance_latencies_s = Vec::new();
    for submitter in submitters {
        acceptance_latencies_s.extend(submitter.await.expect("no panic"));
    }
    acceptance_latencies_s.sort_by(f64::total_cmp);
    Run {
        total_s: started_at.elapsed().as_secs_f64(),
        acceptance_latencies_s,
    }
}

/// Posts a job repeatedly, a second apart, until it is accepted.
async fn post_until_accepted(
    caller: Caller,
    http: &reqwest::Client,
    front: &str,
    mut spec: JobSpec,
    rng: &mut StdRng,
) {
    spec.id = format!("run-{}", rng.random::<u64>());
    while !matches!(post(http, front, &spec).await, Some(200 | 201)) {
        if caller.makes_new_ids() {
            spec.id = format!("run-{}", rng.random::<u64>());
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Posts a job once. Returns the status of a complete answer.
async fn post(http: &reqwest::Client, front: &str, spec: &JobSpec) -> Option<u16> {
    let body = serde_json::to_string(spec).expect("json");
    let post = http.post(format!("{front}/work")).body(body);
    let response = post.timeout(Duration::from_secs(5)).send().await.ok()?;
    let status = response.status().as_u16();
    response.bytes().await.ok()?;
    Some(status)
}

/// The number of jobs in the state service.
fn count_jobs(testbed: &Testbed) -> usize {
    testbed.state.count("fx/live/") + testbed.state.count("fx/fin/")
}

/// Runs all callers against a testbed that cuts `cut_per_thousand` of a thousand pieces of answers.
async fn compare(site: &Site, program: &Path, cut_per_thousand: u64) {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let testbed = Testbed::up(site.clone(), program, dir.path()).await;
    let testbed = testbed.expect("a running testbed");
    let front = format!("http://{}", testbed.front);
    tokio::time::sleep(Duration::from_secs(3)).await;
    testbed.connection_faults.set(cut_per_thousand, 0);
    let mut library: Option<Run> = None;
    for caller in [Caller::Library, Caller::NaiveSameId, Caller::Naive] {
        let jobs_before = count_jobs(&testbed);
        let run = run(caller, front.clone(), testbed.site.clone()).await;
        let created = count_jobs(&testbed) - jobs_before;
        let base = library.as_ref().unwrap_or(&run);
        println!(
            "cut {cut_per_thousand:3} of 1000, {caller:?}: jobs a second x{:.2}, p99 x{:.2} of the library's, \
             {created} jobs exist for {JOBS} wanted",
            base.total_s / run.total_s,
            run.p99_s() / base.p99_s()
        );
        library.get_or_insert(run);
    }
    testbed.down().await;
}

fn main() {
    let mut site = Site::parse(DEFAULT).expect("the default site");
    site.state.rps = 5000.0;
    site.state.write_rps = 5000.0;
    let program = foxspur_in_own_directory().or_else(|| {
        // Examples are one directory deeper.
        let own_path = std::env::current_exe().ok()?;
        let path = own_path.parent()?.parent()?.join("foxspur");
        path.exists().then_some(path)
    });
    let program = program.expect("no foxspur program found; run cargo build --release");
    actix_web::rt::System::new().block_on(async {
        for cut_per_thousand in [0, 250] {
            compare(&site, &program, cut_per_thousand).await;
        }
    });
}
