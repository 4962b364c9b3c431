//! Memory for bodies and connections, which is reserved before it is allocated.
//!
//! [`yuccacove::memory_budget`] decides; this module holds what was reserved.

use std::cell::RefCell;
use std::rc::Rc;

use yuccacove::memory_budget::{MemoryBudget, Purpose};

/// Memory of a host for bodies and connections. Clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    budget: Rc<RefCell<MemoryBudget>>,
}

impl Memory {
    /// Creates the memory of a process that may use `process_bytes` in all.
    pub fn new(process_bytes: usize) -> Self {
        Self {
            budget: Rc::new(RefCell::new(MemoryBudget::new(process_bytes))),
        }
    }

    /// Returns how many bytes are in use.
    pub fn used_bytes(&self) -> usize {
        self.budget.borrow().used_bytes()
    }

    /// Returns how many bytes are in use for a purpose.
    pub fn used_for(&self, purpose: Purpose) -> usize {
        self.budget.borrow().used_for(purpose)
    }

    /// Whether `bytes` more could be reserved now.
    pub fn has_room(&self, purpose: Purpose, bytes: usize) -> bool {
        self.budget.borrow().has_room(purpose, bytes)
    }

    /// Returns a guard that holds no memory yet.
    pub fn guard(&self, purpose: Purpose) -> MemoryGuard {
        MemoryGuard {
            memory: self.clone(),
            purpose,
            bytes: 0,
        }
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
    /// Reserves `bytes` more. Returns `false`, and reserves none, if there is not enough memory.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let mut budget = self.memory.budget.borrow_mut();
        let is_reserved = budget.try_reserve(self.purpose, bytes);
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
        let mut budget = self.memory.budget.borrow_mut();
        budget.release(self.purpose, self.bytes - bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        let mut budget = self.memory.budget.borrow_mut();
        budget.release(self.purpose, self.bytes);
    }
}
