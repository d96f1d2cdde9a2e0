//! What silence proves, and what is done about machines that are silent, deaf,
//! failing or about to be taken away.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::{with_margin, Scheduler};

impl Scheduler {
    /// Time passes: silent machines are proven empty, notices handled.
    ///
    /// `confirmed` is when the last successful check that the share is ours
    /// began. A lease that ran out proves a machine empty only if the share
    /// was still ours after that: a new owner may be keeping it alive, and we
    /// would not know without contact to the state service.
    pub fn tick(&mut self, now: f64, confirmed: f64) {
        self.advance_clock(now);
        let lease = with_margin(self.config.lease_s);
        let mut expired = Vec::new();
        let mut fallen = Vec::new();
        for (name, m) in &self.machines {
            if m.status == MachineStatus::Expired {
                continue;
            }
            if m.indexed != (self.usable(m, now) && self.types.contains_key(&m.info.kind)) {
                fallen.push(name.clone());
            }
            // Ours alone counts once the machine has seen our term: from then
            // on it drops the answers of all earlier owners.
            // A session seen in a direct call's answer runs a lease from its
            // beginning, although no report of it was answered yet.
            let last = m
                .answered_at
                .map_or(m.session_seen_at, |t| t.max(m.session_seen_at));
            let last = m.renumbered_at.map_or(last, |t| last.max(t));
            // A machine that was back at once may have begun to count when the call
            // with a start came, which then lives for a lease.
            let flying = m.attempts.values().filter(|a| a.phase.is_none());
            let last = flying.map(|a| a.sent_at).fold(last, f64::max);
            let own = last + lease;
            let from = if m.fenced {
                Some(own.max(m.fenced_at + lease))
            } else {
                // Nothing of ours was started there. What a former owner did is over a
                // lease after the last answer of anyone: the session that lives then
                // began later. (Each session of a machine that hears nobody has a
                // lease of its own, and so would never prove it empty.)
                let answered = m.answered_at.map_or(f64::NEG_INFINITY, |t| t + lease);
                self.fence.empty_from(lease).map(|t| t.max(answered))
            };
            if from.is_some_and(|t| now > t && confirmed > t) && !m.may_still_start() {
                expired.push(name.clone());
            }
        }
        for name in fallen {
            self.update_capacity(&name);
        }
        for name in expired {
            tracing::warn!(machine = %name, term = self.term, "silent for a lease: proven empty");
            self.clear_machine(&name);
            if let Some(m) = self.machines.get_mut(&name) {
                m.status = MachineStatus::Expired;
                m.recorded = false;
                // No former owner answers any more, and what sessions it knew are
                // over: the next one holds up nobody. (A machine that hears nothing
                // never reports under our term; after each lease the whole share
                // would wait for it again.)
                if !m.fenced {
                    m.fenced = true;
                    m.fenced_at = now;
                }
            }
            self.update_capacity(&name);
            self.outbox.swap_remove(&name);
            self.machine_record_dirty = true;
            self.placement_due = true;
        }
        self.probe_suspects(now);
        self.handle_termination_notices(now);
        self.advance_drains(now);
        self.retire_failing_machines(now);
    }

    /// Whether answering the machine any longer is no use: it was told our term again
    /// and again, for a part of a lease, and reports under an older one. As long as it
    /// is answered, its lease may live, with what a former owner started on it, and
    /// the whole share waits for it; so it is left alone until that is over.
    pub(crate) fn is_beyond_reach(&self, name: &str, now: f64) -> bool {
        let m = self.machines.get(name);
        let some_s = self.config.lease_s / 4.0;
        m.is_some_and(|m| {
            let long = m.delivery.doubted_for(now).is_some_and(|s| s > some_s);
            !m.fenced && m.recorded && long && m.delivery.is_given_up()
        })
    }

