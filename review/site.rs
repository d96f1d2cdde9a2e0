//! The deployment: the settings that the controllers get, and the machine types of the cloud.
//! The defaults are those of the small deployment `amman-sms-gw` in the users' brief.

use std::net::SocketAddr;

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub boot_s: f64,
    pub fetch_gb_per_s: f64,
    pub rate: f64,
    pub low_price: f64,
    pub sites: Vec<&'static str>,
}

#[derive(Clone)]
pub struct Team {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    /// The zones of the controllers.
    pub controllers: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub types: Vec<MachineType>,
    pub teams: Vec<Team>,
    pub max_sockets: usize,
}

pub fn amman() -> Site {
    let machine_type = |name, cpus, memory_gb, boot_s, fetch, rate, low, site| MachineType {
        name,
        cpus,
        memory_gb,
        boot_s,
        fetch_gb_per_s: fetch,
        rate,
        low_price: low,
        sites: vec![site],
    };
    Site {
        zones: vec!["amman-north", "zarqa-dc"],
        controllers: vec!["zarqa-dc", "amman-north", "zarqa-dc"],
        report_s: 0.8,
        lease_s: 10.0,
        cancel_s: 40.0,
        state_rps: 250.0,
        state_write_rps: 50.0,
        value_kb: 16.0,
        txn_ops: 32,
        cloud_rps: 3.0,
        list_lag_s: 10.0,
        types: vec![
            machine_type("edge-small", 8.0, 32.0, 25.0, 0.8, 0.37, 0.1, "amman-north"),
            machine_type("batch-big", 64.0, 128.0, 15.0, 0.4, 2.58, 0.72, "zarqa-dc"),
        ],
        // The second is the guest team of the page "What we have met since".
        teams: ["gateway-ops", "partner-clinic-it"]
            .map(|name| Team {
                name,
                cpus: 0.0,
                cpus_max: 0.0,
            })
            .to_vec(),
        max_sockets: 800,
    }
}

/// Addresses of one controller, as it and the others see them.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub mesh: SocketAddr,
    pub state: SocketAddr,
    /// For each controller, the address at which this one reaches it.
    pub links: Vec<SocketAddr>,
}

/// The settings file of controller `index`, in the form of DEPLOY.
pub fn settings(site: &Site, nodes: &[Node], index: usize, cloud: SocketAddr) -> String {
    let own = &nodes[index];
    let mut text = format!(
        "host_name = \"{}\"\nsite = \"{}\"\nfront = \"{}\"\nmesh_addr = \"{}\"\n\n",
        own.name, site.controllers[index], own.front, own.mesh
    );
    for (i, node) in nodes.iter().enumerate().filter(|(i, _)| *i != index) {
        text += &format!(
            "[[peers]]\nhost_name = \"{}\"\nsite = \"{}\"\naddr = \"{}\"\n\n",
            node.name, site.controllers[i], own.links[i]
        );
    }
    text += &format!(
        "[services]\ncloud = \"{cloud}\"\nstate = \"{}\"\n\n[cluster]\nnodes = {}\nzones = {:?}\ntime_bound_ms = 1000.0\n\n",
        own.state,
        nodes.len(),
        site.zones
    );
    for team in &site.teams {
        text += &format!(
            "[[cluster.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = 0.0\ngpus_max = 0.0\n\n",
            team.name, team.cpus, team.cpus_max
        );
    }
    text + &format!(
        "[cluster.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = {:?}\n\n\
         [cluster.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n\
         [cluster.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n\
         [cluster.quota]\ncpu = 0.12\nmemory_mb = 56.0\nmax_sockets = {}\n",
        site.report_s, site.lease_s, site.cancel_s, site.state_rps, site.state_write_rps,
        site.value_kb, site.txn_ops, site.cloud_rps, site.list_lag_s, site.max_sockets
    )
}
