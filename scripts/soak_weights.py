"""Soak of weights deadlines: real routers and agents on loopback, signals around each deadline, and no newer weights there to start.

  scripts/soak_weights.py --seed N [--rounds R] [--routers R] [--agents A] [--clients C] [--programs FOLDER] [--bounds]

In each round a version is declared that no box gets. Until shortly after its deadline agents and routers are paused, killed, stopped and restarted, and the store fails; clients go on sending
over connections that they keep open, and reports of servers come late. Then the servers hold that version, and the next round begins.

Exit status 0: every promise held.
  STOPPED   the server beside an agent that is back after the round's faults is ordered to stop
  EXIT      no process ends by itself
  RECOVER   after a round every router serves again
With --bounds also, which a loaded machine may break (not for CI):
  VERSION   no request begins on older weights after the deadline, unless its router was disturbed in the 3 s before
"""
import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
PROGRAMS = os.path.join(ROOT, "build", "release", "bin")
sys.argv[1:1] = [PROGRAMS]  # platform_fleet takes the folder of programs from there
import platform_fleet
import platform_standin as standin
from platform_fleet import LIMIT_S, LOOK_S

DEADLINE_S = 4.0     # of weights
FAULTS_S = 1.8       # before and
AFTER_S = 0.3        # after the deadline: faults begin in that time
PAUSE_S = (0.1, 1.5)
REPORT_DELAY_S = 1.0  # agents wait for a report less long
TOUCH_S = 3.0        # no bound holds until this long after a disturbance of a router
WAY_S = 0.3          # longest way of a request to its server
CLIENT_PAUSE_S = 0.02
LOADED_S = 0.001     # between looks whether a program that was started runs
DRAIN_MAX_S = 10.0   # of a router that was asked to end


class Fleet(platform_fleet.Fleet):
    def __init__(self, folder, args, rng):
        super().__init__(folder, args.routers, args.agents, backends=1)
        self.model_servers = self.make_servers(args.agents)
        for server in self.model_servers:
            server.way_s = lambda: rng.uniform(0, WAY_S)
        self.agent_settings = f"[weights]\ndeadline_ms = {DEADLINE_S * 1000}\n"
        self.router_settings = self.agent_settings
        self.services = []    # further ones to declare

    def make_servers(self, count):
        return [standin.OrderedServer() for _ in range(count)]

    def model_server(self, number):
        return self.model_servers[number - 1]


