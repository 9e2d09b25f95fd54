use std::net::SocketAddr;

use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::members::{Entry, Heartbeat, Members, Overview, Role};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn entry_in(data_centre: &str, name: &str, link_mbps: u32, number: u16) -> Entry {
    let (name, data_centre) = (name.to_owned(), data_centre.to_owned());
    Entry { name, address: address(number), data_centre, link_mbps }
}

fn entry(name: &str, link_mbps: u32, number: u16) -> Entry {
    entry_in("z1", name, link_mbps, number)
}

fn heard(entry: &Entry) -> Heartbeat<'_> {
    let role = Role::Aggregator;
    Heartbeat { entry, incarnation: 1, is_stopping: false, role, holder_age: None }
}

/// Returns the members of a node that hears `count` others, with links of 10 Mbit/s, at 1,000 ms.
fn members_of(own_name: &str, own_link_mbps: u32, count: u16) -> Members {
    let mut members = Members::new(0, entry(own_name, own_link_mbps, 1), &[]);
    members.merge_list(0, Vec::new(), true);
    for number in 0..count {
        members
            .record_heartbeat(1_000, &heard(&entry(&format!("node-{number}"), 10, 100 + number)));
    }
    members.refresh(1_000);
    members
}

#[test]
fn a_node_that_hears_nobody_reads_the_tables_itself() {
    let members = Members::new(0, entry("a", 10, 1), &[]);
    // Other nodes may still be adding themselves to the list.
    assert!(!members.is_table_reader(3_999));
    assert!(members.is_table_reader(4_000));
    let mut members = Members::new(0, entry("a", 10, 1), &[]);
    members.merge_list(0, vec![entry("a", 10, 1)], false);
    assert!(!members.is_table_reader(3_999));
    members.merge_list(2_000, vec![entry("a", 10, 1)], true);
    assert!(members.is_table_reader(2_000));
}

#[test]
fn three_of_many_nodes_read_the_tables_for_all() {
    let readers = (0..20u16).filter(|own| {
        let mut members = Members::new(0, entry(&format!("node-{own}"), 10, 100 + own), &[]);
        members.merge_list(0, Vec::new(), true);
        for other in (0..20).filter(|other| other != own) {
            members
                .record_heartbeat(1_000, &heard(&entry(&format!("node-{other}"), 10, 100 + other)));
        }
        members.refresh(1_050);
        members.is_table_reader(1_100)
    });
    assert_eq!(readers.count(), 3);
}

#[test]
fn nodes_with_wide_links_are_the_first_table_readers() {
    let mut members = members_of("own", 10, 30);
    for number in 0..3 {
        members
            .record_heartbeat(1_000, &heard(&entry(&format!("wide-{number}"), 200, 900 + number)));
    }
    members.refresh(1_100);
    let mut readers = members.list_table_readers();
    readers.sort_unstable();
    assert_eq!(readers, [address(900), address(901), address(902)]);
    assert!(!members.is_table_reader(1_100));
}

#[test]
fn a_reader_that_is_no_longer_heard_is_replaced() {
    let mut members = members_of("own", 200, 2);
    let wide = |number: u16| entry(&format!("wide-{number}"), 1_000, 900 + number);
    for number in 0..3 {
        members.record_heartbeat(1_000, &heard(&wide(number)));
    }
    members.refresh(1_100);
    assert!(!members.is_table_reader(1_100));
    for number in 0..2 {
        members.record_heartbeat(2_500, &heard(&wide(number)));
    }
    members.refresh(2_600);
    assert!(members.is_table_reader(2_600));
}

#[test]
fn a_node_that_was_not_heard_since_a_window_ended_is_missing() {
    let mut members = members_of("own", 10, 2);
    assert!(!members.is_any_node_missing_since(1_500, 900));
    members.record_heartbeat(2_000, &heard(&entry("node-0", 10, 100)));
    assert!(members.is_any_node_missing_since(2_100, 1_500));
    members.record_heartbeat(2_200, &heard(&entry("node-1", 10, 101)));
    assert!(!members.is_any_node_missing_since(2_300, 1_500));
}

