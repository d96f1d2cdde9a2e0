//! The cases. Each returns what broke the rule, or nothing if it held.

use crate::cluster::{free_addrs, Cluster, Places, Site};
use crate::fleet::{Flavor, Fleet, Times};
use crate::json::Json;
use crate::record::Record;
use crate::site::{self, Job};
use crate::state::State;
use std::path::Path;
use std::time::{Duration, Instant};

type Outcome = Result<Option<String>, String>;

/// How long a case may take, in seconds, before it is given up.
const LONGEST_S: u64 = 117;

/// A running deployment.
struct Deployment {
    cluster: Cluster,
    fleet: Fleet,
    state: State,
    record: Record,
    trouble: bool,
}

pub fn run(case: &str, root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let play: fn(&Deployment) -> Outcome = match case {
        "avoided-machine" => avoided_machine,
        "frozen-leader" => frozen_leader,
        "restarted-rack" => restarted_rack,
        "suspect-service" => suspect_service,
        _ => return Err(format!("no case {case}")),
    };
    let (site, times, flavors) = match case {
        "restarted-rack" => site::amman(),
        _ => site::riga(),
    };
    let deployment = deploy(root, folder, site, times, flavors, trouble)?;
    let watched = deployment.cluster.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(LONGEST_S));
        watched.end_all();
        println!("given up after {LONGEST_S} s");
        std::process::exit(2);
    });
    if case == "restarted-rack" {
        // The workers are up before the controllers, so they are in their second session by then.
        for _ in 0..RACK_FLEET {
            deployment.fleet.add("edge-small", "amman-north");
        }
        sleep(10.5);
    }
    for n in 0..deployment.cluster.names.len() {
        if !deployment.cluster.start(n) {
            deployment.cluster.end_all();
            return Err("a controller did not start; is the release build there?".into());
        }
    }
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&deployment)));
    let outcome = played.unwrap_or_else(|_| Err("a stand-in panicked".into()));
    let all_run = deployment.cluster.all_run();
    deployment.cluster.end_all();
    match &outcome {
        Ok(Some(broken)) => deployment.record.line(format!("BROKEN {broken}")),
        Ok(None) => deployment.record.line("the rule held"),
        Err(why) => deployment.record.line(format!("could not run: {why}")),
    }
    if !all_run {
        return Err("a controller ended by itself".into());
    }
    outcome
}

