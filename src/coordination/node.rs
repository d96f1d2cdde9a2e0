//! What all parts of one controller share. Everything runs on one thread, so
//! plain cells suffice; no borrow is held across an await.

use crate::coordination::agents::leader_reachability::RedirectCounter;
use crate::coordination::jobs::lookup::TerminalStates;
use crate::coordination::jobs::version_check::RecordCache;
use crate::coordination::leadership::cancellation_horizon::{blind_s, ConfirmedCancellations};
use crate::coordination::leadership::leadership::{Leadership, LeadershipConfig};
use crate::coordination::readiness::Readiness;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::{JobSpec, JobState};
use crate::protocol::mesh::Topic;
use crate::protocol::policy::Policy;
use crate::protocol::settings::Settings;
use crate::storage::chunks::MachineRecord;
use crate::storage::records::{self, TerminalRecord};
use crate::transport::clients::{CloudClient, MeshClient, StateClient, WorkerClient};
use actix_rt::time::Instant;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// A number for an incarnation; 52 bits survive any JSON reader.
pub fn draw_boot() -> u64 {
    use rand::{RngCore, SeedableRng};
    rand::rngs::SmallRng::from_os_rng().next_u64() >> 12
}

/// What a controller talks to.
pub struct Clients {
    pub state: StateClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
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
    pub settings: Settings,
    pub policy: Policy,
    /// A takeover is under way.
    pub taking_over: Cell<bool>,
    /// Told when the takeover is over, and when the share changed hands.
    pub leadership_changed: Notify,
    /// Term of the share when that was last told.
    pub announced_term: Cell<u64>,
    start: Instant,
    pub state: StateClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
    pub mesh: MeshClient,
    pub scheduler: RefCell<Option<Scheduler>>,
    /// Who owns the share, and what that rests on.
    pub leadership: RefCell<Leadership>,
    /// Terminal states of jobs, as far as they were read or written here.
    pub terminal_states: RefCell<TerminalStates>,
    /// Cancellations that users were told of by us.
    pub confirmed_cancellations: RefCell<ConfirmedCancellations>,
    /// Cancellations that other controllers told us of, for a scheduler that is not there yet.
    pub relayed_cancellations: RefCell<ConfirmedCancellations>,
    /// Our share's machine record as it is written, by chunk.
    pub machine_record: RefCell<MachineRecord>,
    /// Direct calls to workers under way.
    pub direct_calls: Cell<usize>,
    /// Term and count of the drains that the scheduler was told of.
    pub applied_drains: Cell<(u64, u64)>,
    /// Versions of drains that we recorded as carried out and the watch has not
    /// shown yet.
    pub noted_drains: RefCell<Vec<u64>>,
    /// Revision of the last step of a roll that we wrote.
    pub rollout_revision: Cell<u64>,
    /// How long submissions took until they were accepted, in milliseconds.
    pub acceptance_ms: RefCell<Option<Histogram<u32>>>,
    /// What operators were told of the owner's share, for when it is away.
    pub last_views: RefCell<HashMap<Topic, (f64, u64, String)>>,
    /// Live jobs as they were read, and polls that wait for a check of them.
    pub record_cache: RefCell<RecordCache>,
    /// Whether users should be sent here.
    pub readiness: RefCell<Readiness>,
    /// Workers' reports that came here while another one was the owner.
    pub redirected_heartbeats: RefCell<RedirectCounter>,
}

impl Node {
    /// A controller that talks over sockets.
    pub fn new(settings: Settings, policy: Policy) -> Rc<Node> {
        let clients = Clients::new(&settings);
        Node::with_clients(settings, policy, clients)
    }

