//! The blocking client. It runs the asynchronous client on a tokio runtime of its own.

use crate::client::{AskError, StartError};
use crate::job::{Cancelled, JobId, Key, Submitted, Told, Work};
use crate::outbox::{NotQueued, Outbox, OutboxError};
use crate::settings::Settings;
use std::path::Path;
use std::time::Duration;
use tokio::runtime::Runtime;

/// A client for synchronous callers. Must not be used within an asynchronous runtime.
pub struct Client {
    // Fields are dropped in order: the client must be dropped before the runtime that drives it.
    client: crate::Client,
    runtime: Runtime,
}

impl Client {
    /// Opens the outbox at `path` and continues with its unfinished jobs.
    pub fn open(settings: Settings, path: &Path) -> Result<Client, StartError> {
        Client::with_outbox(settings, Outbox::open(path, true)?)
    }

    /// Creates a client with this outbox.
    pub fn with_outbox(settings: Settings, outbox: Outbox) -> Result<Client, StartError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(|e| StartError::Http(e.to_string()))?;
        let client = {
            let _entered = runtime.enter();
            crate::Client::with_outbox(settings, outbox)?
        };
        Ok(Client { client, runtime })
    }

    /// See [`crate::Client::submit`].
    pub fn submit(
        &self,
        batch: Vec<Work>,
        within: Duration,
    ) -> Result<Vec<Result<Submitted, NotQueued>>, OutboxError> {
        self.runtime.block_on(self.client.submit(batch, within))
    }

    /// See [`crate::Client::outcome`].
    pub fn outcome(&self, id: JobId, within: Duration) -> Result<Told, AskError> {
        self.runtime.block_on(self.client.outcome(id, within))
    }

    /// See [`crate::Client::cancel`].
    pub fn cancel(&self, id: JobId, within: Duration) -> Result<Cancelled, AskError> {
        self.runtime.block_on(self.client.cancel(id, within))
    }

    /// See [`crate::Client::id_of`].
    pub fn id_of(&self, key: &Key) -> Result<Option<JobId>, OutboxError> {
        self.client.id_of(key)
    }
}
