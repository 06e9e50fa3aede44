"""The platform's store comes back from a copy some seconds old while six instances serve. Exit 0: all held; 1: a finding;
2: a case could not run.

Run it with: tools/restores [SEED...]. TROUBLE=0 leaves the restore out; CASES="configuration servers" picks cases.
"""

import asyncio
import collections
import os
import random
import signal
import sys
import tempfile

from restorable_store import B, RestorableStore

ZONES = {"za": "north", "zb": "south"}
HEARTBEAT = 1.5  # heartbeat-interval-s
# Bounds of the site files, in seconds from the store's acknowledgement (SYSTEM.md, "Bounds").
CONFIGURATION, REVOCATION, DRAIN, EVACUATION = 2.5, 5.0, 2.5, 5.0
# From this many seconds after the return on, the rules count each machine as in touch with the store (contact-s).
CONTACT = 4.0
WATCHED = 6.0  # seconds for which a configuration is checked, from its bound on
# What was lost is written again within this many seconds of the return (docs of the platform: "about two seconds").
WRITTEN_AGAIN = 2.0
# A server that joined is to get requests between these two times after its acknowledgement: configuration-apply-s + 2 s, then
# four seconds.
JOINED, JOINED_END = 4.5, 8.5
CALLS_WINDOW = 8.0
MOST_CALLS = 2.0  # calls after the return, as a multiple of those before the restore
SETTLE = 5.0  # between the last instance's readiness and the calls that count as usual
CASE_TIMEOUT = 120.0


class Server(B.Server):
    """A backend server whose entry in the store has a state."""

    state = "ready"

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT)

    def report(self):
        self.sequence += 1
        return self.bed.store.write("servers", self.name, {
            "address": self.address, "born": self.born,
            "information": {"service": self.service, "version": self.version, "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold-remaining-s": 0}})

    async def serve(self, reader, writer):
        try:
            await super().serve(reader, writer)
        except asyncio.CancelledError:
            pass  # the run has ended; asyncio would print a trace for each open connection

    def deregister(self):
        """Removes the entry. The server goes on answering, as servers do for a while."""
        self.beats.cancel()
        self.bed.store.write("servers", self.name, None, remove=True)


