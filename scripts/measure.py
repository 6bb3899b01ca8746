#!/usr/bin/env python3
"""Measures processes on loopback: recovery, shutdown, loss of a failure domain, configuration, and resource use.

measure.py [BUILD]   BUILD is the folder of a release build (default: build-bench)

Writes BUILD/results/processes.json (all results), BUILD/results/process.json (rows for scripts/capacity.py) and
docs/MEASURED.md. The bounds are the goals of the project; a result over its bound is reported as
missed and does not fail the run.
"""

import json
import os
import sys
import time
from pathlib import Path

import measure_faults as faults
import measure_slopes as slopes
from deployment import DeploymentError
from measure_cluster import ROOT, Cluster
from measure_report import capacity_rows, page

STEP_US = 1000  # for one layer
FAST_STEP_US = 50
IDLE_SIZES = ((2, 4), (2, 12), (4, 24))  # number of entries, of sidecars
IN_FLIGHT = 512


def machine():
    return {"cpus": os.cpu_count(), "load_average": os.getloadavg(), "time": time.strftime("%Y-%m-%d %H:%M:%S")}


def under_faults(build, results):
    with Cluster(build, "faults", 2, 6, STEP_US) as cluster:
        results["configuration"] = {"2 entries, 6 sidecars": faults.configuration(cluster)}
        results["recovery"] = {
            "sidecar killed": faults.recovery(cluster, faults.kill_sidecar),
            "engine killed": faults.recovery(cluster, faults.kill_engine),
            "sidecar frozen": faults.recovery(cluster, faults.freeze),
        }
        results["leaving"] = faults.leaving(cluster)
        results["domain"] = faults.domain_loss(cluster)


def idle_sizes(build, results):
    results["idle"] = []
    for entries, sidecars in IDLE_SIZES:
        with Cluster(build, f"idle-{sidecars}", entries, sidecars, STEP_US, usual_intervals=True) as cluster:
            results["idle"].append(slopes.idle(cluster))
            if (entries, sidecars) == IDLE_SIZES[-1]:
                results["configuration"][f"{entries} entries, {sidecars} sidecars"] = faults.configuration(cluster)


def under_load(build, results):
    flags = [f"--max_batch={IN_FLIGHT}"]
    with Cluster(build, "loaded", 1, 1, FAST_STEP_US, threads=1, whole=True, engine_flags=flags) as cluster:
        results["direct_delay_s"] = slopes.direct_delays(cluster)
        results["loaded"] = slopes.loaded(cluster)
    with Cluster(build, "open", 1, 1, FAST_STEP_US, threads=1, whole=True, engine_flags=flags) as cluster:
        results["open_streams"] = slopes.memory_per_stream(cluster)


def main(arguments):
    build = Path(arguments[0] if arguments else ROOT / "build-bench").resolve()
    started = time.monotonic()
    results = {"before": machine(), "not_run": []}
    for measurement in (under_faults, idle_sizes, under_load):
        try:
            measurement(build, results)
        except (DeploymentError, OSError, ValueError, KeyError) as error:
            results["not_run"].append(f"{measurement.__name__}: {type(error).__name__}: {error}")
        print(f"measure: {measurement.__name__} done after {time.monotonic() - started:.0f} s", flush=True)
    results["after"] = machine()
    results["seconds"] = time.monotonic() - started
    folder = build / "results"
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "processes.json").write_text(json.dumps(results, indent=1) + "\n")
    (folder / "process.json").write_text(json.dumps({"rows": capacity_rows(results)}, indent=1) + "\n")
    (ROOT / "docs" / "MEASURED.md").write_text(page(results))
    for line in results["not_run"]:
        print(f"measure: {line}", file=sys.stderr)
    return 1 if results["not_run"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
