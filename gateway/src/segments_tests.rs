//! Bodies in segments.

use std::cell::Cell;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

use crate::segments::{GrowingBody, SegmentedBody};

/// Longest body of these tests, in bytes.
const MAX_LEN: usize = 100_000;

fn random_bytes(rng: &mut fastrand::Rng, len: usize) -> Vec<u8> {
    std::iter::repeat_with(|| rng.u8(..)).take(len).collect()
}

/// Guards against bodies that lose or repeat bytes, and against memory that is used before it is reserved, or reserved in
/// vain, however the body was cut on its way.
#[test]
fn bodies_are_the_same_however_they_were_cut() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let len = rng.usize(..MAX_LEN);
        let sent = random_bytes(&mut rng, len);
        let longest_piece = 1 + rng.usize(..20_000);
        let announced = rng.bool().then_some(len);
        let (mut body, reserved) = (GrowingBody::new(announced), Cell::new(0));
        let mut rest = Bytes::from(sent.clone());
        while !rest.is_empty() {
            let piece = rest.len().min(1 + rng.usize(..longest_piece));
            let grown = body.push(&mut rest.split_to(piece), |bytes| {
                assert!(bytes > reserved.get());
                reserved.set(bytes);
                Ok::<_, ()>(())
            });
            assert_eq!(grown, Ok(()));
            assert_eq!(body.len(), len - rest.len(), "seed {seed}");
        }
        let body = body.finish();
        assert_eq!(body.allocated(), reserved.get(), "seed {seed}");
        assert!(body.allocated() < len + 8 * 1024, "seed {seed}");
        assert!(announced.is_none() || body.allocated() == len, "seed {seed}");
        let body = SegmentedBody::from(body);
        assert_eq!(body.size_hint().exact(), Some(len as u64), "seed {seed}");
        let received = smol::block_on(body.collect()).expect("a body in memory").to_bytes();
        assert_eq!(received, sent, "seed {seed}");
    }
}

/// Guards against bytes that are lost where there is no memory for the rest of a body.
#[test]
fn bytes_that_do_not_fit_are_left() {
    let sent = random_bytes(&mut fastrand::Rng::with_seed(1), MAX_LEN);
    let (mut body, mut data) = (GrowingBody::new(Some(MAX_LEN)), Bytes::from(sent.clone()));
    let fits = |bytes| if bytes <= 50_000 { Ok(()) } else { Err(()) };
    assert_eq!(body.push(&mut data, fits), Err(()));
    let mut begun = body.finish().into_segments();
    begun.push(data);
    assert_eq!(begun.concat(), sent);
}
