//! What the library costs, and what it spares others.
//!
//! ```text
//! cargo run --release -p foxspur-client --example measure -- storm
//! cargo run --release -p foxspur-client --example measure -- outbox 1000000
//! ```
//!
//! `storm`: 1, 100 and 1,000 clients with one job each while all fronts answer 503
//! for a minute, in made-up time: the requests that they send. `outbox`: what
//! queueing costs a job, alone and in batches, and how long opening takes with
//! that many entries.

#[path = "../tests/support/mod.rs"]
mod support;

use foxspur_client::{Client, Outbox};
use std::time::{Duration, Instant};
use support::{settings, work, Cluster, Fate};

const OUTAGE_S: u64 = 60;

fn storm(clients: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let start = tokio::time::Instant::now();
        let cluster = Cluster::new(move |_, _, _| match start.elapsed().as_secs() {
            0..OUTAGE_S => Fate::Refused(503, None),
            _ => Fate::Arrives,
        });
        let mut all = Vec::new();
        for n in 0..clients {
            let outbox = Outbox::in_memory().expect("memory");
            let transport = Box::new(cluster.clone());
            let client = Client::with_transport(settings(3), outbox, transport, n as u64);
            let client = client.expect("settings");
            let batch = vec![work(&format!("k{n}"), "t")];
            let _ = client.submit(batch, Duration::ZERO).await.expect("queued");
            all.push(client);
        }
        tokio::time::sleep_until(start + Duration::from_secs(OUTAGE_S)).await;
        let during = cluster.requests();
        while cluster.inner.lock().unwrap().jobs.len() < clients {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let all_in = start.elapsed().as_secs_f64() - OUTAGE_S as f64;
        let inner = cluster.inner.lock().unwrap();
        let second = |s: u64| {
            let at = |r: &&(tokio::time::Instant, usize, String)| (r.0 - start).as_secs() == s;
            inner.requests.iter().filter(at).count()
        };
        let peak = (OUTAGE_S..OUTAGE_S + 30).map(second).max().unwrap_or(0);
        println!(
            "{clients:5} clients: {:.1} requests a job in the outage (every second: {OUTAGE_S}), \
             at most {:.2} a client in one second after it, all accepted after {all_in:.0} s",
            during as f64 / clients as f64,
            peak as f64 / clients as f64,
        );
    });
}

fn outbox(entries: usize) {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("outbox");
    let cost = |what: &str, batch: usize, jobs: usize, outbox: &Outbox| {
        let began = Instant::now();
        for from in (0..jobs).step_by(batch) {
            let to = (from + batch).min(jobs);
            let works: Vec<_> = (from..to)
                .map(|n| work(&format!("{what}/{n}"), "t"))
                .collect();
            outbox.enqueue(&works, 1).expect("queued");
        }
        let us = began.elapsed().as_secs_f64() * 1e6 / jobs as f64;
        println!("{what}: {us:.0} µs a job");
    };
    let file = Outbox::open(&path, true).expect("opened");
    cost("one by one", 1, 500, &file);
    cost("batches of 100", 100, 10_000, &file);
    cost("filling, batches of 5000", 5000, entries, &file);
    let (all, open) = file.len().expect("read");
    drop(file);
    for verify in [false, true] {
        let began = Instant::now();
        let file = Outbox::open(&path, verify).expect("opened");
        let s = began.elapsed().as_secs_f64();
        println!("opened with {all} entries, {open} of them open, verify {verify}: {s:.2} s");
        drop(file);
    }
    let mib = std::fs::metadata(&path).map_or(0, |m| m.len()) >> 20;
    println!("file: {mib} MiB");
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let entries = args.get(1).and_then(|a| a.parse().ok());
    match args.first().map(String::as_str) {
        Some("storm") => [1, 100, 1000].into_iter().for_each(storm),
        Some("outbox") => outbox(entries.unwrap_or(100_000)),
        _ => eprintln!("measure: storm, or outbox [ENTRIES]"),
    }
}
