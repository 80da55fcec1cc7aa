/* Connections to upstreams that wait for their next request. */
#include "http/kept.h"

#include "base/limits.h"
#include "base/list.h"

/* Kept connections to one upstream. */
#define FW_IDLE_MAX 16

/** struct idle - a kept connection; @until_us: when it is closed at last. */
struct idle {
    struct fw_list link; /* of its upstream, newest last */
    struct fw_conn *conn;
    int64_t since_us;
    int64_t until_us;
};

static void
idle_free(struct idle *i)
{
    Fw_List_Remove(&i->link);
    Fw_Conn_Free(i->conn, 0);
    g_free(i);
}

/* Bytes on an idle connection answer nothing that was asked: close it. */
static void
idle_data(void *ctx)
{
    idle_free(ctx);
}

static void
idle_closed(void *ctx, int err)
{
    (void)err;
    idle_free(ctx);
}

static const struct fw_conn_ops idle_ops = {
    .data = idle_data,
    .closed = idle_closed,
};

static void
free_list(gpointer data)
{
    struct fw_list *l = data;

    while (!Fw_List_Empty(l)) {
        idle_free(FW_LIST_ENTRY(l->next, struct idle, link));
    }
    g_free(l);
}

GHashTable *
Fw_Kept_New(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
}

static struct fw_list *
list_of(GHashTable *kept, const char *addr)
{
    struct fw_list *l = g_hash_table_lookup(kept, addr);

    if (!l) {
        l = g_new0(struct fw_list, 1);
        Fw_List_Init(l);
        g_hash_table_insert(kept, g_strdup(addr), l);
    }
    return l;
}

static int
count(const struct fw_list *l)
{
    const struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, l) {
        n++;
    }
    return n;
}

void
Fw_Kept_Put(GHashTable *kept, const char *addr, struct fw_conn *conn,
            int64_t allowed_us)
{
    struct fw_list *l = list_of(kept, addr);
    struct idle *i;

    if (count(l) >= FW_IDLE_MAX) {
        Fw_Conn_Free(conn, 0);
        return;
    }
    i = g_new0(struct idle, 1);
    i->conn = conn;
    i->since_us = Fw_Conn_Now();
    i->until_us = i->since_us + allowed_us;
    Fw_Conn_SetOwner(conn, &idle_ops, i);
    Fw_List_Append(l, &i->link);
}

/* The connection that was used last is the least likely to be stale. */
struct fw_conn *
Fw_Kept_Take(GHashTable *kept, const char *addr, int64_t reuse_us)
{
    struct fw_list *l = g_hash_table_lookup(kept, addr);
    int64_t now = Fw_Conn_Now();
    struct fw_conn *conn;
    struct idle *i;

    if (!l || Fw_List_Empty(l)) {
        return NULL;
    }
    i = FW_LIST_ENTRY(l->prev, struct idle, link);
    if (now - i->since_us >= reuse_us || now >= i->until_us) {
        return NULL;
    }
    conn = i->conn;
    Fw_List_Remove(&i->link);
    g_free(i);
    return conn;
}

void
Fw_Kept_Tick(GHashTable *kept, int64_t now_us)
{
    GHashTableIter it;
    gpointer l;

    g_hash_table_iter_init(&it, kept);
    while (g_hash_table_iter_next(&it, NULL, &l)) {
        struct fw_list *pos;
        struct fw_list *tmp;

        FW_LIST_EACH_SAFE (pos, tmp, (struct fw_list *)l) {
            struct idle *i = FW_LIST_ENTRY(pos, struct idle, link);

            if (now_us >= i->until_us) {
                idle_free(i);
            }
        }
        if (Fw_List_Empty(l)) {
            g_hash_table_iter_remove(&it);
        }
    }
}
