import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins_2 as kj  # noqa: E402

RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
NODES, CALLERS = 8, 16
FIRST_S, SECOND_S = 12, 20
DOWN_S, CONTACT_S = 1.0, 4.0
EXPOSE_SHARE, CANARY_SLACK = 0.1, 50


class BadServer(kj.Server):
    """A server of a bad version: a part of its answers fail."""

    async def run(self, method, path, id, headers, body, reader, writer):
        if random.random() >= 0.4:
            return await super().run(method, path, id, headers, body, reader, writer)
        self.ran.append((kj.now(), id))
        self.record.line("server", self.id, self.version, "fails", id)
        await asyncio.sleep(self.work_s)
        writer.write(kj.encode(500, b"failed", self.head(id)))
        await writer.drain()
        return True


async def run(record, trouble):
    store = await kj.Store(record).start()
    await store.put("op", "config", kj.configuration())
    groups = {}

    async def start_servers(version, kind=kj.Server):
        groups[version] = []
        for number in range(4):
            server = await kind(record, "i-%s-%d" % (version, number), version).start()
            groups[version].append(server)
            await store.put("servers", server.id, server.entry())

    async def stop_servers(version):
        for server in groups[version]:
            server.stop()
            await store.remove("servers", server.id)

    async def order(version, duration_s, kind=kj.Server):
        entry = {"service": "api", "target_version": version, "duration_s": duration_s}
        record.line("operator orders", version, "within", duration_s, "s")
        await store.put("op", "rollout/api", entry)
        await asyncio.sleep(0.1)
        await start_servers(version, kind)

    def status():
        return store.get("status", "rollout/api") or {}

    nodes = [kj.Node("front-%d" % n, store.address, record) for n in range(NODES)]
    sent = {}
    is_over = is_down = False
    back_at = 0.0
    try:
        await start_servers("v1")
        await asyncio.gather(*(node.start() for node in nodes))
        await asyncio.gather(*(node.ready() for node in nodes))
        await asyncio.sleep(2)

        async def call(number):
            turn = number
            while not is_over:
                turn += 1
                if not is_down:
                    id = kj.Ids.next()
                    sent[id] = kj.now()
                    await kj.ask(record, nodes[turn % NODES], "/plain/%d" % turn, id=id)
                await asyncio.sleep(0.1)

        callers = [asyncio.ensure_future(call(number)) for number in range(CALLERS)]
        await asyncio.sleep(1)
        await order("v2", FIRST_S)
        completed = lambda: status() == {"state": "completed", "target_version": "v2"}
        await kj.wait_for("completion", completed, FIRST_S + 5)
        record.line("operator reads", status())
        await stop_servers("v1")
        await asyncio.sleep(8)
        if trouble:
            is_down = True
            for node in nodes:
                node.signal(signal.SIGKILL)
            for node in nodes:
                await node.process.wait()
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(node.start(first=False) for node in nodes))
            await asyncio.gather(*(node.ready() for node in nodes))
            is_down = False
            record.line("all machines are back and ready")
        back_at = kj.now()
        await asyncio.sleep(0.3)
        ordered_at = kj.now()
        await order("v3", SECOND_S, BadServer)
        verdict = None
        while kj.now() < ordered_at + SECOND_S:
            state = status()
            if verdict is None and state.get("target_version") == "v3":
                if state["state"] != "active":
                    verdict = state["state"]
                    record.line("operator reads", state, "after", round(kj.now() - ordered_at, 2), "s")
                    if verdict == "completed":
                        await stop_servers("v2")
            await asyncio.sleep(0.02)
        is_over = True
        await asyncio.gather(*callers)
        for node in nodes:
            for name in ("rollout_decided", "rollout_changed"):
                for event in node.list_events(name):
                    record.line("log of", node.name, event)
        # Only requests that machines in touch were sent: contact_ms after their start.
        touch_at = back_at + CONTACT_S if trouble else ordered_at
        end = ordered_at + SECOND_S
        counts = {
            version: sum(touch_at < at < end and sent.get(id, 0) > touch_at for at, id in all)
            for version, all in ((v, [r for s in g for r in s.ran]) for v, g in groups.items())
        }
        total, bad = sum(counts.values()), counts["v3"]
        bound = EXPOSE_SHARE * total + CANARY_SLACK
        text = "of %d requests that reached the service, %d reached the bad version; the bound is %.0f; verdict: %s" % (
            total, bad, bound, verdict)
        record.line(text)
        print(text)
        if total < 200:
            raise RuntimeError("too few requests")
        return bad > bound
    finally:
        is_over = True
        for node in nodes:
            await node.end()


kj.main(run, RECORD)
