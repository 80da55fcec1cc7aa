#include "io/registry_client.h"

#include <errno.h>
#include <string.h>

#include "io/fetch.h"
#include "io/json.h"
#include "io/logger.h"

#define FW_REGISTRY_TIMEOUT_US (3 * FW_SEC)
#define FW_REGISTRY_BODY_MAX_BYTES (4 << 20)
#define FW_REGISTRY_RETRY_MIN_MS 200
#define FW_REGISTRY_RETRY_MAX_MS 10000

/**
 * struct fw_registry_client - at most one read and one write are in progress.
 * @leaving: value to write into the entry
 * @retry_source: GLib source of the next attempt to write the entry, or 0
 * @retry_ms: delay of the last retry, or 0 after a success
 * @read_msg: message of @read, for the ETag of its response
 * @etag: ETag of @cached_body, or NULL
 * @cached_body: body of the last 200 response
 */
struct fw_registry_client {
    struct fw_sink sink;
    SoupSession *session;
    char *url;
    struct fw_self self;
    int leaving;
    guint retry_source;
    guint retry_ms;
    struct fw_fetch *read;
    SoupMessage *read_msg;
    char *etag;
    GBytes *cached_body;
    struct fw_fetch *write;
    void (*unregister_done)(void *);
    void *unregister_ctx;
    struct fw_metric errors;
};

struct fw_registry_client *
Fw_RegistryClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                      const char *url, const struct fw_self *self)
{
    struct fw_registry_client *c = g_new0(struct fw_registry_client, 1);

    c->sink = *sink;
    c->session = Fw_Fetch_NewSession(4, 4);
    c->url = g_strconcat(url, "/list", NULL);
    c->self = *self;
    c->errors = (struct fw_metric){.name = "fw_list_errors_total",
                                   .help = "Calls to the list that failed"};
    Fw_Metrics_Add(metrics, &c->errors);
    return c;
}

static void
cancel_write(struct fw_registry_client *c)
{
    if (c->write) {
        Fw_Fetch_Cancel(c->write);
        c->write = NULL;
    }
    if (c->retry_source) {
        g_source_remove(c->retry_source);
        c->retry_source = 0;
    }
}

void
Fw_RegistryClient_Free(struct fw_registry_client *c)
{
    cancel_write(c);
    if (c->read) {
        Fw_Fetch_Cancel(c->read);
    }
    g_clear_object(&c->read_msg);
    g_free(c->etag);
    g_bytes_unref(c->cached_body);
    soup_session_abort(c->session);
    g_object_unref(c->session);
    g_free(c->url);
    g_free(c);
}

static int
read_entry(JsonObject *obj, struct fw_registry_entry *e)
{
    const char *kind;
    int rc;

    if (!obj || Fw_Json_Str(obj, "kind", &kind) ||
        Fw_Json_CopyStr(obj, "name", e->name, sizeof(e->name)) ||
        Fw_Json_CopyStr(obj, "addr", e->addr, sizeof(e->addr))) {
        return -EBADMSG;
    }
    if (strcmp(kind, "instance") != 0 && strcmp(kind, "upstream") != 0) {
        return -EBADMSG;
    }
    e->kind = strcmp(kind, "instance") == 0 ? FW_REGISTRY_INSTANCE
                                            : FW_REGISTRY_UPSTREAM;
    rc = Fw_Json_CopyStr(obj, "domain", e->domain, sizeof(e->domain));
    if (rc && rc != -ENOENT) {
        return rc;
    }
    rc = Fw_Json_CopyStr(obj, "region", e->region, sizeof(e->region));
    if (rc && rc != -ENOENT) {
        return rc;
    }
    rc = Fw_Json_Bool(obj, "leaving", &e->draining);
    return rc == -ENOENT ? 0 : rc;
}

/* Invalid entries are skipped, so that they don't invalidate the others. */
static int
read_entries(JsonObject *obj, struct fw_registry_entry **entries, int *n)
{
    JsonArray *arr;
    guint len;

    if (Fw_Json_Array(obj, "entries", &arr)) {
        return -EBADMSG;
    }
    len = json_array_get_length(arr);
    *entries = g_new0(struct fw_registry_entry, len + 1);
    for (guint i = 0; i < len; i++) {
        struct fw_registry_entry *e = &(*entries)[*n];

        if (!read_entry(Fw_Json_ObjectAt(arr, i), e)) {
            (*n)++;
        }
        else {
            memset(e, 0, sizeof(*e));
        }
    }
    return 0;
}

/*
 * Returns the current registry body, or NULL when the request failed. Requests
 * carry If-None-Match, so an unchanged body is not transferred again.
 */
static GBytes *
get_current_body(struct fw_registry_client *c, const struct fw_fetch_result *r)
{
    const char *tag = soup_message_headers_get_one(
        soup_message_get_response_headers(c->read_msg), "ETag");

    if (r->err) {
        return NULL;
    }
    if (r->status == SOUP_STATUS_NOT_MODIFIED) {
        return c->cached_body;
    }
    if (r->status != SOUP_STATUS_OK) {
        return NULL;
    }
    g_free(c->etag);
    c->etag = g_strdup(tag);
    g_bytes_unref(c->cached_body);
    c->cached_body = g_bytes_ref(r->body);
    return c->cached_body;
}

