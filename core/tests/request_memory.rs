//! The memory of callers' requests, in virtual time.

use bolero::{TypeGenerator, check};
use redwingfold_core::{
    ByteCount, Eviction, HolderNumber, MemoryFull, MemoryOwner, MemoryPhase, MemoryPolicy, Millis,
    RequestMemory,
};

const MB: usize = 1024 * 1024;

/// Memory of the account in these tests.
const TOTAL: usize = 16 * MB;

const POLICY: MemoryPolicy = MemoryPolicy {
    total: ByteCount(TOTAL),
    per_request: ByteCount(32 * 1024),
    small_request: ByteCount(64 * 1024),
    small_share: 0.25,
    unidentified_share: 0.5,
    stall_time: Millis(1_000),
    min_body_rate: 32 * 1024,
};

const ANI: MemoryOwner = MemoryOwner::Customer(1);
const HAUS: MemoryOwner = MemoryOwner::Customer(2);

fn memory() -> RequestMemory {
    RequestMemory::new(POLICY)
}

/// Opens a request whose body takes `bytes`.
fn receive(
    memory: &mut RequestMemory,
    owner: MemoryOwner,
    bytes: usize,
    now: Millis,
) -> Result<HolderNumber, MemoryFull> {
    let (number, _) = memory.open(owner, now)?;
    memory.resize(number, bytes, now).inspect_err(|_| memory.close(number))?;
    memory.record_progress(number, bytes, now);
    Ok(number)
}

/// Opens requests until one is refused, and returns those that have got their memory.
fn fill(memory: &mut RequestMemory, owner: MemoryOwner, bytes: usize) -> Vec<HolderNumber> {
    std::iter::from_fn(|| receive(memory, owner, bytes, Millis(0)).ok()).collect()
}

/// Guards against large bodies that take the place of ordinary requests.
#[test]
fn small_requests_have_room_beside_large_bodies() {
    let mut memory = memory();
    let large = fill(&mut memory, ANI, MB);
    assert_eq!(large.len(), 11);
    let small = fill(&mut memory, ANI, 1_000);
    assert!(small.len() >= 120, "{}", small.len());
}

/// Guards against bodies that are given up although they make progress, and against stalled ones that are kept.
#[test]
fn stalled_bodies_give_way_and_others_do_not() {
    let mut memory = memory();
    let bodies = fill(&mut memory, ANI, MB);
    let now = Millis(1_200);
    bodies[..6].iter().for_each(|number| memory.record_progress(*number, 1, now));
    let (new, _) = memory.open(ANI, now).unwrap();
    let evicted = memory.resize(new, 2 * MB, now).unwrap();
    assert_eq!(evicted, [(bodies[6], Eviction::SlowBody), (bodies[7], Eviction::SlowBody)]);
    // No more than what has stalled gives way.
    let (new, _) = memory.open(ANI, now).unwrap();
    assert_eq!(memory.resize(new, 8 * MB, now), Err(MemoryFull));
    assert_eq!(memory.holders(), 11);
}

/// Guards against bodies that come so slowly that they hold the memory for good, a byte now and then.
#[test]
fn bodies_below_the_minimum_rate_give_way() {
    let mut memory = memory();
    let bodies = fill(&mut memory, ANI, MB);
    // One byte each 900 ms: none has stalled.
    for step in 1..=40 {
        bodies.iter().for_each(|number| memory.record_progress(*number, 1, Millis(900 * step)));
    }
    let now = Millis(36_100);
    let (new, _) = memory.open(ANI, now).unwrap();
    assert_eq!(memory.resize(new, MB, now).unwrap(), [(bodies[0], Eviction::SlowBody)]);
}

/// Guards against requests that are given up while they are processed, or before their caller has had time to read.
#[test]
fn only_requests_that_wait_for_their_caller_give_way() {
    let mut memory = memory();
    let requests = fill(&mut memory, ANI, MB);
    requests.iter().for_each(|n| memory.set_phase(*n, MemoryPhase::Working, Millis(10)));
    let now = Millis(60_000);
    assert_eq!(receive(&mut memory, ANI, MB, now), Err(MemoryFull));
    memory.set_phase(requests[3], MemoryPhase::Sending, now);
    assert_eq!(receive(&mut memory, ANI, MB, Millis(60_900)), Err(MemoryFull));
    let (new, _) = memory.open(ANI, Millis(61_000)).unwrap();
    let evicted = memory.resize(new, MB, Millis(61_000)).unwrap();
    assert_eq!(evicted, [(requests[3], Eviction::UnreadResponse)]);
}

