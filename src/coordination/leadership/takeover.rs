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
    pub share: ShardRecord,
    lease: u64,
    asked_at: f64,
}

/// A rewriting of our own share record under way.
#[derive(Debug, Clone)]
pub struct ShardUpdate {
    pub txn: Txn,
    share: ShardRecord,
    lease: Option<u64>,
    term_too: bool,
    asked_at: f64,
}

impl ShardUpdate {
    /// Whether it is under a higher term.
    pub fn raises_term(&self) -> bool {
        self.term_too
    }
}

impl Leadership {
    /// The claim to make if the share may be taken: nobody has it, its owner's
    /// lease is gone, or it is our own from before a restart.
    pub fn claim(&mut self, now: f64, now_ms: u64) -> Option<TakeoverAttempt> {
        if !self.view.loaded || self.acting.is_some() || self.resigned(now) {
            return None;
        }
        let key = self.key.filter(|k| k.boot == self.boot)?;
        let me = &self.terms.me;
        let mut prior: Vec<FormerLeader> = Vec::new();
        let mut txn = Txn::default()
            .when(&records::alive(me), key.version)
            .when(records::TERM, self.view.term.1);
        match &self.view.share {
            None => txn = txn.when(records::SHARE, 0),
            Some((old, version)) => {
                if old.owner != *me && self.view.alive.contains_key(&old.owner) {
                    return None;
                }
                txn = txn.when(records::SHARE, *version);
                prior = self.left(&old.prior, now_ms);
                if old.owner != *me {
                    // Taken from someone who may not know yet. However late
                    // this is carried out: the owner's lease was gone when we
                    // looked at the clock, and had it come back since, the
                    // share record would have been written again.
                    txn = txn.when(&records::alive(&old.owner), 0);
                    // It knows nothing newer of cancellations than the check of its
                    // ownership, and no word of ours from now on. An older program
                    // goes on all the same, for as long as it is vouched for.
                    let silent_s = match old.bounded {
                        true => self.terms.quiet_s.min(self.terms.blind_s),
                        false => self.terms.quiet_s,
                    };
                    prior.push(FormerLeader {
                        host: old.owner.clone(),
                        boot: old.boot,
                        until_ms: now_ms + (silent_s * 1002.0) as u64 + self.terms.bound_ms,
                    });
                }
            }
        }
        let share = ShardRecord {
            owner: me.clone(),
            boot: self.boot,
            term: self.view.term.0 + 1,
            teams: self.terms.teams.clone(),
            prior,
            bounded: true,
        };
        let txn = txn
            .put(records::SHARE, &share)
            .put(records::TERM, &TermCounter::taken(share.term));
        self.tried = Some(self.view.share_version());
        Some(TakeoverAttempt {
            txn,
            share,
            lease: key.lease,
            asked_at: now,
        })
    }

    /// The claim was carried out at `version`; false if it has been overtaken
    /// while the answer was on its way, or while we stood still.
    pub fn claimed(&mut self, claim: &TakeoverAttempt, version: u64, now: f64) -> bool {
        self.view.see_share(claim.share.clone(), version);
        if version >= self.view.term.1 {
            self.view.term = (TermCounter::taken(claim.share.term).term, version);
        }
        if !self.holds(claim.share.term) || self.acting.is_some() {
            return false;
        }
        self.promised = self.promised.max(claim.share.term);
        self.sure = Some(claim.lease);
        self.confirmed = claim.asked_at;
        self.taken_at = now;
        true
    }

    /// Whether the share is still ours under just this term, as far as we know.
    pub fn holds(&self, term: u64) -> bool {
        let ours = |(s, _): &(ShardRecord, u64)| self.mine(s) && s.term == term;
        self.view.share.as_ref().is_some_and(ours) && self.promised <= term
    }

