//! Leaders that come and go.

use super::*;

/// A leader, in the process that it thinks leads.
pub(crate) struct Leader {
    pub(crate) scheduler: Scheduler,
    /// Until when it goes on after another one took over.
    pub(crate) until: f64,
}

impl Leader {
    /// The term of its takeover.
    pub(crate) fn base_term(&self) -> u64 {
        self.scheduler.fence.base_term
    }
}

/// A leader hears of a new job.
pub(crate) struct JobNews {
    pub(crate) at: f64,
    /// The leader's base term.
    pub(crate) leader: u64,
    pub(crate) record: LiveJob,
    pub(crate) version: u64,
}

impl Simulation {
    /// The scheduler of the leader of this base term.
    pub(crate) fn scheduler_of(&mut self, base_term: u64) -> Option<&mut Scheduler> {
        self.leaders
            .iter_mut()
            .find(|leader| leader.base_term() == base_term)
            .map(|leader| &mut leader.scheduler)
    }

    /// All leaders tick, place and send what is due.
    pub(crate) fn leaders_step(&mut self) {
        let now = self.now;
        let last = self.leaders.len() - 1;
        self.paused.retain(|_, until| *until > now);
        for leader in 0..self.leaders.len() {
            let base_term = self.leaders[leader].base_term();
            if self.paused.contains_key(&base_term) {
                continue;
            }
            let lost_contact_at = self.leaders[leader].until - LINGER_S;
            let confirmed = if leader == last { now } else { lost_contact_at };
            let scheduler = &mut self.leaders[leader].scheduler;
            scheduler.tick(now, confirmed);
            scheduler.probe_unfenced(now, 64);
            scheduler.place_all(now);
            self.send_direct_calls(leader);
            self.write_completions(leader);
            if leader == last {
                self.real_leader_step(leader);
            }
        }
        self.end_lingering_leaders();
    }

    /// Sends the calls that are due; some are given up, or carried out twice.
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
            let to_worker = |call: Direct, given_up: bool| Message::Call {
                worker,
                leader: base_term,
                call,
                given_up,
            };
            if self.rng.random_bool(0.05) {
                // Given up, and executed late or never.
                let late = self.rng.random_range(1.0..90.0);
                if self.rng.random_bool(0.7) {
                    self.arrive(now + late, to_worker(call.clone(), true));
                }
                let scheduler = &mut self.leaders[leader].scheduler;
                scheduler.direct_call_finished(&name, &call, CallResult::Unknown, now);
            } else {
                if self.rng.random_bool(0.1) {
                    // Carried out, and once more from seconds to several leases later.
                    let late = now + self.rng.random_range(1.0..4.0 * LEASE_S);
                    self.arrive(late, to_worker(call.clone(), true));
                }
                self.send(to_worker(call, false));
            }
        }
    }

    /// What the real leader alone does.
    fn real_leader_step(&mut self, leader: usize) {
        let now = self.now;
        self.write_machine_record(leader);
        self.write_drained(leader);
        let scheduler = &mut self.leaders[leader].scheduler;
        if now >= self.drains_heard_at {
            scheduler.set_drains(&self.drains);
        }
        if scheduler.raise_overdue_tokens(now) {
            self.term += TOKENS_PER_TERM;
            scheduler.raise_term(self.term);
        }
    }

    /// Lingering leaders answer for a bounded time only; the real one learns when it is
    /// alone.
    fn end_lingering_leaders(&mut self) {
        let now = self.now;
        let real = self.leaders.last().map(Leader::base_term);
        self.leaders
            .retain(|leader| Some(leader.base_term()) == real || now < leader.until);
        let alone = self.leaders.len() == 1;
        if let Some(leader) = self.leaders.last_mut() {
            let fence = &mut leader.scheduler.fence;
            if alone && fence.former_leaders_silent_since.is_none() {
                fence.former_leaders_silent_since = Some(now);
            }
        }
    }

    /// Old heartbeats arrive at a new leader: before and after newer ones of their machines.
    fn old_heartbeats_arrive(&mut self) {
        let oldest = self.now - KEPT_S;
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
                self.arrive(at, copy);
            }
        }
    }

    /// Another leader takes over, after a crash of the last one or while that one lingers.
    pub(crate) fn take_over(&mut self, crash: bool) {
        self.note_takeover();
        if self.rng.random_bool(0.5) {
            self.old_heartbeats_arrive();
        }
        self.term += TOKENS_PER_TERM;
        if crash {
            self.leaders.pop();
        } else if let Some(former) = self.leaders.last_mut() {
            former.until = self.now + LINGER_S;
        }
        let silent_since = self.leaders.is_empty().then_some(self.now);
        let scheduler = self.new_scheduler(Fence::new(self.term, silent_since));
        self.leaders.push(Leader {
            scheduler,
            until: f64::MAX,
        });
    }

    /// A scheduler that has read the store.
    fn new_scheduler(&self, fence: Fence) -> Scheduler {
        let teams = TEAMS.iter().zip(self.limits);
        let teams = teams.map(|(name, limit)| team(name, 0.0, limit)).collect();
        let mut scheduler = Scheduler::new(scheduler_config(teams), self.term, fence, self.term);
        scheduler.set_types(&types());
        scheduler.set_drains(&self.drains);
        for info in &self.record {
            scheduler.add_recorded_machine(info.clone(), self.now);
        }
        for stored in self.live.values() {
            let mut record = stored.record.clone();
            record.done = stored.completed.to_text();
            scheduler.add_job(record, stored.version, CompletedTasks::default());
        }
        scheduler
    }

    /// Leaders hear of new jobs.
    pub(crate) fn hear_of_jobs(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.unheard);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|news| news.at <= now);
        self.unheard = later;
        for news in due {
            // Changes come in order: one that is over is not news any more.
            if self.live.contains_key(&news.record.spec.id) {
                if let Some(scheduler) = self.scheduler_of(news.leader) {
                    scheduler.add_job(news.record, news.version, CompletedTasks::default());
                }
            }
        }
    }

    /// An operator cordons a machine, or uncordons it, often early.
    pub(crate) fn drain_or_undrain(&mut self, workers: usize) {
        let host = format!("m-{}", self.rng.random_range(0..workers));
        self.version += 1;
        if self.drains.remove(&host).is_none() {
            let soon = self.rng.random_range(0.0..30.0);
            let drain = Drain {
                host: host.clone(),
                order: "o".into(),
                by: "someone".into(),
                why: "a test".into(),
                at_ms: 0,
                deadline_ms: Some(((self.now + soon) * 1000.0) as u64),
                rest: if self.rng.random_bool(0.5) {
                    Rest::Stop
                } else {
                    Rest::Leave
                },
                drained: None,
                roll: None,
            };
            self.drains.insert(host, (drain, self.version));
        }
        self.drains_heard_at = self.now + self.rng.random_range(0.0..3.0);
    }
}
