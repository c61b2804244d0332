"""Long declarations reach every router of a region, though few of them read them from the store.

What happened: after a change of the declarations, routers in regions without the store went on by older ones for more than the three seconds
allowed; while changes came 0.2 s apart, proper requests got 404. Each router read the whole row for itself, so a change took the bytes of the row x
its readers / the width of the link between the regions: 18 routers x 400 KB / 3 MB/s = 2.4 s, and 9 routers x 1.13 MB (4,200 routes) / 3 MB/s = 3.4 s
of the 3 s allowed, where the last of them had it 3.3 s after the first routers. Two readers would take 0.3 s and 0.75 s. So the bytes that the store
sends for a change must not grow with the routers, and who doesn't read must have the change all the same: while readers are refused, are frozen, or
changes come in series.

Real routers and agents on loopback, each with an IP number of its own as on boxes; the store and the servers are stand-ins.

  tests/test_long_declarations.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import json
import time
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S, RNG

ROUTERS = 12
AGENTS = 3
ROUTES = 1400
ROW_BYTES_MIN = 300_000  # of the declarations: a length at which a link's width matters
READERS_MAX = 4          # two leads, and two that may take over by mistake
SERIES = 12              # changes in a row
SERIES_PAUSE_S = 0.05    # between two of them
QUIET_S = 3              # who hasn't read a change this long after the last read isn't going to


def declarations(version):
    """Version N has the routes /added-1/ to /added-N/ besides the many that all have."""
    names = [f"catalogue-of-the-north-{n:04}" for n in range(ROUTES)] + [f"added-{n}" for n in range(1, version + 1)]
    return {"Version": version, "Tenants": [], "Services": [{"Name": "web", "HealthPath": "/health"}, standin.ModelServer.SERVICE],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Routes": [standin.route(name, "safe", "web") for name in names]}


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder):
        super().__init__(folder, ROUTERS, AGENTS, backends=1)
        self.version = 0                        # declared last
        self.row = 0                            # store version of the row that holds it

    async def start(self):
        web = standin.Backend("web-1", "web", self.backend_ports[0], standin.Record(), RNG)
        await web.listen()
        self.store.put("servers", web.id, web.row())
        self.declare()
        await super().start()

    def declare(self):
        self.version += 1
        self.row = self.store.put("op", "config", declarations(self.version))

    async def status(self, router):
        """Of a request for the newest route; 0: no answer."""
        try:
            reader, writer = await asyncio.open_connection(router.ip, self.http)
            writer.write(f"GET /added-{self.version}/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {router.name}\r\n\r\n".encode())
            head = await asyncio.wait_for(reader.readline(), 5)
            writer.close()
            return int(head.split()[1])
        except (OSError, IndexError, asyncio.TimeoutError):
            return 0

    async def behind(self, routers):
        """Those of them that don't serve the newest route."""
        statuses = await asyncio.gather(*[self.status(r) for r in routers])
        return [r.name for r, status in zip(routers, statuses) if status != 200]

    def rows_sent(self, since):
        """Declarations sent to routers, of versions from this row's on."""
        return [s for s in self.store.sent if s.key == "config" and s.version >= since and s.caller.startswith("router")]

    def readers(self):
        """Of the newest change."""
        names = {s.caller for s in self.rows_sent(self.row)}
        return [r for r in self.routers if r.name in names]

    async def quiet(self):
        """No declarations were sent for a while."""
        count, since = len(self.store.sent), time.monotonic()
        while time.monotonic() - since < QUIET_S:
            await asyncio.sleep(LOOK_S)
            if len(self.store.sent) != count:
                count, since = len(self.store.sent), time.monotonic()


class DeclarationsSpread(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName))
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()
        self.assertGreaterEqual(len(json.dumps(declarations(1))), ROW_BYTES_MIN)
        await self.all_serve(self.fleet.routers)
        await self.fleet.quiet()

    async def asyncTearDown(self):
        self.assertEqual(self.fleet.ended(), [], f"ended by themselves; logs: {self.fleet.folder}")

    async def all_serve(self, routers):
        end = time.monotonic() + LIMIT_S
        while late := await self.fleet.behind(routers):
            if time.monotonic() > end:
                self.fail(f"version {self.fleet.version} is never served by {late}; logs: {self.fleet.folder}")
            await asyncio.sleep(LOOK_S)

    def check_rows(self, since, most):
        sent = self.fleet.rows_sent(since)
        size = sum(s.size for s in sent)
        text = f"{len(sent)} rows of declarations, {size / 1e6:.1f} MB, sent to {len({s.caller for s in sent})} routers; {most} rows allowed"
        print(f"{self._testMethodName}: {text}", flush=True)
        self.assertLessEqual(len(sent), most, text)

    async def test_few_read_a_change(self):
        self.fleet.declare()
        await self.all_serve(self.fleet.routers)
        await self.fleet.quiet()
        self.check_rows(self.fleet.row, READERS_MAX)

    async def test_refused_routers_follow(self):
        self.fleet.declare()
        await self.all_serve(self.fleet.routers)
        readers = self.fleet.readers()
        others = [r for r in self.fleet.routers if r not in readers]
        refused = (readers[:2] + others + readers[2:])[:ROUTERS // 3]
        self.fleet.store.refused = {r.name for r in refused}
        self.fleet.declare()
        await self.all_serve(self.fleet.routers)
        self.assertEqual({r.name for r in self.fleet.readers()} & self.fleet.store.refused, set())
        self.fleet.store.refused = set()
        self.fleet.declare()
        await self.all_serve(self.fleet.routers)

    async def test_paused_readers_are_passed_by(self):
        for _ in range(2):  # the second time both leads are paused
            self.fleet.declare()
            await self.all_serve([r for r in self.fleet.routers if not r.paused])
            reader = next(r for r in self.fleet.readers() if not r.paused)
            reader.pause()
        self.fleet.declare()
        await self.all_serve([r for r in self.fleet.routers if not r.paused])
        for r in self.fleet.routers:
            r.go_on()
        await self.all_serve(self.fleet.routers)
        self.fleet.declare()
        await self.all_serve(self.fleet.routers)

    async def test_series_of_changes(self):
        first = self.fleet.row + 1
        for _ in range(SERIES):
            self.fleet.declare()
            await asyncio.sleep(SERIES_PAUSE_S)
        await self.all_serve(self.fleet.routers)
        await self.fleet.quiet()
        self.check_rows(first, READERS_MAX * SERIES)


if __name__ == "__main__":
    platform_fleet.main()
