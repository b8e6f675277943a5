//! Messages on reads of the feeds.

use redwingfold_core::{BackendId, FeedUpdate, Millis};

use crate::feeds::{FeedPeriods, Feeds, ServerChange};

/// Guards against changes that each message repeats for as long as there are no others. With a dozen of them, a message
/// takes a kilobyte, and reaches a tenth of the gateways for the same bytes; the others read the store themselves.
#[test]
fn changes_that_all_have_are_not_repeated() {
    let mut feeds = Feeds::new(FeedPeriods::default());
    feeds.record_servers_read(Millis(0), 10, Vec::new());
    feeds.take_servers_update(Millis(0));
    let change = ServerChange::Removed(BackendId::from("e1"));
    let update = FeedUpdate { from: 10, next: 11, age: Millis(0) };
    let applied = feeds.apply_servers_update(update, vec![change.clone()], Millis(500));
    assert_eq!(applied, std::slice::from_ref(&change));
    feeds.record_servers_read(Millis(1_000), 11, Vec::new());
    let (_, changes, _) = feeds.take_servers_update(Millis(1_000)).expect("a message");
    assert_eq!(changes, [change], "the next message closes the gap of a lost one");
    for n in 2..5 {
        let update = FeedUpdate { from: 11, next: 11, age: Millis(0) };
        feeds.apply_servers_update(update, Vec::new(), Millis(n * 1_000));
    }
    feeds.record_servers_read(Millis(6_000), 11, Vec::new());
    let (_, changes, _) = feeds.take_servers_update(Millis(6_000)).expect("a message");
    assert_eq!(changes, []);
}
