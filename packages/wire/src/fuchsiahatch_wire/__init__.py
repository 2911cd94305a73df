"""Messages between the processes."""
