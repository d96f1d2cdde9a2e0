//! Leaders that come and go, and what they write to the store.

use super::*;

impl Simulation {
    pub(crate) fn owner(&mut self, base: u64) -> Option<&mut Scheduler> {
        self.owners
            .iter_mut()
            .map(|o| &mut o.0)
            .find(|c| c.fence.base_term == base)
    }

    pub(crate) fn owners_step(&mut self) {
        let now = self.now;
        let last = self.owners.len() - 1;
        self.paused.retain(|_, until| *until > now);
        for o in 0..self.owners.len() {
            let base = self.owners[o].0.fence.base_term;
            if self.paused.contains_key(&base) {
                continue;
            }
            let core_lost = self.owners[o].1 - LINGER_S;
            {
                let scheduler = &mut self.owners[o].0;
                let confirmed = if o == last { now } else { core_lost };
                scheduler.tick(now, confirmed);
                scheduler.probe_unfenced(now, 64);
                scheduler.place_all(now);
            }
            for name in std::mem::take(&mut self.owners[o].0.outbox) {
                let Some((_, call)) = self.owners[o].0.next_direct_call(&name, now) else {
                    continue;
                };
                let Some(w) = self.workers.iter().position(|w| *w.id == *name) else {
                    continue;
                };
                if self.rng.random_bool(0.05) {
                    // Given up, and executed late or never.
                    let late = self.rng.random_range(1.0..90.0);
                    if self.rng.random_bool(0.7) {
                        self.wire
                            .push((now + late, Message::Direct(w, base, call.clone(), true)));
                    }
                    self.owners[o]
                        .0
                        .direct_call_finished(&name, &call, CallResult::Unknown, now);
                } else {
                    if self.rng.random_bool(0.1) {
                        // Carried out, and once more from seconds to several leases later.
                        let late = now + self.rng.random_range(1.0..4.0 * LEASE_S);
                        let copy = Message::Direct(w, base, call.clone(), true);
                        self.wire.push((late, copy));
                    }
                    self.send(Message::Direct(w, base, call, false));
                }
            }
            // Only the real owner's conditional writes succeed; marks do anyway.
            for id in self.owners[o].0.completions_due(9) {
                let fate = self.fate();
                self.write_marks(o, &id, fate);
            }
            if o == last {
                self.write_record(o);
                let scheduler = &mut self.owners[o].0;
                for (drain, version) in scheduler.proven_drains(0, 9) {
                    let (host, known) = (drain.host.clone(), self.drains.get(&drain.host));
                    if self.rng.random_bool(0.5) && known.is_some_and(|d| d.1 == version) {
                        self.version += 1;
                        self.drains.insert(host.clone(), (drain, self.version));
                        self.hears_at = now + 0.2;
                        self.drained += 1;
                        // It is switched off for a while, perhaps past its lease.
                        let w = self.workers.iter_mut().find(|w| w.id == host);
                        if let Some(w) = w.filter(|_| self.rng.random_bool(0.7)) {
                            w.hung_until = now + self.rng.random_range(1.0..40.0);
                        }
                    }
                }
                if now >= self.hears_at {
                    scheduler.set_drains(&self.drains);
                }
                if scheduler.needs_higher_term(now) {
                    self.term += TOKENS_PER_TERM;
                    scheduler.raise_term(self.term);
                }
            }
        }
        // Lingering owners answer for a bounded time only.
        let last_base = self.owners[last].0.fence.base_term;
        self.owners
            .retain(|(c, until)| c.fence.base_term == last_base || now < *until);
        let alone = self.owners.len() == 1;
        if let Some((scheduler, _)) = self.owners.last_mut() {
            if alone && scheduler.fence.former_leaders_silent_since.is_none() {
                scheduler.fence.former_leaders_silent_since = Some(now);
            }
        }
    }

    fn fate(&mut self) -> Fate {
        match self.rng.random_range(0..100) {
            0..45 => Fate::Refused,
            45..50 => Fate::Late,
            50..58 => Fate::AnswerLost,
            _ => Fate::Answered,
        }
    }

    /// An owner writes what is done of a job, on condition of the version it knows.
    fn write_marks(&mut self, o: usize, id: &Name, fate: Fate) {
        let held = self.unwritten_until.get(&**id);
        if fate == Fate::Refused || held.is_some_and(|until| self.now < *until) {
            return;
        }
        let scheduler = &mut self.owners[o].0;
        let Some((_, marks, version)) = self.live.get(&**id) else {
            scheduler.finish_job(id);
            return;
        };
        let Some(job) = scheduler.jobs.get(id) else {
            return;
        };
        if job.version != *version {
            scheduler.reload_job(id, *version, &marks.clone());
            return;
        }
        let write = LateMarks {
            at: self.now + self.rng.random_range(2.0..12.0),
            job: id.to_string(),
            over_version: *version,
            marks: job.completed.clone(),
            complete: job.is_complete(),
        };
        if fate == Fate::Late {
            if self.rng.random_bool(0.2) {
                let until = write.at + 2.0 * STEP_S;
                self.unwritten_until.insert(write.job.clone(), until);
            }
            self.late_marks.push(write);
            return;
        }
        let (done, complete) = (write.marks.clone(), write.complete);
        self.carry_out_marks(write);
        if fate == Fate::AnswerLost {
            self.met.add(Meeting::MarksAnswerLost, 1);
            return;
        }
        let version = self.version;
        let scheduler = &mut self.owners[o].0;
        scheduler.completions_written(id, &done, version);
        if complete {
            scheduler.finish_job(id);
        }
    }