    /// A controller that talks through these clients.
    pub fn with_clients(settings: Settings, policy: Policy, clients: Clients) -> Rc<Node> {
        let workers = &settings.cluster.workers;
        let terms = LeadershipConfig {
            host: settings.host_name.clone(),
            peers: settings.peers.iter().map(|p| p.name.clone()).collect(),
            teams: (settings.cluster.teams.iter().map(|t| t.name.clone())).collect(),
            lease_ttl_s: policy.life_s(workers.lease_s),
            // While the state service is away for all, nothing can be taken
            // over, so this is long; after a takeover it bounds how long the
            // former owner lasts if no majority of promises is had.
            longest_silence_s: policy.quiet_leases * workers.lease_s,
            worker_lease_s: workers.lease_s,
            staleness_bound_s: blind_s(workers.cancel_s, workers.lease_s),
            clock_bound_ms: settings.cluster.time_bound_ms.ceil() as u64,
        };
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
            leadership: RefCell::new(Leadership::new(terms, draw_boot())),
            terminal_states: RefCell::default(),
            confirmed_cancellations: RefCell::default(),
            relayed_cancellations: RefCell::default(),
            machine_record: RefCell::default(),
            direct_calls: Cell::new(0),
            applied_drains: Cell::default(),
            noted_drains: RefCell::default(),
            rollout_revision: Cell::default(),
            acceptance_ms: RefCell::new(Histogram::new_with_bounds(1, 600_000, 2).ok()),
            last_views: RefCell::default(),
            record_cache: RefCell::default(),
            readiness: RefCell::default(),
            redirected_heartbeats: RefCell::default(),
        })
    }

    /// Remembers a final state before a user is told of it.
    ///
    /// Where the share is ours its scheduler learns of it first: by the watch alone it may not
    /// for longer than `cancel_s`. (A cancellation without an answer was carried out late,
    /// a poll here found it and told the user; then the state service went away, and what
    /// the other controllers told users, which is all that an owner asks for, did not
    /// have it: the job's tasks ran on.)
    pub fn learn_terminal_state(&self, id: &str, state: TerminalRecord) {
        if self.terminal_states.borrow_mut().put(id, state) && state.state == JobState::Cancelled {
            self.confirmed_cancellations
                .borrow_mut()
                .record(id, self.now());
            if let Some(scheduler) = self.scheduler.borrow_mut().as_mut() {
                scheduler.finish_job(id);
            }
        }
    }

    /// Steady time in seconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Remembers how long a submission took until it was accepted.
    pub fn record_acceptance(&self, took_s: f64) {
        if let Some(histogram) = self.acceptance_ms.borrow_mut().as_mut() {
            histogram.saturating_record((took_s * 1000.0).max(1.0) as u64);
        }
    }

    /// Time of day in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Whether we own the share and may answer workers.
    pub fn may_answer_workers(&self) -> bool {
        self.scheduler.borrow().is_some() && self.leadership.borrow().may_answer_workers(self.now())
    }

    /// Waits for a takeover of ours that is under way. A worker turned away now
    /// would connect again and again while the share is being read, and a
    /// thousand of them would keep it from being read.
    pub async fn takeover_settled(&self) {
        if self.taking_over.get() {
            // Half of the time that a worker waits for an answer.
            let wait =
                actix_rt::time::timeout(Duration::from_secs(2), self.leadership_changed.notified());
            let _ = wait.await;
        }
    }

    /// Waits for the share to change hands, and for a takeover of ours to be over: three
    /// quarters of the time that a worker waits for an answer.
    pub async fn leader_changed(&self) {
        let change = async {
            self.leadership_changed.notified().await;
            self.takeover_settled().await;
        };
        let _ = actix_rt::time::timeout(Duration::from_secs(3), change).await;
    }

    /// Whether nobody can have taken the share from us.
    pub fn is_certain_leader(&self) -> bool {
        self.scheduler.borrow().is_some() && self.leadership.borrow().is_certain_leader(self.now())
    }

    /// Without contact to the state service for this long a controller doubts its own
    /// way to it. Half of its lease's life is two renewals and the time for one more.
    pub fn contact_timeout_s(&self) -> f64 {
        self.lease_ttl_s() / 2.0
    }

    /// When the state service last answered.
    pub fn last_contact_at(&self) -> f64 {
        let at = self.state.met().answered_at;
        at.map_or(0.0, |at| {
            at.saturating_duration_since(self.start).as_secs_f64()
        })
    }

    /// Life of a controller's lease in the state service, in seconds.
    pub fn lease_ttl_s(&self) -> f64 {
        self.policy.life_s(self.settings.cluster.workers.lease_s)
    }

    /// The owner's name, if it is known and not us.
    pub fn other_leader(&self) -> Option<String> {
        self.leadership.borrow().other_leader()
    }

    /// A peer's address.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let peers = &self.settings.peers;
        peers.iter().find(|p| p.name == name).map(|p| p.addr)
    }

    /// Most tasks whose done marks fit into the job's record: a range takes up
    /// to 14 bytes and covers two tasks at worst; half the value is the
    /// description's.
    pub fn tasks_per_record(&self) -> u32 {
        (self.settings.cluster.state.value_kb * 1024.0 / 16.0).max(64.0) as u32
    }

    /// Whether the job can ever run: an error for the user, or `None` while we
    /// cannot tell.
    pub fn check_admission(&self, spec: &JobSpec) -> Option<Result<(), String>> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Some(Err(format!("unknown owner {}", spec.team)));
        };
        let tasks = match spec.shape {
            crate::protocol::job::Shape::Sweep => 1.0,
            crate::protocol::job::Shape::Service => f64::from(spec.tasks),
        };
        if !crate::coordination::scheduler::quota::within_limit(Some(team), (0.0, 0.0), spec, tasks)
        {
            return Some(Err("more than the owner's limit".into()));
        }
        let tenure = self.leadership.borrow();
        let types = tenure.view.types.as_ref()?;
        if types.iter().any(|t| records::fits_type(spec, t)) {
            Some(Ok(()))
        } else {
            Some(Err("a task fits no allowed machine type".into()))
        }
    }
}
