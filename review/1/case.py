"""REFUSED: a surplus answer of a faulty server, a late second copy of a rejection, is taken for the
answer to the next request on its connection. That request runs, and its client is told that it did not.

One of four servers of gauge-api is faulty: it sends some of its rejections twice, and the second copy
late, when the next request has arrived on the connection. The copy carries the id of the request that
was rejected. With TROUBLE=0 it sends each rejection once; all else is the same."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins
from standins import TROUBLE, Server, send

FOLDER = os.path.dirname(os.path.abspath(__file__))
SERVICE, PATH, SERVERS = "gauge-api", "/rapu33/st", 4
WORKS, CLIENTS, PAUSE_S = 80, 3, 0.05
WORK_S = 0.06
# Every so many requests, a server has no room, as far as it can tell.
REJECTS_EACH = 5
PROMISES = (408, 421, 429, 503)
SETTLE_S = 5.0


class Counted(Server):
    """A server that rejects each fifth request; a faulty one repeats the rejection late."""

    def __init__(self, record, zone, is_faulty):
        super().__init__(record, SERVICE, zone, Counted.answer)
        self.is_faulty, self.arrived, self.works = is_faulty, 0, {}

    def answer(self, sock, wire, request, state):
        surplus = state.pop("surplus", None)
        if surplus and TROUBLE:
            self.record(f"server {self.id} sends late, after {request.id} has arrived, a second 503 for {surplus}")
            sock.sendall(standins.rejection(surplus))
        with self.lock:
            self.arrived += 1
            is_full = self.arrived % REJECTS_EACH == 0
        if is_full:
            self.record(f"server {self.id} rejects {request.id}, which does not run")
            sock.sendall(standins.rejection(request.id))
            if self.is_faulty:
                state["surplus"] = request.id
            return True
        self.run(request)
        with self.lock:
            self.works.setdefault(request.body, []).append(request.id)
        time.sleep(WORK_S)
        sock.sendall(standins.whole(request))
        return True


def play(case):
    case.add_service(SERVICE)
    case.add_route("/rapu33/", "non_idempotent", SERVICE, 1, timeout_ms=800, slo_ms=300)
    case.put_configuration()
    zones = ("hall-norte", "hall-sur", "hall-oriente", "hall-occidente")
    servers = [Counted(case.record, zone, is_faulty=place == 0) for place, zone in enumerate(zones)]
    for server in servers:
        case.list_server(server)
    nodes = [case.start_node("front-hall-norte-1", "hall-norte"), case.start_node("front-hall-sur-1", "hall-sur")]
    for node in nodes:
        case.wait("a ready node", node.is_ready)
    time.sleep(SETTLE_S)

    answers, lock = [], threading.Lock()

    def client(number):
        """Sends works one after the other; after a promise it tries once more, as clients do."""
        for work in range(number, WORKS, CLIENTS):
            body = b"station reading %d" % work
            for attempt in range(2):
                answer = send(case.record, nodes[(work + attempt) % 2].callers, "POST", PATH, body=body, deadline_ms=1500)
                with lock:
                    answers.append((work, answer))
                if answer.status not in PROMISES:
                    break
                time.sleep(min(0.45, float(answer.headers.get("retry-after") or 0)))
            time.sleep(PAUSE_S)

    clients = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    time.sleep(1)

    ran = {request_id for server in servers for _, request_id in server.ran}
    breaches = [
        f"REFUSED: request {answer.id} (work {work}) was answered {answer.status} and has run"
        for work, answer in answers
        if answer.status in PROMISES and answer.id in ran
    ]
    for body in sorted({body for server in servers for body in server.works}):
        ids = [request_id for server in servers for request_id in server.works.get(body, [])]
        if len(ids) > 1:
            case.record(f"consequence: {body.decode()} was applied {len(ids)} times, as {', '.join(ids)}")
    return breaches


standins.main(FOLDER, play)
