#include "held/held.h"

#include <string.h>

/**
 * struct fw_held - a budget.
 * @kinds: gauges of what is held, by kind
 * @waits: struct fw_held_wait, those that have waited longest first
 * @servers: server's address to struct server_bytes
 * @server_bound: see Fw_Held_SetServerBound
 */
struct fw_held {
    struct fw_held_use use;
    struct fw_held_connections connections;
    struct fw_metric open;
    struct fw_metric most_open;
    struct fw_metric kinds[FW_HELD_KINDS];
    struct fw_metric budget;
    struct fw_metric waiting_bytes;
    struct fw_metric paused;
    struct fw_metric pauses;
    struct fw_metric rejected;
    struct fw_list waits;
    GHashTable *servers;
    size_t server_bound;
    int n_accounts;
};

/**
 * struct server_bytes - requests of this instance to one server.
 * @waiting: not read by it yet
 * @given: bodies of those that it has not answered
 */
struct server_bytes {
    size_t waiting;
    size_t given;
};

/**
 * struct fw_held_account - see held.h.
 * @bounded: bytes that count towards its limit
 */
struct fw_held_account {
    struct fw_held *held;
    int refs;
    int is_unbounded;
    size_t bounded;
    size_t kinds[FW_HELD_KINDS];
};

/** struct charged_bytes - data and its charge. */
struct charged_bytes {
    struct fw_held_account *account;
    enum fw_held_kind kind;
    size_t charged;
    void *data;
};

static void
init_metrics(struct fw_held *h)
{
    static const char *const labels[] = {
        [FW_HELD_CONNECTION] = "kind=\"connection\"",
        [FW_HELD_INPUT] = "kind=\"input\"",
        [FW_HELD_HEAD] = "kind=\"head\"",
        [FW_HELD_BODY] = "kind=\"body\"",
        [FW_HELD_REQUEST] = "kind=\"request\"",
        [FW_HELD_RESPONSE] = "kind=\"response\"",
        [FW_HELD_OUTPUT] = "kind=\"output\"",
        [FW_HELD_STORE] = "kind=\"store\"",
        [FW_HELD_LOG] = "kind=\"log\"",
    };

    for (int k = 0; k < FW_HELD_KINDS; k++) {
        h->kinds[k] =
            (struct fw_metric){.name = "fw_held_bytes",
                               .help = "Bytes held for callers and servers",
                               .is_gauge = 1,
                               .labels = labels[k]};
    }
    h->budget = (struct fw_metric){.name = "fw_held_budget_bytes",
                                   .help = "Most bytes to be held, 0 for any",
                                   .is_gauge = 1};
    h->open = (struct fw_metric){.name = "fw_held_connections",
                                 .help = "Connections of callers, to "
                                         "upstreams and instances",
                                 .is_gauge = 1};
    h->most_open =
        (struct fw_metric){.name = "fw_held_connections_most",
                           .help = "Most of these connections, 0 for any",
                           .is_gauge = 1};
    h->waiting_bytes =
        (struct fw_metric){.name = "fw_held_waiting_bytes",
                           .help = "Bytes of requests not read by servers",
                           .is_gauge = 1};
    h->paused = (struct fw_metric){.name = "fw_held_paused",
                                   .help = "Connections that aren't read as "
                                           "they hold too much",
                                   .is_gauge = 1};
    h->pauses = (struct fw_metric){.name = "fw_held_pauses_total",
                                   .help = "Pauses of such connections"};
    h->rejected = (struct fw_metric){.name = "fw_held_rejected_total",
                                     .help = "Requests rejected as they could "
                                             "not be held"};
}

struct fw_held *
Fw_Held_New(void)
{
    struct fw_held *h = g_new0(struct fw_held, 1);

    init_metrics(h);
    Fw_List_Init(&h->waits);
    h->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return h;
}

void
Fw_Held_Free(struct fw_held *h)
{
    if (!h) {
        return;
    }
    g_warn_if_fail(h->n_accounts == 0 && h->use.used == 0);
    g_hash_table_destroy(h->servers);
    g_free(h);
}

