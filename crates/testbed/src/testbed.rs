//! The test cluster: stand-ins for the services, and real controllers that use them.

use crate::balancer::{self, ConnectionFaults};
use crate::consistency_probe::ConsistencyProbe;
use crate::controllers::{Controller, Endpoints};
use crate::history::{Event, History};
use crate::links::{Link, Links};
use crate::machines::{ControllerUrl, Machines};
use crate::server::{listen_on, own_address, serve};
use crate::site::Site;
use crate::state::{self, StateService};
use crate::{cloud, control_api, user_polls, worker_api};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::Mutex;

/// Controllers are named by this prefix and their index.
const CONTROLLER_PREFIX: &str = "berth-";

/// The index of a controller, by its name.
pub(crate) fn controller_index(name: &str) -> Option<usize> {
    name.strip_prefix(CONTROLLER_PREFIX)?.parse().ok()
}

/// A running test cluster; clones share it.
#[derive(Clone)]
pub struct Testbed {
    /// What it consists of.
    pub site: Arc<Site>,
    /// What its stand-ins and users see.
    pub history: History,
    /// The cloud with its machines.
    pub machines: Machines,
    /// The state service.
    pub state: StateService,
    /// What the load balancer does to connections.
    pub connection_faults: ConnectionFaults,
    /// Where job descriptions are uploaded and the history is read.
    pub control: SocketAddr,
    /// The load balancer's address.
    pub front: SocketAddr,
    /// The controllers' own front addresses.
    pub fronts: Vec<SocketAddr>,
    /// Where the controllers answer operators.
    pub admins: Vec<SocketAddr>,
    pub(crate) links: Links,
    pub(crate) consistency_probe: ConsistencyProbe,
    pub(crate) controllers: Arc<Mutex<Vec<Controller>>>,
}

impl Testbed {
    /// Starts everything; settings and logs of the controllers, which run `program`, go into
    /// `dir`. Must be called in an actix runtime, and lasts as long as that.
    ///
    /// # Errors
    ///
    /// If a port cannot be opened, a file cannot be written, or `program` does not start.
    pub async fn up(site: Site, program: &Path, dir: &Path) -> std::io::Result<Testbed> {
        let site = Arc::new(site);
        let history = History::default();
        record_rules(&site, &history);
        let state = StateService::new(site.state.rps, site.state.write_rps);
        let address = own_address();
        let cloud = listen_on(address)?;
        let cloud_addr = cloud.local_addr()?;
        let (mut endpoints, reserved) = reserve_endpoints(address, &site, &state)?;
        let links = connect_controllers(address, &mut endpoints)?;
        let worker_listeners = listen_for_workers(address, &site)?;
        let machines = start_machines(&site, &history, &endpoints, &worker_listeners)?;
        serve(machines.clone(), cloud::routes, vec![cloud])?;
        serve(machines.clone(), worker_api::routes, worker_listeners)?;
        let control = listen_on(address)?;
        let control_addr = control.local_addr()?;
        serve(machines.clone(), control_api::routes, vec![control])?;
        let balancer = tokio::net::TcpListener::from_std(listen_on(address)?)?;
        let front = balancer.local_addr()?;
        drop(reserved);
        let controllers = start_controllers(program, dir, &site, &endpoints, cloud_addr)?;
        let fronts: Vec<SocketAddr> = endpoints.iter().map(|e| e.front).collect();
        let connection_faults = ConnectionFaults::default();
        balancer::run(balancer, fronts.clone(), connection_faults.clone());
        let consistency_probe = ConsistencyProbe::default();
        let probe = consistency_probe.clone();
        actix_web::rt::spawn(probe.run(history.clone(), fronts.clone()));
        actix_web::rt::spawn(user_polls::run(history.clone(), front));
        Ok(Testbed {
            site,
            history,
            machines,
            state,
            connection_faults,
            control: control_addr,
            front,
            fronts,
            admins: endpoints.iter().map(|e| e.admin).collect(),
            links,
            consistency_probe,
            controllers: Arc::new(Mutex::new(controllers)),
        })
    }

    pub(crate) fn controller_count(&self) -> usize {
        self.fronts.len()
    }

