"""Tests of hedges within the limit that operators set."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import eventlet

from berylhaven.clock import monotonic_s
from berylhaven.gateway import InvalidGatewaySettings, parse_gateway_settings
from berylhaven.gateway.servers._finish_estimate import RouteWork
from berylhaven.gateway.servers._server_chooser import ChoiceRequest
from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    READS,
    GatewayPath,
    configuration,
    request_bytes,
    route,
    settings_text,
)
from berylhaven.hedging import HedgeBudget, HedgeDenial, HedgeLimit
from berylhaven.overload import LimitShare
from berylhaven.routes import ServiceSpec

ON = "[hedging]\nextra_request_ratio = 0.1\nbusy_slot_ratio = 0.7\n"
OFF = "[hedging]\nextra_request_ratio = 0\n"
STOP_S = 0.5


def answer_bytes(status=200, load="0,0,4,1", body="ok", extra=""):
    """Return an answer with a load report."""
    return (
        f"HTTP/1.1 {status} X\r\nWordy-Load: {load}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


FIRST = answer_bytes(body="first")


class Answers:
    """Answers probes with a load report, and requests with one handler each."""

    def __init__(self, *handlers, load="0,0,4,1", extra=""):
        self.handlers = list(handlers)
        self.health = answer_bytes(load=load, extra=extra)

    def get(self, path, default):
        return self.answer_probe if path == HEALTH_PATH else self.handlers.pop(0)

    def answer_probe(self, sock, request):
        sock.sendall(self.health)


def good(sock, request):
    sock.sendall(answer_bytes(body="second"))


def failed(sock, request):
    sock.sendall(answer_bytes(500))


def reset(sock, request):
    return False


class Hanging:
    """Answers late or never, and notes when the gateway closes the connection."""

    def __init__(self, answer_after_s=None, data=FIRST):
        self.answer_after_s = answer_after_s
        self.data = data
        self.closed_at_s = None

    def __call__(self, sock, request):
        with eventlet.Timeout(self.answer_after_s, False):
            sock.recv(1)
            self.closed_at_s = monotonic_s()
            return False
        if self.data:
            sock.sendall(self.data)
        return bool(self.data)


class HedgingTest(unittest.TestCase):
    def start(self, settings=ON, settings_path=None, has_hedge=True, **changes):
        routes = (route("/read/", timeout_s=1.5, **changes),)
        config = configuration(routes=routes)
        self.path = GatewayPath(config, settings_path, settings)
        self.addCleanup(self.path.stop)
        self.hedger = self.path.instance._forwarder._hedger
        if has_hedge:
            patch = mock.patch.object(HedgeBudget, "has_hedge", lambda *_: True)
            patch.start()
            self.addCleanup(patch.stop)

    def send(self, *handlers, **load):
        answers = Answers(*handlers, **load)
        for backend in self.path.backends[READS]:
            backend.answers = answers
        with self.path.connect() as caller:
            return caller.exchange("/read/x")

    def sent_count(self):
        return len(self.path.requests(READS))

    def denials(self):
        return {
            labels["cause"]: count
            for labels, count in self.hedger._denials.get_all()
            if labels["service"] == READS
        }

    def test_a_late_request_is_hedged_and_the_loser_stops_at_once(self):
        self.start()
        loser = Hanging()
        answer = self.send(loser, good)
        answered_at_s = monotonic_s()
        self.assertEqual((answer.status, answer.body), (200, b"second"))
        eventlet.sleep(STOP_S)
        self.assertIsNotNone(loser.closed_at_s)
        self.assertLess(loser.closed_at_s - answered_at_s, STOP_S)
        self.assertEqual(
            sorted((labels["event"], n) for labels, n in self.hedger._hedges.get_all()),
            [("sent", 1), ("won", 1)],
        )

    def test_the_second_request_goes_to_another_server(self):
        self.start()
        self.send(Hanging(), good)
        counts = [b.count_requests("/read/x") for b in self.path.backends[READS]]
        self.assertEqual(counts, [1, 1])

    def test_a_limit_of_zero_sends_no_hedge(self):
        self.start(OFF)
        answer = self.send(Hanging(0.9), good)
        self.assertEqual((answer.body, self.sent_count()), (b"first", 1))
        self.assertEqual(self.denials(), {"switched off": 1})

    def test_a_budget_that_is_empty_sends_no_hedge(self):
        self.start(has_hedge=False)
        answer = self.send(Hanging(0.9), good)
        self.assertEqual((answer.body, self.sent_count()), (b"first", 1))
        self.assertEqual(self.denials(), {"limit": 1})

    def test_without_the_section_hedges_are_sent_as_before(self):
        self.start("", has_hedge=False)
        answer = self.send(Hanging(), good)
        self.assertEqual((answer.body, self.sent_count()), (b"second", 2))

    def test_a_service_without_room_gets_no_hedge(self):
        # Guards against hedges that take the slots of other requests in an overload.
        self.start(ON.replace("0.7", "0.5"))
        answer = self.send(Hanging(0.9), good, load="2,0,4,1")
        self.assertEqual((answer.body, self.sent_count()), (b"first", 1))
        self.assertEqual(self.denials(), {"busy": 1})

    def test_a_hedge_does_not_wait_for_a_slot(self):
        self.start()
        answers = Answers(Hanging(0.9), good)
        for backend in self.path.backends[READS]:
            backend.answers = answers
        full = answer_bytes(load="4,2,4,1")
        eventlet.spawn_after(0.1, setattr, answers, "health", full)
        chooser = self.path.instance._forwarder._runner._chooser
        choose = type(chooser).choose
        choices = []

        def note_choice(chooser, request):
            choices.append(request.wait_limit_s)
            return choose(chooser, request)

        with (
            mock.patch.object(type(chooser), "choose", note_choice),
            self.path.connect() as caller,
        ):
            answer = caller.exchange("/read/x")
        self.assertEqual((len(choices), choices[-1]), (2, 0.0))
        self.assertEqual((answer.body, self.sent_count()), (b"first", 1))
        self.assertEqual(self.denials(), {"no server": 1})

    def test_limited_and_cold_servers_get_no_hedge(self):
        # Guards against hedges that take a server's turn, or crash a cold server.
        for make_unsuitable in (
            lambda server: setattr(server, "limit", LimitShare(9.0, 1.0, 0.0)),
            lambda server: setattr(server, "warmup_end_s", monotonic_s() + 9),
            lambda server: server.record_quiet(monotonic_s(), 9),
        ):
            self.start()
            with (
                self.subTest(make_unsuitable),
                mock.patch.object(LimitShare, "record_send") as record_send,
            ):
                eventlet.spawn_after(0.1, self.change_idle_servers, make_unsuitable)
                self.assertEqual(self.send(Hanging(0.9), good).body, b"first")
                self.assertEqual(self.sent_count(), 1)
                self.assertEqual(self.denials(), {"no server": 1})
                record_send.assert_not_called()

    def change_idle_servers(self, change):
        for server in self.path.instance._table.records():
            if not server.in_flight_count:
                change(server)

    def test_a_server_that_became_unsuitable_while_it_was_probed_gets_no_hedge(self):
        self.start()
        unsuitable_ids = type(self.hedger).unsuitable_ids

        def look_too_early(hedger, service):
            ids = unsuitable_ids(hedger, service)
            self.change_idle_servers(
                lambda server: setattr(server, "warmup_end_s", monotonic_s() + 9)
            )
            return ids

        with mock.patch.object(type(self.hedger), "unsuitable_ids", look_too_early):
            self.assertEqual(self.send(Hanging(0.9), good).body, b"first")
        self.assertEqual((self.sent_count(), self.denials()), (1, {"no server": 1}))

    def test_a_suspected_request_is_not_hedged(self):
        self.start()
        with mock.patch.object(
            type(self.path.instance._forwarder._quarantine),
            "is_suspect",
            lambda *_: True,
        ):
            self.send(Hanging(0.9), good)
        self.assertEqual(self.sent_count(), 1)

    def test_the_attempt_limit_of_the_route_holds(self):
        self.start(attempt_limit=1)
        self.send(Hanging(0.9), good)
        self.assertEqual(self.sent_count(), 1)

    def test_if_the_second_server_fails_the_first_answer_counts(self):
        self.start()
        for second in (failed, reset):
            with self.subTest(second):
                answer = self.send(Hanging(0.7), second)
                self.assertEqual((answer.status, answer.body), (200, b"first"))

    def test_if_the_first_server_fails_after_the_hedge_the_second_answer_counts(self):
        self.start(attempt_limit=4)
        second = Hanging(0.5, answer_bytes(body="second"))
        answer = self.send(Hanging(0.6, b""), second)
        self.assertEqual((answer.body, self.sent_count()), (b"second", 2))
        # The hedge is the only attempt that the retry budget paid for.
        budget = self.path.instance._forwarder._budgets[READS]
        self.assertEqual(len(budget._retries), 1)

    def test_a_caller_that_left_causes_no_hedge(self):
        self.start()
        answers = Answers(Hanging(), good)
        for backend in self.path.backends[READS]:
            backend.answers = answers
        caller = self.path.connect()
        caller.send(request_bytes("/read/x"))
        eventlet.sleep(0.1)
        caller.close()
        eventlet.sleep(1.0)
        self.assertEqual(self.sent_count(), 1)

    def test_an_answer_during_the_choice_of_a_server_saves_the_hedge(self):
        self.start()
        runner = self.path.instance._forwarder._runner
        choose = type(runner).choose

        def choose_slowly(runner, request, choice_request):
            if choice_request.excluded:
                eventlet.sleep(0.6)
            return choose(runner, request, choice_request)

        with mock.patch.object(type(runner), "choose", choose_slowly):
            answer = self.send(Hanging(0.7), good)
        self.assertEqual((answer.body, self.sent_count()), (b"first", 1))
        self.assertEqual(self.denials(), {"answered": 1})

    def test_the_delay_is_learnt_from_the_times_of_the_route(self):
        self.start()
        quick = [good] * 30
        answers = Answers(*quick, Hanging(), good)
        for backend in self.path.backends[READS]:
            backend.answers = answers
        with self.path.connect() as caller:
            for _ in quick:
                caller.exchange("/read/x")
            began_at_s = monotonic_s()
            caller.exchange("/read/x")
        # Without the times it would be sent after 0.35 of the objective of 0.5 s.
        self.assertLess(monotonic_s() - began_at_s, 0.35 * 0.5)


class HedgerTablesTest(unittest.TestCase):
    def test_routes_that_are_gone_are_forgotten(self):
        # Guards against tables that grow with each route that was ever used.
        path = GatewayPath(extra_settings=ON)
        self.addCleanup(path.stop)
        forwarder = path.instance._forwarder
        hedger = forwarder._hedger
        hedger.record_request("gone")
        work = RouteWork(0.1)
        gone = route("/gone/")
        reads = ServiceSpec("gone", HEALTH_PATH, 100)
        hedger.record_time(ChoiceRequest(gone, reads, work, 0.0, 1.0), 1.0)
        hedger.record_denied("gone", HedgeDenial.BUSY)
        forwarder._routes_version = None
        with path.connect() as caller:
            caller.exchange("/read/x")
        self.assertEqual(set(hedger._budgets), {READS})
        self.assertEqual((hedger._is_busy, hedger._room_line_at_s), ({}, {}))
        self.assertNotIn("gone", {service for _, service in hedger._times})


class HedgingSettingsTest(unittest.TestCase):
    def test_the_section_is_optional_and_checked(self):
        self.assertIsNone(parse_gateway_settings(settings_text()).hedge_limit)
        settings = parse_gateway_settings(settings_text() + ON)
        self.assertEqual(settings.hedge_limit, HedgeLimit(0.1, 0.7))
        for text in ("extra_request_ratio = 2", "busy_slot_ratio = -1", "ratio = 0.1"):
            with self.subTest(text), self.assertRaises(InvalidGatewaySettings):
                parse_gateway_settings(f"{settings_text()}[hedging]\n{text}\n")

    def test_a_changed_limit_takes_effect_and_budgets_start_empty(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        file_path = Path(directory.name) / "gateway.ini"
        path = GatewayPath(settings_path=file_path, extra_settings=ON)
        self.addCleanup(path.stop)
        hedger = path.instance._forwarder._hedger
        hedger.record_request(READS)
        for after, limit in (
            (OFF, HedgeLimit(0.0, 0.7)),
            ("", None),
            (ON, HedgeLimit(0.1, 0.7)),
        ):
            file_path.write_text(path.settings_text.replace(ON, after))
            path.instance.reload()
            eventlet.sleep(0.3)
            self.assertEqual(hedger.limit, limit)
            self.assertEqual(hedger._budgets, {})
