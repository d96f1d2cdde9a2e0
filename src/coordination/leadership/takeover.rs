//! Failover, the decisions: when this controller may take the shard over, the conditional
//! transaction that does it under a fresh term, and what follows when its response comes,
//! however late. The requests themselves are sent in `loops::failover`.

use crate::coordination::leadership::cancellation_horizon::CancellationHorizon;
use crate::coordination::leadership::state::{AliveKey, LeaderTerm, Leadership};
use crate::protocol::state::Txn;
use crate::storage::records::{self, FormerLeader, ShardRecord, TermCounter};

/// Milliseconds by the slowest clock in a second by the fastest one, with room to spare.
const SLOW_CLOCK_MS_PER_S: f64 = 1002.0;

/// A takeover under way, and what it will mean if it succeeds.
#[derive(Debug, Clone)]
pub struct TakeoverAttempt {
    /// The transaction that takes the shard over.
    pub txn: Txn,
    /// The shard record that it writes.
    pub shard: ShardRecord,
    /// The lease on which our alive key stands.
    lease: u64,
    asked_at: f64,
}

impl Leadership {
    /// The takeover to attempt if the shard may be taken: nobody leads it, its leader's lease
    /// is gone, or it is our own from before a restart.
    pub fn attempt_takeover(&mut self, now: f64, now_ms: u64) -> Option<TakeoverAttempt> {
        if !self.view.loaded || self.leader_term.is_some() || self.has_resigned(now) {
            return None;
        }
        let key = self.own_alive_key()?;
        let conditions = self.takeover_conditions(key)?;
        let shard = ShardRecord {
            leader: self.config.host.clone(),
            incarnation: self.incarnation,
            term: self.view.term.0 + 1,
            teams: self.config.teams.clone(),
            former_leaders: self.former_leaders_after_takeover(now_ms),
            bounded_staleness: true,
        };
        let txn = conditions
            .put(records::SHARD_KEY, &shard)
            .put(records::TERM_KEY, &TermCounter::taken(shard.term));
        self.attempted_version = Some(self.view.shard_version());
        Some(TakeoverAttempt {
            txn,
            shard,
            lease: key.lease,
            asked_at: now,
        })
    }

    /// What must still hold when the takeover is carried out; `None` if another leader is
    /// alive.
    fn takeover_conditions(&self, key: AliveKey) -> Option<Txn> {
        let host = &self.config.host;
        let txn = Txn::default()
            .when(&records::alive_key(host), key.version)
            .when(records::TERM_KEY, self.view.term.1);
        let Some((shard, version)) = &self.view.shard else {
            return Some(txn.when(records::SHARD_KEY, 0));
        };
        if shard.leader == *host {
            return Some(txn.when(records::SHARD_KEY, *version));
        }
        if self.view.alive.contains_key(&shard.leader) {
            return None;
        }
        // Taken from a leader that may not know yet. However late this is carried out: its
        // lease was gone when we looked at the clock, and had it come back since, the shard
        // record would have been written again.
        let leader_key = records::alive_key(&shard.leader);
        Some(txn.when(records::SHARD_KEY, *version).when(&leader_key, 0))
    }

    /// The leaders before us that may still answer workers, with the one that the shard is
    /// taken from.
    fn former_leaders_after_takeover(&self, now_ms: u64) -> Vec<FormerLeader> {
        let Some((shard, _)) = &self.view.shard else {
            return Vec::new();
        };
        let mut former_leaders = self.remaining_former_leaders(&shard.former_leaders, now_ms);
        if shard.leader != self.config.host {
            former_leaders.push(FormerLeader {
                host: shard.leader.clone(),
                incarnation: shard.incarnation,
                until_ms: now_ms + self.silent_after_ms(shard) + self.config.clock_bound_ms,
            });
        }
        former_leaders
    }

    /// How long the shard's present leader may answer workers at most if it is taken over
    /// now, in milliseconds by any clock.
    ///
    /// It knows nothing newer of cancellations than the check of its leadership, and gets no
    /// report of ours from now on. An older program goes on all the same, for as long as its
    /// lease is extended.
    fn silent_after_ms(&self, shard: &ShardRecord) -> u64 {
        let config = &self.config;
        let silent_s = if shard.bounded_staleness {
            config.longest_silence_s.min(config.staleness_bound_s)
        } else {
            config.longest_silence_s
        };
        (silent_s * SLOW_CLOCK_MS_PER_S) as u64
    }

    /// The takeover was carried out at `version`; false if it has been overtaken while the
    /// response was on its way, or while we were paused.
    pub fn takeover_written(&mut self, attempt: &TakeoverAttempt, version: u64, now: f64) -> bool {
        let term = attempt.shard.term;
        self.view.see_shard(attempt.shard.clone(), version);
        self.view.see_term(TermCounter::taken(term).term, version);
        if !self.holds_term(term) || self.leader_term.is_some() {
            return false;
        }
        self.promised_term = self.promised_term.max(term);
        self.confirmed_lease = Some(attempt.lease);
        self.confirmed_at = attempt.asked_at;
        self.taken_over_at = now;
        true
    }

    /// The shard is loaded: from now on we act for it, unless it was lost meanwhile.
    ///
    /// The live jobs were read after `listed_at`.
    pub fn begin_term(&mut self, term: u64, listed_at: f64) -> bool {
        if !self.holds_term(term) {
            return false;
        }
        self.horizon = CancellationHorizon::default();
        self.horizon.watch_answered(listed_at);
        self.leader_term = Some(LeaderTerm {
            base_term: term,
            term,
        });
        self.extensions.restart_for(term);
        self.promises.restart_for(term);
        true
    }
}
