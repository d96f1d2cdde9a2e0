//! A simulated cluster: several controllers with their real handlers in one process, a model of
//! the state service, and a network that delays and loses calls. Time is simulated with tokio's
//! paused clock.
#![allow(dead_code)]

mod state;
pub mod users;

use super::common;
use super::common::digest::HistoryDigest;
use actix_http::Request;
use actix_web::dev::{Service, ServiceResponse};
use actix_web::http::Method;
use actix_web::web::Data;
use actix_web::{test, App};
use bytes::Bytes;
use foxspur::coordination::node::{Clients, Node};
use foxspur::handlers;
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Settings;
use foxspur::protocol::state::Txn;
use foxspur::storage::records::{self, ShardRecord};
use foxspur::transport::clients::{CloudClient, MeshClient, StateClient, WorkerClient};
use foxspur::transport::http::{Call, CallError, CallHandler, HttpClient, Response};
use foxspur_testbed::store::Store;
use futures_util::future::LocalBoxFuture;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which a watch checks the store for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The HTTP handler of a controller: takes a method, a path and a body, and returns a status and a
/// body.
type Handler = Rc<dyn Fn(Method, String, Vec<u8>) -> LocalBoxFuture<'static, (u16, Bytes)>>;

/// How often each fault was injected.
#[derive(Default, Debug)]
pub struct Faults {
    /// Calls that the state service refused (503).
    pub refused: Cell<usize>,
    /// Calls that the state service executed, but whose response was lost.
    pub answer_lost: Cell<usize>,
    /// Transactions that the state service executed late and without a response.
    pub late: Cell<usize>,
    /// Messages that took at least 500 ms.
    pub slow: Cell<usize>,
}

/// The simulated cluster: the state that all controllers share, and the injected faults.
pub struct Cluster {
    pub store: RefCell<Store>,
    pub rng: RefCell<StdRng>,
    pub faults: Faults,
    /// Whether random faults are injected: calls are delayed, refused and lost.
    pub unreliable_network: Cell<bool>,
    /// Additional delay of the state service's response to the next transaction.
    pub delay_next_transaction: Cell<Option<Duration>>,
    /// The controller to which calls from other controllers are lost.
    pub unreachable_controller: Cell<Option<usize>>,
    /// While random faults are injected, the probability that a call between controllers is lost.
    pub mesh_loss: Cell<f64>,
    /// The controller whose calls the state service refuses.
    pub refused_controller: Cell<Option<usize>>,
    /// Maximum number of entries on a page of a listing.
    pub listing_page_size: Cell<usize>,
    /// For each page but the last of a listing of live jobs: the controller that read the page, and
    /// when it read the page.
    pub partial_listing_reads: RefCell<Vec<(usize, Instant)>>,
    /// Digest of the controllers' calls to the state service and to each other.
    pub call_digest: RefCell<HistoryDigest>,
    start: Instant,
    handlers: RefCell<Vec<(SocketAddr, Handler)>>,
}

/// One controller: its node, and its HTTP handler for users.
pub struct Controller {
    pub node: Rc<Node>,
    front: Handler,
}

fn increment(counter: &Cell<usize>) {
    counter.set(counter.get() + 1);
}

/// Runs a future in simulated time: the clock advances at once to the next timer whenever all
/// tasks wait.
pub fn block_on<F: std::future::Future>(future: F) -> F::Output {
    let runtime = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime")
    };
    actix_rt::System::with_tokio_rt(runtime).block_on(future)
}

fn mesh_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 8081))
}

/// The settings of controller `n` in a cluster of `count`.
fn settings(n: usize, count: usize) -> Settings {
    let (head, rest) = common::SETTINGS
        .split_once("[[peers]]")
        .expect("the peers section");
    let (_, services) = rest.split_once("[services]").expect("the services section");
    let head = head.replace("berth-0", &format!("berth-{n}"));
    let head = head.replace("10.0.0.1:8081", &mesh_address(n).to_string());
    let peer = |p: usize| {
        let addr = mesh_address(p);
        format!("[[peers]]\nhost_name = \"berth-{p}\"\nsite = \"a\"\naddr = \"{addr}\"\n")
    };
    let peers: String = (0..count).filter(|p| *p != n).map(peer).collect();
    let services = services.replace("nodes = 2", &format!("nodes = {count}"));
    let text = format!("{head}{peers}[services]{services}");
    Settings::parse(&text).expect("valid settings")
}

