//! The state that all parts of one controller share.
//!
//! Invariant: everything runs on one thread, so `Cell` and `RefCell` suffice. No borrow is held
//! across an await.

use crate::coordination::agents::leader_reachability::RedirectCounter;
use crate::coordination::jobs::record_cache::RecordCache;
use crate::coordination::jobs::terminal_states::TerminalStates;
use crate::coordination::leadership::cancellation_horizon::staleness_bound_s;
use crate::coordination::leadership::confirmed_cancellations::ConfirmedCancellations;
use crate::coordination::leadership::state::{Leadership, LeadershipConfig};
use crate::coordination::loop_delay::LoopDelay;
use crate::coordination::readiness::Readiness;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobState;
use crate::protocol::mesh::Topic;
use crate::protocol::policy::Policy;
use crate::protocol::settings::Settings;
use crate::storage::machine_record::MachineRecord;
use crate::storage::record_limits::RecordLimits;
use crate::storage::records::TerminalRecord;
use crate::transport::clients::{CloudClient, MeshClient, StateClient, WorkerClient};
use actix_rt::time::Instant;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// Maximum time to wait for a change of the leader: three quarters of the 4 s that a worker waits
/// for an answer.
const LEADER_CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to wait for a takeover in progress: half of the 4 s that a worker waits for an
/// answer.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum acceptance time that the histogram records, in milliseconds. Longer times are recorded
/// as this time.
const MAX_ACCEPTANCE_MS: u64 = 600_000;
/// A random incarnation number of 52 bits, which every JSON parser reads exactly.
pub fn random_incarnation() -> u64 {
    SmallRng::from_os_rng().next_u64() >> 12
}

/// The clients of all services that a controller calls.
pub struct Clients {
    /// Client of the state service.
    pub state: StateClient,
    /// Client of the cloud.
    pub cloud: CloudClient,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Client of the other controllers.
    pub mesh: MeshClient,
}

impl Clients {
    /// Clients that connect over sockets.
    pub fn new(settings: &Settings) -> Clients {
        Clients {
            state: StateClient::new(settings),
            cloud: CloudClient::new(settings),
            workers: WorkerClient::new(settings),
            mesh: MeshClient::default(),
        }
    }
}

/// One controller.
pub struct Node {
    // Settings.
    /// Settings that the platform provides.
    pub settings: Settings,
    /// Settings that the operators choose.
    pub policy: Policy,
    /// When this node was created: the origin of [`Node::now`].
    created_at: Instant,

    // Clients.
    /// Client of the state service.
    pub state: StateClient,
    /// Client of the cloud.
    pub cloud: CloudClient,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Client of the other controllers.
    pub mesh: MeshClient,

    // Leadership.
    /// Who leads the shard, and the leases on which the leadership depends.
    pub leadership: RefCell<Leadership>,
    /// Whether this controller is currently taking over the shard.
    pub taking_over: Cell<bool>,
    /// Notified when a takeover has ended, and when the shard has a new term.
    pub leadership_changed: Notify,
    /// Term of the shard at the last notification of `leadership_changed`.
    pub announced_term: Cell<u64>,
    /// Whether users should be sent to this controller.
    pub readiness: RefCell<Readiness>,
    /// Counts heartbeats that arrived here while another controller was the leader.
    pub redirected_heartbeats: RefCell<RedirectCounter>,

    // The leader's scheduler.
    /// The scheduler; `None` while this controller does not lead.
    pub scheduler: RefCell<Option<Scheduler>>,
    /// The chunks of the shard's machine record as they were last read or written.
    pub machine_record: RefCell<MachineRecord>,
    /// How long the event loop was delayed since this process started.
    pub loop_delay: Cell<LoopDelay>,
    /// Number of direct calls to workers in progress.
    pub direct_calls: Cell<usize>,
    /// Term and drain generation that were last applied to the scheduler.
    pub applied_drains: Cell<(u64, u64)>,
    /// Versions of drain records that this controller has replaced by a record that marks the
    /// machine as drained, as long as the watch has not delivered the new record.
    pub recorded_drains: RefCell<Vec<u64>>,
    /// Revision of the last rollout step that this controller wrote.
    pub last_rollout_revision: Cell<u64>,

