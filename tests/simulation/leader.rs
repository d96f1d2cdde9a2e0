//! Leaders that come and go, and what they write to the store.

use super::*;

impl World {
    pub(crate) fn owner(&mut self, base: u64) -> Option<&mut Core> {
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
                let core = &mut self.owners[o].0;
                let confirmed = if o == last { now } else { core_lost };
                core.tick(now, confirmed);
                core.probes(now, 64);
                core.place(now);
            }
            for name in std::mem::take(&mut self.owners[o].0.outbox) {
                let Some((_, call)) = self.owners[o].0.direct_call(&name, now) else {
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
                        .called(&name, &call, CallResult::Unknown, now);
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
            for id in self.owners[o].0.marks_due(9) {
                if self.rng.random_bool(0.5) {
                    continue;
                }
                let Some((_, marks, version)) = self.live.get_mut(&*id) else {
                    self.owners[o].0.job_over(&id);
                    continue;
                };
                let Some(job) = self.owners[o].0.jobs.get(&id) else {
                    continue;
                };
                if job.version != *version {
                    let (marks, version) = (marks.clone(), *version);
                    self.owners[o].0.job_reread(&id, version, &marks);
                    continue;
                }
                self.version += 1;
                *version = self.version;
                marks.merge(&job.done);
                let done = job.done.clone();
                let complete = job.complete();
                self.owners[o].0.marks_written(&id, &done, self.version);
                if complete {
                    self.live.remove(&*id);
                    self.over.insert(id.to_string(), (now, false));
                    self.owners[o].0.job_over(&id);
                }
            }
            if o == last {
                let core = &mut self.owners[o].0;
                if core.record_dirty && self.rng.random_bool(0.5) {
                    core.record_dirty = false;
                    self.record = core.wanted_record().into_iter().cloned().collect();
                    let written = self.record.clone();
                    core.record_written(&written);
                }
                for (drain, version) in core.drains_proven(0, 9) {
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
                    core.set_drains(&self.drains);
                }
                if core.wants_new_term(now) {
                    self.term += TOKENS;
                    core.raise_term(self.term);
                }
            }
        }
        // Lingering owners answer for a bounded time only.
        let last_base = self.owners[last].0.fence.base_term;
        self.owners
            .retain(|(c, until)| c.fence.base_term == last_base || now < *until);
        let alone = self.owners.len() == 1;
        if let Some((core, _)) = self.owners.last_mut() {
            if alone && core.fence.quiet_since.is_none() {
                core.fence.quiet_since = Some(now);
            }
        }
    }

    pub(crate) fn take_over(&mut self, crash: bool) {
        self.term += TOKENS;
        if crash {
            self.owners.pop();
        } else if let Some(old) = self.owners.last_mut() {
            old.1 = self.now + LINGER_S;
        }
        let quiet = self.owners.is_empty().then_some(self.now);
        let teams = vec![team("t", 0.0, self.limit)];
        let fence = Fence::new(self.term, quiet);
        let mut core = Core::new(params(teams), self.term, fence, self.term);
        core.set_types(&types());
        core.set_drains(&self.drains);
        for info in &self.record {
            core.inherit(info.clone(), self.now);
        }
        for (record, marks, version) in self.live.values() {
            let mut record = record.clone();
            record.done = marks.to_text();
            core.job_added(record, *version, Marks::default());
        }
        self.owners.push((core, f64::MAX));
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
                if let Some(core) = self.owner(base) {
                    core.job_added(record, version, Marks::default());
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
