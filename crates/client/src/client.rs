//! The asynchronous client: submits jobs, reports their outcome, and cancels them.

use crate::engine::{unix_time_ms, Engine, JobUpdate};
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
    /// The HTTP client or the runtime that drives it cannot be created.
    #[error("http: {0}")]
    Http(String),
}

/// Why a request about a job failed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AskError {
    /// The outbox has no job with this id.
    #[error("no such job in this outbox")]
    NoSuchJob,
    /// The outbox failed.
    #[error(transparent)]
    Outbox(#[from] OutboxError),
}

/// A client with its outbox. As soon as it is opened it continues with the unfinished jobs in the
/// outbox, whether or not a caller waits for them. Clones share the same outbox.
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
    /// Opens the outbox at `path` and continues with its unfinished jobs. Must be called within a
    /// tokio runtime.
    pub fn open(settings: Settings, path: &Path) -> Result<Client, StartError> {
        settings.check()?;
        let outbox = Outbox::open(path, true)?;
        Client::with_outbox(settings, outbox)
    }

    /// Creates a client whose outbox is in memory and is lost when the process ends.
    pub fn in_memory(settings: Settings) -> Result<Client, StartError> {
        settings.check()?;
        Client::with_outbox(settings, Outbox::in_memory()?)
    }

    /// Creates a client with this outbox.
    pub fn with_outbox(settings: Settings, outbox: Outbox) -> Result<Client, StartError> {
        settings.check()?;
        let connect_timeout = Duration::from_secs_f64(settings.poll_s / 2.0);
        let http = Http::new(&settings.fronts, connect_timeout)
            .map_err(|e| StartError::Http(e.to_string()))?;
        Client::with_transport(settings, outbox, Box::new(http), rand::random())
    }

    /// Creates a client with this outbox and transport. `seed` seeds its random number generator.
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

    /// Submits a batch of jobs, waits at most `within`, and reports what is known of each job by
    /// then.
    ///
    /// The whole batch is written to the outbox before the first request is sent. The jobs are
    /// submitted from there even if this future is dropped or the process ends and starts again.
    /// Calling again with the same keys reports on the same jobs and creates no duplicates.
    ///
    /// # Errors
    ///
    /// If the outbox failed; then no job of the batch was sent.
    pub async fn submit(
        &self,
        batch: Vec<Work>,
        within: Duration,
    ) -> Result<Vec<Result<Submitted, NotQueued>>, OutboxError> {
        let deadline = Instant::now() + within;
        let engine = self.shared.engine.clone();
        // Runs in a task of its own. Otherwise a caller that drops this future half-way would leave
        // jobs in the outbox that are not sent before the next start.
        let queued = tokio::spawn(async move {
            let queued = engine.writer.enqueue(batch, unix_time_ms()).await?;
            let mut watched = Vec::with_capacity(queued.len());
            for result in queued {
                watched.push(result.map(|queued| {
                    let record = queued.record().clone();
                    engine.add(record.clone());
                    let updates = engine.watch(record.id);
                    let is_waiting = |updates: &watch::Receiver<JobUpdate>| {
                        updates.borrow().record.phase == Phase::Waiting
                    };
                    // A job that an earlier call queued and whose submission is still unanswered
                    // does not count as known.
                    let known = matches!(queued, Queued::Known(_))
                        && !updates.as_ref().is_some_and(is_waiting);
                    (updates, record, known)
                }));
            }
            Ok::<_, OutboxError>(watched)
        });
        let watched = queued.await.map_err(|_| OutboxError::Closed)??;
        let mut submitted = Vec::with_capacity(watched.len());
        for result in watched {
            let (updates, record, known) = match result {
                Ok(found) => found,
                Err(not_queued) => {
                    submitted.push(Err(not_queued));
                    continue;
                }
            };
            let update = match updates {
                None => JobUpdate {
                    // The job was closed before this call or has been closed since.
                    record: self.find(record.id)?.unwrap_or(record),
                    fresh: false,
                },
                Some(updates) => {
                    let is_answered = |record: &Record| record.phase != Phase::Waiting;
                    let update = wait_for_update(updates, deadline, is_answered).await;
                    JobUpdate {
                        fresh: update.fresh && !known,
                        ..update
                    }
                }
            };
            submitted.push(Ok(update.record.submitted(update.fresh)));
        }
        Ok(submitted)
    }

    /// Waits at most `within` for the job's final status, and reports what is known by then.
    pub async fn outcome(&self, id: JobId, within: Duration) -> Result<Told, AskError> {
        let record = self.wait_until(id, within, Record::closed).await?;
        Ok(record.told())
    }

    /// Cancels a job, waits at most `within`, and reports what is known by then. The cancellation
    /// is written to the outbox before this function waits, and is requested again until a
    /// controller answers.
    pub async fn cancel(&self, id: JobId, within: Duration) -> Result<Cancelled, AskError> {
        let engine = self.shared.engine.clone();
        let recorded = tokio::spawn(async move { engine.request_cancellation(id).await });
        recorded.await.map_err(|_| OutboxError::Closed)??;
        let record = self.wait_until(id, within, Record::closed).await?;
        Ok(record.cancelled())
    }

    /// The id of the job with this key, if there is one.
    pub fn id_of(&self, key: &Key) -> Result<Option<JobId>, OutboxError> {
        let found = self.shared.engine.outbox.find_key(key)?;
        Ok(found.map(|record| record.id))
    }

    /// The number of jobs in the outbox, and how many of them are open (have no final status yet).
    pub fn len(&self) -> Result<(u64, u64), OutboxError> {
        self.shared.engine.outbox.len()
    }

    fn find(&self, id: JobId) -> Result<Option<Record>, OutboxError> {
        self.shared.engine.outbox.find(id)
    }

    async fn wait_until(
        &self,
        id: JobId,
        within: Duration,
        is_reached: impl Fn(&Record) -> bool,
    ) -> Result<Record, AskError> {
        let deadline = Instant::now() + within;
        if let Some(updates) = self.shared.engine.watch(id) {
            let update = wait_for_update(updates, deadline, is_reached).await;
            return Ok(update.record);
        }
        self.find(id)?.ok_or(AskError::NoSuchJob)
    }
}

/// Waits until the job's record satisfies `is_reached`, and returns that update. Returns the
/// current one if the deadline passes first.
async fn wait_for_update(
    mut updates: watch::Receiver<JobUpdate>,
    deadline: Instant,
    is_reached: impl Fn(&Record) -> bool,
) -> JobUpdate {
    let waited = updates.wait_for(|update| is_reached(&update.record));
    let reached = timeout_at(deadline, waited).await;
    let reached = reached.ok().and_then(Result::ok).map(|u| u.clone());
    reached.unwrap_or_else(|| updates.borrow().clone())
}
