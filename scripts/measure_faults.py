"""Measurements under faults: stream recovery, shutdown, loss of a failure domain, propagation of the configuration."""

import os
import signal
import statistics
import time

from measure_cluster import Callers, Stream

RECOVERY_RUNS = 7
LEAVING_RUNS = 5
DOMAIN_RUNS = 5
CONFIG_RUNS = 7
FIND_AT_TOKEN = 5
FAULT_AT_TOKEN = 30
RECOVERY_TOKENS = 70
CALLERS = 8
CALLER_TOKENS = 30
BEFORE_FAULT_SECONDS = 0.8
AFTER_FAULT_SECONDS = 3.0
CONFIG_LIMIT_SECONDS = 20


def freeze(cluster, number):
    os.kill(cluster.sidecars[number].child.pid, signal.SIGSTOP)


def kill_sidecar(cluster, number):
    kill(cluster.sidecars[number])


def kill_engine(cluster, number):
    kill(cluster.engines[number])


def kill(program):
    os.kill(program.child.pid, signal.SIGKILL)


def last_run_at(cluster, number):
    runs = cluster.runs_of(cluster.engines[number])
    return runs[-1]["time_us"] if runs else 0


def recovery_run(cluster, fault, run, prompt):
    """Causes a fault in one stage of one stream; returns the stall in seconds, the stream and a text that names the stage."""
    stream = Stream(cluster, cluster.entries[run % 2], prompt, RECOVERY_TOKENS)
    fault_info = {}

    def on_token(count):
        if count == FIND_AT_TOKEN:
            stages = range(run % 2, len(cluster.engines), 2)
            fault_info["stage"] = max(stages, key=lambda number: last_run_at(cluster, number))
        elif count == FAULT_AT_TOKEN:
            fault_info["time"] = time.monotonic()
            fault(cluster, fault_info["stage"])

    stream.run(on_token)
    thaw(cluster)
    if "time" not in fault_info:
        return None, stream, "no fault was caused"
    gaps = [(later - earlier, later) for earlier, later in zip(stream.times, stream.times[1:])]
    typical_gap = statistics.median(gap for gap, later in gaps if later <= fault_info["time"])
    after = [(gap, later) for gap, later in gaps if later > fault_info["time"]]
    stage = f"stage {run % 2 + 1}, engine {fault_info['stage'] + 1}"
    if not is_moved(cluster, fault_info):
        return None, stream, f"{stage}, which did not serve the stream"
    return (max(after)[1] - fault_info["time"] - typical_gap if after else None), stream, stage


def is_moved(cluster, fault_info):
    """Returns whether another engine of the stage has run a step since the fault. The stream is the only request."""
    others = [number for number in range(fault_info["stage"] % 2, len(cluster.engines), 2) if number != fault_info["stage"]]
    return any(last_run_at(cluster, number) * 1e-6 > fault_info["time"] for number in others)


def thaw(cluster):
    for sidecar in cluster.sidecars:
        if sidecar.child.poll() is None:
            os.kill(sidecar.child.pid, signal.SIGCONT)


def recovery(cluster, fault):
    stalls, faults, stages = [], [], []
    for run in range(RECOVERY_RUNS):
        # Differs between runs: a crash makes the prompt of the request suspect.
        prompt = f"Lift plan for quarry {run} after {fault.__name__}"
        expected = Stream(cluster, cluster.entries[0], prompt, RECOVERY_TOKENS).run()
        stall, stream, stage = recovery_run(cluster, fault, run, prompt)
        stages.append(stage)
        if stall is not None:
            stalls.append(stall)
        if stream.error or expected.error or stream.text != expected.text:
            faults.append(f"run {run}, {stage}: {stream.error or 'different output'}, {len(stream.times)} tokens")
        cluster.mend()
    return {"stall_s": stalls, "stages": stages, "faults": faults}


