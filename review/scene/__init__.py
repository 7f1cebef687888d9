"""Stand-ins and a small deployment for the cases 4 to 8 of the review."""
