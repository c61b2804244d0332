"""Slopes for docs/CAPACITY.md: the control bench at several sizes, fitted by the number of links a daemon holds. Prints the figures of the
page; --record writes docs/capacity-slopes.json, which a test holds against the page."""
import argparse
import json
import os
import shutil

import bench_control
import fleet as fleets

SIZES = [(6, 12), (15, 30), (30, 60), (60, 120)]


def fit(points):
    """Least squares y = a + b x; also the largest distance of a point from the line, as a share of its y."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    b = sum((x - mx) * (y - my) for x, y in points) / max(1e-9, sum((x - mx) ** 2 for x, _ in points))
    a = my - b * mx
    spread = max(abs(y - a - b * x) / max(1e-9, abs(y)) for x, y in points)
    return a, b, spread


def slopes(a, folder):
    rows = []
    for routers, agents in SIZES:
        sub = os.path.join(folder, f"{routers}")
        os.makedirs(sub)
        arguments = argparse.Namespace(routers=routers, agents=agents, data_centres=3, changes=4, changes_per_min=60, store_down_s=0, seed=a.seed)
        rows.append(bench_control.control(arguments, sub))
        shutil.rmtree(sub)
    out = {"sizes": [f"{r['routers']} routers, {r['agents']} agents" for r in rows]}
    for role in ("router", "agent"):
        for figure, scale, digits in (("bytes_s", 1, 1), ("cpu_share", 1e6, 2), ("rss_mib", 1024, 2)):
            points = [(r[role + "_links"], r[f"{role}_{figure}"]) for r in rows]
            base, per_link, spread = fit(points)
            out[f"{role}_{figure}_base"] = round(base * (scale if figure != "rss_mib" else 1), digits)
            out[f"{role}_{figure}_per_link"] = round(per_link * scale, digits)
            out[f"{role}_{figure}_spread"] = round(spread, 3)
    out["store_reads_per_s"] = [r["store_reads_per_s"] for r in rows]
    out["in_force_p99_s"] = [r["in_force_p99_s"] for r in rows]
    out["failover_s"] = [r["failover_s"] for r in rows]
    if a.record:
        with open(os.path.join(fleets.ROOT, "docs", "capacity-slopes.json"), "w") as f:
            json.dump(out, f, indent=1)
            f.write("\n")
    return out


def add(sub):
    p = sub.add_parser("slopes", help="slopes for docs/CAPACITY.md")
    p.add_argument("--record", action="store_true", help="write docs/capacity-slopes.json")
    p.set_defaults(run=slopes)
