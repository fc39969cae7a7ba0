"""All decisions of a controller, free of I/O: one module for each concern, `controller` for their order."""

from oatcart.policy.controller import Controller

__all__ = ["Controller"]
