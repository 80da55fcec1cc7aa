/* The platform's store: a log of topics; those named "keyed." have keys. */
#include <inttypes.h>
#include <string.h>

#include "base/limits.h"
#include "io/json.h"
#include "stand/wire/wire.h"

/** struct record - @value: NULL deletes the key. */
struct record {
    char *key;
    GBytes *value;
};

/** struct topic - @first: offset of the oldest readable record. */
struct topic {
    GPtrArray *records;
    guint first;
};

/** struct waiter - a read that waits for the next record. */
struct waiter {
    struct fw_wire_store *store;
    struct fw_http_caller *caller;
    char topic[FW_NAME_MAX];
    guint64 from;
    guint timer;
};

struct fw_wire_store {
    struct fw_http_server *server;
    GHashTable *topics;
    GList *waiters;
    enum fw_wire_store_mode mode;
    int request_count;
};

static void
record_free(gpointer data)
{
    struct record *r = data;

    g_free(r->key);
    if (r->value) {
        g_bytes_unref(r->value);
    }
    g_free(r);
}

static void
topic_free(gpointer data)
{
    struct topic *t = data;

    g_ptr_array_unref(t->records);
    g_free(t);
}

static struct topic *
get_topic(struct fw_wire_store *s, const char *name)
{
    struct topic *t = g_hash_table_lookup(s->topics, name);

    if (!t) {
        t = g_new0(struct topic, 1);
        t->records = g_ptr_array_new_with_free_func(record_free);
        g_hash_table_insert(s->topics, g_strdup(name), t);
    }
    return t;
}

static int
is_keyed(const char *topic)
{
    return g_str_has_prefix(topic, "keyed.");
}

/* Decoded query parameter @name, NULL if missing; the caller frees it. */
static char *
query_text(const struct fw_http_head *h, const char *name)
{
    char *target = g_strndup(h->target, h->target_len);
    char *start = strchr(target, '?');
    char **parts = g_strsplit(start ? start + 1 : "", "&", 0);
    size_t len = strlen(name);
    char *out = NULL;

    for (char **p = parts; *p && !out; p++) {
        if (strncmp(*p, name, len) == 0 && (*p)[len] == '=') {
            out = g_uri_unescape_string(*p + len + 1, NULL);
        }
    }
    g_strfreev(parts);
    g_free(target);
    return out;
}

static guint64
query_number(const struct fw_http_head *h, const char *name, guint64 fallback)
{
    char *text = query_text(h, name);
    guint64 v = text ? g_ascii_strtoull(text, NULL, 10) : fallback;

    g_free(text);
    return v;
}

static void
append_be(GString *out, guint64 v, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        g_string_append_c(out, (char)(v >> (8 * i)));
    }
}

static void
append_record_frame(GString *out, const struct record *r, int keyed)
{
    gsize len = 0;
    const char *value = r->value ? g_bytes_get_data(r->value, &len) : "";
    gsize key_len = keyed ? strlen(r->key) : 0;

    append_be(out, len + (keyed ? 1 + key_len : 0), 4);
    if (keyed) {
        g_string_append_c(out, (char)key_len);
        g_string_append_len(out, r->key, (gssize)key_len);
    }
    g_string_append_len(out, value, (gssize)len);
}

static void
answer_read(struct fw_wire_store *s, struct fw_http_caller *c,
            const char *topic, guint64 from)
{
    struct topic *t = get_topic(s, topic);
    GString *out = g_string_new(NULL);
    guint end = t->records->len;

    if (s->mode == FW_WIRE_STORE_PARTIAL_READ && from + 1 < end) {
        end = (guint)from + 1;
        s->mode = FW_WIRE_STORE_UNRESPONSIVE;
    }
    append_be(out, t->records->len, 8);
    append_be(out, t->first, 8);
    for (guint i = (guint)from; i < end; i++) {
        append_record_frame(out, g_ptr_array_index(t->records, i),
                            is_keyed(topic));
    }
    Fw_Caller_Start(c, 200, "", (int64_t)out->len);
    Fw_Caller_Data(c, out->str, out->len);
    Fw_Caller_End(c);
    g_string_free(out, TRUE);
}

