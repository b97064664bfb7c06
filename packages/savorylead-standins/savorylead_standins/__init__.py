"""Stand-ins of the platform's store, VM list and workers, for demo and tests."""
