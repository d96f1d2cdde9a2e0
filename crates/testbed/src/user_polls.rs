//! Simulated users that poll the status of their jobs. The history checker uses the polls to check
//! that no accepted job stays without answers.

use crate::history::{Event, History};
use std::net::SocketAddr;
use std::time::Duration;

/// The most jobs polled in one round.
const MAX_JOBS_PER_ROUND: usize = 40;
const INTERVAL: Duration = Duration::from_secs(5);
const TIMEOUT: Duration = Duration::from_secs(2);

/// Polls accepted jobs at intervals, each over a new connection. If there are more than
/// [`MAX_JOBS_PER_ROUND`], a round polls a random selection. Runs until the runtime ends.
pub(crate) async fn run(history: History, front: SocketAddr) {
    let builder = reqwest::Client::builder().no_proxy();
    let Ok(client) = builder.pool_max_idle_per_host(0).build() else {
        return;
    };
    loop {
        tokio::time::sleep(INTERVAL).await;
        let mut jobs = history.accepted();
        while jobs.len() > MAX_JOBS_PER_ROUND {
            jobs.swap_remove(rand::random_range(0..jobs.len()));
        }
        for job in jobs {
            let poll = poll(client.clone(), history.clone(), front, job);
            actix_web::rt::spawn(poll);
        }
    }
}

async fn poll(client: reqwest::Client, history: History, front: SocketAddr, job: String) {
    let request = client.get(format!("http://{front}/work/{job}"));
    let response = request.timeout(TIMEOUT).send().await;
    let answered = response.is_ok_and(|r| r.status() == 200);
    history.add(Event::Asked { job, answered });
}
