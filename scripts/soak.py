"""Fault soak of the platform's router: real processes on loopback, faults from outside them, promises checked from both ends.

  scripts/soak --seed N [--seconds S] [--routers R] [--servers K] [--clients C] [--bounds] [--half-close] [--slow-bodies] [--pauses] [--leaving]
             [--crash-parts] [--until-close] [--model] [--late]

Exit status 0: every promise held. Promises without a clock are always checked:
  TWICE     a request that may run once runs at most once
  REFUSED   a request that was refused as not run did not run
  MIXED     an answer is the whole answer of one server to this request, under its seal
  ORDER     a stream has every event once and in order, and ends only after the last
  LOST      a request that reached a server is answered whole, unless its servers broke off, its time was over, or a signal of ours (SIGKILL,
            SIGSTOP) hit its router meanwhile; SIGTERM is no excuse, nor is a server that pauses and goes on
  REVERT    a router that has used new declarations does not go back to older ones in the same life
  EXIT      no process ends by itself
  RECOVER   when the faults are over every router serves again
With --bounds also those in seconds, which a loaded machine may break (not for CI):
  DRAIN     nothing new reaches a server later than the bound after it was named as draining, while router and store are undisturbed
  CONFIG    the same for older declarations
With --half-close some callers shut down their sending side after the request; LOST holds for them, too.
With --slow-bodies some bodies take longer than a head may; LOST holds also for those that reached no server.
With --pauses servers ask for a pause, some or all of a service at once, and with --leaving some say in their answers that they leave while the list calls them ready:
  PAUSE     nothing that a client sent after its router had passed on the outcome reaches the server from that life of the router until the pause is over
  LEAVING   the same after an answer that says that its server leaves
With --crash-parts some requests hold a part of a prompt that crashes every server that begins to answer; sound requests share their other parts:
  BUDGET    later than 3 s after the fifth crash at most three of them reach servers, from routers that ran undisturbed for the 3 s before
  LOST      from 6 s after it sound requests are answered at least half as often as before, while no other fault is on
With --until-close some answers have no length and end with their connection, and some of these are broken off; MIXED, ORDER and LOST hold for them, too.
With --model some callers ask model servers for more than these can serve, and send a refused request again, with a new id and mostly to another router; TWICE, REFUSED
and LOST hold for each attempt.
With --late more callers send requests that may outlast a drain: bodies that take up to 6 s, whole answers and streams of 1 to 5 s, a time limit of 12 s. Two routers
drain at once and get more of SIGTERM and SIGHUP meanwhile, while declarations change. LOST holds for these requests as for all others, also for those that reached no
server; excused are only those whose last byte was sent no later than 3 s after the SIGTERM and whose server was still at work in the last sixth of the grace.
"""
import argparse
import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field

import platform_standin as standin

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAMS = os.path.join(ROOT, "build", "release", "bin")
AGENTS = 2             # by which routers hear of each other; they are left alone
DRAIN_S = 2.0          # the platform's bound for draining servers
CONFIG_S = 2.0         # and for declarations
TOUCH_S = 3.0          # no bound holds until this long after a disturbance
SLACK_S = 0.5          # for this machine's own delays, with --bounds
GRACE_S = 8            # from SIGTERM to SIGKILL
ANSWER_S = 10          # longest wait of a client for an answer
TIME_S = 4.0           # a caller's time for a request, which is also its route's
END_SLACK_S = 0.02     # by which a router ends an attempt earlier that has no answer yet, so that it can tell its caller in time
HANDLERS_S = 1.0       # after which a process has set its handlers of signals; before that SIGHUP ends any program
HALF_CLOSED = 0.05     # share of requests, with --half-close
SLOW_BODIES = 0.1      # share of requests with a body, with --slow-bodies
SLOW_PARTS = 6         # of such a body, which together take longer than the declared HeaderTimeoutMs
SLOW_PAUSE_S = 0.25    # between parts
CROSSED_S = 0.5        # a connection that ended earlier may have been closed before its request was read
HEARD_S = 1.5          # a request that ended sooner was not given up by a time limit of its router, so that had the answers of its servers
RECOVER_S = 30         # for every router to serve again at the end
CRASHES = 5            # of servers, by a part of a prompt that must be blocked then
CRASHED_REQUESTS = 3   # with the part that may reach servers after that
CRASH_PAUSE_S = 0.12   # between requests with the part
CRASH_BACK_S = (1, 3)  # from the crash of a server until another one starts at its address
CALM_S = 2.0           # without faults, before the first and after the last, for shares of answered requests
SOUND_MIN = 20         # requests that a share is judged by
SOUND_SHARE = 0.5      # of the former share
CRASH_PART, SHARED_PART = "bad0", "5c1e07a2"
UNTIL_CLOSE = 0.2      # share of answers, with --until-close
MODEL_CALLERS = 40     # with --model; twice as many as the model servers have slots
MODEL_S = (0.2, 0.6)   # that a model server takes for a request
MODEL_TIME_S = (2, 3.6)  # a caller's time, under its route's: then the time left doesn't tell a retry (return_guess.h)
MODEL_LEFT_S = 0.5     # a request with less time isn't sent again: its router may give up just before that
MODEL_RETRIES = 20     # that a run with --model must have sent
LATE_KINDS = ("late", "flow")  # routes of whole answers and of streams, with --late
LATE_CALLERS = 48      # who call these
LATE_TIME_S = 12.0     # a caller's time for a request and its route's
LATE_BODIES = 0.5      # share of their requests whose bodies take time
LATE_BODY_S = 6.0      # longest of these
LATE_PARTS = 12        # of a body; the pauses between them are shorter than the declared HeaderTimeoutMs
LATE_ANSWER_S = (1, 5)  # that an answer takes
DRAINS_EACH = 8        # of faults is a drain of two routers
SENT_BY_S = 3.0        # from SIGTERM to the last byte of a request that may be cut off
AT_WORK_S = GRACE_S * 5 / 6  # from SIGTERM until its server must still be at work for that
REVERT_S = 0.25        # requests sent within this of each other may be handled by either version


