//! What goes wrong, and what users ask.

use super::*;

impl Simulation {
    /// The controller stands still from here on, with what it was about to do.
    pub(crate) fn pause(&mut self, n: usize, most_s: f64) {
        let until = self.now + self.rng.random_range(0.2..most_s);
        let node = &mut self.nodes[n];
        node.paused_until = node.paused_until.max(until);
        self.woken_owners += usize::from(node.core.is_some());
    }

    /// The state service refuses the owner alone; users cancel and ask elsewhere and at
    /// the owner; then it is away for all, longer than anyone may go on without knowing.
    pub(crate) fn gap(&mut self, owner: usize) {
        let alone_s = self.rng.random_range(0.2..LIFE_S);
        let away_s = self.rng.random_range(1.0..2.5) * self.blind_s;
        self.nodes[owner].refused_until = self.now + self.rng.random_range(0.2..1.5) * alone_s;
        self.away_from = self.now + alone_s;
        self.away_until = self.away_from + away_s;
        self.gap_until = self.away_until;
        self.undisturbed = self.rng.random_bool(0.5);
        for _ in 0..4 {
            self.cancel();
        }
        match self.rng.random_range(0..7) {
            4 => {
                // A cancellation without an answer is carried out just now, and a poll at
                // the owner finds it: nobody else has told anyone of it.
                self.next_id += 1;
                self.written.insert(self.next_id);
                self.asked_after.push(self.next_id);
                self.nodes[owner].refused_until = self.now;
                self.ask(owner, Request::Poll(self.next_id));
                self.away_from = self.now + 0.05;
            }
            0 => {
                // Who confirmed is back within a second, or stands still.
                let n = self.rng.random_range(0..self.nodes.len());
                self.crash(n);
            }
            1 => self.pause(owner, 2.0 * self.blind_s),
            2 => {
                let n = self.rng.random_range(0..self.nodes.len());
                self.nodes[n].refused_until = self.away_until;
            }
            3 => {
                let n = self.rng.random_range(0..self.nodes.len());
                self.nodes[n].cut_until = self.away_from + 2.0;
            }
            _ => {}
        }
    }

    pub(crate) fn trouble(&mut self) {
        let n = self.rng.random_range(0..self.nodes.len());
        let owner = self.nodes.iter().position(|c| c.core.is_some());
        // Mostly the owner's.
        let n = owner.filter(|_| self.rng.random_bool(0.6)).unwrap_or(n);
        let for_s = self.rng.random_range(0.5..30.0);
        match self.rng.random_range(0..17) {
            15 | 16 => {
                if let Some(owner) = owner.filter(|_| self.now > self.away_until) {
                    self.gap(owner);
                }
            }
            0..5 => self.pause(n, 3.0 * LEASE_S),
            5..7 => self.nodes[n].cut_until = self.now + for_s,
            7..9 => self.nodes[n].refused_until = self.now + for_s,
            9 => (self.away_from, self.away_until) = (self.now, self.now + for_s * 1.5),
            10 => {
                let now = self.local(n);
                self.nodes[n].boots += 1;
                let boot = 1000 * self.nodes[n].boots + n as u64;
                if self.nodes[n].core.take().is_some() {
                    self.nodes[n].tenure.resign(now, boot);
                }
            }
            11 | 12 => {
                // Its successor is often cut in the same way next.
                let also = self.rng.random_range(0..self.nodes.len());
                for n in [n, also] {
                    self.nodes[n].refused_until = self.now + for_s;
                    self.nodes[n].island_until = self.now + for_s;
                    if self.rng.random_bool(0.5) {
                        break;
                    }
                }
            }
            _ => self.crash(n),
        }
    }

    /// Back after a while, or within a fraction of a second, before its lease has ended
    /// and whatever it was about to do.
    pub(crate) fn crash(&mut self, n: usize) {
        let down_s = match self.rng.random_bool(0.7) {
            true => self.rng.random_range(0.01..0.5),
            false => 3.0,
        };
        let (count, quiet_s) = (self.nodes.len(), self.quiet_s);
        let blind_s = self.blind_s;
        let begins = self.local(n) + down_s;
        let node = &mut self.nodes[n];
        node.start += 1;
        node.boots += 1;
        node.core = None;
        node.claiming = false;
        node.waiting.clear();
        node.paused_until = 0.0;
        node.down_until = self.now + down_s;
        node.told = ConfirmedCancellations::since(begins);
        node.finals.clear();
        node.knows.clear();
        node.tenure = tenure(n, count, 1000 * node.boots + n as u64, quiet_s, blind_s);
        let (start, at) = (node.start, node.down_until + 0.01);
        for each in [Loop::Lease, Loop::Mind, Loop::Area, Loop::Live] {
            self.at(at, Event::Loop(n, start, each));
        }
    }

    /// A user cancels a job at some controller.
    pub(crate) fn cancel(&mut self) {
        self.next_id += 1;
        let id = self.next_id;
        self.user(Request::Cancel(id));
        // Who has no answer asks again, at any controller.
        self.asked_after.push(id);
    }

    /// A user calls some controller; one that is away does not hear.
    pub(crate) fn user(&mut self, request: Request) {
        let n = self.rng.random_range(0..self.nodes.len());
        let node = &self.nodes[n];
        if node.down_until <= self.now && node.paused_until <= self.now {
            self.ask(n, request);
        }
    }

    /// Users ask about jobs that they cancelled lately, answered or not.
    pub(crate) fn poll(&mut self) {
        let lately = self.asked_after.len().saturating_sub(6);
        let lately = &self.asked_after[lately..];
        if !lately.is_empty() {
            let id = lately[self.rng.random_range(0..lately.len())];
            self.user(Request::Poll(id));
        }
    }
}
