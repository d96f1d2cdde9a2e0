//! Group commit: writes to the outbox are made one after the other, all that wait in one
//! transaction. A commit costs a sync of the disk, whether it holds one job or a thousand.

use super::{NotQueued, Outbox, OutboxError, Queued};
use crate::job::Work;
use crate::record::Record;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// What became of each job of a batch.
type Batch = Vec<Result<Queued, NotQueued>>;

enum Order {
    Enqueue(Vec<Work>, u64, oneshot::Sender<Result<Batch, OutboxError>>),
    Update(Record, oneshot::Sender<Result<(), OutboxError>>),
}

/// The most orders written in one transaction.
const MAX_BATCH: usize = 1024;

/// Hands writes to the task that makes them.
#[derive(Clone, Debug)]
pub struct Writer {
    // Not bounded by itself: each request under way and each caller waits for
    // the one order that it gave, and those are bounded.
    orders: mpsc::UnboundedSender<Order>,
}

/// A write under way.
#[derive(Debug)]
pub struct Pending(oneshot::Receiver<Result<(), OutboxError>>);

impl Pending {
    /// Waits until it is on the disk.
    pub async fn wait(self) -> Result<(), OutboxError> {
        self.0.await.map_err(|_| OutboxError::Closed)?
    }
}

impl Writer {
    /// Starts the task; it ends when the last `Writer` is dropped.
    pub fn start(outbox: Arc<Outbox>) -> Writer {
        let (orders, mut taken) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut batch = Vec::new();
            while taken.recv_many(&mut batch, MAX_BATCH).await > 0 {
                let (outbox, orders) = (outbox.clone(), std::mem::take(&mut batch));
                // A sync of the disk may take long: not on the runtime's threads.
                let written = tokio::task::spawn_blocking(move || write(&outbox, orders));
                if written.await.is_err() {
                    return;
                }
            }
        });
        Writer { orders }
    }

    /// Queues a batch; it is on the disk when this returns.
    pub async fn enqueue(&self, batch: Vec<Work>, now_ms: u64) -> Result<Batch, OutboxError> {
        let (reply, answer) = oneshot::channel();
        let order = Order::Enqueue(batch, now_ms, reply);
        self.orders.send(order).map_err(|_| OutboxError::Closed)?;
        answer.await.map_err(|_| OutboxError::Closed)?
    }

    /// Hands over what became of a job; writes are made in the order of these
    /// calls.
    pub fn begin_update(&self, record: Record) -> Pending {
        let (reply, answer) = oneshot::channel();
        // A task that is gone drops the reply, which says so.
        let _ = self.orders.send(Order::Update(record, reply));
        Pending(answer)
    }
}

fn write(outbox: &Outbox, orders: Vec<Order>) {
    let (mut records, mut told) = (Vec::new(), Vec::new());
    let (mut all, mut parts, mut now_ms) = (Vec::new(), Vec::new(), 0);
    for order in orders {
        match order {
            Order::Update(record, reply) => {
                records.push(record);
                told.push(reply);
            }
            Order::Enqueue(batch, at_ms, reply) => {
                parts.push((batch.len(), reply));
                all.extend(batch);
                now_ms = now_ms.max(at_ms);
            }
        }
    }
    if !records.is_empty() {
        let done = outbox.update(&records);
        for reply in told {
            let _ = reply.send(done.clone());
        }
    }
    if parts.is_empty() {
        return;
    }
    match outbox.enqueue(&all, now_ms) {
        Ok(queued) => {
            let mut queued = queued.into_iter();
            for (size, reply) in parts {
                let _ = reply.send(Ok(queued.by_ref().take(size).collect()));
            }
        }
        Err(error) => {
            for (_, reply) in parts {
                let _ = reply.send(Err(error.clone()));
            }
        }
    }
}
