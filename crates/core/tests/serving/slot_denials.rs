//! The causes for which owners deny slots of brittle servers.

use keeljunction_core::serving::backpressure::{
    Cause, Decision, Holding, InstanceKey, OwnerView, SlotPools, SlotRequest,
};
use keeljunction_core::serving::quota::Reachability;

const OWNER: u64 = 1;
const NODE: u64 = 2;
const KEY: InstanceKey = InstanceKey { server: 7, incarnation: 1 };
const SLOTS: u32 = 4;
/// A time at which the servers have been brittle for long.
const NOW: u64 = 100_000;

fn request(held: u32, sequence: u64) -> SlotRequest {
    let holding = Holding { key: KEY, holder: NODE, sequence, held };
    SlotRequest { holding, slots: SLOTS, service: 3, observation: None }
}

fn view(heard: usize, sequence: u64) -> OwnerView {
    let own = Holding { key: KEY, holder: OWNER, sequence, held: 0 };
    let reach = Reachability { heard, known: 4, report_delay: 200, is_grouped: false };
    OwnerView { own, reach, brittle_for: Some(60_000) }
}

/// Returns the causes that were counted, with their counts.
fn list_counted(pools: &SlotPools) -> Vec<(Cause, u64)> {
    let counts = Cause::ALL.map(|cause| (cause, pools.get_denials().get(cause)));
    counts.into_iter().filter(|(_, count)| *count > 0).collect()
}

/// Guards against denials whose cause cannot be found out.
#[test]
fn an_owner_counts_denied_slots_by_cause() {
    let mut pools = SlotPools::default();
    pools.record_owners(NOW, &[OWNER]);
    let is_denied = |decision| matches!(decision, Decision::Denied { .. });

    assert!(is_denied(pools.decide(NOW, &request(1, 1), &view(4, 1))));
    assert_eq!(list_counted(&pools), [(Cause::Unsettled, 1)]);

    let settled = NOW + 1_000;
    assert_eq!(pools.decide(settled, &request(SLOTS, 2), &view(4, 2)), Decision::Granted);
    assert!(is_denied(pools.decide(settled, &request(SLOTS + 1, 3), &view(4, 3))));
    assert_eq!(list_counted(&pools), [(Cause::InUse, 1), (Cause::Unsettled, 1)]);

    assert!(is_denied(pools.decide(settled, &request(SLOTS, 4), &view(3, 4))));
    assert_eq!(pools.get_denials().get(Cause::Unheard), 1);

    let own = Holding { key: KEY, holder: OWNER, sequence: 5, held: 0 };
    pools.record_rejection(settled, &own, 4);
    assert!(is_denied(pools.decide(settled, &request(1, 6), &view(4, 6))));
    assert_eq!(pools.get_denials().get(Cause::Paused), 1);

    let resumed = settled + 200;
    assert!(is_denied(pools.decide(resumed, &request(SLOTS, 7), &view(4, 7))));
    assert_eq!(pools.get_denials().get(Cause::Bounded), 1);
}
