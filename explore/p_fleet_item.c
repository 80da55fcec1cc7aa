/* The fake network and the fake log. */
#include "explore/p_fleet_item.h"

#include <errno.h>
#include <string.h>

#define FAST_US (20 * FW_MSEC)
#define HOLD_US (200 * FW_MSEC)
#define GIVE_UP_US (3 * FW_SEC)

void
Fw_Item_Free(struct fw_item *item)
{
    if (item->msg) {
        g_bytes_unref(item->msg);
    }
    if (item->records) {
        g_ptr_array_unref(item->records);
    }
    g_free(item);
}

struct fw_item *
Fw_Item_Next(const struct fw_fleet_env *w)
{
    struct fw_item *best = NULL;

    for (guint i = 0; i < w->items->len; i++) {
        struct fw_item *item = g_ptr_array_index(w->items, i);
        if (!best || item->at_us < best->at_us) {
            best = item;
        }
    }
    return best;
}

static int64_t
travel(struct fw_fleet_env *w)
{
    int64_t max = FAST_US;

    if (Fw_FleetEnv_Below(w, 100) < w->late_pct) {
        max = MAX(w->late_max_us, FAST_US);
    }
    return FW_MSEC / 2 + (int64_t)(g_rand_double(w->run->rand) * (double)max);
}

static struct fw_item *
add_item(struct fw_fleet_env *w, enum fw_item_kind kind, int site)
{
    struct fw_item *item = g_new0(struct fw_item, 1);

    item->kind = kind;
    item->site = site;
    item->at_us = w->real_us + travel(w);
    g_ptr_array_add(w->items, item);
    return item;
}

static int
site_of(const struct fw_fleet_env *w, const char *name)
{
    for (int i = 0; i < w->n; i++) {
        if (strcmp(w->sites[i].self.name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static void
send_msg(struct fw_fleet_env *w, int from, const struct fw_peer_send *send)
{
    int to = site_of(w, send->to);
    msgpack_sbuffer buf;
    msgpack_packer pk;
    GBytes *bytes;
    int copies = 1;

    if (to < 0) {
        return;
    }
    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, &send->msg);
    bytes = g_bytes_new(buf.data, buf.size);
    w->n_sent++;
    w->n_bytes += buf.size;
    w->area_bytes[send->msg.area] += buf.size;
    w->area_msgs[send->msg.area]++;
    msgpack_sbuffer_destroy(&buf);
    if (w->sites[from].cut[to] || Fw_FleetEnv_Below(w, 100) < w->lose_pct) {
        copies = 0;
    }
    else if (Fw_FleetEnv_Below(w, 100) < w->double_pct) {
        copies = 2;
    }
    for (int i = 0; i < copies; i++) {
        struct fw_item *item = add_item(w, FW_ITEM_MSG, to);
        item->from = from;
        item->msg = g_bytes_ref(bytes);
    }
    g_bytes_unref(bytes);
}

static void
send_append(struct fw_fleet_env *w, int site, const struct fw_log_append *a)
{
    struct fw_item *item = add_item(w, FW_ITEM_APPEND, site);

    item->boot = w->sites[site].self.boot;
    item->ticket = a->ticket;
    item->records = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < a->n; i++) {
        g_ptr_array_add(item->records, g_strdup(a->records[i]));
    }
}

static void
send_read(struct fw_fleet_env *w, int site, const struct fw_log_read *r)
{
    struct fw_item *item = add_item(w, FW_ITEM_READ, site);

    item->boot = w->sites[site].self.boot;
    item->ticket = r->ticket;
    item->offset = r->from_offset;
    item->sent_us = Fw_FleetEnv_Local(w, site);
    item->until_us = w->real_us + r->wait_us;
}

void
Fw_FleetEnv_Carry(struct fw_fleet_env *w, int i, struct fw_actions *out)
{
    struct fw_action *a;

    w->sites[i].wake_us = MIN(w->sites[i].wake_us, out->wake_us);
    while ((a = Fw_Actions_Pop(out))) {
        if (a->kind == FW_ACT_PEER_SEND) {
            send_msg(w, i, &a->u.send);
        }
        else if (a->kind == FW_ACT_LOG_APPEND) {
            send_append(w, i, &a->u.append);
        }
        else if (a->kind == FW_ACT_LOG_READ) {
            send_read(w, i, &a->u.read);
        }
        else if (a->kind == FW_ACT_NOTE) {
            GString *line = g_string_new(a->u.note.event);
            for (int f = 0; f < a->u.note.n; f++) {
                g_string_append_printf(line, " %s=%s",
                                       a->u.note.fields[f].name,
                                       a->u.note.fields[f].value);
            }
            Fw_Run_Trace(w->run, "%8.3f %s %s", (double)w->real_us / FW_SEC,
                         w->sites[i].self.name, line->str);
            g_string_free(line, TRUE);
        }
        Fw_Action_Free(a);
    }
    Fw_Actions_Clear(out);
}

static void
deliver_msg(struct fw_fleet_env *w, struct fw_item *item)
{
    struct fw_site *s = &w->sites[item->site];
    const char *from = w->sites[item->from].self.name;
    struct fw_actions out;
    struct fw_msg msg;
    msgpack_unpacked u;
    gsize size;
    const char *data = g_bytes_get_data(item->msg, &size);
    size_t off = 0;
    int64_t now = Fw_FleetEnv_Local(w, item->site);

    if (!s->up) {
        return;
    }
    Fw_Actions_Init(&out);
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, data, size, &off) != MSGPACK_UNPACK_SUCCESS ||
        Fw_Msg_Unpack(&u.data, &msg)) {
        Fw_Run_Breach(w->run, "a message did not survive its codec");
    }
    else {
        if (msg.area == FW_AREA_FLEET) {
            Fw_Fleet_OnMsg(s->fleet, from, &msg.u.fleet, now, &out);
        }
        else if (msg.area == FW_AREA_LIMIT && s->limit) {
            Fw_Limit_OnMsg(s->limit, w->cfg, from, &msg.u.limit, now, &out);
        }
        Fw_Msg_Clear(&msg);
    }
    msgpack_unpacked_destroy(&u);
    Fw_FleetEnv_Carry(w, item->site, &out);
}

