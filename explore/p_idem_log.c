/* The log of a seeded run: it can be down, lose, drop and delay. */
#include <errno.h>

#include "explore/p_idem_mail.h"

/* An append that takes effect after its sender gave it up. */
#define FW_LATE_US (8 * FW_SEC)
/* Until its sender gives an append up. */
#define FW_TIMEOUT_US (5 * FW_SEC)

static void
store(struct fw_idem_env *b, const struct fw_idem_env_delivery *m)
{
    GPtrArray *recs = b->log.records[m->part];

    for (int i = 0; i < m->n; i++) {
        g_ptr_array_add(recs, g_strdup(m->records[i]));
    }
    if ((int)recs->len > b->log.retain) {
        guint drop = recs->len - (guint)b->log.retain;

        g_ptr_array_remove_range(recs, 0, drop);
        b->log.oldest[m->part] += drop;
    }
}

void
Fw_IdemEnv_HandleAppend(struct fw_idem_env *b, struct fw_idem_env_delivery *m)
{
    struct fw_idem_env_log *l = &b->log;
    uint64_t first = l->oldest[m->part] + l->records[m->part]->len;
    struct fw_idem_env_delivery *back;

    if (m->err) { /* a late one: nobody waits any more */
        store(b, m);
        return;
    }
    l->appends++;
    back = Fw_IdemEnv_Schedule(b, FW_IDEM_ENV_APPENDED, m->site,
                               FW_IDEM_ENV_HOP_US);
    back->boot = m->boot;
    back->ticket = m->ticket;
    back->part = m->part;
    back->first = first;
    if (l->down) {
        back->err = -EAGAIN;
    }
    else if (l->lose > 0) {
        l->lose--;
        back->err = -EIO;
        back->at_us += FW_TIMEOUT_US;
        store(b, m);
    }
    else if (l->drop > 0) {
        l->drop--;
        back->err = -EIO;
    }
    else if (l->late > 0) {
        struct fw_idem_env_delivery *again =
            Fw_IdemEnv_Schedule(b, FW_IDEM_ENV_APPEND, m->site, FW_LATE_US);

        l->late--;
        back->err = -EIO;
        again->part = m->part;
        again->n = m->n;
        again->records = g_steal_pointer(&m->records);
        again->err = 1;
    }
    else {
        store(b, m);
    }
}

void
Fw_IdemEnv_HandleRead(struct fw_idem_env *b,
                      const struct fw_idem_env_delivery *m)
{
    struct fw_idem_env_log *l = &b->log;
    GPtrArray *recs = l->records[m->part];
    struct fw_idem_env_delivery *back = Fw_IdemEnv_Schedule(
        b, FW_IDEM_ENV_RECORDS, m->site, FW_IDEM_ENV_HOP_US);

    back->boot = m->boot;
    back->ticket = m->ticket;
    back->part = m->part;
    back->sent_us = m->sent_us;
    back->err = l->down ? -EAGAIN : 0;
    back->oldest = l->oldest[m->part];
    back->end = back->oldest + recs->len;
    back->first = CLAMP(m->from, back->oldest, back->end);
    back->n = (int)MIN((uint64_t)m->max, back->end - back->first);
    back->records = g_new0(char *, back->n + 1);
    for (int i = 0; i < back->n; i++) {
        back->records[i] = g_strdup(g_ptr_array_index(
            recs, (guint)(back->first - back->oldest) + (guint)i));
    }
}
