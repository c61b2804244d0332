"""Soak of losses around changes of weights: real routers and agents on loopback, nearly all of which are lost at once while versions are named.

  scripts/soak_losses.py --seed N [--rounds R] [--routers R] [--agents A] [--clients C] [--programs FOLDER]

In each round one to three versions are named, one after the other. Writes that name them get no answer and are repeated; they are carried out late or twice as well, also after newer ones. At
some moment before, between or after the namings, or after the deadline, processes, servers or both are lost at once, all or all but one process. Meanwhile and afterwards the store and the
origin fail, and processes are paused, stopped and killed in series that overlap. Clients go on sending over connections that they keep open.

Exit status 0: every promise held. A version is acknowledged as soon as the write that is answered is carried out.
  VERSION   after a round's faults no request begins on older weights than the newest acknowledged ones, once these have been so for their deadline and the longest way of a request. Excused
            are requests of a router that was started in the 3 s before, after a loss of all processes, while the row names an older version: it has to learn the newer one anew
  NEWEST    after a round's faults every server comes to hold the newest acknowledged version
  EXIT      no process ends by itself
  RECOVER   after a round every router serves again
"""
import asyncio
import signal
import sys
import time

import soak_weights
from soak_weights import DEADLINE_S, LOOK_S, PAUSE_S, TOUCH_S, WAY_S
import platform_fleet
import platform_standin as standin

MOMENTS = ["before", "between", "after", "fetch", "started", "deadline"]
LOST = ["processes", "all", "all but a process", "servers"]
MOMENT_S = 15.0         # longest wait for the moment of a loss
LATE_S = (0.2, 4.0)     # from sending a write until it is carried out late
REPEAT_S = (0.3, 1.1)   # until an operator repeats a write
GAP_S = (0, 1.0)        # between two namings
DOWN_S = (0, 1.0)       # from the end of a process until its start
WAKE_S = (1.0, 4.0)     # of a process that is left, but paused
ORIGIN_DELAY_S = 0.3    # longest, of one answer
WATCH_S = 1.0           # requests are watched at least so long after their bound


class Fleet(soak_weights.Fleet):
    def __init__(self, folder, args, rng):
        self.origin = standin.Origin(standin.free_ports(1, platform_fleet.RNG)[0])
        super().__init__(folder, args, rng)
        self.services = [self.origin.service()]
        self.rows = []  # (time, version) of each write that names one

    def make_servers(self, count):
        return [standin.StagingServer(self.origin) for _ in range(count)]

    async def start(self):
        await self.origin.listen()
        await super().start()

    def name_weights(self, version):
        """A row holds what was written last; the origin knows the newest version."""
        self.store.put("op", "version/m", {"Model": "m", "Version": version})
        self.rows.append((time.monotonic(), version))
        self.origin.named = max(self.origin.named, version)

    def rows_between(self, begin, end):
        """Versions that the row named then."""
        before = [version for at, version in self.rows if at <= begin]
        return before[-1:] + [version for at, version in self.rows if begin < at <= end]