    /// Controllers that are not running though nobody killed them: the end of each one's
    /// log. Call it with no fault under way.
    pub async fn ended(&self) -> Vec<String> {
        let mut controllers = self.controllers.lock().await;
        let ended = controllers
            .iter_mut()
            .filter_map(|c| (!c.is_running()).then(|| c.log_tail()));
        ended.collect()
    }

    /// Ends all controllers.
    pub async fn down(&self) {
        for controller in self.controllers.lock().await.iter_mut() {
            controller.resume().await;
            controller.kill().await;
        }
    }
}

/// Records the limits that the history checker applies.
fn record_rules(site: &Site, history: &History) {
    for team in &site.teams {
        history.add(Event::Rules {
            team: team.name.clone(),
            cpus_max: team.cpus_max,
            cancel_s: site.workers.cancel_s,
        });
    }
}

/// Endpoints of all controllers, each with a server of the state service for it alone. The
/// listeners returned hold the controllers' own ports until all others are taken.
fn reserve_endpoints(
    address: Ipv4Addr,
    site: &Site,
    state: &StateService,
) -> std::io::Result<(Vec<Endpoints>, Vec<TcpListener>)> {
    let (mut endpoints, mut reserved) = (Vec::new(), Vec::new());
    for index in 0..site.controllers {
        let state_listener = listen_on(address)?;
        let mut reserve = || {
            let listener = listen_on(address)?;
            let addr = listener.local_addr();
            reserved.push(listener);
            addr
        };
        endpoints.push(Endpoints {
            name: format!("{CONTROLLER_PREFIX}{index}"),
            zone: site.zones[index % site.zones.len()].clone(),
            front: reserve()?,
            mesh: reserve()?,
            links: Vec::new(),
            admin: reserve()?,
            state: state_listener.local_addr()?,
        });
        let view = state.for_controller(index);
        serve(view, state::routes, vec![state_listener])?;
    }
    Ok((endpoints, reserved))
}

/// Puts a link between each two controllers, and its address into their endpoints.
fn connect_controllers(address: Ipv4Addr, endpoints: &mut [Endpoints]) -> std::io::Result<Links> {
    let links = Links::new(endpoints.len());
    for from in 0..endpoints.len() {
        for to in 0..endpoints.len() {
            let listener = listen_on(address)?;
            endpoints[from].links.push(listener.local_addr()?);
            let listener = tokio::net::TcpListener::from_std(listener)?;
            let target = endpoints[to].mesh;
            links.carry(listener, Link { from, to, target });
        }
    }
    Ok(links)
}

/// One listener for each machine that there is capacity for, on demand and spot.
fn listen_for_workers(address: Ipv4Addr, site: &Site) -> std::io::Result<Vec<TcpListener>> {
    let pools = 2 * site.types.len() * site.zones.len();
    let count = pools * site.capacity as usize;
    (0..count).map(|_| listen_on(address)).collect()
}

fn start_machines(
    site: &Arc<Site>,
    history: &History,
    endpoints: &[Endpoints],
    worker_listeners: &[TcpListener],
) -> std::io::Result<Machines> {
    let addrs = worker_listeners.iter().map(TcpListener::local_addr);
    let addrs = addrs.collect::<std::io::Result<Vec<_>>>()?;
    let urls = endpoints.iter().map(|e| ControllerUrl {
        name: e.name.clone(),
        url: format!("http://{}", e.front),
    });
    Ok(Machines::new(
        site.clone(),
        history.clone(),
        urls.collect(),
        addrs,
    ))
}

fn start_controllers(
    program: &Path,
    dir: &Path,
    site: &Site,
    endpoints: &[Endpoints],
    cloud: SocketAddr,
) -> std::io::Result<Vec<Controller>> {
    let mut controllers = Vec::new();
    for index in 0..endpoints.len() {
        let mut controller = Controller::new(program, dir, site, endpoints, index, cloud)?;
        controller.start()?;
        controllers.push(controller);
    }
    Ok(controllers)
}

/// The controller's program, if it lies beside this one, as cargo puts it.
pub fn program_beside_us() -> Option<PathBuf> {
    let ours = std::env::current_exe().ok()?;
    let path = ours.parent()?.join("foxspur");
    path.exists().then_some(path)
}
