"""LOST: streams that began at a node while one software version served are not taken up anywhere if
that node stands still while servers of a second version come.

Clients read resumable streams from one of three nodes. That node is frozen for 6 s; a second after
that, two servers of another software version come beside the three of the first one. After the gap of
4 s that the sheet gives (eight times the pause of 500 ms), each client takes its stream up at the two other nodes, which are in
touch; they refuse all of them at once, while new streams begin there. With TROUBLE=0 nothing is frozen
and no server comes: the clients close their connections themselves and take the streams up."""

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
SERVICE, PATH = "hidro-llm", "/pufi791/2f"
STREAMS, NEW_STREAMS = 16, 16
EVENTS, EVENT_S = 58, 0.1
READ_BEFORE_S, FREEZE_S, VERSION_AFTER_S = 1.5, 6.0, 1.0
GAP_S, DEADLINE_S, SETTLE_S = 4.0, 15.0, 6.0


def stream(server, sock, wire, request, state):
    """A stream of events from the one after Last-Event-Id on; each names its server's software."""
    server.run(request)
    last = int(request.headers.get("last-event-id") or 0)
    head = (
        f"HTTP/1.1 200 OK\r\nKeeljunction-Request-Id: {request.id}\r\n"
        f"Keeljunction-Response-Seal: {uuid.uuid4().hex[:12]}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    sock.sendall(head.encode())
    for number in range(last + 1, EVENTS + 1):
        event = f"id: {number}\ndata: piece {number} of {server.version}\n\n".encode()
        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(EVENT_S)
    sock.sendall(b"0\r\n\r\n")
    return True


class Try:
    """One client attempt at a stream."""

    def __init__(self, case, address, deadline, resumes=None, last=0):
        self.case, self.id, self.last = case, uuid.uuid4().hex[:16], last
        self.status, self.versions, self.problem, self.is_whole = None, set(), None, False
        left = deadline - time.monotonic()
        lines = [
            f"POST {PATH} HTTP/1.1", f"Host: {HOST}", f"Keeljunction-Request-Id: {self.id}",
            f"Keeljunction-Deadline-Ms: {int(left * 1000)}", f"Authorization: Bearer {KEY}",
            "Keeljunction-Model: m", "Keeljunction-Token-Counts: 628,290",
            f"Keeljunction-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,{self.id[:8]}:430",
            "Content-Length: 3", "Connection: close",
        ]
        if resumes:
            lines += [f"Resumes: {resumes}", f"Last-Event-Id: {last}"]
        host, port = address.rsplit(":", 1)
        case.record(f"client sends {self.id} to {address}" + (f", resumes {resumes} after {last}" if resumes else ""))
        try:
            self.sock = socket.create_connection((host, int(port)), timeout=1)
            self.sock.settimeout(GAP_S)
            self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + b"abc")
            self.wire = Wire(self.sock)
            first, headers = self.wire.head()
            self.status = int(first.split(" ")[1])
            self.chunked = "chunked" in headers.get("transfer-encoding", "")
            if self.status != 200:
                text = self.wire.body(headers, True)
                case.record(f"client of {self.id} gets {self.status} {text.decode().strip()!r}")
        except (OSError, EOFError, ValueError) as error:
            self.problem = f"{type(error).__name__}: {error}"
            case.record(f"client of {self.id} gets {self.problem}")

    def read(self, until=None):
        """Reads events until the end, a gap or a time; returns the number of new events."""
        count = 0
        try:
            while self.status == 200 and (until is None or time.monotonic() < until):
                size = int(self.wire.line(), 16)
                data = self.wire.exactly(size)
                self.wire.exactly(2)
                if size == 0:
                    self.is_whole = True
                    break
                for event in data.decode().split("\n\n"):
                    if event.startswith("id: "):
                        self.last = int(event.split("\n")[0][4:])
                        self.versions.add(event.rsplit(" ", 1)[1])
                        count += 1
        except (OSError, EOFError, ValueError) as error:
            self.problem = f"{type(error).__name__}: {error}"
        return count

    def close(self):
        try:
            self.sock.close()
        except (OSError, AttributeError):
            pass


