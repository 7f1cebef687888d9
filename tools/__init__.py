"""Tools of the project: stand-ins, the demo, the test runner, the build."""
