"""A real fleet over loopback for tests: conductor processes as deployed, and all that they speak with."""
