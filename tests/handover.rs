//! Jobs are cancelled while the leader changes. The test runs real controllers with their own
//! loops on simulated time and an unreliable network.

mod common;
mod simulated;

use actix::Actor;
use actix_web::http::Method;
use common::*;
use foxspur::coordination::leadership::LeadershipActor;
use foxspur::coordination::node::random_incarnation;
use foxspur::storage::records::{self, ShardRecord};
use rand::Rng;
use simulated::users::{id, submission};
use simulated::{block_on, Cluster, Controller};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const JOBS: usize = 36;
/// Number of jobs per page of a listing, so low that a takeover reads several pages.
const JOBS_PER_PAGE: usize = 3;
const HANDOVERS: usize = 6;
const CANCELS_PER_HANDOVER: usize = JOBS / HANDOVERS;
/// Number of cancellations per handover that users request from the former leader, as soon as this
/// leader has resigned or the state service answers it again.
const CANCELS_AT_FORMER_LEADER: usize = 2;
/// How far back a controller's list of confirmed cancellations is compared with its scheduler,
/// in seconds.
const LOOKBACK_S: f64 = 20.0;
/// Maximum time that a leader with contact to the state service may take to learn of a
/// cancellation.
const LEARNING_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts the cancellations that were confirmed during a change of leader, by circumstance.
#[derive(Default, Debug)]
struct Counters {
    /// Confirmed while a new leader loaded its records.
    while_loading: usize,
    /// Confirmed just after a new leader read a page of its records.
    between_pages: usize,
    /// Confirmed by a former leader that still acted as leader.
    by_former_leader: usize,
    /// Confirmed by the new leader before it had its scheduler.
    by_new_leader: usize,
    /// Reported to the new leader before it had its scheduler.
    reported_to_new_leader: usize,
    handovers: usize,
    confirmed: usize,
}

impl Counters {
    fn add(&mut self, other: &Counters) {
        self.while_loading += other.while_loading;
        self.between_pages += other.between_pages;
        self.by_former_leader += other.by_former_leader;
        self.by_new_leader += other.by_new_leader;
        self.reported_to_new_leader += other.reported_to_new_leader;
        self.handovers += other.handovers;
        self.confirmed += other.confirmed;
    }
}

/// The controller that accepted a call.
struct Accepted {
    controller: usize,
    /// Whether the controller still acted as leader, although it was a former leader, when it was
    /// called.
    was_former_leader: bool,
}

struct Scenario {
    cluster: Rc<Cluster>,
    controllers: Vec<Controller>,
    /// Cancellations that were confirmed to users: the job, and the time of the confirmation.
    confirmed: RefCell<Vec<(String, Instant)>>,
    /// When the state service last refused a leader.
    refused_at: RefCell<Option<Instant>>,
    counters: RefCell<Counters>,
}

