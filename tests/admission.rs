//! Admission queue in virtual time: overload, floors, deadlines, queue limits and preemption.

use yuccacove::admission::{Decision, MAX_WAITING, Next, Offer, Queue, RequestKey};
use yuccacove::catalogue::Class;
use yuccacove::code::Code;
use yuccacove::rank::Rank;

const FLOORS_PERCENT: [u8; 3] = [40, 20, 10];
const SLOTS: usize = 10;

fn offer(rank: Rank, work_ms: u64, start_by_ms: u64) -> Offer {
    Offer {
        rank,
        class: Class::Chat,
        work_ms,
        start_by_ms,
    }
}

/// Load offered by one rank: `at_once` requests every `every_ms`.
#[derive(Debug, Clone, Copy)]
struct Demand {
    every_ms: u64,
    at_once: usize,
    work_ms: u64,
    slack_ms: u64,
}

#[derive(Debug, Default)]
struct Served {
    offered: [u32; 3],
    refused: [u32; 3],
    /// Requests that were queued and refused later.
    expired: [u32; 3],
    slot_ms: [u64; 3],
}

fn simulate(demands: [Demand; 3], seconds: u64) -> Served {
    let mut queue = Queue::new(FLOORS_PERCENT, SLOTS);
    let mut served = Served::default();
    let mut offers: Vec<Offer> = Vec::new();
    let mut running: Vec<(u64, RequestKey, Rank)> = Vec::new();
    let mut waiting_keys: Vec<(RequestKey, usize)> = Vec::new();
    for now_ms in 0..seconds * 1_000 {
        running.retain(|(end_ms, key, _)| {
            let is_running = *end_ms > now_ms;
            if !is_running {
                queue.finished(*key, now_ms);
            }
            is_running
        });
        for (rank, demand) in Rank::ALL.into_iter().zip(demands) {
            for _ in 0..demand.at_once * usize::from(now_ms % demand.every_ms == 0) {
                let offer = offer(rank, demand.work_ms, now_ms + demand.slack_ms);
                served.offered[rank.index()] += 1;
                match queue.offer(&offer, now_ms) {
                    Decision::Run(key) => running.push((now_ms + demand.work_ms, key, rank)),
                    Decision::Wait(key) => waiting_keys.push((key, offers.len())),
                    Decision::Refuse(_) => served.refused[rank.index()] += 1,
                }
                offers.push(offer);
            }
        }
        loop {
            while let Some(next) = queue.next(now_ms) {
                let (Next::Run(key) | Next::Refuse(key, _)) = next;
                let at = waiting_keys
                    .iter()
                    .position(|(k, _)| *k == key)
                    .expect("a waiting request");
                let offer = offers[waiting_keys.swap_remove(at).1];
                match next {
                    Next::Run(_) => running.push((now_ms + offer.work_ms, key, offer.rank)),
                    Next::Refuse(..) => served.expired[offer.rank.index()] += 1,
                }
            }
            let Some(victim) = queue.victim(now_ms) else {
                break;
            };
            let at = running
                .iter()
                .position(|r| r.1 == victim)
                .expect("a running victim");
            let (end_ms, key, rank) = running.swap_remove(at);
            assert_eq!(rank, Rank::Background);
            queue.preempted(key, end_ms - now_ms, now_ms + 60_000, now_ms);
            waiting_keys.push((key, offers.len()));
            offers.push(offer(rank, end_ms - now_ms, now_ms + 60_000));
        }
        assert!(queue.running() <= SLOTS);
        for (_, _, rank) in &running {
            served.slot_ms[rank.index()] += 1;
        }
    }
    served
}

const LIGHT: Demand = Demand {
    every_ms: 50,
    at_once: 1,
    work_ms: 100,
    slack_ms: 1_000,
};
const OVERLOAD: Demand = Demand {
    every_ms: 1,
    at_once: 1,
    work_ms: 100,
    slack_ms: 1_000,
};
const LONG: Demand = Demand {
    every_ms: 10,
    at_once: 1,
    work_ms: 2_000,
    slack_ms: 60_000,
};

/// Guards against urgent requests that wait behind an overload of background requests, and against
/// ranks that get no slots while a more urgent rank is overloaded.
#[test]
fn next_under_overload() {
    // (overloaded ranks, demands, ranks whose requests are all served, ranks that must get their
    // floor)
    let cases = [
        ("background", [LIGHT, LIGHT, LONG], vec![0, 1], vec![2]),
        ("urgent", [OVERLOAD, LIGHT, LONG], vec![1], vec![0, 1, 2]),
        ("standard", [LIGHT, OVERLOAD, LONG], vec![0], vec![1, 2]),
        ("all", [OVERLOAD, OVERLOAD, LONG], vec![], vec![0, 1, 2]),
    ];
    for (name, demands, all_served, floors) in cases {
        let served = simulate(demands, 60);
        let all_ms: u64 = 60_000 * SLOTS as u64;
        for rank in all_served {
            let not_served = served.refused[rank] + served.expired[rank];
            assert_eq!(not_served, 0, "overload of {name}, rank {rank}: {served:?}");
        }
        for rank in floors {
            let percent = served.slot_ms[rank] as f64 * 100.0 / all_ms as f64;
            // Tolerance: one request of 2 s is 0.3% of the slot time.
            let floor = f64::from(FLOORS_PERCENT[rank]) - 0.5;
            assert!(
                percent >= floor,
                "overload of {name}, rank {rank}: {percent}%"
            );
        }
        for rank in 0..3 {
            // Early refusal: few of the queued requests are refused later.
            let waited = served.offered[rank] - served.refused[rank];
            let expired = served.expired[rank];
            assert!(
                expired * 10 <= waited,
                "overload of {name}, rank {rank}: {served:?}"
            );
        }
    }
}

