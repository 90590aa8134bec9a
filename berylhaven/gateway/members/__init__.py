"""The instances among themselves.

Gossip enters; live members, relays and crash evidence leave.
"""
