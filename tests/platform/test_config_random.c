/* Random configurations with texts around all former bounds. */
#include <string.h>

#include "platform/platform.h"
#include "tests/base/suite.h"

#define FW_RUNS 300
#define FW_ROUTES 24

/** struct drawn - a route as it was drawn. */
struct drawn {
    char *host;
    char *prefix;
    char *service;
    char *key;
};

static int
draw_length(GRand *rand)
{
    static const int bounds[] = {2,  16,  47,  48,  64, 95,
                                 96, 127, 128, 255, 511};
    int at = bounds[g_rand_int_range(rand, 0, G_N_ELEMENTS(bounds))];

    if (g_rand_int_range(rand, 0, 20) == 0) {
        return g_rand_int_range(rand, 500, 4000);
    }
    return at + g_rand_int_range(rand, -1, 3);
}

/* Texts that differ in their last letter only, if at all. */
static char *
draw_text(GRand *rand)
{
    char *text = g_strnfill((gsize)draw_length(rand), 'x');

    text[strlen(text) - 1] = (char)g_rand_int_range(rand, 'a', 'e');
    return text;
}

/* Often below the prefix of another route. */
static char *
draw_prefix(GRand *rand, const struct drawn *all, int n)
{
    g_autofree char *text = draw_text(rand);
    int below = g_rand_int_range(rand, -n - 1, MAX(n, 1));

    return g_strconcat(below < 0 || !n ? "/" : all[below].prefix, text, "/",
                       NULL);
}

static char *
to_config(const struct drawn *all)
{
    GString *out = g_string_new("{\"Version\":7,\"Routes\":[");

    for (int i = 0; i < FW_ROUTES; i++) {
        g_string_append_printf(out,
                               "%s{\"Name\":\"%s\",\"Host\":\"%s\","
                               "\"PathPrefix\":\"%s\",\"Kind\":\"unsafe\","
                               "\"Service\":\"%s\"}",
                               i ? "," : "", all[i].key, all[i].host,
                               all[i].prefix, all[i].service);
    }
    g_string_append(out, "],\"Tenants\":[");
    for (int i = 0; i < FW_ROUTES; i++) {
        g_string_append_printf(out,
                               "%s{\"Name\":\"t%s\",\"ApiKeys\":[\"%s\"]}",
                               i ? "," : "", all[i].key, all[i].key);
    }
    g_string_append(out, "]}");
    return g_string_free(out, FALSE);
}

/* Whether a longest prefix at this host that begins the path names @service.
 */
static int
is_named(const struct drawn *all, const char *host, const char *path,
         const char *service)
{
    size_t longest = 0;
    int is_named = 0;

    for (int i = 0; i < FW_ROUTES; i++) {
        size_t len = strlen(all[i].prefix);

        if (strcmp(all[i].host, host) != 0 || len < longest ||
            !g_str_has_prefix(path, all[i].prefix)) {
            continue;
        }
        is_named = (len == longest && is_named) ||
                   strcmp(all[i].service, service) == 0;
        longest = len;
    }
    return is_named;
}

static void
check_routes(const struct fw_rl_rules *r, const struct drawn *all)
{
    for (int i = 0; i < FW_ROUTES; i++) {
        g_autofree char *path = g_strconcat(all[i].prefix, "y", NULL);
        const struct fw_rl_route_rule *found =
            Fw_Rules_Route(r, all[i].host, path);

        ck_assert_ptr_nonnull(found);
        ck_assert(!found->is_unusable);
        ck_assert(is_named(all, all[i].host, path, found->targets[0].service));
        ck_assert_str_eq(Fw_Rules_Team(r, all[i].key)->name + 1, all[i].key);
    }
}

/* Guards against requests at a service that no longest prefix names. */
START_TEST(every_valid_part_is_in_force)
{
    GRand *rand = g_rand_new_with_seed((guint32)_i);

    for (int run = 0; run < FW_RUNS; run++) {
        struct drawn all[FW_ROUTES] = {0};
        g_autofree char *text = NULL;
        struct fw_rl_rules *r;
        const char *why;

        for (int i = 0; i < FW_ROUTES; i++) {
            all[i] = (struct drawn){.host = draw_text(rand),
                                    .prefix = draw_prefix(rand, all, i),
                                    .service = draw_text(rand),
                                    .key = draw_text(rand)};
        }
        text = to_config(all);
        r = Fw_Platform_ParseConfig(text, strlen(text), &why);
        ck_assert_msg(r != NULL, "%s", why);
        ck_assert_int_eq(r->n_skipped, 0);
        check_routes(r, all);
        Fw_Rules_Unref(r);
        for (int i = 0; i < FW_ROUTES; i++) {
            g_free(all[i].host);
            g_free(all[i].prefix);
            g_free(all[i].service);
            g_free(all[i].key);
        }
    }
    g_rand_free(rand);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("random configurations");

    tcase_add_loop_test(tc, every_valid_part_is_in_force, 0, 3);
    return Fw_Suite_Run(tc);
}
