//! Tests that a stream holds events of engines of one software version only, in one answer and over
//! the tries of its caller at any host, while engines of two versions serve.

mod common;

use common::version_fleet::{Begun, Fleet, RESUMABLE, SECOND, interrupted, read};
use common::{
    Chunk, Step, StoreMode, entry, generation, route, run_virtual, serving_host, wait_ms,
};
use yucca_serve::ports::{Freshness, Kind, ObjectStore};
use yucca_serve::serve::serve;
use yuccacove::prompt_placement::Phase;

/// Time after which streams that began before cannot be resumed any more, with a margin: the route of
/// the tests allows 4 s.
const FORGOTTEN_MS: u64 = 10_000;

/// Guards against a broken stream that is resumed, within its answer, at an engine of another version.
#[test]
fn resume_in_answer_same_version() {
    for has_other_of_version in [false, true] {
        run_virtual(async {
            let host = serving_host(route(RESUMABLE, 3));
            let rest = Step::Respond(200, vec![Chunk::Bytes(0, SECOND)]);
            let mut entries = vec![("gen-2", 5, "v2"), ("gen-3", 6, "v2"), ("gen-4", 7, "v2")];
            if has_other_of_version {
                entries.push(("gen-5", 8, "v1"));
                host.backends.script("gen-5", [rest.clone()]);
            }
            for (id, _, _) in &entries[..3] {
                host.backends.script(id, [rest.clone()]);
            }
            host.backends.script("gen-1", [interrupted()]);
            // Only the first engine is known at first.
            host.directory.borrow_mut().apply_removal("gen-2", 2, 0);
            let reply = serve(&host, generation()).await;
            for (id, number, software) in entries {
                let mut entry = entry("model", number, Phase::Decode);
                entry.software = software.into();
                host.directory.borrow_mut().apply_entry(id, 3, entry, 0);
            }
            let read = read(reply).await;
            let attempts = host.backends.attempts();
            let ids: Vec<&str> = attempts.iter().map(|call| call.id.as_str()).collect();
            if has_other_of_version {
                assert_eq!((read, ids), ((2, true), vec!["gen-1", "gen-5"]));
            } else {
                assert_eq!((read, ids), ((1, false), vec!["gen-1"]));
            }
        });
    }
}

/// Guards against streams that go on at another version when their callers resume them at any host.
#[test]
fn resume_by_caller_same_version() {
    for (hosts, loss) in [(1, 0.0), (7, 0.0), (7, 0.05), (60, 0.05)] {
        run_virtual(async {
            let fleet = Fleet::spawn(hosts, loss).await;
            fleet.add_second_version().await;
            let case = format!("{hosts} hosts, loss {loss}");
            let mut resumed = 0;
            for _ in 0..40 {
                let begun = fleet.begin_some(1).await;
                // Callers come back at once, or after a while.
                wait_ms(30 + fleet.draw(2_000)).await;
                resumed += fleet.resume_all(&begun, &case).await;
            }
            assert!(resumed >= 36, "{case}: {resumed} of 40");
        });
    }
}

/// Guards against resumed streams that are turned away like new ones because the time that it took to ask
/// for their version makes them late.
#[test]
fn resume_by_caller_admitted() {
    run_virtual(async {
        let fleet = Fleet::spawn(60, 0.0).await;
        fleet.add_second_version().await;
        // Such a prompt barely meets the target of 300 ms.
        fleet.prompt_tokens.set(8_000);
        let mut resumed = 0;
        for _ in 0..20 {
            let begun = fleet.begin_some(1).await;
            wait_ms(30).await;
            resumed += fleet.resume_all(&begun, "long prompt").await;
        }
        assert!(resumed >= 18, "{resumed} of 20");
    });
}

