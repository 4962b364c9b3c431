//! Just enough JSON: the raw value of a member of an object.

/// Returns the end of the value that begins at `start`.
fn value_end(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut in_text, mut at) = (0, false, start);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if in_text => at += 1,
            b'"' => in_text = !in_text,
            b'{' | b'[' if !in_text => depth += 1,
            b'}' | b']' if !in_text && depth > 0 => depth -= 1,
            b',' | b'}' | b']' if !in_text && depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

/// Returns the raw value of the member `name` of the object `text`.
pub fn field(text: &str, name: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        let key_start = at + text[at..].find('"')? + 1;
        let key_end = key_start + text[key_start..].find('"')?;
        let start = key_end + text[key_end..].find(':')? + 1;
        let end = value_end(bytes, start);
        if &text[key_start..key_end] == name {
            return Some(text[start..end].trim().to_owned());
        }
        if bytes.get(end) != Some(&b',') {
            return None;
        }
        at = end + 1;
    }
}

/// Returns the text of a JSON string without escapes.
pub fn text(raw: &str) -> String {
    raw.trim_matches('"').to_owned()
}
