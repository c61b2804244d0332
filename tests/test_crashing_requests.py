"""A request that ends every server that begins it must stop being sent to servers, whichever router it comes to.

Without that, such a request that is repeated by its caller ends all servers of a service, and nobody is served.

  tests/test_crashing_requests.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import time
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S, RNG

ROUTERS = 4
AGENTS = 2
SERVERS = 8
CRASHES = 3       # after which a request is known to crash servers
SETTLE_S = 3      # until all routers in contact must know it
BACK_S = 1.0      # from the end of a server until another one starts at its address
RETRIES_MAX = 3   # arrivals at servers allowed after that
REPEATS = 24      # of the request, after that
CRASH = b"crash"  # a request with this in its body or path ends its server


class Server(standin.Backend):
    """Ends as it begins a request that says so; another one starts at its address a little later."""

    def __init__(self, fleet, number, port):
        self.fleet, self.number, self.life = fleet, number, 0
        super().__init__(f"web-{number}-0", "web", port, standin.Record(), RNG)

    async def handle(self, req, reader, writer):
        self.fleet.arrivals += 1
        if CRASH in req.body or CRASH in req.path.encode():
            self.fleet.crashes += 1
            asyncio.ensure_future(self.end())
            return await asyncio.sleep(LIMIT_S)  # its connection is reset
        await super().handle(req, reader, writer)

    async def end(self):
        if self.crashed:
            return
        await asyncio.sleep(0.02)
        self.crash()
        await asyncio.sleep(BACK_S)
        self.fleet.store.put("servers", self.id, None)
        self.life += 1
        self.id, self.crashed = f"web-{self.number}-{self.life}", False
        await self.listen()
        self.fleet.store.put("servers", self.id, self.row())


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder):
        super().__init__(folder, ROUTERS, AGENTS, backends=SERVERS)
        self.arrivals = self.crashes = 0
        self.servers = [Server(self, n, port) for n, port in enumerate(self.backend_ports)]

    async def start(self):
        for s in self.servers:
            await s.listen()
            self.store.put("servers", s.id, s.row())
        self.store.put("op", "config", {
            "Version": 1, "Tenants": [], "Services": [{"Name": "web", "HealthPath": "/health"}, standin.ModelServer.SERVICE],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Routes": [standin.route("safe", "safe", "web"), standin.route("stream", "streaming", "web", Resumable=True, gap_aim_ms=400)]})
        await super().start()


class CrashingRequests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName))
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()
        self.sent = 0
        self.assertTrue(await self.fleet.all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")

    async def asyncTearDown(self):
        self.assertEqual(self.fleet.ended(), [], f"ended by themselves; logs: {self.fleet.folder}")

    async def send(self, router, method, path, body=b""):
        self.sent += 1
        return await self.fleet.exchange(router, method, path, f"r-{self.sent}", body)

    async def crash_three(self, method, path, body):
        end = time.monotonic() + LIMIT_S
        while self.fleet.crashes < CRASHES:
            self.assertLess(time.monotonic(), end, "too few servers ended")
            await self.send(self.fleet.routers[self.sent % ROUTERS], method, path, body)

    async def check_refused(self, routers, method, path, body):
        before = self.fleet.crashes
        statuses = [await self.send(routers[n % len(routers)], method, path, body) for n in range(REPEATS)]
        self.assertLessEqual(self.fleet.crashes - before, RETRIES_MAX, f"arrivals after {CRASHES} crashes; statuses {statuses}")

    async def check_others_are_served(self):
        end = time.monotonic() + LIMIT_S
        while any(s.crashed for s in self.fleet.servers) and time.monotonic() < end:
            await asyncio.sleep(LOOK_S)
        self.assertTrue(await self.fleet.all_answer("GET", "/safe/usual", "others"))
        self.assertTrue(await self.fleet.all_answer("POST", "/stream/usual", "others"))

    async def check(self, method, path, body=b""):
        await self.crash_three(method, path, body)
        await asyncio.sleep(SETTLE_S)
        await self.check_refused(self.fleet.routers, method, path, body)
        await self.check_others_are_served()

    async def test_a_stream_that_crashes_servers_stops_being_sent(self):
        await self.check("POST", "/stream/x", CRASH)

    async def test_a_request_without_body_that_crashes_servers_stops_being_sent(self):
        await self.check("GET", "/safe/" + CRASH.decode())

    async def test_a_router_that_starts_again_learns_what_crashes_servers(self):
        await self.crash_three("POST", "/stream/x", CRASH)
        await asyncio.sleep(SETTLE_S)
        first = self.fleet.routers[0]
        first.kill()
        first.start()
        self.assertTrue(await self.fleet.all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")
        await asyncio.sleep(SETTLE_S)
        await self.check_refused([first], "POST", "/stream/x", CRASH)


if __name__ == "__main__":
    platform_fleet.main()
