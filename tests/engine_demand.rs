//! Demand of a fleet: how often hosts are asked, what their answers add up to, and what one host
//! measures.

use yuccacove::engine_demand::{Capacity, DemandCollection, DemandSample, Level, PrefillRate};
use yuccacove::fleet_rate::HostId;

const SERVICE: u64 = 7;

fn ids(hosts: u64) -> Vec<HostId> {
    (0..hosts).map(HostId).collect()
}

fn sample(streams: u32) -> DemandSample {
    let all = Level {
        streams,
        ..Level::default()
    };
    DemandSample {
        all,
        urgent: Level::default(),
    }
}

/// Guards against more traffic at the host that asks than 8 KB/s, and against hosts that are never
/// asked. A question and an answer about one service take at most 130 bytes with their headers.
#[test]
fn next_questions_fleet_sizes() {
    for (hosts, services, bytes) in [(7, 1, 130), (59, 4, 220), (350, 1, 130), (350, 4, 220)] {
        let hosts = ids(hosts);
        let mut collection = DemandCollection::default();
        let mut asked: Vec<u32> = vec![0; hosts.len()];
        let mut now_ms = 0;
        while now_ms < 60_000 {
            for id in collection.next_questions(&hosts, services, now_ms) {
                asked[id.0 as usize] += 1;
            }
            now_ms += 500;
        }
        let all: u32 = asked.iter().sum();
        let bytes_per_s = f64::from(all * bytes) / 60.0;
        assert!(bytes_per_s < 8_000.0, "{bytes_per_s}");
        assert!(asked.iter().all(|times| *times >= 5), "{asked:?}");
        assert!(asked.iter().all(|times| *times <= 62), "{asked:?}");
    }
}

/// Guards against a demand that seems to fall because hosts do not answer, and against one that is
/// made up from the answers of a few.
#[test]
fn total_without_some_answers() {
    let hosts = ids(10);
    for (answers, expected) in [(10, Some(50)), (8, Some(50)), (5, Some(50)), (4, None)] {
        let mut collection = DemandCollection::default();
        for host in &hosts[..answers] {
            collection.record(*host, vec![(SERVICE, sample(5))], 1_000);
        }
        let total = collection.total(&hosts, 1, SERVICE, 2_000);
        assert_eq!(total.map(|total| total.all.streams), expected);
        assert_eq!(collection.total(&hosts, 1, SERVICE, 20_000), None);
    }
}

/// Guards against an answer that arrives late and replaces a newer one, and against the demand of a
/// host that has left.
#[test]
fn total_counts_latest_of_present_hosts() {
    let mut collection = DemandCollection::default();
    collection.record(HostId(0), vec![(SERVICE, sample(5))], 2_000);
    collection.record(HostId(0), vec![(SERVICE, sample(90))], 1_000);
    collection.record(HostId(9), vec![(SERVICE, sample(70))], 2_000);
    let total = collection.total(&ids(1), 1, SERVICE, 2_500);
    assert_eq!(total.map(|total| total.all.streams), Some(5));
}

#[test]
fn ms_per_s_of_complete_seconds() {
    let mut rate = PrefillRate::default();
    for now_ms in (0..3_000).step_by(100) {
        rate.add(20.0, now_ms);
    }
    assert_eq!(rate.ms_per_s(3_000).round() as u32, 200);
    assert_eq!(rate.ms_per_s(4_500).round() as u32, 100);
    assert_eq!(rate.ms_per_s(900_000).round() as u32, 0);
}

/// The work of plain requests decides, but full queues must raise the demand where back ends run fewer
/// requests at a time than assumed.
#[test]
fn engines_plain() {
    let capacity = Capacity::Plain { slots: 6 };
    let engines = |prefill_ms_per_s, streams| {
        let level = Level {
            prefill_ms_per_s,
            streams,
            tokens_k: 0,
        };
        level.engines(capacity)
    };
    assert_eq!(engines(9_000, 9), 2.0);
    // Requests that wait in queues are no more work.
    assert_eq!(engines(9_000, 45), 2.0);
    // Three back ends with 6 slots and a queue of 24 are full.
    assert_eq!(engines(9_000, 90), 4.0);
}
