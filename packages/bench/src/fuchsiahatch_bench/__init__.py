"""Load and experiment tool."""
