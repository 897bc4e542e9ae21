"""Stand-ins for what surrounds the controllers, for the cases under review/: a key-value store, a cloud,
workers, users and a TCP proxy. Standard library only. Everything listens on 127.0.0.1, and ends with the
process or with Cluster.stop().
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():8.3f} {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class HttpServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """One thread for each connection. `app(method, path, body)` returns status and JSON body, or None to
    close the connection without an answer."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, app, port=0):
        self.app = app
        super().__init__((HOST, port), Handler)
        self.address = f"{HOST}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    def close(self):
        self.shutdown()
        self.server_close()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def handle_any(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        answer = self.server.app(self.command, self.path, body)
        if answer is None:
            self.close_connection = True
            return
        status, value = answer
        data = json.dumps(value).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        self.wfile.write(head.encode() + data)

    do_GET = do_POST = do_DELETE = handle_any


class Store:
    """The state service, by "Controller nodes -> state service" of the protocol."""

    KEPT_CHANGES = 10_000

    def __init__(self, record, rps, write_rps, value_kb, txn_ops):
        self.record = record
        self.rps, self.write_rps = rps, write_rps
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.changed = threading.Condition()
        self.revision = 400
        self.items = {}  # key -> [data, version, lease]
        self.leases = {}  # id -> [ttl, deadline]
        self.last_lease = 0
        self.log = []  # (revision, update)
        self.request_tokens, self.write_tokens = rps, write_rps
        self.refilled = time.monotonic()
        self.rejected_400 = 0
        self.server = HttpServer(self.handle)
        self.address = self.server.address

    def set_limits(self, **limits):
        with self.changed:
            for name, value in limits.items():
                setattr(self, name, value)
        self.record(f"store: limits are now {limits}")

    def close(self):
        self.server.close()

    def handle(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        with self.changed:
            self.expire()
            now = time.monotonic()
            gained = now - self.refilled
            self.refilled = now
            self.request_tokens = min(self.rps, self.request_tokens + gained * self.rps)
            self.write_tokens = min(self.write_rps, self.write_tokens + gained * self.write_rps)
            if self.request_tokens < 1:
                return 429, {"error": "too many requests"}
            self.request_tokens -= 1
            if method == "GET" and path.startswith("/store/"):
                return self.get(path[len("/store/"):])
            if method == "GET" and path == "/store":
                return self.list(query)
            if method == "GET" and path == "/follow":
                return self.follow(query)
            if method == "POST" and path == "/txn":
                return self.transact(body)
            if path.startswith("/leases"):
                return self.lease(method, path, body)
        return 400, {"error": "no such call"}

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, deadline) in self.leases.items() if deadline < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item[2] == lease]
        if keys:
            self.revision += 1
            for key in sorted(keys):
                del self.items[key]
                self.note({"drop": key, "stamp": self.revision})
            self.changed.notify_all()
        return True

    def note(self, update):
        self.log.append((self.revision, update))
        del self.log[:-self.KEPT_CHANGES]

    def get(self, key):
        if key not in self.items:
            return 404, {"ledger": self.revision}
        data, version, lease = self.items[key]
        return 200, {"key": key, "data": data, "stamp": version, "permit": lease}

    def list(self, query):
        prefix, after = query.get("starts", ""), query.get("from", "")
        most = min(int(query.get("most", 1000)), 1000)
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        entries, size = [], 0
        for key in keys[:most]:
            entry = {"key": key, "data": self.items[key][0], "stamp": self.items[key][1]}
            size += len(json.dumps(entry))
            if size > 512 * 1024:
                break
            entries.append(entry)
        return 200, {"entries": entries, "truncated": len(entries) < len(keys), "ledger": self.revision}

    def follow(self, query):
        prefix, start = query.get("starts", ""), int(query.get("from", 0))
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        if self.log and len(self.log) == self.KEPT_CHANGES and start < self.log[0][0] - 1:
            return 410, {"error": "too old"}
        while True:
            news = [u for r, u in self.log if r > start and (u.get("put") or u["drop"]).startswith(prefix)]
            wait = deadline - time.monotonic()
            if news or wait <= 0:
                return 200, {"ledger": self.revision, "news": news}
            self.changed.wait(min(wait, 0.05))
            self.expire()

    def transact(self, body):
        txn = json.loads(body)
        conditions, changes = txn.get("if") or [], txn.get("then") or []
        too_large = [
            change["put"]
            for change in changes
            if "put" in change and len(json.dumps(change["data"], separators=(",", ":"))) > self.value_kb * 1024
        ]
        if too_large or len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops or len(body) > 65536:
            self.rejected_400 += 1
            keys = [change.get("put") or change["drop"] for change in changes]
            sizes = [len(json.dumps(c["data"], separators=(",", ":"))) for c in changes if "put" in c]
            self.record(f"store: 400, too large: {len(changes)} changes {keys}, values of {sizes} bytes")
            return 400, {"error": "too large"}
        if self.write_tokens < min(len(changes), self.write_rps):
            return 429, {"error": "too many writes"}
        self.write_tokens -= len(changes)
        for change in changes:
            if change.get("permit") is not None and change["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["key"] for c in conditions if (self.items.get(c["key"]) or [0, 0])[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "put" in change:
                    self.items[change["put"]] = [change["data"], self.revision, change.get("permit")]
                    self.note({"put": change["put"], "data": change["data"], "stamp": self.revision})
                elif self.items.pop(change["drop"], None):
                    self.note({"drop": change["drop"], "stamp": self.revision})
            self.changed.notify_all()
        return 200, {"ledger": self.revision}

    def lease(self, method, path, body):
        parts = path.strip("/").split("/")
        if method == "POST" and len(parts) == 1:
            self.last_lease += 1
            ttl = json.loads(body)["lifeMs"] / 1000
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"permit": self.last_lease}
        lease = int(parts[1])
        if method == "DELETE":
            return (200, {}) if self.end_lease(lease) else (404, {})
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {}


