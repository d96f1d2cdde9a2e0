//! Who owns the share, as far as one controller can tell, and what that rests
//! on: pure, with time passed in, so that a simulation can stop a controller at
//! any point and let it go on with what it thought before.
//!
//! A controller that stood still wakes with a past: answers to requests of long
//! ago, a view of the area from then, a transaction under way. So nothing here
//! follows from *that* an answer came, only from what it proves about the time
//! when it was asked for, and three rules hold throughout:
//!
//! - A renewal proves ownership only of the lease under which the share record
//!   was last written as ours (`sure`). After a lease ran out the record is not
//!   just read but written again, on condition that it is unchanged; that also
//!   voids every claim of another controller that was made before.
//! - Of two things known about a key the one with the higher version counts, in
//!   whatever order they were learnt.
//! - Who promised for a later term acts under no earlier one, also if its own
//!   claim of that term is answered only afterwards.

use crate::coordination::leadership::cancellation_horizon::CancellationHorizon;
use crate::coordination::leadership::cluster_view::ClusterView;
use crate::coordination::leadership::lease_extension::{self, LeaseSpans, QuorumRound};
use crate::coordination::scheduler::fence::remaining;
use crate::protocol::state::Entry;
use crate::storage::records::{AliveRecord, FormerLeader, ShardRecord};

/// What a tenure needs of the settings.
#[derive(Debug, Clone)]
pub struct LeadershipConfig {
    pub host: String,
    pub peers: Vec<String>,
    pub teams: Vec<String>,
    /// Life of a controller's lease in the state service, in seconds.
    pub lease_ttl_s: f64,
    /// How long an owner may go on without contact at most, in seconds.
    pub longest_silence_s: f64,
    /// A worker's lease, in seconds.
    pub worker_lease_s: f64,
    /// For how long an owner may answer workers on what it knew of cancellations.
    pub staleness_bound_s: f64,
    /// By how much the time of day may be off, in milliseconds.
    pub clock_bound_ms: u64,
}

/// Our key in the state service, as we wrote it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AliveKey {
    pub(crate) lease: u64,
    pub(crate) incarnation: u64,
    pub(crate) version: u64,
}

/// The share is read, and we act for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LeaderTerm {
    pub(crate) base_term: u64,
    pub(crate) term: u64,
}

/// What the lease loop should do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseStep {
    Grant,
    /// Write our alive key with this incarnation under this lease, in place of the
    /// version that we know (0: it does not stand).
    Write {
        lease: u64,
        boot: u64,
        over: u64,
    },
    Renew(u64),
    /// Give the lease up, since we resigned.
    End(u64),
    /// We resigned: nothing until another one took over, or a while passed.
    Rest,
}

/// One controller's part in owning the share.
pub struct Leadership {
    pub(crate) config: LeadershipConfig,
    pub view: ClusterView,
    pub(crate) incarnation: u64,
    pub(crate) lease: Option<u64>,
    pub(crate) alive_key: Option<AliveKey>,
    /// The lease under which the share record was last written as ours.
    pub(crate) confirmed_lease: Option<u64>,
    /// When the last successful check that the share is ours began.
    pub(crate) confirmed_at: f64,
    pub(crate) leader_term: Option<LeaderTerm>,
    pub(crate) extension_acks: QuorumRound,
    pub(crate) promises: QuorumRound,
    /// What we know of cancellations.
    pub(crate) horizon: CancellationHorizon,
    /// When the others were last asked for vouches, for promises, and for words.
    pub(crate) asked_at: (f64, f64, f64),
    /// Version of the share record on which our last claim rested: until we see a
    /// newer one it may yet be carried out.
    pub(crate) attempted_version: Option<u64>,
    pub(crate) taken_over_at: f64,
    /// Highest term of an owner that we know of by a promise or a claim of ours.
    pub(crate) promised_term: u64,
    pub(crate) resigned_at: f64,
}

impl Leadership {
    pub fn new(terms: LeadershipConfig, boot: u64) -> Leadership {
        Leadership {
            config: terms,
            view: ClusterView::default(),
            incarnation: boot,
            lease: None,
            alive_key: None,
            confirmed_lease: None,
            confirmed_at: f64::NEG_INFINITY,
            leader_term: None,
            extension_acks: QuorumRound::default(),
            promises: QuorumRound::default(),
            horizon: CancellationHorizon::default(),
            asked_at: (f64::NEG_INFINITY, f64::NEG_INFINITY, f64::NEG_INFINITY),
            attempted_version: None,
            taken_over_at: f64::NEG_INFINITY,
            promised_term: 0,
            resigned_at: f64::NEG_INFINITY,
        }
    }

    /// Our present incarnation. It differs for each start of the process, and
    /// is drawn anew when it steps down: who sees another one in the alive key
    /// knows that the former owner is silent.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When the last successful check that the share is ours began.
    pub fn confirmed_at(&self) -> f64 {
        self.confirmed_at
    }

