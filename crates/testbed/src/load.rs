//! Load through the client library: seeded arrivals, open loop, each job followed
//! to its one final answer.

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

/// What came of a load.
#[derive(Clone, Default)]
pub struct Tally {
    inner: Arc<Mutex<Counts>>,
}

/// Counts, and times in milliseconds.
#[derive(Clone, Debug)]
pub struct Counts {
    pub submitted: u64,
    pub accepted: u64,
    pub done: u64,
    pub withdrawn: u64,
    pub refused: u64,
    pub accept_ms: Histogram<u64>,
    pub done_ms: Histogram<u64>,
}

impl Default for Counts {
    fn default() -> Self {
        let empty = || Histogram::new_with_max(3_600_000, 2).unwrap_or_else(|_| unreachable!());
        Counts {
            submitted: 0,
            accepted: 0,
            done: 0,
            withdrawn: 0,
            refused: 0,
            accept_ms: empty(),
            done_ms: empty(),
        }
    }
}

impl Tally {
    pub fn counts(&self) -> Counts {
        self.inner.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn add(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.inner.lock().unwrap_or_else(|e| e.into_inner()));
    }
}

/// A job of this load.
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

/// Who makes a job's description known to the machines.
pub type Upload = Arc<dyn Fn(String, JobSpec) + Send + Sync>;

/// Plays `count` arrivals and waits for the end of each, `settle` at most.
pub async fn play(
    client: &Client,
    site: &Site,
    history: &History,
    upload: Upload,
    (seed, count, settle): (u64, u64, Duration),
    tally: &Tally,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    let mut next = Instant::now();
    for n in 0..count {
        // Exponential gaps: arrivals that know nothing of each other.
        let gap = -(1.0 - rng.random::<f64>()).ln() / site.load.jobs_per_s;
        next += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(next).await;
        let key = format!("load-{seed}/{n}");
        let work = work(site, &key, &mut rng);
        let after = Duration::try_from_secs_f64(site.load.cancel_after_s).unwrap_or_default();
        let cancels = rng.random_bool(site.load.cancelled).then_some(after);
        let one = follow(
            client.clone(),
            work,
            cancels,
            history.clone(),
            upload.clone(),
        );
        let tally = tally.clone();
        running.spawn(async move { one.run(settle, &tally).await });
    }
    while running.join_next().await.is_some() {}
}

struct Follow {
    client: Client,
    work: Work,
    /// How long after its acceptance, if at all.
    cancels: Option<Duration>,
    history: History,
    upload: Upload,
}

fn follow(
    client: Client,
    work: Work,
    cancels: Option<Duration>,
    history: History,
    upload: Upload,
) -> Follow {
    Follow {
        client,
        work,
        cancels,
        history,
        upload,
    }
}

impl Follow {
    fn told(&self, id: JobId, what: &str) {
        self.history.add(Event::Told {
            key: self.work.key.to_string(),
            job: id.to_string(),
            what: what.into(),
        });
    }

    async fn run(self, settle: Duration, tally: &Tally) {
        let began = Instant::now();
        tally.add(|t| t.submitted += 1);
        // As a booking system would: asks again with the same key until it knows.
        let id = loop {
            let batch = vec![self.work.clone()];
            // The description must be there before the first task starts.
            let first = self.client.submit(batch.clone(), Duration::ZERO).await;
            if let Some(Ok(told)) = first.ok().and_then(|mut t| t.pop()) {
                (self.upload)(told.id().to_string(), self.work.spec.clone());
            }
            let told = self.client.submit(batch, Duration::from_secs(10)).await;
            match told.ok().and_then(|mut t| t.pop()) {
                Some(Ok(Submitted::Accepted(id))) => {
                    self.told(id, "accepted");
                    break id;
                }
                Some(Ok(Submitted::KnownAlready(id))) => {
                    self.told(id, "known");
                    break id;
                }
                Some(Ok(Submitted::Refused(id, why))) => {
                    self.told(id, &format!("refused {}", why.status));
                    tally.add(|t| t.refused += 1);
                    return;
                }
                _ if began.elapsed() > settle => return,
                _ => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        };
        tally.add(|t| {
            t.accepted += 1;
            t.accept_ms
                .saturating_record(began.elapsed().as_millis() as u64);
        });
        if let Some(after) = self.cancels {
            tokio::time::sleep(after).await;
            let cancelled = self.client.cancel(id, settle).await;
            if cancelled == Ok(Cancelled::Withdrawn) {
                self.history.add(Event::Cancelled {
                    job: id.to_string(),
                });
            }
        }
        match self.client.outcome(id, settle).await {
            Ok(Told::Final(Outcome::Done)) => {
                self.told(id, "done");
                tally.add(|t| {
                    t.done += 1;
                    t.done_ms
                        .saturating_record(began.elapsed().as_millis() as u64);
                });
            }
            Ok(Told::Final(Outcome::Withdrawn)) => {
                self.told(id, "withdrawn");
                tally.add(|t| t.withdrawn += 1);
            }
            other => self.told(id, &format!("open: {other:?}")),
        }
    }
}
