/*
 * Audit trail: the verdicts on the last records of the configuration log,
 * accepted or not. It is part of the replicated state and of snapshots, so
 * instances that have applied the same records have the same audit trail.
 */
#ifndef FW_CONFIG_AUDIT_H
#define FW_CONFIG_AUDIT_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

#define FW_AUDIT_ENTRIES_MAX 2048
#define FW_AUDIT_BYTES_MAX ((size_t)1024 * 1024)
/* Items listed per change; "more" counts the rest. */
#define FW_AUDIT_CHANGE_ITEMS_MAX 8

/**
 * struct fw_audit_entry - verdict on one record.
 * @offset: offset of the record
 * @author: operator who made the change
 * @text: JSON {"offset","id","who","at","verdict","why",
 *        "items":[{"kind","name","before","after"}],"more"}
 */
struct fw_audit_entry {
    uint64_t offset;
    char author[FW_NAME_MAX];
    char *text;
    struct fw_list link;
};

/**
 * struct fw_audit - audit trail.
 * @entries: list of struct fw_audit_entry, oldest first
 * @bytes: memory that the entries take
 */
struct fw_audit {
    struct fw_list entries;
    unsigned n;
    size_t bytes;
};

void
Fw_Audit_Init(struct fw_audit *a);
void
Fw_Audit_Clear(struct fw_audit *a);
/*
 * Takes ownership of @text. Drops the oldest entries beyond
 * FW_AUDIT_ENTRIES_MAX or FW_AUDIT_BYTES_MAX.
 */
void
Fw_Audit_Add(struct fw_audit *a, uint64_t offset, const char *author,
             char *text);
/* Returns the entry of the record at @offset, or NULL. */
const struct fw_audit_entry *
Fw_Audit_Find(const struct fw_audit *a, uint64_t offset);

#endif
