//! Compact encoding of server rows that nodes exchange with each other. The nodes that read from
//! the store convert each row once from the platform's format, to a fifth of its size.

use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::directory::Incarnation;
use spurpier_core::wire::{decode_address, decode_text, encode_address, encode_text};

use crate::ports::{EntryField, EntryFormat, Row, ServerEntry, ServerRole, UnusableEntry};

// Flags in the first byte of a row.
const DRAINING: u8 = 1;
const PRIMARY: u8 = 2;
const UNUSABLE: u8 = 4;

/// Converts a row of the platform to the compact encoding; a removed row is returned unchanged.
pub fn to_peer_row(entries: &dyn EntryFormat, row: Row) -> Row {
    if row.gone {
        return row;
    }
    let value = encode(&entries.server(&row));
    Row { value, ..row }
}

fn encode(read: &Result<ServerEntry, UnusableEntry>) -> Bytes {
    let mut output = Vec::new();
    match read {
        Ok(entry) => encode_entry(entry, &mut output),
        Err(why) => {
            UNUSABLE.ser_bin(&mut output);
            encode_reason(*why).ser_bin(&mut output);
        }
    }
    Bytes::from(output)
}

fn encode_entry(entry: &ServerEntry, output: &mut Vec<u8>) {
    let mut flags = 0;
    if entry.draining {
        flags |= DRAINING;
    }
    if entry.role == ServerRole::Primary {
        flags |= PRIMARY;
    }
    flags.ser_bin(output);
    entry.incarnation.started_ms().ser_bin(output);
    encode_text(&entry.group, output);
    encode_address(entry.address, output);
    encode_text(&entry.zone, output);
    u32::try_from(entry.slots)
        .unwrap_or(u32::MAX)
        .ser_bin(output);
    let cold_ms = u64::try_from(entry.cold_for.as_millis()).unwrap_or(u64::MAX);
    cold_ms.ser_bin(output);
}

/// Decodes a server's row in the compact encoding.
///
/// # Errors
///
/// [`UnusableEntry`] if the row describes no usable server.
pub fn read(row: &Row) -> Result<ServerEntry, UnusableEntry> {
    match decode(row) {
        Ok(read) => read,
        Err(_) => Err(UnusableEntry::Unreadable),
    }
}

fn decode(row: &Row) -> Result<Result<ServerEntry, UnusableEntry>, DeBinErr> {
    let (offset, bytes) = (&mut 0, &row.value[..]);
    let flags = u8::de_bin(offset, bytes)?;
    if flags & UNUSABLE != 0 {
        return Ok(Err(decode_reason(u8::de_bin(offset, bytes)?)));
    }
    let started_ms = Option::de_bin(offset, bytes)?;
    let group = decode_text(offset, bytes)?.to_owned();
    let address = decode_address(offset, bytes)?;
    let zone = decode_text(offset, bytes)?.to_owned();
    let slots = u32::de_bin(offset, bytes)? as usize;
    let cold_ms = u64::de_bin(offset, bytes)?;
    Ok(Ok(ServerEntry {
        incarnation: Incarnation::new(&row.key, started_ms),
        group,
        address,
        zone,
        slots,
        draining: flags & DRAINING != 0,
        role: if flags & PRIMARY != 0 {
            ServerRole::Primary
        } else {
            ServerRole::Replica
        },
        cold_for: Duration::from_millis(cold_ms),
    }))
}

/// Reasons that name no field; a reason's index is its encoded number.
const REASONS: [UnusableEntry; 4] = [
    UnusableEntry::Unreadable,
    UnusableEntry::UnknownState,
    UnusableEntry::UnknownRole,
    UnusableEntry::NoStart,
];

fn encode_reason(why: UnusableEntry) -> u8 {
    let all = REASONS.iter().copied();
    let all = all.chain(EntryField::ALL.map(UnusableEntry::Field));
    let number = all.into_iter().position(|reason| reason == why);
    number.map_or(0, |number| number as u8)
}

fn decode_reason(number: u8) -> UnusableEntry {
    let number = usize::from(number);
    let reason = REASONS.get(number).copied().or_else(|| {
        let field = EntryField::ALL.get(number - REASONS.len())?;
        Some(UnusableEntry::Field(*field))
    });
    reason.unwrap_or(UnusableEntry::Unreadable)
}
