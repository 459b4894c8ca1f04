"""Identity of a control VM's disk, stored on that disk."""

import msgspec

from buckthorntack import discovery
from buckthorntack import storage
from buckthorntack.schema import messages

_FILE_NAME = "identity"


def load_identity(files, settings, rng):
    """Load the identity of this control VM's disk, or create one.

    :param files: ``storage.Files``.
    :param settings: ``NodeSettings``.
    :param rng: source of randomness.
    :returns: ``ControlIdentity``.
    :raises StorageError: the data folder cannot be read or written.
    """
    folder = settings.data_folder
    if _FILE_NAME in files.list_names(folder):
        payload = storage.read_checked_file(files, folder, _FILE_NAME)
        try:
            return _DECODER.decode(payload)
        except (msgspec.MsgspecError, RecursionError) as error:
            path = f"{folder}/{_FILE_NAME}"
            raise storage.CorruptFileError(f"{path}: {error}") from error
    identity = new_identity(settings, rng)
    storage.write_file_atomically(
        files, folder, _FILE_NAME, msgspec.msgpack.encode(identity)
    )
    return identity


def new_identity(settings, rng):
    """Create an identity for an empty disk.

    Only the control VMs that are seeds at the first start of the deployment
    form the initial group.  Every other control VM gets a new unique id, as
    its address may belong to a voter that has lost its disk.

    :param settings: ``NodeSettings``.
    :param rng: source of randomness.
    :returns: ``ControlIdentity``.
    """
    address = settings.service_address
    if settings.is_first_start and address in settings.seeds:
        return messages.ControlIdentity(address, sorted(settings.seeds))
    suffix = f"{rng.getrandbits(48):012x}"
    node_id = f"{address}{discovery.DISK_ID_SEPARATOR}{suffix}"
    return messages.ControlIdentity(node_id, [])


_DECODER = msgspec.msgpack.Decoder(messages.ControlIdentity)
