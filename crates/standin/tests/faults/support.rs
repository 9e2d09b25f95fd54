//! What the tests share.

use std::future::Future;
use std::time::Duration;

use keeljunction::runtime;
use standin::harness::{Call, Cluster, ClusterConfig, DUTY_CREDENTIAL, Response, Stream};

/// Bound on anything that must come to pass.
pub const SOON: Duration = Duration::from_secs(15);

/// Starts a cluster and runs a test on it.
pub fn on_cluster<F, Fut>(plan: ClusterConfig, test: F)
where
    F: FnOnce(Cluster) -> Fut,
    Fut: Future<Output = ()>,
{
    runtime::run(1, async {
        let cluster = Cluster::start(plan).await.expect("the cluster starts");
        test(cluster).await;
    });
}

/// Asks for a stream of a briefing.
pub fn briefing(prompt: &str, tokens: u64) -> Call {
    Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", prompt, tokens)
}

/// Posts an alert, which is not to be repeated.
pub fn alert(key: &str) -> Call {
    Call::plain(
        DUTY_CREDENTIAL,
        "alert",
        hyper::Method::POST,
        "/services/gauge-api/alerts",
        "{\"level\":3}",
    )
    .key(key)
}

/// Sends a call to a node, by its place.
pub async fn send(cluster: &Cluster, node: usize, call: &Call) -> Response {
    let answer = call.send(&cluster.client, cluster.nodes[node].get_client_address()).await;
    answer.expect("there is a response")
}

/// Opens a stream at a node and reads its first tokens.
pub async fn open(cluster: &Cluster, node: usize, call: &Call, tokens: usize) -> Stream {
    let opened = call.open(&cluster.client, cluster.nodes[node].get_client_address()).await;
    let mut stream = opened.expect("there is a response");
    stream.read_tokens(tokens).await;
    assert_eq!(
        stream.response.token_times.len(),
        tokens,
        "the first tokens come: {:?}",
        stream.response
    );
    stream
}

/// Reads a stream to its end, or as far as it comes.
pub async fn finish(mut stream: Stream) -> Response {
    while stream.next().await {}
    stream.response
}

/// Finds the server on which a request key ran last.
pub async fn server_of(cluster: &Cluster, key: &str) -> String {
    let ran = cluster.get_executions().await;
    let runs = ran.iter().filter(|(_, entry)| entry["key"] == key);
    let last = runs.max_by_key(|(_, entry)| entry["unix_ms"].as_u64());
    last.map(|(server, _)| server.clone()).expect("the request ran somewhere")
}

/// Waits until something holds.
pub async fn eventually<F, Fut>(what: &str, mut check: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let is_met = runtime::timeout(SOON, async {
        while !check().await {
            runtime::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(is_met.await.is_some(), "not so in time: {what}");
}

/// Comes back for the rest of an answer at another node, until a node knows it.
pub async fn come_back(cluster: &Cluster, node: usize, call: &Call, so_far: &Response) -> Response {
    let last = so_far.last_offset.expect("some tokens came");
    let call = call.clone().header("last-event-id", &last.to_string());
    let mut rest = send(cluster, node, &call).await;
    for _ in 0..20 {
        if rest.is_complete {
            break;
        }
        runtime::sleep(Duration::from_millis(250)).await;
        rest = send(cluster, node, &call).await;
    }
    assert!(rest.is_complete, "the rest comes: {rest:?}");
    let body = format!("{}{}", so_far.body, rest.body);
    Response { body, ..rest }
}
