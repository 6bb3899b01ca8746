"""Deployment that scripts/measure.py measures, callers that load it, and the resource use of processes."""

import hashlib
import http.client
import json
import os
import re
import secrets
import subprocess
import threading
import time
from pathlib import Path

from deployment import DeploymentError, Instance, Standin, call, wait_until

ROOT = Path(__file__).resolve().parent.parent
LAYERS = 8
CALL_TIMEOUT_SECONDS = 30
WARM_SECONDS = 1.0
DEFAULT_LIST_MS = 1000  # defaults of the settings
DEFAULT_PROBE_MS = 250
KIB = 1024


class Cluster:
    """Entries, and sidecars with engines that each hold half of the model (or all of it), on loopback."""

    def __init__(self, build, name, entries, engines, step_us, threads=2, whole=False, engine_flags=(), usual_intervals=False):
        self.folder = build / "measure" / name
        self.binary = build / "chervilpulley"
        self.standin = build / "standin"
        self.cluster_key = secrets.token_hex(16)
        self.operator_key = "bootstrap." + secrets.token_hex(16)
        self.workspace_key = "demo." + secrets.token_hex(16)
        self.changes = 0
        self.more = {"instance": {"threads": threads}}
        if usual_intervals:
            self.more["platform"] = {"list_interval_ms": DEFAULT_LIST_MS}
        self.usual_intervals = usual_intervals
        self.platform = Standin(self, "platform", "platform", "platform")
        self.engines, self.sidecars = [], []
        for index in range(engines):
            self.add_engine(index, step_us, whole, engine_flags)
        domains = ("domain-1", "domain-2", "domain-3")
        self.entries = [
            Instance(self, f"entry-{index + 1}", "entry", domains[index % 3], more=self.more) for index in range(entries)
        ]
        self.programs = [self.platform, *self.engines, *self.sidecars, *self.entries]

    def add_engine(self, index, step_us, whole, flags):
        half = LAYERS // 2
        first, last = (0, LAYERS - 1) if whole else ((0, half - 1), (half, LAYERS - 1))[index % 2]
        domain = f"domain-{index // 2 % 3 + 1}"
        shape = [f"--layer_count={LAYERS}", f"--first_layer={first}", f"--last_layer={last}", f"--step_us={step_us}"]
        engine = Standin(self, f"engine-{index + 1}", "engine", domain, [*shape, *flags])
        more = {**self.more, "backend": {"probe_interval_ms": DEFAULT_PROBE_MS}} if self.usual_intervals else self.more
        self.engines.append(engine)
        self.sidecars.append(Instance(self, f"sidecar-{index + 1}", "sidecar", domain, engine, more))

    def __enter__(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        for old_file in self.folder.iterdir():
            old_file.unlink()
        try:
            for program in self.programs:
                program.start()
            self.configure()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        running = [program.child for program in reversed(self.programs) if program.child and program.child.poll() is None]
        for child in running:
            child.kill()
        for child in running:
            child.wait()

    def configure(self):
        salt = secrets.token_hex(8)
        secret = self.workspace_key.split(".", 1)[1]
        key_hash = salt + "$" + hashlib.sha256((salt + secret).encode()).hexdigest()
        template = (ROOT / "examples" / "demo" / "demo.ini").read_text()
        (self.folder / "operator.key").write_text(self.operator_key + "\n")
        (self.folder / "caller.key").write_text(self.workspace_key + "\n")
        self.settings_text = template.replace("@API_KEY_HASH@", key_hash)
        wait_until("acceptance of the configuration", self.apply_change)
        wait_until("all entries serving", self.is_serving)

    def apply_change(self):
        """Applies the configuration with another weight; returns the revision, or None on failure."""
        self.changes += 1
        file = self.folder / "change.ini"
        file.write_text(self.settings_text.replace("weight = 1", f"weight = {self.changes}"))
        done = self.operate("apply", "-f", str(file), "--change-id", f"measure-{self.changes}-{secrets.token_hex(4)}")
        found = re.search(r"is revision (\d+)", done.stdout)
        return int(found.group(1)) if done.returncode == 0 and found else None

    def operate(self, *words):
        admin = next(entry for entry in self.entries if entry.child.poll() is None).addresses["admin"]
        options = ["--address", admin, "--key-file", str(self.folder / "operator.key")]
        return subprocess.run([str(self.binary), *words, *options], capture_output=True, text=True, timeout=30)

    def headers(self):
        return {"Authorization": f"Bearer {self.workspace_key}", "Content-Type": "application/json"}

    def is_serving(self):
        body = json.dumps({"model": "demo", "prompt": "Warm up", "max_tokens": 1})
        for entry in self.entries:
            if call(entry.addresses["http"], "POST", "/v1/completions", body, self.headers())[0] != 200:
                return False
        status = self.operate("status", "-o", "json")
        known = json.loads(status.stdout).get("instances", []) if status.returncode == 0 else []
        return sum(1 for instance in known if instance.get("backend_up")) >= len(self.engines)

    def mend(self):
        """Restarts the processes that have exited and waits until all entries serve requests."""
        for program in self.programs:
            if program.child.poll() is not None:
                program.child.stdout.close()
                program.forget_addresses()
                program.start()
        time.sleep(WARM_SECONDS)
        wait_until("all entries serving", self.is_serving)

    def lacking(self, revision):
        """Returns the names of the processes that have not yet reported this or a later revision as active."""
        response = self.operate("rollout", "-o", "json")
        reports = json.loads(response.stdout).get("instances", []) if response.returncode == 0 else []
        known = {report["instance"] for report in reports if int(report.get("revision", 0)) >= revision}
        return [program.name for program in [*self.entries, *self.sidecars] if program.name not in known]

    def runs_of(self, engine):
        """Returns the records of the requests that an engine has run, even if it has exited."""
        lines = (self.folder / f"{engine.name}.records").read_text().split("\n")[:-1]
        return [run for run in map(json.loads, lines) if "request" in run]


class Stream:
    """One streamed completion, with the arrival times of its tokens on the monotonic clock."""

    def __init__(self, cluster, entry, prompt, max_tokens):
        self.cluster, self.entry = cluster, entry
        self.body = json.dumps({"model": "demo", "prompt": prompt, "max_tokens": max_tokens, "stream": True})
        self.sent, self.times, self.text, self.error = 0, [], "", "not ended"

    def run(self, on_token=None):
        self.sent = time.monotonic()
        connection = http.client.HTTPConnection(self.entry.addresses["http"], timeout=CALL_TIMEOUT_SECONDS)
        try:
            connection.request("POST", "/v1/completions", self.body, self.cluster.headers())
            self.error = self.read(connection.getresponse(), on_token)
        except (OSError, ValueError, http.client.HTTPException) as error:
            self.error = f"{type(error).__name__}: {error}"
        finally:
            connection.close()
        return self

    def read(self, response, on_token):
        """Reads the response to its end; returns an error text, or None."""
        if response.status != 200:
            return f"{response.status} {response.read().decode()[:200]}"
        for line in response:
            data = line[len(b"data: ") :].strip() if line.startswith(b"data: ") else b""
            if data == b"[DONE]":
                return None
            if data:
                event = json.loads(data)
                if "error" in event:
                    return str(event["error"])
                self.take(event, on_token)
        return f"interrupted after {len(self.times)} tokens"

    def take(self, event, on_token):
        piece = "".join(choice.get("text") or "" for choice in event.get("choices", []))
        if piece:
            self.text += piece
            self.times.append(time.monotonic())
            if on_token:
                on_token(len(self.times))


class Callers:
    """Threads that each run one stream after another until they are stopped."""

    def __init__(self, cluster, entries, count, max_tokens):
        self.streams, self.stopping = [], threading.Event()
        self.threads = [
            threading.Thread(target=self.loop, args=(cluster, entries[i % len(entries)], max_tokens, f"caller {i}"))
            for i in range(count)
        ]

    def loop(self, cluster, entry, max_tokens, prompt):
        while not self.stopping.is_set():
            own_prompt = f"{prompt}, request {len(self.streams)} {secrets.token_hex(4)}"
            stream = Stream(cluster, entry, own_prompt, max_tokens)
            self.streams.append(stream)
            stream.run()
            if stream.error and not stream.times:
                time.sleep(0.05)  # callers pause before they retry a refused request

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def cpu_seconds(pid):
    """Returns the processor time of a process, as the scheduler counts it for each thread."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        total += int(Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()[0])
    return total * 1e-9


def resident_bytes(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", Path(f"/proc/{pid}/status").read_text()).group(1)) * KIB


def connections():
    """Returns for each process id its TCP connections: (local, remote) address to bytes sent and received.

    Empty when `ss` is not available.
    """
    try:
        lines = subprocess.run(["ss", "-tinpH", "state", "established"], capture_output=True, text=True, timeout=10).stdout
    except (OSError, subprocess.TimeoutExpired):
        return {}
    found = {}
    pairs = re.findall(r"^\S*\s*\d+\s+\d+\s+(\S+)\s+(\S+)\s+users:\(\(.*?pid=(\d+).*?\n(.*)$", lines, re.M)
    for local, remote, pid, details in pairs:
        size = sum(int(count) for count in re.findall(r"bytes_(?:sent|received):(\d+)", details))
        found.setdefault(int(pid), {})[(local, remote)] = size
    return found


def check(condition, message):
    if not condition:
        raise DeploymentError(message)