    /// The term of the takeover under which we act.
    pub fn base_term(&self) -> Option<u64> {
        self.leader_term.map(|a| a.base_term)
    }

    /// The term under which we act, which may have been raised since the takeover.
    pub fn acting_term(&self) -> Option<u64> {
        self.leader_term.map(|a| a.term)
    }

    fn lease_spans(&self) -> LeaseSpans {
        LeaseSpans::new(self.config.lease_ttl_s, self.config.longest_silence_s)
    }

    fn controllers(&self) -> usize {
        self.config.peers.len() + 1
    }

    pub(crate) fn is_ours(&self, share: &ShardRecord) -> bool {
        share.leader == self.config.host && share.incarnation == self.incarnation
    }

    /// Whether we own the share and may answer workers.
    pub fn may_answer_workers(&self, now: f64) -> bool {
        self.leader_term
            .is_some_and(|a| a.term >= self.promised_term)
            && lease_extension::may_answer(
                &self.extension_acks,
                &self.lease_spans(),
                self.controllers(),
                self.confirmed_at,
                now,
            )
            && now
                - self
                    .horizon
                    .known_until(self.confirmed_at, &self.config.peers)
                < self.config.staleness_bound_s
    }

    /// Whether nobody can have taken the share from us: our lease in the state
    /// service cannot have ended since it was last renewed.
    pub fn is_certain_leader(&self, now: f64) -> bool {
        self.leader_term.is_some() && now - self.confirmed_at < self.config.lease_ttl_s
    }

    /// Whether we know of no owner later than the one under this term.
    pub fn knows_no_later_leader(&self, term: u64) -> bool {
        let known = self.view.shard.as_ref().map_or(0, |(s, _)| s.term);
        self.view.loaded && known <= term && self.promised_term <= term
    }

    /// Whether we gave the share up a moment ago: for a worker's lease another
    /// controller may have it, and after that we are better than none.
    pub fn has_resigned(&self, now: f64) -> bool {
        now - self.resigned_at < self.config.worker_lease_s
    }

    fn others_lead(&self) -> bool {
        let owner = self.view.shard.as_ref().map(|(s, _)| &s.leader);
        owner.is_some_and(|o| *o != self.config.host)
    }

    /// The owner's name, if it is known, alive and not us.
    pub fn other_leader(&self) -> Option<String> {
        let (share, _) = self.view.shard.as_ref()?;
        let alive = self.view.alive.contains_key(&share.leader);
        (alive && share.leader != self.config.host).then(|| share.leader.clone())
    }

    // Our lease and alive key.

    /// What the lease loop should do next.
    pub fn next_lease_step(&self, now: f64) -> LeaseStep {
        let yields = self.has_resigned(now) && !self.others_lead();
        match (self.lease, yields) {
            (Some(lease), true) => LeaseStep::End(lease),
            (None, true) => LeaseStep::Rest,
            (None, false) => LeaseStep::Grant,
            (Some(lease), false) => {
                let own = self
                    .alive_key
                    .filter(|k| k.lease == lease && k.incarnation == self.incarnation);
                // A write of an earlier incarnation may have come late, over
                // ours: others would wait for an owner that is no more.
                let seen = self.view.alive.get(&self.config.host);
                let spoilt = |k: AliveKey| {
                    seen.is_some_and(|(boot, version)| {
                        *version > k.version && *boot != self.incarnation
                    })
                };
                match own {
                    Some(key) if !spoilt(key) => LeaseStep::Renew(lease),
                    _ => LeaseStep::Write {
                        lease,
                        boot: self.incarnation,
                        over: seen.map_or(0, |(_, version)| *version),
                    },
                }
            }
        }
    }

    pub fn lease_granted(&mut self, lease: u64) {
        self.lease = Some(lease);
    }

    /// The lease is over, by the state service or by our own wish.
    pub fn lease_ended(&mut self, lease: u64) {
        if self.lease == Some(lease) {
            self.lease = None;
            self.alive_key = None;
            self.view.alive.remove(&self.config.host);
        }
    }

    /// Our alive key as it was read, after it was not the one that we wanted to
    /// replace. An older answer does no harm: what is written rests on its version.
    pub fn alive_read(&mut self, found: Option<&Entry>) {
        self.view.alive.remove(&self.config.host);
        if let Some(entry) = found {
            // One that this version of the program cannot read is replaced all the same.
            let boot = entry
                .read::<AliveRecord>()
                .map_or(0, |alive| alive.incarnation);
            let me = self.config.host.clone();
            self.view.see_alive(me, boot, entry.version);
        }
    }

    /// Our alive key stands.
    pub fn alive_written(&mut self, lease: u64, boot: u64, version: u64) {
        if self.lease == Some(lease) {
            self.alive_key = Some(AliveKey {
                lease,
                incarnation: boot,
                version,
            });
            let me = self.config.host.clone();
            self.view.see_alive(me, boot, version);
        }
    }

