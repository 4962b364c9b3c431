//! Tests which parts of prompts are identified as the cause of crashes.

use yuccacove::crash_cause::{
    CrashCauses, CrashId, CrashReport, Evidence, PartKey, PartReport, trial_delay_ms,
};

const SHARED: PartKey = part(1);
const DEADLY: PartKey = part(2);

const fn part(id: u64) -> PartKey {
    PartKey { scope: 7, id }
}

fn identified() -> CrashCauses {
    let mut causes = CrashCauses::default();
    causes.record_crash(CrashId(1), &[SHARED, DEADLY, part(10)], 0, 1_000);
    causes.record_crash(CrashId(2), &[SHARED, DEADLY, part(11)], 0, 2_000);
    causes
}

fn exchange(from: &CrashCauses, to: &mut CrashCauses, now_ms: u64) {
    for report in from.sample(0, 100, now_ms) {
        to.merge(&report, now_ms);
    }
}

/// Guards against refusing requests after one crash, or after crashes of one cause, such as a rack
/// that is lost.
#[test]
fn is_refused_crashes_at_same_time() {
    for (second_ms, is_refused) in [(1_000, false), (1_090, false), (1_100, true), (9_000, true)] {
        let mut causes = CrashCauses::default();
        causes.record_crash(CrashId(1), &[DEADLY], 0, 1_000);
        assert!(!causes.is_refused(&[DEADLY], 1_000));
        causes.record_crash(CrashId(2), &[DEADLY], 0, second_ms);
        assert_eq!(
            causes.is_refused(&[DEADLY], second_ms),
            is_refused,
            "{second_ms}"
        );
    }
}

/// Guards against a trial that goes on after a verdict, or that no host but the first learns of.
#[test]
fn is_on_trial_until_verdict() {
    let on_trial = || {
        let mut causes = CrashCauses::default();
        causes.record_crash(CrashId(1), &[DEADLY], 0, 1_000);
        assert!(!causes.is_on_trial(DEADLY, 1_000));
        causes.record_crash(CrashId(2), &[DEADLY], 0, 1_020);
        assert!(causes.is_on_trial(DEADLY, 1_020));
        assert!(!causes.is_refused(&[DEADLY], 1_020));
        causes
    };
    let mut crashed = on_trial();
    crashed.record_crash(CrashId(3), &[DEADLY], 0, 4_000);
    assert!(!crashed.is_on_trial(DEADLY, 4_000));
    assert!(crashed.is_refused(&[DEADLY], 4_000));

    let (mut proved, mut other) = (on_trial(), on_trial());
    proved.take_changes(1_030);
    proved.record_sound(&[DEADLY], 4_000);
    assert!(!proved.is_on_trial(DEADLY, 4_000));
    let urgent = proved.take_changes(4_000).urgent;
    other.merge(&urgent[0], 4_000);
    assert!(!other.is_on_trial(DEADLY, 4_000));
}

/// Guards against hosts that run a request on trial at the same moment, and against waits that grow
/// with the fleet.
#[test]
fn trial_delay_ms_differs_between_hosts() {
    let delays = |hosts: u64| -> Vec<u64> {
        let ids = 1..=hosts;
        ids.clone()
            .map(|own| trial_delay_ms(DEADLY, own, ids.clone().filter(|id| *id != own)))
            .collect()
    };
    let mut seven = delays(7);
    seven.sort_unstable();
    assert_eq!(seven, [0, 150, 300, 450, 600, 750, 900]);
    let many = delays(350);
    assert!(many.iter().all(|delay_ms| *delay_ms < 1_500));
    assert_eq!(many.iter().filter(|delay_ms| **delay_ms == 0).count(), 35);
}

/// Guards against announcing a sound request as a cause because it was under way in two of the
/// crashes of another one.
#[test]
fn take_identified_covered_by_another() {
    let sound = part(20);
    let mut causes = CrashCauses::default();
    causes.record_crash(CrashId(1), &[DEADLY], 0, 1_000);
    causes.record_crash(CrashId(2), &[DEADLY, sound], 0, 1_050);
    causes.record_crash(CrashId(3), &[DEADLY, sound], 0, 1_200);
    assert_eq!(causes.take_identified(1_200), [(DEADLY, 2)]);
    assert_eq!(causes.identified_count(1_200), 1);
    assert!(!causes.is_refused(&[sound], 1_200));
}

/// Guards against counting one crash twice that several hosts report.
#[test]
fn is_refused_crash_reported_twice() {
    let mut causes = CrashCauses::default();
    causes.record_crash(CrashId(1), &[DEADLY], 0, 1_000);
    causes.record_crash(CrashId(1), &[DEADLY], 0, 2_000);
    assert!(!causes.is_refused(&[DEADLY], 2_000));
}

/// Guards against refusing sound requests that share a part with those that crash engines.
#[test]
fn is_refused_parts_in_common() {
    let mut causes = identified();
    // The shared part and the deadly one cannot be told apart yet.
    assert!(causes.is_refused(&[SHARED, DEADLY, part(12)], 2_000));
    assert!(!causes.is_refused(&[SHARED, part(12)], 2_000));
    assert!(!causes.is_refused(&[part(10)], 2_000));
    causes.record_sound(&[SHARED, part(12)], 2_010);
    assert!(causes.is_refused(&[DEADLY, part(13)], 2_010));
    assert!(!causes.is_refused(&[SHARED, part(10)], 2_010));
}

