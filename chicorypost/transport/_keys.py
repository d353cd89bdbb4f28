"""A test certificate authority and certificates signed by it."""

from pathlib import Path

import trustme

PRIVATE_FILE_MODE = 0o600


def write_test_certificates(folder: Path, names: list[str]) -> None:
    """Write a new authority and a certificate with key for each name into a folder."""
    authority = trustme.CA(organization_name="chicorypost test authority")
    authority.cert_pem.write_to_path(str(folder / "authority.pem"))
    for name in names:
        certificate = authority.issue_cert(name, "127.0.0.1", "localhost")
        chain = b"".join(blob.bytes() for blob in certificate.cert_chain_pems)
        (folder / f"{name}.pem").write_bytes(chain)
        key_file = folder / f"{name}.key"
        key_file.touch(mode=PRIVATE_FILE_MODE)
        key_file.write_bytes(certificate.private_key_pem.bytes())
