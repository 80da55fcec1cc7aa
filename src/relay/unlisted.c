/*
 * Servers whose entry is gone just after an outage of the store, in which
 * those of live servers lapse too.
 */
#include "base/fault.h"
#include "relay/relay_internal.h"

/*
 * An outage in which entries lapse hits those of all servers. If at most this
 * part of them is unlisted after it, these servers have rather left.
 */
#define FW_FEW_UNLISTED_PART 4

void
Fw_Servers_NoteLeft(struct fw_rl_server *s, int64_t now_us)
{
    if (!s->left_us && !FW_FAULT("draining-ignored")) {
        s->left_us = now_us;
    }
}

int
Fw_Servers_IsUnlisted(const struct fw_rl_server *s)
{
    return s->removal_us != 0;
}

/* Whether a listed server can take the place of @s. */
static int
has_listed_substitute(const struct fw_relay *r, const struct fw_rl_server *s)
{
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *other =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (!other->removal_us && other->stage_links == s->stage_links &&
            Fw_Servers_IsInService(other)) {
            return 1;
        }
    }
    return 0;
}

static void
presume_gone(struct fw_rl_server *s, int is_gone, int64_t now_us)
{
    if (s->is_presumed_gone == is_gone) {
        return;
    }
    s->is_presumed_gone = is_gone;
    if (is_gone) {
        Fw_Servers_NoteLeft(s, now_us);
    }
    else if (!s->entry.draining && !s->is_leaving && !s->gone) {
        s->left_us = 0;
    }
}

/* Decides anew which of the unlisted servers are used until their removal. */
static void
update_presumptions(struct fw_relay *r, int64_t now_us)
{
    int n = (int)g_hash_table_size(r->servers_by_hash);
    int few = r->n_removals <= MAX(n / FW_FEW_UNLISTED_PART, 1);
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        presume_gone(s, few && s->removal_us && has_listed_substitute(r, s),
                     now_us);
    }
}

void
Fw_Servers_SetRemoval(struct fw_relay *r, struct fw_rl_server *s,
                      int64_t removal_us, int64_t now_us)
{
    if ((removal_us != 0) == (s->removal_us != 0)) {
        s->removal_us = removal_us;
        return;
    }
    r->n_removals += removal_us ? 1 : -1;
    /* The others fetch the change before this instance removes the server. */
    r->list_hash += removal_us ? -s->list_hash : s->list_hash;
    s->removal_us = removal_us;
    update_presumptions(r, now_us);
}
