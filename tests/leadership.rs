//! What an owner may conclude from answers that come late, one case each; the
//! simulation in tests/pause.rs looks for the cases that are not here.

use foxspur::coordination::leadership::leadership::{Leadership, LeadershipConfig, LeaseStep};
use foxspur::coordination::leadership::takeover::TakeoverAttempt;
use foxspur::protocol::state::{Entry, Txn};
use foxspur::storage::records::{self, AliveRecord, ShardRecord};
use foxspur_testbed::store::Store;

const LIFE_S: f64 = 4.0;
/// The watch of live jobs never falls behind in these cases.
const WATCHED: f64 = f64::MAX;

fn tenure(me: &str, peers: &[&str], boot: u64) -> Leadership {
    let terms = LeadershipConfig {
        host: me.into(),
        peers: peers.iter().map(|p| p.to_string()).collect(),
        teams: Vec::new(),
        lease_ttl_s: LIFE_S,
        longest_silence_s: 96.0,
        worker_lease_s: 16.0,
        staleness_bound_s: 24.0,
        clock_bound_ms: 1000,
    };
    Leadership::new(terms, boot)
}

/// Gets a lease and writes the alive key, as the lease loop does.
fn enlist(t: &mut Leadership, me: &str, store: &mut Store, now: f64) -> u64 {
    let lease = store.grant(LIFE_S, now);
    t.lease_granted(lease);
    let LeaseStep::Write { lease, boot, over } = t.next_lease_step(now) else {
        panic!("nothing to write");
    };
    let txn = records::write_alive(me, boot, lease, over);
    let version = store.apply(&txn).expect("written");
    t.alive_written(lease, boot, version);
    lease
}

fn read(t: &mut Leadership, store: &Store) {
    t.view
        .apply_listing(&store.list(records::CONTROL_PREFIX), store.revision);
}

fn follow(t: &mut Leadership, store: &Store, since: u64) {
    for (version, key, value) in store.log.iter().filter(|l| l.0 > since).cloned() {
        match value {
            Some(value) => t.view.apply_entry(&Entry {
                key,
                value,
                version,
            }),
            None => t.view.apply_deletion(&key, version),
        }
    }
}

/// Two controllers; the first owns the share under term 1 since 0.
struct Pair {
    store: Store,
    a: Leadership,
    b: Leadership,
    a_lease: u64,
}

fn pair() -> Pair {
    let mut store = Store::default();
    let mut a = tenure("a", &["b"], 1);
    let mut b = tenure("b", &["a"], 2);
    let a_lease = enlist(&mut a, "a", &mut store, 0.0);
    read(&mut a, &store);
    let claim = a.attempt_takeover(0.0, 0).expect("free");
    let version = store.apply(&claim.txn).expect("taken");
    assert!(a.takeover_written(&claim, version, 0.0) && a.begin_term(1, WATCHED));
    enlist(&mut b, "b", &mut store, 0.0);
    read(&mut b, &store);
    Pair {
        store,
        a,
        b,
        a_lease,
    }
}

impl Pair {
    /// A's lease ends, b hears of it, and makes its claim.
    fn lapse(&mut self) -> TakeoverAttempt {
        let since = self.store.revision;
        self.store.end(self.a_lease);
        follow(&mut self.b, &self.store, since);
        self.b
            .attempt_takeover(5.0, 5000)
            .expect("the owner is gone")
    }

    /// A notices that its lease ended, and gets another one.
    fn back(&mut self) -> u64 {
        self.a.lease_ended(self.a_lease);
        self.a_lease = enlist(&mut self.a, "a", &mut self.store, 5.5);
        self.a_lease
    }
}

/// Guards against a claim that leaves a controller just before the owner's lease
/// comes back and is carried out when that has ended as well: by the time of its
/// making the former owner would long be silent, and it is not.
#[test]
fn a_claim_made_before_the_owner_came_back_is_void() {
    let mut p = pair();
    let late = p.lapse();
    p.back();
    let again = p.a.reassert(5.6).expect("the lease is new");
    let version = p.store.apply(&again.txn).expect("still ours");
    assert_eq!(p.a.shard_record_written(&again, version), Some(1));
    assert_eq!(p.a.confirmed_at(), 5.6);
    p.store.end(p.a_lease);
    assert!(p.store.apply(&late.txn).is_err());
}

/// Guards against an owner whose raised term was written while the answer was lost: under
/// its old term nobody vouches for it, and an outage ends its workers' leases.
#[test]
fn a_term_raised_without_an_answer_is_adopted() {
    for known in [true, false] {
        let mut p = pair();
        let since = p.store.revision;
        let raise = p.a.raise_term(1.0).expect("it is ours");
        p.store.apply(&raise.txn).expect("carried out");
        follow(&mut p.b, &p.store, since);
        if known {
            follow(&mut p.a, &p.store, since);
        }
        let adopted = p.a.adopt_raised_term();
        assert_eq!(adopted.is_some(), known);
        assert_eq!(p.a.adopt_raised_term(), None, "twice");
        let asks = p.a.extension_due(10.0).expect("no contact");
        assert_eq!(p.b.knows_no_later_leader(asks), known, "{asks}");
        assert!(!p.a.is_deposed());
    }
}

