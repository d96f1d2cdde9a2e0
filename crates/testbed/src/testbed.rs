//! The test cluster: simulated services, and real controllers that use them.

use crate::balancer::{self, ConnectionFaults};
use crate::consistency_probe::ConsistencyProbe;
use crate::controllers::{Controller, Endpoints};
use crate::history::{Event, History};
use crate::links::{Link, Links};
use crate::machines::{ControllerUrl, Machines};
use crate::server::{listen_on, own_loopback_address, serve};
use crate::site::Site;
use crate::state::{self, StateService};
use crate::{cloud, control_api, user_polls, worker_api};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::Mutex;

/// The name of a controller is this prefix followed by its index.
const CONTROLLER_PREFIX: &str = "berth-";

/// The index of the controller with this name.
pub(crate) fn controller_index(name: &str) -> Option<usize> {
    name.strip_prefix(CONTROLLER_PREFIX)?.parse().ok()
}

/// A running test cluster. Clones refer to the same cluster.
#[derive(Clone)]
pub struct Testbed {
    /// The configuration of the cluster.
    pub site: Arc<Site>,
    /// Events that the simulated services and the users observe.
    pub history: History,
    /// The cloud with its machines.
    pub machines: Machines,
    /// The state service.
    pub state: StateService,
    /// Faults that the load balancer injects into connections.
    pub connection_faults: ConnectionFaults,
    /// Address of the control API, which accepts job descriptions and serves the history.
    pub control: SocketAddr,
    /// Address of the load balancer.
    pub front: SocketAddr,
    /// Addresses at which the controllers serve users and workers, by controller index.
    pub fronts: Vec<SocketAddr>,
    /// Addresses at which the controllers serve operators, by controller index.
    pub admins: Vec<SocketAddr>,
    pub(crate) links: Links,
    pub(crate) consistency_probe: ConsistencyProbe,
    pub(crate) controllers: Arc<Mutex<Vec<Controller>>>,
}

impl Testbed {
    /// Starts the simulated services and the controllers. The controllers run `program`; their
    /// settings and logs are written to `dir`. Must be called in an actix runtime; the simulated
    /// services stop when that runtime ends.
    ///
    /// # Errors
    ///
    /// If a port cannot be opened, a file cannot be written, or `program` does not start.
    pub async fn up(site: Site, program: &Path, dir: &Path) -> std::io::Result<Testbed> {
        let site = Arc::new(site);
        let history = History::default();
        record_rules(&site, &history);
        let state = StateService::new(site.state.rps, site.state.write_rps);
        let address = own_loopback_address();
        let cloud_listener = listen_on(address)?;
        let cloud_addr = cloud_listener.local_addr()?;
        let (mut endpoints, reserved_ports) = reserve_endpoints(address, &site, &state)?;
        let links = connect_controllers(address, &mut endpoints)?;
        let worker_listeners = listen_for_workers(address, &site)?;
        let machines = start_machines(&site, &history, &endpoints, &worker_listeners)?;
        serve(machines.clone(), cloud::routes, vec![cloud_listener])?;
        serve(machines.clone(), worker_api::routes, worker_listeners)?;
        let control_listener = listen_on(address)?;
        let control_addr = control_listener.local_addr()?;
        serve(
            machines.clone(),
            control_api::routes,
            vec![control_listener],
        )?;
        let balancer_listener = tokio::net::TcpListener::from_std(listen_on(address)?)?;
        let front = balancer_listener.local_addr()?;
        drop(reserved_ports);
        let controllers = start_controllers(program, dir, &site, &endpoints, cloud_addr)?;
        let fronts: Vec<SocketAddr> = endpoints.iter().map(|e| e.front).collect();
        let connection_faults = ConnectionFaults::default();
        balancer::run(balancer_listener, fronts.clone(), connection_faults.clone());
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

    /// For each controller whose process is not running, the last lines of its log. A controller
    /// that a fault has killed and not yet restarted is included, so call this when no fault is
    /// active.
    pub async fn logs_of_stopped_controllers(&self) -> Vec<String> {
        let mut controllers = self.controllers.lock().await;
        let logs = controllers
            .iter_mut()
            .filter_map(|c| (!c.is_running()).then(|| c.log_tail()));
        logs.collect()
    }

    /// Kills all controllers, paused ones included.
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

/// Chooses the endpoints of all controllers and starts one server of the state service for each
/// controller. The returned listeners reserve the controllers' own ports until all other ports of
/// the testbed are bound.
fn reserve_endpoints(
    address: Ipv4Addr,
    site: &Site,
    state: &StateService,
) -> std::io::Result<(Vec<Endpoints>, Vec<TcpListener>)> {
    let (mut endpoints, mut reserved) = (Vec::new(), Vec::new());
    for index in 0..site.controllers {
        let state_listener = listen_on(address)?;
        let mut reserve_port = || {
            let listener = listen_on(address)?;
            let addr = listener.local_addr();
            reserved.push(listener);
            addr
        };
        endpoints.push(Endpoints {
            name: format!("{CONTROLLER_PREFIX}{index}"),
            zone: site.zones[index % site.zones.len()].clone(),
            front: reserve_port()?,
            mesh: reserve_port()?,
            links: Vec::new(),
            admin: reserve_port()?,
            state: state_listener.local_addr()?,
        });
        let controller_state = state.for_controller(index);
        serve(controller_state, state::routes, vec![state_listener])?;
    }
    Ok((endpoints, reserved))
}

/// Creates a link for each ordered pair of controllers and adds its address to the endpoints of
/// the controller that connects through it.
fn connect_controllers(address: Ipv4Addr, endpoints: &mut [Endpoints]) -> std::io::Result<Links> {
    let links = Links::new(endpoints.len());
    for from in 0..endpoints.len() {
        for to in 0..endpoints.len() {
            let listener = listen_on(address)?;
            endpoints[from].links.push(listener.local_addr()?);
            let listener = tokio::net::TcpListener::from_std(listener)?;
            let target = endpoints[to].mesh;
            links.forward(listener, Link { from, to, target });
        }
    }
    Ok(links)
}

/// Opens one listener for each machine that the cloud has capacity for, on demand and spot.
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

/// The path of the `foxspur` program in the directory of the running program, where cargo puts
/// it, if it exists.
pub fn foxspur_in_own_directory() -> Option<PathBuf> {
    let own_path = std::env::current_exe().ok()?;
    let path = own_path.parent()?.join("foxspur");
    path.exists().then_some(path)
}
