//! Messages on promised returns.

use redwingfold_core::{Fingerprint, Millis, ReturnNotice};

use crate::gossip::split_returns;
use crate::peer_message::PeerMessage;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 1_400;

fn notice(due_in: u64) -> ReturnNotice {
    let due_in = Millis(due_in);
    ReturnNotice { request: Fingerprint(u64::MAX), number: u16::MAX, service: u32::MAX, due_in }
}

/// A message with as many notices as one has at most, and a number of load reports.
fn message(reports: u32) -> PeerMessage {
    let reports = (0..reports).map(|n| (u32::MAX - n, 40, 3)).collect();
    let returns = vec![notice(60_000).into(); 24];
    PeerMessage { reports, returns, ..PeerMessage::default() }
}

/// Guards against notices that change on the way, or times that wrap.
#[test]
fn notices_survive_the_wire() {
    let message = PeerMessage {
        returns: [0, 7, 60_000, u64::MAX].map(|due_in| notice(due_in).into()).to_vec(),
        ..PeerMessage::default()
    };
    let bytes = postcard::to_stdvec(&message).unwrap();
    let received: PeerMessage = postcard::from_bytes(&bytes).unwrap();
    let notices: Vec<ReturnNotice> = received.returns.into_iter().map(Into::into).collect();
    assert_eq!(notices, [0, 7, 60_000, 65_535].map(notice));
}

/// Guards against notices that displace load reports from a datagram. With 24 notices of at most 21 bytes, 120 reports
/// fit into a message; 190 do not.
#[test]
fn notices_do_not_displace_load_reports() {
    let length = |m: &PeerMessage| postcard::to_stdvec(m).unwrap().len();
    let mut usual = message(120);
    assert_eq!(split_returns(&mut usual), None);
    assert!(length(&usual) <= MAX_DATAGRAM, "{}", length(&usual));
    assert_eq!((usual.returns.len(), usual.reports.len()), (24, 120));

    let mut long = message(190);
    assert!(length(&long) > MAX_DATAGRAM, "{}", length(&long));
    let returns = split_returns(&mut long).unwrap();
    assert_eq!((long.returns.len(), long.reports.len()), (0, 190));
    assert!(length(&long) <= MAX_DATAGRAM, "{}", length(&long));
    assert_eq!(returns.returns.len(), 24);
    assert!(length(&returns) <= 24 * 21 + 16, "{}", length(&returns));
}

/// Guards against messages of a version with fewer or more fields that are read with wrong values: the former are
/// unreadable, which is counted, and further fields are ignored.
#[test]
fn messages_of_other_versions_are_unreadable_or_cut() {
    let message = PeerMessage { unreached: vec![7], ..PeerMessage::default() };
    let mut bytes = postcard::to_stdvec(&message).unwrap();
    assert!(postcard::from_bytes::<PeerMessage>(&bytes[..bytes.len() - 1]).is_err());
    bytes.extend([1, 2, 3]);
    assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes), Ok(message));
}
