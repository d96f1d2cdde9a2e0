//! What all parts of one controller share.
//!
//! Invariant: everything runs on one thread, so plain cells suffice; no borrow is held
//! across an await.

use crate::coordination::agents::leader_reachability::RedirectCounter;
use crate::coordination::jobs::record_cache::RecordCache;
use crate::coordination::jobs::terminal_states::TerminalStates;
use crate::coordination::leadership::cancellation_horizon::staleness_bound_s;
use crate::coordination::leadership::confirmed_cancellations::ConfirmedCancellations;
use crate::coordination::leadership::state::{Leadership, LeadershipConfig};
use crate::coordination::readiness::Readiness;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobState;
use crate::protocol::mesh::Topic;
use crate::protocol::policy::Policy;
use crate::protocol::settings::Settings;
use crate::storage::machine_record::MachineRecord;
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

/// Largest wait for a change of the leader: three quarters of the 4 s that a worker waits
/// for an answer.
const LEADER_CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest wait for a takeover that is under way: half of the 4 s that a worker waits for
/// an answer.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest acceptance time that is told apart, in milliseconds.
const MAX_ACCEPTANCE_MS: u64 = 600_000;
/// Least bound on the tasks of a live record, for very small values.
const MIN_TASKS_PER_RECORD: f64 = 64.0;
/// Bytes of a value for each completed task of a live record. A range of tasks takes up to
/// 14 bytes and covers two tasks at worst, so that half of the value is left for the job's
/// description.
const BYTES_PER_COMPLETED_TASK: f64 = 16.0;

/// Draws the number of an incarnation; 52 bits survive any JSON reader.
pub fn draw_incarnation() -> u64 {
    SmallRng::from_os_rng().next_u64() >> 12
}

/// The clients of everything that a controller calls.
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
    /// Clients over sockets.
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
    /// The platform's settings.
    pub settings: Settings,
    /// The operators' own settings.
    pub policy: Policy,
    /// Start of the process: origin of [`Node::now`].
    start: Instant,

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
    /// Who leads the shard, and the leases that this rests on.
    pub leadership: RefCell<Leadership>,
    /// A takeover is under way.
    pub taking_over: Cell<bool>,
    /// Notified when a takeover is over, and when the shard has another leader.
    pub leadership_changed: Notify,
    /// Term of the shard when that was last notified.
    pub announced_term: Cell<u64>,
    /// Whether users should be sent here.
    pub readiness: RefCell<Readiness>,
    /// Heartbeats that came here while another controller was the leader.
    pub redirected_heartbeats: RefCell<RedirectCounter>,

    // The leader's scheduler.
    /// The scheduler, while this controller leads.
    pub scheduler: RefCell<Option<Scheduler>>,
    /// The shard's machine record as it is written, by chunk.
    pub machine_record: RefCell<MachineRecord>,
    /// Direct calls to workers under way.
    pub direct_calls: Cell<usize>,
    /// Term and count of the drains that the scheduler was told of.
    pub applied_drains: Cell<(u64, u64)>,
    /// Versions of drains that we recorded as carried out and the watch has not
    /// shown yet.
    pub recorded_drains: RefCell<Vec<u64>>,
    /// Revision of the last step of a rollout that we wrote.
    pub last_rollout_revision: Cell<u64>,

    // Jobs.
    /// Terminal states of jobs, as far as they were read or written here.
    pub terminal_states: RefCell<TerminalStates>,
    /// Live jobs as they were read, and polls that wait for a check of them.
    pub record_cache: RefCell<RecordCache>,
    /// Cancellations that this controller confirmed to users.
    pub confirmed_cancellations: RefCell<ConfirmedCancellations>,
    /// Cancellations that other controllers told us of, for a scheduler that is not there yet.
    pub relayed_cancellations: RefCell<ConfirmedCancellations>,

    // What operators see.
    /// How long submissions took until they were accepted, in milliseconds.
    pub acceptance_ms: RefCell<Option<Histogram<u32>>>,
    /// What operators were told of the leader's shard, for when it is away.
    pub cached_views: RefCell<HashMap<Topic, (f64, u64, String)>>,
}

/// What the state machine of leadership needs of the settings.
fn leadership_config(settings: &Settings, policy: &Policy) -> LeadershipConfig {
    let workers = &settings.cluster.workers;
    LeadershipConfig {
        host: settings.host_name.clone(),
        peers: settings.peers.iter().map(|p| p.name.clone()).collect(),
        teams: (settings.cluster.teams.iter().map(|t| t.name.clone())).collect(),
        lease_ttl_s: policy.lease_ttl_s(workers.lease_s),
        // While the state service is away for all, no takeover is possible, so this is
        // long; after a takeover it bounds how long the former leader lasts if no quorum
        // of promises is had.
        longest_silence_s: policy.quiet_leases * workers.lease_s,
        worker_lease_s: workers.lease_s,
        staleness_bound_s: staleness_bound_s(workers.cancel_s, workers.lease_s),
        clock_bound_ms: settings.cluster.time_bound_ms.ceil() as u64,
    }
}

