"""Another writer leaves odd rows in the platform's store, among the servers and among what operators declare.

Guards against an outage: routers and agents that read such a row ended again and again, or stopped following the store.

  tests/test_odd_entries.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import base64
import json
import time
import unittest

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S, RNG

ROUTERS = 3
AGENTS = 2
MANY = 2000
ROUTES = [standin.route("safe", "safe", "web")]
SOUND = {"Service": "web", "Address": "127.0.0.1:9", "Zone": "dc-1", "Version": "1", "Slots": 16, "State": "ready", "ColdLeftMs": 0, "CallSeq": 0}


def with_field(name, text):
    """A sound entry but for one field, which is spelled as `text`."""
    fields = [f'"{key}": {json.dumps(value)}' for key, value in SOUND.items() if key != name]
    return ("{" + ", ".join(fields + [f'"{name}": {text}']) + "}").encode()


def odd_values():
    """By name, the bytes of rows that no entry should have."""
    deep = 100_000
    numbers = ("9" * 400, "1e999", "-1", "-9223372036854775809", "18446744073709551616", "1e300", "0.5")
    addresses = ("127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:" + "9" * 300, "127.0.0.1:-1", "127.0.0.1", "[::1", "x:1", ":", "")
    out = {
        "nothing": b"", "not JSON": b"{", "a list": b"[]", "a number": b"1", "a text": b'"x"', "null": b"null", "zero bytes": b"\0" * 64, "not UTF-8": b'{"Service": "\xff\xfe"}',
        "nested lists": b"[" * deep + b"]" * deep, "nested objects": b'{"a":' * deep + b"1" + b"}" * deep,
        "a nested field": with_field("Zone", "[" * deep + "]" * deep), "2 MB": b'{"Service": "' + b"x" * 2_000_000 + b'"}',
        "a long zone": with_field("Zone", json.dumps("z" * 300_000)), "a long service": with_field("Service", json.dumps("s" * 300_000)),
        "twice the same field": b'{"Service": "web", "Service": 1}',
    }
    for name in ("Slots", "ColdLeftMs", "CallSeq", "Version", "Service", "Zone", "Address", "State", "born", "Models", "layers"):
        for wrong in ("null", "true", "[]", "{}", '[{"Name": 1, "Version": "x"}]', '"x"', "[[[[]]]]", *numbers):
            out[f"{name} {wrong[:40]}"] = with_field(name, wrong)
    for address in addresses:
        out[f"address {address[:20]}"] = with_field("Address", json.dumps(address))
    return out


class OddEntries(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = platform_fleet.Fleet(platform_fleet.log_folder(self._testMethodName), ROUTERS, AGENTS, backends=3)
        self.addCleanup(self.fleet.stop)
        self.servers = [standin.Backend(f"web-{n}", "web", port, standin.Record(), RNG) for n, port in enumerate(self.fleet.backend_ports)]

    async def start(self):
        await self.servers[2].listen()  # not listed yet
        await self.fleet.start_with(self.servers[:2], ROUTES)
        await self.check_served("/safe/usual")

    async def asyncTearDown(self):
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    async def check_served(self, path):
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", path), f"not answered: {path}; logs: {self.fleet.folder}")

    def put(self, table, key, value, odd_base64=None):
        """Writes the bytes of a value as they are."""
        store = self.fleet.store
        store.version += 1
        text = odd_base64 if odd_base64 is not None else base64.b64encode(value).decode()
        store.written.append(standin.RowVersion(table, key, text, store.version))

    def put_odd_rows(self, keys):
        """`keys` makes (table, key) of a number."""
        for n, value in enumerate(odd_values().values()):
            for table, key in keys(n):
                self.put(table, key, value)
        for table, key in keys(9999):
            self.put(table, key, b"", odd_base64="***")

    async def check_followed(self):
        """What is written afterwards is followed: a route is added, and one server takes the place of another, in turn."""
        version = 1 + max([row["Version"] for row in self.configs()], default=1)
        newest = dict(self.configs()[-1], Version=version, Routes=[*ROUTES, standin.route(f"later-{version}", "safe", "web")])
        self.fleet.store.put("op", "config", newest)
        await self.check_served(f"/later-{version}/x")
        self.fleet.store.put("op", "version/m", {"Model": "m", "Version": version})
        await platform_fleet.wait_for(self, lambda: all(f'"version":{version},' in platform_fleet.lines_of(agent, "WeightsNamed") for agent in self.fleet.agents), "agents don't hear of weights")
        await self.check_moved_to(self.servers[2])
        await self.check_moved_to(self.servers[1])
        await self.check_moved_to(self.servers[0])

    async def check_moved_to(self, server):
        """It is listed, the others are not."""
        self.fleet.store.put("servers", server.id, server.row())
        for other in self.servers:
            if other is not server:
                self.fleet.store.put("servers", other.id, None)
        before = len(server.record.arrivals.get(server.id, []))
        end = time.monotonic() + LIMIT_S
        while len(server.record.arrivals.get(server.id, [])) < before + ROUTERS:
            self.assertLess(time.monotonic(), end, f"{server.id} gets no requests; logs: {self.fleet.folder}")
            await self.check_served("/safe/usual")
            await asyncio.sleep(LOOK_S)

    def configs(self):
        out = []
        for row in self.fleet.store.written:
            if row.table == "op" and row.key == "config" and row.value:
                try:
                    value = json.loads(base64.b64decode(row.value))
                    if isinstance(value, dict) and value.get("Routes"):
                        out.append(value)
                except (ValueError, RecursionError):
                    pass  # an odd one
        return out

    async def restart_all(self):
        for process in self.fleet.routers + self.fleet.agents:
            process.kill()
            process.start()
        await self.check_served("/safe/usual")

    async def check(self, keys):
        await self.start()
        self.put_odd_rows(keys)
        await asyncio.sleep(1)
        await self.check_served("/safe/usual")
        await self.check_followed()
        await self.restart_all()  # with the odd rows there
        await self.check_followed()
        self.assertEqual(self.fleet.ended(), [], f"exited unexpectedly; logs: {self.fleet.folder}")

    async def test_odd_entries_among_the_servers(self):
        await self.check(lambda n: [("servers", f"odd-{n}")])

    async def test_odd_entries_in_place_of_sound_ones(self):
        """Each of a server in turn."""
        await self.start()
        self.put_odd_rows(lambda n: [("servers", self.servers[0].id), ("servers", "model-1")])
        await asyncio.sleep(1)
        await self.check_served("/safe/usual")
        await self.check_followed()
        await self.restart_all()

    async def test_odd_rows_among_what_operators_declare(self):
        await self.check(lambda n: [("op", f"version/odd-{n}"), ("op", f"evacuate/odd-{n}"), ("op", f"else-{n}"), ("op", "version/"), ("op", "evacuate/")])

    async def test_odd_declarations_and_names_of_weights_in_place_of_sound_ones(self):
        await self.start()
        self.put_odd_rows(lambda n: [("op", "config"), ("op", "version/m")])
        await asyncio.sleep(1)
        await self.check_served("/safe/usual")
        await self.check_followed()
        await self.restart_all()

    async def test_two_thousand_odd_entries(self):
        await self.start()
        for n in range(MANY):
            self.put("servers", f"odd-{n:04}", b'{"Service": "web", "Address": "127.0.0.1:99999"}')
        await asyncio.sleep(1)
        await self.check_served("/safe/usual")
        await self.check_followed()
        await self.restart_all()


if __name__ == "__main__":
    platform_fleet.main()
