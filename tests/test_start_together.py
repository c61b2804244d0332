"""Routers and agents that start together read little from the store, however many they are.

What happened: all machines of a deployment started at once. No router knew another one before it had the list of servers, so each read the list and
the declarations for itself. 117 routers and 88 agents of a region shared a link of 26 Mbit/s: the reads timed out, were begun anew by all, and two of
five data centres never served. So the readers must not grow with the processes, whatever befalls the first of them; and a router that starts while the
store is away gets everything from others.

Real routers and agents on loopback, each with an IP number of its own as on boxes; the store and the servers are stand-ins.

  tests/test_start_together.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LOOK_S, RNG

ROUTERS = 24
AGENTS = 4
SEEDS = 3
READERS_MAX = ROUTERS // 3  # two leads, and those that may take over or start before the others are known
ROUTES = [standin.route("safe", "safe", "web")]


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder):
        super().__init__(folder, ROUTERS, AGENTS, backends=1, seeds=SEEDS)
        self.servers = [standin.Backend("web-1", "web", self.backend_ports[0], standin.Record(), RNG)]
        self.struck = []  # names of the first routers that read the declarations whole

    def readers(self, table):
        return {caller for caller, read in self.store.whole_reads if read == table}

    def strike_first_readers(self, count, strike):
        def on_whole_read(caller, table):
            if table == "op" and caller.startswith("router") and caller not in self.struck and len(self.struck) < count:
                self.struck.append(caller)
                strike(caller)
        self.store.on_whole_read = on_whole_read

    def router(self, name):
        return next(r for r in self.routers if r.name == name)


class StartTogether(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName))
        self.addCleanup(self.fleet.stop)

    async def start(self):
        await self.fleet.start_with(self.fleet.servers, ROUTES)

    async def check_all_serve(self):
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    def check_readers(self):
        for table in ("op", "servers"):
            readers = self.fleet.readers(table)
            print(f"{self._testMethodName}: {len(readers)} of {ROUTERS + AGENTS} processes read {table} whole", flush=True)
            self.assertLessEqual(len(readers), READERS_MAX, f"{table}: {sorted(readers)}; logs: {self.fleet.folder}")

    async def test_few_read_the_store(self):
        await self.start()
        await self.check_all_serve()
        self.check_readers()

    async def test_first_readers_are_turned_away(self):
        self.fleet.strike_first_readers(2, self.fleet.store.refused.add)
        await self.start()
        await self.check_all_serve()  # those that are turned away, too
        self.assertEqual(len(self.fleet.struck), 2)
        self.check_readers()

    async def test_first_readers_are_frozen(self):
        self.fleet.strike_first_readers(2, lambda name: self.fleet.router(name).pause())
        await self.start()
        for router in self.fleet.routers:
            while not router.paused and await self.fleet.send_request(router, "GET", "/safe/usual", "first") != 200:
                await asyncio.sleep(LOOK_S)
        self.check_readers()
        for router in self.fleet.routers:
            if router.paused:
                router.go_on()
        await self.check_all_serve()

    async def test_a_router_starts_while_the_store_is_away(self):
        await self.start()
        await self.check_all_serve()
        self.fleet.store.fault = "busy"
        router = self.fleet.routers[-1]
        router.kill()
        router.start()
        await self.check_all_serve()


if __name__ == "__main__":
    platform_fleet.main()
