//! One simulated controller and the iterations of its loops.

use super::*;
use foxspur::coordination::leadership::lease::LeaseStep;
use foxspur::coordination::leadership::state::{Leadership, LeadershipConfig};

/// The state of a controller that leads and has loaded the shard.
#[derive(Clone, Copy)]
pub(crate) struct Acting {
    /// The term of the takeover.
    pub(crate) base_term: u64,
    /// The time since which no former leader can answer a worker; `None` until the leader knows
    /// this.
    pub(crate) former_leaders_stopped_since: Option<f64>,
}

/// The cancelled jobs that a running takeover has read, and the time at which it requested them,
/// by the controller's clock.
#[derive(Default)]
pub(crate) struct JobListing {
    pub(crate) asked_at: f64,
    pub(crate) cancelled_jobs: BTreeSet<u64>,
}

pub(crate) struct Controller {
    pub(crate) leadership: Leadership,
    /// The number of restarts of the process. Events for an earlier process are dropped.
    pub(crate) process: usize,
    pub(crate) clock_offset_s: f64,
    pub(crate) clock_drift: f64,
    pub(crate) wall_clock_error_ms: f64,
    pub(crate) paused_until: f64,
    /// The time until which the network delays or drops the controller's messages.
    pub(crate) partitioned_until: f64,
    /// The time until which the state service refuses the controller.
    pub(crate) refused_until: f64,
    /// The time until which the controller cannot reach the other controllers, although it still
    /// reaches its workers. The state service refuses the controller during the same time.
    pub(crate) isolated_until: f64,
    pub(crate) down_until: f64,
    pub(crate) taking_over: bool,
    /// Requests that have neither been answered nor timed out. A response to any other request is
    /// ignored.
    pub(crate) pending_requests: Vec<u64>,
    /// The number of incarnations drawn so far.
    pub(crate) incarnations: u64,
    pub(crate) acting: Option<Acting>,
    /// Cancellations that this process confirmed to users.
    pub(crate) confirmed_cancellations: ConfirmedCancellations,
    /// Jobs whose terminal state this process has learnt.
    pub(crate) terminal_jobs: BTreeSet<u64>,
    /// Cancellations that the controller's scheduler knows.
    pub(crate) known_cancellations: BTreeSet<u64>,
    pub(crate) job_listing: JobListing,
}

impl Controller {
    /// Draws an incarnation that no controller has had before.
    pub(crate) fn random_incarnation(&mut self, node: usize) -> u64 {
        self.incarnations += 1;
        1000 * self.incarnations + node as u64
    }
}

pub(crate) fn host_name(node: usize) -> String {
    format!("berth-{node}")
}

/// The leadership state of a controller whose process starts.
pub(crate) fn leadership(
    node: usize,
    count: usize,
    incarnation: u64,
    max_without_contact_s: f64,
    staleness_bound_s: f64,
) -> Leadership {
    let peers = (0..count).filter(|peer| *peer != node);
    let config = LeadershipConfig {
        host: host_name(node),
        peers: peers.map(host_name).collect(),
        teams: Vec::new(),
        lease_ttl_s: LEASE_TTL_S,
        max_without_contact_s,
        worker_lease_s: WORKER_LEASE_S,
        staleness_bound_s,
        max_clock_error_ms: CLOCK_BOUND_MS,
    };
    Leadership::new(config, incarnation)
}

impl Simulation {
    /// Starts the loops of the controller's present process at the time `at`.
    pub(crate) fn start_loops(&mut self, node: usize, at: f64) {
        let process = self.controllers[node].process;
        for controller_loop in Loop::ALL {
            let iteration = Event::LoopIteration {
                node,
                process,
                controller_loop,
            };
            self.schedule(at, iteration);
        }
    }

    /// Schedules the next iteration of a loop after `wait_s` seconds.
    pub(crate) fn schedule_loop(&mut self, node: usize, controller_loop: Loop, wait_s: f64) {
        let process = self.controllers[node].process;
        let iteration = Event::LoopIteration {
            node,
            process,
            controller_loop,
        };
        self.schedule(self.now + wait_s, iteration);
    }

    /// Runs one iteration of a loop of the controller.
    pub(crate) fn loop_iteration(&mut self, node: usize, controller_loop: Loop) {
        let now = self.local_time(node);
        match controller_loop {
            Loop::Lease => self.lease_loop_iteration(node, now),
            Loop::Leader => self.leader_loop_iteration(node, now),
            Loop::ControlWatch => self.send(node, Request::ListControlPrefix),
            Loop::JobWatch if self.controllers[node].acting.is_none() => {
                self.schedule_loop(node, controller_loop, 0.3);
            }
            Loop::JobWatch => self.send(node, Request::WatchJobs { asked_at: now }),
        }
    }

