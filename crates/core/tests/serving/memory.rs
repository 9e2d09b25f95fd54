use keeljunction_core::Millis;
use keeljunction_core::serving::memory::{Kind, MemoryBudget, Requester, ReservationId, Shortage};
use proptest::prelude::*;

/// The capacity and the memory limit of a node with 160 MB.
const CAPACITY: u64 = 64_000_000;
const LIMIT: u64 = 160_000_000;
/// An upload near the limit of usual configurations, and a usual prompt.
const LARGE: u64 = 4_190_000;
const SMALL: u64 = 20_000;

/// A node that never becomes unready because of memory.
fn make_budget() -> MemoryBudget {
    MemoryBudget::new(CAPACITY, LIMIT, 1.0)
}

fn body(account: &str) -> Requester<'_> {
    Requester { kind: Kind::RequestBody, account, urgency: 0 }
}

fn read_ahead() -> Requester<'static> {
    Requester { kind: Kind::ReadAhead, account: "", urgency: 0 }
}

fn reserve(
    memory: &mut MemoryBudget,
    now: Millis,
    requester: &Requester<'_>,
    bytes: u64,
) -> Result<ReservationId, Shortage> {
    let id = memory.open(now, requester);
    let grown = memory.grow(now, id, bytes);
    if grown.is_err() {
        memory.close(now, id);
    }
    grown.map(|()| id)
}

/// Reserves bodies of a length until one is refused.
fn fill(
    memory: &mut MemoryBudget,
    now: Millis,
    requester: &Requester<'_>,
    bytes: u64,
) -> Vec<ReservationId> {
    std::iter::from_fn(|| reserve(memory, now, requester, bytes).ok()).collect()
}

#[test]
fn bodies_leave_memory_to_responses_and_both_to_control() {
    let mut memory = make_budget();
    fill(&mut memory, 0, &body("acme"), LARGE);
    fill(&mut memory, 0, &body("acme"), SMALL);
    assert!(memory.get_held(Kind::RequestBody) <= 44_800_000);
    fill(&mut memory, 0, &read_ahead(), SMALL);
    assert!(memory.get_held(Kind::ReadAhead) >= 12_000_000);
    let control = Requester { kind: Kind::Control, ..read_ahead() };
    assert!(reserve(&mut memory, 0, &control, 6_000_000).is_ok());
    assert!(memory.get_total() <= CAPACITY);
}

#[test]
fn a_body_that_can_never_fit_keeps_no_memory_from_others() {
    let mut memory = make_budget();
    assert!(reserve(&mut memory, 0, &body("huge"), CAPACITY).is_err());
    assert_eq!(fill(&mut memory, 10, &body("acme"), LARGE).len(), 9);
}

#[test]
fn a_body_that_no_longer_fits_keeps_no_memory_from_others() {
    let mut memory = make_budget();
    memory.observe(0, Some(130_000_000));
    assert!(reserve(&mut memory, 0, &body("large"), LARGE).is_err());
    assert!(reserve(&mut memory, 10, &body("acme"), 1_000_000).is_ok());
}

#[test]
fn an_evicted_upload_is_known_until_it_ends() {
    let mut memory = make_budget();
    let held = fill(&mut memory, 0, &body("acme"), LARGE);
    let shortage = reserve(&mut memory, 500, &body("blue"), LARGE).expect_err("no room");
    let is_known = |memory: &MemoryBudget| held.iter().any(|id| memory.is_evicted(*id));
    assert!(is_known(&memory));
    for id in shortage.evicted {
        memory.close(510, id);
    }
    assert!(!is_known(&memory));
}

#[test]
fn an_upload_that_completes_before_its_eviction_frees_nothing() {
    let mut memory = make_budget();
    fill(&mut memory, 0, &body("acme"), LARGE);
    let shortage = reserve(&mut memory, 500, &body("blue"), LARGE).expect_err("no room");
    for id in &shortage.evicted {
        memory.complete_upload(*id);
    }
    let next = reserve(&mut memory, 510, &body("blue"), LARGE).expect_err("no room");
    assert!(!next.evicted.is_empty());
    assert!(next.evicted.iter().all(|id| !shortage.evicted.contains(id)), "{next:?}");
}

