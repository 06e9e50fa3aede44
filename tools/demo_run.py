"""The demonstration that tools/demo runs: four instances in two regions and three availability zones."""

import json
import sys
import time

from fleet import ROUTES, SERVICES, ZONES, Fleet, http

KEY = "demo-caller-key-7f3a"
failures = 0


def check(text, good, detail=""):
    global failures
    failures += 0 if good else 1
    print(f"{'ok  ' if good else 'FAIL'} {text}{' (' + str(detail) + ')' if detail != '' else ''}", flush=True)


def burst(fleet, name, count, path="/stock/1"):
    codes = {}
    for _ in range(count):
        code, _, _ = fleet.request(name, path, KEY)
        codes[code] = codes.get(code, 0) + 1
    return codes


def show(fleet):
    took = fleet.start_all()
    print(f"     4 instances, 2 regions, 3 zones, 5 backend servers up after {took:.1f} s")

    plan = fleet.plan("load-config", fleet.fleet_file([("bakery", 200, 100), ("clinic", 50, 25)], ROUTES))
    check("a plan changes nothing before it is confirmed", fleet.status("n1")["configuration"] == 0, plan["state"])
    fleet.run("confirm", plan["id"])
    took = fleet.wait("the configuration is everywhere",
                      lambda: all(fleet.status(name).get("configuration") == 1 for name in fleet.instances))
    check("a confirmed configuration is in force at all instances", took <= 7, f"{took:.1f} s")

    issued = fleet.carry_out("issue-key", "bakery", f"--key={KEY}")
    check("a key was issued", issued["state"] == "finished", issued["result"])
    fleet.wait("shares are divided", lambda: all(fleet.status(name).get("share_epoch") for name in fleet.instances))

    answers = [json.loads(fleet.run("lookup", client, "--json", via="s1"))["instances"]
               for client in ("10.1.0.1", "10.2.0.1")]
    check("look-ups put the nearest region first", answers[0][0]["zone"].startswith("north")
          and answers[1][0]["zone"].startswith("south"), f"{answers[0][0]['name']} and {answers[1][0]['name']}")

    fleet.wait("requests are served", lambda: all(fleet.request(name, "/stock/1", KEY)[0] == 200
                                                  for name in fleet.instances), 60)
    for server in fleet.servers.values():
        fleet.control(server["address"], forbidden_text=KEY)
    code, body, _ = fleet.request("n1", f"/stock/7?key={KEY}&page=2", KEY, headers={"Cookie": f"k={KEY}"})
    seen = sum(fleet.server_load(name)["forbidden_seen"] for name in fleet.servers)
    check("a request with its key in header, cookie and query is answered", code == 200, json.loads(body)["query"])
    check("no backend server saw the key", seen == 0, f"{seen} times")
    check("a request without a key is refused", fleet.request("n1", "/stock/7")[0] == 401)
    check("an open route needs no key", fleet.request("n1", "/about")[0] == 200)

    order = {"Idempotency-Key": "order-1"}
    first = fleet.request("n1", "/orders", KEY, "POST", "2 crates", order)
    again = fleet.request("s1", "/orders", KEY, "POST", "2 crates", order)
    runs = sum(fleet.server_load(name)["runs_by_order"].get("order-1", 0) for name in fleet.servers)
    check("an order sent twice, through two regions, ran once", (first[0], again[0], runs) == (200, 200, 1),
          f"{runs} run, both callers got {first[0]}")

    counts = burst(fleet, "n2", 60)
    check("60 requests within the rate are served", counts.get(200) == 60, counts)

    moved = fleet.plan("shift", "bakery", "--from=north", "--to=south", "--share=0.2", "--steps=2", "--by=+300s")
    print("     plan of a shift: " + "; ".join(moved["changes"] + moved["caps"]))
    fleet.run("confirm", moved["id"])
    time.sleep(3)
    burst(fleet, "n1", 40)
    fleet.run("take-back", moved["id"])
    fleet.run("watch", moved["id"], "--for-s=60", expect=None)
    ended = json.loads(fleet.run("show", moved["id"], "--json"))
    check("a shift was confirmed and taken back", ended["state"] == "taken_back", ended["result"])

    stale = fleet.plan("set-rate", "clinic", "--rate=60", "--burst=30")
    fleet.carry_out("set-rate", "clinic", "--rate=70", "--burst=35", via="s1")
    text = fleet.run("confirm", stale["id"], expect=1)
    check("a plan from an older configuration is refused", "refused" in text, text.strip().splitlines()[-1].strip())

    drained = fleet.carry_out("drain", "stock-1")
    before = fleet.server_load("stock-1")["served"]
    burst(fleet, "n1", 20)
    check("a drained backend server gets nothing", fleet.server_load("stock-1")["served"] == before
          and drained["state"] == "finished", drained["result"])

    plan = fleet.plan("withdraw-key", KEY)
    start = time.monotonic()
    fleet.run("confirm", plan["id"])
    fleet.wait("the key is refused everywhere",
               lambda: all(fleet.request(name, "/stock/1", KEY)[0] == 401 for name in fleet.instances))
    check("a withdrawn key stops everywhere within 5 s", time.monotonic() - start <= 5,
          f"{time.monotonic() - start:.1f} s")

    fleet.processes["n3"].terminate()
    code = fleet.processes["n3"].wait(30)
    check("an instance stops when asked to", code == 0, f"exit {code}")
    spans = open(f"{fleet.folder}/n1.spans.jsonl").read().count('"spanId"')
    metrics = http("GET", f"http://{fleet.instances['n1']['admin']}/metrics")[1]
    check("spans and metrics are there", spans > 0 and "redwingrack_requests_total" in metrics, f"{spans} spans")


def main():
    fleet = Fleet(ZONES, SERVICES, 21000)
    try:
        show(fleet)
    except (RuntimeError, KeyError, ValueError, OSError) as error:
        check(f"the demonstration ran to its end: {error}", False)
    finally:
        fleet.stop()
    print(f"     everything stopped; logs in {fleet.folder}")
    print("all steps did what they should" if failures == 0 else f"{failures} steps failed")
    return 0 if failures == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
