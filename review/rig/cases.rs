//! The cases.

use crate::cluster::{Cluster, Job};
use crate::machines::World;
use crate::record::Record;
use crate::site;
use std::sync::Arc;
use std::time::Duration;

/// When a case stops waiting, in seconds since the start.
const LAST_POLL_S: f64 = 106.0;

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Plays a case. 0: the rule held, 1: it was broken, 2: the case couldn't run.
pub fn run(case: &str, record: &Arc<Record>, dir: &str, trouble: bool, program: &[String]) -> i32 {
    let play: fn(&Cluster, bool) -> Option<bool> = match case {
        "last-machine" => last_machine,
        "many-tasks" => many_tasks,
        "large-job" => large_job,
        _ => return 2,
    };
    let world = World::new(record.clone(), site::amman());
    let cluster = Cluster::start(world, program.to_vec(), dir);
    let held = if cluster.wait_until_up(20.0) {
        play(&cluster, trouble)
    } else {
        None
    };
    let ended = cluster.ended_by_themselves();
    if !ended.is_empty() {
        record.say(format!("controllers that ended by themselves: {ended:?}"));
    }
    cluster.end();
    match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    }
}

fn add_fleet(cluster: &Cluster, edge_small: usize, batch_big: usize) {
    for _ in 0..edge_small {
        cluster
            .world
            .add_machine("edge-small", "amman-north", false, 0.1);
    }
    for _ in 0..batch_big {
        cluster
            .world
            .add_machine("batch-big", "zarqa-dc", false, 0.1);
    }
    sleep(3.0);
}

/// How many more ordinary machines of each type the cloud has.
fn set_capacity(cluster: &Cluster, edge_small: u64, batch_big: u64) {
    let mut capacity = cluster.world.capacity.lock().unwrap();
    let edge = ("edge-small".into(), "amman-north".into(), false);
    let big = ("batch-big".into(), "zarqa-dc".into(), false);
    capacity.insert(edge, edge_small);
    capacity.insert(big, batch_big);
}

/// Waits until this many tasks of the job run.
fn wait_for_runs(cluster: &Cluster, job: &Job, count: usize, limit_s: f64) -> Option<()> {
    let world = &cluster.world;
    let deadline = world.record.now() + limit_s;
    while world.runs_of(&job.id).len() < count {
        if world.record.now() > deadline {
            return None;
        }
        sleep(0.1);
    }
    Some(())
}

/// The only machine in the zone to which a job is bound stops while the job runs. The cloud has
/// more of its type, and the machines of the other zone are idle.
fn last_machine(cluster: &Cluster, trouble: bool) -> Option<bool> {
    let world = &cluster.world;
    set_capacity(cluster, 10, 5);
    add_fleet(cluster, 6, 1);
    let mut job = Job::new(1, 8, 2.0, 3.5, 15.0, |_| 15.0);
    job.site = Some("zarqa-dc");
    if !cluster.submit(&job, 0) {
        return None;
    }
    wait_for_runs(cluster, &job, 8, 15.0)?;
    if trouble {
        let machines = world.machines.lock().unwrap().clone();
        let machine = machines.iter().find(|m| m.kind.name == "batch-big")?;
        world.kill(machine);
    }
    // The cluster works: a job that may use the machines of the other zone is done at once.
    let other = Job::new(2, 8, 2.0, 3.5, 3.0, |_| 3.0);
    if !cluster.submit(&other, 1) || !cluster.wait_for(&other.id, "done", 60.0, 1.0) {
        return None;
    }
    let done = cluster.wait_for(&job.id, "done", LAST_POLL_S, 5.0);
    let rentals = world.rentals.lock().unwrap().clone();
    world
        .record
        .say(format!("rental requests in the whole run: {rentals:?}"));
    Some(done)
}

/// A job of as many tasks as the protocol allows, and small ones. Another job runs in the other
/// zone, on machines that the first may not use.
fn many_tasks(cluster: &Cluster, trouble: bool) -> Option<bool> {
    let world = &cluster.world;
    add_fleet(cluster, 4, 15);
    let mut other = Job::new(1, 4, 2.0, 3.5, 30.0, |_| 30.0);
    other.site = Some("amman-north");
    if !cluster.submit(&other, 0) {
        return None;
    }
    wait_for_runs(cluster, &other, 4, 15.0)?;
    let (cpus, memory_gb) = if trouble { (0.005, 0.01) } else { (0.25, 0.45) };
    let mut job = Job::new(2, 100_000, cpus, memory_gb, 4.0, |_| 4.0);
    job.queue = "archive-replay";
    job.owner = "partner-clinic-it";
    job.urgency = "idle";
    job.site = Some("zarqa-dc");
    if !cluster.submit(&job, 1) {
        return None;
    }
    let done = cluster.wait_for(&other.id, "done", LAST_POLL_S, 2.0);
    let over = world.over_limit.lock().unwrap().clone();
    for job in [&other, &job] {
        world.record.say(format!(
            "{}: {} runs, {} of {} tasks completed",
            job.id,
            world.runs_of(&job.id).len(),
            world.completed(&job.id).len(),
            job.shards
        ));
    }
    world
        .record
        .say(format!("messages above the limit of 64 KiB: {over:?}"));
    Some(done)
}

/// A job whose record is just below the largest value that the state service stores when it is
/// submitted, and above it once some of its tasks are done. Other jobs end meanwhile.
fn large_job(cluster: &Cluster, trouble: bool) -> Option<bool> {
    let world = &cluster.world;
    add_fleet(cluster, 4, 0);
    let run_s: fn(u64) -> f64 = |i| if i % 2 == 0 { 2.0 } else { 300.0 };
    let mut large = Job::new(1, 400, 0.05, 0.05, 200.0, run_s);
    large.owner = "partner-clinic-it";
    let mut flavors = vec!["edge-small".to_string(), "batch-big".to_string()];
    let more = if trouble { 975 } else { 10 };
    flavors.extend((0..more).map(|i| format!("t5-{i:04}-large")));
    large.flavors = Some(flavors);
    if !cluster.submit(&large, 0) {
        return None;
    }
    wait_for_runs(cluster, &large, 400, 15.0)?;
    sleep(3.0);
    let small: Vec<Job> = (2..5)
        .map(|i| Job::new(i, 4, 1.0, 0.5, 3.0, |_| 3.0))
        .collect();
    for job in &small {
        if !cluster.submit(job, 1) {
            return None;
        }
    }
    let mut completed_at = None;
    while completed_at.is_none() && world.record.now() < 50.0 {
        sleep(0.2);
        let all = small.iter().all(|job| world.completed(&job.id).len() == 4);
        completed_at = all.then(|| world.record.now());
    }
    let completed_at = completed_at?;
    world
        .record
        .say("all tasks of run-000002, run-000003 and run-000004 have completed");
    let until = completed_at + 45.0;
    let done = small
        .iter()
        .all(|job| cluster.wait_for(&job.id, "done", until, 2.0));
    let refused = cluster.state.refused.lock().unwrap().clone();
    world.record.say(format!(
        "transactions that the state service refused with 400: {refused:?}"
    ));
    Some(done)
}
