"""Which shard a job belongs to."""

import xxhash

from galenastall.state.ids import JobId, OwnableId, OwnableKind, make_ownable_id


def shard_of(job_id: JobId, *, shards: int) -> int:
    """Return the shard of a job; all entry hosts of a data centre use the same `shards`."""
    return int(xxhash.xxh64_intdigest(job_id.encode())) % shards


def shard_ownable(shard: int) -> OwnableId:
    """Return the ownable id of a shard."""
    return make_ownable_id(OwnableKind.JOBS, str(shard))