/* The append reaches the log; its answer may be lost or late all the same. */
static void
reach_append(struct fw_fleet_env *w, struct fw_item *item)
{
    struct fw_item *back = add_item(w, FW_ITEM_APPENDED, item->site);

    back->boot = item->boot;
    back->ticket = item->ticket;
    if (Fw_FleetEnv_Below(w, 100) < w->lose_pct) { /* lost before the log */
        back->err = -EIO;
        back->at_us += GIVE_UP_US;
        return;
    }
    if (w->log_down) {
        back->err = -EAGAIN;
        return;
    }
    back->offset = w->records->len + 1;
    for (guint i = 0; i < item->records->len; i++) {
        const char *text = g_ptr_array_index(item->records, i);
        g_ptr_array_add(w->records, g_strdup(text));
        Fw_Run_Trace(w->run, "%8.3f log %u %s", (double)w->real_us / FW_SEC,
                     w->records->len, text);
    }
    if (Fw_FleetEnv_Below(w, 100) <
        w->lose_pct) { /* lost after it took effect */
        back->err = -EIO;
        back->at_us += GIVE_UP_US;
    }
}

static void
reach_read(struct fw_fleet_env *w, struct fw_item *item)
{
    uint64_t from = MAX(item->offset, w->log_oldest);
    struct fw_item *back;

    if (!w->log_down && from > w->records->len &&
        w->real_us < item->until_us) {
        struct fw_item *hold = add_item(w, FW_ITEM_READ, item->site);
        hold->boot = item->boot;
        hold->ticket = item->ticket;
        hold->offset = item->offset;
        hold->sent_us = item->sent_us;
        hold->until_us = item->until_us;
        hold->at_us = w->real_us + HOLD_US;
        return;
    }
    back = add_item(w, FW_ITEM_RECORDS, item->site);
    back->boot = item->boot;
    back->ticket = item->ticket;
    back->sent_us = item->sent_us;
    back->offset = from;
    back->until_us = (int64_t)w->records->len + 1; /* end */
    if (w->log_down || Fw_FleetEnv_Below(w, 100) < w->lose_pct) {
        back->err = -EIO;
        return;
    }
    back->records = g_ptr_array_new_with_free_func(g_free);
    for (uint64_t o = from; o <= w->records->len; o++) {
        g_ptr_array_add(back->records,
                        g_strdup(g_ptr_array_index(w->records, o - 1)));
    }
}

static void
deliver_log(struct fw_fleet_env *w, struct fw_item *item)
{
    struct fw_site *s = &w->sites[item->site];
    struct fw_actions out;
    int64_t now = Fw_FleetEnv_Local(w, item->site);

    if (!s->up || !s->roles || s->self.boot != item->boot) {
        return;
    }
    Fw_Actions_Init(&out);
    if (item->kind == FW_ITEM_APPENDED) {
        struct fw_log_appended a = {.ticket = item->ticket,
                                    .err = item->err,
                                    .first_offset = item->offset};
        Fw_Roles_OnAppended(s->roles, &a, now, &out);
    }
    else {
        struct fw_log_records r = {
            .ticket = item->ticket,
            .err = item->err,
            .sent_us = item->sent_us,
            .first_offset = item->offset,
            .oldest_offset = w->log_oldest,
            .end_offset = (uint64_t)item->until_us,
            .n = item->records ? (int)item->records->len : 0,
            .records = item->records
                           ? (const char *const *)item->records->pdata
                           : NULL,
        };
        Fw_Roles_OnRecords(s->roles, &r, now, &out);
    }
    Fw_FleetEnv_Carry(w, item->site, &out);
}

void
Fw_Item_Deliver(struct fw_fleet_env *w, struct fw_item *item)
{
    int to_site = item->kind != FW_ITEM_APPEND && item->kind != FW_ITEM_READ;

    if (to_site && w->sites[item->site].up &&
        !Fw_FleetEnv_Runs(w, item->site)) {
        item->at_us = w->sites[item->site].pause_until_us;
        return;
    }
    g_ptr_array_remove(w->items, item);
    switch (item->kind) {
    case FW_ITEM_MSG:
        deliver_msg(w, item);
        break;
    case FW_ITEM_APPEND:
        reach_append(w, item);
        break;
    case FW_ITEM_READ:
        reach_read(w, item);
        break;
    case FW_ITEM_APPENDED:
    case FW_ITEM_RECORDS:
        deliver_log(w, item);
        break;
    }
    Fw_Item_Free(item);
}