/// Guards against a request that waits behind one of the same rank with a later deadline.
#[test]
fn next_earliest_deadline_first() {
    let mut queue = Queue::new(FLOORS_PERCENT, 1);
    let Decision::Run(first) = queue.offer(&offer(Rank::Standard, 10, 5_000), 0) else {
        panic!("the slot is free");
    };
    let keys: Vec<_> = [3_000, 1_000, 2_000]
        .into_iter()
        .map(
            |start_by_ms| match queue.offer(&offer(Rank::Standard, 10, start_by_ms), 0) {
                Decision::Wait(key) => key,
                other => panic!("{other:?}"),
            },
        )
        .collect();
    assert_eq!(queue.next(0), None, "no slot is free");
    assert_eq!(queue.next_deadline_ms(), Some(1_000));
    queue.cancelled(keys[2], 5);
    queue.finished(first, 10);
    assert_eq!(queue.next(10), Some(Next::Run(keys[1])));
    let late = queue.next(3_001);
    assert!(matches!(late, Some(Next::Refuse(key, r))
        if key == keys[0] && r.code == Code::DeadlineUnreachable));
}

/// Guards against a queue that grows without bound, and against requests that are queued although
/// they cannot start in time.
#[test]
fn offer_refusals() {
    // (name, slots, waiting requests, time until the next request must start, its refusal code)
    let cases = [
        ("no slots", 0, 0, 60_000, Some(Code::NoBackend)),
        ("room", 1, 10, 60_000, None),
        ("full", 1, MAX_WAITING, 6_000_000, Some(Code::Overloaded)),
        ("too late", 1, 10, 900, Some(Code::DeadlineUnreachable)),
    ];
    for (name, slots, waiting, slack_ms, code) in cases {
        let mut queue = Queue::new(FLOORS_PERCENT, slots);
        for _ in 0..(waiting + 1) * usize::from(slots > 0) {
            queue.offer(&offer(Rank::Urgent, 100, slack_ms), 0);
        }
        let decision = queue.offer(&offer(Rank::Urgent, 100, slack_ms), 0);
        match (decision, code) {
            (Decision::Refuse(refusal), Some(code)) => {
                assert_eq!(refusal.code, code, "{name}");
                assert!((100..=30_000).contains(&refusal.retry_after_ms), "{name}");
            }
            (decision, code) => {
                assert!(
                    matches!(decision, Decision::Wait(_)) && code.is_none(),
                    "{name}: {decision:?}"
                );
            }
        }
        assert!(queue.waiting(Rank::Urgent) <= MAX_WAITING, "{name}");
    }
}

/// Guards against preemption of requests other than background chat, and against preemption that
/// takes the background rank below its floor.
#[test]
fn victim_only_background_chat() {
    // (rank, class and work of a running request, background floor in percent, whether it is
    // preempted)
    let cases = [
        (Rank::Background, Class::Chat, 10_000, 0, true),
        (Rank::Background, Class::Chat, 10_000, 50, true),
        (Rank::Background, Class::Chat, 5_000, 50, false),
        (Rank::Background, Class::Read, 10_000, 0, false),
        (Rank::Background, Class::Order, 10_000, 0, false),
        (Rank::Standard, Class::Chat, 10_000, 0, false),
        (Rank::Urgent, Class::Chat, 10_000, 0, false),
    ];
    for (rank, class, work_ms, floor, is_victim) in cases {
        let mut queue = Queue::new([0, 0, floor], 2);
        queue.offer(&offer(Rank::Urgent, 8_000, 60_000), 0);
        let running = Offer {
            class,
            ..offer(rank, work_ms, 60_000)
        };
        let Decision::Run(key) = queue.offer(&running, 0) else {
            panic!("a slot is free");
        };
        assert_eq!(queue.victim(0), None, "no request waits");
        let urgent = queue.offer(&offer(Rank::Urgent, 100, 1_000), 0);
        let waits = matches!(urgent, Decision::Wait(_));
        assert_eq!(waits, is_victim, "{rank:?} {class:?} {floor}%");
        assert_eq!(
            queue.victim(0),
            is_victim.then_some(key),
            "{rank:?} {class:?} {floor}%"
        );
    }
}

/// Guards against a preempted request that is reported as not run although it has partly run.
#[test]
fn preempted_then_expired() {
    let mut queue = Queue::new([0; 3], 1);
    let Decision::Run(key) = queue.offer(&offer(Rank::Background, 10_000, 60_000), 0) else {
        panic!("the slot is free");
    };
    let Decision::Wait(urgent) = queue.offer(&offer(Rank::Urgent, 100, 1_000), 0) else {
        panic!("a victim runs");
    };
    queue.preempted(key, 9_000, 5_000, 1_000);
    assert_eq!(queue.next(1_000), Some(Next::Run(urgent)));
    let late = queue.next(5_001);
    assert!(
        matches!(late, Some(Next::Refuse(k, r)) if k == key && r.code == Code::DeadlineExceeded)
    );
}
