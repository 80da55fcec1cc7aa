#include "relay/spread.h"

#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

/* The first byte of an envelope: none of ours starts a message with it. */
#define FW_ENVELOPE_MARK 0xc1
/* Mark, whether to pass it on, and the length of the address. */
#define FW_ENVELOPE_HEAD 3
/* Domains beyond that are told directly. */
#define FW_DOMAINS_MAX 64

int
Fw_Envelope_Open(const void *data, size_t len, struct fw_rl_envelope *out)
{
    const uint8_t *p = data;

    if (len < FW_ENVELOPE_HEAD || p[0] != FW_ENVELOPE_MARK || p[1] > 1 ||
        p[2] >= sizeof(out->addr) || len < FW_ENVELOPE_HEAD + (size_t)p[2]) {
        return 0;
    }
    out->pass_on = p[1];
    memcpy(out->addr, p + FW_ENVELOPE_HEAD, p[2]);
    out->addr[p[2]] = 0;
    out->data = p + FW_ENVELOPE_HEAD + p[2];
    out->len = len - FW_ENVELOPE_HEAD - p[2];
    return 1;
}

void
Fw_Envelope_Write(int pass_on, const char *addr, const void *data, size_t len,
                  GByteArray *out)
{
    uint8_t head[FW_ENVELOPE_HEAD] = {FW_ENVELOPE_MARK, (uint8_t)pass_on,
                                      (uint8_t)strnlen(addr, FW_URL_MAX - 1)};

    g_byte_array_set_size(out, 0);
    g_byte_array_append(out, head, sizeof(head));
    g_byte_array_append(out, (const guint8 *)addr, head[2]);
    g_byte_array_append(out, data, (guint)len);
}

/** struct domain - instances of one: @heard lately, @turn of those is it. */
struct domain {
    uint64_t hash;
    int heard;
    int turn;
};

static struct domain *
domain_of(struct domain *all, int *n, uint64_t hash)
{
    for (int i = 0; i < *n; i++) {
        if (all[i].hash == hash) {
            return &all[i];
        }
    }
    if (*n == FW_DOMAINS_MAX) {
        return NULL;
    }
    all[*n] = (struct domain){.hash = hash};
    return &all[(*n)++];
}

static int
is_heard(const struct fw_rl_member *m, int64_t now_us)
{
    return m->heard_us && now_us - m->heard_us < FW_RL_TOUCH_US;
}

static int
is_far(const struct fw_relay *r, const struct fw_rl_member *m)
{
    return m->domain && m->domain != Fw_Hash_Str(r->opts.domain);
}

/* Whose turn it is, in each of the other domains. */
static int
count_domains(const struct fw_relay *r, int64_t now_us, struct domain *all)
{
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        struct domain *d = is_far(r, m) ? domain_of(all, &n, m->domain) : NULL;

        if (d) {
            d->heard += is_heard(m, now_us);
        }
    }
    for (int i = 0; i < n; i++) {
        all[i].turn = (int)(r->spread_turn % (unsigned)MAX(all[i].heard, 1));
    }
    return n;
}

/*
 * They take turns: when one has just died, or its datagram is lost, the next
 * message of the same kind goes another way. Where none of a domain was heard
 * all of it are told directly: they may all have started anew.
 */
void
Fw_Relay_Routes(struct fw_relay *r, int64_t now_us, GPtrArray *direct,
                GPtrArray *through)
{
    struct domain all[FW_DOMAINS_MAX];
    struct fw_list *pos;
    int n = count_domains(r, now_us, all);

    r->spread_turn++;
    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        struct domain *d = is_far(r, m) ? domain_of(all, &n, m->domain) : NULL;

        if (!d || !d->heard) {
            g_ptr_array_add(direct, m->addr);
        }
        else if (is_heard(m, now_us) && d->turn-- == 0) {
            g_ptr_array_add(through, m->addr);
        }
    }
}

void
Fw_Relay_PassOn(const struct fw_relay *r, const char *addr, GPtrArray *to)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (!is_far(r, m) && strcmp(m->addr, addr) != 0) {
            g_ptr_array_add(to, m->addr);
        }
    }
}