static void
answer_json(struct fw_http_caller *c, int status, char *text)
{
    Fw_Caller_Respond(c, status, "Content-Type: application/json\r\n", text);
    g_free(text);
}

static void
waiter_free(struct waiter *w)
{
    w->store->waiters = g_list_remove(w->store->waiters, w);
    if (w->timer) {
        g_source_remove(w->timer);
    }
    g_free(w);
}

static gboolean
on_wait_timeout(gpointer data)
{
    struct waiter *w = data;

    w->timer = 0;
    answer_read(w->store, w->caller, w->topic, w->from);
    waiter_free(w);
    return G_SOURCE_REMOVE;
}

static void
notify_waiters(struct fw_wire_store *s, const char *topic)
{
    GList *all = g_list_copy(s->waiters);

    for (GList *l = all; l; l = l->next) {
        struct waiter *w = l->data;

        if (strcmp(w->topic, topic) == 0) {
            answer_read(s, w->caller, w->topic, w->from);
            waiter_free(w);
        }
    }
    g_list_free(all);
}

static void
append(struct fw_wire_store *s, const char *topic, const char *key,
       GBytes *value)
{
    struct record *r = g_new0(struct record, 1);

    r->key = g_strdup(key);
    r->value = value;
    g_ptr_array_add(get_topic(s, topic)->records, r);
}

void
Fw_WireStore_Put(struct fw_wire_store *s, const char *topic, const char *key,
                 const char *value)
{
    append(s, topic, key, value ? g_bytes_new(value, strlen(value)) : NULL);
    notify_waiters(s, topic);
}

void
Fw_WireStore_Truncate(struct fw_wire_store *s, const char *topic)
{
    struct topic *t = get_topic(s, topic);

    t->first = t->records->len;
}

static void
handle_read(struct fw_wire_store *s, struct fw_http_caller *c,
            const struct fw_http_head *h, const char *topic)
{
    struct topic *t = get_topic(s, topic);
    guint64 from = query_number(h, "From", 0);
    guint64 wait = query_number(h, "WaitMs", 0);
    struct waiter *w;

    if (from < t->first) {
        answer_json(c, 410, g_strdup_printf("{\"FirstOffset\":%u}", t->first));
        return;
    }
    if (from < t->records->len || !wait) {
        answer_read(s, c, topic, from);
        return;
    }
    w = g_new0(struct waiter, 1);
    w->store = s;
    w->caller = c;
    w->from = from;
    g_strlcpy(w->topic, topic, sizeof(w->topic));
    w->timer = g_timeout_add((guint)wait, on_wait_timeout, w);
    s->waiters = g_list_prepend(s->waiters, w);
}

static void
handle_newest(struct fw_wire_store *s, struct fw_http_caller *c,
              const char *topic)
{
    struct topic *t = get_topic(s, topic);
    GString *out = g_string_new("{\"items\":[");
    const char *sep = "";

    for (guint i = 0; i < t->records->len; i++) {
        struct record *r = g_ptr_array_index(t->records, i);
        int newest = r->value != NULL;

        for (guint k = i + 1; k < t->records->len && newest; k++) {
            struct record *later = g_ptr_array_index(t->records, k);

            newest = strcmp(later->key, r->key) != 0;
        }
        if (newest) {
            gsize len;
            const guchar *v = g_bytes_get_data(r->value, &len);
            char *b64 = g_base64_encode(v, len);

            g_string_append_printf(
                out, "%s{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%u}", sep,
                r->key, b64, i);
            sep = ",";
            g_free(b64);
        }
    }
    g_string_append_printf(out, "],\"HasMore\":false,\"EndOffset\":%u}",
                           t->records->len);
    answer_json(c, 200, g_string_free(out, FALSE));
}

/* Appends the body's record; the router sends one in each request. */
static void
append_body(struct fw_wire_store *s, const char *topic, GBytes *body)
{
    gsize len;
    const guint8 *p = g_bytes_get_data(body, &len);

    p += 4;
    len -= 4;
    if (is_keyed(topic)) {
        char *key = g_strndup((const char *)p + 1, p[0]);

        append(s, topic, key, g_bytes_new(p + 1 + p[0], len - 1 - p[0]));
        g_free(key);
    }
    else {
        append(s, topic, "", g_bytes_new(p, len));
    }
}

