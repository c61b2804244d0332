"""The request path: latency, fairness, cache hits, what is lost and what runs twice, under kills, drains and cuts."""
import os
import random
import signal
import subprocess
import time

import fleet as fleets
from benchlib import base_fleet, cpu_seconds, load, result, rss_mib, wait_for

ACCOUNTS = ["a", "b", "c", "d", "e"]
# Settings of the stand-ins: an engine decodes up to 16 requests at once; a step takes 5 ms and 0.25 ms per request in the batch.
ENGINE = ("--step-us", 5000, "--prefix-slots", 6)


def prepare(a, folder, limit=100000):
    weights = os.path.join(folder, "weights")
    fleet, d = base_fleet(folder, a.routers, a.replicas, 3, plain=3, accounts=[(n, limit) for n in ACCOUNTS + ["greedy"]], engine=ENGINE,
                          router_settings={"route.policy": a.policy, "threads": a.threads}, agent_settings={"threads": a.threads}, log_level="warn")
    digest = fleets.make_version(folder, weights, "v-1", 1, a.seed, chunk_kib=64)
    fleet.platform(weights)
    fleet.wait_ready([fleet.router_ops(i) for i in range(a.routers)] + [fleet.agent_ops(i) for i in range(a.replicas + 3)], path="/healthz")
    d.add("Model", "model", origin_scope="region")
    d.add("Version", "v-1", model="model", manifest=digest)
    d.add("Placement", "p", model="model", version="v-1", replicas={f"dc-{c}": len(range(c, a.replicas, 3)) for c in range(3)})
    d.add("Service", "assistant", path="/v1/assistant", type="model", model="model", deadline_ms=60000)
    d.add("Service", "loans", path="/v1/loans", type="plain", boxes=["plain-0", "plain-1", "plain-2"], non_repeatable=["POST"], deadline_ms=3000)
    d.add("Service", "hours", path="/v1/hours", type="plain", boxes=["plain-0", "plain-1", "plain-2"], deadline_ms=5000)
    fleet.ctl("apply", d.write(os.path.join(folder, "d")), "--wait", "--timeout", 60)
    fleet.wait_ready([fleet.router_ops(i) for i in range(a.routers)])
    time.sleep(3.5)  # slow start of the replicas is over, journals are past their horizon
    return fleet, d


def engine_stats(fleet, replicas):
    stats = [fleet.get_json(fleet.backend(i), "/admin/stats") for i in range(replicas)]
    return sum(s["cache_hits"] for s in stats), sum(s["cache_asked"] for s in stats)


def disturb(fleet, a, rng, done):
    """Kills, drains and cuts while the load runs; what is killed comes back."""
    names = [n for n in fleet.processes if n.startswith(("router-", "agent-"))]
    killed = rng.sample(names, min(a.kill, len(names)))
    drained = rng.sample([n for n in names if n not in killed], a.drain)
    step = a.seconds / (len(killed) + len(drained) + 2)
    for name in killed:
        time.sleep(step)
        fleet.kill(name)
        time.sleep(0.5)
        fleet.restart(name)
    for name in drained:
        time.sleep(step)
        fleet.kill(name, signal.SIGTERM)
        fleet.restart(name)
    if a.cut_dc:  # the boxes of one data centre, and its way to the platform, hang for two seconds
        inside = [n for n, c in fleet.commands.items() if n.startswith(("agent-", "router-", "controller-")) and in_dc(fleet, c)]
        for name in inside:
            fleet.kill(name, signal.SIGSTOP)
        time.sleep(2)
        for name in inside:
            fleet.kill(name, signal.SIGCONT)
    done.extend(killed + drained)


def in_dc(fleet, command):
    with open(command[command.index("--settings") + 1]) as f:
        return 'data_centre = "dc-2"' in f.read()