#[test]
fn a_stopping_or_long_gone_node_is_not_missing() {
    let mut members = members_of("own", 10, 2);
    members.record_heartbeat(2_000, &heard(&entry("node-0", 10, 100)));
    let stopping = entry("node-1", 10, 101);
    members.record_heartbeat(2_000, &Heartbeat { is_stopping: true, ..heard(&stopping) });
    assert!(!members.is_any_node_missing_since(9_000, 1_500));
    assert!(members.is_any_node_missing_since(9_000, 8_000));
    assert!(!members.is_any_node_missing_since(62_001, 61_000));
}

#[test]
fn a_node_that_has_not_read_the_list_assumes_many_nodes_for_a_while() {
    let mut members = Members::new(0, entry("own", 10, 1), &[]);
    assert_eq!(
        (members.get_reachability(100).heard, members.get_reachability(100).known),
        (1, 100)
    );
    members.refresh(3_000);
    assert_eq!(members.get_reachability(3_000).known, 1);
    members.merge_list(100, vec![entry("own", 10, 1), entry("other", 10, 2)], true);
    assert_eq!(members.get_reachability(100).known, 2);
}

#[test]
fn a_suspended_node_hears_nobody_until_it_refreshes() {
    let members = members_of("own", 10, 5);
    assert_eq!(members.get_reachability(1_500).heard, 6);
    assert_eq!(members.get_reachability(9_000).heard, 1);
}

#[test]
fn a_silent_node_still_gets_messages_so_that_a_partition_can_heal() {
    let mut members = members_of("own", 10, 3);
    for now in [1_200, 2_400, 3_600] {
        members.record_heartbeat(now, &heard(&entry("node-0", 10, 100)));
        members.refresh(now);
    }
    assert_eq!(members.get_reachability(3_600).heard, 2);
    assert_eq!(members.list_exchange_peers(3_600).len(), 3);
    assert_eq!(members.list_silent(), [short_id("node-1"), short_id("node-2")]);
    members.record_heartbeat(3_700, &heard(&entry("node-2", 10, 102)));
    members.refresh(3_800);
    assert_eq!(members.list_silent(), [short_id("node-1")]);
}

/// Sixty nodes in three data centres, each with one wide link and otherwise narrow links.
fn sixty_nodes() -> Vec<Entry> {
    let nodes = (0..60u16).map(|number| {
        let link = if number < 3 { 200 } else { 10 };
        entry_in(&format!("z{}", number % 3), &format!("node-{number}"), link, 100 + number)
    });
    nodes.collect()
}

fn member_of_sixty(number: usize) -> Members {
    let all = sixty_nodes();
    let mut members = Members::new(0, all[number].clone(), &[]);
    members.merge_list(0, all, true);
    members
}

#[test]
fn a_few_nodes_of_each_data_centre_aggregate_widest_links_first() {
    // Twenty nodes per data centre and groups of eight: three aggregators each.
    let aggregators: Vec<usize> = (0..60).filter(|n| member_of_sixty(*n).is_aggregator()).collect();
    assert_eq!(aggregators.len(), 9);
    assert_eq!(aggregators[..3], [0, 1, 2]);
    for number in (0..60).filter(|number| !aggregators.contains(number)) {
        let members = member_of_sixty(number);
        let own = members.get_own_aggregator().expect("an aggregator");
        assert_eq!(own.data_centre, format!("z{}", number % 3));
        assert!(aggregators.contains(&(usize::from(own.address.port()) - 100)));
    }
    // The number of peers of an aggregator does not grow with the number of nodes.
    assert_eq!(member_of_sixty(0).list_exchange_peers(0).len(), 8);
}

