//! Reports of the learned speeds of the engines: metrics, and a log line when an engine becomes slow.

use yucca_io::log;
use yuccacove::event::Event;

use crate::directory::Backend;
use crate::host::Host;

/// Fraction of the usual speed below which an engine is reported as slow.
const SLOW_SHARE: f64 = 0.6;
/// Fraction of the usual speed above which it no longer is. It is higher, so that an engine at the limit
/// does not write a line each time.
const USUAL_SHARE: f64 = 0.8;

/// Updates the speeds that forecasts use, and reports them.
pub fn update<B>(host: &Host<B>) {
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    directory.update_speeds(now_ms);
    let mut prefill_speeds = Vec::new();
    let mut decode_speeds = Vec::new();
    let mut latency_ms = 0.0_f64;
    for key in directory.keys() {
        let service = &directory.get(key).entry.service;
        let Some(speed) = directory.service_speed(service) else {
            continue;
        };
        let usual = speed.base_speed();
        latency_ms = latency_ms.max(speed.latency_ms());
        let backend = directory.get_mut(key);
        prefill_speeds.push(backend.load.prefill_speed);
        decode_speeds.push(backend.load.decode_speed);
        report_change(backend, usual);
    }
    let metrics = &host.metrics.engine_speeds;
    metrics.set_prefill(&mut prefill_speeds, latency_ms);
    metrics.set_decode(&mut decode_speeds);
}

/// Writes a log line if an engine has become slow, or is no longer; `usual` is the prefill speed of an
/// engine without samples.
fn report_change(backend: &mut Backend, usual: f64) {
    let load = &mut backend.load;
    let share = (load.prefill_speed / usual).min(load.decode_speed);
    let limit = if load.is_reported_slow {
        USUAL_SHARE
    } else {
        SLOW_SHARE
    };
    let is_slow = share < limit;
    if is_slow == load.is_reported_slow {
        return;
    }
    load.is_reported_slow = is_slow;
    let fields = format!(
        "back_end={} is_slow={is_slow} prefill_speed={:.2} usual_speed={usual:.2} decode_speed={:.2}",
        backend.target.id, load.prefill_speed, load.decode_speed
    );
    log::write(Event::EngineSpeed, &fields);
}
