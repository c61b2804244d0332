"""Control: changes in force, store reads, fail-over, what a daemon spends, requests while the store is down."""
import json
import os
import random
import signal
import threading
import time

import fleet as fleets
from benchlib import base_fleet, cpu_seconds, events, load, quantile, result, rss_mib, wait_for


def daemons(fleet, a):
    return [n for n in fleet.processes if n.startswith(("router-", "agent-"))]


def statusz(fleet, a, name):
    role, _, index = name.rpartition("-")
    if name.startswith("agent-plain"):
        return fleet.get_json(fleet.agent_ops(a.agents + int(index)), "/statusz")
    return fleet.get_json(fleet.router_ops(int(index)) if role == "router-entry" else fleet.agent_ops(int(index)), "/statusz")


def mean_of(values, prefix):
    chosen = [v for n, v in values.items() if n.startswith(prefix)]
    return sum(chosen) / max(1, len(chosen))


def link_bytes(fleet, a):
    out = {}
    for i in range(a.routers):
        out[f"router-entry-{i}"] = fleet.get_json(fleet.router_ops(i), "/statusz")["link_bytes"]
    for i in range(a.agents):
        out[f"agent-llm-{i}"] = fleet.get_json(fleet.agent_ops(i), "/statusz")["link_bytes"]
    return out


