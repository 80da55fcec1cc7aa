/* Writer of snapshot parts. */
#include <errno.h>
#include <limits.h>
#include <string.h>

#include "config/snapshot.h"

/**
 * struct fw_snapshot_writer - see snapshot.h.
 * @kind: kind of the items being written; FW_ITEM_KINDS for the outcomes and
 *        the audit trail, which follow the items
 * @names: names of the items of @kind, valid while the state is unchanged
 * @next: index of the next name or outcome
 * @next_entry: next entry of the audit trail, NULL before the first
 * @bodies: rows of the parts completed so far (GString *)
 * @body: rows of the current part
 * @hash: chained hash over @bodies
 */
struct fw_snapshot_writer {
    int kind;
    GPtrArray *names;
    unsigned next;
    const struct fw_list *next_entry;
    GPtrArray *bodies;
    GString *body;
    uint64_t hash;
};

static void
close_part(struct fw_snapshot_writer *w)
{
    if (w->body->len == 0) {
        return;
    }
    w->hash = Fw_Hash_Bytes(w->body->str, w->body->len, w->hash);
    g_ptr_array_add(w->bodies, w->body);
    w->body = g_string_sized_new(FW_SNAPSHOT_PART_BYTES);
}

/*
 * @value is JSON. @kind and @name are inserted unescaped: valid names have no
 * characters that need it, and ids are escaped by the caller.
 */
static void
add_row(struct fw_snapshot_writer *w, const char *kind, const char *name,
        uint64_t version, const char *value)
{
    g_string_append_printf(w->body,
                           "{\"kind\":\"%s\",\"name\":\"%s\","
                           "\"was\":%" G_GUINT64_FORMAT ",\"value\":%s}\n",
                           kind, name, version, value);
    if (w->body->len >= FW_SNAPSHOT_PART_BYTES) {
        close_part(w);
    }
}

/* Writes the next item of the current kind. Returns 0 when none is left. */
static int
add_item_row(struct fw_snapshot_writer *w, const struct fw_config *cfg)
{
    enum fw_item_kind kind = (enum fw_item_kind)w->kind;
    const char *name;
    JsonNode *node;
    char *value;

    if (!w->names) {
        w->names = Fw_Config_ItemNames(cfg, kind);
        w->next = 0;
    }
    if (w->next == w->names->len) {
        g_clear_pointer(&w->names, g_ptr_array_unref);
        w->next = 0;
        return 0;
    }
    name = g_ptr_array_index(w->names, w->next++);
    node = Fw_Config_ItemValue(cfg, kind, name);
    value = json_to_string(node, FALSE);
    add_row(w, Fw_Item_KindName(kind), name,
            Fw_Config_ItemVersion(cfg, kind, name), value);
    g_free(value);
    json_node_unref(node);
    return 1;
}

static int
add_outcome_row(struct fw_snapshot_writer *w, const struct fw_config_state *st)
{
    unsigned first =
        (st->next_outcome + FW_CHANGE_OUTCOMES_MAX - st->n_outcomes) %
        FW_CHANGE_OUTCOMES_MAX;
    const struct fw_change_outcome *s;
    char verdict[8];
    char *id;

    if (w->next == st->n_outcomes) {
        return 0;
    }
    s = &st->outcomes[(first + w->next++) % FW_CHANGE_OUTCOMES_MAX];
    id = g_strescape(s->id, NULL);
    g_snprintf(verdict, sizeof(verdict), "%d", s->verdict);
    add_row(w, "seen", id, s->offset, verdict);
    g_free(id);
    return 1;
}

static int
add_audit_row(struct fw_snapshot_writer *w, const struct fw_audit *audit)
{
    const struct fw_audit_entry *e;

    if (!w->next_entry) {
        w->next_entry = audit->entries.next;
    }
    if (w->next_entry == &audit->entries) {
        return 0;
    }
    e = FW_LIST_ENTRY(w->next_entry, struct fw_audit_entry, link);
    add_row(w, "audit", e->author, e->offset, e->text);
    w->next_entry = w->next_entry->next;
    return 1;
}

