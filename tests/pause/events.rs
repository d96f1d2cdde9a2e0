//! The events of the simulation, their queue, and the main loop.

use super::*;
use crate::peers::{AgreementQuery, Call};
use foxspur::coordination::leadership::queries::CancellationQuery;

/// The loops of a controller.
#[derive(Clone, Copy)]
pub(crate) enum Loop {
    Lease,
    Leader,
    ControlWatch,
    JobWatch,
}

impl Loop {
    pub(crate) const ALL: [Loop; 4] = [
        Loop::Lease,
        Loop::Leader,
        Loop::ControlWatch,
        Loop::JobWatch,
    ];
}

pub(crate) enum Event {
    LoopIteration {
        node: usize,
        process: usize,
        controller_loop: Loop,
    },
    /// A request arrives at the state service.
    RequestArrives {
        node: usize,
        process: usize,
        id: u64,
        request: Request,
    },
    /// A response arrives at the controller, or the request times out.
    ResponseArrives {
        node: usize,
        process: usize,
        id: u64,
        request: Request,
        response: Response,
    },
    AgreementAsked {
        call: Call,
        query: AgreementQuery,
    },
    Agreed {
        call: Call,
        query: AgreementQuery,
    },
    ShardLoaded {
        node: usize,
        process: usize,
        term: u64,
    },
    CancellationsAsked {
        call: Call,
        query: CancellationQuery,
    },
    CancellationsReported {
        call: Call,
        term: u64,
        jobs: Vec<String>,
    },
}

/// The controller that receives an event.
struct Target {
    node: usize,
    /// The process for which the event is meant; `None` if any process of the controller
    /// receives it.
    process: Option<usize>,
}

impl Event {
    fn target(&self) -> Option<Target> {
        match self {
            Event::LoopIteration { node, process, .. }
            | Event::ResponseArrives { node, process, .. }
            | Event::ShardLoaded { node, process, .. } => Some(Target {
                node: *node,
                process: Some(*process),
            }),
            Event::AgreementAsked { call, .. } | Event::CancellationsAsked { call, .. } => {
                Some(Target {
                    node: call.to,
                    process: None,
                })
            }
            Event::Agreed { call, .. } | Event::CancellationsReported { call, .. } => {
                Some(Target {
                    node: call.from,
                    process: None,
                })
            }
            Event::RequestArrives { .. } => None,
        }
    }
}

impl Simulation {
    pub(crate) fn schedule(&mut self, at: f64, event: Event) {
        let index = self.events.len() as u64;
        self.events.push(Some(event));
        let micros = (at.max(self.now) * 1e6) as u64;
        self.queue.push((Reverse(micros), Reverse(index)));
    }

    /// Handles an event that is due. A paused controller receives its events after the pause, in
    /// random order. An event for a controller that is down, or for an earlier process, is
    /// dropped.
    pub(crate) fn handle(&mut self, event: Event) {
        if let Some(target) = event.target() {
            let controller = &self.controllers[target.node];
            let for_earlier_process = target
                .process
                .is_some_and(|process| process != controller.process);
            if for_earlier_process || controller.down_until > self.now {
                return;
            }
            if controller.paused_until > self.now {
                let at = controller.paused_until + self.rng.random_range(0.0..0.02);
                return self.schedule(at, event);
            }
        }
        self.dispatch(event);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::LoopIteration {
                node,
                controller_loop,
                ..
            } => self.loop_iteration(node, controller_loop),
            Event::RequestArrives {
                node,
                process,
                id,
                request,
            } => self.request_arrives(node, process, id, request),
            Event::ResponseArrives {
                node,
                id,
                request,
                response,
                ..
            } => {
                let pending = &mut self.controllers[node].pending_requests;
                if let Some(index) = pending.iter().position(|pending_id| *pending_id == id) {
                    pending.swap_remove(index);
                    self.response_received(node, request, response);
                }
            }
            Event::AgreementAsked { call, query } => self.agreement_asked(call, query),
            Event::Agreed { call, query } => self.agreed(call, query),
            Event::ShardLoaded { node, term, .. } => self.shard_loaded(node, term),
            Event::CancellationsAsked { call, query } => self.cancellations_asked(call, query),
            Event::CancellationsReported { call, term, jobs } => {
                self.cancellations_reported(call, term, &jobs);
            }
        }
    }

    /// Runs the simulation up to the time `until`, in seconds.
    pub(crate) fn run(&mut self, seed: u64, until: f64) {
        let mut next_tick = 0.0;
        while self.now < until {
            let due = self
                .queue
                .peek()
                .map_or(f64::MAX, |(Reverse(micros), _)| *micros as f64 / 1e6);
            self.now = self.now.max(due.min(next_tick));
            if due <= next_tick {
                self.handle_next();
            } else {
                next_tick += 0.1;
                self.tick(until);
            }
            self.check(seed);
            self.record();
        }
        self.check_one_leader(seed);
    }

    fn handle_next(&mut self) {
        if let Some((_, Reverse(index))) = self.queue.pop() {
            if let Some(event) = self.events[index as usize].take() {
                self.handle(event);
            }
        }
    }

    /// Advances the state service's time, and draws whether a fault occurs and whether users
    /// cancel or poll jobs.
    fn tick(&mut self, until: f64) {
        self.update_outage();
        // No new faults occur in the last two minutes, so that delayed messages arrive and one
        // leader remains.
        self.without_faults = self.now > until - 120.0;
        let no_other_faults = self.refusal_without_other_faults && self.now < self.refusal_until;
        if !self.without_faults && !no_other_faults && self.rng.random_bool(0.015) {
            self.cause_fault();
            // A request at the same time is often the last one that a controller sends before
            // the fault takes effect.
            if self.rng.random_bool(0.5) {
                self.cancel();
            }
        }
        if self.rng.random_bool(0.03) {
            self.cancel();
        }
        let poll_probability = if self.now < self.refusal_until {
            0.3
        } else {
            0.03
        };
        if self.rng.random_bool(poll_probability) {
            self.poll();
        }
    }

    /// Detects the beginning and the end of an outage, and advances the state service's time while
    /// the state service is available.
    fn update_outage(&mut self) {
        let outage = self.is_outage();
        if self.in_outage && !outage {
            self.store.full_time(self.now);
        } else if outage && !self.in_outage {
            self.outage_began_at = self.now;
        }
        if outage && self.now - self.outage_began_at > self.staleness_bound_s {
            self.counters.answers_due_to_reports += self.answering_leaders().count();
        }
        self.in_outage = outage;
        if !outage {
            self.store.tick(self.now);
        }
    }
}
