//! Jobs are cancelled in the seconds in which the leadership changes hands: real
//! controllers with their own loops, on simulated time and a rough network.

mod common;
mod simulated;

use actix::Actor;
use actix_web::http::Method;
use common::*;
use foxspur::coordination::leadership::LeadershipActor;
use foxspur::coordination::node::draw_boot;
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
const PAGE: usize = 3;
const HANDOVERS: usize = 6;
const CANCELS: usize = JOBS / HANDOVERS;
/// Of these, cancelled at the former leader as soon as the state service answers it again.
const AT_FORMER: usize = 2;
/// How far back a controller's own knowledge of cancellations is compared with its scheduler.
const LOOK_BACK_S: f64 = 20.0;
/// How long a leader that the state service answers may take to learn of a cancellation.
const LEARNS: Duration = Duration::from_secs(3);

/// Cancellations that met a change of leader.
#[derive(Default, Debug)]
struct Met {
    /// Told while a new leader read its records, and just after a page of them.
    while_read: usize,
    between_pages: usize,
    /// Confirmed by a controller that took itself for the leader and was not.
    by_former: usize,
    /// Confirmed by the new leader before it had its scheduler, or heard by it then.
    by_new: usize,
    heard_by_new: usize,
    handovers: usize,
    told: usize,
}

struct Day {
    cluster: Rc<Cluster>,
    controllers: Vec<Controller>,
    /// Cancellations that users were told of.
    told: RefCell<Vec<(String, Instant)>>,
    refused_at: RefCell<Option<Instant>>,
    met: RefCell<Met>,
}

