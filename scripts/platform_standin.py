"""A stand-in of the users' platform for the soak: its store, and backend servers behind a proxy that spoils connections.

All on loopback in one event loop. It speaks the published protocol only as far as routers use it, and keeps a record of what ran where.
"""
import asyncio
import base64
import json
import random
import socket
import time
from dataclasses import dataclass, field
from urllib.parse import unquote

EVENTS = 6             # of a whole stream
STORE_SILENCE_S = 30   # how long a silent store keeps a caller waiting
FEED_POLL_S = 0.02     # how often a standing read looks for changes


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
        end = time.monotonic() + int(req.query.get("WaitMs", 0)) / 1000
        while feed and not self.changes(table, since) and time.monotonic() < end and not self.turns_away(caller):
            await asyncio.sleep(FEED_POLL_S)
        if self.turns_away(caller):
            return answer(503)
        rows = self.changes(table, since) if feed else self.whole(table, req.query)
        if table == "op":
            self.sent += [SentRow(caller, row.key, row.version, len(row.value or "")) for row in rows]
        body = {"Rows": [row.encode() for row in rows], "more": False, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}
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


@dataclass
class Run:
    at: float
    server: str
    service: str
    resumed_after: int


@dataclass
class Record:
    """What backend servers saw, by request id."""
    runs: dict = field(default_factory=dict)      # id -> [Run]
    arrivals: dict = field(default_factory=dict)  # server -> [(time, id)]


class Backend:
    """One lifetime of a backend server, behind its proxy. Faults by share of requests: `lose` (it runs, the answer is lost), `cut` (a stream
    breaks within an event), `refuse` (it says that it did not run the request).
    Modes of the proxy: "pass", "delay", "reset", "one-way" (answers are lost), "silent" (nothing passes either way)."""

    def __init__(self, ident, service, port, record, rng):
        self.id, self.service, self.port, self.record, self.rng = ident, service, port, record, rng
        self.lose = self.cut = self.refuse = 0.0
        self.proxy = "pass"
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def crash(self):
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
                await self.handle(await read_request(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the caller left, or the run is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send(self, writer, data):
        if self.proxy == "reset":
            reset(writer)
            raise ConnectionResetError
        if self.proxy == "delay":
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
        if self.proxy not in ("one-way", "silent"):
            writer.write(data)
            await writer.drain()

    async def handle(self, req, writer):
        if self.proxy == "silent":
            return await asyncio.sleep(STORE_SILENCE_S)
        ident = req.fields["x-request-id"]
        echo = {"X_Request_Id": ident}
        if req.fields.get("x-expect-instance") != self.id:
            return await self.send(writer, answer(421, **echo))
        self.record.arrivals.setdefault(self.id, []).append((time.monotonic(), ident))
        if self.rng.random() < self.refuse:
            return await self.send(writer, answer(503, X_Not_Executed="1", **echo))
        after = int(req.fields.get("last-event-id") or 0)
        self.record.runs.setdefault(ident, []).append(Run(time.monotonic(), self.id, self.service, after))
        await asyncio.sleep(self.rng.uniform(0.001, 0.05))
        if self.rng.random() < self.lose:
            reset(writer)
            raise ConnectionResetError
        if req.path.startswith("/stream/"):
            return await self.stream(ident, after, writer)
        body = f"{ident} by {self.id}".encode()
        await self.send(writer, answer(200, body, X_Response_Seal=f"seal-{self.id}-{ident}", **echo))

    async def stream(self, ident, after, writer):
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {ident}\r\nContent-Type: text/event-stream\r\nX-Response-Seal: seal-{self.id}-{ident}\r\n"
        await self.send(writer, (head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for n in range(after + 1, EVENTS + 1):
            event = f"id: {n}\ndata: {ident} {n}\n\n".encode()
            if self.rng.random() < self.cut:
                await self.send(writer, f"{len(event):x}\r\n".encode() + event[:7])
                reset(writer)
                raise ConnectionResetError
            await self.send(writer, f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(self.rng.uniform(0.001, 0.02))
        await self.send(writer, b"0\r\n\r\n")


class ModelServer:
    """What an agent asks of the model server on its box: it serves version 1 and is idle."""

    SERVICE = {"Name": "model", "Engine": {"Models": [{"Name": "m", "WarmS": 1}], "Slots": 8, "chunks": 1, "chunk_bytes": 1024}}
    REPORT = {"Running": 0, "Queued": 0, "pace": 1, "CallSeq": 0, "Models": [{"Name": "m", "Version": 1}]}

    @staticmethod
    async def serve(reader, writer):
        try:
            while True:
                req = await read_request(reader)
                body = json.dumps(ModelServer.REPORT if req.path == "/report" else {"held": []}).encode()
                writer.write(answer(200, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the agent left, or the test is over
        finally:
            writer.close()

    @staticmethod
    def row(address):
        return {"Service": "model", "Address": address, "Zone": "dc-1", "Slots": 8, "State": "ready", "Models": [{"Name": "m", "Version": 1}]}


def route(name, kind, service, **more):
    return {"Name": name, "Host": "soak.example", "PathPrefix": f"/{name}/", "Kind": kind, "Service": service, "TimeoutMs": 4000, "GoalMs": 500,
            "Priority": 1, "MaxAttempts": 1 if kind == "unsafe" else 2, "Public": True, **more}


def declarations(version):
    """Even versions send /flip/ to service b, odd ones to a."""
    flip = "b" if version % 2 == 0 else "a"
    return {"Version": version, "Tenants": [], "Services": [{"Name": "a", "HealthPath": "/health"}, {"Name": "b", "HealthPath": "/health"}, ModelServer.SERVICE],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Routes": [route("once", "unsafe", "a"), route("safe", "safe", "a"), route("flip", "safe", flip),
                       route("stream", "streaming", "a", Resumable=True, gap_aim_ms=400)]}


def free_ports(count, rng):
    """Ports that nobody listens on now, below the range from which the system takes its own."""
    out = []
    while len(out) < count:
        port = rng.randrange(12_000, 30_000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in out:
            out.append(port)
    return out


def seeded(seed):
    return random.Random(seed)
