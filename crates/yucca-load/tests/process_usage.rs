//! Tests of reading CPU time and memory from `/proc`.

use std::process;

use yucca_load::process_usage::ProcessUsage;

/// Guards against wrong fields or units when `/proc` is read.
#[test]
fn read_own_process() {
    let held = vec![1_u8; 64_000_000];
    let used = ProcessUsage::read(process::id()).expect("own process runs");
    assert_eq!(
        held.iter().map(|b| usize::from(*b)).sum::<usize>(),
        held.len()
    );
    assert!((60.0..10_000.0).contains(&used.rss_mb), "{used:?}");
    assert!(used.peak_rss_mb >= 60.0, "{used:?}");
    assert!((0.0..600.0).contains(&used.cpu_s), "{used:?}");
}

/// Guards against values of 0 instead of an error for a process that has ended.
#[test]
fn read_ended_process() {
    // Above the largest process ID that Linux assigns.
    assert!(ProcessUsage::read(1 << 30).is_err());
}
