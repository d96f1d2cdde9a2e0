//! The decisions of a failover: when this controller may take the shard over, the
//! conditional transaction that does so under a new term, and what follows from its
//! response, however late the response arrives. `loops::failover` sends the requests.

use crate::coordination::leadership::cancellation_horizon::CancellationHorizon;
use crate::coordination::leadership::state::{AliveKey, LeaderTerm, Leadership};
use crate::protocol::state::Txn;
use crate::storage::records::{self, FormerLeader, ShardRecord, TermCounter};

/// Upper bound on the milliseconds that one controller's clock advances during one second of
/// another controller's. The excess over 1000 is an ample margin for clock drift.
const MS_PER_S_WITH_DRIFT: f64 = 1002.0;

/// A takeover attempt, with what is needed to process its response.
#[derive(Debug, Clone)]
pub struct TakeoverAttempt {
    /// The transaction that takes the shard over.
    pub txn: Txn,
    /// The shard record that the transaction writes.
    pub shard: ShardRecord,
    /// The lease to which our alive key is attached.
    lease: u64,
    /// When the attempt was decided.
    asked_at: f64,
}

impl Leadership {
    /// The takeover to attempt; `None` if the shard may not be taken over. The shard may be taken
    /// over if it has no leader, if its leader's lease has ended, or if it was ours before we
    /// restarted or stepped down.
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
            .put(records::TERM_KEY, &TermCounter::after_taking(shard.term));
        self.attempted_version = Some(self.view.shard_version());
        Some(TakeoverAttempt {
            txn,
            shard,
            lease: key.lease,
            asked_at: now,
        })
    }

    /// The conditions of the takeover transaction; `None` if another leader is alive.
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
        // The present leader may not know yet that its lease has ended. These conditions suffice
        // however late the transaction is carried out: the lease had ended when we read the
        // clock, and a leader that got a new lease since would have rewritten the shard record.
        let leader_key = records::alive_key(&shard.leader);
        Some(txn.when(records::SHARD_KEY, *version).when(&leader_key, 0))
    }

    /// The former leaders that may still answer workers, including the leader from which the
    /// shard is taken.
    fn former_leaders_after_takeover(&self, now_ms: u64) -> Vec<FormerLeader> {
        let Some((shard, _)) = &self.view.shard else {
            return Vec::new();
        };
        let mut former_leaders = self.unfenced_former_leaders(&shard.former_leaders, now_ms);
        if shard.leader != self.config.host {
            former_leaders.push(FormerLeader {
                host: shard.leader.clone(),
                incarnation: shard.incarnation,
                until_ms: now_ms + self.max_answering_ms(shard) + self.config.max_clock_error_ms,
            });
        }
        former_leaders
    }

    /// The maximum time for which the shard's present leader may still answer workers if the
    /// shard is taken over now, in milliseconds by any controller's clock.
    ///
    /// The leader's knowledge of cancellations cannot be newer than the last check of its
    /// leadership, and from now on we report no cancellations to the leader. So the leader stops
    /// when its knowledge is older than the staleness bound. A leader that runs an older program
    /// has no such bound and goes on for as long as its lease is extended.
    fn max_answering_ms(&self, shard: &ShardRecord) -> u64 {
        let config = &self.config;
        let max_answering_s = if shard.bounded_staleness {
            config.max_without_contact_s.min(config.staleness_bound_s)
        } else {
            config.max_without_contact_s
        };
        (max_answering_s * MS_PER_S_WITH_DRIFT) as u64
    }

    /// Records that the takeover was carried out at `version`. Returns false if another controller
    /// has taken the shard over since, or if we lead already.
    pub fn takeover_written(&mut self, attempt: &TakeoverAttempt, version: u64, now: f64) -> bool {
        let term = attempt.shard.term;
        self.view.update_shard(attempt.shard.clone(), version);
        self.view
            .update_term(TermCounter::after_taking(term).term, version);
        if !self.holds_term(term) || self.leader_term.is_some() {
            return false;
        }
        self.promised_term = self.promised_term.max(term);
        self.confirmed_lease = Some(attempt.lease);
        self.confirmed_at = attempt.asked_at;
        self.taken_over_at = now;
        true
    }

    /// Starts to lead the shard after its records were loaded. Returns false if the shard was lost
    /// meanwhile. The listing of live jobs was requested at `listed_at`.
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
