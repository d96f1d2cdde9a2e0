//! Rewrites of this controller's own shard record, and what follows from their responses or
//! from a lost response. The record is rewritten under a new lease, to confirm that the shard
//! is still ours. It is also rewritten under a higher term, so that workers reject commands of
//! unknown outcome that may still arrive.

use crate::coordination::leadership::state::Leadership;
use crate::protocol::state::Txn;
use crate::storage::records::{self, ShardRecord, TermCounter};

/// Why the shard record is rewritten.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Purpose {
    /// Confirm our leadership under this lease.
    ConfirmUnder { lease: u64 },
    /// Raise the term.
    RaiseTerm,
}

/// A rewrite of our own shard record, with what is needed to process its response.
#[derive(Debug, Clone)]
pub struct ShardUpdate {
    /// The transaction that rewrites the record.
    pub txn: Txn,
    shard: ShardRecord,
    purpose: Purpose,
    asked_at: f64,
}

impl ShardUpdate {
    /// Whether the rewrite raises the term.
    pub fn raises_term(&self) -> bool {
        self.purpose == Purpose::RaiseTerm
    }
}

impl Leadership {
    /// The rewrite that confirms our leadership under the present lease; `None` unless our previous
    /// lease expired while we lead. The rewrite fails if another controller has taken the shard
    /// over since.
    pub fn update_under_new_lease(&self, now: f64) -> Option<ShardUpdate> {
        self.leader_term?;
        let key = self.own_alive_key()?;
        let (shard, version) = self.own_shard()?;
        if self.confirmed_lease == Some(key.lease) {
            return None;
        }
        let own_key = records::alive_key(&self.config.host);
        Some(ShardUpdate {
            txn: Txn::default()
                .when(records::SHARD_KEY, *version)
                .when(&own_key, key.version)
                .put(records::SHARD_KEY, shard),
            shard: shard.clone(),
            purpose: Purpose::ConfirmUnder { lease: key.lease },
            asked_at: now,
        })
    }

    /// The rewrite that raises the term of our shard, so that workers reject earlier commands that
    /// arrive late; `None` if we do not lead.
    pub fn raise_term(&self, now: f64) -> Option<ShardUpdate> {
        self.leader_term?;
        let (shard, version) = self.own_shard()?;
        let shard = ShardRecord {
            term: self.view.term.0 + 1,
            ..shard.clone()
        };
        Some(ShardUpdate {
            txn: Txn::default()
                .when(records::SHARD_KEY, *version)
                .when(records::TERM_KEY, self.view.term.1)
                .put(records::SHARD_KEY, &shard)
                .put(records::TERM_KEY, &TermCounter::after_taking(shard.term)),
            shard,
            purpose: Purpose::RaiseTerm,
            asked_at: now,
        })
    }

    /// Records that the shard record was rewritten at `version`. Returns the term under which we
    /// act now; `None` if the shard is not ours any more.
    pub fn shard_record_written(&mut self, update: &ShardUpdate, version: u64) -> Option<u64> {
        let term = update.shard.term;
        self.view.update_shard(update.shard.clone(), version);
        if update.raises_term() {
            self.view
                .update_term(TermCounter::after_taking(term).term, version);
        }
        // If we stepped down and took over again since, this response is about an earlier term.
        let holds = self.holds_term(term);
        let acting = self.leader_term.as_mut().filter(|_| holds)?;
        acting.term = acting.term.max(term);
        let acting_term = acting.term;
        if let Purpose::ConfirmUnder { lease } = update.purpose {
            self.confirmed_lease = Some(lease);
            self.confirmed_at = self.confirmed_at.max(update.asked_at);
        }
        self.promised_term = self.promised_term.max(acting_term);
        self.extensions.restart_for(acting_term);
        Some(acting_term)
    }

    /// Adopts the term of our own shard record if it is higher than the term under which we act,
    /// and returns the adopted term; otherwise returns `None`. The record has a higher term if a
    /// rewrite was carried out but its response was lost.
    ///
    /// If the leader kept its old term, peers that know the record would not extend its lease,
    /// and in an outage its workers' leases would expire.
    pub fn adopt_raised_term(&mut self) -> Option<u64> {
        let (shard, _) = self.own_shard()?;
        let term = shard.term;
        let acting = self
            .leader_term
            .as_mut()
            .filter(|acting| acting.term < term)?;
        acting.term = term;
        self.promised_term = self.promised_term.max(term);
        self.extensions.restart_for(term);
        Some(term)
    }
}
