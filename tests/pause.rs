//! A seeded simulation of who owns the share: controllers that stand still at
//! any await for up to several leases while their clocks run on, others that
//! take over meanwhile, requests carried out minutes late, cuts, a state service
//! that is away for all or for one, or first for the owner and then for all while
//! users cancel and ask, crashes. It drives the controllers' own
//! `Tenure`; after every event it is checked that
//!
//! - no former owner would answer a worker once a later owner takes it to be
//!   silent, and
//! - no owner takes a check of its ownership for newer than the takeover by
//!   which it lost it, and
//! - no owner would answer a worker without knowing every cancellation that any
//!   user was told of a bounded time ago.

mod common;

use common::{own_seeds, seeds};
use foxspur::coordination::member::cover::Told;
use foxspur::coordination::member::taking::{Claim, Rewrite};
use foxspur::coordination::member::tenure::{LeaseStep, Tenure, Terms};
use foxspur::protocol::state::Entry;
use foxspur::storage::records::{self, Share};
use foxspur_world::store::{Logged, Refusal, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A worker's lease; a controller's own is a quarter of it.
const LEASE_S: f64 = 16.0;
const LIFE_S: f64 = 4.0;
/// How long an owner goes on at most: as long as by default, or so short that
/// a claim carried out late matters.
const QUIET_S: [f64; 3] = [6.0 * LEASE_S, 0.7 * LEASE_S, LEASE_S];
/// For how long an owner answers workers on what it knew of cancellations: as at the
/// fleets' sizes, in lives of its lease.
const BLIND_S: [f64; 4] = [2.4 * LIFE_S, 6.0 * LIFE_S, 2.4 * LIFE_S, 4.0 * LIFE_S];
const BOUND_MS: u64 = 1000;
const TIMEOUT_S: f64 = 1.5;

/// What a controller's loop asked for.
#[derive(Clone)]
enum Request {
    Grant,
    Write(u64, u64, u64),
    /// Our own alive key, after it was not the one to replace.
    OwnKey,
    Renew(u64, f64),
    End(u64),
    Claim(Box<Claim>),
    Rewrite(Box<Rewrite>),
    /// The share record and its owner's alive key, one after the other.
    Reread,
    AliveOf(String, u64),
    List,
    Watch(u64),
    /// A user's cancellation.
    Cancel(u64),
    /// A poll, a repeated submission or a repeated cancellation: it finds what stands.
    Poll(u64),
    /// All cancellations written, asked for at this time.
    Live(f64),
}

enum Answer {
    Lease(u64),
    Done(u64),
    Conflict,
    NoLease,
    Entry(Option<Entry>),
    Listed(Vec<Entry>, u64),
    News(Vec<Logged>, u64),
    Over(BTreeSet<u64>),
    /// Refused, or given up: it may have been carried out, or may be later.
    Nothing,
}

enum Event {
    Loop(usize, usize, Loop),
    Arrive(usize, usize, u64, Request),
    Reply(usize, usize, u64, Request, Answer),
    /// From, to, whether for a vouch, term, when it was asked for.
    Ask(usize, usize, bool, u64, f64),
    Agreed(usize, usize, bool, u64, f64),
    Loaded(usize, usize, u64),
    /// From, to, term, over which time, when it was asked for.
    AskTold(usize, usize, u64, f64, f64),
    Told(usize, usize, u64, f64, Vec<String>),
}

#[derive(Clone, Copy)]
enum Loop {
    Live,
    Lease,
    Mind,
    Area,
}

struct Controller {
    tenure: Tenure,
    /// Starts of the process so far: what was meant for an earlier one is void.
    start: usize,
    offset: f64,
    drift: f64,
    wall_off_ms: f64,
    paused_until: f64,
    cut_until: f64,
    refused_until: f64,
    /// It has neither the state service nor the other controllers, but its workers.
    island_until: f64,
    down_until: f64,
    claiming: bool,
    /// Requests under way; a reply to any other was given up.
    waiting: Vec<u64>,
    boots: u64,
    /// Acting: term of the takeover, and since when no former owner is left.
    core: Option<(u64, Option<f64>)>,
    /// Cancellations that it told users of, and those that its core knows.
    told: Told,
    finals: BTreeSet<u64>,
    knows: BTreeSet<u64>,
    /// What a takeover under way has read of them, and when it asked.
    listed: (f64, BTreeSet<u64>),
}

struct World {
    now: f64,
    rng: StdRng,
    store: Store,
    away_from: f64,
    away_until: f64,
    away: bool,
    nodes: Vec<Controller>,
    queue: BinaryHeap<(Reverse<u64>, Reverse<u64>)>,
    events: Vec<Option<Event>>,
    next_id: u64,
    /// Takeovers: term, when.
    taken: Vec<(u64, f64)>,
    calm: bool,
    woken_owners: usize,
    quiet_s: f64,
    blind_s: f64,
    /// Cancellations written, and those that a user was told of: when.
    written: BTreeSet<u64>,
    told: Vec<(f64, u64)>,
    /// Since when the state service is away, and beats at which an owner goes on
    /// although that is longer than it may without the others' words.
    away_since: f64,
    words: usize,
    /// Cancellations that an owner learnt by a word or from a poll of its own, in an
    /// outage that began by refusing it alone; those told while it was refused alone;
    /// and polls that found one whose user had no answer.
    asked_after: Vec<u64>,
    gap_until: f64,
    /// No further trouble joins this one.
    undisturbed: bool,
    gap_learnt: usize,
    gap_told: usize,
    found_late: usize,
    /// Requests that were carried out at once while the answer was lost, by kind, and terms
    /// that were raised like that and then adopted.
    lost: BTreeMap<&'static str, usize>,
    adopted: usize,
}

impl Request {
    /// What kind of write it is, if it is one.
    fn write(&self) -> Option<&'static str> {
        match self {
            Request::Grant => Some("lease"),
            Request::Write(..) => Some("alive key"),
            Request::Renew(..) => Some("renewal"),
            Request::End(_) => Some("end of a lease"),
            Request::Claim(_) => Some("claim"),
            Request::Rewrite(rewrite) if rewrite.raises_term() => Some("raised term"),
            Request::Rewrite(_) => Some("share written again"),
            Request::Cancel(_) => Some("cancellation"),
            _ => None,
        }
    }
}

