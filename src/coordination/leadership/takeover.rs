//! Taking the share, and keeping it: the transactions, and what follows when
//! their answers come, however late.

use crate::coordination::leadership::cancellation_horizon::CancellationHorizon;
use crate::coordination::leadership::leadership::{LeaderTerm, Leadership};
use crate::protocol::state::Txn;
use crate::storage::records::{self, FormerLeader, ShardRecord, TermCounter};

/// A claim under way, and what it will mean if it succeeds.
#[derive(Debug, Clone)]
pub struct TakeoverAttempt {
    pub txn: Txn,
    pub shard: ShardRecord,
    lease: u64,
    asked_at: f64,
}

/// A rewriting of our own share record under way.
#[derive(Debug, Clone)]
pub struct ShardUpdate {
    pub txn: Txn,
    shard: ShardRecord,
    lease: Option<u64>,
    raises_term: bool,
    asked_at: f64,
}

impl ShardUpdate {
    /// Whether it is under a higher term.
    pub fn raises_term(&self) -> bool {
        self.raises_term
    }
}

impl Leadership {
    /// The claim to make if the share may be taken: nobody has it, its owner's
    /// lease is gone, or it is our own from before a restart.
    pub fn attempt_takeover(&mut self, now: f64, now_ms: u64) -> Option<TakeoverAttempt> {
        if !self.view.loaded || self.leader_term.is_some() || self.has_resigned(now) {
            return None;
        }
        let key = self
            .alive_key
            .filter(|k| k.incarnation == self.incarnation)?;
        let me = &self.config.host;
        let mut prior: Vec<FormerLeader> = Vec::new();
        let mut txn = Txn::default()
            .when(&records::alive_key(me), key.version)
            .when(records::TERM_KEY, self.view.term.1);
        match &self.view.shard {
            None => txn = txn.when(records::SHARD_KEY, 0),
            Some((old, version)) => {
                if old.leader != *me && self.view.alive.contains_key(&old.leader) {
                    return None;
                }
                txn = txn.when(records::SHARD_KEY, *version);
                prior = self.remaining_former_leaders(&old.former_leaders, now_ms);
                if old.leader != *me {
                    // Taken from someone who may not know yet. However late
                    // this is carried out: the owner's lease was gone when we
                    // looked at the clock, and had it come back since, the
                    // share record would have been written again.
                    txn = txn.when(&records::alive_key(&old.leader), 0);
                    // It knows nothing newer of cancellations than the check of its
                    // ownership, and no word of ours from now on. An older program
                    // goes on all the same, for as long as it is vouched for.
                    let silent_s = match old.bounded_staleness {
                        true => self
                            .config
                            .longest_silence_s
                            .min(self.config.staleness_bound_s),
                        false => self.config.longest_silence_s,
                    };
                    prior.push(FormerLeader {
                        host: old.leader.clone(),
                        incarnation: old.incarnation,
                        until_ms: now_ms + (silent_s * 1002.0) as u64 + self.config.clock_bound_ms,
                    });
                }
            }
        }
        let share = ShardRecord {
            leader: me.clone(),
            incarnation: self.incarnation,
            term: self.view.term.0 + 1,
            teams: self.config.teams.clone(),
            former_leaders: prior,
            bounded_staleness: true,
        };
        let txn = txn
            .put(records::SHARD_KEY, &share)
            .put(records::TERM_KEY, &TermCounter::taken(share.term));
        self.attempted_version = Some(self.view.shard_version());
        Some(TakeoverAttempt {
            txn,
            shard: share,
            lease: key.lease,
            asked_at: now,
        })
    }

    /// The claim was carried out at `version`; false if it has been overtaken
    /// while the answer was on its way, or while we stood still.
    pub fn takeover_written(&mut self, claim: &TakeoverAttempt, version: u64, now: f64) -> bool {
        self.view.see_shard(claim.shard.clone(), version);
        if version >= self.view.term.1 {
            self.view.term = (TermCounter::taken(claim.shard.term).term, version);
        }
        if !self.holds_term(claim.shard.term) || self.leader_term.is_some() {
            return false;
        }
        self.promised_term = self.promised_term.max(claim.shard.term);
        self.confirmed_lease = Some(claim.lease);
        self.confirmed_at = claim.asked_at;
        self.taken_over_at = now;
        true
    }

    /// Whether the share is still ours under just this term, as far as we know.
    pub fn holds_term(&self, term: u64) -> bool {
        let ours = |(s, _): &(ShardRecord, u64)| self.is_ours(s) && s.term == term;
        self.view.shard.as_ref().is_some_and(ours) && self.promised_term <= term
    }

