#include "config/audit.h"

#include <string.h>

void
Fw_Audit_Init(struct fw_audit *a)
{
    Fw_List_Init(&a->entries);
    a->n = 0;
    a->bytes = 0;
}

static size_t
entry_bytes(const struct fw_audit_entry *e)
{
    return sizeof(*e) + strlen(e->text) + 1;
}

static void
drop_oldest(struct fw_audit *a)
{
    struct fw_audit_entry *e =
        FW_LIST_ENTRY(a->entries.next, struct fw_audit_entry, link);

    a->bytes -= entry_bytes(e);
    a->n--;
    Fw_List_Remove(&e->link);
    g_free(e->text);
    g_free(e);
}

void
Fw_Audit_Clear(struct fw_audit *a)
{
    while (!Fw_List_Empty(&a->entries)) {
        drop_oldest(a);
    }
}

void
Fw_Audit_Add(struct fw_audit *a, uint64_t offset, const char *author,
             char *text)
{
    struct fw_audit_entry *e = g_new0(struct fw_audit_entry, 1);

    e->offset = offset;
    g_strlcpy(e->author, author, sizeof(e->author));
    e->text = text;
    Fw_List_Append(&a->entries, &e->link);
    a->n++;
    a->bytes += entry_bytes(e);
    while (a->n > FW_AUDIT_ENTRIES_MAX || a->bytes > FW_AUDIT_BYTES_MAX) {
        drop_oldest(a);
    }
}

const struct fw_audit_entry *
Fw_Audit_Find(const struct fw_audit *a, uint64_t offset)
{
    const struct fw_list *pos;

    for (pos = a->entries.prev; pos != &a->entries; pos = pos->prev) {
        const struct fw_audit_entry *e =
            FW_LIST_ENTRY(pos, struct fw_audit_entry, link);

        if (e->offset == offset) {
            return e;
        }
        if (e->offset < offset) {
            break;
        }
    }
    return NULL;
}
