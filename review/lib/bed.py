"""Test bed of the review: a small deployment of `redwingrack steer` on loopback, with the real clock.

The instances are separate processes, started with the command of deploy/system.toml and a settings file as
platform/settings.toml renders it. The platform's store, the backend servers and the clients are stand-ins in this
process; they follow PROTOCOL.md and, where it is silent, behave like sound ones.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = ["target/src/app/redwingrack", "steer"]  # `run` of [roles.instance] in deploy/system.toml
START = time.monotonic()

# Bounds of the site files (SYSTEM.md, "Bounds").
BOUNDS = {"revocation_s": 5, "configuration_s": 2.5, "drain_s": 2.5, "stop_s": 6, "retry_ratio": 0.2,
          "retry_extra": 64, "quota_window_s": 5, "quota_overage": 0.1, "quota_tolerance": 20, "most_shift": 0.15}


class CannotRun(Exception):
    """The case could not be carried out; exit code 2."""


def now():
    return time.monotonic() - START


class Record:
    """record.txt: one JSON object a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def add(self, what, **fields):
        self.file.write(json.dumps({"t": round(now(), 4), "what": what, **fields}) + "\n")

    def close(self):
        self.file.close()


_ports = []


def free_address():
    """A free loopback address, below the ports that Linux gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _ports:
            _ports.append(port)
            return f"127.0.0.1:{port}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def read_message(reader):
    """(first line, headers with lower-case names, body) or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def response(status, headers=None, body=b""):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