class Stream:
    """A client's stream: its first try, and up to two tries to take it up at other nodes."""

    def __init__(self):
        self.first = None
        self.resumed = []
        self.has_gone_on = False

    def play(self, case, nodes, leave_at):
        deadline = time.monotonic() + DEADLINE_S
        self.first = Try(case, nodes[0].callers, deadline)
        self.first.read(until=leave_at)
        self.first.close()
        if self.first.last == 0 or self.first.is_whole:
            return
        case.record(f"client of {self.first.id} has had {self.first.last} events and gives the connection up")
        for node in nodes[1:]:
            attempt = Try(case, node.callers, deadline, self.first.id, self.first.last)
            self.resumed.append(attempt)
            count = attempt.read()
            attempt.close()
            if count:
                self.has_gone_on = True
                case.record(f"the stream of {self.first.id} goes on with {attempt.id}: {count} events")
                return


def play(case):
    case.add_service(SERVICE, max_conns=370, engine={
        "slots": 64, "kv_capacity": 569286, "kv_token_bytes": 163840, "link_mbps": 1100000.0,
        "migrations": True, "backups": True, "stride": 5, "most": 12, "pin_ms": 4000.0,
        "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": [{"name": "m"}],
    })
    case.add_route("/pufi791/", "streaming", SERVICE, 2, timeout_ms=15000, slo_ms=600, itl_target_ms=500, sticky=True, resumable=True)
    case.put_configuration()
    zones = ("hall-norte", "hall-sur", "hall-oriente")
    old = [Server(case.record, SERVICE, zone, stream, slots=64, version="v1") for zone in zones]
    for server in old:
        case.list_server(server)
    nodes = [case.start_node(f"front-{zone}-1", zone) for zone in zones]
    for node in nodes:
        case.wait("a ready node", node.is_ready)
    time.sleep(SETTLE_S)

    begin = time.monotonic()
    frozen_at = begin + READ_BEFORE_S
    streams = [Stream() for _ in range(STREAMS)]
    leave_at = None if TROUBLE else frozen_at
    threads = []
    for number, one in enumerate(streams):
        others = nodes[1:] if number % 2 else nodes[:0:-1]
        threads.append(threading.Thread(target=one.play, args=(case, [nodes[0], *others], leave_at)))
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, frozen_at - time.monotonic()))
    if TROUBLE:
        nodes[0].signal(signal.SIGSTOP)
        time.sleep(VERSION_AFTER_S)
        for zone in zones[1:]:
            case.list_server(Server(case.record, SERVICE, zone, stream, slots=64, version="v2"))
    # New streams at the other nodes while the clients take theirs up.
    time.sleep(max(0.0, frozen_at + GAP_S - time.monotonic()))
    new = []

    def begin_new(node):
        attempt = Try(case, node.callers, time.monotonic() + DEADLINE_S)
        attempt.read(until=time.monotonic() + 0.5)
        attempt.close()
        new.append(attempt)

    starts = [threading.Thread(target=begin_new, args=(nodes[1 + number % 2],)) for number in range(NEW_STREAMS)]
    for thread in starts:
        thread.start()
        time.sleep(0.05)
    if TROUBLE:
        time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
        nodes[0].signal(signal.SIGCONT)
    for thread in [*threads, *starts]:
        thread.join()

    taken_up = [one for one in streams if one.resumed]
    gone_on = [one for one in taken_up if one.has_gone_on]
    begun = [attempt for attempt in new if attempt.last > 0]
    text = (
        f"{len(gone_on)} of {len(taken_up)} streams that were taken up went on, "
        f"{len(begun)} of {len(new)} new streams began"
    )
    case.record(text)
    print(text)
    if len(taken_up) < 12 or len(begun) < len(new) / 2:
        raise standins.CannotRun("too few streams were taken up, or began")
    breaches = []
    if len(gone_on) / len(taken_up) < 0.5 * len(begun) / len(new):
        breaches.append(f"LOST: {text}; three servers of their version served all the time")
    return breaches


standins.main(FOLDER, play)
