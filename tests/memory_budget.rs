//! Tests of the memory for bodies and connections.

use yuccacove::memory_budget::{
    MemoryBudget,
    Purpose::{Connection, Request, Response},
};

/// Guards against bodies that exceed the memory of a host together, and against requests that leave no
/// room for the responses to them.
#[test]
fn try_reserve_within_capacity() {
    let mut budget = MemoryBudget::new(1_600);
    for (purpose, bytes, is_reserved, used_bytes) in [
        (Request, 600, true, 600),
        (Request, 101, false, 600),
        (Request, 100, true, 700),
        (Request, 1, false, 700),
        (Response, 100, true, 800),
        (Response, 1, false, 800),
        (Response, usize::MAX, false, 800),
        (Request, usize::MAX, false, 800),
    ] {
        assert_eq!(
            budget.try_reserve(purpose, bytes),
            is_reserved,
            "{purpose:?} {bytes}"
        );
        assert_eq!(budget.used_bytes(), used_bytes, "{purpose:?} {bytes}");
    }
    budget.release(Request, 700);
    // Responses leave a sixteenth of the 800 to requests.
    assert!(!budget.try_reserve(Response, 651));
    assert!(budget.try_reserve(Response, 650));
    assert!(!budget.try_reserve(Request, 51));
    assert!(budget.try_reserve(Request, 50));
    assert!(!budget.try_reserve(Response, 1));
    budget.release(Response, 750);
    budget.release(Request, 50);
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against connections and bodies that exceed the memory of a host together, and against
/// connections that leave no room for bodies.
#[test]
fn try_reserve_connections() {
    let mut budget = MemoryBudget::new(1_600);
    for (purpose, bytes, is_reserved) in [
        (Connection, 600, true),
        (Connection, 1, false),
        (Request, 400, true),
        (Response, 1, false),
        (Connection, usize::MAX, false),
    ] {
        let reserved = budget.try_reserve(purpose, bytes);
        assert_eq!(reserved, is_reserved, "{purpose:?} {bytes}");
    }
    budget.release(Connection, 300);
    assert!(budget.try_reserve(Response, 300));
    assert_eq!(budget.used_for(Connection), 300);
    assert_eq!(budget.used_bytes(), 1_000);
}

/// Answers without end must not take the room for the bodies of ordinary requests, which are small.
#[test]
fn try_reserve_responses_leave_room() {
    let mut budget = MemoryBudget::new(260_000_000);
    while budget.try_reserve(Response, 16 * 1_024) {}
    for request in 0..100 {
        let is_reserved = budget.try_reserve(Request, 32 * 1_024);
        assert!(is_reserved, "request {request}");
    }
}

/// Guards against memory that the allocator keeps, or that nothing accounts for, on top of all that may be
/// reserved: both together exceed the memory of the process.
#[test]
fn total_capacity_by_resident() {
    for (reserved_bytes, resident_bytes, capacity_bytes) in [
        (0, 0, 1_000),
        (0, 500, 1_000),
        (400, 900, 1_000),
        (400, 901, 999),
        (400, 1_400, 500),
        (0, 1_100, 400),
        // A quarter of the limit remains.
        (0, 1_200, 375),
        (0, usize::MAX, 375),
    ] {
        let mut budget = MemoryBudget::new(1_600);
        assert!(budget.try_reserve(Request, reserved_bytes));
        budget.record_resident(resident_bytes);
        let found = budget.total_capacity_bytes();
        let unreserved_bytes = resident_bytes.saturating_sub(reserved_bytes);
        assert_eq!(found, capacity_bytes, "{reserved_bytes} {resident_bytes}");
        assert_eq!(budget.unreserved_bytes(), unreserved_bytes);
    }
}

/// Guards against a limit that stays after the allocator has returned the memory, and against one that a
/// process with little memory has although its own program is all that is resident.
#[test]
fn try_reserve_after_resident_falls() {
    let mut budget = MemoryBudget::new(120_000_000);
    budget.record_resident(100_000_000);
    assert!(!budget.try_reserve(Request, 30_000_000));
    budget.record_resident(37_000_000);
    assert_eq!(budget.total_capacity_bytes(), 75_000_000);
    assert!(budget.try_reserve(Request, 30_000_000));
}
