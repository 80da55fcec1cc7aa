/*
 * Datagrams of other instances that break the form. Anyone who reaches the
 * port can send them; none may change or cost anything.
 */
#include <check.h>
#include <errno.h>

#include "relay/relay.h"
#include "tests/base/suite.h"

/*
 * A peer of another version, or something that isn't one, sends bytes that
 * claim more than they hold. The library would allocate what they claim: the
 * operator sees an instance killed for its memory.
 */
static const struct {
    const char *name;
    const char *bytes;
    size_t len;
} broken[] = {
    {"nothing", "", 0},
    {"an array that claims gigabytes", "\xdd\xff\xff\xff\xff", 5},
    {"a map that claims gigabytes", "\xdf\xff\xff\xff\xff", 5},
    {"such an array within a digest", "\x99\x01\xdd\xff\xff\xff\xff", 7},
    {"a text longer than the datagram", "\x99\x01\xdb\xff\xff\xff\xff", 7},
    {"an array that is cut off", "\x99\x01", 2},
    {"no array", "\x01", 1},
    {"a digest of another form", "\x99\x09\xa1n\x01\x01\x00\x90\x90\x90\x90",
     11},
    {"a digest without a name", "\x99\x01\xa0\x01\x01\x00\x90\x90\x90\x90",
     10},
    {"a digest whose rows are too short",
     "\x99\x01\xa1n\x01\x01\x00\x91\x91\x01\x90\x90\x91\x94\x01\x00\x00\x00",
     18},
    {"a question without its number", "\x92\x02\x01", 3},
    {"an answer with a text in it", "\x95\x03\x01\x01\xa1n\x00", 7},
};

START_TEST(a_broken_datagram_costs_nothing)
{
    struct fw_relay_opts opts = {
        .name = "n1", .boot = 1, .retry_window_us = 1};
    struct fw_relay *r = Fw_Relay_New(&opts, FW_SEC);
    GByteArray *reply = g_byte_array_new();
    GPtrArray *members = g_ptr_array_new();

    ck_assert_msg(Fw_Relay_ReadMessage(r, "127.0.0.9:1", broken[_i].bytes,
                                       broken[_i].len, FW_SEC,
                                       reply) == -EBADMSG,
                  "%s is taken", broken[_i].name);
    Fw_Relay_Members(r, members);
    ck_assert_uint_eq(members->len, 0);
    ck_assert_uint_eq(reply->len, 0);
    g_ptr_array_unref(members);
    g_byte_array_unref(reply);
    Fw_Relay_Free(r);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay digests");

    tcase_add_loop_test(tc, a_broken_datagram_costs_nothing, 0,
                        G_N_ELEMENTS(broken));
    return Fw_Suite_Run(tc);
}
