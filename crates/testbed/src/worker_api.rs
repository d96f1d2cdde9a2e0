//! The HTTP interface of the workers for direct calls. One server listens at the addresses of all
//! machines. The address at which a call arrives identifies its machine.

use crate::machines::{DirectCall, Machines};
use crate::server::LocalAddr;
use actix_web::{web, HttpRequest, HttpResponse};
use foxspur_wire::worker::DirectCommands;
use std::time::Duration;

/// How often a call to a hanging machine is tried again.
const HANG_POLL: Duration = Duration::from_millis(20);
/// How long a call to an unreachable machine stays unanswered: longer than any caller waits.
const UNREACHABLE_SILENCE: Duration = Duration::from_secs(10);

/// The workers' routes.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config.route("/commands", web::post().to(commands));
}

async fn commands(
    machines: web::Data<Machines>,
    request: HttpRequest,
    direct: web::Json<DirectCommands>,
) -> HttpResponse {
    let Some(LocalAddr(addr)) = request.conn_data::<LocalAddr>().copied() else {
        return HttpResponse::InternalServerError().finish();
    };
    machines.maybe_duplicate_call(addr, &direct);
    loop {
        match machines.direct_call(addr, &direct) {
            DirectCall::Executed(report) => return HttpResponse::Ok().json(report),
            DirectCall::Rejected(report) => return HttpResponse::Conflict().json(report),
            // The call is executed once the machine resumes, if token and session are still valid.
            DirectCall::Hanging => actix_web::rt::time::sleep(HANG_POLL).await,
            DirectCall::Unreachable => {
                actix_web::rt::time::sleep(UNREACHABLE_SILENCE).await;
                return HttpResponse::ServiceUnavailable().finish();
            }
        }
    }
}
