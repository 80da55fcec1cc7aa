/*
 * A store for records whose keys may have any bytes, as the project's own
 * stand-in has them as C strings. It speaks what PROTOCOL.md says of a log:
 * log-read with WaitMs, log-newest in one page, log-append with At.
 */
#include <inttypes.h>
#include <string.h>

#include "base/limits.h"
#include "review/lab/store.h"

/** struct record - @value: NULL deletes the key. */
struct record {
    GBytes *key;
    GBytes *value;
};

/** struct topic - @first: offset of the oldest readable record. */
struct topic {
    GPtrArray *records;
    guint first;
};

/** struct waiter - a read that waits for the next record. */
struct waiter {
    struct lab_store *store;
    struct fw_http_caller *caller;
    char topic[FW_NAME_MAX];
    guint64 from;
    guint timer;
};

struct lab_store {
    struct fw_http_server *server;
    GHashTable *topics;
    GList *waiters;
    void (*on_servers_read)(void);
};

static void
record_free(gpointer data)
{
    struct record *r = data;

    g_bytes_unref(r->key);
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
get_topic(struct lab_store *s, const char *name)
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
    gsize key_len;
    const char *key = g_bytes_get_data(r->key, &key_len);

    key_len = keyed ? key_len : 0;

    append_be(out, len + (keyed ? 1 + key_len : 0), 4);
    if (keyed) {
        g_string_append_c(out, (char)key_len);
        g_string_append_len(out, key, (gssize)key_len);
    }
    g_string_append_len(out, value, (gssize)len);
}

static void
answer_read(struct lab_store *s, struct fw_http_caller *c, const char *topic,
            guint64 from)
{
    struct topic *t = get_topic(s, topic);
    GString *out = g_string_new(NULL);
    guint end = t->records->len;

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
notify_waiters(struct lab_store *s, const char *topic)
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
append(struct lab_store *s, const char *topic, GBytes *key, GBytes *value)
{
    struct record *r = g_new0(struct record, 1);

    r->key = key;
    r->value = value;
    g_ptr_array_add(get_topic(s, topic)->records, r);
}

void
Lab_Store_Put(struct lab_store *s, const char *topic, const void *key,
              size_t key_len, const void *value, size_t len)
{
    append(s, topic, g_bytes_new(key, key_len),
           value ? g_bytes_new(value, len) : NULL);
    notify_waiters(s, topic);
}

static void
handle_read(struct lab_store *s, struct fw_http_caller *c,
            const struct fw_http_head *h, const char *topic)
{
    struct topic *t = get_topic(s, topic);
    guint64 from = query_number(h, "From", 0);
    guint64 wait = query_number(h, "WaitMs", 0);
    struct waiter *w;

    if (s->on_servers_read && strcmp(topic, "keyed.servers") == 0) {
        s->on_servers_read();
    }
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

/* A JSON string of bytes that are ASCII, control characters among them. */
static void
append_json_text(GString *out, GBytes *bytes)
{
    gsize len;
    const guchar *p = g_bytes_get_data(bytes, &len);

    g_string_append_c(out, '"');
    for (gsize i = 0; i < len; i++) {
        if (p[i] < ' ' || p[i] == '"' || p[i] == '\\') {
            g_string_append_printf(out, "\\u%04x", p[i]);
        }
        else {
            g_string_append_c(out, (char)p[i]);
        }
    }
    g_string_append_c(out, '"');
}

static void
handle_newest(struct lab_store *s, struct fw_http_caller *c, const char *topic)
{
    struct topic *t = get_topic(s, topic);
    GString *out = g_string_new("{\"items\":[");
    const char *sep = "";

    for (guint i = 0; i < t->records->len; i++) {
        struct record *r = g_ptr_array_index(t->records, i);
        int newest = r->value != NULL;

        for (guint k = i + 1; k < t->records->len && newest; k++) {
            struct record *later = g_ptr_array_index(t->records, k);

            newest = !g_bytes_equal(later->key, r->key);
        }
        if (newest) {
            gsize len;
            const guchar *v = g_bytes_get_data(r->value, &len);
            char *b64 = g_base64_encode(v, len);

            g_string_append_printf(out, "%s{\"Key\":", sep);
            append_json_text(out, r->key);
            g_string_append_printf(out, ",\"Value\":\"%s\",\"Offset\":%u}",
                                   b64, i);
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
append_body(struct lab_store *s, const char *topic, GBytes *body)
{
    gsize len;
    const guint8 *p = g_bytes_get_data(body, &len);

    p += 4;
    len -= 4;
    if (is_keyed(topic)) {
        append(s, topic, g_bytes_new(p + 1, p[0]),
               g_bytes_new(p + 1 + p[0], len - 1 - p[0]));
    }
    else {
        append(s, topic, g_bytes_new("", 0), g_bytes_new(p, len));
    }
}

static void
handle_append(struct lab_store *s, struct fw_http_caller *c,
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
    answer_json(c, 200,
                g_strdup_printf("{\"Offset\":%u,\"EndOffset\":%u}",
                                t->records->len - 1, t->records->len));
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
    struct lab_store *s = ctx;
    char *topic = query_text(h, "Topic");

    if (!topic) {
        Fw_Caller_Respond(c, 400, "", "");
    }
    else if (path_is(h, "/-/log-read?")) {
        handle_read(s, c, h, topic);
    }
    else if (path_is(h, "/-/log-newest?")) {
        handle_newest(s, c, topic);
    }
    else if (path_is(h, "/-/log-append?")) {
        handle_append(s, c, h, topic, body);
    }
    else {
        Fw_Caller_Respond(c, 404, "", "");
    }
    g_free(topic);
}

static void
on_disconnect(void *ctx, struct fw_http_caller *c)
{
    struct lab_store *s = ctx;

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

struct lab_store *
Lab_Store_New(void)
{
    struct lab_store *s = g_new0(struct lab_store, 1);
    int err;

    s->topics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, topic_free);
    s->server = Fw_Server_New("127.0.0.1:0", &ops, s, &err);
    g_assert(s->server);
    return s;
}

void
Lab_Store_OnServersRead(struct lab_store *s, void (*fn)(void))
{
    s->on_servers_read = fn;
}

int
Lab_Store_Port(const struct lab_store *s)
{
    return Fw_Server_Port(s->server);
}
