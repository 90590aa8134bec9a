"""Backend servers.

Entries and answers enter; the server for an attempt, and what an exchange with a server
gave, leave.
"""
