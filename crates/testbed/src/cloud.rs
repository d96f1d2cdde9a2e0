//! The cloud's interface, the workers' for direct commands, and one of our own
//! for whoever plays a load from another process.

use crate::machines::{Inner, Machine, Machines};
use actix_web::{web, HttpRequest, HttpResponse};
use foxspur_wire::cloud::{Listed, ListedState, Names, Page, Rental, TypeList};
use foxspur_wire::job::JobSpec;
use foxspur_wire::worker::{Direct, Report};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

type Data = web::Data<Machines>;

/// The address that a request came to.
#[derive(Clone, Copy)]
pub struct CameTo(pub SocketAddr);

/// Answers direct commands at the address of the machine that it came to.
async fn commands(machines: Data, request: HttpRequest, direct: web::Json<Direct>) -> HttpResponse {
    let Some(CameTo(addr)) = request.conn_data::<CameTo>().copied() else {
        return HttpResponse::InternalServerError().finish();
    };
    machines.repeat(addr, &direct);
    loop {
        match machines.direct(addr, &direct) {
            Reached::Executed(report) => return HttpResponse::Ok().json(report),
            Reached::Rejected(report) => return HttpResponse::Conflict().json(report),
            // Executed when it goes on, if token and session still match.
            Reached::Hangs => actix_web::rt::time::sleep(Duration::from_millis(20)).await,
            Reached::NoPower => {
                // It stays silent for longer than anybody waits.
                actix_web::rt::time::sleep(Duration::from_secs(10)).await;
                return HttpResponse::ServiceUnavailable().finish();
            }
        }
    }
}

/// What direct commands found.
enum Reached {
    Executed(Report),
    Rejected(Report),
    Hangs,
    NoPower,
}

impl Machines {
    /// A copy of the call may come late, carried out or not; nobody reads the answer.
    fn repeat(&self, addr: SocketAddr, direct: &Direct) {
        let now = self.history.now();
        if now >= self.lock().repeats_until || !rand::random_bool(0.25) {
            return;
        }
        let (machines, direct, late_s) = (self.clone(), direct.clone(), self.late_s());
        actix_web::rt::spawn(async move {
            actix_web::rt::time::sleep(Duration::from_secs_f64(late_s)).await;
            machines.direct(addr, &direct);
        });
    }

    fn direct(&self, addr: SocketAddr, direct: &Direct) -> Reached {
        let now = self.history.now();
        let mut inner = self.lock();
        let Inner { machines, jobs, .. } = &mut *inner;
        let here = |m: &&mut Machine| m.addr == addr && !m.dead && m.up_at <= now;
        let Some(m) = machines.values_mut().find(here) else {
            return Reached::NoPower;
        };
        if now < m.deaf_until {
            return Reached::NoPower;
        }
        if now < m.hung_until {
            return Reached::Hangs;
        }
        m.pass(now, self.site.workers.lease_s, &self.history);
        let fits = direct.token >= m.token && direct.session == m.session;
        m.token = m.token.max(direct.token);
        if !fits {
            return Reached::Rejected(m.report());
        }
        m.execute(&direct.commands, jobs, &self.history);
        Reached::Executed(m.report())
    }

    /// The answer of a cloud whose interface is away.
    fn trouble(&self) -> Option<HttpResponse> {
        let away = self.history.now() < self.lock().away_until;
        away.then(|| HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"})))
    }
}

/// The workers' routes.
pub fn worker_routes(config: &mut web::ServiceConfig) {
    config.route("/commands", web::post().to(commands));
}

async fn flavors(machines: Data) -> HttpResponse {
    if let Some(away) = machines.trouble() {
        return away;
    }
    HttpResponse::Ok().json(TypeList {
        types: machines.site.types.clone(),
    })
}

async fn rent(machines: Data, rental: web::Json<Rental>) -> HttpResponse {
    if let Some(away) = machines.trouble() {
        return away;
    }
    if let Some(known) = machines.lock().bookings.get(&rental.request) {
        let machines = known.clone();
        return HttpResponse::Ok().json(Names { machines });
    }
    let Some(kind) = machines
        .site
        .types
        .iter()
        .find(|t| t.name == rental.kind)
        .cloned()
    else {
        return HttpResponse::BadRequest().json(json!({"error": "no such type"}));
    };
    let one = |_| machines.rent_one(&kind, &rental.zone, rental.spot, kind.boot_s);
    let names: Vec<String> = (0..rental.count.min(50)).map_while(one).collect();
    if names.is_empty() {
        return HttpResponse::ServiceUnavailable().json(json!({"error": "no capacity"}));
    }
    let mut inner = machines.lock();
    inner.bookings.insert(rental.request.clone(), names.clone());
    HttpResponse::Ok().json(Names { machines: names })
}

async fn give_back(machines: Data, names: web::Json<Names>) -> HttpResponse {
    if let Some(away) = machines.trouble() {
        return away;
    }
    let mut inner = machines.lock();
    for name in &names.machines {
        if let Some(mut gone) = inner.machines.remove(name) {
            gone.clear(&machines.history);
            inner.addrs.push(gone.addr);
        }
    }
    HttpResponse::Ok().json(json!({}))
}

#[derive(Deserialize)]
struct Range {
    since: Option<String>,
    limit: Option<usize>,
}

async fn list(machines: Data, range: web::Query<Range>) -> HttpResponse {
    if let Some(away) = machines.trouble() {
        return away;
    }
    let now = machines.history.now();
    let lag = machines.site.cloud.list_lag_s;
    let inner = machines.lock();
    // New machines are missing for a while.
    let shown = inner.machines.values().filter(|m| now - m.rented > lag);
    let after = shown.filter(|m| range.since.as_ref().is_none_or(|s| m.name > *s));
    let mut listed: Vec<Listed> = after
        .map(|m| Listed {
            id: m.name.clone(),
            kind: m.kind.name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            state: match (m.dead, now < m.up_at) {
                (true, _) => ListedState::Failed,
                (_, true) => ListedState::Booting,
                _ => ListedState::Running,
            },
            age_s: now - m.rented,
        })
        .collect();
    let most = range.limit.unwrap_or(500).min(500);
    let more = listed.len() > most;
    listed.truncate(most);
    HttpResponse::Ok().json(Page {
        machines: listed,
        more,
    })
}

/// A user uploads the description of a job.
async fn upload(machines: Data, spec: web::Json<JobSpec>) -> HttpResponse {
    let spec = spec.into_inner();
    machines.upload(spec.id.clone(), spec);
    HttpResponse::Ok().json(json!({}))
}

/// What happened so far, as JSON lines.
async fn history(machines: Data) -> HttpResponse {
    let entries = machines.history.entries();
    let lines = entries.iter().filter_map(|e| serde_json::to_string(e).ok());
    let text: String = lines.map(|l| l + "\n").collect();
    HttpResponse::Ok()
        .content_type("application/jsonl")
        .body(text)
}

/// Routes for whoever plays a load from another process.
pub fn control_routes(config: &mut web::ServiceConfig) {
    config
        .route("/jobs", web::post().to(upload))
        .route("/history", web::get().to(history));
}

/// The cloud's routes.
pub fn cloud_routes(config: &mut web::ServiceConfig) {
    config
        .route("/flavors", web::get().to(flavors))
        .route("/rentals", web::get().to(list))
        .route("/rentals", web::post().to(rent))
        .route("/rentals/return", web::post().to(give_back));
}
