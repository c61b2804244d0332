"""A router that was told to end has seconds of grace left: a request that a caller is still sending to it is read and answered.

What happens: after SIGTERM a router goes on for 2.6 s until the balancer has stopped sending callers to it, and then ends as soon as no request is in
flight. A request counts as in flight only once its head and body have come whole. One whose body was still on its way was dropped with the process,
though the platform leaves a router 8 s: its caller saw a reset.

The other way round, a request that it can't answer any more is refused as not run, and what is in progress at its end is told so and logged. Such requests
were passed on and cut off with the process: 30 of 400 in a trial with bodies of 3.5 s and answers of 5 s. How long answers took before doesn't say that: where
they had taken 60 ms and then took 2.5 s, 11 of 40 were cut off.

A real router on loopback; the store and the servers are stand-ins.

  tests/test_router_drain.py FOLDER_OF_PROGRAMS [NAME_OF_TEST ...]
"""
import asyncio
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))
import platform_standin as standin

NOTICE_S = 3.2  # after SIGTERM: longer than the router waits for the balancer, and less than half of its grace
CALLERS = 300   # that send at the moment of the signal
LATE_S = 4.5    # after SIGTERM: the router has less than SLOW_S left
SLOW_S = 3.5    # that answers of the slow service take
USUAL_S = 0.02  # that answers of the routes `turn` and `flow` take before the signal
LONGER_S = 2.5  # and after it
USUAL = 40      # so many of them come before: enough for the router to know their time
LAST_BYTES_S = (3.3, 4.2, 5.2, 6.2)  # after SIGTERM: last bytes of requests whose heads came before it
BIG = 2_000_000 # bytes of an answer that doesn't fit into its caller's receive buffer
SLOW_TIME_S = 120  # time limit of its requests; a test that is starved must not reach it
LIMIT_S = 60    # only what never comes takes so long
LOOK_S = 0.05   # between two looks

RNG = standin.seeded(os.getpid())  # of ports: runs beside each other must not meet
PROGRAMS = sys.argv.pop(1) if len(sys.argv) > 1 else "build/release/bin"
DECLARED = {"Version": 1, "Tenants": [], "Services": [{"Name": "web", "HealthPath": "/health"}, {"Name": "slow", "HealthPath": "/health"}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 30000, "IdleTimeoutMs": 30000},
            "Routes": [standin.route("page", "safe", "web", TimeoutMs=20000), standin.route("once", "unsafe", "web", TimeoutMs=20000),
                       standin.route("slow", "unsafe", "slow", TimeoutMs=SLOW_TIME_S * 1000), standin.route("hang", "unsafe", "slow", TimeoutMs=SLOW_TIME_S * 1000),
                       standin.route("turn", "unsafe", "slow", TimeoutMs=SLOW_TIME_S * 1000),
                       standin.route("flow", "streaming", "slow", TimeoutMs=SLOW_TIME_S * 1000, Resumable=True),
                       standin.route("stream", "streaming", "slow", TimeoutMs=SLOW_TIME_S * 1000, Resumable=True)]}


class SlowBackend(standin.Backend):
    async def execute(self, req, ident, run, writer, gone):
        if req.path.startswith("/turn/"):
            await standin.work(self.answer_s, gone)
            await standin.stop_watching(gone)
            return await self.send(run, writer, standin.answer(200, b"done", X_Request_Id=ident, X_Response_Seal="seal"))
        if req.path.startswith("/flow/"):
            return await self.stream(ident, run, writer, gone, self.answer_s / standin.EVENTS)
        if req.path.startswith("/stream/"):
            event = b"id: 1\ndata: first\n\n"
            head = f"HTTP/1.1 200 X\r\nX-Request-Id: {ident}\r\nContent-Type: text/event-stream\r\nX-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
            await self.send(run, writer, head.encode() + f"{len(event):x}\r\n".encode() + event + b"\r\n")
        if req.path.startswith("/slow/big"):
            await self.released.wait()
            await standin.stop_watching(gone)
            return await self.send(run, writer, standin.answer(200, b"x" * BIG, X_Request_Id=ident, X_Response_Seal="seal"))
        if req.path.startswith("/stream/released"):
            await self.released.wait()
            await standin.stop_watching(gone)
            return await self.send(run, writer, b"0\r\n\r\n")
        await standin.work(SLOW_S if req.path.startswith("/slow/") else LIMIT_S, gone)
        await super().execute(req, ident, run, writer, gone)