/// Guards against callers without a valid key who take the memory of those with one.
#[test]
fn unidentified_callers_get_a_part_only() {
    let mut memory = memory();
    let unidentified = fill(&mut memory, MemoryOwner::Unidentified, MB);
    assert_eq!(unidentified.len(), 7);
    assert!(receive(&mut memory, ANI, 4 * MB, Millis(0)).is_ok());
}

/// Guards against one customer whose bodies take the part of another.
#[test]
fn newest_bodies_of_the_heaviest_customer_give_way() {
    let mut memory = memory();
    let bodies = fill(&mut memory, ANI, MB);
    let (new, _) = memory.open(HAUS, Millis(20)).unwrap();
    let evicted = memory.resize(new, 2 * MB, Millis(20)).unwrap();
    let newest = [bodies[10], bodies[9]].map(|number| (number, Eviction::HeavyCustomer));
    assert_eq!(evicted, newest);
    // A customer that already has its part takes no more from others.
    let (new, _) = memory.open(HAUS, Millis(30)).unwrap();
    assert_eq!(memory.resize(new, 7 * MB, Millis(30)), Err(MemoryFull));
}

/// What happens to the account in a random play.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Open { owner: u8 },
    Resize { request: u8, kilobytes: u16 },
    SetPhase { request: u8, phase: u8 },
    Progress { request: u8 },
    Close { request: u8 },
    Wait { ms: u16 },
}

/// Guards against a sum above the total, and against memory that is not given back after any series of events.
#[test]
fn the_sum_stays_within_the_total_and_is_given_back() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let (mut memory, mut now) = (memory(), Millis(0));
        let mut held: Vec<HolderNumber> = Vec::new();
        for step in steps {
            let nth = |n: u8| held.get(usize::from(n) % held.len().max(1)).copied();
            let evicted = match *step {
                Step::Open { owner } => {
                    let owner = match owner % 4 {
                        0 => MemoryOwner::Unidentified,
                        n => MemoryOwner::Customer(n.into()),
                    };
                    let opened = memory.open(owner, now);
                    held.extend(opened.iter().map(|(number, _)| *number));
                    opened.map(|(_, evicted)| evicted)
                }
                Step::Resize { request, kilobytes } => nth(request).map_or(Ok(Vec::new()), |n| {
                    memory.resize(n, usize::from(kilobytes) * 1024, now)
                }),
                Step::SetPhase { request, phase } => {
                    let phases =
                        [MemoryPhase::Receiving, MemoryPhase::Sending, MemoryPhase::Working];
                    let phase = phases[usize::from(phase) % phases.len()];
                    nth(request).iter().for_each(|n| memory.set_phase(*n, phase, now));
                    Ok(Vec::new())
                }
                Step::Progress { request } => {
                    nth(request).iter().for_each(|n| memory.record_progress(*n, 1_000, now));
                    Ok(Vec::new())
                }
                Step::Close { request } => {
                    let closed = nth(request);
                    closed.iter().for_each(|n| memory.close(*n));
                    held.retain(|n| Some(*n) != closed);
                    Ok(Vec::new())
                }
                Step::Wait { ms } => {
                    now = now.after(Millis(ms.into()));
                    Ok(Vec::new())
                }
            };
            held.retain(|n| !evicted.iter().flatten().any(|(evicted, _)| evicted == n));
            assert!(memory.in_use().0 <= TOTAL, "{step:?}: {}", memory.in_use());
            assert_eq!(memory.holders(), held.len(), "{step:?}");
        }
        held.iter().for_each(|number| memory.close(*number));
        assert_eq!((memory.in_use(), memory.holders()), (ByteCount(0), 0));
    });
}
