//! Leaders: takeovers, stale leaders, direct calls and operators' drains.

use super::*;

/// A process that acts as leader, whether or not it has been replaced.
pub(crate) struct Leader {
    pub(crate) scheduler: Scheduler,
    /// When the process ends after another leader took over; `f64::MAX` for the current leader.
    pub(crate) ends_at: f64,
}

impl Leader {
    /// The term of the leader's takeover, which identifies the leader.
    pub(crate) fn base_term(&self) -> u64 {
        self.scheduler.fence.base_term
    }
}

/// A message that notifies one leader of a new job.
pub(crate) struct JobAnnouncement {
    /// When the notification arrives.
    pub(crate) arrives_at: f64,
    /// The leader's base term.
    pub(crate) leader: u64,
    pub(crate) record: LiveJob,
    pub(crate) version: u64,
}

impl Simulation {
    /// The scheduler of the leader with this base term; `None` if the leader has ended.
    pub(crate) fn scheduler_of(&mut self, base_term: u64) -> Option<&mut Scheduler> {
        self.leaders
            .iter_mut()
            .find(|leader| leader.base_term() == base_term)
            .map(|leader| &mut leader.scheduler)
    }

    /// Lets each leader that is not paused run its periodic checks, place tasks, and send the calls
    /// and writes that are due.
    pub(crate) fn leaders_step(&mut self) {
        let now = self.now;
        let last = self.leaders.len() - 1;
        self.paused_until.retain(|_, until| *until > now);
        for leader in 0..self.leaders.len() {
            let base_term = self.leaders[leader].base_term();
            if self.paused_until.contains_key(&base_term) {
                continue;
            }
            let lost_contact_at = self.leaders[leader].ends_at - STALE_LEADER_S;
            let confirmed_at = if leader == last { now } else { lost_contact_at };
            let scheduler = &mut self.leaders[leader].scheduler;
            scheduler.tick(now, confirmed_at);
            scheduler.probe_unfenced(now, 64);
            scheduler.place_all(now);
            self.send_direct_calls(leader);
            self.write_completions(leader);
            if leader == last {
                self.current_leader_step(leader);
            }
        }
        self.end_stale_leaders();
    }

    /// Sends the direct calls that are due. Some get no answer, and some are executed twice.
    fn send_direct_calls(&mut self, leader: usize) {
        let now = self.now;
        let base_term = self.leaders[leader].base_term();
        for name in std::mem::take(&mut self.leaders[leader].scheduler.outbox) {
            let scheduler = &mut self.leaders[leader].scheduler;
            let Some((_, call)) = scheduler.next_direct_call(&name, now) else {
                continue;
            };
            let Some(worker) = self.workers.iter().position(|w| *w.id == *name) else {
                continue;
            };
            let to_worker = |call: DirectCommands, timed_out: bool| Message::Call {
                worker,
                leader: base_term,
                call,
                timed_out,
            };
            let calls_are_late = self.counters.calls_are_late();
            if calls_are_late && self.rng.random_bool(0.2) {
                self.hold_up_call(worker, base_term, call);
            } else if self.rng.random_bool(0.05) {
                // The call times out at once, and is executed late or never.
                let delay_s = self.rng.random_range(1.0..90.0);
                if self.rng.random_bool(0.7) {
                    self.schedule_arrival(now + delay_s, to_worker(call.clone(), true));
                }
                let scheduler = &mut self.leaders[leader].scheduler;
                scheduler.direct_call_finished(&name, &call, CallResult::Unknown, now);
            } else {
                if self.rng.random_bool(0.1) {
                    // A copy is executed as well, between a second and four leases later.
                    let copy_at = now + self.rng.random_range(1.0..4.0 * LEASE_S);
                    self.schedule_copy(copy_at, to_worker(call.clone(), true));
                }
                self.send(to_worker(call, false));
            }
        }
    }

    /// The part of a step that only the current leader runs.
    fn current_leader_step(&mut self, leader: usize) {
        let now = self.now;
        self.write_machine_record(leader);
        self.write_drained_machines(leader);
        let scheduler = &mut self.leaders[leader].scheduler;
        if now >= self.drains_announced_at {
            scheduler.set_drains(&self.drains);
        }
        if scheduler.raise_overdue_tokens(now) {
            self.term += TOKENS_PER_TERM;
            scheduler.raise_term(self.term);
        }
    }

