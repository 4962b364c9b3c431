//! Fleet-wide limits in virtual time: exact even if all requests reach one host, bounded when hosts
//! fail.

use yuccacove::limits::{
    AcquireResult, GRANT_LIFETIME_MS, Grant, RateHolder, RateOwner, SlotHolder, SlotOwner,
};

const LIMIT_PER_S: u32 = 100;
const HOSTS: usize = 7;
const STEP_MS: u64 = 1;

/// Which owner of the limit the holders reach.
#[derive(Debug, Clone, Copy)]
enum Ownership {
    /// One owner for the whole run.
    Stable,
    /// The owner fails at half time, and all holders switch to a new one at once.
    Replaced,
    /// From half time on, the fleet is partitioned and each side has its own owner.
    Split,
    /// From half time on, no holder reaches an owner.
    Unreachable,
}

/// Number of requests admitted in `seconds` if each of `calling` hosts receives `rate_per_s`
/// requests per second.
fn admitted(ownership: Ownership, calling: usize, rate_per_s: u64, seconds: u64) -> u32 {
    let end_ms = seconds * 1_000;
    let half_ms = end_ms / 2;
    let mut owners = vec![RateOwner::open(LIMIT_PER_S, 0)];
    let mut holders: Vec<_> = (0..HOSTS)
        .map(|_| RateHolder::open(LIMIT_PER_S, 0))
        .collect();
    let mut admitted = 0;
    for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
        if now_ms == half_ms {
            match ownership {
                Ownership::Replaced => owners = vec![RateOwner::open(LIMIT_PER_S, now_ms)],
                Ownership::Split => owners.push(RateOwner::open(LIMIT_PER_S, now_ms)),
                Ownership::Stable | Ownership::Unreachable => {}
            }
        }
        if !now_ms.is_multiple_of(1_000 / rate_per_s) {
            continue;
        }
        for (host, holder) in holders.iter_mut().take(calling).enumerate() {
            let mut result = holder.acquire(1, now_ms);
            if let AcquireResult::Ask(want) = result {
                if now_ms >= half_ms && matches!(ownership, Ownership::Unreachable) {
                    holder.owner_unreachable(HOSTS as u32, now_ms);
                } else {
                    let side = host % owners.len();
                    let grant = owners[side].grant(want, now_ms);
                    holder.granted(want, grant, now_ms);
                }
                result = holder.acquire(1, now_ms);
            }
            admitted += u32::from(result == AcquireResult::Acquired);
        }
    }
    admitted
}

/// Guards against a limit that applies to each host instead of the fleet, that admits too little if
/// all requests reach one host, or that is exceeded by too much when ownership changes.
#[test]
fn rate_limit_bounds() {
    let seconds = 20;
    let limit = LIMIT_PER_S * seconds as u32;
    // A new owner grants nothing for the lifetime of a grant, and one burst may exceed the limit.
    let start = LIMIT_PER_S * (GRANT_LIFETIME_MS / 1_000) as u32;
    let cases = [
        (
            "one host",
            Ownership::Stable,
            1,
            500,
            limit - 2 * start,
            limit,
        ),
        (
            "all hosts",
            Ownership::Stable,
            7,
            250,
            limit - 2 * start,
            limit,
        ),
        (
            "below the limit",
            Ownership::Stable,
            1,
            50,
            50 * 18,
            50 * 20,
        ),
        (
            "owner replaced",
            Ownership::Replaced,
            7,
            250,
            limit - 4 * start,
            limit + start,
        ),
        (
            "split",
            Ownership::Split,
            7,
            250,
            limit - 2 * start,
            limit + limit / 2 + start,
        ),
        (
            "no owner, all hosts",
            Ownership::Unreachable,
            7,
            250,
            limit - 4 * start,
            limit + start,
        ),
        (
            "no owner, one host",
            Ownership::Unreachable,
            1,
            500,
            limit / 2,
            limit,
        ),
    ];
    for (name, ownership, calling, rate_per_s, least, most) in cases {
        let got = admitted(ownership, calling, rate_per_s, seconds);
        println!("{name}: admitted {got} of limit {limit}, allowed {least}..={most}");
        assert!(
            (least..=most).contains(&got),
            "{name}: {got} not in {least}..={most}"
        );
    }
}

