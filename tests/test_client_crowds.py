"""Crowds of clients that exceed their limits, don't finish their requests or don't read their answers: the router stays within the memory of its machine.

One real router on loopback; the store and the servers are stand-ins. Every client of a crowd keeps its connection until an ordinary request was answered
beside it. Checked is what doesn't depend on the speed of the machine: the process lives, its peak of resident memory and its open descriptors stay under a
bound, and ordinary requests are answered. One form of a crowd is one test; run one at a time.

  tests/test_client_crowds.py FOLDER_OF_PROGRAMS [ClientCrowds.NAME_OF_TEST ...]
"""
import asyncio
import contextlib
import itertools
import os
import resource
import socket
import threading
import time
import unittest
from dataclasses import dataclass

import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S

CROWD = 200               # clients
MACHINE_BYTES = 96 << 20  # memory of the router's machine
SPARE_DESCRIPTORS = 64    # of the router, for servers, the store and connections that are being closed
FLOODS = 8                # clients that send without end
SERVERS = 3
AT_ONCE = 8               # requests of the crowd that wait for an answer's first byte

MAX_HEAD, MAX_BODY = 16384, 1 << 20
LIMITS = {"MaxHeaderBytes": MAX_HEAD, "MaxBodyBytes": MAX_BODY, "HeaderTimeoutMs": 60_000, "IdleTimeoutMs": 60_000}  # no client is in it for the time
ANSWER = 1 << 20          # bytes of a long answer
PIECE = 64 * 1024         # written at once
SMALL = 16                # bytes of a small chunk

os.environ["ASAN_OPTIONS"] = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"  # freed memory that it keeps isn't the program's

