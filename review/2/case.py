"""The answer to one direct command is held up for four seconds. Later the task is stopped, starts again on the same
machine, and its job is cancelled."""

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

HELD_S = 4.0
# Beyond `cancel_s`, for the rounding of clocks.
MARGIN_S = 1.0
JOB = 2
TRIES = 3


class Relay:
    """Stands between the controllers and one worker and passes everything on. The answer to the first request that
    starts the task `cluster.pick` is passed on late, if `holding`."""

    def __init__(self, cluster, worker):
        self.cluster, self.worker = cluster, worker
        self.server = HttpServer(self.handle)
        self.address = self.server.address

    def handle(self, method, path, body):
        connection = http.client.HTTPConnection(self.worker.address, timeout=5)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            answer = response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError):
            return None
        finally:
            connection.close()
        orders = json.loads(body)["orders"] if method == "POST" else []
        if any(order["verb"] == "start" and order["pick"] == self.cluster.pick for order in orders) and not self.cluster.seen:
            self.cluster.seen = True
            if self.cluster.holding:
                self.cluster.record(f"the answer of {self.worker.name} is held up for {HELD_S} s")
                time.sleep(HELD_S)
        return answer


class RelayedCluster(Cluster):
    """A cluster whose workers are reached through relays, and list what is on the machine before what has exited:
    the protocol gives no order."""

    def __init__(self, holding, *args, **kwargs):
        self.holding, self.seen, self.pick = holding, False, None
        self.relays, self.relay_lock = {}, threading.Lock()
        super().__init__(*args, **kwargs)

    def worker_address(self, worker):
        with self.relay_lock:
            if worker.name not in self.relays:
                self.relays[worker.name] = Relay(self, worker)
            return self.relays[worker.name].address

    def order_picks(self, picks):
        return sorted(picks, key=lambda pick: pick["stage"] == "ended")


def play(record, trouble, made):
    # One machine in each zone, and no more to rent.
    cluster = RelayedCluster(trouble == "1", record, at_start=1, capacity=1)
    made(cluster)
    cluster.start()
    cluster.wait("both machines report", lambda: all(w.baton > 0 for w in cluster.cloud.workers()), 15)
    time.sleep(3)
    zone = cluster.zones[0]
    half = {"vcpus": 43.0, "accelerators": 4.0, "memoryGb": 300.0, "yard": zone}
    # A replica that keeps the machine in use.
    service = cluster.job(1, lot="slotting-live", shape="standing", rank="critical", runS=0.0, expectS=0.0, **half)
    if not cluster.submit(service):
        return []
    cluster.wait("the replica runs", lambda: cluster.machines_of("job-000001/0"), 20)
    time.sleep(1)
    for number in range(JOB, JOB + TRIES):
        job = cluster.job(number, markS=10.0, stashS=1.0, runS=300.0, expectS=300.0, **half)
        pick = cluster.pick = f"{job['id']}/0"
        if not cluster.submit(job):
            return []
        cluster.wait("the task runs", lambda: cluster.machines_of(pick), 20)
        if cluster.seen or trouble != "1":
            break
        # The start went with the answer to a report, not with a direct command: another job is tried.
        record(f"{pick} was not started by a direct command")
        cluster.cancel(job, within=10)
    else:
        cluster.wait("a direct command starts a task", lambda: False, 0)
    time.sleep(HELD_S + 1)
    urgent = cluster.job(JOB + TRIES, lot="pickpath-train", shape="gang", rank="urgent", oneZone=True, runS=3.0, expectS=3.0, **half)
    if not cluster.submit(urgent):
        return []
    cluster.wait("the task gives way", lambda: not cluster.machines_of(pick), 20)
    end = time.monotonic() + 35
    while not cluster.machines_of(pick) and time.monotonic() < end:
        time.sleep(0.1)
    record(f"the task is back on {cluster.machines_of(pick)}")
    time.sleep(4)
    if cluster.cancel(job, within=15) != "aborted":
        record("the cancellation was not confirmed")
        return []
    told = time.monotonic()
    record("the user was told that the job is cancelled")
    limit = cluster.workers["cancel_s"] + MARGIN_S
    while time.monotonic() - told < limit:
        if not cluster.machines_of(pick):
            record(f"the task had left {time.monotonic() - told:.1f} s after that")
            return []
        time.sleep(0.1)
    return [f"ran_cancelled: {pick} is on {name}, {limit:.0f} s after its user was told that its job is cancelled"
            for name in cluster.machines_of(pick)]


if __name__ == "__main__":
    main(os.path.join(FOLDER, "record.txt"), play)
