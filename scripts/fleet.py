"""Starts a small fleet of real processes on loopback: stand-ins, routers, controllers, agents. Used by the demo and by the benches.

Scaffolding only: it knows nothing but addresses. Everything it starts is ended by its own process id.
"""
import hashlib
import http.client
import json
import os
import random
import signal
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
OPERATOR_TOKEN = "demo-operator-token"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


class Fleet:
    """Ports: base + 1..3 platform, + 100 links of routers, + 200 HTTP, + 300 ops of routers, + 400 controllers, then from + 1000
    blocks of 500 each for agents' links, staging, backends and ops."""

    def __init__(self, base, folder, bin_dir=None, log_level="warn"):
        self.base = base
        self.folder = folder
        self.bin = bin_dir or os.path.join(ROOT, "build", "release", "bin")
        self.log_level = log_level
        self.processes = {}  # name -> Popen
        self.commands = {}   # name -> argument list, to start it again
        os.makedirs(folder, exist_ok=True)

    # addresses
    def at(self, offset):
        return f"127.0.0.1:{self.base + offset}"

    table = property(lambda self: self.at(1))
    origin = property(lambda self: self.at(2))
    boxes = property(lambda self: self.at(3))

    def router_link(self, i):
        return self.at(100 + i)

    def router_http(self, i):
        return self.at(200 + i)

    def router_ops(self, i):
        return self.at(300 + i)

    def controller_ops(self, i):
        return self.at(400 + i)

    def agent_link(self, i):
        return self.at(1000 + i)

    def agent_staging(self, i):
        return self.at(1500 + i)

    def backend(self, i):
        return self.at(2000 + i)

    def agent_ops(self, i):
        return self.at(2500 + i)

    # processes
    def start(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.commands[name] = arguments
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def restart(self, name):
        self.start(name, self.commands[name])

    def kill(self, name, sig=signal.SIGKILL, wait=True):
        p = self.processes.get(name)
        if p is None or p.poll() is not None:
            return
        p.send_signal(sig)
        if wait and sig in (signal.SIGKILL, signal.SIGTERM):
            try:
                p.wait(timeout=40)
            except subprocess.TimeoutExpired:
                p.kill()
                p.wait()

    def stop(self):
        for p in self.processes.values():
            if p.poll() is None:
                p.kill()
        for p in self.processes.values():
            p.wait()

    def dead(self):
        return [n for n, p in self.processes.items() if p.poll() not in (None, 0, -signal.SIGKILL, -signal.SIGTERM)]

    def standin(self, name, kind, at, *extra):
        self.start(name, [os.path.join(self.bin, "aldervale-standin"), kind, "--listen", at, *map(str, extra)])

    def daemon(self, program, name, data_centre, settings):
        lines = [f'name = "{name}"', f'data_centre = "{data_centre}"']
        for key, value in settings.items():
            lines.append(f"{key} = {json.dumps(value)}")
        lines.append(f'log.level = "{self.log_level}"')
        path = os.path.join(self.folder, f"{program}-{name}.toml")
        with open(path, "w") as f:
            f.write("\n".join(lines) + "\n")
        self.start(f"{program}-{name}", [os.path.join(self.bin, "aldervale-" + program), "--settings", path])

    def platform(self, weights, mib_s=0, lag_ms=500, **table):
        extra = []
        for key, value in table.items():
            extra += ["--" + key.replace("_", "-"), value]
        self.standin("table", "table", self.table, *extra)
        self.standin("origin", "origin", self.origin, "--root", weights, "--mib-s", mib_s)
        self.standin("boxes", "boxes", self.boxes, "--lag-ms", lag_ms)

    def router(self, i, name, data_centre, peers, **more):
        settings = {"listen": self.router_link(i), "http_listen": self.router_http(i), "ops_listen": self.router_ops(i), "table_service": self.table,
                    "box_list": self.boxes, "weight_store": self.origin, "peers": [p for p in peers if p != self.router_link(i)],
                    "operators": [f"demo:write:{sha256(OPERATOR_TOKEN)}"]}
        settings.update(more)
        self.daemon("router", name, data_centre, settings)

    def controller(self, i, name, data_centre, routers, **more):
        settings = {"routers": routers, "table_service": self.table, "ops_listen": self.controller_ops(i)}
        settings.update(more)
        self.daemon("controller", name, data_centre, settings)

    def agent(self, i, name, data_centre, engine=True, **more):
        settings = {"listen": self.agent_link(i), "backend": self.backend(i), "ops_listen": self.agent_ops(i), "weights.staging_listen": self.agent_staging(i),
                    "backend_type": "engine" if engine else "plain", "weight_store": self.origin}
        settings.update(more)
        self.daemon("agent", name, data_centre, settings)

    def ctl(self, *arguments, routers=None, check=True):
        command = [os.path.join(self.bin, "aldervalectl"), *map(str, arguments)]
        for r in routers or [self.router_http(0)]:
            command += ["--router", r]
        done = subprocess.run(command, env=dict(os.environ, ALDERVALE_TOKEN=OPERATOR_TOKEN), capture_output=True, text=True, timeout=300)
        if check and done.returncode != 0:
            raise RuntimeError(f"{' '.join(command)}: {done.stdout[-300:]}{done.stderr}")
        return done.stdout

    # HTTP
    def call(self, at, method, path, body=None, headers=None, timeout=10):
        host, port = at.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            connection.request(method, path, body=body, headers=headers or {})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def get_json(self, at, path):
        return json.loads(self.call(at, "GET", path)[2])

    def faults(self, at, **faults):
        self.call(at, "POST", "/admin/faults", json.dumps(faults))

    def api(self, path, router=0, method="GET", body=None):
        status, _, data = self.call(self.router_http(router), method, "/aldervale/v1/" + path, body=body, headers={"Authorization": "Bearer " + OPERATOR_TOKEN})
        return status, json.loads(data)

    def wait_ready(self, ats, timeout=20, path="/readyz"):
        end = time.monotonic() + timeout
        for at in ats:
            while True:
                try:
                    if self.call(at, "GET", path, timeout=2)[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise RuntimeError(f"{at}{path} is not ready")
                time.sleep(0.05)


def write_weights(path, mib, seed, step=16):
    """Bytes that any machine makes alike."""
    rng = random.Random(seed)
    with open(path, "wb") as f:
        for _ in range(0, mib, step):
            f.write(rng.randbytes(min(step, mib) << 20))


def make_version(folder, weights, name, mib, seed, shards=1, chunk_kib=256, bin_dir=None, model="model", base=None):
    """Generates shard files and their manifest; returns the digest."""
    files = []
    for s in range(shards):
        path = os.path.join(folder, f"{name}-{s}.bin")
        write_weights(path, max(1, mib // shards), seed * 100 + s)
        files.append(path)
    command = [os.path.join(bin_dir or os.path.join(ROOT, "build", "release", "bin"), "aldervalectl"), "manifest", *files, "--out", weights, "--model", model,
               "--model-version", name, "--chunk-kib", str(chunk_kib)]
    if base:
        command += ["--base", base]
    digest = subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()
    for path in files:
        os.remove(path)
    return digest
