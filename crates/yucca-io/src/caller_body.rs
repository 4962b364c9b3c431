//! Bodies in the host's memory, and reading the body of a caller's request within its own limit.

use std::hash::{Hash, Hasher};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Duration, timeout};
use yuccacove::code::Code;
use yuccacove::memory_budget::Purpose;

use crate::body_buffer::BodyBuffer;
use crate::caller_connections::{CallerConnection, refusal_code};
use crate::memory::Memory;

/// Longest time for which the rest of a refused body is read, so that its caller gets the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A complete body. Its memory stays reserved as long as any of its bytes are referred to, also by a
/// backend connection that has not sent them yet.
#[derive(Debug, Clone, Default)]
pub struct CallerBody {
    segments: Vec<Bytes>,
}

impl CallerBody {
    /// Returns a body of `len` zero bytes. Its segments share one static array.
    pub fn zeroed(len: usize) -> Self {
        static ZEROS: [u8; 16 * 1_024] = [0; 16 * 1_024];
        let mut segments = vec![Bytes::from_static(&ZEROS); len / ZEROS.len()];
        segments.push(Bytes::from_static(&ZEROS[..len % ZEROS.len()]));
        Self { segments }
    }

    /// Returns the parts of the body in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// Returns the bytes in one piece, which is a copy if there are several segments.
    pub fn contiguous(&self) -> Bytes {
        match self.segments.as_slice() {
            [] => Bytes::new(),
            [segment] => segment.clone(),
            segments => segments.concat().into(),
        }
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Two bodies with the same bytes have the same hash, whatever their segments are.
impl Hash for CallerBody {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_usize(self.len());
        for segment in &self.segments {
            state.write(segment);
        }
    }
}

impl From<BodyBuffer> for CallerBody {
    fn from(buffer: BodyBuffer) -> Self {
        Self {
            segments: buffer.finish(),
        }
    }
}

impl From<Bytes> for CallerBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            segments: vec![bytes],
        }
    }
}

/// Reads a body of at most `max_bytes`, of which the caller has declared `declared_bytes`, if any.
///
/// # Errors
///
/// [`Code::BodyTooLarge`] if it is longer, [`Code::Overloaded`] if the host's memory is in use,
/// [`Code::BodyTimeout`] if it makes no progress, and [`Code::BadRequest`] if it breaks off or is
/// malformed.
pub async fn read<B>(
    mut body: B,
    declared_bytes: Option<usize>,
    max_bytes: usize,
    memory: &Memory,
    caller: &CallerConnection,
) -> Result<CallerBody, Code>
where
    B: Body<Data = Bytes> + Unpin,
{
    if declared_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(Code::BodyTooLarge);
    }
    let guard = memory.guard(Purpose::Request);
    let mut buffer = BodyBuffer::new(guard, declared_bytes, max_bytes);
    // Memory is reserved segment by segment, so that callers who announce a body and do not send it keep
    // nobody out.
    let fits = || memory.has_room(Purpose::Request, declared_bytes.unwrap_or(0));
    if !caller.reserve_body(fits).await {
        discard(&mut body, max_bytes).await;
        return Err(Code::Overloaded);
    }
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            reason = caller.closing() => return Err(refusal_code(reason)),
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame.map_err(|_| Code::BadRequest)?.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(Code::BodyTooLarge);
        }
        if !caller.reserve_body(|| buffer.try_reserve(data.len())).await {
            drop(buffer);
            discard(&mut body, max_bytes).await;
            return Err(Code::Overloaded);
        }
        // There is room for it.
        let _ = buffer.try_push(&data);
        caller.set_held(buffer.capacity());
    }
    Ok(buffer.into())
}

/// Reads and discards the rest of a body of at most `max_bytes`.
async fn discard<B>(body: &mut B, max_bytes: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let discard = async {
        let mut discarded_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > max_bytes {
                return;
            }
        }
    };
    // The request is refused, whether its caller gets to know of it or not.
    let _ = timeout(DISCARD_TIMEOUT, discard).await;
}
