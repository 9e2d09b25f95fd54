//! An accepted request survives every reclaim with notice.

use std::time::Duration;

use keeljunction::runtime;
use serde_json::json;
use standin::engine::expected_output;
use standin::harness::ClusterConfig;

use super::support::{briefing, eventually, finish, get_last_server, on_cluster, open, resume_at};

const TOKENS: u64 = 250;

/// Reclaims the server of a stream and kills it at the end of the notice period.
///
/// Returns the number of recomputed tokens.
fn reclaim_server(export_tokens_per_second: u64, notice_ms: u64) -> u64 {
    let mut recomputed = 0;
    let config = ClusterConfig { engines: 3, export_tokens_per_second, ..ClusterConfig::default() };
    on_cluster(config, async |mut cluster| {
        let prompt = "flood briefing ".repeat(200);
        let call = briefing(&prompt, TOKENS).key("b-1");
        let stream = open(&cluster, 0, &call, 20).await;
        let server = get_last_server(&cluster, "b-1").await;
        cluster.give_notice(&server, notice_ms).await;
        let pending = runtime::spawn_with_handle(finish(stream));
        runtime::sleep(Duration::from_millis(notice_ms)).await;
        cluster.servers.get_mut(&server).expect("the server is running").kill();
        let response = pending.await;
        assert!(response.is_complete, "{:?}", response.problem);
        assert_eq!(response.body, expected_output(&prompt, TOKENS));
        recomputed = cluster.sum_counter("tokens_recomputed").await;
    });
    recomputed
}

#[test]
fn stream_migrates_with_its_cache_when_its_server_is_reclaimed() {
    let recomputed = reclaim_server(50_000, 1_200);
    println!("recomputed after cache migration: {recomputed} tokens");
    assert!(recomputed < 100, "the cache was not migrated: {recomputed} tokens recomputed");
}

#[test]
fn stream_is_resumed_when_the_server_cannot_export_its_cache() {
    let recomputed = reclaim_server(0, 1_200);
    println!("recomputed after resumption without the cache: {recomputed} tokens");
    assert!(recomputed >= 400, "all tokens must be recomputed: {recomputed}");
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
        let pending: Vec<_> =
            streams.into_iter().map(|stream| runtime::spawn_with_handle(finish(stream))).collect();
        cluster.give_notice("hidro-0", 1_500).await;
        cluster.give_notice("hidro-1", 1_500).await;
        runtime::sleep(Duration::from_millis(1_500)).await;
        cluster.servers.get_mut("hidro-0").expect("the server is running").kill();
        cluster.servers.get_mut("hidro-1").expect("the server is running").kill();
        for (response, prompt) in pending.into_iter().zip(&prompts) {
            let response = response.await;
            assert!(response.is_complete, "{:?}", response.problem);
            assert_eq!(response.body, expected_output(prompt, TOKENS));
        }
    });
}

#[test]
fn client_of_a_reclaimed_node_resumes_at_another_node() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call = briefing("the node itself is reclaimed", 400).key("b-1");
        let stream = open(&cluster, 0, &call, 10).await;
        cluster.give_notice("entry-0", 1_500).await;
        let pending = runtime::spawn_with_handle(finish(stream));
        runtime::sleep(Duration::from_millis(1_700)).await;
        cluster.nodes[0].process.kill();
        let partial = pending.await;
        assert!(!partial.is_complete, "the notice period must be shorter than the response");
        let complete = resume_at(&cluster, 1, &call, &partial).await;
        assert_eq!(complete.body, expected_output("the node itself is reclaimed", 400));
    });
}

#[test]
fn client_of_a_node_killed_while_draining_resumes_at_another_node() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call = briefing("killed while draining", 300).key("b-1");
        let stream = open(&cluster, 0, &call, 10).await;
        cluster.nodes[0].process.terminate();
        runtime::sleep(Duration::from_millis(700)).await;
        cluster.nodes[0].process.kill();
        let partial = finish(stream).await;
        assert!(!partial.is_complete);
        let complete = resume_at(&cluster, 2, &call, &partial).await;
        assert_eq!(complete.body, expected_output("killed while draining", 300));
    });
}

#[test]
fn request_of_a_killed_node_is_taken_over_before_its_client_reconnects() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call = briefing("nobody comes back yet", 60).key("b-1");
        let stream = open(&cluster, 0, &call, 10).await;
        cluster.nodes[0].process.kill();
        let partial = finish(stream).await;
        cluster.nodes.remove(0);
        eventually("another node takes over the request", async || {
            cluster.sum_counter("requests_taken_over").await == 1
        })
        .await;
        let complete = resume_at(&cluster, 0, &call, &partial).await;
        assert_eq!(complete.body, expected_output("nobody comes back yet", 60));
    });
}

#[test]
fn requests_survive_the_reclaim_of_a_data_centre() {
    let config = ClusterConfig { nodes: 4, engines: 4, ..ClusterConfig::default() };
    on_cluster(config, async |mut cluster| {
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
        let pending: Vec<_> =
            streams.into_iter().map(|stream| runtime::spawn_with_handle(finish(stream))).collect();
        cluster.give_notice("entry-0", 2_000).await;
        cluster.give_notice("hidro-0", 2_000).await;
        runtime::sleep(Duration::from_millis(2_000)).await;
        cluster.servers.get_mut("hidro-0").expect("the server is running").kill();
        cluster.nodes[0].process.kill();
        for (number, response) in pending.into_iter().enumerate() {
            let mut response = response.await;
            if !response.is_complete {
                assert_eq!(number % 4, 0, "only clients of the reclaimed node are disconnected");
                response = resume_at(&cluster, 1 + number % 3, &calls[number], &response).await;
            }
            assert_eq!(response.body, expected_output(&prompts[number], 300));
        }
    });
}

#[test]
fn stream_continues_when_its_server_dies_without_notice() {
    on_cluster(
        ClusterConfig {
            settings: json!({ "routing": { "retry_burst": 5 } }),
            ..ClusterConfig::default()
        },
        async |mut cluster| {
            let call = briefing("no notice at all", TOKENS).key("b-1");
            let stream = open(&cluster, 0, &call, 10).await;
            let server = get_last_server(&cluster, "b-1").await;
            cluster.servers.get_mut(&server).expect("the server is running").kill();
            let response = finish(stream).await;
            assert!(response.is_complete, "{:?}", response.problem);
            assert_eq!(response.body, expected_output("no notice at all", TOKENS));
        },
    );
}
