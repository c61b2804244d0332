"""The demo: one deployment from declarations to answers, on loopback. Ends with a table; exit code 0 only if everything shown is so."""
import argparse
import http.client
import json
import os
import shutil
import sys
import tempfile
import time
import tomllib
import uuid

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets

DEPLOYMENTS = {
    "leesketen": {"base": 20000, "version": "summary-1", "seed": 1, "model": "summary", "chat": "/v1/assistant", "keyed": "/v1/loans", "reads": "/v1/hours/today",
                  "account": "branch-desk"},
    "turbine": {"base": 30000, "version": "notes-1", "seed": 2, "model": "notes", "chat": "/v1/notes", "keyed": "/v1/dispatch", "reads": "/v1/dashboards/7",
                "account": "field-crews"},
}
MIB = 32


def uuid7():
    ms = int(time.time() * 1000)
    rest = uuid.uuid4().int & ((1 << 80) - 1)
    value = (ms << 80) | rest
    value = (value & ~(0xF << 76)) | (0x7 << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def read_boxes(folder):
    with open(os.path.join(folder, "boxes.toml"), "rb") as f:
        declared = tomllib.load(f)["resource"]
    return [(r["name"], r["spec"]) for r in declared if r["kind"] == "Box"]


def start_fleet(fleet, folder):
    boxes = read_boxes(folder)
    entries = [(n, s) for n, s in boxes if s["role"] == "entry"]
    backends = [(n, s) for n, s in boxes if s["role"] == "backend"]
    engines = sum(1 for n, _ in backends if n.startswith("llm-"))
    fleet.standin("engines", "engine", fleet.backend(0), "--count", engines, "--threads", 4)
    fleet.standin("plain", "plain", fleet.backend(engines), "--count", len(backends) - engines)
    links = [fleet.router_link(i) for i in range(len(entries))]
    for i, (name, spec) in enumerate(entries):
        fleet.router(i, name, spec["data_centre"], links[:2])
    for i, (name, spec) in enumerate(entries):
        own = [fleet.router_link(j) for j, (_, s) in enumerate(entries) if s["data_centre"] == spec["data_centre"]]
        fleet.controller(i, name, spec["data_centre"], own)
    for i, (name, spec) in enumerate(backends):
        fleet.agent(i, name, spec["data_centre"], engine=i < engines)
    return len(entries), engines, len(backends)


class Tally:
    def __init__(self):
        self.sent = 0
        self.answered = 0
        self.verdicts = {}

    def add(self, ok, verdict):
        self.sent += 1
        self.answered += 1 if ok else 0
        self.verdicts[verdict] = self.verdicts.get(verdict, 0) + 1


def stream(fleet, router, path, token, prompt, tokens, tally):
    host, port = fleet.router_http(router).split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    body = json.dumps({"prompt": prompt, "max_tokens": tokens, "stream": True})
    connection.request("POST", path, body=body, headers={"Authorization": "Bearer " + token, "Content-Type": "application/json"})
    answer = connection.getresponse()
    text = answer.read().decode()
    connection.close()
    events = [e for e in text.split("\n\n") if e]
    whole = answer.status == 200 and len(events) == tokens + 1 and events[-1] == "data: [DONE]"
    tally.add(whole, "ran" if whole else answer.headers.get("Aldervale-Verdict", "?"))
    return whole, events


def call(fleet, router, method, path, token, tally, key=None, body=None):
    headers = {"Authorization": "Bearer " + token}
    if key:
        headers["Idempotency-Key"] = key
    status, fields, data = fleet.call(fleet.router_http(router), method, path, body=body, headers=headers)
    tally.add(status // 100 == 2, fields.get("Aldervale-Verdict", "?"))
    return status, fields, json.loads(data)


def run(deployment, folder):
    d = DEPLOYMENTS[deployment]
    declared = os.path.join(fleets.ROOT, "examples", deployment)
    weights = os.path.join(folder, "weights")
    fleet = fleets.Fleet(d["base"], folder, log_level=os.environ.get("ALDERVALE_LOG", "warn"))
    faults = []

    def check(what, ok):
        print(("  ok    " if ok else "  FAILED ") + what)
        if not ok:
            faults.append(what)

    try:
        print(f"generating {MIB} MiB of weights")
        digest = fleets.make_version(folder, weights, d["version"], MIB, d["seed"], model=d["model"])
        fleet.platform(weights)
        routers, engines, backends = start_fleet(fleet, declared)
        fleet.wait_ready([fleet.router_ops(i) for i in range(routers)], path="/healthz")
        print(f"started {routers} routers, {routers} controllers, {backends} agents, {engines} engines")

        started = time.monotonic()
        print(fleet.ctl("apply", declared, "--wait", "--timeout", 10).splitlines()[-1])
        seconds = time.monotonic() - started
        replicas = fleet.api("replicas")[1]["items"]
        servable = sum(1 for r in replicas if r["servable"] and r["active"] == digest)
        check(f"{servable} of {engines} model replicas serve {digest[:12]}", servable == engines)
        print(fleet.ctl("get", "replicas"), end="")
        origin = fleet.get_json(fleet.origin, "/admin/stats")["bytes"].get(digest, 0) / (MIB << 20)
        fleet.wait_ready([fleet.router_ops(i) for i in range(routers)])
        time.sleep(1)  # the first heartbeats of the plain services' boxes

        tally = Tally()
        token = "token-" + d["account"]
        whole, events = stream(fleet, 0, d["chat"], token, "Summarise the book about the keeper of the light. " * 8, 24, tally)
        check("a streamed completion arrives whole: " + " ".join(e[6:].strip() for e in events[:6]) + " ...", whole)
        for i in range(30):
            stream(fleet, i % routers, d["chat"], token, f"question {i} " * 30, 8, tally)
        status, _, answer = call(fleet, 1, "GET", d["reads"], token, tally)
        check(f"a plain service call is answered: {answer}", status == 200)
        key = uuid7()
        first = call(fleet, 0, "POST", d["keyed"], token, tally, key, '{"item": 7}')
        again = call(fleet, 2, "POST", d["keyed"], token, tally, key, '{"item": 7}')
        check("a keyed call runs", first[0] == 201)
        check("repeated at another entry box it is answered again, not run again", again[0] == 201 and again[1].get("Aldervale-Replayed") == "true" and again[2] == first[2])
        runs = 0
        for i in range(engines, backends):
            runs += fleet.get_json(fleet.backend(i), "/admin/stats")["runs"].get(key, 0)
        check(f"the service ran it {runs} time", runs == 1)
        status, fields, _ = fleet.call(fleet.router_http(0), "POST", d["chat"], body="{}", headers={"Authorization": "Bearer nobody"})
        check("an unknown token is refused as not run", status == 403 and fields.get("Aldervale-Verdict") == "not-run")
        mixed = sum(fleet.get_json(fleet.backend(i), "/admin/stats")["mixed_or_partial"] for i in range(engines))
        check("no engine saw mixed or partial weights", mixed == 0)
        check("every request was answered", tally.answered == tally.sent)
        check("no process died", not fleet.dead())
        print(f"\n{'deployment':28}{deployment}\n{'time to ' + str(engines) + ' replicas':28}{seconds:.2f} s\n{'read from the origin':28}{origin:.2f} copies of {MIB} MiB")
        print(f"{'requests sent / answered':28}{tally.sent} / {tally.answered}")
        for verdict, n in sorted(tally.verdicts.items()):
            print(f"{'verdict ' + verdict:28}{n}")
    finally:
        fleet.stop()
    if faults:
        print("not so: " + "; ".join(faults))
    return 1 if faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="leesketen")
    parser.add_argument("--keep", action="store_true", help="keep the folder with settings and logs")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="aldervale-demo-")
    try:
        return run(arguments.deployment, folder)
    finally:
        if arguments.keep:
            print("kept " + folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
