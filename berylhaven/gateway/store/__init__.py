"""Following the store.

Updates of the store and of relays enter; routes, backend servers and updates for peers
leave.
"""
