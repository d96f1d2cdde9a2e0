//! The simulated machines of the test cluster and their workers.
//!
//! `machine` holds the state of one machine, `heartbeat` the loop of its worker, `faults` the
//! fault injection. The HTTP interface of the cloud is in [`crate::cloud`], that of the workers
//! in `worker_api`.

mod faults;
mod heartbeat;
mod machine;

use crate::history::History;
use crate::site::Site;
use foxspur_wire::cloud::{LaunchRequest, ListedMachine, MachineType};
use foxspur_wire::job::JobSpec;
use foxspur_wire::worker::DirectCommands;
use heartbeat::HeartbeatLoop;
use machine::{JobSpecs, Launch, Machine};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

pub use faults::MachineFault;
pub(crate) use machine::DirectCall;

/// The most machines that one request launches.
const MAX_LAUNCH: u32 = 50;

/// A controller to which workers send heartbeats.
pub struct ControllerUrl {
    /// Host name, which redirects refer to.
    pub name: String,
    /// Base URL of the server for users and workers.
    pub url: String,
}

/// Why the cloud launches no machine.
pub(crate) enum LaunchRefusal {
    NoSuchType,
    NoCapacity,
}

/// State that all clones of [`Machines`] share. All times are in seconds since the history began.
struct Pool {
    machines: BTreeMap<String, Machine>,
    /// Names of the machines that each launch request launched, by request id. A repeated request
    /// launches no more machines.
    launched: HashMap<String, Vec<String>>,
    /// Addresses of worker servers that no machine uses at present.
    free_addrs: Vec<SocketAddr>,
    /// Number in the name of the machine launched last.
    last_number: u32,
    cloud_unavailable_until: f64,
    /// Until this time, delayed copies of some heartbeats are sent.
    duplicate_heartbeats_until: f64,
    /// Until this time, delayed copies of some direct calls are executed.
    duplicate_calls_until: f64,
    jobs: JobSpecs,
}

/// All machines. Clones share them.
#[derive(Clone)]
pub struct Machines {
    site: Arc<Site>,
    history: History,
    controllers: Arc<Vec<ControllerUrl>>,
    pool: Arc<Mutex<Pool>>,
    http: reqwest::Client,
}

impl Machines {
    /// Launches the machines that the site has at the start. Workers send heartbeats to
    /// `controllers`; each worker listens at one address of `addrs`.
    pub fn new(
        site: Arc<Site>,
        history: History,
        controllers: Vec<ControllerUrl>,
        addrs: Vec<SocketAddr>,
    ) -> Machines {
        let client = reqwest::Client::builder().no_proxy().build();
        let pool = Pool {
            machines: BTreeMap::new(),
            launched: HashMap::new(),
            free_addrs: addrs,
            last_number: 0,
            cloud_unavailable_until: 0.0,
            duplicate_heartbeats_until: 0.0,
            duplicate_calls_until: 0.0,
            jobs: HashMap::new(),
        };
        let machines = Machines {
            site,
            history,
            controllers: Arc::new(controllers),
            pool: Arc::new(Mutex::new(pool)),
            http: client.unwrap_or_default(),
        };
        let kind = machines.site.types[0].clone();
        for number in 0..machines.site.machines {
            let zone = &kind.zones[number as usize % kind.zones.len()];
            machines.launch_one(&kind, zone, false, 0.0);
        }
        machines
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.pool
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Stores the description of a job. Workers read it when a task of the job starts.
    pub fn upload(&self, id: String, spec: JobSpec) {
        self.lock().jobs.insert(id, spec);
    }

    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// The machine types that the cloud offers.
    pub(crate) fn types(&self) -> &[MachineType] {
        &self.site.types
    }

    /// Launches as many of the requested machines as there is capacity for and returns their
    /// names. A repeated request returns the result of the first one.
    pub(crate) fn launch(&self, rental: &LaunchRequest) -> Result<Vec<String>, LaunchRefusal> {
        if let Some(names) = self.lock().launched.get(&rental.request) {
            return Ok(names.clone());
        }
        let mut types = self.site.types.iter();
        let kind = types.find(|kind| kind.name == rental.kind);
        let kind = kind.ok_or(LaunchRefusal::NoSuchType)?;
        let launch = |_| self.launch_one(kind, &rental.zone, rental.spot, kind.boot_s);
        let names: Vec<String> = (0..rental.count.min(MAX_LAUNCH))
            .map_while(launch)
            .collect();
        if names.is_empty() {
            return Err(LaunchRefusal::NoCapacity);
        }
        let mut pool = self.lock();
        pool.launched.insert(rental.request.clone(), names.clone());
        Ok(names)
    }

    /// Launches one machine, unless the capacity of its type, zone and price model is used up.
    fn launch_one(
        &self,
        kind: &MachineType,
        zone: &str,
        spot: bool,
        boot_s: f64,
    ) -> Option<String> {
        let now = self.history.now();
        let mut pool = self.lock();
        let same_pool = pool.machines.values().filter(|m| m.is_of(kind, zone, spot));
        if same_pool.count() >= self.site.capacity as usize {
            return None;
        }
        let addr = pool.free_addrs.pop()?;
        pool.last_number += 1;
        let name = format!("m-{:06}", pool.last_number);
        let machine = Machine::new(Launch {
            name: name.clone(),
            kind,
            zone,
            spot,
            addr,
            now,
            up_at: now + boot_s * rand::rng().random_range(0.6..1.5),
        });
        pool.machines.insert(name.clone(), machine);
        drop(pool);
        let worker = HeartbeatLoop::new(self.clone(), name.clone());
        actix_web::rt::spawn(worker.run());
        Some(name)
    }

    /// Terminates machines. Unknown names are ignored.
    pub(crate) fn terminate(&self, names: &[String]) {
        let mut pool = self.lock();
        for name in names {
            if let Some(mut machine) = pool.machines.remove(name) {
                machine.drop_tasks(&self.history);
                pool.free_addrs.push(machine.addr);
            }
        }
    }

    /// The cloud's list of machines whose names sort after `since`, in order of names. A new
    /// machine does not appear until the site's `list_lag_s` is over.
    pub(crate) fn list(&self, since: Option<&str>) -> Vec<ListedMachine> {
        let now = self.history.now();
        let list_lag_s = self.site.cloud.list_lag_s;
        let pool = self.lock();
        let after = |m: &&Machine| since.is_none_or(|since| m.name.as_str() > since);
        let machines = pool.machines.values().filter(after);
        machines.filter_map(|m| m.listed(now, list_lag_s)).collect()
    }

    /// Handles a direct call that arrives at a worker's address.
    pub(crate) fn direct_call(&self, addr: SocketAddr, direct: &DirectCommands) -> DirectCall {
        let now = self.history.now();
        let mut pool = self.lock();
        let Pool { machines, jobs, .. } = &mut *pool;
        let mut up = machines.values_mut().filter(|m| m.is_up(now));
        let Some(machine) = up.find(|m| m.addr == addr) else {
            return DirectCall::Unreachable;
        };
        machine.accept_direct_call(direct, self.site.workers.lease_s, jobs, &self.history)
    }
}
