//! Memory for a chat request beside its body: what it takes decoded and encoded for an engine, and the
//! text of its response.

use yucca_io::caller_body::CallerBody;
use yucca_io::memory::MemoryGuard;
use yuccacove::code::Code;
use yuccacove::memory_budget::Purpose;

use crate::host::Host;
use crate::problem::Problem;

/// Copies of the text of a body while it is decoded and sent: its values twice, the prompt, and the text
/// for the engine.
const TEXT_COPIES: usize = 4;
/// Copies of the values of a body.
const VALUE_COPIES: usize = 2;
/// Memory assumed for each JSON value; brackets, commas and colons are counted to bound their number. A value
/// takes 32 bytes; array growth and object keys take the rest.
const VALUE_BYTES: usize = 64;
/// Step in which the memory for the text of a response is reserved.
const RESPONSE_STEP_BYTES: usize = 4 * 1_024;
/// Copies of the text of a response: one for another attempt, and one on the way to the caller.
const RESPONSE_COPIES: usize = 2;

/// Reserves the memory to decode and send `body`.
///
/// # Errors
///
/// [`Code::Overloaded`].
pub async fn reserve(host: &Host, body: &CallerBody) -> Result<MemoryGuard, Problem> {
    let values = count_values(body.segments());
    let bytes = body.len() * TEXT_COPIES + values * VALUE_BYTES * VALUE_COPIES;
    let mut memory = host.memory.guard(Purpose::Request);
    if host.connections.reserve_body(|| memory.grow(bytes)).await {
        return Ok(memory);
    }
    let detail = "the host's memory is in use";
    Err(Problem::new(Code::Overloaded, detail))
}

/// Returns an upper bound of the number of JSON values in a text.
///
/// ```
/// use yucca_entry::chat_memory::count_values;
///
/// assert_eq!(count_values(&[r#"[1, 2, {"a": "#, r#""commas, and \", in strings"}]"#]), 6);
/// ```
pub fn count_values<S: AsRef<[u8]>>(segments: &[S]) -> usize {
    let mut count = 1;
    let mut is_string = false;
    let mut is_escaped = false;
    for byte in segments.iter().flat_map(AsRef::as_ref) {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = is_string,
            b'"' => is_string = !is_string,
            b'[' | b'{' | b',' | b':' if !is_string => count += 1,
            _ => {}
        }
    }
    count
}

/// Memory for the text of a response.
#[derive(Debug)]
pub struct ResponseMemory {
    guard: MemoryGuard,
    reserved_bytes: usize,
    used_bytes: usize,
}

impl ResponseMemory {
    /// Creates the memory of an empty text.
    pub fn new(host: &Host) -> Self {
        Self {
            guard: host.memory.guard(Purpose::Response),
            reserved_bytes: 0,
            used_bytes: 0,
        }
    }

    /// Reserves the memory of `bytes` more of the text. Returns `false` if there is not enough.
    pub async fn reserve(&mut self, host: &Host, bytes: usize) -> bool {
        self.used_bytes += bytes * RESPONSE_COPIES;
        let missing = self.used_bytes.saturating_sub(self.reserved_bytes);
        if missing == 0 {
            return true;
        }
        let step = missing.max(RESPONSE_STEP_BYTES);
        let guard = &mut self.guard;
        let is_reserved = host.connections.reserve_body(|| guard.grow(step)).await;
        if is_reserved {
            self.reserved_bytes += step;
        }
        is_reserved
    }
}
