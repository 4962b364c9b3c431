//! Requests that crash engines: identification, isolation, expiry and reports between peers.

use yuccacove::suspect::{EXPIRY_MS, Fingerprint, Placement, Suspects};

fn content(name: &str) -> Fingerprint {
    Fingerprint::of("owner", "entry", name.as_bytes())
}

/// Starts all requests of a batch and then loses their engine.
fn lose(suspects: &mut Suspects, batch: &[&str], now_ms: u64) -> Option<Fingerprint> {
    let batch: Vec<_> = batch.iter().map(|name| content(name)).collect();
    for fingerprint in &batch {
        suspects.started(*fingerprint);
    }
    suspects.engine_lost(&batch, now_ms)
}

/// Guards against refusing harmless requests, and against not identifying the cause.
#[test]
fn engine_lost_cases() {
    use Placement::{Anywhere, Isolated, Refuse};
    // (name, batches of lost engines, cause identified by the last loss, placements of a, b and c)
    type Case = (
        &'static str,
        Vec<Vec<&'static str>>,
        Option<&'static str>,
        [Placement; 3],
    );
    #[rustfmt::skip] // one case on each line
    let cases: [Case; 7] = [
        ("one loss", vec![vec!["a", "b"]], None, [Isolated, Isolated, Anywhere]),
        ("idle engine", vec![vec![]], None, [Anywhere; 3]),
        ("second loss", vec![vec!["a", "b"], vec!["a"]], Some("a"), [Refuse, Anywhere, Anywhere]),
        ("second loss with an unsuspected request", vec![vec!["a", "b"], vec!["a", "c"]], Some("a"), [Refuse, Anywhere, Anywhere]),
        ("sent twice", vec![vec!["a", "a"], vec!["a"]], Some("a"), [Refuse, Anywhere, Anywhere]),
        ("two suspects together", vec![vec!["a", "b"], vec!["a", "b"]], None, [Isolated, Isolated, Anywhere]),
        ("separate losses", vec![vec!["a"], vec!["b"]], None, [Isolated, Isolated, Anywhere]),
    ];
    for (name, batches, identified, placements) in cases {
        let mut suspects = Suspects::default();
        let mut last = None;
        for batch in batches {
            last = lose(&mut suspects, &batch, 0);
        }
        assert_eq!(last, identified.map(content), "{name}");
        let actual = ["a", "b", "c"].map(|c| suspects.placement(content(c), 1));
        assert_eq!(actual, placements, "{name}");
    }
}

/// Guards against losing more than two engines to one content that callers keep sending.
#[test]
fn placement_bounds_lost_engines() {
    let mut suspects = Suspects::default();
    lose(&mut suspects, &["bad", "b", "c"], 0);
    let mut lost = 1;
    let mut running = 0;
    for now_ms in 1..100 {
        match suspects.placement(content("bad"), now_ms) {
            Placement::Refuse => break,
            Placement::Wait => {
                assert_eq!(running, 1);
                suspects.engine_lost(&[content("bad")], now_ms);
                lost += 1;
            }
            Placement::Isolated | Placement::Anywhere => {
                suspects.started(content("bad"));
                running += 1;
            }
        }
    }
    assert_eq!(lost, 2);
    assert_eq!(suspects.placement(content("bad"), 100), Placement::Refuse);
}

/// Guards against suspicions that outlast a complete response or their expiry time.
#[test]
fn placement_after_completion_or_expiry() {
    let mut suspects = Suspects::default();
    lose(&mut suspects, &["a", "b"], 0);
    suspects.started(content("a"));
    assert_eq!(suspects.placement(content("a"), 1), Placement::Wait);
    suspects.completed(content("a"));
    assert_eq!(suspects.placement(content("a"), 1), Placement::Anywhere);
    suspects.started(content("b"));
    suspects.ended(content("b"));
    assert_eq!(
        suspects.placement(content("b"), EXPIRY_MS - 1),
        Placement::Isolated
    );
    assert_eq!(
        suspects.placement(content("b"), EXPIRY_MS),
        Placement::Anywhere
    );
}

/// Guards against a cause that other hosts do not refuse, a suspicion that peers keep renewing for
/// each other, and one that a peer restores after it was cleared.
#[test]
fn merge_remote_reports() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    lose(&mut here, &["a"], 0);
    let reports: Vec<_> = here.reports(1_000).collect();
    assert_eq!(reports[0].expires_in_ms, EXPIRY_MS - 1_000);
    there.merge_remote(&reports[0], 1_000);
    assert_eq!(there.placement(content("a"), 1_000), Placement::Isolated);
    // The suspicion expires on both hosts at the same time.
    for now_ms in (2_000..EXPIRY_MS).step_by(100_000) {
        let back: Vec<_> = there.reports(now_ms).collect();
        here.merge_remote(&back[0], now_ms);
        let reports: Vec<_> = here.reports(now_ms).collect();
        there.merge_remote(&reports[0], now_ms);
    }
    assert_eq!(
        there.reports(EXPIRY_MS).count() + here.reports(EXPIRY_MS).count(),
        0
    );

    lose(&mut here, &["b"], EXPIRY_MS);
    let reports: Vec<_> = here.reports(EXPIRY_MS).collect();
    there.merge_remote(&reports[0], EXPIRY_MS);
    there.completed(content("b"));
    there.merge_remote(&reports[0], EXPIRY_MS);
    assert_eq!(
        there.placement(content("b"), EXPIRY_MS),
        Placement::Anywhere
    );
    assert_eq!(lose(&mut here, &["b"], EXPIRY_MS + 1), Some(content("b")));
    let reports: Vec<_> = here.reports(EXPIRY_MS + 1).collect();
    there.merge_remote(&reports[0], EXPIRY_MS + 1);
    assert_eq!(
        there.placement(content("b"), EXPIRY_MS + 1),
        Placement::Refuse
    );
}

/// Guards against equal fingerprints of requests whose parts differ but have the same
/// concatenation.
#[test]
fn fingerprint_of_parts() {
    let a = Fingerprint::of("ab", "c", b"d");
    assert_ne!(a, Fingerprint::of("a", "bc", b"d"));
    assert_ne!(a, Fingerprint::of("ab", "cd", b""));
    assert_eq!(a, Fingerprint::of("ab", "c", b"d"));
}
