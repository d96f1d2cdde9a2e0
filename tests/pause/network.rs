//! The network to the state service, and what becomes of each request there.

use super::*;

impl Simulation {
    /// Sends a request; it may stand still before it leaves, the way may be
    /// long, and who asked gives up after a while.
    pub(crate) fn ask(&mut self, n: usize, request: Request) {
        if !self.calm && self.rng.random_bool(0.01) {
            self.pause(n, 3.0 * LEASE_S);
        }
        let leaves = self.now.max(self.nodes[n].paused_until);
        let mut way = 0.005;
        if !self.calm && self.rng.random_bool(0.02) {
            way = self.rng.random_range(0.5..60.0);
        }
        let mut arrives = leaves + way;
        if self.nodes[n].cut_until > leaves {
            // Held back, or lost.
            arrives = self.nodes[n].cut_until + 0.01;
            if self.rng.random_bool(0.4) {
                arrives = f64::MAX;
            }
        }
        self.next_id += 1;
        let (id, start) = (self.next_id, self.nodes[n].start);
        self.nodes[n].waiting.push(id);
        let patience = match request {
            Request::Watch(_) => 20.0,
            _ => TIMEOUT_S,
        };
        let given_up = Event::Reply(n, start, id, request.clone(), Answer::Nothing);
        self.at(leaves + patience, given_up);
        if arrives < f64::MAX {
            self.at(arrives, Event::Arrive(n, start, id, request));
        }
    }

    pub(crate) fn arrive(&mut self, n: usize, start: usize, id: u64, request: Request) {
        let now = self.now;
        let refused = self.is_away() || now < self.nodes[n].refused_until;
        if refused {
            if !matches!(request, Request::Watch(_)) {
                self.reply(n, start, id, request, Answer::Nothing);
            }
            return;
        }
        let done = |r: Result<u64, Refusal>| match r {
            Ok(version) => Answer::Done(version),
            Err(Refusal::Conflict(_)) => Answer::Conflict,
            Err(Refusal::NoLease) => Answer::NoLease,
        };
        let answer = match &request {
            Request::Grant => Answer::Lease(self.store.grant(LIFE_S, now)),
            Request::Write(lease, boot, over) => {
                let txn = records::write_alive(&name(n), *boot, *lease, *over);
                done(self.store.apply(&txn))
            }
            Request::OwnKey => Answer::Entry(self.store.get(&records::alive_key(&name(n)))),
            Request::Renew(lease, _) => match self.store.extend(*lease, now) {
                true => Answer::Done(0),
                false => Answer::NoLease,
            },
            Request::End(lease) => {
                self.store.end(*lease);
                Answer::Done(0)
            }
            Request::TakeoverAttempt(claim) => {
                let answer = done(self.store.apply(&claim.txn));
                if matches!(answer, Answer::Done(_)) {
                    self.taken.push((claim.shard.term, now));
                }
                answer
            }
            Request::ShardUpdate(rewrite) => done(self.store.apply(&rewrite.txn)),
            Request::Reread => Answer::Entry(self.store.get(records::SHARD_KEY)),
            Request::AliveOf(host, _) => Answer::Entry(self.store.get(&records::alive_key(host))),
            Request::List => Answer::Listed(
                self.store.list(records::CONTROL_PREFIX),
                self.store.revision,
            ),
            Request::Watch(since) => {
                let since = *since;
                let news = self.store.log.iter().filter(|l| l.0 > since).cloned();
                let news: Vec<Logged> = news.collect();
                if news.is_empty() && self.nodes[n].waiting.contains(&id) {
                    self.at(now + 0.1, Event::Arrive(n, start, id, request));
                    return;
                }
                Answer::News(news, self.store.revision)
            }
            Request::Cancel(id) => {
                self.written.insert(*id);
                Answer::Done(0)
            }
            Request::Poll(id) => match self.written.contains(id) {
                true => Answer::Done(0),
                false => Answer::Nothing,
            },
            Request::Live(_) => Answer::Over(self.written.clone()),
        };
        let carried_out = !matches!(answer, Answer::Conflict | Answer::NoLease | Answer::Nothing);
        if let Some(kind) = request.write().filter(|_| carried_out && !self.calm) {
            // Others see what was written; who asked gives up after a while.
            let rare = matches!(request, Request::ShardUpdate(_) | Request::End(_));
            if self.rng.random_bool(if rare { 0.5 } else { 0.06 }) {
                *self.lost.entry(kind).or_default() += 1;
                return;
            }
        }
        self.reply(n, start, id, request, answer);
    }

    pub(crate) fn reply(
        &mut self,
        n: usize,
        start: usize,
        id: u64,
        request: Request,
        answer: Answer,
    ) {
        let mut way = 0.005;
        if !self.calm && self.rng.random_bool(0.02) {
            way = self.rng.random_range(0.1..3.0);
        }
        let at = (self.now + way).max(self.nodes[n].cut_until);
        self.at(at, Event::Reply(n, start, id, request, answer));
    }
}