/// Guards against hosts that end and take the versions of their streams with them.
#[test]
fn resume_after_host_restart() {
    for hosts in [7, 60] {
        run_virtual(async {
            let fleet = Fleet::spawn(hosts, 0.02).await;
            fleet.add_second_version().await;
            let mut resumed = 0;
            for round in 0..20 {
                let at = fleet.random_host();
                let begun = [fleet.begin(at).await, fleet.begin(at).await];
                wait_ms(50).await;
                fleet.restart(at);
                wait_ms(500 + 100 * round).await;
                resumed += fleet.resume_all(&begun, &format!("{hosts} hosts")).await;
            }
            assert!(resumed >= 32, "{hosts} hosts: {resumed} of 40");
        });
    }
}

/// Guards against streams that are joined from two versions after all hosts have lost power at once:
/// nothing that they knew is left.
#[test]
fn resume_after_all_hosts_restart() {
    for is_first_gone in [false, true] {
        run_virtual(async {
            let fleet = Fleet::spawn(7, 0.0).await;
            let mut begun = fleet.begin_some(5).await;
            fleet.add_second_version().await;
            begun.extend(fleet.begin_some(20).await);
            if is_first_gone {
                fleet.remove_first_version().await;
            }
            fleet.restart_all().await;
            let case = format!("first version gone: {is_first_gone}");
            fleet.resume_all(&begun, &case).await;
            wait_ms(1_000).await;
            fleet.resume_all(&begun, &case).await;
            // Streams that begin from now on are known again.
            let begun = fleet.begin_some(20).await;
            wait_ms(50).await;
            let resumed = fleet.resume_all(&begun, &case).await;
            assert!(resumed >= 18, "{case}: {resumed} of 20");
        });
    }
}

/// Guards against hosts that, after they have all lost power, refuse the streams whose version serves.
#[test]
fn resume_after_all_hosts_restart_beside_other_version() {
    for (hosts, loss, is_first_gone) in [(7, 0.0, false), (7, 0.05, true), (60, 0.02, false)] {
        run_virtual(async {
            let fleet = Fleet::spawn(hosts, loss).await;
            let mut begun = fleet.begin_some(10).await;
            fleet.add_second_version().await;
            begun.extend(fleet.begin_some(20).await);
            wait_ms(700).await;
            if is_first_gone {
                fleet.remove_first_version().await;
                begun.retain(|stream| stream.version == "v2");
            }
            for restart in 0..2 {
                fleet.restart_all().await;
                let case = format!("{hosts} hosts, first version gone: {is_first_gone}, {restart}");
                let resumed = fleet.resume_all(&begun, &case).await;
                let count = begun.len();
                assert!(resumed * 10 >= count * 9, "{case}: {resumed} of {count}");
            }
        });
    }
}

/// Guards against refused streams after a loss of all hosts when only one version has served for long.
#[test]
fn resume_after_all_hosts_restart_one_version() {
    for has_changed in [false, true] {
        run_virtual(async {
            let fleet = Fleet::spawn(7, 0.0).await;
            if has_changed {
                fleet.add_second_version().await;
                fleet.remove_first_version().await;
                wait_ms(FORGOTTEN_MS).await;
            }
            let begun = fleet.begin_some(20).await;
            fleet.restart_all().await;
            let case = format!("the version has changed: {has_changed}");
            let resumed = fleet.resume_all(&begun, &case).await;
            assert!(resumed >= 18, "{case}: {resumed} of 20");
        });
    }
}

impl Fleet {
    /// Begins a stream each 250 ms for `ms`, and returns how often the journal was written meanwhile.
    async fn journal_writes_in(&self, ms: u64) -> u64 {
        let revisions = async || -> u64 {
            let objects = self.store.list(Kind::Streams, Freshness::Latest).await;
            let objects = objects.expect("a listing").objects;
            objects.iter().map(|object| object.revision).sum()
        };
        let mut writes = 0;
        let mut before = revisions().await;
        for _ in 0..ms / 250 {
            self.begin(self.random_host()).await;
            wait_ms(240).await;
            let after = revisions().await;
            writes += u64::from(after != before);
            before = after;
        }
        writes
    }
}

