//! Puts the pages of a listing together.
//!
//! A listing goes on after the last name of a page for as long as the store says that there is more.
//! What it reads comes from other writers and possibly from several copies of the store, so that a page
//! need not begin after that name, may be empty or may be the same again. A listing that gets nowhere
//! fails with [`StoreFault::Stalled`] instead of requesting pages without end.

use indexmap::{IndexMap, IndexSet};
use yucca_io::log::field;

use crate::ports::{Freshness, Kind, Object, ObjectStore, Objects, Page, StoreFault};
use crate::revision::era_of;

/// Maximum length of the names of backends, services and zones in bytes. Objects with longer names are
/// other writers'.
pub const MAX_NAME_BYTES: usize = 2_048;

/// Maximum length of a character in UTF-8.
const MAX_UTF8_BYTES: usize = 4;

/// Lists all objects of a kind, page by page.
///
/// # Errors
///
/// [`StoreFault::Stalled`] if the pages do not lead to the end, and the errors of
/// [`ObjectStore::page`].
pub async fn list<S: ObjectStore>(
    store: &S,
    kind: Kind,
    freshness: Freshness,
) -> Result<Objects, StoreFault> {
    let mut listing = Listing::default();
    loop {
        let page = store.page(kind, freshness, listing.after()).await?;
        if listing.add(page)? == Progress::Complete {
            return Ok(listing.into_objects());
        }
    }
}

/// Returns the name after which the page after `name` begins. A long name would make the request too
/// long. Its first bytes with the highest character after them come after it, and skip only other long
/// names that begin with the same bytes.
fn start_after(mut name: Vec<u8>) -> Vec<u8> {
    if name.len() > MAX_NAME_BYTES {
        let is_cut = |end: &usize| name[*end] & 0xc0 == 0x80;
        let mut ends = (MAX_NAME_BYTES - MAX_UTF8_BYTES..=MAX_NAME_BYTES).rev();
        let end = ends.find(|end| !is_cut(end)).unwrap_or(MAX_NAME_BYTES);
        name.truncate(end);
        name.extend_from_slice(char::MAX.to_string().as_bytes());
    }
    name
}

/// Whether further pages are needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The next page begins after [`Listing::after`].
    Continues,
    /// All pages have been read.
    Complete,
}

/// The pages of a listing that have been read so far.
#[derive(Debug, Default)]
pub struct Listing {
    /// Objects by name. Pages may overlap if they come from different copies of the store.
    objects: IndexMap<String, Object>,
    /// Names after which pages were requested. They need not be in any known order, because the store
    /// compares names by a rule of its own.
    visited: IndexSet<Vec<u8>>,
    revision: Option<u64>,
    unreadable: usize,
}

impl Listing {
    /// Returns the name after which the next page begins; `None` for the first page.
    pub fn after(&self) -> Option<&[u8]> {
        self.visited.last().map(Vec::as_slice)
    }

    /// Adds the page that was requested after [`Listing::after`].
    ///
    /// # Errors
    ///
    /// [`StoreFault::Stalled`] if the page says that there is more and does not lead to it, and
    /// [`StoreFault::NoAnswer`] if the store was restored since the first page.
    pub fn add(&mut self, page: Page) -> Result<Progress, StoreFault> {
        let first_revision = *self.revision.get_or_insert(page.revision);
        if era_of(page.revision) != era_of(first_revision) {
            let cause = "the store was restored during a listing";
            return Err(StoreFault::NoAnswer(cause.to_owned()));
        }
        // A watch since the lowest revision of the pages also returns the changes made while the
        // others were read. A stale page may be older than the one before it.
        self.revision = Some(first_revision.min(page.revision));
        self.unreadable += page.unreadable;
        for object in page.objects {
            self.add_object(object);
        }
        if !page.has_more {
            return Ok(Progress::Complete);
        }
        let Some(last_name) = page.last_name else {
            return Err(self.stalled("no object of the page has a readable name"));
        };
        // Each page that is accepted has a last name of its own, so that a listing ends.
        if !self.visited.insert(start_after(last_name)) {
            return Err(self.stalled("the page ends with the same name as one before it"));
        }
        Ok(Progress::Continues)
    }

    /// Returns the fault of the page that was requested last.
    fn stalled(&self, cause: &str) -> StoreFault {
        let after = self.after().map(String::from_utf8_lossy);
        let page = after.map_or("first".to_owned(), |after| {
            format!("after {}", field(&after))
        });
        let pages = self.visited.len() + 1;
        StoreFault::Stalled(format!("{cause}; page={page} pages={pages}"))
    }

    fn add_object(&mut self, object: Object) {
        let known = self.objects.get(&object.name);
        if known.is_none_or(|known| known.revision <= object.revision) {
            self.objects.insert(object.name.clone(), object);
        }
    }

    /// Returns the objects of all pages, as of the lowest revision of these.
    pub fn into_objects(self) -> Objects {
        Objects {
            objects: self.objects.into_values().collect(),
            revision: self.revision.unwrap_or(0),
            unreadable: self.unreadable,
        }
    }
}
