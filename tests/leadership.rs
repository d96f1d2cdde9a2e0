//! What a controller may conclude from responses that arrive late, with one case per test. The
//! simulation in tests/pause searches for further cases.

use foxspur::coordination::leadership::lease::{AliveKeyWrite, LeaseStep};
use foxspur::coordination::leadership::state::{Leadership, LeadershipConfig};
use foxspur::coordination::leadership::takeover::TakeoverAttempt;
use foxspur::protocol::state::{Entry, Txn};
use foxspur::storage::records::{self, AliveRecord, ShardRecord};
use foxspur_testbed::store::Store;

const LEASE_TTL_S: f64 = 4.0;
/// When the live jobs were listed. This is the maximum time, so that the knowledge of
/// cancellations is never too old in these tests.
const LISTED_AT: f64 = f64::MAX;

fn leadership(host: &str, peers: &[&str], incarnation: u64) -> Leadership {
    let config = LeadershipConfig {
        host: host.into(),
        peers: peers.iter().map(std::string::ToString::to_string).collect(),
        teams: Vec::new(),
        lease_ttl_s: LEASE_TTL_S,
        max_without_contact_s: 96.0,
        worker_lease_s: 16.0,
        staleness_bound_s: 24.0,
        max_clock_error_ms: 1000,
    };
    Leadership::new(config, incarnation)
}

/// The write of the alive key that the lease loop would send next.
fn next_alive_key(controller: &Leadership, now: f64) -> AliveKeyWrite {
    match controller.next_lease_step(now) {
        LeaseStep::WriteAliveKey(write) => write,
        other => panic!("expected a write of the alive key, got {other:?}"),
    }
}

/// Gets a lease and writes the alive key, as the lease loop does.
fn get_lease_and_write_alive_key(
    controller: &mut Leadership,
    host: &str,
    store: &mut Store,
    now: f64,
) -> u64 {
    let lease = store.grant(LEASE_TTL_S, now);
    controller.lease_granted(lease);
    let write = next_alive_key(controller, now);
    let version = store.apply(&write.txn(host)).expect("written");
    controller.alive_key_written(write, version);
    write.lease
}

/// Lists the control prefix and applies it to the controller's view.
fn list_control_prefix(controller: &mut Leadership, store: &Store) {
    let listed = store.list(records::CONTROL_PREFIX);
    controller.view.apply_listing(&listed, store.revision);
}

/// Applies all changes after this revision to the controller's view.
fn apply_changes_since(controller: &mut Leadership, store: &Store, since: u64) {
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

/// Two controllers: `a` has led the shard under term 1 since time 0, and `b` is alive.
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
        let leader_lease = get_lease_and_write_alive_key(&mut leader, "a", &mut store, 0.0);
        list_control_prefix(&mut leader, &store);
        let attempt = leader
            .attempt_takeover(0.0, 0)
            .expect("the shard has no leader");
        let version = store.apply(&attempt.txn).expect("taken over");
        assert!(leader.takeover_written(&attempt, version, 0.0));
        assert!(leader.begin_term(1, LISTED_AT));
        get_lease_and_write_alive_key(&mut standby, "b", &mut store, 0.0);
        list_control_prefix(&mut standby, &store);
        Pair {
            store,
            leader,
            standby,
            leader_lease,
        }
    }

    /// Ends the leader's lease, lets the standby learn of this, and returns the standby's takeover
    /// attempt.
    fn expire_lease_and_attempt_takeover(&mut self) -> TakeoverAttempt {
        let since = self.store.revision;
        self.store.end(self.leader_lease);
        apply_changes_since(&mut self.standby, &self.store, since);
        self.standby
            .attempt_takeover(5.0, 5000)
            .expect("the leader is gone")
    }

    /// Lets the leader notice that its lease ended, and get another lease.
    fn get_new_lease(&mut self) -> u64 {
        self.leader.lease_ended(self.leader_lease);
        self.leader_lease =
            get_lease_and_write_alive_key(&mut self.leader, "a", &mut self.store, 5.5);
        self.leader_lease
    }
}

/// Guards against a delayed takeover, which is attempted while the leader has no lease and carried
/// out after the leader has got a new lease and lost the new one as well. Counted from the
/// attempt, the former leader would long have stopped answering workers, but it still answers.
#[test]
fn takeover_attempted_before_the_leader_got_a_new_lease_is_void() {
    let mut pair = Pair::new();
    let late_attempt = pair.expire_lease_and_attempt_takeover();
    pair.get_new_lease();
    let update = pair
        .leader
        .update_under_new_lease(5.6)
        .expect("the lease is new");
    let version = pair.store.apply(&update.txn).expect("still ours");
    assert_eq!(pair.leader.shard_record_written(&update, version), Some(1));
    assert_eq!(pair.leader.confirmed_at(), 5.6);
    pair.store.end(pair.leader_lease);
    assert!(pair.store.apply(&late_attempt.txn).is_err());
}

