"""Measurements with real processes. Every printed figure is measured in the run that prints it."""
import argparse
import json
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import bench_control
import bench_requests
import bench_slopes
import bench_soak
import bench_spread


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    sub = parser.add_subparsers(required=True)
    for module in (bench_spread, bench_requests, bench_control, bench_soak, bench_slopes):
        module.add(sub)
    for p in sub.choices.values():
        p.add_argument("--seed", type=int, default=1)
        p.add_argument("--keep", action="store_true", help="keep the folder with settings and logs")
    a = parser.parse_args()
    if getattr(a, "origin_mib_s", None) == 0:
        a.origin_mib_s = 2 * a.link_mib_s
    folder = tempfile.mkdtemp(prefix="aldervale-bench-")
    try:
        print(json.dumps(a.run(a, folder)), flush=True)
    finally:
        if a.keep:
            print("kept " + folder, file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