    // Jobs.
    /// Terminal states of jobs that this controller read or wrote.
    pub terminal_states: RefCell<TerminalStates>,
    /// Live records as they were last read or written, and polls that wait for a version check.
    pub record_cache: RefCell<RecordCache>,
    /// Cancellations that this controller confirmed to users.
    pub confirmed_cancellations: RefCell<ConfirmedCancellations>,
    /// Cancellations that other controllers reported. A takeover applies them to its new
    /// scheduler.
    pub relayed_cancellations: RefCell<ConfirmedCancellations>,

    // Views and metrics for operators.
    /// Histogram of the times that submissions took to be accepted, in milliseconds; `None` if it
    /// could not be created.
    pub acceptance_ms: RefCell<Option<Histogram<u32>>>,
    /// The last view for operators on each topic that the leader sent; shown while the leader does
    /// not answer. Each entry holds the time of receipt in seconds of [`Node::now`], the leader's
    /// term, and the view as JSON.
    pub cached_views: RefCell<HashMap<Topic, (f64, u64, String)>>,
}

/// The settings that the leadership state machine needs.
fn leadership_config(settings: &Settings, policy: &Policy) -> LeadershipConfig {
    let workers = &settings.cluster.workers;
    LeadershipConfig {
        host: settings.host_name.clone(),
        peers: settings.peers.iter().map(|p| p.name.clone()).collect(),
        teams: (settings.cluster.teams.iter().map(|t| t.name.clone())).collect(),
        lease_ttl_s: policy.lease_ttl_s(workers.lease_s),
        // No takeover is possible while the state service is unavailable to all controllers,
        // so this time can be long. After a takeover it limits how long the former leader may
        // answer workers, unless a quorum promised never to extend the former leader's lease.
        max_without_contact_s: policy.quiet_leases * workers.lease_s,
        worker_lease_s: workers.lease_s,
        staleness_bound_s: staleness_bound_s(workers.cancel_s, workers.lease_s),
        max_clock_error_ms: settings.cluster.time_bound_ms.ceil() as u64,
    }
}

impl Node {
    /// A controller whose clients connect over sockets.
    pub fn new(settings: Settings, policy: Policy) -> Rc<Node> {
        let clients = Clients::new(&settings);
        Node::with_clients(settings, policy, clients)
    }

    /// A controller that uses these clients.
    pub fn with_clients(settings: Settings, policy: Policy, clients: Clients) -> Rc<Node> {
        let config = leadership_config(&settings, &policy);
        Rc::new(Node {
            state: clients.state,
            cloud: clients.cloud,
            workers: clients.workers,
            mesh: clients.mesh,
            settings,
            policy,
            taking_over: Cell::new(false),
            leadership_changed: Notify::new(),
            announced_term: Cell::new(0),
            created_at: Instant::now(),
            scheduler: RefCell::new(None),
            leadership: RefCell::new(Leadership::new(config, random_incarnation())),
            terminal_states: RefCell::default(),
            confirmed_cancellations: RefCell::default(),
            relayed_cancellations: RefCell::default(),
            machine_record: RefCell::default(),
            loop_delay: Cell::default(),
            direct_calls: Cell::new(0),
            applied_drains: Cell::default(),
            recorded_drains: RefCell::default(),
            last_rollout_revision: Cell::default(),
            acceptance_ms: RefCell::new(Histogram::new_with_bounds(1, MAX_ACCEPTANCE_MS, 2).ok()),
            cached_views: RefCell::default(),
            record_cache: RefCell::default(),
            readiness: RefCell::default(),
            redirected_heartbeats: RefCell::default(),
        })
    }

    /// Calls `action` with the scheduler if this controller still leads under `term`, and returns
    /// the result of the action. Returns `None` otherwise: after an await the scheduler may no
    /// longer exist, or may belong to another term.
    pub fn with_scheduler<R>(
        &self,
        term: u64,
        action: impl FnOnce(&mut Scheduler) -> R,
    ) -> Option<R> {
        let mut scheduler = self.scheduler.borrow_mut();
        let scheduler = scheduler.as_mut()?;
        (scheduler.fence.base_term == term).then(|| action(scheduler))
    }

