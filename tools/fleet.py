"""Starts a small fleet on loopback: stand-ins for the platform and backend servers, and instances."""

import hashlib
import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"))
PROGRAM = os.path.join(BUILD, "src/app/redwingrack")
STANDIN = os.path.join(BUILD, "src/standins/redwingrack-standin")
TOKEN = "demo-operator-token"
READ_TOKEN = "demo-reader-token"


# The fleet that tools/demo and tools/faults start.
ZONES = {"north-1": "north", "north-2": "north", "south-1": "south"}
SERVICES = {
    "stock": [("stock-1", "1", "north-1", 4), ("stock-2", "1", "north-2", 4), ("stock-3", "1", "south-1", 4)],
    "ordering": [("ordering-1", "1", "north-1", 3), ("ordering-2", "1", "south-1", 3)],
}
ROUTES = [("stock", "stock", ["GET"], "/stock", False), ("ordering", "ordering", ["POST"], "/orders", False),
          ("about", "stock", ["GET"], "/about", True)]
INSTANCES = [("n1", "north-1"), ("n2", "north-2"), ("n3", "north-1"), ("s1", "south-1")]


def http(method, url, body=None, headers=None, timeout=10.0):
    """Returns (status, body text, headers); status 0 when no answer came."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode(errors="replace"), dict(answer.headers)
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode(errors="replace"), dict(error.headers)
    except (OSError, urllib.error.URLError) as error:
        return 0, str(error), {}


class Fleet:
    """Processes of one fleet; stop() ends all of them."""

    def __init__(self, zones, services, base_port, stop_grace_ms=1500):
        # zones: {zone: region}; services: {service: [(server, version, zone, slots)]}
        self.zones, self.services, self.base_port = zones, services, base_port
        self.stop_grace_ms = stop_grace_ms
        self.folder = tempfile.mkdtemp(prefix="redwingrack-")
        self.processes, self.instances, self.servers = {}, {}, {}
        self.next_port = base_port
        self.platform = f"127.0.0.1:{self.port()}"
        for service, servers in services.items():
            for name, version, zone, slots in servers:
                self.servers[name] = dict(service=service, version=version, zone=zone, slots=slots,
                                          address=f"127.0.0.1:{self.port()}")

    def port(self):
        self.next_port += 1
        return self.next_port

    def spawn(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        return self.processes[name]

    def start_platform(self):
        self.spawn("platform", [STANDIN, "platform", f"--listen={self.platform}"])

    def start_server(self, name, latency_ms=3):
        server = self.servers[name]
        self.spawn(name, [STANDIN, "backend", f"--listen={server['address']}", f"--name={name}",
                          f"--service={server['service']}", f"--version={server['version']}",
                          f"--slots={server['slots']}", f"--latency-ms={latency_ms}"])

    def add_instance(self, name, zone):
        ports = [self.port() for _ in range(3)]
        self.instances[name] = dict(zone=zone, caller=f"127.0.0.1:{ports[0]}", peer=f"127.0.0.1:{ports[1]}",
                                    admin=f"127.0.0.1:{ports[2]}")
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        reader = hashlib.sha256(READ_TOKEN.encode()).hexdigest()
        text = f"""[instance]
