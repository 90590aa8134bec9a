"""The commands, one per module; importing a module registers its command."""
