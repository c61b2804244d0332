"""A desired state that allows longer bodies, while clients keep channels that rest. See claim.txt."""
import asyncio
import os
import sys
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import small

ROUTERS = 3
CLIENTS = 40            # each with one channel that it keeps
BEFORE = 16 * 1024      # MaxBodyBytes of the first desired state
AFTER = 256 * 1024      # and of the second one
IDLE_S = 15.0           # IdleTimeoutMs; clients let a channel rest for four fifths of it at most
APPLY_S = 2.0           # ConfigApplyMs
REST_S = 8.0            # of the channels: from the last request before the change to the first one after it, 6 s after its acknowledgement
BODY = b"b" * (200 * 1024)
ALLOWED, ALLOWED_SHARE = 5, 1 / 500  # of DENIED


def state(version, body_max):
    out = small.config(version, [small.route("orders", "unsafe", "app")], ["app"], body_max)
    out["Limits"]["IdleTimeoutMs"] = int(IDLE_S * 1000)
    return out


async def main(deployment):
    for _ in range(3):
        await small.Replica(deployment, "app").start()
    deployment.store.put("op", "config", state(1, BEFORE if small.trouble() else AFTER))
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(2)
    channels = [small.Channel(deployment, deployment.ips[n % ROUTERS]) for n in range(CLIENTS)]
    answers = Counter()

    async def ask_all(name, body):
        statuses = [status for _, status in await asyncio.gather(*[c.ask("POST", f"/orders/{n}", body) for n, c in enumerate(channels)])]
        answers.update(statuses)
        deployment.record.say(f"{name}: {dict(Counter(statuses))}")
        return statuses

    await ask_all("requests with short bodies", b"b" * 1000)
    await asyncio.sleep(REST_S - 6)
    if small.trouble():
        deployment.store.put("op", "config", state(2, AFTER))
        deployment.record.say(f"a desired state with MaxBodyBytes {AFTER} in place of {BEFORE} is acknowledged")
    await asyncio.sleep(6)
    await ask_all(f"requests with {len(BODY)} bytes, 6 s later, on the channels that rested", BODY)
    await ask_all("the same once more", BODY)
    fresh = [small.Channel(deployment, ip) for ip in deployment.ips]
    told = await asyncio.gather(*[c.ask("POST", "/orders/new", BODY) for c in fresh])
    deployment.record.say(f"on new channels, one to each router: {[status for _, status in told]}")
    denied = sum(n for status, n in answers.items() if 300 <= status < 500 and status not in (408, 421, 429))
    total = sum(answers.values())
    broken = denied > ALLOWED + total * ALLOWED_SHARE
    deployment.record.say(f"{denied} of {total} requests ended with a 4xx of the routers' own: DENIED " + ("broken" if broken else "held"))
    return broken


if __name__ == "__main__":
    small.run(main, FOLDER, routers=ROUTERS)