/// Guards against a message to the owner for each request that is refused because the limit is
/// exhausted.
#[test]
fn rate_holder_refuses_without_asking() {
    let mut holder = RateHolder::open(10, 0);
    let AcquireResult::Ask(want) = holder.acquire(1, 0) else {
        panic!("an empty balance asks");
    };
    let none = Grant {
        amount: 0,
        valid_ms: GRANT_LIFETIME_MS,
    };
    holder.granted(want, none, 0);
    let asks = (1..100)
        .filter(|now_ms| matches!(holder.acquire(1, *now_ms), AcquireResult::Ask(_)))
        .count();
    assert_eq!(asks, 0);
}

/// Guards against a balance that is used after its grant expired, when a new owner may grant the
/// same amount again.
#[test]
fn rate_balance_expires() {
    let mut holder = RateHolder::open(10, 0);
    let grant = Grant {
        amount: 5,
        valid_ms: GRANT_LIFETIME_MS,
    };
    holder.granted(5, grant, 0);
    assert_eq!(
        holder.acquire(1, GRANT_LIFETIME_MS - 1),
        AcquireResult::Acquired
    );
    assert!(matches!(
        holder.acquire(1, GRANT_LIFETIME_MS),
        AcquireResult::Ask(_)
    ));
}

/// Guards against slots of a failed host that are lost or granted twice.
#[test]
fn slots_after_host_failure() {
    let mut owner = SlotOwner::open(10, 0);
    assert_eq!(
        owner.renew("entry-1", 0, 10, 0).amount,
        0,
        "nothing within the first lifetime of a grant"
    );
    let now_ms = GRANT_LIFETIME_MS;
    assert_eq!(owner.renew("entry-1", 0, 8, now_ms).amount, 8);
    assert_eq!(owner.renew("entry-2", 0, 8, now_ms).amount, 2);
    // entry-1 does not renew its slots; they are free once its grant has expired.
    assert_eq!(
        owner
            .renew("entry-2", 2, 8, now_ms + GRANT_LIFETIME_MS - 1)
            .amount,
        2
    );
    assert_eq!(
        owner
            .renew("entry-2", 2, 8, now_ms + GRANT_LIFETIME_MS)
            .amount,
        10
    );
}

/// Guards against a holder that admits more than it was granted, or loses a released slot.
#[test]
fn slots_acquire_and_release() {
    let mut holder = SlotHolder::open(4, 0);
    assert_eq!(holder.acquire(0), AcquireResult::Ask(1));
    let two = Grant {
        amount: 2,
        valid_ms: GRANT_LIFETIME_MS,
    };
    holder.granted(two, 0);
    assert_eq!(holder.acquire(0), AcquireResult::Acquired);
    assert_eq!(holder.acquire(0), AcquireResult::Acquired);
    assert_eq!(holder.acquire(0), AcquireResult::Ask(1));
    holder.release();
    assert_eq!(holder.acquire(0), AcquireResult::Acquired);
    assert_eq!(holder.in_use(), 2);
}

/// Guards against a fallback that refuses the first requests after a start, admits a burst each
/// time that the owner becomes unreachable again, or never asks the owner again.
#[test]
fn rate_fallback_is_one_bucket() {
    let mut holder = RateHolder::open(40, 0);
    let mut acquired = 0;
    for round in 0..5 {
        let now_ms = round * GRANT_LIFETIME_MS;
        assert!(
            matches!(holder.acquire(1, now_ms), AcquireResult::Ask(_)),
            "{round}"
        );
        for lost in 0..3 {
            holder.owner_unreachable(4, now_ms);
            if lost < 2 {
                let none = Grant {
                    amount: 0,
                    valid_ms: 0,
                };
                holder.granted(0, none, now_ms);
            }
        }
        while holder.acquire(1, now_ms) == AcquireResult::Acquired {
            acquired += 1;
        }
        // The share of one second at the start, and one more for each second that passed.
        assert_eq!(acquired, 10 * (round + 1));
    }
    holder.release(1, 4 * GRANT_LIFETIME_MS);
    assert_eq!(
        holder.acquire(1, 4 * GRANT_LIFETIME_MS),
        AcquireResult::Acquired
    );
}

