"""Tests of which files are deleted, and when a failed disk is retried."""

from oatcart.trace.write_policy import DiskBackoff, StoredFile, files_to_delete


def test_no_file_in_use_is_deleted():
    assert files_to_delete([StoredFile("a", 5, True), StoredFile("b", 5, False)], 4) == ["b"]


def test_the_backoff_of_a_disk_grows_and_only_the_first_failure_is_logged():
    backoff = DiskBackoff()
    assert "next attempt in 1 s" in backoff.failed(10.0, "full")
    assert backoff.failed(11.0, "full") is None
    assert not backoff.may_use_disk(12.9)
    assert backoff.may_use_disk(13.0)
    assert backoff.succeeded()
    assert backoff.succeeded() is None
