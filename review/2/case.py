"""LOST: a node that gets SIGTERM ends three seconds later, while it handles requests that it has read
and passed on to servers, although grace_s is 8 s.

Each round sends SIGTERM to one of two nodes. Clients whose connections the platform had passed to it
just before or within the next two seconds (two questions without a 200 take a node out) need up to
2.5 s for their request heads, within header_timeout_ms (3 s). The node reads these requests whole 2.75
to 2.95 s after the signal, sends them to servers, and exits. With TROUBLE=0 no signal is sent; all
else is the same."""

import os
import signal
import socket
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins
from standins import HOST, KEY, TROUBLE, Server, Wire

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROUNDS, GRACE_S, SETTLE_S = 3, 8.0, 5.0
# When each client connects and when the last byte of its request is sent, in seconds after the signal.
CLIENTS = [(-0.1, 2.75), (0.3, 2.8), (0.8, 2.85), (1.3, 2.9), (1.8, 2.95)]
EVENTS, EVENT_S = 30, 0.06
WORK_S = 0.45
DEADLINE_MS = {"/lohu930/2f": 15000, "/rapu33/st": 1500}


def stream(server, sock, wire, request, state):
    """A stream of events, as an engine sends it."""
    server.run(request)
    head = (
        f"HTTP/1.1 200 OK\r\nKeeljunction-Request-Id: {request.id}\r\n"
        f"Keeljunction-Response-Seal: {uuid.uuid4().hex[:12]}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    sock.sendall(head.encode())
    try:
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_S)
        sock.sendall(b"0\r\n\r\n")
    except OSError:
        server.record(f"server {server.id} is at work on {request.id} when its connection is closed")
        return False
    server.record(f"server {server.id} has answered {request.id}")
    return True


def plain(server, sock, wire, request, state):
    server.run(request)
    time.sleep(WORK_S)
    sock.sendall(standins.whole(request))
    server.record(f"server {server.id} has answered {request.id}")
    return True


class Outcome:
    def __init__(self, request_id, sent_at, ended_at, problem):
        self.id, self.sent_at, self.ended_at, self.problem = request_id, sent_at, ended_at, problem


def client(case, address, signalled_at, connect_at, send_at, path, outcomes):
    """Connects, sends its head in two parts and reads the answer."""
    request_id = uuid.uuid4().hex[:16]
    model = (
        "Keeljunction-Model: m\r\nKeeljunction-Token-Counts: 1460,80\r\n"
        "Keeljunction-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    )
    body = b"r" * 600
    first = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
    rest = (
        f"Keeljunction-Request-Id: {request_id}\r\nKeeljunction-Deadline-Ms: {DEADLINE_MS[path]}\r\n"
        f"{model if path.startswith('/lohu930') else ''}Authorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
    time.sleep(max(0.0, signalled_at + connect_at - time.monotonic()))
    host, port = address.rsplit(":", 1)
    sent_at, problem = None, None
    try:
        with socket.create_connection((host, int(port)), timeout=1) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(DEADLINE_MS[path] / 1000)
            sock.sendall(first)
            case.record(f"client connects and sends the first line of {request_id} ({path})")
            time.sleep(max(0.0, signalled_at + send_at - time.monotonic()))
            sock.sendall(rest)
            sent_at = time.monotonic()
            case.record(f"client has sent {request_id} whole")
            wire = Wire(sock)
            line, headers = wire.head()
            answer = wire.body(headers)
            case.record(f"client of {request_id} gets {line!r}, whole, {len(answer)} bytes")
    except (OSError, EOFError, ValueError) as error:
        problem = f"{type(error).__name__}: {error}"
        case.record(f"client of {request_id} gets no complete answer: {problem}")
    outcomes.append(Outcome(request_id, sent_at, time.monotonic(), problem))


def play_round(case, node, servers, breaches):
    signalled_at = time.monotonic() + 0.5
    outcomes, threads = [], []
    for place, (connect_at, send_at) in enumerate(CLIENTS):
        path = "/rapu33/st" if place == len(CLIENTS) - 1 else "/lohu930/2f"
        arguments = (case, node.callers, signalled_at, connect_at, send_at, path, outcomes)
        threads.append(threading.Thread(target=client, args=arguments))
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, signalled_at - time.monotonic()))
    if TROUBLE:
        node.signal(signal.SIGTERM)
    ended_at = None
    until = signalled_at + GRACE_S + 0.5
    while time.monotonic() < until and (ended_at is None or any(thread.is_alive() for thread in threads)):
        if ended_at is None and node.exit_status() is not None:
            ended_at = time.monotonic()
            case.record(f"node {node.name} has ended {ended_at - signalled_at:.2f} s after the signal")
        if not TROUBLE and not any(thread.is_alive() for thread in threads):
            break
        time.sleep(0.01)
    for thread in threads:
        thread.join()
    ran = {request_id for server in servers for _, request_id in server.ran}
    for outcome in outcomes:
        # Read whole, passed on to a server that did not break off, well before deadline, time-out
        # and the last sixth of grace_s; and the connection ended without a complete answer.
        is_within = outcome.sent_at is not None and outcome.ended_at < signalled_at + GRACE_S * 5 / 6
        if outcome.problem and is_within and outcome.id in ran:
            breaches.append(
                f"LOST: request {outcome.id}, sent {outcome.sent_at - signalled_at:.2f} s after SIGTERM and passed "
                f"on to a server, ended {outcome.ended_at - signalled_at:.2f} s after it: {outcome.problem}"
            )


def play(case):
    case.add_service("hidro-llm", max_conns=370, engine={
        "slots": 64, "kv_capacity": 569286, "kv_token_bytes": 163840, "link_mbps": 1100000.0,
        "migrations": True, "backups": True, "stride": 5, "most": 12, "pin_ms": 4000.0,
        "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": [{"name": "m"}],
    })
    case.add_service("gauge-api")
    case.add_route("/lohu930/", "streaming", "hidro-llm", 1, timeout_ms=15000, slo_ms=1200, itl_target_ms=500, sticky=True, resumable=False)
    case.add_route("/rapu33/", "non_idempotent", "gauge-api", 1, timeout_ms=800, slo_ms=300)
    case.put_configuration()
    servers = []
    for zone in ("hall-norte", "hall-sur"):
        servers.append(Server(case.record, "hidro-llm", zone, stream, slots=64))
        servers.append(Server(case.record, "gauge-api", zone, plain))
    for server in servers:
        case.list_server(server)
    nodes = [case.start_node(f"front-hall-norte-{number}", "hall-norte") for number in (1, 2)]
    breaches = []
    for number in range(ROUNDS):
        for node in nodes:
            case.wait("a ready node", node.is_ready)
        time.sleep(SETTLE_S)
        node = nodes[number % 2]
        play_round(case, node, servers, breaches)
        if TROUBLE:
            case.wait("the end of the node", lambda: node.exit_status() is not None)
            node.start()
    return breaches


standins.main(FOLDER, play)