/// Guards against calls to the store, which have a price, when there is one version only: when a host has
/// just started, when all have, and beside a service that has no engine.
#[test]
fn journal_not_written_with_one_version() {
    run_virtual(async {
        let fleet = Fleet::spawn(7, 0.0).await;
        assert_eq!(fleet.journal_writes_in(3_000).await, 0, "in calm");
        for at in 0..3 {
            fleet.restart(at);
            wait_ms(300).await;
            let writes = fleet.journal_writes_in(2_000).await;
            assert_eq!(writes, 0, "after the restart of host {at}");
        }
        fleet.restart_all().await;
        wait_ms(2_000).await;
        assert_eq!(
            fleet.journal_writes_in(3_000).await,
            0,
            "after all hosts restarted"
        );
        for member in fleet.members.borrow().iter() {
            let mut config = (*member.host.config().expect("a configuration")).clone();
            let model = config.services["model"].clone();
            config.version += 1;
            config.services.insert("new-model".to_owned(), model);
            member.host.set_config(config);
        }
        wait_ms(500).await;
        let writes = fleet.journal_writes_in(3_000).await;
        assert_eq!(writes, 0, "beside a service without engines");
    });
}

/// Guards against a stream that waits for, or goes on at another version than, one that nobody serves
/// any more, and against hosts that answer from memory while the store is away.
#[test]
fn resume_version_gone() {
    run_virtual(async {
        let fleet = Fleet::spawn(7, 0.0).await;
        let begun = fleet.begin_some(20).await;
        fleet.add_second_version().await;
        fleet.remove_first_version().await;
        assert_eq!(fleet.resume_all(&begun, "gone").await, 0);
        let begun = fleet.begin_some(20).await;
        fleet.store.set_mode(StoreMode::Unresponsive);
        wait_ms(2_000).await;
        let resumed = fleet.resume_all(&begun, "store away").await;
        assert!(resumed >= 18, "{resumed} of 20");
    });
}

/// Guards against hosts that were cut off, alone or with others, while engines of another version joined, and take
/// what they knew before for proof that there is one version.
#[test]
fn resume_at_host_out_of_step() {
    for isolated in [1, 3] {
        for is_store_reached in [false, true] {
            run_virtual(async {
                let fleet = Fleet::spawn(7, 0.0).await;
                let members = fleet.members.borrow().clone();
                for member in &members[..isolated] {
                    member.is_isolated.set(true);
                    if !is_store_reached {
                        member.link.mode.set(StoreMode::Unresponsive);
                    }
                }
                fleet.add_second_version().await;
                let case = format!("{isolated} cut off, store reached {is_store_reached}");
                for round in 0..8 {
                    if round == 4 {
                        fleet.remove_first_version().await;
                    }
                    let begun = fleet.begin(3 + round % 4).await;
                    wait_ms(100).await;
                    for at in 0..isolated {
                        let version = fleet.resume(at, &begun).await;
                        let is_same = version.is_none_or(|version| version == begun.version);
                        assert!(is_same, "{case}, round {round}: {begun:?}");
                    }
                    wait_ms(400).await;
                }
                for member in &members[..isolated] {
                    member.is_isolated.set(false);
                    member.link.mode.set(StoreMode::Up);
                }
                wait_ms(3_000).await;
                let begun = fleet.begin_some(20).await;
                wait_ms(100).await;
                let resumed = fleet.resume_all(&begun, &case).await;
                assert!(resumed >= 18, "{case}: {resumed} of 20, afterwards");
            });
        }
    }
}

/// Guards against a caller whose third try goes on at another version than its first, and against ids
/// that began nothing.
#[test]
fn resume_chain_and_unknown_ids() {
    run_virtual(async {
        let fleet = Fleet::spawn(7, 0.0).await;
        fleet.add_second_version().await;
        let begun = fleet.begin(0).await;
        wait_ms(50).await;
        for number in 9..=12 {
            fleet.put_engine(number, "v3", "ready");
        }
        wait_ms(500).await;
        for at in [1, 2, 3] {
            let version = fleet.resume(at, &begun).await;
            assert_eq!(version.as_ref(), Some(&begun.version));
        }
        let unknown = Begun {
            id: "never".to_owned(),
            version: "none".to_owned(),
        };
        assert_eq!(fleet.resume(1, &unknown).await, None);
    });
}
