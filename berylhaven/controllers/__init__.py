"""Registered controllers: periodic tasks that read and write the blackboard."""

from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import (
    Controller,
    controller_classes,
    register_controller,
)
from berylhaven.controllers._runner import run_controllers

__all__ = [
    "Controller",
    "ControllerContext",
    "controller_classes",
    "register_controller",
    "run_controllers",
]
