//! One attempt to run a request on a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use keeljunction_core::attempt::End;
use keeljunction_core::stream::{Cursor, Disposition};

use super::answer::{Attempt, done};
use super::{Answer, Node, ending, grant};
use crate::backend::{Engine, EngineRequest, Piece, PlainRequest, SendError, Tokens};
use crate::runtime;

/// Returns a client for the engine at an address.
pub fn engine(node: &Node, address: SocketAddr) -> Engine<'_> {
    let timeout = Duration::from_millis(node.settings.limits.idle_ms);
    Engine { client: &node.backend, address, timeout }
}

/// Sends a request to a model engine and follows its tokens.
pub async fn run_model(
    node: &Arc<Node>,
    answer: &Answer,
    attempt: &Attempt,
    priority: u32,
    cursor: &mut Cursor,
    grant: &str,
) -> End {
    let Ok(address) = attempt.address.parse() else { return not_sent("not an IP:port") };
    let request = &answer.request;
    let tokens = answer.get_since(0).tokens;
    let engine_request = EngineRequest {
        path: &request.path,
        body: &request.body,
        attempt: &attempt.id,
        priority,
        key: &request.key,
        tokens: &tokens,
    };
    cursor.switch(&attempt.id);
    let sent = engine(node, address).send(&engine_request).await;
    record_sent(answer, sent.as_ref().err());
    match sent {
        Ok(response) if response.status().is_success() => {
            let tokens_stream = response.into_body();
            if !tokens.is_empty() {
                node.metric.count("tokens_recomputed", tokens_stream.prefill);
            }
            follow(node, answer, attempt, cursor, tokens_stream, Some(grant)).await
        }
        Ok(response) => {
            let status = response.status().as_u16();
            answer.finish(
                node.now(),
                super::answer::unknown(502, &format!("the engine answered {status}"), 0),
            );
            End::Finished
        }
        Err(SendError::NotSent(why)) => not_sent(&why),
        Err(error) => interrupted(&error.to_string()),
    }
}

/// Resumes reading an attempt that is running, or has run, on an engine.
pub async fn attach(
    node: &Arc<Node>,
    answer: &Answer,
    attempt: &Attempt,
    cursor: &mut Cursor,
) -> End {
    let Ok(address) = attempt.address.parse() else { return not_sent("not an IP:port") };
    cursor.switch(&attempt.id);
    match engine(node, address).attach(&attempt.id, cursor.get_next()).await {
        Ok(response) if response.status().is_success() => {
            node.metric.count("attempts_attached", 1);
            follow(node, answer, attempt, cursor, response.into_body(), None).await
        }
        Ok(response) => interrupted(&format!("status {}", response.status())),
        Err(failure) => interrupted(&failure.to_string()),
    }
}

/// Sends a request to a plain service and reads its complete response.
pub async fn run_plain(node: &Arc<Node>, answer: &Answer, attempt: &Attempt) -> End {
    let Ok(address) = attempt.address.parse() else { return not_sent("not an IP:port") };
    let request = &answer.request;
    let plain = PlainRequest {
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
        body: &request.body,
        attempt: &attempt.id,
        key: &request.key,
    };
    let remaining = Duration::from_millis(request.deadline.saturating_sub(node.now()));
    let sent = plain.send(&node.backend, address, remaining).await;
    record_sent(answer, sent.as_ref().err());
    match sent {
        Ok(reply) => {
            let end = done(reply.status, &reply.media_type, reply.body.to_vec());
            ending::finish_plain(node, answer, &attempt.id, end);
            End::Finished
        }
        Err(SendError::NotSent(why)) => not_sent(&why),
        Err(error) => interrupted(&error.to_string()),
    }
}

async fn follow(
    node: &Arc<Node>,
    answer: &Answer,
    attempt: &Attempt,
    cursor: &mut Cursor,
    mut tokens: Tokens,
    grant: Option<&str>,
) -> End {
    let mut awaiting_first_token = grant;
    loop {
        let piece = match next_piece(node, answer, &mut tokens).await {
            Ok(Some(piece)) => piece,
            Ok(None) => return interrupted("the stream ended before the answer was complete"),
            Err(end) => return end,
        };
        let Piece::Token { attempt: piece_attempt, offset, text } = piece else {
            if cursor.has_gap() {
                return interrupted("tokens are missing");
            }
            ending::finish_model(node, answer, attempt);
            return End::Finished;
        };
        match cursor.take(&piece_attempt, offset, &text) {
            Disposition::Accept(tokens) => answer.push(tokens),
            Disposition::Buffered => node.metric.count("tokens_held", 1),
            Disposition::Duplicate | Disposition::Foreign => node.metric.count("tokens_dropped", 1),
            Disposition::Gap(_) => return interrupted("tokens are missing"),
        }
        if let Some(grant) = awaiting_first_token.take() {
            grant::record_first_token(node, grant);
        }
    }
}

/// Waits for the next chunk, a drain request, the idle timeout or the deadline.
async fn next_piece(
    node: &Node,
    answer: &Answer,
    tokens: &mut Tokens,
) -> Result<Option<Piece>, End> {
    let remaining = answer.request.deadline.saturating_sub(node.now());
    let idle = node.settings.limits.idle_ms;
    let piece = async { Ok(tokens.next().await) };
    let steered = async { Err(End::Drained(answer.wait_drain_request().await)) };
    let timed_out = async {
        runtime::sleep(Duration::from_millis(remaining.min(idle))).await;
        Err(if remaining <= idle {
            End::DeadlineExceeded
        } else {
            interrupted("the engine sent nothing within the idle timeout")
        })
    };
    future::or(piece, future::or(steered, timed_out)).await
}

/// Records that bytes may have reached the server, unless it is certain that none did.
fn record_sent(answer: &Answer, failure: Option<&SendError>) {
    if !failure.is_some_and(SendError::is_not_sent) {
        answer.set_sent();
    }
}

fn not_sent(why: &str) -> End {
    log::info!("a request was not sent to a backend server: {why}");
    End::NotSent
}

fn interrupted(why: &str) -> End {
    log::info!("a request was interrupted at a backend server: {why}");
    End::Interrupted
}
