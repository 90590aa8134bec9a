"""Tests of the commands for gateways: settings check, trace and log summary."""

import tempfile
import unittest
from pathlib import Path

import orjson

from berylhaven.cli.tests.test_run import run
from berylhaven.gateway.tests._gateway_path import settings_text

FIRST = 'placement: at=12.500 event="server chosen" request=a1 server=i-1\n'
SECOND = "attempt: at=12.700 event=failed request=a1 server=i-1\n"
OTHER = "request: at=12.600 event=answered request=a12 status=200\n"


class GatewayCommandsTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def file(self, name, text):
        path = Path(self.directory.name) / name
        path.write_text(text)
        return str(path)

    def test_valid_settings_are_reported_as_good(self):
        status, output, _ = run("gateway", "check", self.file("g.ini", settings_text()))
        self.assertEqual((status, output.endswith("good\n")), (0, True))

    def test_every_problem_of_settings_is_printed(self):
        text = settings_text().replace("data_centre = here", "data_centre = ?")
        path = self.file("g.ini", text.replace("grace_s = 3", "grace_s = soon"))
        status, _, errors = run("gateway", "check", path)
        self.assertEqual(status, 1)
        self.assertIn("data_centre", errors)
        self.assertIn("grace_s", errors)
        self.assertEqual(run("gateway", "check", path + ".none")[0], 1)

    def test_a_trace_orders_the_lines_of_one_request_across_files(self):
        logs = self.file("one", "front-1 " + SECOND + OTHER)
        logs += "," + self.file("two", FIRST)
        status, output, _ = run("trace", "a1", "--logs", logs)
        lines = output.splitlines()
        self.assertEqual((status, len(lines)), (0, 2))
        self.assertIn("+0.0 ms", lines[0])
        self.assertIn("server chosen", lines[0])
        self.assertIn("+200.0 ms  front-1  attempt:", lines[1])

    def test_a_trace_as_json_has_times_and_origins(self):
        logs = self.file("one", "front-1 " + SECOND)
        document = orjson.loads(run("trace", "a1", "--logs", logs, "--json")[1])
        self.assertEqual(document[0]["origin"], "front-1")
        self.assertEqual(document[0]["at_s"], 12.7)

    def test_an_unknown_request_and_a_missing_file_fail(self):
        logs = self.file("one", OTHER)
        self.assertEqual(run("trace", "a1", "--logs", logs)[0], 1)
        self.assertEqual(run("trace", "a1", "--logs", logs + ".none")[0], 2)

    def test_a_summary_counts_outcomes_and_plots_them(self):
        refusal = OTHER.replace("answered", "refused").replace("200", "503")
        logs = self.file("one", 2 * OTHER + refusal.replace("12.6", "14.6"))
        status, output, _ = run("logs", "summary", "--logs", logs)
        self.assertEqual(status, 0)
        self.assertIn("       2      0.0  200", output)
        self.assertIn("  200 |@  |", output)
        self.assertIn("  503 |  @|", output)
        document = orjson.loads(run("logs", "summary", "--logs", logs, "--json")[1])
        self.assertEqual([row["status"] for row in document], [200, 503])