class Worker:
    """A machine and its worker, by "Workers -> controller nodes" and "Controller nodes -> workers"."""

    def __init__(self, cluster, name, rig, zone, spot):
        self.cluster, self.name, self.rig, self.zone, self.spot = cluster, name, rig, zone, spot
        self.lock = threading.RLock()
        self.picks = {}  # (pick, try) -> dict
        self.images = set()
        self.shift, self.tally, self.baton = 1, 0, 0
        self.session_began = self.renewed = time.monotonic()
        self.changed = True
        self.ended = False
        self.node = random.randrange(len(cluster.nodes))
        self.server = HttpServer(self.handle)
        self.address = self.server.address
        self.hold_reports_until = 0.0
        threading.Thread(target=self.run, daemon=True).start()
        threading.Thread(target=self.report_loop, daemon=True).start()

    def end(self):
        with self.lock:
            if self.ended:
                return
            self.ended = True
            for key in list(self.picks):
                self.leave(key, "machine is gone")
        self.server.close()

    # What runs here.

    def leave(self, key, why):
        pick = self.picks[key]
        if pick["on"]:
            pick["on"] = False
            self.cluster.on_leave(self, key, why)

    def exit(self, key, cause, **more):
        pick = self.picks[key]
        self.leave(key, cause)
        pick.update(stage="ended", cause=cause, **more)
        self.changed = True

    def run(self):
        while not self.ended:
            with self.lock:
                now = time.monotonic()
                if now - max(self.renewed, self.session_began) > self.cluster.workers["lease_s"]:
                    self.cluster.record(f"{self.name}: lease ran out, session {self.shift} ends")
                    for key in list(self.picks):
                        self.leave(key, "lease ran out")
                    self.picks.clear()
                    self.shift += 1
                    self.session_began = now
                    self.changed = True
                for key, pick in list(self.picks.items()):
                    self.step(key, pick, now)
            time.sleep(0.02)

    def step(self, key, pick, now):
        if pick["stage"] == "pulling" and now >= pick["image_at"]:
            self.images.add(pick["job"]["kit"])
            pick["on"] = True
            pick["stage"] = "running"
            pick["began"] = now
            self.changed = True
            self.cluster.on_start(self, key)
            if key[0] in self.cluster.results:
                self.exit(key, "done")
        elif pick["stage"] == "running":
            run_s = pick["job"].get("runS", 0)
            if pick["job"]["shape"] != "standing" and now - pick["began"] >= run_s:
                self.cluster.results.add(key[0])
                self.exit(key, "done")
        elif pick["stage"] == "saving" and now >= pick["saved_at"]:
            self.exit(key, "stopped", kept=True)

    def execute(self, order):
        key = (order["pick"], order["try"])
        verb = order["verb"]
        if verb == "start" and key not in self.picks:
            self.start(key)
        elif verb == "kill" and key in self.picks:
            pick = self.picks[key]
            grace = order.get("windDownS", 0)
            job = pick["job"]
            if pick["stage"] == "ended":
                return
            if pick["stage"] == "running" and job and job["markS"] > 0 and grace >= job["stashS"]:
                pick.update(stage="saving", saved_at=time.monotonic() + job["stashS"])
                self.changed = True
            elif pick["stage"] != "saving" or grace == 0:
                self.exit(key, "stopped")
        elif verb == "reap" and key in self.picks and self.picks[key]["stage"] == "ended":
            del self.picks[key]
            self.changed = True

    def start(self, key):
        job = self.cluster.jobs.get(key[0].rsplit("/", 1)[0])
        pick = {"stage": "pulling", "on": False, "job": job, "image_at": 0.0}
        self.picks[key] = pick
        self.changed = True
        active = [p for k, p in self.picks.items() if p["stage"] != "ended" and k != key]
        flavor = self.cluster.flavor
        if job is None:
            return self.exit(key, "no_such")
        if any(k[0] == key[0] and p["stage"] != "ended" for k, p in self.picks.items() if k != key):
            return self.exit(key, "in_use")
        for field in ("vcpus", "accelerators", "memoryGb"):
            if sum(p["job"][field] for p in active) + job[field] > flavor[field] + 1e-6:
                return self.exit(key, "no_room")
        fetch = 0.0 if job["kit"] in self.images else job["sizeGb"] / flavor["fetchGbPerS"]
        pick["image_at"] = time.monotonic() + fetch

    # Reports and commands.

    def report(self):
        self.tally += 1
        picks = []
        for (name, attempt), pick in self.picks.items():
            entry = {"pick": name, "try": attempt, "stage": pick["stage"]}
            if pick["stage"] == "ended":
                entry["cause"] = pick["cause"]
                if "kept" in pick:
                    entry["kept"] = pick["kept"]
            picks.append(entry)
        return {
            "host": self.name, "address": self.cluster.worker_address(self), "rig": self.rig, "yard": self.zone,
            "loaners": self.spot, "shift": self.shift, "tally": self.tally, "baton": self.baton,
            "warningS": None, "picks": self.cluster.order_picks(picks),
        }

    def handle(self, method, path, body):
        if self.ended:
            return None
        if path == "/inspect":
            with self.lock:
                return 200, self.report()
        order = json.loads(body)
        if "baton" not in order or "shift" not in order:
            return 400, {"error": "token or session is missing"}
        with self.lock:
            accepted = order["baton"] >= self.baton and order["shift"] == self.shift
            self.cluster.on_direct(self, order, accepted)
            if order["baton"] > self.baton:
                self.baton = order["baton"]
                self.changed = True
            if not accepted:
                return 409, self.report()
            for command in order["orders"]:
                self.execute(command)
            return 200, self.report()

    def report_loop(self):
        last = 0.0
        interval = 0.0
        while not self.ended:
            now = time.monotonic()
            due = now - last >= interval or self.changed and now - last >= 0.5
            if not due or now < self.hold_reports_until:
                time.sleep(0.03)
                continue
            last = now
            report_s = self.cluster.workers["report_s"]
            interval = report_s * random.uniform(0.75, 1.25)
            with self.lock:
                self.changed = False
                body = self.report()
            status, answer = self.send(body)
            self.on_answer(status, answer, body["shift"], now)

    def send(self, body):
        connection = http.client.HTTPConnection(self.cluster.nodes[self.node].public, timeout=4)
        try:
            connection.request("POST", "/v1/report", json.dumps(body), {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            connection.close()

    def on_answer(self, status, answer, shift, sent_at):
        labels = [node.label for node in self.cluster.nodes]
        if status == 200:
            with self.lock:
                token = answer.get("baton")
                if shift != self.shift or token is None or token < self.baton or self.ended:
                    return
                if token > self.baton:
                    self.baton = token
                    self.changed = True
                self.renewed = sent_at
                for order in answer.get("orders", []):
                    self.cluster.on_order(self, order)
                    self.execute(order)
            return
        foreman = answer.get("foreman")
        self.cluster.record(f"{self.name}: report to {labels[self.node]}: {status or 'no answer'} {foreman or ''}")
        if status == 421 and foreman in labels and foreman != labels[self.node]:
            self.node = labels.index(foreman)
            self.changed = True
            return
        self.node = (self.node + 1) % len(labels)
        time.sleep(1)
        self.changed = True


class Cloud:
    """The cloud, by "Controller nodes -> cloud"."""

    def __init__(self, cluster, capacity, boot_s):
        self.cluster, self.capacity, self.boot_s = cluster, capacity, boot_s
        self.lock = threading.Lock()
        self.hosts = {}  # name -> dict
        self.answers = {}
        self.last = 230
        self.server = HttpServer(self.handle)
        self.address = self.server.address

    def close(self):
        self.server.close()

    def add(self, zone, spot, boot_s):
        self.last += 1
        name = f"vm-{self.last:06d}"
        host = {"id": name, "rig": self.cluster.flavor["sku"], "yard": zone, "loaners": spot,
                "began": time.monotonic(), "worker": None, "gone": False}
        self.hosts[name] = host
        if boot_s <= 0:
            host["worker"] = Worker(self.cluster, name, host["rig"], zone, spot)
        else:
            threading.Timer(boot_s, self.boot, (host,)).start()
        return name

    def boot(self, host):
        with self.lock:
            if not host["gone"] and not self.cluster.stopping:
                host["worker"] = Worker(self.cluster, host["id"], host["rig"], host["yard"], host["loaners"])

    def workers(self):
        return [host["worker"] for host in list(self.hosts.values()) if host["worker"] and not host["gone"]]

    def handle(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/flavors":
            return 200, {"rigs": [self.cluster.flavor]}
        if path == "/rentals" and method == "GET":
            return self.list(query)
        if path == "/rentals/delete":
            names = json.loads(body)["hosts"]
            self.cluster.record(f"cloud: delete {names}")
            for name in names:
                host = self.hosts.get(name)
                if host and not host["gone"]:
                    with self.lock:
                        host["gone"] = True
                    if host["worker"]:
                        host["worker"].end()
            return 200, {}
        return self.rent(json.loads(body))

    def list(self, query):
        after, most = query.get("from", ""), int(query.get("most", 500))
        now = time.monotonic()
        seen = [h for n, h in sorted(self.hosts.items()) if n > after and not h["gone"]]
        page = [
            {"id": h["id"], "address": h["worker"].address if h["worker"] else f"{HOST}:9", "rig": h["rig"],
             "yard": h["yard"], "loaners": h["loaners"], "stage": "running" if h["worker"] else "booting",
             "ageS": now - h["began"]}
            for h in seen[:most]
        ]
        return 200, {"hosts": page, "truncated": len(seen) > most}

    def rent(self, body):
        with self.lock:
            if body["hire"] in self.answers:
                return 200, self.answers[body["hire"]]
            zone = body["yard"]
            used = sum(1 for h in self.hosts.values() if h["yard"] == zone and not h["gone"])
            count = min(body["count"], self.capacity - used)
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = [self.add(zone, body["loaners"], self.boot_s) for _ in range(count)]
            self.answers[body["hire"]] = {"hosts": names}
            self.cluster.record(f"cloud: {body['hire']} rents {names} in {zone}")
            return 200, self.answers[body["hire"]]


class Node:
    """One controller process."""

    def __init__(self, cluster, index, zone):
        self.cluster, self.label, self.zone = cluster, f"tiller-{index}", zone
        self.public = f"{HOST}:{free_port()}"
        self.peer = f"{HOST}:{free_port()}"
        self.process = None
        self.settings = os.path.join(cluster.folder, f"{self.label}.json")
        self.log_path = os.path.join(cluster.folder, f"{self.label}.log")

    def start(self):
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.cluster.command + [self.settings], cwd=ROOT, env=env, stderr=log,
                stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL,
            )
        self.cluster.record(f"{self.label}: started")

    def signal(self, number):
        self.cluster.record(f"{self.label}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()


class Cluster:
    """Store, cloud, workers and three controllers. The numbers are those of itoranya-kigali."""

    def __init__(self, record, zones=("kigali-dc", "huye-dc"), nodes=3, teams=None, workers=None, state=None,
                 capacity=8, boot_s=15.0, at_start=2, flavor=None, state_next=None, quota=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.stopping = False
        self.zones = list(zones)
        self.workers = {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 35.0, "gang_peer_s": 5.0, "cancel_s": 44.0}
        self.workers.update(workers or {})
        self.state = {"rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12}
        self.state.update(state or {})
        self.flavor = {
            "sku": "imashini-nkuru", "vcpus": 96.0, "accelerators": 8.0, "memoryGb": 768.0, "localGb": 120.0,
            "fetchGbPerS": 0.8, "price": 21.31, "marketPrice": 6.03, "bootS": 25.0, "yards": self.zones,
        }
        self.flavor.update(flavor or {})
        self.teams = teams or [{"name": "itsinda-ububiko", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]
        self.quota = quota or {"cores": 0.24, "mem_mb": 136.0, "sockets": 1800}
        self.jobs, self.results = {}, set()
        self.on, self.starts, self.violations = {}, [], []
        self.track = threading.Lock()
        self.direct_hook = None
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run *= *"(.*)"', file.read(), re.MULTILINE).group(1).split()
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")
        self.nodes = [Node(self, index, zones[index % len(zones)]) for index in range(nodes)]
        self.store = Store(record, **self.state)
        self.cloud = Cloud(self, capacity, boot_s)
        state_settings = dict(self.state)
        if state_next:
            state_settings["next"] = dict(self.state, **state_next)
        for node in self.nodes:
            settings = {
                "label": node.label, "zone": node.zone, "public_addr": node.public, "peer_bind": node.peer,
                "members": [
                    {"label": other.label, "zone": other.zone, "address": other.peer}
                    for other in self.nodes if other is not node
                ],
                "outside": {"cloud": self.cloud.address, "state": self.store_address(node)},
                "deployment": {
                    "count": nodes, "zones": sorted(self.zones), "teams": self.teams, "objectives": [],
                    "workers": self.workers, "state": state_settings,
                    "cloud": {"rps": 5.0, "list_lag_s": 10.0}, "quota": self.quota, "clock_error_ms": 1000.0,
                },
            }
            with open(node.settings, "w", encoding="utf-8") as file:
                json.dump(settings, file)
        for zone in self.zones:
            for _ in range(at_start):
                self.cloud.add(zone, False, 0)

    # Points where a case may put something between two parties.

    def store_address(self, node):
        return self.store.address

    def worker_address(self, worker):
        return worker.address

    def order_picks(self, picks):
        """The order in which a worker lists its tasks; as they were started, unless a case changes it."""
        return picks

    # What the machines see.

    def on_start(self, worker, key):
        with self.track:
            others = [(w, k) for (w, k) in self.on if k[0] == key[0] and w is not worker]
            self.on[(worker, key)] = time.monotonic()
            self.starts.append((time.monotonic(), key, worker.name))
        self.record(f"{worker.name}: {key[0]} attempt {key[1]} is on the machine")
        for other, other_key in others:
            self.violations.append(f"ran_twice: {key[0]} starts on {worker.name} (attempt {key[1]}) while it is on "
                                   f"{other.name} (attempt {other_key[1]})")
            self.record(self.violations[-1])

    def on_leave(self, worker, key, why):
        with self.track:
            self.on.pop((worker, key), None)
        self.record(f"{worker.name}: {key[0]} attempt {key[1]} has left: {why}")

    def on_direct(self, worker, order, accepted):
        for command in order["orders"]:
            what = "carried out" if accepted else "refused (409)"
            self.record(f"{worker.name}: /do {command['verb']} {command['pick']} attempt {command['try']}: {what}")
        if self.direct_hook:
            self.direct_hook(worker, order, accepted)

    def on_order(self, worker, order):
        self.record(f"{worker.name}: in an answer: {order['verb']} {order['pick']} attempt {order['try']}")

    def machines_of(self, pick):
        with self.track:
            return [worker.name for (worker, key) in self.on if key[0] == pick]

    # Users.

    def job(self, number, **fields):
        job = {
            "id": f"job-{number:06d}", "lot": "demand-forecast", "crew": self.teams[0]["name"], "shape": "sweep",
            "rank": "normal", "picks": 1, "vcpus": 10.0, "accelerators": 1.0, "memoryGb": 72.0, "kit": "img-01",
            "sizeGb": 1.0, "rigs": None, "yard": None, "oneZone": False, "spread": False, "loaners": False,
            "expectS": 50.0, "markS": 0.0, "stashS": 0.0, "dueS": None, "runS": 50.0,
        }
        job.update(fields)
        self.jobs[job["id"]] = job
        return job

    def ask(self, node, method, path, body=None, timeout=5, address=None, quiet=False):
        connection = http.client.HTTPConnection(address or node.public, timeout=timeout)
        sent = None if body is None else json.dumps({k: v for k, v in body.items() if k != "runS"})
        try:
            connection.request(method, path, sent)
            response = connection.getresponse()
            status, text = response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, str(error).encode()
        finally:
            connection.close()
        if not quiet:
            self.record(f"user: {method} {path} {body['id'] if body else ''} at {node.label}: "
                        f"{status} {text.decode(errors='replace')}")
        try:
            return status, json.loads(text)
        except ValueError:
            return status, {}

    def submit(self, job, node=None, within=60):
        """Submits as a user does: with retries, for 60 s."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            status, _ = self.ask(node or random.choice(self.nodes), "POST", "/api/jobs", job)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            time.sleep(1)
        return False

    def poll(self, job, node=None, quiet=False):
        return self.ask(node or random.choice(self.nodes), "GET", f"/api/jobs/{job['id']}", timeout=2, quiet=quiet)

    def cancel(self, job, within=60, node=None):
        end = time.monotonic() + within
        while time.monotonic() < end:
            status, answer = self.ask(node or random.choice(self.nodes), "POST", f"/api/jobs/{job['id']}/abort")
            if status == 200:
                return answer.get("stage")
            time.sleep(1)
        return None

    def wait(self, what, condition, within):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not within {within} s: {what}")

    def start(self):
        for node in self.nodes:
            node.start()
        self.wait("all controllers ready", lambda: all(
            self.ask(node, "GET", "/ready", timeout=1, quiet=True)[0] == 200 for node in self.nodes), 20)

    def stop(self):
        self.stopping = True
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for host in list(self.cloud.hosts.values()):
            if host["worker"]:
                host["worker"].end()
        self.cloud.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Proxy:
    """A TCP proxy on loopback. `mode` "pass": forwards. "hold": keeps what arrives, and delivers it in order when
    the mode is "pass" again, also if the sender has given up; no connection completes meanwhile at the other end.
    "reset": resets all connections, and each new one."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            with self.lock:
                for connection in list(self.connections):
                    self.reset(connection)

    @staticmethod
    def reset(connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            connection.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def accept(self):
        while not self.closed:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def wait_passing(self):
        while self.mode == "hold" and not self.closed:
            time.sleep(0.02)
        return self.mode == "pass" and not self.closed

    def serve(self, client):
        server = None
        try:
            if not self.wait_passing():
                self.reset(client)
                return
            host, port = self.target.split(":")
            server = socket.create_connection((host, int(port)), timeout=5)
            server.settimeout(None)
            for end in (client, server):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections |= {client, server}
            back = threading.Thread(target=self.pump, args=(server, client), daemon=True)
            back.start()
            self.pump(client, server)
            back.join()
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections -= {client, server}
            for end in (client, server):
                if end:
                    end.close()

    def pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not self.wait_passing():
                    break
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.closed = True
        self.listener.close()
        with self.lock:
            for connection in list(self.connections):
                self.reset(connection)
