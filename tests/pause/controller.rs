//! The controllers' loops, and what follows from each answer.

use super::*;

impl Simulation {
    pub(crate) fn start(&mut self, n: usize) {
        let start = self.nodes[n].start;
        for each in [Loop::Lease, Loop::Mind, Loop::Area, Loop::Live] {
            self.at(self.now + 0.01, Event::Loop(n, start, each));
        }
    }

    /// A loop of the controller goes on.
    pub(crate) fn turn(&mut self, n: usize, each: Loop) {
        let now = self.local(n);
        match each {
            Loop::Lease => {
                let request = match self.nodes[n].tenure.next_lease_step(now) {
                    LeaseStep::Rest => return self.later(n, each, 0.2),
                    LeaseStep::Grant => Request::Grant,
                    LeaseStep::End(lease) => Request::End(lease),
                    LeaseStep::Write { lease, boot, over } => Request::Write(lease, boot, over),
                    LeaseStep::Renew(lease) => Request::Renew(lease, now),
                };
                self.ask(n, request);
            }
            Loop::Mind => {
                let pause = self.rng.random_bool(0.002);
                let rewrite = match self.nodes[n].tenure.reassert(now) {
                    None if pause || self.rng.random_bool(0.002) => {
                        self.nodes[n].tenure.raise_term(now)
                    }
                    other => other,
                };
                self.look(n);
                self.seek(n);
                match rewrite {
                    Some(rewrite) => self.ask(n, Request::ShardUpdate(Box::new(rewrite))),
                    None => self.later(n, each, LIFE_S / 10.0),
                }
            }
            Loop::Area => self.ask(n, Request::List),
            Loop::Live if self.nodes[n].core.is_none() => self.later(n, each, 0.3),
            Loop::Live => self.ask(n, Request::Live(now)),
        }
    }

    pub(crate) fn later(&mut self, n: usize, each: Loop, s: f64) {
        let start = self.nodes[n].start;
        self.at(self.now + s, Event::Loop(n, start, each));
    }

    pub(crate) fn step_down(&mut self, n: usize) {
        self.nodes[n].boots += 1;
        let boot = 1000 * self.nodes[n].boots + n as u64;
        self.nodes[n].core = None;
        self.nodes[n].tenure.step_down(boot);
    }

    pub(crate) fn look(&mut self, n: usize) {
        if self.nodes[n].tenure.is_deposed() {
            self.step_down(n);
        }
        if self.nodes[n].tenure.adopt_raised_term().is_some() {
            self.adopted += 1;
        }
        if self.nodes[n].claiming {
            return;
        }
        let (now, wall) = (self.local(n), self.wall_ms(n));
        if let Some(claim) = self.nodes[n].tenure.attempt_takeover(now, wall) {
            self.nodes[n].claiming = true;
            self.ask(n, Request::TakeoverAttempt(Box::new(claim)));
        }
    }

    pub(crate) fn seek(&mut self, n: usize) {
        let now = self.local(n);
        let vouch = self.nodes[n].tenure.extension_due(now);
        let seeks = self.nodes[n].core.is_some_and(|c| c.1.is_none());
        let promise = match seeks {
            true => self.nodes[n].tenure.promise_due(now),
            false => None,
        };
        for peer in 0..self.nodes.len() {
            let missing = |(term, names): &(u64, Vec<String>)| {
                names.contains(&name(peer)).then_some((false, *term))
            };
            let asks = vouch.map(|term| (true, term));
            let asks = asks.into_iter().chain(promise.as_ref().and_then(missing));
            for (vouch, term) in asks.collect::<Vec<_>>() {
                let lost = self.now < self.nodes[n].cut_until || self.rng.random_bool(0.1);
                if peer != n && !lost {
                    let at = self.now + 0.005;
                    self.at(at, Event::Ask(n, peer, vouch, term, now));
                }
            }
        }
        if let Some((term, gap_s)) = self.nodes[n].tenure.cancellation_query_due(now) {
            for peer in (0..self.nodes.len()).filter(|p| *p != n) {
                let lost = self.now < self.nodes[n].cut_until || self.rng.random_bool(0.1);
                if !lost {
                    let ask = Event::AskTold(n, peer, term, gap_s, now);
                    self.at(self.now + 0.005, ask);
                }
            }
        }
        let quiet = self.nodes[n]
            .tenure
            .former_leaders_fenced(now, self.wall_ms(n));
        let at = self.now;
        if let Some(core) = self.nodes[n].core.as_mut().filter(|_| quiet) {
            core.1.get_or_insert(at);
        }
    }

