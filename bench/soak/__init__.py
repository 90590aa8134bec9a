"""A soak test: mixed calls through the client while faults are injected."""
