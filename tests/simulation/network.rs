//! The network between leaders and workers: it delays, drops, holds back and repeats.

use super::*;
use foxspur::coordination::scheduler::machine::MessageId;

impl Simulation {
    pub(crate) fn delay(&mut self) -> f64 {
        match self.rng.random_range(0..40) {
            0 => self.rng.random_range(5.0..60.0),
            1..4 => self.rng.random_range(0.5..5.0),
            _ => 0.01,
        }
    }

    /// Adds a message to the digest of the history.
    fn record(&mut self, message: &Message) {
        let (kind, worker, base) = match message {
            Message::Hello(w, base, ..) => (0, *w, *base),
            Message::Answer(w, session, ..) => (1, *w, *session),
            Message::Direct(w, base, ..) => (2, *w, *base),
            Message::Called(w, base, ..) => (3, *w, *base),
        };
        let body = match message {
            Message::Hello(_, _, report, _) => serde_json::to_vec(report),
            Message::Answer(_, _, _, reply) => serde_json::to_vec(reply),
            Message::Direct(_, _, call, _) | Message::Called(_, _, call, _) => {
                serde_json::to_vec(call)
            }
        };
        self.digest.time(self.now);
        self.digest.number(kind);
        self.digest.number(worker as u64);
        self.digest.number(base);
        self.digest
            .bytes(&body.expect("a message that can be written"));
    }

    pub(crate) fn send(&mut self, message: Message) {
        self.record(&message);
        let w = match &message {
            Message::Hello(w, ..)
            | Message::Answer(w, ..)
            | Message::Direct(w, ..)
            | Message::Called(w, ..) => *w,
        };
        let mut at = self.now + self.delay();
        if self.workers[w].deaf_until > self.now {
            match message {
                Message::Answer(..) | Message::Direct(_, _, _, true) => return,
                Message::Direct(w, base, call, false) => {
                    let given_up = Message::Called(w, base, call, CallResult::Unknown);
                    self.wire.push((self.now + 4.0, given_up));
                    return;
                }
                Message::Hello(..) | Message::Called(..) => {}
            }
        }
        let cut = self.workers[w].cut_until.max(self.cut_by_zone(w, &message));
        if cut > self.now {
            // Held back, or lost: a caller then only learns that time is up.
            if self.rng.random_bool(0.5) {
                if let Message::Direct(w, base, call, false) | Message::Called(w, base, call, _) =
                    message
                {
                    let given_up = Message::Called(w, base, call, CallResult::Unknown);
                    self.wire.push((self.now + 4.0, given_up));
                }
                return;
            }
            at = at.max(cut);
        }
        // Every call has a timeout; what comes later is executed all the same.
        let give_up = self.now + 4.0;
        let message = match message {
            Message::Direct(w, base, call, false) if at > give_up => {
                let given_up = Message::Called(w, base, call.clone(), CallResult::Unknown);
                self.wire.push((give_up, given_up));
                Message::Direct(w, base, call, true)
            }
            Message::Called(w, base, call, _) if at > give_up => {
                at = give_up;
                Message::Called(w, base, call, CallResult::Unknown)
            }
            other => other,
        };
        self.wire.push((at, message));
    }

    /// Until when a message of an owner outside a cut zone does not get through.
    fn cut_by_zone(&self, w: usize, message: &Message) -> f64 {
        let Some(cut) = self.workers[w].zone_cut else {
            return 0.0;
        };
        match message {
            Message::Direct(_, base, ..) | Message::Called(_, base, ..) if *base != cut.owner => {
                cut.until
            }
            _ => 0.0,
        }
    }

    /// Counts an answer of a former owner in a cut zone.
    fn note_cut_zone(&mut self, w: usize, base: u64) {
        let cut = self.workers[w].zone_cut.filter(|cut| cut.owner == base);
        let long = cut.is_some_and(|c| self.now - c.since > LEASE_S && self.now < c.until);
        self.met.add(Meeting::AnsweredInCutZone, usize::from(long));
    }

