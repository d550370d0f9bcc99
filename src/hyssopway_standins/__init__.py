"""Stand-ins for endpoints, workers and the platform, and the demo that uses them."""
