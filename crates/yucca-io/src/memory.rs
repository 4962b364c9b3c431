//! Memory for bodies and connections, which is reserved before it is allocated.
//!
//! [`yuccacove::memory_budget`] decides; this module holds what was reserved.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use yuccacove::memory_budget::{MemoryBudget, Purpose};

/// Memory of a host for bodies and connections. Clones share it, also between threads, because the
/// bytes of a body may be released by any of them.
#[derive(Debug, Clone)]
pub struct Memory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: Mutex<MemoryBudget>,
    released: Notify,
}

impl Memory {
    /// Creates the memory of a process that may use `process_bytes` in all.
    pub fn new(process_bytes: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                budget: Mutex::new(MemoryBudget::new(process_bytes)),
                released: Notify::new(),
            }),
        }
    }

    /// Returns how many bytes are in use.
    pub fn used_bytes(&self) -> usize {
        self.lock().used_bytes()
    }

    /// Returns how many bytes are in use for a purpose.
    pub fn used_for(&self, purpose: Purpose) -> usize {
        self.lock().used_for(purpose)
    }

    /// Whether `bytes` more could be reserved now.
    pub fn has_room(&self, purpose: Purpose, bytes: usize) -> bool {
        self.lock().has_room(purpose, bytes)
    }

    /// Records the resident memory of the process.
    pub fn record_resident(&self, resident_bytes: usize) {
        self.lock().record_resident(resident_bytes);
    }

    /// Returns the resident memory of the process beyond what was reserved, when it was last recorded.
    pub fn unreserved_bytes(&self) -> usize {
        self.lock().unreserved_bytes()
    }

    /// Returns a guard that holds no memory yet.
    pub fn guard(&self, purpose: Purpose) -> MemoryGuard {
        MemoryGuard {
            memory: self.clone(),
            purpose,
            bytes: 0,
        }
    }

    /// Returns a future that ends when memory is released after this call.
    pub fn released(&self) -> Notified<'_> {
        self.shared.released.notified()
    }

    /// Locks the budget; the guard must be held only briefly.
    fn lock(&self) -> MutexGuard<'_, MemoryBudget> {
        let budget = self.shared.budget.lock();
        budget.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved memory; dropping it releases the memory.
#[derive(Debug)]
pub struct MemoryGuard {
    memory: Memory,
    purpose: Purpose,
    bytes: usize,
}

impl MemoryGuard {
    /// Returns a guard for the same purpose that holds no memory yet.
    pub fn empty(&self) -> Self {
        self.memory.guard(self.purpose)
    }

    /// Reserves `bytes` more. Returns `false`, and reserves none, if there is not enough memory.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let is_reserved = self.memory.lock().try_reserve(self.purpose, bytes);
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
    }

    /// Changes the size of the reserved memory. Returns `false`, and changes nothing, if there is not
    /// enough memory.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.release(self.bytes - bytes);
        true
    }

    fn release(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.memory.lock().release(self.purpose, bytes);
        self.bytes -= bytes;
        self.memory.shared.released.notify_waiters();
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
