"""A small deployment on loopback for the scripts of this review: real routers, with stand-ins for the store, replicas and clients.

The store is the project's own stand-in (scripts/platform_standin.py). Replicas and clients here do only what the users' pages say. Every process
that is started is ended by stop(). Nothing is written outside the folder of the case and a temporary folder.
"""
import asyncio
import itertools
import os
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
sys.dont_write_bytecode = True
import platform_standin as standin

HOST = "case.example"
ROUTER = "target/bin/aldervale-platform-router"  # run as deploy/system.toml says
SETTINGS = """name = "{name}"
data_centre = "zone-a"
region = "area-a"
regions = "zone-a=area-a"
http_listen = "{ip}:{http}"
ready_listen = "{ip}:{ready}"
ops_listen = "{ip}:{ops}"
store = "127.0.0.1:{store}"
grace_s = 8
threads = 1
contracts = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks"
seeds = [{seeds}]

[internal]
ip = "{ip}"
port = {internal}

[retry]
ratio = 0.2
extra = 102

[weights]
deadline_ms = 8000
"""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, kind, service, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": kind, "Service": service, "TimeoutMs": 2000, "GoalMs": 300, "Priority": 2,
            "MaxAttempts": 1 if kind == "unsafe" else 2, "Public": True, **more}


