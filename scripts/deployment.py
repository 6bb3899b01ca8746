"""Starts the processes of a deployment on loopback: stand-ins, sidecars and entries.

A deployment is an object with the attributes folder (settings and logs), binary, standin, platform, cluster_key and
operator_key.
"""

import http.client
import json
import subprocess
import time

START_SECONDS = 60
POLL_SECONDS = 0.05


class DeploymentError(Exception):
    """A process failed, or an expected condition did not hold."""


def call(address, method, path, body=None, headers=None):
    """Sends a request; returns status, headers and body of the response."""
    connection = http.client.HTTPConnection(address, timeout=30)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def records(address):
    """Returns the records of the requests that a stand-in has run."""
    return [json.loads(line) for line in call(address, "GET", "/records")[2].splitlines()]


def wait_until(what, condition):
    """Polls the condition until its result is true, and returns the result."""
    deadline = time.monotonic() + START_SECONDS
    last_error = None
    while time.monotonic() < deadline:
        try:
            result = condition()
            if result:
                return result
        except (OSError, ValueError, http.client.HTTPException) as error:
            last_error = error
        time.sleep(POLL_SECONDS)
    raise DeploymentError(f"{what}: timeout after {START_SECONDS} s; last error: {last_error}")


class Program:
    """One process of a deployment. It keeps its addresses when it is restarted."""

    def __init__(self, deployment, name, role, failure_domain, backend=None):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.failure_domain = failure_domain
        self.backend = backend
        self.addresses = {}
        self.listening = {}
        self.child = None

    def command(self):
        raise NotImplementedError

    def start(self):
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen(self.command(), stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL)
        line = self.child.stdout.readline()
        if not line:
            raise DeploymentError(f"{self.name} exited during its start; see {self.deployment.folder / (self.name + '.log')}")
        self.listening = json.loads(line)["listening"]
        purposes = ("http", "link", "peer", "admin")
        self.addresses = {purpose: self.listening[purpose] for purpose in purposes if purpose in self.listening}

    def forget_addresses(self):
        """Lets the next start choose new addresses, except for stand-ins: settings of other processes contain theirs."""

    def description(self):
        fields = {
            "name": self.name,
            "role": self.role,
            "pid": self.child.pid,
            "failure_domain": self.failure_domain,
            "addresses": dict(self.addresses),
        }
        if self.backend:
            fields["backend"] = self.backend
        if self.role in ("entry", "sidecar") and "http" in self.addresses:
            fields["addresses"]["metrics"] = self.addresses["http"]
        return fields


class Standin(Program):
    """A stand-in for the platform, an engine or a plain service."""

    def __init__(self, deployment, name, role, failure_domain, flags=()):
        super().__init__(deployment, name, role, failure_domain)
        self.flags = list(flags)

    def command(self):
        listen = self.addresses.get("http", "127.0.0.1:0")
        own = ["--listen", listen, "--records_file", str(self.deployment.folder / f"{self.name}.records")]
        return [str(self.deployment.standin), self.role, *own, *self.flags]


class Instance(Program):
    """An entry or a sidecar."""

    def __init__(self, deployment, name, role, failure_domain, server=None, more=None):
        super().__init__(deployment, name, role, failure_domain, server.role if server else None)
        self.server = server
        self.more = more or {}  # section to keys, which override those in settings()

    def command(self):
        settings = self.deployment.folder / f"{self.name}.ini"
        settings.write_text(self.settings())
        return [str(self.deployment.binary), self.role, "--settings", str(settings)]

    def settings(self):
        sections = {
            "instance": {"id": self.name, "failure_domain": self.failure_domain},
            "listen": self.addresses,
            "platform": {"address": self.deployment.platform.addresses["http"], "list_interval_ms": 200},
            "security": {
                "cluster_key": self.deployment.cluster_key,
                "bootstrap_operator_key": self.deployment.operator_key,
            },
        }
        if self.server:
            pool = "engines" if self.server.role == "engine" else "services"
            backend = {"address": self.server.addresses["http"], "kind": self.server.role, "pool": pool}
            sections["backend"] = {**backend, "probe_interval_ms": 100}
        for section, keys in self.more.items():
            sections[section] = {**sections.get(section, {}), **keys}
        lines = []
        for section, keys in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        return "\n".join(lines) + "\n"

    def forget_addresses(self):
        self.addresses = {}

    def start(self):
        super().start()
        line = {key: value for key, value in self.listening.items() if key != "pid"}
        line["state"] = "live"
        call(self.deployment.platform.addresses["http"], "PUT", f"/live/{self.name}", json.dumps(line))
