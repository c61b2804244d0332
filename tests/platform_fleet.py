"""Real routers and agents on loopback, each with its own IP address, with stand-ins for the platform's store and servers."""
import asyncio
import logging
import os
import signal
import subprocess
import sys
import time
import unittest
from dataclasses import dataclass

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))
import platform_standin as standin

LIMIT_S = 60   # timeout of a wait; allows for sanitizers and a loaded machine
LOOK_S = 0.05  # polling interval
REGIONS = "dc-1=north,dc-2=south"

RNG = standin.seeded(os.getpid())  # for ports; seeded per process so that concurrent runs pick different ones
PROGRAMS = sys.argv.pop(1) if len(sys.argv) > 1 else "build/release/bin"


def log_folder(test_name):
    folder = os.path.join(os.path.dirname(os.path.abspath(PROGRAMS)), "logs", test_name)
    os.makedirs(folder, exist_ok=True)
    return folder


def main():
    logging.getLogger("asyncio").setLevel(logging.ERROR)  # suppresses warnings of slow steps on a loaded machine
    unittest.main(module="__main__", verbosity=2, warnings="ignore")  # sockets are closed at process exit


@dataclass
class Process:
    name: str
    ip: str
    command: list
    log: str
    popen: subprocess.Popen = None
    paused: bool = False

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def pause(self):
        self.popen.send_signal(signal.SIGSTOP)
        self.paused = True

    def go_on(self):
        self.popen.send_signal(signal.SIGCONT)
        self.paused = False

    def handles(self, sig):
        """False from the start of the program until its first statement: the signal would end any program."""
        with open(f"/proc/{self.popen.pid}/status") as status:
            masks = [int(line.split()[1], 16) for line in status if line.startswith(("SigBlk:", "SigCgt:"))]
        return any(mask >> (sig - 1) & 1 for mask in masks)


# Resident memory of a program that a sanitizer instruments, by what their manuals say of its shadow and its allocator.
SANITIZER_FACTORS = {b"__tsan_init": 10, b"__asan_init": 4}


def memory_factor(process):
    with open(process.command[0], "rb") as program:
        code = program.read()
    return next((factor for mark, factor in SANITIZER_FACTORS.items() if mark in code), 1)


def peak_bytes(process):
    with open(f"/proc/{process.popen.pid}/status") as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM:"))


def lines_of(process, event):
    """Of its log."""
    with open(process.log) as log:
        return "".join(line for line in log if f'"name":"{event}"' in line)


class ReturningServer(standin.Backend):
    """A server of service `web` that comes back at its address after it crashed. Each lifetime has an id of its own."""

    def __init__(self, fleet, number, port):
        self.fleet, self.number, self.generation = fleet, number, 0
        super().__init__(f"web-{number}-0", "web", port, standin.Record(), RNG)

    async def come_back(self, after_s):
        await asyncio.sleep(after_s)
        self.fleet.store.put("servers", self.id, None)
        self.generation += 1
        self.id, self.crashed = f"web-{self.number}-{self.generation}", False
        await self.listen()
        self.fleet.store.put("servers", self.id, self.row())


async def wait_for(test, condition, what):
    """Fails the test of a fleet if the condition doesn't hold within LIMIT_S."""
    end = time.monotonic() + LIMIT_S
    while not condition():
        test.assertLess(time.monotonic(), end, f"{what}; logs: {test.fleet.folder}")
        await asyncio.sleep(LOOK_S)


