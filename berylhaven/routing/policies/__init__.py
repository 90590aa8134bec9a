"""Routing policies, one in each module; importing a module registers its policy."""
