//! Drives the schedule: takes what is due, asks, writes what was learnt, and only
//! then tells whoever waits.

use crate::agenda::{Agenda, Step};
use crate::fronts::Fronts;
use crate::job::JobId;
use crate::measure;
use crate::outbox::writer::{Pending, Writer};
use crate::outbox::{Outbox, OutboxError};
use crate::pace::{Ended, InFlight, Rate, RetryBudget};
use crate::record::{Phase, Record};
use crate::settings::Settings;
use crate::transport::{Answer, NoAnswer, Request, Transport};
use crate::verdict::{judge, Verdict};
use foxspur_wire::job::JobSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use tracing::Instrument;

/// What those who wait for a job see: only what is on the disk.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct News {
    pub record: Record,
    /// An attempt of this process was the one that was accepted.
    pub fresh: bool,
}

/// A job with an answer open.
pub(crate) struct Open {
    /// With all that was learnt, also what is still being written.
    pub(crate) record: Record,
    pub(crate) fresh: bool,
    pub(crate) told: watch::Sender<News>,
    /// Attempts of the present step, failed ones in a row, all ever.
    pub(crate) tries: u32,
    pub(crate) failures: u32,
    pub(crate) accepted_at: f64,
    pub(crate) expected_s: f64,
    /// It has a slot for its next poll, which it waited for.
    pub(crate) slot: bool,
    /// What was learnt could not be written yet.
    pub(crate) unwritten: bool,
    /// An attempt is under way: its end decides the next step.
    pub(crate) busy: bool,
}

pub(crate) struct State {
    pub(crate) open: HashMap<JobId, Open>,
    pub(crate) agenda: Agenda,
    pub(crate) fronts: Fronts,
    pub(crate) in_flight: InFlight,
    pub(crate) retries: RetryBudget,
    pub(crate) polls: Rate,
    pub(crate) rng: StdRng,
    pub(crate) closed: bool,
}

pub(crate) struct Engine {
    settings: Settings,
    transport: Box<dyn Transport>,
    pub outbox: Arc<Outbox>,
    pub writer: Writer,
    state: Mutex<State>,
    /// Something is due sooner, or there is room again.
    pub(crate) wake: Notify,
    start: Instant,
}

/// Time of day, for stamps alone: a clock that jumps changes no wait.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

