"""A server that names a rate limit in its answers must not receive more than that from all routers together.

Guards against routers that ignore the limit, or that each apply the whole of it. A limited server has little load, so placement prefers it.

  tests/test_server_limits.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import time
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S, RNG

ROUTERS = 6
AGENTS = 2
SERVERS = 5
LIMITED_SERVERS = 2 # servers that name a limit in tests with both kinds
CALLERS = 12
RUN_S = 14
GRACE_S = 3         # from the first answer that names a limit until it must be observed
WINDOW_S = 4
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.5, 5  # allowed in a window: ALLOWED_FACTOR x limit x WINDOW_S + ALLOWED_EXTRA
CALLER_PAUSE_S = 0.02  # between two requests of a caller


class Server(standin.Backend):
    """Names its limit in requests per second, if it has one."""

    def __init__(self, number, port, limit):
        super().__init__(f"web-{number}", "web", port, standin.Record(), RNG)
        self.limit = limit
        self.arrivals = []  # times of requests
        self.named_at = None

    async def handle(self, req, reader, writer):
        self.arrivals.append(time.monotonic())
        echo = {"X_Request_Id": req.fields["x-request-id"], "X_Response_Seal": "seal"}
        if self.limit is not None:
            self.named_at = self.named_at or time.monotonic()
            echo["Server_Limit"] = f"{self.limit}"
        writer.write(standin.answer(200, b"whole", **echo))
        await writer.drain()

    def max_in_window(self):
        counted = [t for t in self.arrivals if t >= self.named_at + GRACE_S]
        return max((sum(t <= u < t + WINDOW_S for u in counted) for t in counted), default=0)


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder):
        super().__init__(folder, ROUTERS, AGENTS, backends=SERVERS)
        self.servers = [Server(n, port, None) for n, port in enumerate(self.backend_ports)]


class ServerLimits(unittest.IsolatedAsyncioTestCase):
    async def start(self, limits):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName))
        self.addCleanup(self.fleet.stop)
        await self.fleet.start_with(self.fleet.servers, [standin.route("safe", "safe", "web")])
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")
        for server, limit in zip(self.fleet.servers, limits, strict=True):  # before, one router that starts late would wait for all six to be served at once
            server.limit = limit

    async def asyncTearDown(self):
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    async def caller(self, number, end, statuses):
        router = self.fleet.routers[number % ROUTERS]
        while time.monotonic() < end:
            statuses.append(await self.fleet.send_request(router, "GET", "/safe/usual", f"r-{number}-{len(statuses)}"))
            await asyncio.sleep(CALLER_PAUSE_S)

    async def call(self, seconds):
        statuses = []
        end = time.monotonic() + seconds
        await asyncio.gather(*[self.caller(n, end, statuses) for n in range(CALLERS)])
        return statuses

    def check_limits(self):
        for s in self.fleet.servers:
            if s.limit is not None and s.named_at is not None:
                allowed = ALLOWED_FACTOR * s.limit * WINDOW_S + ALLOWED_EXTRA
                self.assertLessEqual(s.max_in_window(), allowed, f"{s.id}: requests in {WINDOW_S} s at a limit of {s.limit}/s")

    async def check_some_limited(self, limit):
        await self.start([limit] * LIMITED_SERVERS + [None] * (SERVERS - LIMITED_SERVERS))
        statuses = await self.call(RUN_S)
        self.check_limits()
        self.assertEqual([s for s in statuses if s != 200], [], "the servers without a limit serve the rest")

    async def test_routers_together_stay_within_one_request_per_second(self):
        await self.check_some_limited(1)

    async def test_routers_together_stay_within_five_requests_per_second(self):
        await self.check_some_limited(5)

    async def test_excess_requests_are_refused_when_all_servers_are_limited(self):
        await self.start([1] * SERVERS)
        statuses = await self.call(RUN_S)
        self.check_limits()
        self.assertEqual({s for s in statuses} - {200, 503}, set())
        self.assertGreater(statuses.count(503), statuses.count(200))

    async def test_servers_are_used_again_after_their_limit_ends(self):
        await self.start([1] * SERVERS)
        statuses = await self.call(GRACE_S)
        self.assertIn(503, statuses)
        for s in self.fleet.servers:
            s.limit = None
        end = time.monotonic() + LIMIT_S
        while set(statuses) != {200}:
            self.assertLess(time.monotonic(), end, "requests are still refused")
            statuses = await self.call(LOOK_S * 10)


if __name__ == "__main__":
    platform_fleet.main()
