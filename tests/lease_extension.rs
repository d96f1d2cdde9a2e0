//! A leader without contact to the state service must have stopped answering workers before a new
//! leader assumes that it has. The tests check single cases, and many random scenarios in which
//! calls between controllers are lost.

use foxspur::coordination::leadership::lease_extension::{LeaseDurations, QuorumRound};
use foxspur::coordination::leadership::queries::PeerAnswer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LEASE_TTL_S: f64 = 4.0;
const MAX_WITHOUT_CONTACT_S: f64 = 60.0;

/// The indices of the former and of the new leader among the controllers, and their terms.
const FORMER_LEADER: usize = 0;
const FORMER_TERM: u64 = 1;
const NEW_LEADER: usize = 1;
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

/// Guards against a leader that answers workers without contact for longer than its own lease
/// and the extensions by a majority allow. Also guards against a leader that stops too early.
#[test]
fn leader_without_contact_answers_for_a_bounded_time() {
    let durations = LeaseDurations::new(LEASE_TTL_S, MAX_WITHOUT_CONTACT_S);
    // (number of controllers, extensions as (peer, time of the query), present time, whether the
    // leader may answer workers). Leadership was last confirmed at time 0.
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
    for (controllers, extended_by, now, expected) in cases {
        let mut extensions = round(7, controllers);
        for (peer, asked_at) in extended_by {
            extensions.acknowledge(answer(7, peer, *asked_at, *asked_at));
            // An answer for an earlier term does not count.
            extensions.acknowledge(answer(6, "old", now, now));
        }
        let may_answer = durations.may_answer(&extensions, 0.0, now);
        assert_eq!(
            may_answer, expected,
            "{controllers} controllers, extended by {extended_by:?}, at {now}"
        );
    }
}

/// An answer that has not arrived yet.
struct PendingAnswer {
    arrives_at: f64,
    /// Whether the answer extends the former leader's lease; otherwise the answer is a promise.
    is_extension: bool,
    peer: usize,
    asked_at: f64,
}

/// A takeover during which calls between the controllers succeed at random.
struct Scenario {
    rng: StdRng,
    controllers: usize,
    taken_over_at: f64,
    reach_probability: f64,
    promise_probability: f64,
    /// For each controller, whether it has promised.
    promised: Vec<bool>,
    /// The extensions of the former leader's lease.
    extensions: QuorumRound,
    /// The promises to the new leader.
    promises: QuorumRound,
    pending: Vec<PendingAnswer>,
    /// Whether the former leader knows that it no longer leads.
    deposed: bool,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut rng = StdRng::seed_from_u64(seed);
        let controllers: usize = rng.random_range(2..=7);
        Scenario {
            controllers,
            // The former leader's lease ended before the new one took over.
            taken_over_at: LEASE_TTL_S + rng.random_range(0.0..20.0),
            reach_probability: rng.random_range(0.2..1.0),
            // The probability is so low that the new leader may reach the other controllers only
            // late.
            promise_probability: rng.random_range(0.002..0.1),
            rng,
            promised: vec![false; controllers],
            extensions: round(FORMER_TERM, controllers),
            promises: round(NEW_TERM, controllers),
            pending: Vec::new(),
            deposed: false,
        }
    }

    /// Lets each of the two leaders ask each controller with some probability. A controller decides
    /// on its answer at once; the answer arrives a little later.
    fn ask_all(&mut self, now: f64) {
        let taken_over = now >= self.taken_over_at;
        for peer in 0..self.controllers {
            let arrives_at = now + self.rng.random_range(0.0..0.3);
            let former_leader_asks = self.rng.random_bool(0.2);
            let answer = |is_extension| PendingAnswer {
                arrives_at,
                is_extension,
                peer,
                asked_at: now,
            };
            if peer != FORMER_LEADER
                && former_leader_asks
                && self.rng.random_bool(self.reach_probability)
            {
                let knows_later_leader = self.promised[peer] || (peer == NEW_LEADER && taken_over);
                if !knows_later_leader {
                    self.pending.push(answer(true));
                }
            }
            if peer != NEW_LEADER && taken_over && self.rng.random_bool(self.promise_probability) {
                self.promised[peer] = true;
                self.deposed |= peer == FORMER_LEADER;
                self.pending.push(answer(false));
            }
        }
    }

    fn receive_answers(&mut self, now: f64) {
        let pending = std::mem::take(&mut self.pending);
        let (arrived, later) = pending
            .into_iter()
            .partition(|pending| pending.arrives_at <= now);
        self.pending = later;
        let arrived: Vec<PendingAnswer> = arrived;
        for pending in arrived {
            let peer = pending.peer.to_string();
            if pending.is_extension {
                let extension = answer(FORMER_TERM, &peer, pending.asked_at, now);
                self.extensions.acknowledge(extension);
            } else {
                let promise = answer(NEW_TERM, &peer, pending.asked_at, now);
                self.promises.acknowledge(promise);
            }
        }
    }
}

/// Guards against a new leader that assumes that a former leader is silent, that is, no longer
/// answers workers, while the former leader, whose lease a majority extended, still renews the
/// leases of workers. The new leader would then consider the machines of these workers empty.
#[test]
fn former_leader_stops_answering_before_it_is_considered_silent() {
    let durations = LeaseDurations::new(LEASE_TTL_S, MAX_WITHOUT_CONTACT_S);
    let (mut checks_after_promises, mut extended_steps) = (0, 0);
    for seed in 0..400 {
        let mut scenario = Scenario::new(seed);
        let mut now = 0.0;
        while now < 70.0 {
            now += 0.1;
            scenario.ask_all(now);
            scenario.receive_answers(now);
            let answers = !scenario.deposed && durations.may_answer(&scenario.extensions, 0.0, now);
            extended_steps += usize::from(answers && now > durations.unconfirmed_s);
            let stopped_after =
                durations.former_leaders_stopped_after(&scenario.promises, scenario.taken_over_at);
            if let Some(stopped_after) = stopped_after {
                checks_after_promises += 1;
                assert!(
                    !(now >= stopped_after && answers),
                    "seed {seed}, at {now:.1}: the former leader still answers"
                );
            }
        }
    }
    assert!(
        checks_after_promises > 1000 && extended_steps > 1000,
        "the scenarios are too weak: {checks_after_promises} checks after promises, \
         {extended_steps} steps with an extended lease"
    );
}
