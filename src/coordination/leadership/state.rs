//! The leadership state machine of one controller: whether the controller leads the shard, and
//! what proves its leadership. The code is pure, with time passed in, so that a simulation can
//! pause a controller at any point and resume it with the state that it had before.
//!
//! A controller that was paused resumes with stale state: responses to requests sent long
//! ago, an old view of the control prefix, a transaction in flight. A response therefore
//! proves something only about the time when its request was sent, never about the time of
//! its arrival. Three invariants hold throughout:
//!
//! - A renewal proves leadership only for the lease under which this controller last wrote
//!   the shard record (`confirmed_lease`). After that lease has expired, reading the record
//!   is not enough: the controller rewrites the record, on condition that the record is
//!   unchanged. The rewrite also voids every takeover that another controller attempted before.
//! - If two versions of a key are known, the higher version counts, whichever was learnt first.
//! - A controller that has promised for a term acts under no earlier term, even if the
//!   response to its own takeover under an earlier term arrives after the promise.

use crate::coordination::leadership::cancellation_horizon::CancellationHorizon;
use crate::coordination::leadership::cluster_view::ClusterView;
use crate::coordination::leadership::lease_extension::{LeaseDurations, QuorumRound};
use crate::coordination::leadership::queries::QueryTimes;
use crate::coordination::scheduler::fence::unfenced_leaders;
use crate::storage::records::{FormerLeader, ShardRecord};

/// The settings that leadership decisions need.
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
    /// The maximum time for which a leader may answer workers without contact to the state
    /// service, in seconds.
    pub max_without_contact_s: f64,
    /// The duration of a worker's lease, in seconds.
    pub worker_lease_s: f64,
    /// The maximum age of a leader's knowledge of cancellations while it answers workers, in
    /// seconds.
    pub staleness_bound_s: f64,
    /// The maximum error of a controller's wall clock, in milliseconds.
    pub max_clock_error_ms: u64,
}

/// This controller's alive key in the state service, as this process wrote it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AliveKey {
    pub(super) lease: u64,
    pub(super) incarnation: u64,
    pub(super) version: u64,
}

/// The terms of a leader that has loaded the shard's records.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LeaderTerm {
    /// The term of the takeover.
    pub(super) base_term: u64,
    /// The term under which the leader acts now: `base_term`, or a higher one if the leader has
    /// raised its term since.
    pub(super) term: u64,
}

/// One controller's leadership state. "We" and "our" below mean this controller.
pub struct Leadership {
    pub(super) config: LeadershipConfig,
    /// The known records of the control prefix.
    pub view: ClusterView,
    pub(super) incarnation: u64,
    pub(super) lease: Option<u64>,
    pub(super) alive_key: Option<AliveKey>,
    /// The lease under which this controller last wrote the shard record; `None` before its
    /// takeover and after a step-down.
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
    /// The version of the shard record that our last takeover attempt requires; `None` before the
    /// first attempt. Until we see a newer version, the state service may still carry the attempt
    /// out.
    pub(super) attempted_version: Option<u64>,
    /// When we learnt that our last takeover was carried out.
    pub(super) taken_over_at: f64,
    /// The highest term among the promises that we gave and our own takeovers.
    pub(super) promised_term: u64,
    /// When we last resigned.
    pub(super) resigned_at: f64,
}

impl Leadership {
    /// The state of a controller that has just started with this incarnation and has read
    /// nothing yet.
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

    /// Our present incarnation. Each start of the process and each step-down draws a new one. A
    /// controller that sees a changed incarnation in our alive key knows that the old incarnation
    /// has stopped answering workers as leader.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When the last successful check that the shard is ours began.
    pub fn confirmed_at(&self) -> f64 {
        self.confirmed_at
    }

    /// The term under which we act as leader, which may have been raised since the takeover;
    /// `None` if we do not lead.
    pub fn acting_term(&self) -> Option<u64> {
        self.leader_term.map(|acting| acting.term)
    }

    /// Whether we lead the shard and may answer workers: our lease is confirmed or extended
    /// by a quorum, and our knowledge of cancellations is recent enough.
    pub fn may_answer_workers(&self, now: f64) -> bool {
        let acts_as_leader = self
            .leader_term
            .is_some_and(|acting| acting.term >= self.promised_term);
        acts_as_leader
            && self
                .lease_durations()
                .may_answer(&self.extensions, self.confirmed_at, now)
            && now - self.cancellations_known_until() < self.config.staleness_bound_s
    }

