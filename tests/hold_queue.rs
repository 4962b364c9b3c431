//! Tests of the order of held requests.

use yuccacove::hold_queue::{HoldQueue, Precedence};

fn precedence(is_late: bool, urgency: u8, due_ms: u64) -> Precedence {
    Precedence {
        is_late,
        urgency,
        due_ms,
    }
}

/// Guards against held requests that start in the order of their polls: those that can still be in
/// time go first, then the more urgent ones, then those that are due first.
#[test]
fn first_follows_precedence() {
    let mut queue = HoldQueue::default();
    let ascending = [
        precedence(false, 0, 90),
        precedence(false, 1, 20),
        precedence(false, 1, 30),
        precedence(true, 0, 10),
        precedence(true, 2, 5),
    ];
    let tickets: Vec<_> = ascending.iter().rev().map(|p| queue.insert(*p)).collect();
    let same = queue.insert(ascending[0]);
    for ticket in tickets.into_iter().rev() {
        assert_eq!(queue.first(), Some(ticket));
        queue.remove(ticket);
        if queue.first() == Some(same) {
            queue.remove(same);
        }
    }
    assert_eq!(queue.first(), None);
}

/// Guards against requests that are held without any chance of their turn: the wait grows with the
/// requests ahead, and falls with the rate at which others were released.
#[test]
fn expected_wait_ms_by_releases() {
    let mut queue = HoldQueue::default();
    let behind = precedence(true, 1, 100);
    assert_eq!(queue.expected_wait_ms(behind, 0), 0.0);
    for due_ms in 0..10 {
        queue.insert(precedence(true, 1, due_ms));
    }
    queue.insert(precedence(true, 2, 0));
    let unknown_ms = queue.expected_wait_ms(behind, 0);
    // Ten releases 100 ms apart.
    for at in 1..=10 {
        queue.record_release(at * 100);
    }
    let known_ms = queue.expected_wait_ms(behind, 1_000);
    assert!(unknown_ms >= 5_000.0, "{unknown_ms}");
    assert!((500.0..3_000.0).contains(&known_ms), "{known_ms}");
    assert!(queue.is_behind(behind));
    assert!(!queue.is_behind(precedence(false, 0, 0)));
}
