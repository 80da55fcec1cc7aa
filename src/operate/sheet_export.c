/* Exports the configuration in force as CSV. */

#include "operate/sheet_internal.h"

/** struct csv_row - the cells of one output row, by column. */
struct csv_row {
    GString *cells[FW_COLUMNS];
};

static void
begin_row(struct csv_row *row, const char *kind, const char *name)
{
    for (int i = 0; i < FW_COLUMNS; i++) {
        g_string_truncate(row->cells[i], 0);
    }
    g_string_assign(row->cells[FW_COL_KIND], kind);
    g_string_assign(row->cells[FW_COL_NAME], name);
}

static void
put_number(struct csv_row *row, enum fw_sheet_column col, int64_t n)
{
    g_string_printf(row->cells[col], "%" G_GINT64_FORMAT, n);
}

/* Cells need no quoting: no value has a quote, comma or newline. */
static void
end_row(struct csv_row *row, GString *out)
{
    for (int i = 0; i < FW_COLUMNS; i++) {
        const GString *cell = row->cells[i];

        if (i > 0) {
            g_string_append_c(out, ',');
        }
        if (cell->len > 0) {
            g_string_append(out, cell->str);
        }
    }
    g_string_append(out, "\r\n");
}

static void
put_team(struct csv_row *row, const struct fw_team *t)
{
    GString *models = row->cells[FW_COL_MODELS];

    put_number(row, FW_COL_RATE, t->rate);
    put_number(row, FW_COL_BURST, t->burst);
    put_number(row, FW_COL_PRIORITY, t->priority);
    g_string_assign(models, t->n_models ? "" : "all");
    for (int i = 0; i < t->n_models; i++) {
        g_string_append_printf(models, "%s%s", i ? " " : "", t->models[i]);
    }
}

static void
put_pool(struct csv_row *row, const struct fw_pool *p)
{
    GString *serves = row->cells[FW_COL_SERVES];

    put_number(row, FW_COL_PREFILL_MIN, p->prefill_min);
    put_number(row, FW_COL_DECODE_MIN, p->decode_min);
    put_number(row, FW_COL_KV_BYTES, p->kv_bytes_per_token);
    for (int i = 0; i < p->n_serves; i++) {
        const struct fw_served_model *s = &p->serves[i];

        g_string_append_printf(serves, "%s%s@%s%s%s", i ? " " : "", s->model,
                               s->version, s->adapter[0] ? "+" : "",
                               s->adapter);
    }
}

static void
put_upstream(struct csv_row *row, const struct fw_upstream *u)
{
    static const char *const roles[] = {"prefill", "decode", "service"};

    g_string_assign(row->cells[FW_COL_POOL], u->pool);
    g_string_assign(row->cells[FW_COL_ROLE], roles[u->role]);
    g_string_assign(row->cells[FW_COL_DRAINED], u->drained ? "yes" : "no");
}

static void
put_key(struct csv_row *row, const struct fw_key *k)
{
    g_string_assign(row->cells[FW_COL_TEAM], k->team);
    g_string_assign(row->cells[FW_COL_WITHDRAWN], k->withdrawn ? "yes" : "no");
}

static void
put_item(struct csv_row *row, const struct fw_config *cfg,
         enum fw_item_kind kind, const char *name)
{
    switch (kind) {
    case FW_ITEM_TEAM:
        put_team(row, Fw_Config_FindTeam(cfg, name));
        break;
    case FW_ITEM_POOL:
        put_pool(row, Fw_Config_FindPool(cfg, name));
        break;
    case FW_ITEM_UPSTREAM:
        put_upstream(row, Fw_Config_FindUpstream(cfg, name));
        break;
    case FW_ITEM_KEY:
        put_key(row, g_hash_table_lookup(cfg->keys, name));
        break;
    case FW_ITEM_SERVICE:
    case FW_ITEM_OPERATOR:
    case FW_ITEM_SETTING:
    case FW_ITEM_KINDS:
        break;
    }
}

static void
put_kind(struct csv_row *row, const struct fw_config *cfg,
         enum fw_item_kind kind, GString *out)
{
    GPtrArray *names = Fw_Config_ItemNames(cfg, kind);

    for (unsigned i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);

        begin_row(row, Fw_Item_KindName(kind), name);
        put_item(row, cfg, kind, name);
        end_row(row, out);
    }
    g_ptr_array_unref(names);
}

char *
Fw_Sheet_Export(const struct fw_config *cfg)
{
    GString *out = g_string_new(NULL);
    struct csv_row row;
    char version[24];

    for (int i = 0; i < FW_COLUMNS; i++) {
        row.cells[i] =
            g_string_new(Fw_Sheet_ColumnName((enum fw_sheet_column)i));
    }
    end_row(&row, out);
    g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
               cfg->next_offset - 1);
    begin_row(&row, "sheet", version);
    end_row(&row, out);
    put_kind(&row, cfg, FW_ITEM_TEAM, out);
    put_kind(&row, cfg, FW_ITEM_POOL, out);
    put_kind(&row, cfg, FW_ITEM_UPSTREAM, out);
    put_kind(&row, cfg, FW_ITEM_KEY, out);
    for (int i = 0; i < FW_COLUMNS; i++) {
        g_string_free(row.cells[i], TRUE);
    }
    return g_string_free(out, FALSE);
}
