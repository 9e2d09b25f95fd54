//! Helpers shared by the fault tests.

use std::any::Any;
use std::future::Future;
use std::panic::{AssertUnwindSafe, resume_unwind};
use std::time::Duration;

use futures_lite::FutureExt;
use keeljunction::runtime;
use standin::harness::{Call, Cluster, ClusterConfig, DUTY_CREDENTIAL, Response, Stream};

/// Timeout for conditions that must eventually hold.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts a cluster and runs a test on it.
///
/// All tests of a process share an executor, so that a task may panic on the thread of another test, whose
/// captured output then holds the message. The message is printed again on the thread of this test.
///
/// # Panics
///
/// Panics if the test or a task that it awaits does.
pub fn on_cluster<F, Fut>(config: ClusterConfig, test: F)
where
    F: FnOnce(Cluster) -> Fut,
    Fut: Future<Output = ()>,
{
    runtime::run(1, async {
        let cluster = Cluster::start(config).await.expect("the cluster starts");
        if let Err(panic) = AssertUnwindSafe(test(cluster)).catch_unwind().await {
            eprintln!("the test failed: {}", get_panic_message(&*panic));
            resume_unwind(panic);
        }
    });
}

fn get_panic_message(panic: &(dyn Any + Send)) -> &str {
    let formatted = panic.downcast_ref::<String>().map(String::as_str);
    formatted.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("unknown panic")
}

/// Creates a streaming request in the class `briefing`.
pub fn briefing(prompt: &str, tokens: u64) -> Call {
    Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", prompt, tokens)
}

/// Creates a non-idempotent request in the class `alert`.
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

/// Sends a call to the node with the given index.
pub async fn send(cluster: &Cluster, node: usize, call: &Call) -> Response {
    let response = call.send(&cluster.client, cluster.nodes[node].get_client_address()).await;
    response.expect("the node responds")
}

/// Opens a stream through a node and reads its first tokens.
pub async fn open(cluster: &Cluster, node: usize, call: &Call, tokens: usize) -> Stream {
    let opened = call.open(&cluster.client, cluster.nodes[node].get_client_address()).await;
    let mut stream = opened.expect("the node responds");
    stream.read_tokens(tokens).await;
    assert_eq!(
        stream.response.token_times.len(),
        tokens,
        "the first tokens did not arrive: {:?}",
        stream.response
    );
    stream
}

/// Reads a stream to its end, or until it breaks off.
pub async fn finish(mut stream: Stream) -> Response {
    while stream.next().await {}
    stream.response
}

/// Returns the server that last ran a request key.
pub async fn get_last_server(cluster: &Cluster, key: &str) -> String {
    let executions = cluster.get_executions().await;
    let runs = executions.iter().filter(|(_, entry)| entry["key"] == key);
    let last = runs.max_by_key(|(_, entry)| entry["unix_ms"].as_u64());
    last.map(|(server, _)| server.clone()).expect("no server ran the request")
}

/// Waits until `check` returns `true`, and panics after [`CONVERGENCE_TIMEOUT`].
pub async fn eventually<F, Fut>(condition: &str, mut check: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let is_met = runtime::timeout(CONVERGENCE_TIMEOUT, async {
        while !check().await {
            runtime::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(is_met.await.is_some(), "condition did not hold within the timeout: {condition}");
}

/// Requests the rest of a partial response from another node, with retries until it is complete.
pub async fn resume_at(
    cluster: &Cluster,
    node: usize,
    call: &Call,
    partial: &Response,
) -> Response {
    let last_offset = partial.last_offset.expect("no tokens were received");
    let call = call.clone().header("last-event-id", &last_offset.to_string());
    let mut rest = send(cluster, node, &call).await;
    for _ in 0..20 {
        if rest.is_complete {
            break;
        }
        runtime::sleep(Duration::from_millis(250)).await;
        rest = send(cluster, node, &call).await;
    }
    assert!(rest.is_complete, "the rest of the response is incomplete: {rest:?}");
    let body = format!("{}{}", partial.body, rest.body);
    Response { body, ..rest }
}
