"""Measurements of the resources that processes use: idle, under load, and with many open streams."""

import http.client
import json
import socket
import statistics
import subprocess
import time

from deployment import call
from measure_cluster import LAYERS, Stream, connections, cpu_seconds, resident_bytes

SETTLE_SECONDS = 2.0
IDLE_WINDOWS = 3
IDLE_WINDOW_SECONDS = 3.0
LOAD_SECONDS = 3
LOAD_RUNS = 3
LOAD_TOKENS = 64
LOAD_RATES = (15, 50, 120, 250)  # calls a second
PROBE_TOKENS = 197  # no other request has this length, so the records of the probe can be identified
OPEN_STREAMS = (0, 60, 120, 180)
OPEN_TOKENS = 500
SLOW_STEP_MS = 300
MIB = 1024 * 1024


def usage(programs):
    """Returns the current processor time of each program and the bytes of its connections."""
    links = connections()
    return {p.name: (cpu_seconds(p.child.pid), links.get(p.child.pid, {})) for p in programs}


def bytes_between(before, after):
    """Returns the bytes that the connections which are open at the end transferred."""
    return sum(size - before.get(key, 0) for key, size in after.items())


def idle_window(cluster):
    """Measures one window; returns the medians over the processes of each role."""
    programs = [*cluster.entries, *cluster.sidecars]
    calls = json.loads(call(cluster.platform.addresses["http"], "GET", "/counts")[2])
    before, start = usage(programs), time.monotonic()
    time.sleep(IDLE_WINDOW_SECONDS)
    after, length = usage(programs), time.monotonic() - start
    calls_after = json.loads(call(cluster.platform.addresses["http"], "GET", "/counts")[2])
    window = {"platform_calls_per_s": {k: (n - calls.get(k, 0)) / length for k, n in calls_after.items()}}
    for role, group in (("entry", cluster.entries), ("sidecar", cluster.sidecars)):
        window[role] = role_use(group, before, after, length, cluster)
    return window


def role_use(group, before, after, length, cluster):
    backends = {engine.addresses["http"] for engine in cluster.engines}
    outside = backends | {cluster.platform.addresses["http"]}

    def control(name, is_outside):
        earlier, later = before[name][1], after[name][1]
        selected = {key: size for key, size in later.items() if (key[1] in outside) == is_outside}
        return bytes_between(earlier, selected) / length

    names = [program.name for program in group]
    return {
        "cpu_share": statistics.median((after[name][0] - before[name][0]) / length for name in names),
        "connections": statistics.median(len(after[name][1]) for name in names),
        "process_bytes_per_s": statistics.median(control(name, False) for name in names),
        "platform_and_probe_bytes_per_s": statistics.median(control(name, True) for name in names),
        "resident_bytes": statistics.median(resident_bytes(program.child.pid) for program in group),
    }


def idle(cluster):
    time.sleep(SETTLE_SECONDS)
    return {
        "entries": len(cluster.entries),
        "sidecars": len(cluster.sidecars),
        "windows": [idle_window(cluster) for _ in range(IDLE_WINDOWS)],
    }


