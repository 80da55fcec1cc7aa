#include "http/idle_conns.h"

#include "base/limits.h"
#include "base/list.h"

/* Most idle connections per address. */
#define FW_IDLE_CONNS_PER_ADDR_MAX 16

/** struct idle_conn - an idle connection, closed at @expires_us. */
struct idle_conn {
    struct fw_list link; /* of its address, newest last */
    struct fw_conn *conn;
    int64_t idle_since_us;
    int64_t expires_us;
};

static void
idle_conn_free(struct idle_conn *i)
{
    Fw_List_Remove(&i->link);
    Fw_Conn_Free(i->conn, 0);
    g_free(i);
}

/* Unsolicited data on an idle connection: no request may read it. */
static void
on_idle_data(void *ctx)
{
    idle_conn_free(ctx);
}

static void
on_idle_closed(void *ctx, int err)
{
    (void)err;
    idle_conn_free(ctx);
}

static const struct fw_conn_ops idle_conn_ops = {
    .data = on_idle_data,
    .closed = on_idle_closed,
};

static void
free_list(gpointer data)
{
    struct fw_list *l = data;

    while (!Fw_List_Empty(l)) {
        idle_conn_free(FW_LIST_ENTRY(l->next, struct idle_conn, link));
    }
    g_free(l);
}

GHashTable *
Fw_IdleConns_New(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
}

static struct fw_list *
get_or_add_list(GHashTable *conns, const char *addr)
{
    struct fw_list *l = g_hash_table_lookup(conns, addr);

    if (!l) {
        l = g_new0(struct fw_list, 1);
        Fw_List_Init(l);
        g_hash_table_insert(conns, g_strdup(addr), l);
    }
    return l;
}

static int
list_length(const struct fw_list *l)
{
    const struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, l) {
        n++;
    }
    return n;
}

void
Fw_IdleConns_Put(GHashTable *conns, const char *addr, struct fw_conn *conn,
                 int64_t max_idle_us)
{
    struct fw_list *l = get_or_add_list(conns, addr);
    struct idle_conn *i;

    if (list_length(l) >= FW_IDLE_CONNS_PER_ADDR_MAX) {
        Fw_Conn_Free(conn, 0);
        return;
    }
    i = g_new0(struct idle_conn, 1);
    i->conn = conn;
    i->idle_since_us = Fw_Conn_NowUs();
    i->expires_us = i->idle_since_us + max_idle_us;
    Fw_Conn_SetOwner(conn, &idle_conn_ops, i);
    Fw_List_Append(l, &i->link);
}

/*
 * The connection used last is the least likely to be stale. What the kernel
 * holds for one belongs to no request, or says that the upstream has closed
 * it: a loop that was held up has not read that yet.
 *
 * A request without an id that finds none in the state that it needs leaves
 * another such connection behind. One is closed in exchange, as the idle ones
 * of callers or probes without ids would take all that the upstream or this
 * process may have open.
 */
struct fw_conn *
Fw_IdleConns_Take(GHashTable *conns, const char *addr, int64_t idle_limit_us,
                  const uint64_t *tag)
{
    struct fw_list *l = g_hash_table_lookup(conns, addr);
    struct fw_list *pos = l ? l->prev : NULL;
    int64_t now = Fw_Conn_NowUs();
    struct idle_conn *passed_over = NULL;

    while (pos != l) {
        struct idle_conn *i = FW_LIST_ENTRY(pos, struct idle_conn, link);
        struct fw_conn *conn = i->conn;

        pos = pos->prev;
        if (now - i->idle_since_us >= idle_limit_us || now >= i->expires_us) {
            break;
        }
        if (tag && !Fw_SentTags_MayAdd(Fw_Conn_SentTags(conn), *tag)) {
            passed_over = i;
            continue;
        }
        if (!Fw_Conn_IsQuiet(conn)) {
            idle_conn_free(i);
            continue;
        }
        Fw_List_Remove(&i->link);
        g_free(i);
        return conn;
    }
    if (passed_over && !*tag) {
        idle_conn_free(passed_over);
    }
    return NULL;
}

void
Fw_IdleConns_CloseExpired(GHashTable *conns, int64_t now_us)
{
    GHashTableIter it;
    gpointer l;

    g_hash_table_iter_init(&it, conns);
    while (g_hash_table_iter_next(&it, NULL, &l)) {
        struct fw_list *pos;
        struct fw_list *tmp;

        FW_LIST_EACH_SAFE (pos, tmp, (struct fw_list *)l) {
            struct idle_conn *i = FW_LIST_ENTRY(pos, struct idle_conn, link);

            if (now_us >= i->expires_us) {
                idle_conn_free(i);
            }
        }
        if (Fw_List_Empty(l)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* The first of each list has been idle longest. */
void
Fw_IdleConns_CloseOne(GHashTable *conns)
{
    struct idle_conn *first = NULL;
    GHashTableIter it;
    gpointer l;

    g_hash_table_iter_init(&it, conns);
    while (g_hash_table_iter_next(&it, NULL, &l)) {
        struct fw_list *list = l;
        struct idle_conn *i;

        if (Fw_List_Empty(list)) {
            continue;
        }
        i = FW_LIST_ENTRY(list->next, struct idle_conn, link);
        if (!first || i->expires_us < first->expires_us) {
            first = i;
        }
    }
    if (first) {
        idle_conn_free(first);
    }
}