#[test]
fn slow_readers_do_not_keep_out_requests() {
    let mut memory = make_budget();
    fill(&mut memory, 0, &read_ahead(), SMALL);
    assert!(memory.get_held(Kind::ReadAhead) <= 32_000_000);
    assert!(reserve(&mut memory, 0, &body("acme"), LARGE).is_ok());
}

#[test]
fn a_small_body_fits_beside_large_ones() {
    let mut memory = make_budget();
    assert_eq!(fill(&mut memory, 0, &body("acme"), LARGE).len(), 9);
    assert!(fill(&mut memory, 0, &body("acme"), SMALL).len() >= 300);
}

#[test]
fn less_urgent_bodies_leave_room_to_the_most_urgent() {
    let mut memory = make_budget();
    let later = Requester { urgency: 3, ..body("acme") };
    assert_eq!(fill(&mut memory, 0, &later, LARGE).len(), 7);
    assert!(reserve(&mut memory, 0, &body("acme"), LARGE).is_ok());
}

#[test]
fn a_stalled_upload_is_evicted_for_a_new_one_and_a_fast_one_is_not() {
    let mut memory = make_budget();
    let uploads = fill(&mut memory, 0, &body("acme"), LARGE);
    for now in (0..2_000).step_by(100) {
        for upload in &uploads[1..] {
            memory.record_received(now, *upload, 1_000);
        }
    }
    let shortage = reserve(&mut memory, 2_000, &body("acme"), LARGE).expect_err("no room");
    assert_eq!(shortage, Shortage { retry_after: 100, evicted: vec![uploads[0]] });
    // Nothing else is evicted while the bytes are being freed.
    let shortage = reserve(&mut memory, 2_010, &body("acme"), LARGE).expect_err("no room");
    assert_eq!(shortage.evicted, []);
    memory.close(2_020, uploads[0]);
    assert!(reserve(&mut memory, 2_020, &body("acme"), LARGE).is_ok());
}

#[test]
fn a_complete_body_and_a_more_urgent_one_are_not_evicted() {
    let mut memory = make_budget();
    let uploads = fill(&mut memory, 0, &body("acme"), LARGE);
    uploads[1..].iter().for_each(|upload| memory.complete_upload(*upload));
    let later = Requester { urgency: 3, ..body("acme") };
    let shortage = reserve(&mut memory, 5_000, &later, LARGE).expect_err("no room");
    assert_eq!(shortage.evicted, []);
    let shortage = reserve(&mut memory, 5_000, &body("acme"), LARGE).expect_err("no room");
    assert_eq!(shortage.evicted, [uploads[0]]);
}

#[test]
fn a_waiting_account_comes_before_those_that_hold_their_share() {
    let mut memory = make_budget();
    let held = fill(&mut memory, 0, &body("heavy"), LARGE);
    held.iter().for_each(|id| memory.complete_upload(*id));
    assert!(reserve(&mut memory, 100, &body("light"), LARGE).is_err());
    memory.close(200, held[0]);
    assert!(reserve(&mut memory, 200, &body("heavy"), LARGE).is_err());
    assert!(reserve(&mut memory, 300, &body("light"), LARGE).is_ok());
    memory.close(400, held[1]);
    assert!(reserve(&mut memory, 400, &body("heavy"), LARGE).is_ok(), "nobody else waits");
}

#[test]
fn one_account_leaves_a_quarter_while_another_one_holds_something() {
    let mut memory = make_budget();
    assert!(reserve(&mut memory, 0, &body("light"), SMALL).is_ok());
    assert_eq!(fill(&mut memory, 0, &body("heavy"), LARGE).len(), 8, "9 are all that fit");
    assert!(reserve(&mut memory, 0, &body("light"), LARGE).is_ok());
}

#[test]
fn unreserved_memory_lowers_the_capacity() {
    let mut memory = make_budget();
    memory.observe(0, Some(30_000_000));
    assert_eq!(memory.get_capacity(), CAPACITY);
    memory.observe(250, Some(130_000_000));
    assert_eq!(memory.get_capacity(), 6_000_000);
    assert!(reserve(&mut memory, 250, &body("acme"), LARGE).is_err());
    memory.observe(500, None);
    assert_eq!(memory.get_capacity(), CAPACITY, "only the sum counts where no more is known");
}