@dataclass
class Router:
    name: str
    port: int
    ready: int
    ops: int
    ip: str                 # of links and datagrams between routers
    process: subprocess.Popen = None
    life: int = 0
    launched: float = 0.0   # when this life of it began
    disturbed: float = 0.0  # when the last disturbance ended
    ending: bool = False    # a signal of ours ends it


@dataclass
class Sent:
    ident: str
    kind: str
    router: str
    life: int
    at: float
    half_closed: bool = False
    slow: bool = False
    ended: float = 0.0
    status: int = 0  # 0: no whole answer
    body: bytes = b""
    seal: str = ""
    whole: bool = False
    keep: bool = False  # its connection takes another request
    time_s: float = TIME_S
    retry_after: float = 0.0
    again: bool = False  # an attempt of it was refused before
    sent: float = float("inf")  # its last byte


@dataclass
class ModelRequest:
    """The same at each attempt, but for the time left."""
    name: str
    time_s: float
    again: bool = False


class ModelBackend(standin.Backend):
    """A model server that also answers its agent."""

    def __init__(self, ident, ip, port, record, rng):
        super().__init__(ident, "model", port, record, rng)
        self.ip, self.running = ip, 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def handle(self, req, reader, writer):
        if "x-request-id" in req.fields:
            return await super().handle(req, reader, writer)
        body = standin.ModelServer.REPORT | {"Running": self.running} if req.path == "/report" else {"held": []}
        writer.write(standin.answer(200, json.dumps(body).encode()))
        await writer.drain()

    async def execute(self, req, ident, run, writer, gone):
        self.running += 1
        try:
            await standin.work(self.rng.uniform(*MODEL_S), gone)
            await super().execute(req, ident, run, writer, gone)
        finally:
            self.running -= 1


def oldest_unopposed(possible, named):
    """The oldest of the `possible` versions, all of one parity, after which none of the other parity is named; 0: none is."""
    for v in possible:
        if all(later in possible for later in named if later > v):
            return v
    return 0


