//! Measures the load that the library puts on controllers during an outage, and the cost of its
//! outbox.
//!
//! ```text
//! cargo run --release -p foxspur-client --example measure -- storm
//! cargo run --release -p foxspur-client --example measure -- outbox 1000000
//! ```
//!
//! `storm` counts the requests of 1, 100 and 1,000 clients with one job each while all fronts
//! answer 503 for a minute of simulated time. `outbox` measures the time to queue a job, alone and
//! in batches, and the time to open an outbox with the given number of entries.

#[path = "../tests/support/mod.rs"]
mod support;

use foxspur_client::{Client, Outbox};
use std::time::{Duration, Instant};
use support::{settings, work, Cluster, Delivery, SentRequest};

const OUTAGE_S: u64 = 60;

fn measure_storm(client_count: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let start = tokio::time::Instant::now();
        let cluster = Cluster::new(move |_, _, _| match start.elapsed().as_secs() {
            0..OUTAGE_S => Delivery::Rejected(503, None),
            _ => Delivery::Normal,
        });
        let mut clients = Vec::new();
        for n in 0..client_count {
            let outbox = Outbox::in_memory().expect("cannot create the in-memory outbox");
            let transport = Box::new(cluster.clone());
            let client = Client::with_transport(settings(3), outbox, transport, n as u64);
            let client = client.expect("cannot create the client");
            let batch = vec![work(&format!("k{n}"), "t")];
            let _ = client.submit(batch, Duration::ZERO).await.expect("queued");
            clients.push(client);
        }
        tokio::time::sleep_until(start + Duration::from_secs(OUTAGE_S)).await;
        let during_outage = cluster.request_count();
        while cluster.state.lock().unwrap().jobs.len() < client_count {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let all_accepted_s = start.elapsed().as_secs_f64() - OUTAGE_S as f64;
        let state = cluster.state.lock().unwrap();
        let count_in_second = |second: u64| {
            let is_in_second = |r: &&SentRequest| (r.at - start).as_secs() == second;
            state.requests.iter().filter(is_in_second).count()
        };
        let peak = (OUTAGE_S..OUTAGE_S + 30)
            .map(count_in_second)
            .max()
            .unwrap_or(0);
        println!(
            "{client_count:5} clients: {:.1} requests per job in the outage of {OUTAGE_S} s, at \
             most {:.2} per client in one second after it, all accepted after \
             {all_accepted_s:.0} s",
            during_outage as f64 / client_count as f64,
            peak as f64 / client_count as f64,
        );
    });
}

fn measure_outbox(entries: usize) {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("outbox");
    let measure_queueing = |name: &str, batch_size: usize, jobs: usize, outbox: &Outbox| {
        let began = Instant::now();
        for from in (0..jobs).step_by(batch_size) {
            let to = (from + batch_size).min(jobs);
            let batch: Vec<_> = (from..to)
                .map(|n| work(&format!("{name}/{n}"), "t"))
                .collect();
            outbox.enqueue(&batch, 1).expect("queued");
        }
        let job_us = began.elapsed().as_secs_f64() * 1e6 / jobs as f64;
        println!("{name}: {job_us:.0} µs per job");
    };
    let file = Outbox::open(&path, true).expect("opened");
    measure_queueing("one by one", 1, 500, &file);
    measure_queueing("batches of 100", 100, 10_000, &file);
    measure_queueing("filling, batches of 5000", 5000, entries, &file);
    let (all, open) = file.len().expect("read");
    drop(file);
    for verify in [false, true] {
        let began = Instant::now();
        let file = Outbox::open(&path, verify).expect("opened");
        let took_s = began.elapsed().as_secs_f64();
        println!("opened with {all} entries, {open} of them open, verify {verify}: {took_s:.2} s");
        drop(file);
    }
    let mib = std::fs::metadata(&path).map_or(0, |m| m.len()) >> 20;
    println!("file: {mib} MiB");
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let entries = args.get(1).and_then(|a| a.parse().ok());
    match args.first().map(String::as_str) {
        Some("storm") => [1, 100, 1000].into_iter().for_each(measure_storm),
        Some("outbox") => measure_outbox(entries.unwrap_or(100_000)),
        _ => eprintln!("usage: measure storm | outbox [ENTRIES]"),
    }
}