/// Guards against a part that crashes engines before they send a byte and is never identified, and
/// against one that is identified because requests with it waited on two engines that crashed.
#[test]
fn is_refused_waiting_in_four_crashes() {
    let mut causes = CrashCauses::default();
    for crash in 1..=4u64 {
        let parts = [SHARED, DEADLY, part(10 + crash)];
        assert!(!causes.is_refused(&parts, crash * 1_000), "crash {crash}");
        assert_eq!(causes.is_suspect(&parts, crash * 1_000), crash > 2);
        causes.record(CrashId(crash), Evidence::Waiting, &parts, 0, crash * 1_000);
        causes.record_sound(&[SHARED, part(30)], crash * 1_000 + 10);
    }
    assert!(causes.is_refused(&[DEADLY, part(20)], 5_000));
    assert!(!causes.is_refused(&[SHARED, part(20)], 5_000));
}

/// Guards against refusing a sound generation that waited on two engines that crashed one after the
/// other, the second one after a retry.
#[test]
fn is_refused_same_request_in_three_crashes() {
    for (first, is_refused) in [
        (Evidence::SameRequest, [false, false, true]),
        (Evidence::Begun, [false, false, true]),
    ] {
        let mut causes = CrashCauses::default();
        for crash in 0..3u64 {
            let at_ms = 1_000 + crash * 500;
            let evidence = if crash == 0 {
                first
            } else {
                Evidence::SameRequest
            };
            causes.record(CrashId(crash), evidence, &[DEADLY], 0, at_ms);
            let expected = is_refused[crash as usize];
            assert_eq!(
                causes.is_refused(&[DEADLY], at_ms),
                expected,
                "{first:?} {crash}"
            );
        }
    }
}

/// Guards against a part that goes on crashing engines because sound requests waited in the same
/// crashes.
#[test]
fn is_refused_beside_waiting() {
    let waiting = part(20);
    let mut causes = CrashCauses::default();
    for crash in 1..=2u64 {
        causes.record_crash(CrashId(crash), &[DEADLY], 0, crash * 1_000);
        causes.record(
            CrashId(crash),
            Evidence::Waiting,
            &[waiting],
            0,
            crash * 1_000,
        );
    }
    assert!(causes.is_refused(&[DEADLY], 3_000));
    assert!(!causes.is_refused(&[waiting], 3_000));
    assert_eq!(causes.take_identified(3_000), [(DEADLY, 2)]);
}

/// Guards against refusing a sound part that few requests have, because requests with it waited when
/// many engines were lost, again and again.
#[test]
fn is_refused_many_engines_lost() {
    let sound = part(20);
    for (engines, is_refused) in [(1, true), (3, true), (4, false), (12, false)] {
        let mut causes = CrashCauses::default();
        for loss in 1..=4u64 {
            for engine in 0..engines {
                let crash = CrashId(loss * 100 + engine);
                let parts = if engine == 0 {
                    sound
                } else {
                    part(1_000 + crash.0)
                };
                causes.record(crash, Evidence::Waiting, &[parts], 0, loss * 1_000 + engine);
            }
        }
        assert_eq!(causes.is_refused(&[sound], 5_000), is_refused, "{engines}");
    }
}

/// Guards against a part that is not identified because its first crashes, which came at the same
/// moment, leave no room for later ones.
#[test]
fn is_refused_many_crashes_at_same_moment() {
    let mut causes = CrashCauses::default();
    for crash in 0..12 {
        let at_ms = 1_000 + crash / 4 * 500;
        causes.record(CrashId(crash), Evidence::Waiting, &[DEADLY], 0, at_ms);
    }
    assert!(!causes.is_refused(&[DEADLY], 2_500));
    causes.record(CrashId(12), Evidence::Waiting, &[DEADLY], 0, 3_000);
    assert!(causes.is_refused(&[DEADLY], 3_000));
}

/// Guards against a moment that seems to begin later, and takes in the next one, because its first
/// crash has made room for another.
#[test]
fn is_refused_crashes_at_close_moments() {
    let mut causes = CrashCauses::default();
    let times_ms = [
        1_000, 1_050, 1_080, 1_090, 1_120, 1_130, 1_500, 1_510, 1_520,
    ];
    for (crash, at_ms) in (0..).zip(times_ms) {
        causes.record(CrashId(crash), Evidence::SameRequest, &[DEADLY], 0, at_ms);
    }
    assert!(causes.is_refused(&[DEADLY], 1_520));
}

