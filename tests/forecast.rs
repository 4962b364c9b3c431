//! Guards what is refused and held in a burst, against serving all of it late.

use yuccacove::forecast::{Decision, Forecast};

fn question(first_token_ms: f64) -> Forecast {
    Forecast {
        first_token_ms,
        elapsed_ms: 0,
        left_ms: 8_000,
        target_ms: 250,
        urgency: 0,
        decode_utilisation: 0.9,
        prefill_queue_ms: 200.0,
        urgent_target_ms: None,
    }
}

fn review(elapsed_ms: u64, decode_utilisation: f64) -> Forecast {
    Forecast {
        first_token_ms: 400.0,
        elapsed_ms,
        left_ms: 10_000 - elapsed_ms,
        target_ms: 1_500,
        urgency: 2,
        decode_utilisation,
        prefill_queue_ms: 0.0,
        urgent_target_ms: Some(250),
    }
}

#[test]
fn verdict_in_time() {
    for first_token_ms in [10.0, 100.0, 250.0] {
        assert_eq!(question(first_token_ms).decide(0), Decision::Admit);
    }
}

/// A refused caller comes back within the time that it honours, and not with all others at once.
#[test]
fn verdict_refusals_come_back_apart() {
    let retry_ms = |draw| match question(1_000.0).decide(draw) {
        Decision::Refuse { retry_after_ms } => retry_after_ms,
        other => panic!("{other:?}"),
    };
    let times: Vec<u64> = (0..1_000).step_by(100).map(retry_ms).collect();
    assert!(
        times.iter().all(|ms| (1_000..=2_666).contains(ms)),
        "{times:?}"
    );
    assert!(times.last() > times.first());
}

#[test]
fn verdict_beyond_deadline() {
    let late = Forecast {
        left_ms: 100,
        ..question(200.0)
    };
    assert!(matches!(late.decide(0), Decision::Refuse { .. }));
}

/// Room is kept for urgent requests, and a held one starts in the end all the same.
#[test]
fn verdict_holds_less_urgent() {
    assert_eq!(review(0, 0.5).decide(0), Decision::Admit);
    assert_eq!(review(0, 0.8).decide(0), Decision::Hold);
    assert_eq!(review(4_900, 0.8).decide(0), Decision::Hold);
    assert_eq!(review(5_000, 0.8).decide(0), Decision::Admit);
    assert_eq!(question(50.0).decide(0), Decision::Admit);
}

/// A burst of twice what an engine can start within the target: with refusals, those that start do so
/// in time; without, nearly all are late.
#[test]
fn verdict_burst_goodput() {
    let in_time = |with_refusals: bool| {
        let mut queue_ms: f64 = 0.0;
        let mut served = 0;
        for _ in 0..400 {
            // One request each 10 ms, each takes 20 ms of the engine.
            queue_ms = (queue_ms - 10.0).max(0.0);
            let forecast = question(queue_ms + 20.0);
            if with_refusals && forecast.decide(0) != Decision::Admit {
                continue;
            }
            queue_ms += 20.0;
            served += u32::from(queue_ms <= 250.0);
        }
        served
    };
    assert!(in_time(true) >= 4 * in_time(false));
}

/// Long prompts with a distant target filled the queues of reading, and urgent ones were refused for
/// it.
#[test]
fn verdict_long_prompts_leave_queue_short() {
    let behind = |prefill_queue_ms, elapsed_ms| Forecast {
        prefill_queue_ms,
        ..review(elapsed_ms, 0.1)
    };
    assert_eq!(behind(50.0, 0).decide(0), Decision::Admit);
    assert_eq!(behind(150.0, 0).decide(0), Decision::Hold);
    assert_eq!(behind(150.0, 4_900).decide(0), Decision::Hold);
    // Held for half of its caller's time, as it must not starve.
    assert_eq!(behind(150.0, 5_000).decide(0), Decision::Admit);
    let alone = Forecast {
        urgent_target_ms: None,
        ..behind(150.0, 0)
    };
    assert_eq!(alone.decide(0), Decision::Admit);
}
