"""Shared by the cases of this review: free ports, a small HTTP/1.1 reader and writer, the platform's processes and a record file.

Everything is on loopback addresses. The programs are started with the commands of deploy/system.toml; their settings have the fields of
platform/router.toml.tmpl and platform/agent.toml.tmpl.
"""
import asyncio
import os
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
import platform_standin  # the project's stand-in of the store

Store = platform_standin.Store
Request = platform_standin.Request
read_request = platform_standin.read_request
answer = platform_standin.answer

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_used = set()


def free_port():
    """A port that is free on all loopback addresses for TCP and UDP; none is given twice."""
    rng = platform_standin.seeded(os.getpid() * 1000 + len(_used))
    while True:
        port = rng.randrange(12_000, 30_000)
        if port not in _used and platform_standin.is_free(port):
            _used.add(port)
            return port


def command(role):
    """The words of `run` of a role in the deploy file, without the settings file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        text = f.read()
    section = text[text.index(f"[roles.{role}]"):]
    words = re.search(r'^run = "([^"]+)"', section, re.M).group(1).split()
    return [os.path.join(ROOT, words[0])] + words[1:-1]


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


class Process:
    """One program of the project, started by this test."""

    def __init__(self, folder, role, name, settings, max_fds=0):
        self.name = name
        self.max_fds = max_fds
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w") as f:
            f.write(settings)
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.words = command(role) + [self.settings]
        self.popen = None

    def start(self):
        limit = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))) if self.max_fds else None
        self.popen = subprocess.Popen(self.words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log, preexec_fn=limit)

    def signal(self, number):
        self.popen.send_signal(number)

    def ended(self):
        return self.popen is not None and self.popen.poll() is not None

    def end(self):
        if self.popen is None:
            return
        if self.popen.poll() is None:
            self.popen.kill()  # also ends one that is stopped
        self.popen.wait()
        self.log.close()


class Site:
    """A small deployment: the store, routers and agents. One data centre of one region."""

    CONTRACTS = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks"

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="aldervale-review-")
        self.store = Store()
        self.store_port = free_port()
        self.front, self.ready, self.ops, self.internal, self.app = (free_port() for _ in range(5))
        self.processes = []
        self.routers = []
        self.agents = []

    async def listen(self):
        await self.store.listen(self.store_port)

    def common(self, name, ip):
        return (f'name = "{name}"\ndata_centre = "groningen-1"\nregion = "nl-noord"\nops_listen = "{ip}:{self.ops}"\n'
                f'store = "127.0.0.1:{self.store_port}"\ngrace_s = 8\nthreads = 1\ncontracts = "{self.CONTRACTS}"\n')

    def start_router(self, number, max_fds=0):
        ip = f"127.0.1.{number}"
        settings = self.common(f"front-groningen-1-{number}", ip)
        settings += (f'regions = "groningen-1=nl-noord"\nhttp_listen = "{ip}:{self.front}"\nready_listen = "{ip}:{self.ready}"\n'
                     f'seeds = ["127.0.1.1:{self.front}"]\n[internal]\nip = "{ip}"\nport = {self.internal}\n'
                     '[retry]\nratio = 0.2\nextra = 102\n[weights]\ndeadline_ms = 8000\n')
        process = Process(self.folder, "router", f"router-{number}", settings, max_fds)
        process.ip = ip
        self.routers.append(process)
        self.launch(process)
        return process

    def start_agent(self, number, service):
        ip = f"127.0.2.{number}"
        settings = self.common(f"side-groningen-1-{number}", ip)
        settings += (f'server = "{ip}:{self.app}"\nservice = "{service}"\n[internal]\nip = "{ip}"\nport = {self.internal}\n'
                     '[weights]\ndeadline_ms = 8000\nlink_mbps = 7.3\n')
        process = Process(self.folder, "agent", f"agent-{number}", settings)
        process.ip = ip
        self.agents.append(process)
        self.launch(process)
        return process

    def launch(self, process):
        self.processes.append(process)
        process.start()
        self.record(f"start {process.name} pid {process.popen.pid}")

    async def is_ready(self, router):
        """Whether the router answers the platform's question with 200."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, self.ready), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            writer.close()
            return b" 200 " in head.split(b"\r\n")[0] + b" "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for router in self.routers:
            while not await self.is_ready(router):
                if time.monotonic() > end:
                    raise CouldNotRun(f"{router.name} doesn't get ready; logs in {self.folder}")
                await asyncio.sleep(0.1)

    def end(self):
        for process in self.processes:
            process.end()


class CouldNotRun(Exception):
    pass


def run(case, folder, limit_s=115):
    """Runs `case(record, site)`, which returns HELD or BROKEN, and exits with that."""
    record = Record(folder)
    site = Site(record)
    code = COULD_NOT_RUN

    async def whole():
        await site.listen()
        return await asyncio.wait_for(case(record, site), limit_s)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)  # connections that end while the run ends
    try:
        code = loop.run_until_complete(whole())
    except (CouldNotRun, asyncio.TimeoutError, OSError) as e:
        record.say(f"could not run: {e!r}")
    finally:
        site.end()
    if code != COULD_NOT_RUN and not os.environ.get("KEEP"):  # KEEP=1: the programs' logs stay
        shutil.rmtree(site.folder, ignore_errors=True)
    record.say(f"exit {code}: " + {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
