"""oatcart: a traffic director for fleets of sidecar proxies."""
