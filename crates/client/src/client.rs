//! The client: submit, outcome, cancel.

use crate::engine::{wall_ms, Engine, News};
use crate::job::{Cancelled, JobId, Key, Submitted, Told, Work};
use crate::outbox::{NotQueued, Outbox, OutboxError, Queued};
use crate::record::{Phase, Record};
use crate::settings::{BadSetting, Settings};
use crate::transport::{Http, Transport};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Why a client did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is out of range.
    #[error(transparent)]
    Settings(#[from] BadSetting),
    /// The outbox cannot be opened.
    #[error(transparent)]
    Outbox(#[from] OutboxError),
    /// The HTTP client or its runtime cannot be made.
    #[error("http: {0}")]
    Http(String),
}

/// Why there is no answer about a job.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AskError {
    /// The outbox has no job of this id.
    #[error("no such job in this outbox")]
    NoSuchJob,
    /// The outbox failed.
    #[error(transparent)]
    Outbox(#[from] OutboxError),
}

/// A client with its outbox. It goes on with what is in there from the moment it
/// is opened, whoever waits; clones share one.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    engine: Arc<Engine>,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.engine.close();
    }
}

impl Client {
    /// Opens the outbox at `path` and goes on with it. Needs a tokio runtime.
    pub fn open(settings: Settings, path: &Path) -> Result<Client, StartError> {
        settings.check()?;
        let outbox = Outbox::open(path, true)?;
        Client::with_outbox(settings, outbox)
    }

    /// A client whose outbox ends with the process.
    pub fn in_memory(settings: Settings) -> Result<Client, StartError> {
        settings.check()?;
        Client::with_outbox(settings, Outbox::in_memory()?)
    }

    /// A client with this outbox.
    pub fn with_outbox(settings: Settings, outbox: Outbox) -> Result<Client, StartError> {
        settings.check()?;
        let connect = Duration::from_secs_f64(settings.poll_s / 2.0);
        let http =
            Http::new(&settings.fronts, connect).map_err(|e| StartError::Http(e.to_string()))?;
        Client::with_transport(settings, outbox, Box::new(http), rand::random())
    }

    /// A client with this outbox and transport; `seed` decides its draws.
    pub fn with_transport(
        settings: Settings,
        outbox: Outbox,
        transport: Box<dyn Transport>,
        seed: u64,
    ) -> Result<Client, StartError> {
        settings.check()?;
        let engine = Engine::start(settings, transport, outbox, seed)?;
        Ok(Client {
            shared: Arc::new(Shared { engine }),
        })
    }

    /// Submits a batch and tells of each job what is known `within` that time. All
    /// of it is in the outbox before the first byte leaves, and goes on from
    /// there if this future is dropped or the process ends: calling again with
    /// the same keys asks again, and makes nothing twice.
    ///
    /// An error of the outbox means that nothing of the batch was sent.
    pub async fn submit(
        &self,
        batch: Vec<Work>,
        within: Duration,
    ) -> Result<Vec<Result<Submitted, NotQueued>>, OutboxError> {
        let until = Instant::now() + within;
        let engine = self.shared.engine.clone();
        // In a task of its own: who drops this future half-way would leave jobs
        // in the outbox that nobody sends before the next start.
        let queued = tokio::spawn(async move {
            let queued = engine.writer.enqueue(batch, wall_ms()).await?;
            let mut waits = Vec::with_capacity(queued.len());
            for one in queued {
                waits.push(one.map(|queued| {
                    let record = queued.record().clone();
                    engine.add(record.clone());
                    let watch = engine.watch(record.id);
                    let waits =
                        |w: &watch::Receiver<News>| w.borrow().record.phase == Phase::Waiting;
                    // Known, and not just on its way from an earlier call.
                    let known =
                        matches!(queued, Queued::Known(_)) && !watch.as_ref().is_some_and(waits);
                    (watch, record, known)
                }));
            }
            Ok::<_, OutboxError>(waits)
        });
        let waits = queued.await.map_err(|_| OutboxError::Closed)??;
        let mut told = Vec::with_capacity(waits.len());
        for one in waits {
            let (watch, record, known) = match one {
                Ok(found) => found,
                Err(why) => {
                    told.push(Err(why));
                    continue;
                }
            };
            let news = match watch {
                None => News {
                    // It was over before, or is by now.
                    record: self.find(record.id)?.unwrap_or(record),
                    fresh: false,
                },
                Some(watch) => {
                    let news = wait(watch, until, |r| r.phase != Phase::Waiting).await;
                    News {
                        fresh: news.fresh && !known,
                        ..news
                    }
                }
            };
            told.push(Ok(news.record.submitted(news.fresh)));
        }
        Ok(told)
    }

    /// The job's one final answer, or what is known of it `within` that time.
    pub async fn outcome(&self, id: JobId, within: Duration) -> Result<Told, AskError> {
        let record = self.until(id, within, Record::closed).await?;
        Ok(record.told())
    }

    /// Cancels a job and tells what is known `within` that time. The wish is in
    /// the outbox when this waits: it is asked for until it is answered.
    pub async fn cancel(&self, id: JobId, within: Duration) -> Result<Cancelled, AskError> {
        let engine = self.shared.engine.clone();
        let wanted = tokio::spawn(async move { engine.want_cancelled(id).await });
        wanted.await.map_err(|_| OutboxError::Closed)??;
        let record = self.until(id, within, Record::closed).await?;
        Ok(record.cancelled())
    }

    /// The job of this key, if there is one.
    pub fn id_of(&self, key: &Key) -> Result<Option<JobId>, OutboxError> {
        let found = self.shared.engine.outbox.find_key(key)?;
        Ok(found.map(|record| record.id))
    }

    /// How many jobs the outbox has, and how many of them have an answer open.
    pub fn len(&self) -> Result<(u64, u64), OutboxError> {
        self.shared.engine.outbox.len()
    }

    fn find(&self, id: JobId) -> Result<Option<Record>, OutboxError> {
        self.shared.engine.outbox.find(id)
    }

    async fn until(
        &self,
        id: JobId,
        within: Duration,
        enough: impl Fn(&Record) -> bool,
    ) -> Result<Record, AskError> {
        let until = Instant::now() + within;
        if let Some(watch) = self.shared.engine.watch(id) {
            return Ok(wait(watch, until, enough).await.record);
        }
        self.find(id)?.ok_or(AskError::NoSuchJob)
    }
}

/// Waits for enough to be known; at the end of its time gives what is.
async fn wait(
    mut watch: watch::Receiver<News>,
    until: Instant,
    enough: impl Fn(&Record) -> bool,
) -> News {
    let heard = timeout_at(until, watch.wait_for(|n| enough(&n.record))).await;
    let heard = heard.ok().and_then(Result::ok).map(|news| news.clone());
    heard.unwrap_or_else(|| watch.borrow().clone())
}