    fn lease_loop_iteration(&mut self, node: usize, now: f64) {
        let request = match self.controllers[node].leadership.next_lease_step(now) {
            LeaseStep::Wait => return self.schedule_loop(node, Loop::Lease, 0.2),
            LeaseStep::Grant => Request::Grant,
            LeaseStep::Revoke(lease) => Request::Revoke(lease),
            LeaseStep::WriteAliveKey(write) => Request::WriteAliveKey(write),
            LeaseStep::Renew(lease) => Request::Renew {
                lease,
                asked_at: now,
            },
        };
        self.send(node, request);
    }

    fn leader_loop_iteration(&mut self, node: usize, now: f64) {
        let raises_term = self.rng.random_bool(0.002);
        let update = match self.controllers[node]
            .leadership
            .update_under_new_lease(now)
        {
            None if raises_term || self.rng.random_bool(0.002) => {
                self.controllers[node].leadership.raise_term(now)
            }
            other => other,
        };
        self.react_to_shard_changes(node);
        self.query_peers(node);
        self.mark_former_leaders_fenced(node);
        match update {
            Some(update) => self.send(node, Request::UpdateShard(Box::new(update))),
            None => self.schedule_loop(node, Loop::Leader, LEASE_TTL_S / 10.0),
        }
    }

    pub(crate) fn step_down(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        let incarnation = controller.random_incarnation(node);
        controller.acting = None;
        controller.leadership.step_down(incarnation);
    }

    /// Simulates `react_to_shard_changes` of `loops::shard_changes`.
    pub(crate) fn react_to_shard_changes(&mut self, node: usize) {
        if self.controllers[node].leadership.is_deposed() {
            self.step_down(node);
        }
        let adopted = self.controllers[node].leadership.adopt_raised_term();
        self.counters.adopted_terms += usize::from(adopted.is_some());
        if self.controllers[node].taking_over {
            return;
        }
        let (now, now_ms) = (self.local_time(node), self.wall_ms(node));
        let controller = &mut self.controllers[node];
        if let Some(attempt) = controller.leadership.attempt_takeover(now, now_ms) {
            controller.taking_over = true;
            self.send(node, Request::TakeOver(Box::new(attempt)));
        }
    }

    fn mark_former_leaders_fenced(&mut self, node: usize) {
        let (now, now_ms) = (self.local_time(node), self.wall_ms(node));
        let controller = &mut self.controllers[node];
        let fenced = controller.leadership.former_leaders_fenced(now, now_ms);
        if let Some(acting) = controller.acting.as_mut().filter(|_| fenced) {
            acting.former_leaders_stopped_since.get_or_insert(self.now);
        }
    }

    /// Lets the controller begin its term, after its takeover has read the records of the shard.
    pub(crate) fn shard_loaded(&mut self, node: usize, term: u64) {
        let now = self.local_time(node);
        let controller = &mut self.controllers[node];
        controller.taking_over = false;
        let listing = std::mem::take(&mut controller.job_listing);
        if !controller.leadership.begin_term(term, listing.asked_at) {
            return;
        }
        // The controller's own confirmations to users while it read the records.
        let confirmed = controller
            .confirmed_cancellations
            .within(now - listing.asked_at, now);
        let confirmed = confirmed.into_iter().flatten();
        controller.known_cancellations = listing.cancelled_jobs;
        controller
            .known_cancellations
            .extend(confirmed.filter_map(|id| id.parse::<u64>().ok()));
        let shard = controller.leadership.view.shard.as_ref();
        let no_former_leaders = shard.is_some_and(|(shard, _)| shard.former_leaders.is_empty());
        controller.acting = Some(Acting {
            base_term: term,
            former_leaders_stopped_since: no_former_leaders.then_some(self.now),
        });
    }

    /// Lets the scheduler of a leader learn of a cancellation from a source other than its watch.
    pub(crate) fn learn_cancellation(&mut self, node: usize, job: u64) {
        let in_refusal_outage = self.now < self.refusal_until && self.is_outage();
        let controller = &mut self.controllers[node];
        if controller.acting.is_some() && controller.known_cancellations.insert(job) {
            let refused = controller.refused_until > self.now || in_refusal_outage;
            self.counters.learnt_while_refused += usize::from(refused);
        }
    }
}