impl Engine {
    /// Takes up where the outbox left off.
    pub fn start(
        settings: Settings,
        transport: Box<dyn Transport>,
        outbox: Outbox,
        seed: u64,
    ) -> Result<Arc<Engine>, OutboxError> {
        let records = outbox.open_records()?;
        let outbox = Arc::new(outbox);
        let writer = Writer::start(outbox.clone());
        let state = State {
            open: HashMap::new(),
            agenda: Agenda::default(),
            fronts: Fronts::new(settings.fronts.len()),
            in_flight: InFlight::new(settings.in_flight),
            retries: RetryBudget::new(
                settings.retry_share,
                settings.retry_floor_per_s,
                settings.retry_most,
            ),
            polls: Rate::new(settings.polls_per_s, settings.polls_per_s),
            rng: StdRng::seed_from_u64(seed),
            closed: false,
        };
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

    pub(crate) fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Ends the driver; what is under way is given up, the outbox keeps it.
    pub fn close(&self) {
        self.lock().closed = true;
        self.wake.notify_one();
    }

    /// A job of the outbox joins the schedule, unless it is in it.
    pub fn add(&self, record: Record) {
        let now = self.now();
        let mut state = self.lock();
        if record.closed() || state.open.contains_key(&record.id) {
            return;
        }
        let id = record.id;
        let expected_s =
            serde_json::from_str::<JobSpec>(&record.body).map_or(0.0, |s| s.estimate_s);
        let news = News {
            record: record.clone(),
            fresh: false,
        };
        let open = Open {
            record,
            fresh: false,
            told: watch::Sender::new(news),
            tries: 0,
            failures: 0,
            accepted_at: now,
            expected_s,
            slot: false,
            unwritten: false,
            busy: false,
        };
        let step = next_step(&open);
        state.open.insert(id, open);
        state.agenda.put(id, step, now);
        drop(state);
        self.wake.notify_one();
    }

    /// News of a job with an answer open.
    pub fn watch(&self, id: JobId) -> Option<watch::Receiver<News>> {
        Some(self.lock().open.get(&id)?.told.subscribe())
    }

    /// Wants a job cancelled; recorded when this returns.
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
            // Sent while the lock is held, so that the disk sees what is
            // learnt of a job in the order in which it was learnt.
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

    /// Takes what is due and may be asked; when the next look is worth it.
    fn due(self: &Arc<Self>) -> Option<f64> {
        let now = self.now();
        let mut begun = Vec::new();
        let next = {
            let mut guard = self.lock();
            let state = &mut *guard;
            loop {
                if state.agenda.next_at().is_none_or(|at| at > now) {
                    break;
                }
                if !state.in_flight.begin() {
                    // An attempt that ends wakes us.
                    return self.launch(begun, None);
                }
                let Some((id, step)) = state.agenda.take(now) else {
                    state.in_flight.cancel();
                    break;
                };
                if !state.open.contains_key(&id) {
                    state.in_flight.cancel();
                    continue;
                }
                match state.admit(id, step, now) {
                    Ok(front) => {
                        // From here on: a wish to cancel waits for its end.
                        if let Some(open) = state.open.get_mut(&id) {
                            open.busy = true;
                        }
                        begun.push((id, step, front));
                    }
                    Err(wait) => {
                        state.in_flight.cancel();
                        measure::withheld(step);
                        state.agenda.put(id, step, now + wait);
                    }
                }
            }
            measure::load(
                state.open.len(),
                state.in_flight.limit(),
                state.fronts.out(now),
            );
            state.agenda.next_at()
        };
        self.launch(begun, next)
    }

    fn launch(
        self: &Arc<Self>,
        begun: Vec<(JobId, Step, usize)>,
        next: Option<f64>,
    ) -> Option<f64> {
        for (id, step, front) in begun {
            let engine = self.clone();
            let span = tracing::info_span!("attempt", job = %id, ?step, front);
            tokio::spawn(async move { engine.attempt(id, step, front).await }.instrument(span));
        }
        next
    }

    /// One attempt, and what follows from it.
    async fn attempt(&self, id: JobId, step: Step, front: usize) {
        let Some((request, written)) = self.prepare(id, step) else {
            let mut state = self.lock();
            state.in_flight.cancel();
            state.fronts.cancel(front);
            return;
        };
        if let Some(written) = written {
            // Learnt before, and not on the disk yet: that comes first.
            let done = written.wait().await;
            let mut state = self.lock();
            state.in_flight.cancel();
            state.fronts.cancel(front);
            drop(state);
            self.settle(id, done);
            return;
        }
        let ended = self.ask(step, front, request).await;
        let verdict = judge(step, id, &ended);
        match &verdict {
            Verdict::Heard(heard) => tracing::debug!(?heard),
            Verdict::Again { retry_after, why } => tracing::debug!(retry_after, why, "again"),
        }
        self.learn(id, step, verdict).await;
    }

    /// The request of this step, or the write that must come before it.
    fn prepare(&self, id: JobId, step: Step) -> Option<(Request, Option<Pending>)> {
        let mut state = self.lock();
        let open = state.open.get_mut(&id)?;
        open.tries += 1;
        let request = match step {
            Step::Submit => Request {
                body: Some(open.record.body.clone()),
                path: "/work".into(),
            },
            Step::Cancel => Request {
                body: Some(String::new()),
                path: format!("/work/{id}/cancel"),
            },
            Step::Poll => Request {
                body: None,
                path: format!("/work/{id}"),
            },
        };
        let unwritten = open.unwritten;
        let written = unwritten.then(|| self.writer.begin_update(open.record.clone()));
        Some((request, written))
    }

    /// Asks, and a second front too where a poll takes longer than nearly all.
    async fn ask(&self, step: Step, front: usize, request: Request) -> Result<Answer, NoAnswer> {
        let timeout_s = match step {
            Step::Poll => self.settings.poll_s,
            Step::Submit | Step::Cancel => self.settings.submit_s,
        };
        let timeout = Duration::from_secs_f64(timeout_s);
        let began = self.now();
        let hedge_in = match step {
            Step::Poll if self.settings.hedge => self.lock().in_flight.p95(),
            _ => None,
        };
        let first = self.transport.call(front, request.clone(), timeout);
        tokio::pin!(first);
        let waited = async {
            match hedge_in {
                Some(s) => tokio::time::sleep(Duration::from_secs_f64(1.5 * s + 0.05)).await,
                None => std::future::pending().await,
            }
        };
        let ended = tokio::select! {
            ended = &mut first => ended,
            () = waited => match self.second_front(front) {
                None => first.await,
                Some(other) => {
                    tracing::debug!(other, "hedged");
                    let second = self.transport.call(other, request, timeout);
                    tokio::pin!(second);
                    // The first that answers; if one fails, what the other says.
                    let (ended, rest) = tokio::select! {
                        ended = &mut first => (ended, None),
                        ended = &mut second => (ended, Some(())),
                    };
                    let ended = match (ended, rest) {
                        (Ok(answer), _) => Ok(answer),
                        (Err(_), None) => second.await,
                        (Err(_), Some(())) => first.await,
                    };
                    let took = outcome(&ended, self.now() - began);
                    let now = self.now();
                    self.lock().fronts.end(other, took, now);
                    ended
                }
            },
        };
        let now = self.now();
        let took = outcome(&ended, now - began);
        let mut state = self.lock();
        state.in_flight.end(took, now);
        state.fronts.end(front, took, now);
        drop(state);
        let told = matches!(took, Ended::Answered(_));
        measure::attempt(step, told, now - began);
        self.wake.notify_one();
        ended
    }

    /// Another front for a hedged poll, if the budget of retries has one left.
    fn second_front(&self, but: usize) -> Option<usize> {
        let now = self.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        if self.settings.fronts.len() < 2 || state.retries.retry(now).is_err() {
            return None;
        }
        state.fronts.choose(Some(but), now, &mut state.rng)
    }
}

impl State {
    /// Whether the step may be made now, and at which front; else how long to
    /// wait for the budget it needs.
    fn admit(&mut self, id: JobId, step: Step, now: f64) -> Result<usize, f64> {
        let Some(open) = self.open.get_mut(&id) else {
            return Err(MOST_WITHHELD_S);
        };
        if step == Step::Poll && !std::mem::take(&mut open.slot) {
            let wait = self.polls.reserve(now);
            if wait > 0.0 {
                open.slot = true;
                return Err(wait);
            }
        }
        if open.tries > 0 || open.failures > 0 {
            if let Err(wait) = self.retries.retry(now) {
                // An estimate, for others want the same one.
                let wait = wait.clamp(0.01, MOST_WITHHELD_S);
                return Err(wait * self.rng.random_range(1.0..1.5));
            }
        } else {
            self.retries.first(now);
        }
        self.fronts
            .choose(None, now, &mut self.rng)
            .ok_or(MOST_WITHHELD_S)
    }
}

/// Longest wait before a withheld retry asks for its turn again.
const MOST_WITHHELD_S: f64 = 5.0;

impl Open {
    pub(crate) fn publish(&self) {
        let news = News {
            record: self.record.clone(),
            fresh: self.fresh,
        };
        self.told.send_if_modified(|known| {
            let changed = *known != news;
            *known = news;
            changed
        });
    }
}

/// What to do next about a job.
pub(crate) fn next_step(open: &Open) -> Step {
    match (&open.record.phase, open.record.cancel) {
        // A lost answer may hide that it was accepted: cancelling is soonest.
        (_, true) => Step::Cancel,
        (Phase::Waiting, false) => Step::Submit,
        _ => Step::Poll,
    }
}

/// How an attempt ended, for those who pace.
fn outcome(ended: &Result<Answer, NoAnswer>, took_s: f64) -> Ended {
    match ended {
        Ok(answer) if !matches!(answer.status, 429 | 500..) => Ended::Answered(took_s),
        Ok(_) | Err(NoAnswer::TimedOut) => Ended::Overloaded,
        Err(NoAnswer::Broken(_)) => Ended::Broken,
    }
}

async fn drive(engine: Arc<Engine>) {
    loop {
        let next = engine.due();
        if engine.lock().closed {
            return;
        }
        let pause =
            next.map(|at| Duration::from_secs_f64((at - engine.now()).clamp(0.001, 3600.0)));
        tokio::select! {
            () = engine.wake.notified() => {}
            () = async {
                match pause {
                    Some(pause) => tokio::time::sleep(pause).await,
                    None => std::future::pending().await,
                }
            } => {}
        }
    }
}