impl Day {
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.cluster.rng.borrow_mut().random_range(range)
    }

    /// The leader by the state service's record.
    fn recorded_leader(&self) -> Option<usize> {
        let share = self.cluster.store.borrow().get(records::SHARD_KEY)?;
        let owner = share.read::<ShardRecord>().expect("a share").leader;
        owner.strip_prefix("berth-")?.parse().ok()
    }

    /// Whether the controller owns the share by the record and has no scheduler yet.
    fn reads(&self, n: usize) -> bool {
        let node = &self.controllers[n].node;
        self.recorded_leader() == Some(n) && node.scheduler.borrow().is_none()
    }

    fn any(&self) -> usize {
        self.draw(0..self.controllers.len() as u64) as usize
    }

    /// Whether the controller takes itself for the leader and is not.
    fn is_former(&self, n: usize) -> bool {
        let acts = self.controllers[n].node.scheduler.borrow().is_some();
        acts && self.recorded_leader() != Some(n)
    }

    /// Calls this controller, and then any, until one accepts what is asked; says which, and
    /// whether it was a former leader when it was asked.
    async fn until_ok(
        &self,
        first: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> (usize, bool) {
        let mut n = first;
        loop {
            let former = self.is_former(n);
            let called = self.controllers[n].call(method.clone(), path, body);
            if matches!(called.await.0, 200 | 201) {
                return (n, former);
            }
            let ms = self.draw(100..400);
            sleep(Duration::from_millis(ms)).await;
            n = self.any();
        }
    }

    async fn cancel(self: Rc<Self>, job: usize, first: usize, after: Duration) {
        sleep(after).await;
        let path = format!("/work/{}/cancel", id(job));
        let (n, former) = self.until_ok(first, Method::POST, &path, "").await;
        self.told.borrow_mut().push((id(job), Instant::now()));
        let leader = self.recorded_leader();
        let reading = leader.filter(|l| self.reads(*l));
        let mut met = self.met.borrow_mut();
        met.told += 1;
        met.while_read += usize::from(reading.is_some());
        let pages = self.cluster.pages.borrow();
        let lately = |(by, at): &(usize, Instant)| {
            Some(*by) == reading && at.elapsed() < Duration::from_millis(300)
        };
        met.between_pages += usize::from(pages.iter().any(lately));
        met.by_new += usize::from(reading == Some(n));
        met.by_former += usize::from(former);
        let heard = reading.is_some_and(|l| {
            let node = &self.controllers[l].node;
            let heard = node.relayed_cancellations.borrow().within(0.5, node.now());
            heard.is_some_and(|h| h.contains(&id(job)))
        });
        met.heard_by_new += usize::from(heard);
    }

    /// Whoever told a user of a cancellation, or was told of one, has it in its scheduler; and a
    /// leader that the state service answers learns of all others soon.
    fn check(&self, seed: u64) {
        for (n, controller) in self.controllers.iter().enumerate() {
            let node = &controller.node;
            let scheduler = node.scheduler.borrow();
            let Some(scheduler) = scheduler.as_ref() else {
                continue;
            };
            let runs = |id: &str| scheduler.jobs.get(id).is_some_and(|j| !j.finished);
            for known in [&node.confirmed_cancellations, &node.relayed_cancellations] {
                let ids = known
                    .borrow()
                    .within(LOOK_BACK_S.min(node.now()), node.now());
                for id in ids.into_iter().flatten() {
                    assert!(!runs(&id), "seed {seed}: berth-{n} knows that {id} is over");
                }
            }
            let refused = self
                .refused_at
                .borrow()
                .is_some_and(|at| at.elapsed() < 2 * LEARNS);
            if refused || self.recorded_leader() != Some(n) {
                continue;
            }
            for (id, at) in self.told.borrow().iter() {
                let late = at.elapsed() > LEARNS;
                assert!(!late || !runs(id), "seed {seed}: berth-{n} runs {id}");
            }
        }
    }

    /// The leader gives the share up, or the state service refuses it until its lease is
    /// over.
    async fn hand_over(self: &Rc<Self>, round: usize) {
        let leader = self.recorded_leader().expect("a leader");
        self.met.borrow_mut().handovers += 1;
        let node = &self.controllers[leader].node;
        if self.draw(0..2) == 0 {
            *node.scheduler.borrow_mut() = None;
            node.leadership.borrow_mut().resign(node.now(), draw_boot());
        } else {
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
        for job in 0..AT_FORMER {
            let after = Duration::from_millis(self.draw(0..15));
            let cancel = self.clone().cancel(round * CANCELS + job, leader, after);
            actix_rt::spawn(cancel);
        }
    }

    async fn play(self: &Rc<Self>) {
        for job in 0..JOBS {
            let submission = submission(job);
            self.until_ok(self.any(), Method::POST, "/work", &submission)
                .await;
        }
        for round in 0..HANDOVERS {
            for job in AT_FORMER..CANCELS {
                let after = Duration::from_millis(self.draw(0..6000));
                let cancel = self
                    .clone()
                    .cancel(round * CANCELS + job, self.any(), after);
                actix_rt::spawn(cancel);
            }
            self.hand_over(round).await;
            let ms = self.draw(9000..13_000);
            sleep(Duration::from_millis(ms)).await;
        }
        sleep(Duration::from_secs(15)).await;
    }
}

async fn play(seed: u64) -> Met {
    let count = 3 + (seed % 3) as usize;
    let (cluster, controllers) = Cluster::without_leader(seed, count).await;
    cluster.rough.set(true);
    cluster.page.set(PAGE);
    // What was cancelled between two pages must come by the watch alone, often.
    cluster.mesh_loss.set(0.4);
    for controller in &controllers {
        let node = controller.node.clone();
        LeadershipActor { node }.start();
    }
    let day = Rc::new(Day {
        cluster,
        controllers,
        told: RefCell::default(),
        refused_at: RefCell::default(),
        met: RefCell::default(),
    });
    let watcher = day.clone();
    let checks = async move {
        loop {
            watcher.check(seed);
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = day.play() => {}
        () = checks => {}
    }
    day.cluster.calls.borrow().print("handover", seed);
    let told = day.told.borrow().len();
    assert_eq!(told, JOBS, "seed {seed}: a cancellation had no answer");
    day.met.take()
}

/// Guards against a new leader that starts what was cancelled while it took over: a job on
/// a page that it had read, cancelled by a controller that still took itself for the
/// leader, by itself before it had its scheduler, or by one that told it then.
#[test]
fn what_is_cancelled_as_the_leader_changes_is_known_to_the_next() {
    let mut all = Met::default();
    for seed in seeds(24) {
        let met = block_on(play(seed));
        all.while_read += met.while_read;
        all.between_pages += met.between_pages;
        all.by_former += met.by_former;
        all.by_new += met.by_new;
        all.heard_by_new += met.heard_by_new;
        all.handovers += met.handovers;
        all.told += met.told;
    }
    println!("{all:?}");
    let least = [
        all.while_read,
        all.between_pages,
        all.by_former,
        all.by_new,
        all.heard_by_new,
    ];
    assert!(
        own_seeds() || least.iter().all(|n| *n > 5),
        "too weak: {all:?}"
    );
}
