//! The load generator: submits jobs through the client library in an open loop with seeded
//! arrivals, and follows each job to its terminal status.

use crate::history::{Event, History};
use crate::site::Site;
use foxspur_client::{Cancelled, Client, JobId, Key, Outcome, Submitted, Told, Work};
use foxspur_wire::job::{JobSpec, Shape, Urgency};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The longest latency that the histograms record.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// How long one submission waits for an answer.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Backoff before a submission without an answer is repeated.
const SUBMIT_BACKOFF: Duration = Duration::from_millis(100);

/// Counts of a running load. Clones share them.
#[derive(Clone, Default)]
pub struct LoadCounters {
    inner: Arc<Mutex<Counts>>,
}

/// Counts of jobs, and latencies in milliseconds from submission.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Jobs submitted.
    pub submitted: u64,
    /// Jobs whose users were told that they are accepted.
    pub accepted: u64,
    /// Jobs whose users were told that they are done.
    pub done: u64,
    /// Jobs whose users were told that they are cancelled.
    pub withdrawn: u64,
    /// Jobs that were refused.
    pub refused: u64,
    /// Latency until acceptance.
    pub accept_ms: Histogram<u64>,
    /// Latency until completion.
    pub done_ms: Histogram<u64>,
}

impl Default for Counts {
    fn default() -> Self {
        let empty_histogram =
            || Histogram::new_with_max(MAX_LATENCY_MS, 2).unwrap_or_else(|_| unreachable!());
        Counts {
            submitted: 0,
            accepted: 0,
            done: 0,
            withdrawn: 0,
            refused: 0,
            accept_ms: empty_histogram(),
            done_ms: empty_histogram(),
        }
    }
}

impl LoadCounters {
    /// The counts so far.
    pub fn counts(&self) -> Counts {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    fn add(&self, change: impl FnOnce(&mut Counts)) {
        change(
            &mut self
                .inner
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner),
        );
    }
}

/// Parameters of the arrivals of a load.
#[derive(Debug, Clone, Copy)]
pub struct Arrivals {
    /// Seed of the arrival times and the random job properties.
    pub seed: u64,
    /// How many jobs arrive.
    pub jobs: u64,
    /// How long to wait for each step of a job.
    pub settle: Duration,
}

/// Makes a random job as described by the load section of the site.
///
/// # Panics
///
/// If `key` is not a valid key.
pub fn work(site: &Site, key: &str, rng: &mut StdRng) -> Work {
    let team = &site.teams[rng.random_range(0..site.teams.len())];
    let spec = JobSpec {
        id: "run-0".into(),
        class: format!("{}-batch", team.name),
        team: team.name.clone(),
        shape: Shape::Sweep,
        urgency: if rng.random_bool(0.3) {
            Urgency::High
        } else {
            Urgency::Standard
        },
        tasks: rng.random_range(1..=site.load.tasks),
        cpus: site.load.cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: site.load.run_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    };
    let key = Key::new(key).unwrap_or_else(|e| panic!("{e}"));
    Work { key, spec }
}

/// Uploads the description of the job with this id to the machines.
pub type Upload = Arc<dyn Fn(String, JobSpec) + Send + Sync>;

/// The connections and records of a load.
pub struct LoadGenerator<'a> {
    /// The client that submits the jobs.
    pub client: &'a Client,
    /// The site whose load section describes the jobs.
    pub site: &'a Site,
    /// The history in which the answers to users are recorded.
    pub history: &'a History,
    /// Uploads each job's description before its first task starts.
    pub upload: Upload,
    /// Counts of the load so far.
    pub counters: &'a LoadCounters,
}