class Soak(soak_weights.Soak):
    FLEET = Fleet

    def __init__(self, args, rng, folder):
        super().__init__(args, rng, folder)
        self.acked = 1         # newest acknowledged version
        self.acked_at = 0
        self.tasks = []        # faults and writes under way
        self.fault_of = {}     # by name of a process: the fault that ends it, pauses it or starts it
        self.forgotten = {}    # by name of a process: when it was started after losses of all processes

    def begin(self, step):
        self.tasks.append(asyncio.create_task(step))
        return self.tasks[-1]

    # Operator

    async def write_late(self, version):
        await asyncio.sleep(self.rng.uniform(*LATE_S))
        self.fleet.name_weights(version)

    async def name(self, version):
        """Repeats the write until one is answered."""
        if self.rng.random() < 0.5:
            self.fleet.origin.named = version  # it hears of the first write before the store carries it out
        while self.fleet.store.fault or self.rng.random() < 0.5:
            if self.rng.random() < 0.3:
                self.fleet.name_weights(version)
            if self.rng.random() < 0.8:
                self.begin(self.write_late(version))
            await asyncio.sleep(self.rng.uniform(*REPEAT_S))
        self.fleet.name_weights(version)
        self.acked, self.acked_at = version, time.monotonic()
        if self.rng.random() < 0.5:
            self.begin(self.write_late(version))

    async def name_in_series(self, count):
        await asyncio.sleep(self.rng.uniform(0, 1))
        for _ in range(count):
            await self.name(self.acked + 1)
            await asyncio.sleep(self.rng.uniform(*GAP_S))

    # Faults

    def disturb_soon(self, process):
        if process.name not in self.ending:
            self.fault_of[process.name] = self.begin(self.disturb(process))

    def take_over(self, process, step):
        """Ends the fault that the process is in."""
        if process.name in self.fault_of:
            self.fault_of[process.name].cancel()
        self.ending.add(process.name)
        self.fault_of[process.name] = self.begin(step)

    async def lose_process(self, process, signal_first, all_lost):
        if signal_first:  # clients go on meanwhile
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        if process.popen.poll() not in (None, 0, -signal.SIGTERM, -signal.SIGKILL):
            self.breach("EXIT", f"{process.name} ends with {process.popen.poll()} in a loss")
        process.kill()
        await asyncio.sleep(self.rng.uniform(*DOWN_S))
        process.start()
        if all_lost:
            self.forgotten.setdefault(process.name, []).append(time.monotonic())
        self.ending.discard(process.name)

    async def leave(self, process):
        if self.rng.random() < 0.5:
            process.pause()
            await asyncio.sleep(self.rng.uniform(*WAKE_S))
            process.go_on()
        self.ending.discard(process.name)

    def lose(self):
        self.faults += 1
        lost = self.rng.choice(LOST)
        processes = [] if lost == "servers" else self.fleet.routers + self.fleet.agents
        steady = [p for p in processes if p.name not in self.ending]
        left = self.rng.choice(steady) if steady and lost == "all but a process" else None
        signal_first = self.rng.choice([None, None, signal.SIGTERM, signal.SIGSTOP])
        for process in processes:
            if process is left:
                self.take_over(process, self.leave(process))
                continue
            process.popen.send_signal(signal_first or signal.SIGKILL)
            self.take_over(process, self.lose_process(process, signal_first, left is None))
        if lost in ("all", "servers") or left and self.rng.random() < 0.5:
            staged_kept = self.rng.choice([0, 0.5, 1])
            for server in self.fleet.model_servers:
                staged = server.staged if self.rng.random() < staged_kept else {}
                server.lose_power()
                server.staged = staged

    async def lose_at(self, moment, first, count):
        """`first`: newest version before the round's namings."""
        last = first + count
        servers = self.fleet.model_servers
        reached = {"before": lambda: True,
                   "between": lambda: self.acked > first,
                   "after": lambda: self.acked == last,
                   "fetch": lambda: any(piece.startswith(f"{last}/".encode()) for s in servers for piece in s.staged.values()),
                   "started": lambda: self.all_hold(last),
                   "deadline": lambda: self.acked == last and time.monotonic() > self.acked_at + DEADLINE_S}[moment]
        end = time.monotonic() + MOMENT_S
        while not reached() and time.monotonic() < end:
            await asyncio.sleep(LOOK_S)
        await asyncio.sleep(self.rng.uniform(0, 0.3))
        self.lose()
        if self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0, 2))
            self.lose()

    async def disturb_while(self, step, busy):
        """Further faults, more of them the higher `busy` is, from 0 to 1."""
        while not step.done() or self.rng.random() < 0.7:
            await asyncio.sleep(self.rng.uniform(0, 0.6))
            if self.rng.random() > busy:
                continue
            roll = self.rng.random()
            place = self.rng.choice([self.fleet.store, self.fleet.origin])
            if roll < 0.1:
                self.begin(self.delay_reports(self.rng.choice(self.fleet.model_servers)))
            elif roll < 0.6:
                self.disturb_soon(self.rng.choice(self.fleet.agents + self.fleet.routers))
            elif not place.fault:
                self.begin(self.refuse(place))

    # Checks

    def excused(self, router, at):
        starts = [start for start in self.forgotten.get(router, []) if start <= at < start + TOUCH_S]
        return any(max(self.fleet.rows_between(start, at), default=0) < self.acked for start in starts)

    # Rounds

    def all_hold(self, version):
        return all(s.layers and s.version == version for s in self.fleet.model_servers)

    async def end_of_faults(self):
        while self.tasks:
            tasks, self.tasks = self.tasks, []
            await asyncio.wait(tasks)
            for task in tasks:
                if not task.cancelled():
                    task.result()

    async def round(self, number):
        begun = [len(s.begun) for s in self.fleet.model_servers]
        self.fleet.origin.delay_s = self.rng.uniform(0, ORIGIN_DELAY_S)
        first, count = self.acked, self.rng.randint(1, 3)
        naming = self.begin(self.name_in_series(count))
        loss = self.begin(self.lose_at(self.rng.choice(MOMENTS), first, count))
        await self.disturb_while(asyncio.gather(naming, loss), self.rng.choice([0, 0.3, 0.8]))
        await self.end_of_faults()
        bound = max(time.monotonic(), self.acked_at + DEADLINE_S + WAY_S)
        await self.wait_for("NEWEST", f"round {number}: not every server comes to hold version {self.acked}", lambda: self.all_hold(self.acked))
        await asyncio.sleep(max(0, bound + WATCH_S - time.monotonic()))
        for n, server in enumerate(self.fleet.model_servers, 1):
            for at, held, ident in server.begun[begun[n - 1]:]:
                if at > bound and held < self.acked and not self.excused(self.routed.get(ident), at):
                    self.breach("VERSION", f"round {number}: {ident} from {self.routed.get(ident)} begins at server {n} on version {held} of {self.acked}, "
                                           f"{at - self.acked_at:.3f} s after its acknowledgement, {at - bound:.3f} s after the bound")
        await self.check_recovered(number)


if __name__ == "__main__":
    sys.exit(soak_weights.play(Soak, soak_weights.options("Soak of losses around changes of weights").parse_args()))
