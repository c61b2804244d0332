#!/usr/bin/env python3
"""Renders the settings templates of the users' platform, and has the real programs check what comes out.

The platform renders numbers as it holds them: whole, with a fraction, with an exponent. Every figure that a template names is tried in each
form, and at its extremes; none may keep a program from starting. Usage: test_rendered_settings.py BIN_DIRECTORY
"""
import json
import os
import re
import subprocess
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")

FIELDS = {
    "NodeName": "box-1", "Zone": "dc-1", "Region": "north", "Zones": {"dc-1": "north", "dc-2": "south"}, "Ip": "127.0.0.1", "app": "127.0.0.1:9001", "Service": "model", "Contracts": ["fleet", "pool"],
    "Listen": {"Front": "127.0.0.1:9002", "Ready": "127.0.0.1:9003"}, "InternalPorts": [9004, 9005], "Seeds": ["127.0.0.1:9007", "127.0.0.2:9007"], "Platform": {"Address": "127.0.0.1:9006"},
    "Limits": {"LinkMbps": "7.3", "MemoryMb": "260", "MaxFds": "4100"}, "Bounds": {"GraceS": "8", "RetryBudgetRatio": "0.2", "BudgetExtra": "654", "version_ms": "10000"},
}

NUMBERS = ("1", "0.5", "34.4", "34.0", "1e3", "1E3", "2.5e+2", "1e-3", "0", "0.0", "100000", "3600000.0")
IN_RANGE = {"Bounds.GraceS": lambda x: x <= 3600, "Bounds.RetryBudgetRatio": lambda x: x <= 1000, "Bounds.BudgetExtra": lambda x: True,
            "Bounds.version_ms": lambda x: True, "Limits.LinkMbps": lambda x: x <= 1e6,
            "Limits.MemoryMb": lambda x: x >= 1, "Limits.MaxFds": lambda x: True}
PROGRAMS = {"router": "aldervale-platform-router", "agent": "aldervale-platform-agent"}


def look_up(fields, path):
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) else fields[name]
    return fields


def render(template, fields):
    def span(match):
        found = look_up(fields, match.group(1))
        entries = found.items() if isinstance(found, dict) else enumerate(found)
        body = [match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(entry)) for key, entry in entries]
        return "".join(text.replace("{{,}}", "," if n + 1 < len(body) else "") for n, text in enumerate(body))
    template = re.sub(r"\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/\1\}\}", span, template)

    def value(match):
        found = look_up(fields, match.group(1))
        text = ",".join(found) if isinstance(found, list) else str(found)
        return json.dumps(found) if match.group(2) else text
    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", value, template)


def check(binary, text):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        run = subprocess.run([binary, "--settings", file.name, "--check-settings"], capture_output=True, text=True, timeout=60)
    return run.returncode, run.stdout + run.stderr


def main():
    tried, failed = 0, []
    for role, program in PROGRAMS.items():
        with open(os.path.join(ROOT, "platform", role + ".toml.tmpl"), encoding="utf-8") as file:
            template = file.read()
        figures = sorted(set(re.findall(r"\{\{((?:Bounds|Limits)\.[A-Za-z0-9_]+)\}\}", template)))
        assert figures, "no figure in the template of " + role
        for figure in figures:
            group, name = figure.split(".")
            for number in filter(lambda n, f=figure: IN_RANGE[f](float(n)), NUMBERS):
                fields = dict(FIELDS, **{group: dict(FIELDS[group], **{name: number})})
                code, out = check(os.path.join(sys.argv[1], program), render(template, fields))
                tried += 1
                if code != 0:
                    failed.append(f"{role}: {figure} = {number}: {out.strip()}")
        for contracts in ([], ["pool"], ["fleet", "pool", "other"]):
            code, out = check(os.path.join(sys.argv[1], program), render(template, dict(FIELDS, Contracts=contracts)))
            tried += 1
            if code != 0:
                failed.append(f"{role}: Contracts = {contracts}: {out.strip()}")
    for line in failed:
        print(line)
    print(f"{tried - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
