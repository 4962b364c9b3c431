//! Tests that changes in the store reach all hosts in time although only a few hosts watch it.
//! Relays, the hosts that watch, are killed or disconnected from the store or from the other hosts,
//! and datagrams are lost.

mod common;

use common::relay_group::{Group, Member};
use common::{StoreMode, run_virtual, wait_ms};
use serde_json::json;
use yucca_serve::ports::Kind;

/// Time within which changes of backends and of the configuration must be applied.
const BOUND_MS: u64 = 2_000;
/// A change of the backends must not cost a call to the store by each host.
#[test]
fn relay_two_hosts_watch() {
    run_virtual(async {
        let group = Group::spawn(12, 0.0, 1);
        // The watches that all hosts began at the start have ended by then.
        wait_ms(10_000).await;
        assert_eq!(group.relays().len(), 2);
        let before = group.watches();
        for _ in 0..20 {
            group.add_backend();
            wait_ms(1_500).await;
            assert!(group.behind().is_empty());
        }
        // Each of the two relays makes two calls per kind in the 1.5 s between changes. If
        // all twelve hosts watched, the changes alone would cost 240 calls.
        let watches = group.watches() - before;
        assert!(watches <= 160, "{watches} watches for 20 changes");
    });
}

/// Renewals of a lease raise the revision of the store. A relay whose last watch ended at such a
/// revision must not make its next change look as if changes before it were missing, because then
/// every host of the group calls the store for it.
#[test]
fn relay_change_after_renewals() {
    run_virtual(async {
        let group = Group::spawn(14, 0.0, 1);
        wait_ms(10_000).await;
        let relays = group.relays();
        let watches = |member: &Member| member.link.watches.get();
        let before: Vec<u64> = group.members.iter().map(watches).collect();
        for renewal in 0..10 {
            group.store.put(Kind::Leases, "lease", Some(json!(renewal)));
            wait_ms(3_000).await;
            group.add_backend();
            wait_ms(BOUND_MS).await;
            assert_eq!(group.behind(), Vec::<usize>::new());
        }
        let followers = (0..before.len()).filter(|at| !relays.contains(at));
        let made: Vec<u64> = followers
            .map(|at| watches(&group.members[at]) - before[at])
            .collect();
        assert_eq!(made.iter().sum::<u64>(), 0, "{made:?}");
    });
}

/// Each call to the store has a cost. Without changes, hosts that rely on others must make no watch
/// calls, and the group must make no more calls per host than a host whose watches wait 8 s.
#[test]
fn relay_calls_when_idle() {
    run_virtual(async {
        let group = Group::spawn(14, 0.0, 1);
        wait_ms(10_000).await;
        let relays = group.relays();
        assert_eq!(relays.len(), 2);
        let watches = |member: &Member| member.link.watches.get();
        let before: Vec<u64> = group.members.iter().map(watches).collect();
        wait_ms(60_000).await;
        let made = group.members.iter().zip(&before);
        let made: Vec<u64> = made
            .map(|(member, before)| watches(member) - before)
            .collect();
        let followers = (0..made.len()).filter(|at| !relays.contains(at));
        assert_eq!(followers.map(|at| made[at]).sum::<u64>(), 0, "{made:?}");
        let total: u64 = made.iter().sum();
        assert!(total <= 14 * 15, "{total} watches in 60 s");
    });
}

/// Hosts of the group in the tests of outages.
const OUTAGE_HOSTS: u64 = 14;
/// Watch calls that these hosts may make around an outage: one per host and followed kind.
const OUTAGE_WATCHES: u64 = OUTAGE_HOSTS * 2;

/// Returns the watch calls of a group during an outage of 9 s and within the bound after it.
async fn calls_around_outage(mode: StoreMode) -> (u64, u64) {
    let group = Group::spawn(OUTAGE_HOSTS as usize, 0.0, 1);
    wait_ms(10_000).await;
    let before = group.watches();
    for member in group.members.iter() {
        member.link.mode.set(mode);
    }
    wait_ms(9_000).await;
    let during = group.watches() - before;
    for member in group.members.iter() {
        member.link.mode.set(StoreMode::Up);
    }
    group.add_backend();
    wait_ms(BOUND_MS).await;
    assert_eq!(group.behind(), Vec::<usize>::new(), "{mode:?}");
    (during, group.watches() - before - during)
}

