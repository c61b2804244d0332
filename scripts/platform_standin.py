"""A stand-in of the users' platform for the soak: its store, and backend servers behind a proxy that spoils connections.

All on loopback in one event loop. It speaks the published protocol only as far as routers use it, and keeps a record of what ran where.
"""
import asyncio
import base64
import hashlib
import json
import random
import socket
import struct
import time
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import unquote

EVENTS = 6             # of a whole stream
PAUSE_S = (0.5, 3.5)   # how long a stream server that pauses stands still
ASKED_PAUSE_S = (1, 4) # for how long a server that asks for it wants no request
STORE_SILENCE_S = 30   # how long a silent store keeps a caller waiting
FEED_POLL_S = 0.02     # how often a standing read looks for changes
BROKEN_OFF = 0.3       # share of answers without a length that don't come to their end
HALVES_S = 0.01        # between the halves of a plain answer without a length


@dataclass
class Request:
    method: str
    path: str
    query: dict
    fields: dict
    body: bytes


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        if ": " in line:
            name, value = line.split(": ", 1)
            fields[name.lower()] = value
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    path, _, query = target.partition("?")
    return Request(method, path, {name: unquote(value) for name, _, value in (p.partition("=") for p in query.split("&") if p)}, fields, body)


def answer(status, body=b"", **fields):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return head.encode() + b"\r\n" + body


def reset(writer):
    writer.transport.abort()


def reset_on_close(writer, on):
    """Without it a connection that is aborted may end in order, which completes an answer without a length."""
    if writer.is_closing():
        raise ConnectionResetError
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", on, 0))


def part_ids(req):
    return [part.partition(":")[0] for part in req.fields.get("x-prompt-prefix", "").split(",")]


@dataclass
class RowVersion:
    """A row as one write left it."""
    table: str
    key: str
    value: str  # base64; None: the row is gone
    version: int

    def encode(self):
        out = {"table": self.table, "part": "", "TlsKey": self.key, "ver": self.version}
        return out | ({"gone": True} if self.value is None else {"Value": self.value})


@dataclass
class SentRow:
    """A row version that was sent to a caller."""
    caller: str
    key: str
    version: int
    size: int  # bytes of its value in the answer


