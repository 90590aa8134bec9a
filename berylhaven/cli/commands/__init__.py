"""The commands, one a module; importing a module registers its command."""
