//! The order of events, and what is checked after each.

use super::*;

impl Simulation {
    pub(crate) fn at(&mut self, when: f64, event: Event) {
        let order = self.events.len() as u64;
        self.events.push(Some(event));
        let micros = (when.max(self.now) * 1e6) as u64;
        self.queue.push((Reverse(micros), Reverse(order)));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        // Nothing reaches a controller that stands still until it goes on; what
        // waited for it then comes in any order. One that is down has forgotten.
        let to = match &event {
            Event::Loop(n, start, _) | Event::Reply(n, start, ..) | Event::Loaded(n, start, _) => {
                Some((*n, Some(*start)))
            }
            Event::Ask(_, n, ..)
            | Event::Agreed(n, ..)
            | Event::AskTold(_, n, ..)
            | Event::Told(n, ..) => Some((*n, None)),
            Event::Arrive(..) => None,
        };
        if let Some((n, start)) = to {
            let node = &self.nodes[n];
            if start.is_some_and(|s| s != node.start) || node.down_until > self.now {
                return;
            }
            if node.paused_until > self.now {
                let at = node.paused_until + self.rng.random_range(0.0..0.02);
                return self.at(at, event);
            }
        }
        match event {
            Event::Loop(n, _, each) => self.turn(n, each),
            Event::Arrive(n, start, id, request) => self.arrive(n, start, id, request),
            Event::Reply(n, _, id, request, answer) => {
                let waiting = &mut self.nodes[n].waiting;
                if let Some(at) = waiting.iter().position(|w| *w == id) {
                    waiting.swap_remove(at);
                    self.answered(n, request, answer);
                }
            }
            Event::Ask(from, to, vouch, term, asked_at) => {
                let alone = |n: usize| self.now < self.nodes[n].island_until;
                if alone(from) || alone(to) {
                    return;
                }
                let agrees = match vouch {
                    true => self.nodes[to].tenure.knows_no_later_leader(term),
                    false => {
                        self.nodes[to].tenure.promise(term);
                        self.look(to);
                        true
                    }
                };
                if agrees {
                    let at = (self.now + 0.005).max(self.nodes[to].cut_until);
                    self.at(at, Event::Agreed(from, to, vouch, term, asked_at));
                }
            }
            Event::Agreed(n, peer, vouch, term, asked_at) => {
                let now = self.local(n);
                // Given up after 0.3 s, unless it stood still just then.
                let tenure = &mut self.nodes[n].tenure;
                match vouch {
                    true => tenure.extension_acknowledged(term, &name(peer), asked_at, now),
                    false => tenure.promise_received(term, &name(peer), asked_at, now),
                }
            }
            Event::AskTold(from, to, term, gap_s, asked_at) => {
                let alone = |n: usize| self.now < self.nodes[n].island_until;
                let now = self.local(to);
                let node = &self.nodes[to];
                let speaks = !alone(from) && !alone(to) && node.tenure.may_report_to(term);
                if let Some(over) = node.told.within(gap_s, now).filter(|_| speaks) {
                    let cut_until = node.cut_until;
                    let way = match self.rng.random_bool(0.05) {
                        true => self.rng.random_range(0.1..20.0),
                        false => 0.005,
                    };
                    let at = (self.now + way).max(cut_until);
                    self.at(at, Event::Told(from, to, term, asked_at, over));
                }
            }
            Event::Told(n, peer, term, asked_at, over) => {
                let now = self.local(n);
                let over = over.iter().filter_map(|id| id.parse::<u64>().ok());
                let over: Vec<u64> = over.collect();
                over.into_iter().for_each(|id| self.learns(n, id));
                let node = &mut self.nodes[n];
                node.tenure
                    .cancellations_reported(term, &name(peer), asked_at, now);
            }
            Event::Loaded(n, _, term) => {
                self.nodes[n].claiming = false;
                let (listed_at, listed) = std::mem::take(&mut self.nodes[n].listed);
                if self.nodes[n].tenure.begin_term(term, listed_at) {
                    // What we told users ourselves while we read.
                    let since_s = self.local(n) - listed_at;
                    let ours = self.nodes[n].told.within(since_s, self.local(n));
                    let ours = ours.into_iter().flatten();
                    self.nodes[n].knows = listed;
                    let ours = ours.filter_map(|id| id.parse::<u64>().ok());
                    self.nodes[n].knows.extend(ours);
                    let quiet = self.nodes[n].tenure.view.shard.as_ref();
                    let alone = quiet.is_some_and(|(s, _)| s.former_leaders.is_empty());
                    self.nodes[n].core = Some((term, alone.then_some(self.now)));
                }
            }
        }
    }