class RouterDrain(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = os.path.join(os.path.dirname(os.path.abspath(PROGRAMS)), "logs", self._testMethodName)
        os.makedirs(folder, exist_ok=True)
        self.http, ready, internal, backend, slow, port = standin.free_ports(6, RNG)
        self.record = standin.Record()
        store = standin.Store()
        await store.listen(port)
        self.slow = SlowBackend("slow-1", "slow", slow, self.record, RNG)
        self.slow.released = asyncio.Event()  # for big answers and the end of some streams
        self.slow.answer_s = USUAL_S
        for server in (standin.Backend("web-1", "web", backend, self.record, RNG), self.slow):
            await server.listen()
            store.put("servers", server.id, server.row())
        store.put("op", "config", DECLARED)
        path = os.path.join(folder, "router.toml")
        with open(path, "w") as f:
            f.write(f'name = "router"\ndata_centre = "dc-1"\nstore = "127.0.0.1:{port}"\nthreads = 1\nhttp_listen = "127.0.0.1:{self.http}"\n'
                    f'ready_listen = "127.0.0.1:{ready}"\n[internal]\nip = "127.0.0.1"\nport = {internal}\n')
        self.log = os.path.join(folder, "router.log")
        with open(self.log, "wb") as log:
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

    async def status_of(self, body, rest=b"", between=None, path="/page/x", ident="r"):
        """Of a request whose body comes in two parts; 0: no answer."""
        head = f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {ident}\r\nContent-Length: {len(body) + len(rest)}\r\n\r\n"
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

    async def terminate_and_wait(self):
        await asyncio.sleep(LOOK_S)  # the first part is at the router
        self.router.send_signal(signal.SIGTERM)
        await asyncio.sleep(LATE_S)

    async def test_the_router_does_not_end_before_its_callers_have_their_answers(self):
        """The rest of an answer may lie in the send buffer when the handler is done, and be lost with the network of a process that ended."""
        await self.read_late(half_closes=False, answered_before=False)

    async def test_the_router_does_not_end_before_half_closed_callers_have_their_answers(self):
        """A connection that is shut down on both sides looked to the router as one that was reset."""
        await self.read_late(half_closes=True, answered_before=False)

    async def test_the_router_does_not_end_before_callers_that_were_answered_before_the_signal_have_their_answers(self):
        """Their connections are idle then, and are closed at once."""
        await self.read_late(half_closes=False, answered_before=True)

    async def test_the_router_does_not_end_before_callers_whose_connections_it_closed_before_the_signal_have_their_answers(self):
        """The router was done with the connection as the signal came."""
        await self.read_late(half_closes=False, answered_before=True, fields="Connection: close\r\n")

    async def test_an_answer_is_whole_though_its_caller_sent_more(self):
        """Bytes lay unread as the connection was closed: it was reset, and what was left in the send buffer was lost."""
        await self.read_late(half_closes=False, answered_before=True, fields="Connection: close\r\n", more=b"\r\n")

    async def test_a_request_that_came_with_the_one_before_it_is_answered(self):
        """The first answer's head was sent before the signal and keeps the connection; the router closed it behind that answer all the same."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.http)
        for path, ident in (("/stream/released", "first"), ("/page/x", "second")):
            writer.write(f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {ident}\r\nContent-Length: 0\r\n\r\n".encode())
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT_S)).lower()
        self.assertNotIn(b"connection: close", head)
        await asyncio.wait_for(reader.readuntil(b"data: first\n\n\r\n"), LIMIT_S)
        self.router.send_signal(signal.SIGTERM)
        while "ProcessDraining" not in open(self.log).read():
            await asyncio.sleep(LOOK_S)
        self.slow.released.set()
        rest = await asyncio.wait_for(reader.read(), LIMIT_S)
        self.assertTrue(rest.startswith(b"0\r\n\r\n"), "the first answer isn't whole")
        self.assertIn(b"HTTP/1.1 200", rest, "the second request has no answer")

    async def read_late(self, half_closes, answered_before, fields="", more=b""):
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", self.http))
        await asyncio.get_running_loop().sock_sendall(
            caller, f"POST /slow/big HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: big\r\n{fields}Content-Length: 0\r\n\r\n".encode() + more)
        if half_closes:
            caller.shutdown(socket.SHUT_WR)
        end = time.monotonic() + LIMIT_S
        while not self.record.runs.get("big"):
            self.assertLess(time.monotonic(), end, "the request doesn't reach its server")
            await asyncio.sleep(LOOK_S)
        if answered_before:
            self.slow.released.set()
            while "big" not in self.logged("RequestSettled"):
                await asyncio.sleep(LOOK_S)
        self.router.send_signal(signal.SIGTERM)
        while "ProcessDraining" not in open(self.log).read():
            await asyncio.sleep(LOOK_S)
        self.slow.released.set()
        await asyncio.sleep(NOTICE_S)
        self.assertEqual(self.logged("RequestSettled")["big"]["status"], 200, "the answer isn't sent; is the send buffer too small for it?")
        size, read_from = 0, time.time()
        while data := await asyncio.get_running_loop().sock_recv(caller, 65536):
            size += len(data)
        caller.close()
        self.assertGreater(size, BIG)
        await asyncio.get_running_loop().run_in_executor(None, self.router.wait, LIMIT_S)
        stopped = next(line for line in self.log_lines() if line["name"] == "ProcessStopped")
        # A router that is past the longest drain ends all the same; this test may have been starved for so long.
        self.assertTrue(stopped["t"] > read_from or not stopped["drained"], "it ended before its caller read the answer")
        self.assertEqual(self.logged("RequestCutOff"), {})

    def logged(self, event):
        """The lines of an event, by request id."""
        return {line["id"]: line for line in self.log_lines() if line["name"] == event}

    def log_lines(self):
        """Without what a sanitizer writes of other libraries."""
        with open(self.log) as f:
            return [json.loads(line) for line in f if line.startswith("{") and line.endswith("}\n")]

    async def test_a_request_that_could_not_be_answered_before_the_router_ends_does_not_run(self):
        """Its body ends when the router has less time left than such an answer takes."""
        self.assertEqual(await self.status_of(b"", path="/slow/x", ident="before"), 200)  # from it the router knows how long answers take
        self.assertEqual(await self.status_of(b"first", b"last", self.terminate_and_wait, path="/slow/x", ident="late"), 503)
        self.assertEqual(self.record.runs.get("late"), None)
        settled = self.logged("RequestSettled").get("late", {})
        self.assertTrue("late" in self.logged("UploadRefused") or settled.get("status") == 503, "the refusal has no line")

    async def answer_to(self, path, ident, last_byte_s):
        """Returns the status of a request that begins now, and whether its answer is whole; (0, False): there is none."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.http)
            writer.write(f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {ident}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbo".encode())
            await asyncio.sleep(last_byte_s)
            writer.write(b"dy")
            answer = await asyncio.wait_for(reader.read(), LIMIT_S)
            writer.close()
            head, _, body = answer.partition(b"\r\n\r\n")
            length = next((int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")), None)
            whole = body.endswith(b"0\r\n\r\n") if length is None else len(body) == length
            return int(answer.split()[1]), whole
        except (OSError, IndexError):
            return 0, False

    async def check_longer_answers(self, path):
        for n in range(USUAL):
            self.assertEqual(await self.answer_to(path, f"usual-{n}", 0), (200, True))
        late = [asyncio.ensure_future(self.answer_to(path, f"late-{n}", s)) for n, s in enumerate(LAST_BYTES_S)]
        await asyncio.sleep(LOOK_S)  # their heads are at the router
        self.router.send_signal(signal.SIGTERM)
        while "ProcessDraining" not in open(self.log).read():  # a connection of before that rests may be closed
            await asyncio.sleep(LOOK_S)
        early = await self.answer_to(path, "early", 0)
        self.slow.answer_s = LONGER_S
        answers = await asyncio.gather(*late)
        lost = [n for n, (status, whole) in enumerate(answers) if self.record.runs.get(f"late-{n}") and (status != 200 or not whole)]
        self.assertEqual(lost, [], f"ran and have no whole answer; all: {answers}")
        self.assertEqual([status for status, _ in answers if status not in (200, 503)], [])
        self.assertEqual(early, (200, True), "refused though the router had time for many such answers")

    async def test_requests_that_may_not_be_repeated_do_not_run_late_though_answers_were_short(self):
        await self.check_longer_answers("/turn/x")

    async def test_streams_are_not_begun_late_though_answers_were_short(self):
        await self.check_longer_answers("/flow/x")

    async def test_a_request_of_a_service_that_has_answered_nothing_here_yet_is_served(self):
        """A router that has only just started knows no answer's time."""
        self.router.send_signal(signal.SIGTERM)
        await asyncio.sleep(LOOK_S)
        self.slow.released.set()
        self.assertEqual(await self.status_of(b"", path="/slow/big", ident="first"), 200)

    async def test_a_request_that_can_be_answered_before_the_router_ends_is_served_as_late_as_that(self):
        self.assertEqual(await self.status_of(b"", path="/slow/x", ident="before"), 200)
        self.assertEqual(await self.status_of(b"first", b"last", self.terminate_and_wait, ident="late"), 200)

    async def test_requests_in_progress_as_the_router_ends_are_answered_and_logged(self):
        """Their servers are silent. 502 makes no promise; a stream that has begun can't be told, and is cut off."""
        async def read_stream():
            reader, writer = await asyncio.open_connection("127.0.0.1", self.http)
            writer.write(b"POST /stream/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: stream\r\nContent-Length: 0\r\n\r\n")
            return await asyncio.wait_for(reader.read(), LIMIT_S)

        stream = asyncio.create_task(read_stream())
        whole = asyncio.create_task(self.status_of(b"", path="/hang/x", ident="whole"))
        end = time.monotonic() + LIMIT_S
        while not all(self.record.runs.get(ident) for ident in ("whole", "stream")):
            self.assertLess(time.monotonic(), end, "the requests don't reach their server")
            await asyncio.sleep(LOOK_S)
        self.router.send_signal(signal.SIGTERM)
        self.assertEqual(await whole, 502)
        answer = await stream
        self.assertIn(b"first", answer)
        self.assertFalse(answer.endswith(b"\r\n0\r\n\r\n"), "a cut stream looks complete")
        await asyncio.get_running_loop().run_in_executor(None, self.router.wait, LIMIT_S)
        cut_off = self.logged("RequestCutOff")
        self.assertEqual(sorted(cut_off), ["stream", "whole"])
        self.assertEqual((cut_off["stream"]["events"], cut_off["stream"]["servers"]), (1, ["slow-1"]))
        self.assertEqual(self.logged("AnswerBroken")["stream"]["cause"], "router-ends")


if __name__ == "__main__":
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    unittest.main(verbosity=2, warnings="ignore")  # sockets that end with the process
