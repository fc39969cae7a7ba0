"""All decisions of a controller, without I/O.

Each concern has a module of its own; `controller` calls them in order.
"""

from oatcart.policy.controller import Controller

__all__ = ["Controller"]