#[test]
fn all_nodes_agree_which_aggregator_tracks_the_load_of_a_server() {
    for server in 0..20u64 {
        let server = short_id(&server.to_string());
        let owners = (0..60).map(|number| {
            let own = address(100 + number as u16);
            member_of_sixty(number).find_owner(server).unwrap_or(own)
        });
        let owners: std::collections::BTreeSet<SocketAddr> = owners.collect();
        assert_eq!(owners.len(), 1);
    }
}

/// The nodes of sixty that are not aggregators, each with its aggregator.
fn all_group_members() -> Vec<(Members, Entry)> {
    let members = (0..60).map(member_of_sixty);
    let group_members = members.filter_map(|members| {
        let aggregator = members.get_own_aggregator()?.clone();
        Some((members, aggregator))
    });
    group_members.collect()
}

/// One of them that is not the next to become an aggregator.
fn group_member() -> (Members, Entry) {
    let is_next = |members: &mut Members, aggregator: &Entry| {
        members.apply_overview(
            1,
            &aggregator.name,
            Overview::default(),
            &[short_id(&aggregator.name)],
        );
        members.refresh(1);
        members.get_own_aggregator().is_none()
    };
    let others = all_group_members().into_iter().zip(all_group_members());
    let mut others = others.filter_map(|((mut tried, aggregator), found)| {
        (!is_next(&mut tried, &aggregator)).then_some(found)
    });
    others.next().expect("most are not the next to aggregate")
}

#[test]
fn one_node_of_a_group_replaces_a_silent_aggregator() {
    let (_, gone) = group_member();
    let group = all_group_members().into_iter().filter(|(_, aggregator)| *aggregator == gone);
    let promoted =
        group.filter(|(_, aggregator)| *aggregator == gone).filter_map(|(mut members, _)| {
            members.apply_overview(1, &gone.name, Overview::default(), &[short_id(&gone.name)]);
            members.refresh(1);
            members.is_aggregator().then_some(())
        });
    assert!(promoted.count() <= 1);
}

#[test]
fn a_node_whose_aggregator_falls_silent_picks_another_and_returns_later() {
    let (mut members, aggregator) = group_member();
    let overview = Overview { heard: 50, known: 60 };
    members.apply_overview(1_000, &aggregator.name, overview, &[]);
    members.refresh(1_000);
    assert_eq!(
        (members.get_reachability(1_000).heard, members.get_reachability(1_000).known),
        (50, 60)
    );
    members.refresh(2_500);
    assert_eq!(members.get_own_aggregator(), Some(&aggregator));
    // Four periods of 400 ms.
    members.refresh(2_600);
    let next = members.get_own_aggregator().expect("another aggregator").clone();
    assert_ne!(next, aggregator);
    assert_eq!(next.data_centre, aggregator.data_centre);
    members.refresh(2_700);
    assert_eq!(members.get_reachability(2_700).heard, 1);
    for now in (2_700..13_100).step_by(400) {
        members.apply_overview(now, &next.name, overview, &[]);
        members.refresh(now);
    }
    assert_eq!(members.get_own_aggregator(), Some(&aggregator));
}

#[test]
fn a_node_that_replaces_a_silent_aggregator_tells_its_group() {
    for (mut members, gone) in all_group_members() {
        members.apply_overview(1, &gone.name, Overview::default(), &[short_id(&gone.name)]);
        members.refresh(1);
        if members.is_aggregator() {
            assert_eq!(members.list_silent(), [short_id(&gone.name)]);
            members.record_heartbeat(2, &heard(&gone));
            members.refresh(2);
            assert!(members.list_silent().is_empty() && !members.is_aggregator());
        }
    }
}

#[test]
fn a_node_avoids_an_aggregator_that_the_others_do_not_hear() {
    let (mut members, aggregator) = group_member();
    let overview = Overview { heard: 60, known: 60 };
    members.apply_overview(400, &aggregator.name, overview, &[short_id(&aggregator.name)]);
    members.refresh(400);
    assert_ne!(members.get_own_aggregator(), Some(&aggregator));
}

