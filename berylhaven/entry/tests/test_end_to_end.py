"""End-to-end tests: locate, call and answer over real sockets."""

import unittest

import orjson

from berylhaven.entry.tests._local_fleet import LocalFleet


class EndToEndTest(unittest.TestCase):
    """Three entry instances that are peers serve both firms."""

    def setUp(self):
        self.fleet = LocalFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_until_ready()

    def test_a_caller_locates_calls_and_is_answered(self):
        located = self.fleet.locate(1, "positions")
        self.assertEqual(len(located["entry_instances"]), 3)
        first = located["entry_instances"][0]
        self.assertEqual(first["data_centre"], "a")
        call_id = first["call_id_prefix"] + "caller-1".replace("-", "_")
        answer = self.fleet.http.request(
            "GET",
            f"http://{first['address']}/v1/services/positions/book/7?x=1",
            headers={"Berylhaven-Call-Id": call_id},
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["Berylhaven-Outcome"], "run")
        self.assertEqual(answer.headers["Berylhaven-Result"], "200")
        document = orjson.loads(answer.data)
        self.assertEqual(document["path"], "/book/7")
        self.assertEqual(document["call_id"], call_id)

    def test_a_body_reaches_the_backend_server(self):
        path = "/v1/services/bookings/vans"
        answer = self.fleet.request("POST", 2, path, body=b"x" * 5000)
        self.assertEqual(orjson.loads(answer.data)["body_bytes"], 5000)

    def test_an_unknown_service_is_refused_with_its_result_number(self):
        answer = self.fleet.get(0, "/v1/services/nothing/x")
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.headers["Berylhaven-Outcome"], "not-run")
        self.assertEqual(orjson.loads(answer.data)["result"], 201)

    def test_operators_see_health_status_and_metrics(self):
        self.fleet.get(0, "/v1/services/positions/x")
        self.assertEqual(self.fleet.get(0, "/v1/health", port=2).status, 200)
        status = orjson.loads(self.fleet.get(0, "/v1/status", port=2).data)
        self.assertEqual(status["catalogue"]["revision"], 1)
        self.assertEqual(len(status["peers"]), 2)
        metrics = self.fleet.get(0, "/metrics", port=2).data.decode()
        for line in (
            'berylhaven_calls_total{result="answered",service="positions"} 1',
            'berylhaven_peers{state="live"} 2',
            "berylhaven_catalogue_revision 1",
            "berylhaven_catalogue_refused_revision 0",
            "berylhaven_decision_lines_dropped_total 1",
        ):
            self.assertIn(line, metrics)

    def test_a_rejected_catalogue_changes_nothing_and_is_shown(self):
        self.fleet.configuration.put("berylhaven%2Fcatalogue", b"[fleet]\nx = 1\n")
        self.fleet.wait_until(lambda: self.status(0)["catalogue_refused"])
        status = self.status(0)
        self.assertEqual(status["catalogue_refused"]["revision"], 2)
        self.assertEqual(status["catalogue_refused"]["problem_count"], 2)
        self.assertIn("104 unknown-key", status["catalogue_refused"]["problems"][1])
        self.assertEqual(status["catalogue"]["revision"], 1)
        self.assertEqual(self.fleet.get(0, "/v1/services/positions/x").status, 200)

    def status(self, index):
        return orjson.loads(self.fleet.get(index, "/v1/status", port=2).data)