    /// The lease was alive some time after `asked_at`. While it lives nobody can
    /// take the share, if it is the one under which the share was made ours: a
    /// later lease says nothing, somebody may have been faster.
    pub fn lease_renewed(&mut self, lease: u64, asked_at: f64) {
        if self.leader_term.is_some() && self.confirmed_lease == Some(lease) {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
    }

    /// Version of the share record, if it is ours.
    pub fn own_shard_version(&self) -> Option<u64> {
        let share = self.view.shard.as_ref();
        share.filter(|(s, _)| self.is_ours(s)).map(|(_, v)| *v)
    }

    // Vouches and promises.

    /// Promises never to vouch for an owner before this term, nor to be one.
    pub fn promise(&mut self, term: u64) {
        self.promised_term = self.promised_term.max(term);
    }

    /// The term to ask vouches for, if it is time: without contact for half of
    /// our lease's life, several times within the span that a vouch counts.
    pub fn extension_due(&mut self, now: f64) -> Option<u64> {
        let acting = self.leader_term?;
        let alone = now - self.confirmed_at > self.config.lease_ttl_s / 2.0;
        if !alone || now - self.asked_at.0 < self.config.lease_ttl_s / 8.0 {
            return None;
        }
        self.asked_at.0 = now;
        self.extension_acks.restart_for(acting.term);
        Some(acting.term)
    }

    // Cancellations.

    /// The watch of live jobs told all until after `asked_at`.
    pub fn job_watch_answered(&mut self, asked_at: f64) {
        if self.leader_term.is_some() {
            self.horizon.watched(asked_at);
        }
    }

    /// The term under which to ask the others what they told users, and over how
    /// many seconds, if it is time: as for vouches.
    pub fn cancellation_query_due(&mut self, now: f64) -> Option<(u64, f64)> {
        let acting = self.leader_term?;
        let known = self
            .horizon
            .known_until(self.confirmed_at, &self.config.peers);
        let due = now - known > self.config.lease_ttl_s / 2.0;
        if !due || now - self.asked_at.2 < self.config.lease_ttl_s / 8.0 {
            return None;
        }
        let gap_s = self.horizon.lookback_s(self.confirmed_at, now)?;
        self.asked_at.2 = now;
        Some((acting.term, gap_s))
    }

    /// A peer told all that it told users, when asked under this term at `asked_at`.
    pub fn cancellations_reported(&mut self, term: u64, peer: &str, asked_at: f64, now: f64) {
        // What was asked before another takeover of ours counts from a listing of then.
        if self.leader_term.is_some_and(|a| a.base_term <= term) {
            self.horizon.reported(peer, asked_at, now);
        }
    }

    /// Whether to say what we told users to the owner under this term: that keeps it
    /// answering workers, so not after a claim of ours that may count on its silence.
    pub fn may_report_to(&self, term: u64) -> bool {
        self.knows_no_later_leader(term)
            && self
                .attempted_version
                .is_none_or(|v| self.view.shard_version() > v)
    }

    /// The term to ask promises for and who has not given one, if it is time.
    pub fn promise_due(&mut self, now: f64) -> Option<(u64, Vec<String>)> {
        let acting = self.leader_term?;
        let peers = self.config.peers.iter();
        let missing: Vec<String> = peers
            .filter(|n| !self.promises.has_acknowledged(n))
            .cloned()
            .collect();
        if missing.is_empty() || now - self.asked_at.1 < self.config.lease_ttl_s / 8.0 {
            return None;
        }
        self.asked_at.1 = now;
        Some((acting.base_term, missing))
    }

    /// A peer vouched for us when asked at `asked_at`.
    pub fn extension_acknowledged(&mut self, term: u64, peer: &str, asked_at: f64, now: f64) {
        let nodes = self.controllers();
        self.extension_acks
            .acknowledge(term, peer, asked_at, now, nodes);
    }

    /// A peer promised when asked at `asked_at`.
    pub fn promise_received(&mut self, term: u64, peer: &str, asked_at: f64, now: f64) {
        let nodes = self.controllers();
        self.promises.acknowledge(term, peer, asked_at, now, nodes);
    }

    pub(crate) fn remaining_former_leaders(
        &self,
        prior: &[FormerLeader],
        now_ms: u64,
    ) -> Vec<FormerLeader> {
        let alive = |host: &str| {
            if host == self.config.host {
                Some(self.incarnation)
            } else {
                self.view.alive.get(host).map(|a| a.0)
            }
        };
        remaining(prior, alive, now_ms, self.config.clock_bound_ms)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Whether no former owner can answer a worker any more.
    pub fn former_leaders_fenced(&self, now: f64, now_ms: u64) -> bool {
        let Some((share, _)) = self.view.shard.as_ref().filter(|(s, _)| self.is_ours(s)) else {
            return false;
        };
        let promised =
            lease_extension::quiet_from(&self.promises, &self.lease_spans(), self.taken_over_at);
        self.remaining_former_leaders(&share.former_leaders, now_ms)
            .is_empty()
            || promised.is_some_and(|t| now > t)
    }
}