fn deploy(
    root: &Path,
    folder: &Path,
    site: Site,
    times: Times,
    flavors: Vec<Flavor>,
    trouble: bool,
) -> Result<Deployment, String> {
    let record = Record::create(&folder.join("record.txt")).map_err(|e| e.to_string())?;
    record.line(format!("site {}, trouble: {trouble}", site.name));
    // `run.sh` names a temporary folder, and removes it.
    let work = std::env::temp_dir();
    let nodes = 3;
    let addrs = free_addrs(2 * nodes);
    let (fronts, meshes) = (addrs[..nodes].to_vec(), addrs[nodes..].to_vec());
    let controllers = (0..nodes).map(|n| (format!("berth-{n}"), fronts[n]));
    let fleet = Fleet::new(flavors, times, controllers.collect(), record.clone());
    let state = State::new();
    let places = Places {
        fronts,
        meshes,
        state: (0..nodes).map(|n| state.serve(n)).collect(),
        cloud: fleet.serve_cloud(),
    };
    let cluster = Cluster::new(root, &work, &site, &places, record.clone());
    let cluster = cluster.ok_or("no deploy file, or no settings could be written")?;
    Ok(Deployment {
        cluster,
        fleet,
        state,
        record,
        trouble,
    })
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Waits until `is_so`, at most for `most_s`.
fn wait(what: &str, most_s: f64, mut is_so: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs_f64(most_s);
    while !is_so() {
        if Instant::now() > end {
            return Err(format!("waited in vain for: {what}"));
        }
        sleep(0.02);
    }
    Ok(())
}

impl Deployment {
    /// Submits a job as a user does: repeats the request until it is accepted.
    fn submit(&self, job: &Job, at: usize) -> Result<(), String> {
        self.fleet.upload(job.id, job.description());
        let mut next = Instant::now();
        wait("acceptance", 30.0, || {
            if Instant::now() < next {
                return false;
            }
            next = Instant::now() + Duration::from_secs(1);
            let reply = self.cluster.ask(at, "POST", "/work", &job.body(), 5.0);
            matches!(reply, Some((200 | 201, _)))
        })
    }

    /// Cancels a job at a controller. Returns when the answer arrived, and the status in it.
    fn cancel(&self, job: &str, at: usize) -> Option<(f64, String)> {
        let path = format!("/work/{job}/cancel");
        let (status, body) = self.cluster.ask(at, "POST", &path, "", 5.0)?;
        let state = Json::parse(&body)?.str("status")?.to_string();
        (status == 200).then(|| (self.record.now(), state))
    }

    fn runs(&self, task: &str) -> bool {
        self.fleet.running().iter().any(|(name, _)| name == task)
    }

    /// Waits until a controller answers reports, and returns its index.
    fn steward(&self) -> Result<usize, String> {
        wait("a leader", 30.0, || self.fleet.steward().is_some())?;
        self.fleet.steward().ok_or_else(|| "no leader".into())
    }
}

/// Fills two machines with a job of two long tasks, and submits a second job, which has to wait.
/// Returns the leader and another controller.
fn fill_and_wait(d: &Deployment) -> Result<(usize, usize), String> {
    d.fleet.add("till-node", "riga-left-bank");
    d.fleet.add("till-node", "riga-right-bank");
    d.steward()?;
    d.submit(&Job::points("run-000001", 2), 0)?;
    wait("both tasks of the first job", 40.0, || {
        d.runs("run-000001/0") && d.runs("run-000001/1")
    })?;
    let leader = d.steward()?;
    let other = (leader + 1) % 3;
    let second = Job {
        run_s: 3.0,
        ..Job::points("run-000002", 2)
    };
    d.submit(&second, other)?;
    sleep(5.0);
    if d.fleet
        .starts()
        .iter()
        .any(|s| s.task.starts_with("run-000002/"))
    {
        return Err("the second job did not wait".into());
    }
    Ok((leader, other))
}

/// The starts of a job's tasks that were ordered after this time, and how each ended.
fn started_after(d: &Deployment, job: &str, told_at: f64) -> Option<String> {
    let ends = d.fleet.ends();
    let mut late = Vec::new();
    for start in d.fleet.starts() {
        if !start.task.starts_with(&format!("{job}/")) || start.at <= told_at {
            continue;
        }
        let end = ends
            .iter()
            .find(|end| end.1 == start.task && end.2 == start.attempt);
        let end = end.map_or("still runs".to_string(), |end| {
            format!("{} after {:.2} s", end.4, end.0 - start.at)
        });
        late.push(format!(
            "{} started on {} {:.2} s after its user was told `withdrawn`: {end}",
            start.task,
            start.host,
            start.at - told_at
        ));
    }
    (!late.is_empty()).then(|| late.join("; "))
}

/// The leader stands still for seconds. Meanwhile a task completes, and a user cancels a waiting job
/// through another controller. When the leader goes on, it must not start the cancelled job.
fn frozen_leader(d: &Deployment) -> Outcome {
    let (leader, other) = fill_and_wait(d)?;
    if d.trouble {
        d.cluster.freeze(leader);
    }
    sleep(0.1);
    if !d.fleet.complete("run-000001/0") {
        return Err("the task was gone".into());
    }
    sleep(0.9);
    let Some((told_at, status)) = d.cancel("run-000002", other) else {
        return Err("the cancellation was not confirmed".into());
    };
    if status != "withdrawn" {
        return Err(format!("the cancellation was answered {status}"));
    }
    sleep(1.8);
    if d.trouble {
        d.cluster.thaw(leader);
    }
    sleep(8.0);
    Ok(started_after(d, "run-000002", told_at))
}

/// The time after the end of the troubles for which a job may be left waiting, in seconds.
const LONGEST_WAIT_S: f64 = 90.0;

impl Deployment {
    fn started(&self, task: &str) -> bool {
        self.fleet.starts().iter().any(|start| start.task == task)
    }

    fn running_of(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        let running = self.fleet.running();
        running
            .iter()
            .filter(|(task, _)| task.starts_with(&prefix))
            .count()
    }

    /// Waits until a task of the job begins to run or `LONGEST_WAIT_S` have passed. Returns what is
    /// wrong if it is left waiting all the time while a machine has room for it: `room` counts as
    /// long as the named machines are idle.
    fn left_waiting(&self, task: &str, room: &[String]) -> Option<String> {
        let began = Instant::now();
        let is_idle = |host: &String| self.fleet.idle().iter().any(|(name, _)| name == host);
        while began.elapsed().as_secs_f64() < LONGEST_WAIT_S {
            let ends = self.fleet.ends();
            let done = ends.iter().any(|end| end.1 == task && end.4 == "done");
            if done || self.runs(task) || !room.iter().any(is_idle) {
                return None;
            }
            sleep(0.2);
        }
        let idle = self.fleet.idle();
        let idle: Vec<String> = idle
            .iter()
            .map(|(host, cpus)| format!("{host} ({cpus} CPUs)"))
            .collect();
        Some(format!(
            "{task} is left waiting for {LONGEST_WAIT_S} s after the end of the trouble, while these machines have nothing to do: {}",
            idle.join(", ")
        ))
    }
}

/// One machine fails the tasks that it starts, for some seconds. It is the only one with room, then
/// and afterwards. A job that failed there must start there once the trouble is over. With this
/// machine the deployment is at its full capacity, so the cloud has no more.
fn avoided_machine(d: &Deployment) -> Outcome {
    for n in 0..24 {
        let site = ["riga-left-bank", "riga-right-bank"][n % 2];
        d.fleet.add("till-node", site);
    }
    for (site, count) in [
        ("valmiera-dr", 2),
        ("riga-left-bank", 2),
        ("riga-right-bank", 3),
    ] {
        for _ in 0..count {
            d.fleet.add("ledger-node", site);
        }
    }
    d.steward()?;
    d.submit(&Job::service("run-000001", "platform-core", 34), 0)?;
    d.submit(&Job::service("run-000003", "airline-team", 18), 0)?;
    wait("the services", 40.0, || {
        d.running_of("run-000001") == 34 && d.running_of("run-000003") == 18
    })?;
    let large = if d.trouble {
        d.fleet.add_sick("ledger-node", "riga-left-bank")
    } else {
        d.fleet.add("ledger-node", "riga-left-bank")
    };
    sleep(4.0);
    let job = Job {
        run_s: 3.0,
        ..Job::points("run-000002", 1)
    };
    d.submit(&job, 1)?;
    wait("a start of the job", 20.0, || d.started("run-000002/0"))?;
    sleep(4.0);
    if d.trouble {
        d.fleet.heal();
    } else {
        wait("the job", 10.0, || !d.fleet.ends().is_empty())?;
        return Ok(None);
    }
    Ok(d.left_waiting("run-000002/0", &[large]))
}

/// Three of 65 machines fail the tasks that they start, for some seconds, and one of two replicas of
/// a service fails on each of them. Once the trouble is over it must start on a machine with room.
fn suspect_service(d: &Deployment) -> Outcome {
    for n in 0..62 {
        let site = ["riga-left-bank", "riga-right-bank"][n % 2];
        d.fleet.add("till-node", site);
    }
    d.steward()?;
    d.submit(&Job::service("run-000001", "platform-core", 34), 0)?;
    d.submit(&Job::service("run-000002", "grocer-team", 26), 0)?;
    d.submit(&Job::service("run-000004", "fuel-team", 1), 0)?;
    wait("the other services", 40.0, || {
        let running = ["run-000001", "run-000002", "run-000004"].map(|job| d.running_of(job));
        running == [34, 26, 1]
    })?;
    d.submit(&Job::service("run-000003", "airline-team", 2), 1)?;
    wait("the first replica", 20.0, || {
        d.running_of("run-000003") == 1
    })?;
    for _ in 0..3 {
        if d.trouble {
            d.fleet.add_sick("till-node", "riga-left-bank");
        } else {
            d.fleet.add("till-node", "riga-left-bank");
        }
    }
    if !d.trouble {
        wait("the second replica", 30.0, || {
            d.running_of("run-000003") == 2
        })?;
        return Ok(None);
    }
    let failures = || d.fleet.ends().iter().filter(|end| end.4 == "error").count();
    wait("three failures", 30.0, || failures() >= 3)?;
    sleep(1.0);
    d.fleet.heal();
    let room = d.fleet.add("ledger-node", "riga-right-bank");
    let waiting = if d.runs("run-000003/0") {
        "run-000003/1"
    } else {
        "run-000003/0"
    };
    Ok(d.left_waiting(waiting, &[room]))
}

/// How many machines are up; two of them restart together.
const RACK_FLEET: usize = 13;

/// The rack: this machine and the one that was last heard shortly after it. The leader returns a machine that
/// is silent alone to the cloud, which proves it empty, so both must fall silent at about the same time.
/// Waits for such a moment.
fn rack_with(d: &Deployment, first: &String) -> Result<Vec<String>, String> {
    let mut rack = Vec::new();
    wait("two machines heard shortly after each other", 20.0, || {
        rack = d.fleet.heard_within(first, Duration::from_millis(50));
        rack.len() == 2
    })?;
    Ok(rack)
}

/// Runs one task on a fleet whose machines are in this session. Returns the machine of the task.
fn one_task(d: &Deployment, task: &str, session: u64) -> Result<String, String> {
    d.steward()?;
    let job = Job {
        queue: "reminder-fanout",
        owner: "gateway-ops",
        cpus: 2.0,
        memory_gb: 3.5,
        ..Job::points("run-000001", 1)
    };
    sleep(3.0);
    d.submit(&job, 0)?;
    wait("the task", 20.0, || d.runs(task))?;
    let first = d.fleet.running()[0].1.clone();
    sleep(2.0);
    if d.fleet.tenure(&first) != session {
        return Err(format!("the machine is not in session {session}"));
    }
    if !d.fleet.was_called(&first, task) {
        return Err("the task was not started by a direct call".into());
    }
    Ok(first)
}

/// A rack restarts and has no network at first. Its tasks start elsewhere once its leases have ended.
/// Then a late copy arrives of the direct call that had started a task there.
fn restarted_rack(d: &Deployment) -> Outcome {
    let task = "run-000001/0";
    let first = one_task(d, task, 2)?;
    if d.trouble {
        for host in rack_with(d, &first)? {
            d.fleet.restart(&host);
            d.fleet.cut(&host, 12.5);
        }
    }
    sleep(12.6);
    d.fleet.repeat_call(&first, task);
    Ok(runs_twice(d, task))
}

/// Watches for ten seconds whether the task runs on two machines at a time.
fn runs_twice(d: &Deployment, task: &str) -> Option<String> {
    let began = Instant::now();
    while began.elapsed().as_secs_f64() < 10.0 {
        let running = d.fleet.running();
        let hosts: Vec<&str> = running
            .iter()
            .filter(|(name, _)| name == task)
            .map(|(_, host)| host.as_str())
            .collect();
        if hosts.len() > 1 {
            let line = format!("{task} runs on {} at a time", hosts.join(" and "));
            d.record.line(&line);
            sleep(8.0);
            return Some(line);
        }
        sleep(0.02);
    }
    None
}
