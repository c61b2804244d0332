"""A router that was told to end has seconds of grace left: a request that a caller is still sending to it is read and answered.

What happens: after SIGTERM a router goes on for 2.6 s until the balancer has stopped sending callers to it, and then ends as soon as no request is in
flight. A request counts as in flight only once its head and body have come whole. One whose body was still on its way was dropped with the process,
though the platform leaves a router 8 s: its caller saw a reset.

A real router on loopback; the store and the server are stand-ins.

  tests/test_router_drain.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import logging
import os
import signal
import subprocess
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))
import platform_standin as standin

NOTICE_S = 3.2  # after SIGTERM: longer than the router waits for the balancer, and less than half of its grace
CALLERS = 300   # that send at the moment of the signal
LIMIT_S = 60    # only what never comes takes so long
LOOK_S = 0.05   # between two looks

RNG = standin.seeded(os.getpid())  # of ports: runs beside each other must not meet
PROGRAMS = sys.argv.pop(1) if len(sys.argv) > 1 else "build/release/bin"
DECLARED = {"Version": 1, "Tenants": [], "Services": [{"Name": "web", "HealthPath": "/health"}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 30000, "IdleTimeoutMs": 30000},
            "Routes": [standin.route("page", "safe", "web", TimeoutMs=20000), standin.route("once", "unsafe", "web", TimeoutMs=20000)]}


class RouterDrain(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = os.path.join(os.path.dirname(os.path.abspath(PROGRAMS)), "logs", self._testMethodName)
        os.makedirs(folder, exist_ok=True)
        self.http, ready, internal, backend, port = standin.free_ports(5, RNG)
        self.record = standin.Record()
        web = standin.Backend("web-1", "web", backend, self.record, RNG)
        await web.listen()
        store = standin.Store()
        await store.listen(port)
        store.put("servers", web.id, web.row())
        store.put("op", "config", DECLARED)
        path = os.path.join(folder, "router.toml")
        with open(path, "w") as f:
            f.write(f'name = "router"\ndata_centre = "dc-1"\nstore = "127.0.0.1:{port}"\nthreads = 1\nhttp_listen = "127.0.0.1:{self.http}"\n'
                    f'ready_listen = "127.0.0.1:{ready}"\n[internal]\nip = "127.0.0.1"\nport = {internal}\n')
        with open(os.path.join(folder, "router.log"), "wb") as log:
            command = [os.path.join(PROGRAMS, "aldervale-platform-router"), "--settings", path]
            self.router = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.addCleanup(self.stop)
        await self.serves()

    def stop(self):
        self.router.kill()
        self.router.wait()

    async def serves(self):
        end = time.monotonic() + LIMIT_S
        while await self.status_of(b"") != 200:
            self.assertLess(time.monotonic(), end, "the router never serves")
            await asyncio.sleep(LOOK_S)

    async def status_of(self, body, rest=b"", between=None):
        """Of a request whose body comes in two parts; 0: no answer."""
        head = f"POST /page/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: r\r\nContent-Length: {len(body) + len(rest)}\r\n\r\n"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.http)
            writer.write(head.encode() + body)
            if between:
                await between()
            writer.write(rest)
            line = await asyncio.wait_for(reader.readline(), LIMIT_S)
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError):
            return 0

    async def test_a_request_that_is_being_sent_is_answered(self):
        async def terminate():
            await asyncio.sleep(LOOK_S)  # the first part is at the router
            self.router.send_signal(signal.SIGTERM)
            await asyncio.sleep(NOTICE_S)

        self.assertEqual(await self.status_of(b"first", b"last", terminate), 200)

    async def test_a_request_of_a_caller_that_connected_late_is_answered(self):
        """As before, but the caller comes after the signal, while the router still takes connections."""
        async def wait():
            await asyncio.sleep(NOTICE_S)

        self.router.send_signal(signal.SIGTERM)
        await asyncio.sleep(LOOK_S)
        self.assertEqual(await self.status_of(b"first", b"last", wait), 200)

    async def test_requests_that_come_as_the_router_is_told_to_end_are_answered_if_they_run(self):
        """A connection counted as idle until its coroutine went on, also when its next request had been read: it was closed, the request ran, and its answer
        went nowhere. The router's line told of an answer (status 200), the caller saw a closed connection: 79 of 529 requests that ran."""
        async def call(reader, writer, ident):
            try:
                writer.write(f"POST /once/{ident} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {ident}\r\nContent-Length: 0\r\n\r\n".encode())
                head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT_S)).decode().lower()
                await reader.readexactly(int(head.split("content-length: ")[1].split("\r\n")[0]))
                return int(head.split()[1])
            except (OSError, asyncio.IncompleteReadError):
                return 0

        callers = [await asyncio.open_connection("127.0.0.1", self.http) for _ in range(CALLERS)]
        for n, (reader, writer) in enumerate(callers):
            self.assertEqual(await call(reader, writer, f"first-{n}"), 200)

        async def at_its_turn(n):
            if n == CALLERS // 3:
                self.router.send_signal(signal.SIGTERM)
            return await call(*callers[n], f"last-{n}")

        calls = [asyncio.create_task(at_its_turn(n)) for n in range(CALLERS)]
        statuses = await asyncio.gather(*calls)
        lost = [n for n, status in enumerate(statuses) if status == 0 and self.record.runs.get(f"last-{n}")]
        self.assertEqual(lost, [], "requests that ran and have no answer")


if __name__ == "__main__":
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    unittest.main(verbosity=2, warnings="ignore")  # sockets that end with the process
