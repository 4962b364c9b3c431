//! Learned speeds of engines under the loads that were seen: slow engines, a fixed latency, engines
//! that turn slow for some seconds, outliers and prompts of other hosts.

use yuccacove::engine_speed::{EngineSpeed, PrefillSample, RunningMedian, ServiceSpeed};

/// Works of the prompts in turn, in nominal milliseconds: mostly short ones.
const WORKS_MS: [f64; 5] = [13.0, 13.0, 95.0, 13.0, 37.0];

/// A fleet whose engines get prompts in turn, one each 20 ms.
struct Fleet {
    service: ServiceSpeed,
    engines: Vec<EngineSpeed>,
    latency_ms: f64,
    now_ms: u64,
    number: usize,
}

impl Fleet {
    fn new(engines: usize, latency_ms: f64) -> Self {
        Self {
            service: ServiceSpeed::default(),
            engines: vec![EngineSpeed::default(); engines],
            latency_ms,
            now_ms: 0,
            number: 0,
        }
    }

    /// Records `prompts` prompts; `speed` is the true speed of each engine, `extra_ms` is added to the
    /// time of the prompt with each number.
    fn run(
        &mut self,
        prompts: usize,
        speed: impl Fn(usize) -> f64,
        extra_ms: impl Fn(usize) -> f64,
    ) {
        for _ in 0..prompts {
            let engine = self.number % self.engines.len();
            let work_ms = WORKS_MS[(self.number / self.engines.len() + engine) % WORKS_MS.len()];
            let ahead_ms = if self.number.is_multiple_of(3) {
                26.0
            } else {
                0.0
            };
            let busy_ms = (ahead_ms + work_ms) / speed(engine);
            let sample = PrefillSample {
                ahead_ms,
                work_ms,
                took_ms: (self.latency_ms + busy_ms + extra_ms(self.number)).round(),
                is_queue_known: true,
            };
            let learned = &mut self.engines[engine];
            self.service.record_prefill(learned, &sample, self.now_ms);
            self.now_ms += 20;
            self.number += 1;
        }
    }

    fn speed(&self, engine: usize) -> f64 {
        self.service
            .prefill_speed(&self.engines[engine], self.now_ms)
    }
}

fn third_slow(engine: usize) -> f64 {
    if engine % 3 == 1 { 0.4 } else { 1.0 }
}

/// Forecasts must be as today while nothing is known.
#[test]
fn prefill_speed_without_samples() {
    let service = ServiceSpeed::default();
    assert_eq!(service.latency_ms(), 0.0);
    assert_eq!(service.prefill_speed(&EngineSpeed::default(), 9), 1.0);
    assert_eq!(EngineSpeed::default().decode_speed(9), 1.0);
}

/// Guards against forecasts at the nominal speed, by which hosts believed that the queues of slow
/// engines had drained.
#[test]
fn prefill_speed_learned() {
    type Speed = fn(usize) -> f64;
    let cases: [(&str, f64, Speed); 4] = [
        ("nominal", 0.0, |_| 1.0),
        ("a third slow", 0.0, third_slow),
        ("fast with latency", 47.0, |_| 1.75),
        ("a third slow with latency", 47.0, third_slow),
    ];
    for (name, latency_ms, speed) in cases {
        let mut fleet = Fleet::new(12, latency_ms);
        fleet.run(12 * 20, speed, |number| (number % 4) as f64);
        let learned_ms = fleet.service.latency_ms();
        assert!(
            (learned_ms - latency_ms).abs() < 8.0,
            "{name}: {learned_ms}"
        );
        for engine in 0..12 {
            let ratio = fleet.speed(engine) / speed(engine);
            assert!((0.75..1.25).contains(&ratio), "{name}: {engine} {ratio}");
        }
    }
}

/// A tenth of the prompts that take a second longer, as after lost packets, must not change the speeds
/// that are known after 10 s.
#[test]
fn prefill_speed_outliers() {
    let mut fleet = Fleet::new(12, 0.0);
    fleet.run(12 * 40, third_slow, |number| {
        if number % 11 == 5 { 1_000.0 } else { 0.0 }
    });
    for engine in 0..12 {
        let ratio = fleet.speed(engine) / third_slow(engine);
        assert!((0.7..1.3).contains(&ratio), "{engine} {ratio}");
    }
}

