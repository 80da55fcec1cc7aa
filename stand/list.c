/* List of instances and upstreams; changes become visible after a delay. */
#include <string.h>
#include <xxhash.h>

#include "stand/stand.h"

/** struct fw_stand_list_entry - a version of the entry with that name. */
struct fw_stand_list_entry {
    struct fw_list link;
    char name[FW_NAME_MAX];
    int64_t visible_us; /* monotonic time */
    char *text;         /* JSON; NULL for a removal */
};

struct fw_stand_list {
    struct fw_stand_port port;
    struct fw_list entries; /* oldest change first */
};

static void
free_entry(struct fw_stand_list_entry *e)
{
    Fw_List_Remove(&e->link);
    g_free(e->text);
    g_free(e);
}

static void
add_version(struct fw_stand_list *l, const char *name, char *text,
            int64_t lag_ms)
{
    struct fw_stand_list_entry *e = g_new0(struct fw_stand_list_entry, 1);

    g_strlcpy(e->name, name, sizeof(e->name));
    e->visible_us = g_get_monotonic_time() + lag_ms * FW_MSEC;
    e->text = text;
    Fw_List_Append(&l->entries, &e->link);
}

static int64_t
current_lag_ms(const struct fw_stand_list *l)
{
    const struct fw_stand_fault *f = Fw_StandFault_Find(&l->port, "list-lag");

    return f ? f->duration_ms : l->port.stand->opts.list_lag_ms;
}

/* Nonzero if a newer version of @e is visible. */
static int
is_superseded(const struct fw_stand_list *l,
              const struct fw_stand_list_entry *e, int64_t now)
{
    for (struct fw_list *p = e->link.next; p != &l->entries; p = p->next) {
        const struct fw_stand_list_entry *newer =
            FW_LIST_ENTRY(p, struct fw_stand_list_entry, link);

        if (newer->visible_us <= now && strcmp(newer->name, e->name) == 0) {
            return 1;
        }
    }
    return 0;
}

static void
send_entries(struct fw_stand_reply *r, const GString *s)
{
    char *tag = g_strdup_printf("\"%016" G_GINT64_MODIFIER "x\"",
                                (guint64)XXH3_64bits(s->str, s->len));
    const char *known = soup_message_headers_get_one(
        soup_server_message_get_request_headers(r->msg), "If-None-Match");

    soup_message_headers_replace(
        soup_server_message_get_response_headers(r->msg), "ETag", tag);
    if (known && strcmp(known, tag) == 0) {
        Fw_StandReply_Text(r, SOUP_STATUS_NOT_MODIFIED, "application/json",
                           "");
    }
    else {
        Fw_StandReply_Json(r, 200, "{\"entries\":[%s]}", s->str);
    }
    g_free(tag);
}

static void
answer_list(struct fw_stand_list *l, struct fw_stand_reply *r)
{
    GString *s = g_string_new(NULL);
    int64_t now = g_get_monotonic_time();
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &l->entries) {
        struct fw_stand_list_entry *e =
            FW_LIST_ENTRY(pos, struct fw_stand_list_entry, link);

        if (is_superseded(l, e, now)) {
            free_entry(e);
        }
        else if (e->text && e->visible_us <= now) {
            g_string_append_printf(s, "%s%s", s->len ? "," : "", e->text);
        }
    }
    send_entries(r, s);
    g_string_free(s, TRUE);
}

static void
handle(struct fw_stand_reply *r)
{
    struct fw_stand_list *l = r->port->owner;
    const char *method = soup_server_message_get_method(r->msg);
    const char *name = Fw_StandReply_Str(r, "name", "");

    if (strcmp(method, "GET") == 0 && strcmp(r->path, "/list") == 0) {
        answer_list(l, r);
    }
    else if (strcmp(method, "POST") == 0 && *name &&
             strcmp(r->path, "/list") == 0) {
        add_version(l, name, json_to_string(r->body_node, FALSE),
                    current_lag_ms(l));
        Fw_StandJournal_Add(r, "listed", name);
        Fw_StandReply_Text(r, 200, "application/json", "{}");
    }
    else if (strcmp(method, "DELETE") == 0 &&
             g_str_has_prefix(r->path, "/list/")) {
        name = r->path + strlen("/list/");
        add_version(l, name, NULL, current_lag_ms(l));
        Fw_StandJournal_Add(r, "removed", name);
        Fw_StandReply_Text(r, 200, "application/json", "{}");
    }
    else {
        Fw_StandReply_Error(r, 400, "a JSON object with a name is wanted");
    }
}

void
Fw_StandList_Add(struct fw_stand_port *list, const struct fw_stand_port *up)
{
    add_version(
        list->owner, up->name,
        g_strdup_printf("{\"kind\":\"upstream\",\"name\":\"%s\","
                        "\"addr\":\"%s\",\"domain\":\"%s\",\"region\":\"\","
                        "\"leaving\":false}",
                        up->name, up->url, up->domain),
        0);
}

static void
on_free(struct fw_stand_port *port)
{
    struct fw_stand_list *l = port->owner;

    while (!Fw_List_Empty(&l->entries)) {
        free_entry(
            FW_LIST_ENTRY(l->entries.next, struct fw_stand_list_entry, link));
    }
}

struct fw_stand_port *
Fw_StandList_New(struct fw_stand *s)
{
    struct fw_stand_list *l = g_new0(struct fw_stand_list, 1);

    Fw_List_Init(&l->entries);
    l->port.owner = l;
    l->port.handle = handle;
    l->port.on_free = on_free;
    return Fw_StandPort_Open(&l->port, s, "list", "list", "");
}
