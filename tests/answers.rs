//! Consistency of the answers to users: a later answer never contradicts an earlier one. Users
//! ask several controllers within milliseconds, while the network and the state service delay
//! or lose transactions and their responses.

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

/// Number of jobs in a scenario.
const JOBS: usize = 14;
/// How long a user repeats an unsuccessful submission or cancellation.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);
/// Upper bound on a controller's computing time between a read and the answer.
const MAX_COMPUTE_TIME: Duration = Duration::from_millis(5);

/// One answer of a controller.
#[derive(Debug)]
struct AnswerRecord {
    job: usize,
    controller: usize,
    /// When the user sent the request; it reaches the controller at once.
    sent_at: Instant,
    /// When the answer left the controller.
    answered_at: Instant,
    answer: JobAnswer,
}

/// How often the critical cases occurred. If these cases are too rare, a passing run proves
/// nothing.
#[derive(Default, Debug)]
struct Coverage {
    /// Pairs of answers about a job in which the second request was sent within 50 ms after the
    /// first answer, which reported the job as accepted, done or cancelled.
    close_pairs: usize,
    /// Answers that were outdated when they left the controller: while such an answer was being
    /// prepared, a newer answer left another controller.
    outdated: usize,
    /// Requests that could not be answered (503).
    unavailable: usize,
    /// Answers that reported the job as cancelled.
    cancelled: usize,
    /// Answers that reported the job as done.
    done: usize,
    /// Jobs that were done within 250 ms before or after a user's request to cancel them.
    cancelled_at_end: usize,
    /// Messages that took at least 500 ms.
    slow_messages: usize,
    /// Calls that the state service executed at once, but whose response was lost.
    lost_responses: usize,
    /// Transactions that the state service executed late and without a response.
    late_transactions: usize,
}

/// A run of one seed: the cluster, the requests of its users, and the answers that they received.
struct Scenario {
    cluster: Rc<Cluster>,
    controllers: Vec<Controller>,
    answers: RefCell<Vec<AnswerRecord>>,
    /// Requests that could not be answered (503).
    unavailable: Cell<usize>,
    /// Jobs that users asked to cancel, and when.
    cancel_requests: RefCell<Vec<(usize, Instant)>>,
    /// Jobs that were recorded as done, and when.
    completions: RefCell<Vec<(usize, Instant)>>,
}

