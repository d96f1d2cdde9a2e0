//! The engine drives the schedule: it takes the steps that are due, sends their requests, writes
//! the results to the outbox, and only then notifies the callers that wait.
//!
//! `state` makes the decisions under one lock, `attempt` sends the request of one step, and `learn`
//! processes its result.

mod attempt;
mod learn;
mod state;

pub(crate) use state::JobUpdate;

use crate::job::JobId;
use crate::outbox::writer::Writer;
use crate::outbox::{Outbox, OutboxError};
use crate::record::Record;
use crate::schedule::Step;
use crate::settings::Settings;
use crate::transport::Transport;
use state::{Attempt, OpenJob, State};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use tracing::Instrument;

/// Bounds of the driver task's pause until the next step is due, in seconds.
const MIN_PAUSE_S: f64 = 0.001;
const MAX_PAUSE_S: f64 = 3600.0;

/// Drives all jobs of an outbox.
pub(crate) struct Engine {
    settings: Settings,
    transport: Box<dyn Transport>,
    pub outbox: Arc<Outbox>,
    pub writer: Writer,
    state: Mutex<State>,
    /// Wakes the driver task: a step may be due earlier, or another attempt may be allowed.
    wake: Notify,
    start: Instant,
}

/// The system clock, in milliseconds of Unix time. It is used for time stamps only, so that a jump
/// of the clock changes no wait.
pub(crate) fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}

impl Engine {
    /// Starts the engine with the open jobs of the outbox. `seed` seeds its random number
    /// generator.
    pub fn start(
        settings: Settings,
        transport: Box<dyn Transport>,
        outbox: Outbox,
        seed: u64,
    ) -> Result<Arc<Engine>, OutboxError> {
        let records = outbox.open_records()?;
        let outbox = Arc::new(outbox);
        let writer = Writer::start(outbox.clone());
        let state = State::new(&settings, seed);
        let engine = Arc::new(Engine {
            settings,
            transport,
            outbox,
            writer,
            state: Mutex::new(state),
            wake: Notify::new(),
            start: Instant::now(),
        });
        for record in records {
            engine.add(record);
        }
        tokio::spawn(run_schedule(engine.clone()));
        Ok(engine)
    }

    /// Seconds since the engine's start.
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Stops the driver task, so that no further attempts begin. The outbox keeps the open jobs.
    pub fn close(&self) {
        self.lock().closed = true;
        self.wake.notify_one();
    }

    /// Adds a job of the outbox to the schedule, unless it is closed or already scheduled.
    pub fn add(&self, record: Record) {
        let now = self.now();
        let mut state = self.lock();
        if record.closed() || state.open.contains_key(&record.id) {
            return;
        }
        let id = record.id;
        let open = OpenJob::new(record, now);
        let step = open.next_step();
        state.open.insert(id, open);
        state.schedule.put(id, step, now);
        drop(state);
        self.wake.notify_one();
    }

    /// Subscribes to the updates of a job; `None` if the job is not open.
    pub fn watch(&self, id: JobId) -> Option<watch::Receiver<JobUpdate>> {
        Some(self.lock().open.get(&id)?.subscribe())
    }

    /// Records that a job is to be cancelled, and schedules the cancellation. The record is on disk
    /// when this returns.
    pub async fn request_cancellation(&self, id: JobId) -> Result<(), OutboxError> {
        let now = self.now();
        let written = {
            let mut state = self.lock();
            let Some(open) = state.open.get_mut(&id) else {
                return Ok(());
            };
            if open.record.cancel {
                return Ok(());
            }
            open.record.cancel = true;
            open.tries = 0;
            let busy = open.busy;
            // Sent while the lock is held, so that a job's updates are written in the order in
            // which they were made.
            let written = self.writer.begin_update(open.record.clone());
            if !busy {
                state.schedule.put(id, Step::Cancel, now);
            }
            written
        };
        let result = written.wait().await;
        if result.is_err() {
            if let Some(open) = self.lock().open.get_mut(&id) {
                open.record.cancel = false;
            }
        }
        self.wake.notify_one();
        result
    }

    /// Begins the attempts that are due and admitted. Returns when the next step is due. Returns
    /// `None` if no step is scheduled or none may begin before a running attempt ends.
    fn begin_due(self: &Arc<Self>) -> Option<f64> {
        let now = self.now();
        let due = self.lock().take_due(now);
        for attempt in due.attempts {
            let Attempt { id, step, front } = attempt;
            let engine = self.clone();
            let span = tracing::info_span!("attempt", job = %id, ?step, front);
            tokio::spawn(async move { engine.run_attempt(attempt).await }.instrument(span));
        }
        due.next_at
    }
}

/// The driver task: begins attempts as they become due, until the engine is closed.
async fn run_schedule(engine: Arc<Engine>) {
    loop {
        let next_at = engine.begin_due();
        if engine.lock().closed {
            return;
        }
        let pause_s = next_at.map(|at| (at - engine.now()).clamp(MIN_PAUSE_S, MAX_PAUSE_S));
        let pause = async {
            match pause_s {
                Some(s) => tokio::time::sleep(Duration::from_secs_f64(s)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = engine.wake.notified() => {}
            () = pause => {}
        }
    }
}
