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
    pub claiming: Cell<bool>,
    /// Told when the takeover is over, and when the share changed hands.
    pub claimed: Notify,
    /// Term of the share when that was last told.
    pub told_term: Cell<u64>,
    start: Instant,
    pub state: StateClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
    pub mesh: MeshClient,
    pub core: RefCell<Option<Scheduler>>,
    /// Who owns the share, and what that rests on.
    pub tenure: RefCell<Leadership>,
    /// Terminal states of jobs, as far as they were read or written here.
    pub terminal: RefCell<TerminalStates>,
    /// Cancellations that users were told of by us.
    pub told_over: RefCell<ConfirmedCancellations>,
    /// Cancellations that other controllers told us of, for a core that is not there yet.
    pub heard_over: RefCell<ConfirmedCancellations>,
    /// Our share's machine record as it is written, by chunk.
    pub written: RefCell<MachineRecord>,
    /// Direct calls to workers under way.
    pub calls: Cell<usize>,
    /// Term and count of the drains that the core was told of.
    pub drains_taken: Cell<(u64, u64)>,
    /// Versions of drains that we recorded as carried out and the watch has not
    /// shown yet.
    pub noted: RefCell<Vec<u64>>,
    /// Revision of the last step of a roll that we wrote.
    pub rolled: Cell<u64>,
    /// How long submissions took until they were accepted, in milliseconds.
    pub accept_ms: RefCell<Option<Histogram<u32>>>,
    /// What operators were told of the owner's share, for when it is away.
    pub told: RefCell<HashMap<Topic, (f64, u64, String)>>,
    /// Live jobs as they were read, and polls that wait for a check of them.
    pub records: RefCell<RecordCache>,
    /// Whether users should be sent here.
    pub health: RefCell<Readiness>,
    /// Workers' reports that came here while another one was the owner.
    pub turned_away: RefCell<RedirectCounter>,
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
            me: settings.host_name.clone(),
            peers: settings.peers.iter().map(|p| p.name.clone()).collect(),
            teams: (settings.cluster.teams.iter().map(|t| t.name.clone())).collect(),
            life_s: policy.life_s(workers.lease_s),
            // While the state service is away for all, nothing can be taken
            // over, so this is long; after a takeover it bounds how long the
            // former owner lasts if no majority of promises is had.
            quiet_s: policy.quiet_leases * workers.lease_s,
            lease_s: workers.lease_s,
            blind_s: blind_s(workers.cancel_s, workers.lease_s),
            bound_ms: settings.cluster.time_bound_ms.ceil() as u64,
        };
        Rc::new(Node {
            state: clients.state,
            cloud: clients.cloud,
            workers: clients.workers,
            mesh: clients.mesh,
            settings,
            policy,
            claiming: Cell::new(false),
            claimed: Notify::new(),
            told_term: Cell::new(0),
            start: Instant::now(),
            core: RefCell::new(None),
            tenure: RefCell::new(Leadership::new(terms, draw_boot())),
            terminal: RefCell::default(),
            told_over: RefCell::default(),
            heard_over: RefCell::default(),
            written: RefCell::default(),
            calls: Cell::new(0),
            drains_taken: Cell::default(),
            noted: RefCell::default(),
            rolled: Cell::default(),
            accept_ms: RefCell::new(Histogram::new_with_bounds(1, 600_000, 2).ok()),
            told: RefCell::default(),
            records: RefCell::default(),
            health: RefCell::default(),
            turned_away: RefCell::default(),
        })
    }

    /// Remembers a final state before a user is told of it.
    ///
    /// Where the share is ours its core learns of it first: by the watch alone it may not
    /// for longer than `cancel_s`. (A cancellation without an answer was carried out late,
    /// a poll here found it and told the user; then the state service went away, and what
    /// the other controllers told users, which is all that an owner asks for, did not
    /// have it: the job's tasks ran on.)
    pub fn learnt_final(&self, id: &str, state: TerminalRecord) {
        if self.terminal.borrow_mut().put(id, state) && state.state == JobState::Cancelled {
            self.told_over.borrow_mut().note(id, self.now());
            if let Some(core) = self.core.borrow_mut().as_mut() {
                core.finish_job(id);
            }
        }
    }

    /// Steady time in seconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Remembers how long a submission took until it was accepted.
    pub fn accepted_in(&self, took_s: f64) {
        if let Some(histogram) = self.accept_ms.borrow_mut().as_mut() {
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
    pub fn entitled(&self) -> bool {
        self.core.borrow().is_some() && self.tenure.borrow().entitled(self.now())
    }

    /// Waits for a takeover of ours that is under way. A worker turned away now
    /// would connect again and again while the share is being read, and a
    /// thousand of them would keep it from being read.
    pub async fn settled(&self) {
        if self.claiming.get() {
            // Half of the time that a worker waits for an answer.
            let wait = actix_rt::time::timeout(Duration::from_secs(2), self.claimed.notified());
            let _ = wait.await;
        }
    }

    /// Waits for the share to change hands, and for a takeover of ours to be over: three
    /// quarters of the time that a worker waits for an answer.
    pub async fn moved(&self) {
        let change = async {
            self.claimed.notified().await;
            self.settled().await;
        };
        let _ = actix_rt::time::timeout(Duration::from_secs(3), change).await;
    }

    /// Whether nobody can have taken the share from us.
    pub fn certain(&self) -> bool {
        self.core.borrow().is_some() && self.tenure.borrow().certain(self.now())
    }

    /// Without contact to the state service for this long a controller doubts its own
    /// way to it. Half of its lease's life is two renewals and the time for one more.
    pub fn contact_s(&self) -> f64 {
        self.life_s() / 2.0
    }

    /// When the state service last answered.
    pub fn contact_at(&self) -> f64 {
        let at = self.state.met().answered_at;
        at.map_or(0.0, |at| {
            at.saturating_duration_since(self.start).as_secs_f64()
        })
    }

    /// Life of a controller's lease in the state service, in seconds.
    pub fn life_s(&self) -> f64 {
        self.policy.life_s(self.settings.cluster.workers.lease_s)
    }

    /// The owner's name, if it is known and not us.
    pub fn other_owner(&self) -> Option<String> {
        self.tenure.borrow().other_owner()
    }

    /// A peer's address.
    pub fn peer(&self, name: &str) -> Option<SocketAddr> {
        let peers = &self.settings.peers;
        peers.iter().find(|p| p.name == name).map(|p| p.addr)
    }

    /// Most tasks whose done marks fit into the job's record: a range takes up
    /// to 14 bytes and covers two tasks at worst; half the value is the
    /// description's.
    pub fn chunk_tasks(&self) -> u32 {
        (self.settings.cluster.state.value_kb * 1024.0 / 16.0).max(64.0) as u32
    }

    /// Whether the job can ever run: an error for the user, or `None` while we
    /// cannot tell.
    pub fn judge(&self, spec: &JobSpec) -> Option<Result<(), String>> {
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
        let tenure = self.tenure.borrow();
        let types = tenure.view.types.as_ref()?;
        if types.iter().any(|t| records::fits_type(spec, t)) {
            Some(Ok(()))
        } else {
            Some(Err("a task fits no allowed machine type".into()))
        }
    }
}
