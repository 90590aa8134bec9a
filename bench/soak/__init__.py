"""A soak: mixed calls through the client while faults of all kinds come and go."""