    pub(crate) fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut i = 0;
        while i < self.wire.len() {
            if self.wire[i].0 <= now {
                due.push(self.wire.remove(i));
            } else {
                i += 1;
            }
        }
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, message) in due {
            let message = match message {
                Message::Hello(w, LATEST, report, sent) => {
                    let base = self.owners.last().map_or(0, |o| o.0.fence.base_term);
                    Message::Hello(w, base, report, sent)
                }
                other => other,
            };
            let base = match &message {
                Message::Hello(_, base, ..) | Message::Called(_, base, ..) => Some(*base),
                _ => None,
            };
            // What comes while it stands still is read when it goes on, in any
            // order among its connections.
            if let Some(until) = base.and_then(|b| self.paused.get(&b)) {
                let at = until + self.rng.random_range(0.0..0.2);
                self.wire.push((at, message));
                continue;
            }
            match message {
                Message::Hello(w, base, report, sent) => {
                    if sent == COPY {
                        self.note_old_report(w, base, &report);
                    }
                    let answer = match self.owner(base) {
                        Some(scheduler) => scheduler.handle_heartbeat(&report, now),
                        None => continue,
                    };
                    if let (HeartbeatReply::Commands(reply), true) = (answer, sent != COPY) {
                        self.note_cut_zone(w, base);
                        self.send(Message::Answer(w, report.session, sent, reply));
                    }
                }
                Message::Answer(w, session, sent, reply) => {
                    let worker = &mut self.workers[w];
                    let ours = worker.asked.is_some_and(|(at, _)| at == sent);
                    if worker.hung_until > now || !ours || worker.session != session {
                        continue;
                    }
                    worker.asked = None;
                    if reply.token < worker.token {
                        continue;
                    }
                    worker.token = reply.token;
                    worker.renewed = sent;
                    self.execute(w, &reply.commands);
                }
                Message::Direct(w, base, call, known) => {
                    if self.workers[w].hung_until > now {
                        let at = self.workers[w].hung_until + 0.01;
                        if !known {
                            let given_up =
                                Message::Called(w, base, call.clone(), CallResult::Unknown);
                            self.wire.push((now + 4.0, given_up));
                        }
                        self.wire.push((at, Message::Direct(w, base, call, true)));
                        continue;
                    }
                    // A worker that goes on notices its lease first.
                    if now - self.workers[w].renewed > LEASE_S {
                        self.session_over(w);
                    }
                    let fits = call.token >= self.workers[w].token
                        && call.session == self.workers[w].session;
                    self.workers[w].token = self.workers[w].token.max(call.token);
                    if fits {
                        let start = |c: &&Command| matches!(c, Command::Start { .. });
                        let starts = call.commands.iter().filter(start).count();
                        let held = if known { starts } else { 0 };
                        self.met.add(Meeting::HeldStart, held);
                        self.execute(w, &call.commands);
                    }
                    let report = self.report(w);
                    let result = if fits {
                        CallResult::Executed(report)
                    } else {
                        CallResult::Rejected(report)
                    };
                    // Half of the late ones were given up by their sender.
                    if !known {
                        self.send(Message::Called(w, base, call, result));
                    }
                }
                Message::Called(w, base, call, result) => {
                    let name = self.workers[w].id.as_str().into();
                    if let Some(scheduler) = self.owner(base) {
                        scheduler.direct_call_finished(&name, &call, result, now);
                    }
                }
            }
        }
    }

    /// Counts what an old report meets.
    fn note_old_report(&mut self, w: usize, base: u64, report: &Report) {
        let known = self.owners.iter().find(|o| o.0.fence.base_term == base);
        let machine = known.and_then(|(scheduler, _)| scheduler.machines.get(&*report.machine));
        let first = machine.is_some_and(|m| m.last_message == MessageId::NONE);
        let worker = &self.workers[w];
        let gone = |t: &Shown| !worker.tasks.contains_key(&(t.task.clone(), t.attempt));
        let earlier = report.session < worker.session;
        let gone = report.tasks.iter().any(gone);
        self.met.add(Meeting::OldReportFirst, usize::from(first));
        self.met
            .add(Meeting::OldReportOfEarlierSession, usize::from(earlier));
        self.met
            .add(Meeting::OldReportOfGoneTask, usize::from(gone));
    }
}
