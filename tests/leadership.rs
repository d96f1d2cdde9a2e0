//! What a leader may conclude from responses that come late, one case each; the simulation
//! in tests/pause looks for the cases that are not here.

use foxspur::coordination::leadership::lease::{AliveKeyWrite, LeaseStep};
use foxspur::coordination::leadership::state::{Leadership, LeadershipConfig};
use foxspur::coordination::leadership::takeover::TakeoverAttempt;
use foxspur::protocol::state::{Entry, Txn};
use foxspur::storage::records::{self, AliveRecord, ShardRecord};
use foxspur_testbed::store::Store;

const LEASE_TTL_S: f64 = 4.0;
/// The watch of live jobs never falls behind in these cases.
const LISTED_AT: f64 = f64::MAX;

fn leadership(host: &str, peers: &[&str], incarnation: u64) -> Leadership {
    let config = LeadershipConfig {
        host: host.into(),
        peers: peers.iter().map(std::string::ToString::to_string).collect(),
        teams: Vec::new(),
        lease_ttl_s: LEASE_TTL_S,
        longest_silence_s: 96.0,
        worker_lease_s: 16.0,
        staleness_bound_s: 24.0,
        clock_bound_ms: 1000,
    };
    Leadership::new(config, incarnation)
}

/// The alive key that is to be written next.
fn next_alive_key(controller: &Leadership, now: f64) -> AliveKeyWrite {
    match controller.next_lease_step(now) {
        LeaseStep::WriteAliveKey(write) => write,
        other => panic!("no alive key is to be written: {other:?}"),
    }
}

/// Gets a lease and writes the alive key, as the lease loop does.
fn enlist(controller: &mut Leadership, host: &str, store: &mut Store, now: f64) -> u64 {
    let lease = store.grant(LEASE_TTL_S, now);
    controller.lease_granted(lease);
    let write = next_alive_key(controller, now);
    let version = store.apply(&write.txn(host)).expect("written");
    controller.alive_key_written(write, version);
    write.lease
}

/// Reads the control prefix.
fn read(controller: &mut Leadership, store: &Store) {
    let listed = store.list(records::CONTROL_PREFIX);
    controller.view.apply_listing(&listed, store.revision);
}

/// Tells the controller of all changes since this revision.
fn follow(controller: &mut Leadership, store: &Store, since: u64) {
    for (version, key, value) in store.log.iter().filter(|change| change.0 > since).cloned() {
        match value {
            Some(value) => controller.view.apply_entry(&Entry {
                key,
                value,
                version,
            }),
            None => controller.view.apply_deletion(&key, version),
        }
    }
}

/// Two controllers: `a` leads the shard under term 1 since 0, `b` is alive.
struct Pair {
    store: Store,
    leader: Leadership,
    standby: Leadership,
    leader_lease: u64,
}

impl Pair {
    fn new() -> Pair {
        let mut store = Store::default();
        let mut leader = leadership("a", &["b"], 1);
        let mut standby = leadership("b", &["a"], 2);
        let leader_lease = enlist(&mut leader, "a", &mut store, 0.0);
        read(&mut leader, &store);
        let attempt = leader.attempt_takeover(0.0, 0).expect("free");
        let version = store.apply(&attempt.txn).expect("taken over");
        assert!(leader.takeover_written(&attempt, version, 0.0));
        assert!(leader.begin_term(1, LISTED_AT));
        enlist(&mut standby, "b", &mut store, 0.0);
        read(&mut standby, &store);
        Pair {
            store,
            leader,
            standby,
            leader_lease,
        }
    }

    /// The leader's lease ends, the standby hears of it, and attempts a takeover.
    fn lose_lease(&mut self) -> TakeoverAttempt {
        let since = self.store.revision;
        self.store.end(self.leader_lease);
        follow(&mut self.standby, &self.store, since);
        self.standby
            .attempt_takeover(5.0, 5000)
            .expect("the leader is gone")
    }

    /// The leader notices that its lease ended, and gets another one.
    fn get_new_lease(&mut self) -> u64 {
        self.leader.lease_ended(self.leader_lease);
        self.leader_lease = enlist(&mut self.leader, "a", &mut self.store, 5.5);
        self.leader_lease
    }
}