impl Cluster {
    /// A cluster of `count` controllers, all of which know the first one as the leader.
    pub async fn start(seed: u64, count: usize) -> (Rc<Cluster>, Vec<Controller>) {
        let (cluster, controllers) = Cluster::without_leader(seed, count).await;
        cluster.set_leader(&controllers, 0);
        (cluster, controllers)
    }

    /// A cluster of `count` controllers without a leader. The controllers' loops are not started.
    pub async fn without_leader(seed: u64, count: usize) -> (Rc<Cluster>, Vec<Controller>) {
        let cluster = Rc::new(Cluster {
            store: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            faults: Faults::default(),
            unreliable_network: Cell::new(false),
            delay_next_transaction: Cell::new(None),
            unreachable_controller: Cell::new(None),
            mesh_loss: Cell::new(0.05),
            refused_controller: Cell::new(None),
            listing_page_size: Cell::new(1000),
            partial_listing_reads: RefCell::default(),
            call_digest: RefCell::default(),
            start: Instant::now(),
            handlers: RefCell::default(),
        });
        let mut controllers = Vec::new();
        for n in 0..count {
            controllers.push(cluster.add_controller(n, count).await);
        }
        (cluster, controllers)
    }

    async fn add_controller(self: &Rc<Self>, n: usize, count: usize) -> Controller {
        let settings = settings(n, count);
        let http_client = |destination| {
            HttpClient::simulated(Rc::new(Network {
                cluster: self.clone(),
                from: n,
                destination,
            }))
        };
        let clients = Clients {
            state: StateClient::with_http(
                &settings,
                http_client(Destination::StateService),
                http_client(Destination::StateService),
            ),
            cloud: CloudClient::new(&settings),
            workers: WorkerClient::new(&settings),
            mesh: MeshClient::with_http(http_client(Destination::Controller)),
        };
        let node = Node::with_clients(settings, Policy::default(), clients);
        node.leadership.borrow_mut().view.types = Some(common::types());
        let data = Data::new(node.clone());
        let app = App::new().app_data(data.clone());
        let front = handler(test::init_service(app.configure(handlers::front_routes)).await);
        let app = App::new().app_data(data);
        let mesh = handler(test::init_service(app.configure(handlers::mesh_routes)).await);
        self.handlers.borrow_mut().push((mesh_address(n), mesh));
        Controller { node, front }
    }

    /// Records controller `leader` as the leader, and makes it known to all controllers.
    pub fn set_leader(&self, controllers: &[Controller], leader: usize) {
        let shard = ShardRecord {
            leader: format!("berth-{leader}"),
            incarnation: 1,
            term: 1,
            teams: Vec::new(),
            former_leaders: Vec::new(),
            bounded_staleness: true,
        };
        let txn = Txn::default().put(records::SHARD_KEY, &shard);
        let version = self
            .store
            .borrow_mut()
            .apply(&txn)
            .expect("a transaction without conditions");
        for controller in controllers {
            let view = &mut controller.node.leadership.borrow_mut().view;
            view.update_shard(shard.clone(), version);
            view.update_alive_key(shard.leader.clone(), shard.incarnation, version);
        }
    }

    /// Adds a call to the digest of the calls, without the call's body: bodies contain random
    /// incarnations, which differ from run to run.
    fn record(&self, from: usize, call: &Call) {
        let mut digest = self.call_digest.borrow_mut();
        digest.number(self.start.elapsed().as_nanos() as u64);
        digest.number(from as u64);
        digest.bytes(call.method.as_str().as_bytes());
        digest.bytes(call.path.as_bytes());
    }

