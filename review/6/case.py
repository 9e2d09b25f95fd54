import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins_2 as kj  # noqa: E402

RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
NODES, CALLERS = 4, 200
ORDER_S = 20
HEARTBEATS_S = 3.6  # three heartbeats of silence, after which the entry of a server goes


class Server(kj.Engine):
    """A model server whose streams last four seconds."""

    events, gap_s = 40, 0.1


async def attempt(record, node, path, last, resumes):
    """One client attempt; returns its id, the events, whether the stream is whole, and when to come back."""
    id = kj.Ids.next()
    lines = [
        "POST %s HTTP/1.1" % path, "Host: " + kj.HOST, "Keeljunction-Request-Id: " + id,
        "Keeljunction-Deadline-Ms: 15000", "Authorization: Bearer " + kj.KEY, "Content-Length: 2",
        "Keeljunction-Model: m", "Keeljunction-Token-Counts: 628,40",
        "Keeljunction-Prefix-Hash: %s:628" % id[-8:],
    ]
    if last:
        lines += ["Last-Event-Id: %d" % last, "Resumes: " + resumes]
    record.line("client sends", id, "to", node.name, "after event", last, "resumes", resumes)
    status, events, whole, writer, wait_s = 0, [], False, None, 0.2
    try:
        async with asyncio.timeout(15):
            host, port = node.callers.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
            head = await kj.read_head(reader)
            if head is None:
                return id, events, whole, wait_s
            status = int(head[0].split(" ")[1])
            if status != 200:
                # Callers obey Retry-After up to a third of their time.
                wait_s = min(float(head[1].get("retry-after", wait_s)), 5.0)
                return id, events, whole, wait_s
            text = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                text += (await reader.readexactly(size + 2))[:size]
                while b"\n\n" in text:
                    event, text = text.split(b"\n\n", 1)
                    fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
                    events.append((int(fields[b"id"]), fields[b"data"].decode()))
                if size == 0:
                    whole = True
                    return id, events, whole, wait_s
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return id, events, whole, wait_s
    finally:
        if writer is not None:
            writer.close()
        record.line("client gets", status, "for", id, "from", node.name, "events", len(events),
                    "whole" if whole else "cut")


async def run(record, trouble):
    store = await kj.Store(record).start()
    engine = {"slots": 64, "kv_capacity": 569286, "kv_token_bytes": 163840, "link_mbps": 1e6}
    services = [{"name": "api", "health_path": "/health", "max_conns": 370, "engine": engine}]
    routes = [kj.route("explain", "/explain/", "streaming", timeout_ms=15000, slo_ms=600, attempts=2,
                       resumable=True, itl_target_ms=500)]
    await store.put("op", "config", kj.configuration(routes=routes, services=services))
    groups = {}

    async def start_servers(version):
        groups[version] = []
        for number in range(4):
            server = await Server(record, "i-%s-%d" % (version, number), version).start()
            groups[version].append(server)
            await store.put("servers", server.id, server.entry())

    def state():
        return (store.get("status", "rollout/api") or {}).get("state")

    nodes = [kj.Node("front-%d" % n, store.address, record) for n in range(NODES)]
    new, taken_up = [], []
    is_over = False
    try:
        await start_servers("v1")
        await asyncio.gather(*(node.start() for node in nodes))
        await asyncio.gather(*(node.ready() for node in nodes))
        await asyncio.sleep(2)

        async def read_streams(number):
            await asyncio.sleep(random.random() * 4)
            while not is_over:
                end, got, first, tries = kj.now() + 15, [], None, 0
                while kj.now() < end and tries < 4 and not is_over:
                    node = random.choice(nodes)
                    last = got[-1][0] if got else 0
                    sent = kj.now()
                    id, events, whole, wait_s = await attempt(
                        record, node, "/explain/%d" % number, last, first)
                    tries += 1
                    if last and first:
                        if got[0][1].startswith("v2"):
                            taken_up.append((sent, first, bool(events) or whole))
                    else:
                        new.append((sent, bool(events)))
                    if events and first is None:
                        first = id
                    got += events
                    if whole:
                        break
                    await asyncio.sleep(wait_s)

        readers = [asyncio.ensure_future(read_streams(number)) for number in range(CALLERS)]
        await asyncio.sleep(5)
        ordered_at = kj.now()
        entry = {"service": "api", "target_version": "v2", "duration_s": ORDER_S}
        record.line("operator orders v2 within", ORDER_S, "s")
        await store.put("op", "rollout/api", entry)
        await start_servers("v2")

        def canary():
            events = [e for n in nodes for e in n.list_events("rollout_decided")]
            return any(e["stage"] == "canary" for e in events)

        await kj.wait_for("the first stage of the rollout", canary, ORDER_S)
        await asyncio.sleep(6)
        victim = max(groups["v2"], key=lambda server: server.running)
        record.line("the server", victim.id, "has", victim.running, "streams")
        if trouble:
            record.line("the server", victim.id, "crashes")
            victim.stop()
        crashed_at = kj.now()
        await asyncio.sleep(HEARTBEATS_S)
        if trouble:
            await store.remove("servers", victim.id)
        await asyncio.sleep(2.4)
        verdict = state()
        record.line("operator reads", verdict, round(crashed_at - ordered_at, 2), "s after the order")
        is_over = True
        await asyncio.wait(readers, timeout=16)
        for node in nodes:
            for name in ("rollout_decided", "rollout_changed", "stream_resumed"):
                for event in node.list_events(name):
                    record.line("log of", node.name, event)
        streams = {}
        for _, first, goes_on in taken_up:
            streams[first] = streams.get(first, False) or goes_on
        go_on = sum(streams.values()) / max(1, len(streams))
        begin = sum(begins for _, begins in new) / max(1, len(new))
        text = ("status %s; of %d streams of v2 that clients took up again while three of its servers served, "
                "%.3f went on; of %d new streams %.3f began") % (
                    verdict, len(streams), go_on, len(new), begin)
        record.line(text)
        print(text)
        return len(streams) >= 12 and go_on < begin / 2
    finally:
        is_over = True
        for node in nodes:
            await node.end()


kj.main(run, RECORD)
