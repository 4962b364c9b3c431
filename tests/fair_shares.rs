//! Tests of the shares of organisations, kinds and sizes.

use yuccacove::fair_shares::{Asker, FairShares, Standing};

fn asker(organisation: u64, kind: u64, tokens: u32) -> Asker {
    Asker {
        organisation: Some(organisation),
        kind,
        urgency: kind as u8,
        tokens,
    }
}

/// Serves the shares of the requests of each asker that are given, 100 times.
fn recorded(asks: &[(Asker, f64)]) -> FairShares {
    let mut shares = FairShares::default();
    for round in 0..100 {
        for (asker, served) in asks {
            let is_admitted = f64::from(round % 10) < served * 10.0;
            shares.record(asker, 10.0, is_admitted, round as u64 * 20);
        }
    }
    shares
}

/// Guards against changes where there is no shortage, however unequal the work is.
#[test]
fn standing_without_shortage() {
    let asks = [
        (asker(1, 0, 800), 1.0),
        (asker(1, 0, 800), 1.0),
        (asker(1, 2, 12_000), 1.0),
        (asker(2, 1, 2_400), 1.0),
    ];
    let mut shares = recorded(&asks);
    for (asker, _) in asks {
        assert_eq!(shares.standing(&asker, 2_000), Standing::Fair);
    }
    assert_eq!(shares.organisations_over(), 0);
}

/// Guards against an organisation's flood that others pay for, and against the end of its service.
#[test]
fn standing_organisation_flood() {
    let flood = asker(1, 0, 800);
    let mut asks = vec![(flood, 0.5); 8];
    asks.push((asker(2, 0, 800), 0.5));
    let mut shares = recorded(&asks);
    assert_eq!(shares.standing(&flood, 2_000), Standing::Over);
    assert_ne!(shares.standing(&asker(2, 0, 800), 2_000), Standing::Over);
    assert_eq!(shares.organisations_over(), 1);
    // Refused for long, it is no longer over its share.
    let mut now_ms = 2_000;
    while shares.standing(&flood, now_ms) == Standing::Over {
        now_ms += 50;
        shares.record(&flood, 10.0, false, now_ms);
        shares.record(&asker(2, 0, 800), 10.0, true, now_ms);
        assert!(now_ms < 30_000, "the flood is never served again");
    }
    // A shortage that has ended is forgotten.
    assert_eq!(shares.standing(&flood, now_ms + 300_000), Standing::Fair);
}

/// Guards against organisations, kinds and sizes that get next to nothing in a shortage.
#[test]
fn standing_floors() {
    let cases = [
        ("organisation", asker(2, 0, 800), asker(1, 0, 800)),
        ("kind", asker(1, 2, 800), asker(1, 0, 800)),
        ("largest tenth", asker(1, 0, 9_000), asker(1, 0, 800)),
    ];
    for (name, low, usual) in cases {
        let mut asks = vec![(usual, 0.9); 19];
        asks.push((low, 0.0));
        let mut shares = recorded(&asks);
        assert_eq!(shares.standing(&low, 2_000), Standing::Under, "{name}");
        assert_ne!(shares.standing(&usual, 2_000), Standing::Under, "{name}");
    }
}

/// Guards against a kind that is served more often than a more urgent one.
#[test]
fn standing_ahead_of_more_urgent() {
    let [urgent, other] = [asker(1, 0, 800), asker(1, 1, 800)];
    let cases = [
        (0.5, 0.9, Standing::Ahead),
        (0.5, 0.5, Standing::Ahead),
        (0.5, 0.3, Standing::Fair),
        (1.0, 1.0, Standing::Fair),
    ];
    for (urgent_share, other_share, expected) in cases {
        let mut shares = recorded(&[(urgent, urgent_share), (other, other_share)]);
        assert_eq!(shares.standing(&other, 2_000), expected, "{other_share}");
        assert_ne!(shares.standing(&urgent, 2_000), Standing::Ahead);
    }
}

/// Guards against unfairness between organisations whose requests are spread unevenly over hosts:
/// no host knows more than its own requests, and the fleet as a whole has half of the room.
#[test]
fn standing_fair_over_hosts() {
    const HOSTS: usize = 7;
    let mut hosts: Vec<FairShares> = (0..HOSTS).map(|_| FairShares::default()).collect();
    let mut random = 9_u64;
    let mut draw = |below: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % below
    };
    let (mut asked, mut served) = ([0_u32; 3], [0_u32; 3]);
    let mut backlog_ms: f64 = 0.0;
    for at in 0..40_000_u64 {
        // Organisation 0 sends 80% of the requests, most of them to two hosts; the others use all.
        let organisation = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2][draw(10) as usize];
        let host = if organisation == 0 && draw(4) > 0 {
            draw(2) as usize
        } else {
            draw(HOSTS as u64) as usize
        };
        // A request arrives each millisecond and needs two of the engines.
        backlog_ms = (backlog_ms - 1.0).max(0.0);
        let asker = asker(organisation, 0, 800);
        let standing = hosts[host].standing(&asker, at);
        let limit_ms = match standing {
            Standing::Under => 1_000.0,
            Standing::Fair => 300.0,
            Standing::Over | Standing::Ahead => 105.0,
        };
        let is_admitted = backlog_ms < limit_ms;
        hosts[host].record(&asker, 2.0, is_admitted, at);
        asked[organisation as usize] += 1;
        served[organisation as usize] += u32::from(is_admitted);
        backlog_ms += if is_admitted { 2.0 } else { 0.0 };
    }
    let share = |o: usize| f64::from(served[o]) / f64::from(asked[o]);
    let all = f64::from(served.iter().sum::<u32>()) / f64::from(asked.iter().sum::<u32>());
    assert!(share(1) > 0.8 && share(2) > 0.8, "{asked:?} {served:?}");
    assert!(share(0) > all / 4.0, "{asked:?} {served:?}");
    assert!((0.45..0.56).contains(&all), "{all}");
}
