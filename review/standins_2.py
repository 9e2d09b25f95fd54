"""Small stand-ins for the cases of the second review: the platform's store and API, servers, callers
and gateway processes. They follow PROTOCOL.md and the terms in PAGES.md; all addresses are loopback.
Only the Python standard library is used."""

import asyncio
import base64
import json
import os
import signal
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "keeljunction")
HOST = "gauges.example"
KEY = "key-of-acme"
TENANT = "acme"
BEGUN = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - BEGUN


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, *words):
        self.file.write("%8.3f  %s\n" % (now(), " ".join(str(word) for word in words)))
        self.file.flush()


async def read_head(reader):
    """Reads a message head; returns its first line and its headers, or None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status, body, headers=(), reason="X"):
    head = ["HTTP/1.1 %d %s" % (status, reason), "Content-Length: %d" % len(body)]
    head += ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """An HTTP server with kept connections."""

    def __init__(self):
        self.server = None
        self.port = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if not await self.handle(head[0], head[1], body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def handle(self, line, headers, body, reader, writer):
        raise NotImplementedError

    def stop(self):
        """Ends the listener and resets all of its connections, like a process that is killed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Store(Listener):
    """The platform's store and its API for duties. `calls` sees each call, and may hold or lose it."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.ver = 0
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Condition()
        self.usage = []
        self.scale = []
        self.before = None  # async function (path, headers, body) -> None or status

    async def put(self, table, key, value, part=""):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self._apply([(table, part, key, data)])

    async def remove(self, table, key, part=""):
        await self._apply([(table, part, key, None)])

    def get(self, table, key, part=""):
        found = self.rows.get((table, part, key))
        return None if found is None else json.loads(found[0])

    async def _apply(self, writes):
        async with self.changed:
            self.ver += 1
            for table, part, key, data in writes:
                if data is None:
                    self.rows.pop((table, part, key), None)
                else:
                    self.rows[(table, part, key)] = (data, self.ver)
                self.changes.append((self.ver, table, part, key, data))
            self.changed.notify_all()

    def _row(self, table, part, key):
        data, ver = self.rows[(table, part, key)]
        value = base64.b64encode(data).decode()
        return {"table": table, "part": part, "private_key": key, "value": value, "ver": ver}

    def _answer(self, **fields):
        return {**fields, "ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, True).items()}
        if self.before is not None:
            status = await self.before(url.path, headers, body)
            if status is not None:
                writer.write(encode(status, b"{}"))
                await writer.drain()
                return True
        status, answer = await self.call(method, unquote(url.path), query, headers, body)
        data = json.dumps(answer).encode()
        writer.write(encode(status, data, [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def call(self, method, path, query, headers, body):
        if path == "/rows-get":
            return self._get(query)
        if path == "/rows-feed":
            return await self._feed(query)
        if path == "/rows-tx":
            return await self._transact(json.loads(body))
        if path in ("/usage", "/scale"):
            holder = headers.get("keeljunction-duty-holder")
            fence = int(headers.get("keeljunction-fencing-token", "0"))
            content = json.loads(body)
            (self.usage if path == "/usage" else self.scale).append((now(), holder, fence, content))
            self.record.line("platform", path, "holder", holder, "fence", fence, json.dumps(content))
            return 200, {}
        return 404, {}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", "500")), 500)
        first, end = query.get("source", ""), query.get("target_version")
        keys = sorted(k for (t, p, k) in self.rows if t == table and p == part)
        keys = [k for k in keys if k >= first and (not end or k < end)]
        rows = [self._row(table, part, key) for key in keys[:limit]]
        return 200, self._answer(rows=rows, more=len(keys) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        wait = min(int(query.get("wait_ms", "0")), 30000) / 1000
        end = time.monotonic() + wait
        async with self.changed:
            while True:
                found = {}
                for ver, name, part, key, data in self.changes:
                    if ver > after and name == table:
                        found[(part, key)] = (ver, data)
                left = end - time.monotonic()
                if found or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = []
        for (part, key), (ver, data) in sorted(found.items(), key=lambda item: item[1][0]):
            row = {"table": table, "part": part, "private_key": key, "ver": ver}
            if data is None:
                row["gone"] = True
            else:
                row["value"] = base64.b64encode(data).decode()
            rows.append(row)
        return 200, self._answer(rows=rows)

    async def _transact(self, body):
        place = lambda entry: (entry["table"], entry.get("part", ""), entry["private_key"])
        expected = body.get("expected_rev") or []
        known = lambda entry: self.rows.get(place(entry), (None, 0))[1]
        if any(known(entry) != entry["ver"] for entry in expected):
            rows = [self._row(*place(entry)) for entry in expected if place(entry) in self.rows]
            return 412, self._answer(rows=rows)
        puts = [(*place(e), base64.b64decode(e["value"])) for e in body.get("put") or []]
        removals = [(*place(e), None) for e in body.get("remove") or []]
        if any(write[0] == "servers" for write in puts + removals):
            return 403, {}
        if puts or removals:
            await self._apply(puts + removals)
        return 200, self._answer()


class Server(Listener):
    """A server of a service: it runs each request once for `work_s` and answers with its seal."""

    def __init__(self, record, id, version="v1", service="api", zone="z1", work_s=0.02, slots=64):
        super().__init__()
        self.record, self.id, self.version, self.service = record, id, version, service
        self.zone, self.work_s, self.slots = zone, work_s, slots
        self.ran = []
        self.running = 0
        self.extra = []  # further headers of all answers
        self.born = int(time.time() * 1000)

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state, "cold_left_ms": 0,
            "born": self.born, "seq": 1,
        }

    async def handle(self, line, headers, body, reader, writer):
        method, path, _ = line.split(" ")
        if path == "/health":
            writer.write(encode(200, b"ok", [("Keeljunction-Instance-Id", self.id)]))
            await writer.drain()
            return True
        id = headers.get("keeljunction-request-id", "")
        if headers.get("keeljunction-expect-instance", self.id) != self.id:
            self.record.line("server", self.id, "rejects", id, 421)
            answer = [("Keeljunction-Request-Id", id), ("Keeljunction-Not-Executed", "1")]
            writer.write(encode(421, b"", answer))
            await writer.drain()
            return True
        return await self.run(method, path, id, headers, body, reader, writer)

    async def run(self, method, path, id, headers, body, reader, writer):
        self.ran.append((now(), id))
        self.record.line("server", self.id, self.version, "runs", id, method, path)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(encode(200, b"answer to " + id.encode(), self.head(id)))
        await writer.drain()
        return True

    def head(self, id):
        return [
            ("Keeljunction-Request-Id", id), ("Keeljunction-Response-Seal", self.id + "." + id),
            ("Keeljunction-Load-Report", "%d,0,%d" % (self.running, self.slots)), *self.extra,
        ]


class Engine(Server):
    """A model server: it reads the prompt at 64.2 tokens a millisecond and then sends events."""

    events, gap_s = 4, 0.005

    async def run(self, method, path, id, headers, body, reader, writer):
        self.ran.append((now(), id))
        self.record.line("server", self.id, self.version, "runs", id, method, path)
        tokens = int(headers.get("keeljunction-token-counts", "64,1").split(",")[0])
        last = int(headers.get("last-event-id") or 0)
        self.running += 1
        try:
            await asyncio.sleep(tokens / 64200)
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked", *("%s: %s" % pair for pair in self.head(id))]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(last + 1, self.events + 1):
                event = b"id: %d\ndata: %s %d\n\n" % (number, self.version.encode(), number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True


def route(name, prefix, kind, timeout_ms=1500, attempts=1, service="api", **more):
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "route_kind": kind,
        "timeout_ms": timeout_ms, "priority": 0, "service": service, "max_attempts": attempts,
        "allow_anonymous": False, **{"slo_ms": 300, **more},
    }


def configuration(version=1, routes=None, tenants=None, services=None):
    return {
        "version": version,
        "routes": routes or [
            route("plain", "/plain/", "idempotent", attempts=2),
            route("once", "/once/", "non_idempotent"),
        ],
        "services": services or [{"name": "api", "health_path": "/health", "max_conns": 370}],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants or [{"name": TENANT, "api_keys": [KEY], "priority": 0}],
    }


# The bounds of the deployment that LATER.md in `shifted/` describes, as the template fills them in.
BOUNDS = {
    "revoke_ms": 5000, "strict_revoke": "true", "config_apply_ms": 3000, "drain_ms": 3000,
    "grace_s": 8, "retry_budget_ratio": 0.2, "budget_min_retries": 196, "budget_window_s": 10,
    "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000, "expose_share": 0.1,
    "canary_slack": 50, "lease_ms": 3000, "report_window_s": 5, "usage_late_s": 10,
}


class Node:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name, store, record, zone="z1", bounds=None, control=None, zones=None,
                 memory_mb=260):
        self.name, self.record, self.zone = name, record, zone
        self.store, self.control = store, control or store
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.zones = zones or {zone: "r1"}
        self.memory_mb = memory_mb
        self.events = []
        self.process = None
        self.folder = None

    def settings(self, first):
        zones = ", ".join('"%s": "%s"' % pair for pair in self.zones.items())
        bounds = "".join("  %s: %s\n" % pair for pair in self.bounds.items())
        return (
            'node:\n  name: "%s"\n  data_centre: "%s"\n%s'
            'listen:\n  callers: "%s"\n  readiness: "%s"\n  peers: "%s"\n  metrics: "127.0.0.1:0"\n'
            "seeds: []\nlimits:\n  descriptors: 4100\n  link_mbps: 1000.0\n  memory_mb: %d\n"
            "regions:\n  data_centres: {%s}\nbounds:\n%s"
            'platform:\n  table: "%s"\n  control: "%s"\n  control_per_second: 50.0\n'
            "capacity:\n  on_demand_part: 0.1\n  spot_part: 2.0\n  target_utilization: 0.75\n"
        ) % (
            self.name, self.zone, "  is_first_start: true\n" if first else "",
            *self.ports(), self.memory_mb, zones, bounds, self.store, self.control,
        )

    def ports(self):
        if not self.events:
            return ("127.0.0.1:0",) * 3
        begun = self.events[0]
        return begun["callers"], begun["readiness"], begun["peers"]

    async def start(self, first=True):
        self.folder = self.folder or tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "gateway.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(first))
        environment = {"PATH": os.environ.get("PATH", ""), "KEELJUNCTION_BOOT": path}
        self.log = open(os.path.join(self.folder.name, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "gateway", cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=self.log, limit=1 << 22)
        self.events = []
        self.reading = asyncio.ensure_future(self._read(self.process.stdout))
        for _ in range(500):
            if self.events:
                break
            await asyncio.sleep(0.02)
        else:
            raise RuntimeError("the node %s did not start" % self.name)
        self.callers = self.events[0]["callers"]
        self.record.line("node", self.name, "started, callers at", self.callers)
        return self

    async def _read(self, output):
        async for line in output:
            try:
                event = json.loads(line)
            except ValueError:
                continue
            event["at"] = round(now(), 3)
            self.events.append(event)

    async def ready(self, limit_s=15):
        end = now() + limit_s
        while now() < end:
            status = await get_status(self.events[0]["readiness"], "/ready")
            if status == 200:
                return self
            await asyncio.sleep(0.05)
        raise RuntimeError("the node %s is not ready" % self.name)

    def list_events(self, name):
        return [event for event in self.events if event.get("event") == name]

    def signal(self, number):
        self.record.line("node", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        if self.folder is not None:
            self.folder.cleanup()


async def get_status(address, path):
    try:
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return None
    try:
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path.encode())
        head = await asyncio.wait_for(read_head(reader), 2)
        return int(head[0].split(" ")[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


class Ids:
    count = 0

    @classmethod
    def next(cls):
        cls.count += 1
        return "%016x" % (0x5000000000000000 + cls.count)


class Answer:
    def __init__(self, status, headers=None, body=b"", is_whole=False, id=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_whole, self.id = is_whole, id


async def ask(record, node, path, method="GET", body=b"", deadline_ms=1500, id=None, key=KEY,
              more=(), connection=None):
    """Sends one request on a new connection; status 0 stands for no answer."""
    id = id or Ids.next()
    lines = [
        "%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "Keeljunction-Request-Id: " + id,
        "Keeljunction-Deadline-Ms: %d" % deadline_ms, "Authorization: Bearer " + key,
        "Connection: close", *("%s: %s" % pair for pair in more),
    ]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    record.line("client sends", id, method, path, "to", node.name)
    answer = Answer(0, id=id)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            host, port = node.callers.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is not None:
                answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
                answer.body = await read_body(reader, head[1])
                answer.is_whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.headers["error"] = repr(error)
    finally:
        if writer is not None:
            writer.close()
    record.line("client gets", answer.status, "for", id, "from", node.name)
    return answer


async def wait_for(what, condition, limit_s):
    end = now() + limit_s
    while now() < end:
        if condition():
            return
        await asyncio.sleep(0.02)
    raise RuntimeError("no " + what + " in time")


def main(run, path):
    """Runs a case and writes its record to `path`; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("begins, TROUBLE=%d" % trouble)

    async def bounded():
        async with asyncio.timeout(115):
            return await run(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # pylint: disable=broad-except
        record.line("could not run:", repr(error))
        print("could not run:", repr(error))
        raise SystemExit(2) from error
    print("broken" if broken else "held")
    record.line("broken" if broken else "held")
    raise SystemExit(1 if broken else 0)
