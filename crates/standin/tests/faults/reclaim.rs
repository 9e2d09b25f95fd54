//! An accepted request survives any reclaim that was announced.

use std::time::Duration;

use keeljunction::runtime;
use serde_json::json;
use standin::engine::expected_output;
use standin::harness::ClusterConfig;

use super::support::{briefing, come_back, eventually, finish, on_cluster, open, server_of};

const TOKENS: u64 = 250;

/// Reclaims the server of a stream with a short notice, kills it when the notice is over, and
/// returns the tokens that were recomputed.
fn reclaim_server(export_tokens_per_second: u64, notice_ms: u64) -> u64 {
    let mut recomputed = 0;
    let plan = ClusterConfig { engines: 3, export_tokens_per_second, ..ClusterConfig::default() };
    on_cluster(plan, async |mut cluster| {
        let prompt = "flood briefing ".repeat(200);
        let call = briefing(&prompt, TOKENS).key("b-1");
        let stream = open(&cluster, 0, &call, 20).await;
        let server = server_of(&cluster, "b-1").await;
        cluster.give_notice(&server, notice_ms).await;
        let reading = runtime::spawn_with_handle(finish(stream));
        runtime::sleep(Duration::from_millis(notice_ms)).await;
        cluster.servers.get_mut(&server).expect("it runs").kill();
        let answer = reading.await;
        assert!(answer.is_complete, "{:?}", answer.problem);
        assert_eq!(answer.body, expected_output(&prompt, TOKENS));
        recomputed = cluster.sum_counter("tokens_recomputed").await;
    });
    recomputed
}

#[test]
fn a_stream_is_moved_with_its_cache_when_its_server_is_reclaimed() {
    let recomputed = reclaim_server(50_000, 1_200);
    println!("recomputed with the cache moved: {recomputed} tokens");
    assert!(recomputed < 100, "the cache went along: {recomputed}");
}

#[test]
fn a_stream_is_resumed_when_the_server_cannot_export_its_cache() {
    let recomputed = reclaim_server(0, 1_200);
    println!("recomputed when resumed: {recomputed} tokens");
    assert!(recomputed >= 400, "all was computed again: {recomputed}");
}

#[test]
fn streams_survive_the_reclaim_of_two_servers_at_once() {
    on_cluster(ClusterConfig { engines: 3, ..ClusterConfig::default() }, async |mut cluster| {
        let prompts: Vec<String> =
            (0..9).map(|n| format!("briefing number {n} for the basin")).collect();
        let mut streams = Vec::new();
        for (number, prompt) in prompts.iter().enumerate() {
            let call = briefing(prompt, TOKENS).key(&format!("b-{number}"));
            streams.push(open(&cluster, number % 3, &call, 3).await);
        }
        let reading: Vec<_> =
            streams.into_iter().map(|stream| runtime::spawn_with_handle(finish(stream))).collect();
        cluster.give_notice("hidro-0", 1_500).await;
        cluster.give_notice("hidro-1", 1_500).await;
        runtime::sleep(Duration::from_millis(1_500)).await;
        cluster.servers.get_mut("hidro-0").expect("it runs").kill();
        cluster.servers.get_mut("hidro-1").expect("it runs").kill();
        for (answer, prompt) in reading.into_iter().zip(&prompts) {
            let answer = answer.await;
            assert!(answer.is_complete, "{:?}", answer.problem);
            assert_eq!(answer.body, expected_output(prompt, TOKENS));
        }
    });
}

#[test]
fn the_caller_of_a_reclaimed_node_gets_the_rest_at_another() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call = briefing("the node itself is reclaimed", 400).key("b-1");
        let stream = open(&cluster, 0, &call, 10).await;
        cluster.give_notice("entry-0", 1_500).await;
        let reading = runtime::spawn_with_handle(finish(stream));
        runtime::sleep(Duration::from_millis(1_700)).await;
        cluster.nodes[0].process.kill();
        let so_far = reading.await;
        assert!(!so_far.is_complete, "the notice was shorter than the answer");
        let whole = come_back(&cluster, 1, &call, &so_far).await;
        assert_eq!(whole.body, expected_output("the node itself is reclaimed", 400));
    });
}

#[test]
fn the_caller_of_a_node_killed_halfway_through_its_drain_gets_the_rest_at_another() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call = briefing("killed while draining", 300).key("b-1");
        let stream = open(&cluster, 0, &call, 10).await;
        cluster.nodes[0].process.terminate();
        runtime::sleep(Duration::from_millis(700)).await;
        cluster.nodes[0].process.kill();
        let so_far = finish(stream).await;
        assert!(!so_far.is_complete);
        let whole = come_back(&cluster, 2, &call, &so_far).await;
        assert_eq!(whole.body, expected_output("killed while draining", 300));
    });
}

#[test]
fn a_killed_nodes_request_is_taken_over_without_its_caller() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call = briefing("nobody comes back yet", 60).key("b-1");
        let stream = open(&cluster, 0, &call, 10).await;
        cluster.nodes[0].process.kill();
        let so_far = finish(stream).await;
        cluster.nodes.remove(0);
        eventually("a holder takes over", async || {
            cluster.sum_counter("requests_taken_over").await == 1
        })
        .await;
        let whole = come_back(&cluster, 0, &call, &so_far).await;
        assert_eq!(whole.body, expected_output("nobody comes back yet", 60));
    });
}

#[test]
fn requests_survive_the_reclaim_of_a_whole_data_centre() {
    let plan = ClusterConfig { nodes: 4, engines: 4, ..ClusterConfig::default() };
    on_cluster(plan, async |mut cluster| {
        let prompts: Vec<String> = (0..8).map(|n| format!("dossier {n} of the branch")).collect();
        let calls: Vec<_> = prompts
            .iter()
            .enumerate()
            .map(|(n, prompt)| briefing(prompt, 300).key(&format!("b-{n}")))
            .collect();
        let mut streams = Vec::new();
        for (number, call) in calls.iter().enumerate() {
            streams.push(open(&cluster, number % 4, call, 3).await);
        }
        let reading: Vec<_> =
            streams.into_iter().map(|stream| runtime::spawn_with_handle(finish(stream))).collect();
        cluster.give_notice("entry-0", 2_000).await;
        cluster.give_notice("hidro-0", 2_000).await;
        runtime::sleep(Duration::from_millis(2_000)).await;
        cluster.servers.get_mut("hidro-0").expect("it runs").kill();
        cluster.nodes[0].process.kill();
        for (number, answer) in reading.into_iter().enumerate() {
            let mut answer = answer.await;
            if !answer.is_complete {
                assert_eq!(number % 4, 0, "only callers of the reclaimed node are cut");
                answer = come_back(&cluster, 1 + number % 3, &calls[number], &answer).await;
            }
            assert_eq!(answer.body, expected_output(&prompts[number], 300));
        }
    });
}

#[test]
fn a_stream_goes_on_when_its_server_dies_without_notice() {
    on_cluster(
        ClusterConfig {
            settings: json!({ "routing": { "retry_burst": 5 } }),
            ..ClusterConfig::default()
        },
        async |mut cluster| {
            let call = briefing("no notice at all", TOKENS).key("b-1");
            let stream = open(&cluster, 0, &call, 10).await;
            let server = server_of(&cluster, "b-1").await;
            cluster.servers.get_mut(&server).expect("it runs").kill();
            let answer = finish(stream).await;
            assert!(answer.is_complete, "{:?}", answer.problem);
            assert_eq!(answer.body, expected_output("no notice at all", TOKENS));
        },
    );
}
