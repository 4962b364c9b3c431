//! Tests of reading CPU time and memory from `/proc`.

use std::process;

use yucca_load::process_usage::ProcessUsage;

/// Guards against wrong fields or units when `/proc` is read.
#[test]
fn read_own_process() {
    let allocated = vec![1_u8; 64_000_000];
    let usage = ProcessUsage::read(process::id()).expect("cannot read the usage of this process");
    assert_eq!(
        allocated.iter().map(|b| usize::from(*b)).sum::<usize>(),
        allocated.len()
    );
    assert!((60.0..10_000.0).contains(&usage.rss_mb), "{usage:?}");
    assert!(usage.peak_rss_mb >= 60.0, "{usage:?}");
    assert!((0.0..600.0).contains(&usage.cpu_s), "{usage:?}");
}

/// Guards against values of 0 instead of an error for a process that has ended.
#[test]
fn read_ended_process() {
    // Above the largest process ID that Linux assigns.
    assert!(ProcessUsage::read(1 << 30).is_err());
}
