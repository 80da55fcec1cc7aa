/* Parser of snapshot parts. */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "config/config_internal.h"
#include "config/json.h"
#include "config/snapshot.h"

static int
parse_header_fields(JsonObject *obj, struct fw_snapshot_header *header)
{
    struct fw_config_error err;
    struct fw_field_reader r = {.obj = obj, .err = &err, .where = "snapshot"};
    int64_t v;
    int64_t offset;
    int64_t k;
    int64_t n;
    char hash[17];

    if (Fw_Field_Int(&r, "v", 1, 1, -1, &v) ||
        Fw_Field_Text(&r, "snap", header->id, sizeof(header->id)) ||
        Fw_Field_Int(&r, "offset", 1, INT64_MAX, -1, &offset) ||
        Fw_Field_Int(&r, "k", 0, FW_SNAPSHOT_PARTS_MAX - 1, -1, &k) ||
        Fw_Field_Int(&r, "n", 1, FW_SNAPSHOT_PARTS_MAX, -1, &n) ||
        Fw_Field_Text(&r, "hash", hash, sizeof(hash)) || k >= n) {
        return -EBADMSG;
    }
    header->offset = (uint64_t)offset;
    header->part = (unsigned)k;
    header->n_parts = (unsigned)n;
    header->hash = g_ascii_strtoull(hash, NULL, 16);
    return 0;
}

int
Fw_Snapshot_ParseHeader(const char *part, struct fw_snapshot_header *header)
{
    const char *end = strchr(part, '\n');
    JsonParser *parser;
    JsonObject *obj;
    int rc;

    parser = end ? Fw_Json_LoadObject(part, (size_t)(end - part), &obj) : NULL;
    if (!parser) {
        return -EBADMSG;
    }
    rc = parse_header_fields(obj, header);
    g_object_unref(parser);
    return rc;
}

static void
drop_assembly(struct fw_snapshot_assembly *s)
{
    Fw_ConfigState_Free(s->st);
    *s = (struct fw_snapshot_assembly){.st = NULL};
}

void
Fw_Snapshot_Reset(struct fw_snapshot_assembler *a)
{
    for (int i = 0; i < FW_SNAPSHOT_ASSEMBLIES_MAX; i++) {
        drop_assembly(&a->assemblies[i]);
    }
}

/*
 * Returns the assembly of @header's snapshot. For its first part, takes an
 * unused assembly or the least recently used one. Returns NULL for a later
 * part of an unknown snapshot.
 */
static struct fw_snapshot_assembly *
find_assembly(struct fw_snapshot_assembler *a,
              const struct fw_snapshot_header *header)
{
    struct fw_snapshot_assembly *pick = &a->assemblies[0];

    for (int i = 0; i < FW_SNAPSHOT_ASSEMBLIES_MAX; i++) {
        struct fw_snapshot_assembly *s = &a->assemblies[i];

        if (s->st && strcmp(s->header.id, header->id) == 0) {
            return s;
        }
        if (!s->st || (pick->st && s->last_feed < pick->last_feed)) {
            pick = s;
        }
    }
    if (header->part != 0) {
        return NULL;
    }
    drop_assembly(pick);
    pick->header = *header;
    pick->hash = header->offset;
    pick->st = Fw_ConfigState_New();
    return pick;
}

static int
read_outcome(struct fw_config_state *st, const struct fw_field_reader *r)
{
    char id[FW_CHANGE_ID_MAX];
    int64_t offset;
    int64_t verdict;

    if (Fw_Field_Text(r, "name", id, sizeof(id)) ||
        Fw_Field_Int(r, "was", 1, INT64_MAX, -1, &offset) ||
        Fw_Field_Int(r, "value", 0, FW_CHANGE_DUPLICATE, -1, &verdict)) {
        return -EBADMSG;
    }
    Fw_ConfigState_RecordOutcome(st, id, (uint64_t)offset,
                                 (enum fw_change_verdict)verdict);
    return 0;
}

static int
read_audit(struct fw_config_state *st, const struct fw_field_reader *r)
{
    JsonNode *value = json_object_get_member(r->obj, "value");
    char who[FW_NAME_MAX];
    int64_t offset;

    if (!value || !JSON_NODE_HOLDS_OBJECT(value) ||
        Fw_Field_Name(r, "name", "", who) ||
        Fw_Field_Int(r, "was", 1, INT64_MAX, -1, &offset)) {
        return -EBADMSG;
    }
    Fw_Audit_Add(&st->audit, (uint64_t)offset, who,
                 json_to_string(value, FALSE));
    return 0;
}

static int
read_row(struct fw_config_state *st, const char *row, size_t len)
{
    struct fw_config_error err;
    struct fw_item item = {.kind = FW_ITEM_TEAM};
    struct fw_field_reader r = {.err = &err, .where = "snapshot"};
    JsonParser *parser = Fw_Json_LoadObject(row, len, &r.obj);
    char kind[16];
    int rc;

    if (!parser) {
        return -EBADMSG;
    }
    rc = Fw_Field_Text(&r, "kind", kind, sizeof(kind));
    if (rc) {
        kind[0] = '\0';
    }
    else if (strcmp(kind, "seen") == 0) {
        rc = read_outcome(st, &r);
    }
    else if (strcmp(kind, "audit") == 0) {
        rc = read_audit(st, &r);
    }
    else {
        rc = Fw_Item_Parse(r.obj, &item, &err);
        if (rc == 0 && !item.removed) {
            Fw_Config_PutItem(st->cfg, &item, item.expected_version);
        }
        Fw_Item_Clear(&item);
    }
    g_object_unref(parser);
    return rc ? -EBADMSG : 0;
}

static int
read_rows(struct fw_config_state *st, const char *body)
{
    while (*body) {
        const char *end = strchr(body, '\n');

        if (!end || read_row(st, body, (size_t)(end - body))) {
            return -EBADMSG;
        }
        body = end + 1;
    }
    return 0;
}

static int
headers_match(const struct fw_snapshot_header *a,
              const struct fw_snapshot_header *b)
{
    return a->offset == b->offset && a->n_parts == b->n_parts &&
           a->hash == b->hash;
}

static int
add_part(struct fw_snapshot_assembly *s,
         const struct fw_snapshot_header *header, const char *body)
{
    if (header->part < s->next_part) {
        return 0; /* repeated by the writer after a failed append */
    }
    if (header->part != s->next_part || !headers_match(header, &s->header) ||
        read_rows(s->st, body)) {
        return -EBADMSG;
    }
    s->hash = Fw_Hash_Bytes(body, strlen(body), s->hash);
    s->next_part++;
    if (s->next_part < s->header.n_parts) {
        return 0;
    }
    if (s->hash != s->header.hash && !FW_FAULT("snapshot-no-hash")) {
        return -EBADMSG;
    }
    return 1;
}

int
Fw_Snapshot_Feed(struct fw_snapshot_assembler *a, const char *part,
                 struct fw_config_state **st, unsigned *next_part)
{
    struct fw_snapshot_header header;
    struct fw_snapshot_assembly *s;
    int rc;

    if (Fw_Snapshot_ParseHeader(part, &header)) {
        return -EBADMSG;
    }
    s = find_assembly(a, &header);
    if (!s) {
        return -EBADMSG;
    }
    s->last_feed = ++a->feeds;
    rc = add_part(s, &header, strchr(part, '\n') + 1);
    if (next_part) {
        *next_part = s->next_part;
    }
    if (rc == 1) {
        *st = s->st;
        (*st)->cfg->next_offset = s->header.offset;
        s->st = NULL;
    }
    if (rc != 0) {
        drop_assembly(s);
    }
    return rc;
}
