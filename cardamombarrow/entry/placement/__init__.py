"""Where requests are sent: the dispatcher's front end and the placer."""
