//! Several controllers in one process: their real handlers, a model of the state service,
//! and a network that delays and loses calls, all in simulated time (tokio's paused clock).
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
use foxspur::transport::http::{Call, CallError, Exchange, Http, Response};
use foxspur_testbed::store::Store;
use futures_util::future::LocalBoxFuture;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a watch sleeps between two looks at the log.
const WATCH_STEP: Duration = Duration::from_millis(20);

/// A handler of a controller: method, path and body in, status and body out.
type Handler = Rc<dyn Fn(Method, String, Vec<u8>) -> LocalBoxFuture<'static, (u16, Bytes)>>;

/// How often each fault was drawn.
#[derive(Default, Debug)]
pub struct Faults {
    pub refused: Cell<usize>,
    pub answer_lost: Cell<usize>,
    pub late: Cell<usize>,
    pub slow: Cell<usize>,
}

/// What all controllers share.
pub struct Cluster {
    pub store: RefCell<Store>,
    pub rng: RefCell<StdRng>,
    pub faults: Faults,
    /// Whether calls are delayed, refused and lost.
    pub rough: Cell<bool>,
    /// The answer of the next transaction is held up for this long.
    pub hold_next: Cell<Option<Duration>>,
    /// Calls to this controller are lost.
    pub unreachable: Cell<Option<usize>>,
    /// Share of the calls between controllers that are lost.
    pub mesh_loss: Cell<f64>,
    /// The state service refuses this controller alone.
    pub refused: Cell<Option<usize>>,
    /// Most entries on a page of a listing.
    pub page: Cell<usize>,
    /// Pages of live jobs that were followed by another one, lately: who read it, when.
    pub pages: RefCell<Vec<(usize, Instant)>>,
    /// Calls of the controllers to the state service and to each other.
    pub calls: RefCell<HistoryDigest>,
    start: Instant,
    handlers: RefCell<Vec<(SocketAddr, Handler)>>,
}

/// One controller: the node, and its handlers for users.
pub struct Controller {
    pub node: Rc<Node>,
    front: Handler,
}

fn bump(counter: &Cell<usize>) {
    counter.set(counter.get() + 1);
}

/// Runs a future in simulated time: waiting costs nothing.
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

/// The settings of controller `n` of `count`.
fn settings(n: usize, count: usize) -> Settings {
    let (head, rest) = common::SETTINGS.split_once("[[peers]]").expect("peers");
    let (_, services) = rest.split_once("[services]").expect("services");
    let head = head.replace("berth-0", &format!("berth-{n}"));
    let head = head.replace("10.0.0.1:8081", &mesh_address(n).to_string());
    let peer = |p: usize| {
        let addr = mesh_address(p);
        format!("[[peers]]\nhost_name = \"berth-{p}\"\nsite = \"a\"\naddr = \"{addr}\"\n")
    };
    let peers: String = (0..count).filter(|p| *p != n).map(peer).collect();
    let services = services.replace("nodes = 2", &format!("nodes = {count}"));
    let text = format!("{head}{peers}[services]{services}");
    Settings::parse(&text).expect("good settings")
}

impl Cluster {
    /// A cluster of `count` controllers, the first of them the leader for everyone.
    pub async fn start(seed: u64, count: usize) -> (Rc<Cluster>, Vec<Controller>) {
        let (cluster, controllers) = Cluster::without_leader(seed, count).await;
        cluster.elect(&controllers, 0);
        (cluster, controllers)
    }

    /// A cluster of `count` controllers whose loops are not started.
    pub async fn without_leader(seed: u64, count: usize) -> (Rc<Cluster>, Vec<Controller>) {
        let cluster = Rc::new(Cluster {
            store: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            faults: Faults::default(),
            rough: Cell::new(false),
            hold_next: Cell::new(None),
            unreachable: Cell::new(None),
            mesh_loss: Cell::new(0.05),
            refused: Cell::new(None),
            page: Cell::new(1000),
            pages: RefCell::default(),
            calls: RefCell::default(),
            start: Instant::now(),
            handlers: RefCell::default(),
        });
        let mut controllers = Vec::new();
        for n in 0..count {
            controllers.push(cluster.add(n, count).await);
        }
        (cluster, controllers)
    }

