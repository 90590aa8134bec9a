"""Tests of running commands: exit statuses and what is printed."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

import orjson

from berylhaven.catalogue.tests.test_validation import VALID_CATALOGUE
from berylhaven.cli import run_command_line
from berylhaven.cli._registry import registered_commands
from berylhaven.settings.tests.test_parsing import VALID_SETTINGS as GOOD_SETTINGS


def run(*arguments):
    """Return exit status, standard output and standard error of a command."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        status = run_command_line(list(arguments))
    return status, output.getvalue(), errors.getvalue()


class UsageTest(unittest.TestCase):
    """An invalid command line prints one line, exits with status 2 and runs nothing."""

    def test_invalid_command_lines_print_one_line(self):
        invalid_command_lines = {
            "catalgue check x": "did you mean 'catalogue'?",
            "catalogue chek x": "did you mean 'check'?",
            "catalogue": "must be followed by check or diff or status",
            "catalogue check": "missing argument: path",
            "catalogue check a b": "unexpected argument: b",
            "entry run": "missing option: --settings",
            "status": "missing option: --entry",
            "status --entry": "--entry needs a value",
            "status --json=True --entry": "--entry needs a value",
            "entry run --settings --x": "--settings needs a value",
            "status --entry host": "expected HOST:PORT",
            "status --entry 127.0.0.1:99999": "expected a port",
            "status --entry 127.0.0.1:80 --jsn": "unexpected argument: --jsn",
            "version extra": "unexpected argument: extra",
            "version --json=3": "a flag takes no value",
            "version -- --interactive": "unexpected argument: --",
            "explain two": "not the number",
            "explain 2e2": "not the number",
            "explain -1": "not the number",
        }
        for words, text in invalid_command_lines.items():
            with self.subTest(words):
                status, output, errors = run(*words.split())
                self.assertEqual(status, 2)
                self.assertEqual(output, "")
                self.assertEqual(errors.count("\n"), 1, errors)
                self.assertIn(text, errors)

    def test_a_surplus_argument_runs_nothing(self):
        path = "berylhaven.cli.commands._entry_run.EntryInstance"
        with mock.patch(path) as instance:
            self.assertEqual(run("entry", "run", "--settings", "f", "x")[0], 2)
        instance.assert_not_called()

    def test_help_names_every_command_and_argument(self):
        status, output, _ = run("--help")
        self.assertEqual(status, 0)
        for words in registered_commands():
            self.assertIn(" ".join(words), output)
            status, text, _ = run(*words, "--help")
            self.assertEqual(status, 0)
            self.assertIn("Usage: berylhaven " + " ".join(words), text)
        self.assertEqual(run()[0], 0)


class CommandsTest(unittest.TestCase):
    """Documents are checked and compared; failures exit with status 1."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def file(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def test_good_documents(self):
        # fire would parse this name as a number; it must stay a path.
        catalogue = self.file("1e3", VALID_CATALOGUE)
        settings = self.file("settings.ini", GOOD_SETTINGS)
        with contextlib.chdir(self.directory):
            self.assertIn("1e3: good", run("catalogue", "check", "1e3")[1])
        self.assertEqual(run("settings", "check", settings)[0], 0)
        document = orjson.loads(run("catalogue", "check", catalogue, "--json")[1])
        self.assertEqual(document["services"], ["positions"])

    def test_every_problem_is_printed_with_its_line_and_result_code(self):
        path = self.file(
            "bad.ini", VALID_CATALOGUE + "colour = red\ndeadline_ms = 1\n[x]\n"
        )
        status, output, errors = run("catalogue", "check", path)
        self.assertEqual((status, output), (1, ""))
        self.assertIn("line 17 [service positions] colour: 104 unknown-key", errors)
        self.assertEqual(errors.count("\n"), 4)
        status, output, errors = run("catalogue", "check", path, "--json")
        self.assertEqual((status, errors), (1, ""))
        problems = orjson.loads(output)["problems"]
        self.assertEqual([p["result"] for p in problems], [104, 106, 101])

    def test_a_missing_file_is_reported_as_not_readable(self):
        for words in (["catalogue", "check"], ["settings", "check"]):
            status, _, errors = run(*words, str(self.directory / "none"))
            self.assertEqual(status, 1)
            self.assertIn("100 not-readable: No such file", errors)

    def test_only_effective_changes_are_differences(self):
        old = self.file("old.ini", VALID_CATALOGUE)
        same = self.file(
            "same.ini", "# moved\n" + VALID_CATALOGUE + "hedge_budget_ratio = 0\n"
        )
        self.assertEqual(run("catalogue", "diff", old, same)[1], "no difference\n")
        changed = VALID_CATALOGUE.replace("= 500", "= 700").replace(
            "[firm kivu]", "[firm k]"
        )
        new = self.file("new.ini", changed)
        self.assertEqual(
            run("catalogue", "diff", old, new)[1].splitlines(),
            [
                "[firm k] added",
                "[firm kivu] removed",
                "[service positions] deadline_ms: 500 -> 700",
            ],
        )
        rows = orjson.loads(run("catalogue", "diff", old, new, "--json")[1])
        self.assertEqual(rows[2]["key"], "deadline_ms")

    def test_result_codes_are_explained(self):
        status, output, _ = run("explain", "204")
        self.assertEqual(status, 0)
        for text in ("no-backend-server-in-time", "not-run", "503", "advice"):
            self.assertIn(text, output)
        self.assertEqual(run("explain", "999")[0], 1)
        self.assertIn("204", run("explain", "all")[1])

    def test_an_unreachable_address_prints_one_line(self):
        for words in (["status"], ["catalogue", "status"]):
            status, _, errors = run(*words, "--entry", "127.0.0.1:1")
            self.assertEqual(status, 1)
            self.assertEqual(errors.count("\n"), 1)
            self.assertIn("502 entry-unreachable", errors)

    def test_the_version_names_the_build(self):
        self.assertIn("build source", run("version")[1])
        self.assertEqual(orjson.loads(run("version", "--json")[1])["build"], "source")
