"""The callers' side.

Requests enter as heads and bodies of connections and leave as values; answers enter as
values and leave in the order of the requests.
"""
