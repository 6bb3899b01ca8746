#!/usr/bin/env python3
"""Runs a complete deployment on loopback: stand-ins, sidecars and entries, each in its own process.

demo.py start [--keep]   starts all processes, runs the demo and stops them unless --keep is given
demo.py stop             stops the processes that start --keep left running
demo.py keeper           used by start: supervises the processes and restarts those that exit
"""

import hashlib
import http.client
import json
import os
import secrets
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

from deployment import POLL_SECONDS, DeploymentError, Instance, Standin, call, records, wait_until

ROOT = Path(__file__).resolve().parent.parent
BUILD = Path(os.environ.get("BUILD", ROOT / "build")).resolve()
FOLDER = BUILD / "demo"
PROCESSES = FOLDER / "processes.json"
KEEPER = FOLDER / "keeper.pid"
BINARY = BUILD / "chervilpulley"
STANDIN = BUILD / "standin"

STOP_SECONDS = 30
RESTART_PAUSE_SECONDS = 0.3
TOKENS = 24
KILL_AFTER_TOKENS = 8

# name, failure domain, first layer, last layer, time of one layer in microseconds
ENGINES = [
    ("engine-1", "domain-a", 0, 3, 1500),
    ("engine-2", "domain-b", 4, 7, 1500),
    ("engine-3", "domain-b", 0, 3, 3000),
    ("engine-4", "domain-c", 4, 7, 3000),
]
SERVICES = [("bookings-1", "domain-a"), ("bookings-2", "domain-c")]
ENTRIES = [("entry-1", "domain-a"), ("entry-2", "domain-b")]
PLATFORM_DOMAIN = "platform"


# --- Keeper: supervises the processes


class Keeper:
    """Starts all processes, restarts those that exit, and keeps processes.json up to date."""

    def __init__(self):
        self.folder = FOLDER
        self.binary = BINARY
        self.standin = STANDIN
        self.cluster_key = secrets.token_hex(16)
        self.operator_key = "bootstrap." + secrets.token_hex(16)
        self.workspace_key = "demo." + secrets.token_hex(16)
        self.stopping = threading.Event()
        self.platform = Standin(self, "platform", "platform", PLATFORM_DOMAIN)
        self.programs = [self.platform]
        for name, domain, first, last, step in ENGINES:
            flags = ["--layer_count=8", f"--first_layer={first}", f"--last_layer={last}", f"--step_us={step}"]
            self.add_backend(Standin(self, name, "engine", domain, flags))
        for name, domain in SERVICES:
            self.add_backend(Standin(self, name, "service", domain))
        self.programs += [Instance(self, name, "entry", domain) for name, domain in ENTRIES]

    def add_backend(self, server):
        self.programs += [server, Instance(self, f"sidecar-{server.name}", "sidecar", server.failure_domain, server)]

    def run(self):
        signal.signal(signal.SIGTERM, lambda *_: self.stopping.set())
        signal.signal(signal.SIGINT, lambda *_: self.stopping.set())
        try:
            for program in self.programs:
                program.start()
            self.write()
            while not self.stopping.wait(POLL_SECONDS):
                self.restart_ended()
        finally:
            self.stop()

    def restart_ended(self):
        ended = [program for program in self.programs if program.child.poll() is not None]
        if not ended or self.stopping.wait(RESTART_PAUSE_SECONDS):
            return
        for program in ended:
            program.child.stdout.close()
            try:
                program.start()
            except (DeploymentError, OSError, ValueError) as error:
                print(f"keeper: {program.name} could not be restarted: {error}", file=sys.stderr, flush=True)
                program.forget_addresses()
        self.write()

    def write(self):
        fields = {
            "processes": [program.description() for program in self.programs],
            "workspace_key": self.workspace_key,
            "operator_key": self.operator_key,
        }
        draft = PROCESSES.with_suffix(".new")
        draft.write_text(json.dumps(fields, indent=2) + "\n")
        draft.replace(PROCESSES)

    def stop(self):
        running = [program.child for program in reversed(self.programs) if program.child and program.child.poll() is None]
        for child in running:
            child.kill()
        for child in running:
            child.wait()
        PROCESSES.unlink(missing_ok=True)


def run_keeper():
    Keeper().run()


def keeper_pid():
    """Returns the process id of the running keeper, or None."""
    try:
        pid = int(KEEPER.read_text())
        words = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    except (OSError, ValueError):
        return None
    is_keeper = b"keeper" in words and any(word.endswith(b"demo.py") for word in words)
    return pid if is_keeper else None


