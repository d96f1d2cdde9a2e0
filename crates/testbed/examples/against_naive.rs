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
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const JOBS: usize = 400;
const AT_ONCE: usize = 16;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Caller {
    Library,
    /// Posts again under a new id.
    Naive,
    /// Posts again under the same id.
    NaiveSameId,
}

/// Submits all jobs; seconds, and each acceptance in seconds.
async fn run(caller: Caller, front: String, site: Arc<Site>) -> (f64, Vec<f64>) {
    let client = {
        let outbox = Outbox::in_memory().expect("memory");
        Client::with_outbox(Settings::new([front.clone()]), outbox).expect("settings")
    };
    let http = reqwest::Client::builder().no_proxy().build().expect("http");
    let next = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let mut callers = Vec::new();
    for c in 0..AT_ONCE {
        let (client, http, front) = (client.clone(), http.clone(), front.clone());
        let (next, site) = (next.clone(), site.clone());
        callers.push(tokio::spawn(async move {
            let mut rng = StdRng::seed_from_u64(c as u64 + 100 * caller as u64);
            let mut times = Vec::new();
            loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= JOBS {
                    return times;
                }
                let mut work = work(&site, &format!("{caller:?}/{n}"), &mut rng);
                let asked = Instant::now();
                if caller == Caller::Library {
                    let told = client.submit(vec![work], Duration::from_secs(60)).await;
                    told.expect("outbox").pop();
                } else {
                    work.spec.id = format!("run-{}", rng.random::<u64>());
                    loop {
                        let body = serde_json::to_string(&work.spec).expect("json");
                        let post = http.post(format!("{front}/work")).body(body);
                        let sent = post.timeout(Duration::from_secs(5)).send().await;
                        let status = match sent {
                            Ok(r) => {
                                let status = r.status().as_u16();
                                r.bytes().await.ok().map(|_| status)
                            }
                            Err(_) => None,
                        };
                        if matches!(status, Some(200 | 201)) {
                            break;
                        }
                        if caller == Caller::Naive {
                            work.spec.id = format!("run-{}", rng.random::<u64>());
                        }
                        tokio::time::sleep(Duration::from_secs(1)).await;
                    }
                }
                times.push(asked.elapsed().as_secs_f64());
            }
        }));
    }
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.await.expect("no panic"));
    }
    times.sort_by(f64::total_cmp);
    (began.elapsed().as_secs_f64(), times)
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
        for cut in [0, 250] {
            let dir = tempfile::tempdir().expect("a folder");
            let testbed = Testbed::up(site.clone(), &program, dir.path()).await.expect("up");
            let front = format!("http://{}", testbed.front);
            tokio::time::sleep(Duration::from_secs(3)).await;
            testbed.connection_faults.set(cut, 0);
            let (mut wall, mut p99) = (Vec::new(), Vec::new());
            for caller in [Caller::Library, Caller::NaiveSameId, Caller::Naive] {
                let exist = |t: &Testbed| t.state.count("fx/live/") + t.state.count("fx/fin/");
                let before = exist(&testbed);
                let (s, times) = run(caller, front.clone(), testbed.site.clone()).await;
                let made = exist(&testbed) - before;
                wall.push(s);
                p99.push(times[times.len() * 99 / 100]);
                println!(
                    "cut {cut:3} of 1000, {caller:?}: jobs a second x{:.2}, p99 x{:.2} of the library's, \
                     {made} jobs exist for {JOBS} wanted",
                    wall[0] / s,
                    p99.last().unwrap_or(&0.0) / p99[0]
                );
            }
            testbed.down().await;
        }
    });
}
