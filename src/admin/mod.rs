//! The operators' API, on an address of its own and only where the operators'
//! settings name one. Every controller answers: the owner from its scheduler, others
//! by asking it, and while it is away with what it said last and how old that is.

mod metrics;
pub mod orders;
pub mod rolls;

use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::coordination::scheduler::views::spread;
use crate::protocol::admin::{Answer, Problem, ServiceRow, ShareRow, Waits};
use crate::protocol::mesh::{self, PeerRequest, Topic};
use crate::transport::clients::Met;
use crate::transport::listen;
use actix_web::web::{Data, PayloadConfig};
use actix_web::{web, App, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections at once: a few people and a collector of metrics.
const CONNECTIONS: usize = 8;
/// Largest order, in bytes; ten thousand machine names fit.
pub const MAX_BODY: usize = 256 * 1024;
/// Jobs listed when nobody says how many, and at most.
const JOBS: (u32, u32) = (200, 5000);
/// Patience with the owner, in seconds: a view of all machines takes a busy one
/// a few hundred milliseconds.
const PATIENCE_S: f64 = 2.0;

type Shared = Data<Rc<Node>>;

/// An error for an operator.
fn problem(status: u16, field: Option<&str>, error: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status)
        .unwrap_or(actix_web::http::StatusCode::SERVICE_UNAVAILABLE);
    let mut response = HttpResponse::build(status);
    if status == actix_web::http::StatusCode::SERVICE_UNAVAILABLE {
        response.insert_header(("retry-after", "1"));
    }
    response.json(Problem {
        error: error.into(),
        field: field.map(String::from),
    })
}

fn json<T: Serialize>(data: &T) -> Option<String> {
    serde_json::to_string(data).ok()
}

/// What operators see of the share that this scheduler holds, as JSON.
pub fn of_core(scheduler: &Scheduler, topic: Topic, now: f64) -> Option<String> {
    match topic {
        Topic::Jobs(most) => json(&scheduler.job_rows(now, most.min(JOBS.1) as usize)),
        Topic::Teams => json(&scheduler.team_rows()),
        Topic::Machines => json(&scheduler.machine_rows(now)),
        Topic::Fleet => json(&scheduler.machine_counts(now)),
        Topic::Waits => json(&scheduler.waits()),
        Topic::Drains => json(&scheduler.drain_rows(now)),
        Topic::Snapshot => json(&scheduler.snapshot(now)),
    }
}

/// A view of the share: term, age, JSON.
async fn look(node: &Rc<Node>, topic: Topic) -> Option<(u64, f64, String)> {
    let now = node.now();
    if let Some(scheduler) = node.scheduler.borrow().as_ref() {
        return Some((scheduler.term, 0.0, of_core(scheduler, topic, now)?));
    }
    let owner = node.other_leader().and_then(|o| node.peer_address(&o));
    if let Some(addr) = owner {
        let ask = PeerRequest::View(topic);
        let asked = node.mesh.ask_within(addr, &ask, PATIENCE_S).await;
        if let Some(mesh::PeerResponse::View(term, text)) = asked {
            // A plan must not be made from a state that is over.
            if topic != Topic::Snapshot {
                let told = (node.now(), term, text.clone());
                node.last_views.borrow_mut().insert(topic, told);
            }
            return Some((term, 0.0, text));
        }
    }
    let told = node.last_views.borrow();
    let (at, term, text) = told.get(&topic)?;
    Some((*term, now - at, text.clone()))
}

fn owner(node: &Node) -> Option<String> {
    if node.scheduler.borrow().is_some() {
        return Some(node.settings.host_name.clone());
    }
    node.other_leader()
}

fn answer<T: Serialize>(node: &Node, term: u64, age_s: f64, data: T) -> HttpResponse {
    HttpResponse::Ok().json(Answer {
        from: node.settings.host_name.clone(),
        owner: owner(node),
        term,
        age_s,
        data,
    })
}

async fn view(node: &Shared, topic: Topic) -> HttpResponse {
    let Some((term, age_s, text)) = look(node, topic).await else {
        return problem(503, None, "the owner of the share does not answer now");
    };
    match RawValue::from_string(text) {
        Ok(data) => answer(node, term, age_s, data),
        Err(_) => problem(503, None, "the owner's answer cannot be read"),
    }
}

#[derive(Deserialize)]
struct Limit {
    limit: Option<u32>,
}