/// While the store is down for all hosts, each call has a price and no effect. A host may make one
/// watch call per kind that shows the failure: with calls by all hosts a fleet of hundreds would pay
/// most for an outage.
#[test]
fn relay_calls_around_outage() {
    for mode in [StoreMode::Refusing, StoreMode::Unresponsive] {
        let (during, after) = run_virtual(calls_around_outage(mode));
        assert!(during <= OUTAGE_WATCHES, "{mode:?}: {during} watches");
        if mode == StoreMode::Refusing {
            assert!(after <= OUTAGE_WATCHES, "{mode:?}: {after} watches after");
        }
    }
}

/// Once a store that was silent responds again, only the relays and a few others may watch.
#[test]
fn relay_calls_after_silent_outage() {
    let (_, after) = run_virtual(calls_around_outage(StoreMode::Unresponsive));
    assert!(after <= OUTAGE_WATCHES, "{after} watches after");
}

/// A host that loses the datagrams with a change while it cannot reach the store must get the change
/// from the relays in time. Guards against requests to an engine that has left: two hosts sent them
/// for 9 s.
#[test]
fn relay_lost_change_without_store() {
    run_virtual(async {
        let group = Group::spawn(14, 0.0, 1);
        wait_ms(10_000).await;
        let member = &group.members[group.followers()[0]];
        for round in 0..10 {
            for _ in 0..6 {
                group.add_backend();
            }
            // The host gets some of the datagrams with the changes, all of them or none.
            wait_ms(5 * round).await;
            member.link.mode.set(StoreMode::Unresponsive);
            member.is_isolated.set(true);
            wait_ms(150).await;
            member.is_isolated.set(false);
            wait_ms(BOUND_MS - 150).await;
            assert!(
                member.knows(group.backends.get(), group.version.get()),
                "round {round}"
            );
            member.link.mode.set(StoreMode::Up);
            wait_ms(6_000).await;
        }
    });
}

/// Guards against a host that the store turns away and that learns no configuration from its peers:
/// those of real deployments fit into no datagram.
#[test]
fn relay_large_configuration_without_store() {
    let cases = [
        (7, 0.0, 24_000, StoreMode::Refusing),
        (7, 0.3, 24_000, StoreMode::Unresponsive),
        (60, 0.05, 24_000, StoreMode::Refusing),
        (7, 0.0, 90_000, StoreMode::Refusing),
    ];
    for (hosts, loss, padding_bytes, mode) in cases {
        run_virtual(async {
            let group = Group::spawn(hosts, loss, 1);
            wait_ms(10_000).await;
            let member = &group.members[group.followers()[0]];
            member.link.mode.set(mode);
            for change in 0..5 {
                group.change_config_of(padding_bytes);
                // Storms of changes, and changes after a while.
                wait_ms(330).await;
                group.change_config_of(padding_bytes);
                wait_ms(BOUND_MS).await;
                assert!(
                    member.knows(group.backends.get(), group.version.get()),
                    "{hosts} hosts, loss {loss}, {padding_bytes} bytes, {mode:?}, change {change}"
                );
            }
        });
    }
}

/// Guards against claims that waited on the relays' links and count as new: hosts handled requests by an older
/// configuration than the bound allows.
#[test]
fn relay_delayed_claims() {
    let cases =
        [600, 1_200, 1_500, 1_800, 4_000].map(|delay_ms| [(delay_ms, false), (delay_ms, true)]);
    for (delay_ms, is_killed) in cases.concat() {
        run_virtual(async {
            let group = Group::spawn(7, 0.0, 1);
            wait_ms(10_000).await;
            for at in group.relays() {
                group.members[at].link_delay_ms.set(delay_ms);
            }
            let case = format!("delay {delay_ms} ms, killed {is_killed}");
            change_beside_delay(&group, is_killed, &case).await;
        });
    }
}

/// Changes backends and the configuration, after a while with all relays killed, and checks that all hosts apply
/// the changes in time.
async fn change_beside_delay(group: &Group, is_killed: bool, case: &str) {
    for change in 0..4 {
        wait_ms(1_370).await;
        if is_killed && change == 2 {
            for at in group.relays() {
                group.members[at].kill();
            }
        }
        group.add_backend();
        group.change_config_of(24_000);
        wait_ms(BOUND_MS).await;
        let behind = group.behind();
        assert!(behind.is_empty(), "{case}, change {change}: {behind:?}");
    }
}