def config(version, routes, services, body_max=4194304):
    return {"Version": version, "Tenants": [], "Routes": routes, "Services": [{"Name": s, "HealthPath": "/health", "MaxConns": 100} for s in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": body_max, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000}}


class Record:
    """record.txt: what was sent, answered and run, and what became of the case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


class Replica:
    """One lifetime of a replica of a plain service."""

    numbers = itertools.count(1)

    def __init__(self, deployment, service, slots=6, work_s=(0.05, 0.07)):
        self.deployment, self.service, self.slots, self.work_s = deployment, service, slots, work_s
        self.id = f"i-{next(self.numbers):05d}"
        self.port = standin.free_ports(1, deployment.rng)[0]
        self.leaving = False
        self.writers = set()
        self.at_work = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=256)
        self.list("ready")

    def list(self, state):
        self.deployment.store.put("servers", self.id, {
            "Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": "zone-a", "Version": "1", "Slots": self.slots, "State": state,
            "ColdLeftMs": 0, "CallSeq": 0})
        self.deployment.record.line(f"replica {self.id} of {self.service} listed {state}")

    def unlist(self):
        self.deployment.store.put("servers", self.id, None)
        self.deployment.record.line(f"replica {self.id} unlisted")

    def end(self, reset):
        self.server.close()
        for writer in list(self.writers):
            standin.reset(writer) if reset else writer.close()
        self.deployment.record.line(f"replica {self.id} ended")

    def crash(self):
        """Its process is gone: its channels are reset, and so are new ones. It says nothing; its entry goes after three missed check-ins."""
        self.end(reset=True)

    async def leave(self, drain_s):
        """Says `draining`, serves on, and ends."""
        self.leaving = True
        self.list("draining")
        await asyncio.sleep(drain_s + 0.3)
        while self.at_work:
            await asyncio.sleep(0.02)
        self.end(reset=False)
        self.unlist()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                req = await standin.read_request(reader)
                self.at_work += 1
                try:
                    if not await self.answer(req, writer):
                        return
                finally:
                    self.at_work -= 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass  # the router closed the channel, or the replica ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, req, writer):
        ident = req.fields.get("x-request-id", "")
        end = "close" if self.leaving else "keep-alive"
        if req.fields.get("x-expect-instance") != self.id:
            writer.write(standin.answer(421, X_Request_Id=ident, Connection=end))
            return not self.leaving
        self.deployment.ran(ident, self)
        await asyncio.sleep(self.deployment.rng.uniform(*self.work_s))
        writer.write(standin.answer(200, b"done " + ident.encode(), X_Request_Id=ident, X_Response_Seal=f"seal-{self.id}-{ident}", Connection=end))
        await writer.drain()
        return not self.leaving


class Channel:
    """One channel of a client, kept for many requests."""

    numbers = itertools.count(1)

    def __init__(self, deployment, ip):
        self.deployment, self.ip = deployment, ip
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, self.deployment.http)

    async def ask(self, method, path, body=b"", limit_s=4.0, note=True):
        """Returns (id, status); status 0: no answer. Opens the channel if there is none."""
        ident = f"{next(self.numbers):016x}"
        try:
            status = await asyncio.wait_for(self.exchange(ident, method, path, body, limit_s), limit_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, IndexError, ValueError):
            status = 0
            self.close()
        if note:
            self.deployment.record.line(f"{ident} {method} {path} {len(body)} B -> {status or 'no answer'}")
        return ident, status

    async def exchange(self, ident, method, path, body, limit_s):
        if self.writer is None:
            await self.open()
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ident}\r\nX-Deadline-Remaining: {int(limit_s * 1000)}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)
        await self.writer.drain()
        answer = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(answer.split("content-length:")[1].split("\r\n")[0])
        await self.reader.readexactly(length)
        if "connection: close" in answer:
            self.close()
        return int(answer.split()[1])

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Deployment:
    def __init__(self, folder, routers=1, max_fds=4100, seed=1):
        self.rng = random.Random(seed * 1000003 + os.getpid())
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = standin.Store()
        self.http, self.ready, self.ops, self.internal, self.store_port = standin.free_ports(5, self.rng)
        self.ips = [f"127.0.1.{n}" for n in range(1, routers + 1)]
        self.max_fds = max_fds
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.runs = {}  # id -> ids of replicas

    def ran(self, ident, replica):
        self.runs.setdefault(ident, []).append(replica.id)
        self.record.line(f"{ident} runs at {replica.id}")

    async def start(self):
        await self.store.listen(self.store_port)
        if not os.path.exists(os.path.join(ROOT, ROUTER)):
            raise FileNotFoundError(ROUTER + " isn't built")
        self.processes = [None] * len(self.ips)
        for n, ip in enumerate(self.ips):
            seeds = ", ".join(f'"{other}:1"' for other in self.ips)
            with open(self.settings(n), "w") as f:
                f.write(SETTINGS.format(name=f"router-{n + 1}", ip=ip, http=self.http, ready=self.ready, ops=self.ops, internal=self.internal,
                                        store=self.store_port, seeds=seeds))
            self.launch(n)

    def settings(self, n):
        return os.path.join(self.temp, f"router-{n + 1}.toml")

    def launch(self, n):
        """Starts router n, also again."""
        limit = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))  # MaxFds of its machine
        with open(os.path.join(self.temp, f"router-{n + 1}.log"), "ab") as log:
            self.processes[n] = subprocess.Popen([ROUTER, "--settings", self.settings(n)], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                 preexec_fn=limit)

    async def readiness(self, ip, limit_s=1.0):
        """What the platform is told when it asks a router whether it is ready: a status, or 0."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, self.ready), limit_s)
            writer.write(f"GET /readiness HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), limit_s)
            writer.close()
            return int(answer.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        for ip in self.ips:
            while await self.readiness(ip) != 200:
                if time.monotonic() > end:
                    raise TimeoutError("routers don't get ready")
                await asyncio.sleep(0.1)

    def memory_mb(self, n=0):
        with open(f"/proc/{self.processes[n].pid}/status") as f:
            return next(int(line.split()[1]) for line in f if line.startswith("VmRSS")) / 1024

    def descriptors(self, n=0):
        return len(os.listdir(f"/proc/{self.processes[n].pid}/fd"))

    def stop(self):
        for p in filter(None, self.processes):
            if p.poll() is None:
                p.send_signal(signal.SIGKILL)
            p.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


def run(main, folder, **more):
    """Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run."""
    async def guarded():
        deployment = Deployment(folder, **more)
        try:
            return 1 if await main(deployment) else 0
        except (TimeoutError, FileNotFoundError, OSError) as e:
            deployment.record.say(f"couldn't run: {e!r}")
            return 2
        finally:
            deployment.stop()

    resource.setrlimit(resource.RLIMIT_NOFILE, (min(16384, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    status = asyncio.new_event_loop().run_until_complete(guarded())
    sys.stdout.flush()
    os._exit(status)  # tasks that still wait for channels needn't end