/// Guards against hosts that disagree because one saw a request wait and the other saw its response
/// begin, in the same crash.
#[test]
fn merge_closest_evidence() {
    let report = |evidence| PartReport {
        part: DEADLY,
        crashes: [1, 2]
            .map(|crash| CrashReport {
                crash: CrashId(crash),
                evidence,
                age_ms: 10_000 - crash * 1_000,
                is_refuted: false,
            })
            .to_vec(),
    };
    let reports = [report(Evidence::Waiting), report(Evidence::Begun)];
    for order in [[0, 1], [1, 0]] {
        let mut causes = CrashCauses::default();
        for at in order {
            causes.merge(&reports[at], 10_000);
        }
        assert!(causes.is_refused(&[DEADLY], 10_000), "{order:?}");
    }
}

/// Guards against blame that outlives the proof that a part is sound, whichever is known first.
#[test]
fn is_refused_sound_part() {
    let mut proved_later = identified();
    assert!(proved_later.record_sound(&[SHARED, DEADLY], 2_500));
    assert!(!proved_later.is_refused(&[SHARED, DEADLY], 2_500));

    let mut proved_before_report = CrashCauses::default();
    proved_before_report.record_sound(&[SHARED, DEADLY], 2_500);
    exchange(&identified(), &mut proved_before_report, 2_600);
    assert!(!proved_before_report.is_refused(&[SHARED, DEADLY], 2_600));
    // The host that did not see the proof learns of it.
    let mut blaming = identified();
    for report in proved_before_report.take_changes(2_600).refuted {
        blaming.merge(&report, 2_600);
    }
    assert!(!blaming.is_refused(&[SHARED, DEADLY], 2_600));
    // A late copy of the blame does not bring it back.
    exchange(&identified(), &mut blaming, 2_700);
    assert!(!blaming.is_refused(&[SHARED, DEADLY], 2_700));
}

/// Guards against old proof that hides a part which has begun to crash engines.
#[test]
fn is_refused_part_sound_before() {
    let mut causes = CrashCauses::default();
    causes.record_sound(&[DEADLY], 900);
    exchange(&identified(), &mut causes, 2_000);
    assert!(causes.is_refused(&[SHARED, DEADLY], 2_000));
}

/// Guards against a fault in which a host that had just started took all crashes before its start
/// for one.
#[test]
fn merge_crashes_before_start() {
    let mut started = CrashCauses::default();
    for report in identified().sample(0, 100, 60_000) {
        started.merge(&report, 5);
    }
    assert!(started.is_refused(&[SHARED, DEADLY], 5));
}

/// Guards against hosts that disagree because reports arrive in another order, or more than once.
#[test]
fn merge_any_order() {
    let report = |id, crashes: &[(u64, u64, bool)]| PartReport {
        part: part(id),
        crashes: crashes
            .iter()
            .map(|(crash, at_ms, is_refuted)| CrashReport {
                crash: CrashId(*crash),
                evidence: Evidence::Begun,
                age_ms: 10_000 - at_ms,
                is_refuted: *is_refuted,
            })
            .collect(),
    };
    let reports = [
        report(1, &[(1, 1_000, false), (2, 2_000, false)]),
        report(2, &[(1, 1_000, false)]),
        report(1, &[(1, 1_000, true)]),
        report(2, &[(2, 2_000, false), (3, 3_000, false)]),
        report(3, &[(2, 2_000, false), (3, 3_000, true)]),
    ];
    let requests = [
        vec![part(1)],
        vec![part(2)],
        vec![part(1), part(2)],
        vec![part(3)],
    ];
    let decisions = |order: &[usize]| -> Vec<bool> {
        let mut causes = CrashCauses::default();
        for at in order {
            causes.merge(&reports[*at], 10_000);
        }
        let refused = requests
            .iter()
            .map(|parts| causes.is_refused(parts, 10_000));
        refused.collect()
    };
    let expected = decisions(&[0, 1, 2, 3, 4]);
    assert_eq!(expected, [false, true, true, false]);
    for order in [
        [4, 3, 2, 1, 0, 0, 4].as_slice(),
        &[2, 0, 4, 1, 3, 3, 2],
        &[3, 4, 0, 2, 1, 0, 1],
    ] {
        assert_eq!(decisions(order), expected, "{order:?}");
    }
}

/// Guards against prompts of callers that displace an identified part or grow the state without
/// bound.
#[test]
fn record_crash_many_parts() {
    let mut causes = identified();
    causes.record_sound(&[SHARED], 2_500);
    for crash in 0..20_000 {
        causes.record_crash(CrashId(100 + crash), &[part(1_000 + crash)], 0, 3_000);
    }
    assert!(causes.is_refused(&[DEADLY], 3_000));
    assert!(causes.sample(0, usize::MAX, 3_000).len() <= 4_096);
    assert_eq!(causes.sample(77, 1, 3_000)[0].part, DEADLY);
}

/// Guards against two hosts that keep blame alive for each other.
#[test]
fn sample_does_not_renew_blame() {
    let mut a = identified();
    let mut b = CrashCauses::default();
    for now_ms in (2_000..700_000).step_by(500) {
        exchange(&a, &mut b, now_ms);
        exchange(&b, &mut a, now_ms);
    }
    for causes in [&a, &b] {
        assert!(causes.is_refused(&[SHARED, DEADLY], 601_000));
        assert!(!causes.is_refused(&[SHARED, DEADLY], 602_000));
    }
}
