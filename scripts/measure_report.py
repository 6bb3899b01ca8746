"""Generates docs/MEASURED.md, and the rows for scripts/capacity.py, from the results of scripts/measure.py."""

import math
import statistics

from measure_slopes import LAYERS, LOAD_TOKENS, MIB, slope

COMMAND = "python3 scripts/measure.py build-bench"
RECOVERY_AIM_S = 0.5
FROZEN_AIM_S = 1.5
LEAVING_AIM_S = 2.0
DOMAIN_AIM_S = 2.0
CONFIG_AIM_S = 6.0
ENTRY_TOKENS_AIM = 41_000  # tokens/s per core: ten times what the expected size in two years requires
SIDECAR_TOKENS_AIM = 4_700
DELAY_AIM_MS = 1.0
IDLE_AIM_SHARE = 0.029
CONTROL_AIM_BYTES = 9000
MEMORY_AIM_MB = 128
SHOWN_FAULTS = 5


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def spread(values, digits=3):
    """Formats the median with minimum and maximum."""
    values = [value for value in values if not math.isnan(value)]
    if not values:
        return "not measured"
    return f"{statistics.median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def verdict(values, aim):
    """Tells whether the median is within the aim, and how many of the runs are."""
    good = [value for value in values if not math.isnan(value)]
    if not good:
        return "not measured"
    within = sum(1 for value in good if value <= aim)
    met = "met" if within == len(values) else "median met" if statistics.median(good) <= aim else "missed"
    return f"{met} ({within} of {len(values)} runs)"


def seconds_row(what, values, aim):
    return [what, spread(values), f"{aim:g} s", verdict(values, aim)]


def count_row(what, count, requests):
    return [what, f"{count} of {requests} requests", "0", "met" if count == 0 else "missed"]


def fault_rows(results):
    rows = []
    for name, found in results.get("recovery", {}).items():
        aim = FROZEN_AIM_S if "frozen" in name else RECOVERY_AIM_S
        rows.append(seconds_row(f"stall of a stream, {name}", found["stall_s"], aim))
        rows.append(count_row(f"streams cut or changed, {name}", len(found["faults"]), len(found["stages"])))
    if "leaving" in results:
        runs = results["leaving"]
        rows.append(seconds_row("leaving sidecar: last new request at its engine", [r["last_new_s"] for r in runs], LEAVING_AIM_S))
        rows.append(count_row("leaving sidecar: failed or refused", sum(len(r["failed"]) for r in runs), sum(r["requests"] for r in runs)))
    if "domain" in results:
        runs = results["domain"]
        rows.append(seconds_row("domain lost: slowest running stream moves again", [r["running_move_s"] for r in runs], DOMAIN_AIM_S))
        rows.append(seconds_row("domain lost: first token of a new request", [r["new_move_s"] for r in runs], DOMAIN_AIM_S))
        rows.append(seconds_row("domain lost: slowest first token after it", [r["slowest_first_token_s"] for r in runs], DOMAIN_AIM_S))
        rows.append(count_row("domain lost: failed", sum(len(r["failed"]) for r in runs), sum(r["requests"] for r in runs)))
    for name, runs in results.get("configuration", {}).items():
        times = [math.inf if run["missing"] else run["from_sending_s"] for run in runs]
        rows.append(seconds_row(f"configuration in force everywhere, {name}", times, CONFIG_AIM_S))
    return rows


def fault_notes(results):
    notes = []
    for name, found in results.get("recovery", {}).items():
        notes += [f"{name}, {fault}" for fault in found["faults"]]
    for name in ("leaving", "domain"):
        notes += [f"{name}, run {i}: {text}" for i, run in enumerate(results.get(name, [])) for text in run["failed"]]
    return notes


def idle_points(results, role):
    """Returns one point for each size of the deployment: the medians over its windows."""
    points = []
    for size in results.get("idle", []):
        use = [window[role] for window in size["windows"]]
        point = {key: statistics.median(each[key] for each in use) for key in use[0]}
        points.append({**point, "size": f"{size['entries']} entries, {size['sidecars']} sidecars", "all": use})
    return points


def idle_rows(results):
    rows = []
    for role in ("entry", "sidecar"):
        for point in idle_points(results, role):
            cpu = [100 * each["cpu_share"] for each in point["all"]]
            links = [each["process_bytes_per_s"] / 1e3 for each in point["all"]]
            outside = [each["platform_and_probe_bytes_per_s"] / 1e3 for each in point["all"]]
            memory = f"{point['resident_bytes'] / MIB:.1f}"
            rows.append([role, point["size"], f"{point['connections']:.0f}", spread(cpu), spread(links), spread(outside), memory])
    return rows