def start_keeper():
    FOLDER.mkdir(parents=True, exist_ok=True)
    if keeper_pid():
        raise DeploymentError("the demo is already running; `make demo-stop` stops it")
    for file in FOLDER.iterdir():
        file.unlink()
    with open(FOLDER / "keeper.log", "ab") as log:
        words = [sys.executable, str(Path(__file__).resolve()), "keeper"]
        keeper = subprocess.Popen(words, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
    KEEPER.write_text(str(keeper.pid))

    def started():
        if keeper.poll() is not None:
            raise DeploymentError(f"the processes did not start; see {FOLDER / 'keeper.log'}")
        return PROCESSES.exists()

    wait_until("start of all processes", started)


def stop():
    """Stops the keeper, which stops its processes."""
    pid = keeper_pid()
    if pid is None:
        print("The demo is not running.")
        return
    os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + STOP_SECONDS
    while keeper_pid() and time.monotonic() < deadline:
        try:
            os.waitpid(pid, os.WNOHANG)
        except ChildProcessError:
            pass
        time.sleep(POLL_SECONDS)
    if keeper_pid():
        raise DeploymentError(f"the keeper (process {pid}) did not exit")
    KEEPER.unlink(missing_ok=True)
    print("All processes of the demo have stopped.")


# --- Steps of the demo


class Demo:
    """Sends requests to the running deployment as callers and operators do."""

    def __init__(self):
        fields = json.loads(PROCESSES.read_text())
        self.workspace_key = fields["workspace_key"]
        self.operator_key = fields["operator_key"]
        self.summary = []

    def processes(self, role):
        return [process for process in json.loads(PROCESSES.read_text())["processes"] if process["role"] == role]

    def address(self, role, index=0, purpose="http"):
        return self.processes(role)[index]["addresses"][purpose]

    def headers(self, more=None):
        return {"Authorization": f"Bearer {self.workspace_key}", "Content-Type": "application/json", **(more or {})}

    def say(self, text):
        self.summary.append(text)
        print(f"  {text}", flush=True)

    def configure(self):
        salt = secrets.token_hex(8)
        secret = self.workspace_key.split(".", 1)[1]
        key_hash = salt + "$" + hashlib.sha256((salt + secret).encode()).hexdigest()
        template = (ROOT / "examples" / "demo" / "demo.ini").read_text()
        (FOLDER / "demo.ini").write_text(template.replace("@API_KEY_HASH@", key_hash))
        (FOLDER / "operator.key").write_text(self.operator_key + "\n")
        done = wait_until("acceptance of the configuration", self.apply)
        self.say(f"The admin service accepted the configuration: {done}.")

    def operate(self, *words):
        options = ["--address", self.address("entry", 0, "admin"), "--key-file", str(FOLDER / "operator.key")]
        return subprocess.run([str(BINARY), *words, *options], capture_output=True, text=True, timeout=30)

    def apply(self):
        applied = self.operate("apply", "-f", str(FOLDER / "demo.ini"), "--change-id", "demo")
        if applied.returncode not in (0, 3, 5):
            raise DeploymentError(f"apply: {applied.stderr.strip()}")
        return applied.stdout.strip() if applied.returncode == 0 else None

    def wait_until_serving(self):
        def serves(entry):
            body = json.dumps({"model": "demo", "prompt": "Warm up", "max_tokens": 1})
            completion = call(entry, "POST", "/v1/completions", body, self.headers())[0]
            stock = call(entry, "GET", "/services/stock/rope", None, self.headers())[0]
            return completion == 200 and stock == 200

        for index in range(len(ENTRIES)):
            wait_until(f"response of {ENTRIES[index][0]}", lambda: serves(self.address("entry", index)))
        wait_until("registration of all backend servers", self.backends_known)

    def backends_known(self):
        status = self.operate("status", "-o", "json")
        instances = json.loads(status.stdout).get("instances", []) if status.returncode == 0 else []
        return sum(1 for instance in instances if instance.get("backend_up")) >= len(ENGINES) + len(SERVICES)

    def stream(self, path, body, on_token=None):
        """Streams a completion; returns its text and its number of tokens."""
        connection = http.client.HTTPConnection(self.address("entry"), timeout=60)
        connection.request("POST", path, json.dumps({**body, "model": "demo", "stream": True}), self.headers())
        response = connection.getresponse()
        if response.status != 200:
            raise DeploymentError(f"POST {path}: {response.status} {response.read().decode()}")
        text, tokens, done = "", 0, False
        for line in response:
            if not line.startswith(b"data: "):
                continue
            data = line[len(b"data: ") :].strip()
            if data == b"[DONE]":
                done = True
                break
            event = json.loads(data)
            if "error" in event:
                raise DeploymentError(f"POST {path}: the stream ended with {event['error']}")
            for choice in event.get("choices", []):
                piece = choice.get("text") or choice.get("delta", {}).get("content") or ""
                if piece:
                    text, tokens = text + piece, tokens + 1
                    if on_token:
                        on_token(tokens)
        connection.close()
        if not done:
            raise DeploymentError(f"POST {path}: the stream was interrupted after {tokens} tokens")
        return text, tokens

    def show_completion(self):
        text, tokens = self.stream("/v1/completions", {"prompt": "Quote for a winch at Bala", "max_tokens": TOKENS})
        self.check(tokens == TOKENS, f"a completion has {tokens} of {TOKENS} tokens")
        self.say(f"A completion streamed {tokens} tokens over two stages: \"{text[:40]}...\".")

    def show_chat(self):
        messages = [{"role": "user", "content": "Rota of the wells for June, please"}]
        text, tokens = self.stream("/v1/chat/completions", {"messages": messages, "max_tokens": TOKENS})
        self.check(tokens == TOKENS, f"a chat has {tokens} of {TOKENS} tokens")
        self.say(f"A chat streamed {tokens} tokens: \"{text[:40]}...\".")

    def show_booking(self):
        body = json.dumps({"winch": 3, "crew": 2, "nonce": secrets.token_hex(4)})
        key = secrets.token_hex(8)
        responses = []
        for index in range(len(ENTRIES)):
            path = "/services/bookings/reserve"
            responses.append(
                call(self.address("entry", index), "POST", path, body, self.headers({"Idempotency-Key": key}))
            )
        first, second = responses
        self.check(first[0] == 201, f"the response to the booking was {first[0]} {first[2]}")
        self.check(second[0] == 201 and second[2] == first[2], f"the response to its retry was {second[0]} {second[2]}")
        digest = hashlib.sha256(body.encode()).hexdigest()
        servers = [process["addresses"]["http"] for process in self.processes("service")]
        runs = sum(1 for server in servers for run in records(server) if run["body_sha256"] == digest)
        self.check(runs == 1, f"the booking ran {runs} times")
        self.say(f"A booking, retried with its key through the other entry, ran once; both responses were {first[2].strip()}.")

    def show_stock(self):
        status, _, body = call(self.address("entry"), "GET", "/services/stock/rope", None, self.headers())
        self.check(status == 200, f"the response to the stock look-up was {status} {body}")
        self.say(f"The response to the stock look-up was {body.strip()}.")

    def serving_last_stage(self):
        """Returns the process of the engine that ran the last layer of the model most recently."""
        newest = None
        for process in self.processes("engine"):
            for run in records(process["addresses"]["http"]):
                if run.get("last_layer") == 7 and "request" in run:
                    newest = max(newest or (0, None), (run["time_us"], process["name"]))
        return next(process for process in self.processes("engine") if process["name"] == newest[1])

    def show_stage_loss(self):
        body = {"prompt": "Lift plan for the quarry at Blaenau", "max_tokens": TOKENS}
        expected, _ = self.stream("/v1/completions", body)
        killed = []

        def kill_stage(tokens):
            if tokens == KILL_AFTER_TOKENS:
                killed.append(self.serving_last_stage())
                os.kill(killed[0]["pid"], signal.SIGKILL)

        text, tokens = self.stream("/v1/completions", body, kill_stage)
        self.check(text == expected, f"the output of {tokens} tokens differs from that of a run without a fault")
        name = killed[0]["name"]
        self.say(f"{name} was killed after token {KILL_AFTER_TOKENS}; the stream continued with the same output, {tokens} tokens.")
        wait_until(f"restart of {name}", lambda: self.is_restarted(killed[0]))
        self.say(f"The keeper restarted {name}.")

    def is_restarted(self, killed):
        return any(p["name"] == killed["name"] and p["pid"] != killed["pid"] for p in self.processes("engine"))

    @staticmethod
    def check(condition, message):
        if not condition:
            raise DeploymentError(message)

    def run(self):
        self.configure()
        self.wait_until_serving()
        self.show_completion()
        self.show_chat()
        self.show_booking()
        self.show_stock()
        self.show_stage_loss()

    def print_addresses(self):
        print("\nRunning processes:")
        for process in json.loads(PROCESSES.read_text())["processes"]:
            options = " ".join(f"{purpose}={address}" for purpose, address in process["addresses"].items())
            print(f"  {process['name']:<20} {process['failure_domain']:<10} pid {process['pid']:<8} {options}")
        entry = self.address("entry")
        bearer = f"-H 'Authorization: Bearer {self.workspace_key}'"
        print("\nTo try:")
        print(f"  curl -N {bearer} http://{entry}/v1/completions "
              "-d '{\"model\":\"demo\",\"prompt\":\"Hello\",\"max_tokens\":16,\"stream\":true}'")
        print(f"  curl {bearer} -H 'Idempotency-Key: try-1' http://{entry}/services/bookings/reserve -d '{{\"winch\":1}}'")
        print(f"  curl {bearer} http://{entry}/services/stock/rope")
        print(f"  {BINARY} status --address {self.address('entry', 0, 'admin')} --key-file {FOLDER / 'operator.key'}")
        print(f"\nAll of it is in {PROCESSES}; `make demo-stop` ends it.")


def start(keep):
    """Starts the demo and shows it; the exit status is 0 when all went as it must."""
    started = time.monotonic()
    start_keeper()
    succeeded = False
    try:
        print(f"{len(json.loads(PROCESSES.read_text())['processes'])} processes run on loopback.")
        demo = Demo()
        demo.run()
        succeeded = True
        print(f"\nAll {len(demo.summary)} steps succeeded in {time.monotonic() - started:.1f} s.")
        if keep:
            demo.print_addresses()
    finally:
        if not (keep and succeeded):
            stop()


def main(words):
    commands = {
        ("start",): lambda: start(False),
        ("start", "--keep"): lambda: start(True),
        ("stop",): stop,
        ("keeper",): run_keeper,
    }
    command = commands.get(tuple(words))
    if command is None:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        command()
    except DeploymentError as error:
        print(f"demo: {error}; logs are in {FOLDER}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
