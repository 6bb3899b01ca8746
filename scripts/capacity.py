#!/usr/bin/env python3
"""Generates the tables of docs/CAPACITY.md from the JSON files of the measurements.

Reads decisions.json and costs.json, which scripts/bench.sh writes, and process.json where it exists:
{"rows": [{"role": "entry", "figure": "tokens/s a core", "value": 1, "unit": "tokens/s", "command": "..."}]}.
Each table is placed between `<!-- table NAME -->` and `<!-- end NAME -->`. With --check, fails
when a table is out of date.
"""

import argparse
import json
import pathlib
import re
import sys

# Expected size of the deployment in two years, which the capacity has to suffice for.
ENTRIES = 390
SERVERS = 3400
REQUESTS_PER_SECOND = 6700
TOKENS_PER_SECOND = 1_600_000
WORKSPACES = 9300
STREAMS = 54_000
SUBSET = 40
CHANGES_PER_DAY = 12_000
FRAME_OVERHEAD = 46  # bytes: WebSocket 6, TCP 20, IP 20

PER_ENTRY_REQUESTS = REQUESTS_PER_SECOND / ENTRIES
PER_ENTRY_TOKENS = TOKENS_PER_SECOND / ENTRIES
PER_SERVER_REQUESTS = 2 * REQUESTS_PER_SECOND / SERVERS  # two stages a chain

PROCESS_ROWS = [
    ("entry", "tokens/s a core"),
    ("entry", "delay added to a token, p95"),
    ("entry", "idle processor time"),
    ("entry", "memory"),
    ("entry", "control bytes/s"),
    ("sidecar", "tokens/s a core"),
    ("sidecar", "idle processor time"),
    ("sidecar", "memory"),
    ("sidecar", "control bytes/s"),
    ("relay", "control bytes/s"),
    ("relay", "watch calls on the platform"),
    ("platform", "writes/s and reads/s at 12,000 changes a day"),
]


def load(folder, name):
    path = folder / name
    return json.loads(path.read_text()) if path.exists() else None


def benchmark_costs(document):
    """Returns a dictionary from name to (nanoseconds of processor time, bytes or None)."""
    scale = {"ns": 1.0, "us": 1e3, "ms": 1e6, "s": 1e9}
    costs = {}
    for entry in document["benchmarks"]:
        if entry.get("error_occurred"):
            sys.exit(f"capacity: benchmark {entry['name']} failed: {entry['error_message']}")
        name = entry["name"].replace("/iterations:3", "")
        costs[name] = (entry["cpu_time"] * scale[entry["time_unit"]], entry.get("bytes"))  # counters are beside the times
    return costs


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def decisions_table(document):
    rows = []
    for row in document["rows"]:
        spread = f"{row['least']:.3f} to {row['most']:.3f}"
        rows.append([row["decision"], row["scenario"], row["variant"], row["figure"], f"{row['mean']:.3f}", spread])
    return table(["decision", "scenario", "variant", "figure", "mean", "least to most"], rows)


def costs_table(costs):
    rows = []
    for name, (nanoseconds, size) in costs.items():
        if size is not None:
            rows.append([name, f"{size:.0f} bytes each"])
        elif nanoseconds >= 1e6:
            rows.append([name, f"{nanoseconds / 1e6:.1f} ms"])
        else:
            rows.append([name, f"{nanoseconds / 1e3:.2f} us"])
    return table(["measurement", "cost"], rows)


def core_row(role, what, costs, name, per_second, reason):
    nanoseconds = costs[name][0]
    share = nanoseconds * 1e-9 * per_second
    return [role, what, f"{name}: {nanoseconds / 1e3:.2f} us", reason, f"{100 * share:.4f} % of a core"]


def memory_row(role, what, costs, name, count, reason):
    size = costs[name][1]
    return [role, what, f"{name}: {size:.0f} bytes", reason, f"{size * count / 1e6:.2f} MB"]