/// Guards against a takeover that is attempted just before the leader's lease comes back and
/// carried out when that has ended as well: by the time of the attempt the former leader
/// would long be silent, and it is not.
#[test]
fn a_takeover_attempted_before_the_leader_came_back_is_void() {
    let mut pair = Pair::new();
    let late = pair.lose_lease();
    pair.get_new_lease();
    let update = pair
        .leader
        .update_under_new_lease(5.6)
        .expect("the lease is new");
    let version = pair.store.apply(&update.txn).expect("still ours");
    assert_eq!(pair.leader.shard_record_written(&update, version), Some(1));
    assert_eq!(pair.leader.confirmed_at(), 5.6);
    pair.store.end(pair.leader_lease);
    assert!(pair.store.apply(&late.txn).is_err());
}

/// Guards against a leader whose raised term was written while the response was lost: under
/// its old term nobody extends its lease, and an outage ends its workers' leases.
#[test]
fn a_term_raised_without_a_response_is_adopted() {
    for known in [true, false] {
        let mut pair = Pair::new();
        let since = pair.store.revision;
        let update = pair.leader.raise_term(1.0).expect("it is ours");
        pair.store.apply(&update.txn).expect("carried out");
        follow(&mut pair.standby, &pair.store, since);
        if known {
            follow(&mut pair.leader, &pair.store, since);
        }
        let adopted = pair.leader.adopt_raised_term();
        assert_eq!(adopted.is_some(), known);
        assert_eq!(pair.leader.adopt_raised_term(), None, "twice");
        let term = pair.leader.extension_due(10.0).expect("no contact");
        assert_eq!(pair.standby.knows_no_later_leader(term), known, "{term}");
        assert!(!pair.leader.is_deposed());
    }
}

/// Guards against a leader kept answering by the report of a controller that is about to take
/// over: a takeover counts the leader's silence from when it was attempted, and one that had
/// no response may yet be carried out, until the record it rests on is seen to have changed.
#[test]
fn a_controller_that_attempted_a_takeover_reports_nothing_to_the_leader() {
    let mut pair = Pair::new();
    assert!(pair.standby.may_report_cancellations_to(1));
    let late = pair.lose_lease();
    assert!(pair.standby.knows_no_later_leader(1) && !pair.standby.may_report_cancellations_to(1));
    // The leader is back, the record as it was: the attempt is still valid.
    let since = pair.store.revision;
    pair.get_new_lease();
    follow(&mut pair.standby, &pair.store, since);
    assert!(!pair.standby.may_report_cancellations_to(1));
    // It is written once more: the attempt is void.
    let since = pair.store.revision;
    let update = pair
        .leader
        .update_under_new_lease(5.6)
        .expect("the lease is new");
    pair.store.apply(&update.txn).expect("still ours");
    follow(&mut pair.standby, &pair.store, since);
    assert!(pair.standby.may_report_cancellations_to(1) && pair.store.apply(&late.txn).is_err());
}

/// Guards against a successor that counts on the silence of a leader of an older program,
/// which does not fall silent when it does not know of cancellations: while the controllers
/// are exchanged one by one, its lease may be extended for as long as ever.
#[test]
fn a_leader_of_an_older_program_is_given_its_longer_time() {
    // Whether the record says so, how long after the attempt it is silent, in seconds.
    for (bounded, silent_s) in [(true, 24.0), (false, 96.0)] {
        let mut pair = Pair::new();
        let entry = pair.store.get(records::SHARD_KEY).expect("taken");
        let mut shard = entry.read::<ShardRecord>().expect("reads");
        assert!(shard.bounded_staleness);
        shard.bounded_staleness = bounded;
        let since = pair.store.revision;
        let txn = Txn::default().put(records::SHARD_KEY, &shard);
        pair.store.apply(&txn).expect("written");
        follow(&mut pair.standby, &pair.store, since);
        let attempt = pair.lose_lease();
        let until = attempt
            .shard
            .former_leaders
            .first()
            .expect("a former leader")
            .until_ms;
        assert_eq!(until, 5000 + (silent_s * 1002.0) as u64 + 1000, "{bounded}");
    }
    // A record of an older program has no such field.
    let old = r#"{"owner":"a","boot":1,"term":1,"teams":[]}"#;
    assert!(serde_json::from_str::<ShardRecord>(old).is_ok_and(|s| !s.bounded_staleness));
}