class Soak:
    FLEET = Fleet

    def __init__(self, args, rng, folder):
        self.args = args
        self.rng = rng
        self.fleet = self.FLEET(folder, args, rng)
        self.disturbed = {}   # by name of a process: begin and end of each disturbance
        self.ending = set()   # names of processes that a signal of ours ends
        self.routed = {}      # by request id: name of the router
        self.answers = {}     # by status
        self.faults = 0
        self.broken = []
        self.over = False

    def breach(self, rule, text):
        self.broken.append((rule, text))

    # Clients

    async def client(self, number):
        count = 0
        while not self.over:
            router = self.rng.choice(self.fleet.routers)
            writer = None
            try:
                reader, writer = await asyncio.open_connection(router.ip, self.fleet.http)
                while not self.over:
                    count += 1
                    await self.call(router, reader, writer, f"{number}-{count}")
                    await asyncio.sleep(CLIENT_PAUSE_S)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(CLIENT_PAUSE_S)
            finally:
                if writer:
                    writer.close()

    async def call(self, router, reader, writer, ident):
        self.routed[ident] = router.name
        writer.write(f"GET /model/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {ident}\r\nX-Deadline-Remaining: 4000\r\n\r\n".encode())
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT_S)).decode("latin-1").lower()
        status = int(head.split()[1])
        self.answers[status] = self.answers.get(status, 0) + 1
        length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length:")), 0)
        await reader.readexactly(length)
        if "connection: close" in head:
            raise asyncio.IncompleteReadError(b"", None)

    # Faults

    async def pause(self, process):
        process.pause()
        await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        process.go_on()

    async def restart(self, process, how):
        if process.popen.poll() is not None:
            self.breach("EXIT", f"{process.name} ended by itself with {process.popen.returncode}")
        while how == signal.SIGTERM and process.popen.poll() is None and not process.handles(how):
            await asyncio.sleep(LOADED_S)
        process.popen.send_signal(how)
        end = time.monotonic() + DRAIN_MAX_S
        while process.popen.poll() is None and time.monotonic() < end:
            await asyncio.sleep(LOOK_S)
        if how == signal.SIGTERM and process.popen.poll() != 0:
            self.breach("EXIT", f"{process.name} ends with {process.popen.poll()} after SIGTERM")
        process.kill()
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        process.start()

    async def disturb(self, process):
        if process.name in self.ending:
            return
        self.ending.add(process.name)
        self.faults += 1
        spans = self.disturbed.setdefault(process.name, [])
        spans.append((time.monotonic(), float("inf")))
        if self.rng.random() < 0.5:
            await self.pause(process)
        else:
            await self.restart(process, self.rng.choice([signal.SIGKILL, signal.SIGTERM]))
        spans[-1] = (spans[-1][0], time.monotonic())
        self.ending.discard(process.name)

    async def delay_reports(self, server):
        """Its agent hears nothing of it meanwhile; its requests go on."""
        self.faults += 1
        server.report_delay_s = REPORT_DELAY_S
        await asyncio.sleep(self.rng.uniform(*PAUSE_S) + REPORT_DELAY_S)
        server.report_delay_s = 0

    async def refuse(self, place):
        """The store, or the origin."""
        self.faults += 1
        place.fault = self.rng.choice(["busy", "reset", "silent"])
        await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        place.fault = None

    async def faults_until(self, end):
        """Series of faults that overlap."""
        under_way = []
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0, 0.4))
            roll = self.rng.random()
            if roll < 0.15:
                under_way.append(asyncio.create_task(self.delay_reports(self.rng.choice(self.fleet.model_servers))))
            elif roll < 0.6:
                under_way.append(asyncio.create_task(self.disturb(self.rng.choice(self.fleet.agents))))
            elif roll < 0.9:
                under_way.append(asyncio.create_task(self.disturb(self.rng.choice(self.fleet.routers))))
            elif not self.fleet.store.fault:
                under_way.append(asyncio.create_task(self.refuse(self.fleet.store)))
        await asyncio.gather(*under_way)

    # Rounds

    async def wait_for(self, rule, what, done):
        end = time.monotonic() + LIMIT_S
        while not done():
            if time.monotonic() > end:
                return self.breach(rule, what)
            await asyncio.sleep(LOOK_S)

    async def round(self, version):
        servers = self.fleet.model_servers
        begun = [len(s.begun) for s in servers]
        orders = [len(s.stopped) for s in servers]
        self.fleet.store.put("op", "version/m", {"Model": "m", "Version": version + 1})
        deadline = time.monotonic() + DEADLINE_S
        await asyncio.sleep(DEADLINE_S - FAULTS_S)
        await self.faults_until(deadline + AFTER_S)
        for number, server in enumerate(servers):
            await self.wait_for("STOPPED", f"round {version}: server {number + 1} isn't ordered to stop", lambda s=server, n=number: len(s.stopped) > orders[n])
        for number, server in enumerate(servers):
            self.check_round(version, server, begun[number], deadline)
            server.hold(version + 1)
        await self.check_recovered(version)

    async def check_recovered(self, number):
        answered = self.answers.get(200, 0)
        await self.wait_for("RECOVER", f"round {number}: nothing is answered afterwards", lambda: self.answers.get(200, 0) > answered)
        if not await self.fleet.wait_until_all_answer("GET", "/model/x", "recover"):
            self.breach("RECOVER", f"round {number}: a router doesn't serve again")

    def disturbed_before(self, name, at):
        return any(begin <= at and at - end < TOUCH_S for begin, end in self.disturbed.get(name, []))

    def check_round(self, version, server, begun, deadline):
        for at, held, ident in server.begun[begun:]:
            router = self.routed.get(ident, "")
            late = at - deadline
            if self.args.bounds and held == version and late > 0 and not self.disturbed_before(router, at):
                self.breach("VERSION", f"round {version}: {ident} from {router} begins {late:.3f} s after the deadline")

    async def run(self):
        routes = [standin.route("safe", "safe", "web"), standin.route("model", "safe", "model")]
        web = standin.Backend("web-1", "web", self.fleet.backend_ports[0], standin.Record(), self.rng)
        await self.fleet.start_with([web], routes, self.fleet.services)
        if not await self.fleet.wait_until_all_answer("GET", "/model/x"):
            return self.breach("RECOVER", "routers don't serve at first")
        clients = [asyncio.create_task(self.client(n)) for n in range(self.args.clients)]
        for number in range(1, self.args.rounds + 1):
            await self.round(number)
            for name in self.fleet.ended():
                self.breach("EXIT", f"round {number}: {name} ended by itself")
        self.over = True
        await asyncio.wait(clients, timeout=LIMIT_S)
        self.fleet.stop()
        await asyncio.sleep(0.1)  # the processes' connections end before the loop does


def options(description):
    p = argparse.ArgumentParser(description=description)
    p.add_argument("--programs", default=PROGRAMS, help="folder")
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--rounds", type=int, default=3)
    p.add_argument("--routers", type=int, default=3)
    p.add_argument("--agents", type=int, default=4)
    p.add_argument("--clients", type=int, default=12)
    return p


def play(kind, args):
    """Returns the exit status."""
    platform_fleet.PROGRAMS = args.programs
    folder = tempfile.mkdtemp(prefix="aldervale-soak-")
    soak = kind(args, standin.seeded(args.seed), folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended then, too
    try:
        asyncio.run(soak.run())
    finally:
        soak.fleet.stop()
    begun = sum(len(s.begun) for s in soak.fleet.model_servers)
    print(f"seed {args.seed}: {args.rounds} rounds, {soak.faults} faults, {begun} requests begun, answers {dict(sorted(soak.answers.items()))}, {len(soak.broken)} promises broken")
    for rule, text in soak.broken[:20]:
        print(f"  {rule}: {text}")
    if soak.broken:
        print(f"  logs: {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


def main():
    p = options("Soak of weights deadlines")
    p.add_argument("--bounds", action="store_true", help="also check bounds in seconds")
    return play(Soak, p.parse_args())


if __name__ == "__main__":
    sys.exit(main())
