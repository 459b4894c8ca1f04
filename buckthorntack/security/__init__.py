"""Bearer tokens, signed attempt ids, operator roles and key files."""

from buckthorntack.security import _events  # noqa: F401
from buckthorntack.security._attempts import AttemptSigner
from buckthorntack.security._attempts import AttemptTarget
from buckthorntack.security._errors import AttemptIdError
from buckthorntack.security._errors import CredentialError
from buckthorntack.security._errors import KeyFileError
from buckthorntack.security._errors import RoleError
from buckthorntack.security._key_files import accept_link_keys
from buckthorntack.security._key_files import add_link_pair
from buckthorntack.security._key_files import add_operator
from buckthorntack.security._key_files import add_signing_key
from buckthorntack.security._key_files import drop_link_keys
from buckthorntack.security._key_files import format_key_file
from buckthorntack.security._key_files import generate_link_keys
from buckthorntack.security._key_files import generate_signing_keys
from buckthorntack.security._key_files import LinkKeys
from buckthorntack.security._key_files import load_attempt_signer
from buckthorntack.security._key_files import load_link_keys
from buckthorntack.security._key_files import load_operator_tokens
from buckthorntack.security._key_files import promote_link_pair
from buckthorntack.security._key_files import promote_signing_key
from buckthorntack.security._key_files import read_key_file
from buckthorntack.security._key_files import retire_signing_keys
from buckthorntack.security._operators import Operator
from buckthorntack.security._operators import OperatorTokens
from buckthorntack.security._operators import Role
from buckthorntack.security._tokens import generate_token
from buckthorntack.security._tokens import has_expired
from buckthorntack.security._tokens import hash_token
from buckthorntack.security._tokens import hash_token_bytes
from buckthorntack.security._tokens import parse_bearer_token

__all__ = [
    "AttemptIdError",
    "AttemptSigner",
    "AttemptTarget",
    "CredentialError",
    "KeyFileError",
    "LinkKeys",
    "Operator",
    "OperatorTokens",
    "Role",
    "RoleError",
    "accept_link_keys",
    "add_link_pair",
    "add_operator",
    "add_signing_key",
    "parse_bearer_token",
    "drop_link_keys",
    "format_key_file",
    "generate_link_keys",
    "generate_signing_keys",
    "generate_token",
    "has_expired",
    "hash_token",
    "hash_token_bytes",
    "load_attempt_signer",
    "load_link_keys",
    "load_operator_tokens",
    "promote_link_pair",
    "promote_signing_key",
    "read_key_file",
    "retire_signing_keys",
]
