"""Controller processes over loopback, as deployed, and the peers that they communicate with."""
