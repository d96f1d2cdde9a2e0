//! The order of events.

use super::*;
use crate::peers::{AgreementQuery, Call};
use foxspur::coordination::leadership::queries::CancellationQuery;

/// A loop of a controller.
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
    LoopTurn {
        node: usize,
        process: usize,
        each: Loop,
    },
    /// A request arrives at the state service.
    RequestArrives {
        node: usize,
        process: usize,
        id: u64,
        request: Request,
    },
    /// A response arrives at the controller, or its timeout is over.
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

/// The controller that an event happens to.
struct Target {
    node: usize,
    /// The process that it is meant for, if not for any.
    process: Option<usize>,
}

impl Event {
    fn target(&self) -> Option<Target> {
        match self {
            Event::LoopTurn { node, process, .. }
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
        let order = self.events.len() as u64;
        self.events.push(Some(event));
        let micros = (at.max(self.now) * 1e6) as u64;
        self.queue.push((Reverse(micros), Reverse(order)));
    }

    /// Nothing reaches a controller that is paused until it goes on; what waited for it then
    /// comes in any order. One that is down has forgotten.
    pub(crate) fn handle(&mut self, event: Event) {
        if let Some(target) = event.target() {
            let controller = &self.controllers[target.node];
            let void = target
                .process
                .is_some_and(|process| process != controller.process);
            if void || controller.down_until > self.now {
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
            Event::LoopTurn { node, each, .. } => self.loop_turn(node, each),
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
                if let Some(at) = pending.iter().position(|known| *known == id) {
                    pending.swap_remove(at);
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

    pub(crate) fn play(&mut self, seed: u64, until: f64) {
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
        if let Some((_, Reverse(at))) = self.queue.pop() {
            if let Some(event) = self.events[at as usize].take() {
                self.handle(event);
            }
        }
    }

    /// The state service's time goes on, faults happen, and users ask.
    fn tick(&mut self, until: f64) {
        self.follow_outage();
        // Half a minute is left for what is late, and as much to settle.
        self.calm = self.now > until - 120.0;
        let undisturbed = self.undisturbed && self.now < self.refusal_until;
        if !self.calm && !undisturbed && self.rng.random_bool(0.015) {
            self.cause_fault();
            // Often the last thing that a controller does before.
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

    fn follow_outage(&mut self) {
        let outage = self.is_outage();
        if self.in_outage && !outage {
            self.store.full_time(self.now);
        } else if outage && !self.in_outage {
            self.outage_began_at = self.now;
        }
        if outage && self.now - self.outage_began_at > self.staleness_bound_s {
            self.counters.answers_on_reports += self.answering_leaders().count();
        }
        self.in_outage = outage;
        if !outage {
            self.store.tick(self.now);
        }
    }
}
