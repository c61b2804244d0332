"""Soak: copies, requests, changes and random faults together; the promises are checked from the stand-ins' side."""
import json
import os
import random
import signal
import time

import fleet as fleets
from benchlib import load, result, rss_mib, wait_for
from bench_requests import ACCOUNTS, prepare


def soak(a, folder):
    rng = random.Random(a.seed)
    fleet, d = prepare(a, folder)
    weights = os.path.join(folder, "weights")
    plain = ",".join(fleet.backend(a.replicas + k) for k in range(3))
    roles = {"router": [n for n in fleet.processes if n.startswith("router-")], "agent": [n for n in fleet.processes if n.startswith("agent-")],
             "controller": [n for n in fleet.processes if n.startswith("controller-")]}
    start_rss = {n: rss_mib(fleet.processes[n].pid, "VmRSS") for names in roles.values() for n in names}
    replaced = set()
    faults = 0
    versions = 1
    totals = {"sent": 0, "answered": 0, "wrong": 0, "cut": 0, "run_twice": 0, "false_not_run": 0}
    revisions = [0] * a.routers
    fell = 0
    end = time.monotonic() + 60 * a.minutes
    try:
        while time.monotonic() < end:
            running = load(fleet, range(a.routers), mix="turbine", accounts=",".join(ACCOUNTS), seconds=10, rps=a.rps, seed=rng.randrange(1 << 30), plain=plain)
            versions += 1
            digest = fleets.make_version(folder, weights, f"v-{versions}", 4, a.seed * 1000 + versions, chunk_kib=64)
            d.add("Version", f"v-{versions}", model="model", manifest=digest)
            d.items[("Placement", "p")]["version"] = f"v-{versions}"
            fleet.ctl("apply", d.write(os.path.join(folder, "d")), check=False)
            for _ in range(4):
                fault = rng.choice(["kill-agent", "kill-router", "kill-controller", "pause-agent", "pause-controller", "store-down", "store-loses", "origin-down", "corrupt",
                                    "plain-loses", "drain"])
                faults += 1
                if fault.startswith("kill-"):
                    name = rng.choice(roles[fault[5:]])
                    fleet.kill(name)
                    time.sleep(0.5)
                    fleet.restart(name)
                    replaced.add(name)
                elif fault.startswith("pause-"):
                    name = rng.choice(roles[fault[6:]])
                    fleet.kill(name, signal.SIGSTOP)
                    time.sleep(rng.choice([1, 5]))
                    fleet.kill(name, signal.SIGCONT)
                elif fault == "drain":
                    name = rng.choice(roles["agent"])
                    fleet.kill(name, signal.SIGTERM)
                    fleet.restart(name)
                    replaced.add(name)
                else:
                    at, on, off = {"store-down": (fleet.table, {"down": True}, {"down": False}), "store-loses": (fleet.table, {"lose_answers": 0.5}, {"lose_answers": 0.0}),
                                   "origin-down": (fleet.origin, {"down": True}, {"down": False}), "corrupt": (fleet.origin, {"corrupt": 0.1}, {"corrupt": 0.0}),
                                   "plain-loses": (fleet.backend(a.replicas), {"lose_answers": 0.2}, {"lose_answers": 0.0})}[fault]
                    fleet.faults(at, **on)
                    time.sleep(1.5)
                    fleet.faults(at, **off)
                time.sleep(0.3)
            r = result(running)
            for key in totals:
                totals[key] = totals[key] + r[key] if key not in ("run_twice",) else max(totals[key], r[key])
            for i in range(a.routers):
                try:
                    now = fleet.get_json(fleet.router_ops(i), "/statusz")["revision"]
                except OSError:
                    continue
                fell += 1 if f"router-entry-{i}" not in replaced and now < revisions[i] else 0
                revisions[i] = now
        # Afterwards everything must come to rest on the newest version.
        settled = True
        try:
            fleet.ctl("apply", d.write(os.path.join(folder, "d")), "--wait", "--timeout", 60)
        except RuntimeError:
            settled = False
        engines = [fleet.get_json(fleet.backend(i), "/admin/stats") for i in range(a.replicas)]
        broken = {"mixed_or_partial": sum(e["mixed_or_partial"] for e in engines), "wrong_answer": totals["wrong"], "run_twice": totals["run_twice"],
                  "false_not_run": totals["false_not_run"], "stale_order_obeyed": sum(e["stale_obeyed"] for e in engines), "revision_fell": fell}
        growth = {}
        for role, names in roles.items():
            kept = [n for n in names if n not in replaced]
            if kept:
                growth[role] = round(sum(rss_mib(fleet.processes[n].pid, "VmRSS") - start_rss[n] for n in kept) / len(kept) / a.minutes * 60, 1)
        return {"minutes": a.minutes, "seed": a.seed, "faults": faults, "versions": versions, "settled": settled, "sent": totals["sent"], "answered": totals["answered"],
                "cut": totals["cut"], "promises_broken": {k: v for k, v in broken.items() if v}, "rss_growth_mib_per_hour": growth, "died": fleet.dead()}
    finally:
        for name in fleet.processes:
            fleet.kill(name, signal.SIGCONT)
        fleet.stop()


def add(sub):
    p = sub.add_parser("soak", help="everything together, with random faults")
    p.add_argument("--minutes", type=float, default=2)
    p.add_argument("--routers", type=int, default=3)
    p.add_argument("--replicas", type=int, default=6)
    p.add_argument("--rps", type=float, default=40)
    p.set_defaults(run=soak, policy="cost", limit=100000, threads=2)