    /// Silent machines to return before their lease proves them empty: the
    /// cloud's answer is proof too, and much sooner. Without it one machine
    /// that died just before a takeover holds up the whole share, and what ran
    /// on a machine taken without notice waits for a lease. Many silent at
    /// once are a cut, not deaths: those are waited for.
    pub fn machines_given_up(&self, now: f64) -> Vec<String> {
        let silent_s = self.config.silent_s() + self.config.report_s;
        // One that an operator set aside and that was proven empty is switched off
        // for a reason, and holds up nobody.
        let recorded = self.machines.values();
        let recorded = recorded.filter(|m| m.recorded && !self.is_drained(&m.info.id));
        // One that was asked answers within milliseconds; a tenth of a lease
        // covers a busy owner, which hears from a thousand at once. When all
        // but a few have come the rush is over, and the whole share waits for
        // machines that are most likely dead.
        let few = recorded.clone().count() / 64;
        let left = self.unfenced_count().unwrap_or(usize::MAX);
        let unanswered_s = self.config.lease_s / if left <= few { 40.0 } else { 10.0 };
        // What counts is that it was asked and did not answer. That it did not come by
        // itself yet says nothing: its worker waits 4 s for an owner that went silent.
        // (Counted from the takeover, an eighth of a healthy fleet was returned at each
        // takeover where reports come every 0.8 s, with all that ran there.)
        let unanswered = |m: &Machine, s: f64| {
            // A call may fail since we are busy with all the others; when it is made
            // again most have come.
            let asked = m
                .probed_at
                .filter(|_| left <= few || m.unanswered_calls >= 2);
            asked.is_some_and(|t| !m.fenced && self.silent_for(t, now) > s)
        };
        let silent = |m: &&Machine| {
            m.status != MachineStatus::Expired
                && if m.fenced {
                    // One that does not hear: past a lease nothing of value runs there.
                    let deaf_s = m.delivery.doubted_for(now).unwrap_or(0.0);
                    self.silent_for(m.heard_at, now) > silent_s || deaf_s > self.config.lease_s
                } else {
                    unanswered(m, unanswered_s)
                }
        };
        let all = recorded.clone().count();
        let mut found: Vec<&Machine> = recorded.filter(silent).collect();
        // An eighth of the fleet at most. While nothing may be placed the whole
        // share waits for them: a lease of waiting is more than a quarter of the
        // fleet is worth, which is up again after a boot. But not where they are
        // most of a zone, and only after a quarter of a lease without an answer,
        // for a busy owner hears from the last ones late.
        if found.len() > (all / 8).max(1) {
            if self.fence.open || found.len() > all / 4 || self.mostly_one_zone(&found) {
                return Vec::new();
            }
            found.retain(|m| unanswered(m, self.config.lease_s / 4.0));
        }
        found.iter().map(|m| m.info.id.clone()).collect()
    }

    /// Whether these are most of the machines of any zone.
    fn mostly_one_zone(&self, some: &[&Machine]) -> bool {
        some.iter().any(|m| {
            let zone = |o: &&Machine| o.recorded && o.info.zone == m.info.zone;
            let here = some.iter().filter(|o| o.info.zone == m.info.zone).count();
            2 * here > self.machines.values().filter(zone).count()
        })
    }

    /// Zones most of whose machines fell silent together: cut off, most likely.
    /// Their machines go on, so they are not replaced, but do not count either.
    pub fn partitioned_zones(&self, now: f64) -> Vec<String> {
        let silent_s = self.config.silent_s() + self.config.report_s;
        let mut zones: Vec<(&str, usize, usize)> = Vec::new();
        for m in self.machines.values().filter(|m| !m.cordoned) {
            let away =
                self.silent_for(m.heard_at, now) > silent_s || m.is_unreachable(now, silent_s);
            let silent = usize::from(away);
            match zones.iter_mut().find(|z| z.0 == m.info.zone) {
                Some(z) => {
                    z.1 += 1;
                    z.2 += silent;
                }
                None => zones.push((&m.info.zone, 1, silent)),
            }
        }
        // Of two or three machines most may well have died one by one.
        let cut = |z: &&(&str, usize, usize)| z.1 >= 4 && 2 * z.2 > z.1;
        zones.iter().filter(cut).map(|z| z.0.to_string()).collect()
    }

    /// Spot notice: stop what can save, let the short finish.
    fn handle_termination_notices(&mut self, now: f64) {
        let mut stops = Vec::new();
        for (name, m) in &self.machines {
            let Some(at) = m.notice_at else {
                continue;
            };
            for (key, active) in m.live_attempts() {
                let Some(job) = self.jobs.get(&key.task.job) else {
                    continue;
                };
                let ran = active.running_since.map_or(0.0, |t| now - t);
                let left_s = (self.predict(job) - ran).max(0.0);
                let room = at - now;
                let saves = job.spec.checkpoint_s > 0.0;
                if left_s <= room && active.running_since.is_some() {
                    continue;
                }
                if saves || active.running_since.is_none() {
                    stops.push((name.clone(), key.clone(), self.save_grace(&key.task.job)));
                }
            }
        }
        for (name, key, grace) in stops {
            self.stop_attempt(&name, &key, grace);
        }
    }

    /// Machines that fail task after task are taken out of use.
    fn retire_failing_machines(&mut self, _now: f64) {
        let limit = self.config.policy.cordon_errors as usize;
        let bad: Vec<Name> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.status == MachineStatus::Up && !m.cordoned && m.recent_failures.len() >= limit
            })
            .map(|(n, _)| n.clone())
            .collect();
        for name in bad {
            tracing::warn!(machine = %name, "fails its tasks: cordoned");
            self.retire_machine(&name);
        }
    }
}
