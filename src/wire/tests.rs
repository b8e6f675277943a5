//! Tests of the message encoding: round trips, and decoding of malformed bytes.

use redwingfold_core::{Offset, RequestId};

use super::frame::{decode, encode};
use super::message::{Call, Control, Reply, RunFrame, RunHead, RunId};

const LENGTH_BYTES: usize = 4;

#[test]
fn messages_are_read_back_as_written() {
    let run_id = RunId { request: RequestId(7), attempt: 2 };
    let frames = [
        RunFrame::Head(run_id, RunHead { status: 200, content_type: None }),
        RunFrame::Chunk(run_id, b"data".to_vec()),
    ];
    for frame in frames {
        let bytes = encode(&frame).unwrap();
        assert_eq!(decode::<RunFrame>(&bytes[LENGTH_BYTES..]).unwrap(), frame);
    }
}

/// A truncated frame, or one with trailing bytes, must be an error and never decode as a shorter
/// message.
#[test]
fn cut_and_overlong_frames_are_torn() {
    let message = Control::Records(vec![(Offset(1), b"record".to_vec())]);
    let bytes = encode(&message).unwrap();
    let body = &bytes[LENGTH_BYTES..];
    for len in 0..body.len() {
        assert!(decode::<Control>(&body[..len]).is_err(), "cut at {len}");
    }
    assert!(decode::<Control>(&[body, &[0]].concat()).is_err());
}

#[test]
fn any_bytes_are_survived() {
    bolero::check!().for_each(|bytes: &[u8]| {
        decode::<Call>(bytes).ok();
        decode::<Control>(bytes).ok();
        decode::<Reply>(bytes).ok();
        decode::<RunFrame>(bytes).ok();
    });
}