    /// Ends the stale leaders whose `ends_at` is reached. Once no other leader is left, records the
    /// time of this in the current leader's fence.
    fn end_stale_leaders(&mut self) {
        let now = self.now;
        let current = self.leaders.last().map(Leader::base_term);
        self.leaders
            .retain(|leader| Some(leader.base_term()) == current || now < leader.ends_at);
        let alone = self.leaders.len() == 1;
        if let Some(leader) = self.leaders.last_mut() {
            let fence = &mut leader.scheduler.fence;
            if alone && fence.former_leaders_stopped_since.is_none() {
                fence.former_leaders_stopped_since = Some(now);
            }
        }
    }

    /// Schedules copies of old heartbeats to arrive at a new leader, some before and some after
    /// newer heartbeats of their machines.
    fn schedule_old_heartbeats(&mut self) {
        let oldest = self.now - HEARTBEAT_HISTORY_S;
        while self.sent_heartbeats.front().is_some_and(|h| h.at < oldest) {
            self.sent_heartbeats.pop_front();
        }
        for _ in 0..self.workers.len() {
            if self.sent_heartbeats.is_empty() || self.rng.random_bool(0.5) {
                continue;
            }
            let n = self.rng.random_range(0..self.sent_heartbeats.len());
            let sent = &self.sent_heartbeats[n];
            let (worker, report) = (sent.worker, sent.report.clone());
            for max_delay_s in [0.1, 10.0] {
                let at = self.now + self.rng.random_range(0.0..max_delay_s);
                let copy = Message::copy_of_heartbeat(worker, report.clone());
                self.schedule_arrival(at, copy);
            }
        }
    }

    /// Lets a new leader take over. With `crash` the current leader ends first; otherwise it keeps
    /// running as a stale leader.
    pub(crate) fn take_over(&mut self, crash: bool) {
        self.count_takeover_coincidences();
        if self.rng.random_bool(0.5) {
            self.schedule_old_heartbeats();
        }
        self.term += TOKENS_PER_TERM;
        if crash {
            self.leaders.pop();
        } else if let Some(former) = self.leaders.last_mut() {
            former.ends_at = self.now + STALE_LEADER_S;
        }
        let silent_since = self.leaders.is_empty().then_some(self.now);
        let scheduler = self.new_scheduler(Fence::new(self.term, silent_since));
        self.leaders.push(Leader {
            scheduler,
            ends_at: f64::MAX,
        });
    }

    /// Creates a scheduler from the contents of the store.
    fn new_scheduler(&self, fence: Fence) -> Scheduler {
        let teams = TEAMS.iter().zip(self.team_limits);
        let teams = teams.map(|(name, limit)| team(name, 0.0, limit)).collect();
        let mut scheduler = Scheduler::new(scheduler_config(teams), self.term, fence, self.term);
        scheduler.set_types(&types());
        scheduler.set_drains(&self.drains);
        for info in &self.machine_record {
            scheduler.add_recorded_machine(info.clone(), self.now);
        }
        for stored in self.live_jobs.values() {
            let mut record = stored.record.clone();
            record.done = stored.completed.to_text();
            scheduler.add_job(record, stored.version, CompletedTasks::default());
        }
        scheduler
    }

    /// Delivers the due notifications of new jobs to the leaders.
    pub(crate) fn deliver_job_announcements(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.pending_announcements);
        let (due, later): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|announcement| announcement.arrives_at <= now);
        self.pending_announcements = later;
        for announcement in due {
            // Leaders receive changes in order, so a job that has ended is not announced any
            // more.
            if self.live_jobs.contains_key(&announcement.record.spec.id) {
                if let Some(scheduler) = self.scheduler_of(announcement.leader) {
                    scheduler.add_job(
                        announcement.record,
                        announcement.version,
                        CompletedTasks::default(),
                    );
                }
            }
        }
    }

    /// Lets an operator drain a random machine. If the machine already has a drain, the operator
    /// ends the drain, often before the machine is drained.
    pub(crate) fn drain_or_undrain(&mut self, workers: usize) {
        let host = format!("m-{}", self.rng.random_range(0..workers));
        self.version += 1;
        if self.drains.remove(&host).is_none() {
            let deadline_in_s = self.rng.random_range(0.0..30.0);
            let drain = Drain {
                host: host.clone(),
                order: "o".into(),
                by: "someone".into(),
                why: "a test".into(),
                at_ms: 0,
                deadline_ms: Some(((self.now + deadline_in_s) * 1000.0) as u64),
                rest: if self.rng.random_bool(0.5) {
                    RemainingWork::Stop
                } else {
                    RemainingWork::Leave
                },
                drained: None,
                roll: None,
            };
            self.drains.insert(host, (drain, self.version));
        }
        self.drains_announced_at = self.now + self.rng.random_range(0.0..3.0);
    }
}
