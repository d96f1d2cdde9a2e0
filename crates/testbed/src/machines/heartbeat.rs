//! The loop of a worker: it sends heartbeats until its machine is terminated, follows redirects
//! to the leader, and executes the commands in the answers.

use super::{Machines, Pool};
use foxspur_wire::worker::{Redirect, Reply, Report};
use rand::Rng;
use std::time::Duration;

/// How often a worker checks whether its next heartbeat is due.
const TICK: Duration = Duration::from_millis(20);
/// How long a worker waits for the answer to a heartbeat.
const TIMEOUT_S: f64 = 4.0;
/// Backoff before the next controller is tried.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// The action of a worker at one tick.
enum Step {
    /// The machine is terminated.
    Exit,
    Idle,
    Send {
        report: Report,
        send_copy: bool,
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
    /// Index of the controller to which the next heartbeat is sent.
    controller: usize,
    /// When the next heartbeat is due, in seconds since the history began.
    next_due: f64,
}

impl HeartbeatLoop {
    /// Creates the loop of a machine. The first controller is drawn at random.
    pub fn new(machines: Machines, name: String) -> HeartbeatLoop {
        let controller = rand::rng().random_range(0..machines.controllers.len());
        HeartbeatLoop {
            machines,
            name,
            controller,
            next_due: 0.0,
        }
    }

    /// Runs until the machine is terminated.
    pub async fn run(mut self) {
        loop {
            actix_web::rt::time::sleep(TICK).await;
            let now = self.machines.history.now();
            match self.step(now) {
                Step::Exit => return,
                Step::Idle => {}
                Step::Send { report, send_copy } => self.send(report, send_copy, now).await,
            }
        }
    }

    fn step(&self, now: f64) -> Step {
        let workers = &self.machines.site.workers;
        let mut pool = self.machines.lock();
        let inject_copies = now < pool.duplicate_heartbeats_until;
        let Some(machine) = pool.machines.get_mut(&self.name) else {
            return Step::Exit;
        };
        if !machine.can_work(now) {
            return Step::Idle;
        }
        machine.advance(now, workers.lease_s, &self.machines.history);
        if !machine.heartbeat_due(now, self.next_due, workers.report_s) {
            return Step::Idle;
        }
        Step::Send {
            report: machine.heartbeat(),
            send_copy: inject_copies && Machines::draw_duplicate(),
        }
    }

    async fn send(&mut self, report: Report, send_copy: bool, now: f64) {
        let interval_s = self.machines.site.workers.report_s;
        self.next_due = now + interval_s * rand::rng().random_range(0.75..1.25);
        let session = report.session;
        let body = serde_json::to_string(&report).unwrap_or_default();
        if send_copy {
            self.machines.send_late_copy(&body);
        }
        let mut answer = self.exchange(body).await;
        if self.loses_inbound() {
            self.wait_for_timeout(now).await;
            answer = None;
        }
        match answer {
            Some(Answer { status: 200, body }) => self.accept_reply(&body, session, now),
            Some(Answer { status: 421, body }) => self.follow_redirect(&body).await,
            _ => self.try_next_controller().await,
        }
    }

    /// Sends a heartbeat. Returns the answer, or none on an error or timeout.
    async fn exchange(&self, body: String) -> Option<Answer> {
        let request = self.machines.heartbeat_request(self.controller, body);
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        let body = response.bytes().await.ok()?.to_vec();
        Some(Answer { status, body })
    }

    fn loses_inbound(&self) -> bool {
        let now = self.machines.history.now();
        let pool = self.machines.lock();
        let machine = pool.machines.get(&self.name);
        machine.is_some_and(|m| now < m.inbound_lost_until)
    }

    /// Waits until the timeout of a heartbeat sent at `sent_at`, whose answer is lost.
    async fn wait_for_timeout(&self, sent_at: f64) {
        let waited_s = self.machines.history.now() - sent_at;
        let remaining_s = (TIMEOUT_S - waited_s).max(0.0);
        actix_web::rt::time::sleep(Duration::from_secs_f64(remaining_s)).await;
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

    /// Switches to the controller that the answer names, or to the next one if the answer names no
    /// other known controller.
    async fn follow_redirect(&mut self, body: &[u8]) {
        let redirect: Option<Redirect> = serde_json::from_slice(body).ok();
        let leader = redirect.and_then(|redirect| redirect.leader);
        let mut controllers = self.machines.controllers.iter();
        let index = leader.and_then(|name| controllers.position(|c| c.name == name));
        match index.filter(|index| *index != self.controller) {
            Some(index) => {
                self.controller = index;
                self.next_due = 0.0;
            }
            None => self.try_next_controller().await,
        }
    }

    async fn try_next_controller(&mut self) {
        self.controller = (self.controller + 1) % self.machines.controllers.len();
        actix_web::rt::time::sleep(RETRY_BACKOFF).await;
        self.next_due = 0.0;
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