    pub(crate) fn check(&self, seed: u64) {
        let awake = |c: &&Controller| c.paused_until <= self.now && c.down_until <= self.now;
        let quiet = |c: &Controller| c.core.filter(|c| c.1.is_some()).map(|c| c.0);
        let settled = self.nodes.iter().filter(awake).filter_map(quiet).max();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some((base, _)) = node.core.filter(|_| awake(&node)) else {
                continue;
            };
            let answers = node.tenure.may_answer_workers(self.local(n));
            assert!(
                !answers || settled.is_none_or(|t| t <= base),
                "seed {seed}, {:.2}: {} answers under term {base}, {settled:?} takes it for silent",
                self.now,
                name(n)
            );
            // A cancellation that was told is known to who renews leases, with time
            // for the last of them to end.
            let early = self.told.iter().rev();
            let early = early.skip_while(|(at, _)| *at >= self.now - self.blind_s * 1.002 - 0.01);
            let unknown = early.take(9).find(|(_, id)| !node.knows.contains(id));
            assert!(
                !answers || unknown.is_none(),
                "seed {seed}, {:.2}: {} answers and does not know of {unknown:?}",
                self.now,
                name(n)
            );
            // Under an older term than its own record's nobody vouches for it.
            let own = node
                .tenure
                .own_shard_version()
                .and(node.tenure.view.shard.as_ref());
            let own = own.map(|(share, _)| share.term);
            assert!(
                own <= node.tenure.acting_term(),
                "seed {seed}, {:.2}: {} acts under {:?}, its record says {own:?}",
                self.now,
                name(n),
                node.tenure.acting_term()
            );
            let lost = self.taken.iter().filter(|t| t.0 > base).map(|t| t.1);
            let lost = lost.fold(f64::MAX, f64::min);
            let confirmed = (node.tenure.confirmed_at() - node.offset) / (1.0 + node.drift);
            assert!(
                confirmed <= lost + 1e-3,
                "seed {seed}, {:.2}: {} of term {base} is sure as of {confirmed:.2}, lost at {lost:.2}",
                self.now,
                name(n)
            );
        }
    }

    /// Adds what each controller takes itself for to the digest of the history.
    fn record(&mut self) {
        self.digest.time(self.now);
        self.digest.number(self.events.len() as u64);
        for n in 0..self.nodes.len() {
            let tenure = &self.nodes[n].tenure;
            let entitled = u64::from(tenure.may_answer_workers(self.local(n)));
            let certain = u64::from(tenure.is_certain_leader(self.local(n)));
            self.digest.number(2 * entitled + certain);
            self.digest.number(tenure.acting_term().unwrap_or(0));
            self.digest.number(tenure.incarnation());
            self.digest.time(tenure.confirmed_at());
        }
    }

    pub(crate) fn play(&mut self, seed: u64, until: f64) {
        let mut beat = 0.0;
        while self.now < until {
            let due = self.queue.peek().map_or(f64::MAX, |e| e.0 .0 as f64 / 1e6);
            self.now = self.now.max(due.min(beat));
            if due <= beat {
                if let Some((_, Reverse(at))) = self.queue.pop() {
                    if let Some(event) = self.events[at as usize].take() {
                        self.handle(event);
                    }
                }
            } else {
                beat += 0.1;
                let away = self.is_away();
                if self.away && !away {
                    self.store.full_time(self.now);
                } else if away && !self.away {
                    self.away_since = self.now;
                }
                if away && self.now - self.away_since > self.blind_s {
                    let goes_on = |n: &usize| {
                        let node = &self.nodes[*n];
                        node.core.is_some() && node.tenure.may_answer_workers(self.local(*n))
                    };
                    self.words += (0..self.nodes.len()).filter(goes_on).count();
                }
                self.away = away;
                if !away {
                    self.store.tick(self.now);
                }
                // Half a minute is left for what is late, and as much to settle.
                self.calm = self.now > until - 120.0;
                let undisturbed = self.undisturbed && self.now < self.gap_until;
                if !self.calm && !undisturbed && self.rng.random_bool(0.015) {
                    self.trouble();
                    // Often the last thing that a controller does before.
                    if self.rng.random_bool(0.5) {
                        self.cancel();
                    }
                }
                if self.rng.random_bool(0.03) {
                    self.cancel();
                }
                let asks = if self.now < self.gap_until { 0.3 } else { 0.03 };
                if self.rng.random_bool(asks) {
                    self.poll();
                }
            }
            self.check(seed);
            self.record();
        }
        let owners = (0..self.nodes.len()).filter(|n| {
            let core = self.nodes[*n].core;
            core.is_some_and(|c| c.1.is_some())
                && self.nodes[*n].tenure.may_answer_workers(self.local(*n))
        });
        assert_eq!(owners.count(), 1, "seed {seed}: owners at the end");
    }
}