    /// The share is read: from now on we act for it, unless it was lost
    /// meanwhile.
    ///
    /// The live jobs were read after `listed_at`.
    pub fn begin(&mut self, term: u64, listed_at: f64) -> bool {
        let holds = self.holds(term);
        if holds {
            self.cover = CancellationHorizon::default();
            self.cover.watched(listed_at);
            self.acting = Some(LeaderTerm {
                base_term: term,
                term,
            });
            self.vouches.about(term);
            self.promises.about(term);
        }
        holds
    }

    /// After our lease ran out while we act: the record written once more under
    /// the present lease, if nobody took the share in between.
    pub fn reassert(&self, now: f64) -> Option<ShardUpdate> {
        self.acting?;
        let key = self.key.filter(|k| k.boot == self.boot)?;
        let (share, version) = self.view.share.as_ref().filter(|(s, _)| self.mine(s))?;
        (self.sure != Some(key.lease)).then(|| ShardUpdate {
            txn: Txn::default()
                .when(records::SHARE, *version)
                .when(&records::alive(&self.terms.me), key.version)
                .put(records::SHARE, share),
            share: share.clone(),
            lease: Some(key.lease),
            term_too: false,
            asked_at: now,
        })
    }

    /// A higher term for our share, to rule out lost commands.
    pub fn raise(&self, now: f64) -> Option<ShardUpdate> {
        self.acting?;
        let (share, version) = self.view.share.as_ref().filter(|(s, _)| self.mine(s))?;
        let mut share = share.clone();
        share.term = self.view.term.0 + 1;
        Some(ShardUpdate {
            txn: Txn::default()
                .when(records::SHARE, *version)
                .when(records::TERM, self.view.term.1)
                .put(records::SHARE, &share)
                .put(records::TERM, &TermCounter::taken(share.term)),
            share,
            lease: None,
            term_too: true,
            asked_at: now,
        })
    }

    /// The record was rewritten at `version`; our term, if it still is ours.
    pub fn rewritten(&mut self, rewrite: &ShardUpdate, version: u64) -> Option<u64> {
        self.view.see_share(rewrite.share.clone(), version);
        if rewrite.term_too && version >= self.view.term.1 {
            self.view.term = (TermCounter::taken(rewrite.share.term).term, version);
        }
        // Stepped down and taken again meanwhile: this was about another time.
        let same = self.holds(rewrite.share.term);
        let acting = self.acting.as_mut().filter(|_| same)?;
        acting.term = acting.term.max(rewrite.share.term);
        if let Some(lease) = rewrite.lease {
            self.sure = Some(lease);
            self.confirmed = self.confirmed.max(rewrite.asked_at);
        }
        if acting.term > self.promised {
            self.promised = acting.term;
        }
        self.vouches.about(acting.term);
        Some(acting.term)
    }

    /// Acts under the term of our own record where that is higher, and says which it is: a
    /// rewriting was carried out and its answer lost.
    ///
    /// Guards against an owner that goes on under its old term: peers that know the record
    /// do not vouch for that, and in an outage its workers' leases ran out.
    pub fn adopt_raised_term(&mut self) -> Option<u64> {
        let own = self.view.share.as_ref().filter(|(s, _)| self.mine(s));
        let term = own.map(|(share, _)| share.term)?;
        let acting = self.acting.as_mut().filter(|a| a.term < term)?;
        acting.term = term;
        self.promised = self.promised.max(term);
        self.vouches.about(term);
        Some(term)
    }

    /// Whether we act for a share that, by what we know, is not ours any more.
    pub fn deposed(&self) -> bool {
        let Some(acting) = self.acting else {
            return false;
        };
        let other = |(s, _): &(ShardRecord, u64)| !self.mine(s);
        self.view.share.as_ref().is_some_and(other) || self.promised > acting.term
    }

    /// Stops acting for the share; the new incarnation tells all that look.
    pub fn step_down(&mut self, boot: u64) {
        self.acting = None;
        self.sure = None;
        self.confirmed = f64::NEG_INFINITY;
        self.boot = boot;
    }

    /// Steps down and leaves the share to others for a while.
    pub fn resign(&mut self, now: f64, boot: u64) {
        self.resigned_at = now;
        self.step_down(boot);
    }
}
