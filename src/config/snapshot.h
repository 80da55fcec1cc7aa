/*
 * Snapshots of the replicated state, split into parts. Parts are records of
 * stream "snapshot", and peers send them while the log is down.
 *
 * A part is a header line {"v","snap","offset","k","n","hash"} and rows, one
 * JSON object per line, in the format of a change's items. "hash" is a chained
 * hash over the offset and the rows of all parts. It detects parts that are
 * corrupt or belong to another snapshot before the state is used.
 */
#ifndef FW_CONFIG_SNAPSHOT_H
#define FW_CONFIG_SNAPSHOT_H

#include "config/state.h"

#define FW_SNAPSHOT_PART_BYTES ((size_t)32 * 1024) /* soft limit on rows */
#define FW_SNAPSHOT_PARTS_MAX 4096

/**
 * struct fw_snapshot_header - first line of a part.
 * @id: id of the snapshot
 * @offset: offset of the first record that the snapshot does not include
 * @part: index of this part, from 0
 * @n_parts: number of parts of the snapshot
 * @hash: chained hash over the rows of all parts
 */
struct fw_snapshot_header {
    char id[FW_CHANGE_ID_MAX];
    uint64_t offset;
    unsigned part;
    unsigned n_parts;
    uint64_t hash;
};

/** struct fw_snapshot_writer - progress of writing a snapshot. */
struct fw_snapshot_writer;

/**
 * struct fw_snapshot - a serialized snapshot.
 * @header: header that the parts share; its part index is unused
 * @parts: the parts as strings (char *), none until the snapshot is complete
 * @bytes: size of all parts
 * @writer: NULL once the snapshot is complete
 */
struct fw_snapshot {
    struct fw_snapshot_header header;
    GPtrArray *parts;
    size_t bytes;
    struct fw_snapshot_writer *writer;
};

/*
 * Begins a snapshot. Writing all of it at once takes about 100 ms at 12,000
 * teams and would stall the event loop, so Fw_Snapshot_Step writes a few rows
 * at a time.
 */
struct fw_snapshot *
Fw_Snapshot_Begin(const struct fw_config_state *st, const char *id);
/**
 * Fw_Snapshot_Step - writes up to @rows more rows.
 * @st: the state that was given to Fw_Snapshot_Begin
 *
 * Return: 1 when the snapshot is complete, 0 when rows are left, -ESTALE when
 * @st has changed since the snapshot was begun, which can't be completed then.
 */
int
Fw_Snapshot_Step(struct fw_snapshot *snap, const struct fw_config_state *st,
                 unsigned rows);
/* Writes a complete snapshot at once. */
struct fw_snapshot *
Fw_Snapshot_Write(const struct fw_config_state *st, const char *id);
void
Fw_Snapshot_Free(struct fw_snapshot *snap);

/* Parses the header line of a part. Returns 0 or -EBADMSG. */
int
Fw_Snapshot_ParseHeader(const char *part, struct fw_snapshot_header *header);

#define FW_SNAPSHOT_ASSEMBLIES_MAX 2

/**
 * struct fw_snapshot_assembly - snapshot of which some parts were read.
 * @header: header of its first part
 * @next_part: index of the next part
 * @hash: chained hash over the rows so far
 * @st: state built from the rows so far, NULL for an unused assembly
 * @last_feed: value of the assembler's @feeds when its last part was read
 */
struct fw_snapshot_assembly {
    struct fw_snapshot_header header;
    unsigned next_part;
    uint64_t hash;
    struct fw_config_state *st;
    uint64_t last_feed;
};

/**
 * struct fw_snapshot_assembler - builds states from parts in log order.
 * @feeds: number of parts fed so far
 *
 * Two writers may append at the same time, so that parts of two snapshots
 * alternate; each snapshot has its own assembly. A zeroed struct is empty.
 */
struct fw_snapshot_assembler {
    struct fw_snapshot_assembly assemblies[FW_SNAPSHOT_ASSEMBLIES_MAX];
    uint64_t feeds;
};

/* Drops all incomplete snapshots. */
void
Fw_Snapshot_Reset(struct fw_snapshot_assembler *a);
/**
 * Fw_Snapshot_Feed - reads one part.
 * @st: set to the state when this part completes a snapshot; owned by the
 *      caller
 * @next_part: set to the index of the snapshot's next part; may be NULL
 *
 * A repeated part of a snapshot that is still incomplete is ignored.
 *
 * Return: 1 when the snapshot is complete, 0 when parts are missing, -EBADMSG
 * when the part is invalid or out of order; its snapshot is dropped then.
 */
int
Fw_Snapshot_Feed(struct fw_snapshot_assembler *a, const char *part,
                 struct fw_config_state **st, unsigned *next_part);

#endif
