"""Clients that upload bodies of the largest size that the desired state allows, and more of them for three seconds at a time. See claim.txt."""
import asyncio
import os
import sys
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import small

MEMORY_MB = 160        # of a `front` machine; a process that goes over it is killed
BODY = b"b" * 4194304  # MaxBodyBytes
CLIENTS = 7            # of each router; each sends its next request when the last one is answered
BURST = 2.5            # x of the site's burst: so many times the clients
BURST_S = 10.0         # for_s of it
BURSTS = 2
PAUSE_S = 6.0          # between two bursts
WORK_S = (1.0, 1.2)    # of a request at a replica
RESTART_S = 0.5        # from a kill until the platform starts the process again
LOOK_S = 0.02


class Counts:
    def __init__(self):
        self.answers = Counter()
        self.lost = 0  # requests that a replica ran, and whose clients got no answer


async def client(deployment, counts, router, number, until):
    channel = small.Channel(deployment, deployment.ips[router])
    while until is None or asyncio.get_running_loop().time() < until:
        ident, status = await channel.ask("POST", f"/upload/{router}-{number}", BODY, limit_s=8.0)
        counts.answers[status] += 1
        counts.lost += status == 0 and ident in deployment.runs
        if status != 200:
            await asyncio.sleep(0.2)
    channel.close()


async def watch_memory(deployment, router, kills, peaks):
    """The platform: it kills a process that goes over the memory of its machine, and starts it again."""
    while True:
        try:
            used = deployment.memory_mb(router)
        except FileNotFoundError:
            return  # the case is over, and its processes are gone
        peaks[router] = max(peaks[router], used)
        if used > MEMORY_MB:
            deployment.record.say(f"router {router + 1} uses {used:.0f} MB of {MEMORY_MB} MB: the platform kills it")
            kills[router] += 1
            deployment.processes[router].kill()
            deployment.processes[router].wait()
            await asyncio.sleep(RESTART_S)
            deployment.launch(router)
        await asyncio.sleep(LOOK_S)


async def main(deployment):
    for _ in range(3):
        await small.Replica(deployment, "app", slots=48, work_s=WORK_S).start()
    deployment.store.put("op", "config", small.config(1, [small.route("upload", "unsafe", "app", TimeoutMs=8000)], ["app"], body_max=len(BODY)))
    await deployment.start()
    await deployment.wait_ready()
    counts, kills, peaks = Counts(), Counter(), Counter()
    routers = range(len(deployment.ips))
    for router in routers:
        asyncio.ensure_future(watch_memory(deployment, router, kills, peaks))
        for n in range(CLIENTS):
            asyncio.ensure_future(client(deployment, counts, router, n, None))
    for _ in range(BURSTS):
        await asyncio.sleep(PAUSE_S)
        deployment.record.say(f"before a burst: at most {max(peaks.values()):.0f} MB, {sum(kills.values())} kills")
        if small.trouble():
            until = asyncio.get_running_loop().time() + BURST_S
            for router in routers:
                for n in range(CLIENTS, round(CLIENTS * BURST)):
                    asyncio.ensure_future(client(deployment, counts, router, n, until))
        await asyncio.sleep(BURST_S)
    await asyncio.sleep(PAUSE_S)
    deployment.record.say(f"at most {max(peaks.values()):.0f} MB; answers {dict(sorted(counts.answers.items()))}; {counts.lost} requests were run and not answered")
    deployment.record.say("processes ended over their memory: " + ", ".join(f"router {n + 1} {kills[n]} times" for n in routers))
    broken = sum(kills[n] >= 3 for n in routers) >= 2
    deployment.record.say("Fault: processes of two machines end on their own three times" if broken else "no Fault")
    return broken


if __name__ == "__main__":
    small.run(main, FOLDER, routers=2)
