/*
 * The audit trail: what became of every record of the configuration log, the
 * refused ones too. A bounded ring; the same on every instance, since it is
 * part of the fold and of its snapshots.
 */
#ifndef FW_CONFIG_AUDIT_H
#define FW_CONFIG_AUDIT_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

#define FW_AUDIT_ENTRIES_MAX 2048
#define FW_AUDIT_BYTES_MAX ((size_t)1024 * 1024)
#define FW_AUDIT_CHANGE_ITEMS_MAX                                             \
    8 /* shown of one change; the rest is counted */

/**
 * struct fw_audit_entry - one record's fate.
 * @text: JSON {"offset","id","who","at","verdict","why",
 *        "items":[{"kind","name","before","after"}],"more"}
 */
struct fw_audit_entry {
    uint64_t offset;
    char who[FW_NAME_MAX];
    char *text;
    struct fw_list link;
};

/** struct fw_audit - oldest first; see audit.c. */
struct fw_audit {
    struct fw_list all;
    unsigned n;
    size_t bytes;
};

void
Fw_Audit_Init(struct fw_audit *a);
void
Fw_Audit_Clear(struct fw_audit *a);
/* @text is taken over; the oldest entries go when the ring is full. */
void
Fw_Audit_Add(struct fw_audit *a, uint64_t offset, const char *who, char *text);
/* The entry of the record at @offset, or NULL. */
const struct fw_audit_entry *
Fw_Audit_Find(const struct fw_audit *a, uint64_t offset);

#endif
