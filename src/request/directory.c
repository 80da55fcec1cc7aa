#include "request/directory.h"

struct entry {
    uint64_t key;
    char owner[FW_NAME_MAX];
    int64_t expires_us;
};

void
Fw_Directory_Init(struct fw_directory *d)
{
    d->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
Fw_Directory_Fini(struct fw_directory *d)
{
    g_hash_table_unref(d->entries);
}

void
Fw_Directory_Set(struct fw_directory *d, uint64_t key, const char *owner,
                 int64_t now_us)
{
    struct entry *e;

    /* Bounds memory; a request without an entry may run twice. */
    if (g_hash_table_size(d->entries) >= FW_DIRECTORY_ENTRIES_MAX) {
        Fw_Directory_Expire(d, now_us);
    }
    if (g_hash_table_size(d->entries) >= FW_DIRECTORY_ENTRIES_MAX) {
        return;
    }
    e = g_new0(struct entry, 1);
    e->key = key;
    g_strlcpy(e->owner, owner, sizeof(e->owner));
    e->expires_us = now_us + FW_DIRECTORY_TTL_US;
    g_hash_table_replace(d->entries, &e->key, e);
}

const char *
Fw_Directory_Claim(struct fw_directory *d, uint64_t key, const char *asker,
                   int64_t now_us)
{
    struct entry *e = g_hash_table_lookup(d->entries, &key);

    if (e && e->expires_us > now_us) {
        return e->owner;
    }
    Fw_Directory_Set(d, key, asker, now_us);
    return asker;
}

static gboolean
expired(gpointer key, gpointer value, gpointer now)
{
    (void)key;
    return ((struct entry *)value)->expires_us <= *(int64_t *)now;
}

void
Fw_Directory_Expire(struct fw_directory *d, int64_t now_us)
{
    g_hash_table_foreach_remove(d->entries, expired, &now_us);
}
