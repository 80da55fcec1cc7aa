/*
 * Dissemination of member states by gossip. Of two updates the newer one wins,
 * by boot, then incarnation, then state.
 *
 * Only the instance itself raises its incarnation, so it can always refute a
 * suspicion, and a delayed message can't revive a dead member.
 */
#include <string.h>
#include <syslog.h>

#include "base/fault.h"
#include "fleet/fleet_internal.h"

#define FW_RETRANSMIT_FACTOR 3

/* Sends the member's state along with further messages. Their number grows
 * with the logarithm of the fleet's size, so that each member receives the
 * update with high probability. */
void
Fw_Gossip_Queue(struct fw_fleet *f, struct fw_member_entry *e)
{
    if (strcmp(e->m.region, f->self.region) == 0) {
        e->retransmits =
            FW_RETRANSMIT_FACTOR * (int)g_bit_storage(f->candidates->len + 1);
    }
}

void
Fw_Gossip_Refute(struct fw_fleet *f, uint64_t boot, uint32_t incarnation,
                 int state)
{
    struct fw_member_entry *me = f->self_entry;

    if (boot < me->m.boot) {
        Fw_Gossip_Queue(f, me); /* the peer knows an earlier process only */
        return;
    }
    if (boot > me->m.boot || incarnation < me->m.incarnation) {
        return;
    }
    if (state == (int)me->m.state && incarnation == me->m.incarnation) {
        return;
    }
    if (FW_FAULT("fleet-no-refutation")) {
        return;
    }
    /* A peer sees this instance as suspect or dead. A larger incarnation
     * overrides that in all copies. */
    me->m.incarnation = incarnation + 1;
    Fw_Gossip_Queue(f, me);
    f->refutations.value++;
}

static int
is_newer(const struct fw_fleet_update *u, const struct fw_member *m)
{
    if (u->boot != m->boot) {
        return u->boot > m->boot;
    }
    if (u->incarnation != m->incarnation) {
        return u->incarnation > m->incarnation;
    }
    return u->state > (int)m->state;
}

/* Whether an update about an unknown instance adds it to the table. */
static int
is_wanted(const struct fw_fleet *f, const struct fw_fleet_update *u)
{
    return u->state != FW_MEMBER_DEAD && u->addr[0] &&
           strcmp(u->region, f->self.region) == 0;
}

void
Fw_Gossip_Merge(struct fw_fleet *f, const char *from,
                const struct fw_fleet_update *u, int64_t now_us,
                struct fw_actions *out)
{
    struct fw_member_entry *e = Fw_Member_Find(f, u->name);

    if (e == f->self_entry) {
        if (u->boot > f->self.boot) {
            Fw_Actions_Note(out, LOG_ERR, "name_taken", "member", u->name,
                            "addr", u->addr, "told_by", from, NULL);
        }
        Fw_Gossip_Refute(f, u->boot, u->incarnation, u->state);
        return;
    }
    if (!e && is_wanted(f, u)) {
        e = Fw_Member_Add(f, u->name, u->addr, u->domain, u->region);
    }
    if (!e || !is_newer(u, &e->m)) {
        return;
    }
    if (u->addr[0]) {
        g_strlcpy(e->m.addr, u->addr, sizeof(e->m.addr));
        g_strlcpy(e->m.domain, u->domain, sizeof(e->m.domain));
    }
    e->m.boot = u->boot;
    e->m.incarnation = u->incarnation;
    Fw_Gossip_Queue(f, e);
    Fw_Member_SetState(f, e, (enum fw_member_state)u->state, now_us, out);
}

static void
fill_update(struct fw_fleet_update *u, const struct fw_member *m)
{
    g_strlcpy(u->name, m->name, sizeof(u->name));
    g_strlcpy(u->addr, m->addr, sizeof(u->addr));
    g_strlcpy(u->domain, m->domain, sizeof(u->domain));
    g_strlcpy(u->region, m->region, sizeof(u->region));
    u->boot = m->boot;
    u->incarnation = m->incarnation;
    u->state = (int)m->state;
}

static struct fw_member_entry *
next_to_send(struct fw_fleet *f, const struct fw_fleet_msg *msg)
{
    struct fw_member_entry *best = NULL;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, f->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_member_entry *e = value;
        int included = 0;
        for (int i = 0; i < msg->n_updates; i++) {
            included |= strcmp(msg->updates[i].name, e->m.name) == 0;
        }
        if (e->retransmits > 0 && !included &&
            (!best || e->retransmits > best->retransmits ||
             (e->retransmits == best->retransmits &&
              strcmp(e->m.name, best->m.name) < 0))) {
            best = e;
        }
    }
    return best;
}

void
Fw_Gossip_Attach(struct fw_fleet *f, struct fw_fleet_msg *msg, int self)
{
    struct fw_member_entry *e;

    msg->updates = g_new0(struct fw_fleet_update, FW_FLEET_UPDATES_MAX);
    if (self) {
        fill_update(&msg->updates[msg->n_updates++], &f->self_entry->m);
    }
    while (msg->n_updates < FW_FLEET_UPDATES_MAX &&
           (e = next_to_send(f, msg))) {
        fill_update(&msg->updates[msg->n_updates++], &e->m);
        e->retransmits--;
    }
}
