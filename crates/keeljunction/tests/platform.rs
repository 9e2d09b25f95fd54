//! Calls to the platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use keeljunction::http::{self, Body, Limits, Server, Shutdown};
use keeljunction::platform::Client;
use keeljunction::runtime::{self, lock};
use keeljunction::settings;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Keys that are no path segments as they are.
const ODD_KEYS: [&str; 8] = ["a/b", "a?b", "a#b", "a b", "a%2Fb", "a\nb", "../vms", "\u{fc}"];

/// Starts a platform that answers each call with the same body; returns the targets of the calls.
async fn serve(body: &'static str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, Limits::default(), Shutdown::default())
        .await
        .expect("a listener on a free port");
    let address = server.get_address().expect("an address");
    let targets = Arc::new(Mutex::new(Vec::new()));
    let seen = targets.clone();
    runtime::spawn(server.serve(move |request| {
        lock(&seen).push(request.uri().to_string());
        async move { Response::new(Body::from(body)) }
    }));
    (address, targets)
}

fn connect(address: SocketAddr) -> Client {
    let settings = settings::Platform { address, calls_per_second: 1_000, call_ms: 2_000 };
    Client::new(settings, http::Client::new(TIMEOUT))
}

#[test]
fn the_key_of_an_object_is_one_segment_of_its_path() {
    runtime::run(1, async {
        let (address, targets) = serve("{}").await;
        let client = connect(address);
        for key in ODD_KEYS {
            assert!(client.get_object(key).await.is_ok(), "{key:?}");
            assert!(client.put_object(key, Bytes::new()).await.is_ok(), "{key:?}");
        }
        let targets = lock(&targets).clone();
        assert_eq!(targets.len(), 2 * ODD_KEYS.len());
        let is_segment = |target: &String| {
            target.strip_prefix("/objects/").is_some_and(|key| !key.contains(['/', '?', '#']))
        };
        assert!(targets.iter().all(is_segment), "{targets:?}");
    });
}

#[test]
fn a_malformed_element_takes_no_other_vm_or_notice_away() {
    const VMS: &str = r#"[{"name":"vm-1","role":{"server":"api"},"address":"127.0.0.1:1","data_centre":"z","state":"live"},
        {"name":7}, null, "vm-2", {"name":"\ud800"}, {}]"#;
    const NOTICES: &str =
        r#"[{"vm":"vm-1","left_ms":5}, {"vm":"vm-2","left_ms":-1}, null, {"vm":7}]"#;
    runtime::run(1, async {
        let (address, _) = serve(NOTICES).await;
        let notices = connect(address).notices().await.expect("a list");
        assert_eq!(notices.iter().map(|notice| notice.vm.as_str()).collect::<Vec<_>>(), ["vm-1"]);
        let (address, _) = serve(VMS).await;
        let vms = connect(address).vms().await.expect("a list");
        assert_eq!(vms.iter().map(|vm| vm.name.as_str()).collect::<Vec<_>>(), ["vm-1"]);
    });
}
