//! Answers to users never go back, whichever controllers they ask, however close
//! together, and whatever the state service does with transactions and their answers.

mod common;
mod simulated;

use actix_web::http::Method;
use common::digest::HistoryDigest;
use common::*;
use foxspur::coordination::jobs::live_job_watch;
use foxspur::coordination::jobs::lookup::MAX_READ_AGE;
use foxspur::protocol::job::JobState;
use foxspur::protocol::state::Txn;
use foxspur::storage::records::{self, TerminalRecord};
use rand::Rng;
use simulated::users::{id, submission, JobAnswer};
use simulated::{block_on, Cluster, Controller};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const JOBS: usize = 14;
/// How long a user keeps repeating a submission or a cancellation.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);
/// What a controller computes between a read and its answer, with room.
const COMPUTE_TIME: Duration = Duration::from_millis(5);

/// One answer: when its request reached the controller, and when the answer left.
#[derive(Debug)]
struct AnswerRecord {
    job: usize,
    controller: usize,
    sent_at: Instant,
    answered_at: Instant,
    answer: JobAnswer,
}

/// How often what the test is about happened: too rarely and it shows nothing.
#[derive(Default, Debug)]
struct Coverage {
    /// Answers to requests sent within 50 ms after another answer first told that the job
    /// was accepted, done or cancelled.
    close: usize,
    /// Answers of which a newer one left elsewhere while they were worked out.
    overtaken: usize,
    unavailable: usize,
    cancelled: usize,
    done: usize,
    /// Jobs that ended within a quarter of a second of a user's cancellation.
    cancelled_at_end: usize,
    /// Calls to the state service that were slow, and transactions without an answer:
    /// carried out at once, or late.
    slow: usize,
    lost: usize,
    late: usize,
}

struct Scenario {
    cluster: Rc<Cluster>,
    controllers: Vec<Controller>,
    answers: RefCell<Vec<AnswerRecord>>,
    unavailable: Cell<usize>,
    /// Jobs whose cancellation a user asked for, and those that ended.
    asked_to_cancel: RefCell<Vec<(usize, Instant)>>,
    ended: RefCell<Vec<(usize, Instant)>>,
}

