"""A small deployment of the project's processes on loopback, as the deploy file starts them."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

import wire

DEPLOY = tomllib.loads((wire.ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
ZONES = ["zone-a", "zone-b", "zone-c"]
CLASSES = {"entry": "edge", "control": "core", "store": "storage"}


def free_port(ip):
    """A port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def _text(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


def fill(template, fields):
    """Fills in a template as the platform does: values, and sections that stay if they have a value."""
    lines, hidden = [], None
    for line in template.splitlines():
        opened = re.fullmatch(r"\{\{#([\w.]+)\}\}", line.strip())
        closed = re.fullmatch(r"\{\{/([\w.]+)\}\}", line.strip())
        if opened:
            if hidden is None and _lookup(fields, opened[1]) in (None, False):
                hidden = opened[1]
        elif closed:
            hidden = None if hidden == closed[1] else hidden
        elif hidden is None:
            lines.append(re.sub(r"\{\{([\w.]+)\}\}", lambda match: _text(_lookup(fields, match[1])), line))
    return "\n".join(lines) + "\n"


class Process:
    """One machine with its process."""

    def __init__(self, deployment, role, number, zone):
        self.deployment, self.role, self.zone = deployment, role, zone
        self.name = f"{CLASSES[role]}-{zone}-{number}"
        self.ip = deployment.next_ip()
        self.disk = deployment.folder / f"disk-{self.name}"
        self.settings = deployment.folder / f"{self.name}.yaml"
        self.log = deployment.folder / f"{self.name}.log"
        self.child = None

    def address(self, port):
        return self.ip, self.deployment.ports[port]

    def fields(self, founding):
        ports = self.deployment.ports
        listen = {
            "entry": {name: f"{self.ip}:{ports[name]}" for name in ("frontend", "readiness")},
            "control": {name: f"{self.ip}:{ports[name]}" for name in ("control_plane", "directory")},
            "store": {},
        }[self.role]
        memory, descriptors, cores = {"entry": (110, 4100, 0.25), "control": (256, 4096, 0.15), "store": (130, 8200, 0.5)}[self.role]
        fields = {
            "node_name": self.name, "role": self.role, "ip": self.ip, "zone": self.zone, "region": "region",
            "listen": listen, "internal_ports": [ports["peer"], ports["peer"]],
            "seeds": [f"{seed.ip}:{ports['control_plane']}" for seed in self.deployment.seeds],
            "bootstrap": founding, "limits": {"cpu_share": cores, "memory_mb": memory, "file_descriptors": descriptors},
            "fault_tolerance": {"machines": self.deployment.tolerance},
            "bounds": {"grace_s": 8, "ttl_max_s": 5, **self.deployment.bounds},
            "cloud": {"address": self.deployment.list_address, "rate_per_s": 44.0},
        }
        if self.role != "entry":
            fields["data_dir"] = str(self.disk)
        return fields

    def start(self, founding=False):
        self.disk.mkdir(exist_ok=True)
        role = DEPLOY["roles"][self.role]
        template = (wire.ROOT / role["template"]).read_text(encoding="utf-8")
        self.settings.write_text(fill(template, self.fields(founding)), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "LANG") if name in os.environ}
        environment[wire.SETTINGS] = str(self.settings)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                role["run"].split(), cwd=wire.ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child is not None:
            self.signal(signal.SIGKILL)
            self.child.wait()
            self.child = None

    def wipe(self):
        shutil.rmtree(self.disk, ignore_errors=True)

    def ended(self):
        """Whether the process ended by itself."""
        return self.child is not None and self.child.poll() is not None


class Deployment:
    """Control, stores and entries before one list of servers."""

    def __init__(self, list_address, entries=2, stores=3, control=3, tolerance=1, bounds=None):
        self.list_address = list_address
        self.tolerance, self.bounds = tolerance, bounds or {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self._last_ip = 0
        names = ("frontend", "readiness", "control_plane", "directory", "peer")
        self.ports = {name: free_port(f"{self._subnet}.1") for name in names}
        self.seeds = []
        self.control = [Process(self, "control", 1 + n // 3, ZONES[n % 3]) for n in range(control)]
        self.seeds = self.control[:3]
        self.stores = [Process(self, "store", 1 + n // 3, ZONES[n % 3]) for n in range(stores)]
        self.entries = [Process(self, "entry", 1 + n // 3, ZONES[n % 3]) for n in range(entries)]

    def next_ip(self):
        self._last_ip += 1
        return f"{self._subnet}.{self._last_ip}"

    def processes(self):
        return self.control + self.stores + self.entries

    def start(self):
        for process in self.processes():
            process.start(founding=True)

    def stop(self):
        for process in self.processes():
            process.signal(signal.SIGCONT)
            process.kill()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def as_json(value):
    return json.dumps(value, separators=(",", ":")).encode()
