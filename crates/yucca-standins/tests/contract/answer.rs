use std::collections::HashSet;
use std::time::{Duration, Instant};

use yucca_standins::answer::{self, Answer};
use yucca_standins::prefix_cache::{EventKind, PrefixCache};

fn words(count: usize) -> String {
    (0..count).map(|i| format!("w{i} ")).collect()
}

/// Guards against tokens that do not depend on the model, version, prompt or index.
#[test]
fn token_depends_on_each_input() {
    let base = ("m", "v1", "a b c", 0);
    let others = [
        ("n", "v1", "a b c", 0),
        ("m", "v2", "a b c", 0),
        ("m", "v1", "a b d", 0),
        ("mv", "1", "a b c", 0),
        ("m", "v1", "a b c", 1),
    ];
    let token = |(m, v, p, i): (&str, &str, &str, usize)| {
        let answer = Answer::new(m, v, p);
        (0..4)
            .map(|n| answer.token(i * 100 + n))
            .collect::<Vec<_>>()
    };
    for other in others {
        assert_ne!(token(base), token(other), "{other:?}");
    }
    assert_eq!(
        answer::token("m", "v1", "a b c", 7),
        Answer::new("m", "v1", "a b c").token(7)
    );
}

/// Guards against a resumed stream whose text differs from the uninterrupted one.
#[test]
fn concatenated_ranges_give_complete_text() {
    let part = |range| answer::text("m", "v", "p", range);
    for cut in 0..8 {
        assert_eq!(part(0..cut) + &part(cut..8), part(0..8));
    }
}

/// Guards against block boundaries that are off by one, and against hashes that depend on the
/// whitespace between words.
#[test]
fn prefix_hashes_cover_blocks_of_64_words() {
    for (count, blocks) in [(0, 0), (63, 0), (64, 1), (127, 1), (128, 2), (200, 3)] {
        let hashes = answer::prefix_hashes(&words(count));
        assert_eq!(hashes.len(), blocks, "{count} words");
        assert!(hashes.iter().all(|hash| hash.len() == 16));
    }
    let text = words(64);
    let expected = blake3::hash(text.trim().as_bytes()).to_hex()[..16].to_owned();
    assert_eq!(answer::prefix_hashes(&text.replace(' ', " \n")), [expected]);
    assert_eq!(
        answer::prefix_hashes(&words(128))[0],
        answer::prefix_hashes(&text)[0]
    );
}

fn hashes(names: &str) -> Vec<String> {
    names.chars().map(String::from).collect()
}

/// Guards against a cache that keeps the extensions of an evicted prefix or evicts a recently used
/// block.
#[test]
fn cache_evicts_least_recently_used_blocks() {
    let now = Instant::now();
    let mut cache = PrefixCache::new(4 * 64, Duration::ZERO, 0, 1);
    cache.insert(&hashes("abc"), now);
    cache.insert(&hashes("x"), now);
    assert_eq!(cache.touch(&hashes("ab")), 2 * 64);
    cache.insert(&hashes("yz"), now);
    for (chain, tokens) in [("abc", 128), ("x", 0), ("yz", 128)] {
        assert_eq!(cache.touch(&hashes(chain)), tokens, "{chain}");
    }
    assert_eq!(cache.chain("b"), Some(hashes("ab")));
    assert_eq!(cache.chain("c"), None);
    let events = cache.events_after(0, now);
    let evicted = events
        .iter()
        .filter(|event| event.kind == EventKind::Evicted);
    let evicted: HashSet<_> = evicted.map(|event| event.prefix.as_str()).collect();
    assert_eq!(evicted, HashSet::from(["c", "x"]));
}

/// Guards against events that are visible before the lag has passed, and against lost events that
/// leave no gap in the sequence numbers.
#[test]
fn events_are_delayed_and_lost_ones_leave_gaps() {
    let lag = Duration::from_millis(200);
    for (loss_percent, least, most) in [(0, 100, 100), (50, 20, 80), (100, 0, 0)] {
        let now = Instant::now();
        let mut cache = PrefixCache::new(1_000 * 64, lag, loss_percent, 7);
        for index in 0..100 {
            cache.insert(&[index.to_string()], now);
        }
        assert!(cache.events_after(0, now + lag / 2).is_empty());
        let events = cache.events_after(0, now + lag);
        assert!(
            (least..=most).contains(&events.len()),
            "{loss_percent}%: {}",
            events.len()
        );
        let expected = |event: &yucca_standins::prefix_cache::Event| {
            event.prefix == (event.seq - 1).to_string()
        };
        assert!(events.iter().all(expected));
        assert!(cache.events_after(100, now + lag).is_empty());
        // A sequence number from before a restart of the engine returns all events.
        assert_eq!(cache.events_after(101, now + lag), events);
    }
}
