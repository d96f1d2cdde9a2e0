//! The library against a naive loop, on the same testbed in one run:
//!
//! ```text
//! cargo build --release && cargo run --release -p foxspur-testbed --example against_naive
//! ```
//!
//! Both submit the same jobs, sixteen at a time, once with no fault and once with a
//! quarter of the answers cut. The naive loop posts, and when it has no answer
//! posts again a second later as a new job, as a caller without ids of its own
//! would; a second one keeps its id. Printed are jobs a second and the p99 of
//! acceptance as ratios, and how many jobs exist for each that was wanted.

use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::load::work;
use foxspur_testbed::site::{Site, DEFAULT};
use foxspur_testbed::testbed::{program_beside_us, Testbed};
use foxspur_wire::job::JobSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const JOBS: usize = 400;
const AT_ONCE: usize = 16;

/// Who submits the jobs.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Caller {
    /// The client library.
    Library,
    /// Posts again under a new id.
    Naive,
    /// Posts again under the same id.
    NaiveSameId,
}

impl Caller {
    /// Whether it makes a new id for each post.
    fn makes_new_ids(self) -> bool {
        self == Caller::Naive
    }
}

/// How long submitting all jobs took.
struct Run {
    total_s: f64,
    /// Each acceptance, shortest first.
    acceptances_s: Vec<f64>,
}

impl Run {
    fn p99_s(&self) -> f64 {
        self.acceptances_s[self.acceptances_s.len() * 99 / 100]
    }
}

/// Submits all jobs, sixteen at a time.
async fn run(caller: Caller, front: String, site: Arc<Site>) -> Run {
    let client = {
        let outbox = Outbox::in_memory().expect("memory");
        Client::with_outbox(Settings::new([front.clone()]), outbox).expect("settings")
    };
    let http = reqwest::Client::builder().no_proxy().build().expect("http");
    let next = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let mut submitters = Vec::new();
    for number in 0..AT_ONCE {
        let (client, http, front) = (client.clone(), http.clone(), front.clone());
        let (next, site) = (next.clone(), site.clone());
        submitters.push(tokio::spawn(async move {
            let seed = number as u64 + 100 * caller as u64;
            let mut rng = StdRng::seed_from_u64(seed);
            let mut acceptances_s = Vec::new();
            loop {
                let job = next.fetch_add(1, Ordering::Relaxed);
                if job >= JOBS {
                    return acceptances_s;
                }
                let work = work(&site, &format!("{caller:?}/{job}"), &mut rng);
                let asked = Instant::now();
                if caller == Caller::Library {
                    let told = client.submit(vec![work], Duration::from_secs(60)).await;
                    told.expect("outbox").pop();
                } else {
                    post_until_accepted(caller, &http, &front, work.spec, &mut rng).await;
                }
                acceptances_s.push(asked.elapsed().as_secs_f64());
            }
        }));
    }
    let mut acceptances_s = Vec::new();
    for submitter in submitters {
        acceptances_s.extend(submitter.await.expect("no panic"));
    }
    acceptances_s.sort_by(f64::total_cmp);
    Run {
        total_s: began.elapsed().as_secs_f64(),
        acceptances_s,
    }
}

/// Posts a job again and again, a second apart, until it is accepted.
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

/// Posts a job once; the status of a whole answer.
async fn post(http: &reqwest::Client, front: &str, spec: &JobSpec) -> Option<u16> {
    let body = serde_json::to_string(spec).expect("json");
    let post = http.post(format!("{front}/work")).body(body);
    let response = post.timeout(Duration::from_secs(5)).send().await.ok()?;
    let status = response.status().as_u16();
    response.bytes().await.ok()?;
    Some(status)
}

/// How many jobs exist, as the state service has it.
fn jobs_in(testbed: &Testbed) -> usize {
    testbed.state.count("fx/live/") + testbed.state.count("fx/fin/")
}

/// Runs all callers against a testbed that cuts so many of a thousand answers.
async fn compare(site: &Site, program: &Path, cut_per_thousand: u64) {
    let dir = tempfile::tempdir().expect("a folder");
    let testbed = Testbed::up(site.clone(), program, dir.path()).await;
    let testbed = testbed.expect("up");
    let front = format!("http://{}", testbed.front);
    tokio::time::sleep(Duration::from_secs(3)).await;
    testbed.connection_faults.set(cut_per_thousand, 0);
    let mut library: Option<Run> = None;
    for caller in [Caller::Library, Caller::NaiveSameId, Caller::Naive] {
        let before = jobs_in(&testbed);
        let run = run(caller, front.clone(), testbed.site.clone()).await;
        let made = jobs_in(&testbed) - before;
        let base = library.as_ref().unwrap_or(&run);
        println!(
            "cut {cut_per_thousand:3} of 1000, {caller:?}: jobs a second x{:.2}, p99 x{:.2} of the library's, \
             {made} jobs exist for {JOBS} wanted",
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
    let program = program_beside_us().or_else(|| {
        // Examples lie one folder deeper.
        let ours = std::env::current_exe().ok()?;
        let path = ours.parent()?.parent()?.join("foxspur");
        path.exists().then_some(path)
    });
    let program = program.expect("no foxspur beside this: cargo build --release");
    actix_web::rt::System::new().block_on(async {
        for cut_per_thousand in [0, 250] {
            compare(&site, &program, cut_per_thousand).await;
        }
    });
}