def idle_aim_rows(results):
    """Compares the largest size with what an instance may spend on control traffic, processor time and memory."""
    rows = []
    for role in ("entry", "sidecar"):
        for point in idle_points(results, role)[-1:]:
            cpu = [100 * each["cpu_share"] for each in point["all"]]
            size = [each["process_bytes_per_s"] + each["platform_and_probe_bytes_per_s"] for each in point["all"]]
            memory = [each["resident_bytes"] / MIB for each in point["all"]]
            bounds = ((cpu, 100 * IDLE_AIM_SHARE, "% of a core"), (size, CONTROL_AIM_BYTES, "bytes/s"), (memory, MEMORY_AIM_MB, "MB"))
            for values, aim, unit in bounds:
                rows.append([f"{role}, {unit}, {point['size']}", spread(values, 1), f"{aim:g}", verdict(values, aim)])
    return rows


def idle_slopes(results):
    lines = []
    for role in ("entry", "sidecar"):
        points = idle_points(results, role)
        if points:
            cpu, size = slope(points, "cpu_share", "connections"), slope(points, "process_bytes_per_s", "connections")
            memory = slope(points, "resident_bytes", "connections")
            lines.append(f"- {role}: {100 * cpu:.4f} % of a core, {size:.0f} bytes/s and {memory / 1024:.0f} KiB a connection.")
    return "\n".join(lines)


def by_rate(results):
    """Groups the load runs by their rate."""
    rates = {}
    for run in results.get("loaded", []):
        rates.setdefault(run["calls_per_s"], []).append(run)
    return rates


def delays_ms(runs, percentile):
    return [run["added_delay_s"][percentile] * 1e3 for run in runs if run["added_delay_s"]]


def load_rows(results):
    rows = []
    for rate, runs in by_rate(results).items():
        shares = [spread([100 * run[key + "_cpu_share"] for run in runs], 0) for key in ("entry", "sidecar", "engine")]
        cores = [spread([run[key + "_tokens_per_s_a_core"] for run in runs], 0) for key in ("entry", "sidecar")]
        delays = [spread(delays_ms(runs, percentile), 2) for percentile in ("p50", "p95")]
        whole = sum(run["ends"].get("whole", 0) for run in runs)
        sent = sum(sum(run["ends"].values()) for run in runs)
        rows.append([f"{rate}", spread([run["tokens_per_s"] for run in runs], 0), *shares, *cores, *delays, f"{whole} of {sent}"])
    return rows


def core_figures(results, role):
    """Returns the tokens/s per core of each run at the highest rate."""
    rates = by_rate(results)
    return [run[f"{role}_tokens_per_s_a_core"] for run in rates[max(rates)]] if rates else []


def refusal_line(results):
    """Counts the calls of the load runs that did not get a complete response, by how they ended."""
    ends = {}
    for run in results.get("loaded", []):
        for end, count in run["ends"].items():
            if end != "whole" and count:
                ends[end] = ends.get(end, 0) + count
    shown = ", ".join(f"{count} {end}" for end, count in ends.items())
    return f"Calls that were not answered whole, at all rates: {shown or 'none'}."


def aim_rows(results):
    rows = []
    for role, aim in (("entry", ENTRY_TOKENS_AIM), ("sidecar", SIDECAR_TOKENS_AIM)):
        values = core_figures(results, role)
        if values:
            met = "met" if statistics.median(values) >= aim else "missed"
            rows.append([f"{role}, tokens/s a core at the highest rate", spread(values, 0), f"{aim}", met])
    for rate, runs in by_rate(results).items():
        values = delays_ms(runs, "p95")
        tokens = statistics.median(run["tokens_per_s"] for run in runs)
        what = f"delay added to a token at {tokens:.0f} tokens/s, p95, ms"
        rows.append([what, spread(values, 2), f"{DELAY_AIM_MS:g}", verdict(values, DELAY_AIM_MS)])
    return rows


def direct_line(results):
    direct = results.get("direct_delay_s")
    if not direct:
        return ""
    times = " and ".join(f"{direct[key] * 1e3:.2f} ms ({key})" for key in ("p50", "p95"))
    return (
        f"The same delay of a caller that drives the idle engine itself, without entry and sidecar: {times}.\n"
        "It is part of every delay above, so on a busy machine the aim can be missed without our processes."
    )


def open_rows(results):
    points = results.get("open_streams", {}).get("points", [])
    return [
        [f"{p['open']}", f"{p['running_at_engine']}", f"{p['entry_bytes'] / MIB:.1f}", f"{p['sidecar_bytes'] / MIB:.1f}"]
        for p in points
    ]


def open_slopes(results):
    points = results.get("open_streams", {}).get("points", [])
    if not points:
        return ""
    by_role = [f"{role} {slope(points, role + '_bytes', 'open') / 1024:.1f} KiB" for role in ("entry", "sidecar")]
    return "Slope a stream opened: " + ", ".join(by_role) + "."


