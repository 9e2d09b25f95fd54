//! Calls to backend servers that send surplus responses.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use keeljunction::backend::{
    CALL_HEADER, Client, Engine, EngineRequest, OrderResult, PlainRequest, SendError, make_client,
};
use keeljunction::{http, runtime};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time until the connection of a complete response can be used again.
const REUSE_DELAY: Duration = Duration::from_millis(100);
/// Time after which an endless engine gives up.
const MAX_SENDING: Duration = Duration::from_secs(20);
const NO_ID: &str = "";

/// Starts a server that responds with this status to the first request on each connection, and sends
/// a second copy of the response after the second request has arrived.
fn start_faulty_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || respond_twice(stream, status));
        }
    });
    address
}

fn respond_twice(stream: TcpStream, status: &str) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    let Some(id) = read_call_id(&mut reader) else { return };
    let _ = stream.write_all(respond(status, &id).as_bytes());
    if read_call_id(&mut reader).is_some() {
        let _ = stream.write_all(respond(status, &id).as_bytes());
    }
    // The server runs the second request.
    thread::sleep(TIMEOUT);
}

/// Reads a request, and returns the ID of the call.
fn read_call_id(reader: &mut impl BufRead) -> Option<String> {
    let (mut id, mut length) = (NO_ID.to_owned(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            if line.trim_end().is_empty() {
                break;
            }
            continue;
        };
        if name.eq_ignore_ascii_case(CALL_HEADER) {
            id = value.to_owned();
        }
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(id)
}

fn respond(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{CALL_HEADER}: {id}\r\ncontent-length: 0\r\n\r\n")
}

fn new_client() -> Client {
    make_client(http::Client::new(TIMEOUT))
}

fn new_engine(client: &Client, address: SocketAddr) -> Engine<'_> {
    Engine { client, address, timeout: TIMEOUT }
}

/// Starts an engine that responds with the start of a stream, and then sends the same bytes until its caller closes the
/// connection.
fn start_endless_engine(repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            let id = read_call_id(&mut reader).expect("a request");
            let head =
                format!("HTTP/1.1 200 OK\r\n{CALL_HEADER}: {id}\r\nconnection: close\r\n\r\n");
            let mut is_open = stream.write_all(head.as_bytes()).is_ok();
            let block = repeated.repeat(8_192);
            let begin = Instant::now();
            while is_open && begin.elapsed() < MAX_SENDING {
                is_open = stream.write_all(block.as_bytes()).is_ok();
            }
        }
    });
    address
}

const REQUEST: EngineRequest<'_> = EngineRequest {
    path: "/v1/completions",
    body: b"{}",
    attempt: "a-1",
    priority: 0,
    key: "k-1",
    tokens: &[],
};

/// Guards against a second copy of a rejection that makes a running attempt count as not sent, so that
/// another engine runs it too.
#[test]
fn a_second_copy_of_a_rejection_never_rejects_the_next_attempt() {
    let (client, address) = (new_client(), start_faulty_server("503 Busy"));
    runtime::run(0, async {
        let engine = new_engine(&client, address);
        let rejected = engine.send(&REQUEST).await.err();
        assert!(matches!(rejected, Some(SendError::NotSent(_))), "{rejected:?}");
        runtime::sleep(REUSE_DELAY).await;
        let next = EngineRequest { attempt: "a-2", ..REQUEST };
        let sent = engine.send(&next).await.err();
        assert!(matches!(sent, Some(SendError::Mismatched(_))), "{sent:?}");
    });
}

/// Guards against a second copy of a response that is taken for the answer of a plain service to the
/// next request.
#[test]
fn a_second_copy_of_a_response_never_answers_the_next_request_to_a_plain_service() {
    let (client, address) = (new_client(), start_faulty_server("503 Busy"));
    let body = Bytes::new();
    let request = PlainRequest {
        method: "POST",
        path: "/",
        headers: &[],
        body: &body,
        attempt: "a-1",
        key: "k-1",
    };
    runtime::run(0, async {
        let first = request.send(&client, address, TIMEOUT).await;
        assert!(first.is_ok_and(|reply| reply.status == 503));
        runtime::sleep(REUSE_DELAY).await;
        let next = PlainRequest { attempt: "a-2", ..request };
        let second = next.send(&client, address, TIMEOUT).await.err();
        assert!(matches!(second, Some(SendError::Mismatched(_))), "{second:?}");
    });
}

/// Guards against an order that counts as accepted or fenced because of the response to another call.
#[test]
fn a_second_copy_of_a_response_decides_no_order() {
    let (client, address) = (new_client(), start_faulty_server("200 OK"));
    runtime::run(0, async {
        let engine = new_engine(&client, address);
        assert!(engine.load().await.is_err());
        runtime::sleep(REUSE_DELAY).await;
        let order = engine.order(&serde_json::json!({})).await;
        assert_eq!(order, OrderResult::Failed);
    });
}

/// Guards against an engine's stream in which no event ends, and that is read and kept without end.
#[test]
fn a_stream_in_which_no_event_ends_is_interrupted() {
    for repeated in ["data: more\n", "and more", ": wait\n\n", "\n"] {
        let (client, address) = (new_client(), start_endless_engine(repeated));
        runtime::run(1, async {
            let response = new_engine(&client, address).send(&REQUEST).await.expect("a response");
            let mut tokens = response.into_body();
            let begin = Instant::now();
            let piece = runtime::timeout(MAX_SENDING / 2, tokens.next()).await;
            println!("{repeated:?}: {piece:?} after {:?}", begin.elapsed());
            assert_eq!(piece, Some(None), "{repeated:?}");
            // The timer of a timeout does not run while a task holds its thread up.
            assert!(begin.elapsed() < TIMEOUT, "{repeated:?}: {:?}", begin.elapsed());
        });
    }
}
