"""All servers of a service crash at once while many callers ask for the same page.

Guards against an outage that goes on after its cause: the page was at every server that crashed, so it was blocked as their cause for ten minutes,
and while it was blocked no answer could clear it.

  tests/test_servers_crash_together.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import time
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S

ROUTERS = 2
SERVERS = 3
CALLERS = 16            # of the page, and as many of things that differ
PAUSE_S = 0.1           # of each caller, between its requests
WORK_S = 0.2            # of a server on a request: the page is in progress at each server when they crash
SILENT_S = 1.0          # under the time limit of the route: a page that arrived since is in progress at a silent server
DOWN_S = 3.0            # from the crash until the servers are back, with new ids
CALM_S = 6.0            # from their return until requests count
COUNT_S = 6.0           # requests sent in this time count
SERVED_MIN = 0.98       # of the requests that count
CRASHES = 3             # servers that end before a request that crashes them must be blocked
PROPAGATION_S = 3.0     # from the last of them until it must be
RETRIES_MAX = 3         # further requests that may reach servers
BLOCKED_S = 20.0        # for so long they are counted
RESTART_DELAY_S = 1.0   # of a server that crashes by itself
PAGE = "/safe/page"
ROUTES = [standin.route("safe", "safe", "web")]


class Server(platform_fleet.ReturningServer):
    """Crashes on the page, or leaves it without an answer, while the fleet says so."""

    def __init__(self, fleet, number, port):
        super().__init__(fleet, number, port)
        self.page_at = 0.0  # when the page arrived last

    async def handle(self, req, reader, writer):
        if req.path == PAGE:
            self.page_at = time.monotonic()
            self.fleet.page_arrivals.append(self.page_at)
            if self.fleet.page_crashes:
                return await self.crash_on_page()
            if self.fleet.page_silent:
                return await asyncio.sleep(LIMIT_S)  # until the crash resets the connection
        await asyncio.sleep(WORK_S)
        await super().handle(req, reader, writer)

    async def crash_on_page(self):
        await asyncio.sleep(0.02)
        if not self.crashed:
            self.fleet.crashes.append(time.monotonic())
            self.crash()
            asyncio.ensure_future(self.come_back(RESTART_DELAY_S))
        await asyncio.sleep(LIMIT_S)


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder):
        super().__init__(folder, ROUTERS, 0, backends=SERVERS, seeds=ROUTERS)  # without agents routers know each other by these
        self.page_crashes = self.page_silent = False
        self.page_arrivals, self.crashes = [], []  # when
        self.servers = [Server(self, n, port) for n, port in enumerate(self.backend_ports)]


class ServersCrashTogether(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName))
        self.addCleanup(self.fleet.stop)
        await self.fleet.start_with(self.fleet.servers, ROUTES)
        self.sent = 0
        self.answers = {"page": [], "other": []}  # (when sent, status)
        self.ending = False
        self.tasks = []
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")

    async def asyncTearDown(self):
        self.ending = True
        await asyncio.gather(*self.tasks)
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    async def caller(self, number, kind):
        router = self.fleet.routers[number % ROUTERS]
        while not self.ending:
            self.sent += 1
            path = PAGE if kind == "page" else f"/safe/{self.sent}"
            at = time.monotonic()
            self.answers[kind].append((at, await self.fleet.send_request(router, "GET", path, f"r-{self.sent}")))
            await asyncio.sleep(PAUSE_S)

    def begin(self, kind):
        self.tasks += [asyncio.ensure_future(self.caller(n, kind)) for n in range(CALLERS)]

    async def crash_all(self):
        for server in self.fleet.servers:
            server.crash()
        await asyncio.sleep(DOWN_S)
        self.fleet.page_silent = False
        for server in self.fleet.servers:
            await server.come_back(0)

    async def check_served(self):
        await asyncio.sleep(CALM_S)
        since = time.monotonic()
        await asyncio.sleep(COUNT_S)
        until = time.monotonic()
        self.ending = True
        await asyncio.gather(*self.tasks)
        for kind in ("other", "page"):
            statuses = [status for at, status in self.answers[kind] if since <= at < until]
            self.assertGreater(len(statuses), CALLERS)
            self.assertGreaterEqual(statuses.count(200) / len(statuses), SERVED_MIN, f"{kind}: {sorted(set(statuses))}; logs: {self.fleet.folder}")

    async def test_page_that_was_answered_before_is_served_again(self):
        self.begin("page")
        self.begin("other")
        await platform_fleet.wait_for(self, lambda: len(self.answers["page"]) >= 4 * CALLERS, "too few requests")
        await self.crash_all()
        await self.check_served()

    async def test_page_that_was_never_answered_is_served(self):
        self.fleet.page_silent = True
        self.begin("other")
        self.begin("page")
        await platform_fleet.wait_for(self, lambda: min(s.page_at for s in self.fleet.servers) > time.monotonic() - SILENT_S, "the page isn't in progress at each server")
        await self.crash_all()
        await self.check_served()

    async def test_page_that_crashes_all_servers_together_is_blocked(self):
        self.begin("page")
        self.begin("other")
        await platform_fleet.wait_for(self, lambda: len(self.answers["page"]) >= 4 * CALLERS, "too few requests")
        self.fleet.page_crashes = True
        await platform_fleet.wait_for(self, lambda: len(self.fleet.crashes) >= CRASHES, "too few servers crashed")
        since = self.fleet.crashes[CRASHES - 1] + PROPAGATION_S
        await asyncio.sleep(BLOCKED_S)
        late = sum(at >= since for at in self.fleet.page_arrivals)
        self.assertLessEqual(late, RETRIES_MAX, f"logs: {self.fleet.folder}")


if __name__ == "__main__":
    platform_fleet.main()
