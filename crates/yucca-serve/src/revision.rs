//! Revisions that stay ordered when the store is restored from a copy.
//!
//! A restored store gives revisions out again. Its era, which rises with each restore, forms the
//! upper bits of a revision, so that each revision of a later era is higher than all earlier ones.

/// Number of bits for the revision within an era.
const NUMBER_BITS: u32 = 40;

/// Returns the revision that the store calls `number` in the era `era`.
pub fn revision(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | number
}

/// Returns the era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns what the store calls a revision.
pub fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