    /// The store carries out a write of marks; false if its condition fails.
    fn carry_out_marks(&mut self, write: LateMarks) -> bool {
        let Some((_, marks, version)) = self.live.get_mut(&write.job) else {
            return false;
        };
        if *version != write.over_version {
            return false;
        }
        self.version += 1;
        *version = self.version;
        marks.merge(&write.marks);
        if write.complete {
            self.live.remove(&write.job);
            self.over.insert(write.job, (self.now, false));
        }
        true
    }

    /// Writes of marks that were held up arrive at the store.
    pub(crate) fn late_marks_arrive(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.late_marks);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|w| w.at <= now);
        self.late_marks = later;
        for write in due {
            let meeting = match self.carry_out_marks(write) {
                true => Meeting::MarksLateWritten,
                false => Meeting::MarksLateRefused,
            };
            self.met.add(meeting, 1);
        }
    }

    /// The real owner writes its machine record.
    fn write_record(&mut self, o: usize) {
        let lags = self.record_lags_until > self.now && self.rng.random_bool(0.97);
        let fate = self.fate();
        let scheduler = &mut self.owners[o].0;
        if !scheduler.machine_record_dirty || lags || matches!(fate, Fate::Refused | Fate::Late) {
            return;
        }
        self.record = scheduler
            .wanted_machine_record()
            .into_iter()
            .cloned()
            .collect();
        if fate == Fate::AnswerLost {
            self.met.add(Meeting::RecordAnswerLost, 1);
            return;
        }
        scheduler.machine_record_dirty = false;
        scheduler.machine_record_written(&self.record);
    }

    /// Old reports arrive at a new owner: before and after newer ones of their machines.
    fn old_reports_arrive(&mut self) {
        let oldest = self.now - KEPT_S;
        while self.sent_reports.front().is_some_and(|r| r.1 < oldest) {
            self.sent_reports.pop_front();
        }
        for _ in 0..self.workers.len() {
            if self.sent_reports.is_empty() || self.rng.random_bool(0.5) {
                continue;
            }
            let n = self.rng.random_range(0..self.sent_reports.len());
            let (w, _, report) = self.sent_reports[n].clone();
            for most_s in [0.1, 10.0] {
                let at = self.now + self.rng.random_range(0.0..most_s);
                let copy = Message::Hello(w, LATEST, report.clone(), COPY);
                self.wire.push((at, copy));
            }
        }
    }

    pub(crate) fn take_over(&mut self, crash: bool) {
        self.note_takeover();
        if self.rng.random_bool(0.5) {
            self.old_reports_arrive();
        }
        self.term += TOKENS_PER_TERM;
        if crash {
            self.owners.pop();
        } else if let Some(old) = self.owners.last_mut() {
            old.1 = self.now + LINGER_S;
        }
        let quiet = self.owners.is_empty().then_some(self.now);
        let teams = TEAMS.iter().zip(self.limits);
        let teams = teams.map(|(name, limit)| team(name, 0.0, limit)).collect();
        let fence = Fence::new(self.term, quiet);
        let mut scheduler = Scheduler::new(scheduler_config(teams), self.term, fence, self.term);
        scheduler.set_types(&types());
        scheduler.set_drains(&self.drains);
        for info in &self.record {
            scheduler.add_recorded_machine(info.clone(), self.now);
        }
        for (record, marks, version) in self.live.values() {
            let mut record = record.clone();
            record.done = marks.to_text();
            scheduler.add_job(record, *version, CompletedTasks::default());
        }
        self.owners.push((scheduler, f64::MAX));
    }

    /// Owners hear of new jobs.
    pub(crate) fn hear(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unheard)
            .into_iter()
            .partition(|u| u.0 <= now);
        self.unheard = later;
        for (_, base, record, version) in due {
            // Changes come in order: one that is over is not news any more.
            if self.live.contains_key(&record.spec.id) {
                if let Some(scheduler) = self.owner(base) {
                    scheduler.add_job(record, version, CompletedTasks::default());
                }
            }
        }
    }

    /// An operator sets a machine aside, or takes it back, often early.
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
        self.hears_at = self.now + self.rng.random_range(0.0..3.0);
    }
}
