//! Group commit: one task makes all writes to the outbox, and combines those that are waiting into
//! one transaction per kind of write. A commit costs one disk sync, whether it contains one job or
//! a thousand.

use super::{NotQueued, Outbox, OutboxError, Queued};
use crate::job::Work;
use crate::record::Record;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// The result for each job of a batch.
type BatchResult = Vec<Result<Queued, NotQueued>>;

/// A write that the task is to make, with the channel for its result.
enum WriteRequest {
    /// Jobs to queue, and the time stamp in milliseconds of Unix time.
    Enqueue(
        Vec<Work>,
        u64,
        oneshot::Sender<Result<BatchResult, OutboxError>>,
    ),
    /// The changed record of a job.
    Update(Record, oneshot::Sender<Result<(), OutboxError>>),
}

/// The maximum number of requests that are combined.
const MAX_REQUESTS: usize = 1024;

/// Sends write requests to the task that makes them.
#[derive(Clone, Debug)]
pub struct Writer {
    // The channel needs no bound of its own: each attempt and each caller waits for the one write
    // that it requested, and their number is bounded.
    requests: mpsc::UnboundedSender<WriteRequest>,
}

/// A write under way.
#[derive(Debug)]
pub struct Pending(oneshot::Receiver<Result<(), OutboxError>>);

impl Pending {
    /// Waits until the change is on disk.
    pub async fn wait(self) -> Result<(), OutboxError> {
        self.0.await.map_err(|_| OutboxError::Closed)?
    }
}

impl Writer {
    /// Starts the task; it ends when the last `Writer` is dropped.
    pub fn start(outbox: Arc<Outbox>) -> Writer {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut requests = Vec::new();
            while receiver.recv_many(&mut requests, MAX_REQUESTS).await > 0 {
                let (outbox, requests) = (outbox.clone(), std::mem::take(&mut requests));
                // A disk sync may take long and must not block the runtime's threads.
                let written = tokio::task::spawn_blocking(move || write(&outbox, requests));
                if written.await.is_err() {
                    return;
                }
            }
        });
        Writer { requests: sender }
    }

    /// Queues a batch, which is on disk when this returns.
    pub async fn enqueue(&self, batch: Vec<Work>, now_ms: u64) -> Result<BatchResult, OutboxError> {
        let (reply, answer) = oneshot::channel();
        let request = WriteRequest::Enqueue(batch, now_ms, reply);
        self.requests
            .send(request)
            .map_err(|_| OutboxError::Closed)?;
        answer.await.map_err(|_| OutboxError::Closed)?
    }

    /// Requests the write of a job's changed record, without waiting for it. Such writes are made
    /// in the order of the calls.
    pub fn begin_update(&self, record: Record) -> Pending {
        let (reply, answer) = oneshot::channel();
        // If the task has ended, the reply channel is dropped and `Pending::wait` reports it.
        let _ = self.requests.send(WriteRequest::Update(record, reply));
        Pending(answer)
    }
}

/// Makes the requested writes, all updates in one transaction and all batches in another, and sends
/// the results.
fn write(outbox: &Outbox, requests: Vec<WriteRequest>) {
    let (mut records, mut update_replies) = (Vec::new(), Vec::new());
    let (mut jobs, mut batch_replies, mut now_ms) = (Vec::new(), Vec::new(), 0);
    for request in requests {
        match request {
            WriteRequest::Update(record, reply) => {
                records.push(record);
                update_replies.push(reply);
            }
            WriteRequest::Enqueue(batch, at_ms, reply) => {
                batch_replies.push((batch.len(), reply));
                jobs.extend(batch);
                now_ms = now_ms.max(at_ms);
            }
        }
    }
    if !records.is_empty() {
        let result = outbox.update(&records);
        for reply in update_replies {
            let _ = reply.send(result.clone());
        }
    }
    if batch_replies.is_empty() {
        return;
    }
    match outbox.enqueue(&jobs, now_ms) {
        Ok(queued) => {
            let mut queued = queued.into_iter();
            for (size, reply) in batch_replies {
                let _ = reply.send(Ok(queued.by_ref().take(size).collect()));
            }
        }
        Err(error) => {
            for (_, reply) in batch_replies {
                let _ = reply.send(Err(error.clone()));
            }
        }
    }
}
