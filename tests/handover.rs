//! Jobs are cancelled in the seconds in which the leader changes: real controllers with their
//! own loops, on simulated time and an unreliable network.

mod common;
mod simulated;

use actix::Actor;
use actix_web::http::Method;
use common::*;
use foxspur::coordination::leadership::LeadershipActor;
use foxspur::coordination::node::draw_incarnation;
use foxspur::storage::records::{self, ShardRecord};
use rand::Rng;
use simulated::users::{id, submission};
use simulated::{block_on, Cluster, Controller};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const JOBS: usize = 36;
/// Jobs on a page of a listing: a takeover reads several pages.
const JOBS_PER_PAGE: usize = 3;
const HANDOVERS: usize = 6;
const CANCELS_PER_HANDOVER: usize = JOBS / HANDOVERS;
/// Of these, cancelled at the former leader as soon as the state service answers it again.
const CANCELS_AT_FORMER_LEADER: usize = 2;
/// How far back a controller's own knowledge of cancellations is compared with its scheduler.
const LOOKBACK_S: f64 = 20.0;
/// How long a leader that the state service answers may take to learn of a cancellation.
const LEARNING_TIMEOUT: Duration = Duration::from_secs(3);

/// Cancellations that met a change of leader.
#[derive(Default, Debug)]
struct Counters {
    /// Confirmed while a new leader loaded its records, and just after a page of them.
    while_loading: usize,
    between_pages: usize,
    /// Confirmed by a controller that took itself for the leader and was not.
    by_former: usize,
    /// Confirmed by the new leader before it had its scheduler, or reported to it then.
    by_new: usize,
    reported_to_new: usize,
    handovers: usize,
    confirmed: usize,
}

impl Counters {
    fn add(&mut self, other: &Counters) {
        self.while_loading += other.while_loading;
        self.between_pages += other.between_pages;
        self.by_former += other.by_former;
        self.by_new += other.by_new;
        self.reported_to_new += other.reported_to_new;
        self.handovers += other.handovers;
        self.confirmed += other.confirmed;
    }
}

/// Who accepted a call.
struct Accepted {
    controller: usize,
    /// Whether it was a former leader when it was called.
    was_former_leader: bool,
}

struct Scenario {
    cluster: Rc<Cluster>,
    controllers: Vec<Controller>,
    /// Cancellations that were confirmed to users.
    confirmed: RefCell<Vec<(String, Instant)>>,
    refused_at: RefCell<Option<Instant>>,
    counters: RefCell<Counters>,
}