/// Guards against an owner kept answering by the word of who is about to take over: a
/// claim counts the owner's silence from when it was made, and one that had no answer may
/// yet be carried out, until the record it rests on is seen to have changed.
#[test]
fn who_made_a_claim_says_nothing_to_the_owner() {
    let mut p = pair();
    assert!(p.b.may_report_to(1));
    let late = p.lapse();
    assert!(p.b.knows_no_later_leader(1) && !p.b.may_report_to(1));
    // The owner is back, the record as it was: the claim is still good.
    let since = p.store.revision;
    p.back();
    follow(&mut p.b, &p.store, since);
    assert!(!p.b.may_report_to(1));
    // It is written once more: the claim is void.
    let since = p.store.revision;
    let again = p.a.reassert(5.6).expect("the lease is new");
    p.store.apply(&again.txn).expect("still ours");
    follow(&mut p.b, &p.store, since);
    assert!(p.b.may_report_to(1) && p.store.apply(&late.txn).is_err());
}

/// Guards against a successor that counts on the silence of an owner of an older program,
/// which does not fall silent when it does not know of cancellations: while they are
/// exchanged one by one, it may be vouched for as long as ever.
#[test]
fn an_older_owner_is_given_its_longer_time() {
    // Whether the record says so, how long after the claim it is silent, in seconds.
    for (bounded, silent_s) in [(true, 24.0), (false, 96.0)] {
        let mut p = pair();
        let entry = p.store.get(records::SHARD_KEY).expect("taken");
        let mut share = entry.read::<ShardRecord>().expect("reads");
        assert!(share.bounded_staleness);
        share.bounded_staleness = bounded;
        let since = p.store.revision;
        let txn = Txn::default().put(records::SHARD_KEY, &share);
        p.store.apply(&txn).expect("written");
        follow(&mut p.b, &p.store, since);
        let claim = p.lapse();
        let until = claim
            .shard
            .former_leaders
            .first()
            .expect("a former owner")
            .until_ms;
        assert_eq!(until, 5000 + (silent_s * 1002.0) as u64 + 1000, "{bounded}");
    }
    // A record of an older program has no such field.
    let old = r#"{"owner":"a","boot":1,"term":1,"teams":[]}"#;
    assert!(serde_json::from_str::<ShardRecord>(old).is_ok_and(|s| !s.bounded_staleness));
}

/// Guards against renewals of a lease got after the share was lost.
#[test]
fn a_new_lease_proves_nothing_before_the_record_is_written_under_it() {
    let mut p = pair();
    let claim = p.lapse();
    let version = p.store.apply(&claim.txn).expect("taken over");
    assert!(p.b.takeover_written(&claim, version, 5.1));
    // A stood still and has heard of nothing.
    let lease = p.back();
    p.a.lease_renewed(lease, 6.0);
    assert_eq!(p.a.confirmed_at(), 0.0);
    let again = p.a.reassert(6.1).expect("the lease is new");
    assert!(p.store.apply(&again.txn).is_err());
    // An old lease's renewal, answered late, says nothing new either.
    p.a.lease_renewed(lease - 1, 7.0);
    assert!(!p.a.is_certain_leader(7.0) && !p.a.may_answer_workers(7.0));
}

/// Guards against the answer to a rewriting that comes under the next lease but
/// one: it proves nothing about that.
#[test]
fn a_rewriting_counts_for_the_lease_it_was_made_under() {
    let mut p = pair();
    p.store.end(p.a_lease);
    p.back();
    let again = p.a.reassert(5.6).expect("the lease is new");
    let version = p.store.apply(&again.txn).expect("still ours");
    let claim = {
        let since = p.store.revision;
        p.store.end(p.a_lease);
        read(&mut p.b, &p.store);
        follow(&mut p.b, &p.store, since);
        p.b.attempt_takeover(9.0, 9000).expect("the owner is gone")
    };
    p.store.apply(&claim.txn).expect("taken over");
    let lease = p.back();
    p.a.shard_record_written(&again, version);
    p.a.lease_renewed(lease, 12.0);
    assert_eq!(p.a.confirmed_at(), 5.6);
}

