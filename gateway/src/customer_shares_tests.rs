//! Reports on customers' shares in messages between gateways.

use std::rc::Rc;

use redwingfold_core::{CustomerShares, Millis};
use redwingfold_telemetry::Telemetry;

use crate::gateway::Gateway;
use crate::gossip::encode_datagram;
use crate::metadata::HeaderCodec;
use crate::peer_message::{LATER_FIELDS_BYTES, PeerMessage};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 1_400;

/// A full report of a gateway, with the largest hashes and amounts.
fn full_report() -> Vec<(u32, u32)> {
    let mut shares = CustomerShares::default();
    for customer in 0..40 {
        shares.record(u32::MAX - customer, Millis(1_000_000), Millis(0));
    }
    shares.report(32, Millis(0))
}

/// Guards against reports that change between gateways, or that do not fit into a datagram.
#[test]
fn report_is_decoded_as_it_was_encoded() {
    let shares = full_report();
    assert_eq!(shares.len(), 32);
    let message =
        || PeerMessage { shares_number: u32::MAX, shares: shares.clone(), ..Default::default() };
    let bytes = encode_datagram(message()).expect("a datagram");
    assert!(bytes.len() <= 300, "{}", bytes.len());
    assert_eq!(PeerMessage::decode(&bytes).expect("a message"), message());
    assert!(!message().is_empty());
}

/// Guards against messages of gateways of an earlier version that cannot be read while a fleet is updated.
#[test]
fn message_without_the_last_fields_is_decoded() {
    let message =
        || PeerMessage { sent: vec![(7, 300)], leaving: vec![u64::MAX], ..Default::default() };
    let bytes = postcard::to_stdvec(&message()).expect("bytes");
    let earlier = &bytes[..bytes.len() - LATER_FIELDS_BYTES];
    assert!(postcard::from_bytes::<PeerMessage>(earlier).is_err());
    assert_eq!(PeerMessage::decode(earlier).expect("a message"), message());
    assert_eq!(PeerMessage::decode(&bytes).expect("a message"), message());
    assert!(PeerMessage::decode(&earlier[..earlier.len() - 1]).is_err());
    assert!(PeerMessage::decode(&[]).is_err());
}

/// Guards against loads that are left out of a long message while shares are sent, and against a message that is not
/// sent at all because of its shares.
#[test]
fn shares_are_left_out_of_a_long_message_first() {
    let sent: Vec<_> = (0..170).map(|server| (u32::MAX - server, 300)).collect();
    let loads = PeerMessage { sent: sent.clone(), ..Default::default() };
    let message =
        PeerMessage { shares_number: 9, shares: full_report(), sent, ..Default::default() };
    assert!(postcard::to_stdvec(&message).expect("bytes").len() > MAX_DATAGRAM);
    let bytes = encode_datagram(message).expect("a datagram");
    assert_eq!(PeerMessage::decode(&bytes).expect("a message"), loads);
}

fn gateway() -> Gateway {
    let codec = HeaderCodec {
        decode_request: |_| Err("no requests".to_owned()),
        encode_attempt: |_, _| {},
        decode_response: |_, _| unreachable!("no responses"),
    };
    let telemetry = Telemetry::disabled().expect("telemetry");
    Gateway::new(Default::default(), codec, telemetry, Rc::default())
}

/// Guards against reports with the same number, whose work receivers take for repeated, and against repeated reports
/// that count twice.
#[test]
fn each_report_counts_once_at_a_peer() {
    let (sender, receiver) = (gateway(), gateway());
    let address = ([127, 0, 0, 1], 7000).into();
    let first = sender.next_shares_number.get();
    for expected in [first, first.wrapping_add(1)] {
        sender.customer_shares.borrow_mut().record(7, Millis(100), sender.now());
        let (number, report) = sender.take_shares_report();
        assert_eq!((number, &report[..]), (expected, &[(7, 100)][..]));
        assert!(sender.take_shares_report().1.is_empty());
        receiver.apply_peer_shares(address, number, &report);
        receiver.apply_peer_shares(address, number, &report);
    }
    // Work decays with the clock, so there is no lower bound other than zero.
    let usage = receiver.customer_shares.borrow().usage(7, receiver.now());
    assert!(usage > 0.0 && usage <= 200.0, "{usage}");
}