HEAD = "POST /page/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {}\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def repeated(piece, size):
    """So many bytes, or a little more, of one piece again and again, a good many at a time."""
    block = piece * max(1, PIECE // len(piece))
    for _ in range(-(-size // len(block))):
        yield block


def chunked_head(ident):
    return (HEAD.format(ident) + "Transfer-Encoding: chunked\r\n\r\n").encode()


def announced_head(ident, size):
    return (HEAD.format(ident) + f"Content-Length: {size}\r\n\r\n").encode()


def endless_trailers(ident):
    yield chunked_head(ident) + chunk(b"body") + b"0\r\n"
    yield from repeated(b"Trailer-Field: " + b"x" * 100 + b"\r\n", 2 * MAX_BODY)


def endless_trailer_field(ident):
    yield chunked_head(ident) + chunk(b"body") + b"0\r\nTrailer-Field: "
    yield from repeated(b"x", 2 * MAX_BODY)


def endless_chunk_extension(ident):
    yield chunked_head(ident) + b"4;extension="
    yield from repeated(b"x", 2 * MAX_BODY)


def oversized_chunked(ident):
    yield chunked_head(ident)
    yield from repeated(chunk(b"x" * PIECE), 4 * MAX_BODY)


def oversized_announced(ident):
    yield announced_head(ident, 4 << 30)
    yield from repeated(b"x", 2 * MAX_BODY)


def endless_announced(ident):
    yield announced_head(ident, 4 << 30)
    yield from itertools.repeat(b"x" * PIECE, (4 << 30) // PIECE)  # the router closes before


def endless_chunked(ident):
    yield chunked_head(ident)
    yield from itertools.repeat(chunk(b"x" * PIECE), (4 << 30) // PIECE)


def unfinished_large_chunks(ident):
    yield chunked_head(ident)
    yield from [chunk(b"x" * PIECE)] * (MAX_BODY // PIECE - 1)
    yield chunk(b"x" * (PIECE - 1))  # one byte and the last chunk are missing


def unfinished_small_chunks(ident):
    small = chunk(b"x" * SMALL)
    yield chunked_head(ident)
    for _ in range(MAX_BODY // PIECE - 1):
        yield small * (PIECE // SMALL)
    yield small * (PIECE // SMALL - 1)


def unfinished_byte_chunks(ident):
    yield chunked_head(ident)
    yield from repeated(chunk(b"x"), MAX_BODY // 16 * len(chunk(b"x")))


def unfinished_announced(ident):
    yield announced_head(ident, MAX_BODY)
    yield from [b"x" * PIECE] * (MAX_BODY // PIECE - 1)
    yield b"x" * (PIECE - 1)


def unfinished_heads(ident):
    yield HEAD.format(ident).encode() + b"Padding: " + b"x" * (MAX_HEAD // 2)


def whole_at_stalled_servers(ident):
    yield announced_head(ident, MAX_BODY).replace(b"/page/x", b"/page/stalled")
    yield from [b"x" * PIECE] * (MAX_BODY // PIECE)


@dataclass
class Rejoined:
    """A reader whose head was read before."""

    head: bytes
    reader: asyncio.StreamReader

    async def readuntil(self, _):
        return self.head

    async def readexactly(self, size):
        return await self.reader.readexactly(size)


class LongAnswers:
    """A server that answers /page/long with a long body, and all else with a short one. It stalls before the body of /page/stalled."""

    def __init__(self, number, port):
        self.id, self.port = f"web-{number}", port
        self.stalled = asyncio.Event()  # never set

    def row(self):
        return {"Service": "web", "Address": f"127.0.0.1:{self.port}", "Zone": "dc-1", "Version": "1", "Slots": 16, "State": "ready", "ColdLeftMs": 0,
                "CallSeq": 0}

    async def listen(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/page/stalled" in head:
                    await self.stalled.wait()
                req = await standin.read_request(Rejoined(head, reader))
                body = b"x" * ANSWER if req.path == "/page/long" else b"%d" % len(req.body)
                writer.write(standin.answer(200, body, X_Request_Id=req.fields.get("x-request-id", ""), X_Response_Seal="seal"))
                await writer.drain()
        writer.close()


class Crowd(unittest.IsolatedAsyncioTestCase):
    limits = LIMITS
    descriptors_max = None  # of the router, lowered

    async def asyncSetUp(self):
        if self.descriptors_max:
            before = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors_max, before[1]))
            self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, before)
        await self.start()
        if self.descriptors_max:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)

    async def start(self):
        self.fleet = platform_fleet.Fleet(platform_fleet.log_folder(self._testMethodName), routers=1, agents=0, backends=SERVERS)
        self.addCleanup(self.fleet.stop)
        servers = [LongAnswers(n, port) for n, port in enumerate(self.fleet.backend_ports)]
        self.fleet.router_settings = f"memory_mb = {MACHINE_BYTES >> 20}\n"
        await self.fleet.start_with(servers, [standin.route("page", "safe", "web", TimeoutMs=60_000)], limits=self.limits)
        self.assertTrue(await self.fleet.wait_until_all_answer("GET", "/page/x"))
        self.router = self.fleet.routers[0]
        self.idle_descriptors = self.descriptors()
        self.crowd = []  # sockets
        self.addCleanup(self.leave)

    def leave(self):
        for connection in self.crowd:
            connection.close()
        self.crowd = []

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.router.popen.pid}/fd"))

    async def connect(self):
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # what isn't read waits at the router
        self.crowd.append(connection)
        await asyncio.get_running_loop().sock_connect(connection, (self.router.ip, self.fleet.http))
        return connection

    async def send(self, ident, form):
        """All that the form has, or until the router closes the connection."""
        with contextlib.suppress(ConnectionError):
            connection = await self.connect()
            for piece in form(ident):
                await asyncio.get_running_loop().sock_sendall(connection, piece)

    async def send_without_reading(self, ident, turns):
        """Some requests in a row, and waits for the first byte of the first answer."""
        request = f"GET /page/long HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {ident}\r\n\r\n".encode()
        async with turns:
            with contextlib.suppress(ConnectionError):
                connection = await self.connect()
                await asyncio.get_running_loop().sock_sendall(connection, request * 4)
                await asyncio.wait_for(asyncio.get_running_loop().sock_recv(connection, 1), LIMIT_S)

    async def status_of_longest_body(self):
        reader, writer = await asyncio.open_connection(self.router.ip, self.fleet.http)
        writer.write(chunked_head("longest"))
        for _ in range(MAX_BODY // PIECE):
            writer.write(chunk(b"x" * PIECE))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), LIMIT_S)
        writer.close()
        return int(line.split()[1])

    async def check(self, path_beside="/page/x"):
        """With the crowd there, and after it has left."""
        beside = await self.fleet.send_request(self.router, "GET", path_beside, "beside")
        crowded = self.descriptors()
        self.leave()
        end = time.monotonic() + LIMIT_S
        while self.descriptors() > self.idle_descriptors + SPARE_DESCRIPTORS and time.monotonic() < end:
            await asyncio.sleep(LOOK_S)
        while (held := await self.fleet.metric(self.router, "aldervale_client_memory_bytes")) >= MAX_BODY and time.monotonic() < end:
            await asyncio.sleep(LOOK_S)  # requests of the crowd that were being served end when the router sees that their callers have left
        after = await self.fleet.send_request(self.router, "GET", "/page/x", "after")
        longest = await self.status_of_longest_body()
        self.assertEqual(self.fleet.ended(), [])
        peak, bound = platform_fleet.peak_bytes(self.router), MACHINE_BYTES * platform_fleet.memory_factor(self.router)
        print(f"{self._testMethodName}: peak {peak >> 20} MiB of {bound >> 20}, descriptors {self.idle_descriptors}, {crowded}, {self.descriptors()}, "
              f"statuses {beside}, {after}, {longest}", flush=True)
        with self.subTest("memory"):
            self.assertLessEqual(peak, bound)
            self.assertLess(held, MAX_BODY)
        with self.subTest("descriptors"):
            self.assertLessEqual(crowded, self.idle_descriptors + CROWD + SPARE_DESCRIPTORS)
            self.assertLessEqual(self.descriptors(), self.idle_descriptors + SPARE_DESCRIPTORS)
        with self.subTest("ordinary requests"):
            self.assertEqual((beside, after, longest), (200, 200, 200))

    async def play(self, form):
        await asyncio.gather(*[self.send(f"crowd-{n}", form) for n in range(CROWD)])
        await self.check()


class ClientCrowds(Crowd):
    async def test_endless_trailers(self):
        await self.play(endless_trailers)

    async def test_endless_trailer_field(self):
        await self.play(endless_trailer_field)

    async def test_endless_chunk_extension(self):
        await self.play(endless_chunk_extension)

    async def test_oversized_chunked_bodies(self):
        await self.play(oversized_chunked)

    async def test_oversized_announced_bodies(self):
        await self.play(oversized_announced)

    async def test_endless_announced_bodies(self):
        await self.play(endless_announced)

    async def test_endless_chunked_bodies(self):
        await self.play(endless_chunked)

    async def test_unfinished_large_chunks(self):
        await self.play(unfinished_large_chunks)

    async def test_unfinished_small_chunks(self):
        await self.play(unfinished_small_chunks)

    async def test_unfinished_byte_chunks(self):
        await self.play(unfinished_byte_chunks)

    async def test_unfinished_announced_bodies(self):
        await self.play(unfinished_announced)

    async def test_unfinished_heads(self):
        await self.play(unfinished_heads)

    async def test_whole_bodies_at_stalled_servers(self):
        await self.play(whole_at_stalled_servers)

    async def test_all_forms_at_once(self):
        forms = (endless_trailers, endless_trailer_field, endless_chunk_extension, oversized_chunked, oversized_announced, unfinished_large_chunks,
                 unfinished_small_chunks, unfinished_announced, unfinished_heads)
        await asyncio.gather(*[self.send(f"crowd-{n}", forms[n % len(forms)]) for n in range(CROWD)])
        await self.check()

    async def test_floods_that_come_again(self):
        floods = [threading.Thread(target=self.flood, args=(f"flood-{n}",)) for n in range(FLOODS)]
        self.flooding = True
        self.addCleanup(self.end_floods, floods)
        for flood in floods:
            flood.start()
        await self.check()

    def end_floods(self, floods):
        self.flooding = False
        for flood in floods:
            flood.join()

    def flood(self, ident):
        """Sends a body without end, again as soon as the router has closed the connection."""
        while self.flooding and not self.fleet.ended():
            with contextlib.suppress(OSError), socket.create_connection((self.router.ip, self.fleet.http), timeout=LIMIT_S) as connection:
                for piece in endless_announced(ident):
                    connection.sendall(piece)
                    if not self.flooding:
                        break

    async def test_unread_answers(self):
        turns = asyncio.Semaphore(AT_ONCE)
        await asyncio.gather(*[self.send_without_reading(f"crowd-{n}", turns) for n in range(CROWD)])
        await self.check("/page/long")


class FewDescriptors(Crowd):
    """Fewer than the crowd has clients, who stay for longer than the ordinary caller waits."""

    descriptors_max = 128
    limits = LIMITS | {"HeaderTimeoutMs": 10 * LIMIT_S * 1000}

    async def test_unfinished_heads(self):
        await self.play(unfinished_heads)


if __name__ == "__main__":
    platform_fleet.main()