    /// The time from the cluster's start to `at`.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start)
    }

    /// Draws the network delay of a message.
    fn network_delay(&self) -> Duration {
        let mut rng = self.rng.borrow_mut();
        if !self.unreliable_network.get() {
            return Duration::from_millis(1);
        }
        let ms = match rng.random_range(0..100) {
            0..75 => rng.random_range(1..6),
            75..92 => rng.random_range(6..150),
            _ => rng.random_range(150..900),
        };
        if ms >= 500 {
            increment(&self.faults.slow);
        }
        Duration::from_millis(ms)
    }

    /// Returns true with this probability if random faults are injected; otherwise false.
    fn draw_fault(&self, probability: f64) -> bool {
        self.unreliable_network.get() && self.rng.borrow_mut().random_bool(probability)
    }

    /// Simulates a call to the state service over the network.
    async fn call_state(self: Rc<Self>, from: usize, call: Call) -> Result<Response, CallError> {
        if call.path.starts_with("/follow") {
            return self.call_watch(from, call).await;
        }
        tokio::time::sleep(self.network_delay()).await;
        if self.is_refused(from) || self.draw_fault(0.03) {
            increment(&self.faults.refused);
            let (status, body) = (503, Bytes::new());
            return Ok(Response { status, body });
        }
        let is_transaction = call.path == "/multi";
        if is_transaction && self.draw_fault(0.03) {
            increment(&self.faults.late);
            let delay_ms = self.rng.borrow_mut().random_range(2_000..12_000);
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                self.execute(from, &call);
            });
            return std::future::pending().await;
        }
        let (status, body) = self.execute(from, &call);
        if self.draw_fault(0.05) {
            increment(&self.faults.answer_lost);
            return std::future::pending().await;
        }
        let extra_delay = if is_transaction {
            self.delay_next_transaction.take().unwrap_or_default()
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(self.network_delay() + extra_delay).await;
        let body = body.into();
        Ok(Response { status, body })
    }

    /// Simulates a watch of the state service over the network. While the state service refuses
    /// the controller's calls, the watch waits.
    async fn call_watch(self: Rc<Self>, from: usize, call: Call) -> Result<Response, CallError> {
        while self.is_refused(from) {
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
        let (status, body) = self.watch(&call.path).await;
        tokio::time::sleep(self.network_delay()).await;
        let body = body.into();
        Ok(Response { status, body })
    }

    fn is_refused(&self, from: usize) -> bool {
        self.refused_controller.get() == Some(from)
    }

    /// Simulates a call to another controller over the network.
    async fn call_mesh(self: Rc<Self>, call: Call) -> Result<Response, CallError> {
        tokio::time::sleep(self.network_delay()).await;
        let receiver = {
            let handlers = self.handlers.borrow();
            let index = handlers.iter().position(|(addr, _)| *addr == call.addr);
            index.map(|n| (n, handlers[n].1.clone()))
        };
        let (n, handler) = receiver.ok_or(CallError::NotSent)?;
        if self.unreachable_controller.get() == Some(n) || self.draw_fault(self.mesh_loss.get()) {
            return std::future::pending().await;
        }
        let (status, body) = handler(call.method, call.path, call.body).await;
        tokio::time::sleep(self.network_delay()).await;
        Ok(Response { status, body })
    }
}

/// The receiver of the calls that one HTTP client makes.
enum Destination {
    StateService,
    Controller,
}

/// The simulated network for the calls that one HTTP client of a controller makes.
struct Network {
    cluster: Rc<Cluster>,
    from: usize,
    destination: Destination,
}

impl CallHandler for Network {
    fn call(&self, call: Call) -> LocalBoxFuture<'static, Result<Response, CallError>> {
        let cluster = self.cluster.clone();
        cluster.record(self.from, &call);
        let timeout = call.timeout;
        let answer: LocalBoxFuture<_> = match self.destination {
            Destination::StateService => Box::pin(cluster.call_state(self.from, call)),
            Destination::Controller => Box::pin(cluster.call_mesh(call)),
        };
        Box::pin(async move {
            let answer = tokio::time::timeout(timeout, answer).await;
            answer.unwrap_or(Err(CallError::Unknown))
        })
    }
}

/// Wraps an application in a function, so that applications of different types get handlers of the
/// same type.
fn handler<S>(app: S) -> Handler
where
    S: Service<Request, Response = ServiceResponse, Error = actix_web::Error> + 'static,
{
    let app = Rc::new(app);
    Rc::new(move |method, path, body| {
        let app = app.clone();
        Box::pin(async move {
            let request = test::TestRequest::with_uri(&path)
                .method(method)
                .set_payload(body)
                .to_request();
            let response = test::call_service(&*app, request).await;
            let status = response.status().as_u16();
            (status, test::read_body(response).await)
        })
    })
}

impl Controller {
    /// Sends a user's request, without network delay.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> (u16, Bytes) {
        let body = body.as_bytes().to_vec();
        (self.front)(method, path.to_string(), body).await
    }
}
