//! Tests of for how long a host has known all changes.

use yuccacove::continuity::Continuity;

/// Guards against proof that reaches back beyond a time in which the host stood still or was cut off.
#[test]
fn continuity_gap_starts_anew() {
    let mut known = Continuity::new(2_000);
    assert_eq!(known.lasted_ms(0), None);
    for at_ms in (1_000..=20_000).step_by(500) {
        known.confirm(at_ms);
    }
    assert_eq!(known.lasted_ms(21_000), Some(20_000));
    assert_eq!(known.lasted_ms(22_001), None, "out of step");
    assert_eq!(known.age_ms(22_001), Some(2_001));
    known.confirm(23_000);
    assert_eq!(known.lasted_ms(23_500), Some(500));
}

/// Guards against a confirmation that arrives late and moves the latest one back.
#[test]
fn continuity_late_confirmation() {
    let mut known = Continuity::new(2_000);
    known.confirm(5_000);
    known.confirm(4_000);
    assert_eq!(known.age_ms(5_100), Some(100));
    assert_eq!(known.lasted_ms(5_100), Some(100));
}
