//! Compact encodings for messages between nodes, safe against forged lengths.
//!
//! nanoserde encodes the lengths of lists and texts in eight bytes and trusts them: a forged length
//! makes the decoder allocate that much memory, or panic. The encodings here check a length against
//! the remaining bytes before they use it, and all but [`Text`] encode it in two or four bytes.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use nanoserde::{DeBin, DeBinErr, SerBin};

/// A list with a four-byte length that is checked when the list is decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

impl<T> Default for List<T> {
    fn default() -> Self {
        List(Vec::new())
    }
}

impl<T> From<Vec<T>> for List<T> {
    fn from(items: Vec<T>) -> Self {
        List(items)
    }
}

impl<T: SerBin> SerBin for List<T> {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        let length = u32::try_from(self.0.len()).unwrap_or(u32::MAX);
        length.ser_bin(output);
        for item in self.0.iter().take(length as usize) {
            item.ser_bin(output);
        }
    }
}

impl<T: DeBin> DeBin for List<T> {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = u32::de_bin(offset, bytes)? as usize;
        let left = bytes.len().saturating_sub(*offset);
        if length > left {
            return Err(DeBinErr::new(*offset, length, left));
        }
        let mut items = Vec::new();
        for _ in 0..length {
            items.push(T::de_bin(offset, bytes)?);
        }
        Ok(List(items))
    }
}

/// Appends a text with a two-byte length.
///
/// A text longer than 65,535 bytes is truncated at a character boundary.
pub fn encode_text(text: &str, output: &mut Vec<u8>) {
    let mut length = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(length) {
        length -= 1;
    }
    (length as u16).ser_bin(output);
    output.extend_from_slice(&text.as_bytes()[..length]);
}

/// Reads a text written by [`encode_text`].
///
/// # Errors
///
/// Fails if the bytes end early or are not valid UTF-8.
pub fn decode_text<'a>(offset: &mut usize, bytes: &'a [u8]) -> Result<&'a str, DeBinErr> {
    let length = usize::from(u16::de_bin(offset, bytes)?);
    take_text(offset, length, bytes)
}

/// Appends bytes with a four-byte length.
pub fn encode_bytes(payload: &[u8], output: &mut Vec<u8>) {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    length.ser_bin(output);
    output.extend_from_slice(&payload[..length as usize]);
}

/// Reads bytes written by [`encode_bytes`].
///
/// # Errors
///
/// Fails if the bytes end early.
pub fn decode_bytes<'a>(offset: &mut usize, bytes: &'a [u8]) -> Result<&'a [u8], DeBinErr> {
    let length = u32::de_bin(offset, bytes)? as usize;
    take_bytes(offset, length, bytes)
}

/// The next `length` bytes, if as many are left.
fn take_bytes<'a>(
    offset: &mut usize,
    length: usize,
    bytes: &'a [u8],
) -> Result<&'a [u8], DeBinErr> {
    let left = bytes.get(*offset..).unwrap_or_default();
    let Some(payload) = left.get(..length) else {
        return Err(DeBinErr::new(*offset, length, left.len()));
    };
    *offset += length;
    Ok(payload)
}

fn take_text<'a>(offset: &mut usize, length: usize, bytes: &'a [u8]) -> Result<&'a str, DeBinErr> {
    let start = *offset;
    let payload = take_bytes(offset, length, bytes)?;
    std::str::from_utf8(payload).map_err(|_| DeBinErr::new(start, length, bytes.len()))
}

/// Appends a text with a four-byte length, for texts that must not be truncated.
pub fn encode_long_text(text: &str, output: &mut Vec<u8>) {
    encode_bytes(text.as_bytes(), output);
}

/// Reads a text written by [`encode_long_text`].
///
/// # Errors
///
/// Fails if the bytes end early or are not valid UTF-8.
pub fn decode_long_text<'a>(offset: &mut usize, bytes: &'a [u8]) -> Result<&'a str, DeBinErr> {
    let length = u32::de_bin(offset, bytes)? as usize;
    take_text(offset, length, bytes)
}

/// A text that is encoded by [`encode_long_text`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LongText(pub String);

impl SerBin for LongText {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_long_text(&self.0, output);
    }
}

impl DeBin for LongText {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        decode_long_text(offset, bytes).map(|text| LongText(text.to_owned()))
    }
}

/// A text that is encoded as nanoserde encodes a `String`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Text(pub String);

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Text(text.to_owned())
    }
}

impl From<&String> for Text {
    fn from(text: &String) -> Self {
        Text(text.clone())
    }
}

impl From<&Text> for String {
    fn from(text: &Text) -> Self {
        text.0.clone()
    }
}

impl SerBin for Text {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.0.ser_bin(output);
    }
}

impl DeBin for Text {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = u64::de_bin(offset, bytes)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let text = take_text(offset, length, bytes)?;
        Ok(Text(text.to_owned()))
    }
}

/// The tag in front of an encoded IPv4 address.
const TAG_V4: u8 = 4;
/// The tag in front of an encoded IPv6 address.
const TAG_V6: u8 = 6;

/// Appends a socket address: a tag for the IP version, the octets and the port.
pub fn encode_address(address: SocketAddr, output: &mut Vec<u8>) {
    match address.ip() {
        IpAddr::V4(ip) => {
            output.push(TAG_V4);
            output.extend_from_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            output.push(TAG_V6);
            output.extend_from_slice(&ip.octets());
        }
    }
    address.port().ser_bin(output);
}

/// Reads a socket address written by [`encode_address`].
///
/// # Errors
///
/// Fails if the bytes end early or the tag is unknown.
pub fn decode_address(offset: &mut usize, bytes: &[u8]) -> Result<SocketAddr, DeBinErr> {
    let tag = u8::de_bin(offset, bytes)?;
    let ip = match tag {
        TAG_V4 => IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::de_bin(offset, bytes)?)),
        TAG_V6 => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::de_bin(offset, bytes)?)),
        _ => return Err(DeBinErr::new(*offset, 1, bytes.len())),
    };
    let port = u16::de_bin(offset, bytes)?;
    Ok(SocketAddr::new(ip, port))
}
