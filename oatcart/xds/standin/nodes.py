"""Loopback nodes that speak gRPC: each answers with its name, and counts what it ran by key."""

from collections import Counter

import grpc

SERVICE, METHOD = "oatcart.standin.Node", "Run"


class Node:
    """`fails`: answers UNAVAILABLE after the effect has taken place, as a node that dies in between would."""

    def __init__(self, name: str) -> None:
        self.name, self.ran, self.effects, self.fails = name, 0, Counter(), False

    async def start(self, port: int = 0) -> int:
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE, {METHOD: grpc.unary_unary_rpc_method_handler(self._run)}
                ),
            )
        )
        self.port = self.server.add_insecure_port(f"127.0.0.1:{port}")
        await self.server.start()
        return self.port

    async def _run(self, request: bytes, context: grpc.aio.ServicerContext) -> bytes:
        self.ran += 1
        self.effects[request] += 1
        if self.fails:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "gone after the effect")
        return self.name.encode()

    async def stop(self) -> None:
        await self.server.stop(None)