class Store:
    """Rows of tables with one rising version. Faults: None, "busy" (503), "reset", "silent".

    A whole read gives the newest version of each row, a read of changes every version since. Callers are told apart by the port that they call."""

    def __init__(self):
        self.version = 1
        self.written = []     # RowVersion, oldest first
        self.fault = None
        self.refused = set()  # callers that get 503
        self.sent = []        # SentRow of table "op"
        self.whole_reads = []  # (caller, table), of tables that were read from their first row
        self.feeds = Counter()  # by table: standing requests that wait for changes
        self.feeds_begun = Counter()  # by caller and table
        self.reads_answered = Counter()  # by caller and table: reads that got rows or the word that there are none
        self.rows_read = Counter()  # by caller and table, with standing requests
        self.feeds_answered = {}  # by caller and table: when the last standing request that brought no row was answered
        self.on_whole_read = None  # called with both before the answer; may change who is refused

    async def listen(self, port, caller=""):
        await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, caller), "127.0.0.1", port)

    def put(self, table, key, value):
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.written.append(RowVersion(table, key, text, self.version))
        return self.version

    def changes(self, table, since):
        return [row for row in self.written if row.table == table and row.version > since]

    def whole(self, table, query):
        first, end = query.get("From", ""), query.get("TargetVersion", "")  # a range of keys
        newest = {row.key: row for row in self.written if row.table == table and row.key >= first and (not end or row.key < end)}
        return [row for _, row in sorted(newest.items()) if row.value is not None]

    def turns_away(self, caller):
        return self.fault or caller in self.refused

    async def respond(self, req, caller):
        table, since = req.query["table"], int(req.query.get("SinceRev", 0))
        feed = req.path == "/rows-feed"
        if not feed and "From" not in req.query:
            self.whole_reads.append((caller, table))
            if self.on_whole_read:
                self.on_whole_read(caller, table)
        end = time.monotonic() + int(req.query.get("WaitMs", 0)) / 1000
        self.feeds[table] += 1 if feed else 0
        self.feeds_begun[caller, table] += 1 if feed else 0
        while feed and not self.changes(table, since) and time.monotonic() < end and not self.turns_away(caller):
            await asyncio.sleep(FEED_POLL_S)
        self.feeds[table] -= 1 if feed else 0
        if self.turns_away(caller):
            return answer(503)
        self.reads_answered[caller, table] += 1
        rows = self.changes(table, since) if feed else self.whole(table, req.query)
        more = not feed and len(rows) > int(req.query["limit"])
        rows = rows[:int(req.query["limit"])] if more else rows
        self.rows_read[caller, table] += len(rows)
        if feed and not rows:
            self.feeds_answered[caller, table] = time.monotonic()
        if table == "op":
            self.sent += [SentRow(caller, row.key, row.version, len(row.value or "")) for row in rows]
        body = {"Rows": [row.encode() for row in rows], "more": more, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        return answer(200, json.dumps(body).encode())

    async def serve(self, reader, writer, caller):
        try:
            while True:
                req = await read_request(reader)
                out = answer(503) if self.turns_away(caller) else await self.respond(req, caller)
                if self.fault == "silent":
                    await asyncio.sleep(STORE_SILENCE_S)
                if self.fault == "reset":
                    return reset(writer)
                writer.write(answer(503) if self.fault else out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the caller left, or the run is over
        finally:
            writer.close()


FINISHED = "finished"
CUT_BY_ROUTER = "cut by router"


@dataclass
class Run:
    at: float
    server: str
    service: str
    resumed_after: int
    event_at: float = 0.0  # when its last event, or its answer, was sent
    last_event: int = 0    # number of the last event that was sent, or that it was resumed after
    until_close: bool = False  # its answer has no length
    over: float = 0.0      # when its work ended; 0: at work
    end: str = ""          # "" while at work, FINISHED, CUT_BY_ROUTER, or the fault by which the server broke it off

    def went_on_instead_of(self, other):
        """It sent an event beyond those that the other one had sent or was to go on after, or the same one later. An event may have been on its way while the other one began."""
        return self.last_event > other.last_event or self.last_event == other.last_event and self.event_at > max(other.at, other.event_at)

    def event_sent(self, number):
        if not self.end:  # else it was lost on the way
            self.event_at, self.last_event = time.monotonic(), number


@dataclass
class Statement:
    """What a server said of itself in an answer that left it whole."""
    server: str
    ident: str
    rule: str     # PAUSE or LEAVING
    until: float  # no request is to reach it from the router that got the answer


@dataclass
class Record:
    """What backend servers saw, by request id."""
    runs: dict = field(default_factory=dict)      # id -> [Run]
    arrivals: dict = field(default_factory=dict)  # server -> [(time, id)]
    statements: list = field(default_factory=list)

    def kept(self, ident):
        """Runs that their servers didn't break off, and that no other run of the request went on in place of."""
        runs = self.runs.get(ident, [])
        return [r for r in runs if r.end in ("", FINISHED, CUT_BY_ROUTER) and not any(other.went_on_instead_of(r) for other in runs)]

    def ends(self):
        return Counter(r.end or "at work" for runs in self.runs.values() for r in runs)


async def end_of(reader):
    """Comes back when the other side closes a connection on which it sends nothing meanwhile."""
    try:
        await reader.read(1)
    except ConnectionError:
        pass


async def work(seconds, gone):
    """Lasts so long, or ends by ConnectionResetError as soon as `gone` does."""
    await asyncio.wait([gone], timeout=seconds)
    if gone.done():
        raise ConnectionResetError


async def stop_watching(gone):
    gone.cancel()
    await asyncio.wait([gone])


class Backend:
    """One lifetime of a backend server, behind its proxy. Faults by share of requests: `lose` (it runs, the answer is lost), `cut` (a stream
    breaks within an event), `refuse` (it says that it did not run the request), `pause` (a stream stands still for a while, and goes on).
    All its streams stand still until `still_until`. By share of requests: `ask_pause` (503 with Retry-After). `leaving`: all its answers say so.
    By share of answers: `until_close` (no length, the connection ends). `on_crash` is called as it begins to answer a request with `crash_part`.
    Modes of the proxy: "pass", "delay", "reset", "one-way" (answers are lost), "silent" (nothing passes either way)."""

    def __init__(self, ident, service, port, record, rng):
        self.id, self.service, self.port, self.record, self.rng = ident, service, port, record, rng
        self.lose = self.cut = self.refuse = self.pause = self.still_until = 0.0
        self.ask_pause = 0.0
        self.leaving = False
        self.until_close = 0.0
        self.crash_part, self.on_crash = None, None
        self.proxy = "pass"
        self.crashed = False
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def crash(self):
        self.crashed = True
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def row(self, state="ready"):
        return {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": "dc-1", "Version": "1", "Slots": 16, "State": state,
                "ColdLeftMs": 0, "CallSeq": 0}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.handle(await read_request(reader), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the caller left, or the run is over
        finally:
            self.writers.discard(writer)
            writer.close()

    def break_off(self, run, writer, fault):
        run.end = run.end or fault
        reset(writer)
        raise ConnectionResetError

    async def send(self, run, writer, data):
        if self.proxy == "reset":
            self.break_off(run, writer, "reset")
        if self.proxy == "delay":
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
        if self.proxy in ("one-way", "silent"):
            run.end = run.end or self.proxy
        if not run.end:  # a connection that lost bytes gives no later ones
            writer.write(data)
            await writer.drain()

    async def handle(self, req, reader, writer):
        if self.proxy == "silent":
            return await asyncio.sleep(STORE_SILENCE_S)
        ident = req.fields["x-request-id"]
        echo = {"X_Request_Id": ident} | self.own_fields()
        resumed_after = int(req.fields.get("last-event-id") or 0)
        run = Run(time.monotonic(), self.id, self.service, resumed_after, last_event=resumed_after)
        if req.fields.get("x-expect-instance") != self.id:
            return await self.send(run, writer, answer(421, **echo))
        self.record.arrivals.setdefault(self.id, []).append((run.at, ident))
        if self.rng.random() < self.refuse:
            return await self.send(run, writer, answer(503, X_Not_Executed="1", **echo))
        if self.ask_pause and self.rng.random() < self.ask_pause:
            return await self.turn_away(ident, run, writer, echo)
        self.record.runs.setdefault(ident, []).append(run)
        gone = asyncio.ensure_future(end_of(reader))
        try:
            await self.execute(req, ident, run, writer, gone)
            run.end = run.end or FINISHED
        except ConnectionError:
            run.end = run.end or ("crash" if self.crashed else CUT_BY_ROUTER)
            raise
        finally:
            run.over = time.monotonic()
            gone.cancel()

    def own_fields(self):
        return {"Server_Leaving": "1"} if self.leaving else {}

    def state(self, ident, rule, until):
        if self.proxy == "pass":
            self.record.statements.append(Statement(self.id, ident, rule, until))

    async def turn_away(self, ident, run, writer, fields):
        pause = round(self.rng.uniform(*ASKED_PAUSE_S), 3)
        self.state(ident, "PAUSE", time.monotonic() + pause)
        await self.send(run, writer, answer(503, X_Not_Executed="1", Retry_After=f"{pause:.3f}", **fields))

    async def execute(self, req, ident, run, writer, gone):
        await work(self.rng.uniform(0.001, 0.05), gone)
        if self.rng.random() < self.lose:
            self.break_off(run, writer, "lose")
        if self.crash_part in part_ids(req):
            self.on_crash(self)
            raise ConnectionResetError
        if self.until_close and self.rng.random() < self.until_close:
            run.until_close = True
            reset_on_close(writer, True)
        answer_s = float(req.path.rpartition("/")[2]) if req.path.startswith(("/late/", "/flow/")) else 0.0
        if req.path.startswith(("/stream/", "/flow/")):
            return await self.stream(ident, run, writer, gone, answer_s / EVENTS)
        if answer_s:
            await work(answer_s, gone)
        await stop_watching(gone)
        body = f"{ident} by {self.id}".encode()
        if self.leaving:
            self.state(ident, "LEAVING", float("inf"))
        fields = {"X_Request_Id": ident, "X_Response_Seal": f"seal-{self.id}-{ident}"} | self.own_fields()
        if run.until_close:
            await self.send_until_close(run, writer, body, fields)
        else:
            await self.send(run, writer, answer(200, body, **fields))
        run.event_sent(0)

    async def send_until_close(self, run, writer, body, fields):
        head = "HTTP/1.1 200 X\r\nConnection: close\r\n" + "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
        half = len(body) // 2
        await self.send(run, writer, head.encode() + b"\r\n" + body[:half])
        await asyncio.sleep(HALVES_S)
        if self.rng.random() < BROKEN_OFF:
            self.break_off(run, writer, "reset midway")
        await self.send(run, writer, body[half:])
        self.close_in_order(run, writer)

    def close_in_order(self, run, writer):
        if not run.end:  # else bytes were lost on the way
            reset_on_close(writer, False)
            writer.close()

    def break_off_event(self, run, writer):
        if self.rng.random() < 0.5:
            self.break_off(run, writer, "reset midway")
        self.close_in_order(run, writer)
        run.end = run.end or "ended inside an event"
        raise ConnectionResetError

    async def stand_still(self, pauses, gone):
        if pauses:
            await work(self.rng.uniform(*PAUSE_S), gone)
        if self.still_until > time.monotonic():
            await work(self.still_until - time.monotonic(), gone)

    async def stream(self, ident, run, writer, gone, between_s=0.0):
        pause_before = self.rng.randint(0, EVENTS) if self.rng.random() < self.pause else -1  # 0: before the head
        await self.stand_still(pause_before == 0, gone)
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {ident}\r\nContent-Type: text/event-stream\r\nX-Response-Seal: seal-{self.id}-{ident}\r\n"
        if self.leaving:
            head += "Server-Leaving: 1\r\n"
            self.state(ident, "LEAVING", float("inf"))
        await self.send(run, writer, (head + ("Connection: close" if run.until_close else "Transfer-Encoding: chunked") + "\r\n\r\n").encode())
        broken_at = self.rng.randint(1, EVENTS) if run.until_close and self.rng.random() < BROKEN_OFF else 0
        for n in range(run.resumed_after + 1, EVENTS + 1):
            await self.stand_still(n == pause_before, gone)
            event = f"id: {n}\ndata: {ident} {n}\n\n".encode()
            before, after = (b"", b"") if run.until_close else (f"{len(event):x}\r\n".encode(), b"\r\n")
            if self.rng.random() < self.cut:
                await self.send(run, writer, before + event[:7])
                self.break_off(run, writer, "cut")
            if n == broken_at:
                await self.send(run, writer, event[:7])
                self.break_off_event(run, writer)
            await self.send(run, writer, before + event + after)
            run.event_sent(n)
            await work(self.rng.uniform(0.001, 0.02) + between_s, gone)
        await stop_watching(gone)
        if run.until_close:
            return self.close_in_order(run, writer)
        await self.send(run, writer, b"0\r\n\r\n")


class ModelServer:
    """What an agent asks of the model server on its box: it serves version 1 and is idle."""

    SERVICE = {"Name": "model", "Engine": {"Models": [{"Name": "m", "WarmS": 1}], "Slots": 8, "chunks": 1, "chunk_bytes": 1024, "read_per_s": 20_000,
                                           "usual": {"prompt": 100, "answer": 20}}}
    REPORT = {"Running": 0, "Queued": 0, "pace": 1, "CallSeq": 0, "Models": [{"Name": "m", "Version": 1}]}

    @classmethod
    async def serve(cls, reader, writer):
        try:
            while True:
                req = await read_request(reader)
                body = json.dumps(cls.REPORT if req.path == "/report" else {"held": []}).encode()
                writer.write(answer(200, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the agent left, or the test is over
        finally:
            writer.close()

    @staticmethod
    def row(address):
        return {"Service": "model", "Address": address, "Zone": "dc-1", "Slots": 8, "State": "ready", "Models": [{"Name": "m", "Version": 1}]}


class OrderedServer:
    """A model server that holds one version of the weights and no pieces of others. It takes orders to start, and begins requests on what it holds."""

    LAYERS = 16

    def __init__(self):
        self.version = 1
        self.layers = self.LAYERS  # that it holds, from the first one on
        self.orders = 0
        self.report_delay_s = 0
        self.lost_orders = 0       # that are still to be left without an answer and without effect
        self.lost = []             # what those asked for
        self.never = asyncio.Event()
        self.order_requests = []   # when each order came
        self.way_s = None          # returns the time that a request takes to it; None: none
        self.begun = []            # (time, version, request id)
        self.stopped = []          # times of orders that left it without layers

    def hold(self, version):
        self.version, self.layers = version, self.LAYERS

    def report(self):
        held = {"From": 0, "TargetVersion": self.layers, "Version": self.version} if self.layers else None
        models = [{"Name": "m", "Version": self.version}] if self.layers else []
        return {"Running": 0, "Queued": 0, "pace": 1, "CallSeq": self.orders, "Models": models, "layers": held}

    def order(self, wanted):
        if wanted.get("ExpectRev", self.orders) != self.orders or wanted["Version"] != self.version:
            return 409
        layers = wanted.get("TargetVersion", self.LAYERS) - wanted.get("From", 0)
        if layers == self.layers:
            return 200
        self.layers = layers
        self.orders += 1
        if layers == 0:
            self.stopped.append(time.monotonic())
        return 202

    def begin(self, req):
        if self.layers != self.LAYERS:
            return answer(503, X_Not_Executed="1")
        ident = req.fields.get("x-request-id", "")
        self.begun.append((time.monotonic(), self.version, ident))
        return answer(200, X_Request_Id=ident, X_Response_Seal="1")

    async def respond(self, req):
        if req.path == "/report":
            await asyncio.sleep(self.report_delay_s)
            return answer(200, json.dumps(self.report()).encode())
        if req.path == "/order":
            self.order_requests.append(time.monotonic())
            if self.lost_orders > 0:
                self.lost_orders -= 1
                self.lost.append(json.loads(req.body))
                await self.never.wait()  # until the connection ends
            return answer(self.order(json.loads(req.body)))
        if req.path.startswith("/stage-get/"):
            return answer(200, b'{"held": []}')
        if self.way_s:
            await asyncio.sleep(self.way_s())
        return self.begin(req)

    async def serve(self, reader, writer):
        try:
            while True:
                writer.write(await self.respond(await read_request(reader)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the caller left, or the test is over
        finally:
            writer.close()


class StagingServer(OrderedServer):
    """Starts a version once all its pieces lie here. It checks none of them."""

    def __init__(self, origin):
        super().__init__()
        self.origin = origin
        self.staged = {}   # by number
        self.started = []  # versions of orders that were taken
        self.whole = True  # every piece of what it holds was right as it took them

    def crash(self):
        self.version = self.layers = self.orders = 0

    def lose_power(self):
        self.crash()
        self.staged = {}

    def turn_corrupt(self, number):
        self.staged[number] = bytes(byte ^ 0x55 for byte in self.staged[number])

    def take(self, wanted):
        """Loads what lies here, also with pieces missing."""
        version = wanted["Version"]
        self.hold(version)
        self.orders += 1
        self.started.append(version)
        self.whole = all(self.staged.get(n) == self.origin.piece(version, n) for n in range(self.origin.PIECES))

    def order(self, wanted):
        if wanted.get("TargetVersion", self.LAYERS) != self.LAYERS:
            return super().order(wanted)
        if wanted.get("ExpectRev", self.orders) != self.orders or len(self.staged) < self.origin.PIECES:
            return 409
        if (wanted["Version"], self.LAYERS) == (self.version, self.layers):
            return 200
        self.take(wanted)
        return 202

    async def respond(self, req):
        number = int(req.query.get("n", -1))
        if req.path.startswith("/stage-put/"):
            self.staged[number] = req.body
            return answer(200)
        if not req.path.startswith("/stage-get/"):
            return await super().respond(req)
        if number < 0:
            return answer(200, json.dumps({"held": sorted(self.staged)}).encode())
        return answer(200, self.staged[number]) if number in self.staged else answer(404)


class Origin:
    """The origin of the weights of model "m". It gives out the two newest versions that were named; without a version, the newest one. Faults as of the store."""

    PIECES = 4
    PIECE_BYTES = 1024

    def __init__(self, port):
        self.port = port
        self.named = 1
        self.fault = None
        self.delay_s = 0  # before each answer
        self.requests = 0

    async def listen(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def service(self):
        return {"Name": "origin", "origin": f"127.0.0.1:{self.port}", "Zone": "dc-1", "LinkMbps": 100, "MaxConns": 48}

    def piece(self, version, number):
        return f"{version}/{number}".encode().ljust(self.PIECE_BYTES, b".")

    def respond(self, req):
        version = int(req.query.get("Version", self.named))
        if version not in (self.named - 1, self.named):
            return answer(410 if version < self.named else 404)
        if req.path.startswith("/piece/"):
            return answer(200, self.piece(version, int(req.query["n"])))
        digests = [hashlib.sha256(self.piece(version, n)).hexdigest() for n in range(self.PIECES)]
        return answer(200, json.dumps({"Model": "m", "Version": version, "chunk_bytes": self.PIECE_BYTES, "digests": digests}).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                req = await read_request(reader)
                self.requests += 1
                await asyncio.sleep(self.delay_s)
                if self.fault == "silent":
                    await asyncio.sleep(STORE_SILENCE_S)
                if self.fault == "reset":
                    return reset(writer)
                writer.write(answer(503) if self.fault else self.respond(req))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the agent left, or the test is over
        finally:
            writer.close()


def route(name, kind, service, **more):
    return {"Name": name, "Host": "soak.example", "PathPrefix": f"/{name}/", "Kind": kind, "Service": service, "TimeoutMs": 4000, "GoalMs": 500,
            "Priority": 1, "MaxAttempts": 1 if kind == "unsafe" else 2, "Public": True, **more}


def declarations(version):
    """Even versions send /flip/ to service b, odd ones to a."""
    flip = "b" if version % 2 == 0 else "a"
    return {"Version": version, "Tenants": [], "Services": [{"Name": "a", "HealthPath": "/health"}, {"Name": "b", "HealthPath": "/health"}, ModelServer.SERVICE],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 15000},
            "Routes": [route("once", "unsafe", "a"), route("safe", "safe", "a"), route("flip", "safe", flip),
                       route("stream", "streaming", "a", Resumable=True, gap_aim_ms=400)]}


def is_free(port):
    """On every address of this machine: routers of another soak beside this one have the same addresses."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as s:
            try:
                s.bind(("", port))
            except OSError:
                return False
    return True


_given_ports = set()


def free_ports(count, rng):
    """Ports that nobody uses now, below the range from which the system takes its own. None is given twice: its user may be down just now."""
    out = []
    while len(out) < count:
        port = rng.randrange(12_000, 30_000)
        if port not in _given_ports and is_free(port):
            _given_ports.add(port)
            out.append(port)
    return out


def seeded(seed):
    return random.Random(seed)