void
Fw_Held_SetBudget(struct fw_held *h, size_t bytes)
{
    h->use.budget = bytes;
    h->budget.value = (int64_t)bytes;
}

void
Fw_Held_SetMostConnections(struct fw_held *h, int n)
{
    h->connections.most = n;
    h->most_open.value = n;
}

void
Fw_Held_CountConnection(struct fw_held *h, int change)
{
    if (h) {
        h->connections.open += change;
        h->open.value += change;
    }
}

void
Fw_Held_CountCaller(struct fw_held *h, int change)
{
    if (h) {
        h->connections.callers += change;
    }
}

const struct fw_held_connections *
Fw_Held_Connections(const struct fw_held *h)
{
    return &h->connections;
}

void
Fw_Held_AddMetrics(struct fw_held *h, struct fw_metrics *m)
{
    for (int k = 0; k < FW_HELD_KINDS; k++) {
        Fw_Metrics_Add(m, &h->kinds[k]);
    }
    Fw_Metrics_Add(m, &h->budget);
    Fw_Metrics_Add(m, &h->open);
    Fw_Metrics_Add(m, &h->most_open);
    Fw_Metrics_Add(m, &h->waiting_bytes);
    Fw_Metrics_Add(m, &h->paused);
    Fw_Metrics_Add(m, &h->pauses);
    Fw_Metrics_Add(m, &h->rejected);
}

const struct fw_held_use *
Fw_Held_Use(const struct fw_held *h)
{
    return &h->use;
}

size_t
Fw_Held_OfKind(const struct fw_held *h, enum fw_held_kind kind)
{
    return (size_t)h->kinds[kind].value;
}

int
Fw_Held_CountWaits(const struct fw_held *h)
{
    return (int)h->paused.value;
}

void
Fw_Held_NoteRejected(struct fw_held *h)
{
    if (h) {
        h->rejected.value++;
    }
}

void
Fw_Held_Resume(struct fw_held *h)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &h->waits) {
        struct fw_held_wait *w = FW_LIST_ENTRY(pos, struct fw_held_wait, link);

        if (Fw_HeldAccount_Room(w->account) >= w->need) {
            Fw_HeldWait_Cancel(w);
            w->resume(w->ctx);
        }
    }
}

size_t
Fw_Held_Waiting(const struct fw_held *h, const char *addr)
{
    const struct server_bytes *s = g_hash_table_lookup(h->servers, addr);

    return s ? s->waiting : 0;
}

int
Fw_Held_MayWait(const struct fw_held *h, const char *addr, size_t more)
{
    size_t limit = h ? Fw_HeldShare_ServerLimit(&h->use) : 0;

    return !h || (more <= limit && Fw_Held_Waiting(h, addr) <= limit - more);
}

static struct server_bytes *
get_or_add_server(struct fw_held *h, const char *addr)
{
    struct server_bytes *s = g_hash_table_lookup(h->servers, addr);

    if (!s) {
        s = g_new0(struct server_bytes, 1);
        g_hash_table_insert(h->servers, g_strdup(addr), s);
    }
    return s;
}

static void
remove_if_empty(struct fw_held *h, const char *addr,
                const struct server_bytes *s)
{
    if (!s->waiting && !s->given) {
        g_hash_table_remove(h->servers, addr);
    }
}

void
Fw_Held_SetWaiting(struct fw_held *h, const char *addr, size_t *counted,
                   size_t now)
{
    struct server_bytes *s;

    if (!h || now == *counted) {
        return;
    }
    s = get_or_add_server(h, addr);
    s->waiting = s->waiting - *counted + now;
    h->use.waiting = h->use.waiting - *counted + now;
    h->waiting_bytes.value = (int64_t)h->use.waiting;
    *counted = now;
    remove_if_empty(h, addr, s);
}

void
Fw_Held_SetServerBound(struct fw_held *h, size_t bytes)
{
    h->server_bound = bytes;
}

int
Fw_Held_MayGive(const struct fw_held *h, const char *addr, size_t bytes)
{
    const struct server_bytes *s;

    if (!h || !h->server_bound || !bytes) {
        return 1;
    }
    s = g_hash_table_lookup(h->servers, addr);
    return bytes <= h->server_bound &&
           (!s || s->given <= h->server_bound - bytes);
}

