//! Guards against serving all requests of a burst late instead of refusing or holding some of them.

use yuccacove::forecast::{Decision, Forecast};

fn urgent(first_token_ms: f64) -> Forecast {
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

fn background(elapsed_ms: u64, decode_utilisation: f64) -> Forecast {
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
fn decide_in_time() {
    for first_token_ms in [10.0, 100.0, 250.0] {
        assert_eq!(urgent(first_token_ms).decide(0), Decision::Admit);
    }
}

/// The retry delays of refused callers stay within a share of their remaining time and are spread.
#[test]
fn decide_spreads_retries() {
    let retry_ms = |random| match urgent(1_000.0).decide(random) {
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
fn decide_beyond_deadline() {
    let late = Forecast {
        left_ms: 100,
        ..urgent(200.0)
    };
    assert!(matches!(late.decide(0), Decision::Refuse { .. }));
}

/// Capacity is reserved for urgent requests, and a held request is started after a limited time.
#[test]
fn decide_holds_less_urgent() {
    assert_eq!(background(0, 0.5).decide(0), Decision::Admit);
    assert_eq!(background(0, 0.8).decide(0), Decision::Hold);
    assert_eq!(background(4_900, 0.8).decide(0), Decision::Hold);
    assert_eq!(background(5_000, 0.8).decide(0), Decision::Admit);
    assert_eq!(urgent(50.0).decide(0), Decision::Admit);
}

/// In a burst of twice the capacity of an engine, requests start in time if the others are refused,
/// and nearly all are late if none are.
#[test]
fn decide_burst_goodput() {
    let in_time = |with_refusals: bool| {
        let mut backlog_ms: f64 = 0.0;
        let mut served = 0;
        for _ in 0..400 {
            // One request arrives every 10 ms and needs 20 ms of the engine.
            backlog_ms = (backlog_ms - 10.0).max(0.0);
            let forecast = urgent(backlog_ms + 20.0);
            if with_refusals && forecast.decide(0) != Decision::Admit {
                continue;
            }
            backlog_ms += 20.0;
            served += u32::from(backlog_ms <= 250.0);
        }
        served
    };
    assert!(in_time(true) >= 4 * in_time(false));
}

/// Guards against long prompts with a distant target that fill the prefill queues, so that urgent
/// requests are refused.
#[test]
fn decide_long_prompts_keep_queue_short() {
    let with_queue = |prefill_queue_ms, elapsed_ms| Forecast {
        prefill_queue_ms,
        ..background(elapsed_ms, 0.1)
    };
    assert_eq!(with_queue(50.0, 0).decide(0), Decision::Admit);
    assert_eq!(with_queue(150.0, 0).decide(0), Decision::Hold);
    assert_eq!(with_queue(150.0, 4_900).decide(0), Decision::Hold);
    // It is held for at most half of its deadline, so that it does not starve.
    assert_eq!(with_queue(150.0, 5_000).decide(0), Decision::Admit);
    let alone = Forecast {
        urgent_target_ms: None,
        ..with_queue(150.0, 0)
    };
    assert_eq!(alone.decide(0), Decision::Admit);
}
