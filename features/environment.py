"""Hooks and fixtures shared by all features."""