/// Guards against renewals of a lease got after the shard was lost.
#[test]
fn a_new_lease_proves_nothing_before_the_record_is_written_under_it() {
    let mut pair = Pair::new();
    let attempt = pair.lose_lease();
    let version = pair.store.apply(&attempt.txn).expect("taken over");
    assert!(pair.standby.takeover_written(&attempt, version, 5.1));
    // The leader was paused and has heard of nothing.
    let lease = pair.get_new_lease();
    pair.leader.lease_renewed(lease, 6.0);
    assert_eq!(pair.leader.confirmed_at(), 0.0);
    let update = pair
        .leader
        .update_under_new_lease(6.1)
        .expect("the lease is new");
    assert!(pair.store.apply(&update.txn).is_err());
    // The renewal of an old lease, answered late, says nothing new either.
    pair.leader.lease_renewed(lease - 1, 7.0);
    assert!(!pair.leader.is_certain_leader(7.0) && !pair.leader.may_answer_workers(7.0));
}

/// Guards against the response to a rewrite that comes under the next lease but one: it
/// proves nothing about that.
#[test]
fn a_rewrite_counts_for_the_lease_it_was_made_under() {
    let mut pair = Pair::new();
    pair.store.end(pair.leader_lease);
    pair.get_new_lease();
    let update = pair
        .leader
        .update_under_new_lease(5.6)
        .expect("the lease is new");
    let version = pair.store.apply(&update.txn).expect("still ours");
    let attempt = {
        let since = pair.store.revision;
        pair.store.end(pair.leader_lease);
        read(&mut pair.standby, &pair.store);
        follow(&mut pair.standby, &pair.store, since);
        pair.standby
            .attempt_takeover(9.0, 9000)
            .expect("the leader is gone")
    };
    pair.store.apply(&attempt.txn).expect("taken over");
    let lease = pair.get_new_lease();
    pair.leader.shard_record_written(&update, version);
    pair.leader.lease_renewed(lease, 12.0);
    assert_eq!(pair.leader.confirmed_at(), 5.6);
}

/// Guards against a takeover that was itself overtaken before its response came: while the
/// shard was being taken over, while it was being loaded, and by a promise.
#[test]
fn a_takeover_overtaken_before_its_response_begins_no_term() {
    for (heard_before_response, promised) in [(true, false), (false, false), (false, true)] {
        let mut pair = Pair::new();
        let attempt = pair.lose_lease();
        let version = pair.store.apply(&attempt.txn).expect("taken over");
        // The standby is paused; the former leader is back and takes the shard from it.
        pair.store.end(2);
        pair.get_new_lease();
        read(&mut pair.leader, &pair.store);
        assert!(pair.leader.is_deposed());
        pair.leader.step_down(3);
        let write = AliveKeyWrite {
            lease: pair.leader_lease,
            ..next_alive_key(&pair.leader, 9.0)
        };
        let alive = AliveRecord {
            incarnation: write.incarnation,
        };
        let key = records::alive_key("a");
        let txn = Txn::default().put_leased(&key, &alive, Some(write.lease));
        let alive_version = pair.store.apply(&txn).expect("written");
        pair.leader.alive_key_written(write, alive_version);
        let later_attempt = pair
            .leader
            .attempt_takeover(9.0, 9000)
            .expect("the standby's lease is gone");
        pair.store.apply(&later_attempt.txn).expect("taken back");
        // The standby goes on.
        if heard_before_response {
            follow(&mut pair.standby, &pair.store, version - 1);
            assert!(!pair.standby.takeover_written(&attempt, version, 20.0));
        } else {
            assert!(pair.standby.takeover_written(&attempt, version, 20.0));
            match promised {
                true => pair.standby.promise(later_attempt.shard.term),
                false => follow(&mut pair.standby, &pair.store, version - 1),
            }
        }
        assert!(
            !pair.standby.begin_term(attempt.shard.term, LISTED_AT)
                && !pair.standby.may_answer_workers(20.0)
        );
    }
}