impl Node {
    /// A controller that talks over sockets.
    pub fn new(settings: Settings, policy: Policy) -> Rc<Node> {
        let clients = Clients::new(&settings);
        Node::with_clients(settings, policy, clients)
    }

    /// A controller that talks through these clients.
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
            start: Instant::now(),
            scheduler: RefCell::new(None),
            leadership: RefCell::new(Leadership::new(config, draw_incarnation())),
            terminal_states: RefCell::default(),
            confirmed_cancellations: RefCell::default(),
            relayed_cancellations: RefCell::default(),
            machine_record: RefCell::default(),
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

    /// Calls `action` with the scheduler if this controller still leads under `term`:
    /// whoever waited in between may find another scheduler, or none.
    pub fn with_scheduler<R>(
        &self,
        term: u64,
        action: impl FnOnce(&mut Scheduler) -> R,
    ) -> Option<R> {
        let mut scheduler = self.scheduler.borrow_mut();
        let scheduler = scheduler.as_mut()?;
        (scheduler.fence.base_term == term).then(|| action(scheduler))
    }

    /// Whether this controller's scheduler is that of `term`.
    pub fn leads_under(&self, term: u64) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler
            .as_ref()
            .is_some_and(|scheduler| scheduler.fence.base_term == term)
    }

    /// Remembers a terminal state before a user is told of it.
    ///
    /// Where we lead our scheduler learns of it first: by the watch alone it may not
    /// for longer than `cancel_s`. (A cancellation without an answer was carried out late,
    /// a poll here found it and told the user; then the state service went away, and what
    /// the other controllers told users, which is all that a leader asks for, did not
    /// have it: the job's tasks ran on.)
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

    /// Monotonic time since the start of the process, in seconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Counts a submission that was accepted after `took_s` seconds.
    pub fn record_acceptance(&self, took_s: f64) {
        if let Some(histogram) = self.acceptance_ms.borrow_mut().as_mut() {
            histogram.saturating_record((took_s * 1000.0).max(1.0) as u64);
        }
    }

    /// Time of day, in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Whether this controller leads, and its leases let it answer workers.
    pub fn may_answer_workers(&self) -> bool {
        self.scheduler.borrow().is_some() && self.leadership.borrow().may_answer_workers(self.now())
    }

    /// Waits for a takeover of ours that is under way. A worker turned away now
    /// would connect again and again while the shard is being read, and a
    /// thousand of them would keep it from being read.
    pub async fn takeover_settled(&self) {
        if self.taking_over.get() {
            let change = self.leadership_changed.notified();
            let _ = actix_rt::time::timeout(TAKEOVER_TIMEOUT, change).await;
        }
    }

    /// Waits for the shard to have another leader, and for a takeover of ours to be over.
    pub async fn leader_changed(&self) {
        let change = async {
            self.leadership_changed.notified().await;
            self.takeover_settled().await;
        };
        let _ = actix_rt::time::timeout(LEADER_CHANGE_TIMEOUT, change).await;
    }

    /// Whether this controller leads, and nobody can have taken over from it.
    pub fn is_certain_leader(&self) -> bool {
        self.scheduler.borrow().is_some() && self.leadership.borrow().is_certain_leader(self.now())
    }

    /// Without contact to the state service for this long, in seconds, a controller
    /// doubts its own way to it. Half of the time to live of its lease is two renewals and
    /// the time for one more.
    pub fn contact_timeout_s(&self) -> f64 {
        self.lease_ttl_s() / 2.0
    }

    /// When the state service last answered, in seconds of [`Node::now`]; 0 if never.
    pub fn last_contact_at(&self) -> f64 {
        let at = self.state.statistics().answered_at;
        at.map_or(0.0, |at| {
            at.saturating_duration_since(self.start).as_secs_f64()
        })
    }

    /// Time to live of a controller's lease in the state service, in seconds.
    pub fn lease_ttl_s(&self) -> f64 {
        self.policy
            .lease_ttl_s(self.settings.cluster.workers.lease_s)
    }

    /// The leader's name, if it is known and not us.
    pub fn other_leader(&self) -> Option<String> {
        self.leadership.borrow().other_leader()
    }

    /// The address at which another controller takes messages.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let peers = &self.settings.peers;
        peers.iter().find(|p| p.name == name).map(|p| p.addr)
    }

    /// Most tasks of a job whose completed tasks are kept in its live record; those of
    /// larger jobs are kept in chunks of so many tasks.
    pub fn tasks_per_record(&self) -> u32 {
        let value_bytes = self.settings.cluster.state.value_kb * 1024.0;
        (value_bytes / BYTES_PER_COMPLETED_TASK).max(MIN_TASKS_PER_RECORD) as u32
    }
}
