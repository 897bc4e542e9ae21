"""Stand-ins for what surrounds the controllers: state service, cloud, workers and users, by the operators' protocol.

Standard library only. All addresses are loopback addresses with free ports. Everything runs in one event loop; the
controllers are separate processes, started with the command of the deploy file.
"""

import asyncio
import bisect
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be played."""


# ---------------------------------------------------------------- HTTP


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    path, _, query = target.partition("?")
    arguments = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
    return method, path, arguments, body


async def serve(handler):
    """Serves `handler(method, path, arguments, body) -> (status, text) or None` on a free port. None: the connection
    is closed without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                answer = await handler(*request)
                if answer is None:
                    break
                status, text = answer
                data = text.encode()
                head = f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0, limit=1 << 20, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, path, body=None, timeout=5.0):
    """One request on a connection of its own: (status, parsed body), or (None, reason)."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = (
                f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n"
                f"content-length: {len(data)}\r\nconnection: close\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin-1").split("\r\n")
            length = 0
            for line in lines[1:]:
                name, _, value = line.partition(":")
                if name.strip().lower() == "content-length":
                    length = int(value)
            text = await reader.readexactly(length)
            try:
                parsed = json.loads(text) if text else None
            except ValueError:
                parsed = None
            return int(lines[0].split(" ")[1]), parsed
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return None, type(error).__name__


# ---------------------------------------------------------------- state service


class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class Store:
    """The state service. `hooks` of a case may delay answers, or refuse a controller."""

    KEPT = 10_000

    def __init__(self, rps, write_rps, value_kb, txn_ops, latency_s):
        self.rps, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops, self.latency_s = value_kb * 1024, txn_ops, latency_s
        self.revision = 1
        self.keys, self.order = {}, []
        self.leases, self.last_lease = {}, 0
        self.changes = deque()
        self.changed = asyncio.Event()
        self.delay = lambda controller, method, path, body: 0.0
        self.refuses = lambda controller, method, path, arguments: False
        self.observe = lambda controller, method, path, arguments, body, status: None

    # State

    def _record(self, key, data):
        self.changes.append((self.revision, key, data))
        if len(self.changes) > self.KEPT:
            self.changes.popleft()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def preload(self, entries):
        """Records of earlier days: (key, text of the value)."""
        for key, data in entries:
            self.revision += 1
            self.keys[key] = (data, self.revision, None)
        self.order = sorted(self.keys)

    def _put(self, key, data, lease):
        if key not in self.keys:
            bisect.insort(self.order, key)
        self.keys[key] = (data, self.revision, lease)
        self._record(key, data)

    def _drop(self, key):
        if key in self.keys:
            del self.keys[key]
            del self.order[bisect.bisect_left(self.order, key)]
        self._record(key, None)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, (_, _, attached) in self.keys.items() if attached == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._drop(key)
            self._wake()
        return True

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    self.end_lease(lease)

    def version(self, key):
        return self.keys[key][1] if key in self.keys else 0

    # Requests

    async def handle(self, controller, method, path, arguments, body):
        status, text = await self._answer(controller, method, path, arguments, body)
        self.observe(controller, method, path, arguments, body, status)
        if path != "/follow":
            await asyncio.sleep(self.latency_s + self.delay(controller, method, path, body))
        else:
            await asyncio.sleep(self.latency_s)
        return status, text

    async def _answer(self, controller, method, path, arguments, body):
        if self.refuses(controller, method, path, arguments):
            if path == "/follow":
                while self.refuses(controller, method, path, arguments):
                    await asyncio.sleep(0.1)
            else:
                return 503, '{"error":"refused"}'
        changes = 0
        if path == "/txn":
            body = json.loads(body)
            changes = len(body.get("then") or [])
        if not self.rps.take(1) or (changes and not self.writes.take(changes)):
            return 429, '{"error":"over the limit"}'
        if path == "/txn":
            return self._txn(body)
        if path == "/follow":
            return await self._follow(arguments)
        if path == "/store":
            return self._list(arguments)
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            if key not in self.keys:
                return 404, json.dumps({"ledger": self.revision})
            data, stamp, lease = self.keys[key]
            return 200, f'{{"key":{json.dumps(key)},"data":{data},"stamp":{stamp},"permit":{json.dumps(lease)}}}'
        if path == "/leases" and method == "POST":
            life = json.loads(body)["lifeMs"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + life, life)
            return 200, json.dumps({"permit": self.last_lease})
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if method == "DELETE":
                return (200, "{}") if self.end_lease(lease) else (404, '{"error":"no such lease"}')
            if lease not in self.leases:
                return 404, '{"error":"no such lease"}'
            life = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + life, life)
            return 200, "{}"
        return 400, '{"error":"malformed"}'

    def _txn(self, body):
        conditions, changes = body.get("if") or [], body.get("then") or []
        if len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, '{"error":"too many"}'
        texts = [json.dumps(change["data"], separators=(",", ":")) if "put" in change else "" for change in changes]
        if any(len(text) > self.value_bytes for text in texts) or sum(map(len, texts)) > 65536:
            return 400, '{"error":"too large"}'
        failed = [c["key"] for c in conditions if self.version(c["key"]) != c["stamp"]]
        leases = [change["permit"] for change in changes if change.get("permit") is not None]
        if any(lease not in self.leases for lease in leases):
            return 400, '{"error":"no such lease"}'
        if failed:
            return 409, json.dumps({"failed": failed, "ledger": self.revision})
        if changes:
            self.revision += 1
            for change, text in zip(changes, texts):
                if "put" in change:
                    self._put(change["put"], text, change.get("permit"))
                else:
                    self._drop(change["drop"])
            self._wake()
        return 200, json.dumps({"ledger": self.revision})

    def _list(self, arguments):
        prefix, after = arguments.get("starts", ""), arguments.get("from")
        most = min(int(arguments.get("most", 1000)), 1000)
        start = bisect.bisect_left(self.order, prefix)
        if after is not None:
            start = max(start, bisect.bisect_right(self.order, after))
        items, size, more = [], 0, False
        for index in range(start, len(self.order)):
            key = self.order[index]
            if not key.startswith(prefix):
                break
            data, stamp, _ = self.keys[key]
            item = f'{{"key":"{key}","data":{data},"stamp":{stamp}}}'
            size += len(item) + 1
            if len(items) >= most or size > 510 * 1024:
                more = True
                break
            items.append(item)
        return 200, f'{{"entries":[{",".join(items)}],"truncated":{json.dumps(more)},"ledger":{self.revision}}}'

    async def _follow(self, arguments):
        prefix, since = arguments.get("starts", ""), int(arguments.get("from", 0))
        until = time.monotonic() + min(int(arguments.get("waitMs", 0)), 60_000) / 1000
        while True:
            if len(self.changes) >= self.KEPT and self.changes[0][0] > since + 1:
                return 410, '{"error":"too old"}'
            news = []
            for revision, key, data in reversed(self.changes):
                if revision <= since:
                    break
                if key.startswith(prefix):
                    quoted = json.dumps(key)
                    if data is None:
                        news.append(f'{{"drop":{quoted},"stamp":{revision}}}')
                    else:
                        news.append(f'{{"put":{quoted},"data":{data},"stamp":{revision}}}')
            left = until - time.monotonic()
            if news or left <= 0:
                news.reverse()
                return 200, f'{{"ledger":{self.revision},"news":[{",".join(news)}]}}'
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- workers


class Gang:
    """The tasks of one attempt of a gang. They start and complete together."""

    def __init__(self, job):
        self.job, self.tasks, self.running_since, self.done = job, {}, None, False
        self.on_done = lambda: None

    def complete(self):
        live = [task for _, task in self.tasks.values() if task["stage"] in ("gathering", "running")]
        return len(live) == self.job["picks"]

    def join(self, worker, task):
        self.tasks[task["key"][0]] = (worker, task)
        if self.running_since is None and self.complete():
            self.running_since = time.monotonic()
            for member, other in self.tasks.values():
                other["stage"] = "running"
                member.changed.set()
            self.end = asyncio.create_task(self.run(worker.region))

    async def run(self, region):
        while time.monotonic() - self.running_since < self.job["runS"]:
            await asyncio.sleep(0.05)
            if not self.complete():
                return
        self.done = True
        region.log("gang", f"{self.job['id']} is done")
        region.results.update(self.tasks)
        region.on_gang_done(self)


class Worker:
    """One machine with its worker."""

    def __init__(self, region, name, rig, zone, spot):
        self.region, self.name, self.rig, self.zone, self.spot = region, name, rig, zone, spot
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.node, self.changed = random.randrange(len(region.controllers)), asyncio.Event()
        self.server, self.address, self.gone = None, None, False
        self.renewed = time.monotonic()
        self.jobs = []

    async def start(self):
        self.server, port = await serve(self.handle)
        self.address = f"127.0.0.1:{port}"
        self.jobs = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.lease_loop())]

    def stop(self):
        self.gone = True
        for job in self.jobs:
            job.cancel()
        for task in self.tasks.values():
            self.leave(task, "machine gone")
        if self.server:
            self.server.close()

    def body(self):
        self.tally += 1
        picks = []
        for (pick, attempt), task in self.tasks.items():
            entry = {"pick": pick, "try": attempt, "stage": task["stage"]}
            if task["stage"] == "ended":
                entry["cause"] = task["cause"]
            picks.append(entry)
        return {
            "host": self.name, "address": self.address, "rig": self.rig["sku"], "yard": self.zone,
            "loaners": self.spot, "shift": self.shift, "tally": self.tally, "baton": self.baton,
            "warningS": None, "picks": picks,
        }

    async def handle(self, method, path, arguments, body):
        if self.gone:
            return None
        if path == "/inspect":
            return 200, json.dumps(self.body())
        if path != "/do":
            return 404, "{}"
        request = json.loads(body)
        if request.get("baton") is None or request.get("shift") is None:
            return 400, "{}"
        if request["baton"] < self.baton or request["shift"] != self.shift:
            return 409, json.dumps(self.body())
        if request["baton"] > self.baton:
            self.baton = request["baton"]
            self.changed.set()
        self.execute(request.get("orders") or [])
        return 200, json.dumps(self.body())

    def execute(self, orders):
        for order in orders:
            key = (order["pick"], order["try"])
            if order["verb"] == "start" and key not in self.tasks:
                self.begin(key)
            elif order["verb"] == "kill" and key in self.tasks:
                self.end(key, "stopped")
            elif order["verb"] == "reap" and self.tasks.get(key, {}).get("stage") == "ended":
                del self.tasks[key]

    def begin(self, key):
        pick, _ = key
        job, _, index = pick.rpartition("/")
        known = self.region.uploaded.get(job)
        live = [task for task in self.tasks.values() if task["stage"] != "ended"]
        task = {"key": key, "stage": "ended", "cause": None, "on": False, "job": known}
        self.tasks[key] = task
        self.changed.set()
        if known is None or int(index) >= known["picks"]:
            task["cause"] = "no_such"
        elif any(other["key"][0] == pick for other in live):
            task["cause"] = "in_use"
        elif any(
            sum(other["job"][field] for other in live) + known[field] > self.rig[field] + 1e-6
            for field in ("vcpus", "accelerators", "memoryGb")
        ):
            task["cause"] = "no_room"
        else:
            task["stage"] = "pulling"
            task["run"] = asyncio.create_task(self.run(task))

    async def run(self, task):
        job = task["job"]
        if job["kit"] not in self.images:
            await asyncio.sleep(job["sizeGb"] / self.rig["fetchGbPerS"])
            self.images.add(job["kit"])
        task["on"] = True
        self.region.on_start(task["key"], self)
        if job["shape"] == "gang" and job["picks"] > 1:
            return self.end(task["key"], await self.run_with_gang(task))
        if task["key"][0] not in self.region.results:
            task["stage"] = "running"
            self.changed.set()
            await asyncio.sleep(job["runS"] if job["runS"] else 1e9)
        self.region.results.add(task["key"][0])
        self.end(task["key"], "done")

    async def run_with_gang(self, task):
        """Waits for the other tasks of the attempt and runs with them; returns the cause of the exit."""
        pick, attempt = task["key"]
        if pick in self.region.results:
            return "done"
        gang = self.region.gangs.setdefault((task["job"]["id"], attempt), Gang(task["job"]))
        task["stage"] = "gathering"
        self.changed.set()
        gang.join(self, task)
        begun = time.monotonic()
        while gang.running_since is None:
            await asyncio.sleep(0.1)
            if gang.running_since is None and time.monotonic() - begun > self.region.workers["gang_wait_s"]:
                return "alone"
        while not gang.done:
            await asyncio.sleep(0.1)
            if not gang.done and not gang.complete():
                await asyncio.sleep(random.uniform(0.5, 1.0) * self.region.workers["gang_peer_s"])
                return "mates_gone"
        return "done"

    def leave(self, task, cause):
        if task["on"]:
            task["on"] = False
            self.region.on_exit(task["key"], self, cause)

    def end(self, key, cause):
        task = self.tasks[key]
        if task["stage"] == "ended":
            return
        task["stage"], task["cause"] = "ended", cause
        self.leave(task, cause)
        if cause != "done":
            task["run"].cancel()
        self.changed.set()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.1)
            if time.monotonic() - self.renewed > self.region.workers["lease_s"]:
                for key in list(self.tasks):
                    self.end(key, "lease expired")
                self.tasks.clear()
                self.shift += 1
                self.renewed = time.monotonic()
                self.region.log("worker", f"{self.name} lease expired, session {self.shift}")
                self.changed.set()

    async def report_loop(self):
        report_s = self.region.workers["report_s"]
        while True:
            sent, shift = time.monotonic(), self.shift
            self.changed.clear()
            address = self.region.controllers[self.node].public
            status, answer = await call(address, "POST", "/v1/report", self.body(), 4.0)
            if status == 200 and answer is not None:
                baton = answer.get("baton")
                if shift == self.shift and baton is not None and baton >= self.baton:
                    if baton > self.baton:
                        self.baton = baton
                        self.changed.set()
                    self.renewed = sent
                    self.execute(answer.get("orders") or [])
            elif status == 421 and self.region.index_of((answer or {}).get("foreman")) not in (None, self.node):
                self.node = self.region.index_of(answer["foreman"])
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            else:
                self.node = (self.node + 1) % len(self.region.controllers)
                await asyncio.sleep(1.0)
                continue
            pause = random.uniform(0.75, 1.25) * report_s - (time.monotonic() - sent)
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - sent)))
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, pause - 0.5))
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud


class Cloud:
    def __init__(self, region, rigs, capacity, boot_s, lag_s):
        self.region, self.rigs, self.capacity = region, rigs, dict(capacity)
        self.boot_s, self.lag_s = boot_s, lag_s
        self.machines, self.count, self.answers = {}, 0, {}

    async def add(self, rig, zone, spot, boot_s):
        self.count += 1
        name = f"vm-{self.count:06}"
        machine = {"id": name, "rig": rig["sku"], "yard": zone, "loaners": spot, "at": time.monotonic(),
                   "stage": "booting", "worker": Worker(self.region, name, rig, zone, spot)}
        self.machines[name] = machine
        if boot_s:
            machine["boot"] = asyncio.create_task(self.boot(machine, boot_s))
        else:
            await self.boot(machine, 0)
        return name

    async def boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        machine["worker"].renewed = time.monotonic()
        await machine["worker"].start()
        machine["stage"] = "running"

    async def handle(self, controller, method, path, arguments, body):
        await asyncio.sleep(0.05)
        if path == "/flavors":
            return 200, json.dumps({"rigs": self.rigs})
        if path == "/rentals" and method == "GET":
            return 200, json.dumps(self.list(arguments))
        request = json.loads(body)
        if path == "/rentals":
            return await self.rent(request)
        if path == "/rentals/delete":
            for name in request["hosts"]:
                machine = self.machines.pop(name, None)
                if machine:
                    self.capacity[machine["yard"]] += 1
                    if "boot" in machine:
                        machine["boot"].cancel()
                    machine["worker"].stop()
                    self.region.log("cloud", f"deleted {name}")
            return 200, "{}"
        return 404, "{}"

    def list(self, arguments):
        after, now, hosts = arguments.get("from", ""), time.monotonic(), []
        for name in sorted(self.machines):
            machine = self.machines[name]
            if name > after and now - machine["at"] >= self.lag_s:
                hosts.append({"id": name, "address": machine["worker"].address or "127.0.0.1:9", "rig": machine["rig"],
                              "yard": machine["yard"], "loaners": machine["loaners"], "stage": machine["stage"],
                              "ageS": now - machine["at"]})
        most = min(int(arguments.get("most", 500)), 500)
        return {"hosts": hosts[:most], "truncated": len(hosts) > most}

    async def rent(self, request):
        if request["hire"] in self.answers:
            return 200, self.answers[request["hire"]]
        rig = next((rig for rig in self.rigs if rig["sku"] == request["rig"]), None)
        if rig is None:
            return 400, "{}"
        free = 0 if request["loaners"] else self.capacity.get(request["yard"], 0)
        count = min(request["count"], free)
        if not count:
            return 503, '{"error":"no capacity"}'
        self.capacity[request["yard"]] -= count
        hosts = [await self.add(rig, request["yard"], False, self.boot_s) for _ in range(count)]
        self.region.log("cloud", f"rented {hosts}")
        self.answers[request["hire"]] = json.dumps({"hosts": hosts})
        return 200, self.answers[request["hire"]]


# ---------------------------------------------------------------- controllers and region


class Controller:
    def __init__(self, index, zone):
        self.index, self.zone, self.label = index, zone, f"tiller-{index}"
        self.public = self.peer = self.settings = self.process = self.log_file = None


def reserve_port():
    """A free port, and the socket that keeps it from being given to others. A server that sets SO_REUSEADDR, as the
    controllers do, can listen there meanwhile."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    return holder.getsockname()[1], holder


