"""Rate limits that all hosts share: state and messages around :mod:`radishshunt.policy.shares`."""