impl LoadGenerator<'_> {
    /// Generates all arrivals and waits until each job has ended or its waiting time is over.
    pub async fn run(&self, arrivals: Arrivals) {
        let load = &self.site.load;
        let mut rng = StdRng::seed_from_u64(arrivals.seed);
        let mut users = JoinSet::new();
        let mut next = Instant::now();
        for number in 0..arrivals.jobs {
            // Exponentially distributed gaps make the arrivals independent of each other.
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / load.jobs_per_s;
            next += Duration::from_secs_f64(gap_s);
            tokio::time::sleep_until(next).await;
            let key = format!("load-{}/{number}", arrivals.seed);
            let work = work(self.site, &key, &mut rng);
            let delay = Duration::try_from_secs_f64(load.cancel_after_s).unwrap_or_default();
            let user = User {
                client: self.client.clone(),
                work,
                cancels_after: rng.random_bool(load.cancelled).then_some(delay),
                history: self.history.clone(),
                upload: self.upload.clone(),
                counters: self.counters.clone(),
                settle: arrivals.settle,
                started_at: Instant::now(),
            };
            users.spawn(user.run());
        }
        while users.join_next().await.is_some() {}
    }
}

/// A simulated user with one job.
struct User {
    client: Client,
    work: Work,
    /// Delay from acceptance to cancellation; none if the job is not cancelled.
    cancels_after: Option<Duration>,
    history: History,
    upload: Upload,
    counters: LoadCounters,
    /// How long to wait for each step of the job.
    settle: Duration,
    started_at: Instant,
}

impl User {
    async fn run(self) {
        self.counters.add(|counts| counts.submitted += 1);
        let Some(id) = self.submit().await else {
            return;
        };
        let accept_ms = self.elapsed_ms();
        self.counters.add(|counts| {
            counts.accepted += 1;
            counts.accept_ms.saturating_record(accept_ms);
        });
        if let Some(delay) = self.cancels_after {
            tokio::time::sleep(delay).await;
            self.cancel(id).await;
        }
        self.await_outcome(id).await;
    }

    /// Submits the job, and repeats the submission with the same key until there is an answer.
    /// Returns the id of an accepted job, and none if the job is refused or there is no answer in
    /// time.
    async fn submit(&self) -> Option<JobId> {
        loop {
            let batch = vec![self.work.clone()];
            // The description must be uploaded before the first task starts. A submission with no
            // waiting time assigns the job its id.
            let first = self.client.submit(batch.clone(), Duration::ZERO).await;
            if let Some(Ok(told)) = first.ok().and_then(|mut answers| answers.pop()) {
                (self.upload)(told.id().to_string(), self.work.spec.clone());
            }
            let told = self.client.submit(batch, SUBMIT_TIMEOUT).await;
            match told.ok().and_then(|mut answers| answers.pop()) {
                Some(Ok(Submitted::Accepted(id))) => {
                    self.record(id, "accepted");
                    return Some(id);
                }
                Some(Ok(Submitted::KnownAlready(id))) => {
                    self.record(id, "known");
                    return Some(id);
                }
                Some(Ok(Submitted::Refused(id, refusal))) => {
                    self.record(id, &format!("refused {}", refusal.status));
                    self.counters.add(|counts| counts.refused += 1);
                    return None;
                }
                _ if self.started_at.elapsed() > self.settle => return None,
                _ => tokio::time::sleep(SUBMIT_BACKOFF).await,
            }
        }
    }

    async fn cancel(&self, id: JobId) {
        let cancelled = self.client.cancel(id, self.settle).await;
        if cancelled == Ok(Cancelled::Withdrawn) {
            let job = id.to_string();
            self.history.add(Event::Cancelled { job });
        }
    }

    async fn await_outcome(&self, id: JobId) {
        match self.client.outcome(id, self.settle).await {
            Ok(Told::Final(Outcome::Done)) => {
                self.record(id, "done");
                let done_ms = self.elapsed_ms();
                self.counters.add(|counts| {
                    counts.done += 1;
                    counts.done_ms.saturating_record(done_ms);
                });
            }
            Ok(Told::Final(Outcome::Withdrawn)) => {
                self.record(id, "withdrawn");
                self.counters.add(|counts| counts.withdrawn += 1);
            }
            other => self.record(id, &format!("open: {other:?}")),
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Records an answer to the user.
    fn record(&self, id: JobId, what: &str) {
        self.history.add(Event::Told {
            key: self.work.key.to_string(),
            job: id.to_string(),
            what: what.into(),
        });
    }
}
