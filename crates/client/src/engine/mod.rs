//! The driver of the schedule: it takes the steps that are due, makes attempts, writes what
//! was learnt, and only then tells whoever waits.
//!
//! `state` is what is decided under one lock, `attempt` makes one request, `learn` takes its
//! result in.

mod attempt;
mod learn;
mod state;

pub(crate) use state::News;

use crate::agenda::Step;
use crate::job::JobId;
use crate::outbox::writer::Writer;
use crate::outbox::{Outbox, OutboxError};
use crate::record::Record;
use crate::settings::Settings;
use crate::transport::Transport;
use state::{Attempt, OpenJob, State};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use tracing::Instrument;

/// Bounds of the driver's pause until the next step is due, in seconds.
const MIN_PAUSE_S: f64 = 0.001;
const MAX_PAUSE_S: f64 = 3600.0;

/// Drives all jobs of an outbox.
pub(crate) struct Engine {
    settings: Settings,
    transport: Box<dyn Transport>,
    pub outbox: Arc<Outbox>,
    pub writer: Writer,
    state: Mutex<State>,
    /// Something is due sooner, or an attempt may begin again.
    wake: Notify,
    start: Instant,
}

/// Time of day in milliseconds, for stamps alone: a clock that jumps changes no wait.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

impl Engine {
    /// Goes on with the open jobs of the outbox. `seed` decides all random draws.
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
        tokio::spawn(drive(engine.clone()));
        Ok(engine)
    }

    /// Seconds since the start.
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Ends the driver; attempts under way are given up, the outbox keeps their jobs.
    pub fn close(&self) {
        self.lock().closed = true;
        self.wake.notify_one();
    }

    /// Adds a job of the outbox to the schedule, unless it is closed or there already.
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
        state.agenda.put(id, step, now);
        drop(state);
        self.wake.notify_one();
    }

    /// News of a job with an answer open.
    pub fn watch(&self, id: JobId) -> Option<watch::Receiver<News>> {
        Some(self.lock().open.get(&id)?.subscribe())
    }

    /// Records that a job is to be cancelled; it is on the disk when this returns.
    pub async fn want_cancelled(&self, id: JobId) -> Result<(), OutboxError> {
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
            // Sent while the lock is held, so that the disk sees what is learnt of a job in
            // the order in which it was learnt.
            let written = self.writer.begin_update(open.record.clone());
            if !busy {
                state.agenda.put(id, Step::Cancel, now);
            }
            written
        };
        let done = written.wait().await;
        if done.is_err() {
            if let Some(open) = self.lock().open.get_mut(&id) {
                open.record.cancel = false;
            }
        }
        self.wake.notify_one();
        done
    }

    /// Begins the attempts that are due and admitted; when the next one is due, if that is
    /// known.
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

/// Begins attempts as they become due, until the engine is closed.
async fn drive(engine: Arc<Engine>) {
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
