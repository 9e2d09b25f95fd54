//! How long the client believes in connections that rest.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Request, Response};
use keeljunction_gateway::http::{Body, Client, Limits, Server, StopSignal, read_body};
use keeljunction_gateway::runtime;

/// Starts a server that answers every request.
async fn serve() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server =
        Server::bind(any, Limits::default(), StopSignal::new()).await.expect("a free port");
    let address = server.get_address().expect("an address");
    runtime::spawn(server.serve(|_| async { Response::new(Body::from("ok")) }));
    address
}

async fn ask(client: &Client, to: SocketAddr) {
    let request = Request::get("/").header("host", "x").body(Body::empty()).expect("a request");
    let response = client.send(to, request).await.expect("an answer");
    assert_eq!(read_body(response.into_body(), 100).await.as_deref(), Some(&b"ok"[..]));
    // The connection is kept once it is ready again.
    while client.get_idle_count(to) == 0 {
        runtime::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn a_connection_that_has_not_rested_for_long_is_used_again() {
    runtime::run(1, async {
        let to = serve().await;
        let client = Client::new(Duration::from_secs(5)).with_idle_timeout(Duration::from_secs(60));
        for _ in 0..3 {
            ask(&client, to).await;
        }
        assert_eq!(client.get_opened_count(), 1);
    });
}

#[test]
fn a_connection_that_rested_for_long_is_not_used_again_as_it_may_have_gone_silent() {
    runtime::run(1, async {
        let to = serve().await;
        let client = Client::new(Duration::from_secs(5)).with_idle_timeout(Duration::ZERO);
        for _ in 0..3 {
            ask(&client, to).await;
        }
        assert_eq!((client.get_opened_count(), client.get_idle_count(to)), (3, 1));
    });
}

#[test]
fn no_more_connections_to_a_server_rest_than_are_set() {
    runtime::run(1, async {
        let to = serve().await;
        let client = Client::new(Duration::from_secs(5));
        client.set_max_idle_per_address(2);
        let asking: Vec<_> = (0..5)
            .map(|_| {
                let client = client.clone();
                runtime::spawn_with_handle(async move { ask(&client, to).await })
            })
            .collect();
        for asked in asking {
            asked.await;
        }
        assert!(client.get_idle_count(to) <= 2, "{} connections rest", client.get_idle_count(to));
    });
}
