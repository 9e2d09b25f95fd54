//! How long the HTTP client reuses idle connections, and how many it keeps.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Request, Response};
use keeljunction_gateway::http::{Body, Client, Limits, Server, Shutdown, read_body};
use keeljunction_gateway::runtime;

/// Starts a server that responds to every request.
async fn serve() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, Limits::default(), Shutdown::default())
        .await
        .expect("a listener on a free port");
    let address = server.get_address().expect("an address");
    runtime::spawn(server.serve(|_| async { Response::new(Body::from("ok")) }));
    address
}

async fn send_request(client: &Client, to: SocketAddr) {
    let request = Request::get("/").header("host", "x").body(Body::empty()).expect("a request");
    let response = client.send(to, request).await.expect("a response");
    assert_eq!(read_body(response.into_body(), 100).await.as_deref(), Some(&b"ok"[..]));
    // The connection becomes idle once it is ready again.
    while client.get_idle_count(to) == 0 {
        runtime::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn recently_used_connection_is_reused() {
    runtime::run(1, async {
        let to = serve().await;
        let client = Client::new(Duration::from_secs(5)).with_idle_timeout(Duration::from_secs(60));
        for _ in 0..3 {
            send_request(&client, to).await;
        }
        assert_eq!(client.get_opened_count(), 1);
    });
}

#[test]
fn connection_idle_for_too_long_is_not_reused() {
    runtime::run(1, async {
        let to = serve().await;
        let client = Client::new(Duration::from_secs(5)).with_idle_timeout(Duration::ZERO);
        for _ in 0..3 {
            send_request(&client, to).await;
        }
        assert_eq!((client.get_opened_count(), client.get_idle_count(to)), (3, 1));
    });
}

#[test]
fn idle_connections_per_server_are_limited() {
    runtime::run(1, async {
        let to = serve().await;
        let client = Client::new(Duration::from_secs(5));
        client.set_max_idle_per_address(2);
        let requests: Vec<_> = (0..5)
            .map(|_| {
                let client = client.clone();
                runtime::spawn_with_handle(async move { send_request(&client, to).await })
            })
            .collect();
        for request in requests {
            request.await;
        }
        assert!(client.get_idle_count(to) <= 2, "{} idle connections", client.get_idle_count(to));
    });
}
