//! Rewrites of our own shard record: under a new lease, to confirm that the shard is still
//! ours, and under a higher term, to rule out lost commands; and what follows when their
//! responses come, or never do.

use crate::coordination::leadership::state::Leadership;
use crate::protocol::state::Txn;
use crate::storage::records::{self, ShardRecord, TermCounter};

/// What a rewrite of the shard record is for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Purpose {
    /// Confirm our leadership under this lease.
    ConfirmUnder { lease: u64 },
    /// Raise the term.
    RaiseTerm,
}

/// A rewrite of our own shard record under way.
#[derive(Debug, Clone)]
pub struct ShardUpdate {
    /// The transaction that rewrites it.
    pub txn: Txn,
    shard: ShardRecord,
    purpose: Purpose,
    asked_at: f64,
}

impl ShardUpdate {
    /// Whether it is under a higher term.
    pub fn raises_term(&self) -> bool {
        self.purpose == Purpose::RaiseTerm
    }
}

impl Leadership {
    /// After our lease expired while we act: the record written once more under the present
    /// lease, if nobody took the shard over in between.
    pub fn reassert(&self, now: f64) -> Option<ShardUpdate> {
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

    /// A higher term for our shard, to rule out lost commands.
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
                .put(records::TERM_KEY, &TermCounter::taken(shard.term)),
            shard,
            purpose: Purpose::RaiseTerm,
            asked_at: now,
        })
    }

    /// The record was rewritten at `version`; our term, if it still is ours.
    pub fn shard_record_written(&mut self, update: &ShardUpdate, version: u64) -> Option<u64> {
        let term = update.shard.term;
        self.view.see_shard(update.shard.clone(), version);
        if update.raises_term() {
            self.view.see_term(TermCounter::taken(term).term, version);
        }
        // If we stepped down and took over again meanwhile, this was about another term.
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

    /// Acts under the term of our own record where that is higher, and says which it is: a
    /// rewrite was carried out and its response lost.
    ///
    /// Guards against a leader that goes on under its old term: peers that know the record
    /// do not extend a lease under that, and in an outage its workers' leases expired.
    pub fn adopt_raised_term(&mut self) -> Option<u64> {
        let (shard, _) = self.own_shard()?;
        let term = shard.term;
        let acting = self.leader_term.as_mut().filter(|a| a.term < term)?;
        acting.term = term;
        self.promised_term = self.promised_term.max(term);
        self.extensions.restart_for(term);
        Some(term)
    }
}
