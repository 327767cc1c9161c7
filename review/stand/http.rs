//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client with a connection for
//! each request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn arg(&self, name: &str) -> &str {
        self.query.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }
}

/// A status and a body; `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves `handler` on a free port of loopback until the process ends.
pub fn serve(handler: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    let _ = serve_connection(stream, &*handler);
                })
                .ok();
        }
    });
    addr
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("").to_string();
        let mut length = 0;
        let mut close = false;
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? == 0 {
                return Ok(());
            }
            let header = header.trim_end();
            if header.is_empty() {
                break;
            }
            if let Some((name, value)) = header.split_once(':') {
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
                if name.eq_ignore_ascii_case("connection") && value.trim().eq_ignore_ascii_case("close") {
                    close = true;
                }
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_string(),
            query: query.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let Some((status, text)) = handler(&request) else { return Ok(()) };
        let reply = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        writer.write_all(reply.as_bytes())?;
        if close {
            return Ok(());
        }
    }
}

/// Sends one request; `None` without a complete response in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes()).ok()?;
    writer.write_all(body.as_bytes()).ok()?;
    let mut response = Vec::new();
    let mut stream = stream;
    let mut buffer = [0; 16384];
    loop {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
            Err(_) => return None,
        }
        if let Some(answer) = complete(&response) {
            return Some(answer);
        }
    }
    complete(&response)
}

fn complete(response: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(response);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let length: usize = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok()).flatten()
    })?;
    (body.len() >= length).then(|| (status, body[..length].to_string()))
}