fn name(n: usize) -> String {
    format!("berth-{n}")
}

impl World {
    fn new(seed: u64, count: usize) -> World {
        let quiet_s = QUIET_S[seed as usize % QUIET_S.len()];
        let mut world = World {
            now: 0.0,
            rng: StdRng::seed_from_u64(seed),
            store: Store::default(),
            away_from: 0.0,
            away_until: 0.0,
            away: false,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            next_id: 0,
            taken: Vec::new(),
            calm: false,
            woken_owners: 0,
            quiet_s,
            blind_s: BLIND_S[seed as usize % BLIND_S.len()],
            written: BTreeSet::new(),
            told: Vec::new(),
            away_since: 0.0,
            words: 0,
            asked_after: Vec::new(),
            gap_until: 0.0,
            undisturbed: false,
            gap_learnt: 0,
            gap_told: 0,
            found_late: 0,
            lost: BTreeMap::new(),
            adopted: 0,
        };
        for n in 0..count {
            let offset = world.rng.random_range(0.0..500.0);
            let node = Controller {
                tenure: tenure(n, count, n as u64 + 1, quiet_s, world.blind_s),
                start: 0,
                offset,
                drift: world.rng.random_range(-0.0005..0.0005),
                wall_off_ms: world.rng.random_range(-1000.0..1000.0),
                paused_until: 0.0,
                cut_until: 0.0,
                refused_until: 0.0,
                island_until: 0.0,
                down_until: 0.0,
                claiming: false,
                waiting: Vec::new(),
                boots: 1,
                core: None,
                told: Told::since(offset),
                finals: BTreeSet::new(),
                knows: BTreeSet::new(),
                listed: (0.0, BTreeSet::new()),
            };
            world.nodes.push(node);
            world.start(n);
        }
        world
    }

