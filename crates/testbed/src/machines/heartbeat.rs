//! A worker's loop: it sends heartbeats until its machine is terminated, follows redirects to
//! the leader, and carries out the commands in the answers.

use super::{Machines, Pool};
use foxspur_wire::worker::{Redirect, Reply, Report};
use rand::Rng;
use std::time::Duration;

/// How often a worker looks whether its next heartbeat is due.
const TICK: Duration = Duration::from_millis(20);
/// How long a worker waits for an answer.
const TIMEOUT_S: f64 = 4.0;
/// Backoff before another controller is tried.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// What a worker does at a tick.
enum Step {
    /// Its machine is terminated.
    Ended,
    Idle,
    Send {
        report: Report,
        duplicated: bool,
    },
}

/// An HTTP answer to a heartbeat.
struct Answer {
    status: u16,
    body: Vec<u8>,
}

/// The loop of one worker.
pub(super) struct HeartbeatLoop {
    machines: Machines,
    /// The machine's name.
    name: String,
    /// Index of the controller that gets the next heartbeat.
    controller: usize,
    /// When the next one is due, in seconds of the history.
    next: f64,
}

impl HeartbeatLoop {
    /// The loop of a machine, which begins with a controller drawn at random.
    pub fn new(machines: Machines, name: String) -> HeartbeatLoop {
        let controller = rand::rng().random_range(0..machines.controllers.len());
        HeartbeatLoop {
            machines,
            name,
            controller,
            next: 0.0,
        }
    }

    /// Runs until the machine is terminated.
    pub async fn run(mut self) {
        loop {
            actix_web::rt::time::sleep(TICK).await;
            let now = self.machines.history.now();
            match self.step(now) {
                Step::Ended => return,
                Step::Idle => {}
                Step::Send { report, duplicated } => self.send(report, duplicated, now).await,
            }
        }
    }

    fn step(&self, now: f64) -> Step {
        let workers = &self.machines.site.workers;
        let mut pool = self.machines.lock();
        let duplicates = now < pool.duplicate_heartbeats_until;
        let Some(machine) = pool.machines.get_mut(&self.name) else {
            return Step::Ended;
        };
        if !machine.can_work(now) {
            return Step::Idle;
        }
        machine.advance(now, workers.lease_s, &self.machines.history);
        if !machine.heartbeat_due(now, self.next, workers.report_s) {
            return Step::Idle;
        }
        Step::Send {
            report: machine.heartbeat(),
            duplicated: duplicates && Machines::draw_duplicate(),
        }
    }

    async fn send(&mut self, report: Report, duplicated: bool, now: f64) {
        let interval_s = self.machines.site.workers.report_s;
        self.next = now + interval_s * rand::rng().random_range(0.75..1.25);
        let session = report.session;
        let body = serde_json::to_string(&report).unwrap_or_default();
        if duplicated {
            self.machines.send_late_copy(&body);
        }
        let mut answer = self.exchange(body).await;
        if self.is_deaf() {
            self.wait_in_vain(now).await;
            answer = None;
        }
        match answer {
            Some(Answer { status: 200, body }) => self.accept_reply(&body, session, now),
            Some(Answer { status: 421, body }) => self.follow_redirect(&body).await,
            _ => self.try_next_controller().await,
        }
    }

    /// Sends a heartbeat and reads its answer, if there is one in time.
    async fn exchange(&self, body: String) -> Option<Answer> {
        let request = self.machines.heartbeat_request(self.controller, body);
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        let body = response.bytes().await.ok()?.to_vec();
        Some(Answer { status, body })
    }

    fn is_deaf(&self) -> bool {
        let now = self.machines.history.now();
        let pool = self.machines.lock();
        let machine = pool.machines.get(&self.name);
        machine.is_some_and(|m| now < m.deaf_until)
    }

    /// The answer to a heartbeat sent at `sent_at` is lost: waits until its timeout.
    async fn wait_in_vain(&self, sent_at: f64) {
        let waited_s = self.machines.history.now() - sent_at;
        let rest_s = (TIMEOUT_S - waited_s).max(0.0);
        actix_web::rt::time::sleep(Duration::from_secs_f64(rest_s)).await;
    }

    fn accept_reply(&self, body: &[u8], session: u64, sent_at: f64) {
        let Ok(reply) = serde_json::from_slice::<Reply>(body) else {
            return;
        };
        let mut pool = self.machines.lock();
        let Pool { machines, jobs, .. } = &mut *pool;
        if let Some(machine) = machines.get_mut(&self.name) {
            machine.accept_reply(&reply, session, sent_at, jobs, &self.machines.history);
        }
    }

    /// Goes to the controller that the answer names, or to the next one.
    async fn follow_redirect(&mut self, body: &[u8]) {
        let redirect: Option<Redirect> = serde_json::from_slice(body).ok();
        let leader = redirect.and_then(|redirect| redirect.to);
        let mut controllers = self.machines.controllers.iter();
        let known = leader.and_then(|name| controllers.position(|c| c.name == name));
        match known.filter(|known| *known != self.controller) {
            Some(known) => {
                self.controller = known;
                self.next = 0.0;
            }
            None => self.try_next_controller().await,
        }
    }

    async fn try_next_controller(&mut self) {
        self.controller = (self.controller + 1) % self.machines.controllers.len();
        actix_web::rt::time::sleep(RETRY_BACKOFF).await;
        self.next = 0.0;
    }
}

impl Machines {
    pub(super) fn heartbeat_request(
        &self,
        controller: usize,
        body: String,
    ) -> reqwest::RequestBuilder {
        let request = self
            .http
            .post(format!("{}/hello", self.controllers[controller].url));
        request
            .body(body)
            .timeout(Duration::from_secs_f64(TIMEOUT_S))
    }
}