static int
add_next_row(struct fw_snapshot_writer *w, const struct fw_config_state *st)
{
    while (w->kind < FW_ITEM_KINDS) {
        if (add_item_row(w, st->cfg)) {
            return 1;
        }
        w->kind++;
    }
    return add_outcome_row(w, st) || add_audit_row(w, &st->audit);
}

static void
free_writer(struct fw_snapshot_writer *w)
{
    if (!w) {
        return;
    }
    for (unsigned k = 0; k < w->bodies->len; k++) {
        g_string_free(g_ptr_array_index(w->bodies, k), TRUE);
    }
    g_ptr_array_unref(w->bodies);
    g_string_free(w->body, TRUE);
    g_clear_pointer(&w->names, g_ptr_array_unref);
    g_free(w);
}

/* Headers contain the number of parts and the hash, which are known last. */
static void
add_headers(struct fw_snapshot *snap, struct fw_snapshot_writer *w)
{
    snap->header.n_parts = w->bodies->len;
    snap->header.hash = w->hash;
    for (unsigned k = 0; k < w->bodies->len; k++) {
        GString *body = g_ptr_array_index(w->bodies, k);
        char *header = g_strdup_printf(
            "{\"v\":1,\"snap\":\"%s\",\"offset\":%" G_GUINT64_FORMAT
            ",\"k\":%u,\"n\":%u,\"hash\":\"%016" G_GINT64_MODIFIER "x\"}\n",
            snap->header.id, snap->header.offset, k, snap->header.n_parts,
            snap->header.hash);

        g_string_prepend(body, header);
        g_free(header);
        snap->bytes += body->len;
        g_ptr_array_add(snap->parts, g_string_free(body, FALSE));
    }
    g_ptr_array_set_size(w->bodies, 0);
}

static void
finish_snapshot(struct fw_snapshot *snap)
{
    struct fw_snapshot_writer *w = snap->writer;

    close_part(w);
    if (w->bodies->len == 0) {
        /* The snapshot of an empty state is one part without rows. */
        g_ptr_array_add(w->bodies, g_string_new(NULL));
        w->hash = Fw_Hash_Bytes("", 0, w->hash);
    }
    add_headers(snap, w);
    free_writer(w);
    snap->writer = NULL;
}

struct fw_snapshot *
Fw_Snapshot_Begin(const struct fw_config_state *st, const char *id)
{
    struct fw_snapshot *snap = g_new0(struct fw_snapshot, 1);
    struct fw_snapshot_writer *w = g_new0(struct fw_snapshot_writer, 1);

    g_strlcpy(snap->header.id, id, sizeof(snap->header.id));
    snap->header.offset = st->cfg->next_offset;
    snap->parts = g_ptr_array_new_with_free_func(g_free);
    snap->writer = w;
    w->bodies = g_ptr_array_new();
    w->body = g_string_sized_new(FW_SNAPSHOT_PART_BYTES);
    w->hash = st->cfg->next_offset;
    return snap;
}

int
Fw_Snapshot_Step(struct fw_snapshot *snap, const struct fw_config_state *st,
                 unsigned rows)
{
    if (!snap->writer) {
        return 1;
    }
    if (st->cfg->next_offset != snap->header.offset) {
        return -ESTALE;
    }
    for (unsigned i = 0; i < rows; i++) {
        if (!add_next_row(snap->writer, st)) {
            finish_snapshot(snap);
            return 1;
        }
    }
    return 0;
}

struct fw_snapshot *
Fw_Snapshot_Write(const struct fw_config_state *st, const char *id)
{
    struct fw_snapshot *snap = Fw_Snapshot_Begin(st, id);

    Fw_Snapshot_Step(snap, st, UINT_MAX);
    return snap;
}

void
Fw_Snapshot_Free(struct fw_snapshot *snap)
{
    if (!snap) {
        return;
    }
    free_writer(snap->writer);
    g_ptr_array_unref(snap->parts);
    g_free(snap);
}
