//! The control API of the test cluster, for a load generator in another process.

use crate::machines::Machines;
use actix_web::{web, HttpResponse};
use foxspur_wire::job::JobSpec;
use serde_json::json;

type Data = web::Data<Machines>;

/// The routes that accept job descriptions and serve the history.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/jobs", web::post().to(upload))
        .route("/history", web::get().to(history));
}

/// Stores the description of a job.
async fn upload(machines: Data, spec: web::Json<JobSpec>) -> HttpResponse {
    let spec = spec.into_inner();
    machines.upload(spec.id.clone(), spec);
    HttpResponse::Ok().json(json!({}))
}

/// Returns the history so far as JSON lines.
async fn history(machines: Data) -> HttpResponse {
    let entries = machines.history().entries();
    let lines = entries.iter().filter_map(|e| serde_json::to_string(e).ok());
    let text: String = lines.map(|line| line + "\n").collect();
    HttpResponse::Ok()
        .content_type("application/jsonl")
        .body(text)
}