#[test]
fn an_overview_of_another_node_than_the_own_aggregator_is_ignored() {
    let (mut members, aggregator) = group_member();
    let overview = Overview { heard: 60, known: 60 };
    members.apply_overview(400, "another", overview, &[short_id(&aggregator.name)]);
    members.refresh(400);
    assert_eq!(members.get_own_aggregator(), Some(&aggregator));
    assert_eq!(members.get_reachability(400).heard, 1);
}

#[test]
fn an_aggregator_that_falls_silent_is_replaced_by_the_next_of_its_data_centre() {
    let all = sixty_nodes();
    let mut members = member_of_sixty(0);
    let others: Vec<SocketAddr> = members.list_exchange_peers(0);
    let silent = others.iter().find(|other| other.port() == 101).copied();
    for now in (0..=2_400).step_by(400) {
        for other in others.iter().filter(|other| Some(**other) != silent) {
            members.record_heartbeat(now, &heard(&all[usize::from(other.port()) - 100]));
        }
        members.refresh(now);
    }
    assert_eq!(members.list_silent(), [short_id("node-1")]);
    let now_others = members.list_exchange_peers(2_400);
    let new: Vec<&SocketAddr> = now_others.iter().filter(|other| !others.contains(other)).collect();
    assert_eq!(new.len(), 1);
    assert_eq!(all[usize::from(new[0].port()) - 100].data_centre, "z1");
}

#[test]
fn nodes_of_all_groups_are_reachable_and_not_missing() {
    let all = sixty_nodes();
    let mut members = member_of_sixty(0);
    let member = |number: usize| Heartbeat { role: Role::Member, ..heard(&all[number]) };
    for number in [3, 6, 9] {
        members.record_heartbeat(400, &member(number));
    }
    members.record_heartbeat(400, &heard(&all[1]));
    members.record_group(400, "node-1", vec![short_id("node-4"), short_id("node-7")], 300);
    members.refresh(400);
    // The node itself, three of its group, another aggregator and two of its group.
    assert_eq!((members.get_reachability(400).heard, members.get_reachability(400).known), (7, 60));
    assert_eq!(
        members.get_group(500),
        (vec![short_id("node-3"), short_id("node-6"), short_id("node-9")], 100)
    );
    // A node of the other group was last heard 300 ms before its aggregator reported it.
    assert!(!members.is_any_node_missing_since(500, 100));
    assert!(members.is_any_node_missing_since(500, 101));
    // A node that switched to the other aggregator is not missing here.
    for now in [2_000, 2_400] {
        members.record_heartbeat(now, &heard(&all[1]));
        members.record_group(now, "node-1", vec![short_id("node-4"), short_id("node-3")], 0);
        members.record_heartbeat(now, &member(6));
        members.record_heartbeat(now, &member(9));
        members.refresh(now);
    }
    assert!(!members.is_any_node_missing_since(2_400, 2_000));
}

#[test]
fn a_new_node_is_passed_on_for_a_while() {
    let mut members = member_of_sixty(0);
    let fresh = entry_in("z1", "fresh", 10, 900);
    members.record_heartbeat(20_000, &Heartbeat { role: Role::Member, ..heard(&fresh) });
    assert_eq!(members.list_gossip_entries(29_999, 7), std::slice::from_ref(&fresh));
    assert!(members.list_gossip_entries(30_000, 7).is_empty());
    let mut other = member_of_sixty(1);
    other.merge_entries(21_000, &[fresh]);
    other.refresh(21_000);
    assert_eq!(other.get_reachability(21_000).known, 61);
}

#[test]
fn many_new_nodes_are_all_passed_on_in_turn() {
    let members = member_of_sixty(0);
    let passed: Vec<Vec<Entry>> =
        (5..8).map(|turn| members.list_gossip_entries(1_000, turn)).collect();
    assert!(passed.iter().all(|entries| entries.len() == 24));
    let names: std::collections::BTreeSet<&str> =
        passed.iter().flatten().map(|entry| entry.name.as_str()).collect();
    assert_eq!(names.len(), 59);
}

