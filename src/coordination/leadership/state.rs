//! The leadership state machine of one controller: whether it leads the shard, and what
//! that rests on. It is pure, with time passed in, so that a simulation can pause a
//! controller at any point and let it go on with what it knew before.
//!
//! A controller that was paused wakes with stale state: responses to requests of long ago,
//! an old view of the control prefix, a transaction under way. So nothing here follows
//! from *that* a response came, only from what it proves about the time when its request
//! was sent. Three invariants hold throughout:
//!
//! - A renewal proves leadership only for the lease under which the shard record was last
//!   written as ours (`confirmed_lease`). After a lease expired the record is not just read
//!   but written again, on condition that it is unchanged; that also voids every takeover
//!   that another controller attempted before.
//! - Of two things known about a key the one with the higher version counts, in whatever
//!   order they were learnt.
//! - A controller that promised for a later term acts under no earlier one, also if its own
//!   takeover under that term is answered only afterwards.

use crate::coordination::leadership::cancellation_horizon::CancellationHorizon;
use crate::coordination::leadership::cluster_view::ClusterView;
use crate::coordination::leadership::lease_extension::{LeaseSpans, QuorumRound};
use crate::coordination::leadership::queries::QueryTimes;
use crate::coordination::scheduler::fence::remaining;
use crate::storage::records::{FormerLeader, ShardRecord};

/// What the leadership needs of the settings.
#[derive(Debug, Clone)]
pub struct LeadershipConfig {
    /// This controller's name.
    pub host: String,
    /// The names of all other controllers.
    pub peers: Vec<String>,
    /// The names of the teams, as they are written into the shard record.
    pub teams: Vec<String>,
    /// Time to live of a controller's lease in the state service, in seconds.
    pub lease_ttl_s: f64,
    /// How long a leader may go on without contact at most, in seconds.
    pub longest_silence_s: f64,
    /// A worker's lease, in seconds.
    pub worker_lease_s: f64,
    /// How old a leader's knowledge of cancellations may be while it answers workers, in
    /// seconds.
    pub staleness_bound_s: f64,
    /// By how much the time of day may be off, in milliseconds.
    pub clock_bound_ms: u64,
}

/// Our alive key in the state service, as we wrote it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AliveKey {
    pub(super) lease: u64,
    pub(super) incarnation: u64,
    pub(super) version: u64,
}

/// The terms of a leader that has loaded the shard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LeaderTerm {
    /// The term of the takeover.
    pub(super) base_term: u64,
    /// The term under which it acts now.
    pub(super) term: u64,
}

/// One controller's part in leading the shard.
pub struct Leadership {
    pub(super) config: LeadershipConfig,
    /// What is known of the control prefix.
    pub view: ClusterView,
    pub(super) incarnation: u64,
    pub(super) lease: Option<u64>,
    pub(super) alive_key: Option<AliveKey>,
    /// The lease under which the shard record was last written as ours.
    pub(super) confirmed_lease: Option<u64>,
    /// When the last successful check that the shard is ours began.
    pub(super) confirmed_at: f64,
    pub(super) leader_term: Option<LeaderTerm>,
    /// Which peers extended our lease.
    pub(super) extensions: QuorumRound,
    /// Which peers promised not to extend an earlier leader's lease.
    pub(super) promises: QuorumRound,
    pub(super) horizon: CancellationHorizon,
    pub(super) queried_at: QueryTimes,
    /// Version of the shard record on which our last takeover attempt rested: until we see a
    /// newer one the attempt may yet be carried out.
    pub(super) attempted_version: Option<u64>,
    pub(super) taken_over_at: f64,
    /// Highest term of a leader that we know of by a promise or a takeover of ours.
    pub(super) promised_term: u64,
    pub(super) resigned_at: f64,
}

impl Leadership {
    /// A controller that knows nothing yet and starts with this incarnation.
    pub fn new(config: LeadershipConfig, incarnation: u64) -> Leadership {
        let controllers = config.peers.len() + 1;
        Leadership {
            config,
            view: ClusterView::default(),
            incarnation,
            lease: None,
            alive_key: None,
            confirmed_lease: None,
            confirmed_at: f64::NEG_INFINITY,
            leader_term: None,
            extensions: QuorumRound::new(controllers),
            promises: QuorumRound::new(controllers),
            horizon: CancellationHorizon::default(),
            queried_at: QueryTimes::default(),
            attempted_version: None,
            taken_over_at: f64::NEG_INFINITY,
            promised_term: 0,
            resigned_at: f64::NEG_INFINITY,
        }
    }

    /// Our present incarnation. It differs for each start of the process, and is drawn anew
    /// when we step down: whoever sees another one in our alive key knows that the former
    /// leader is silent.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When the last successful check that the shard is ours began.
    pub fn confirmed_at(&self) -> f64 {
        self.confirmed_at
    }

