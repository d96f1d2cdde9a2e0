//! The machines of the test cluster, as their cloud and their workers see them.
//!
//! `machine` is one machine, `heartbeat` its worker's loop, `faults` what is injected into
//! them. The cloud's HTTP interface is in [`crate::cloud`], that of the workers in
//! `worker_api`.

mod faults;
mod heartbeat;
mod machine;

use crate::history::History;
use crate::site::Site;
use foxspur_wire::cloud::{Listed, MachineType, Rental};
use foxspur_wire::job::JobSpec;
use foxspur_wire::worker::Direct;
use heartbeat::HeartbeatLoop;
use machine::{JobSpecs, Launch, Machine};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

pub use faults::MachineFault;
pub(crate) use machine::DirectCall;

/// The most machines of one launch request.
const MAX_LAUNCH: u32 = 50;

/// A controller as workers reach it.
pub struct ControllerUrl {
    /// Its host name, by which redirects name it.
    pub name: String,
    /// Base URL of its front server.
    pub url: String,
}

/// Why the cloud launches nothing.
pub(crate) enum LaunchRefusal {
    NoSuchType,
    NoCapacity,
}

/// State that all clones of [`Machines`] share. All times are seconds of the history.
struct Pool {
    machines: BTreeMap<String, Machine>,
    /// Names of the machines that each launch request gave: repeating one launches nothing.
    launched: HashMap<String, Vec<String>>,
    /// Addresses at which a worker server listens for no machine yet.
    free_addrs: Vec<SocketAddr>,
    last_number: u32,
    cloud_away_until: f64,
    /// Until then some heartbeats are sent twice, the copy late.
    duplicate_heartbeats_until: f64,
    /// Until then some direct calls are carried out twice, the copy late.
    duplicate_calls_until: f64,
    jobs: JobSpecs,
}

/// All machines; clones share them.
#[derive(Clone)]
pub struct Machines {
    site: Arc<Site>,
    history: History,
    controllers: Arc<Vec<ControllerUrl>>,
    pool: Arc<Mutex<Pool>>,
    http: reqwest::Client,
}

impl Machines {
    /// Machines that send heartbeats to `controllers`; their workers listen at `addrs`, one
    /// machine at each. Launches the machines that the site has at its start.
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
            cloud_away_until: 0.0,
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

    /// Stores a job's description, which workers read when a task of it starts.
    pub fn upload(&self, id: String, spec: JobSpec) {
        self.lock().jobs.insert(id, spec);
    }

    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// The machine types of the cloud.
    pub(crate) fn types(&self) -> &[MachineType] {
        &self.site.types
    }

    /// Launches machines; the names of those there is capacity for. A repeated request has
    /// the first one's result.
    pub(crate) fn launch(&self, rental: &Rental) -> Result<Vec<String>, LaunchRefusal> {
        if let Some(names) = self.lock().launched.get(&rental.request) {
            return Ok(names.clone());
        }
        let mut types = self.site.types.iter();
        let kind = types.find(|kind| kind.name == rental.kind);
        let kind = kind.ok_or(LaunchRefusal::NoSuchType)?;
        let one = |_| self.launch_one(kind, &rental.zone, rental.spot, kind.boot_s);
        let names: Vec<String> = (0..rental.count.min(MAX_LAUNCH)).map_while(one).collect();
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
        let same = pool.machines.values().filter(|m| m.is_of(kind, zone, spot));
        if same.count() >= self.site.capacity as usize {
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

    /// Terminates machines; unknown names are passed over.
    pub(crate) fn terminate(&self, names: &[String]) {
        let mut pool = self.lock();
        for name in names {
            if let Some(mut gone) = pool.machines.remove(name) {
                gone.drop_tasks(&self.history);
                pool.free_addrs.push(gone.addr);
            }
        }
    }

    /// The cloud's list in order of names, after the name `since`. New machines are missing
    /// from it for a while.
    pub(crate) fn list(&self, since: Option<&str>) -> Vec<Listed> {
        let now = self.history.now();
        let list_lag_s = self.site.cloud.list_lag_s;
        let pool = self.lock();
        let after = |m: &&Machine| since.is_none_or(|since| m.name.as_str() > since);
        let machines = pool.machines.values().filter(after);
        machines.filter_map(|m| m.listed(now, list_lag_s)).collect()
    }

    /// A direct call arrives at a worker's address.
    pub(crate) fn direct_call(&self, addr: SocketAddr, direct: &Direct) -> DirectCall {
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
