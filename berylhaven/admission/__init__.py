"""Limits: which calls are taken in, for which firm, in which class."""

from berylhaven.admission._gate import AdmissionGate, AdmissionTicket

__all__ = ["AdmissionGate", "AdmissionTicket"]
