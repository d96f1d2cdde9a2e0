//! Accepts connections and serves them on this thread. `actix-web`'s own
//! server would start a thread for accepting and one for serving; on a tenth of
//! a scheduler each hand-over costs, so its HTTP service is fed by one loop here.

use actix_http::{HttpService, KeepAlive};
use actix_rt::net::TcpStream;
use actix_service::{map_config, IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, Error};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// For how long a connection that is used now and then is kept.
pub const IDLE: Duration = Duration::from_secs(120);

/// Serves `app` at `addr` until the process ends. Connections beyond
/// `max_connections` are closed at once, so that the sockets left over keep the
/// controller's own calls going; `open` counts those that are open. One on which nothing
/// came for `idle` is closed: the other side is gone.
pub async fn serve<T, B>(
    app: App<T>,
    addr: SocketAddr,
    max_connections: usize,
    open: Rc<Cell<usize>>,
    idle: Duration,
) -> std::io::Result<()>
where
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    T::Future: 'static,
    B: MessageBody + 'static,
{
    let std_listener = std::net::TcpListener::bind(addr)?;
    std_listener.set_nonblocking(true)?;
    let listener = actix_rt::net::TcpListener::from_std(std_listener)?;
    let config = AppConfig::default();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(Duration::from_secs(10))
        .client_disconnect_timeout(Duration::from_millis(500))
        .h1(map_config(
            app.into_factory().map_err(|e: Error| e),
            move |_| config.clone(),
        ))
        .tcp();
    let service = Rc::new(
        factory
            .new_service(())
            .await
            .map_err(|_| std::io::Error::other("the HTTP service did not start"))?,
    );
    actix_rt::spawn(async move {
        loop {
            let stream: TcpStream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!(error = %e, "accept failed");
                    actix_rt::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            if open.get() >= max_connections {
                drop(stream);
                continue;
            }
            open.set(open.get() + 1);
            let service = service.clone();
            let open = open.clone();
            actix_rt::spawn(async move {
                let _ = service.call(stream).await;
                open.set(open.get() - 1);
            });
        }
    });
    Ok(())
}
