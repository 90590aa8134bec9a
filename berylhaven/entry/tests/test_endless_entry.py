"""Tests with processes that send bytes without end to an entry instance, or from it."""

import contextlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import eventlet
import orjson
import urllib3

from berylhaven.entry.tests._local_fleet import CATALOGUE, SETTINGS
from standins.fleet import HOST, free_ports

START_TIMEOUT_S = 15.0
SENDING_S = 1.5
CALLER_COUNT = 8
SOUND_PATH = "/v1/services/bookings/x"
# An instance whose event loop is held answers nothing for longer than this.
ANSWER_TIMEOUT_S = 3.0
CALL_INTERVAL_S = 0.05
# A call waits for its own work, a few milliseconds, and for others no longer than this.
DELAY_LIMIT_S = 0.5
# Two thirds of the memory of the smallest instances.
MEMORY_LIMIT_BYTES = 100_000_000
RECOVERY_TIMEOUT_S = 1.0
SENDER_COUNT = 4
KILOBYTE = 1_024


class _Fleet:
    """One entry instance, a sound service, and stand-ins that may send without end."""

    def __init__(self):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="berylhaven-endless-"))
        self.processes = []
        self.http = urllib3.PoolManager(retries=False, maxsize=2 * CALLER_COUNT)
        names = ("callers", "peers", "operators", "server", "sound")
        names += ("configuration", "list", "peer")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.entry = None

    def start(self):
        rows = [
            {
                "address": f"{HOST}:{self.ports[port]}",
                "service": service,
                "data_centre": "a",
                "slot_count": 4,
                "incarnation": 1,
                "state": "live",
            }
            for port, service in (("server", "positions"), ("sound", "bookings"))
        ]
        instances = {"backend_servers": rows, "entry_instances": []}
        catalogue = CATALOGUE.replace(b"= 100000\n", b"= 100000000\n")
        catalogue = catalogue.replace(
            b"class = transaction\n", b"class = transaction\nidempotent = GET /*\n"
        )
        self.file("catalogue", catalogue)
        self.file("instances", orjson.dumps(instances))
        self.run("standins.backend_server", f"--port={self.ports['sound']}")
        self.serve("server", "--has_probes")
        self.serve("peer")
        self.serve("configuration", f"--document={self.directory}/catalogue")
        self.serve("list", f"--document={self.directory}/instances")
        settings = SETTINGS.format(
            ports=[self.ports[name] for name in ("callers", "peers", "operators")],
            data_centre="a",
            firm="kivu",
            seeds=f"{HOST}:{self.ports['peer']}",
            configuration_port=self.ports["configuration"],
            list_port=self.ports["list"],
        )
        path = self.file("settings", settings.encode())
        self.entry = self.run("berylhaven", "entry", "run", "--settings", path)
        end_s = time.monotonic() + START_TIMEOUT_S
        while not self.call()[0]:
            if time.monotonic() > end_s:
                raise TimeoutError("the instance did not become ready")
            eventlet.sleep(0.1)

    def file(self, name, content):
        path = self.directory / name
        path.write_bytes(content)
        return str(path)

    def run(self, module, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", module, *arguments],
            env={**os.environ, "PYTHONPATH": os.getcwd()},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

    def serve(self, name, *arguments):
        port = f"--port={self.ports[name]}"
        self.run("standins.endless_platform", "serve", port, *arguments)

    def switch(self, name, kind):
        """Have a stand-in answer with a kind of bytes; "off" for sound answers."""
        url = f"http://{HOST}:{self.ports[name]}/switch/{kind}"
        self.http.request("GET", url, timeout=5.0)

    def call(self):
        """Return whether a call was answered, and its duration in seconds."""
        url = f"http://{HOST}:{self.ports['callers']}{SOUND_PATH}"
        started_s = time.monotonic()
        status = None
        with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
            status = self.http.request("GET", url, timeout=ANSWER_TIMEOUT_S).status
        return status == 200, time.monotonic() - started_s

    def peak_bytes(self):
        status = pathlib.Path(f"/proc/{self.entry.pid}/status").read_text()
        [line] = [row for row in status.splitlines() if row.startswith("VmHWM")]
        return int(line.split()[1]) * KILOBYTE

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()
        for path in self.directory.iterdir():
            path.unlink()
        self.directory.rmdir()


class EndlessSendersTest(unittest.TestCase):
    """Whatever one peer sends, the calls of a sound service are answered in time."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = _Fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def call_repeatedly(self, results, until_s):
        while time.monotonic() < until_s:
            results.append(self.fleet.call())
            eventlet.sleep(CALL_INTERVAL_S)

    def assert_served(self):
        """Call the sound service for a while."""
        until_s = time.monotonic() + SENDING_S
        results = []
        threads = [
            eventlet.spawn(self.call_repeatedly, results, until_s)
            for _ in range(CALLER_COUNT)
        ]
        for thread in threads:
            thread.wait()
        answered_count = sum(is_answered for is_answered, _ in results)
        self.assertEqual(answered_count, len(results))
        self.assertLess(max(duration_s for _, duration_s in results), DELAY_LIMIT_S)
        self.assertLess(self.fleet.peak_bytes(), MEMORY_LIMIT_BYTES)
        url = f"http://{HOST}:{self.fleet.ports['operators']}/metrics"
        metrics = self.fleet.http.request("GET", url, timeout=ANSWER_TIMEOUT_S).data
        self.assertIn(b"berylhaven_turn_seconds_bucket", metrics)

    def assert_recovered(self):
        eventlet.sleep(RECOVERY_TIMEOUT_S)
        is_answered, duration_s = self.fleet.call()
        self.assertTrue(is_answered)
        self.assertLess(duration_s, DELAY_LIMIT_S)

    def assert_withstands_answers(self, name, kinds):
        for kind in kinds:
            with self.subTest(f"{name}, {kind}"):
                self.fleet.switch(name, kind)
                self.assert_served()
                self.fleet.switch(name, "off")
                self.assert_recovered()

    def assert_withstands_requests(self, port, path, kinds):
        for kind in kinds:
            with self.subTest(f"{port}, {kind}"):
                senders = [
                    self.fleet.run(
                        "standins.endless_sender",
                        "caller",
                        f"--address={HOST}:{self.fleet.ports[port]}",
                        f"--kind={kind}",
                        f"--path={path}",
                    )
                    for _ in range(SENDER_COUNT)
                ]
                eventlet.sleep(0.5)
                self.assert_served()
                for sender in senders:
                    sender.kill()
                self.assert_recovered()

    def test_answers_of_backend_servers(self):
        readers = self.fleet.run(
            "standins.endless_platform",
            "read",
            f"--address={HOST}:{self.fleet.ports['callers']}",
            "--path=/v1/services/positions/x",
        )
        kinds = ("chunks", "tiny-chunks", "chunk-extensions", "huge-length")
        self.assert_withstands_answers("server", kinds)
        readers.kill()

    def test_answers_of_the_platform_and_of_other_instances(self):
        self.assert_withstands_answers("configuration", ("chunks", "tiny-chunks"))
        self.assert_withstands_answers("list", ("chunks",))
        self.assert_withstands_answers("peer", ("tiny-chunks",))

    def test_requests_of_callers(self):
        kinds = ("tiny-chunks", "uploads", "unread-requests")
        self.assert_withstands_requests("callers", SOUND_PATH, kinds)

    def test_requests_to_the_other_ports(self):
        kinds = ("tiny-chunks", "huge-length")
        self.assert_withstands_requests("peers", "/v1/exchange", kinds)
        self.assert_withstands_requests("operators", "/v1/health", kinds[:1])