def load_run(cluster, rate, number):
    """Loads one entry and one sidecar with `chervilpulley load`, and measures the delay with a concurrent stream."""
    out = cluster.folder / f"load-{rate}-{number}.json"
    entry, sidecar, engine = cluster.entries[0], cluster.sidecars[0], cluster.engines[0]
    words = ["load", "--address", entry.addresses["http"], "--key-file", str(cluster.folder / "caller.key")]
    words += ["--rate", str(rate), "--seconds", str(LOAD_SECONDS), "--max-tokens", str(LOAD_TOKENS)]
    words += ["--streams", "1", "--plain", "0", "--bookings", "0", "--lookups", "0", "--json", str(out)]
    before = [cpu_seconds(p.child.pid) for p in (entry, sidecar, engine)]
    start = time.monotonic()
    tool = subprocess.Popen([str(cluster.binary), *words], stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
    time.sleep(LOAD_SECONDS / 4)
    probe = Stream(cluster, entry, f"probe {rate} {number}", PROBE_TOKENS).run()
    errors = tool.communicate(timeout=60)[1].decode()
    length = time.monotonic() - start
    used = [cpu_seconds(p.child.pid) - earlier for p, earlier in zip((entry, sidecar, engine), before)]
    report = json.loads(out.read_text())
    tokens = report["tokens_per_second"] * report["length_us"] * 1e-6 + len(probe.times)
    return {
        "calls_per_s": rate,
        "tokens_per_s": tokens / length,
        "entry_cpu_share": used[0] / length,
        "sidecar_cpu_share": used[1] / length,
        "engine_cpu_share": used[2] / length,
        "entry_tokens_per_s_a_core": tokens / used[0],
        "sidecar_tokens_per_s_a_core": tokens / used[1],
        "ends": report["ends"],
        "promises": report["promises"],
        "load_exit": tool.returncode,
        "load_errors": errors[-300:],
        "probe_error": probe.error,
        "added_delay_s": added_delays(cluster, probe),
    }


def added_delays(cluster, probe):
    """Returns p50 and p95 of the time from the end of the engine's step to the arrival of the token at the caller."""
    step = int(call_state(cluster)["step_us"]) * 1e-6
    starts = {}
    for run in cluster.runs_of(cluster.engines[0]):
        if not run["prefill"]:
            starts.setdefault(run["request"], []).append(run["time_us"] * 1e-6)
    probe_starts = [times for times in starts.values() if len(times) == PROBE_TOKENS]
    if not probe_starts or len(probe.times) != PROBE_TOKENS:
        return None
    return percentiles([at - start - step for at, start in zip(probe.times, probe_starts[-1])])


def percentiles(delays):
    delays = sorted(delays)
    return {"p50": delays[len(delays) // 2], "p95": delays[len(delays) * 95 // 100]}


def direct_delays(cluster):
    """Like added_delays, for a caller that calls the engine directly, without entry and sidecar."""
    host = cluster.engines[0].addresses["http"]
    step = int(call_state(cluster)["step_us"]) * 1e-6
    connection = http.client.HTTPConnection(host, timeout=10)
    step_request = {"request": "direct", "attempt": 1, "first_layer": 0, "last_layer": LAYERS - 1, "priority": 0}
    step_request |= {"max_tokens": PROBE_TOKENS, "prompt": "direct", "delivered": []}
    text, ends = "", []
    for position in range(PROBE_TOKENS):
        for is_prefill in (True, False) if position == 0 else (False,):
            body = json.dumps({**step_request, "position": position, "prefill": is_prefill, "input": text})
            connection.request("POST", "/v1/run", body, {"Content-Type": "application/json"})
            response = json.loads(connection.getresponse().read())
        text = response["token"]
        ends.append(time.monotonic())
    connection.close()
    runs = [run for run in cluster.runs_of(cluster.engines[0]) if run["request"] == "direct" and not run["prefill"]]
    return percentiles([end - run["time_us"] * 1e-6 - step for end, run in zip(ends, runs)])


def call_state(cluster):
    return json.loads(call(cluster.engines[0].addresses["http"], "GET", "/v1/state")[2])


def loaded(cluster):
    return [load_run(cluster, rate, number) for rate in LOAD_RATES for number in range(LOAD_RUNS)]


def open_stream(cluster):
    """Sends the request of a stream that stays open; returns its socket."""
    host, port = cluster.entries[0].addresses["http"].split(":")
    body = json.dumps({"model": "demo", "prompt": "Open", "max_tokens": OPEN_TOKENS, "stream": True})
    head = "".join(f"{name}: {value}\r\n" for name, value in cluster.headers().items())
    request = f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n{head}\r\n{body}"
    connection = socket.create_connection((host, int(port)), timeout=10)
    connection.sendall(request.encode())
    return connection


def received_start(connection):
    connection.setblocking(False)
    try:
        return connection.recv(64, socket.MSG_PEEK)[:12].decode() or "closed"
    except BlockingIOError:
        return "none yet"


def memory_per_stream(cluster):
    """Measures the resident memory of entry and sidecar while streams are open."""
    slow = json.dumps({"slow_ms": SLOW_STEP_MS})
    call(cluster.engines[0].addresses["http"], "POST", "/control", slow)
    opened, points = [], []
    try:
        for count in OPEN_STREAMS:
            opened += [open_stream(cluster) for _ in range(count - len(opened))]
            time.sleep(SETTLE_SECONDS)
            points.append(
                {
                    "open": sum(1 for connection in opened if "50" not in received_start(connection)),
                    "running_at_engine": call_state(cluster)["running"],
                    "entry_bytes": resident_bytes(cluster.entries[0].child.pid),
                    "sidecar_bytes": resident_bytes(cluster.sidecars[0].child.pid),
                }
            )
        response_starts = [received_start(connection) for connection in opened]
    finally:
        for connection in opened:
            connection.close()
    return {"points": points, "answers": {head: response_starts.count(head) for head in set(response_starts)}}


def slope(points, of, by):
    """Returns the least-squares slope of one quantity over another."""
    xs, ys = [point[by] for point in points], [point[of] for point in points]
    middle_x, middle_y = statistics.mean(xs), statistics.mean(ys)
    spread = sum((x - middle_x) ** 2 for x in xs)
    return sum((x - middle_x) * (y - middle_y) for x, y in zip(xs, ys)) / spread if spread else 0.0