impl Scenario {
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.cluster.rng.borrow_mut().random_range(range)
    }

    fn chance(&self, probability: f64) -> bool {
        self.cluster.rng.borrow_mut().random_bool(probability)
    }

    async fn pause(&self, ms: std::ops::Range<u64>) {
        let ms = self.draw(ms);
        sleep(Duration::from_millis(ms)).await;
    }

    fn asks_to_cancel(&self, job: usize) {
        self.asked_to_cancel
            .borrow_mut()
            .push((job, Instant::now()));
    }

    /// A user's call at any controller, and its answer, if there is one.
    async fn call(&self, job: usize, call: &'static str) -> Option<JobAnswer> {
        let controller = self.draw(0..self.controllers.len() as u64) as usize;
        let (method, path, body) = match call {
            "submit" => (Method::POST, "/work".to_string(), submission(job)),
            "poll" => (Method::GET, format!("/work/{}", id(job)), String::new()),
            _ => (
                Method::POST,
                format!("/work/{}/cancel", id(job)),
                String::new(),
            ),
        };
        let sent_at = Instant::now();
        let called = self.controllers[controller].call(method, &path, &body);
        let (status, body) = called.await;
        let text = String::from_utf8_lossy(&body).to_string();
        let Some(answer) = JobAnswer::read(status, &text) else {
            self.unavailable.set(self.unavailable.get() + 1);
            return None;
        };
        let answered_at = Instant::now();
        self.answers.borrow_mut().push(AnswerRecord {
            job,
            controller,
            sent_at,
            answered_at,
            answer,
        });
        Some(answer)
    }

    /// Repeats a call, as users do, until it says what it should.
    async fn until(&self, job: usize, call: &'static str, least: JobAnswer) -> bool {
        let first_sent_at = Instant::now();
        while first_sent_at.elapsed() < RETRY_TIMEOUT {
            if self.call(job, call).await.is_some_and(|t| t >= least) {
                return true;
            }
            self.pause(1000..1500).await;
        }
        false
    }

    /// Users ask at many controllers within milliseconds, and repeat the submission.
    fn ask_concurrently(self: &Rc<Self>, job: usize, submitted: bool) {
        for _ in 0..self.controllers.len() + 3 {
            let scenario = self.clone();
            let (early, call) = (self.chance(0.7), self.chance(0.75));
            actix_rt::spawn(async move {
                scenario.pause(if early { 0..8 } else { 0..900 }).await;
                let call = if call || !submitted { "poll" } else { "submit" };
                scenario.call(job, call).await;
            });
        }
    }

    /// The leader records that the job is done, as the completion writer does.
    async fn end(self: &Rc<Self>, job: usize) -> bool {
        let id = id(job);
        let key = records::live_key(&id);
        let last = TerminalRecord {
            state: JobState::Done,
            tasks: 2,
            done: 2,
        };
        let version = self.cluster.store.borrow().version(&key);
        if version == 0 {
            return false;
        }
        let txn = Txn::default()
            .when(&key, version)
            .delete(&key)
            .put(&records::terminal_key(&id), &last);
        if self.cluster.store.borrow_mut().apply(&txn).is_err() {
            return false;
        }
        self.ended.borrow_mut().push((job, Instant::now()));
        self.pause(0..40).await;
        self.controllers[0].node.learn_terminal_state(&id, last);
        true
    }

    /// The life of one job.
    async fn run_job(self: Rc<Self>, job: usize) {
        self.pause(0..20_000).await;
        if self.chance(0.5) {
            // Asked about before it is known, and while it is being accepted.
            self.ask_concurrently(job, false);
        }
        if self.chance(0.4) {
            actix_rt::spawn(self.clone().repeat_and_cancel(job));
        }
        if !self.until(job, "submit", JobAnswer::Accepted).await {
            return;
        }
        self.ask_concurrently(job, true);
        if self.chance(0.6) {
            actix_rt::spawn(self.clone().end_soon(job));
        }
        if self.chance(0.6) {
            self.cancel_soon(job).await;
        }
        self.pause(0..4000).await;
        self.ask_concurrently(job, true);
    }

    /// Repeats the submission while the first is under way, elsewhere, and cancels the job
    /// at once.
    async fn repeat_and_cancel(self: Rc<Self>, job: usize) {
        self.pause(0..700).await;
        let answer = self.call(job, "submit").await;
        if answer == Some(JobAnswer::Accepted) && self.chance(0.7) {
            self.asks_to_cancel(job);
            self.call(job, "cancel").await;
            self.ask_concurrently(job, true);
        }
    }

    async fn end_soon(self: Rc<Self>, job: usize) {
        self.pause(0..3000).await;
        if self.end(job).await {
            self.ask_concurrently(job, true);
        }
    }

    /// A user cancels the job, sometimes twice at once.
    async fn cancel_soon(self: &Rc<Self>, job: usize) {
        self.pause(0..3000).await;
        self.asks_to_cancel(job);
        if self.chance(0.3) {
            let scenario = self.clone();
            actix_rt::spawn(async move {
                scenario.call(job, "cancel").await;
            });
        }
        if self.until(job, "cancel", JobAnswer::Done).await {
            self.ask_concurrently(job, true);
        }
    }

    /// Prints the digest of all answers, in the order in which they left.
    fn print_digest(&self, seed: u64) {
        let mut digest = HistoryDigest::default();
        for answered in self.answers.borrow().iter() {
            digest.number(answered.job as u64);
            digest.number(answered.controller as u64);
            digest.number(self.cluster.since_start(answered.sent_at).as_nanos() as u64);
            digest.number(self.cluster.since_start(answered.answered_at).as_nanos() as u64);
            digest.number(answered.answer as u64);
        }
        digest.print("answers", seed);
    }

    fn check(&self, seed: u64, coverage: &mut Coverage) {
        self.print_digest(seed);
        let answers = self.answers.borrow();
        // In the order in which they left.
        for (n, late) in answers.iter().enumerate() {
            let earlier = answers[..n].iter().filter(|e| e.job == late.job);
            check_order(seed, earlier, late, coverage);
            self.check_cause(seed, late);
            coverage.cancelled += usize::from(late.answer == JobAnswer::Cancelled);
            coverage.done += usize::from(late.answer == JobAnswer::Done);
        }
        self.count_coverage(coverage);
    }

    /// A job is cancelled only if a user asked for that, and done only if it ended.
    fn check_cause(&self, seed: u64, late: &AnswerRecord) {
        match late.answer {
            JobAnswer::Cancelled => assert!(
                self.asked_to_cancel
                    .borrow()
                    .iter()
                    .any(|c| c.0 == late.job),
                "seed {seed}: nobody cancelled it: {late:?}"
            ),
            JobAnswer::Done => assert!(
                self.ended.borrow().iter().any(|e| e.0 == late.job),
                "seed {seed}: it has not ended: {late:?}"
            ),
            JobAnswer::Unknown | JobAnswer::Accepted => {}
        }
    }

    fn count_coverage(&self, coverage: &mut Coverage) {
        coverage.unavailable += self.unavailable.get();
        let cancels = self.asked_to_cancel.borrow();
        let close = |a: Instant, b: Instant| {
            let after = a.saturating_duration_since(b);
            after.max(b.saturating_duration_since(a)) < Duration::from_millis(250)
        };
        let ended = self.ended.borrow();
        let cancelled_at_end =
            |(job, at): &&(usize, Instant)| cancels.iter().any(|c| c.0 == *job && close(c.1, *at));
        coverage.cancelled_at_end += ended.iter().filter(cancelled_at_end).count();
        let faults = &self.cluster.faults;
        coverage.slow += faults.slow.get();
        coverage.lost += faults.answer_lost.get();
        coverage.late += faults.late.get();
    }
}

