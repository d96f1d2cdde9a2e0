//! Listeners and HTTP servers on loopback.

use actix_web::rt::net::TcpStream;
use actix_web::{web, App, HttpServer};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// The local address at which a connection was accepted. Stored with each connection.
#[derive(Clone, Copy)]
pub(crate) struct LocalAddr(pub SocketAddr);

/// A loopback address that only this testbed uses, or 127.0.0.1 where the system has no other.
/// With a shared address, a testbed can bind the port of a controller that another testbed has
/// just killed. In two tests that shared a port this way, controllers of one test wrote to the
/// state service of the other.
pub(crate) fn own_loopback_address() -> Ipv4Addr {
    static NEXT_TESTBED_NUMBER: AtomicU8 = AtomicU8::new(1);
    let testbed_number = NEXT_TESTBED_NUMBER.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, high | 1, low, testbed_number.max(1));
    match TcpListener::bind((own, 0)) {
        Ok(_) => own,
        Err(_) => Ipv4Addr::LOCALHOST,
    }
}

/// Opens a listener on a free port of the address.
pub(crate) fn listen_on(address: Ipv4Addr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind((address, 0))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Starts an HTTP server on this thread's runtime. The server stops when the runtime ends.
pub(crate) fn serve<T: Send + Sync + 'static>(
    state: T,
    routes: fn(&mut web::ServiceConfig),
    listeners: Vec<TcpListener>,
) -> std::io::Result<()> {
    let state = web::Data::new(state);
    let app = move || App::new().app_data(state.clone()).configure(routes);
    let mut server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .on_connect(|connection, data| {
            let stream = connection.downcast_ref::<TcpStream>();
            if let Some(addr) = stream.and_then(|s| s.local_addr().ok()) {
                data.insert(LocalAddr(addr));
            }
        });
    for listener in listeners {
        server = server.listen(listener)?;
    }
    actix_web::rt::spawn(server.run());
    Ok(())
}
