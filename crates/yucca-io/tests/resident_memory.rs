//! The resident memory of a process, as the kernel tells it.

use yucca_io::resident_memory::{parse, resident_bytes};

/// Guards against a wrong unit, and against a text without the field that counts as no memory.
#[test]
fn parse_status() {
    let status = "Name:\thost\nVmHWM:\t  900 kB\nVmRSS:\t  120 kB\nRssAnon:\t 80 kB\n";
    assert_eq!(parse(status), Some(122_880));
    for other in ["", "VmRSS:\t  120 MB\n", "VmRSS:\tmuch kB\n"] {
        assert_eq!(parse(other), None, "{other}");
    }
    assert!(resident_bytes().is_some_and(|bytes| bytes > 100_000));
}