#[test]
fn reserved_memory_that_is_in_use_is_not_counted_twice() {
    let mut memory = make_budget();
    let id = reserve(&mut memory, 0, &body("acme"), LARGE).expect("room");
    memory.observe(0, Some(100_000_000));
    assert_eq!(memory.get_capacity(), 36_000_000);
    memory.record_received(100, id, LARGE);
    memory.observe(250, Some(100_000_000 + LARGE));
    assert_eq!(memory.get_capacity(), 36_000_000);
}

#[test]
fn stalled_uploads_are_evicted_when_the_process_grows() {
    let mut memory = make_budget();
    let uploads = fill(&mut memory, 0, &body("acme"), LARGE);
    assert_eq!(memory.observe(1_000, Some(60_000_000)), []);
    let evicted = memory.observe(1_250, Some(115_000_000));
    assert_eq!(evicted.len(), 4, "37.7 MB are held, and 21 MB fit");
    assert!(evicted.iter().all(|id| uploads.contains(id)));
}

#[test]
fn nodes_become_unready_at_levels_of_their_own_and_recover_later() {
    let levels = [0.0, 0.2, 0.4, 0.6, 0.8].map(|draw| {
        let mut memory = MemoryBudget::new(CAPACITY, LIMIT, draw);
        let mut held = Vec::new();
        let left_at = (0..400).find(|step| {
            held.extend(reserve(&mut memory, 0, &body("acme"), SMALL * 5));
            held.extend(reserve(&mut memory, 0, &body("acme"), SMALL));
            memory.observe(*step, None);
            memory.is_under_pressure()
        });
        if left_at.is_some() {
            held.drain(..5).for_each(|id| memory.close(0, id));
            memory.observe(0, None);
            assert!(
                memory.is_under_pressure(),
                "one that comes and goes moves its callers each time"
            );
            held.drain(..).for_each(|id| memory.close(0, id));
            memory.observe(0, None);
            assert!(!memory.is_under_pressure());
        }
        left_at
    });
    assert!(levels[0] < levels[1] && levels[1] < levels[2], "{levels:?}");
    assert_eq!(levels[2..].iter().flatten().count(), 1, "more than half stay: {levels:?}");
}

/// A node of 64 MB with 60 uploads that stall after nine tenths, as of a client whose machines
/// sleep, and 200 prompts of 20 kB.
#[test]
fn sixty_stalled_uploads_do_not_keep_out_small_requests() {
    const SMALL_NODE: u64 = 64_000_000;
    let mut memory = MemoryBudget::new(SMALL_NODE * 4 / 10, SMALL_NODE, 1.0);
    let (mut stalled, mut refused) = (Vec::new(), 0);
    for upload in 0..60 {
        let now = upload * 30;
        match reserve(&mut memory, now, &body("archive"), LARGE) {
            Ok(id) => {
                memory.record_received(now, id, LARGE * 9 / 10);
                stalled.push(id);
            }
            Err(shortage) => {
                refused += 1;
                assert!((100..=3_000).contains(&shortage.retry_after));
                for id in shortage.evicted {
                    stalled.retain(|known| *known != id);
                    memory.close(now, id);
                }
            }
        }
        let small: Vec<_> =
            (0..4).map(|_| reserve(&mut memory, now, &body("school"), SMALL)).collect();
        assert!(small.iter().all(Result::is_ok), "at {now}");
        small.into_iter().flatten().for_each(|id| memory.close(now + 20, id));
    }
    assert!(stalled.len() <= 3);
    assert!(refused >= 40, "{refused}");
    assert!(memory.get_total() <= memory.get_capacity());
}