name = "{name}"
zone = "{zone}"
caller_listen = "{self.instances[name]['caller']}"
peer_listen = "{self.instances[name]['peer']}"
admin_listen = "{self.instances[name]['admin']}"
stop_grace_ms = {self.stop_grace_ms}
longest_stop_ms = 10000
[platform]
url = "http://{self.platform}"
timeout_ms = 1000
[peers]
secret = "demo-shared-secret-0123"
[callers]
lookup_max_age_ms = 10000
[[operator]]
name = "demo"
token_sha256 = "{digest}"
role = "operate"
[[operator]]
name = "reader"
token_sha256 = "{reader}"
role = "read"
[logging]
level = "info"
[tracing]
file = "{os.path.join(self.folder, name + '.spans.jsonl')}"
"""
        with open(os.path.join(self.folder, name + ".toml"), "w") as file:
            file.write(text)

    def start_instance(self, name):
        return self.spawn(name, [PROGRAM, "serve", "--config=" + os.path.join(self.folder, name + ".toml")])

    def fleet_file(self, workspaces, routes, latency_us=1000):
        lines = ["version = 1"]
        for zone, region in self.zones.items():
            lines += ["[[zones]]", f'name = "{zone}"', f'region = "{region}"']
        regions = sorted(set(self.zones.values()))
        for source in regions:
            for target in regions:
                if source != target:
                    lines += ["[[links]]", f'from = "{source}"', f'to = "{target}"', "bits_per_second = 280000000",
                              f"latency_us = {latency_us}"]
        for zone in self.zones:
            lines += ["[[sites]]", f'name = "{zone}"', f'zone = "{zone}"']
        for index, region in enumerate(regions):
            near = [zone for zone, home in self.zones.items() if home == region]
            far = [zone for zone, home in self.zones.items() if home != region]
            lines += ["[[blocks]]", f'prefix = "10.{index + 1}.0.0/16"', f"sites = {json.dumps(near + far)}"]
        lines += ["[[blocks]]", 'prefix = "0.0.0.0/0"', f"sites = {json.dumps(list(self.zones))}"]
        for name, rate, burst in workspaces:
            lines += ["[[workspaces]]", f'name = "{name}"', f"rate_per_second = {rate}", f"burst = {burst}"]
        for name, service, methods, prefix, is_open in routes:
            lines += ["[[routes]]", f'name = "{name}"', f'service = "{service}"', f"methods = {json.dumps(methods)}",
                      f'path_prefix = "{prefix}"', f"open = {'true' if is_open else 'false'}", "timeout_ms = 5000"]
        stable = {}
        for name, server in self.servers.items():
            stable.setdefault(server["service"], server["version"])
            lines += ["[[servers]]", f'name = "{name}"', f'service = "{server["service"]}"',
                      f'version = "{server["version"]}"', f'zone = "{server["zone"]}"',
                      f'address = "{server["address"]}"', f'slots = {server["slots"]}']
        for service, version in stable.items():
            lines += ["[[splits]]", f'service = "{service}"', f'stable = "{version}"']
        path = os.path.join(self.folder, "demo.fleet.toml")
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def run(self, *arguments, via=None, expect=0):
        """Runs the redwingrack command against an instance and returns what it printed."""
        name = via or next(iter(self.instances))
        environment = dict(os.environ, REDWINGRACK_TOKEN=TOKEN, REDWINGRACK_ADMIN=self.instances[name]["admin"],
                           REDWINGRACK_INSTANCE=self.instances[name]["caller"])
        done = subprocess.run([PROGRAM, *arguments], capture_output=True, text=True, env=environment, timeout=120)
        if expect is not None and done.returncode != expect:
            raise RuntimeError(f"redwingrack {' '.join(arguments)}: exit {done.returncode}\n{done.stdout}{done.stderr}")
        return done.stdout + (done.stderr if expect else "")

    def plan(self, *arguments, via=None):
        return json.loads(self.run("plan", *arguments, "--json", via=via))

    def carry_out(self, *arguments, via=None):
        """Plans, confirms and waits for the end; returns the ended plan."""
        plan = self.plan(*arguments, via=via)
        self.run("confirm", plan["id"], via=via)
        self.run("watch", plan["id"], "--for-s=90", via=via, expect=None)
        return json.loads(self.run("show", plan["id"], "--json", via=via))

    def status(self, name):
        code, text, _ = http("GET", f"http://{self.instances[name]['admin']}/admin/v1/status",
                             headers={"Authorization": "Bearer " + TOKEN}, timeout=2)
        return json.loads(text) if code == 200 else {}

    def wait(self, what, condition, seconds=30.0):
        """Waits until the condition holds; returns the seconds that it took."""
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            if condition():
                return time.monotonic() - start
            time.sleep(0.05)
        raise RuntimeError(f"after {seconds} s still not: {what}")

    def request(self, name, path, key=None, method="GET", body=None, headers=None, timeout=10.0):
        fields = dict(headers or {})
        if key:
            fields["Authorization"] = "Bearer " + key
        return http(method, f"http://{self.instances[name]['caller']}{path}", body, fields, timeout)

    def server_load(self, name):
        code, text, _ = http("GET", f"http://{self.servers[name]['address']}/load")
        return json.loads(text) if code == 200 else {}

    def control(self, address, **settings):
        http("PUT", f"http://{address}/control", json.dumps(settings), {"Content-Type": "application/json"})

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def start_all(self):
        """Starts everything and waits until all instances know each other; returns the seconds that it took."""
        start = time.monotonic()
        self.start_platform()
        for name in self.servers:
            self.start_server(name)
        for name, zone in INSTANCES:
            self.add_instance(name, zone)
            self.start_instance(name)
        self.wait("all instances know each other",
                  lambda: all(self.status(name).get("live_instances") == len(INSTANCES) for name in self.instances))
        return time.monotonic() - start

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 15
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