@dataclass
class Soak:
    args: argparse.Namespace
    rng: object
    folder: str
    store: standin.Store = field(default_factory=standin.Store)
    record: standin.Record = field(default_factory=standin.Record)
    routers: list = field(default_factory=list)
    agents: list = field(default_factory=list)    # processes
    servers: dict = field(default_factory=dict)   # id -> Backend that lives
    drained: dict = field(default_factory=dict)   # id -> when it was named as draining
    configs: list = field(default_factory=list)   # (when, version)
    hits: list = field(default_factory=list)      # (router, from, to): it was ended or stopped by a signal that leaves it no time
    terminated: dict = field(default_factory=dict)  # (router, life) -> its first SIGTERM
    sent: list = field(default_factory=list)
    broken: list = field(default_factory=list)    # (rule, text)
    crashing: dict = field(default_factory=dict)  # id -> Sent, of requests with the part that crashes servers
    crashes: list = field(default_factory=list)   # when servers crashed by it
    fault_spans: list = field(default_factory=list)  # (from, to) of every fault
    disturbances: list = field(default_factory=list)  # (router or "store", from, to)
    store_disturbed: float = 0.0                  # when its last fault ended; inf: now
    faults: int = 0
    statements: int = 0                           # of servers, heard by a router
    late: int = 0                                 # requests with the part that reached servers although it must be blocked
    shares: list = field(default_factory=list)    # of sound requests answered, before and after crashes by the part
    outlasting: int = 0                           # requests in progress in a drain later than SENT_BY_S
    retries: int = 0                              # model requests that were sent again after a refusal
    over: bool = False                            # clients stop; wait_for() of Python 3.11 can lose a cancellation
    counter: int = 0

    def breach(self, rule, text):
        self.broken.append((rule, text))

    # ------------------------------------------------------------------ processes
    def start_program(self, name, program, own_settings, ip):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as f:
            f.write(f'name = "{name}"\ndata_centre = "dc-1"\nstore = "127.0.0.1:{self.store_port}"\nthreads = 1\n{own_settings}'
                    f'[internal]\nip = "{ip}"\nport = {self.internal}\n[weights]\ndeadline_ms = 8000\n')
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            command = [os.path.join(self.args.programs, program), "--settings", path]
            return subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def launch(self, r):
        own = (f'http_listen = "127.0.0.1:{r.port}"\nready_listen = "127.0.0.1:{r.ready}"\nops_listen = "127.0.0.1:{r.ops}"\n'
               f'grace_s = {GRACE_S}\nretry.ratio = 0.2\nretry.extra = 100\n')
        r.process = self.start_program(r.name, "aldervale-platform-router", own, r.ip)
        r.life += 1
        r.launched = time.monotonic()
        r.ending = False

    async def launch_agent(self, number):
        ip = f"127.0.2.{number}"
        await ModelBackend(f"model-{number}", ip, self.model_port, self.record, self.rng).listen()
        self.store.put("servers", f"model-{number}", standin.ModelServer.row(f"{ip}:{self.model_port}"))
        own = f'server = "{ip}:{self.model_port}"\nservice = "model"\n'
        self.agents.append(self.start_program(f"agent-{number}", "aldervale-platform-agent", own, ip))

    async def end(self, r, sig):
        r.ending = True
        hit = time.monotonic()
        if sig == signal.SIGTERM:
            self.terminated[r.name, r.life] = hit
        r.process.send_signal(sig)
        for _ in range(int(GRACE_S / 0.05)):
            if r.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        if r.process.poll() is None:
            sig, hit = signal.SIGKILL, time.monotonic()
            r.process.kill()
            r.process.wait()
        if sig == signal.SIGKILL:
            self.hits.append((r.name, hit, time.monotonic()))
        self.launch(r)

    async def watch(self):
        while True:
            for r in self.routers:
                if not r.ending and r.process.poll() is not None:
                    self.breach("EXIT", f"{r.name} ended by itself with {r.process.returncode}")
                    self.launch(r)
            await asyncio.sleep(0.1)

    # ------------------------------------------------------------------ servers and declarations
    async def add_server(self, service, port=None):
        self.counter += 1
        port = port or standin.free_ports(1, self.rng)[0]
        b = standin.Backend(f"i-{self.counter}", service, port, self.record, self.rng)
        b.until_close = UNTIL_CLOSE if self.args.until_close else 0.0
        b.crash_part, b.on_crash = CRASH_PART, self.crash_by_part
        await b.listen()
        self.servers[b.id] = b
        self.store.put("servers", b.id, b.row())

    def change_config(self):
        version = self.configs[-1][1] + 1 if self.configs else 1
        declared = standin.declarations(version)
        if self.args.late:
            more = {"TimeoutMs": LATE_TIME_S * 1000, "GoalMs": 6000}
            declared["Services"].append({"Name": "late", "HealthPath": "/health"})
            declared["Routes"] += [standin.route("late", "unsafe", "late", **more),
                                   standin.route("flow", "streaming", "late", Resumable=True, gap_aim_ms=2000, **more)]
        declared["Routes"].append(standin.route("model", "unsafe", "model"))
        self.store.put("op", "config", declared)
        self.configs.append((time.monotonic(), version))

    def pick(self, service=None):
        return self.rng.choice([b for b in self.servers.values() if service in (None, b.service) and b.id not in self.drained]
                               or [b for b in self.servers.values() if service in (None, b.service)])

    def crash_by_part(self, b):
        if b.crashed:
            return
        self.crashes.append(time.monotonic())
        b.crash()
        if b.id not in self.drained:  # else it was about to end, and its place is taken
            self.drained[b.id] = float("inf")
            asyncio.ensure_future(self.start_again(b))

    async def start_again(self, b):
        await asyncio.sleep(self.rng.uniform(*CRASH_BACK_S))
        self.store.put("servers", b.id, None)
        self.servers.pop(b.id, None)
        await self.add_server(b.service, b.port)

    # ------------------------------------------------------------------ clients
    async def client(self, number, kinds=("once", "safe", "stream", "flip")):
        while not self.over:
            r = self.rng.choice(self.routers)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", r.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while not self.over:  # the connection is used until it is gone
                    s = await self.call(r, reader, writer, self.rng.choice(kinds), number)
                    if s.kind in LATE_KINDS and s.status == 503:
                        await asyncio.sleep(s.retry_after)
                    if not s.keep:
                        break
                    await asyncio.sleep(self.rng.uniform(0, 0.04))
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                pass
            finally:
                writer.close()

    async def crashing_client(self):
        calls = []
        while not self.over:
            calls.append(asyncio.create_task(self.call_with_crash_part()))
            await asyncio.sleep(CRASH_PAUSE_S)
        await asyncio.gather(*calls, return_exceptions=True)

    async def call_with_crash_part(self):
        r = self.rng.choice(self.routers)
        reader, writer = await asyncio.open_connection("127.0.0.1", r.port)
        try:
            parts = self.rng.choice([(SHARED_PART, CRASH_PART), (CRASH_PART, SHARED_PART)])
            await self.call(r, reader, writer, self.rng.choice(["once", "safe", "stream"]), 0, parts)
        finally:
            writer.close()

    async def model_client(self, number):
        while not self.over:
            self.counter += 1
            begun = time.monotonic()
            wanted = ModelRequest(f"m{self.counter:x}", self.rng.uniform(*MODEL_TIME_S))
            end = begun + wanted.time_s
            while not self.over:
                r = self.rng.choice(self.routers)
                wanted.time_s = end - time.monotonic()
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", r.port)
                    try:
                        s = await self.call(r, reader, writer, "model", number, model=wanted)
                    finally:
                        writer.close()
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                    await asyncio.sleep(0.05)
                    break  # not told whether it ran
                wanted.again = True
                if s.status != 503 or time.monotonic() + s.retry_after > end - MODEL_LEFT_S:
                    break
                await asyncio.sleep(s.retry_after)

    def prompt_parts(self, parts):
        if not self.args.crash_parts:
            return ""
        parts = parts or (SHARED_PART, f"d{self.rng.randrange(3)}")
        return "X-Prompt-Prefix: " + ",".join(f"{part}:{self.rng.randint(20, 400)}" for part in (*parts, f"{self.counter:x}")) + "\r\n"

    async def send_late(self, reader, writer, s, prompt):
        """Comes back with its answer under way. Reads while it sends: a refusal that came before the end of the body must not be lost with the connection."""
        s.time_s, path = LATE_TIME_S, f"{self.rng.uniform(*LATE_ANSWER_S):.2f}"
        s.slow = self.rng.random() < LATE_BODIES
        pause = self.rng.uniform(0, LATE_BODY_S) / LATE_PARTS if s.slow else 0
        writer.write((f"POST /{s.kind}/{path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {s.ident}\r\nX-Deadline-Remaining: {s.time_s * 1000:.0f}\r\n"
                      f"{prompt}Content-Length: {4 * LATE_PARTS}\r\n\r\n").encode())
        reading = asyncio.ensure_future(self.read_answer(reader, s))
        for _ in range(LATE_PARTS):
            if s.slow:
                await asyncio.wait([reading], timeout=pause)
            if reading.done() or writer.is_closing():
                return reading
            writer.write(b"work")
        s.sent = time.monotonic()
        self.half_close(s, writer)
        return reading

    async def call(self, r, reader, writer, kind, number, crash_parts=(), model=None):
        self.counter += 1
        s = Sent(f"c{number}-{self.counter}", kind, r.name, r.life, time.monotonic())
        method, body = ("POST", b"work" * SLOW_PARTS) if kind in ("once", "stream") else ("GET", b"")
        if crash_parts:
            self.crashing[s.ident] = s
            body = s.ident.encode()
        else:
            self.sent.append(s)
        prompt = self.prompt_parts(crash_parts)
        if model:
            method, body, s.time_s, s.again = "POST", model.name.encode(), model.time_s, model.again
            prompt = f"X-Prompt-Prefix: {SHARED_PART}:100,{model.name}:20\r\n"
        if kind in LATE_KINDS:
            reading = await self.send_late(reader, writer, s, prompt)
            return await self.finish(s, reading, LATE_TIME_S + LATE_BODY_S)
        s.slow = bool(body) and not model and not crash_parts and self.args.slow_bodies and self.rng.random() < SLOW_BODIES
        writer.write((f"{method} /{kind}/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {s.ident}\r\nX-Deadline-Remaining: {s.time_s * 1000:.0f}\r\n"
                      f"{prompt}Content-Length: {len(body)}\r\n\r\n").encode())
        for part in range(SLOW_PARTS if s.slow else 0):
            writer.write(body[4 * part:4 * part + 4])
            await asyncio.sleep(SLOW_PAUSE_S)
            if reader.at_eof() or reader.exception():
                break
        writer.write(b"" if s.slow else body)
        self.half_close(s, writer)
        return await self.finish(s, self.read_answer(reader, s), ANSWER_S)

    def half_close(self, s, writer):
        if self.args.half_close and self.rng.random() < HALF_CLOSED:
            s.half_closed = True
            writer.write_eof()

    async def finish(self, s, reading, longest):
        try:
            keep = await asyncio.wait_for(reading, longest)
        finally:
            s.ended = time.monotonic()
        s.keep = keep and not s.half_closed
        return s

    async def read_answer(self, reader, s):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        fields = {n.lower(): v for n, _, v in (line.partition(": ") for line in head[1:] if line)}
        s.seal = fields.get("x-response-seal", "")
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                s.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in fields:
            s.body = await reader.readexactly(int(fields["content-length"]))
        else:  # ends with its connection; a reset raises
            s.body = await reader.read()
            fields["connection"] = "close"
        s.retry_after = float(fields.get("retry-after", 1))
        s.status, s.whole = status, True
        return fields.get("connection", "").lower() != "close"

    # ------------------------------------------------------------------ faults
    async def fault_router(self):
        r = self.rng.choice(self.routers)
        if r.ending:
            return
        kind = self.rng.choice(["kill", "term", "pause", "hup"])
        begun, r.disturbed = time.monotonic(), float("inf")
        if kind == "kill":
            await self.end(r, signal.SIGKILL)
        elif kind == "term":
            await self.end(r, signal.SIGTERM)
        elif kind == "hup":
            if time.monotonic() > r.launched + HANDLERS_S:
                r.process.send_signal(signal.SIGHUP)
        else:
            stopped = time.monotonic()
            r.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 3))
            if r.process.poll() is None:
                r.process.send_signal(signal.SIGCONT)
            self.hits.append((r.name, stopped, time.monotonic()))
        r.disturbed = time.monotonic()
        if kind != "hup":
            self.disturbances.append((r.name, begun, r.disturbed))

    async def drain_router(self, r):
        begun, r.disturbed, process = time.monotonic(), float("inf"), r.process
        end = asyncio.create_task(self.end(r, signal.SIGTERM))
        for _ in range(self.rng.randint(1, 5)):
            await asyncio.sleep(self.rng.uniform(0.05, 2))
            if process.poll() is None:
                process.send_signal(self.rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGHUP]))
        await end
        r.disturbed = time.monotonic()
        self.disturbances.append((r.name, begun, r.disturbed))

    async def fault_drains(self):
        """Two routers of the data centre drain at once, or shortly after each other, with more signals and new declarations meanwhile."""
        able = [r for r in self.routers if not r.ending and r.disturbed < float("inf")]
        drains = []
        for r in self.rng.sample(able, min(2, len(able))):
            if not r.ending:  # since another fault chose it
                r.ending = True
                drains.append(asyncio.create_task(self.drain_router(r)))
            await asyncio.sleep(self.rng.choice([0, self.rng.uniform(0, 3)]))
        await self.fault_config()
        await asyncio.gather(*drains)

    async def fault_store(self):
        if self.store.fault:
            return
        begun, self.store_disturbed = time.monotonic(), float("inf")
        self.store.fault = self.rng.choice(["busy", "reset", "silent"])
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        self.store.fault = None
        self.store_disturbed = time.monotonic()
        self.disturbances.append(("store", begun, self.store_disturbed))

    async def fault_server(self):
        b = self.pick()
        kind = self.rng.choice(["lose", "cut", "refuse", "delay", "reset", "one-way", "silent", "crash", "drain"])
        if kind in ("crash", "drain"):
            if sum(1 for x in self.servers.values() if x.service == b.service and x.id not in self.drained) <= 2:
                return
            await self.add_server(b.service)
            return await (self.crash(b) if kind == "crash" else self.drain(b))
        if kind in ("lose", "cut", "refuse"):
            setattr(b, kind, self.rng.uniform(0.1, 0.8))
        else:
            b.proxy = kind
        await asyncio.sleep(self.rng.uniform(0.3, 3))
        b.lose = b.cut = b.refuse = 0.0
        b.proxy = "pass"

    async def fault_streams(self):
        """Some servers stand still within their streams, some or all of these at once, and go on: that breaks nothing off."""
        servers = [self.pick("a") for _ in range(self.rng.randint(1, 3))]
        if self.rng.random() < 0.5:
            until = time.monotonic() + self.rng.uniform(*standin.PAUSE_S)
            for b in servers:
                b.still_until = until
            return
        for b in servers:
            b.pause = self.rng.uniform(0.1, 0.8)
        await asyncio.sleep(self.rng.uniform(0.3, 3))
        for b in servers:
            b.pause = 0.0

    async def fault_pauses(self):
        service = self.rng.choice(["a", "b"])
        servers = [b for b in self.servers.values() if b.service == service]
        share = self.rng.choice([0.3, 1, 1])
        for b in servers:
            b.ask_pause = self.rng.choice([0.5, 1.0]) if self.rng.random() < share else 0.0
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        for b in servers:
            b.ask_pause = 0.0

    async def fault_leave(self):
        b = self.pick()
        if sum(1 for x in self.servers.values() if x.service == b.service and x.id not in self.drained) <= 2:
            return
        await self.add_server(b.service)
        self.drained[b.id] = float("inf")
        b.leaving = True
        await asyncio.sleep(DRAIN_S + 2)
        self.store.put("servers", b.id, None)
        await asyncio.sleep(1)
        b.crash()
        self.servers.pop(b.id, None)

    async def crash(self, b):
        b.crash()
        self.drained[b.id] = float("inf")
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        self.store.put("servers", b.id, None)
        self.servers.pop(b.id, None)

    async def drain(self, b):
        self.store.put("servers", b.id, b.row("draining"))
        self.drained[b.id] = time.monotonic()
        await asyncio.sleep(DRAIN_S + 2)
        self.store.put("servers", b.id, None)
        await asyncio.sleep(1)
        b.crash()
        self.servers.pop(b.id, None)

    async def fault_config(self):
        for _ in range(self.rng.choice([1, 1, 5])):
            self.change_config()
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def timed(self, fault):
        span = [time.monotonic(), float("inf")]
        self.fault_spans.append(span)
        try:
            await fault()
        finally:
            span[1] = time.monotonic()

    async def trouble(self):
        running = set()
        faults = [self.fault_router, self.fault_router, self.fault_store, self.fault_server, self.fault_server, self.fault_streams, self.fault_streams,
                  self.fault_config] + [self.fault_pauses] * self.args.pauses + [self.fault_leave] * self.args.leaving
        while True:
            self.faults += 1
            fault = self.fault_drains if self.args.late and self.faults % DRAINS_EACH == 0 else self.rng.choice(faults)
            task = asyncio.create_task(self.timed(fault))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))

    # ------------------------------------------------------------------ checks
    def check_answer(self, s):
        runs = self.record.runs.get(s.ident, [])
        once = s.kind in ("once", "model", "late")
        if once and len(runs) > 1:
            self.breach("TWICE", f"{s.ident} ran {len(runs)} times")
        if s.whole and s.status in (503, 429, 408, 421) and once and runs:
            self.breach("REFUSED", f"{s.ident} was refused with {s.status} and ran")
        if s.status != 200 or not s.whole:
            return
        by = {r.server for r in runs}
        if s.kind in ("stream", "flow"):
            want = b"".join(f"id: {n}\ndata: {s.ident} {n}\n\n".encode() for n in range(1, standin.EVENTS + 1))
            if s.body != want:
                self.breach("ORDER", f"{s.ident}: {s.body!r}")
            if s.seal not in {f"seal-{b}-{s.ident}" for b in by}:
                self.breach("MIXED", f"{s.ident}: seal {s.seal!r}")
        elif (s.body, s.seal) not in {(f"{s.ident} by {b}".encode(), f"seal-{b}-{s.ident}") for b in by}:
            self.breach("MIXED", f"{s.ident}: {s.body!r} under {s.seal!r}")

    def cut_is_excused(self, s, kept):
        signalled = self.terminated.get((s.router, s.life))
        if s.kind not in LATE_KINDS or signalled is None or s.sent > signalled + SENT_BY_S:
            return False
        end = signalled + AT_WORK_S
        return s.ended >= end and any(not r.end or r.over >= end for r in kept)

    def check_lost(self, s):
        kept = self.record.kept(s.ident)
        answered = s.whole and s.status == 200
        time_over = s.ended >= s.at + s.time_s - (0 if s.body and not s.whole else END_SLACK_S)
        hit = any(name == s.router and since <= s.ended and s.at <= until for name, since, until in self.hits)
        unread = s.slow and not s.whole and s.ended >= s.at + CROSSED_S and not self.record.runs.get(s.ident)
        if (kept and not answered or unread) and not time_over and not hit and not self.cut_is_excused(s, kept):
            runs = ", ".join(f"{r.server} {r.end or 'at work'}" for r in self.record.runs.get(s.ident, []))
            self.breach("LOST", f"{s.ident} ({s.kind}{', half-closed' if s.half_closed else ''}{', slow' if s.slow else ''}) at {s.router} life {s.life}: status {s.status}, "
                                f"{len(s.body)} bytes, {s.ended - s.at:.2f} s; runs: {runs}")

    def heard(self, s, statement):
        """The router had what the server said when the request was over for its client."""
        if not s or not s.whole or s.ended - s.at > HEARD_S or s.slow:
            return False
        if statement.rule == "LEAVING":  # passed on
            return s.status == 200 and s.seal == f"seal-{statement.server}-{s.ident}"
        return s.status in (200, 503)

    def check_statements(self):
        by_id = {s.ident: s for s in self.sent}
        for statement in self.record.statements:
            s = by_id.get(statement.ident)
            if not self.heard(s, statement):
                continue
            self.statements += 1
            for at, ident in self.record.arrivals[statement.server]:
                later = by_id.get(ident)
                if later and (later.router, later.life) == (s.router, s.life) and later.at > s.ended and at < statement.until:
                    self.breach(statement.rule, f"{ident} reached {statement.server} from {s.router} life {s.life} {at - s.ended:.2f} s after {s.ident} had ended")

        if (self.args.pauses or self.args.leaving) and not self.statements:
            self.breach("UNTESTED", "no router heard a server that wants a pause or leaves")

    def disturbed(self, name, at):
        return any(who == name and since <= at <= until + TOUCH_S for who, since, until in self.disturbances)

    def check_crash_parts(self):
        if len(self.crashes) < CRASHES:
            return self.breach("UNTESTED", f"{len(self.crashes)} servers crashed by a part of a prompt")
        fifth = self.crashes[CRASHES - 1]
        self.check_blocked(fifth)
        self.check_sound(fifth)

    def check_blocked(self, fifth):
        arrivals = [(at, self.crashing[ident]) for seen in self.record.arrivals.values() for at, ident in seen if ident in self.crashing]
        late = sorted(((at, s) for at, s in arrivals if at > fifth + TOUCH_S and not self.disturbed(s.router, at)), key=lambda arrival: arrival[0])
        self.late = len(late)
        if self.late > CRASHED_REQUESTS:
            listed = ", ".join(f"{s.ident} from {s.router} {at - fifth:.2f} s after{', store disturbed' if self.disturbed('store', at) else ''}" for at, s in late[:8])
            self.breach("BUDGET", f"{self.late} requests with the part reached servers later than {TOUCH_S:.0f} s after the fifth crash: {listed}")

    def check_sound(self, fifth):
        times = [s.at for s in self.crashing.values()]
        sound = [s for s in self.sent if min(times) - CALM_S <= s.at < max(times)
                 and not any(since <= s.ended and s.at <= until + TOUCH_S for since, until in self.fault_spans)]
        before = [s.status == 200 for s in sound if s.ended < min(times)]
        after = [s.status == 200 for s in sound if s.at > fifth + 2 * TOUCH_S]
        if min(len(before), len(after)) < SOUND_MIN:
            return self.breach("UNTESTED", f"{len(before)} sound requests before the crashes and {len(after)} after them, without another fault")
        self.shares = [sum(x) / len(x) for x in (before, after)]
        if self.shares[1] < SOUND_SHARE * self.shares[0]:
            self.breach("LOST", f"{self.shares[1]:.3f} of {len(after)} sound requests answered after the crashes, {self.shares[0]:.3f} of {len(before)} before")

    def check_until_close(self):
        ends = {run.end for runs in self.record.runs.values() for run in runs if run.until_close}
        if not {standin.FINISHED, "reset midway", "ended inside an event"} <= ends:
            self.breach("UNTESTED", f"ends of answers without a length: {', '.join(sorted(ends))}")

    def check_model(self):
        self.retries = sum(1 for s in self.sent if s.again)
        if self.retries < MODEL_RETRIES:
            self.breach("UNTESTED", f"{self.retries} model requests were sent again after a refusal")

    def check_late(self):
        late = [s for s in self.sent if s.kind in LATE_KINDS and (s.router, s.life) in self.terminated]
        self.outlasting = sum(1 for s in late if s.at <= self.terminated[s.router, s.life] + SENT_BY_S < s.ended)
        if not self.outlasting:
            self.breach("UNTESTED", "no long request was in progress in a drain")

    def named_by(self, when):
        return [version for named_at, version in self.configs if named_at <= when]

    def check_reverts(self):
        """Even and odd versions send /flip/ to other services, so the service of a run tells the parity of the version that its router used.
        A life that used a newer version must not use one that only an older one names."""
        floors = {}  # (router, life) -> (when the request was sent that showed it, version that this life uses at least)
        for s in sorted((s for s in self.sent if s.kind == "flip"), key=lambda s: s.at):
            for run in self.record.runs.get(s.ident, []):
                self.check_revert(s, run, floors)

    def check_revert(self, s, run, floors):
        parity = 0 if run.service == "b" else 1
        named = self.named_by(run.at)
        possible = [v for v in named if v % 2 == parity]
        if not possible:
            return self.breach("REVERT", f"{s.ident} ran at {run.service} before any declarations sent it there")
        life = (s.router, s.life)
        floor_since, floor = floors.get(life, (s.at, 0))
        # Requests sent close to each other may overtake each other, so the floor holds only from REVERT_S after it was shown.
        if possible[-1] < floor and s.at > floor_since + REVERT_S:
            self.breach("REVERT", f"{s.ident} of {life}: version {possible[-1]} at most, after {floor}")
        # The floor rises only by a run that no change of declarations came close to: none between sending and running.
        if named != self.named_by(s.at):
            return
        shown = oldest_unopposed(possible, named)
        if shown > floor:
            floors[life] = (s.at, shown)

    def calm(self, router_name, since, until):
        r = next(x for x in self.routers if x.name == router_name)
        return r.disturbed + TOUCH_S < since and self.store_disturbed + TOUCH_S < since and until > since

    def check_bounds(self):
        by_id = {s.ident: s for s in self.sent}
        for server, named in self.drained.items():
            for at, ident in self.record.arrivals.get(server, []):
                s = by_id.get(ident)
                if s and at > named + DRAIN_S + SLACK_S and self.calm(s.router, named, at):
                    self.breach("DRAIN", f"{ident} reached {server} {at - named:.2f} s after it was named as draining")
        for s in self.sent:
            for run in self.record.runs.get(s.ident, []) if s.kind == "flip" else []:
                self.check_config(s, run)

    def check_config(self, s, run):
        due = [(at, v) for at, v in self.configs if at <= s.at - CONFIG_S - SLACK_S]
        if not due or not self.calm(s.router, due[-1][0], run.at):
            return
        allowed = {v % 2 for at, v in self.configs if v >= due[-1][1] and at <= run.at}
        if (0 if run.service == "b" else 1) not in allowed:
            self.breach("CONFIG", f"{s.ident} ran at {run.service}, which versions from {due[-1][1]} on do not name")

    async def stay_calm(self):
        """Until shares of answered requests can be judged."""
        end = time.monotonic() + RECOVER_S
        while time.monotonic() < end:
            calm_since = max((until for _, until in self.fault_spans), default=0) + TOUCH_S
            judged_from = max(calm_since, self.crashes[CRASHES - 1] + 2 * TOUCH_S if len(self.crashes) >= CRASHES else 0)
            if time.monotonic() > judged_from + CALM_S:
                return
            await asyncio.sleep(0.1)

    async def settle(self):
        """After the faults: every router serves again."""
        end = time.monotonic() + RECOVER_S
        await asyncio.gather(*[self.check_recovered(r, end) for r in self.routers])

    async def check_recovered(self, r, end):
        good = 0
        while good < 5:
            if time.monotonic() > end:
                return self.breach("RECOVER", f"{r.name} does not serve")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", r.port)
                s = await self.call(r, reader, writer, "safe", 0)
                good += 1 if s.status == 200 else 0
                writer.close()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.05)

    # ------------------------------------------------------------------ the run
    async def run(self):
        a = self.args
        self.store_port, self.internal, self.model_port, *ports = standin.free_ports(3 + 3 * a.routers, self.rng)
        await self.store.listen(self.store_port)
        self.change_config()
        for k in range(a.servers):
            await self.add_server("a" if k % 2 else "b")
        for _ in range(a.servers if a.late else 0):
            await self.add_server("late")
        for number in range(1, AGENTS + 1):
            await self.launch_agent(number)
        for i in range(a.routers):
            self.routers.append(Router(f"router-{i}", *ports[3 * i:3 * i + 3], f"127.0.1.{i + 1}"))
            self.launch(self.routers[-1])
        await self.settle()
        tasks = [asyncio.create_task(self.client(n)) for n in range(a.clients)]
        tasks += [asyncio.create_task(self.model_client(n)) for n in range(MODEL_CALLERS if a.model else 0)]
        tasks += [asyncio.create_task(self.client(n, LATE_KINDS)) for n in range(LATE_CALLERS if a.late else 0)]
        watch = asyncio.create_task(self.watch())
        if a.crash_parts:
            await asyncio.sleep(CALM_S)
            tasks.append(asyncio.create_task(self.crashing_client()))
        try:
            await asyncio.wait_for(self.trouble(), a.seconds)
        except asyncio.TimeoutError:
            pass
        for _ in range(int(2 * GRACE_S / 0.1)):  # faults under way end by themselves
            if not any(r.ending for r in self.routers) and not self.store.fault and all(b.proxy == "pass" for b in self.servers.values()):
                break
            await asyncio.sleep(0.1)
        if a.crash_parts:
            await self.stay_calm()
        self.over = True
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.settle()
        watch.cancel()
        for process in self.agents:
            process.kill()
        await asyncio.sleep(0.1)  # their connections end before the loop does
        for s in self.sent:
            self.check_answer(s)
            self.check_lost(s)
        self.check_statements()
        self.check_reverts()
        if a.crash_parts:
            self.check_crash_parts()
        if a.until_close:
            self.check_until_close()
        if a.model:
            self.check_model()
        if a.late:
            self.check_late()
        if a.bounds:
            self.check_bounds()

    def stop(self):
        for process in [r.process for r in self.routers if r.process] + self.agents:
            if process.poll() is None:
                process.kill()
                process.wait()