static void
on_entries_read(void *ctx, const struct fw_fetch_result *r)
{
    struct fw_registry_client *c = ctx;
    struct fw_event ev = {.kind = FW_EV_REGISTRY};
    struct fw_registry_entry *entries = NULL;
    JsonNode *root = NULL;

    GBytes *body;

    c->read = NULL;
    body = get_current_body(c, r);
    g_clear_object(&c->read_msg);
    ev.u.listed.err = body ? 0 : r->err ? r->err : -EAGAIN;
    if (body) {
        gsize len;
        const char *data = g_bytes_get_data(body, &len);

        root = Fw_Json_Parse(data, len);
        ev.u.listed.err = root ? read_entries(json_node_get_object(root),
                                              &entries, &ev.u.listed.n)
                               : -EBADMSG;
    }
    if (ev.u.listed.err) {
        c->errors.value++;
    }
    ev.u.listed.entries = entries;
    c->sink.event(c->sink.ctx, &ev);
    g_free(entries);
    if (root) {
        json_node_unref(root);
    }
}

void
Fw_RegistryClient_Read(struct fw_registry_client *c)
{
    SoupMessage *msg;

    if (c->read) {
        return; /* a request is in progress */
    }
    msg = Fw_Fetch_NewMessage("GET", c->url, NULL);
    if (c->etag) {
        soup_message_headers_replace(soup_message_get_request_headers(msg),
                                     "If-None-Match", c->etag);
    }
    c->read_msg = g_object_ref(msg);
    c->read = Fw_Fetch_Start(&(struct fw_fetch_opts){
        .session = c->session,
        .msg = msg,
        .idle_timeout_us = FW_REGISTRY_TIMEOUT_US,
        .body_max = FW_REGISTRY_BODY_MAX_BYTES,
        .ctx = c,
        .on_done = on_entries_read,
    });
}

static char *
encode_own_entry(const struct fw_registry_client *c)
{
    JsonBuilder *b = json_builder_new();

    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "kind", "instance");
    Fw_Json_SetStr(b, "name", c->self.name);
    Fw_Json_SetStr(b, "addr", c->self.addr);
    Fw_Json_SetStr(b, "domain", c->self.domain);
    Fw_Json_SetStr(b, "region", c->self.region);
    json_builder_set_member_name(b, "leaving");
    json_builder_add_boolean_value(b, c->leaving);
    json_builder_end_object(b);
    return Fw_Json_FinishBuilder(b);
}

static void
write_entry(struct fw_registry_client *c);

static gboolean
on_retry(gpointer data)
{
    struct fw_registry_client *c = data;

    c->retry_source = 0;
    write_entry(c);
    return G_SOURCE_REMOVE;
}

static void
on_entry_written(void *ctx, const struct fw_fetch_result *r)
{
    struct fw_registry_client *c = ctx;

    c->write = NULL;
    if (!r->err && r->status >= 200 && r->status < 300) {
        c->retry_ms = 0;
        return;
    }
    c->errors.value++;
    if (!c->retry_ms) {
        Fw_Logger_Log(LOG_WARNING, "list_unreachable", "url", c->url, NULL);
    }
    c->retry_ms = CLAMP(c->retry_ms * 2, FW_REGISTRY_RETRY_MIN_MS,
                        FW_REGISTRY_RETRY_MAX_MS);
    c->retry_source = g_timeout_add(c->retry_ms, on_retry, c);
}

static void
write_entry(struct fw_registry_client *c)
{
    char *json = encode_own_entry(c);

    cancel_write(c);
    c->write = Fw_Fetch_Start(&(struct fw_fetch_opts){
        .session = c->session,
        .msg = Fw_Fetch_NewMessage("POST", c->url, json),
        .idle_timeout_us = FW_REGISTRY_TIMEOUT_US,
        .body_max = FW_REGISTRY_BODY_MAX_BYTES,
        .ctx = c,
        .on_done = on_entry_written,
    });
    g_free(json);
}

void
Fw_RegistryClient_Register(struct fw_registry_client *c)
{
    c->leaving = 0;
    write_entry(c);
}

void
Fw_RegistryClient_MarkLeaving(struct fw_registry_client *c)
{
    c->leaving = 1;
    c->retry_ms = 0;
    write_entry(c);
}

static void
on_unregistered(void *ctx, const struct fw_fetch_result *r)
{
    struct fw_registry_client *c = ctx;

    c->write = NULL;
    if (r->err) {
        c->errors.value++;
    }
    c->unregister_done(c->unregister_ctx);
}

void
Fw_RegistryClient_Unregister(struct fw_registry_client *c,
                             void (*done)(void *), void *ctx)
{
    char *name = g_uri_escape_string(c->self.name, NULL, FALSE);
    char *url = g_strconcat(c->url, "/", name, NULL);

    cancel_write(c);
    c->unregister_done = done;
    c->unregister_ctx = ctx;
    c->write = Fw_Fetch_Start(&(struct fw_fetch_opts){
        .session = c->session,
        .msg = Fw_Fetch_NewMessage("DELETE", url, NULL),
        .idle_timeout_us = FW_SEC,
        .body_max = FW_REGISTRY_BODY_MAX_BYTES,
        .ctx = c,
        .on_done = on_unregistered,
    });
    g_free(url);
    g_free(name);
}
