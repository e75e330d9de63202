"""Decision logic of the router fleet; performs no I/O."""
