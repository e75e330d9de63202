"""Demo, history checks, model checks and measurements."""
