/*
 * Other instances that count. Each tells all others: right for some ten
 * instances; docs/CAPACITY.md says what takes its place beyond.
 */
#include <string.h>

#include "relay/relay_internal.h"

/*
 * One that was silent for so long has left for good. Until then its part of
 * the allowances stays unused: it may only be cut off.
 */
#define FW_MEMBER_LIFE_US (20 * FW_SEC)

static GHashTable *
table_new(GDestroyNotify free_value)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                 free_value);
}

struct fw_rl_member *
Fw_Members_Find(const struct fw_relay *r, const char *name)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (strcmp(m->name, name) == 0) {
            return m;
        }
    }
    return NULL;
}

struct fw_rl_member *
Fw_Members_Add(struct fw_relay *r, const char *name, int64_t now_us)
{
    struct fw_rl_member *m = g_new0(struct fw_rl_member, 1);

    g_strlcpy(m->name, name, sizeof(m->name));
    m->added_us = now_us;
    m->spent = table_new(g_free);
    m->load = table_new(g_free);
    m->strikes = table_new(NULL);
    m->reading = table_new(g_free);
    Fw_List_Append(&r->members, &m->link);
    return m;
}

static void
member_free(struct fw_rl_member *m)
{
    Fw_List_Remove(&m->link);
    g_hash_table_destroy(m->spent);
    g_hash_table_destroy(m->load);
    g_hash_table_destroy(m->strikes);
    g_hash_table_destroy(m->reading);
    g_free(m);
}

void
Fw_Members_Clear(struct fw_relay *r)
{
    while (!Fw_List_Empty(&r->members)) {
        member_free(FW_LIST_ENTRY(r->members.next, struct fw_rl_member, link));
    }
}

void
Fw_Relay_AddMember(struct fw_relay *r, const char *name, const char *addr,
                   int64_t now_us)
{
    struct fw_rl_member *m;

    if (strcmp(name, r->opts.name) == 0) {
        return;
    }
    m = Fw_Members_Find(r, name);
    if (!m) {
        m = Fw_Members_Add(r, name, now_us);
    }
    if (!m->heard_us) {
        g_strlcpy(m->addr, addr, sizeof(m->addr));
    }
}

void
Fw_Relay_Members(const struct fw_relay *r, GPtrArray *addrs)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        g_ptr_array_add(addrs,
                        FW_LIST_ENTRY(pos, struct fw_rl_member, link)->addr);
    }
}

int
Fw_Members_Count(const struct fw_relay *r, int64_t now_us, int *heard)
{
    struct fw_list *pos;
    int in_touch = 1;
    int n = 1;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        n++;
        in_touch += m->heard_us && now_us - m->heard_us < FW_RL_TOUCH_US;
    }
    if (heard) {
        *heard = in_touch;
    }
    return n;
}

void
Fw_Members_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (now_us - MAX(m->heard_us, m->added_us) >= FW_MEMBER_LIFE_US) {
            Fw_Acts_Log(out, r, LOG_NOTICE, "member_gone",
                        "\"member\":\"%s\",\"addr\":\"%s\"", m->name, m->addr);
            member_free(m);
        }
    }
    r->n.members.value = Fw_Members_Count(r, now_us, NULL);
}
