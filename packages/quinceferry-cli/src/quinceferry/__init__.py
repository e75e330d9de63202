"""Client and command line of the router fleet."""
