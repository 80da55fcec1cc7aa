/* Log service: append-only streams with bounded retention. */
#include <inttypes.h>
#include <string.h>

#include "stand/stand.h"

#define READ_MAX_RECORDS 1000
#define READ_WAIT_MAX_MS 60000

/** struct fw_stand_log_stream - @oldest_offset: offset of @records[0]. */
struct fw_stand_log_stream {
    GPtrArray *records; /* JSON string literals */
    uint64_t oldest_offset;
};

struct fw_stand_log {
    struct fw_stand_port port;
    GHashTable *streams;
    double append_credit; /* token bucket of the append rate */
    int64_t credit_us;    /* last refill */
};

static void
free_stream(gpointer data)
{
    struct fw_stand_log_stream *s = data;

    g_ptr_array_unref(s->records);
    g_free(s);
}

static struct fw_stand_log_stream *
get_stream(struct fw_stand_log *l, const char *name)
{
    struct fw_stand_log_stream *s = g_hash_table_lookup(l->streams, name);

    if (!s) {
        s = g_new0(struct fw_stand_log_stream, 1);
        s->records = g_ptr_array_new_with_free_func(g_free);
        s->oldest_offset = 1;
        g_hash_table_insert(l->streams, g_strdup(name), s);
    }
    return s;
}

static int64_t
fault_count_or(const struct fw_stand_log *l, const char *fault,
               int64_t fallback)
{
    const struct fw_stand_fault *f = Fw_StandFault_Find(&l->port, fault);

    return f && f->count >= 0 ? f->count : fallback;
}

static void
trim(const struct fw_stand_log *l, struct fw_stand_log_stream *s)
{
    int64_t keep =
        fault_count_or(l, "retain", l->port.stand->opts.log_retain_records);
    guint drop =
        (guint)MAX((int64_t)s->records->len - MAX(keep, 0), (int64_t)0);

    if (drop) {
        g_ptr_array_remove_range(s->records, 0, drop);
        s->oldest_offset += drop;
    }
}

static void
trim_all(struct fw_stand_port *port)
{
    struct fw_stand_log *l = port->owner;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, l->streams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        trim(l, value);
    }
}

static int
exceeds_rate(struct fw_stand_log *l)
{
    double rate = (double)fault_count_or(
        l, "rate", l->port.stand->opts.log_appends_per_s);
    int64_t now = g_get_monotonic_time();

    l->append_credit += rate * (double)(now - l->credit_us) / FW_SEC;
    l->append_credit = MIN(l->append_credit, rate / 4 + 1);
    l->credit_us = now;
    if (l->append_credit < 1) {
        return 1;
    }
    l->append_credit -= 1;
    return 0;
}

static void
answer_read(struct fw_stand_reply *r)
{
    struct fw_stand_log_stream *s =
        get_stream(r->port->owner, r->path + strlen("/log/"));
    uint64_t end = s->oldest_offset + s->records->len;
    uint64_t from = (uint64_t)MAX(Fw_StandReply_QueryInt(r, "from", 1), 1);
    int64_t max = Fw_StandReply_QueryInt(r, "max", READ_MAX_RECORDS);
    uint64_t first = CLAMP(from, s->oldest_offset, end);
    uint64_t last =
        MIN(end, first + (uint64_t)CLAMP(max, 0, READ_MAX_RECORDS));
    GString *texts = g_string_new(NULL);

    for (uint64_t i = first; i < last; i++) {
        g_string_append_printf(
            texts, "%s%s", i > first ? "," : "",
            (char *)g_ptr_array_index(s->records, i - s->oldest_offset));
    }
    Fw_StandReply_Json(r, 200,
                       "{\"first\":%" PRIu64 ",\"oldest\":%" PRIu64
                       ",\"end\":%" PRIu64 ",\"records\":[%s]}",
                       first, s->oldest_offset, end, texts->str);
    g_string_free(texts, TRUE);
}

