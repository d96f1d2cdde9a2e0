//! HTTP/1.1 on blocking sockets: a server with one thread for each connection, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Status and body; none resets the connection without an answer.
pub type Reply = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A listener on a free port of a loopback address that depends on this process, so that two runs at
/// a time do not take each other's ports.
pub fn listen() -> TcpListener {
    let id = std::process::id();
    let (third, fourth) = (id / 250 % 250 + 1, id % 250 + 1);
    TcpListener::bind(format!("127.20.{third}.{fourth}:0")).expect("a free port")
}

pub fn addr(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener")
}

pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = answer_all(stream, &handler);
            });
        }
    });
}

fn bad(what: &str) -> std::io::Error {
    std::io::Error::other(what.to_string())
}

fn answer_all(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let method = words.next().ok_or_else(|| bad("method"))?.to_string();
        let target = words.next().ok_or_else(|| bad("target"))?.to_string();
        let head = read_head(&mut input)?;
        let body = read_body(&mut input, &head)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter(|pair| !pair.is_empty())
            .map(|pair| {
                let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
                (key.to_string(), value.to_string())
            });
        let request = Request {
            method,
            path: path.to_string(),
            query: query.collect(),
            body,
        };
        let Some((status, body)) = handler(request) else {
            return Ok(());
        };
        let close = head.close;
        let end = if close { "connection: close\r\n" } else { "" };
        let message = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n{end}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        out.write_all(message.as_bytes())?;
        if close {
            return Ok(());
        }
    }
}

#[derive(Default)]
struct Head {
    length: Option<usize>,
    chunked: bool,
    close: bool,
}

fn read_head(input: &mut impl BufRead) -> std::io::Result<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(bad("head cut off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(head);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        let value = value.trim().to_ascii_lowercase();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => head.length = value.parse().ok(),
            "transfer-encoding" => head.chunked = value.contains("chunked"),
            "connection" => head.close = value.contains("close"),
            _ => {}
        }
    }
}

fn read_body(input: &mut impl BufRead, head: &Head) -> std::io::Result<String> {
    let mut body = Vec::new();
    if head.chunked {
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("chunk"))?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend(&chunk[..size]);
        }
    } else if let Some(length) = head.length {
        body.resize(length, 0);
        input.read_exact(&mut body)?;
    }
    String::from_utf8(body).map_err(|_| bad("body is not UTF-8"))
}

/// A connection that stays open between calls.
pub struct Connection {
    addr: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn new(addr: SocketAddr) -> Connection {
        Connection { addr, stream: None }
    }

    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Sends a request and waits for the answer, at most for `timeout`. Closes the connection if
    /// there is none.
    pub fn call(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> Reply {
        let deadline = Instant::now() + timeout;
        let result = self.exchange(method, path, body, deadline).ok();
        if result.is_none() {
            self.stream = None;
        }
        result
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        deadline: Instant,
    ) -> std::io::Result<(u16, String)> {
        let left = || {
            let left = deadline.saturating_duration_since(Instant::now());
            left.max(Duration::from_millis(1))
        };
        let fresh = self.stream.is_none();
        if fresh {
            let stream = TcpStream::connect_timeout(&self.addr, left())?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let input = self.stream.as_mut().ok_or_else(|| bad("no stream"))?;
        input.get_ref().set_read_timeout(Some(left()))?;
        let message = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.addr,
            body.len()
        );
        input.get_mut().write_all(message.as_bytes())?;
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(bad("closed"));
        }
        let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or_else(|| bad("status"))?;
        let head = read_head(input)?;
        let body = read_body(input, &head)?;
        if head.close {
            self.stream = None;
        }
        Ok((status, body))
    }
}

/// One call over a connection of its own.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str, timeout_s: f64) -> Reply {
    Connection::new(addr).call(method, path, body, Duration::from_secs_f64(timeout_s))
}
