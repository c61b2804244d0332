"""What the measurements share: a declared fleet, load, process figures, log events."""
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets

MIB = 1 << 20
TICKS = os.sysconf("SC_CLK_TCK")
# Below the range that the system gives to outgoing connections, and away from the demo's.
BASE = 24000


def toml(value):
    return "{ " + ", ".join(f"{k} = {v}" for k, v in value.items()) + " }" if isinstance(value, dict) else json.dumps(value)


class Declarations:
    """Resources of a bench fleet, written as a folder of TOML."""

    def __init__(self):
        self.items = {}

    def add(self, kind, name, **spec):
        self.items[(kind, name)] = spec

    def write(self, folder):
        os.makedirs(folder, exist_ok=True)
        with open(os.path.join(folder, "all.toml"), "w") as f:
            for (kind, name), spec in self.items.items():
                f.write(f'[[resource]]\nkind = "{kind}"\nname = "{name}"\n[resource.spec]\n')
                for k, v in spec.items():
                    f.write(f"{k} = {toml(v)}\n")
                f.write("\n")
        return folder


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as f:
        parts = f.read().rsplit(")", 1)[1].split()
    return (int(parts[11]) + int(parts[12])) / TICKS


def rss_mib(pid, field="VmHWM"):
    with open(f"/proc/{pid}/status") as f:
        for line in f:
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
    return 0


def quantile(values, q):
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))] if values else 0


def events(fleet, name, number):
    """(time, line) of an event in one process's log."""
    out = []
    try:
        with open(os.path.join(fleet.folder, name + ".log")) as f:
            for line in f:
                if f'"event":{number},' in line:
                    e = json.loads(line)
                    out.append((e["t"], e))
    except OSError:
        pass
    return out


def base_fleet(folder, routers, agents, centres, regions=True, plain=0, accounts=(), controllers_per_dc=1, router_settings=None, agent_settings=None, engine=(),
               log_level="info", controller_settings=None):
    """Declares and starts routers, controllers, agents, engines and plain services; returns fleet and declarations (not yet applied)."""
    fleet = fleets.Fleet(BASE, folder, log_level=log_level)
    d = Declarations()
    names = [f"dc-{i}" for i in range(centres)]
    for n in names:
        d.add("DataCentre", n, region=n if regions else "one")
    for i in range(routers):
        d.add("Box", f"entry-{i}", data_centre=names[i % centres], address=fleet.router_link(i), role="entry")
    for i in range(agents):
        d.add("Box", f"llm-{i}", data_centre=names[i % centres], address=fleet.agent_link(i), role="backend")
    for k in range(plain):
        d.add("Box", f"plain-{k}", data_centre=names[k % centres], address=fleet.agent_link(agents + k), role="backend", backend="plain")
    for name, rps in accounts:
        d.add("ClientAccount", name, token_sha256=fleets.sha256("token-" + name), limit_rps=float(rps))
    fleet.counts = (routers, agents, plain, names)
    if agents:
        fleet.standin("engines", "engine", fleet.backend(0), "--count", agents, "--threads", 4, *engine)
    if plain:
        fleet.standin("plain", "plain", fleet.backend(agents), "--count", plain, "--threads", 2)
    links = [fleet.router_link(i) for i in range(routers)]
    for i in range(routers):
        fleet.router(i, f"entry-{i}", names[i % centres], links[:3], **(router_settings or {}))
    for c in range(min(routers, centres * controllers_per_dc)):
        own = [links[j] for j in range(routers) if j % centres == c % centres]
        fleet.controller(c, f"entry-{c}", names[c % centres], own[:2], **(controller_settings or {}))
    for i in range(agents):
        fleet.agent(i, f"llm-{i}", names[i % centres], **(agent_settings or {}))
    for k in range(plain):
        fleet.agent(agents + k, f"plain-{k}", names[k % centres], engine=False)
    return fleet, d


def load(fleet, routers, **options):
    command = [os.path.join(fleet.bin, "aldervale-bench")]
    if routers:
        command += ["--routers", ",".join(fleet.router_http(i) for i in routers)]
    for key, value in options.items():
        command += ["--" + key.replace("_", "-"), str(value)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=sys.stderr, text=True)


def result(process):
    out, _ = process.communicate(timeout=900)
    return json.loads(out)


def wait_for(condition, timeout, what):
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError("gave up waiting for " + what)
        time.sleep(0.05)
