"""Tests of the metrics of an instance."""

import unittest

from berylhaven.gateway import MetricsApplication
from berylhaven.gateway.tests._gateway_path import READS, GatewayPath
from berylhaven.gateway.tests.test_attempts import OK, Answers, reset


class GatewayMetricsTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)

    def metrics(self):
        """Return the samples of a scrape by name with labels."""
        application = MetricsApplication(self.path.instance.metrics)
        seen = []
        body = application(
            {"PATH_INFO": "/metrics"}, lambda status, headers: seen.append(status)
        )
        self.assertEqual(seen, ["200 OK"])
        lines = b"".join(body).decode().splitlines()
        samples = [line.rsplit(" ", 1) for line in lines if not line.startswith("#")]
        return {name: float(value) for name, value in samples if name}

    def value(self, name, **labels):
        found = [
            value
            for sample, value in self.metrics().items()
            if sample.split("{")[0] == f"berylhaven_{name}"
            and all(f'{key}="{text}"' in sample for key, text in labels.items())
        ]
        return sum(found)

    def test_requests_and_attempts_are_counted_by_their_ends(self):
        self.path.answer_all(READS, Answers(reset, OK))
        with self.path.connect() as caller:
            self.assertEqual(caller.exchange("/read/x").status, 200)
            self.assertEqual(caller.exchange("/nowhere/").status, 404)
        answered = {"service": READS, "outcome": "answered-2xx"}
        self.assertEqual(self.value("requests_total", **answered), 1)
        self.assertEqual(self.value("requests_total", outcome="refused-404"), 1)
        self.assertEqual(self.value("attempts_total", end="answered"), 1)
        self.assertEqual(self.value("attempts_total", end="broken-before-head"), 1)
        self.assertEqual(self.value("attempt_duration_seconds_count"), 2)

    def test_new_connections_are_counted(self):
        self.path.answer_all(READS, Answers(reset, OK))
        with self.path.connect() as caller:
            self.assertEqual(caller.exchange("/read/x").status, 200)
        name = "server_connections_opened_total"
        self.assertGreaterEqual(self.value(name, cause="first"), 1)

    def test_gauges_are_refreshed_when_read(self):
        self.assertEqual(self.value("configuration_version"), 1)
        self.assertEqual(self.value("servers", state="ready"), 4)
        with self.path.connect() as caller:
            caller.exchange("/read/x")
            self.assertEqual(self.value("caller_connections"), 1)
        self.assertEqual(self.value("store_calls_total", outcome="failed"), 0)
        self.assertGreaterEqual(self.value("store_calls_total", outcome="answered"), 1)

    def test_an_evacuated_data_centre_and_its_servers_are_shown(self):
        evacuations = self.path.instance._table.evacuations
        evacuations.evacuate("here")
        self.assertEqual(self.value("data_centre_evacuated", data_centre="here"), 1)
        self.assertEqual(self.value("servers", state="evacuated"), 4)
        evacuations.request_return("here")
        self.assertEqual(self.value("data_centre_evacuated", data_centre="here"), 2)
        evacuations.pop_returned(0.0, float("-inf"))
        self.assertEqual(self.value("data_centre_evacuated"), 0)
        self.assertEqual(self.value("servers", state="evacuated"), 0)

    def test_the_name_of_a_data_centre_does_not_make_the_page_unreadable(self):
        # A quote or a line break in the key of an evacuation ended the label or line.
        self.path.instance._table.evacuations.evacuate('a"} 1\nb c\\')
        name = r"a\"} 1\nb c\\"
        self.assertEqual(self.value("data_centre_evacuated", data_centre=name), 1)

    def test_other_paths_are_not_found(self):
        application = MetricsApplication(self.path.instance.metrics)
        seen = []
        application({"PATH_INFO": "/"}, lambda status, headers: seen.append(status))
        self.assertEqual(seen, ["404 Not Found"])
