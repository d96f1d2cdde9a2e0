//! The network between the controllers and the state service, and how the state service carries
//! out each request.

use super::*;
use foxspur::coordination::leadership::takeover::TakeoverAttempt;
use foxspur::storage::records;
use foxspur_testbed::store::{Logged, Refusal};

/// Delay of a message on a network without faults, in seconds.
const DELAY_S: f64 = 0.005;

/// Time for which a watch request waits for changes, in seconds.
const WATCH_TIMEOUT_S: f64 = 20.0;

impl Simulation {
    /// Sends a request to the state service. The controller may be paused before the request
    /// leaves, the network may delay or lose the request, and a request without a response times
    /// out.
    pub(crate) fn send(&mut self, node: usize, request: Request) {
        if !self.without_faults && self.rng.random_bool(0.01) {
            self.pause(node, 3.0 * WORKER_LEASE_S);
        }
        let leaves_at = self.now.max(self.controllers[node].paused_until);
        let arrives_at = self.arrival_time(node, leaves_at);
        self.next_id += 1;
        let id = self.next_id;
        let controller = &mut self.controllers[node];
        let process = controller.process;
        controller.pending_requests.push(id);
        let timeout_s = match request {
            Request::WatchControlPrefix(_) => WATCH_TIMEOUT_S,
            _ => REQUEST_TIMEOUT_S,
        };
        let timed_out = Event::ResponseArrives {
            node,
            process,
            id,
            request: request.clone(),
            response: Response::None,
        };
        self.schedule(leaves_at + timeout_s, timed_out);
        if let Some(arrives_at) = arrives_at {
            let arrives = Event::RequestArrives {
                node,
                process,
                id,
                request,
            };
            self.schedule(arrives_at, arrives);
        }
    }

    /// When a request that leaves the controller at `leaves_at` arrives; `None` if it is lost.
    fn arrival_time(&mut self, node: usize, leaves_at: f64) -> Option<f64> {
        let mut delay_s = DELAY_S;
        if !self.without_faults && self.rng.random_bool(0.02) {
            delay_s = self.rng.random_range(0.5..60.0);
        }
        let partitioned_until = self.controllers[node].partitioned_until;
        if partitioned_until <= leaves_at {
            return Some(leaves_at + delay_s);
        }
        // The request is lost, or it arrives after the partition has ended.
        let lost = self.rng.random_bool(0.4);
        (!lost).then_some(partitioned_until + 0.01)
    }

    pub(crate) fn request_arrives(
        &mut self,
        node: usize,
        process: usize,
        id: u64,
        request: Request,
    ) {
        let refused = self.is_outage() || self.now < self.controllers[node].refused_until;
        if refused {
            if !matches!(request, Request::WatchControlPrefix(_)) {
                self.respond(node, process, id, request, Response::None);
            }
            return;
        }
        let Some(response) = self.carry_out(node, id, &request) else {
            let arrives = Event::RequestArrives {
                node,
                process,
                id,
                request,
            };
            return self.schedule(self.now + 0.1, arrives);
        };
        if !self.loses_response(&request, &response) {
            self.respond(node, process, id, request, response);
        }
    }

    /// Carries a request out and returns the response; `None` for a watch request that has to wait
    /// for changes.
    fn carry_out(&mut self, node: usize, id: u64, request: &Request) -> Option<Response> {
        let now = self.now;
        let response = match request {
            Request::Grant => Response::Lease(self.store.grant(LEASE_TTL_S, now)),
            Request::WriteAliveKey(write) => {
                Response::of(self.store.apply(&write.txn(&host_name(node))))
            }
            Request::ReadOwnAliveKey => self.read(&records::alive_key(&host_name(node))),
            Request::Renew { lease, .. } => match self.store.extend(*lease, now) {
                true => Response::Done(0),
                false => Response::NoLease,
            },
            Request::Revoke(lease) => {
                self.store.end(*lease);
                Response::Done(0)
            }
            Request::TakeOver(attempt) => self.take_over(attempt),
            Request::UpdateShard(update) => Response::of(self.store.apply(&update.txn)),
            Request::ReadShard => self.read(records::SHARD_KEY),
            Request::ReadLeaderAliveKey { leader, .. } => self.read(&records::alive_key(leader)),
            Request::ListControlPrefix => Response::Listed(
                self.store.list(records::CONTROL_PREFIX),
                self.store.revision,
            ),
            Request::WatchControlPrefix(since) => {
                let pending = self.controllers[node].pending_requests.contains(&id);
                return self.changes_since(*since, pending);
            }
            Request::Cancel(job) => {
                self.cancelled_jobs.insert(*job);
                Response::Done(0)
            }
            Request::Poll(job) => match self.cancelled_jobs.contains(job) {
                true => Response::Done(0),
                false => Response::None,
            },
            Request::WatchJobs { .. } => Response::CancelledJobs(self.cancelled_jobs.clone()),
        };
        Some(response)
    }

    fn take_over(&mut self, attempt: &TakeoverAttempt) -> Response {
        let response = Response::of(self.store.apply(&attempt.txn));
        if matches!(response, Response::Done(_)) {
            self.takeovers.push(Takeover {
                term: attempt.shard.term,
                carried_out_at: self.now,
            });
        }
        response
    }

    /// The changes after this revision; `None` if there are no changes and the request is still
    /// pending, so that the request must wait.
    fn changes_since(&self, since: u64, pending: bool) -> Option<Response> {
        let changes = self.store.log.iter().filter(|change| change.0 > since);
        let changes: Vec<Logged> = changes.cloned().collect();
        if changes.is_empty() && pending {
            return None;
        }
        Some(Response::Changes(changes, self.store.revision))
    }

    fn read(&self, key: &str) -> Response {
        Response::Entry(self.store.get(key))
    }

    /// Draws whether the response to a write that was carried out is lost: the other controllers
    /// see the write, while the request times out at its sender.
    fn loses_response(&mut self, request: &Request, response: &Response) -> bool {
        let carried_out = !matches!(
            response,
            Response::Conflict | Response::NoLease | Response::None
        );
        let kind = request.kind_of_write();
        let Some(kind) = kind.filter(|_| carried_out && !self.without_faults) else {
            return false;
        };
        let rarely_sent = matches!(request, Request::UpdateShard(_) | Request::Revoke(_));
        let lost = self.rng.random_bool(if rarely_sent { 0.5 } else { 0.06 });
        if lost {
            *self.counters.lost_responses.entry(kind).or_default() += 1;
        }
        lost
    }

    fn respond(
        &mut self,
        node: usize,
        process: usize,
        id: u64,
        request: Request,
        response: Response,
    ) {
        let mut delay_s = DELAY_S;
        if !self.without_faults && self.rng.random_bool(0.02) {
            delay_s = self.rng.random_range(0.1..3.0);
        }
        let partitioned_until = self.controllers[node].partitioned_until;
        let arrives_at = (self.now + delay_s).max(partitioned_until);
        let arrives = Event::ResponseArrives {
            node,
            process,
            id,
            request,
            response,
        };
        self.schedule(arrives_at, arrives);
    }
}

impl Response {
    /// The response to a transaction.
    fn of(result: Result<u64, Refusal>) -> Response {
        match result {
            Ok(version) => Response::Done(version),
            Err(Refusal::Conflict(_)) => Response::Conflict,
            Err(Refusal::NoLease) => Response::NoLease,
        }
    }
}
