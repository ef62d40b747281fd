//! Error messages that the home itself encodes.

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::response::ErrorResponse;

use super::backend::ServerError;

/// An error of the database server, encoded for the client.
pub(super) fn encode_server_error(error: &ServerError) -> Vec<u8> {
    let fields = [
        (b'S', &error.severity),
        (b'V', &error.severity),
        (b'C', &error.code),
        (b'M', &error.message),
    ];
    let fields = fields.map(|(code, text)| (code, text.clone())).to_vec();
    let mut buffer = BytesMut::new();
    // Encoding fails only for a message beyond the protocol's limit of two gigabytes.
    let _ = ErrorResponse::new(fields).encode(&mut buffer);
    buffer.to_vec()
}