    /// Whether this controller has a scheduler whose base term is `term`.
    pub fn leads_under(&self, term: u64) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler
            .as_ref()
            .is_some_and(|scheduler| scheduler.fence.base_term == term)
    }

    /// Caches a terminal state. Must be called before a user is told of the state.
    ///
    /// If this controller leads and the job was cancelled, its scheduler finishes the job at
    /// once, because the watch alone may report the cancellation later than `cancel_s`. This
    /// guards against the following failure: a cancellation got no response and was executed
    /// late. A poll at the leader found the cancellation, and the user was told of it. Then the
    /// state service became unavailable. The leader could only ask the other controllers for the
    /// cancellations that they had confirmed, and none of them knew of this cancellation, so the
    /// job's tasks kept running.
    pub fn learn_terminal_state(&self, id: &str, state: TerminalRecord) {
        let is_new = self.terminal_states.borrow_mut().put(id, state);
        if !is_new || state.state != JobState::Cancelled {
            return;
        }
        let now = self.now();
        self.confirmed_cancellations.borrow_mut().record(id, now);
        if let Some(scheduler) = self.scheduler.borrow_mut().as_mut() {
            scheduler.finish_job(id);
        }
    }

    /// Monotonic time since this node was created, in seconds.
    pub fn now(&self) -> f64 {
        self.created_at.elapsed().as_secs_f64()
    }

    /// Records that a submission was accepted after `duration_s` seconds.
    pub fn record_acceptance(&self, duration_s: f64) {
        if let Some(histogram) = self.acceptance_ms.borrow_mut().as_mut() {
            histogram.saturating_record((duration_s * 1000.0).max(1.0) as u64);
        }
    }

    /// Unix time in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
    }

    /// Whether this controller leads and may currently answer workers.
    pub fn may_answer_workers(&self) -> bool {
        self.scheduler.borrow().is_some() && self.leadership.borrow().may_answer_workers(self.now())
    }

    /// Waits, up to a timeout, until a takeover by this controller has ended; returns at once if
    /// none is in progress. If workers were refused during the takeover instead, they would
    /// reconnect again and again, and a thousand such workers would keep this controller from
    /// reading the shard's records.
    pub async fn wait_for_takeover(&self) {
        if self.taking_over.get() {
            let change = self.leadership_changed.notified();
            let _ = actix_rt::time::timeout(TAKEOVER_TIMEOUT, change).await;
        }
    }

    /// Waits, up to a timeout, until the leadership of the shard changes and a takeover by this
    /// controller, if there is one, has ended.
    pub async fn wait_for_leader_change(&self) {
        let change = async {
            self.leadership_changed.notified().await;
            self.wait_for_takeover().await;
        };
        let _ = actix_rt::time::timeout(LEADER_CHANGE_TIMEOUT, change).await;
    }

    /// Whether this controller leads, and no other controller can have taken over from it.
    pub fn is_confirmed_leader(&self) -> bool {
        self.scheduler.borrow().is_some()
            && self.leadership.borrow().is_confirmed_leader(self.now())
    }

    /// How long a controller may be without contact to the state service before it asks the other
    /// controllers whether they have contact, in seconds. This is half of the time to live of the
    /// controller's lease, which covers two renewals and leaves time for one more.
    pub fn contact_timeout_s(&self) -> f64 {
        self.lease_ttl_s() / 2.0
    }

    /// When the state service last answered, in seconds of [`Node::now`]; 0 if never.
    pub fn last_contact_at(&self) -> f64 {
        let answered_at = self.state.statistics().answered_at;
        answered_at.map_or(0.0, |answered_at| {
            answered_at
                .saturating_duration_since(self.created_at)
                .as_secs_f64()
        })
    }

    /// Time to live of a controller's lease in the state service, in seconds.
    pub fn lease_ttl_s(&self) -> f64 {
        self.policy
            .lease_ttl_s(self.settings.cluster.workers.lease_s)
    }

    /// The name of the leader; `None` if this controller leads, the leader is not known, or the
    /// leader has no alive key.
    pub fn other_leader(&self) -> Option<String> {
        self.leadership.borrow().other_leader()
    }

    /// The address at which the other controller of this name receives messages; `None` if the
    /// settings list no such controller.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let peers = &self.settings.peers;
        peers
            .iter()
            .find(|peer| peer.name == name)
            .map(|peer| peer.addr)
    }

    /// The limits on the records of one job.
    pub fn record_limits(&self) -> RecordLimits {
        RecordLimits::new(self.settings.cluster.state.value_kb)
    }
}
