//! A piece of memory for a body, which is reserved as long as any of its bytes are referred to.

use std::mem;
use std::sync::{LazyLock, Mutex, PoisonError};

use bytes::Bytes;
use memmap2::MmapMut;
use nix::unistd::{SysconfVar, sysconf};

use crate::memory::MemoryGuard;

/// Size from which a segment is mapped instead of allocated on the heap. Unmapping returns its pages to
/// the kernel at once. Freed heap segments stay resident between small objects that are still in use,
/// beside the memory of the connections that take their place.
pub(crate) const MIN_MAPPED_BYTES: usize = 16 * 1_024;
/// Share of a segment, as a divisor, that may be lost to rounding up to whole pages.
const MAX_ROUNDING_DIVISOR: usize = 4;
/// Page size that is assumed if the kernel does not tell it.
const DEFAULT_PAGE_BYTES: usize = 4 * 1_024;

/// Total size of the mappings that are kept for the next segments. With them, ordinary bodies need no calls
/// to the kernel for their memory.
const MAX_FREE_BYTES: usize = 512 * 1_024;

/// Mappings that are kept for the next segments, with their contents.
static FREE: Mutex<Vec<MmapMut>> = Mutex::new(Vec::new());

/// Size of a page of memory.
static PAGE_BYTES: LazyLock<usize> = LazyLock::new(|| {
    let page_bytes = sysconf(SysconfVar::PAGE_SIZE).ok().flatten();
    let page_bytes = page_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    page_bytes.unwrap_or(DEFAULT_PAGE_BYTES)
});

/// Returns the size of a page of memory.
pub(crate) fn page_bytes() -> usize {
    *PAGE_BYTES
}

/// Returns the size of the mapping for a segment of `bytes`; `None` if it belongs on the heap.
pub fn mapped_bytes(bytes: usize, page_bytes: usize) -> Option<usize> {
    let rounded_bytes = bytes.checked_next_multiple_of(page_bytes)?;
    let lost_bytes = rounded_bytes - bytes;
    let is_mapped = bytes >= MIN_MAPPED_BYTES && lost_bytes <= bytes / MAX_ROUNDING_DIVISOR;
    is_mapped.then_some(rounded_bytes)
}

/// Returns the size of the allocation for a segment of `bytes`.
fn allocated_bytes(bytes: usize) -> usize {
    mapped_bytes(bytes, page_bytes()).unwrap_or(bytes)
}

/// Returns pages of the given size. Their contents are undefined.
fn map(bytes: usize) -> Option<MmapMut> {
    let mut free = FREE.lock().unwrap_or_else(PoisonError::into_inner);
    match free.iter().position(|pages| pages.len() == bytes) {
        Some(index) => Some(free.swap_remove(index)),
        None => MmapMut::map_anon(bytes).ok(),
    }
}

/// Keeps pages for another segment, or returns them to the kernel.
fn unmap(pages: MmapMut) {
    let mut free = FREE.lock().unwrap_or_else(PoisonError::into_inner);
    let free_bytes = free.iter().map(|pages| pages.len()).sum::<usize>();
    if free_bytes + pages.len() <= MAX_FREE_BYTES {
        free.push(pages);
    }
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped { pages: MmapMut, len: usize },
}

/// Bytes of a body within memory of a fixed size.
#[derive(Debug)]
pub struct Segment {
    storage: Storage,
    memory: MemoryGuard,
}

impl Segment {
    /// Reserves and allocates at least `bytes`. Returns `None` if there is not enough memory.
    pub fn allocate(mut memory: MemoryGuard, bytes: usize) -> Option<Self> {
        if !memory.grow(allocated_bytes(bytes)) {
            return None;
        }
        let storage = match mapped_bytes(bytes, page_bytes()) {
            Some(mapped_bytes) => Storage::Mapped {
                pages: map(mapped_bytes)?,
                len: 0,
            },
            None => Storage::Heap(Vec::with_capacity(bytes)),
        };
        Some(Self { storage, memory })
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.as_ref().len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of bytes for which there is memory.
    pub fn capacity(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.capacity(),
            Storage::Mapped { pages, .. } => pages.len(),
        }
    }

    /// Appends as many of the bytes as there is room for, and returns their number.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.capacity() - self.len());
        let bytes = &bytes[..count];
        match &mut self.storage {
            Storage::Heap(heap) => heap.extend_from_slice(bytes),
            Storage::Mapped { pages, len } => {
                pages[*len..*len + count].copy_from_slice(bytes);
                *len += count;
            }
        }
        count
    }

    /// Releases the room that is not used. A mapping that is too large is replaced, and kept if there is
    /// no memory for the other one beside it.
    pub fn fit(mut self) -> Self {
        match &mut self.storage {
            Storage::Heap(bytes) => {
                bytes.shrink_to_fit();
                // A smaller size is always granted.
                let _ = self.memory.resize(bytes.capacity());
                self
            }
            Storage::Mapped { pages, len } if allocated_bytes(*len) < pages.len() => {
                let Some(mut fitting) = Self::allocate(self.memory.empty(), *len) else {
                    return self;
                };
                // There is room for it.
                let _ = fitting.push(self.as_ref());
                fitting
            }
            Storage::Mapped { .. } => self,
        }
    }
}

impl Drop for Segment {
    fn drop(&mut self) {
        // The memory is released after this.
        let storage = mem::replace(&mut self.storage, Storage::Heap(Vec::new()));
        if let Storage::Mapped { pages, .. } = storage {
            unmap(pages);
        }
    }
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Mapped { pages, len } => &pages[..*len],
        }
    }
}

/// The memory stays reserved until the last reference to the bytes is dropped.
impl From<Segment> for Bytes {
    fn from(segment: Segment) -> Self {
        Self::from_owner(segment)
    }
}
