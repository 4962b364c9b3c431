//! Membership: live members, peers for exchanges, owners of names, and isolation.

use std::collections::BTreeSet;

use yuccacove::membership::{
    ConnectivityState, Contacts, EXCHANGE_RECORDS, Members, PlatformHost, PlatformState, Record,
};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("entry-{i}")).collect()
}

fn members(own: usize, names: &[String]) -> Members {
    let settings = names.iter().enumerate();
    let settings = settings.map(|(i, name)| (name.as_str(), ZONES[i % ZONES.len()]));
    Members::new(&names[own], 1, settings).expect("own name in settings")
}

fn record(name: &str, incarnation: u64, counter: u64, leaving: bool) -> Record {
    Record {
        name: name.into(),
        incarnation,
        counter,
        leaving,
    }
}

fn platform(name: &str, state: PlatformState, age_ms: u64) -> Vec<PlatformHost> {
    let name = name.into();
    vec![PlatformHost {
        name,
        state,
        age_ms,
    }]
}

fn all_live(names: &[String]) -> Vec<PlatformHost> {
    names
        .iter()
        .flat_map(|n| platform(n, PlatformState::Live, 0))
        .collect()
}

/// Guards against members that stay live after they stopped, and against a stale host list or an
/// old heartbeat that overrides newer information. The member is `entry-1` of three hosts, for
/// which the timeout is 3,600 ms.
#[test]
fn live_cases() {
    type Step = fn(&mut Members);
    let heartbeat: Step = |m| assert!(m.receive(&record("entry-1", 2, 5, false), 1_000));
    let repeat: Step = |m| assert!(!m.receive(&record("entry-1", 2, 5, false), 3_000));
    let old: Step = |m| assert!(!m.receive(&record("entry-1", 1, 9, true), 3_000));
    let leave: Step = |m| assert!(m.receive(&record("entry-1", 2, 6, true), 3_000));
    let restart: Step = |m| assert!(m.receive(&record("entry-1", 3, 0, false), 3_500));
    let listed: Step = |m| m.set_platform_hosts(&platform("entry-1", PlatformState::Live, 0), 0);
    let list_leaving: Step =
        |m| m.set_platform_hosts(&platform("entry-1", PlatformState::Leaving, 500), 3_000);
    let list_lags: Step =
        |m| m.set_platform_hosts(&platform("entry-1", PlatformState::Leaving, 2_500), 3_000);
    let refused: Step = |m| m.connection_refused("entry-1", 2_000);
    let unknown: Step = |m| assert!(!m.receive(&record("entry-9", 1, 1, false), 0));
    #[rustfmt::skip]
    let cases: [(&str, &[Step], u64, bool); 12] = [
        ("no heartbeat", &[unknown], 0, false),
        ("only listed", &[listed], 0, true),
        ("heartbeat", &[heartbeat], 4_599, true),
        ("no heartbeat for the timeout", &[heartbeat], 4_600, false),
        ("same heartbeat again", &[heartbeat, repeat], 4_600, false),
        ("older incarnation", &[heartbeat, old], 4_000, true),
        ("leaves", &[heartbeat, leave], 3_000, false),
        ("leaves and restarts", &[heartbeat, leave, restart], 4_000, true),
        ("platform says leaving", &[heartbeat, list_leaving], 3_000, false),
        ("platform lags behind a restart", &[heartbeat, list_lags], 3_000, true),
        ("refused", &[heartbeat, refused], 2_000, false),
        ("refused, then restarted", &[heartbeat, refused, restart], 4_000, true),
    ];
    for (name, steps, now_ms, expected) in cases {
        let mut view = members(0, &names(3));
        steps.iter().for_each(|step| step(&mut view));
        let live = view.live(now_ms).any(|member| member == "entry-1");
        assert_eq!(live, expected, "{name}");
    }
}

/// Guards against a host that stops accepting work in a store outage, and against one that accepts
/// work while it is isolated.
#[test]
fn connectivity_cases() {
    use ConnectivityState::{Isolated, Normal, StoreOutage, StoreUnreachable};
    // (last contact to the store, last contact to a peer, that peer's last contact to the store,
    // now, expected)
    let cases = [
        (None, None, None, 0, Isolated),
        (Some(1_000), None, None, 3_999, Normal),
        (Some(1_000), None, None, 4_000, Isolated),
        (Some(1_000), Some(4_000), Some(0), 4_500, StoreUnreachable),
        (Some(1_000), Some(4_000), Some(3_000), 4_500, StoreOutage),
        (None, Some(4_000), None, 6_999, StoreOutage),
        (Some(1_000), Some(4_000), Some(0), 7_000, Isolated),
        (Some(7_000), Some(4_000), None, 7_000, Normal),
    ];
    for (store, peer, peers_store, now_ms, expected) in cases {
        let mut contacts = Contacts::default();
        store.into_iter().for_each(|at| contacts.store_answered(at));
        peer.into_iter()
            .for_each(|at| contacts.peer_answered(peers_store, at));
        let connectivity = contacts.connectivity(now_ms);
        assert_eq!(connectivity, expected, "{store:?} {peer:?} {now_ms}");
        assert_eq!(connectivity.takes_work(), expected != Isolated);
    }
}