def platform_lines(results):
    lines = []
    for size in results.get("idle", []):
        kinds = sorted({kind for window in size["windows"] for kind in window["platform_calls_per_s"]})
        for kind in kinds:
            rates = [window["platform_calls_per_s"].get(kind, 0.0) for window in size["windows"]]
            if max(rates) > 0:
                lines.append([f"{size['entries']} entries, {size['sidecars']} sidecars", f"`{kind}`", spread(rates, 1)])
    return lines


def page(results):
    before, after = results["before"], results["after"]
    loads = [" ".join(f"{value:.1f}" for value in each["load_average"]) for each in (before, after)]
    notes = fault_notes(results)
    parts = [
        "# Measured",
        f"Made by `{COMMAND}` from its JSON; a release build, all processes on\n"
        "loopback of one machine. Medians, in brackets the least and the most of all runs. The bounds\n"
        "are the aims, never taken from a measurement; what is over its aim is marked as missed.",
        f"This run: {before['cpus']} processors, which other builds were using at the same time. Load average (1, 5, 15 minutes)\n"
        f"{loads[0]} before and {loads[1]} after; it took {results['seconds']:.0f} s. On a quiet machine the figures can differ.",
        "## Under faults",
        "2 entries, 6 sidecars before engines in 3 failure domains, two stages, 1 ms a layer. A stall is the time from the fault\n"
        "to the token that ends the longest gap after it, less the usual gap; the prefill for recomputation (below 10 ms) is\n"
        "left in. A leaving sidecar gets SIGTERM under load. A lost domain is all its processes killed at once; requests are\n"
        "counted through an entry of another domain.",
        table(["what", "seconds or count", "aim", "verdict"], fault_rows(results)),
        "Failures seen:\n\n" + "\n".join(f"- {note}" for note in notes[:SHOWN_FAULTS]) if notes else "Failures seen: none.",
        "## Idle",
        "Processor time is the scheduler's count. Bytes are payload, sent and received, of connections that lasted the window,\n"
        "from the kernel's TCP counters by `ss`; connections shorter than that are not counted. Intervals are the\n"
        "settings' defaults: the live list every 1 s, the engine's state every 250 ms.",
        table(["role", "size", "connections", "% of a core", "KB/s to our processes", "KB/s to platform and engine", "resident MB"], idle_rows(results)),
        table(["what", "measured", "aim", "verdict"], idle_aim_rows(results)),
        "Slopes over connections:\n\n" + idle_slopes(results),
        "Calls on the platform a second, of all processes together:",
        table(["size", "call", "calls/s"], platform_lines(results)),
        "## Loaded",
        f"One entry and one sidecar with a thread each, one engine with all {LAYERS} layers; streams of up to {LOAD_TOKENS} tokens from\n"
        "`chervilpulley load`. The delay added is the time from the end of the engine's step to the token at a caller: it holds\n"
        "the stand-in's own lateness and the caller's. Tokens/s a core are tokens by the processor time they took.",
        table(
            ["calls/s", "tokens/s", "entry %", "sidecar %", "engine %", "entry tokens/s a core", "sidecar tokens/s a core", "delay p50 ms", "delay p95 ms", "whole"],
            load_rows(results),
        ),
        refusal_line(results),
        direct_line(results),
        table(["what", "measured", "aim", "verdict"], aim_rows(results)),
        "Resident memory while streams are open:",
        table(["open", "running at the engine", "entry MB", "sidecar MB"], open_rows(results)),
        open_slopes(results),
        "## Not measured",
        "\n".join(f"- {line}" for line in [*results["not_run"], *NOT_MEASURED]),
    ]
    return "\n\n".join(part for part in parts if part) + "\n"


NOT_MEASURED = [
    "Links over 24, and slopes over workspaces and over changes a minute.",
    "Bytes of connections shorter than a window.",
    "A relay's and a rate limit's control traffic by themselves.",
]


def capacity_rows(results):
    """Returns the rows of process.json, which scripts/capacity.py reads."""
    rows = []

    def add(role, figure, value, unit):
        rows.append({"role": role, "figure": figure, "value": value, "unit": unit, "command": COMMAND})

    runs = results.get("loaded", [])
    for role in ("entry", "sidecar"):
        if runs:
            add(role, "tokens/s a core", round(statistics.median(core_figures(results, role))), "tokens/s")
        points = idle_points(results, role)
        if points:
            last = points[-1]
            where = f"with {last['connections']:.0f} connections"
            add(role, "idle processor time", round(100 * last["cpu_share"], 2), f"% of a core {where}")
            add(role, "memory", round(last["resident_bytes"] / MIB, 1), f"MB {where}")
            add(role, "control bytes/s", round(last["process_bytes_per_s"]), f"bytes/s {where}, payload")
    delays = delays_ms(by_rate(results)[min(by_rate(results))], "p95") if runs else []
    if delays:
        add("entry", "delay added to a token, p95", round(statistics.median(delays), 2), "ms, entry and sidecar together")
    return rows
