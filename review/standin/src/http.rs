//! A small HTTP/1.1 reader, and a client that uses a connection for each request.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Head of a message, with names of headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection or if it is none.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.first.is_empty() {
            if line.is_empty() {
                continue;
            }
            head.first = line;
        } else if line.is_empty() {
            return Some(head);
        } else {
            let (name, value) = line.split_once(':')?;
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its framing. Returns what came, and whether it was complete.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return (body, false);
            };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if length == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = head.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    let complete = reader.read_exact(&mut body).is_ok();
    (body, complete)
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a head.
    pub status: u16,
    pub body: Vec<u8>,
    pub complete: bool,
}

/// Sends a request on a connection of its own and reads the answer, for at most `limit`.
pub fn send(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    exchange(address, method, path, headers, body, limit).unwrap_or_default()
}

fn exchange(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Answer> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(limit.saturating_sub(started.elapsed()).max(Duration::from_millis(1))))
        .ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "host") {
        request.push_str("host: test\r\n");
    }
    for (name, value) in headers {
        request.extend([name, ": ", value, "\r\n"]);
    }
    request.push_str("\r\n");
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let (body, complete) = read_body(&mut reader, &head);
    Some(Answer { status: head.status(), body, complete })
}
