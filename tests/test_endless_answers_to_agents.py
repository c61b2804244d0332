"""The model server beside an agent, or the origin of the weights, sends bytes without end for every answer: the agent stays within the memory of its box.

Guards against an outage: the machine that called such a server kept all bytes until it ran out of memory, and everything on it ended. Checked is what
doesn't depend on the speed of the machine: the process lives, its peak of resident memory stays under a bound, and it hears of new weights.

  tests/test_endless_answers_to_agents.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import contextlib
import itertools
import unittest

import platform_fleet
import platform_standin as standin

BOX_BYTES = 128 << 20  # memory of the agent's box
PIECE = 64 * 1024      # written at once
CALLS = 24             # of the agent that are answered so, at least: each form some times
ROUTES = [standin.route("safe", "safe", "web")]


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


FORMS = [  # what is sent once, and what again and again
    (b"", b"x" * PIECE),
    (b"HTTP/1.1 200 X\r\nX-Field: ", b"x" * PIECE),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2600),
    (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(b"x" * PIECE)),
    (b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n", b"x" * PIECE),
    (b"HTTP/1.1 200 X\r\nContent-Length: 1000000000000\r\n\r\n", b"x" * PIECE),
    (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Field: ", b"x" * PIECE),
    (b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(b"x" * PIECE)),
]


class Endless:
    """Answers each call in the next of the forms, until its caller closes."""

    def __init__(self):
        self.forms = itertools.cycle(FORMS)
        self.calls = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await standin.read_request(reader)
            begin, unit = next(self.forms)
            self.calls += 1
            writer.write(begin)
            while True:
                writer.write(unit)
                await writer.drain()
        writer.close()


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder, endless_model_server):
        super().__init__(folder, routers=1, agents=1, backends=2)
        self.endless = Endless()
        self.endless_model_server = endless_model_server
        self.servers = [standin.Backend("web-1", "web", self.backend_ports[0], standin.Record(), platform_fleet.RNG)]

    def model_server(self, number):
        return self.endless if self.endless_model_server else standin.ModelServer


class EndlessAnswersToAgents(unittest.IsolatedAsyncioTestCase):
    async def play(self, endless_model_server):
        self.fleet = fleet = Fleet(platform_fleet.log_folder(self._testMethodName), endless_model_server)
        self.addCleanup(fleet.stop)
        await asyncio.start_server(fleet.endless.serve, "127.0.0.1", fleet.backend_ports[1])
        await fleet.start_with(fleet.servers, ROUTES)
        config = {"Version": 2, "Tenants": [], "Routes": ROUTES, "Limits": {},
                  "Services": [{"Name": "web", "HealthPath": "/health"}, dict(standin.ModelServer.SERVICE, origin=f"127.0.0.1:{fleet.backend_ports[1]}")]}
        fleet.store.put("op", "config", config)
        fleet.store.put("op", "version/m", {"Model": "m", "Version": 2})
        await platform_fleet.wait_for(self, lambda: fleet.endless.calls >= CALLS, "too few calls")
        fleet.store.put("op", "version/m", {"Model": "m", "Version": 3})
        agent = fleet.agents[0]
        await platform_fleet.wait_for(self, lambda: '"version":3,' in platform_fleet.lines_of(agent, "WeightsNamed"), "the agent hears of no weights")
        self.assertEqual(fleet.ended(), [], f"exited unexpectedly; logs: {fleet.folder}")
        peak, bound = platform_fleet.peak_bytes(agent), BOX_BYTES * platform_fleet.memory_factor(agent)
        print(f"{self._testMethodName}: {fleet.endless.calls} calls, peak {peak >> 20} MiB of {bound >> 20}", flush=True)
        self.assertLessEqual(peak, bound)

    async def test_model_server(self):
        await self.play(endless_model_server=True)

    async def test_origin(self):
        await self.play(endless_model_server=False)


if __name__ == "__main__":
    platform_fleet.main()
