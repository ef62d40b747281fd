//! Versions of the platform's store.

use std::fmt;

use nanoserde::{DeBin, SerBin};

/// The era of the store's history.
///
/// A store that is restored from an older copy starts a new era: it has lost the changes made after
/// the copy, and assigns their version numbers again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreEra(u16);

impl StoreEra {
    /// The era of a store that does not report one.
    pub const UNREPORTED: StoreEra = StoreEra(0);

    /// The era with this number; none if the number does not fit into 16 bits.
    pub fn new(number: u64) -> Option<Self> {
        u16::try_from(number).ok().map(StoreEra)
    }

    /// The era's number.
    pub const fn number(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A version of the store: an era, and a number that increases within it.
///
/// Versions are ordered by era first: everything that a later era reports is newer. Equal numbers
/// of two eras are unrelated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, SerBin, DeBin)]
pub struct StoreVersion(u64);

/// Bits that hold the number within an era; they last for 14,000 years at 600 writes per second.
const NUMBER_BITS: u32 = 48;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

impl StoreVersion {
    /// Precedes every version that the store assigns. As the expected version of a conditional
    /// write, it means that the row must not exist.
    pub const NONE: StoreVersion = StoreVersion(0);

    /// The version with this number in an era; none if the number does not fit into 48 bits.
    pub const fn new(era: StoreEra, number: u64) -> Option<Self> {
        if number > NUMBER_MASK {
            return None;
        }
        Some(StoreVersion(era.number() << NUMBER_BITS | number))
    }

    /// The version's era.
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u16)
    }

    /// The version's number within its era, as the store reports it.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }

    /// The expected version of a conditional write for a row that did not exist as of this version.
    pub const fn for_absent_row(self) -> Self {
        StoreVersion(self.0 & !NUMBER_MASK)
    }

    /// Encodes era and number in one integer of the same order.
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// Decodes the result of [`StoreVersion::to_bits`].
    pub const fn from_bits(bits: u64) -> Self {
        StoreVersion(bits)
    }
}

/// Whether an answer of the store continues what its reader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// It reports everything that has changed since the requested version.
    Complete,
    /// It is from a later era than the requested version, whose number has been assigned again:
    /// changes below that number are not reported.
    EraChanged,
    /// It is from an era older than the latest known one.
    StaleEra,
}

/// Classifies an answer with the changes after version `after`, as of version `reported`, where
/// `latest` is the latest known era. [`StoreVersion::NONE`] as `after` requests all changes ever.
pub fn continuity(after: StoreVersion, reported: StoreVersion, latest: StoreEra) -> Continuity {
    if reported.era() < latest {
        Continuity::StaleEra
    } else if after != StoreVersion::NONE && after.era() != reported.era() {
        Continuity::EraChanged
    } else {
        Continuity::Complete
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era(), self.number())
    }
}
