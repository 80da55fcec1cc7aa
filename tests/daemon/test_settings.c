/* Accepted settings files, and the error message of each kind of mistake. */
#include <check.h>
#include <glib/gstdio.h>
#include <string.h>

#include "daemon/settings.h"
#include "tests/base/suite.h"

#define FW_INSTANCE "[instance]\nname=one\ndomain=a\nregion=r\n"
#define FW_PLATFORM "[platform]\nlog=http://127.0.0.1:1/\nlist=http://h:2\n"
#define FW_SECRET "[peers]\nsecret=00112233445566778899aabbccddEEff\n"
#define FW_WHOLE FW_INSTANCE FW_PLATFORM FW_SECRET

static int
load(const char *text, struct fw_settings *s, char **error)
{
    char *path = NULL;
    int fd = g_file_open_tmp("fw-XXXXXX.ini", &path, NULL);
    int rc;

    ck_assert_int_ge(fd, 0);
    close(fd);
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    *error = NULL;
    rc = Fw_Settings_Load(path, s, error);
    if (*error) {
        ck_assert_msg(g_str_has_prefix(*error, path), "%s", *error);
        memmove(*error, *error + strlen(path),
                strlen(*error + strlen(path)) + 1);
    }
    g_unlink(path);
    g_free(path);
    return rc;
}

START_TEST(missing_keys_get_defaults)
{
    struct fw_settings s;
    char *error;

    ck_assert_msg(load(FW_WHOLE, &s, &error) == 0, "%s", error);
    ck_assert_str_eq(s.node.self.name, "one");
    ck_assert_str_eq(s.shell.log_url, "http://127.0.0.1:1");
    ck_assert_str_eq(s.shell.callers, "127.0.0.1:0");
    ck_assert_uint_eq(g_bytes_get_size(s.shell.secret), 16);
    ck_assert_uint_eq(s.shell.body_max, 4 << 20);
    ck_assert_int_eq(s.node.partitions, 16);
    ck_assert_int_eq(s.node.self.regions, 1);
    ck_assert_int_eq(s.node.route.policy, FW_POLICY_FULL);
    ck_assert_int_eq(s.node.route.ttft_us, 850 * FW_MSEC);
    Fw_Settings_Clear(&s);
}
END_TEST

START_TEST(given_values_override_defaults)
{
    struct fw_settings s;
    char *error;

    ck_assert_msg(load(FW_WHOLE "[policy]\npolicy=least-loaded\nitl-ms=50\n"
                                "[fleet]\ndrain-max-s=9\n"
                                "[listen]\ncallers=[::1]:8080\n"
                                "[upstreams]\nmax-conns-per-host=40\n",
                       &s, &error) == 0,
                  "%s", error);
    ck_assert_int_eq(s.node.route.policy, FW_POLICY_LEAST_LOADED);
    ck_assert_int_eq(s.node.route.itl_us, 50 * FW_MSEC);
    ck_assert_int_eq(s.node.drain_max_us, 9 * FW_SEC);
    ck_assert_str_eq(s.shell.callers, "[::1]:8080");
    ck_assert_int_eq(s.shell.max_conns_per_host, 40);
    Fw_Settings_Clear(&s);
}
END_TEST

static const struct {
    const char *text;
    const char *error;
} invalid[] = {
    {FW_PLATFORM FW_SECRET, ": [instance] name: is missing"},
    {FW_INSTANCE FW_SECRET, ": [platform] log: is missing"},
    {FW_INSTANCE FW_PLATFORM, ": [peers] secret: is missing"},
    {FW_WHOLE "[polcy]\n", ": [polcy] is not a known group"},
    {FW_WHOLE "[policy]\nttft=5\n", ": [policy] ttft: is not a known key"},
    {FW_WHOLE "[policy]\nttft-ms=5s\n",
     ": [policy] ttft-ms: must be a whole number from 1 to 3600000"},
    {FW_WHOLE "[policy]\nttft-ms=0\n",
     ": [policy] ttft-ms: must be a whole number from 1 to 3600000"},
    {FW_WHOLE "[policy]\npolicy=best\n",
     ": [policy] policy: must be random, least-loaded or full"},
    {FW_WHOLE "[listen]\ncallers=localhost:80\n",
     ": [listen] callers: must be an IP address with a port, like "
     "127.0.0.1:0"},
    {FW_WHOLE "[listen]\noperators=127.0.0.1:70000\n",
     ": [listen] operators: must be an IP address with a port, like "
     "127.0.0.1:0"},
    {FW_WHOLE "[listen]\npeers=0.0.0.0:0\n",
     ": [listen] peers: must be an address that other instances can connect "
     "to"},
    {FW_INSTANCE FW_SECRET "[platform]\nlog=ftp://x\nlist=http://h\n",
     ": [platform] log: must be a URL like http://127.0.0.1:8080"},
    {FW_INSTANCE FW_SECRET "[platform]\nlog=http://x?a=1\nlist=http://h\n",
     ": [platform] log: must be a URL like http://127.0.0.1:8080"},
    {FW_INSTANCE FW_PLATFORM "[peers]\nsecret=0011\n",
     ": [peers] secret: must be at least 32 hex digits, two per byte"},
    {FW_INSTANCE FW_PLATFORM
     "[peers]\nsecret=00112233445566778899aabbccddeexx\n",
     ": [peers] secret: must be hex digits"},
    {"[instance]\nname=a b\ndomain=a\nregion=r\n" FW_PLATFORM FW_SECRET,
     ": [instance] name: must be letters, digits, - and _ only"},
    {"[instance]\nname=\ndomain=a\nregion=r\n" FW_PLATFORM FW_SECRET,
     ": [instance] name: must be 1 to 47 characters"},
    {FW_WHOLE "[limits]\nbody-max=\xff\n",
     ": [limits] body-max: is not valid UTF-8"},
    {"name=one\n", ": Key file does not start with a group"},
};

START_TEST(errors_name_file_group_and_key)
{
    struct fw_settings s;
    char *error;

    ck_assert_int_ne(load(invalid[_i].text, &s, &error), 0);
    ck_assert_str_eq(error, invalid[_i].error);
    g_free(error);
}
END_TEST

START_TEST(missing_file_is_an_error)
{
    struct fw_settings s;
    char *error;

    ck_assert_int_ne(Fw_Settings_Load("/nonexistent.ini", &s, &error), 0);
    ck_assert_str_eq(error, "/nonexistent.ini: No such file or directory");
    g_free(error);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("settings");

    tcase_add_test(tc, missing_keys_get_defaults);
    tcase_add_test(tc, given_values_override_defaults);
    tcase_add_loop_test(tc, errors_name_file_group_and_key, 0,
                        G_N_ELEMENTS(invalid));
    tcase_add_test(tc, missing_file_is_an_error);
    return Fw_Suite_Run(tc);
}