/// Guards against links that are congested from the first datagram on, so that the receiver cannot tell the delay from the
/// clocks' offset. Longer waits than these count as a disturbance in the rules.
#[test]
fn relay_claims_delayed_from_start() {
    for (delay_ms, is_killed) in [200, 350, 500].map(|ms| [(ms, false), (ms, true)]).concat() {
        run_virtual(async {
            let group = Group::spawn(7, 0.0, 1);
            for member in group.members.iter() {
                member.link_delay_ms.set(delay_ms);
            }
            wait_ms(10_000).await;
            let case = format!("delay {delay_ms} ms from the start, killed {is_killed}");
            change_beside_delay(&group, is_killed, &case).await;
        });
    }
}

/// Hosts whose links are congested.
#[derive(Debug, Clone, Copy)]
enum Congested {
    All,
    Relays,
    Followers,
}

/// Guards against delays that each fit into the bound and together exceed it: packets wait on congested links in both
/// directions, and a change comes just after another. A host is undisturbed in the rules up to half a second of wait.
#[test]
fn relay_changes_over_congested_links() {
    let cases = [Congested::All, Congested::Relays, Congested::Followers];
    let cases = cases.map(|congested| [200, 350, 500].map(|delay_ms| (congested, delay_ms)));
    for (congested, delay_ms) in cases.concat() {
        run_virtual(async {
            let group = Group::spawn(7, 0.0, 1);
            wait_ms(10_000).await;
            let hosts = match congested {
                Congested::All => (0..group.members.len()).collect(),
                Congested::Relays => group.relays(),
                Congested::Followers => group.followers(),
            };
            for at in hosts {
                group.members[at].link_delay_ms.set(delay_ms);
                group.members[at].link.delay_ms.set(delay_ms);
            }
            for change in 0..8 {
                wait_ms(1_000 + change * 137).await;
                group.change_config_of(24_000);
                wait_ms(330).await;
                group.change_config_of(24_000);
                wait_ms(BOUND_MS).await;
                let behind = group.behind();
                assert!(
                    behind.is_empty(),
                    "{congested:?}, {delay_ms} ms, change {change}: {behind:?}"
                );
            }
        });
    }
}

/// Guards against a host that waits for the rest of a change from a relay that has gone.
#[test]
fn relay_parts_of_killed_relay() {
    for killed in [0, 1] {
        run_virtual(async {
            let group = Group::spawn(7, 0.0, 1);
            wait_ms(10_000).await;
            let relays = group.relays();
            let member = &group.members[group.followers()[0]];
            member.link.mode.set(StoreMode::Refusing);
            wait_ms(1_500).await;
            group.change_config_of(90_000);
            // The host has some of the parts by then.
            wait_ms(450).await;
            group.members[relays[killed]].kill();
            wait_ms(BOUND_MS - 450).await;
            assert!(member.knows(group.backends.get(), group.version.get()));
        });
    }
}

/// Guards against a relay that the store turns away and that takes nothing from the other relays.
#[test]
fn relay_turned_away_follows_others() {
    for mode in [StoreMode::Refusing, StoreMode::Unresponsive] {
        run_virtual(async {
            let group = Group::spawn(7, 0.0, 1);
            wait_ms(10_000).await;
            let turned_away = group.relays()[0];
            let member = &group.members[turned_away];
            member.link.mode.set(mode);
            wait_ms(3_000).await;
            for change in 0..5 {
                group.add_backend();
                group.change_config();
                wait_ms(BOUND_MS).await;
                assert!(
                    member.knows(group.backends.get(), group.version.get()),
                    "{mode:?}, change {change}"
                );
            }
            member.link.mode.set(StoreMode::Up);
            wait_ms(12_000).await;
            assert_eq!(group.relays().len(), 2, "{mode:?}, afterwards");
        });
    }
}

