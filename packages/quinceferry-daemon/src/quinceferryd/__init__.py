"""Router daemon."""
