//! HTTP/1.1 as the stand-ins need it.

use std::io::{BufRead, BufReader, Read, Write};

/// A request, or the head of a response (then `line` is its status line).
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1).unwrap_or("");
        code.parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection or after an error.
pub fn read_head(reader: &mut BufReader<impl Read>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body: empty at its end, `None` if it breaks off.
pub fn read_chunk(reader: &mut BufReader<impl Read>) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut bytes = vec![0; length + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(length);
    Some(bytes)
}

/// Reads a message with a body that has a length or comes in chunks; `None` if it breaks off.
pub fn read_message(reader: &mut BufReader<impl Read>) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a response with a length.
pub fn respond(stream: &mut impl Write, status: &str, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}
