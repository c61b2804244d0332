"""Weights to N boxes: seconds, copies, bytes."""
import os
import random
import signal
import time

import fleet as fleets
from benchlib import MIB, base_fleet, cpu_seconds, events, load, quantile, result, rss_mib, wait_for


def spread(a, folder):
    rng = random.Random(a.seed)
    weights = os.path.join(folder, "weights")
    scopes = {"data_centre": a.data_centres, "region": a.data_centres, "fleet": 1}[a.scope]
    settings = {"weights.link_mib_s": float(a.link_mib_s), "weights.mode": a.mode, "weights.staging_mib": 2 * a.size_mib + 64}
    fleet, d = base_fleet(folder, a.data_centres, a.boxes, a.data_centres, accounts=[("a", 10000)], agent_settings=settings, engine=("--step-us", 2000))
    try:
        digest = fleets.make_version(folder, weights, "v-2", a.size_mib, a.seed, chunk_kib=a.chunk_kib)
        first = fleets.make_version(folder, weights, "v-1", 1, a.seed + 1, chunk_kib=64)
        fleet.platform(weights, mib_s=a.origin_mib_s)
        fleet.wait_ready([fleet.router_ops(i) for i in range(a.data_centres)] + [fleet.agent_ops(i) for i in range(a.boxes)], path="/healthz")
        per_dc = {f"dc-{c}": len([i for i in range(a.boxes) if i % a.data_centres == c]) for c in range(a.data_centres)}
        d.add("Model", "model", origin_scope=a.scope)
        d.add("Version", "v-1", model="model", manifest=first)
        d.add("Version", "v-2", model="model", manifest=digest)
        live = a.live_rps > 0
        d.add("Placement", "p", model="model", version="v-1" if live else "v-2", replicas=per_dc)
        d.add("Rollout", "p", placement="p", max_unavailable=a.boxes, paused=live)
        d.add("Service", "chat", path="/v1/assistant", type="model", model="model", deadline_ms=60000)
        idle = None
        if live: # the first version serves; the copy of the second runs beside the requests and is not activated
            fleet.ctl("apply", d.write(os.path.join(folder, "d")), "--wait", "--timeout", 120)
            fleet.wait_ready([fleet.router_ops(i) for i in range(a.data_centres)])
            idle = result(load(fleet, range(a.data_centres), mix="chat", rps=a.live_rps, seconds=10, seed=a.seed))
            d.items[("Placement", "p")]["version"] = "v-2"
        if a.corrupt:
            fleet.faults(fleet.origin, corrupt=a.corrupt)
        during = load(fleet, range(a.data_centres), mix="chat", rps=a.live_rps, seconds=a.live_seconds, seed=a.seed + 5) if live else None
        cpu_before = {i: cpu_seconds(fleet.processes[f"agent-llm-{i}"].pid) for i in range(a.boxes)}
        bytes_before = {i: fleet.get_json(fleet.agent_ops(i), "/statusz")["link_bytes"] for i in range(a.boxes)} if a.boxes <= 96 else {}
        started = time.time()
        fleet.ctl("apply", d.write(os.path.join(folder, "d")))
        event = 1402 if live else 1403
        victims = rng.sample(range(a.boxes), a.kill + a.stall + a.restart)
        expected_s = max(scopes * a.size_mib / a.origin_mib_s, (2 - scopes / a.boxes) * a.size_mib / a.link_mib_s)
        if victims:
            time.sleep(expected_s / 3)
            for i in victims[:a.kill]:
                fleet.kill(f"agent-llm-{i}")
            for i in victims[a.kill:a.kill + a.stall]:
                fleet.kill(f"agent-llm-{i}", signal.SIGSTOP)
            for i in victims[a.kill + a.stall:]:
                fleet.kill(f"agent-llm-{i}")
                fleet.restart(f"agent-llm-{i}")
        lost = set(victims[:a.kill + a.stall])
        living = [i for i in range(a.boxes) if i not in lost]

        def finished():
            return {i: max((t for t, e in events(fleet, f"agent-llm-{i}", event) if e["digest"] == digest), default=None) for i in living}

        wait_for(lambda: all(finished().values()), expected_s * 6 + 90, "the copy")
        times = [t - started for t in finished().values()]
        status = {i: fleet.get_json(fleet.agent_ops(i), "/statusz") for i in living}
        copies = []
        control = []
        for i in living:
            v = [x for x in status[i]["versions"] if x["digest"] == digest][0]
            copies.append((v["bytes_origin"] + v["bytes_peers"] + v["bytes_uploaded"]) / (a.size_mib * MIB))
            if i in bytes_before and i not in victims:
                control.append((status[i]["link_bytes"] - bytes_before[i] - v["bytes_peers"] - v["bytes_uploaded"]) / max(times))
        engines = [fleet.get_json(fleet.backend(i), "/admin/stats") for i in range(a.boxes)]
        origin = fleet.get_json(fleet.origin, "/admin/stats")["bytes"].get(digest, 0) / (a.size_mib * MIB)
        busy = result(during) if during else None
        out = {"boxes": a.boxes, "data_centres": a.data_centres, "size_mib": a.size_mib, "scope": a.scope, "mode": a.mode, "seed": a.seed,
               "seconds_first": round(min(times), 3), "seconds_p50": round(quantile(times, 0.5), 3), "seconds_all": round(max(times), 3),
               "bound_seconds": round(expected_s, 3), "ratio": round(max(times) / expected_s, 3), "origin_copies": round(origin, 3),
               "box_copies_max": round(max(copies), 3), "box_copies_mean": round(sum(copies) / len(copies), 3),
               "agent_cpu_seconds_mean": round(sum(cpu_seconds(fleet.processes[f"agent-llm-{i}"].pid) - (0 if i in victims else cpu_before[i]) for i in living) / len(living), 3),
               "agent_rss_mib_max": round(max(rss_mib(fleet.processes[f"agent-llm-{i}"].pid) for i in living), 1),
               "control_bytes_per_box_s": round(sum(control) / len(control)) if control else None,
               "live_p99_ms_idle": round(idle["p99_ms"], 2) if idle else None, "live_p99_ms_during": round(busy["p99_ms"], 2) if busy else None,
               "live_failed": busy["sent"] - busy["answered"] if busy else None, "killed": a.kill, "stalled": a.stall, "restarted": a.restart, "corrupt": a.corrupt,
               "mixed_or_partial": sum(e["mixed_or_partial"] + e["wrong_version"] for e in engines), "measured_to": "verified" if live else "servable"}
        out["verified_seconds_all"] = round(max(max(t for t, e in events(fleet, f"agent-llm-{i}", 1402) if e["digest"] == digest) for i in living) - started, 3)
        return out
    finally:
        for name in fleet.processes:
            fleet.kill(name, signal.SIGCONT)
        fleet.stop()


def add(sub):
    p = sub.add_parser("spread", help="weights to N boxes")
    p.add_argument("--boxes", type=int, default=48)
    p.add_argument("--data-centres", type=int, default=3)
    p.add_argument("--size-mib", type=int, default=64)
    p.add_argument("--link-mib-s", type=float, default=8)
    p.add_argument("--origin-mib-s", type=float, default=0, help="default: twice the boxes' link")
    p.add_argument("--scope", choices=["region", "fleet", "data_centre"], default="region")
    p.add_argument("--mode", choices=["spread", "origin-only", "chain"], default="spread")
    p.add_argument("--chunk-kib", type=int, default=256)
    p.add_argument("--corrupt", type=float, default=0)
    p.add_argument("--kill", type=int, default=0)
    p.add_argument("--stall", type=int, default=0)
    p.add_argument("--restart", type=int, default=0)
    p.add_argument("--live-rps", type=float, default=0)
    p.add_argument("--live-seconds", type=float, default=15)
    p.set_defaults(run=spread)
