//! Settings like those of the two small deployments, and jobs of their classes.

use crate::cluster::Site;
use crate::fleet::{Description, Flavor, Times};

/// Riga's points platform as first described: three controllers in three zones.
pub fn riga() -> (Site, Times, Vec<Flavor>) {
    let teams = [
        ("grocer-team", 32, 104),
        ("fuel-team", 16, 48),
        ("pharmacy-team", 24, 64),
        ("airline-team", 40, 104),
        ("platform-core", 32, 136),
        ("fraud-watch", 24, 64),
    ];
    let teams = teams.map(|(name, cpus, most)| {
        format!("[[cluster.teams]]\nname = \"{name}\"\ncpus = {cpus}.0\ncpus_max = {most}.0\ngpus = 0.0\ngpus_max = 0.0\n\n")
    });
    let cluster = format!(
        "[cluster]\nnodes = 3\nzones = [\"valmiera-dr\", \"riga-left-bank\", \"riga-right-bank\"]\ntime_bound_ms = 5.0\n\n{}\
         [[cluster.objectives]]\nkind = \"deadline\"\nclass = \"points-accrual\"\nshare = 0.85\ntimes = 1.0\n\n\
         [cluster.workers]\nreport_s = 3.0\nlease_s = 31.0\ngang_wait_s = 50.0\ngang_peer_s = 6.0\ncancel_s = 51.0\n\n\
         [cluster.state]\nrps = 150.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 24\n\n\
         [cluster.cloud]\nrps = 8.0\nlist_lag_s = 8.0\n\n\
         [cluster.quota]\ncpu = 0.096\nmemory_mb = 136.0\nmax_sockets = 3000\n",
        teams.concat()
    );
    let site = Site {
        name: "riga-points-hub",
        zones: vec!["valmiera-dr", "riga-left-bank", "riga-right-bank"],
        cluster,
    };
    let times = Times {
        report_s: 3.0,
        lease_s: 31.0,
    };
    let flavors = vec![
        Flavor {
            name: "till-node",
            cpus: 4.0,
            memory_gb: 16.0,
            fetch_gb_per_s: 0.25,
            boot_s: 35.0,
            rate: 0.27,
            low_price: 0.07,
            sites: vec!["riga-left-bank", "riga-right-bank"],
        },
        Flavor {
            name: "ledger-node",
            cpus: 16.0,
            memory_gb: 64.0,
            fetch_gb_per_s: 0.25,
            boot_s: 50.0,
            rate: 1.03,
            low_price: 0.3,
            sites: vec!["valmiera-dr", "riga-left-bank", "riga-right-bank"],
        },
    ];
    (site, times, flavors)
}

/// Amman's message gateway as first described: three controllers in two zones.
pub fn amman() -> (Site, Times, Vec<Flavor>) {
    let cluster = "[cluster]\nnodes = 3\nzones = [\"zarqa-dc\", \"amman-north\"]\ntime_bound_ms = 1000.0\n\n\
         [[cluster.teams]]\nname = \"gateway-ops\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n\
         [[cluster.objectives]]\nkind = \"deadline\"\nclass = \"reminder-fanout\"\nshare = 0.93\ntimes = 1.0\n\n\
         [cluster.workers]\nreport_s = 0.8\nlease_s = 10.0\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = 40.0\n\n\
         [cluster.state]\nrps = 250.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 32\n\n\
         [cluster.cloud]\nrps = 3.0\nlist_lag_s = 10.0\n\n\
         [cluster.quota]\ncpu = 0.12\nmemory_mb = 56.0\nmax_sockets = 800\n"
        .to_string();
    let site = Site {
        name: "amman-sms-gw",
        zones: vec!["zarqa-dc", "amman-north"],
        cluster,
    };
    let times = Times {
        report_s: 0.8,
        lease_s: 10.0,
    };
    let flavors = vec![
        Flavor {
            name: "edge-small",
            cpus: 8.0,
            memory_gb: 32.0,
            fetch_gb_per_s: 0.8,
            boot_s: 25.0,
            rate: 0.37,
            low_price: 0.1,
            sites: vec!["amman-north"],
        },
        Flavor {
            name: "batch-big",
            cpus: 64.0,
            memory_gb: 128.0,
            fetch_gb_per_s: 0.4,
            boot_s: 15.0,
            rate: 2.58,
            low_price: 0.72,
            sites: vec!["zarqa-dc"],
        },
    ];
    (site, times, flavors)
}

/// A job to submit.
pub struct Job {
    pub id: &'static str,
    pub queue: &'static str,
    pub owner: &'static str,
    pub urgency: &'static str,
    pub shape: &'static str,
    pub shards: u32,
    pub cpus: f64,
    pub memory_gb: f64,
    pub together: bool,
    pub scatter: bool,
    pub run_s: f64,
}

impl Job {
    /// A job of the class `points-accrual`, whose tasks take a whole `till-node` each.
    pub fn points(id: &'static str, shards: u32) -> Job {
        Job {
            id,
            queue: "points-accrual",
            owner: "grocer-team",
            urgency: "standard",
            shape: "sweep",
            shards,
            cpus: 4.0,
            memory_gb: 10.0,
            together: false,
            scatter: false,
            run_s: 10_000.0,
        }
    }

    /// A service whose replicas take a whole `till-node` each.
    pub fn service(id: &'static str, owner: &'static str, replicas: u32) -> Job {
        Job {
            shape: "service",
            owner,
            run_s: 1e6,
            ..Job::points(id, replicas)
        }
    }

    pub fn body(&self) -> String {
        format!(
            "{{\"name_id\":\"{}\",\"queue\":\"{}\",\"owner\":\"{}\",\"shape\":\"{}\",\"urgency\":\"{}\",\"shards\":{},\
             \"cpus\":{:?},\"cards\":0.0,\"memory_gb\":{:?},\"bundle\":\"img-07\",\"image_gb\":0.1,\"flavors\":null,\"site\":null,\
             \"together\":{},\"scatter\":{},\"standby\":true,\"expected_s\":{:?},\"save_every_s\":0.0,\"save_cost_s\":0.0,\"due_s\":null}}",
            self.id, self.queue, self.owner, self.shape, self.urgency, self.shards, self.cpus, self.memory_gb, self.together, self.scatter,
            if self.shape == "service" { 0.0 } else { 40.0 }
        )
    }

    pub fn description(&self) -> Description {
        Description {
            cpus: self.cpus,
            memory_gb: self.memory_gb,
            bundle: "img-07".into(),
            image_gb: 0.1,
            tasks: self.shards,
            save_every_s: 0.0,
            save_cost_s: 0.0,
            run_s: self.run_s,
        }
    }
}
