//! A leader that lost contact must have stopped answering before a new leader takes its
//! machines for empty: by cases, and by many random courses of who reaches whom.

use foxspur::coordination::leadership::lease_extension::{LeaseSpans, QuorumRound};
use foxspur::coordination::leadership::peer_queries::PeerAnswer;
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
    let spans = LeaseSpans::new(LEASE_TTL_S, LONGEST_S);
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

/// Guards against a new leader that takes machines for empty while a former one still keeps
/// them alive with its lease extended by a majority.
#[test]
fn a_former_leader_is_silent_before_it_is_taken_to_be() {
    let spans = LeaseSpans::new(LEASE_TTL_S, LONGEST_S);
    let (mut settled, mut extended) = (0, 0);
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let controllers: usize = rng.random_range(2..=7);
        // The former leader's lease ended before the new one took over.
        let taken_over_at: f64 = LEASE_TTL_S + rng.random_range(0.0..20.0);
        let mut promised = vec![false; controllers];
        let mut extensions = round(FORMER_TERM, controllers);
        let mut promises = round(NEW_TERM, controllers);
        let reach_probability = rng.random_range(0.2..1.0);
        // The new leader may reach the others late only.
        let promise_probability = rng.random_range(0.002..0.1);
        let mut pending: Vec<Pending> = Vec::new();
        let mut deposed = false;
        let mut now = 0.0;
        while now < 70.0 {
            now += 0.1;
            for (peer, promised) in promised.iter_mut().enumerate() {
                let delay_s = rng.random_range(0.0..0.3);
                let asks = rng.random_bool(0.2);
                // The peer answers now, the answer arrives a little later.
                let mut answers = |extends| {
                    pending.push(Pending {
                        arrives_at: now + delay_s,
                        extends,
                        peer,
                        asked_at: now,
                    });
                };
                if peer != FORMER && asks && rng.random_bool(reach_probability) {
                    let knows_later = *promised || (peer == NEW && now >= taken_over_at);
                    if !knows_later {
                        answers(true);
                    }
                }
                if peer != NEW && now >= taken_over_at && rng.random_bool(promise_probability) {
                    *promised = true;
                    deposed |= peer == FORMER;
                    answers(false);
                }
            }
            let (due, later): (Vec<Pending>, Vec<Pending>) =
                pending.into_iter().partition(|a| a.arrives_at <= now);
            pending = later;
            for due in due {
                let peer = due.peer.to_string();
                if due.extends {
                    extensions.acknowledge(answer(FORMER_TERM, &peer, due.asked_at, now));
                } else {
                    promises.acknowledge(answer(NEW_TERM, &peer, due.asked_at, now));
                }
            }
            let goes_on = !deposed && spans.may_answer(&extensions, 0.0, now);
            extended += usize::from(goes_on && now > spans.unconfirmed_s);
            if let Some(silent_from) = spans.former_leaders_silent_from(&promises, taken_over_at) {
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