class Run:
    """One case with one seed."""

    def __init__(self, bed, draw, trouble):
        self.bed, self.store, self.draw, self.trouble = bed, bed.store, draw, trouble
        self.asked = []  # (time of sending, instance, path, status, service that ran it)
        self.findings, self.notes, self.tasks, self.asking = [], [], [], True

    async def start(self, requests, pause):
        """Starts servers and instances and sends each of `requests`, (path, key), to each instance every `pause` seconds."""
        for zone in ZONES:
            for service in ("stock", "fresh"):
                for n in (1, 2):
                    self.bed.servers.append(Server(self.bed, f"i-{service}-{zone}-{n}", service, zone))
                    await self.bed.servers[-1].start()
        self.configure(3)
        for zone, region in ZONES.items():
            for n in (1, 2, 3):
                self.bed.instances.append(B.Instance(self.bed, f"front-{zone}-{n}", zone, region))
                await self.bed.instances[-1].start()
        await self.bed.wait_ready(30)
        for instance in self.bed.instances:
            for path, key in requests:
                self.tasks.append(asyncio.ensure_future(self.ask(instance, path, key, pause)))
        self.cut = B.now() + SETTLE + CALLS_WINDOW

    async def ask(self, instance, path, key, pause):
        while self.asking:
            sent = B.now()
            answer = await self.bed.request(instance, "GET", path, key, deadline_ms=1500)
            self.asked.append((sent, instance.name, path, answer.status, answer.headers.get("x-service")))
            await asyncio.sleep(pause)

    async def until(self, moment):
        await asyncio.sleep(max(0, moment - B.now()))

    def configure(self, version):
        """Writes configuration 3, 5 (adds a route) or 7 (adds a route, moves one to another service, removes a key)."""
        rules = [B.rule("r-stock", "/stock/", "stock"),
                 B.rule("r-news", "/news/", "fresh" if version >= 7 else "stock", anonymous=True)]
        rules += [B.rule("r-fifth", "/fifth/", "stock")] if version >= 5 else []
        rules += [B.rule("r-extra", "/extra/", "stock")] if version >= 7 else []
        tenants = [B.tenant("acme", "key-acme")] + ([B.tenant("gone", "key-gone")] if version < 7 else [])
        written = self.store.write("op", "config", B.configuration(version, rules, ["stock", "fresh"], tenants))
        self.bed.record.add("configuration acknowledged", configuration=version, version=written)
        return written

    async def restore(self, age, written_again):
        """The store comes back as a copy. What the operator wrote since is written again at moments between the two numbers of
        seconds in `written_again`, or at once if it is None. Returns the newest version from before, None with TROUBLE=0."""
        away, before = self.draw.uniform(0.3, 0.6), None
        if self.trouble:
            self.bed.record.add("store away", version=self.store.version)
            before = await self.store.restore(age, away)
            self.bed.record.add("store back", version=self.store.version, lost=before - self.store.version)
            self.notes.append(f"copy {age:.1f} s old, versions {before} to {self.store.version}")
        else:
            await asyncio.sleep(away)
        for key in self.store.lost():
            delay = 0 if written_again is None else self.draw.uniform(*written_again)
            self.bed.record.add("row lost", row="/".join(key), written_again_after=round(delay, 3))
            if written_again is None:
                self.store.write_again(key)
            else:
                asyncio.get_running_loop().call_later(delay, self.store.write_again, key)
        self.back = B.now()
        return before

    async def end(self, moment):
        """Ends the load at `moment` and checks the number of calls to the store."""
        await self.until(max(moment, self.back + CALLS_WINDOW))
        self.asking = False
        await asyncio.gather(*self.tasks)
        count = lambda begin: sum(begin <= call[0] < begin + CALLS_WINDOW for call in self.store.calls)
        usual, after = count(self.cut - CALLS_WINDOW), count(self.back)
        if after > MOST_CALLS * usual:
            self.findings.append(f"{after} calls in {CALLS_WINDOW:.0f} s, {usual} before")
        kinds = collections.Counter(f"{path} {status}" for sent, _, path, status in self.store.calls
                                    if self.back <= sent < self.back + CALLS_WINDOW)
        self.bed.record.add("calls after the return", **kinds)
        self.notes.append(f"calls {usual} -> {after}, 410s {sum(call[3] == 410 for call in self.store.calls)}, HistoryLost "
                          f"{sum(self.count_in_log(instance, 'HistoryLost') for instance in self.bed.instances)}")

    def count_in_log(self, instance, event):
        with open(os.path.join(self.bed.folder, instance.name + ".log"), errors="replace") as file:
            return sum(event in line for line in file)

    def find(self, what, moments, acknowledged, where=()):
        """Adds a finding if `moments` holds any."""
        if moments:
            in_touch = sum(moment >= self.back + CONTACT for moment in moments)
            at = f" by {len(set(where))} instances" if where else ""
            self.findings.append(f"{what} {len(moments)}x{at} ({in_touch} in touch), {min(moments) - acknowledged:.1f} to "
                                 f"{max(moments) - acknowledged:.1f} s after the acknowledgement")

    def check_configuration(self, acknowledged):
        watched = [request for request in self.asked
                   if acknowledged + CONFIGURATION <= request[0] < acknowledged + CONFIGURATION + WATCHED]
        revoked = lambda sent: sent >= acknowledged + REVOCATION
        stale = {"new route refused": lambda sent, path, status, service: path == "/extra/1" and status in (401, 403, 404),
                 "moved route at the old service":
                     lambda sent, path, status, service: path == "/news/1" and status == 200 and service != "fresh",
                 "removed key accepted":
                     lambda sent, path, status, service: path == "/stock/1" and status == 200 and revoked(sent)}
        for what, is_stale in stale.items():
            found = [(sent, name) for sent, name, *rest in watched if is_stale(sent, *rest)]
            self.find(what, [sent for sent, _ in found], acknowledged, [name for _, name in found])
        other = sum(status not in (200, 401, 403, 404) for _, _, _, status, _ in watched)
        self.notes.append(f"{len(watched)} requests, {other} with another status")


async def configuration(run, restores=1, reused=False):
    """r5 is lost and written again; r7 comes after the return."""
    await run.start([("/extra/1", "key-acme"), ("/news/1", None), ("/stock/1", "key-gone")], 0.2)
    age, draw = run.draw.uniform(2.5, 3.5), run.draw
    await run.until(run.cut - draw.uniform(0.8, 1.8))
    run.configure(5)
    await run.until(run.cut)
    before = await run.restore(age, None if reused else (0.1, 0.4))
    for _ in range(restores - 1):
        await asyncio.sleep(draw.uniform(1.5, 3.5))
        before = await run.restore(draw.uniform(2.5, 3.5), (0.1, 0.4))
    use_up = lambda: run.store.commit([("other", f"row-{run.store.version}", b"{}")])
    if reused:
        # No instance reads between the return and the last of these writes: r7 gets one of the lost numbers, and the newest
        # version is above all positions from before.
        for _ in range(draw.randrange(1, 4)):
            use_up()
    else:
        await asyncio.sleep(draw.uniform(0.5, 1.5))
    version, acknowledged = run.configure(7), B.now()
    if reused:
        for _ in range(max(5, (before or 0) + 5 - run.store.version)):
            use_up()
    run.notes.append(f"r7 is version {version}")
    await run.end(acknowledged + CONFIGURATION + WATCHED)
    run.check_configuration(acknowledged)


