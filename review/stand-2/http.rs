//! HTTP/1.1 over blocking sockets: a thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == key).map(|(_, v)| v.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

pub fn response(status: u16, body: impl Into<String>) -> Option<Response> {
    Some(Response { status, body: body.into() })
}

/// Listens on a free port of loopback. A handler that returns nothing has the connection closed unanswered.
pub fn serve(handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let addr = listener.local_addr().expect("no address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let serve = move || {
                let _ = connection(stream, &*handler);
            };
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(serve);
        }
    });
    addr
}

fn connection(stream: TcpStream, handler: &dyn Fn(Request) -> Option<Response>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some(head) = head(&mut reader)? else { return Ok(()) };
        let mut words = head[0].split(' ');
        let method = words.next().unwrap_or_default().to_string();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(k, v)| (k.to_string(), v.to_string())).collect();
        let path = path.to_string();
        let mut body = vec![0; length(&head)];
        reader.read_exact(&mut body)?;
        let Some(response) = handler(Request { method, path, query, body }) else { return Ok(()) };
        let Response { status, body } = response;
        let length = body.len();
        let mut text = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        );
        text.push_str(&body);
        writer.write_all(text.as_bytes())?;
    }
}

fn head(reader: &mut impl BufRead) -> std::io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            return Ok((!lines.is_empty()).then_some(lines));
        }
        lines.push(line);
    }
}

fn length(head: &[String]) -> usize {
    let lengths = head.iter().filter_map(|line| line.split_once(':'));
    let mut lengths = lengths.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths.next().and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0)
}

/// Sends one request on a connection of its own; none without a complete answer in time.
pub fn send(addr: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_secs(1))).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = head(&mut reader).ok()??;
    let status = head[0].split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length_of(&head)];
    reader.read_exact(&mut body).ok()?;
    Some(Response { status, body: String::from_utf8(body).ok()? })
}

fn length_of(head: &[String]) -> usize {
    length(head)
}