impl Scenario {
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.cluster.rng.borrow_mut().random_range(range)
    }

    /// The leader by the state service's record.
    fn recorded_leader(&self) -> Option<usize> {
        let entry = self.cluster.store.borrow().get(records::SHARD_KEY)?;
        let leader = entry.read::<ShardRecord>().expect("a shard record").leader;
        leader.strip_prefix("berth-")?.parse().ok()
    }

    /// Whether the controller leads by the record and has no scheduler yet.
    fn is_loading(&self, controller: usize) -> bool {
        let node = &self.controllers[controller].node;
        self.recorded_leader() == Some(controller) && node.scheduler.borrow().is_none()
    }

    fn any_controller(&self) -> usize {
        self.draw(0..self.controllers.len() as u64) as usize
    }

    /// Whether the controller takes itself for the leader and is not.
    fn is_former_leader(&self, controller: usize) -> bool {
        let acts = self.controllers[controller]
            .node
            .scheduler
            .borrow()
            .is_some();
        acts && self.recorded_leader() != Some(controller)
    }

    /// Calls this controller, and then any, until one accepts the request.
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
        let pages = self.cluster.pages.borrow();
        let just_read = |(by, at): &(usize, Instant)| {
            Some(*by) == loading && at.elapsed() < Duration::from_millis(300)
        };
        counters.between_pages += usize::from(pages.iter().any(just_read));
        counters.by_new += usize::from(loading == Some(accepted.controller));
        counters.by_former += usize::from(accepted.was_former_leader);
        let reported = loading.is_some_and(|leader| {
            let node = &self.controllers[leader].node;
            let reported = node.relayed_cancellations.borrow().within(0.5, node.now());
            reported.is_some_and(|jobs| jobs.contains(&id(job)))
        });
        counters.reported_to_new += usize::from(reported);
    }

    /// A controller that confirmed a cancellation, or had it reported, has it in its scheduler;
    /// and a leader that the state service answers learns of all others soon.
    fn check(&self, seed: u64) {
        for (index, controller) in self.controllers.iter().enumerate() {
            let node = &controller.node;
            let scheduler = node.scheduler.borrow();
            let Some(scheduler) = scheduler.as_ref() else {
                continue;
            };
            let runs = |id: &str| scheduler.jobs.get(id).is_some_and(|job| !job.finished);
            for known in [&node.confirmed_cancellations, &node.relayed_cancellations] {
                let lookback_s = LOOKBACK_S.min(node.now());
                let ids = known.borrow().within(lookback_s, node.now());
                for id in ids.into_iter().flatten() {
                    assert!(
                        !runs(&id),
                        "seed {seed}: berth-{index} knows that {id} is over"
                    );
                }
            }
            let refused = self
                .refused_at
                .borrow()
                .is_some_and(|at| at.elapsed() < 2 * LEARNING_TIMEOUT);
            if refused || self.recorded_leader() != Some(index) {
                continue;
            }
            for (id, at) in self.confirmed.borrow().iter() {
                let late = at.elapsed() > LEARNING_TIMEOUT;
                assert!(!late || !runs(id), "seed {seed}: berth-{index} runs {id}");
            }
        }
    }

    /// The leader resigns, or the state service refuses it until its lease has expired.
    async fn hand_over(self: &Rc<Self>, round: usize) {
        let leader = self.recorded_leader().expect("a leader");
        self.counters.borrow_mut().handovers += 1;
        let node = &self.controllers[leader].node;
        if self.draw(0..2) == 0 {
            *node.scheduler.borrow_mut() = None;
            node.leadership
                .borrow_mut()
                .resign(node.now(), draw_incarnation());
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

    /// The state service refuses the leader for a while, mostly with the other controllers
    /// out of its reach.
    async fn refuse(&self, leader: usize) {
        self.cluster.refused.set(Some(leader));
        let alone = self.draw(0..3) > 0;
        self.cluster.unreachable.set(alone.then_some(leader));
        let for_s = self.draw(4..8);
        for _ in 0..for_s * 10 {
            *self.refused_at.borrow_mut() = Some(Instant::now());
            sleep(Duration::from_millis(100)).await;
        }
        self.cluster.refused.set(None);
        self.cluster.unreachable.set(None);
    }

    async fn play(self: &Rc<Self>) {
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
            let ms = self.draw(9000..13_000);
            sleep(Duration::from_millis(ms)).await;
        }
        sleep(Duration::from_secs(15)).await;
    }
}

async fn play(seed: u64) -> Counters {
    let count = 3 + (seed % 3) as usize;
    let (cluster, controllers) = Cluster::without_leader(seed, count).await;
    cluster.rough.set(true);
    cluster.page.set(JOBS_PER_PAGE);
    // What was cancelled between two pages must come by the watch alone, often.
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
    let watcher = scenario.clone();
    let checks = async move {
        loop {
            watcher.check(seed);
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = scenario.play() => {}
        () = checks => {}
    }
    scenario.cluster.calls.borrow().print("handover", seed);
    let confirmed = scenario.confirmed.borrow().len();
    assert_eq!(
        confirmed, JOBS,
        "seed {seed}: a cancellation had no response"
    );
    scenario.counters.take()
}

/// Guards against a new leader that starts what was cancelled while it took over: a job on
/// a page that it had read, cancelled by a controller that still took itself for the
/// leader, by itself before it had its scheduler, or by one that reported it then.
#[test]
fn what_is_cancelled_as_the_leader_changes_is_known_to_the_next() {
    let mut all = Counters::default();
    for seed in seeds(24) {
        all.add(&block_on(play(seed)));
    }
    println!("{all:?}");
    let least = [
        all.while_loading,
        all.between_pages,
        all.by_former,
        all.by_new,
        all.reported_to_new,
    ];
    assert!(
        own_seeds() || least.iter().all(|count| *count > 5),
        "too weak: {all:?}"
    );
}