static void
notify_readers(struct fw_stand_log *l, const char *name)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &l->port.replies) {
        struct fw_stand_reply *r =
            FW_LIST_ENTRY(pos, struct fw_stand_reply, link);

        if (g_strcmp0(r->wait_stream, name) == 0) {
            g_clear_pointer(&r->wait_stream, g_free);
            answer_read(r);
        }
    }
}

static void
receive_read(struct fw_stand_log *l, struct fw_stand_reply *r,
             const char *name)
{
    struct fw_stand_log_stream *s = get_stream(l, name);
    int64_t from = Fw_StandReply_QueryInt(r, "from", 1);
    int64_t wait_ms = Fw_StandReply_QueryInt(r, "wait_ms", 0);

    if (wait_ms <= 0 || (uint64_t)from < s->oldest_offset + s->records->len) {
        answer_read(r);
        return;
    }
    r->wait_stream = g_strdup(name);
    Fw_StandReply_Schedule(r, MIN(wait_ms, READ_WAIT_MAX_MS), answer_read);
}

/* Return: the records as JSON, NULL unless a non-empty array of strings. */
static GPtrArray *
parse_records(const struct fw_stand_reply *r)
{
    JsonNode *n = r->body ? json_object_get_member(r->body, "records") : NULL;
    JsonArray *a =
        n && JSON_NODE_HOLDS_ARRAY(n) ? json_node_get_array(n) : NULL;
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

    for (guint i = 0; a && i < json_array_get_length(a); i++) {
        JsonNode *e = json_array_get_element(a, i);

        if (json_node_get_value_type(e) != G_TYPE_STRING) {
            g_ptr_array_set_size(out, 0);
            break;
        }
        g_ptr_array_add(out, json_to_string(e, FALSE));
    }
    if (out->len == 0) {
        g_clear_pointer(&out, g_ptr_array_unref);
    }
    return out;
}

static void
receive_append(struct fw_stand_log *l, struct fw_stand_reply *r,
               const char *name)
{
    struct fw_stand_log_stream *s = get_stream(l, name);
    GPtrArray *records = parse_records(r);
    uint64_t first = s->oldest_offset + s->records->len;

    if (!records) {
        Fw_StandReply_Error(r, 400, "records: an array of texts is wanted");
        return;
    }
    if (exceeds_rate(l)) {
        g_ptr_array_unref(records);
        Fw_StandReply_Error(r, 429, "over the append rate");
        return;
    }
    g_ptr_array_extend_and_steal(s->records, records);
    trim(l, s);
    Fw_StandJournal_Add(r, "append", name);
    Fw_StandReply_Json(r, 200, "{\"first\":%" PRIu64 "}", first);
    notify_readers(l, name);
}

static void
handle(struct fw_stand_reply *r)
{
    struct fw_stand_log *l = r->port->owner;
    char *name = g_strdup(r->path);

    if (!g_str_has_prefix(name, "/log/") || !name[strlen("/log/")]) {
        Fw_StandReply_Error(r, 404, "no such call");
    }
    else if (!strcmp(soup_server_message_get_method(r->msg), "POST")) {
        receive_append(l, r, name + strlen("/log/"));
    }
    else {
        receive_read(l, r, name + strlen("/log/"));
    }
    g_free(name);
}

static void
on_free(struct fw_stand_port *port)
{
    g_hash_table_unref(((struct fw_stand_log *)port->owner)->streams);
}

struct fw_stand_port *
Fw_StandLog_New(struct fw_stand *s)
{
    struct fw_stand_log *l = g_new0(struct fw_stand_log, 1);

    l->streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
    l->credit_us = g_get_monotonic_time();
    l->append_credit = 1;
    l->port.owner = l;
    l->port.handle = handle;
    l->port.on_fault_change = trim_all;
    l->port.on_free = on_free;
    return Fw_StandPort_Open(&l->port, s, "log", "log", "");
}
