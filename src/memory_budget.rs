//! Limits the memory that a host uses for bodies of requests and responses, and for connections.
//!
//! A body has a limit of its own, but many callers at once, or a faulty backend that sends bytes
//! without end on all of its connections, exceed the memory of a host together. What counts is what is
//! allocated: memory is reserved before, and not as bytes arrive.
//!
//! ```
//! use yuccacove::memory_budget::{MemoryBudget, Purpose};
//!
//! let mut budget = MemoryBudget::new(16_000);
//! assert!(budget.try_reserve(Purpose::Request, 7_000));
//! // Requests leave room for the responses to them.
//! assert!(!budget.try_reserve(Purpose::Request, 500));
//! assert!(budget.try_reserve(Purpose::Response, 1_000));
//! budget.release(Purpose::Request, 7_000);
//! assert_eq!(budget.used_bytes(), 1_000);
//! ```

/// Share of the process's memory, as a divisor, that bodies may use.
const BODY_SHARE_DIVISOR: usize = 2;
/// Share of the bodies' memory, as a divisor, that requests leave to responses.
const RESPONSE_SHARE_DIVISOR: usize = 8;
/// Share of the bodies' memory, as a divisor, that responses leave to requests. Answers without end would
/// else take the room for the small bodies of ordinary requests.
const REQUEST_SHARE_DIVISOR: usize = 16;
/// Share of the process's memory, in eighths, that connections may use.
const CONNECTION_SHARE_EIGHTHS: usize = 3;
/// Share of the process's memory, in eighths, that bodies and connections may use together. The rest is
/// for the program, its state, and what the allocator does not return at once.
const TOTAL_SHARE_EIGHTHS: usize = 5;

/// Share of the process's memory, in sixteenths, that its resident memory may reach before less may be
/// reserved.
const RESIDENT_SHARE_SIXTEENTHS: usize = 15;
/// Share of that, as a divisor, that may be reserved in any case. Ordinary callers would
/// else not be served as long as the allocator keeps memory that it could use again.
const MIN_TOTAL_SHARE_DIVISOR: usize = 4;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// The body of a caller's request.
    Request,
    /// The body of a backend's response.
    Response,
    /// Buffers and state of a caller's connection, and of the request that it carries.
    Connection,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 3] = [Self::Request, Self::Response, Self::Connection];

    /// The name in snake case, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
            Self::Connection => "connection",
        }
    }
}

/// Memory of a host for bodies and connections, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    body_capacity_bytes: usize,
    connection_capacity_bytes: usize,
    total_capacity_bytes: usize,
    /// Bytes that the resident memory may reach.
    resident_limit_bytes: usize,
    /// Resident memory beyond what was reserved.
    unreserved_bytes: usize,
    request_bytes: usize,
    response_bytes: usize,
    connection_bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `process_bytes` in all.
    pub fn new(process_bytes: usize) -> Self {
        let eighth_bytes = process_bytes / 8;
        Self {
            body_capacity_bytes: process_bytes / BODY_SHARE_DIVISOR,
            connection_capacity_bytes: eighth_bytes * CONNECTION_SHARE_EIGHTHS,
            total_capacity_bytes: eighth_bytes * TOTAL_SHARE_EIGHTHS,
            resident_limit_bytes: process_bytes / 16 * RESIDENT_SHARE_SIXTEENTHS,
            unreserved_bytes: 0,
            request_bytes: 0,
            response_bytes: 0,
            connection_bytes: 0,
        }
    }

    /// Returns how much memory is in use.
    pub fn used_bytes(&self) -> usize {
        self.request_bytes + self.response_bytes + self.connection_bytes
    }

    /// Returns how much memory is in use for a purpose.
    pub fn used_for(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Request => self.request_bytes,
            Purpose::Response => self.response_bytes,
            Purpose::Connection => self.connection_bytes,
        }
    }

    /// Records the resident memory of the process. What it has beyond the reserved memory is used by the
    /// program itself, kept by the allocator or not accounted for, and less may be reserved if it is much.
    pub fn record_resident(&mut self, resident_bytes: usize) {
        self.unreserved_bytes = resident_bytes.saturating_sub(self.used_bytes());
    }

    /// Returns the resident memory beyond the reserved memory, when it was last recorded.
    pub fn unreserved_bytes(&self) -> usize {
        self.unreserved_bytes
    }

    /// Returns how much memory may be reserved for all purposes together.
    pub fn total_capacity_bytes(&self) -> usize {
        let left_bytes = self
            .resident_limit_bytes
            .saturating_sub(self.unreserved_bytes);
        let min_bytes = self.resident_limit_bytes / MIN_TOTAL_SHARE_DIVISOR;
        left_bytes.max(min_bytes).min(self.total_capacity_bytes)
    }

    /// Whether `bytes` more could be reserved now.
    pub fn has_room(&self, purpose: Purpose, bytes: usize) -> bool {
        let fits = |used_bytes: usize, limit_bytes| used_bytes.saturating_add(bytes) <= limit_bytes;
        let body_bytes = self.request_bytes + self.response_bytes;
        let fits_purpose = match purpose {
            Purpose::Request => {
                let left_to_responses = self.body_capacity_bytes / RESPONSE_SHARE_DIVISOR;
                let limit_bytes = self.body_capacity_bytes - left_to_responses;
                fits(self.request_bytes, limit_bytes) && fits(body_bytes, self.body_capacity_bytes)
            }
            Purpose::Response => {
                let left_to_requests = self.body_capacity_bytes / REQUEST_SHARE_DIVISOR;
                let limit_bytes = self.body_capacity_bytes - left_to_requests;
                fits(self.response_bytes, limit_bytes) && fits(body_bytes, self.body_capacity_bytes)
            }
            Purpose::Connection => fits(self.connection_bytes, self.connection_capacity_bytes),
        };
        fits_purpose && fits(self.used_bytes(), self.total_capacity_bytes())
    }

    /// Reserves memory. Returns `false`, and reserves none, if there is not enough.
    pub fn try_reserve(&mut self, purpose: Purpose, bytes: usize) -> bool {
        let has_room = self.has_room(purpose, bytes);
        if has_room {
            *self.used(purpose) += bytes;
        }
        has_room
    }

    /// Releases memory that was reserved for the same purpose.
    pub fn release(&mut self, purpose: Purpose, bytes: usize) {
        let used = self.used(purpose);
        *used = used.saturating_sub(bytes);
    }

    fn used(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::Request => &mut self.request_bytes,
            Purpose::Response => &mut self.response_bytes,
            Purpose::Connection => &mut self.connection_bytes,
        }
    }
}