def leaving_run(cluster, run):
    """Sends SIGTERM to a sidecar under load."""
    number = run % len(cluster.sidecars)
    child = cluster.sidecars[number].child
    with Callers(cluster, cluster.entries, CALLERS, CALLER_TOKENS) as callers:
        time.sleep(BEFORE_FAULT_SECONDS)
        signaled_at = time.monotonic()
        child.terminate()
        time.sleep(AFTER_FAULT_SECONDS)
    first_seen = {}
    for one in cluster.runs_of(cluster.engines[number]):
        first_seen.setdefault(one["request"], one["time_us"] * 1e-6)
    new = [start - signaled_at for start in first_seen.values() if start > signaled_at]
    return {
        "sidecar": number + 1,
        "last_new_s": max(new, default=0.0),
        "new_after": len(new),
        "new_before": len([start for start in first_seen.values() if signaled_at - BEFORE_FAULT_SECONDS < start <= signaled_at]),
        "ended": child.poll() is not None,
        "exit_status": child.poll(),
        "requests": len(callers.streams),
        "failed": [stream.error for stream in callers.streams if stream.error],
    }


def leaving(cluster):
    runs = []
    for run in range(LEAVING_RUNS):
        runs.append(leaving_run(cluster, run))
        child = cluster.sidecars[run % len(cluster.sidecars)].child
        if child.poll() is None:
            child.kill()
            child.wait()
        cluster.mend()
    return runs


def domain_run(cluster, domain):
    """Kills all processes of a failure domain while callers send requests through an entry of another one."""
    entry = next(entry for entry in cluster.entries if entry.failure_domain != domain)
    lost = [program for program in cluster.programs if program.failure_domain == domain]
    with Callers(cluster, [entry], CALLERS, CALLER_TOKENS) as callers:
        time.sleep(BEFORE_FAULT_SECONDS)
        fault_time = time.monotonic()
        for program in lost:
            kill(program)
        time.sleep(AFTER_FAULT_SECONDS)
    running = [s for s in callers.streams if s.sent < fault_time and s.times and s.times[-1] > fault_time and s.times[0] < fault_time]
    new = [s for s in callers.streams if s.sent >= fault_time and s.times]
    return {
        "lost_processes": len(lost),
        "running_streams": len(running),
        "running_move_s": max((resumed_at(stream, fault_time) for stream in running), default=0.0),
        "new_move_s": min((stream.times[0] for stream in new), default=float("nan")) - fault_time,
        "slowest_first_token_s": max((stream.times[0] - stream.sent for stream in new), default=float("nan")),
        "requests": len(callers.streams),
        "failed": [stream.error for stream in callers.streams if stream.error],
    }


def resumed_at(stream, fault_time):
    """Returns the time from the fault to the end of the longest gap of the stream after it."""
    gaps = [(later - earlier, later) for earlier, later in zip(stream.times, stream.times[1:]) if later > fault_time]
    return max(gaps)[1] - fault_time if gaps else 0.0


def domain_loss(cluster):
    runs = []
    for run in range(DOMAIN_RUNS):
        runs.append(domain_run(cluster, f"domain-{run % 3 + 1}"))
        for program in cluster.programs:
            if program.failure_domain == f"domain-{run % 3 + 1}":
                program.child.wait()
        cluster.mend()
    return runs


def config_run(cluster):
    """Measures the time from sending a change, and from its acceptance, until every process reports it as active."""
    sent = time.monotonic()
    revision = cluster.apply_change()
    accepted = time.monotonic()
    missing = cluster.lacking(revision)
    while missing and time.monotonic() < accepted + CONFIG_LIMIT_SECONDS:
        missing = cluster.lacking(revision)
    done = time.monotonic()
    return {"from_sending_s": done - sent, "from_acceptance_s": done - accepted, "missing": missing}


def configuration(cluster):
    return [config_run(cluster) for _ in range(CONFIG_RUNS)]
