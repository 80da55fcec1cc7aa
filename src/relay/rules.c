#include "relay/types.h"

#include <string.h>

#include "base/hash.h"

/* Texts of a configuration are allocated in blocks of at least this size. */
#define FW_STRING_BLOCK_BYTES 1024

uint64_t
Fw_Regions_OfDomain(const struct fw_rl_domain_regions *all, const char *domain)
{
    uint64_t hash = Fw_Hash_Str(domain);

    for (int i = 0; i < all->n; i++) {
        if (all->domain[i] == hash) {
            return all->region[i];
        }
    }
    return 0;
}

int
Fw_Regions_Allow(const struct fw_rl_regions *r, uint64_t region)
{
    for (int i = 0; i < r->n; i++) {
        if (r->hash[i] == region) {
            return 1;
        }
    }
    return !r->n;
}

struct fw_rl_rules *
Fw_Rules_New(void)
{
    struct fw_rl_rules *r = g_new0(struct fw_rl_rules, 1);

    r->refs = 1;
    r->routes = g_ptr_array_new_with_free_func(g_free);
    r->services = g_ptr_array_new_with_free_func(g_free);
    r->teams = g_ptr_array_new_with_free_func(g_free);
    r->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)g_ptr_array_unref);
    r->keys = g_hash_table_new(g_str_hash, g_str_equal);
    r->strings = g_string_chunk_new(FW_STRING_BLOCK_BYTES);
    r->blocks = g_ptr_array_new_with_free_func(g_free);
    return r;
}

struct fw_rl_rules *
Fw_Rules_Ref(struct fw_rl_rules *r)
{
    r->refs++;
    return r;
}

void
Fw_Rules_Unref(struct fw_rl_rules *r)
{
    if (!r || --r->refs) {
        return;
    }
    g_hash_table_destroy(r->by_host);
    g_hash_table_destroy(r->keys);
    g_ptr_array_unref(r->routes);
    g_ptr_array_unref(r->services);
    g_ptr_array_unref(r->teams);
    g_ptr_array_unref(r->blocks);
    g_string_chunk_free(r->strings);
    g_free(r);
}

const char *
Fw_Rules_String(struct fw_rl_rules *r, const char *text)
{
    return g_string_chunk_insert_const(r->strings, text);
}

void *
Fw_Rules_Alloc(struct fw_rl_rules *r, size_t bytes)
{
    void *block = g_malloc0(bytes);

    g_ptr_array_add(r->blocks, block);
    return block;
}

void
Fw_Rules_SetTarget(struct fw_rl_rules *r, struct fw_rl_route_rule *route,
                   const char *service)
{
    struct fw_rl_target *t = Fw_Rules_Alloc(r, sizeof(*t));

    t->service = Fw_Rules_String(r, service);
    t->weight = 1;
    route->targets = t;
    route->n_targets = 1;
}

void
Fw_Rules_NoteSkipped(struct fw_rl_rules *r, const char *list, guint at)
{
    if (!r->n_skipped++) {
        g_snprintf(r->first_skipped, sizeof(r->first_skipped), "%s[%u]", list,
                   at);
    }
}

struct fw_rl_route_rule *
Fw_Rules_AddRoute(struct fw_rl_rules *r)
{
    struct fw_rl_route_rule *route = g_new0(struct fw_rl_route_rule, 1);

    *route = (struct fw_rl_route_rule){.name = "", .host = "", .prefix = ""};
    g_ptr_array_add(r->routes, route);
    return route;
}

struct fw_rl_service_rule *
Fw_Rules_AddService(struct fw_rl_rules *r)
{
    struct fw_rl_service_rule *s = g_new0(struct fw_rl_service_rule, 1);

    *s = (struct fw_rl_service_rule){.name = "", .health = ""};
    g_ptr_array_add(r->services, s);
    return s;
}

struct fw_rl_team_rule *
Fw_Rules_AddTeam(struct fw_rl_rules *r)
{
    struct fw_rl_team_rule *t = g_new0(struct fw_rl_team_rule, 1);

    t->name = "";
    g_ptr_array_add(r->teams, t);
    return t;
}

void
Fw_Rules_AddKey(struct fw_rl_rules *r, const char *key,
                struct fw_rl_team_rule *t)
{
    g_hash_table_insert(r->keys, (gpointer)Fw_Rules_String(r, key), t);
}

static int
compare_prefix_length(gconstpointer a, gconstpointer b)
{
    const struct fw_rl_route_rule *const *x = a;
    const struct fw_rl_route_rule *const *y = b;

    return (int)strlen((*y)->prefix) - (int)strlen((*x)->prefix);
}

void
Fw_Rules_Index(struct fw_rl_rules *r)
{
    GHashTableIter it;
    gpointer at_host;

    for (guint i = 0; i < r->routes->len; i++) {
        struct fw_rl_route_rule *route = g_ptr_array_index(r->routes, i);
        GPtrArray *list = g_hash_table_lookup(r->by_host, route->host);

        if (!list) {
            list = g_ptr_array_new();
            g_hash_table_insert(r->by_host, (gpointer)route->host, list);
        }
        g_ptr_array_add(list, route);
    }
    g_hash_table_iter_init(&it, r->by_host);
    while (g_hash_table_iter_next(&it, NULL, &at_host)) {
        g_ptr_array_sort(at_host, compare_prefix_length);
    }
}

const struct fw_rl_route_rule *
Fw_Rules_Route(const struct fw_rl_rules *r, const char *host, const char *path)
{
    const GPtrArray *list = g_hash_table_lookup(r->by_host, host);

    for (guint i = 0; list && i < list->len; i++) {
        const struct fw_rl_route_rule *route = g_ptr_array_index(list, i);

        if (g_str_has_prefix(path, route->prefix)) {
            return route;
        }
    }
    return NULL;
}

const struct fw_rl_service_rule *
Fw_Rules_Service(const struct fw_rl_rules *r, const char *name)
{
    for (guint i = 0; i < r->services->len; i++) {
        const struct fw_rl_service_rule *s = g_ptr_array_index(r->services, i);

        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    return NULL;
}

const struct fw_rl_team_rule *
Fw_Rules_TeamNamed(const struct fw_rl_rules *r, const char *name)
{
    for (guint i = 0; i < r->teams->len; i++) {
        const struct fw_rl_team_rule *t = g_ptr_array_index(r->teams, i);

        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    return NULL;
}

const struct fw_rl_team_rule *
Fw_Rules_Team(const struct fw_rl_rules *r, const char *key)
{
    return g_hash_table_lookup(r->keys, key);
}

void
Fw_RequestInfo_Own(struct fw_rl_request_info *info)
{
    const char **texts[] = {&info->host, &info->path, &info->key};
    char *at;

    info->text_bytes = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        info->text_bytes += strlen(*texts[i] ? *texts[i] : "") + 1;
    }
    info->text = g_malloc(info->text_bytes);
    at = info->text;
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        char *end = g_stpcpy(at, *texts[i] ? *texts[i] : "");

        *texts[i] = at;
        at = end + 1;
    }
}

void
Fw_RequestInfo_Forget(struct fw_rl_request_info *info)
{
    if (info->text) {
        memset(info->text, 0, info->text_bytes);
    }
    g_clear_pointer(&info->text, g_free);
    info->text_bytes = 0;
    info->host = "";
    info->path = "";
    info->key = "";
}

void
Fw_ServerEntry_Clear(struct fw_rl_server_entry *e)
{
    g_free((char *)e->id);
    g_free((char *)e->service);
    g_free((char *)e->domain);
    *e = (struct fw_rl_server_entry){0};
}