def roles_table(costs):
    rows = [
        core_row("entry", "choosing heads", costs, "RouteChoice/40", PER_ENTRY_REQUESTS,
                 f"{PER_ENTRY_REQUESTS:.1f} requests/s"),
        core_row("entry", "stall allowance of each token", costs, "StallAllowance", PER_ENTRY_TOKENS,
                 f"{PER_ENTRY_TOKENS:.0f} tokens/s"),
        core_row("entry", "subset after a change of the list", costs, "SubsetOfAll/3400", 1,
                 "one change of the list a second"),
        core_row("entry", "shares of limits it is home of", costs, "RateReport", PER_ENTRY_REQUESTS,
                 "at most one report a request"),
        core_row("sidecar", "choosing the next stage", costs, "RouteChoice/40", PER_SERVER_REQUESTS,
                 f"{PER_SERVER_REQUESTS:.1f} requests/s"),
        core_row("sidecar", "cost to go of 40 successors", costs, "CostToGoOfSuccessors/40", 10, "ten reports a second"),
        core_row("sidecar", "admission and grant", costs, "AdmitAndGrant/9300", PER_SERVER_REQUESTS,
                 f"{PER_SERVER_REQUESTS:.1f} requests/s"),
        core_row("sidecar", "crash suspects", costs, "SuspectCheck", PER_SERVER_REQUESTS,
                 f"{PER_SERVER_REQUESTS:.1f} requests/s"),
        core_row("planner", "a plan for all servers", costs, "PlanOfAll/3400", CHANGES_PER_DAY / 86400,
                 f"one at each of {CHANGES_PER_DAY} changes a day, at worst"),
        core_row("either", "a change of the configuration", costs, "ConfigChange/9300", CHANGES_PER_DAY / 86400,
                 f"{CHANGES_PER_DAY} changes a day"),
        memory_row("either", "workspaces of the configuration", costs, "MemoryPerWorkspaceConfig", WORKSPACES,
                   "all 9,300 workspaces"),
        memory_row("entry", "candidates", costs, "MemoryPerBackendServer", 10 * SUBSET, "40 for each of 10 models"),
        memory_row("entry", "rate buckets", costs, "MemoryPerWorkspaceBucket", WORKSPACES, "all 9,300 workspaces"),
        memory_row("entry", "gaps of streams", costs, "MemoryPerStream", STREAMS / ENTRIES,
                   f"{STREAMS / ENTRIES:.0f} streams"),
        memory_row("sidecar", "successors", costs, "MemoryPerBackendServer", SUBSET, "40 successors"),
        memory_row("sidecar", "waiting workspaces", costs, "MemoryPerWaitingWorkspace", 512, "a full queue of 512"),
        memory_row("either", "crash suspects", costs, "MemoryPerSuspect", 4096, "its bound of 4,096"),
    ]
    size = costs["LoadReportBytes"][1] + FRAME_OVERHEAD
    for role, what, count, reason in [
        ("entry", "load reports, subset of 40 in all", SUBSET, "40 reports/s"),
        ("entry", "load reports, 40 for each of 10 models", 10 * SUBSET, "400 reports/s"),
        ("sidecar", "load reports sent, one pool", SUBSET * ENTRIES / SERVERS, "4.6 choosers"),
        ("sidecar", "load reports, middle stage", 2 * SUBSET, "40 choosers and 40 successors"),
    ]:
        slope = f"LoadReportBytes: {size:.0f} bytes with {FRAME_OVERHEAD} for WebSocket, TCP and IP"
        rows.append([role, what, slope, reason, f"{size * count / 1e3:.1f} KB/s"])
    return table(["role", "what", "slope", "times", "at the two-year size"], rows)


def process_table(document):
    measured = {(row["role"], row["figure"]): row for row in (document or {"rows": []})["rows"]}
    rows = []
    for role, figure in PROCESS_ROWS:
        row = measured.get((role, figure))
        if row is None:
            rows.append([role, figure, "not measured yet", ""])
        else:
            rows.append([role, figure, f"{row['value']} {row['unit']}", f"`{row['command']}`"])
    return table(["role", "figure", "measured", "command"], rows)


def replace(text, name, content):
    pattern = re.compile(f"(<!-- table {name} -->\n).*?(<!-- end {name} -->)", re.S)
    if not pattern.search(text):
        sys.exit(f"capacity: docs/CAPACITY.md has no table {name}")
    return pattern.sub(lambda match: match.group(1) + content + "\n" + match.group(2), text)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--results", type=pathlib.Path, default=pathlib.Path("build-bench/results"))
    parser.add_argument("--page", type=pathlib.Path, default=pathlib.Path("docs/CAPACITY.md"))
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    decisions = load(arguments.results, "decisions.json")
    costs = load(arguments.results, "costs.json")
    if decisions is None or costs is None:
        sys.exit(f"capacity: decisions.json or costs.json is missing in {arguments.results}; run scripts/bench.sh first")
    costs = benchmark_costs(costs)
    old = arguments.page.read_text()
    page = replace(old, "decisions", decisions_table(decisions))
    page = replace(page, "costs", costs_table(costs))
    page = replace(page, "roles", roles_table(costs))
    page = replace(page, "processes", process_table(load(arguments.results, "process.json")))
    if arguments.check and page != old:
        sys.exit("capacity: docs/CAPACITY.md is out of date; run scripts/capacity.py")
    arguments.page.write_text(page)


if __name__ == "__main__":
    main()
