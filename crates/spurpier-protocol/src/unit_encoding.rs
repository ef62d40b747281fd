//! The binary encoding of the unit types that contain strings and lists.
//!
//! nanoserde's own list decoding allocates memory for whatever length it reads. The decoders here
//! check each length against the remaining bytes first.

use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::wire::{decode_bytes, decode_long_text, encode_bytes, encode_long_text};

use crate::unit::{
    Batch, BatchEffect, PreparedStatement, SessionSetting, TransactionStatus, UnitOutput,
    UnitRequest, UnitResult,
};

/// Appends the number of items as a `u32`, followed by the encoded items.
fn encode_list<T: SerBin>(items: &[T], output: &mut Vec<u8>) {
    let length = u32::try_from(items.len()).unwrap_or(u32::MAX);
    length.ser_bin(output);
    for item in &items[..length as usize] {
        item.ser_bin(output);
    }
}

/// Decodes a list that [`encode_list`] wrote, without preallocating for the length that it reads.
fn decode_list<T: DeBin>(offset: &mut usize, bytes: &[u8]) -> Result<Vec<T>, DeBinErr> {
    let length = u32::de_bin(offset, bytes)? as usize;
    let left = bytes.len().saturating_sub(*offset);
    // Each item takes at least one byte.
    if length > left {
        return Err(DeBinErr::new(*offset, length, left));
    }
    let mut items = Vec::new();
    for _ in 0..length {
        items.push(T::de_bin(offset, bytes)?);
    }
    Ok(items)
}

fn decode_text(offset: &mut usize, bytes: &[u8]) -> Result<String, DeBinErr> {
    decode_long_text(offset, bytes).map(str::to_owned)
}

impl SerBin for SessionSetting {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_long_text(&self.name, output);
        encode_long_text(&self.value, output);
    }
}

impl DeBin for SessionSetting {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(SessionSetting {
            name: decode_text(offset, bytes)?,
            value: decode_text(offset, bytes)?,
        })
    }
}

impl SerBin for PreparedStatement {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_long_text(&self.name, output);
        encode_long_text(&self.text, output);
        encode_list(&self.parameter_types, output);
    }
}

impl DeBin for PreparedStatement {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(PreparedStatement {
            name: decode_text(offset, bytes)?,
            text: decode_text(offset, bytes)?,
            parameter_types: decode_list(offset, bytes)?,
        })
    }
}

impl SerBin for Batch {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.effect.ser_bin(output);
        encode_list(&self.prepared, output);
        encode_bytes(&self.messages, output);
    }
}

impl DeBin for Batch {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(Batch {
            effect: BatchEffect::de_bin(offset, bytes)?,
            prepared: decode_list(offset, bytes)?,
            messages: decode_bytes(offset, bytes)?.to_vec(),
        })
    }
}

impl SerBin for UnitRequest {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.session.ser_bin(output);
        self.number.ser_bin(output);
        self.database.ser_bin(output);
        self.side.ser_bin(output);
        self.epoch.ser_bin(output);
        self.kind.ser_bin(output);
        self.freshness.ser_bin(output);
        self.replica_allowed.ser_bin(output);
        self.floor.ser_bin(output);
        self.upstream_floor.ser_bin(output);
        self.max_wait_ms.ser_bin(output);
        self.request_key.ser_bin(output);
        self.statement_digest.ser_bin(output);
        encode_list(&self.settings, output);
    }
}

impl DeBin for UnitRequest {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(UnitRequest {
            session: DeBin::de_bin(offset, bytes)?,
            number: DeBin::de_bin(offset, bytes)?,
            database: DeBin::de_bin(offset, bytes)?,
            side: DeBin::de_bin(offset, bytes)?,
            epoch: DeBin::de_bin(offset, bytes)?,
            kind: DeBin::de_bin(offset, bytes)?,
            freshness: DeBin::de_bin(offset, bytes)?,
            replica_allowed: DeBin::de_bin(offset, bytes)?,
            floor: DeBin::de_bin(offset, bytes)?,
            upstream_floor: DeBin::de_bin(offset, bytes)?,
            max_wait_ms: DeBin::de_bin(offset, bytes)?,
            request_key: DeBin::de_bin(offset, bytes)?,
            statement_digest: DeBin::de_bin(offset, bytes)?,
            settings: decode_list(offset, bytes)?,
        })
    }
}

const TAG_ANSWER: u8 = 1;
const TAG_BATCH_END: u8 = 2;
const TAG_FINISHED: u8 = 3;

impl SerBin for UnitOutput {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        match self {
            UnitOutput::Answer(messages) => {
                TAG_ANSWER.ser_bin(output);
                encode_bytes(messages, output);
            }
            UnitOutput::BatchEnd(status) => {
                TAG_BATCH_END.ser_bin(output);
                status.ser_bin(output);
            }
            UnitOutput::Finished(result) => {
                TAG_FINISHED.ser_bin(output);
                result.ser_bin(output);
            }
        }
    }
}

impl DeBin for UnitOutput {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        match u8::de_bin(offset, bytes)? {
            TAG_ANSWER => {
                let messages = decode_bytes(offset, bytes)?;
                Ok(UnitOutput::Answer(messages.to_vec()))
            }
            TAG_BATCH_END => TransactionStatus::de_bin(offset, bytes).map(UnitOutput::BatchEnd),
            TAG_FINISHED => UnitResult::de_bin(offset, bytes).map(UnitOutput::Finished),
            _ => Err(DeBinErr::new(*offset, 1, bytes.len())),
        }
    }
}