/// Guards against calls to the store by each host that has lost datagrams: half of a group of 60
/// made 254 in ten bursts of changes.
#[test]
fn relay_lost_change_for_many() {
    run_virtual(async {
        let group = Group::spawn(60, 0.05, 1);
        wait_ms(12_000).await;
        let followers = group.followers();
        let watches = || -> u64 {
            let members = followers.iter().map(|at| &group.members[*at]);
            members.map(|member| member.link.watches.get()).sum()
        };
        let before = watches();
        for _ in 0..10 {
            for at in followers.iter().take(30) {
                group.members[*at].is_isolated.set(true);
            }
            for _ in 0..12 {
                group.add_backend();
            }
            // Longer than the time over which a change is sent, shorter than that between claims.
            wait_ms(60).await;
            for at in followers.iter().take(30) {
                group.members[*at].is_isolated.set(false);
            }
            wait_ms(BOUND_MS).await;
            assert_eq!(group.behind(), Vec::<usize>::new());
        }
        let made = watches() - before;
        // Calls are to follow the changes, of which there are ten bursts, and not the hosts.
        assert!(made <= 10, "{made} watches of hosts that rely on relays");
    });
}

/// Link of a host of the large deployment, 20 Mbit/s. A burst beyond it delays callers' requests.
const LINK_BYTES_PER_S: u64 = 2_500_000;

/// Guards against a host that lags far behind and makes the relays send all that it lacks to the
/// whole group: their callers' requests waited for up to 2 s behind these datagrams.
#[test]
fn relay_lagging_host_leaves_link_free() {
    run_virtual(async {
        let group = Group::spawn(33, 0.0, 1);
        wait_ms(10_000).await;
        let member = &group.members[group.followers()[0]];
        member.link.mode.set(StoreMode::Unresponsive);
        member.is_isolated.set(true);
        for _ in 0..200 {
            group.add_backend();
        }
        wait_ms(500).await;
        let before = group.sent_bytes.get();
        member.is_isolated.set(false);
        wait_ms(BOUND_MS).await;
        assert!(member.knows(group.backends.get(), group.version.get()));
        let sent = group.sent_bytes.get() - before;
        // Both relays may use a twentieth of their links, which includes their claims.
        let allowed = 2 * LINK_BYTES_PER_S * BOUND_MS / 1_000 / 20;
        assert!(sent <= allowed, "{sent} bytes, {allowed} allowed");
    });
}

/// When the store drops its history only the relays may list the objects again. They relay what
/// changed, including removals, as the other hosts would otherwise all list them.
#[test]
fn relay_listings_after_dropped_history() {
    run_virtual(async {
        let group = Group::spawn(14, 0.0, 1);
        for _ in 0..5 {
            group.add_backend();
        }
        wait_ms(10_000).await;
        let relays = group.relays();
        let calls = |member: &Member| member.link.watches.get() + member.link.lists.get();
        let before: Vec<u64> = group.members.iter().map(calls).collect();
        // The store closes the watches that wait and then has no events for the changes.
        group.store.close_watches();
        group.store.put(Kind::BackEnds, "i-2", None);
        group.add_backend();
        group.store.drop_history();
        wait_ms(8_000).await;
        for member in group.members.iter() {
            let directory = member.host.directory.borrow();
            let usable = directory.usable("desk", member.host.now_ms()).len();
            assert_eq!(usable, group.backends.get() - 1);
        }
        let followers = (0..before.len()).filter(|at| !relays.contains(at));
        let made: Vec<u64> = followers
            .map(|at| calls(&group.members[at]) - before[at])
            .collect();
        assert_eq!(made.iter().sum::<u64>(), 0, "{made:?}");
    });
}

/// Guards against removals that a host discards as known, because a listing gives all of them one
/// revision and they do not fit into one datagram.
#[test]
fn relay_many_removals_after_dropped_history() {
    for removed in [3, 5, 9, 40] {
        run_virtual(async {
            let group = Group::spawn(14, 0.0, 1);
            for _ in 0..45 {
                group.add_backend();
            }
            wait_ms(10_000).await;
            group.store.close_watches();
            for number in 0..removed {
                group
                    .store
                    .put(Kind::BackEnds, &format!("i-{number}"), None);
            }
            group.store.drop_history();
            wait_ms(8_000).await;
            for (at, member) in group.members.iter().enumerate() {
                let directory = member.host.directory.borrow();
                let usable = directory.usable("desk", member.host.now_ms()).len();
                assert_eq!(usable, 46 - removed, "{removed} removed, host {at}");
            }
        });
    }
}