class Region:
    def __init__(self, record, zones_of_controllers, zones, teams, state, workers, latency_s=0.006, list_lag_s=2.0,
                 cloud_rps=10.0, boot_s=5.0, rigs=(), capacity=()):
        self.started = time.monotonic()
        self.record = open(record, "w", buffering=1)
        self.zones, self.teams, self.state, self.workers = zones, teams, state, workers
        self.cloud_rps, self.list_lag_s = cloud_rps, list_lag_s
        self.controllers = [Controller(index, zone) for index, zone in enumerate(zones_of_controllers)]
        self.store = Store(state["rps"], state["write_rps"], state["value_kb"], state["txn_ops"], latency_s)
        self.cloud = Cloud(self, list(rigs), capacity, boot_s, list_lag_s)
        self.uploaded, self.results, self.gangs = {}, set(), {}
        self.on_gang_done = lambda gang: None
        self.on_machine, self.starts, self.twice = {}, {}, []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.servers, self.background, self.reserved = [], [], []
        self.command = shlex.split(tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"])
        if not (ROOT / self.command[0]).exists():
            raise NotRun(f"{self.command[0]} is not built")

    def now(self):
        return time.monotonic() - self.started

    def log(self, who, text):
        self.record.write(f"{self.now():8.3f} {who:<10} {text}\n")

    def index_of(self, label):
        return next((c.index for c in self.controllers if c.label == label), None)

    def on_start(self, key, worker):
        pick, attempt = key
        others = self.on_machine.setdefault(pick, [])
        self.log("task", f"{pick} try {attempt} on {worker.name} ({worker.zone})" + (f" WHILE on {others}" if others else ""))
        if others:
            self.twice.append(pick)
        others.append(worker.name)
        self.starts.setdefault(pick, []).append((self.now(), worker.name))

    def on_exit(self, key, worker, cause):
        pick, attempt = key
        self.log("task", f"{pick} try {attempt} left {worker.name}: {cause}")
        self.on_machine[pick].remove(worker.name)

    async def prepare(self):
        for controller in self.controllers:
            (public, one), (peer, other) = reserve_port(), reserve_port()
            controller.public, controller.peer = f"127.0.0.1:{public}", f"127.0.0.1:{peer}"
            self.reserved += [one, other]
        for controller in self.controllers:
            state, state_port = await serve(
                lambda *request, i=controller.index: self.store.handle(i, *request))
            cloud, cloud_port = await serve(
                lambda *request, i=controller.index: self.cloud.handle(i, *request))
            self.servers += [state, cloud]
            settings = {
                "label": controller.label, "zone": controller.zone,
                "public_addr": controller.public, "peer_bind": controller.peer,
                "members": [{"label": o.label, "zone": o.zone, "address": o.peer}
                            for o in self.controllers if o is not controller],
                "outside": {"cloud": f"127.0.0.1:{cloud_port}", "state": f"127.0.0.1:{state_port}"},
                "deployment": {
                    "count": len(self.controllers), "zones": self.zones, "teams": self.teams, "objectives": [],
                    "workers": self.workers, "state": self.state,
                    "cloud": {"rps": self.cloud_rps, "list_lag_s": self.list_lag_s},
                    "quota": {"cores": 1.0, "mem_mb": 136.0, "sockets": 1800}, "clock_error_ms": 1000.0,
                },
            }
            controller.settings = Path(self.folder.name) / f"{controller.label}.json"
            controller.settings.write_text(json.dumps(settings))
        self.background.append(asyncio.create_task(self.store.expire_leases()))

    def start(self, index):
        controller = self.controllers[index]
        log = open(Path(self.folder.name) / f"{controller.label}.log", "a")
        controller.process = subprocess.Popen(
            self.command + [str(controller.settings)], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=log,
            env={**os.environ, "LOG_LEVEL": os.environ.get("CASE_LOG", "info")})
        log.close()
        self.log("process", f"{controller.label} started")

    def kill(self, index):
        controller = self.controllers[index]
        if controller.process and controller.process.poll() is None:
            controller.process.send_signal(signal.SIGKILL)
            controller.process.wait()
            self.log("process", f"{controller.label} killed")

    def ended_by_itself(self):
        return [c.label for c in self.controllers if c.process and c.process.poll() not in (None, -signal.SIGKILL)]

    async def ready(self, index, within_s):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            status, _ = await call(self.controllers[index].public, "GET", "/ready", None, 1.0)
            if status == 200:
                self.log("probe", f"{self.controllers[index].label} is ready")
                return True
            await asyncio.sleep(0.2)
        return False

    # Users

    async def ask(self, method, path, body=None, timeout=5.0, quiet=False):
        """A request through the load balancer: a refused connection is tried at another node, three tries at most."""
        order = random.sample(self.controllers, len(self.controllers))[:3]
        for controller in order:
            status, answer = await call(controller.public, method, path, body, timeout)
            if status is not None or answer == "no answer":
                break
        if not quiet:
            self.log("user", f"{method} {path} at {controller.label}: {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, job, run_s, within_s=60.0):
        """Submits a job as a user does. True: accepted, False: refused for good, None: no such answer in time."""
        self.uploaded[job["id"]] = {**job, "runS": run_s}
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            status, _ = await self.ask("POST", "/api/jobs", job)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return None

    async def poll(self, job, quiet=False):
        return await self.ask("GET", f"/api/jobs/{job}", None, 2.0, quiet)

    def close(self):
        for controller in self.controllers:
            if controller.process and controller.process.poll() is None:
                controller.process.kill()
                controller.process.wait()
        keep = os.environ.get("CASE_KEEP_LOGS")
        if keep:
            for path in Path(self.folder.name).glob("*"):
                Path(keep, path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()
        self.record.close()


def job(number, **changes):
    """A submission with every field of the protocol."""
    return {
        "id": f"job-{number:06}", "lot": "demand-forecast", "crew": "itsinda-ububiko", "shape": "sweep", "rank": "normal",
        "picks": 1, "vcpus": 10.0, "accelerators": 1.0, "memoryGb": 72.0, "kit": "img-01", "sizeGb": 0.5, "rigs": None,
        "yard": None, "oneZone": False, "spread": False, "loaners": False, "expectS": 10.0, "markS": 10.0, "stashS": 2.0,
        "dueS": None, **changes,
    }


def main(case, record_folder, limit_s=116.0):
    """Runs `case(record_path) -> exit status`, within the time of a script."""
    record = Path(record_folder) / "record.txt"

    def stop(*_):
        raise SystemExit(NOT_RUN)

    async def whole():
        try:
            status = await asyncio.wait_for(case(record), limit_s)
        except NotRun as reason:
            print(f"not run: {reason}")
            status = NOT_RUN
        except asyncio.TimeoutError:
            print("not run: out of time")
            status = NOT_RUN
        except BaseException:
            traceback.print_exc()
            status = NOT_RUN
        # The controllers are ended by now; what is left are tasks of this process.
        sys.stdout.flush()
        os._exit(status)

    signal.signal(signal.SIGTERM, stop)
    asyncio.run(whole())