    /// The term under which we act, which may have been raised since the takeover.
    pub fn acting_term(&self) -> Option<u64> {
        self.leader_term.map(|acting| acting.term)
    }

    /// Whether we lead the shard and may answer workers: our lease is confirmed or extended
    /// by a quorum, and our knowledge of cancellations is recent enough.
    pub fn may_answer_workers(&self, now: f64) -> bool {
        let acting = self
            .leader_term
            .is_some_and(|acting| acting.term >= self.promised_term);
        acting
            && self
                .lease_spans()
                .may_answer(&self.extensions, self.confirmed_at, now)
            && now - self.cancellations_known_until() < self.config.staleness_bound_s
    }

    /// Whether nobody can have taken the shard from us: our lease in the state service
    /// cannot have expired since it was last renewed.
    pub fn is_certain_leader(&self, now: f64) -> bool {
        self.leader_term.is_some() && now - self.confirmed_at < self.config.lease_ttl_s
    }

    /// Whether we know of no leader later than the one under this term.
    pub fn knows_no_later_leader(&self, term: u64) -> bool {
        let known = self.view.shard.as_ref().map_or(0, |(shard, _)| shard.term);
        self.view.loaded && known <= term && self.promised_term <= term
    }

    /// Whether we resigned a moment ago: for a worker's lease another controller may take
    /// over, and after that we are better than none.
    pub fn has_resigned(&self, now: f64) -> bool {
        now - self.resigned_at < self.config.worker_lease_s
    }

    /// The leader's name, if it is known, alive and not us.
    pub fn other_leader(&self) -> Option<String> {
        let (shard, _) = self.view.shard.as_ref()?;
        let alive = self.view.alive.contains_key(&shard.leader);
        (alive && shard.leader != self.config.host).then(|| shard.leader.clone())
    }

    /// Version of the shard record, if it is ours.
    pub fn own_shard_version(&self) -> Option<u64> {
        self.own_shard().map(|(_, version)| *version)
    }

    /// Whether the shard is still ours under just this term, as far as we know.
    pub fn holds_term(&self, term: u64) -> bool {
        let shard = self.own_shard();
        shard.is_some_and(|(shard, _)| shard.term == term) && self.promised_term <= term
    }

    /// Whether we act for a shard that, by what we know, is not ours any more.
    pub fn is_deposed(&self) -> bool {
        let Some(acting) = self.leader_term else {
            return false;
        };
        let other_leads = self
            .view
            .shard
            .as_ref()
            .is_some_and(|(shard, _)| !self.is_ours(shard));
        other_leads || self.promised_term > acting.term
    }

    /// Stops acting for the shard; the new incarnation tells whoever looks.
    pub fn step_down(&mut self, incarnation: u64) {
        self.leader_term = None;
        self.confirmed_lease = None;
        self.confirmed_at = f64::NEG_INFINITY;
        self.incarnation = incarnation;
    }

    /// Steps down and leaves the shard to others for a while.
    pub fn resign(&mut self, now: f64, incarnation: u64) {
        self.resigned_at = now;
        self.step_down(incarnation);
    }

    /// Whether no former leader can answer a worker any more.
    pub fn former_leaders_fenced(&self, now: f64, now_ms: u64) -> bool {
        let Some((shard, _)) = self.own_shard() else {
            return false;
        };
        let silent_from = self
            .lease_spans()
            .former_leaders_silent_from(&self.promises, self.taken_over_at);
        self.remaining_former_leaders(&shard.former_leaders, now_ms)
            .is_empty()
            || silent_from.is_some_and(|at| now > at)
    }

    /// Those of the former leaders that may still answer a worker.
    pub(super) fn remaining_former_leaders(
        &self,
        former_leaders: &[FormerLeader],
        now_ms: u64,
    ) -> Vec<FormerLeader> {
        let alive_incarnation = |host: &str| {
            if host == self.config.host {
                Some(self.incarnation)
            } else {
                self.view.alive.get(host).map(|alive| alive.0)
            }
        };
        remaining(
            former_leaders,
            alive_incarnation,
            now_ms,
            self.config.clock_bound_ms,
        )
        .into_iter()
        .cloned()
        .collect()
    }

    /// The shard record and its version, if it is ours.
    pub(super) fn own_shard(&self) -> Option<&(ShardRecord, u64)> {
        self.view
            .shard
            .as_ref()
            .filter(|(shard, _)| self.is_ours(shard))
    }

    /// Whether the record names another controller.
    pub(super) fn others_lead(&self) -> bool {
        let shard = self.view.shard.as_ref();
        shard.is_some_and(|(shard, _)| shard.leader != self.config.host)
    }

    fn is_ours(&self, shard: &ShardRecord) -> bool {
        shard.leader == self.config.host && shard.incarnation == self.incarnation
    }

    fn lease_spans(&self) -> LeaseSpans {
        LeaseSpans::new(self.config.lease_ttl_s, self.config.longest_silence_s)
    }
}