    pub(crate) fn answered(&mut self, n: usize, request: Request, answer: Answer) {
        let now = self.local(n);
        let tenure = &mut self.nodes[n].tenure;
        match (request, answer) {
            (Request::Grant, Answer::Lease(lease)) => {
                tenure.lease_granted(lease);
                self.turn(n, Loop::Lease);
            }
            (Request::Write(lease, boot, _), Answer::Done(version)) => {
                tenure.alive_written(lease, boot, version);
                self.look(n);
                self.turn(n, Loop::Lease);
            }
            (Request::Write(..), Answer::Conflict) => self.ask(n, Request::OwnKey),
            (Request::OwnKey, answer) => {
                if let Answer::Entry(found) = answer {
                    tenure.alive_read(found.as_ref());
                }
                self.later(n, Loop::Lease, 0.05);
            }
            (Request::Write(lease, ..) | Request::Renew(lease, _), Answer::NoLease)
            | (Request::End(lease), _) => {
                tenure.lease_ended(lease);
                self.turn(n, Loop::Lease);
            }
            (Request::Renew(lease, asked_at), Answer::Done(_)) => {
                tenure.lease_renewed(lease, asked_at);
                self.later(n, Loop::Lease, LIFE_S / 5.0);
            }
            (Request::Grant | Request::Write(..) | Request::Renew(..), _) => {
                self.later(n, Loop::Lease, 0.2);
            }
            (Request::TakeoverAttempt(claim), Answer::Done(version)) => {
                let holds = tenure.takeover_written(&claim, version, now);
                let (start, term) = (self.nodes[n].start, claim.shard.term);
                let s = self.rng.random_range(0.02..2.0);
                if holds {
                    self.nodes[n].listed = (now, self.written.clone());
                    self.at(self.now + s, Event::Loaded(n, start, term));
                } else {
                    self.nodes[n].claiming = false;
                }
            }
            (Request::TakeoverAttempt(_), _) => {
                self.nodes[n].claiming = false;
                self.ask(n, Request::Reread);
            }
            (Request::ShardUpdate(rewrite), answer) => {
                if let Answer::Done(version) = answer {
                    tenure.shard_record_written(&rewrite, version);
                } else {
                    self.ask(n, Request::Reread);
                }
                self.later(n, Loop::Mind, 0.05);
            }
            (Request::Reread, Answer::Entry(Some(entry))) => {
                tenure.view.apply_entry(&entry);
                let seen = tenure.view.shard_version();
                let owner = entry.read::<ShardRecord>().map(|s| s.leader);
                if let Some(owner) = owner.ok().filter(|o| *o != name(n)) {
                    self.ask(n, Request::AliveOf(owner, seen));
                }
                self.look(n);
            }
            (Request::AliveOf(owner, seen), Answer::Entry(found)) => match found {
                Some(entry) => tenure.view.apply_entry(&entry),
                None => tenure.view.leader_not_alive(&owner, seen),
            },
            (Request::Reread | Request::AliveOf(..), _) => {}
            (Request::List, Answer::Listed(entries, revision)) => {
                tenure.view.apply_listing(&entries, revision);
                self.look(n);
                self.ask(n, Request::Watch(revision));
            }
            (Request::Watch(since), answer) => {
                let mut since = since;
                if let Answer::News(news, revision) = answer {
                    for (version, key, value) in news {
                        match value {
                            None => tenure.view.apply_deletion(&key, version),
                            Some(value) => tenure.view.apply_entry(&Entry {
                                key,
                                value,
                                version,
                            }),
                        }
                    }
                    since = revision;
                }
                self.look(n);
                self.ask(n, Request::Watch(since));
            }
            (Request::List, _) => self.later(n, Loop::Area, 0.2),
            (request @ (Request::Cancel(id) | Request::Poll(id)), Answer::Done(_)) => {
                let first = !self.told.iter().any(|(_, told)| *told == id);
                self.found_late += usize::from(first && matches!(request, Request::Poll(_)));
                // As `Node::learnt_final`.
                if self.nodes[n].finals.insert(id) {
                    self.nodes[n].told.record(&id.to_string(), now);
                    self.learns(n, id);
                }
                self.told.push((self.now, id));
                self.gap_told += usize::from(self.now < self.gap_until && !self.is_away());
            }
            (Request::Cancel(_) | Request::Poll(_), _) => {}
            (Request::Live(asked_at), answer) => {
                if let Answer::Over(over) = answer {
                    tenure.job_watch_answered(asked_at);
                    self.nodes[n].knows.extend(over);
                }
                self.later(n, Loop::Live, 0.3);
            }
        }
    }

    /// The core of an owner learns of a cancellation, otherwise than by its watch.
    pub(crate) fn learns(&mut self, n: usize, id: u64) {
        let (now, gap) = (self.now, self.now < self.gap_until && self.is_away());
        let node = &mut self.nodes[n];
        if node.core.is_some() && node.knows.insert(id) {
            let refused = node.refused_until > now || gap;
            self.gap_learnt += usize::from(refused);
        }
    }
}