void
Fw_Held_SetGiven(struct fw_held *h, const char *addr, size_t *counted,
                 size_t now)
{
    struct server_bytes *s;

    if (!h || now == *counted) {
        return;
    }
    s = get_or_add_server(h, addr);
    s->given = s->given - *counted + now;
    *counted = now;
    remove_if_empty(h, addr, s);
}

struct fw_held_account *
Fw_HeldAccount_New(struct fw_held *h)
{
    struct fw_held_account *a;

    if (!h) {
        return NULL;
    }
    a = g_new0(struct fw_held_account, 1);
    a->held = h;
    a->refs = 1;
    h->n_accounts++;
    return a;
}

struct fw_held_account *
Fw_HeldAccount_Ref(struct fw_held_account *a)
{
    if (a) {
        a->refs++;
    }
    return a;
}

void
Fw_HeldAccount_Unref(struct fw_held_account *a)
{
    if (!a || --a->refs) {
        return;
    }
    a->held->n_accounts--;
    g_free(a);
}

void
Fw_HeldAccount_SetUnbounded(struct fw_held_account *a)
{
    if (a) {
        a->is_unbounded = 1;
    }
}

struct fw_held *
Fw_HeldAccount_Budget(const struct fw_held_account *a)
{
    return a ? a->held : NULL;
}

void
Fw_HeldAccount_Set(struct fw_held_account *a, enum fw_held_kind kind,
                   size_t *charged, size_t now)
{
    if (!a || now == *charged) {
        return;
    }
    g_return_if_fail(*charged <= a->kinds[kind]);
    a->kinds[kind] = a->kinds[kind] - *charged + now;
    if (kind != FW_HELD_CONNECTION) {
        a->bounded = a->bounded - *charged + now;
    }
    a->held->use.used = a->held->use.used - *charged + now;
    a->held->kinds[kind].value += (int64_t)now - (int64_t)*charged;
    *charged = now;
}

size_t
Fw_HeldAccount_Bytes(const struct fw_held_account *a)
{
    return a ? a->bounded : 0;
}

size_t
Fw_HeldAccount_Room(const struct fw_held_account *a)
{
    size_t limit;

    if (!a || a->is_unbounded) {
        return SIZE_MAX;
    }
    limit = Fw_HeldShare_Limit(&a->held->use);
    return limit > a->bounded ? limit - a->bounded : 0;
}

enum fw_held_admission
Fw_HeldAccount_Admit(const struct fw_held_account *a, size_t more)
{
    if (!a || a->is_unbounded) {
        return FW_HELD_ADMITTED;
    }
    return Fw_HeldShare_Admit(&a->held->use, a->bounded, more);
}

static void
charged_bytes_free(gpointer data)
{
    struct charged_bytes *b = data;

    Fw_HeldAccount_Set(b->account, b->kind, &b->charged, 0);
    Fw_HeldAccount_Unref(b->account);
    g_free(b->data);
    g_free(b);
}

GBytes *
Fw_HeldAccount_TakeBytes(struct fw_held_account *a, enum fw_held_kind kind,
                         void *data, size_t len, size_t charged)
{
    struct charged_bytes *b;

    if (!a) {
        return g_bytes_new_take(data, len);
    }
    b = g_new0(struct charged_bytes, 1);
    b->account = Fw_HeldAccount_Ref(a);
    b->kind = kind;
    b->charged = charged;
    b->data = data;
    return g_bytes_new_with_free_func(data, len, charged_bytes_free, b);
}

void
Fw_HeldAccount_Wait(struct fw_held_account *a, struct fw_held_wait *w)
{
    if (!a || w->account) {
        return;
    }
    w->account = Fw_HeldAccount_Ref(a);
    Fw_List_Append(&a->held->waits, &w->link);
    a->held->paused.value++;
    a->held->pauses.value++;
}

void
Fw_HeldWait_Cancel(struct fw_held_wait *w)
{
    if (!w->account) {
        return;
    }
    Fw_List_Remove(&w->link);
    w->account->held->paused.value--;
    Fw_HeldAccount_Unref(w->account);
    w->account = NULL;
}