/// Guards against a leader that keeps its old term after it raised the term and the response
/// was lost. No controller extends a lease under the old term, so an outage would end the
/// leases of its workers.
#[test]
fn raised_term_is_adopted_after_a_lost_response() {
    for leader_saw_write in [true, false] {
        let mut pair = Pair::new();
        let since = pair.store.revision;
        let update = pair.leader.raise_term(1.0).expect("the shard is ours");
        pair.store.apply(&update.txn).expect("carried out");
        apply_changes_since(&mut pair.standby, &pair.store, since);
        if leader_saw_write {
            apply_changes_since(&mut pair.leader, &pair.store, since);
        }
        let adopted = pair.leader.adopt_raised_term();
        assert_eq!(adopted.is_some(), leader_saw_write);
        assert_eq!(
            pair.leader.adopt_raised_term(),
            None,
            "the raised term was adopted twice"
        );
        let term = pair
            .leader
            .extension_due(10.0)
            .expect("a lease extension is due");
        assert_eq!(
            pair.standby.knows_no_higher_term(term),
            leader_saw_write,
            "term {term}"
        );
        assert!(!pair.leader.is_deposed());
    }
}

/// Guards against a controller that attempts a takeover and also reports cancellations to the
/// leader, which lets the leader go on answering workers. A takeover counts the time after which
/// the leader has stopped answering workers from the attempt. An attempt without a response may
/// still be carried out until the shard record that it requires is known to have changed.
#[test]
fn no_cancellations_are_reported_to_the_leader_after_a_takeover_attempt() {
    let mut pair = Pair::new();
    assert!(pair.standby.may_report_cancellations_to(1));
    let late_attempt = pair.expire_lease_and_attempt_takeover();
    assert!(pair.standby.knows_no_higher_term(1) && !pair.standby.may_report_cancellations_to(1));
    // The leader has a new lease and the shard record is unchanged: the attempt is still valid.
    let since = pair.store.revision;
    pair.get_new_lease();
    apply_changes_since(&mut pair.standby, &pair.store, since);
    assert!(!pair.standby.may_report_cancellations_to(1));
    // The leader rewrites the shard record: the attempt is void.
    let since = pair.store.revision;
    let update = pair
        .leader
        .update_under_new_lease(5.6)
        .expect("the lease is new");
    pair.store.apply(&update.txn).expect("still ours");
    apply_changes_since(&mut pair.standby, &pair.store, since);
    assert!(
        pair.standby.may_report_cancellations_to(1) && pair.store.apply(&late_attempt.txn).is_err()
    );
}

/// Guards against a new leader that waits too briefly for a former leader of an older program
/// version, as happens while the controllers are upgraded one by one. The older version does
/// not stop answering when its knowledge of cancellations is old, so it may go on for as long
/// as its lease can be extended.
#[test]
fn former_leader_of_an_older_version_is_given_more_time() {
    // Whether the staleness of the leader's knowledge is bounded, and the time from the attempt
    // until the leader has stopped answering workers, in seconds.
    for (bounded, stopped_after_s) in [(true, 24.0), (false, 96.0)] {
        let mut pair = Pair::new();
        let entry = pair.store.get(records::SHARD_KEY).expect("taken");
        let mut shard = entry.read::<ShardRecord>().expect("a shard record");
        assert!(shard.bounded_staleness);
        shard.bounded_staleness = bounded;
        let since = pair.store.revision;
        let txn = Txn::default().put(records::SHARD_KEY, &shard);
        pair.store.apply(&txn).expect("written");
        apply_changes_since(&mut pair.standby, &pair.store, since);
        let attempt = pair.expire_lease_and_attempt_takeover();
        let until_ms = attempt
            .shard
            .former_leaders
            .first()
            .expect("a former leader")
            .until_ms;
        assert_eq!(
            until_ms,
            5000 + (stopped_after_s * 1002.0) as u64 + 1000,
            "bounded: {bounded}"
        );
    }
    // A record that an older version wrote has no such field.
    let old_record = r#"{"owner":"a","boot":1,"term":1,"teams":[]}"#;
    assert!(
        serde_json::from_str::<ShardRecord>(old_record).is_ok_and(|shard| !shard.bounded_staleness)
    );
}

/// Guards against a former leader that takes the renewal of a new lease, granted after it lost
/// the shard, as a confirmation of its leadership.
#[test]
fn new_lease_confirms_nothing_before_the_shard_record_is_rewritten() {
    let mut pair = Pair::new();
    let attempt = pair.expire_lease_and_attempt_takeover();
    let version = pair.store.apply(&attempt.txn).expect("taken over");
    assert!(pair.standby.takeover_written(&attempt, version, 5.1));
    // The former leader was paused and does not know of the takeover.
    let lease = pair.get_new_lease();
    pair.leader.lease_renewed(lease, 6.0);
    assert_eq!(pair.leader.confirmed_at(), 0.0);
    let update = pair
        .leader
        .update_under_new_lease(6.1)
        .expect("the lease is new");
    assert!(pair.store.apply(&update.txn).is_err());
    // A late response to the renewal of an old lease confirms nothing either.
    pair.leader.lease_renewed(lease - 1, 7.0);
    assert!(!pair.leader.is_confirmed_leader(7.0) && !pair.leader.may_answer_workers(7.0));
}