    fn is_away(&self) -> bool {
        (self.away_from..self.away_until).contains(&self.now)
    }

    fn at(&mut self, when: f64, event: Event) {
        let order = self.events.len() as u64;
        self.events.push(Some(event));
        let micros = (when.max(self.now) * 1e6) as u64;
        self.queue.push((Reverse(micros), Reverse(order)));
    }

    fn start(&mut self, n: usize) {
        let start = self.nodes[n].start;
        for each in [Loop::Lease, Loop::Mind, Loop::Area, Loop::Live] {
            self.at(self.now + 0.01, Event::Loop(n, start, each));
        }
    }

    fn local(&self, n: usize) -> f64 {
        self.nodes[n].offset + self.now * (1.0 + self.nodes[n].drift)
    }

    fn wall_ms(&self, n: usize) -> u64 {
        (1e9 + self.now * 1000.0 + self.nodes[n].wall_off_ms) as u64
    }

    /// The controller stands still from here on, with what it was about to do.
    fn pause(&mut self, n: usize, most_s: f64) {
        let until = self.now + self.rng.random_range(0.2..most_s);
        let node = &mut self.nodes[n];
        node.paused_until = node.paused_until.max(until);
        self.woken_owners += usize::from(node.core.is_some());
    }

    /// Sends a request; it may stand still before it leaves, the way may be
    /// long, and who asked gives up after a while.
    fn ask(&mut self, n: usize, request: Request) {
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

    fn arrive(&mut self, n: usize, start: usize, id: u64, request: Request) {
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
                let txn = records::alive_write(&name(n), *boot, *lease, *over);
                done(self.store.apply(&txn))
            }
            Request::OwnKey => Answer::Entry(self.store.get(&records::alive(&name(n)))),
            Request::Renew(lease, _) => match self.store.extend(*lease, now) {
                true => Answer::Done(0),
                false => Answer::NoLease,
            },
            Request::End(lease) => {
                self.store.end(*lease);
                Answer::Done(0)
            }
            Request::Claim(claim) => {
                let answer = done(self.store.apply(&claim.txn));
                if matches!(answer, Answer::Done(_)) {
                    self.taken.push((claim.share.term, now));
                }
                answer
            }
            Request::Rewrite(rewrite) => done(self.store.apply(&rewrite.txn)),
            Request::Reread => Answer::Entry(self.store.get(records::SHARE)),
            Request::AliveOf(host, _) => Answer::Entry(self.store.get(&records::alive(host))),
            Request::List => Answer::Listed(self.store.list(records::AREA), self.store.revision),
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
            let rare = matches!(request, Request::Rewrite(_) | Request::End(_));
            if self.rng.random_bool(if rare { 0.5 } else { 0.06 }) {
                *self.lost.entry(kind).or_default() += 1;
                return;
            }
        }
        self.reply(n, start, id, request, answer);
    }

    fn reply(&mut self, n: usize, start: usize, id: u64, request: Request, answer: Answer) {
        let mut way = 0.005;
        if !self.calm && self.rng.random_bool(0.02) {
            way = self.rng.random_range(0.1..3.0);
        }
        let at = (self.now + way).max(self.nodes[n].cut_until);
        self.at(at, Event::Reply(n, start, id, request, answer));
    }

    /// A loop of the controller goes on.
    fn turn(&mut self, n: usize, each: Loop) {
        let now = self.local(n);
        match each {
            Loop::Lease => {
                let request = match self.nodes[n].tenure.lease_step(now) {
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
                    None if pause || self.rng.random_bool(0.002) => self.nodes[n].tenure.raise(now),
                    other => other,
                };
                self.look(n);
                self.seek(n);
                match rewrite {
                    Some(rewrite) => self.ask(n, Request::Rewrite(Box::new(rewrite))),
                    None => self.later(n, each, LIFE_S / 10.0),
                }
            }
            Loop::Area => self.ask(n, Request::List),
            Loop::Live if self.nodes[n].core.is_none() => self.later(n, each, 0.3),
            Loop::Live => self.ask(n, Request::Live(now)),
        }
    }

    fn later(&mut self, n: usize, each: Loop, s: f64) {
        let start = self.nodes[n].start;
        self.at(self.now + s, Event::Loop(n, start, each));
    }

    fn step_down(&mut self, n: usize) {
        self.nodes[n].boots += 1;
        let boot = 1000 * self.nodes[n].boots + n as u64;
        self.nodes[n].core = None;
        self.nodes[n].tenure.step_down(boot);
    }

    fn look(&mut self, n: usize) {
        if self.nodes[n].tenure.deposed() {
            self.step_down(n);
        }
        if self.nodes[n].tenure.adopt_raised_term().is_some() {
            self.adopted += 1;
        }
        if self.nodes[n].claiming {
            return;
        }
        let (now, wall) = (self.local(n), self.wall_ms(n));
        if let Some(claim) = self.nodes[n].tenure.claim(now, wall) {
            self.nodes[n].claiming = true;
            self.ask(n, Request::Claim(Box::new(claim)));
        }
    }

    fn seek(&mut self, n: usize) {
        let now = self.local(n);
        let vouch = self.nodes[n].tenure.vouch_due(now);
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
        if let Some((term, gap_s)) = self.nodes[n].tenure.words_due(now) {
            for peer in (0..self.nodes.len()).filter(|p| *p != n) {
                let lost = self.now < self.nodes[n].cut_until || self.rng.random_bool(0.1);
                if !lost {
                    let ask = Event::AskTold(n, peer, term, gap_s, now);
                    self.at(self.now + 0.005, ask);
                }
            }
        }
        let quiet = self.nodes[n].tenure.quiet(now, self.wall_ms(n));
        let at = self.now;
        if let Some(core) = self.nodes[n].core.as_mut().filter(|_| quiet) {
            core.1.get_or_insert(at);
        }
    }

    fn answered(&mut self, n: usize, request: Request, answer: Answer) {
        let now = self.local(n);
        let tenure = &mut self.nodes[n].tenure;
        match (request, answer) {
            (Request::Grant, Answer::Lease(lease)) => {
                tenure.granted(lease);
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
                tenure.lease_over(lease);
                self.turn(n, Loop::Lease);
            }
            (Request::Renew(lease, asked_at), Answer::Done(_)) => {
                tenure.renewed(lease, asked_at);
                self.later(n, Loop::Lease, LIFE_S / 5.0);
            }
            (Request::Grant | Request::Write(..) | Request::Renew(..), _) => {
                self.later(n, Loop::Lease, 0.2);
            }
            (Request::Claim(claim), Answer::Done(version)) => {
                let holds = tenure.claimed(&claim, version, now);
                let (start, term) = (self.nodes[n].start, claim.share.term);
                let s = self.rng.random_range(0.02..2.0);
                if holds {
                    self.nodes[n].listed = (now, self.written.clone());
                    self.at(self.now + s, Event::Loaded(n, start, term));
                } else {
                    self.nodes[n].claiming = false;
                }
            }
            (Request::Claim(_), _) => {
                self.nodes[n].claiming = false;
                self.ask(n, Request::Reread);
            }
            (Request::Rewrite(rewrite), answer) => {
                if let Answer::Done(version) = answer {
                    tenure.rewritten(&rewrite, version);
                } else {
                    self.ask(n, Request::Reread);
                }
                self.later(n, Loop::Mind, 0.05);
            }
            (Request::Reread, Answer::Entry(Some(entry))) => {
                tenure.view.take_entry(&entry);
                let seen = tenure.view.share_version();
                let owner = entry.read::<Share>().map(|s| s.owner);
                if let Some(owner) = owner.ok().filter(|o| *o != name(n)) {
                    self.ask(n, Request::AliveOf(owner, seen));
                }
                self.look(n);
            }
            (Request::AliveOf(owner, seen), Answer::Entry(found)) => match found {
                Some(entry) => tenure.view.take_entry(&entry),
                None => tenure.view.not_alive(&owner, seen),
            },
            (Request::Reread | Request::AliveOf(..), _) => {}
            (Request::List, Answer::Listed(entries, revision)) => {
                tenure.view.take_list(&entries, revision);
                self.look(n);
                self.ask(n, Request::Watch(revision));
            }
            (Request::Watch(since), answer) => {
                let mut since = since;
                if let Answer::News(news, revision) = answer {
                    for (version, key, value) in news {
                        match value {
                            None => tenure.view.take_deletion(&key, version),
                            Some(value) => tenure.view.take_entry(&Entry {
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
                    self.nodes[n].told.note(&id.to_string(), now);
                    self.learns(n, id);
                }
                self.told.push((self.now, id));
                self.gap_told += usize::from(self.now < self.gap_until && !self.is_away());
            }
            (Request::Cancel(_) | Request::Poll(_), _) => {}
            (Request::Live(asked_at), answer) => {
                if let Answer::Over(over) = answer {
                    tenure.watched(asked_at);
                    self.nodes[n].knows.extend(over);
                }
                self.later(n, Loop::Live, 0.3);
            }
        }
    }

    fn handle(&mut self, event: Event) {
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
                    true => self.nodes[to].tenure.vouches_for(term),
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
                    true => tenure.vouched(term, &name(peer), asked_at, now),
                    false => tenure.has_promised(term, &name(peer), asked_at, now),
                }
            }
            Event::AskTold(from, to, term, gap_s, asked_at) => {
                let alone = |n: usize| self.now < self.nodes[n].island_until;
                let now = self.local(to);
                let node = &self.nodes[to];
                let speaks = !alone(from) && !alone(to) && node.tenure.speaks_to(term);
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
                node.tenure.word(term, &name(peer), asked_at, now);
            }
            Event::Loaded(n, _, term) => {
                self.nodes[n].claiming = false;
                let (listed_at, listed) = std::mem::take(&mut self.nodes[n].listed);
                if self.nodes[n].tenure.begin(term, listed_at) {
                    // What we told users ourselves while we read.
                    let since_s = self.local(n) - listed_at;
                    let ours = self.nodes[n].told.within(since_s, self.local(n));
                    let ours = ours.into_iter().flatten();
                    self.nodes[n].knows = listed;
                    let ours = ours.filter_map(|id| id.parse::<u64>().ok());
                    self.nodes[n].knows.extend(ours);
                    let quiet = self.nodes[n].tenure.view.share.as_ref();
                    let alone = quiet.is_some_and(|(s, _)| s.prior.is_empty());
                    self.nodes[n].core = Some((term, alone.then_some(self.now)));
                }
            }
        }
    }

    /// The core of an owner learns of a cancellation, otherwise than by its watch.
    fn learns(&mut self, n: usize, id: u64) {
        let (now, gap) = (self.now, self.now < self.gap_until && self.is_away());
        let node = &mut self.nodes[n];
        if node.core.is_some() && node.knows.insert(id) {
            let refused = node.refused_until > now || gap;
            self.gap_learnt += usize::from(refused);
        }
    }

    /// The state service refuses the owner alone; users cancel and ask elsewhere and at
    /// the owner; then it is away for all, longer than anyone may go on without knowing.
    fn gap(&mut self, owner: usize) {
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

    fn trouble(&mut self) {
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
    fn crash(&mut self, n: usize) {
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
        node.told = Told::since(begins);
        node.finals.clear();
        node.knows.clear();
        node.tenure = tenure(n, count, 1000 * node.boots + n as u64, quiet_s, blind_s);
        let (start, at) = (node.start, node.down_until + 0.01);
        for each in [Loop::Lease, Loop::Mind, Loop::Area, Loop::Live] {
            self.at(at, Event::Loop(n, start, each));
        }
    }

    /// A user cancels a job at some controller.
    fn cancel(&mut self) {
        self.next_id += 1;
        let id = self.next_id;
        self.user(Request::Cancel(id));
        // Who has no answer asks again, at any controller.
        self.asked_after.push(id);
    }

    /// A user calls some controller; one that is away does not hear.
    fn user(&mut self, request: Request) {
        let n = self.rng.random_range(0..self.nodes.len());
        let node = &self.nodes[n];
        if node.down_until <= self.now && node.paused_until <= self.now {
            self.ask(n, request);
        }
    }

    /// Users ask about jobs that they cancelled lately, answered or not.
    fn poll(&mut self) {
        let lately = self.asked_after.len().saturating_sub(6);
        let lately = &self.asked_after[lately..];
        if !lately.is_empty() {
            let id = lately[self.rng.random_range(0..lately.len())];
            self.user(Request::Poll(id));
        }
    }

    fn check(&self, seed: u64) {
        let awake = |c: &&Controller| c.paused_until <= self.now && c.down_until <= self.now;
        let quiet = |c: &Controller| c.core.filter(|c| c.1.is_some()).map(|c| c.0);
        let settled = self.nodes.iter().filter(awake).filter_map(quiet).max();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some((base, _)) = node.core.filter(|_| awake(&node)) else {
                continue;
            };
            let answers = node.tenure.entitled(self.local(n));
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
                .own_version()
                .and(node.tenure.view.share.as_ref());
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
            let confirmed = (node.tenure.confirmed() - node.offset) / (1.0 + node.drift);
            assert!(
                confirmed <= lost + 1e-3,
                "seed {seed}, {:.2}: {} of term {base} is sure as of {confirmed:.2}, lost at {lost:.2}",
                self.now,
                name(n)
            );
        }
    }

    fn play(&mut self, seed: u64, until: f64) {
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
                        node.core.is_some() && node.tenure.entitled(self.local(*n))
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
        }
        let owners = (0..self.nodes.len()).filter(|n| {
            let core = self.nodes[*n].core;
            core.is_some_and(|c| c.1.is_some()) && self.nodes[*n].tenure.entitled(self.local(*n))
        });
        assert_eq!(owners.count(), 1, "seed {seed}: owners at the end");
    }
}