async def numbers(run):
    """Another writer uses up the lost numbers before the instances read again."""
    await configuration(run, reused=True)


async def twice(run):
    """A second restore within five seconds."""
    await configuration(run, restores=2)


async def servers(run):
    """A server drains and is removed, another one joins; the copy shows neither."""
    await run.start([("/stock/1", "key-acme")], 0.05)
    leaver, joiner = run.bed.servers[0], Server(run.bed, "i-stock-za-joined", "stock", "za")
    lead = run.draw.uniform(1.8, 2.2)
    await run.until(run.cut - lead)
    leaver.state, drained = "draining", B.now()
    leaver.report()
    await asyncio.sleep(0.2)
    run.bed.servers.append(joiner)
    await joiner.start()
    await run.until(drained + 1.2)
    leaver.deregister()
    await run.until(run.cut)
    await run.restore(lead + run.draw.uniform(0.3, 0.8), (0.5, WRITTEN_AGAIN))
    await run.end(run.back + WRITTEN_AGAIN + JOINED_END)
    began = [begin for *_, begin, _ in leaver.runs]
    run.find(f"{leaver.name} got a request after its drain", [begin for begin in began if begin > drained + DRAIN], drained)
    in_window = lambda begin: JOINED <= begin - run.back - WRITTEN_AGAIN < JOINED_END
    got = {server.name: sum(in_window(begin) for *_, begin, _ in server.runs)
           for server in run.bed.servers if server.service == "stock"}
    if not got[joiner.name]:
        run.findings.append(f"{joiner.name} got no request")
    run.notes.append(f"{len(began)} requests at {leaver.name}; in the last {JOINED_END - JOINED:.0f} s {got}")


async def evacuation(run):
    """The row of an evacuation is missing after the return until it is written again."""
    await run.start([("/stock/1", "key-acme")], 0.05)
    lead = run.draw.uniform(4.0, 4.6)
    await run.until(run.cut - lead)
    run.store.write("op", "evacuate/zb", {})
    acknowledged = B.now()
    await run.until(run.cut)
    await run.restore(lead + run.draw.uniform(0.3, 0.8), (0.5, WRITTEN_AGAIN))
    await run.end(run.back + CALLS_WINDOW)
    began = [begin for server in run.bed.servers if server.zone == "zb" for *_, begin, _ in server.runs]
    run.find("the zone got a request", [begin for begin in began if begin > acknowledged + EVACUATION], acknowledged)
    ran = sum(len(server.runs) for server in run.bed.servers)
    answered = [status for sent, _, _, status, _ in run.asked if sent > run.back]
    run.notes.append(f"{len(began)} of {ran} requests in the zone; after the return {answered.count(200)} of "
                     f"{len(answered)} answered 200; missing from {run.back - acknowledged:.1f} s on")


CASES = {case.__name__: case for case in (configuration, numbers, twice, servers, evacuation)}


async def play(name, seed, folder, trouble):
    """Plays a case and prints its line. Returns 0, 1 for a finding or 2 if it could not run."""
    os.mkdir(folder)
    bed = B.Bed(folder, ZONES)
    os.rmdir(bed.folder)
    bed.folder, bed.store = folder, RestorableStore()
    run = Run(bed, random.Random(f"{name} {seed}"), trouble)
    result = 2
    try:
        await asyncio.wait_for(CASES[name](run), CASE_TIMEOUT)
        result = 1 if run.findings else 0
    except (B.CannotRun, OSError, asyncio.TimeoutError) as error:
        run.notes.append(f"could not run: {error!r}")
    finally:
        bed.stop()
        bed.record.add("result", findings=run.findings, notes=run.notes)
        bed.record.close()
    verdict = ["held", "BROKEN: " + "; ".join(run.findings), "not run"][result]
    print(f"{name} seed={seed}{'' if trouble else ' TROUBLE=0'}: {verdict} | {'; '.join(run.notes)}", flush=True)
    return result


def main():
    seeds = [int(seed) for seed in sys.argv[1:]] or [1, 2, 3]
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended then, too
    folder = tempfile.mkdtemp(prefix="redwingrack-restores-")
    results = [asyncio.run(play(name, seed, os.path.join(folder, f"{name}-{seed}"), trouble))
               for name in os.environ.get("CASES", " ".join(CASES)).split() for seed in seeds]
    print(f"logs in {folder}")
    return max(results, key=lambda result: [0, 2, 1].index(result))


if __name__ == "__main__":
    sys.exit(main())