#[test]
fn a_node_that_missed_a_new_entry_learns_of_it_later() {
    let mut members = member_of_sixty(0);
    for node in sixty_nodes() {
        members.record_heartbeat(59_000, &heard(&node));
    }
    let passed = (0..300).flat_map(|turn| members.list_gossip_entries(60_000, turn));
    let names: std::collections::BTreeSet<String> = passed.map(|entry| entry.name).collect();
    assert_eq!(names.len(), 59, "all others, long after they joined");
    let most = (0..300).map(|turn| members.list_gossip_entries(60_000, turn).len()).max();
    assert_eq!(most, Some(1));
    // Nodes that were not heard for some time are not repeated.
    assert!((0..300).all(|turn| members.list_gossip_entries(90_000, turn).is_empty()));
}

#[test]
fn ages_of_the_duty_holders_heartbeat_add_up() {
    let mut members = member_of_sixty(0);
    let other = entry("node-1", 200, 101);
    members.record_heartbeat(5_000, &Heartbeat { holder_age: Some(700), ..heard(&other) });
    assert_eq!(members.get_duty_holder_age(5_100), Some(800));
    assert!(members.is_duty_holder_heard(5_100, 801));
    assert!(!members.is_duty_holder_heard(5_100, 800));
}

#[test]
fn a_node_that_others_report_to_aggregates_for_them() {
    let (mut members, aggregator) = group_member();
    let all = sixty_nodes();
    let other = all.iter().find(|entry| entry.name != aggregator.name).expect("others");
    members.record_heartbeat(400, &Heartbeat { role: Role::Member, ..heard(other) });
    members.refresh(400);
    assert!(members.is_aggregator());
    assert_eq!(members.get_own_aggregator(), None);
    members.refresh(2_400);
    assert!(!members.is_aggregator());
}

// Guards against a usage window that is counted again although a stopped node has reported it.
#[test]
fn every_node_is_heard_if_all_were_recent_and_none_has_restarted() {
    let mut members = members_of("own", 10, 3);
    assert!(members.is_every_node_heard(1_000, 500));
    // The other nodes have sent nothing since.
    members.record_heartbeat(2_000, &heard(&entry("node-0", 10, 100)));
    assert!(!members.is_every_node_heard(1_500, 500));
    for number in 1..3 {
        members
            .record_heartbeat(2_000, &heard(&entry(&format!("node-{number}"), 10, 100 + number)));
    }
    assert!(members.is_every_node_heard(1_500, 500));
    let started = entry("node-1", 10, 101);
    members.record_heartbeat(2_100, &Heartbeat { incarnation: 2, ..heard(&started) });
    assert!(!members.is_every_node_heard(1_500, 500));
    assert!(members.is_every_node_heard(1_500, 2_200));
}

// Guards against the same in groups: a node that becomes an aggregator did not hear all others
// before.
#[test]
fn a_new_aggregator_has_not_heard_every_node() {
    let mut members = members_of("own", 100, 60);
    let wide: Vec<Entry> =
        (0..20).map(|number| entry(&format!("wide-{number}"), 1_000, 900 + number)).collect();
    wide.iter().for_each(|entry| {
        members.record_heartbeat(1_000, &heard(entry));
    });
    members.refresh(1_050);
    assert!(members.is_grouped() && !members.is_aggregator());
    wide.iter().for_each(|entry| {
        members.record_heartbeat(1_400, &Heartbeat { is_stopping: true, ..heard(entry) });
    });
    members.refresh(1_450);
    assert!(members.is_grouped() && members.is_aggregator());
    assert!(!members.is_every_node_heard(1_000, 1_400));
    assert!(members.is_every_node_heard(1_000, 1_500));
}