class Store:
    """The platform's store. Each machine reaches it at an address of its own, so that it can be turned away."""

    def __init__(self):
        self.rows, self.changes, self.version = {}, [], 0
        self.changed = asyncio.Event()
        self.rejected = set()  # machines that get 503
        self.read_at = {}  # by table: when changes were last handed out
        self.read_by = {}  # by (machine, table)
        self.written_at = {}  # by (table, key)
        # Called with (machine, writes) before a transaction is done; if it returns a number of seconds, the call gets no
        # response and is performed that much later, if its condition still holds.
        self.delay_write = None
        self.servers = []

    async def listen(self, machine):
        address = free_address()
        host, port = split(address)
        self.servers.append(await asyncio.start_server(lambda r, w: self.serve(machine, r, w), host, port))
        return address

    def write(self, table, key, value, remove=False):
        return self.commit([(table, key, None if remove else json.dumps(value).encode())])

    def commit(self, writes):
        self.version += 1
        for table, key, value in writes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.changes.append((self.version, table, key))
            self.written_at[table, key] = now()
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def row(self, table, key):
        if (table, key) not in self.rows:
            return {"table-name": table, "part": "", "key": key, "deleted": True}
        value, version = self.rows[(table, key)]
        return {"table-name": table, "part": "", "key": key, "value": base64.b64encode(value).decode(),
                "schema-version": version}

    async def serve(self, machine, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, _, body = message
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)
                delay = None
                if method == "POST" and self.delay_write and machine not in self.rejected:
                    delay = self.delay_write(machine, json.loads(body).get("upserts", []))
                if delay:
                    await asyncio.sleep(delay)
                    await self.answer(method, target, body)
                    break  # "A connection on which a response is lost delivers nothing further."
                if machine in self.rejected:
                    status, answer = 503, {}
                else:
                    status, answer = await self.answer(method, target, body)
                    if machine in self.rejected:
                        status, answer = 503, {}
                    elif "/-/rows-feed" in target:
                        self.read_by[machine, target.split("table-name=")[1].split("&")[0]] = now()
                answer.update({"schema-version": answer.get("schema-version", self.version),
                               "current-time-s": round(now() + 50, 4)})
                writer.write(response(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        table = query.get("table-name")
        if url.path == "/-/rows-get":
            start, limit = query.get("start-key", ""), int(query.get("limit", 500))
            keys = sorted(k for t, k in self.rows if t == table and k >= start)
            return 200, {"rows": [self.row(table, k) for k in keys[:limit]], "has-more": len(keys) > limit}
        if url.path == "/-/rows-feed":
            after, until = int(query["after"]), now() + int(query["wait-ms"]) / 1000
            while True:
                newest = {}
                for version, t, key in self.changes:
                    if t == table and version > after:
                        newest[key] = version
                if newest or now() >= until:
                    rows = []
                    for key, version in sorted(newest.items(), key=lambda item: item[1]):
                        rows.append({**self.row(table, key), "schema-version": version})
                    self.read_at[table] = now()
                    return 200, {"rows": rows}
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
        if url.path == "/-/rows-tx":
            call = json.loads(body)
            for row in call.get("expected", []):
                known = self.rows.get((row["table-name"], row["key"]), (None, 0))[1]
                if known != row["schema-version"]:
                    return 412, {"rows": []}
            await asyncio.sleep(0.003)
            writes = [(r["table-name"], r["key"], base64.b64decode(r["value"])) for r in call.get("upserts", [])]
            writes += [(r["table-name"], r["key"], None) for r in call.get("remove", [])]
            if any(table in ("op", "servers") for table, _, _ in writes):
                return 403, {}
            return 200, {"schema-version": self.commit(writes)}
        return 404, {}


class Server:
    """A backend server. `work` gives the seconds of work for a request's headers."""

    def __init__(self, bed, name, service, zone, work=0.01, slots=9, version="v1"):
        self.bed, self.name, self.service, self.zone = bed, name, service, zone
        self.work, self.slots, self.version = work, slots, version
        self.address = free_address()
        self.running = self.waiting = self.sequence = 0
        self.runs = []  # (request id, path, tenant, begin, end or None)
        self.gate = asyncio.Semaphore(slots)
        self.writers = set()

    async def start(self):
        host, port = split(self.address)
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, host, port)
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.bed.store.write("servers", self.name, {
                "address": self.address, "born": self.born,
                "information": {"service": self.service, "version": self.version, "zone": self.zone,
                                "slots": self.slots},
                "status": {"state": "ready", "sequence": self.sequence, "cold-remaining-s": 0}})
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                await self.handle(line, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, body, writer):
        method, path, _ = line.split(" ")
        if path == "/health":
            writer.write(response(200, {"X-Instance-Id": self.name}))
            return
        rid = headers.get("x-request-id")
        load = lambda: f"{self.running},{self.waiting},{self.slots}"
        common = {"X-Request-Id": rid, "X-Server-Load": load(), "Keep-Alive": "timeout=10"}
        if not rid:
            writer.write(response(400, {"X-Not-Executed": 1}))
            return
        if headers.get("x-expected-instance", self.name) != self.name:
            writer.write(response(421, {**common, "X-Instance-Id": self.name}))
            return
        if self.waiting >= 3 * self.slots:
            writer.write(response(503, {**common, "X-Not-Executed": 1}))
            return
        self.waiting += 1
        await self.gate.acquire()
        self.waiting -= 1
        self.running += 1
        run = [rid, path, headers.get("x-tenant"), now(), None]
        self.runs.append(run)
        self.bed.record.add("run begins", server=self.name, id=rid, path=path, tenant=run[2])
        try:
            await asyncio.sleep(self.work(headers) if callable(self.work) else self.work)
            run[4] = now()
            self.bed.record.add("run ends", server=self.name, id=rid)
        finally:
            self.running -= 1
            self.gate.release()
        writer.write(response(200, {**common, "X-Server-Load": load(), "X-Server-Stamp": f"{self.name}.{rid}",
                                    "X-Service": self.service}, b"done by " + self.service.encode() + b"\n"))


class Instance:
    """One machine of the system."""

    def __init__(self, bed, name, zone, region):
        self.bed, self.name, self.zone, self.region = bed, name, zone, region
        self.callers, self.readiness, self.lookups, self.peers, self.metrics = (free_address() for _ in range(5))
        self.process = None

    async def start(self):
        self.store = await self.bed.store.listen(self.name)
        lines = ["[instance]", f'name = "{self.name}"', f'zone = "{self.zone}"', f'region = "{self.region}"',
                 f'callers = "{self.callers}"', "cpu_share = 0.2", "memory_mb = 260", f'metrics = "{self.metrics}"',
                 f'peers = "{self.peers}"', f'readiness = "{self.readiness}"', f'lookups = "{self.lookups}"',
                 "[store]", f'address = "{self.store}"', "[zones]"]
        lines += [f'"{zone}" = "{region}"' for zone, region in self.bed.zones.items()]
        lines += ["[bounds]"] + [f"{name} = {value}" for name, value in BOUNDS.items()]
        lines += ["[log]", 'level = "info"', ""]
        self.settings = os.path.join(self.bed.folder, self.name + ".toml")
        with open(self.settings, "w") as file:
            file.write("\n".join(lines))
        self.spawn()

    def spawn(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["REDWINGRACK_BOOT"] = self.settings
        self.log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)
        self.bed.record.add("instance started", name=self.name, pid=self.process.pid)

    def signal(self, number):
        self.bed.record.add("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(self.readiness, "GET", "/-/readiness", {}, timeout=1)
        return answer.status == 200


class Answer:
    def __init__(self, status, headers=None, body=b"", error=None):
        self.status, self.headers, self.body, self.error = status, headers or {}, body, error


async def call(address, method, path, headers, body=b"", timeout=5.0):
    """One request on a new connection. Status 0: no complete answer."""
    try:
        return await asyncio.wait_for(_call(address, method, path, headers, body), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return Answer(0, error=type(error).__name__)


async def _call(address, method, path, headers, body):
    reader, writer = await asyncio.open_connection(*split(address))
    try:
        text = f"{method} {path} HTTP/1.1\r\n"
        for name, value in {"Host": "shop.example", **headers}.items():
            text += f"{name}: {value}\r\n"
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    message = await read_message(reader)
    if message is None:
        return Answer(0, error="closed")
    line, headers, body = message
    return Answer(int(line.split(" ")[1]), headers, body)


class Bed:
    def __init__(self, folder, zones):
        self.out = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="redwingrack-review-")
        self.zones = zones  # {zone: region}
        self.store = Store()
        self.instances, self.servers, self.ids, self.sent_at = [], [], 0, {}
        self.processes = []  # further processes of a case

    def next_id(self):
        self.ids += 1
        return f"{self.ids:016x}"

    async def request(self, instance, method, path, key=None, deadline_ms=3000, body=b"", timeout=None):
        rid = self.next_id()
        headers = {"X-Request-Id": rid, "X-Deadline-Milliseconds": deadline_ms}
        if key:
            headers["Api-Key"] = key
        self.sent_at[rid] = now()
        self.record.add("sent", id=rid, to=instance.name, request=f"{method} {path}")
        answer = await call(instance.callers, method, path, headers, body, timeout or deadline_ms / 1000 + 1)
        answer.id = rid
        self.record.add("answered", id=rid, by=instance.name, status=answer.status, error=answer.error,
                        stamp=answer.headers.get("x-server-stamp"))
        return answer

    async def wait_ready(self, seconds=20):
        until = now() + seconds
        while now() < until:
            if all([await instance.is_ready() for instance in self.instances]):
                self.record.add("all instances ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the instances did not become ready")

    def stop(self):
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def configuration(version, rules, services, tenants=None, limits=None):
    result = {"version": f"r{version}",
              "limits": limits or {"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-s": 3,
                                   "idle-timeout-s": 15},
              "tenants": tenants or [],
              "listeners": [{"host": "shop.example", "rules": rules}],
              "clusters": [{"name": name, "health-path": "/health", "connection-limit": 390, "protocol": "h1",
                            "transport-security": False, "cold-start-s": 3.0, "cold-per-s": 10.0}
                           for name in services]}
    return result


def rule(name, prefix, service, kind="safe", timeout=2.5, anonymous=False, homes=()):
    return {"name": name, "kind": kind, "target-latency-s": 0.5, "priority": 2, "allow-anonymous": anonymous,
            "sticky-sessions": False, "match": {"path-prefix": prefix},
            "action": {"service": service, "timeout-s": timeout, "max-attempts": 2, "home-regions": list(homes)}}


def tenant(name, key, rate=0, burst=0, homes=()):
    return {"name": name, "api-keys": [key], "priority": 0, "rate-per-s": rate, "burst": burst,
            "home-regions": list(homes)}


def run(folder, zones, case):
    """Runs the coroutine case(bed, trouble) and exits: 1 if it returns a text (the rule was broken), 0 if it
    returns None, 2 if the case could not run. TROUBLE=0 leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        bed = Bed(folder, zones)
        try:
            return await asyncio.wait_for(case(bed, trouble), 110), bed
        except CannotRun as error:
            print("could not run:", error)
            return 2, bed
        except asyncio.TimeoutError:
            print("could not run: out of time")
            return 2, bed
        except Exception as error:  # such as a program that is not built
            print("could not run:", repr(error))
            return 2, bed
        finally:
            bed.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended then, too
    result, bed = asyncio.run(main())
    bed.record.add("result", text=str(result), logs=bed.folder)
    bed.record.close()
    if result == 2:
        sys.exit(2)
    print(result or "held")
    sys.exit(1 if result else 0)