/// Relays must not queue the updates that they receive from others, because the queue would grow
/// for as long as they run.
#[test]
fn relay_inbox_stays_empty() {
    run_virtual(async {
        let group = Group::spawn(5, 0.0, 1);
        wait_ms(9_000).await;
        for _ in 0..40 {
            group.add_backend();
            wait_ms(300).await;
        }
        wait_ms(2_000).await;
        for member in group.members.iter() {
            assert_eq!(member.host.relay.queued_batches(), 0);
        }
    });
}

/// A fault of the relays.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Killed,
    Unresponsive,
    Refusing,
    Isolated,
    HistoryLost,
}

/// A change must be applied on all hosts within the bound, whatever fault the relays have and
/// whenever it begins.
#[test]
fn relay_changes_in_time() {
    let faults = [
        Fault::None,
        Fault::Killed,
        Fault::Unresponsive,
        Fault::Refusing,
        Fault::Isolated,
        Fault::HistoryLost,
    ];
    for fault in faults {
        for count in [1, 2] {
            for before_ms in [0, 40, 150, 350, 610, 900, 1_500] {
                run_virtual(change_under(fault, count, before_ms));
            }
        }
    }
}

/// Makes two changes. `count` relays have a fault that begins `before_ms` ahead of the second
/// change; they may have relayed the first one.
async fn change_under(fault: Fault, count: usize, before_ms: u64) {
    let group = Group::spawn(7, 0.0, 1);
    wait_ms(9_700).await;
    let relays = group.relays();
    group.add_backend();
    for at in relays.iter().take(count) {
        let member = &group.members[*at];
        match fault {
            Fault::None => {}
            Fault::Killed => member.kill(),
            Fault::Unresponsive => member.link.mode.set(StoreMode::Unresponsive),
            Fault::Refusing => member.link.mode.set(StoreMode::Refusing),
            Fault::Isolated => member.is_isolated.set(true),
            Fault::HistoryLost => group.store.drop_history(),
        }
    }
    wait_ms(before_ms).await;
    group.add_backend();
    group.change_config();
    let case = format!("{fault:?} on {count} hosts, {before_ms} ms before");
    // The fake store does not respond to a watch whose history was dropped until the watch ends.
    let slack_ms = if fault == Fault::HistoryLost {
        8_000
    } else {
        0
    };
    wait_ms(BOUND_MS + slack_ms).await;
    assert_eq!(group.behind(), Vec::<usize>::new(), "{case}");
    for member in group.members.iter() {
        member.link.mode.set(StoreMode::Up);
        member.is_isolated.set(false);
    }
    wait_ms(12_000).await;
    assert_eq!(group.behind(), Vec::<usize>::new(), "{case}, afterwards");
    assert_eq!(group.relays().len(), 2, "{case}, afterwards");
}

/// Lost datagrams must cost additional calls only, and no change may be missed.
#[test]
fn relay_lost_datagrams() {
    for seed in 1..=8 {
        for loss in [0.03, 0.3, 0.9] {
            run_virtual(async {
                let group = Group::spawn(7, loss, seed);
                for round in 0..20 {
                    wait_ms(400 + 137 * (round % 5)).await;
                    group.add_backend();
                    if round % 3 == 0 {
                        group.change_config();
                    }
                    if round % 4 == 3 {
                        wait_ms(BOUND_MS).await;
                        let behind = group.behind();
                        assert!(behind.is_empty(), "{behind:?}, seed {seed}, loss {loss}");
                    }
                }
            });
        }
    }
}

/// A host that reconnects with stale claims must not prevent the others from getting changes that
/// it lacks.
#[test]
fn relay_stale_claims() {
    run_virtual(async {
        let group = Group::spawn(5, 0.0, 1);
        wait_ms(9_000).await;
        let isolated = group.relays()[0];
        group.members[isolated].is_isolated.set(true);
        group.members[isolated]
            .link
            .mode
            .set(StoreMode::Unresponsive);
        wait_ms(3_000).await;
        for _ in 0..5 {
            group.add_backend();
            wait_ms(700).await;
        }
        group.members[isolated].is_isolated.set(false);
        group.members[isolated].link.mode.set(StoreMode::Up);
        group.change_config();
        wait_ms(BOUND_MS).await;
        assert_eq!(group.behind(), Vec::<usize>::new());
    });
}
