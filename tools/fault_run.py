"""Faults on real processes over loopback: kill, stop, freeze, silent servers, store down. Exit 0 when nothing promised broke.

The verdicts depend on outcomes, not on speed. Run it with: tools/faults
"""

import json
import signal
import sys
import threading
import time

from fleet import ROUTES, SERVICES, ZONES, Fleet

KEY = "fault-run-key-91c2"
failures = 0


def check(text, good, detail=""):
    global failures
    failures += 0 if good else 1
    print(f"{'ok  ' if good else 'FAIL'} {text}{' (' + str(detail) + ')' if detail != '' else ''}", flush=True)


class Load:
    """Callers that send requests and orders in a loop, each through the instances of its look-up order."""

    def __init__(self, fleet, names, rate=20):
        self.fleet, self.names, self.pause = fleet, names, 1.0 / rate
        self.counts, self.wrong, self.orders, self.running = {}, 0, 0, True
        self.threads = [threading.Thread(target=self.run, args=(index,)) for index in range(2)]
        for thread in self.threads:
            thread.start()

    def note(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def send(self, path, method="GET", body=None, headers=None):
        for name in self.names:
            code, text, _ = self.fleet.request(name, path, KEY, method, body, headers, timeout=8)
            if code != 0:
                return code, text
        return 0, ""

    def run(self, index):
        number = 0
        while self.running:
            number += 1
            path = f"/stock/{index}-{number}"
            code, text = self.send(path)
            if code == 200 and json.loads(text)["path"] != path:
                self.wrong += 1
            self.note(code)
            if number % 5 == 0:
                self.orders += 1
                order = {"Idempotency-Key": f"f{index}-{number}"}
                for _ in range(2):
                    self.note(("order", self.send("/orders", "POST", "1 crate", order)[0]))
            time.sleep(self.pause)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join(60)


def doubled(fleet):
    runs = {}
    for name, server in fleet.servers.items():
        if server["service"] == "ordering":
            for order, count in fleet.server_load(name).get("runs_by_order", {}).items():
                runs[order] = runs.get(order, 0) + count
    return {order: count for order, count in runs.items() if count > 1}


def serves(fleet, name):
    return fleet.request(name, "/stock/probe", KEY, timeout=4)[0] == 200


def bring_up(fleet):
    fleet.start_all()
    fleet.carry_out("load-config", fleet.fleet_file([("bakery", 300, 150), ("clinic", 50, 25)], ROUTES))
    fleet.carry_out("issue-key", "bakery", f"--key={KEY}")
    fleet.wait("requests are served", lambda: all(serves(fleet, name) for name in fleet.instances), 60)


def run_under_load(fleet, title, act, names=("n1", "s1")):
    load = Load(fleet, list(names))
    time.sleep(2)
    start = time.monotonic()
    act()
    recovered = fleet.wait("requests are served again", lambda: serves(fleet, names[0]) or serves(fleet, names[-1]), 60)
    time.sleep(3)
    load.stop()
    check(f"{title}: every answer belongs to its request", load.wrong == 0, f"{load.wrong} mixed up")
    check(f"{title}: no order ran twice", not doubled(fleet), f"{load.orders} orders, each sent twice")
    print(f"     answers {dict(sorted(load.counts.items(), key=str))}; served again after {recovered:.1f} s; "
          f"lasted {time.monotonic() - start:.1f} s", flush=True)
    return load


def main():
    fleet = Fleet(ZONES, SERVICES, 23000, stop_grace_ms=2000)
    try:
        bring_up(fleet)
        run_under_load(fleet, "kill an instance", lambda: (fleet.signal("n3", signal.SIGKILL), time.sleep(3)))
        fleet.start_instance("n3")
        fleet.wait("the killed instance serves again", lambda: serves(fleet, "n3"), 60)

        load = Load(fleet, ["n2"])
        time.sleep(1)
        fleet.signal("n2", signal.SIGTERM)
        time.sleep(1)
        load.stop()
        code = fleet.processes["n2"].wait(40)
        cut = load.counts.get(0, 0)
        check("a planned stop under load cuts no request", cut == 0 and code == 0, f"{load.counts}, exit {code}")
        fleet.start_instance("n2")
        fleet.wait("the stopped instance serves again", lambda: serves(fleet, "n2"), 60)

        def freeze():
            fleet.signal("n1", signal.SIGSTOP)
            time.sleep(15)
            fleet.signal("n1", signal.SIGCONT)

        run_under_load(fleet, "freeze an instance past its lease", freeze, names=("s1", "n2"))
        fleet.wait("the frozen instance serves again", lambda: serves(fleet, "n1"), 60)

        fleet.control(fleet.servers["stock-1"]["address"], silent_path="/stock/silent")
        code, text, _ = fleet.request("n1", "/stock/silent", KEY, headers={"X-Request-Timeout-Ms": "1500"})
        check("a server that never answers ends in a truthful answer",
              code == 200 or json.loads(text)["outcome"] in ("unknown", "not_run"), code)

        def store_down():
            fleet.control(fleet.platform, down=True)
            time.sleep(60)
            code, text, _ = fleet.request("n1", "/orders", KEY, "POST", "x", {"Idempotency-Key": "down-1"}, timeout=20)
            check("an order is refused as not run while the store is down",
                  code == 503 and json.loads(text)["outcome"] == "not_run", code)
            check("keyed requests go on while the store is down", serves(fleet, "n1") and serves(fleet, "s1"))
            fleet.control(fleet.platform, down=False)

        run_under_load(fleet, "store down for a minute", store_down)
        fleet.control(fleet.platform, down=False, lose_answers=3)
        load = Load(fleet, ["n1", "s1"])
        time.sleep(5)
        load.stop()
        check("store that loses answers: no order ran twice", not doubled(fleet), f"{load.orders} orders")

        start = time.monotonic()
        fleet.run("confirm", fleet.plan("withdraw-key", KEY)["id"])
        fleet.wait("the key is refused everywhere",
                   lambda: all(fleet.request(name, "/stock/1", KEY)[0] == 401 for name in fleet.instances))
        check("after all that a withdrawn key stops everywhere within 5 s", time.monotonic() - start <= 5,
              f"{time.monotonic() - start:.1f} s")
    except (RuntimeError, KeyError, ValueError, OSError) as error:
        check(f"the run came to its end: {error}", False)
    finally:
        fleet.stop()
    print(f"     logs in {fleet.folder}")
    print("nothing promised broke" if failures == 0 else f"{failures} checks failed")
    return 0 if failures == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