impl Scenario {
    /// Draws a number from a range.
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.cluster.rng.borrow_mut().random_range(range)
    }

    /// Returns true with this probability.
    fn chance(&self, probability: f64) -> bool {
        self.cluster.rng.borrow_mut().random_bool(probability)
    }

    /// Sleeps for a time drawn from a range, in milliseconds.
    async fn sleep_ms(&self, range: std::ops::Range<u64>) {
        let ms = self.draw(range);
        sleep(Duration::from_millis(ms)).await;
    }

    fn record_cancel_request(&self, job: usize) {
        self.cancel_requests
            .borrow_mut()
            .push((job, Instant::now()));
    }

    /// Sends a user's request to a random controller, and records the answer; `None` if the
    /// controller cannot answer now.
    async fn call(&self, job: usize, action: &'static str) -> Option<JobAnswer> {
        let controller = self.draw(0..self.controllers.len() as u64) as usize;
        let (method, path, body) = match action {
            "submit" => (Method::POST, "/work".to_string(), submission(job)),
            "poll" => (Method::GET, format!("/work/{}", id(job)), String::new()),
            _ => (
                Method::POST,
                format!("/work/{}/cancel", id(job)),
                String::new(),
            ),
        };
        let sent_at = Instant::now();
        let response = self.controllers[controller].call(method, &path, &body);
        let (status, body) = response.await;
        let text = String::from_utf8_lossy(&body).to_string();
        let Some(answer) = JobAnswer::parse(status, &text) else {
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

    /// Repeats a request, as users do, until the answer is `expected` or ranks higher. Returns
    /// false if no such answer arrives within the timeout.
    async fn call_until(&self, job: usize, action: &'static str, expected: JobAnswer) -> bool {
        let first_sent_at = Instant::now();
        while first_sent_at.elapsed() < RETRY_TIMEOUT {
            let answer = self.call(job, action).await;
            if answer.is_some_and(|answer| answer >= expected) {
                return true;
            }
            self.sleep_ms(1000..1500).await;
        }
        false
    }

    /// Sends requests about a job to random controllers, most of them within milliseconds: polls,
    /// and, if the job was submitted, repeated submissions.
    fn send_concurrently(self: &Rc<Self>, job: usize, submitted: bool) {
        for _ in 0..self.controllers.len() + 3 {
            let scenario = self.clone();
            let (soon, polls) = (self.chance(0.7), self.chance(0.75));
            actix_rt::spawn(async move {
                scenario.sleep_ms(if soon { 0..8 } else { 0..900 }).await;
                let action = if polls || !submitted {
                    "poll"
                } else {
                    "submit"
                };
                scenario.call(job, action).await;
            });
        }
    }

    /// Records that the job is done, in the same way as the leader's completion writer. Returns
    /// false if the job was not live or its record changed meanwhile.
    async fn complete(self: &Rc<Self>, job: usize) -> bool {
        let id = id(job);
        let key = records::live_key(&id);
        let terminal = TerminalRecord {
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
            .put(&records::terminal_key(&id), &terminal);
        if self.cluster.store.borrow_mut().apply(&txn).is_err() {
            return false;
        }
        self.completions.borrow_mut().push((job, Instant::now()));
        self.sleep_ms(0..40).await;
        self.controllers[0].node.learn_terminal_state(&id, terminal);
        true
    }

    /// Submits a job, polls it, and at random completes or cancels it.
    async fn run_job(self: Rc<Self>, job: usize) {
        self.sleep_ms(0..20_000).await;
        if self.chance(0.5) {
            // Polls arrive before the job is known, and while it is being accepted.
            self.send_concurrently(job, false);
        }
        if self.chance(0.4) {
            actix_rt::spawn(self.clone().resubmit_and_cancel(job));
        }
        if !self.call_until(job, "submit", JobAnswer::Accepted).await {
            return;
        }
        self.send_concurrently(job, true);
        if self.chance(0.6) {
            actix_rt::spawn(self.clone().complete_later(job));
        }
        if self.chance(0.6) {
            self.cancel_later(job).await;
        }
        self.sleep_ms(0..4000).await;
        self.send_concurrently(job, true);
    }

    /// Submits the job once more, possibly while the first submission is in progress at another
    /// controller, and cancels it as soon as it is accepted.
    async fn resubmit_and_cancel(self: Rc<Self>, job: usize) {
        self.sleep_ms(0..700).await;
        let answer = self.call(job, "submit").await;
        if answer == Some(JobAnswer::Accepted) && self.chance(0.7) {
            self.record_cancel_request(job);
            self.call(job, "cancel").await;
            self.send_concurrently(job, true);
        }
    }

    /// Completes the job after up to 3 s, and then sends further requests about it.
    async fn complete_later(self: Rc<Self>, job: usize) {
        self.sleep_ms(0..3000).await;
        if self.complete(job).await {
            self.send_concurrently(job, true);
        }
    }

    /// Cancels the job after up to 3 s, sometimes with two concurrent requests, and then sends
    /// further requests about it.
    async fn cancel_later(self: &Rc<Self>, job: usize) {
        self.sleep_ms(0..3000).await;
        self.record_cancel_request(job);
        if self.chance(0.3) {
            let scenario = self.clone();
            actix_rt::spawn(async move {
                scenario.call(job, "cancel").await;
            });
        }
        if self.call_until(job, "cancel", JobAnswer::Done).await {
            self.send_concurrently(job, true);
        }
    }

    /// Prints the digest of all answers, in the order in which they left.
    fn print_digest(&self, seed: u64) {
        let mut digest = HistoryDigest::default();
        for record in self.answers.borrow().iter() {
            digest.number(record.job as u64);
            digest.number(record.controller as u64);
            digest.number(self.cluster.since_start(record.sent_at).as_nanos() as u64);
            digest.number(self.cluster.since_start(record.answered_at).as_nanos() as u64);
            digest.number(record.answer as u64);
        }
        digest.print("answers", seed);
    }

    /// Checks every answer against the earlier answers about the same job, and counts the
    /// coverage.
    fn check(&self, seed: u64, coverage: &mut Coverage) {
        self.print_digest(seed);
        let answers = self.answers.borrow();
        // The answers are in the order in which they left.
        for (n, later) in answers.iter().enumerate() {
            let earlier = answers[..n].iter().filter(|e| e.job == later.job);
            check_order(seed, earlier, later, coverage);
            self.check_cause(seed, later);
            coverage.cancelled += usize::from(later.answer == JobAnswer::Cancelled);
            coverage.done += usize::from(later.answer == JobAnswer::Done);
        }
        self.count_coverage(coverage);
    }

    /// Checks that a job is reported as cancelled only after a user requested its cancellation,
    /// and as done only after its completion was recorded.
    fn check_cause(&self, seed: u64, record: &AnswerRecord) {
        match record.answer {
            JobAnswer::Cancelled => assert!(
                self.cancel_requests
                    .borrow()
                    .iter()
                    .any(|request| request.0 == record.job),
                "seed {seed}: reported as cancelled without a request to cancel: {record:?}"
            ),
            JobAnswer::Done => assert!(
                self.completions.borrow().iter().any(|c| c.0 == record.job),
                "seed {seed}: reported as done before its completion: {record:?}"
            ),
            JobAnswer::Unknown | JobAnswer::Accepted => {}
        }
    }

    fn count_coverage(&self, coverage: &mut Coverage) {
        coverage.unavailable += self.unavailable.get();
        let cancel_requests = self.cancel_requests.borrow();
        let close = |a: Instant, b: Instant| {
            let gap = a.saturating_duration_since(b);
            gap.max(b.saturating_duration_since(a)) < Duration::from_millis(250)
        };
        let completions = self.completions.borrow();
        let cancelled_at_end = |(job, at): &&(usize, Instant)| {
            cancel_requests
                .iter()
                .any(|c| c.0 == *job && close(c.1, *at))
        };
        coverage.cancelled_at_end += completions.iter().filter(cancelled_at_end).count();
        let faults = &self.cluster.faults;
        coverage.slow_messages += faults.slow.get();
        coverage.lost_responses += faults.answer_lost.get();
        coverage.late_transactions += faults.late.get();
    }
}

/// Checks an answer against the earlier answers about the same job. The answer must not
/// contradict an earlier one that left before this request was sent, that left the same
/// controller, or that left more than `MAX_READ_AGE` before this answer.
fn check_order<'a>(
    seed: u64,
    earlier: impl Iterator<Item = &'a AnswerRecord>,
    later: &AnswerRecord,
    coverage: &mut Coverage,
) {
    let mut outdated = false;
    for earlier in earlier {
        let sent_after = earlier.answered_at < later.sent_at;
        let delayed = earlier.answered_at + MAX_READ_AGE + MAX_COMPUTE_TIME < later.answered_at;
        let consistent = earlier.answer.may_precede(later.answer);
        let same_controller = earlier.controller == later.controller;
        assert!(
            consistent || !sent_after && !delayed && !same_controller,
            "seed {seed}, job {}: {earlier:?}, then {later:?}",
            later.job
        );
        let gap = later.sent_at.saturating_duration_since(earlier.answered_at);
        let known_before = sent_after && earlier.answer > JobAnswer::Unknown;
        coverage.close_pairs += usize::from(known_before && gap < Duration::from_millis(50));
        outdated |= !consistent;
    }
    coverage.outdated += usize::from(outdated);
}

/// Gives the leader a scheduler that follows the live jobs through its watch.
fn start_scheduler(controller: &Controller) {
    let teams = vec![team("vision", 8.0, 16.0)];
    *controller.node.scheduler.borrow_mut() = Some(scheduler(teams, 1, &["m-0"]));
    live_job_watch::watch_live_jobs(controller.node.clone(), 1, 0);
}

/// Runs the scenario of one seed, and checks its answers.
async fn run_seed(seed: u64, coverage: &mut Coverage) {
    let count = 3 + (seed % 5) as usize;
    let (cluster, controllers) = Cluster::start(seed, count).await;
    start_scheduler(&controllers[0]);
    cluster.unreliable_network.set(true);
    let scenario = Rc::new(Scenario {
        cluster,
        controllers,
        answers: RefCell::default(),
        unavailable: Cell::default(),
        cancel_requests: RefCell::default(),
        completions: RefCell::default(),
    });
    let jobs = (0..JOBS).map(|job| actix_rt::spawn(scenario.clone().run_job(job)));
    let jobs: Vec<_> = jobs.collect();
    for job in jobs {
        job.await.expect("the task of the job must not panic");
    }
    sleep(Duration::from_secs(5)).await;
    // A job that was never submitted must be unknown to every controller.
    for _ in 0..9 {
        let answer = scenario.call(JOBS, "poll").await;
        assert!(
            answer.is_none_or(|answer| answer == JobAnswer::Unknown),
            "seed {seed}"
        );
    }
    scenario.check(seed, coverage);
}

/// Guards against an answer that contradicts an earlier one. Possible causes: a poll reads the job
/// and then waits for the leader's task counts, the response to an accepted submission is delayed,
/// or a look-up ignores what its own controller learnt during the read.
#[test]
fn later_answers_never_contradict_earlier_ones() {
    let mut coverage = Coverage::default();
    for seed in seeds(40) {
        block_on(run_seed(seed, &mut coverage));
    }
    println!("{coverage:?}");
    let faults = [
        coverage.slow_messages,
        coverage.lost_responses,
        coverage.late_transactions,
        coverage.unavailable,
    ];
    let ends = [coverage.cancelled, coverage.done];
    assert!(
        seed_range_is_given()
            || coverage.close_pairs > 1000
                && coverage.outdated > 20
                && coverage.cancelled_at_end > 10
                && faults.iter().chain(&ends).all(|n| *n > 100),
        "too few critical cases: {coverage:?}"
    );
}