    /// Whether no other controller can have taken the shard over: we lead, and our lease in
    /// the state service cannot have expired since it was last renewed.
    pub fn is_confirmed_leader(&self, now: f64) -> bool {
        self.leader_term.is_some() && now - self.confirmed_at < self.config.lease_ttl_s
    }

    /// Whether we know of no leader with a term higher than `term`. False until the control
    /// prefix has been listed.
    pub fn knows_no_higher_term(&self, term: u64) -> bool {
        let known_term = self.view.shard.as_ref().map_or(0, |(shard, _)| shard.term);
        self.view.loaded && known_term <= term && self.promised_term <= term
    }

    /// Whether we resigned less than the duration of a worker's lease ago. During that time we
    /// leave the shard to the other controllers; after it we may lead again.
    pub fn has_resigned(&self, now: f64) -> bool {
        now - self.resigned_at < self.config.worker_lease_s
    }

    /// The name of the leader if another controller leads and is alive; otherwise `None`.
    pub fn other_leader(&self) -> Option<String> {
        let (shard, _) = self.view.shard.as_ref()?;
        let alive = self.view.alive.contains_key(&shard.leader);
        (alive && shard.leader != self.config.host).then(|| shard.leader.clone())
    }

    /// The version of the shard record; `None` if the shard is not known to be ours.
    pub fn own_shard_version(&self) -> Option<u64> {
        self.own_shard().map(|(_, version)| *version)
    }

    /// Whether, as far as we know, the shard is still ours under exactly this term.
    pub fn holds_term(&self, term: u64) -> bool {
        let shard = self.own_shard();
        shard.is_some_and(|(shard, _)| shard.term == term) && self.promised_term <= term
    }

    /// Whether we still act as leader although we know that the shard is not ours any more.
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

    /// Stops leading. The new incarnation, once written into our alive key, tells the other
    /// controllers that this controller has stopped answering workers as leader.
    pub fn step_down(&mut self, incarnation: u64) {
        self.leader_term = None;
        self.confirmed_lease = None;
        self.confirmed_at = f64::NEG_INFINITY;
        self.incarnation = incarnation;
    }

    /// Steps down and leaves the shard to the other controllers for the duration of a worker's
    /// lease.
    pub fn resign(&mut self, now: f64, incarnation: u64) {
        self.resigned_at = now;
        self.step_down(incarnation);
    }

    /// Whether no former leader can answer a worker any more.
    pub fn former_leaders_fenced(&self, now: f64, now_ms: u64) -> bool {
        let Some((shard, _)) = self.own_shard() else {
            return false;
        };
        let stopped_after = self
            .lease_durations()
            .former_leaders_stopped_after(&self.promises, self.taken_over_at);
        self.unfenced_former_leaders(&shard.former_leaders, now_ms)
            .is_empty()
            || stopped_after.is_some_and(|stopped_after| now > stopped_after)
    }

    /// The former leaders among `former_leaders` that may still answer a worker.
    pub(super) fn unfenced_former_leaders(
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
        unfenced_leaders(
            former_leaders,
            alive_incarnation,
            now_ms,
            self.config.max_clock_error_ms,
        )
        .into_iter()
        .cloned()
        .collect()
    }

    /// The shard record and its version; `None` if the shard is not known to be ours.
    pub(super) fn own_shard(&self) -> Option<&(ShardRecord, u64)> {
        self.view
            .shard
            .as_ref()
            .filter(|(shard, _)| self.is_ours(shard))
    }

    /// Whether the shard record names another controller as leader.
    pub(super) fn another_controller_leads(&self) -> bool {
        let shard = self.view.shard.as_ref();
        shard.is_some_and(|(shard, _)| shard.leader != self.config.host)
    }

    fn is_ours(&self, shard: &ShardRecord) -> bool {
        shard.leader == self.config.host && shard.incarnation == self.incarnation
    }

    fn lease_durations(&self) -> LeaseDurations {
        LeaseDurations::new(self.config.lease_ttl_s, self.config.max_without_contact_s)
    }
}
