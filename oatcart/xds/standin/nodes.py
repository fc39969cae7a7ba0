"""Loopback gRPC endpoints that answer with their name and count the calls by key."""

from collections import Counter

import grpc

SERVICE, METHOD = "oatcart.standin.Node", "Run"


class ScriptedEndpoint:
    """`fails_after_effect`: calls end with UNAVAILABLE after they took effect, as if it crashed then."""

    def __init__(self, name: str) -> None:
        self.name, self.call_count, self.calls_by_key, self.fails_after_effect = name, 0, Counter(), False

    async def start(self, port: int = 0) -> int:
        """Listen on loopback; returns the port."""
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
        self.call_count += 1
        self.calls_by_key[request] += 1
        if self.fails_after_effect:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "gone after the effect")
        return self.name.encode()

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop(None)
