//! The cases.

use crate::cluster::{Cluster, Job};
use crate::machines::{Machine, Run, World};
use crate::record::Record;
use crate::site;
use std::sync::Arc;
use std::time::Duration;

/// When a case stops waiting, in seconds since the start.
const LAST_POLL_S: f64 = 106.0;

/// For how long commands are held up. The page allows from 2 s to 16 s.
const HELD_UP_S: f64 = 15.6;
/// How many machines restart together.
const RACK: usize = 6;

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Plays a case. 0: the rule held, 1: it was broken, 2: the case couldn't run.
pub fn run(case: &str, record: &Arc<Record>, dir: &str, trouble: bool, program: &[String]) -> i32 {
    let play: fn(&Cluster, bool) -> Option<bool> = match case {
        "last-machine" => last_machine,
        "many-tasks" => many_tasks,
        "large-job" => large_job,
        "rack-restart" => rack_restart,
        "small-tasks" => small_tasks,
        "stale-start" => stale_start,
        _ => return 2,
    };
    let world = World::new(record.clone(), site::amman());
    let cluster = Cluster::start(world, program.to_vec(), dir);
    if case == "rack-restart" {
        // The workers are up before the controllers, so their first sessions end unanswered.
        add_fleet(&cluster, 10, 0);
        sleep(world_lease_s(&cluster) - 2.5);
    }
    cluster.spawn_all();
    let held = if cluster.wait_until_up(30.0) {
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

fn world_lease_s(cluster: &Cluster) -> f64 {
    cluster.world.site.lease_s
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
    set_capacity(cluster, 10, 3);
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

/// A job of many small tasks, of which more fit on a machine than a message can name.
fn small_tasks(cluster: &Cluster, trouble: bool) -> Option<bool> {
    let world = &cluster.world;
    add_fleet(cluster, 2, 1);
    let cpus = if trouble { 0.05 } else { 0.25 };
    let mut job = Job::new(1, 1500, cpus, 0.08, 6.0, |_| 6.0);
    job.site = Some("zarqa-dc");
    if !cluster.submit(&job, 0) {
        return None;
    }
    let done = cluster.wait_for(&job.id, "done", LAST_POLL_S, 5.0);
    let over = world.over_limit.lock().unwrap().clone();
    world.record.say(format!(
        "{} runs, {} of {} tasks completed",
        world.runs_of(&job.id).len(),
        world.completed(&job.id).len(),
        job.shards
    ));
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

/// Six of ten machines restart at once, while a start command to one of them is on its way and is
/// held up.
fn rack_restart(cluster: &Cluster, trouble: bool) -> Option<bool> {
    let world = &cluster.world;
    // The workers count more reports until the restart than in the time after it.
    sleep(25.0);
    let machines = world.machines.lock().unwrap().clone();
    if machines.iter().any(|machine| machine.tenure() != 2) {
        return None;
    }
    if trouble {
        for machine in &machines {
            *machine.held_s.lock().unwrap() = Some(HELD_UP_S);
        }
    }
    let job = Job::new(1, 1, 8.0, 8.0, 60.0, |_| 60.0);
    if !cluster.submit(&job, 0) {
        return None;
    }
    if trouble {
        let is_held = |machine: &&Arc<Machine>| machine.held_since.lock().unwrap().is_some();
        let deadline = world.record.now() + 5.0;
        while !machines.iter().any(|machine| is_held(&machine)) {
            if world.record.now() > deadline {
                return None;
            }
            sleep(0.02);
        }
        let target = machines.iter().find(is_held)?;
        // The rack restarts after the target's next report and those of a few others, so that the
        // target is neither the first nor the last of them to fall silent.
        let called_at = world.record.now();
        let answered = |machine: &Arc<Machine>| *machine.answered_at.lock().unwrap();
        let mut others: Vec<Arc<Machine>> = machines.clone();
        others.retain(|machine| machine.name != target.name);
        while world.record.now() < called_at + 1.2 {
            let later = |m: &&Arc<Machine>| answered(m) > answered(target);
            if answered(target) > called_at && others.iter().filter(later).count() >= RACK / 2 {
                break;
            }
            sleep(0.005);
        }
        others.sort_by(|a, b| answered(b).total_cmp(&answered(a)));
        let mut rack: Vec<&Arc<Machine>> = others.iter().take(RACK - 1).collect();
        rack.push(target);
        for machine in &machines {
            if rack.iter().all(|m| m.name != machine.name) {
                *machine.held_s.lock().unwrap() = None;
            }
        }
        rack.iter().for_each(|machine| machine.restart(world));
    }
    sleep(HELD_UP_S + 4.0);
    let runs = world.runs_of(&job.id);
    let now = world.record.now();
    let mut twice = false;
    for (i, first) in runs.iter().enumerate() {
        world.record.say(format!("{first:?}"));
        let overlaps = |second: &&Run| second.began < first.ended.unwrap_or(now);
        for second in runs[i + 1..].iter().filter(overlaps) {
            twice |= second.machine != first.machine;
        }
    }
    (!runs.is_empty()).then_some(!twice)
}

/// The leader is cut off from the state service and the other controllers, and a job is cancelled
/// through another controller. Counts the starts that arrive after the answer.
fn stale_start(cluster: &Cluster, trouble: bool) -> Option<bool> {
    let world = &cluster.world;
    add_fleet(cluster, 4, 0);
    let job = Job::new(1, 2000, 1.0, 1.0, 0.6, |_| 0.6);
    if !cluster.submit(&job, 0) {
        return None;
    }
    wait_for_runs(cluster, &job, 60, 15.0)?;
    let leader = cluster.leader()?;
    if trouble {
        cluster.cut_from_state_and_peers(leader, true);
        sleep(0.3);
    }
    let status = cluster.cancel(&job.id, (leader + 1) % cluster.nodes.len());
    let told = world.record.now();
    if status.as_deref() != Some("withdrawn") {
        return None;
    }
    sleep(8.0);
    if trouble {
        cluster.cut_from_state_and_peers(leader, false);
    }
    sleep(2.0);
    let mut late = world.runs_of(&job.id);
    late.retain(|run| run.ordered > told + 0.5);
    world.record.say(format!(
        "the user was told at {told:.3}; starts that arrived more than 0.5 s later: {}",
        late.len()
    ));
    for run in &late {
        world.record.say(format!("{run:?}"));
    }
    Some(late.is_empty())
}
