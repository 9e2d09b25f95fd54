"""Stand-ins of the platform, of servers and of clients, as PROTOCOL.md of the users describes them, on
loopback. Python's standard library only. Used by review/N/case.py."""

import base64
import http.server
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
BINARY = os.path.join(ROOT, "target", "release", "keeljunction")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class Record:
    """What was sent, answered and run; written to record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:9.3f} s  {text}\n")


class CannotRun(Exception):
    """The case could not run (exit status 2)."""


# --- the platform's store and its control API -------------------------------------------------


class Store:
    """The store in form `table`, and the control API (`/usage`, `/scale`) on a port of its own."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = threading.Condition()
        self.started = time.monotonic()
        self.calls = []
        # Called with (path, holder, fence, body) before a call of a duty is applied.
        self.before_duty = None
        self.server = serve_http(self.handle)
        self.control = serve_http(self.handle)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        self.control_address = "127.0.0.1:%d" % self.control.server_address[1]

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def put(self, table, key, value, part=""):
        with self.changed:
            self.write(table, part, key, json.dumps(value).encode())
            self.changed.notify_all()

    def remove(self, table, key, part=""):
        with self.changed:
            self.write(table, part, key, None)
            self.changed.notify_all()

    def write(self, table, part, key, value):
        self.version += 1
        self.apply(table, part, key, value)

    def apply(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.changes.append((self.version, table, part, key))

    def row(self, place, at=None):
        table, part, key = place
        found = self.rows.get(place)
        row = {"table": table, "part": part, "private_key": key}
        if found is None:
            return {**row, "ver": at or 0, "gone": True}
        return {**row, "value": base64.b64encode(found[0]).decode(), "ver": found[1]}

    def handle(self, method, path, query, headers, body):
        if path == "/rows-get":
            return self.get(query)
        if path == "/rows-feed":
            return self.feed(query)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        if path in ("/usage", "/scale"):
            return self.duty(path, headers, json.loads(body))
        return 404, {}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        source, limit = query.get("source", ""), min(int(query.get("limit") or 500), 500)
        with self.changed:
            keys = sorted(
                place for place in self.rows
                if place[0] == table and place[1] == part and place[2].encode() >= source.encode()
            )
            rows = [self.row(place) for place in keys[:limit]]
            return 200, {
                "rows": rows, "more": len(keys) > limit, "ver": self.version,
                "now_ms": self.now_ms(),
            }

    def feed(self, query):
        table, part = query.get("table", ""), query.get("part")
        after = int(query.get("after") or 0)
        until = time.monotonic() + min(int(query.get("wait_ms") or 0), 30000) / 1000
        with self.changed:
            while True:
                latest = {}
                for version, t, p, key in self.changes:
                    if version > after and t == table and (part is None or p == part):
                        latest[(t, p, key)] = version
                left = until - time.monotonic()
                if latest or left <= 0:
                    rows = [self.row(place, at) for place, at in sorted(latest.items(), key=lambda x: x[1])]
                    return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
                self.changed.wait(left)

    def transact(self, body):
        def place(entry):
            return (entry["table"], entry.get("part", ""), entry["private_key"])

        time.sleep(0.004)
        with self.changed:
            conditions = body.get("expected_rev", [])
            for entry in conditions:
                found = self.rows.get(place(entry))
                if (found[1] if found else 0) != entry["ver"]:
                    rows = [self.row(place(e)) for e in conditions if place(e) in self.rows]
                    return 412, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
            entries = body.get("put", []) + body.get("remove", [])
            if any(entry["table"] == "servers" for entry in entries):
                return 403, {}
            self.version += 1
            for entry in body.get("put", []):
                self.apply(*place(entry), base64.b64decode(entry["value"]))
            for entry in body.get("remove", []):
                self.apply(*place(entry), None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def duty(self, path, headers, body):
        holder = headers.get("keeljunction-duty-holder", "")
        fence = int(headers.get("keeljunction-fencing-token", "0"))
        if self.before_duty:
            self.before_duty(path, holder, fence, body)
        with self.changed:
            self.calls.append((time.monotonic(), path, holder, fence, body))
        self.record(f"platform: {path} from {holder} fence {fence}: {json.dumps(body, sort_keys=True)}")
        return 200, {}


class ThreadingServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 512


def serve_http(handle):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            parsed = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
            length = int(self.headers.get("content-length") or 0)
            body = self.rfile.read(length) if length else b""
            headers = {name.lower(): value for name, value in self.headers.items()}
            status, answer = handle(self.command, parsed.path, query, headers, body)
            text = json.dumps(answer).encode()
            head = (
                f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                f"content-length: {len(text)}\r\n\r\n"
            )
            self.wfile.write(head.encode() + text)
            self.wfile.flush()

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def log_message(self, *args):
            pass

        def handle(self):
            try:
                super().handle()
            except OSError:
                pass

    server = ThreadingServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


# --- HTTP on sockets --------------------------------------------------------------------------


class Wire:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("closed")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line().decode("latin-1")
        headers = {}
        while True:
            line = self.line().decode("latin-1")
            if not line:
                return first, headers
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()

    def body(self, headers, until_close=False):
        if "chunked" in headers.get("transfer-encoding", "").lower():
            data = b""
            while True:
                size = int(self.line().split(b";")[0], 16)
                part = self.exactly(size)
                self.exactly(2)
                if size == 0:
                    return data
                data += part
        if "content-length" in headers:
            return self.exactly(int(headers["content-length"]))
        if until_close:
            try:
                while True:
                    self.fill()
            except EOFError:
                data, self.buffer = self.buffer, b""
                return data
        return b""


class Request:
    def __init__(self, first, headers, body):
        self.method, self.path, _ = first.split(" ", 2)
        self.headers = headers
        self.body = body
        self.id = headers.get("keeljunction-request-id", "")


# --- servers ----------------------------------------------------------------------------------


class Server:
    """A server of a service. `behave(server, sock, wire, request, state)` answers a request and
    returns True if its connection goes on; `state` lives as long as the connection."""

    def __init__(self, record, service, zone, behave=None, slots=6, version="v1"):
        self.record = record
        self.service, self.zone, self.slots, self.version = service, zone, slots, version
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.behave = behave or answer_whole
        self.ran = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state, "cold_left_ms": 0,
            "seq": 1,
        }

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connection, args=(sock,), daemon=True).start()

    def connection(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        wire, state = Wire(sock), {}
        try:
            while True:
                first, headers = wire.head()
                request = Request(first, headers, wire.body(headers))
                expected = headers.get("keeljunction-expect-instance")
                if expected not in (None, self.id):
                    self.record(f"server {self.id} answers 421 to {request.id}: not {expected}")
                    sock.sendall(answer(421, request.id, [("Keeljunction-Instance-Id", self.id)]))
                    continue
                if not self.behave(self, sock, wire, request, state):
                    return
        except (EOFError, OSError, ValueError):
            pass
        finally:
            sock.close()

    def run(self, request):
        """Runs a request."""
        with self.lock:
            self.ran.append((time.monotonic(), request.id))
        self.record(f"server {self.id} runs {request.id} ({request.method} {request.path})")


def answer(status, request_id, headers=(), body=b"", seal=False):
    """Builds an answer of a server with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    if request_id:
        lines.append(f"Keeljunction-Request-Id: {request_id}")
    if seal:
        lines.append(f"Keeljunction-Response-Seal: {uuid.uuid4().hex[:12]}")
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def whole(request, headers=(), body=b"level 3.2 m"):
    return answer(200, request.id, headers, body, seal=True)


def rejection(request_id):
    """The answer of a server that is full and does not run a request."""
    return answer(503, request_id, [("Keeljunction-Not-Executed", "1")])


def answer_whole(server, sock, wire, request, state):
    server.run(request)
    sock.sendall(whole(request))
    return True


# --- clients ----------------------------------------------------------------------------------

HOST = "gauges.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"


class Answer:
    def __init__(self, request_id, status, headers, body, error):
        self.id, self.status, self.headers, self.body, self.error = request_id, status, headers, body, error


def send(record, address, method, path, headers=(), body=b"", deadline_ms=1500, timeout=None):
    """Sends a request of a client on a connection of its own and reads the answer."""
    request_id = uuid.uuid4().hex[:16]
    host, port = address.rsplit(":", 1)
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Keeljunction-Request-Id: {request_id}",
        f"Keeljunction-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}",
        f"Content-Length: {len(body)}", "Connection: close",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    record(f"client sends {request_id} ({method} {path}) to {address}")
    try:
        with socket.create_connection((host, int(port)), timeout=1) as sock:
            sock.settimeout(timeout or deadline_ms / 1000 + 1)
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            wire = Wire(sock)
            first, head = wire.head()
            status = int(first.split(" ")[1])
            answered = Answer(request_id, status, head, wire.body(head, True), None)
    except (OSError, EOFError, ValueError) as error:
        answered = Answer(request_id, None, {}, b"", f"{type(error).__name__}: {error}")
    seal = answered.headers.get("keeljunction-response-seal", "none")
    of = answered.headers.get("keeljunction-request-id", "none")
    record(
        f"client of {request_id} gets {answered.status or answered.error}, seal {seal}, id {of}, "
        f"{len(answered.body)} bytes"
    )
    return answered


# --- nodes ------------------------------------------------------------------------------------


TAKEN_PORTS = set()


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_ports(count):
    """Finds free ports below those that the system gives to connections."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        if port not in TAKEN_PORTS and is_free(port):
            TAKEN_PORTS.add(port)
            ports.append(port)
    return ports


class Node:
    """A node: the command of deploy/system.toml with settings as its template yields them, with the
    figures of caudalia-andes."""

    def __init__(self, case, name, zone, control=None, first=True, table=None):
        self.case, self.name = case, name
        self.folder = os.path.join(case.folder, f"{name}-{uuid.uuid4().hex[:6]}")
        os.mkdir(self.folder)
        callers, readiness, peers, metrics = free_ports(4)
        self.callers, self.readiness = f"127.0.0.1:{callers}", f"127.0.0.1:{readiness}"
        self.settings = os.path.join(self.folder, "local.yaml")
        lines = [
            "node:", f"  name: {json.dumps(name)}", f"  data_centre: {json.dumps(zone)}",
            *(["  is_first_start: true"] if first else []),
            "listen:", f"  callers: {json.dumps(self.callers)}",
            f"  readiness: {json.dumps(self.readiness)}", f'  peers: "127.0.0.1:{peers}"',
            f'  metrics: "127.0.0.1:{metrics}"', "seeds: []",
            "limits:", "  descriptors: 4100", "  link_mbps: 1000.0", "  memory_mb: 260",
            "regions:",
            '  data_centres: {"hall-norte":"bogota","hall-sur":"bogota","hall-oriente":"bogota","hall-occidente":"bogota"}',
            "bounds:", "  revoke_ms: 5000", "  strict_revoke: true", "  config_apply_ms: 2000",
            "  drain_ms: 2000", "  grace_s: 8", "  retry_budget_ratio: 0.2",
            "  budget_min_retries: 56", "  budget_window_s: 10", "  quota_window_s: 8",
            "  quota_overshoot: 0.1", "  quota_slack: 140000", "  lease_ms: 3000",
            "  report_window_s: 5", "  usage_late_s: 10",
            "platform:", f"  table: {json.dumps(table or case.store.address)}",
            f"  control: {json.dumps(control or case.store.control_address)}",
            "  control_per_second: 50.0",
            "capacity:", "  on_demand_part: 0.1", "  spot_part: 2.0", "  target_utilization: 0.75",
        ]
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.process = None
        self.start()

    def start(self):
        """Starts the process; a later start is not the first one of the whole system."""
        if self.process is not None:
            with open(self.settings) as file:
                lines = [line for line in file if "is_first_start" not in line]
            with open(self.settings, "w") as file:
                file.writelines(lines)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["KEELJUNCTION_BOOT"] = self.settings
        self.process = subprocess.Popen(
            [BINARY, "gateway"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )
        self.case.processes.append(self.process)
        self.case.record(f"node {self.name} starts, process {self.process.pid}, clients at {self.callers}")

    def is_ready(self):
        try:
            host, port = self.readiness.rsplit(":", 1)
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(100).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def signal(self, number):
        self.case.record(f"node {self.name}, process {self.process.pid}, gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def exit_status(self):
        return self.process.poll()

    def output(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as file:
            return file.read()


class Case:
    """A case: a temporary folder, a store, nodes and servers, and their end."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="keeljunction-review-")
        self.processes = []
        self.nodes = []
        self.store = Store(self.record)
        self.configuration = {
            "version": 1, "routes": [], "services": [],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{
                "name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "token_count",
                "uncached_tokens": 200, "rate_per_s": 148325, "burst": 148325,
            }],
        }
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("build first: the command is in deploy/system.toml")

    def add_route(self, prefix, kind, service, attempts, timeout_ms=800, slo_ms=300, **more):
        self.configuration["routes"].append({
            "name": "r-" + prefix.strip("/"), "host": HOST, "path_prefix": prefix,
            "route_kind": kind, "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 2,
            "service": service, "max_attempts": attempts, "allow_anonymous": False, **more,
        })

    def add_service(self, name, **more):
        self.configuration["services"].append({
            "name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1",
            "tls": False, **more,
        })

    def put_configuration(self):
        self.store.put("op", "config", self.configuration)

    def list_server(self, server, state="ready"):
        self.store.put("servers", server.id, server.entry(state))
        self.record(f"server {server.id} of {server.service} is listed at {server.address}")

    def start_node(self, *args, **kwargs):
        node = Node(self, *args, **kwargs)
        self.nodes.append(node)
        return node

    def wait(self, what, condition, timeout=15):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not in time: {what}")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# A case that takes longer than this could not run.
MOST_S = 110


def main(folder, play):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    `play(case)` returns the breaches, as texts."""
    case, status = None, 2

    def stop(*_):
        raise CannotRun("stopped, or out of time")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(MOST_S)
    try:
        case = Case(folder)
        case.record(f"TROUBLE={1 if TROUBLE else 0}")
        breaches = play(case)
        for breach in breaches:
            case.record(f"BROKEN: {breach}")
        for breach in breaches[:5]:
            print(f"BROKEN: {breach}")
        print(f"{len(breaches)} breaches")
        case.record(f"{len(breaches)} breaches")
        status = 1 if breaches else 0
    except CannotRun as error:
        print(f"could not run: {error}")
        if case:
            case.record(f"could not run: {error}")
    except Exception:
        traceback.print_exc()
    signal.alarm(0)
    if case:
        case.close()
    sys.stdout.flush()
    os._exit(status)
