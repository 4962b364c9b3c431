//! A small HTTP/1.1 server and client on loopback sockets, for the stand-ins of the review.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A request as a stand-in received it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What a stand-in does with a request.
#[derive(Debug)]
pub enum Answer {
    /// Sends these bytes and keeps the connection.
    Bytes(Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

/// Returns the bytes of an answer with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> Answer {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    Answer::Bytes([head.as_bytes(), body.as_bytes()].concat())
}

/// Serves requests on a free loopback port until `is_gone`: then the port closes, and after it all
/// connections, as those of a process that exits.
pub fn serve_until(
    is_gone: Arc<AtomicBool>,
    handle: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("an option");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        let mut streams: Vec<TcpStream> = Vec::new();
        while !is_gone.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (Ok(()), Ok(kept)) = (stream.set_nonblocking(false), stream.try_clone()) else { continue };
            streams.push(kept);
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
        drop(listener);
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    address
}

/// Serves requests on a free loopback port, one thread for each connection.
pub fn serve(handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handle(&request) {
            Answer::Bytes(bytes) => {
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Answer::Close => return,
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}

/// Reads lines up to an empty one; names are in lower case.
fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let length = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; length];
            reader.read_exact(&mut chunk).ok()?;
            read_line(reader)?;
            if length == 0 {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = find(headers, "content-length").unwrap_or("0").parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next()?.to_owned();
    let path = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request { method, path, headers, body })
}

/// A complete answer as a client received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub status: u16,
}

/// Sends a request on a new connection; `None` if there is no complete answer.
pub fn call(to: SocketAddr, text: &str, limit: Duration) -> Option<Received> {
    let (status, body) = call_with_body(to, text, limit)?;
    body.map(|_| Received { status })
}

/// Sends a request on a new connection. Returns the status and the body, which is `None` if it is not
/// complete; `None` if there is no head.
pub fn call_with_body(to: SocketAddr, text: &str, limit: Duration) -> Option<(u16, Option<Vec<u8>>)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    Some((status, read_body(&mut reader, &headers)))
}
