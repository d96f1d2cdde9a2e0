//! How a controller processes each response of the state service.

use super::*;
use foxspur::coordination::leadership::shard_update::ShardUpdate;
use foxspur::coordination::leadership::takeover::TakeoverAttempt;
use foxspur::protocol::state::Entry;
use foxspur::storage::records::ShardRecord;

impl Simulation {
    pub(crate) fn response_received(&mut self, node: usize, request: Request, response: Response) {
        match request {
            Request::Grant
            | Request::WriteAliveKey(_)
            | Request::ReadOwnAliveKey
            | Request::Renew { .. }
            | Request::Revoke(_) => self.lease_response(node, request, response),
            Request::TakeOver(attempt) => self.takeover_response(node, &attempt, &response),
            Request::UpdateShard(update) => self.shard_update_response(node, &update, &response),
            Request::ReadShard => self.shard_response(node, response),
            Request::ReadLeaderAliveKey {
                leader,
                shard_version,
            } => {
                let view = &mut self.controllers[node].leadership.view;
                match response {
                    Response::Entry(Some(entry)) => view.apply_entry(&entry),
                    Response::Entry(None) => view.leader_not_alive(&leader, shard_version),
                    _ => {}
                }
            }
            Request::ListControlPrefix => self.listing_response(node, response),
            Request::WatchControlPrefix(since) => self.watch_response(node, since, response),
            Request::Cancel(job) | Request::Poll(job) => {
                if matches!(response, Response::Done(_)) {
                    let polled = matches!(request, Request::Poll(_));
                    self.cancellation_confirmed(node, job, polled);
                }
            }
            Request::WatchJobs { asked_at } => {
                if let Response::CancelledJobs(jobs) = response {
                    let controller = &mut self.controllers[node];
                    controller.leadership.job_watch_answered(asked_at);
                    controller.known_cancellations.extend(jobs);
                }
                self.schedule_loop(node, Loop::JobWatch, 0.3);
            }
        }
    }

    fn lease_response(&mut self, node: usize, request: Request, response: Response) {
        let leadership = &mut self.controllers[node].leadership;
        match (request, response) {
            (Request::Grant, Response::Lease(lease)) => {
                leadership.lease_granted(lease);
                self.loop_iteration(node, Loop::Lease);
            }
            (Request::WriteAliveKey(write), Response::Done(version)) => {
                leadership.alive_key_written(write, version);
                self.react_to_shard_changes(node);
                self.loop_iteration(node, Loop::Lease);
            }
            (Request::WriteAliveKey(_), Response::Conflict) => {
                self.send(node, Request::ReadOwnAliveKey);
            }
            (Request::ReadOwnAliveKey, response) => {
                if let Response::Entry(entry) = response {
                    leadership.alive_key_read(entry.as_ref());
                }
                self.schedule_loop(node, Loop::Lease, 0.05);
            }
            (Request::Renew { lease, asked_at }, Response::Done(_)) => {
                leadership.lease_renewed(lease, asked_at);
                self.schedule_loop(node, Loop::Lease, LEASE_TTL_S / 5.0);
            }
            (Request::WriteAliveKey(write), Response::NoLease) => {
                self.lease_ended(node, write.lease);
            }
            (Request::Renew { lease, .. }, Response::NoLease) | (Request::Revoke(lease), _) => {
                self.lease_ended(node, lease);
            }
            _ => self.schedule_loop(node, Loop::Lease, 0.2),
        }
    }

    fn lease_ended(&mut self, node: usize, lease: u64) {
        self.controllers[node].leadership.lease_ended(lease);
        self.loop_iteration(node, Loop::Lease);
    }

    fn takeover_response(&mut self, node: usize, attempt: &TakeoverAttempt, response: &Response) {
        let now = self.local_time(node);
        let controller = &mut self.controllers[node];
        let Response::Done(version) = response else {
            controller.taking_over = false;
            return self.send(node, Request::ReadShard);
        };
        let holds = controller
            .leadership
            .takeover_written(attempt, *version, now);
        let loading_s = self.rng.random_range(0.02..2.0);
        if holds {
            controller.job_listing = controller::JobListing {
                asked_at: now,
                cancelled_jobs: self.cancelled_jobs.clone(),
            };
            let loaded = Event::ShardLoaded {
                node,
                process: controller.process,
                term: attempt.shard.term,
            };
            self.schedule(self.now + loading_s, loaded);
        } else {
            controller.taking_over = false;
        }
    }

    fn shard_update_response(&mut self, node: usize, update: &ShardUpdate, response: &Response) {
        if let Response::Done(version) = response {
            let leadership = &mut self.controllers[node].leadership;
            leadership.shard_record_written(update, *version);
        } else {
            self.send(node, Request::ReadShard);
        }
        self.schedule_loop(node, Loop::Leader, 0.05);
    }

    fn shard_response(&mut self, node: usize, response: Response) {
        let Response::Entry(Some(entry)) = response else {
            return;
        };
        let view = &mut self.controllers[node].leadership.view;
        view.apply_entry(&entry);
        let shard_version = view.shard_version();
        let shard = entry.read::<ShardRecord>().ok();
        let leader = shard.map(|shard| shard.leader);
        if let Some(leader) = leader.filter(|leader| *leader != host_name(node)) {
            let request = Request::ReadLeaderAliveKey {
                leader,
                shard_version,
            };
            self.send(node, request);
        }
        self.react_to_shard_changes(node);
    }

    fn listing_response(&mut self, node: usize, response: Response) {
        let Response::Listed(entries, revision) = response else {
            return self.schedule_loop(node, Loop::ControlWatch, 0.2);
        };
        let view = &mut self.controllers[node].leadership.view;
        view.apply_listing(&entries, revision);
        self.react_to_shard_changes(node);
        self.send(node, Request::WatchControlPrefix(revision));
    }

    fn watch_response(&mut self, node: usize, since: u64, response: Response) {
        let mut since = since;
        if let Response::Changes(changes, revision) = response {
            let view = &mut self.controllers[node].leadership.view;
            for (version, key, value) in changes {
                match value {
                    None => view.apply_deletion(&key, version),
                    Some(value) => view.apply_entry(&Entry {
                        key,
                        value,
                        version,
                    }),
                }
            }
            since = revision;
        }
        self.react_to_shard_changes(node);
        self.send(node, Request::WatchControlPrefix(since));
    }

    /// Lets the controller confirm a cancellation to a user, as in `Node::learn_terminal_state`.
    fn cancellation_confirmed(&mut self, node: usize, job: u64, polled: bool) {
        let now = self.local_time(node);
        let is_first = !self
            .confirmed
            .iter()
            .any(|cancellation| cancellation.job == job);
        self.counters.first_confirmed_by_poll += usize::from(is_first && polled);
        let controller = &mut self.controllers[node];
        if controller.terminal_jobs.insert(job) {
            let id = job.to_string();
            controller.confirmed_cancellations.record(&id, now);
            self.learn_cancellation(node, job);
        }
        self.confirmed.push(ConfirmedCancellation {
            confirmed_at: self.now,
            job,
        });
        let only_leader_refused = self.now < self.refusal_until && !self.is_outage();
        self.counters.confirmed_while_refused += usize::from(only_leader_refused);
    }
}
