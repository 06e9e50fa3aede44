"""One answer of the store to the holder of a tenant's rate is lost, and the write is done 5.6 to 6 s later; then the tenant
sends more than its rate."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import bed as B

RATE, BURST, WINDOW = 100, 100, 5.0          # the sites' bursts equal the rates
LIMIT = (RATE * WINDOW + BURST) * 1.1 + 20   # quota-overage 0.1, quota-tolerance 20
# The machine that holds the tenant's rate. Which one it is follows from the names: the log of the instances says
# `decided_by=front-2`.
HOLDER = "front-2"
PERIOD = 2.0                                 # seconds between two reads of the instances' own table
PRESS = 1.5 * RATE                           # requests a second to each of the three machines


async def case(bed, trouble):
    unanswered = set()
    for n, zone in ((1, "z1"), (2, "z1"), (3, "z2"), (4, "z2")):
        server = B.Server(bed, f"i-{n}", "stock", zone, work=0.02)
        bed.servers.append(server)
        await server.start()
    bed.store.write("op", "config", B.configuration(3, [B.rule("r", "/stock/", "stock")], ["stock"],
                                                    [B.tenant("acme", "key-acme", RATE, BURST)]))
    for name, zone in (("front-1", "z1"), ("front-2", "z1"), ("front-3", "z2")):
        instance = B.Instance(bed, name, zone, "north")
        bed.instances.append(instance)
        await instance.start()
    await bed.wait_ready()

    def send(instance):
        task = asyncio.ensure_future(bed.request(instance, "GET", "/stock/1", "key-acme", deadline_ms=2000))
        unanswered.add(task)
        task.add_done_callback(unanswered.discard)

    async def press(per_s, seconds):
        begin, sent = B.now(), 0
        while B.now() < begin + seconds:
            while sent < (B.now() - begin) * per_s:
                for instance in bed.instances:
                    send(instance)
                sent += 1
            await asyncio.sleep(0.002)

    await press(2, 9)
    landed = asyncio.Event()

    def delay_write(machine, rows):
        """Picks a write of the holder's own row that can be done 5.6 to 6 s later and just before a read."""
        if machine != HOLDER or landed.is_set() or not rows or not rows[0]["key"].endswith("/" + HOLDER):
            return None
        read = bed.store.read_at.get(rows[0]["table-name"], 0)
        for n in range(1, 5):
            delay = read + n * PERIOD - 0.15 - B.now()
            if 5.6 <= delay <= 6.0:
                bed.store.delay_write = None
                bed.record.add("answer of the store lost", machine=machine, done_after_s=round(delay, 3))
                asyncio.get_running_loop().call_later(delay, landed.set)
                return delay
        return None

    if trouble:
        bed.store.delay_write = delay_write
        pressing = asyncio.ensure_future(press(2, 45))
        try:
            await asyncio.wait_for(landed.wait(), 45)
        except asyncio.TimeoutError:
            raise B.CannotRun("no write fitted")
        pressing.cancel()
        bed.record.add("late write done")
        await asyncio.sleep(1.5)
    else:
        await press(2, 12)
    bed.record.add("the tenant sends much")
    await press(PRESS, 6)
    await asyncio.sleep(2.5)
    # A request counts if it was both sent and run inside the window.
    sent = bed.sent_at
    runs = sorted((run[3], sent[run[0]]) for server in bed.servers for run in server.runs)
    most = 0
    for index, (end, _) in enumerate(runs):
        begin = end - WINDOW
        inside = [1 for arrived, at in runs[max(0, index - 2000):index + 1] if arrived > begin and at > begin]
        most = max(most, len(inside))
    print(f"most requests sent and run in {WINDOW:.0f} s: {most}, limit {LIMIT:.0f}")
    bed.record.add("most requests sent and run in a window", count=most, limit=LIMIT)
    if most > LIMIT:
        return f"QUOTA: {most} requests ran in {WINDOW:.0f} s, {LIMIT:.0f} are allowed"
    return None

B.run(os.path.dirname(os.path.abspath(__file__)), {"z1": "north", "z2": "north"}, case)
