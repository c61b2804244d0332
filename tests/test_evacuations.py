"""A data centre that operators evacuate gets no request from any router, until it is taken back.

Also at routers that were started anew meanwhile, and at those that the store turns away.

  tests/test_evacuations.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import time
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S, RNG

ROUTERS = 6
AGENTS = 2
SEEDS = 3
QUIET_S = 1.0  # without a request to the evacuated data centre
ROUTES = [standin.route("safe", "safe", "web")]


class Server(standin.Backend):
    def __init__(self, data_centre, port):
        super().__init__("web-" + data_centre, "web", port, standin.Record(), RNG)
        self.data_centre = data_centre
        self.arrivals = 0

    async def handle(self, req, reader, writer):
        self.arrivals += 1
        await super().handle(req, reader, writer)

    def row(self):
        return dict(super().row(), Zone=self.data_centre)


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder):
        super().__init__(folder, ROUTERS, AGENTS, backends=2, seeds=SEEDS)
        self.servers = [Server(f"dc-{n}", port) for n, port in enumerate(self.backend_ports, 1)]


class Evacuations(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName))
        self.addCleanup(self.fleet.stop)
        await self.fleet.start_with(self.fleet.servers, ROUTES)
        self.home, self.remote = self.fleet.servers
        await self.check_all_serve()
        await self.wait_for(lambda: self.home.arrivals > 0)

    async def asyncTearDown(self):
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    async def check_all_serve(self):
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")

    async def send_round(self):
        """One request by each router; returns the statuses."""
        return await asyncio.gather(*[self.fleet.send_request(r, "GET", "/safe/usual", f"{r.name}-{time.monotonic()}") for r in self.fleet.routers])

    async def wait_for(self, condition):
        end = time.monotonic() + LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), end, f"logs: {self.fleet.folder}")
            await self.send_round()
            await asyncio.sleep(LOOK_S)

    async def wait_until_spared(self):
        """Until the evacuated data centre got nothing for a while, though all routers sent."""
        end, since, seen = time.monotonic() + LIMIT_S, time.monotonic(), self.home.arrivals
        while time.monotonic() - since < QUIET_S:
            self.assertLess(time.monotonic(), end, f"requests still reach the evacuated data centre; logs: {self.fleet.folder}")
            statuses = await self.send_round()
            if self.home.arrivals != seen:
                since, seen = time.monotonic(), self.home.arrivals
            await asyncio.sleep(LOOK_S)
        self.assertEqual(set(statuses), {200})

    def evacuate(self, data_centre):
        self.fleet.store.put("op", "evacuate/" + data_centre, {})

    def take_back(self, data_centre):
        self.fleet.store.put("op", "evacuate/" + data_centre, None)

    async def test_evacuated_and_taken_back(self):
        self.evacuate("dc-1")
        await self.wait_until_spared()
        spared = self.home.arrivals
        self.take_back("dc-1")
        await self.wait_for(lambda: self.home.arrivals > spared)

    async def test_all_routers_start_anew(self):
        self.evacuate("dc-1")
        await self.wait_until_spared()
        spared = self.home.arrivals
        for router in self.fleet.routers:
            router.kill()
        for router in self.fleet.routers:
            router.start()
        await self.check_all_serve()
        await self.send_round()
        self.assertEqual(self.home.arrivals, spared)

    async def test_routers_that_the_store_turns_away_follow(self):
        self.fleet.store.refused = {r.name for r in self.fleet.routers[:4]}
        self.evacuate("dc-1")
        await self.wait_until_spared()
        spared = self.home.arrivals
        self.take_back("dc-1")
        await self.wait_for(lambda: self.home.arrivals > spared)

    async def test_nothing_else_can_serve(self):
        self.evacuate("dc-1")
        self.evacuate("dc-2")
        statuses = []
        end = time.monotonic() + LIMIT_S
        while set(statuses) != {503}:
            self.assertLess(time.monotonic(), end, f"{statuses}; logs: {self.fleet.folder}")
            statuses = await self.send_round()
            await asyncio.sleep(LOOK_S)
        self.take_back("dc-2")
        await self.wait_until_spared()


if __name__ == "__main__":
    platform_fleet.main()
