"""At-most-once execution of unrepeatable requests by replicated claims."""