/// Guards against exchanges that stay within one zone or never reach some member.
#[test]
fn exchange_peers_reach_all() {
    for (count, expected) in [(1, 0), (2, 1), (7, 2), (350, 2)] {
        let names = names(count);
        let mut view = members(0, &names);
        view.set_platform_hosts(&all_live(&names), 0);
        let mut reached = BTreeSet::new();
        for seed in 0..10_000 {
            let peers = view.exchange_peers(seed, 0);
            assert_eq!(peers.len(), expected, "{count} hosts");
            assert!(!peers.contains(&"entry-0") && (expected < 2 || peers[0] != peers[1]));
            if count > ZONES.len() {
                let number: usize = peers[0]["entry-".len()..].parse().expect("a number");
                assert_eq!(
                    number % ZONES.len(),
                    0,
                    "the first peer is in the same zone"
                );
            }
            reached.extend(peers.into_iter().map(str::to_owned));
        }
        assert_eq!(reached.len(), count - 1);
    }
}

/// Guards against exchanges that are wasted on dead members, and against members that are never
/// tried again.
#[test]
fn exchange_peers_rarely_dead() {
    let names = names(6);
    let mut view = members(0, &names);
    view.set_platform_hosts(&all_live(&names), 0);
    view.connection_refused("entry-5", 0);
    let seeds = 0..4_000;
    let tried = seeds
        .filter(|seed| view.exchange_peers(*seed, 0).contains(&"entry-5"))
        .count();
    // It is the only other host of the zone, so every probing round, one in 8, selects it.
    assert!((400..=600).contains(&tried), "{tried} of 4,000");
}

/// Guards against names that change their owner unnecessarily, and against an uneven distribution
/// of names.
#[test]
fn owner_changes_rarely() {
    let names = names(50);
    let mut view = members(0, &names);
    view.set_platform_hosts(&all_live(&names), 0);
    let keys: Vec<String> = (0..5_000).map(|i| format!("entry/{i}")).collect();
    let owners = |view: &Members| -> Vec<String> {
        let owner = |key: &String| view.owner(key, 0).expect("an owner").to_owned();
        keys.iter().map(owner).collect()
    };
    let before = owners(&view);
    for name in &names {
        let share = before.iter().filter(|owner| *owner == name).count();
        assert!((50..=200).contains(&share), "{name} owns {share} of 5,000");
    }
    view.connection_refused("entry-7", 0);
    for (old, new) in before.iter().zip(owners(&view)) {
        assert!(*old == new || old == "entry-7", "{old} -> {new}");
    }
    let other = {
        let mut other = members(9, &names);
        other.set_platform_hosts(&all_live(&names), 0);
        owners(&other)
    };
    assert_eq!(before, other, "all hosts agree on the owners");
}

/// Guards against live members that are considered dead, and dead members that stay live, with 350
/// hosts and one message in ten lost.
#[test]
fn sample_350_hosts() {
    const DEAD: usize = 17;
    const DIES_MS: u64 = 10_000;
    const LAST_MS: u64 = 90_000;
    let names = names(350);
    let mut views: Vec<Members> = (0..names.len()).map(|i| members(i, &names)).collect();
    let mut seed = 1_u64;
    let mut live_considered_dead = 0;
    let mut last_seen_ms = 0;
    for now_ms in (0..LAST_MS).step_by(500) {
        for from in 0..views.len() {
            if from == DEAD && now_ms >= DIES_MS {
                continue;
            }
            views[from].increment_heartbeat();
            if now_ms == 0 {
                views[from].set_platform_hosts(&all_live(&names), 0);
            }
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let peers = views[from].exchange_peers(seed, now_ms);
            let peers: Vec<usize> = peers
                .iter()
                .filter_map(|p| p["entry-".len()..].parse().ok())
                .collect();
            for to in peers {
                if to == DEAD && now_ms >= DIES_MS {
                    views[from].connection_refused(&names[to], now_ms);
                    continue;
                }
                for (a, b, salt) in [(from, to, 40), (to, from, 50)] {
                    if (seed >> salt).is_multiple_of(10) {
                        break;
                    }
                    let sample = views[a].sample(seed >> 7, now_ms);
                    assert!(sample.len() <= EXCHANGE_RECORDS);
                    for record in &sample {
                        views[b].receive(record, now_ms);
                    }
                }
            }
        }
        if now_ms % 10_000 == 0 {
            for (i, view) in views.iter().enumerate().filter(|(i, _)| *i != DEAD) {
                let live: Vec<&str> = view.live(now_ms).collect();
                let dead_seen = live.contains(&names[DEAD].as_str());
                live_considered_dead += names.len() - live.len() - usize::from(!dead_seen);
                if dead_seen && i != DEAD {
                    last_seen_ms = now_ms;
                }
            }
        }
    }
    println!(
        "live hosts considered dead {live_considered_dead}, dead host last seen live after {} ms",
        last_seen_ms - DIES_MS
    );
    assert_eq!(live_considered_dead, 0);
    assert!(last_seen_ms <= DIES_MS + views[0].timeout_ms());
}