#[derive(Clone, Debug)]
enum Step {
    Open(usize, u8, u64),
    Grow(usize, u64),
    Receive(usize, u64),
    Shrink(usize, u64),
    Close(usize),
    Wait(Millis),
    Observe(Option<u64>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let bytes = || prop_oneof![1_u64..70_000, 1_u64..5_000_000];
    let step = prop_oneof![
        (0_usize..4, 0_u8..4, bytes())
            .prop_map(|(account, kind, bytes)| Step::Open(account, kind, bytes)),
        (0_usize..40, bytes()).prop_map(|(at, bytes)| Step::Grow(at, bytes)),
        (0_usize..40, bytes()).prop_map(|(at, bytes)| Step::Receive(at, bytes)),
        (0_usize..40, bytes()).prop_map(|(at, bytes)| Step::Shrink(at, bytes)),
        (0_usize..40).prop_map(Step::Close),
        (1_u64..1_000).prop_map(Step::Wait),
        prop::option::of(0_u64..200_000_000).prop_map(Step::Observe),
    ];
    prop::collection::vec(step, 1..120)
}

const ACCOUNTS: [&str; 4] = ["acme", "archive", "school", ""];

proptest! {
    #[test]
    fn no_sequence_exceeds_the_capacity_or_leaks(steps in steps()) {
        let mut memory = make_budget();
        let mut now = 10_000;
        let mut held: Vec<(ReservationId, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Open(account, kind, bytes) => {
                    let kind = [Kind::RequestBody, Kind::RequestBody, Kind::ReadAhead, Kind::Control]
                        [usize::from(kind)];
                    let requester = Requester { kind, account: ACCOUNTS[account], urgency: account as u32 };
                    if let Ok(id) = reserve(&mut memory, now, &requester, bytes) {
                        prop_assert!(memory.get_total() <= memory.get_capacity());
                        held.push((id, bytes));
                    }
                }
                Step::Grow(at, bytes) => {
                    let Some((id, known)) = held.get_mut(at) else { continue };
                    if memory.grow(now, *id, bytes).is_ok() {
                        prop_assert!(memory.get_total() <= memory.get_capacity());
                        *known += bytes;
                    }
                }
                Step::Receive(at, bytes) => {
                    let Some((id, _)) = held.get(at) else { continue };
                    memory.record_received(now, *id, bytes);
                }
                Step::Shrink(at, bytes) => {
                    let Some((id, known)) = held.get_mut(at) else { continue };
                    memory.shrink(now, *id, bytes);
                    *known -= bytes.min(*known);
                }
                Step::Close(at) if at < held.len() => {
                    memory.close(now, held.swap_remove(at).0);
                }
                Step::Close(_) => {}
                Step::Wait(time) => now += time,
                Step::Observe(resident) => {
                    memory.observe(now, resident);
                }
            }
            let sum: u64 = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(memory.get_total(), sum);
        }
        for (id, _) in held {
            memory.close(now, id);
        }
        prop_assert_eq!(memory.get_total(), 0);
        prop_assert_eq!(memory.get_held(Kind::RequestBody), 0);
        memory.observe(now + 10_000, None);
        let bodies = fill(&mut memory, now + 10_000, &body("acme"), LARGE).len();
        prop_assert_eq!(bodies, 9, "what was held before has left no trace");
    }

    /// One account retries occasionally, as its caller does; the others fill the memory at every
    /// step.
    #[test]
    fn no_account_starves(
        lengths in prop::collection::vec(100_000_u64..5_000_000, 1..6),
        wanted in 1_000_u64..5_000_000,
        ends_after in 100_u64..2_000,
        retries in 50_u64..3_000,
    ) {
        let mut memory = make_budget();
        let mut running: Vec<(Millis, ReservationId)> = Vec::new();
        let mut next_try = 3_000;
        for now in (0..20_000).step_by(25) {
            running.retain(|(ends_at, id)| {
                if *ends_at <= now {
                    memory.close(now, *id);
                }
                *ends_at > now
            });
            for (account, length) in lengths.iter().enumerate() {
                let requester = body(["a", "b", "c", "d", "e"][account % 5]);
                for id in fill(&mut memory, now, &requester, *length) {
                    memory.complete_upload(id);
                    running.push((now + ends_after, id));
                }
            }
            if now >= next_try {
                if reserve(&mut memory, now, &body("rare"), wanted).is_ok() {
                    return Ok(());
                }
                next_try = now + retries;
            }
        }
        prop_assert!(false, "no room for {wanted} bytes in 17 s");
    }
}
