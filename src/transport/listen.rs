//! Accepts connections and serves them on this thread. `actix-web`'s own
//! server would start a thread for accepting and one for serving; on a tenth of
//! a processor each hand-over costs, so its HTTP service is fed by one loop here.

use actix_http::{HttpService, KeepAlive};
use actix_rt::net::{TcpListener, TcpStream};
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
/// Bound on the time until the head of a request has come.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Bound on the time until a connection is closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A listener that does not block.
fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// The next connection.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves `app` at `addr` until the process ends. Connections beyond
/// `max_connections` are closed at once, so that the sockets left over keep the
/// controller's own calls going; `open` counts those that are open. One on which nothing
/// came for `idle` is closed: the other side is gone.
///
/// # Errors
/// The address cannot be bound, or the HTTP service did not start.
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
    let listener = bind(addr)?;
    let config = AppConfig::default();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(REQUEST_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
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
    actix_rt::spawn(serve_connections(listener, service, max_connections, open));
    Ok(())
}

/// Accepts connections for ever, and serves each in a task of its own.
async fn serve_connections<S>(
    listener: TcpListener,
    service: Rc<S>,
    max_connections: usize,
    open: Rc<Cell<usize>>,
) where
    S: Service<TcpStream> + 'static,
{
    loop {
        let stream = accept(&listener).await;
        if open.get() >= max_connections {
            // Dropped, which closes it.
            continue;
        }
        open.set(open.get() + 1);
        let (service, open) = (service.clone(), open.clone());
        actix_rt::spawn(async move {
            let _ = service.call(stream).await;
            open.set(open.get() - 1);
        });
    }
}
