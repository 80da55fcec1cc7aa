#include "explore/memlog.h"

#include <string.h>

void
Fw_MemLog_Init(struct fw_memlog *l)
{
    l->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_ptr_array_unref);
}

void
Fw_MemLog_Fini(struct fw_memlog *l)
{
    g_hash_table_unref(l->streams);
}

static GPtrArray *
get_stream(struct fw_memlog *l, const char *stream)
{
    GPtrArray *s = g_hash_table_lookup(l->streams, stream);

    if (!s) {
        s = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(l->streams, g_strdup(stream), s);
    }
    return s;
}

uint64_t
Fw_MemLog_Append(struct fw_memlog *l, const char *stream,
                 const char *const *records, int n)
{
    GPtrArray *s = get_stream(l, stream);
    uint64_t first = s->len + 1;

    for (int i = 0; i < n; i++) {
        g_ptr_array_add(s, g_strdup(records[i]));
    }
    return first;
}

void
Fw_MemLog_AppendChange(struct fw_memlog *l, const char *items)
{
    GPtrArray *s = get_stream(l, FW_STREAM_CONFIG);

    g_ptr_array_add(s,
                    g_strdup_printf("{\"v\":1,\"id\":\"c-%u\",\"who\":\"anna\""
                                    ",\"at\":\"2026-12-02T09:00:00Z\","
                                    "\"items\":[%s]}",
                                    s->len, items));
}

uint64_t
Fw_MemLog_End(struct fw_memlog *l, const char *stream)
{
    return get_stream(l, stream)->len + 1;
}

void
Fw_MemLog_Read(struct fw_memlog *l, const struct fw_log_read *read,
               int64_t sent_us, struct fw_log_records *out)
{
    GPtrArray *s = get_stream(l, read->stream);

    memset(out, 0, sizeof(*out));
    out->ticket = read->ticket;
    g_strlcpy(out->stream, read->stream, sizeof(out->stream));
    out->sent_us = sent_us;
    out->oldest_offset = 1;
    out->first_offset = MAX(read->from_offset, 1);
    out->end_offset = s->len + 1;
    out->n =
        (int)MIN(out->end_offset - MIN(out->first_offset, out->end_offset),
                 (uint64_t)read->max_records);
    out->records = (const char *const *)s->pdata + (out->first_offset - 1);
}
