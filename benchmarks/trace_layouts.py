"""How a block may be laid out: `python -m benchmarks.trace_layouts` (some seconds).

The same generated records in rows (msgpack, with and without a trained zstd dictionary) and in columns, by
block size: bytes a record, and the time to read a block of each. Prints a table; the last line is one JSON
object.
"""

import io
import json
import sys
import time

import msgpack
import zstandard

from oatcart.trace import file_format, generate

SIZES = (256, 1024, 4096, 16384)


def main() -> int:
    records = list(generate.records(11, 60.0, 500.0))
    rows = [msgpack.packb(record) for record in records]
    dictionary = zstandard.train_dictionary(
        64 * 1024, [b"".join(rows[at : at + 64]) for at in range(0, len(rows), 64)]
    )
    out = {}
    print(f"{len(records)} records; bytes a record, and ms to read a block")
    print(
        f"{'records a block':>16} {'rows':>8} {'+dict':>8} {'columns':>8} {'rows ms':>8} {'columns ms':>11}"
    )
    for size in SIZES:
        plain = zstandard.ZstdCompressor(level=file_format.ZSTD_LEVEL)
        trained = zstandard.ZstdCompressor(level=file_format.ZSTD_LEVEL, dict_data=dictionary)
        parts = [records[at : at + size] for at in range(0, len(records), size)]
        packed = [b"".join(rows[at : at + size]) for at in range(0, len(records), size)]
        by_rows = [plain.compress(one) for one in packed]
        by_dict = sum(len(trained.compress(one)) for one in packed)
        columns = [file_format.encode_block(at, one) for at, one in enumerate(parts)]
        began = time.perf_counter()
        for one in by_rows:
            list(msgpack.Unpacker(io.BytesIO(zstandard.ZstdDecompressor().decompress(one)), use_list=False))
        middle = time.perf_counter()
        for one in columns:
            file_format.decode_block(one[file_format.BLOCK_HEADER.size :])
        ended = time.perf_counter()
        found = out[size] = {
            "rows": sum(map(len, by_rows)) / len(records),
            "rows_dict": by_dict / len(records),
            "columns": sum(map(len, columns)) / len(records),
            "rows_ms": (middle - began) / len(parts) * 1e3,
            "columns_ms": (ended - middle) / len(parts) * 1e3,
        }
        print(
            f"{size:16} {found['rows']:8.2f} {found['rows_dict']:8.2f} {found['columns']:8.2f} "
            f"{found['rows_ms']:8.2f} {found['columns_ms']:11.2f}"
        )
    print(
        json.dumps(
            {str(size): {name: round(value, 3) for name, value in one.items()} for size, one in out.items()}
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