impl Scenario {
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.cluster.rng.borrow_mut().random_range(range)
    }

    /// The index of the leader according to the shard record in the state service; `None` if there
    /// is no record.
    fn recorded_leader(&self) -> Option<usize> {
        let entry = self.cluster.store.borrow().get(records::SHARD_KEY)?;
        let leader = entry.read::<ShardRecord>().expect("a shard record").leader;
        leader.strip_prefix("berth-")?.parse().ok()
    }

    /// Whether the controller leads according to the shard record and has no scheduler yet.
    fn is_loading(&self, controller: usize) -> bool {
        let node = &self.controllers[controller].node;
        self.recorded_leader() == Some(controller) && node.scheduler.borrow().is_none()
    }

    fn any_controller(&self) -> usize {
        self.draw(0..self.controllers.len() as u64) as usize
    }

    /// Whether the controller acts as leader although the shard record names another controller.
    fn is_former_leader(&self, controller: usize) -> bool {
        let has_scheduler = self.controllers[controller]
            .node
            .scheduler
            .borrow()
            .is_some();
        has_scheduler && self.recorded_leader() != Some(controller)
    }

    /// Calls the controller `first`, then controllers at random, until one accepts the request.
    async fn call_until_accepted(
        &self,
        first: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Accepted {
        let mut controller = first;
        loop {
            let was_former_leader = self.is_former_leader(controller);
            let response = self.controllers[controller].call(method.clone(), path, body);
            if matches!(response.await.0, 200 | 201) {
                return Accepted {
                    controller,
                    was_former_leader,
                };
            }
            let backoff_ms = self.draw(100..400);
            sleep(Duration::from_millis(backoff_ms)).await;
            controller = self.any_controller();
        }
    }

    async fn cancel(self: Rc<Self>, job: usize, first: usize, after: Duration) {
        sleep(after).await;
        let path = format!("/work/{}/cancel", id(job));
        let accepted = self
            .call_until_accepted(first, Method::POST, &path, "")
            .await;
        self.confirmed.borrow_mut().push((id(job), Instant::now()));
        self.count_confirmed(job, &accepted);
    }

    fn count_confirmed(&self, job: usize, accepted: &Accepted) {
        let leader = self.recorded_leader();
        let loading = leader.filter(|leader| self.is_loading(*leader));
        let mut counters = self.counters.borrow_mut();
        counters.confirmed += 1;
        counters.while_loading += usize::from(loading.is_some());
        let pages = self.cluster.partial_listing_reads.borrow();
        let just_read = |(reader, read_at): &(usize, Instant)| {
            Some(*reader) == loading && read_at.elapsed() < Duration::from_millis(300)
        };
        counters.between_pages += usize::from(pages.iter().any(just_read));
        counters.by_new_leader += usize::from(loading == Some(accepted.controller));
        counters.by_former_leader += usize::from(accepted.was_former_leader);
        let reported = loading.is_some_and(|leader| {
            let node = &self.controllers[leader].node;
            let reported = node.relayed_cancellations.borrow().within(0.5, node.now());
            reported.is_some_and(|jobs| jobs.contains(&id(job)))
        });
        counters.reported_to_new_leader += usize::from(reported);
    }

    /// Checks two properties of each controller that has a scheduler. The scheduler runs no job
    /// whose cancellation the controller confirmed itself or learnt from a peer's report. If the
    /// controller leads and has contact to the state service, it learns of all other cancellations
    /// within `LEARNING_TIMEOUT`.
    fn check(&self, seed: u64) {
        for (index, controller) in self.controllers.iter().enumerate() {
            let node = &controller.node;
            let scheduler = node.scheduler.borrow();
            let Some(scheduler) = scheduler.as_ref() else {
                continue;
            };
            let is_live = |id: &str| scheduler.jobs.get(id).is_some_and(|job| !job.finished);
            for cancellations in [&node.confirmed_cancellations, &node.relayed_cancellations] {
                let lookback_s = LOOKBACK_S.min(node.now());
                let ids = cancellations.borrow().within(lookback_s, node.now());
                for id in ids.into_iter().flatten() {
                    assert!(
                        !is_live(&id),
                        "seed {seed}: berth-{index} runs job {id} although it knows of the \
                         cancellation"
                    );
                }
            }
            let recently_refused = self
                .refused_at
                .borrow()
                .is_some_and(|at| at.elapsed() < 2 * LEARNING_TIMEOUT);
            if recently_refused || self.recorded_leader() != Some(index) {
                continue;
            }
            for (id, confirmed_at) in self.confirmed.borrow().iter() {
                let late = confirmed_at.elapsed() > LEARNING_TIMEOUT;
                assert!(
                    !late || !is_live(id),
                    "seed {seed}: berth-{index} still runs job {id}, which was cancelled"
                );
            }
        }
    }

    /// Makes the leader resign, or makes the state service refuse the leader until its lease has
    /// expired.
    async fn hand_over(self: &Rc<Self>, round: usize) {
        let leader = self.recorded_leader().expect("a leader");
        self.counters.borrow_mut().handovers += 1;
        let node = &self.controllers[leader].node;
        if self.draw(0..2) == 0 {
            *node.scheduler.borrow_mut() = None;
            node.leadership
                .borrow_mut()
                .resign(node.now(), random_incarnation());
        } else {
            self.refuse(leader).await;
        }
        for job in 0..CANCELS_AT_FORMER_LEADER {
            let after = Duration::from_millis(self.draw(0..15));
            let cancel = self
                .clone()
                .cancel(round * CANCELS_PER_HANDOVER + job, leader, after);
            actix_rt::spawn(cancel);
        }
    }

    /// Makes the state service refuse the leader for some seconds. In two of three cases the other
    /// controllers cannot reach the leader during this time either.
    async fn refuse(&self, leader: usize) {
        self.cluster.refused_controller.set(Some(leader));
        let isolated = self.draw(0..3) > 0;
        self.cluster
            .unreachable_controller
            .set(isolated.then_some(leader));
        let duration_s = self.draw(4..8);
        for _ in 0..duration_s * 10 {
            *self.refused_at.borrow_mut() = Some(Instant::now());
            sleep(Duration::from_millis(100)).await;
        }
        self.cluster.refused_controller.set(None);
        self.cluster.unreachable_controller.set(None);
    }

    /// Submits all jobs and cancels each of them around one of the handovers.
    async fn run(self: &Rc<Self>) {
        for job in 0..JOBS {
            let submission = submission(job);
            self.call_until_accepted(self.any_controller(), Method::POST, "/work", &submission)
                .await;
        }
        for round in 0..HANDOVERS {
            for job in CANCELS_AT_FORMER_LEADER..CANCELS_PER_HANDOVER {
                let after = Duration::from_millis(self.draw(0..6000));
                let cancel = self.clone().cancel(
                    round * CANCELS_PER_HANDOVER + job,
                    self.any_controller(),
                    after,
                );
                actix_rt::spawn(cancel);
            }
            self.hand_over(round).await;
            let pause_ms = self.draw(9000..13_000);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        sleep(Duration::from_secs(15)).await;
    }
}

async fn run_seed(seed: u64) -> Counters {
    let count = 3 + (seed % 3) as usize;
    let (cluster, controllers) = Cluster::without_leader(seed, count).await;
    cluster.unreliable_network.set(true);
    cluster.listing_page_size.set(JOBS_PER_PAGE);
    // Many calls between controllers are lost, so that a new leader often learns only from its
    // watch of cancellations that were confirmed between two pages.
    cluster.mesh_loss.set(0.4);
    for controller in &controllers {
        let node = controller.node.clone();
        LeadershipActor { node }.start();
    }
    let scenario = Rc::new(Scenario {
        cluster,
        controllers,
        confirmed: RefCell::default(),
        refused_at: RefCell::default(),
        counters: RefCell::default(),
    });
    let checked = scenario.clone();
    let checks = async move {
        loop {
            checked.check(seed);
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = scenario.run() => {}
        () = checks => {}
    }
    scenario
        .cluster
        .call_digest
        .borrow()
        .print("handover", seed);
    let confirmed = scenario.confirmed.borrow().len();
    assert_eq!(
        confirmed, JOBS,
        "seed {seed}: not all cancellations were confirmed"
    );
    scenario.counters.take()
}

/// Guards against a new leader that starts a job whose cancellation was confirmed while the
/// leader took over and had already read the page with the job. The cancellation was confirmed
/// by a former leader that still acted as leader, by the new leader before it had its
/// scheduler, or by another controller that reported it to the new leader.
#[test]
fn new_leader_knows_cancellations_confirmed_during_the_handover() {
    let mut totals = Counters::default();
    for seed in seeds(24) {
        totals.add(&block_on(run_seed(seed)));
    }
    println!("{totals:?}");
    let counts = [
        totals.while_loading,
        totals.between_pages,
        totals.by_former_leader,
        totals.by_new_leader,
        totals.reported_to_new_leader,
    ];
    assert!(
        seed_range_is_given() || counts.iter().all(|count| *count > 5),
        "too few cancellations of some kind: {totals:?}"
    );
}