def requests(a, folder):
    rng = random.Random(a.seed)
    fleet, d = prepare(a, folder, a.limit)
    try:
        mix = {"chat": "chat", "loans": "loans", "turbine": "turbine", "reads": "reads"}[a.mix]
        plain = ",".join(fleet.backend(a.replicas + k) for k in range(3))
        options = dict(mix=mix, accounts=",".join(ACCOUNTS), seconds=a.seconds, rps=a.rps, seed=a.seed, plain=plain, prefixes=a.prefixes, threads=a.load_threads)
        before = None
        if a.greedy_account:
            before = result(load(fleet, range(a.routers), **options))
            options.update(greedy="greedy", greedy_rps=a.greedy_rps or 20 * a.rps / len(ACCOUNTS))
        hits_before, asked_before = engine_stats(fleet, a.replicas)
        cpu_before = {i: cpu_seconds(fleet.processes[f"router-entry-{i}"].pid) for i in range(a.routers)}
        drain_routers_from_load = a.drain_router
        targets = range(a.routers - 1) if drain_routers_from_load else range(a.routers)
        running = load(fleet, targets, **options)
        faults = []
        if a.kill or a.drain or a.cut_dc:
            disturb(fleet, a, rng, faults)
        r = result(running)
        cpu = sum(cpu_seconds(fleet.processes[f"router-entry-{i}"].pid) - cpu_before[i] for i in range(a.routers) if f"router-entry-{i}" not in faults)
        hits, asked = engine_stats(fleet, a.replicas)
        out = {"routers": a.routers, "replicas": a.replicas, "rps": a.rps, "seconds": a.seconds, "mix": a.mix, "policy": a.policy, "seed": a.seed,
               "killed": a.kill, "drained": a.drain, "cut_dc": a.cut_dc, "sent": r["sent"], "answered": r["answered"],
               "not_run": r["verdicts"].get("not-run", 0), "may_have_run": r["verdicts"].get("may-have-run", 0),
               "refused_connection": r["verdicts"].get("refused-connection", 0), "wrong_or_cut": r["wrong"] + r["cut"], "wrong": r["wrong"],
               "run_twice": r["run_twice"], "false_not_run": r["false_not_run"], "p50_ms": round(r["p50_ms"], 2), "p95_ms": round(r["p95_ms"], 2),
               "p99_ms": round(r["p99_ms"], 2), "first_token_p95_ms": round(r["first_token_p95_ms"], 2),
               "rps_per_core": round(r["sent"] / cpu) if cpu > 0 and not faults else None,
               "router_rss_mib": round(max(rss_mib(fleet.processes[f"router-entry-{i}"].pid) for i in range(a.routers)), 1),
               "cache_hit_share": round((hits - hits_before) / max(1, asked - asked_before), 3) if not faults else None,
               "polite_p99_ratio": round(r["polite_p99_ms"] / max(0.001, before["polite_p99_ms"]), 3) if before else None,
               "limit_overshoot": round(max(r["answered_rps"].values()) / a.limit - 1, 4) if a.limit < 100000 else None}
        if a.overhead:
            out.update(overhead(fleet, a))
        return out
    finally:
        fleet.stop()


def overhead(fleet, a):
    """The same plain read, straight to the stand-in and through router and agent, alternately; medians of the differences."""
    direct = []
    routed = []
    for k in range(3):
        direct.append(result(load(fleet, [], mix="direct", direct=fleet.backend(a.replicas), seconds=4, rps=a.rps, seed=a.seed + k)))
        routed.append(result(load(fleet, range(a.routers), mix="reads", accounts=",".join(ACCOUNTS), seconds=4, rps=a.rps, seed=a.seed + k)))
    diff = lambda q: sorted(r[q] - d[q] for r, d in zip(routed, direct))[1]
    return {"router_overhead_p50_us": round(1000 * diff("p50_ms")), "router_overhead_p99_us": round(1000 * diff("p99_ms"))}


def add(sub):
    p = sub.add_parser("requests", help="the request path")
    p.add_argument("--routers", type=int, default=6)
    p.add_argument("--replicas", type=int, default=12)
    p.add_argument("--rps", type=float, default=100)
    p.add_argument("--seconds", type=float, default=10)
    p.add_argument("--mix", choices=["chat", "loans", "turbine", "reads"], default="chat")
    p.add_argument("--greedy-account", action="store_true")
    p.add_argument("--greedy-rps", type=float, default=0)
    p.add_argument("--limit", type=float, default=100000, help="declared limit of every account, requests a second")
    p.add_argument("--policy", choices=["cost", "random", "round-robin", "least-requests"], default="cost")
    p.add_argument("--kill", type=int, default=0)
    p.add_argument("--drain", type=int, default=0)
    p.add_argument("--drain-router", action="store_true", help="the load leaves out the last router, as a balancer does with one that drains")
    p.add_argument("--cut-dc", action="store_true")
    p.add_argument("--prefixes", type=int, default=20)
    p.add_argument("--threads", type=int, default=2, help="I/O threads of routers and agents")
    p.add_argument("--load-threads", type=int, default=2)
    p.add_argument("--overhead", action="store_true", help="also measure what router and agent add")
    p.set_defaults(run=requests)
