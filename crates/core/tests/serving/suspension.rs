//! Suspended VMs: state from before the suspension is not used for longer than it is valid.

use std::net::SocketAddr;

use keeljunction_core::serving::duty_lease::{DutyLease, LeaseRow, TableClock};
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::freshness::Freshness;
use keeljunction_core::serving::health::Health;
use keeljunction_core::serving::members::{Entry, Heartbeat, Members, Role};
use keeljunction_core::serving::quarantine::{Fingerprint, Standing, Tracker, Verdict};
use proptest::prelude::*;

const LEASE: u64 = 3_000;
const MARGIN: u64 = 600;
const FRESH: u64 = 4_750;
const SUSPENDED_AT: u64 = 100_000;

fn entry(name: &str, port: u16) -> Entry {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    Entry { name: name.to_owned(), address, data_centre: "z1".to_owned(), link_mbps: 10 }
}

proptest! {
    #[test]
    fn a_duty_holder_acts_no_longer_than_its_lease(suspension in 500_u64..60_000) {
        let mut lease = DutyLease::new("a".to_owned(), 1, LEASE, MARGIN);
        let row =
            LeaseRow { holder: "a".to_owned(), incarnation: 1, term: 4, ends_at: 100 + LEASE };
        lease.confirm(Era::UNNAMED, &row, TableClock { asked_at: SUSPENDED_AT, table_time: 100 });
        let may_act = suspension < LEASE - MARGIN;
        prop_assert_eq!(lease.get_fence(SUSPENDED_AT + suspension).is_some(), may_act);
    }

    #[test]
    fn a_configuration_is_confirmed_before_use(suspension in 500_u64..60_000) {
        let mut freshness = Freshness::default();
        freshness.confirm(SUSPENDED_AT);
        prop_assert_eq!(freshness.is_within(SUSPENDED_AT + suspension, FRESH), suspension <= FRESH);
        // Data from a peer is as old as it was when it was sent, plus the suspension.
        freshness.confirm_by_peer(SUSPENDED_AT, 400);
        prop_assert_eq!(freshness.get_age(SUSPENDED_AT + suspension), Some(suspension));
    }

    #[test]
    fn a_node_hears_nobody_until_it_refreshes(suspension in 2_000_u64..60_000) {
        let mut members = Members::new(0, entry("a", 1), &[]);
        members.merge_list(0, Vec::new(), true);
        for number in 0..5 {
            let other = entry(&format!("n-{number}"), 10 + number);
            let role = Role::Aggregator;
            let heard =
                Heartbeat { entry: &other, incarnation: 1, is_stopping: false, role, holder_age: None };
            members.record_heartbeat(SUSPENDED_AT, &heard);
        }
        members.refresh(SUSPENDED_AT);
        prop_assert_eq!(members.get_reachability(SUSPENDED_AT).heard, 6);
        prop_assert_eq!(members.get_reachability(SUSPENDED_AT + suspension).heard, 1);
        members.refresh(SUSPENDED_AT + suspension);
        prop_assert_eq!(members.get_reachability(SUSPENDED_AT + suspension).heard, 1);
    }

    #[test]
    fn ejections_and_refusals_end_while_the_machine_is_suspended(suspension in 500_u64..60_000) {
        let mut health = Health::default();
        health.record_connect_failure(SUSPENDED_AT, "s");
        prop_assert!(health.is_ejected(SUSPENDED_AT, "s"));
        prop_assert!(!health.is_ejected(SUSPENDED_AT + suspension, "s"));
        let mut book = Tracker::default();
        let fingerprint = Fingerprint::from_number(5);
        let standing = Standing::Quarantined;
        book.merge(SUSPENDED_AT, Verdict { fingerprint, service: 1, standing, left: 20_000, servers_crashed: 3 });
        let left = book.get_quarantine_remaining(SUSPENDED_AT + suspension, fingerprint);
        prop_assert_eq!(left, 20_000_u64.checked_sub(suspension).filter(|left| *left > 0));
    }
}
