"""A request that crashes every server that runs it is blocked at all routers.

Guards against an outage: retries of such a request would crash all servers of a service.

  tests/test_crashing_requests.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import time
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S

ROUTERS = 4
AGENTS = 2
SERVERS = 8
CRASHES_TO_BLOCK = 3     # crashes after which a request is blocked
PROPAGATION_S = 3        # time for a block to reach all connected routers
RESTART_DELAY_S = 1.0    # from the crash of a server until a new one starts at its address
RETRIES_MAX = 3          # further crashes allowed
ATTEMPTS = 24            # sent after the block
ROUTES = [standin.route("safe", "safe", "web"), standin.route("stream", "streaming", "web", Resumable=True, gap_aim_ms=400)]
CRASH_MARKER = b"crash"  # in the body or path of requests that crash servers


class Server(platform_fleet.ReturningServer):
    """Crashes when it receives a request with CRASH_MARKER; a new server starts at its address after RESTART_DELAY_S."""

    def crashes_on(self, req):
        return CRASH_MARKER in req.body or CRASH_MARKER in req.path.encode()

    async def handle(self, req, reader, writer):
        self.fleet.arrivals += 1
        if self.crashes_on(req):
            self.fleet.crashes += 1
            asyncio.ensure_future(self.crash_and_restart())
            return await asyncio.sleep(LIMIT_S)  # until the crash resets the connection
        await super().handle(req, reader, writer)

    async def crash_and_restart(self):
        if self.crashed:
            return
        await asyncio.sleep(0.02)
        self.crash()
        await self.come_back(RESTART_DELAY_S)


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder, server=Server):
        super().__init__(folder, ROUTERS, AGENTS, backends=SERVERS)
        self.arrivals = self.crashes = 0
        self.servers = [server(self, n, port) for n, port in enumerate(self.backend_ports)]


class CrashingRequests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName))
        self.addCleanup(self.fleet.stop)
        await self.fleet.start_with(self.fleet.servers, ROUTES)
        self.sent = 0
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")

    async def asyncTearDown(self):
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    async def send(self, router, method, path, body=b""):
        self.sent += 1
        return await self.fleet.send_request(router, method, path, f"r-{self.sent}", body)

    async def crash_until_blocked(self, method, path, body):
        end = time.monotonic() + LIMIT_S
        while self.fleet.crashes < CRASHES_TO_BLOCK:
            self.assertLess(time.monotonic(), end, "too few servers crashed")
            await self.send(self.fleet.routers[self.sent % ROUTERS], method, path, body)

    async def check_not_sent(self, routers, method, path, body):
        before = self.fleet.crashes
        statuses = [await self.send(routers[n % len(routers)], method, path, body) for n in range(ATTEMPTS)]
        self.assertLessEqual(self.fleet.crashes - before, RETRIES_MAX, f"arrivals after {CRASHES_TO_BLOCK} crashes; statuses {statuses}")

    async def check_other_requests_are_served(self):
        end = time.monotonic() + LIMIT_S
        while any(s.crashed for s in self.fleet.servers) and time.monotonic() < end:
            await asyncio.sleep(LOOK_S)
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual", "others"))
        self.assertTrue(await self.fleet.wait_until_all_answer("POST", "/stream/usual", "others"))

    async def check(self, method, path, body=b""):
        await self.crash_until_blocked(method, path, body)
        await asyncio.sleep(PROPAGATION_S)
        await self.check_not_sent(self.fleet.routers, method, path, body)
        await self.check_other_requests_are_served()

    async def test_stream_that_crashes_servers_is_blocked(self):
        await self.check("POST", "/stream/x", CRASH_MARKER)

    async def test_request_without_body_that_crashes_servers_is_blocked(self):
        await self.check("GET", "/safe/" + CRASH_MARKER.decode())

    async def test_restarted_router_receives_crash_records(self):
        await self.crash_until_blocked("POST", "/stream/x", CRASH_MARKER)
        await asyncio.sleep(PROPAGATION_S)
        first = self.fleet.routers[0]
        first.kill()
        first.start()
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")
        await asyncio.sleep(PROPAGATION_S)
        await self.check_not_sent([first], "POST", "/stream/x", CRASH_MARKER)


if __name__ == "__main__":
    platform_fleet.main()
