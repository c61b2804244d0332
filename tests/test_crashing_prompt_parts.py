"""Requests with a part of a prompt that crashes every server are blocked at all routers, whatever else they hold; others with their caller and their
other parts are served.

Guards against an outage: no two of these requests are alike, so each one crashed its servers anew.

  tests/test_crashing_prompt_parts.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import time
import unittest

import platform_fleet
from platform_fleet import RNG
from test_crashing_requests import PROPAGATION_S, ROUTES, Fleet, Server

CRASHES = 5              # servers that end before the part must be blocked
RETRIES_MAX = 3          # further requests with the part that may reach servers
BAD_PAUSE_S = 0.12       # between requests with the part
BAD_AFTER = 60           # such requests after the block
SOUND_CLIENTS = 6        # at a time
SOUND_PAUSE_S = 0.05     # of each, between its requests
SOUND_MIN = 20           # requests that a share of answered ones is judged by
SHARE_MIN = 0.5          # of the share of sound requests that was answered before
PARTS_FIELD = "x-prompt-prefix"
BAD_PART, SHARED_PART = "bad0", "5c1e07a2"


class PartServer(Server):
    def crashes_on(self, req):
        return BAD_PART in [part.partition(":")[0] for part in req.fields.get(PARTS_FIELD, "").split(",")]

    async def handle(self, req, reader, writer):
        if self.crashes_on(req):
            self.fleet.bad_arrivals.append(time.monotonic())
        await super().handle(req, reader, writer)


class CrashingPromptParts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(platform_fleet.log_folder(self._testMethodName), PartServer)
        self.fleet.bad_arrivals = []
        self.addCleanup(self.fleet.stop)
        await self.fleet.start_with(self.fleet.servers, ROUTES)
        self.sent = 0
        self.sound = []  # (time sent, status)
        self.ending = False
        self.tasks = []
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")

    async def asyncTearDown(self):
        self.ending = True
        await asyncio.gather(*self.tasks)
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    async def send(self, parts):
        self.sent += 1
        listed = ",".join(f"{part}:{RNG.randint(20, 400)}" for part in [*parts, f"{self.sent:x}"])  # the last part is the request's own
        router = self.fleet.routers[RNG.randrange(len(self.fleet.routers))]
        return await self.fleet.send_request(router, "POST", "/stream/x", f"r-{self.sent}", f"{self.sent}".encode(), f"X-Prompt-Prefix: {listed}\r\n")

    async def sound_client(self):
        while not self.ending:
            begun = time.monotonic()
            self.sound.append((begun, await self.send([SHARED_PART, f"d{RNG.randrange(3)}"])))
            await asyncio.sleep(SOUND_PAUSE_S)

    async def bad_client(self, parts):
        while not self.ending:
            self.tasks.append(asyncio.ensure_future(self.send(parts)))
            await asyncio.sleep(BAD_PAUSE_S)

    def begin(self, client, *args):
        self.tasks.append(asyncio.ensure_future(client(*args)))

    def answered_share(self, since, until=float("inf")):
        statuses = [status for at, status in self.sound if since <= at < until]
        return len(statuses), statuses.count(200) / max(1, len(statuses))

    async def block(self, parts):
        """Sends requests with these parts until the part must be blocked. Returns when that is."""
        self.begin(self.bad_client, parts)
        await platform_fleet.wait_for(self, lambda: self.fleet.crashes >= CRASHES, "too few servers crashed")
        await asyncio.sleep(PROPAGATION_S)
        return time.monotonic()

    async def check_not_sent(self, since):
        sent = self.sent
        await platform_fleet.wait_for(self, lambda: self.sent >= sent + BAD_AFTER, "too few requests sent")
        await asyncio.sleep(BAD_PAUSE_S)
        late = sum(at >= since for at in self.fleet.bad_arrivals)
        self.assertLessEqual(late, RETRIES_MAX, f"requests with the part that reached servers; logs: {self.fleet.folder}")

    async def check(self, parts, sound_before=True):
        for _ in range(SOUND_CLIENTS if sound_before else 0):
            self.begin(self.sound_client)
        await platform_fleet.wait_for(self, lambda: not sound_before or len(self.sound) >= 2 * SOUND_MIN, "too few sound requests")
        calm_until = time.monotonic()
        for _ in range(0 if sound_before else SOUND_CLIENTS):
            self.begin(self.sound_client)
        blocked_at = await self.block(parts)
        await self.check_not_sent(blocked_at)
        judged_from = blocked_at + PROPAGATION_S
        await platform_fleet.wait_for(self, lambda: self.answered_share(judged_from)[0] >= SOUND_MIN, "too few sound requests")
        before = self.answered_share(0, calm_until)[1] if sound_before else 1
        self.assertGreaterEqual(self.answered_share(judged_from)[1], SHARE_MIN * before, f"sound requests answered; logs: {self.fleet.folder}")

    async def test_part_after_a_shared_one_that_crashes_servers_is_blocked(self):
        await self.check([SHARED_PART, BAD_PART])

    async def test_first_part_that_crashes_servers_is_blocked(self):
        await self.check([BAD_PART, SHARED_PART])

    async def test_routers_that_have_seen_no_sound_request_block_only_the_part_that_crashes_servers(self):
        await self.check([SHARED_PART, BAD_PART], sound_before=False)

    async def test_restarted_router_receives_records_of_parts(self):
        await self.block([SHARED_PART, BAD_PART])
        first = self.fleet.routers[0]
        first.kill()
        first.start()
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/safe/usual"), f"logs: {self.fleet.folder}")
        await asyncio.sleep(PROPAGATION_S)
        await self.check_not_sent(time.monotonic())


if __name__ == "__main__":
    platform_fleet.main()
