//! A leader that lost contact must have stopped answering before a new leader takes its
//! machines for empty: by cases, and by many random courses of who reaches whom.

use foxspur::coordination::leadership::lease_extension::{LeaseDurations, QuorumRound};
use foxspur::coordination::leadership::queries::PeerAnswer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LEASE_TTL_S: f64 = 4.0;
const LONGEST_S: f64 = 60.0;

/// The former leader, its term, and the new one's.
const FORMER: usize = 0;
const FORMER_TERM: u64 = 1;
const NEW: usize = 1;
const NEW_TERM: u64 = 2;

fn answer(term: u64, peer: &str, asked_at: f64, received_at: f64) -> PeerAnswer<'_> {
    PeerAnswer {
        term,
        peer,
        asked_at,
        received_at,
    }
}

fn round(term: u64, controllers: usize) -> QuorumRound {
    let mut round = QuorumRound::new(controllers);
    round.restart_for(term);
    round
}

#[test]
fn how_long_a_leader_answers_without_contact() {
    let spans = LeaseDurations::new(LEASE_TTL_S, LONGEST_S);
    // (controllers, extensions as (peer, asked at), now, may answer); last check at 0.
    type Case<'a> = (usize, &'a [(&'a str, f64)], f64, bool);
    let cases: [Case; 8] = [
        (5, &[], 5.9, true),
        (5, &[], 6.1, false),
        (5, &[("a", 6.0)], 6.1, false),
        (5, &[("a", 6.0), ("b", 6.0)], 6.1, true),
        (5, &[("a", 6.0), ("b", 4.0)], 6.1, false),
        (2, &[], 6.1, false),
        (1, &[], 30.0, true),
        (5, &[("a", 60.0), ("b", 60.0)], 60.1, false),
    ];
    for (controllers, given, now, expected) in cases {
        let mut extensions = round(7, controllers);
        for (peer, asked_at) in given {
            extensions.acknowledge(answer(7, peer, *asked_at, *asked_at));
            // About an earlier term: counts for nothing.
            extensions.acknowledge(answer(6, "old", now, now));
        }
        let may_answer = spans.may_answer(&extensions, 0.0, now);
        assert_eq!(may_answer, expected, "{controllers} {given:?} at {now}");
    }
}

/// An answer on its way.
struct Pending {
    arrives_at: f64,
    /// Whether it extends the former leader's lease; else it promises.
    extends: bool,
    peer: usize,
    asked_at: f64,
}

/// A random course of who reaches whom around one takeover.
struct Course {
    rng: StdRng,
    controllers: usize,
    taken_over_at: f64,
    reach_probability: f64,
    promise_probability: f64,
    /// Which controllers have promised.
    promised: Vec<bool>,
    /// The former leader's extensions, and the new one's promises.
    extensions: QuorumRound,
    promises: QuorumRound,
    pending: Vec<Pending>,
    /// The former leader knows that it is not the leader any more.
    deposed: bool,
}

impl Course {
    fn new(seed: u64) -> Course {
        let mut rng = StdRng::seed_from_u64(seed);
        let controllers: usize = rng.random_range(2..=7);
        Course {
            controllers,
            // The former leader's lease ended before the new one took over.
            taken_over_at: LEASE_TTL_S + rng.random_range(0.0..20.0),
            reach_probability: rng.random_range(0.2..1.0),
            // The new leader may reach the others late only.
            promise_probability: rng.random_range(0.002..0.1),
            rng,
            promised: vec![false; controllers],
            extensions: round(FORMER_TERM, controllers),
            promises: round(NEW_TERM, controllers),
            pending: Vec::new(),
            deposed: false,
        }
    }

    /// Both leaders may ask each controller: it answers now, the answer arrives a little
    /// later.
    fn ask_all(&mut self, now: f64) {
        let taken_over = now >= self.taken_over_at;
        for peer in 0..self.controllers {
            let arrives_at = now + self.rng.random_range(0.0..0.3);
            let asks = self.rng.random_bool(0.2);
            let answer = |extends| Pending {
                arrives_at,
                extends,
                peer,
                asked_at: now,
            };
            if peer != FORMER && asks && self.rng.random_bool(self.reach_probability) {
                let knows_later = self.promised[peer] || (peer == NEW && taken_over);
                if !knows_later {
                    self.pending.push(answer(true));
                }
            }
            if peer != NEW && taken_over && self.rng.random_bool(self.promise_probability) {
                self.promised[peer] = true;
                self.deposed |= peer == FORMER;
                self.pending.push(answer(false));
            }
        }
    }

    fn receive_answers(&mut self, now: f64) {
        let pending = std::mem::take(&mut self.pending);
        let (due, later) = pending.into_iter().partition(|a| a.arrives_at <= now);
        self.pending = later;
        let due: Vec<Pending> = due;
        for due in due {
            let peer = due.peer.to_string();
            if due.extends {
                let extension = answer(FORMER_TERM, &peer, due.asked_at, now);
                self.extensions.acknowledge(extension);
            } else {
                let promise = answer(NEW_TERM, &peer, due.asked_at, now);
                self.promises.acknowledge(promise);
            }
        }
    }
}

/// Guards against a new leader that takes machines for empty while a former one still keeps
/// them alive with its lease extended by a majority.
#[test]
fn a_former_leader_is_silent_before_it_is_taken_to_be() {
    let spans = LeaseDurations::new(LEASE_TTL_S, LONGEST_S);
    let (mut settled, mut extended) = (0, 0);
    for seed in 0..400 {
        let mut course = Course::new(seed);
        let mut now = 0.0;
        while now < 70.0 {
            now += 0.1;
            course.ask_all(now);
            course.receive_answers(now);
            let goes_on = !course.deposed && spans.may_answer(&course.extensions, 0.0, now);
            extended += usize::from(goes_on && now > spans.unconfirmed_s);
            let silent_from =
                spans.former_leaders_silent_from(&course.promises, course.taken_over_at);
            if let Some(silent_from) = silent_from {
                settled += 1;
                assert!(!(now >= silent_from && goes_on), "seed {seed}, at {now:.1}");
            }
        }
    }
    assert!(
        settled > 1000 && extended > 1000,
        "{settled} {extended}: too weak"
    );
}
