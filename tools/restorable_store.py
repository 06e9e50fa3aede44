"""A stand-in of the platform's store that can be away for a moment and come back from an older copy of itself."""

import asyncio
import collections
import json
import os
import sys
import urllib.parse

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "review", "lib"))
import bed as B

# Copies of the store, and its history of changes, are kept for this many seconds. Longer than any reader falls behind, so that
# a 410 in these runs means that versions have gone back.
KEPT = 30.0

Copy = collections.namedtuple("Copy", "at version rows")


class RestorableStore(B.Store):
    """Sends `Store-Era` in all answers and answers 410 to a read from a version that it does not have."""

    def __init__(self):
        super().__init__()
        self.era, self.away, self.oldest = 1, False, 0
        self.copies = collections.deque([Copy(B.now(), 0, {})])
        self.calls = []  # [time, machine, path, status]; status 0: no answer was sent
        self.wanted = {}  # by (table, key): what the operator and the servers wrote last; None: removed
        self.connections = {}  # task that serves the connection: its writer
        self.transaction = asyncio.Lock()

    def write(self, table, key, value, remove=False):
        """A write of the operator or of a server. Returns None, with nothing done, while the store is away."""
        if self.away:
            return None
        self.wanted[table, key] = None if remove else json.dumps(value).encode()
        return super().write(table, key, value, remove)

    def commit(self, writes):
        version = super().commit(writes)
        self.copies.append(Copy(B.now(), version, dict(self.rows)))
        while self.copies[0].at < B.now() - KEPT:
            self.oldest = self.copies.popleft().version
        self.changes = [change for change in self.changes if change[0] > self.oldest]
        return version

    def lost(self):
        """Keys of what the operator wrote or removed, and of servers that were removed, that the rows do not show. Servers
        that are up are not listed: they write their entries again with their next heartbeats."""
        return [key for key, value in self.wanted.items()
                if self.rows.get(key, (None, 0))[0] != value and (key[0] == "op" or value is None)]

    def write_again(self, key):
        if self.away or key not in self.lost():
            return
        self.commit([(*key, self.wanted[key])])

    async def restore(self, age, away):
        """Closes all connections, stays away for `away` seconds and comes back as the copy that was `age` seconds old at the
        beginning. Returns the newest version from before."""
        self.away, before = True, self.version
        copy = [copy for copy in self.copies if copy.at <= B.now() - age][-1]
        for task, writer in list(self.connections.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.sleep(away)
        self.rows, self.version = dict(copy.rows), copy.version
        self.changes = [change for change in self.changes if change[0] <= copy.version]
        while self.copies[-1].version > copy.version:
            self.copies.pop()
        self.era += 1
        self.away = False
        return before

    async def serve(self, machine, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self.connections[task] = writer
        try:
            while (message := await B.read_message(reader)) is not None:
                line, _, body = message
                method, target, _ = line.split(" ")
                call = [B.now(), machine, target.split("?")[0], 0]
                self.calls.append(call)
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                answer.update({"schema-version": answer.get("schema-version", self.version),
                               "current-time-s": round(B.now() + 50, 4)})
                writer.write(B.response(status, {"Content-Type": "application/json", "Store-Era": self.era},
                                        json.dumps(answer).encode()))
                call[3] = status
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(task, None)
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        if url.path == "/-/rows-feed":
            after = int(dict(urllib.parse.parse_qsl(url.query))["after"])
            if after > self.version or after < self.oldest:
                return 410, {}
        if url.path == "/-/rows-tx":
            async with self.transaction:  # the check of the expected versions and the writes are one step
                return await super().answer(method, target, body)
        return await super().answer(method, target, body)
