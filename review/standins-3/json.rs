//! A small JSON reader and writer for the stand-ins.

/// A JSON value. Numbers keep their text.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (at, item) in items.iter().enumerate() {
                    if at > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Json::Table(fields) => {
                f.write_str("{")?;
                for (at, (key, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        f.write_str(",")?;
                    }
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

/// Parses a text; `None` if it is no JSON.
pub fn parse(text: &str) -> Option<Json> {
    let mut reader = Reader {
        bytes: text.as_bytes(),
        at: 0,
    };
    let value = reader.value()?;
    reader.space();
    (reader.at == reader.bytes.len()).then_some(value)
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        (!text.is_empty()).then(|| Json::Number(text.to_owned()))
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => {
                    out.push(other);
                    self.at += 1;
                }
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.space();
            match *self.bytes.get(self.at)? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(items));
                }
                b',' => self.at += 1,
                _ => items.push(self.value()?),
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            self.space();
            match *self.bytes.get(self.at)? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Table(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let key = self.string()?;
                    self.space();
                    self.take(":")?;
                    fields.push((key, self.value()?));
                }
            }
        }
    }
}
