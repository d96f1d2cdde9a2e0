//! An owner that lost contact must have stopped answering before a new owner
//! takes its machines for empty: by cases, and by many random courses of who
//! reaches whom.

use foxspur::coordination::leadership::lease_extension::{
    may_answer, quiet_from, LeaseSpans, QuorumRound,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LIFE_S: f64 = 4.0;

#[test]
fn how_long_an_owner_answers_without_contact() {
    let spans = LeaseSpans::new(LIFE_S, 60.0);
    // (controllers, vouches as (peer, asked at), now, may answer); last check at 0.
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
    for (nodes, given, now, answers) in cases {
        let mut vouches = QuorumRound::default();
        vouches.restart_for(7);
        for (peer, asked_at) in given {
            vouches.acknowledge(7, peer, *asked_at, *asked_at, nodes);
            // About an earlier term: counts for nothing.
            vouches.acknowledge(6, "old", now, now, nodes);
        }
        let may = may_answer(&vouches, &spans, nodes, 0.0, now);
        assert_eq!(may, answers, "{nodes} {given:?} at {now}");
    }
}

/// Guards against a new owner that takes machines for empty while a former one
/// still keeps them alive with the vouches of a majority.
#[test]
fn a_former_owner_is_silent_before_it_is_taken_to_be() {
    let spans = LeaseSpans::new(LIFE_S, 60.0);
    let (mut settled, mut extended) = (0, 0);
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes: usize = rng.random_range(2..=7);
        // 0 is the former owner, 1 the new one; its lease ended before it took over.
        let taken: f64 = LIFE_S + rng.random_range(0.0..20.0);
        let mut promised = vec![false; nodes];
        let mut vouches = QuorumRound::default();
        let mut promises = QuorumRound::default();
        vouches.restart_for(1);
        promises.restart_for(2);
        let reach = rng.random_range(0.2..1.0);
        // The new owner may reach the others late only.
        let promise = rng.random_range(0.002..0.1);
        let mut answers: Vec<(f64, bool, usize, f64)> = Vec::new();
        let mut deposed = false;
        let mut now = 0.0;
        while now < 70.0 {
            now += 0.1;
            for (peer, promised) in promised.iter_mut().enumerate() {
                let slow = rng.random_range(0.0..0.3);
                let ask = rng.random_bool(0.2);
                if peer != 0 && ask && rng.random_bool(reach) {
                    // The peer answers now, the answer arrives a little later.
                    let knows = *promised || (peer == 1 && now >= taken);
                    if !knows {
                        answers.push((now + slow, true, peer, now));
                    }
                }
                if peer != 1 && now >= taken && rng.random_bool(promise) {
                    *promised = true;
                    deposed |= peer == 0;
                    answers.push((now + slow, false, peer, now));
                }
            }
            let (due, later) = answers.into_iter().partition(|a| a.0 <= now);
            answers = later;
            let due: Vec<(f64, bool, usize, f64)> = due;
            for (_, vouch, peer, asked) in due {
                let name = peer.to_string();
                if vouch {
                    vouches.acknowledge(1, &name, asked, now, nodes);
                } else {
                    promises.acknowledge(2, &name, asked, now, nodes);
                }
            }
            let goes_on = !deposed && may_answer(&vouches, &spans, nodes, 0.0, now);
            extended += usize::from(goes_on && now > spans.unconfirmed_s);
            if let Some(quiet) = quiet_from(&promises, &spans, taken) {
                settled += 1;
                assert!(!(now >= quiet && goes_on), "seed {seed}, at {now:.1}");
            }
        }
    }
    assert!(
        settled > 1000 && extended > 1000,
        "{settled} {extended}: too weak"
    );
}
