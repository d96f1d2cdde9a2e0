//! HTTP/1.1 on loopback: a server with a thread per connection, and a client with a time-out.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The protocol's limit for a request body and for a line of a response, in bytes.
pub const LIMIT: usize = 64 * 1024;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
    /// Size of the body. The handler decides what becomes of a body above the limit.
    pub size: usize,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Listens on a free port of a loopback address of this run's own, so that runs side by side can't
/// take each other's ports.
pub fn listen() -> (TcpListener, SocketAddr) {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 64 + a % 64, b, c);
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || connection(stream, &handler));
        }
    });
}

fn connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let mut length = 0;
        let mut close = false;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).ok()?;
            let header = header.trim().to_ascii_lowercase();
            if header.is_empty() {
                break;
            }
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
            close |= header == "connection: close";
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.to_string(),
            query: query.to_string(),
            body: String::from_utf8_lossy(&body).into_owned(),
            size: length,
        };
        let Reply::Answer(status, text) = handler(&request) else {
            return None;
        };
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            text.len()
        );
        writer.write_all(format!("{head}{text}").as_bytes()).ok()?;
        if close {
            return None;
        }
    }
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// One call over a connection of its own. `None`: no connection or no whole answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout_s: f64,
) -> Option<Answer> {
    let deadline = Instant::now() + Duration::from_secs_f64(timeout_s);
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs_f64(timeout_s)).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream
        .set_write_timeout(Some(Duration::from_secs_f64(timeout_s)))
        .ok()?;
    // A server may answer and close before it has read a body that is too large.
    let _ = stream.write_all(format!("{head}{body}").as_bytes());
    let mut data = Vec::new();
    let mut buffer = [0; 65536];
    loop {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => data.extend_from_slice(&buffer[..count]),
            Err(_) => break,
        }
        if let Some(answer) = whole_answer(&data) {
            return Some(answer);
        }
    }
    whole_answer(&data)
}

fn whole_answer(data: &[u8]) -> Option<Answer> {
    let end = data.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&data[..end]).to_ascii_lowercase();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .map_or(Some(0), |value| value.trim().parse().ok())?;
    let body = data.get(end + 4..end + 4 + length)?;
    Some(Answer {
        status,
        body: String::from_utf8_lossy(body).into_owned(),
    })
}
