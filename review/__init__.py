"""Cases of an independent review; see `REPORT.md`."""
