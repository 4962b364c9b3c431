//! Memory that is reserved and released by several threads at once.

use std::thread;

use yucca_io::memory::Memory;
use yuccacove::memory_budget::Purpose;

/// Guards against reservations that are lost or released twice, and against more than the limit in use.
#[test]
fn memory_shared_between_threads() {
    let memory = Memory::new(1_000_000);
    let most_bytes = 1_000_000 / 8 * 5;
    thread::scope(|scope| {
        for number in 0..8 {
            let memory = &memory;
            scope.spawn(move || {
                for step in 0..2_000 {
                    let purpose = Purpose::ALL[(number + step) % Purpose::ALL.len()];
                    let mut guard = memory.guard(purpose);
                    if guard.grow(50_000 + step) {
                        assert!(guard.resize(10_000));
                    }
                    assert!(memory.used_bytes() <= most_bytes);
                }
            });
        }
    });
    assert_eq!(memory.used_bytes(), 0);
}
