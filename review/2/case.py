"""A late copy of a direct command that was carried out and answered arrives at its worker."""

import http.client
import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from case import main  # noqa: E402
from cluster import Cluster, HttpServer  # noqa: E402

WATCHED_S = 10.0


class Relay:
    """Stands between the controllers and one worker. Passes each request on at once, and its answer back, and
    keeps a copy of those that start `pick`."""

    def __init__(self, worker):
        self.worker, self.kept = worker, []
        self.server = HttpServer(self.handle)
        self.address = self.server.address

    def handle(self, method, path, body):
        answer = self.forward(method, path, body)
        if method == "POST" and answer and answer[0] == 200:
            starts = [(o["pick"], o["try"]) for o in json.loads(body)["orders"] if o["verb"] == "start"]
            if starts:
                self.kept.append((starts, path, body))
        return answer

    def forward(self, method, path, body):
        connection = http.client.HTTPConnection(self.worker.address, timeout=5)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError):
            return None
        finally:
            connection.close()

    def deliver_copy(self, pick):
        for starts, path, body in self.kept:
            if any(name == pick for name, _ in starts):
                return self.forward("POST", path, body)
        return None


class RelayedCluster(Cluster):
    def __init__(self, *args, **kwargs):
        self.relays, self.relay_lock = {}, threading.Lock()
        super().__init__(*args, **kwargs)

    def worker_address(self, worker):
        with self.relay_lock:
            if worker.name not in self.relays:
                self.relays[worker.name] = Relay(worker)
            return self.relays[worker.name].address


def play(record, trouble, made):
    # One machine in each zone, and no more to rent.
    cluster = RelayedCluster(record, at_start=1, capacity=1)
    made(cluster)
    cluster.start()
    cluster.wait("both machines report", lambda: all(w.baton > 0 for w in cluster.cloud.workers()), 15)
    time.sleep(3)
    moved = cluster.job(1, rank="normal", picks=1, accelerators=8.0, vcpus=80.0, memoryGb=500.0, sizeGb=1.0,
                        markS=10.0, stashS=1.0, runS=200.0, expectS=200.0)
    pick = "job-000001/0"
    if not cluster.submit(moved):
        return []
    cluster.wait("the task runs", lambda: cluster.machines_of(pick), 20)
    first = cluster.machines_of(pick)[0]
    zone = next(w.zone for w in cluster.cloud.workers() if w.name == first)
    time.sleep(1)
    # Ordinary work of higher priority that may run in that zone only takes the place of the task.
    urgent = cluster.job(2, lot="pickpath-train", shape="gang", rank="urgent", picks=1, vcpus=86.0, accelerators=8.0,
                         memoryGb=610.0, yard=zone, oneZone=True, runS=300.0, expectS=300.0, sizeGb=1.0)
    if not cluster.submit(urgent):
        return []
    cluster.wait("the task has moved to the other machine", lambda: [
        name for name in cluster.machines_of(pick) if name != first], 50)
    # Its user does not need the urgent job any more.
    if cluster.cancel(urgent, within=20) != "aborted":
        return []
    worker = next(w for w in cluster.cloud.workers() if w.name == first)
    cluster.wait("the first machine is empty", lambda: not worker.picks, 10)
    if not [name for name in cluster.machines_of(pick) if name != first]:
        cluster.wait("the task runs on the other machine", lambda: False, 0)
    if trouble == "1":
        relay = cluster.relays[first]
        record(f"a late copy of the request that started {pick} arrives at {first}")
        answer = relay.deliver_copy(pick)
        if answer is None:
            # The start went with the answer to a report; there was no direct command to copy.
            cluster.wait("a direct command started the task", lambda: False, 0)
        record(f"{first} answers the copy: {answer[0]}")
    end = time.monotonic() + WATCHED_S
    while time.monotonic() < end:
        time.sleep(0.1)
    return [text for text in cluster.violations if text.startswith("ran_twice")]


if __name__ == "__main__":
    main(FOLDER, play)
