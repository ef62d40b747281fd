//! Positions in the history of the platform's store.

use std::fmt;

use nanoserde::{DeBin, SerBin};

/// Which history the store tells. It may come back from an older copy, and then begins a new era: it
/// has lost what came after the copy and gives the version numbers out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreEra(u16);

impl StoreEra {
    /// The era of a store that does not tell of any.
    pub const UNREPORTED: StoreEra = StoreEra(0);

    /// The era of a number; none if it is too great.
    pub fn new(number: u64) -> Option<Self> {
        u16::try_from(number).ok().map(StoreEra)
    }

    /// Its number.
    pub const fn number(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A version of the store: an era, and a number that rises within it.
///
/// Ordered by the era first: whatever is told in a later era is newer. Equal numbers of two eras say
/// nothing of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, SerBin, DeBin)]
pub struct StoreVersion(u64);

/// The bits that hold the number within an era: at 600 writes a second they last for 14,000 years.
const NUMBER_BITS: u32 = 48;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

impl StoreVersion {
    /// Before every version that the store gives out; as a condition, that there is no such row.
    pub const NONE: StoreVersion = StoreVersion(0);

    /// The version of a number in an era; none if the number is too great.
    pub const fn new(era: StoreEra, number: u64) -> Option<Self> {
        if number > NUMBER_MASK {
            return None;
        }
        Some(StoreVersion(era.number() << NUMBER_BITS | number))
    }

    /// Its era.
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u16)
    }

    /// Its number within the era, as the store tells it.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }

    /// What a condition names for a row that was not there as of this version.
    pub const fn for_absent_row(self) -> Self {
        StoreVersion(self.0 & !NUMBER_MASK)
    }

    /// Both in one number, in the same order.
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// The version of such a number.
    pub const fn from_bits(bits: u64) -> Self {
        StoreVersion(bits)
    }
}

/// How an answer stands to what its reader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// It tells all that has changed since the version that was asked after.
    Complete,
    /// It is of a later era than the version that was asked after, whose number was given out again:
    /// what changed below it is not told.
    EraChanged,
    /// It is of an era before the latest one that is known.
    StaleEra,
}

/// How the changes that were told as of a version stand to the version that was asked after, where
/// `latest` is the latest era that is known. [`StoreVersion::NONE`] asks for all changes ever.
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
