/*
 * Snapshots of the fold's state in parts: records of stream "snapshot", and
 * what a peer hands over when the log is down.
 *
 * A part is a JSON line {"v","snap","offset","k","n","hash"} and rows, one
 * JSON object a line, in the form of a change's items. "hash" is over the
 * rows of all parts, chained, beginning with the offset: a part that is
 * missing, cut or from another snapshot is noticed before anything is used.
 */
#ifndef FW_CONFIG_SNAPSHOT_H
#define FW_CONFIG_SNAPSHOT_H

#include "config/state.h"

#define FW_SNAPSHOT_PART_BYTES                                                \
    ((size_t)32 * 1024) /* rows of one part, about */
#define FW_SNAPSHOT_PARTS_MAX 4096

/**
 * struct fw_snapshot_header - first line of a part.
 * @offset: the state is that before the record at this offset
 */
struct fw_snapshot_header {
    char id[FW_CHANGE_ID_MAX];
    uint64_t offset;
    unsigned part;
    unsigned n_parts;
    uint64_t hash;
};

/** struct fw_snapshot_writer - where the writing of a snapshot stands. */
struct fw_snapshot_writer;

/**
 * struct fw_snap_text - a snapshot as texts.
 * @parts: char *, with their heads; empty until it is whole
 * @bytes: of all parts
 * @writer: NULL once it is whole
 */
struct fw_snap_text {
    struct fw_snapshot_header head; /* k is unused */
    GPtrArray *parts;
    size_t bytes;
    struct fw_snapshot_writer *writer;
};

/*
 * At 12,000 teams a snapshot takes a tenth of a second to write. In one go
 * that would hold up every stream of tokens, so it is written row by row.
 */
struct fw_snap_text *
Fw_Snapshot_Begin(const struct fw_state *st, const char *id);
/**
 * Fw_Snapshot_Step - writes up to @rows more rows.
 * @st: the state it was begun with
 *
 * Return: 1 when whole, 0 when not yet, -ESTALE when @st has moved on: then
 * the text is of no use.
 */
int
Fw_Snapshot_Step(struct fw_snap_text *text, const struct fw_state *st,
                 unsigned rows);
/* The whole in one go. */
struct fw_snap_text *
Fw_Snap_Write(const struct fw_state *st, const char *id);
void
Fw_Snap_FreeText(struct fw_snap_text *text);

/* Return: 0 or -EBADMSG. */
int
Fw_Snapshot_ParseHeader(const char *part, struct fw_snapshot_header *head);

#define FW_SNAPSHOT_ASSEMBLIES_MAX 2

/** struct fw_snapshot_assembly - one snapshot being put together, part by
 * part. */
struct fw_snapshot_assembly {
    struct fw_snapshot_header head;
    unsigned next_part;
    uint64_t hash;
    struct fw_state *st; /* NULL: free */
    uint64_t last_feed;  /* when last fed, in feeds */
};

/**
 * struct fw_snap_collector - reads parts in the order of the log.
 *
 * Two writers at once put their parts one between the other; each has its
 * reader here.
 */
struct fw_snap_collector {
    struct fw_snapshot_assembly readers[FW_SNAPSHOT_ASSEMBLIES_MAX];
    uint64_t feeds;
};

void
Fw_Snapshot_Reset(struct fw_snap_collector *c);
/**
 * Fw_Snap_Feed - takes one part.
 * @st: the state, when this part made a snapshot whole; then the caller's
 * @next_part: part wanted next of the same snapshot; may be NULL
 *
 * Return: 1 when whole, 0 when more is wanted, -EBADMSG when the part is of
 * no use (then its snapshot is dropped).
 */
int
Fw_Snap_Feed(struct fw_snap_collector *c, const char *part,
             struct fw_state **st, unsigned *next);

#endif
