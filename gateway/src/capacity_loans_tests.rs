//! Messages on loans of capacity.

use std::net::SocketAddr;

use redwingfold_core::{Millis, ServiceName};

use crate::capacity_loans::{CapacityLoan, LoanTable};
use crate::peer_message::{DirectMessage, DirectWire, PeerMessage};
use crate::session_keepers::SessionMessage;

fn bytes_of(message: DirectMessage) -> Vec<u8> {
    postcard::to_stdvec(&DirectWire::from(message)).expect("bytes")
}

/// Guards against messages on sessions that gateways of an earlier version read as others while a fleet is updated.
#[test]
fn session_messages_are_encoded_as_before() {
    let requester = SocketAddr::from(([127, 0, 0, 1], 80));
    let messages = [
        (SessionMessage::Moved(5), vec![0, 5]),
        (SessionMessage::Query(7, 9), vec![1, 7, 9]),
        (SessionMessage::ForwardedQuery(7, 9, requester), vec![2, 7, 9, 0, 127, 0, 0, 1, 80]),
        (SessionMessage::Reply(7, true, 3), vec![3, 7, 1, 3]),
    ];
    for (message, bytes) in messages {
        assert_eq!(bytes_of(DirectMessage::Session(message)), bytes);
    }
}

/// Guards against a loan that is larger at the borrower than at the lender.
#[test]
fn loan_does_not_grow_on_the_way() {
    for share in [1e-9, 0.001, 0.1234, 0.75, 1.0] {
        let loan = CapacityLoan { number: 3, service: 7, share };
        let direct = Some(DirectMessage::CapacityLoan(loan).into());
        let message = PeerMessage { direct, ..PeerMessage::default() };
        let bytes = postcard::to_stdvec(&message).expect("bytes");
        let received = PeerMessage::decode(&bytes).expect("a message").direct;
        let Some(DirectMessage::CapacityLoan(received)) = received.map(DirectMessage::from) else {
            panic!("another message: {received:?}");
        };
        assert_eq!((received.number, received.service), (3, 7));
        assert!(received.share <= share && share - received.share < 1e-4, "{received:?}");
    }
}

/// Guards against a gateway that asks for capacity while it uses little of its own part, or more often than it must.
#[test]
fn capacity_is_requested_only_when_it_is_needed() {
    let (table, service) = (LoanTable::default(), ServiceName::from("models"));
    let (fleet, slots) = (4, 40);
    (0..50).for_each(|n| table.record_use(&service, 2, slots, Millis(n)));
    assert!(!table.request(&service, fleet, Millis(50)));
    (50..200).for_each(|n| table.record_use(&service, 10, slots, Millis(n)));
    assert!(table.request(&service, fleet, Millis(200)));
    assert!(!table.request(&service, fleet, Millis(201)));
    assert_eq!(table.take_requests().len(), 1);
    assert!(!table.request(&service, 1, Millis(1_000)));
}