    async fn add(self: &Rc<Self>, n: usize, count: usize) -> Controller {
        let settings = settings(n, count);
        let over = |kind| {
            Http::simulated(Rc::new(Network {
                cluster: self.clone(),
                from: n,
                kind,
            }))
        };
        let clients = Clients {
            state: StateClient::over(&settings, over(Kind::State), over(Kind::State)),
            cloud: CloudClient::new(&settings),
            workers: WorkerClient::new(&settings),
            mesh: MeshClient::over(over(Kind::Mesh)),
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

    /// Makes controller `leader` the leader in everyone's view.
    pub fn elect(&self, controllers: &[Controller], leader: usize) {
        let share = ShardRecord {
            leader: format!("berth-{leader}"),
            incarnation: 1,
            term: 1,
            teams: Vec::new(),
            former_leaders: Vec::new(),
            bounded_staleness: true,
        };
        let txn = Txn::default().put(records::SHARD_KEY, &share);
        let version = self.store.borrow_mut().apply(&txn).expect("no condition");
        for controller in controllers {
            let view = &mut controller.node.leadership.borrow_mut().view;
            view.see_shard(share.clone(), version);
            view.see_alive(share.leader.clone(), share.incarnation, version);
        }
    }

    /// Adds a call to the digest of the history. Bodies hold incarnations, which are drawn
    /// anew in each run, and so are left out.
    fn record(&self, from: usize, call: &Call) {
        let mut calls = self.calls.borrow_mut();
        calls.number(self.start.elapsed().as_nanos() as u64);
        calls.number(from as u64);
        calls.bytes(call.method.as_str().as_bytes());
        calls.bytes(call.path.as_bytes());
    }

    /// How long after the cluster's start this was.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start)
    }

    /// Draws how long a message is under way.
    fn network_delay(&self) -> Duration {
        let mut rng = self.rng.borrow_mut();
        if !self.rough.get() {
            return Duration::from_millis(1);
        }
        let ms = match rng.random_range(0..100) {
            0..75 => rng.random_range(1..6),
            75..92 => rng.random_range(6..150),
            _ => rng.random_range(150..900),
        };
        if ms >= 500 {
            bump(&self.faults.slow);
        }
        Duration::from_millis(ms)
    }

    /// Draws whether a fault of this probability happens.
    fn fault_drawn(&self, probability: f64) -> bool {
        self.rough.get() && self.rng.borrow_mut().random_bool(probability)
    }

    /// A call to the state service over the network.
    async fn call_state(self: Rc<Self>, from: usize, call: Call) -> Result<Response, CallError> {
        if call.path.starts_with("/follow") {
            return self.call_watch(from, call).await;
        }
        tokio::time::sleep(self.network_delay()).await;
        if self.is_refused(from) || self.fault_drawn(0.03) {
            bump(&self.faults.refused);
            let (status, body) = (503, Bytes::new());
            return Ok(Response { status, body });
        }
        let writes = call.path == "/multi";
        if writes && self.fault_drawn(0.03) {
            bump(&self.faults.late);
            let late_ms = self.rng.borrow_mut().random_range(2_000..12_000);
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(late_ms)).await;
                self.execute(from, &call);
            });
            return std::future::pending().await;
        }
        let (status, body) = self.execute(from, &call);
        if self.fault_drawn(0.05) {
            bump(&self.faults.answer_lost);
            return std::future::pending().await;
        }
        let held = if writes {
            self.hold_next.take().unwrap_or_default()
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(self.network_delay() + held).await;
        let body = body.into();
        Ok(Response { status, body })
    }

    /// A watch of the state service over the network. Refused ones wait until they are not.
    async fn call_watch(self: Rc<Self>, from: usize, call: Call) -> Result<Response, CallError> {
        while self.is_refused(from) {
            tokio::time::sleep(WATCH_STEP).await;
        }
        let (status, body) = self.watch(&call.path).await;
        tokio::time::sleep(self.network_delay()).await;
        let body = body.into();
        Ok(Response { status, body })
    }

    fn is_refused(&self, from: usize) -> bool {
        self.refused.get() == Some(from)
    }

    /// A call to another controller over the network.
    async fn call_mesh(self: Rc<Self>, call: Call) -> Result<Response, CallError> {
        tokio::time::sleep(self.network_delay()).await;
        let found = {
            let handlers = self.handlers.borrow();
            let at = handlers.iter().position(|(addr, _)| *addr == call.addr);
            at.map(|n| (n, handlers[n].1.clone()))
        };
        let (n, handler) = found.ok_or(CallError::NotSent)?;
        if self.unreachable.get() == Some(n) || self.fault_drawn(self.mesh_loss.get()) {
            return std::future::pending().await;
        }
        let (status, body) = handler(call.method, call.path, call.body).await;
        tokio::time::sleep(self.network_delay()).await;
        Ok(Response { status, body })
    }
}

enum Kind {
    State,
    Mesh,
}

/// The network as one controller's client sees it.
struct Network {
    cluster: Rc<Cluster>,
    from: usize,
    kind: Kind,
}

impl Exchange for Network {
    fn call(&self, call: Call) -> LocalBoxFuture<'static, Result<Response, CallError>> {
        let cluster = self.cluster.clone();
        cluster.record(self.from, &call);
        let timeout = call.timeout;
        let answer: LocalBoxFuture<_> = match self.kind {
            Kind::State => Box::pin(cluster.call_state(self.from, call)),
            Kind::Mesh => Box::pin(cluster.call_mesh(call)),
        };
        Box::pin(async move {
            let answer = tokio::time::timeout(timeout, answer).await;
            answer.unwrap_or(Err(CallError::Unknown))
        })
    }
}

/// Wraps an application so that applications of any type can be kept together.
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
    /// A user's call.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> (u16, Bytes) {
        let body = body.as_bytes().to_vec();
        (self.front)(method, path.to_string(), body).await
    }
}