def main():
    p = argparse.ArgumentParser(description="Fault soak of the platform's router")
    p.add_argument("--programs", default=PROGRAMS, help="folder; that of a build with a sanitizer has it report")
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--seconds", type=float, default=20, help="of faults")
    p.add_argument("--routers", type=int, default=3)
    p.add_argument("--servers", type=int, default=8)
    p.add_argument("--clients", type=int, default=24)
    p.add_argument("--bounds", action="store_true", help="also check bounds in seconds")
    p.add_argument("--half-close", action="store_true", help="some callers shut down their sending side after the request")
    p.add_argument("--slow-bodies", action="store_true", help="some bodies take longer than a head may")
    p.add_argument("--pauses", action="store_true", help="servers ask for a pause")
    p.add_argument("--leaving", action="store_true", help="servers say in their answers that they leave")
    p.add_argument("--crash-parts", action="store_true", help="some requests hold a part of a prompt that crashes servers")
    p.add_argument("--until-close", action="store_true", help="some answers have no length and end with their connection")
    p.add_argument("--model", action="store_true", help="more model requests than can be served, sent again after a refusal")
    p.add_argument("--late", action="store_true", help="some bodies and answers take seconds, while routers drain together")
    args = p.parse_args()
    folder = tempfile.mkdtemp(prefix="aldervale-soak-")
    soak = Soak(args, standin.seeded(args.seed), folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the routers are ended then, too
    try:
        asyncio.run(soak.run())
    finally:
        soak.stop()
    done = sum(1 for s in soak.sent if s.whole and s.status == 200)
    refused = sum(1 for s in soak.sent if s.whole and s.status == 503)
    print(f"seed {args.seed}: {len(soak.sent)} requests, {done} answered, {refused} refused, {soak.faults} faults, {len(soak.configs)} declarations, "
          f"{len(soak.broken)} promises broken")
    if args.pauses or args.leaving:
        print(f"  {soak.statements} times a router heard that a server wants a pause or leaves")
    if args.crash_parts:
        print(f"  {len(soak.crashing)} requests with a part that crashes servers, {len(soak.crashes)} servers crashed, {soak.late} such requests late; "
              "sound ones answered before and after: " + (", ".join(f"{share:.3f}" for share in soak.shares) or "not judged"))
    if args.model:
        model = [s for s in soak.sent if s.kind == "model"]
        print(f"  {len(model)} model requests, {sum(1 for s in model if s.status == 200)} answered, {soak.retries} sent again after a refusal, "
              f"{sum(1 for s in model if s.again and s.status == 200)} of these answered")
    if args.late:
        late = [s for s in soak.sent if s.kind in LATE_KINDS]
        print(f"  {len(late)} long requests, {sum(1 for s in late if s.status == 200)} answered, {soak.outlasting} in progress in a drain later than "
              f"{SENT_BY_S:.0f} s after its signal")
    print("  runs at servers: " + ", ".join(f"{count} {end}" for end, count in soak.record.ends().most_common()))
    for rule, text in soak.broken[:20]:
        print(f"  {rule}: {text}")
    if soak.broken:
        print(f"  logs: {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
