//! Limits the memory that a host uses for bodies of requests and responses.
//!
//! A body has a limit of its own, but many callers at once, or a faulty backend that sends bytes
//! without end on all of its connections, exceed the memory of a host together.
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

/// Share of the process's memory, as a divisor, that bodies may use. The rest is for the program, its
/// state, the buffers of connections, and what the allocator does not return at once.
const BODY_SHARE_DIVISOR: usize = 2;
/// Share of the bodies' memory, as a divisor, that requests leave to responses.
const RESPONSE_SHARE_DIVISOR: usize = 8;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The body of a caller's request.
    Request,
    /// The body of a backend's response.
    Response,
}

/// Memory of a host for bodies, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity_bytes: usize,
    request_bytes: usize,
    response_bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `process_bytes` in all.
    pub fn new(process_bytes: usize) -> Self {
        Self {
            capacity_bytes: process_bytes / BODY_SHARE_DIVISOR,
            request_bytes: 0,
            response_bytes: 0,
        }
    }

    /// Returns how much memory is in use.
    pub fn used_bytes(&self) -> usize {
        self.request_bytes + self.response_bytes
    }

    /// Whether `bytes` more could be reserved now.
    pub fn has_room(&self, purpose: Purpose, bytes: usize) -> bool {
        let used_bytes = self.used_bytes().saturating_add(bytes);
        let fits_requests = match purpose {
            Purpose::Request => {
                let left_to_responses = self.capacity_bytes / RESPONSE_SHARE_DIVISOR;
                let limit_bytes = self.capacity_bytes - left_to_responses;
                self.request_bytes.saturating_add(bytes) <= limit_bytes
            }
            Purpose::Response => true,
        };
        fits_requests && used_bytes <= self.capacity_bytes
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
        }
    }
}