/// Guards against a takeover that was itself overtaken before its answer came:
/// while the share was being taken, while it was being read, and by a promise.
#[test]
fn a_claim_overtaken_before_its_answer_begins_nothing() {
    for (heard_before_answer, promised) in [(true, false), (false, false), (false, true)] {
        let mut p = pair();
        let claim = p.lapse();
        let version = p.store.apply(&claim.txn).expect("taken over");
        // B stands still; a is back and takes the share from it.
        p.store.end(2);
        p.back();
        read(&mut p.a, &p.store);
        assert!(p.a.is_deposed());
        p.a.step_down(3);
        let lease = p.a_lease;
        let LeaseStep::Write { boot, .. } = p.a.next_lease_step(9.0) else {
            panic!("the new incarnation is not written");
        };
        let key = records::alive_key("a");
        let txn = Txn::default().put_leased(&key, &AliveRecord { incarnation: boot }, Some(lease));
        let alive = p.store.apply(&txn).expect("written");
        p.a.alive_written(lease, boot, alive);
        let later = p.a.attempt_takeover(9.0, 9000).expect("b's lease is gone");
        p.store.apply(&later.txn).expect("taken back");
        // B goes on.
        if heard_before_answer {
            follow(&mut p.b, &p.store, version - 1);
            assert!(!p.b.takeover_written(&claim, version, 20.0));
        } else {
            assert!(p.b.takeover_written(&claim, version, 20.0));
            match promised {
                true => p.b.promise(later.shard.term),
                false => follow(&mut p.b, &p.store, version - 1),
            }
        }
        assert!(!p.b.begin_term(claim.shard.term, WATCHED) && !p.b.may_answer_workers(20.0));
    }
}

/// Guards against an answer of an earlier look that wipes out what came since,
/// and against an alive key of an earlier incarnation that stays.
#[test]
fn what_is_older_does_not_replace_what_is_newer() {
    let mut p = pair();
    p.store.end(p.a_lease);
    // Listed while its owner had no lease, and answered after it was back.
    let (old, at) = (p.store.list(records::CONTROL_PREFIX), p.store.revision);
    p.back();
    let again = p.a.reassert(5.6).expect("the lease is new");
    p.store.apply(&again.txn).expect("still ours");
    follow(&mut p.b, &p.store, at);
    let known = p.b.view.shard_version();
    p.b.view.apply_listing(&old, at);
    assert_eq!(p.b.view.shard_version(), known);
    assert!(
        p.b.attempt_takeover(6.0, 6000).is_none(),
        "its owner is alive"
    );
    // A look for the owner's key, begun before the record changed.
    p.b.view.leader_not_alive("a", at);
    assert!(
        p.b.attempt_takeover(6.0, 6000).is_none(),
        "its owner is alive"
    );
    // A write of an incarnation before this one comes late, over ours.
    let key = records::alive_key("a");
    let txn = Txn::default().put_leased(&key, &AliveRecord { incarnation: 77 }, Some(p.a_lease));
    let version = p.store.apply(&txn).expect("the lease lives");
    assert!(matches!(p.a.next_lease_step(7.0), LeaseStep::Renew(_)));
    p.a.view.see_alive("a".into(), 77, version);
    assert!(matches!(p.a.next_lease_step(7.0), LeaseStep::Write { .. }));
}

/// A key of our own that this version of the program cannot read is replaced, not tried
/// against for ever.
#[test]
fn an_alive_key_that_cannot_be_read_is_replaced() {
    let mut store = Store::default();
    let key = records::alive_key("a");
    let odd = serde_json::json!({"of": "a later version"});
    let version = store.apply(&Txn::default().put(&key, &odd)).expect("put");
    let mut a = tenure("a", &["b"], 1);
    read(&mut a, &store);
    a.lease_granted(store.grant(LIFE_S, 0.0));
    a.alive_read(store.get(&key).as_ref());
    assert!(matches!(a.next_lease_step(0.1), LeaseStep::Write { over, .. } if over == version));
}

/// Guards against a write of the alive key by an earlier incarnation that is carried out
/// after a later one: it would put the key under a lease that is about to end.
#[test]
fn an_alive_key_of_an_earlier_incarnation_is_not_written_late() {
    // Whether the earlier life's key stands when the later one looks, and whether that
    // one had read the area before.
    for (stood, read_before) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut store = Store::default();
        let mut before = tenure("a", &["b"], 1);
        if stood {
            enlist(&mut before, "a", &mut store, 0.0);
            before.step_down(2);
        } else {
            before.lease_granted(store.grant(LIFE_S, 0.0));
        }
        let LeaseStep::Write { lease, boot, over } = before.next_lease_step(0.1) else {
            panic!("nothing to write");
        };
        let late = records::write_alive("a", boot, lease, over);
        // It ends, and is back within its lease.
        let mut now = tenure("a", &["b"], 3);
        if read_before {
            read(&mut now, &store);
        }
        now.lease_granted(store.grant(LIFE_S, 0.5));
        let mut version = None;
        for _ in 0..2 {
            let LeaseStep::Write { lease, boot, over } = now.next_lease_step(0.6) else {
                panic!("nothing to write");
            };
            let txn = records::write_alive("a", boot, lease, over);
            match store.apply(&txn) {
                Ok(v) => {
                    now.alive_written(lease, boot, v);
                    version = Some(v);
                    break;
                }
                Err(_) => now.alive_read(store.get(&records::alive_key("a")).as_ref()),
            }
        }
        let written = version.expect("written at the second try at last");
        assert!(store.apply(&late).is_err(), "{stood} {read_before}");
        assert_eq!(store.version(&records::alive_key("a")), written);
        assert!(matches!(now.next_lease_step(0.7), LeaseStep::Renew(_)));
    }
}
