/*
 * Servers that send an answer a second time, at the point where the answer to
 * the next request on that connection is expected.
 */
#include <string.h>

#include "tests/relayd/raw_server.h"

#define FW_REJECTED "503 Busy"
#define FW_NOT_RUN "Request-Id: r1\r\nNot-Executed: 1\r\n"

static void
send_answer(struct rig_conn *to, const char *status, const char *fields,
            const char *body)
{
    g_autofree char *text =
        g_strdup_printf("HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s",
                        status, fields, strlen(body), body);

    Fw_RigConn_Send(to, text, -1);
}

/** struct next_try - wait for the request's next try. */
struct next_try {
    struct raw_server *raw;
    struct rig_conn *first;
    struct rig_conn *caller;
    gsize n_received;
};

static int
is_tried_or_answered(void *ctx)
{
    struct next_try *t = ctx;

    return t->first->received->len > t->n_received ||
           t->raw->rig->conns->len > t->raw->n_seen ||
           t->caller->received->len;
}

/*
 * The connection that the next try comes on, which may be @first; NULL if the
 * caller is answered instead.
 */
static struct rig_conn *
wait_for_try(struct raw_server *raw, struct rig_conn *first,
             struct rig_conn *caller)
{
    struct next_try t = {.raw = raw,
                         .first = first,
                         .caller = caller,
                         .n_received = first->received->len};

    Fw_Rig_RunUntil(is_tried_or_answered, &t);
    if (caller->received->len) {
        return NULL;
    }
    return first->received->len > t.n_received ? first
                                               : Fw_RawServer_NextRequest(raw);
}

static int
is_status(const struct rig_conn *caller, const char *status)
{
    return strstr(caller->received->str, status) != NULL;
}

/* Guards against a second run after a copy of the rejection of the first. */
START_TEST(a_copy_of_a_rejection_is_not_the_answer_to_the_next_try)
{
    struct router_env env;
    struct raw_server raw;
    struct rig_conn *caller;
    struct rig_conn *first;
    struct rig_conn *second;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    caller = Fw_RouterEnv_SendRequest(&env, "POST /order/x", "");
    first = Fw_RawServer_NextRequest(&raw);
    send_answer(first, FW_REJECTED, FW_NOT_RUN, "");
    second = wait_for_try(&raw, first, caller);
    ck_assert_ptr_nonnull(second);
    if (second == first) {
        send_answer(first, FW_REJECTED, FW_NOT_RUN, ""); /* the copy */
    }
    send_answer(second, "200 OK", "Request-Id: r1\r\nServer-Stamp: raw.1\r\n",
                "run");
    Fw_RigConn_Expect(caller, "\r\n\r\nrun");
    ck_assert(is_status(caller, "HTTP/1.1 200 "));
    ck_assert_ptr_ne(first, second);
    Fw_RigConn_Close(caller);
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("second_answers");

    tcase_add_test(tc,
                   a_copy_of_a_rejection_is_not_the_answer_to_the_next_try);
    return Fw_Suite_Run(tc);
}
