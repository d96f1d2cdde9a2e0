//! The faults, and the requests of users.

use super::*;

impl Simulation {
    /// Pauses the controller from now on, for a random time of less than `max_pause_s` seconds.
    /// The controller's pending events are handled after the pause.
    pub(crate) fn pause(&mut self, node: usize, max_pause_s: f64) {
        let until = self.now + self.rng.random_range(0.2..max_pause_s);
        let controller = &mut self.controllers[node];
        controller.paused_until = controller.paused_until.max(until);
        self.counters.leader_pauses += usize::from(controller.acting.is_some());
    }

    fn any_controller(&mut self) -> usize {
        self.rng.random_range(0..self.controllers.len())
    }

    /// Lets the state service first refuse only the leader, while users cancel and poll jobs at all
    /// controllers. Then the state service is unavailable for all controllers, for longer than the
    /// staleness bound.
    fn refuse_leader_then_all(&mut self, leader: usize) {
        let only_leader_s = self.rng.random_range(0.2..LEASE_TTL_S);
        let outage_s = self.rng.random_range(1.0..2.5) * self.staleness_bound_s;
        self.controllers[leader].refused_until =
            self.now + self.rng.random_range(0.2..1.5) * only_leader_s;
        self.outage_from = self.now + only_leader_s;
        self.outage_until = self.outage_from + outage_s;
        self.refusal_until = self.outage_until;
        self.refusal_without_other_faults = self.rng.random_bool(0.5);
        for _ in 0..4 {
            self.cancel();
        }
        match self.rng.random_range(0..7) {
            4 => self.poll_late_cancellation(leader),
            0 => {
                // A controller that may have confirmed a cancellation restarts.
                let node = self.any_controller();
                self.crash(node);
            }
            1 => self.pause(leader, 2.0 * self.staleness_bound_s),
            2 => {
                let node = self.any_controller();
                self.controllers[node].refused_until = self.outage_until;
            }
            3 => {
                let node = self.any_controller();
                self.controllers[node].partitioned_until = self.outage_from + 2.0;
            }
            _ => {}
        }
    }

    /// Carries out a cancellation whose response is lost, and lets a user poll the job at the
    /// leader. No other controller has confirmed this cancellation to a user.
    fn poll_late_cancellation(&mut self, leader: usize) {
        self.next_id += 1;
        let job = self.next_id;
        self.cancelled_jobs.insert(job);
        self.requested_cancellations.push(job);
        self.controllers[leader].refused_until = self.now;
        self.send(leader, Request::Poll(job));
        self.outage_from = self.now + 0.05;
    }

    pub(crate) fn cause_fault(&mut self) {
        let any = self.any_controller();
        let leader = self
            .controllers
            .iter()
            .position(|controller| controller.acting.is_some());
        // The leader is affected more often than the others.
        let node = leader.filter(|_| self.rng.random_bool(0.6)).unwrap_or(any);
        let duration_s = self.rng.random_range(0.5..30.0);
        let until = self.now + duration_s;
        match self.rng.random_range(0..17) {
            15 | 16 => {
                if let Some(leader) = leader.filter(|_| self.now > self.outage_until) {
                    self.refuse_leader_then_all(leader);
                }
            }
            0..5 => self.pause(node, 3.0 * WORKER_LEASE_S),
            5..7 => self.controllers[node].partitioned_until = until,
            7..9 => self.controllers[node].refused_until = until,
            9 => (self.outage_from, self.outage_until) = (self.now, self.now + duration_s * 1.5),
            10 => self.resign(node),
            11 | 12 => self.isolate(node, until),
            _ => self.crash(node),
        }
    }

    fn resign(&mut self, node: usize) {
        let now = self.local_time(node);
        let controller = &mut self.controllers[node];
        let incarnation = controller.random_incarnation(node);
        if controller.acting.take().is_some() {
            controller.leadership.resign(now, incarnation);
        }
    }

    /// Isolates the controller, and in half of the cases also a random controller, which may be the
    /// successor of the first.
    fn isolate(&mut self, node: usize, until: f64) {
        let other = self.any_controller();
        for node in [node, other] {
            self.controllers[node].refused_until = until;
            self.controllers[node].isolated_until = until;
            if self.rng.random_bool(0.5) {
                break;
            }
        }
    }

    /// Ends and restarts the controller's process. In most cases the process restarts within half
    /// a second, before its lease has ended and before its last requests arrive; otherwise it
    /// restarts after 3 s.
    fn crash(&mut self, node: usize) {
        let down_s = match self.rng.random_bool(0.7) {
            true => self.rng.random_range(0.01..0.5),
            false => 3.0,
        };
        let count = self.controllers.len();
        let starts_at = self.local_time(node) + down_s;
        let controller = &mut self.controllers[node];
        let incarnation = controller.random_incarnation(node);
        controller.process += 1;
        controller.acting = None;
        controller.taking_over = false;
        controller.pending_requests.clear();
        controller.paused_until = 0.0;
        controller.down_until = self.now + down_s;
        controller.confirmed_cancellations = ConfirmedCancellations::starting_at(starts_at);
        controller.terminal_jobs.clear();
        controller.known_cancellations.clear();
        controller.leadership = leadership(
            node,
            count,
            incarnation,
            self.max_without_contact_s,
            self.staleness_bound_s,
        );
        let begin_at = controller.down_until + 0.01;
        self.start_loops(node, begin_at);
    }

    /// Lets a user cancel a job at a random controller.
    pub(crate) fn cancel(&mut self) {
        self.next_id += 1;
        let job = self.next_id;
        self.call_any(Request::Cancel(job));
        // Recorded even if the request is lost: the user then polls the job at any controller.
        self.requested_cancellations.push(job);
    }

    /// Lets a user call a random controller. The call is dropped if that controller is down or
    /// paused.
    fn call_any(&mut self, request: Request) {
        let node = self.any_controller();
        let controller = &self.controllers[node];
        if controller.down_until <= self.now && controller.paused_until <= self.now {
            self.send(node, request);
        }
    }

    /// Lets a user poll a job whose cancellation was requested recently, whether or not the
    /// cancellation was confirmed.
    pub(crate) fn poll(&mut self) {
        let from = self.requested_cancellations.len().saturating_sub(6);
        let recent = &self.requested_cancellations[from..];
        if !recent.is_empty() {
            let job = recent[self.rng.random_range(0..recent.len())];
            self.call_any(Request::Poll(job));
        }
    }
}
