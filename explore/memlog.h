/*
 * In-memory stand-in for the platform's log, for seeded runs, tests and
 * benchmarks. Its streams keep all records; offsets start at 1.
 */
#ifndef FW_EXPLORE_MEMLOG_H
#define FW_EXPLORE_MEMLOG_H

#include <glib.h>

#include "core/log.h"

/**
 * struct fw_memlog - in-memory log.
 * @streams: maps the name of a stream to a GPtrArray of its records, strings
 */
struct fw_memlog {
    GHashTable *streams;
};

void
Fw_MemLog_Init(struct fw_memlog *l);
void
Fw_MemLog_Fini(struct fw_memlog *l);
/* Appends copies of @records. Return: offset of the first of them. */
uint64_t
Fw_MemLog_Append(struct fw_memlog *l, const char *stream,
                 const char *const *records, int n);
/* Appends a change to the configuration stream; @items is the content of its
 * JSON array "items". */
void
Fw_MemLog_AppendChange(struct fw_memlog *l, const char *items);
/* Return: offset that the next record appended to @stream will get. */
uint64_t
Fw_MemLog_End(struct fw_memlog *l, const char *stream);
/* Fills @out with the answer to @read, which was sent at @sent_us. The records
 * are borrowed from the log and valid until the next append. */
void
Fw_MemLog_Read(struct fw_memlog *l, const struct fw_log_read *read,
               int64_t sent_us, struct fw_log_records *out);

#endif