/// Guards against the response to an earlier read that wipes out what came since, and
/// against an alive key of an earlier incarnation that stays.
#[test]
fn what_is_older_does_not_replace_what_is_newer() {
    let mut pair = Pair::new();
    pair.store.end(pair.leader_lease);
    // Listed while its leader had no lease, and answered after it was back.
    let (old_listing, listed_at) = (
        pair.store.list(records::CONTROL_PREFIX),
        pair.store.revision,
    );
    pair.get_new_lease();
    let update = pair
        .leader
        .update_under_new_lease(5.6)
        .expect("the lease is new");
    pair.store.apply(&update.txn).expect("still ours");
    follow(&mut pair.standby, &pair.store, listed_at);
    let known = pair.standby.view.shard_version();
    pair.standby.view.apply_listing(&old_listing, listed_at);
    assert_eq!(pair.standby.view.shard_version(), known);
    assert!(
        pair.standby.attempt_takeover(6.0, 6000).is_none(),
        "its leader is alive"
    );
    // A read of the leader's key, begun before the record changed.
    pair.standby.view.leader_not_alive("a", listed_at);
    assert!(
        pair.standby.attempt_takeover(6.0, 6000).is_none(),
        "its leader is alive"
    );
    // A write of an earlier incarnation comes late, over ours.
    let key = records::alive_key("a");
    let txn = Txn::default().put_leased(
        &key,
        &AliveRecord { incarnation: 77 },
        Some(pair.leader_lease),
    );
    let version = pair.store.apply(&txn).expect("the lease lives");
    assert!(matches!(
        pair.leader.next_lease_step(7.0),
        LeaseStep::Renew(_)
    ));
    pair.leader.view.see_alive("a".into(), 77, version);
    assert!(matches!(
        pair.leader.next_lease_step(7.0),
        LeaseStep::WriteAliveKey(_)
    ));
}

/// An alive key of our own that this version of the program cannot read is replaced, not
/// retried against for ever.
#[test]
fn an_alive_key_that_cannot_be_read_is_replaced() {
    let mut store = Store::default();
    let key = records::alive_key("a");
    let unreadable = serde_json::json!({"of": "a later version"});
    let version = store
        .apply(&Txn::default().put(&key, &unreadable))
        .expect("put");
    let mut a = leadership("a", &["b"], 1);
    read(&mut a, &store);
    a.lease_granted(store.grant(LEASE_TTL_S, 0.0));
    a.alive_key_read(store.get(&key).as_ref());
    assert_eq!(next_alive_key(&a, 0.1).expected_version, version);
}

/// Guards against a write of the alive key by an earlier incarnation that is carried out
/// after a later one: it would put the key under a lease that is about to end.
#[test]
fn an_alive_key_of_an_earlier_incarnation_is_not_written_late() {
    // Whether the earlier process's key exists when the later one looks, and whether that one
    // had read the control prefix before.
    for (existed, read_before) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut store = Store::default();
        let mut before = leadership("a", &["b"], 1);
        if existed {
            enlist(&mut before, "a", &mut store, 0.0);
            before.step_down(2);
        } else {
            before.lease_granted(store.grant(LEASE_TTL_S, 0.0));
        }
        let late = next_alive_key(&before, 0.1).txn("a");
        // The process ends, and is back within its lease.
        let mut restarted = leadership("a", &["b"], 3);
        if read_before {
            read(&mut restarted, &store);
        }
        restarted.lease_granted(store.grant(LEASE_TTL_S, 0.5));
        let mut version = None;
        for _ in 0..2 {
            let write = next_alive_key(&restarted, 0.6);
            match store.apply(&write.txn("a")) {
                Ok(written) => {
                    restarted.alive_key_written(write, written);
                    version = Some(written);
                    break;
                }
                Err(_) => restarted.alive_key_read(store.get(&records::alive_key("a")).as_ref()),
            }
        }
        let written = version.expect("written at the second try at last");
        assert!(store.apply(&late).is_err(), "{existed} {read_before}");
        assert_eq!(store.version(&records::alive_key("a")), written);
        assert!(matches!(
            restarted.next_lease_step(0.7),
            LeaseStep::Renew(_)
        ));
    }
}
