"""Runs controllers in green threads."""

from random import Random

import eventlet

from berylhaven.clock import sleep_s
from berylhaven.controllers._registry import Controller
from berylhaven.operations import ComponentLog

LOG = ComponentLog("controllers")
# Jitter desynchronizes the steps of instances that start together.
JITTER_RATIO = 0.2


def run_controllers(
    controllers: list[Controller], random: Random
) -> list[eventlet.greenthread.GreenThread]:
    """Run each controller in a green thread of its own.

    Parameters
    ----------
    controllers : list of Controller
        The controllers to run.
    random : Random
        The source of jitter.

    Returns
    -------
    list of GreenThread
        One for each controller; they run until they are killed.
    """
    return [eventlet.spawn(_run, controller, random) for controller in controllers]


def _run(controller: Controller, random: Random) -> None:
    while True:
        try:
            controller.step()
        except Exception as error:
            # One failed step must not end the controller; the next may succeed.
            LOG.error("A step of controller %s failed: %r.", controller.name, error)
        jitter = random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        sleep_s(controller.interval_s * jitter)
