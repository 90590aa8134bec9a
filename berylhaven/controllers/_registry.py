"""The registry of controllers."""

import importlib
import pkgutil
from collections.abc import Callable
from typing import Protocol, TypeVar

from berylhaven.controllers._context import ControllerContext

C = TypeVar("C", bound=type)

# Suffixes of modules that register controllers, topics or peer endpoints on import.
REGISTERING_SUFFIXES = ("_controller", "_topic", "_endpoint")

_CONTROLLERS: dict[str, type] = {}


class Controller(Protocol):
    """A periodic task of an entry instance."""

    # Seconds from the end of one step to the start of the next, before jitter.
    interval_s: float

    def __init__(self, context: ControllerContext) -> None:
        """Claim the controller's sections of the blackboard."""

    def step(self) -> None:
        """Run the task once."""


def register_controller(name: str) -> Callable[[C], C]:
    """Register a class as a controller.

    Parameters
    ----------
    name : str
        The controller's name, under which it claims its sections of the blackboard.

    Returns
    -------
    callable
        The class decorator.
    """

    def decorate(controller: C) -> C:
        _CONTROLLERS[name] = controller
        controller.name = name
        return controller

    return decorate


def controller_classes() -> dict[str, type]:
    """Return the registered controllers by name."""
    # Some controllers are registered already if their module was imported directly.
    package = importlib.import_module("berylhaven.controllers")
    for module in pkgutil.iter_modules(package.__path__):
        if module.name.endswith(REGISTERING_SUFFIXES):
            importlib.import_module(f"{package.__name__}.{module.name}")
    return dict(_CONTROLLERS)
