//! Incremental parser of server-sent events; chunks may split events at any byte.

/// Longest accepted event; a longer one fails the stream.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Buffers bytes until complete events are present.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that contain no end of an event.
    scanned: usize,
}

/// An event or comment longer than 1 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl SseParser {
    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether there are no buffered bytes.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] when the bytes since the last complete event exceed the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the `data` of the next complete event, or `None` until more bytes arrive.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let block = self.next_block()?;
            let data: Vec<&str> = block
                .lines()
                .filter_map(|line| line.strip_prefix("data:"))
                .map(|data| data.strip_prefix(' ').unwrap_or(data))
                .collect();
            if !data.is_empty() {
                return Some(data.join("\n"));
            }
        }
    }

    fn next_block(&mut self) -> Option<String> {
        let Some(end) = self.end_of_block() else {
            // The buffer may end with all but the last byte of a separator.
            self.scanned = self.buffer.len().saturating_sub(2);
            return None;
        };
        self.scanned = 0;
        let block: Vec<u8> = self.buffer.drain(..end).collect();
        Some(String::from_utf8_lossy(&block).into_owned())
    }

    /// Position after the first empty line.
    fn end_of_block(&self) -> Option<usize> {
        let mut from = self.scanned;
        loop {
            let rest = self.buffer.get(from..)?;
            from += rest.iter().position(|byte| *byte == b'\n')? + 1;
            match self.buffer.get(from..)? {
                [b'\n', ..] => return Some(from + 1),
                [b'\r', b'\n', ..] => return Some(from + 2),
                _ => {}
            }
        }
    }
}