class Fleet:
    """One data centre. Each process connects to its own port of the store, which identifies it."""

    def __init__(self, folder, routers, agents, backends, seeds=0):
        self.folder = folder                    # settings and logs
        self.counts = (routers, agents)
        self.seeds = seeds                      # routers whose addresses all routers have in their settings
        self.store = standin.Store()
        self.routers = []
        self.agents = []
        ports = standin.free_ports(5 + backends + routers + agents, RNG)
        self.http, self.ready, self.ops, self.internal, self.model = ports[:5]
        self.backend_ports, self.store_ports = ports[5:5 + backends], ports[5 + backends:]
        self.agent_settings = ""                # further settings of all agents, TOML
        self.router_settings = ""               # and of all routers

    def model_server(self, number):
        """The model server beside an agent."""
        return standin.ModelServer

    async def start(self):
        """Call after the rows are in the store."""
        routers, agents = self.counts
        for n in range(1, agents + 1):
            await self.add_agent(n)
        for n in range(1, routers + 1):
            ip = f"127.0.1.{n}"
            seeds = ", ".join(f'"127.0.1.{seed}:1"' for seed in range(1, self.seeds + 1))  # ports of seeds don't count
            own = f'http_listen = "{ip}:{self.http}"\nready_listen = "{ip}:{self.ready}"\nops_listen = "{ip}:{self.ops}"\nregions = "{REGIONS}"\nseeds = [{seeds}]\n{self.router_settings}'
            self.routers.append(await self.launch("router", n, ip, own))

    async def add_agent(self, number):
        """With its server, which it lists. Returns its process."""
        ip = f"127.0.2.{number}"
        await asyncio.start_server(self.model_server(number).serve, ip, self.model)
        self.store.put("servers", f"model-{number}", standin.ModelServer.row(f"{ip}:{self.model}"))
        own = f'server = "{ip}:{self.model}"\nservice = "model"\n{self.agent_settings}'
        self.agents.append(await self.launch("agent", number, ip, own))
        return self.agents[-1]

    async def start_with(self, servers, routes, services=(), limits=None):
        """Lists the servers, declares the routes to their service, `web`, and starts. `services`: further ones to declare. `limits`: of clients."""
        for server in servers:
            await server.listen()
            self.store.put("servers", server.id, server.row())
        self.store.put("op", "config", {
            "Version": 1, "Tenants": [], "Services": [{"Name": "web", "HealthPath": "/health"}, standin.ModelServer.SERVICE, *services],
            "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}, "Routes": routes})
        await self.start()

    async def launch(self, kind, number, ip, own_settings):
        name = f"{kind}-{number}"
        store = self.store_ports.pop()
        await self.store.listen(store, name)
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as f:
            f.write(f'name = "{name}"\ndata_centre = "dc-1"\nstore = "127.0.0.1:{store}"\nthreads = 1\n{own_settings}'
                    f'[internal]\nip = "{ip}"\nport = {self.internal}\n')
        log = os.path.join(self.folder, name + ".log")
        if os.path.exists(log):
            os.remove(log)  # from an earlier run
        process = Process(name, ip, [os.path.join(PROGRAMS, "aldervale-platform-" + kind), "--settings", path], log)
        process.start()
        return process

    async def send_request(self, router, method, path, ident, body=b"", fields=""):
        """Returns the status of one request after reading the whole response, or 0 if there is none. `fields`: further header lines, each with its CRLF."""
        try:
            reader, writer = await asyncio.open_connection(router.ip, self.http)
            head = f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {ident}\r\nConnection: close\r\n"
            writer.write(f"{head}{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            answer = await asyncio.wait_for(reader.read(), LIMIT_S)
            writer.close()
            return int(answer.split()[1])
        except (OSError, IndexError, asyncio.TimeoutError):
            return 0

    async def metric(self, router, name):
        """Value of a metric without labels; None: the router doesn't tell it."""
        reader, writer = await asyncio.open_connection(router.ip, self.ops)
        writer.write(f"GET /metrics HTTP/1.1\r\nHost: {router.ip}\r\nConnection: close\r\n\r\n".encode())
        text = (await asyncio.wait_for(reader.read(), LIMIT_S)).decode()
        writer.close()
        return next((float(line.split()[1]) for line in text.splitlines() if line.startswith(name + " ")), None)

    async def wait_until_all_answer(self, method, path, ident="first"):
        """Returns whether every router answers 200 within LIMIT_S."""
        end = time.monotonic() + LIMIT_S
        while any(status != 200 for status in await asyncio.gather(*[self.send_request(r, method, path, ident) for r in self.routers])):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK_S)
        return True

    def ended(self):
        return [p.name for p in self.routers + self.agents if p.popen.poll() is not None]

    def stop(self):
        for p in self.routers + self.agents:
            p.kill()
