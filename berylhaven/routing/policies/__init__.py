"""The routing policies, one a module; importing a module registers its policy."""
