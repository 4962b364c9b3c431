//! Tests that listings end, whatever the store's pages are, and that they keep the newest objects.

use serde_json::json;
use yucca_serve::listing::{Listing, Progress};
use yucca_serve::ports::{Object, Objects, Page, StoreFault};
use yucca_serve::revision::revision;

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: name.to_owned(),
        revision,
        value: Some(json!({ "revision": revision })),
        is_removed: false,
    }
}

/// Returns a page of objects with these names and revisions.
fn page(objects: &[(&str, u64)], has_more: bool, as_of: u64) -> Page {
    Page {
        objects: objects.iter().map(|(n, r)| object(n, *r)).collect(),
        has_more,
        last_name: objects.last().map(|(name, _)| name.as_bytes().to_vec()),
        revision: as_of,
        unreadable: 0,
    }
}

/// Adds the pages until the listing ends or fails; panics if more pages are wanted.
fn listing(pages: impl IntoIterator<Item = Page>) -> Result<Objects, StoreFault> {
    let mut listing = Listing::default();
    for page in pages {
        if listing.add(page)? == Progress::Complete {
            return Ok(listing.into_objects());
        }
    }
    panic!(
        "the listing wants another page, after {:?}",
        listing.after()
    );
}

/// Guards against requests for pages without end when a page does not lead on. A store may get there by
/// reading a name differently, by a lagging copy, or by entries without a readable name.
#[test]
fn listing_stalls() {
    let unnamed = Page {
        last_name: None,
        ..page(&[("a", 1)], true, 9)
    };
    let cases = [
        (
            "the same page again",
            vec![page(&[("a", 1), ("b", 2)], true, 9); 2],
        ),
        (
            "the page before again",
            vec![
                page(&[("a", 1)], true, 9),
                page(&[("b", 2)], true, 9),
                page(&[("a", 1)], true, 9),
            ],
        ),
        (
            "a page with other objects that ends where one before it did",
            vec![
                page(&[("b", 2)], true, 9),
                page(&[("a", 1), ("b", 2)], true, 9),
            ],
        ),
        ("an empty page with more after it", vec![page(&[], true, 9)]),
        ("a page without a readable name", vec![unnamed]),
    ];
    for (case, pages) in cases {
        let result = listing(pages);
        assert!(
            matches!(result, Err(StoreFault::Stalled(_))),
            "{case}: {result:?}"
        );
    }
}

/// Guards against a listing that is given up although it gets on: pages of several copies overlap, the
/// store's order of names is not known here, and the last page may be empty.
#[test]
fn listing_gets_on() {
    let cases = [
        (
            "overlapping pages",
            vec![
                page(&[("a", 1), ("c", 3)], true, 9),
                page(&[("b", 2), ("c", 3), ("d", 4)], false, 7),
            ],
        ),
        (
            "names in another order",
            vec![
                page(&[("d", 4), ("c", 3)], true, 9),
                page(&[("b", 2), ("a", 1)], false, 7),
            ],
        ),
        (
            "an empty page at the end",
            vec![
                page(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)], true, 9),
                page(&[], false, 7),
            ],
        ),
    ];
    for (case, pages) in cases {
        let objects = listing(pages).expect(case);
        let mut names: Vec<&str> = objects.objects.iter().map(|o| o.name.as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, ["a", "b", "c", "d"], "{case}");
        // A watch must begin at the oldest page.
        assert_eq!(objects.revision, 7, "{case}");
    }
}

/// Guards against a page of a lagging copy that brings back the earlier content of an object.
#[test]
fn listing_keeps_newest_object() {
    for revisions in [(5, 3), (3, 5)] {
        let first = page(&[("a", revisions.0), ("b", 2)], true, 9);
        let second = page(&[("a", revisions.1), ("c", 4)], false, 7);
        let objects = listing([first, second]).expect("a listing").objects;
        let found: Vec<&Object> = objects.iter().filter(|o| o.name == "a").collect();
        assert_eq!(found, [&object("a", 5)], "{revisions:?}");
    }
}

/// Guards against a listing that mixes pages of two eras.
#[test]
fn listing_of_two_eras() {
    let first = page(&[("a", 1)], true, revision(1, 9));
    let second = page(&[("b", 1)], false, revision(2, 9));
    let result = listing([first, second]);
    assert!(matches!(result, Err(StoreFault::NoAnswer(_))), "{result:?}");
}

/// Guards against a request that is too long because of a long name, against one that cuts a character
/// in half, and against a listing that does not go on after long names.
#[test]
fn listing_long_names() {
    for (character, kept) in [("n", 2_048), ("\u{20ac}", 682), ("\u{1f980}", 512)] {
        let long = character.repeat(50_000);
        let mut listing = Listing::default();
        let progress = listing.add(page(&[("a", 1), (&long, 2)], true, 9));
        assert_eq!(progress, Ok(Progress::Continues));
        let expected = format!("{}\u{10ffff}", character.repeat(kept));
        assert_eq!(listing.after(), Some(expected.as_bytes()), "{character}");
        let progress = listing.add(page(&[("z", 3)], false, 9));
        assert_eq!(progress, Ok(Progress::Complete));
    }
}
