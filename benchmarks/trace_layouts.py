"""Compare layouts of a block: `python -m benchmarks.trace_layouts` (some seconds).

The same generated records are encoded in rows (msgpack, with and without a trained zstd dictionary) and in
columns, by block size. Prints a table of the bytes per record and the time to read a block; the last line is
one JSON object.
"""

import io
import json
import sys
import time
from collections.abc import Callable, Sequence

import msgpack
import zstandard

from oatcart.trace import generate
from oatcart.trace.file_format import BLOCK_HEADER, ZSTD_LEVEL, decode_block, encode_block

BLOCK_SIZES = (256, 1024, 4096, 16384)  # records
DICTIONARY_BYTES = 64 * 1024
SAMPLE_ROWS = 64  # rows per sample for training the dictionary


def decode_rows(block: bytes) -> None:
    """Decode a block of rows."""
    packed = zstandard.ZstdDecompressor().decompress(block)
    list(msgpack.Unpacker(io.BytesIO(packed), use_list=False))


def decode_columns(block: bytes) -> None:
    """Decode a block of columns."""
    decode_block(block[BLOCK_HEADER.size :])


def mean_time(decode: Callable[[bytes], None], blocks: Sequence[bytes]) -> float:
    """Return the mean time to decode a block, in ms."""
    started_at = time.perf_counter()
    for block in blocks:
        decode(block)
    return (time.perf_counter() - started_at) / len(blocks) * 1e3


def measure(
    records: Sequence[tuple], dictionary: zstandard.ZstdCompressionDict, size: int
) -> dict[str, float]:
    """Return the bytes per record and the ms to read a block of `size` records, for each layout."""
    plain = zstandard.ZstdCompressor(level=ZSTD_LEVEL)
    trained = zstandard.ZstdCompressor(level=ZSTD_LEVEL, dict_data=dictionary)
    parts = [records[start : start + size] for start in range(0, len(records), size)]
    packed = [b"".join(map(msgpack.packb, part)) for part in parts]
    rows = [plain.compress(part) for part in packed]
    columns = [encode_block(number, part) for number, part in enumerate(parts)]
    return {
        "rows": sum(map(len, rows)) / len(records),
        "rows_dict": sum(len(trained.compress(part)) for part in packed) / len(records),
        "columns": sum(map(len, columns)) / len(records),
        "rows_ms": mean_time(decode_rows, rows),
        "columns_ms": mean_time(decode_columns, columns),
    }


def main() -> int:
    """Measure all block sizes and print the results."""
    records = list(generate.generate_records(11, 60.0, 500.0))
    rows = [msgpack.packb(record) for record in records]
    samples = [b"".join(rows[start : start + SAMPLE_ROWS]) for start in range(0, len(rows), SAMPLE_ROWS)]
    dictionary = zstandard.train_dictionary(DICTIONARY_BYTES, samples)
    print(f"{len(records)} records; bytes a record, and ms to read a block")
    print(
        f"{'records a block':>16} {'rows':>8} {'+dict':>8} {'columns':>8} {'rows ms':>8} {'columns ms':>11}"
    )
    results = {}
    for size in BLOCK_SIZES:
        found = results[size] = measure(records, dictionary, size)
        print(
            f"{size:16} {found['rows']:8.2f} {found['rows_dict']:8.2f} {found['columns']:8.2f} "
            f"{found['rows_ms']:8.2f} {found['columns_ms']:11.2f}"
        )
    rounded = {
        size: {name: round(value, 3) for name, value in found.items()} for size, found in results.items()
    }
    print(json.dumps(rounded))
    return 0


if __name__ == "__main__":
    sys.exit(main())