fn tenure(n: usize, count: usize, boot: u64, quiet_s: f64, blind_s: f64) -> Tenure {
    let terms = Terms {
        me: name(n),
        peers: (0..count).filter(|p| *p != n).map(name).collect(),
        teams: Vec::new(),
        life_s: LIFE_S,
        quiet_s,
        lease_s: LEASE_S,
        blind_s,
        bound_ms: BOUND_MS,
    };
    Tenure::new(terms, boot)
}

/// Guards against every way in which a controller that stood still, or whose
/// request was carried out late, goes on with what was true before: see
/// docs/notes/pause.md for what breaks it.
#[test]
fn a_controller_that_wakes_does_not_act_on_its_past() {
    let (mut takeovers, mut woken, mut words, mut told) = (0, 0, 0, 0);
    let (mut gap_told, mut gap_learnt, mut found_late) = (0, 0, 0);
    let (mut lost, mut adopted) = (BTreeMap::<&str, usize>::new(), 0);
    for seed in seeds(60) {
        let mut world = World::new(seed, [3, 5, 7, 2][seed as usize % 4]);
        world.play(seed, 700.0);
        takeovers += world.taken.len();
        woken += world.woken_owners;
        words += world.words;
        told += world.told.len();
        gap_told += world.gap_told;
        gap_learnt += world.gap_learnt;
        found_late += world.found_late;
        adopted += world.adopted;
        for (kind, times) in world.lost {
            *lost.entry(kind).or_default() += times;
        }
    }
    println!("{lost:?}, {adopted} terms adopted");
    let each = lost.values().all(|n| *n > 10);
    assert!(
        own_seeds() || lost.len() == 8 && each && adopted > 5,
        "answers lost: {lost:?}, {adopted} terms adopted: too weak"
    );
    assert!(
        own_seeds() || takeovers > 400 && woken > 400 && words > 20 && told > 4000,
        "{takeovers} takeovers, {woken} owners woken, {told} told, {words} words: too weak"
    );
    assert!(
        own_seeds() || gap_told > 400 && gap_learnt > 50 && found_late > 30,
        "{gap_told} told while the owner was refused alone, {gap_learnt} learnt without the \
         watch, {found_late} found by polls alone: too weak"
    );
}