static void
handle_append(struct fw_wire_store *s, struct fw_http_caller *c,
              const struct fw_http_head *h, const char *topic, GBytes *body)
{
    struct topic *t = get_topic(s, topic);
    guint64 at = query_number(h, "At", t->records->len);

    if (at != t->records->len) {
        answer_json(c, 412,
                    g_strdup_printf("{\"EndOffset\":%u}", t->records->len));
        return;
    }
    if (g_bytes_get_size(body) < 5) {
        answer_json(c, 400, g_strdup("{}"));
        return;
    }
    append_body(s, topic, body);
    if (s->mode == FW_WIRE_STORE_LOST_REPLIES) {
        Fw_Caller_Abort(c);
    }
    else {
        answer_json(c, 200,
                    g_strdup_printf("{\"Offset\":%u,\"EndOffset\":%u}",
                                    t->records->len - 1, t->records->len));
    }
    notify_waiters(s, topic);
}

static int
path_is(const struct fw_http_head *h, const char *path)
{
    size_t len = strlen(path);

    return h->target_len >= len && memcmp(h->target, path, len) == 0;
}

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct fw_wire_store *s = ctx;
    char *topic = query_text(h, "Topic");

    s->request_count++;
    if (s->mode == FW_WIRE_STORE_UNAVAILABLE) {
        Fw_Caller_Respond(c, 503, "", "");
    }
    else if (s->mode != FW_WIRE_STORE_UNRESPONSIVE && !topic) {
        Fw_Caller_Respond(c, 400, "", "");
    }
    else if (s->mode != FW_WIRE_STORE_UNRESPONSIVE &&
             path_is(h, "/-/log-read?")) {
        handle_read(s, c, h, topic);
    }
    else if (s->mode != FW_WIRE_STORE_UNRESPONSIVE &&
             path_is(h, "/-/log-newest?")) {
        handle_newest(s, c, topic);
    }
    else if (s->mode != FW_WIRE_STORE_UNRESPONSIVE &&
             path_is(h, "/-/log-append?")) {
        handle_append(s, c, h, topic, body);
    }
    g_free(topic);
}

static void
on_disconnect(void *ctx, struct fw_http_caller *c)
{
    struct fw_wire_store *s = ctx;

    for (GList *l = s->waiters; l; l = l->next) {
        struct waiter *w = l->data;

        if (w->caller == c) {
            waiter_free(w);
            return;
        }
    }
}

static void
on_rejected(void *ctx, int status, const char *reason)
{
    (void)ctx;
    g_warning("store: request rejected with status %d: %s", status, reason);
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .disconnected = on_disconnect,
                                       .rejected = on_rejected};

struct fw_wire_store *
Fw_WireStore_New(const char *addr)
{
    struct fw_wire_store *s = g_new0(struct fw_wire_store, 1);
    int err;

    s->topics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, topic_free);
    s->server = Fw_Server_New(addr, &ops, s, &err);
    g_assert(s->server);
    return s;
}

void
Fw_WireStore_Free(struct fw_wire_store *s)
{
    while (s->waiters) {
        waiter_free(s->waiters->data);
    }
    Fw_Server_Free(s->server);
    g_hash_table_destroy(s->topics);
    g_free(s);
}

int
Fw_WireStore_Port(const struct fw_wire_store *s)
{
    return Fw_Server_Port(s->server);
}

void
Fw_WireStore_SetMode(struct fw_wire_store *s, enum fw_wire_store_mode mode)
{
    s->mode = mode;
}

int
Fw_WireStore_RequestCount(const struct fw_wire_store *s)
{
    return s->request_count;
}

int
Fw_WireStore_RecordCount(const struct fw_wire_store *s, const char *topic)
{
    const struct topic *t = g_hash_table_lookup(s->topics, topic);

    return t ? (int)t->records->len : 0;
}
