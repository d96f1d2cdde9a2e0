//! The HTTP interface of the simulated cloud: it lists machine types, and launches, terminates
//! and lists machines.

use crate::machines::{LaunchRefusal, Machines};
use actix_web::{web, HttpResponse};
use foxspur_wire::cloud::{LaunchRequest, ListPage, MachineNames, TypeList};
use serde::Deserialize;
use serde_json::json;

/// The most machines on one page of the list.
const MAX_PAGE: usize = 500;

type Data = web::Data<Machines>;

/// The cloud's routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/flavors", web::get().to(types))
        .route("/rentals", web::get().to(list))
        .route("/rentals", web::post().to(launch))
        .route("/rentals/return", web::post().to(terminate));
}

/// The answer while an outage of the cloud is injected.
fn outage(machines: &Machines) -> Option<HttpResponse> {
    let unavailable = machines.cloud_is_unavailable();
    unavailable.then(|| HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"})))
}

async fn types(machines: Data) -> HttpResponse {
    if let Some(outage) = outage(&machines) {
        return outage;
    }
    let types = machines.types().to_vec();
    HttpResponse::Ok().json(TypeList { types })
}

async fn launch(machines: Data, rental: web::Json<LaunchRequest>) -> HttpResponse {
    if let Some(outage) = outage(&machines) {
        return outage;
    }
    match machines.launch(&rental) {
        Ok(machines) => HttpResponse::Ok().json(MachineNames { machines }),
        Err(LaunchRefusal::NoSuchType) => {
            HttpResponse::BadRequest().json(json!({"error": "no such type"}))
        }
        Err(LaunchRefusal::NoCapacity) => {
            HttpResponse::ServiceUnavailable().json(json!({"error": "no capacity"}))
        }
    }
}

async fn terminate(machines: Data, names: web::Json<MachineNames>) -> HttpResponse {
    if let Some(outage) = outage(&machines) {
        return outage;
    }
    machines.terminate(&names.machines);
    HttpResponse::Ok().json(json!({}))
}

#[derive(Deserialize)]
struct Range {
    /// The last name on the previous page.
    since: Option<String>,
    limit: Option<usize>,
}

async fn list(machines: Data, range: web::Query<Range>) -> HttpResponse {
    if let Some(outage) = outage(&machines) {
        return outage;
    }
    let mut listed = machines.list(range.since.as_deref());
    let page_size = range.limit.unwrap_or(MAX_PAGE).min(MAX_PAGE);
    let more = listed.len() > page_size;
    listed.truncate(page_size);
    HttpResponse::Ok().json(ListPage {
        machines: listed,
        more,
    })
}
