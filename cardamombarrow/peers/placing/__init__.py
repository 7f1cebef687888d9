"""The links to the placer of a failure domain, and between placers."""
