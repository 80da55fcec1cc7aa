/* Rows of integers in messages between instances, and tables of them. */
#include "core/pack.h"
#include "relay/relay_internal.h"

gint64 *
Fw_Rows_NewKey(uint64_t hash)
{
    gint64 *k = g_new(gint64, 1);

    *k = (gint64)hash;
    return k;
}

const msgpack_object_array *
Fw_Rows_Unpack(const msgpack_object *o, uint32_t i, uint32_t width)
{
    const msgpack_object *rows = Fw_Unpack_Array(o, i);
    int64_t ignored;
    uint64_t large;

    if (!rows || rows->via.array.size > FW_RL_ROWS_MAX) {
        return NULL;
    }
    for (uint32_t k = 0; k < rows->via.array.size; k++) {
        const msgpack_object *row = Fw_Unpack_Array(rows, k);

        if (!row || row->via.array.size != width) {
            return NULL;
        }
        for (uint32_t n = 0; n < width; n++) {
            if (Fw_Unpack_I64(row, n, &ignored) &&
                Fw_Unpack_U64(row, n, &large)) {
                return NULL;
            }
        }
    }
    return &rows->via.array;
}

int64_t
Fw_Rows_Cell(const msgpack_object_array *rows, uint32_t i, int k)
{
    return rows->ptr[i].via.array.ptr[k].via.i64;
}

GHashTable *
Fw_Rows_NewTable(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

int64_t *
Fw_Rows_LookupOrAdd(GHashTable *table, uint64_t hash, int64_t initial)
{
    int64_t *v = g_hash_table_lookup(table, &hash);

    if (!v) {
        v = g_new(int64_t, 1);
        *v = initial;
        g_hash_table_insert(table, Fw_Rows_NewKey(hash), v);
    }
    return v;
}

void
Fw_Rows_ReplaceTable(GHashTable **table, const msgpack_object_array *rows)
{
    g_clear_pointer(table, g_hash_table_destroy);
    if (!rows->size) {
        return;
    }
    *table = Fw_Rows_NewTable();
    for (uint32_t i = 0; i < rows->size; i++) {
        *Fw_Rows_LookupOrAdd(*table, (uint64_t)Fw_Rows_Cell(rows, i, 0), 0) =
            MAX(Fw_Rows_Cell(rows, i, 1), 0);
    }
}

int64_t
Fw_Rows_Lookup(GHashTable *table, uint64_t hash)
{
    const int64_t *v = table ? g_hash_table_lookup(table, &hash) : NULL;

    return v ? *v : 0;
}
