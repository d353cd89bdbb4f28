"""Certificates for tests, issued by a certificate authority made for the purpose."""

from pathlib import Path

import trustme

PRIVATE_FILE_MODE = 0o600


def write_test_certificates(folder: Path, names: list[str]) -> None:
    """Create a certificate authority and issue one certificate with private key per name.

    Parameters
    ----------
    folder : Path
        Existing folder that receives ``authority.pem`` and, per name, ``NAME.pem`` and
        ``NAME.key``.
    names : list of str
        DNS names; each certificate is also valid for 127.0.0.1 and localhost.
    """
    authority = trustme.CA(organization_name="chicorypost test authority")
    authority.cert_pem.write_to_path(str(folder / "authority.pem"))
    for name in names:
        certificate = authority.issue_cert(name, "127.0.0.1", "localhost")
        chain_pem = b"".join(blob.bytes() for blob in certificate.cert_chain_pems)
        (folder / f"{name}.pem").write_bytes(chain_pem)
        key_file = folder / f"{name}.key"
        key_file.touch(mode=PRIVATE_FILE_MODE)
        key_file.write_bytes(certificate.private_key_pem.bytes())
