//! Accepts connections and serves them on the current thread. The server of `actix-web` would
//! start one thread that accepts connections and another that serves them. A controller may
//! have only a tenth of a CPU, and then each hand-over between threads is costly. Therefore a
//! loop in this module accepts connections and passes them to the HTTP service of `actix-web`.

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

/// Idle timeout of connections that are used only occasionally.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum time to wait for the head of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that closing a connection may take.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Binds a non-blocking listener.
fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Waits for the next connection. A failure to accept is logged and retried.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed; retrying");
                actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Starts to serve `app` at `addr`, and returns once the server is listening. The server runs until
/// the process ends.
///
/// `open_connections` counts the open connections. While `max_connections` connections are open,
/// each new connection is closed at once, so that enough sockets remain for the controller's own
/// calls. A connection without traffic for `idle_timeout` is closed, because the other side is
/// assumed to be gone.
///
/// # Errors
/// The address cannot be bound, or the HTTP service did not start.
pub async fn serve<T, B>(
    app: App<T>,
    addr: SocketAddr,
    max_connections: usize,
    open_connections: Rc<Cell<usize>>,
    idle_timeout: Duration,
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
        .keep_alive(KeepAlive::Timeout(idle_timeout))
        .client_request_timeout(REQUEST_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1(map_config(
            app.into_factory().map_err(|error: Error| error),
            move |_| config.clone(),
        ))
        .tcp();
    let service = Rc::new(
        factory
            .new_service(())
            .await
            .map_err(|_| std::io::Error::other("the HTTP service did not start"))?,
    );
    actix_rt::spawn(serve_connections(
        listener,
        service,
        max_connections,
        open_connections,
    ));
    Ok(())
}

/// Accepts connections forever, and serves each in its own task.
async fn serve_connections<S>(
    listener: TcpListener,
    service: Rc<S>,
    max_connections: usize,
    open_connections: Rc<Cell<usize>>,
) where
    S: Service<TcpStream> + 'static,
{
    loop {
        let stream = accept(&listener).await;
        if open_connections.get() >= max_connections {
            // Dropping the stream closes the connection.
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (service, open_connections) = (service.clone(), open_connections.clone());
        actix_rt::spawn(async move {
            let _ = service.call(stream).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}
