"""Decision logic of the router fleet, without I/O."""