/// An engine that is slow for 5 s must be noticed within 2 s, and used as before 3 s after its end.
#[test]
fn prefill_speed_slow_for_seconds() {
    let mut fleet = Fleet::new(12, 0.0);
    fleet.run(12 * 40, |_| 1.0, |_| 0.0);
    let slow = |engine| if engine == 3 { 0.4 } else { 1.0 };
    fleet.run(2_000 / 20, slow, |_| 0.0);
    assert!(fleet.speed(3) < 0.5, "{}", fleet.speed(3));
    assert!(fleet.speed(4) > 0.9, "{}", fleet.speed(4));
    fleet.run(3_000 / 20, slow, |_| 0.0);
    fleet.run(3_000 / 20, |_| 1.0, |_| 0.0);
    assert!(fleet.speed(3) > 0.9, "{}", fleet.speed(3));
}

/// A slow engine that gets no work must be tried again after some time.
#[test]
fn prefill_speed_forgotten() {
    let mut fleet = Fleet::new(12, 0.0);
    fleet.run(12 * 40, third_slow, |_| 0.0);
    let before = fleet.speed(1);
    fleet.now_ms += 300_000;
    assert!(before < 0.5, "{before}");
    assert!(fleet.speed(1) > 0.9, "{}", fleet.speed(1));
}

/// Work of hosts that do not announce it must not make engines seem slow at once.
#[test]
fn prefill_speed_unknown_queue() {
    let mut fleet = Fleet::new(12, 0.0);
    fleet.run(12 * 20, |_| 1.0, |_| 0.0);
    let sample = PrefillSample {
        ahead_ms: 0.0,
        work_ms: 13.0,
        took_ms: 100.0,
        is_queue_known: false,
    };
    for _ in 0..3 {
        let learned = &mut fleet.engines[0];
        fleet.service.record_prefill(learned, &sample, fleet.now_ms);
    }
    assert!(fleet.speed(0) > 0.9, "{}", fleet.speed(0));
}

/// Samples that no engine can produce must change nothing, and extreme ones must keep the bounds.
#[test]
fn prefill_speed_bounds() {
    let mut fleet = Fleet::new(2, 0.0);
    fleet.run(200, |_| 1.0, |_| 0.0);
    let sample = |work_ms, took_ms| PrefillSample {
        ahead_ms: 0.0,
        work_ms,
        took_ms,
        is_queue_known: true,
    };
    let cases = [
        (0.0, 5.0, 0.7..1.4),
        (f64::NAN, 5.0, 0.7..1.4),
        (13.0, 0.0, 0.7..1.4),
        (13.0, f64::INFINITY, 0.7..1.4),
        (13.0, 1e9, 0.09..0.2),
    ];
    for (work_ms, took_ms, expected) in cases {
        for _ in 0..20 {
            let learned = &mut fleet.engines[0];
            let now_ms = fleet.now_ms;
            fleet
                .service
                .record_prefill(learned, &sample(work_ms, took_ms), now_ms);
        }
        let speed = fleet.speed(0);
        assert!(expected.contains(&speed), "{work_ms} {took_ms}: {speed}");
    }
}

/// A restarted engine has the usual speed of the service until it has samples of its own.
#[test]
fn prefill_speed_restart() {
    let mut fleet = Fleet::new(12, 47.0);
    fleet.run(12 * 20, |engine| 1.75 * third_slow(engine), |_| 0.0);
    fleet.engines[1] = EngineSpeed::default();
    assert!(
        (fleet.speed(1) / 1.75 - 1.0).abs() < 0.25,
        "{}",
        fleet.speed(1)
    );
}

/// Gaps of prompts that a decode engine prefills between its steps must not count as a low speed.
#[test]
fn decode_speed_ignores_stalls() {
    let mut engine = EngineSpeed::default();
    for number in 0..30_u64 {
        let took_ms = if number % 4 == 0 { 300.0 } else { 95.0 };
        engine.record_decode(took_ms, 38.0, number * 100);
    }
    assert!((engine.decode_speed(3_000) - 0.4).abs() < 0.05);
}

#[test]
fn running_median_follows_majority() {
    let mut median = RunningMedian::default();
    for number in 0..300 {
        median.record(if number % 5 == 0 { 900.0 } else { 47.0 });
    }
    assert!(
        (median.value_ms() - 47.0).abs() < 5.0,
        "{}",
        median.value_ms()
    );
}