async fn jobs(node: Shared, query: web::Query<Limit>) -> HttpResponse {
    let most = query.limit.unwrap_or(JOBS.0);
    if most > JOBS.1 {
        return problem(400, Some("limit"), &format!("limit is above {}", JOBS.1));
    }
    // Few different ones, so that what is kept for an owner's absence is bounded.
    let most = if most <= JOBS.0 { JOBS.0 } else { JOBS.1 };
    let keep = query.limit.unwrap_or(JOBS.0) as usize;
    let Some((term, age_s, text)) = look(&node, Topic::Jobs(most)).await else {
        return problem(503, None, "the owner of the share does not answer now");
    };
    match serde_json::from_str::<crate::protocol::admin::Jobs>(&text) {
        Ok(mut jobs) => {
            jobs.rows.truncate(keep);
            answer(&node, term, age_s, jobs)
        }
        Err(_) => problem(503, None, "the owner's answer cannot be read"),
    }
}

async fn shares(node: Shared) -> HttpResponse {
    let now = node.now();
    let scheduler = node.scheduler.borrow();
    let row = {
        let tenure = node.leadership.borrow();
        let share = tenure.view.shard.as_ref().map(|(s, _)| s);
        let mut alive: Vec<String> = tenure.view.alive.keys().cloned().collect();
        alive.sort();
        let former = share.map(|s| s.former_leaders.iter().map(|p| p.host.clone()).collect());
        ShareRow {
            share: 0,
            owner: share.map(|s| s.leader.clone()),
            term: share.map_or(0, |s| s.term),
            alive,
            former: former.unwrap_or_default(),
            ours: scheduler.is_some() && tenure.may_answer_workers(now),
            confirmed_s: scheduler.as_ref().map(|_| now - tenure.confirmed_at()),
            missing: scheduler.as_ref().and_then(|c| c.unfenced_count()),
        }
    };
    let term = row.term;
    drop(scheduler);
    answer(&node, term, 0.0, vec![row])
}

fn service(name: &str, met: Met) -> ServiceRow {
    let ago = |at: Option<actix_rt::time::Instant>| at.map(|t| t.elapsed().as_secs_f64());
    ServiceRow {
        name: name.into(),
        answered: met.answered,
        failed: met.failed,
        answered_s: ago(met.answered_at),
        failed_s: ago(met.failed_at),
    }
}

/// The outside services as this controller met them.
fn services(node: &Node) -> [ServiceRow; 2] {
    [
        service("state", node.state.met()),
        service("cloud", node.cloud.met()),
    ]
}

async fn health(node: Shared) -> HttpResponse {
    answer(&node, 0, 0.0, services(&node))
}

async fn waits(node: Shared) -> HttpResponse {
    let Some((term, age_s, text)) = look(&node, Topic::Waits).await else {
        return problem(503, None, "the owner of the share does not answer now");
    };
    let Ok(mut waits) = serde_json::from_str::<Waits>(&text) else {
        return problem(503, None, "the owner's answer cannot be read");
    };
    let accept = node.acceptance_ms.borrow();
    waits.acceptance = accept.as_ref().map(|h| spread("accepted", h));
    answer(&node, term, age_s, waits)
}

async fn metrics_page(node: Shared) -> HttpResponse {
    match metrics::text(&node) {
        Ok(text) => HttpResponse::Ok()
            .content_type(prometheus::TEXT_FORMAT)
            .body(text),
        Err(error) => problem(503, None, &error.to_string()),
    }
}

/// Serves the operators' API at `addr`, as soon as the address can be had: that it
/// is taken must not keep a controller from its work.
pub async fn run(node: Rc<Node>, addr: SocketAddr) {
    while let Err(error) = serve(node.clone(), addr).await {
        tracing::error!(%addr, %error, "operators' API cannot listen");
        actix_rt::time::sleep(Duration::from_secs(5)).await;
    }
    tracing::info!(%addr, "operators' API");
}

async fn serve(node: Rc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    let by_topic =
        |topic: Topic| web::get().to(move |n: Shared| async move { view(&n, topic).await });
    let app = App::new()
        .app_data(Data::new(node))
        .app_data(PayloadConfig::new(MAX_BODY))
        .route("/metrics", web::get().to(metrics_page))
        .route("/admin/v1/jobs", web::get().to(jobs))
        .route("/admin/v1/teams", by_topic(Topic::Teams))
        .route("/admin/v1/machines", by_topic(Topic::Machines))
        .route("/admin/v1/fleet", by_topic(Topic::Fleet))
        .route("/admin/v1/snapshot", by_topic(Topic::Snapshot))
        .route("/admin/v1/shares", web::get().to(shares))
        .route("/admin/v1/health", web::get().to(health))
        .route("/admin/v1/waits", web::get().to(waits))
        .route("/admin/v1/drains", by_topic(Topic::Drains))
        .route("/admin/v1/drains", web::post().to(orders::drain))
        .route("/admin/v1/rolls", web::get().to(rolls::list))
        .route("/admin/v1/rolls", web::post().to(rolls::start))
        .route("/admin/v1/rolls/turn", web::post().to(rolls::change))
        .route("/admin/v1/undrain", web::post().to(orders::undrain));
    listen::serve(app, addr, CONNECTIONS, Rc::default(), listen::IDLE).await
}
