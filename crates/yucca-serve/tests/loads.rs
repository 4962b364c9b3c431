//! Outstanding prefills of an engine: their ends, lost ends, and queues at a learned speed.

use yucca_serve::loads::{Load, PrefillSource};

const OWN: PrefillSource = PrefillSource::Own(1);
const TOLD: PrefillSource = PrefillSource::Told(7);

fn slow_load() -> Load {
    let mut load = Load::default();
    load.prefill_speed = 0.4;
    load
}

/// Guards against forecasts by which the queue of a slow engine drained at the nominal speed: with
/// five prefills outstanding the forecast was 0.
#[test]
fn pending_ms_until_ended() {
    let mut load = slow_load();
    for _ in 0..5 {
        load.add_prefill(TOLD, 54.0, 0);
    }
    assert_eq!(load.pending_ms(0), 5.0 * 135.0);
    assert!(load.pending_ms(400) > 500.0, "{}", load.pending_ms(400));
    for ended in 1..=5_u64 {
        load.end_prefill(TOLD, 54.0, true, 135 * ended + 10);
    }
    assert_eq!(load.pending_ms(685), 0.0);
}

/// Between two messages the forecast must go on at the learned speed.
#[test]
fn pending_ms_first_progresses() {
    let mut load = slow_load();
    load.add_prefill(OWN, 40.0, 0);
    load.add_prefill(OWN, 40.0, 0);
    assert_eq!(load.pending_ms(60), 140.0);
}

/// Work whose end is not told must not stay outstanding for ever: neither if the datagram was lost nor
/// if the host tells no ends.
#[test]
fn pending_ms_lost_end() {
    let cases = [(TOLD, 3_000), (PrefillSource::Untold, 250)];
    for (source, until_ms) in cases {
        let mut load = slow_load();
        load.add_prefill(source, 40.0, 0);
        load.add_prefill(source, 40.0, 0);
        assert_eq!(load.pending_ms(until_ms), 0.0, "{source:?}");
        load.add_prefill(OWN, 40.0, until_ms);
        assert_eq!(load.pending_ms(until_ms), 100.0, "{source:?}");
    }
}

/// The end of a later prefill must remove an earlier one whose end was lost, but not those that may
/// have arrived at the engine in another order.
#[test]
fn end_prefill_implies_earlier() {
    let mut load = Load::default();
    load.add_prefill(TOLD, 90.0, 0);
    load.add_prefill(TOLD, 50.0, 390);
    load.add_prefill(TOLD, 70.0, 400);
    load.end_prefill(TOLD, 70.0, true, 410);
    assert!(load.pending_ms(410) <= 50.0, "{}", load.pending_ms(410));
    assert!(load.pending_ms(410) > 0.0);
}

/// A prefill that was refused says nothing about those before it.
#[test]
fn end_prefill_refused() {
    let mut load = Load::default();
    load.add_prefill(TOLD, 900.0, 0);
    load.add_prefill(TOLD, 50.0, 300);
    load.end_prefill(TOLD, 50.0, false, 310);
    assert!(load.pending_ms(310) > 500.0, "{}", load.pending_ms(310));
}

/// Work that others announce just after a prefill was sent is ahead of it.
#[test]
fn end_prefill_late_ahead() {
    let mut load = Load::default();
    load.add_prefill(OWN, 10.0, 0);
    load.add_prefill(TOLD, 30.0, 8);
    load.add_prefill(TOLD, 70.0, 90);
    assert_eq!(load.end_prefill(OWN, 10.0, true, 100), 30.0);
}

/// A restarted engine has neither work nor a learned speed.
#[test]
fn reset_forgets_work_and_speed() {
    let mut load = slow_load();
    load.add_prefill(OWN, 40.0, 0);
    load.record_decode(200.0, 40.0, 0);
    load.reset();
    assert_eq!(load.pending_ms(0), 0.0);
    assert_eq!((load.prefill_speed, load.decode_speed), (1.0, 1.0));
    load.end_prefill(OWN, 40.0, true, 5);
    assert_eq!(load.pending_ms(5), 0.0);
}