/// Guards against a controller that takes a late response to a rewrite of the shard record as a
/// confirmation under a newer lease than the one under which the record was rewritten.
#[test]
fn rewrite_confirms_only_the_lease_it_was_made_under() {
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
        list_control_prefix(&mut pair.standby, &pair.store);
        apply_changes_since(&mut pair.standby, &pair.store, since);
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

/// Guards against a controller that begins a term although another controller has taken the
/// shard over since. The controller learns of the later takeover before its own response arrives,
/// while it loads the shard, or by a promise that it gives.
#[test]
fn superseded_takeover_begins_no_term() {
    for (informed_before_response, promised) in [(true, false), (false, false), (false, true)] {
        let mut pair = Pair::new();
        let attempt = pair.expire_lease_and_attempt_takeover();
        let version = pair.store.apply(&attempt.txn).expect("taken over");
        // The standby is paused, and its lease ends, which is the second lease that was granted.
        // The former leader takes the shard back.
        pair.store.end(2);
        pair.get_new_lease();
        list_control_prefix(&mut pair.leader, &pair.store);
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
        // The standby resumes.
        if informed_before_response {
            apply_changes_since(&mut pair.standby, &pair.store, version - 1);
            assert!(!pair.standby.takeover_written(&attempt, version, 20.0));
        } else {
            assert!(pair.standby.takeover_written(&attempt, version, 20.0));
            match promised {
                true => pair.standby.promise(later_attempt.shard.term),
                false => apply_changes_since(&mut pair.standby, &pair.store, version - 1),
            }
        }
        assert!(
            !pair.standby.begin_term(attempt.shard.term, LISTED_AT)
                && !pair.standby.may_answer_workers(20.0)
        );
    }
}

/// Guards against an outdated response that replaces newer knowledge. Also guards against a leader
/// that does not overwrite its alive key after an earlier incarnation has written the key.
#[test]
fn outdated_responses_do_not_replace_newer_knowledge() {
    let mut pair = Pair::new();
    pair.store.end(pair.leader_lease);
    // A listing made while the leader had no lease, whose response arrives after the leader got
    // a new one.
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
    apply_changes_since(&mut pair.standby, &pair.store, listed_at);
    let known_version = pair.standby.view.shard_version();
    pair.standby.view.apply_listing(&old_listing, listed_at);
    assert_eq!(pair.standby.view.shard_version(), known_version);
    assert!(
        pair.standby.attempt_takeover(6.0, 6000).is_none(),
        "the standby attempts a takeover although the leader is alive"
    );
    // A read of the leader's alive key that began before the shard record changed.
    pair.standby.view.leader_not_alive("a", listed_at);
    assert!(
        pair.standby.attempt_takeover(6.0, 6000).is_none(),
        "the standby attempts a takeover although the leader is alive"
    );
    // A delayed write of an earlier incarnation overwrites the leader's alive key.
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
    pair.leader.view.update_alive_key("a".into(), 77, version);
    assert!(matches!(
        pair.leader.next_lease_step(7.0),
        LeaseStep::WriteAliveKey(_)
    ));
}

/// Guards against a controller that finds its own alive key in a format that it cannot read
/// and retries forever instead of replacing the key.
#[test]
fn unreadable_alive_key_is_replaced() {
    let mut store = Store::default();
    let key = records::alive_key("a");
    let unreadable = serde_json::json!({"of": "a later version"});
    let version = store
        .apply(&Txn::default().put(&key, &unreadable))
        .expect("put");
    let mut controller = leadership("a", &["b"], 1);
    list_control_prefix(&mut controller, &store);
    controller.lease_granted(store.grant(LEASE_TTL_S, 0.0));
    controller.alive_key_read(store.get(&key).as_ref());
    assert_eq!(next_alive_key(&controller, 0.1).expected_version, version);
}

/// Guards against a delayed write of the alive key by an earlier process that is carried out
/// after the write of its successor. The delayed write would attach the key to a lease that is
/// about to end.
#[test]
fn late_alive_key_write_of_an_earlier_process_fails() {
    // Whether the earlier process had written its alive key, and whether the restarted process
    // lists the control prefix before it writes the key.
    for (existed, listed_before) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut store = Store::default();
        let mut earlier = leadership("a", &["b"], 1);
        if existed {
            get_lease_and_write_alive_key(&mut earlier, "a", &mut store, 0.0);
            earlier.step_down(2);
        } else {
            earlier.lease_granted(store.grant(LEASE_TTL_S, 0.0));
        }
        let late_write = next_alive_key(&earlier, 0.1).txn("a");
        // The process ends and restarts before its lease expires.
        let mut restarted = leadership("a", &["b"], 3);
        if listed_before {
            list_control_prefix(&mut restarted, &store);
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
        let written = version.expect("written by the second attempt");
        assert!(
            store.apply(&late_write).is_err(),
            "existed: {existed}, listed before: {listed_before}"
        );
        assert_eq!(store.version(&records::alive_key("a")), written);
        assert!(matches!(
            restarted.next_lease_step(0.7),
            LeaseStep::Renew(_)
        ));
    }
}