/// Guards against an answer older than one that had left before its request came, or
/// that had left the same controller at all, and against one that was held up for longer
/// than `MAX_READ_AGE`.
fn check_order<'a>(
    seed: u64,
    earlier: impl Iterator<Item = &'a AnswerRecord>,
    late: &AnswerRecord,
    coverage: &mut Coverage,
) {
    let mut newer_left = false;
    for early in earlier {
        let began_later = early.answered_at < late.sent_at;
        let held_up = early.answered_at + MAX_READ_AGE + COMPUTE_TIME < late.answered_at;
        let allowed = early.answer.allows(late.answer);
        let knew_better = early.controller == late.controller;
        assert!(
            allowed || !began_later && !held_up && !knew_better,
            "seed {seed}, job {}: {early:?}, then {late:?}",
            late.job
        );
        let after = late.sent_at.saturating_duration_since(early.answered_at);
        let close = began_later && early.answer > JobAnswer::Unknown;
        coverage.close += usize::from(close && after < Duration::from_millis(50));
        newer_left |= !allowed;
    }
    coverage.overtaken += usize::from(newer_left);
}

/// A scheduler for the leader, which follows the live jobs by its watch.
fn lead(controller: &Controller) {
    let teams = vec![team("vision", 8.0, 16.0)];
    *controller.node.scheduler.borrow_mut() = Some(scheduler(teams, 1, &["m-0"]));
    live_job_watch::follow(controller.node.clone(), 1, 0);
}

async fn play(seed: u64, coverage: &mut Coverage) {
    let count = 3 + (seed % 5) as usize;
    let (cluster, controllers) = Cluster::start(seed, count).await;
    lead(&controllers[0]);
    cluster.rough.set(true);
    let scenario = Rc::new(Scenario {
        cluster,
        controllers,
        answers: RefCell::default(),
        unavailable: Cell::default(),
        asked_to_cancel: RefCell::default(),
        ended: RefCell::default(),
    });
    let jobs = (0..JOBS).map(|job| actix_rt::spawn(scenario.clone().run_job(job)));
    let jobs: Vec<_> = jobs.collect();
    for job in jobs {
        job.await.expect("no panic");
    }
    sleep(Duration::from_secs(5)).await;
    // A job that nobody submitted is never known.
    for _ in 0..9 {
        let answer = scenario.call(JOBS, "poll").await;
        assert!(
            answer.is_none_or(|t| t == JobAnswer::Unknown),
            "seed {seed}"
        );
    }
    scenario.check(seed, coverage);
}

/// Guards against an answer that goes back: a poll that waited for the leader's counts
/// after its read, an acceptance whose answer was held up, a look-up that did not know
/// what its own controller had learnt meanwhile.
#[test]
fn answers_never_go_back() {
    let mut coverage = Coverage::default();
    for seed in seeds(40) {
        block_on(play(seed, &mut coverage));
    }
    println!("{coverage:?}");
    let faults = [
        coverage.slow,
        coverage.lost,
        coverage.late,
        coverage.unavailable,
    ];
    let ends = [coverage.cancelled, coverage.done];
    assert!(
        own_seeds()
            || coverage.close > 1000
                && coverage.overtaken > 20
                && coverage.cancelled_at_end > 10
                && faults.iter().chain(&ends).all(|n| *n > 100),
        "too weak: {coverage:?}"
    );
}