/// Guards against a call to the owner at each refill of a high limit that is exhausted.
#[test]
fn rate_refusals_of_high_limit_rarely_ask() {
    let mut holder = RateHolder::open(100_000, 0);
    let mut asks = 0;
    for now_ms in 0..1_000 {
        if let AcquireResult::Ask(want) = holder.acquire(1_000, now_ms) {
            asks += 1;
            let grant = Grant {
                amount: 100,
                valid_ms: GRANT_LIFETIME_MS,
            };
            holder.granted(want, grant, now_ms);
        }
    }
    assert!((1..=20).contains(&asks), "{asks}");
}

/// Guards against a renewal that returns slots which requests acquire before the owner's response
/// arrives, or that refuses requests although the owner granted all that was asked for.
#[test]
fn slots_renewal_keeps_allowed() {
    // (wanted slots, granted slots, slots acquired before the response, result of the next request)
    let refused = AcquireResult::Refused {
        retry_after_ms: 250,
    };
    let cases = [
        (0, 4, 2, AcquireResult::Ask(1)),
        (1, 5, 2, AcquireResult::Acquired),
        (1, 4, 2, refused),
        (1, 4, 1, AcquireResult::Acquired),
    ];
    for (wanted, granted, more, next) in cases {
        let mut holder = SlotHolder::open(9, 0);
        let grant = |amount| Grant {
            amount,
            valid_ms: GRANT_LIFETIME_MS,
        };
        holder.granted(grant(9), 0);
        holder.shrink(4);
        assert_eq!(holder.acquire(0), AcquireResult::Acquired);
        assert_eq!(holder.acquire(0), AcquireResult::Acquired);
        assert_eq!(holder.renewal(wanted, 0), (2, 2 + wanted));
        for _ in 0..more {
            assert_eq!(holder.acquire(0), AcquireResult::Acquired);
        }
        holder.granted(grant(granted), 0);
        assert_eq!(holder.acquire(0), next, "{wanted} {granted} {more}");
    }
}

/// An owner that responds late must not raise the limit: while the response is on its way the host
/// admits requests from its fallback share, and the owner grants the same time once more.
#[test]
fn rate_limit_holds_with_slow_owner() {
    const FLEET: u32 = 2;
    /// Time after which a host that waits for the owner falls back.
    const WAIT_MS: u64 = 100;
    const SECONDS: u64 = 6;
    for delay_ms in [10, 90, 110, 150, 400, 900, 1_500] {
        for pause_ms in [1, 3, 17] {
            let mut owner = RateOwner::open(LIMIT_PER_S, 0);
            let mut holder = RateHolder::open(LIMIT_PER_S, 0);
            let mut admitted = 0;
            // Amount of the pending call, and the times at which it was sent and ends.
            let mut call: Option<(u32, u64)> = None;
            let mut waiting_since_ms = None;
            for now_ms in 0..SECONDS * 1_000 {
                if let Some((want, sent_ms)) = call
                    && now_ms >= sent_ms + delay_ms
                {
                    let grant = owner.grant(want, now_ms);
                    holder.granted(want, grant, now_ms);
                    call = None;
                    waiting_since_ms = None;
                }
                if !now_ms.is_multiple_of(pause_ms) {
                    continue;
                }
                match holder.acquire(1, now_ms) {
                    AcquireResult::Acquired => admitted += 1,
                    AcquireResult::Refused { .. } => {}
                    AcquireResult::Ask(want) => {
                        call.get_or_insert((want, now_ms));
                        let since_ms = *waiting_since_ms.get_or_insert(now_ms);
                        if now_ms >= since_ms + WAIT_MS {
                            holder.owner_unreachable(FLEET, now_ms);
                        }
                    }
                }
            }
            let most = LIMIT_PER_S * (SECONDS as u32 + 1) + 1;
            let case = format!("{delay_ms} ms, a request each {pause_ms} ms");
            assert!(admitted <= most, "{case}: {admitted} above {most}");
        }
    }
}
