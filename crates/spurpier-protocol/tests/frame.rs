//! Frames are unchanged by encoding and decoding, and invalid input is rejected without a panic
//! or an allocation of the claimed length.

use assert_matches::assert_matches;
use bytes::{BufMut, BytesMut};
use nanoserde::SerBin;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spurpier_core::identity::Side;
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_protocol::frame::{
    ControlBytes, Frame, FrameCodec, FrameError, Hello, MAX_FRAME_BYTES,
};
use spurpier_protocol::unit::{
    Batch, BatchEffect, Freshness, PreparedStatement, ServedBy, SessionSetting, TransactionStatus,
    UnitInput, UnitKind, UnitOutput, UnitRequest, UnitResult,
};
use tokio_util::codec::{Decoder, Encoder};
use xxhash_rust::xxh3::xxh3_64;

fn batch(messages: Vec<u8>) -> Batch {
    Batch {
        effect: BatchEffect::Write,
        prepared: vec![PreparedStatement {
            name: "s1".to_owned(),
            text: "SELECT $1".to_owned(),
            parameter_types: vec![20, 25],
        }],
        messages,
    }
}

fn request() -> UnitRequest {
    UnitRequest {
        session: "session".into(),
        number: 3,
        database: "orders".into(),
        side: Side::New,
        epoch: 7,
        kind: UnitKind::Write,
        freshness: Freshness::Bounded { milliseconds: 250 },
        replica_allowed: false,
        floor: Some(Position::new(3, 40)),
        upstream_floor: None,
        max_wait_ms: 900,
        request_key: Some("k".repeat(70_000).into()),
        statement_digest: 99,
        settings: vec![SessionSetting {
            name: "search_path".to_owned(),
            value: "'atlas'".to_owned(),
        }],
    }
}

fn frames() -> Vec<Frame> {
    let finished = UnitResult::Completed {
        floor: Position::new(3, 41),
        served_by: ServedBy::Primary,
        repeated: false,
    };
    let not_run = UnitResult::NotRun {
        reason: Reason::Overloaded,
        retry_after_ms: 20,
    };
    let output = |output| Frame::Output { unit: 5, output };
    let input = |input| Frame::Input { unit: 5, input };
    vec![
        Frame::Hello(Hello {
            version: 1,
            node: "node-1".into(),
            incarnation: 42,
        }),
        Frame::Open {
            unit: 5,
            request: request(),
            first: batch(vec![0, 255, 7]),
        },
        input(UnitInput::Batch(batch(Vec::new()))),
        input(UnitInput::Cancel),
        Frame::Abandon { unit: 5 },
        Frame::OutputCredit {
            unit: 5,
            messages: 8,
        },
        Frame::NotOpened {
            unit: 5,
            reason: Reason::Draining,
        },
        output(UnitOutput::Answer(vec![1; 100_000])),
        output(UnitOutput::BatchEnd(TransactionStatus::Failed)),
        output(UnitOutput::Finished(finished)),
        output(UnitOutput::Finished(not_run)),
        Frame::Lost { unit: 5 },
        Frame::InputCredit {
            unit: 5,
            messages: 1,
        },
        Frame::Ping,
        Frame::Pong,
        Frame::Control(ControlBytes(vec![9; 300])),
    ]
}

fn encoded(frames: &[Frame]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        FrameCodec.encode(frame, &mut bytes).expect("fits");
    }
    bytes
}

/// Frames an arbitrary body with a valid checksum.
fn framed(body: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(body.len() + 8).expect("short"));
    bytes.put_u64(xxh3_64(body));
    bytes.put_slice(body);
    bytes
}

fn decode_all(bytes: &mut BytesMut) -> Result<Vec<Frame>, FrameError> {
    let mut found = Vec::new();
    while let Some(frame) = FrameCodec.decode(bytes)? {
        found.push(frame);
    }
    Ok(found)
}

#[test]
fn frames_split_into_chunks_of_any_size_are_decoded() {
    let whole = encoded(&frames());
    for piece in [1, 7, 4_096, whole.len()] {
        let mut input = BytesMut::new();
        let mut found = Vec::new();
        for bytes in whole.chunks(piece) {
            input.extend_from_slice(bytes);
            found.extend(decode_all(&mut input).expect("sound"));
        }
        assert_eq!(found, frames());
        assert!(input.is_empty());
    }
}

#[test]
fn a_length_beyond_the_limit_is_rejected_before_its_bytes_arrive() {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(MAX_FRAME_BYTES + 1).expect("fits"));
    assert_matches!(FrameCodec.decode(&mut bytes), Err(FrameError::Length(_)));
    let mut short = BytesMut::from(&[0, 0, 0, 3][..]);
    assert_matches!(FrameCodec.decode(&mut short), Err(FrameError::Length(3)));
    let huge = Frame::Control(ControlBytes(vec![0; MAX_FRAME_BYTES]));
    let refused = FrameCodec.encode(&huge, &mut BytesMut::new());
    assert_matches!(refused, Err(FrameError::Length(_)));
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut body = Frame::Ping.serialize_bin();
    body.push(0);
    assert_matches!(
        FrameCodec.decode(&mut framed(&body)),
        Err(FrameError::Malformed)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_changed_byte_is_detected(
        frame in 0..16_usize,
        at in any::<prop::sample::Index>(),
        flip in 1..=255_u8,
    ) {
        let original = frames().swap_remove(frame);
        let mut bytes = encoded(std::slice::from_ref(&original));
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        let decoded = FrameCodec.decode(&mut bytes);
        // A corrupted length that is too large leaves the decoder waiting for more bytes.
        prop_assert!(!matches!(decoded, Ok(Some(_))));
    }

    /// Forged lengths inside the body cause neither a panic nor an allocation of that length.
    #[test]
    fn forged_bodies_are_rejected_or_decoded(
        frame in 0..16_usize,
        at in any::<prop::sample::Index>(),
        forged in prop::collection::vec(any::<u8>(), 1..10),
    ) {
        let mut body = frames().swap_remove(frame).serialize_bin();
        let at = at.index(body.len());
        for (position, byte) in body[at..].iter_mut().zip(&forged) {
            *position = *byte;
        }
        if let Ok(Some(read)) = FrameCodec.decode(&mut framed(&body)) {
            let again = FrameCodec.decode(&mut encoded(std::slice::from_ref(&read)));
            prop_assert_eq!(again.expect("sound"), Some(read));
        }
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        // Both outcomes are valid; the test guards against a panic or an endless loop.
        let _ = decode_all(&mut BytesMut::from(&bytes[..]));
        let _ = FrameCodec.decode(&mut framed(&bytes));
    }
}
