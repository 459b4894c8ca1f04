"""The identity of a control VM's disk, kept on the disk itself."""

import msgspec

from buckthorntack import discovery
from buckthorntack import storage
from buckthorntack.schema import messages

_NAME = "identity"


def load_identity(files, settings, rng):
    """Identity of this control VM's disk, made if the disk is empty.

    :param files: ``storage.Files``.
    :param settings: ``NodeSettings``.
    :param rng: source of randomness.
    :returns: ``ControlIdentity``.
    :raises StorageError: the folder can't be used.
    """
    folder = settings.data_folder
    if _NAME in files.list_names(folder):
        payload = storage.read_checked_file(files, folder, _NAME)
        return _DECODER.decode(payload)
    identity = new_identity(settings, rng)
    storage.write_file_atomically(
        files, folder, _NAME, msgspec.msgpack.encode(identity)
    )
    return identity


def new_identity(settings, rng):
    """Identity for an empty disk.

    Only the control VMs that are named as seeds when the deployment starts
    for the first time form the group.  Every other one gets an id that was
    never used, as its address may be that of a voter whose disk was lost.

    :param settings: ``NodeSettings``.
    :param rng: source of randomness.
    :returns: ``ControlIdentity``.
    """
    address = settings.service_address
    if settings.is_first_start and address in settings.seeds:
        return messages.ControlIdentity(address, sorted(settings.seeds))
    mark = f"{rng.getrandbits(48):012x}"
    node_id = f"{address}{discovery.DISK_ID_SEPARATOR}{mark}"
    return messages.ControlIdentity(node_id, [])


_DECODER = msgspec.msgpack.Decoder(messages.ControlIdentity)