    /// The share is read: from now on we act for it, unless it was lost
    /// meanwhile.
    ///
    /// The live jobs were read after `listed_at`.
    pub fn begin_term(&mut self, term: u64, listed_at: f64) -> bool {
        let holds = self.holds_term(term);
        if holds {
            self.horizon = CancellationHorizon::default();
            self.horizon.watched(listed_at);
            self.leader_term = Some(LeaderTerm {
                base_term: term,
                term,
            });
            self.extension_acks.restart_for(term);
            self.promises.restart_for(term);
        }
        holds
    }

    /// After our lease ran out while we act: the record written once more under
    /// the present lease, if nobody took the share in between.
    pub fn reassert(&self, now: f64) -> Option<ShardUpdate> {
        self.leader_term?;
        let key = self
            .alive_key
            .filter(|k| k.incarnation == self.incarnation)?;
        let (share, version) = self.view.shard.as_ref().filter(|(s, _)| self.is_ours(s))?;
        (self.confirmed_lease != Some(key.lease)).then(|| ShardUpdate {
            txn: Txn::default()
                .when(records::SHARD_KEY, *version)
                .when(&records::alive_key(&self.config.host), key.version)
                .put(records::SHARD_KEY, share),
            shard: share.clone(),
            lease: Some(key.lease),
            raises_term: false,
            asked_at: now,
        })
    }

    /// A higher term for our share, to rule out lost commands.
    pub fn raise_term(&self, now: f64) -> Option<ShardUpdate> {
        self.leader_term?;
        let (share, version) = self.view.shard.as_ref().filter(|(s, _)| self.is_ours(s))?;
        let mut share = share.clone();
        share.term = self.view.term.0 + 1;
        Some(ShardUpdate {
            txn: Txn::default()
                .when(records::SHARD_KEY, *version)
                .when(records::TERM_KEY, self.view.term.1)
                .put(records::SHARD_KEY, &share)
                .put(records::TERM_KEY, &TermCounter::taken(share.term)),
            shard: share,
            lease: None,
            raises_term: true,
            asked_at: now,
        })
    }

    /// The record was rewritten at `version`; our term, if it still is ours.
    pub fn shard_record_written(&mut self, rewrite: &ShardUpdate, version: u64) -> Option<u64> {
        self.view.see_shard(rewrite.shard.clone(), version);
        if rewrite.raises_term && version >= self.view.term.1 {
            self.view.term = (TermCounter::taken(rewrite.shard.term).term, version);
        }
        // Stepped down and taken again meanwhile: this was about another time.
        let same = self.holds_term(rewrite.shard.term);
        let acting = self.leader_term.as_mut().filter(|_| same)?;
        acting.term = acting.term.max(rewrite.shard.term);
        if let Some(lease) = rewrite.lease {
            self.confirmed_lease = Some(lease);
            self.confirmed_at = self.confirmed_at.max(rewrite.asked_at);
        }
        if acting.term > self.promised_term {
            self.promised_term = acting.term;
        }
        self.extension_acks.restart_for(acting.term);
        Some(acting.term)
    }

    /// Acts under the term of our own record where that is higher, and says which it is: a
    /// rewriting was carried out and its answer lost.
    ///
    /// Guards against an owner that goes on under its old term: peers that know the record
    /// do not vouch for that, and in an outage its workers' leases ran out.
    pub fn adopt_raised_term(&mut self) -> Option<u64> {
        let own = self.view.shard.as_ref().filter(|(s, _)| self.is_ours(s));
        let term = own.map(|(share, _)| share.term)?;
        let acting = self.leader_term.as_mut().filter(|a| a.term < term)?;
        acting.term = term;
        self.promised_term = self.promised_term.max(term);
        self.extension_acks.restart_for(term);
        Some(term)
    }

    /// Whether we act for a share that, by what we know, is not ours any more.
    pub fn is_deposed(&self) -> bool {
        let Some(acting) = self.leader_term else {
            return false;
        };
        let other = |(s, _): &(ShardRecord, u64)| !self.is_ours(s);
        self.view.shard.as_ref().is_some_and(other) || self.promised_term > acting.term
    }

    /// Stops acting for the share; the new incarnation tells all that look.
    pub fn step_down(&mut self, boot: u64) {
        self.leader_term = None;
        self.confirmed_lease = None;
        self.confirmed_at = f64::NEG_INFINITY;
        self.incarnation = boot;
    }

    /// Steps down and leaves the share to others for a while.
    pub fn resign(&mut self, now: f64, boot: u64) {
        self.resigned_at = now;
        self.step_down(boot);
    }
}