def control(a, folder):
    rng = random.Random(a.seed)
    weights = os.path.join(folder, "weights")
    fleet, d = base_fleet(folder, a.routers, a.agents, a.data_centres, plain=1, accounts=[("a", 100000)], controllers_per_dc=2,
                          router_settings={"threads": 1}, agent_settings={"threads": 1}, controller_settings={"threads": 1})
    try:
        digest = fleets.make_version(folder, weights, "v-1", 1, a.seed, chunk_kib=64)
        fleet.platform(weights)
        fleet.wait_ready([fleet.router_ops(i) for i in range(a.routers)] + [fleet.agent_ops(i) for i in range(a.agents + 1)], timeout=60, path="/healthz")
        d.add("Model", "model", origin_scope="region")
        d.add("Version", "v-1", model="model", manifest=digest)
        d.add("Placement", "p", model="model", version="v-1", replicas={f"dc-{c}": len(range(c, a.agents, a.data_centres)) for c in range(a.data_centres)})
        d.add("Service", "hours", path="/v1/hours", type="plain", boxes=["plain-0"], deadline_ms=5000)
        fleet.ctl("apply", d.write(os.path.join(folder, "d")), "--wait", "--timeout", 120)
        fleet.wait_ready([fleet.router_ops(i) for i in range(a.routers)], timeout=60)
        time.sleep(3)

        # 1. Quiet: what a daemon spends for control, what the store is asked.
        quiet_s = 10
        links = {n: statusz(fleet, a, n)["links"] for n in daemons(fleet, a)}
        names = daemons(fleet, a)
        cpu0 = {n: cpu_seconds(fleet.processes[n].pid) for n in names}
        bytes0 = link_bytes(fleet, a)
        store0 = fleet.get_json(fleet.table, "/admin/stats")
        time.sleep(quiet_s)
        cpu = [(cpu_seconds(fleet.processes[n].pid) - cpu0[n]) / quiet_s for n in names]
        bytes1 = link_bytes(fleet, a)
        store1 = fleet.get_json(fleet.table, "/admin/stats")
        rss = {n: rss_mib(fleet.processes[n].pid, "VmRSS") for n in names}
        spent = [(bytes1[n] - bytes0[n]) / quiet_s for n in bytes1]

        # 2. Changes through random routers; each process logs when a revision comes into force.
        accepted = {}
        failed = 0
        for k in range(a.changes):
            body = json.dumps({"resources": [{"kind": "ClientAccount", "name": "a", "spec": {"token_sha256": fleets.sha256("token-a"), "limit_rps": 1000.0 + k}}]})
            status, answer = fleet.api("apply", router=rng.randrange(a.routers), method="POST", body=body)
            if status == 200:
                accepted[answer["revision"]] = time.time()
            else:
                failed += 1
            time.sleep(60 / a.changes_per_min)
        time.sleep(4)
        delays = []
        missing = 0
        reverted = 0
        everybody = names + [n for n in fleet.processes if n.startswith("controller-")]
        for n in everybody:
            seen = [(t, e["revision"]) for t, e in events(fleet, n, 1201)]
            reverted += sum(1 for x, y in zip(seen, seen[1:]) if y[1] <= x[1])
            for revision, at in accepted.items():
                times = [t for t, r in seen if r >= revision]
                if times:
                    delays.append(max(0.0, min(times) - at))
                else:
                    missing += 1

        # 3. A controller that holds the lease dies.
        holders = [c for c in range(a.data_centres * 2) if c % a.data_centres == 0 and fleet.get_json(fleet.controller_ops(c), "/statusz")["fencing"] > 0]
        others = [c for c in range(a.data_centres * 2) if c % a.data_centres == 0 and c not in holders]
        fleet.kill(f"controller-entry-{holders[0]}")
        dead_at = time.monotonic()
        wait_for(lambda: any(fleet.get_json(fleet.controller_ops(c), "/statusz")["fencing"] > 0 for c in others), 30, "fail-over")
        failover = time.monotonic() - dead_at

        # 4. The store is down; requests go on, changes are refused.
        refused = 0
        requests = {"sent": 0, "answered": 0}
        if a.store_down_s:
            running = load(fleet, range(min(6, a.routers)), mix="reads", rps=50, seconds=a.store_down_s, accounts="a", seed=a.seed)
            fleet.faults(fleet.table, down=True)
            time.sleep(a.store_down_s / 2)
            status, _ = fleet.api("apply", method="POST", body=json.dumps({"resources": [{"kind": "Model", "name": "other", "spec": {}}]}))
            refused = status
            requests = result(running)
            fleet.faults(fleet.table, down=False)
            wait_for(lambda: fleet.api("apply", method="POST", body=json.dumps({"resources": [{"kind": "Model", "name": "after", "spec": {}}]}))[0] == 200, 30, "the store")
        engines = [fleet.get_json(fleet.backend(i), "/admin/stats") for i in range(a.agents)]
        return {"routers": a.routers, "agents": a.agents, "data_centres": a.data_centres, "seed": a.seed, "changes": len(accepted), "changes_refused": failed,
                "in_force_p50_s": round(quantile(delays, 0.5), 3), "in_force_p99_s": round(quantile(delays, 0.99), 3), "in_force_max_s": round(max(delays, default=0), 3),
                "reverted": reverted, "lost": missing, "orders_obeyed_stale": sum(e["stale_obeyed"] for e in engines),
                "store_reads_per_s": round((store1["reads"] - store0["reads"]) / quiet_s, 2), "store_writes_per_s": round((store1["writes"] - store0["writes"]) / quiet_s, 2),
                "bytes_per_daemon_s": round(sum(spent) / len(spent)), "bytes_per_daemon_s_max": round(max(spent)),
                "router_bytes_s": round(sum((bytes1[n] - bytes0[n]) / quiet_s for n in bytes1 if n.startswith("router")) / max(1, a.routers)),
                "agent_bytes_s": round(sum((bytes1[n] - bytes0[n]) / quiet_s for n in bytes1 if n.startswith("agent")) / max(1, a.agents)),
                "cpu_share_per_daemon": round(sum(cpu) / len(cpu), 4), "cpu_share_max": round(max(cpu), 4),
                "router_cpu_share": round(sum(c for n, c in zip(names, cpu) if n.startswith("router")) / max(1, a.routers), 4),
                "agent_cpu_share": round(sum(c for n, c in zip(names, cpu) if n.startswith("agent")) / max(1, a.agents), 4),
                "rss_mib_per_daemon": round(max(rss_mib(fleet.processes[n].pid, "VmRSS") for n in names), 1),
                "router_links": round(mean_of(links, "router"), 1), "agent_links": round(mean_of(links, "agent-llm"), 1),
                "router_rss_mib": round(mean_of(rss, "router"), 2), "agent_rss_mib": round(mean_of(rss, "agent-llm"), 2),
                "failover_s": round(failover, 2), "store_down_s": a.store_down_s, "change_status_while_down": refused,
                "requests_during": requests["sent"], "requests_failed_during": requests["sent"] - requests["answered"], "died": len(fleet.dead())}
    finally:
        fleet.stop()


def add(sub):
    p = sub.add_parser("control", help="configuration, leases, outages")
    p.add_argument("--routers", type=int, default=6)
    p.add_argument("--agents", type=int, default=12)
    p.add_argument("--data-centres", type=int, default=3)
    p.add_argument("--changes", type=int, default=15)
    p.add_argument("--changes-per-min", type=float, default=60)
    p.add_argument("--store-down-s", type=float, default=10)
    p.set_defaults(run=control)
