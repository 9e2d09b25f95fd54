use std::net::SocketAddr;

use keeljunction_core::serving::peers::{Heard, Peers};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn heard(node: &str, link_mbps: u32) -> Heard<'_> {
    Heard { node, life: 1, is_stopping: false, holds_duties: false, link_mbps }
}

/// A node that hears `count` others, whose links carry 10 Mbit/s, but for those named `wide-`.
fn peers_of(own_name: &str, own_link_mbps: u32, count: u16) -> Peers {
    let mut peers = Peers::new(0, own_name.to_owned(), address(1), own_link_mbps, &[]);
    for number in 0..count {
        peers.hear(1_000, address(100 + number), &heard(&format!("node-{number}"), 10));
    }
    peers
}

#[test]
fn a_node_that_hears_nobody_reads_for_itself() {
    let peers = Peers::new(0, "a".to_owned(), address(1), 10, &[]);
    assert!(!peers.is_reader(999));
    assert!(peers.is_reader(1_000));
}

#[test]
fn three_of_many_nodes_read_for_all() {
    let readers = (0..20u16).filter(|own| {
        let mut peers = Peers::new(0, format!("node-{own}"), address(100 + own), 10, &[]);
        for other in (0..20).filter(|other| other != own) {
            peers.hear(1_000, address(100 + other), &heard(&format!("node-{other}"), 10));
        }
        peers.is_reader(1_100)
    });
    assert_eq!(readers.count(), 3);
}

#[test]
fn nodes_with_wide_links_read_first() {
    let mut peers = peers_of("own", 10, 40);
    for number in 0..3 {
        peers.hear(1_000, address(900 + number), &heard(&format!("wide-{number}"), 200));
    }
    let mut readers = peers.get_readers(1_100);
    readers.sort_unstable();
    assert_eq!(readers, [address(900), address(901), address(902)]);
    assert!(!peers.is_reader(1_100));
}

#[test]
fn a_reader_that_is_no_longer_heard_is_replaced() {
    let mut peers = peers_of("own", 200, 2);
    for number in 0..3 {
        peers.hear(1_000, address(900 + number), &heard(&format!("wide-{number}"), 1_000));
    }
    assert!(!peers.is_reader(1_100));
    for number in 0..2 {
        peers.hear(2_500, address(900 + number), &heard(&format!("wide-{number}"), 1_000));
    }
    assert!(peers.is_reader(2_600));
}

#[test]
fn a_node_that_was_not_heard_since_a_window_ended_is_missing() {
    let mut peers = peers_of("own", 10, 2);
    assert!(!peers.is_any_unheard_since(1_500, 900));
    peers.hear(2_000, address(100), &heard("node-0", 10));
    assert!(peers.is_any_unheard_since(2_100, 1_500));
    peers.hear(2_200, address(101), &heard("node-1", 10));
    assert!(!peers.is_any_unheard_since(2_300, 1_500));
}

#[test]
fn a_node_that_stops_or_is_gone_for_long_is_not_waited_for() {
    let mut peers = peers_of("own", 10, 2);
    peers.hear(2_000, address(100), &heard("node-0", 10));
    peers.hear(2_000, address(101), &Heard { is_stopping: true, ..heard("node-1", 10) });
    assert!(!peers.is_any_unheard_since(9_000, 1_500));
    assert!(peers.is_any_unheard_since(9_000, 8_000));
    assert!(!peers.is_any_unheard_since(62_001, 61_000));
}

#[test]
fn a_node_that_has_not_read_the_list_takes_many_to_be_there_for_a_while() {
    let mut peers = Peers::new(0, "own".to_owned(), address(1), 10, &[]);
    assert_eq!((peers.get_reach(100).heard, peers.get_reach(100).all), (1, 100));
    assert_eq!(peers.get_reach(3_000).all, 1);
    peers.take_list(&[address(1), address(2)]);
    assert_eq!(peers.get_reach(100).all, 2);
}
