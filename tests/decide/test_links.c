/* Whether an instance takes its links to the upstreams for lost. */
#include <check.h>

#include "base/limits.h"
#include "decide/upstream_links.h"
#include "tests/base/suite.h"

#define FW_UPSTREAMS 20

/* Guards against taking one dead upstream for lost links. */
START_TEST(one_upstream_that_fails_is_not_enough)
{
    struct fw_upstream_links l = {0};

    for (int64_t t = FW_SEC; t < 5 * FW_SEC; t += 50 * FW_MSEC) {
        Fw_UpstreamLinks_NoteFailure(&l, 7, t - FW_MSEC, t);
    }
    ck_assert(!Fw_UpstreamLinks_AreLost(&l, FW_UPSTREAMS, 5 * FW_SEC));
    ck_assert(Fw_UpstreamLinks_AreLost(&l, 1, 5 * FW_SEC));
}
END_TEST

/* Guards against many dead upstreams beside one that responds. */
START_TEST(any_response_shows_that_the_links_work)
{
    struct fw_upstream_links l = {0};

    for (uint64_t k = 1; k < FW_UPSTREAMS; k++) {
        Fw_UpstreamLinks_NoteFailure(&l, k, FW_SEC, FW_SEC + FW_MSEC);
    }
    ck_assert(Fw_UpstreamLinks_AreLost(&l, FW_UPSTREAMS, 2 * FW_SEC));
    Fw_UpstreamLinks_NoteResponse(&l, 2 * FW_SEC);
    ck_assert(!Fw_UpstreamLinks_AreLost(&l, FW_UPSTREAMS, 2 * FW_SEC));
    ck_assert(!Fw_UpstreamLinks_AreSuspect(&l, 3 * FW_SEC));
}
END_TEST

/* Guards against calls from before a partition's end that fail after it. */
START_TEST(a_call_from_before_the_last_response_says_nothing)
{
    struct fw_upstream_links l = {0};

    Fw_UpstreamLinks_NoteResponse(&l, 2 * FW_SEC);
    for (uint64_t k = 1; k < FW_UPSTREAMS; k++) {
        Fw_UpstreamLinks_NoteFailure(&l, k, FW_SEC, 3 * FW_SEC);
    }
    ck_assert(!Fw_UpstreamLinks_AreLost(&l, FW_UPSTREAMS, 3 * FW_SEC));
}
END_TEST

/* Guards against a moment in which several upstreams reset connections. */
START_TEST(a_moment_without_responses_is_not_enough)
{
    struct fw_upstream_links l = {0};

    Fw_UpstreamLinks_NoteResponse(&l, FW_SEC);
    for (uint64_t k = 1; k < FW_UPSTREAMS; k++) {
        Fw_UpstreamLinks_NoteFailure(&l, k, FW_SEC, FW_SEC + 10 * FW_MSEC);
    }
    ck_assert(
        !Fw_UpstreamLinks_AreLost(&l, FW_UPSTREAMS, FW_SEC + 200 * FW_MSEC));
    ck_assert(Fw_UpstreamLinks_AreSuspect(&l, FW_SEC + 200 * FW_MSEC));
    ck_assert(
        Fw_UpstreamLinks_AreLost(&l, FW_UPSTREAMS, FW_SEC + 310 * FW_MSEC));
}
END_TEST

/* Guards against upstreams that have ended being taken for lost links. */
START_TEST(an_upstream_that_is_gone_says_nothing)
{
    struct fw_upstream_links l = {0};

    Fw_UpstreamLinks_NoteFailure(&l, 1, FW_SEC, FW_SEC);
    Fw_UpstreamLinks_NoteFailure(&l, 2, FW_SEC, FW_SEC);
    ck_assert(Fw_UpstreamLinks_AreLost(&l, 2, 2 * FW_SEC));
    Fw_UpstreamLinks_Forget(&l, 1);
    ck_assert(!Fw_UpstreamLinks_AreLost(&l, 2, 2 * FW_SEC));
    ck_assert(Fw_UpstreamLinks_AreSuspect(&l, 2 * FW_SEC));
    Fw_UpstreamLinks_Forget(&l, 2);
    ck_assert(!Fw_UpstreamLinks_AreSuspect(&l, 2 * FW_SEC));
}
END_TEST

/* Guards against requests that wait for servers none of which can be tried. */
START_TEST(upstreams_without_connections_are_out_of_reach)
{
    static const struct {
        struct fw_upstream_reach reach;
        int is_none;
    } cases[] = {
        {{.n = 0, .n_unconnected = 0}, 0},
        {{.n = 2, .n_unconnected = 0}, 0},
        {{.n = 2, .n_unconnected = 1}, 0},
        {{.n = 2, .n_unconnected = 2}, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ck_assert_int_eq(Fw_UpstreamReach_IsNone(&cases[i].reach),
                         cases[i].is_none);
    }
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("upstream links");

    tcase_add_test(tc, one_upstream_that_fails_is_not_enough);
    tcase_add_test(tc, any_response_shows_that_the_links_work);
    tcase_add_test(tc, a_call_from_before_the_last_response_says_nothing);
    tcase_add_test(tc, a_moment_without_responses_is_not_enough);
    tcase_add_test(tc, an_upstream_that_is_gone_says_nothing);
    tcase_add_test(tc, upstreams_without_connections_are_out_of_reach);
    return Fw_Suite_Run(tc);
}
