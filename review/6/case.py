"""A page that many clients ask for, on a route added later, while all replicas of its service crash once and come back. See claim.txt."""
import asyncio
import os
import sys
import time
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import small

REPLICAS = 3
POLLERS = 24         # clients of each route
POLL_S = 0.25        # between the requests of one client
DOWN_S = 4.5         # for_s of the site's srv_crash
CALM_S = 6.0         # from the return of the replicas until the count begins: ContactMs is 3 s
COUNT_S = 12.0       # requests sent in this time count
FIRST, LATER = "loans", "notices"


class Counts:
    def __init__(self):
        self.on = False
        self.by_route = {FIRST: Counter(), LATER: Counter()}


async def poll(deployment, counts, route, number):
    channel = small.Channel(deployment, deployment.ips[number % len(deployment.ips)])
    await asyncio.sleep(deployment.rng.uniform(0, POLL_S))
    for n in range(10**6):
        # Each client of the first route asks for its own things; those of the later one all ask for the same page.
        path = f"/{FIRST}/{number}-{n}" if route == FIRST else f"/{LATER}/board"
        counted = counts.on
        _, status = await channel.ask("GET", path)
        if counted:
            counts.by_route[route][status] += 1
        await asyncio.sleep(POLL_S)


async def main(deployment):
    replicas = [small.Replica(deployment, "app") for _ in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    first = small.route(FIRST, "safe", "app")
    deployment.store.put("op", "config", small.config(1, [first], ["app"]))
    await deployment.start()
    await deployment.wait_ready()
    counts = Counts()
    tasks = [asyncio.ensure_future(poll(deployment, counts, FIRST, n)) for n in range(POLLERS)]
    await asyncio.sleep(2)
    deployment.store.put("op", "config", small.config(2, [first, small.route(LATER, "safe", "app")], ["app"]))
    deployment.record.say("a route is added")
    await asyncio.sleep(4)
    tasks += [asyncio.ensure_future(poll(deployment, counts, LATER, n)) for n in range(POLLERS)]
    await asyncio.sleep(4)
    if small.trouble():
        deployment.record.say(f"all {REPLICAS} replicas crash")
        for replica in replicas:
            replica.crash()
        await asyncio.sleep(DOWN_S)
        for replica in replicas:
            replica.unlist()
            await small.Replica(deployment, "app").start()
        deployment.record.say("they are back")
    await asyncio.sleep(CALM_S)
    counts.on = True
    await asyncio.sleep(COUNT_S)
    counts.on = False
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    share = {}
    for route, by_status in counts.by_route.items():
        sent = sum(by_status.values())
        share[route] = by_status[200] / max(1, sent)
        deployment.record.say(f"/{route}/: {sent} requests sent in calm seconds, answers {dict(sorted(by_status.items()))}, served {share[route]:.3f}")
    later = sum(counts.by_route[LATER].values())
    broken = later >= 20 and share[LATER] < share[FIRST] / 4
    deployment.record.say("CONFIG broken: the later route is served less than a quarter as often as the first one" if broken else "CONFIG held")
    return broken


if __name__ == "__main__":
    small.run(main, FOLDER, routers=2)
