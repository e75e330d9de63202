"""Router daemon: admits requests, routes them to upstreams and bills their tokens."""
