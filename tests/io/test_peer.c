/* Messages between instances, over loopback and from a raw peer. */
#include <check.h>
#include <string.h>

#include "base/fault.h"
#include "io/peer.h"
#include "io/peer_auth.h"
#include "io/peer_conn.h"
#include "tests/base/suite.h"
#include "tests/io/peer_fixture.h"

START_TEST(messages_go_both_ways_on_one_connection)
{
    struct peer_fixture one;
    struct peer_fixture two;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_Start(&two, "two", 9, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_SendPing(&one, &two);
    Fw_PeerFixture_SendPing(&one, &two);
    Fw_PeerFixture_SendPing(&one, &two);
    Fw_Rig_ExpectEvent(&two.core, "peer one boot=7 area=1\n"
                                  "peer one boot=7 area=1\n"
                                  "peer one boot=7 area=1\n");
    Fw_PeerFixture_SendPing(&two, &one);
    Fw_PeerFixture_SendConfig(&two, &one, 300000);
    Fw_Rig_ExpectEvent(&one.core,
                       "peer two boot=9 area=1\npeer two boot=9 area=6\n");
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_connections"), 1);
    ck_assert_int_eq(Fw_PeerFixture_Metric(&two, "fw_peer_connections"), 1);
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_messages_out_total"),
                     3);
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_bytes_in_total"),
                     Fw_PeerFixture_Metric(&two, "fw_peer_bytes_out_total"));
    Fw_PeerFixture_Stop(&one);
    Fw_PeerFixture_Stop(&two);
}
END_TEST

/*
 * A process without the fleet's secret must neither deliver messages to an
 * instance nor receive any.
 */
START_TEST(peers_without_the_secret_are_rejected)
{
    struct peer_fixture one;
    struct peer_fixture two;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_Start(&two, "two", 9, "another secret!!");
    Fw_PeerFixture_SendPing(&one, &two);
    Fw_PeerFixture_ExpectMetric(&one, "fw_peer_refused_total", 1);
    Fw_Rig_Settle();
    ck_assert_str_eq(one.core.events->str, "");
    ck_assert_str_eq(two.core.events->str, "");
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_dropped_total"), 1);
    Fw_PeerFixture_SendPing(&one, &two);
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_dropped_total"), 2);
    Fw_PeerFixture_Stop(&one);
    Fw_PeerFixture_Stop(&two);
}
END_TEST

/* The address of a peer may be reassigned to another instance. */
START_TEST(unexpected_instance_receives_nothing)
{
    struct peer_fixture one;
    struct peer_fixture two;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_Start(&two, "two", 9, FW_PEER_FIXTURE_SECRET);
    g_strlcpy(two.self.name, "three", sizeof(two.self.name));
    Fw_PeerFixture_SendPing(&one, &two);
    Fw_PeerFixture_ExpectMetric(&one, "fw_peer_refused_total", 1);
    Fw_Rig_Settle();
    ck_assert_str_eq(two.core.events->str, "");
    Fw_PeerFixture_Stop(&one);
    Fw_PeerFixture_Stop(&two);
}
END_TEST

/** struct raw_peer - a peer that knows the secret but sends raw frames. */
struct raw_peer {
    struct rig_conn *conn;
    struct fw_peer_id self_id;
    struct fw_peer_id peer_id;
    GBytes *secret;
    uint8_t key[FW_PROOF_SIZE];
};

static void
send_frame(struct rig_conn *c, const uint8_t *data, size_t len)
{
    uint32_t be = GUINT32_TO_BE((uint32_t)len);

    Fw_RigConn_Send(c, (const char *)&be, 4);
    Fw_RigConn_Send(c, (const char *)data, (gssize)len);
}

static void
send_hello(struct rig_conn *c, const struct fw_peer_hello *hello)
{
    GByteArray *text = g_byte_array_new();

    Fw_PeerAuth_EncodeHello(text, hello);
    send_frame(c, text->data, text->len);
    g_byte_array_unref(text);
}

static int
has_frame(void *ctx)
{
    const struct rig_conn *c = ctx;
    uint32_t be;

    if (c->received->len < 4) {
        return 0;
    }
    memcpy(&be, c->received->str, 4);
    return c->received->len >= 4 + GUINT32_FROM_BE(be);
}

static void
raw_open(struct raw_peer *r, const struct peer_fixture *to)
{
    struct fw_peer_hello hello = {.kind = FW_HELLO_DIAL};
    struct fw_peer_hello got;

    r->secret = g_bytes_new(FW_PEER_FIXTURE_SECRET, 16);
    r->conn = Fw_RigConn_Open(to->addr);
    Fw_PeerAuth_InitId("raw", 3, &r->self_id);
    hello.id = r->self_id;
    send_hello(r->conn, &hello);
    Fw_Rig_RunUntil(has_frame, r->conn);
    ck_assert_int_eq(Fw_PeerAuth_DecodeHello(
                         (uint8_t *)r->conn->received->str + 4,
                         r->conn->received->len - 4, FW_HELLO_ACCEPT, &got),
                     0);
    r->peer_id = got.id;
    hello.kind = FW_HELLO_PROVE;
    Fw_PeerAuth_Derive(r->secret, FW_LABEL_DIALER_PROOF, &r->self_id,
                       &r->peer_id, hello.proof);
    Fw_PeerAuth_Derive(r->secret, FW_LABEL_DIALER_KEY, &r->self_id,
                       &r->peer_id, r->key);
    send_hello(r->conn, &hello);
}

static void
raw_close(struct raw_peer *r)
{
    Fw_RigConn_Close(r->conn);
    g_bytes_unref(r->secret);
}

/* Writes @payload and its MAC to @out; returns the length. */
static size_t
make_frame(const struct raw_peer *r, uint64_t seq, const void *payload,
           size_t len, uint8_t *out)
{
    memcpy(out, payload, len);
    Fw_PeerAuth_Mac(r->key, seq, payload, len, out + len);
    return len + FW_FRAME_MAC_SIZE;
}

static size_t
pack_ping(char *out)
{
    struct fw_msg msg = {.area = FW_AREA_FLEET,
                         .u.fleet = {.kind = FW_FLEET_PING, .seq = 5}};
    msgpack_sbuffer buf;
    msgpack_packer pk;
    size_t len;

    msgpack_sbuffer_init(&buf);
    msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, &msg);
    len = buf.size;
    memcpy(out, buf.data, len);
    msgpack_sbuffer_destroy(&buf);
    return len;
}

/*
 * Guards against tampering on the network, such as a replay that grants tokens
 * twice. The first frame is valid; the second must close the connection.
 */
enum tampering {
    FW_TAMPER_REPLAY,
    FW_TAMPER_OMIT,
    FW_TAMPER_PAYLOAD,
    FW_TAMPER_MAC,
    FW_TAMPER_TRUNCATE
};

START_TEST(tampering_closes_the_connection)
{
    struct peer_fixture one;
    struct raw_peer r;
    char text[256];
    uint8_t frame[300];
    size_t len;
    size_t n;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    raw_open(&r, &one);
    len = pack_ping(text);
    n = make_frame(&r, 0, text, len, frame);
    send_frame(r.conn, frame, n);
    Fw_Rig_ExpectEvent(&one.core, "peer raw boot=3 area=1\n");
    n = make_frame(&r,
                   _i == FW_TAMPER_REPLAY ? 0
                   : _i == FW_TAMPER_OMIT ? 2
                                          : 1,
                   text, len, frame);
    frame[0] ^= _i == FW_TAMPER_PAYLOAD;
    frame[n - 1] ^= _i == FW_TAMPER_MAC;
    send_frame(r.conn, frame, _i == FW_TAMPER_TRUNCATE ? 5 : n);
    Fw_RigConn_ExpectEof(r.conn);
    ck_assert_str_eq(one.core.events->str, "peer raw boot=3 area=1\n");
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_refused_total"), 1);
    raw_close(&r);
    Fw_PeerFixture_Stop(&one);
}
END_TEST

/* Shows that the sequence number is what prevents a replay. */
START_TEST(injected_fault_accepts_a_replayed_frame)
{
    struct peer_fixture one;
    struct raw_peer r;
    char text[256];
    uint8_t frame[300];
    size_t n;

    Fw_Fault_Active = "frame-number-ignored";
    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    raw_open(&r, &one);
    n = make_frame(&r, 0, text, pack_ping(text), frame);
    send_frame(r.conn, frame, n);
    send_frame(r.conn, frame, n);
    Fw_Rig_ExpectEvent(&one.core,
                       "peer raw boot=3 area=1\npeer raw boot=3 area=1\n");
    raw_close(&r);
    Fw_PeerFixture_Stop(&one);
}
END_TEST

/* Authentic frames with malformed payloads, as from a faulty peer. */
static const struct {
    const char *payload;
    size_t len;
} malformed_payloads[] = {
    {"\xc1", 1},         {"\x92\x01", 2},     {"\xdd\xff\xff\xff\xff", 5},
    {"\x92\x01\x05", 3}, {"\x92\x63\x90", 3}, {"\x91\x91\x91\x91", 4},
    {"text", 4},
};

START_TEST(malformed_payload_closes_the_connection)
{
    struct peer_fixture one;
    struct raw_peer r;
    uint8_t frame[64];
    size_t n;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    raw_open(&r, &one);
    n = make_frame(&r, 0, malformed_payloads[_i].payload,
                   malformed_payloads[_i].len, frame);
    send_frame(r.conn, frame, n);
    Fw_RigConn_ExpectEof(r.conn);
    ck_assert_str_eq(one.core.events->str, "");
    raw_close(&r);
    Fw_PeerFixture_Stop(&one);
}
END_TEST

/* Only configuration messages may exceed FW_FRAME_MAX_BYTES. */
START_TEST(large_frame_without_config_closes_the_connection)
{
    struct peer_fixture one;
    struct raw_peer r;
    char text[256];
    size_t len = pack_ping(text);
    GByteArray *many = g_byte_array_new();
    uint8_t *frame;
    size_t n;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    raw_open(&r, &one);
    while (many->len <= FW_FRAME_MAX_BYTES) {
        g_byte_array_append(many, (guint8 *)text, (guint)len);
    }
    frame = g_malloc(many->len + FW_FRAME_MAC_SIZE);
    n = make_frame(&r, 0, many->data, many->len, frame);
    send_frame(r.conn, frame, n);
    Fw_RigConn_ExpectEof(r.conn);
    ck_assert_str_eq(one.core.events->str, "");
    g_free(frame);
    g_byte_array_unref(many);
    raw_close(&r);
    Fw_PeerFixture_Stop(&one);
}
END_TEST

/* Invalid input before authentication; other peers must not be affected. */
static const struct {
    const char *text;
    size_t len;
} invalid_hellos[] = {
    {"GET / HTTP/1.1\r\n\r\n", 18},
    {"\0\0\0\0", 4},
    {"\xff\xff\xff\xff", 4},
    {"\0\0\0\4FW1d", 8},
    {"\0\0\0\4FW1p", 8},
    {"\0\0\0\35FW1d12345678abcdefghijklmnop\0", 33},
    {"\0\0\0\36FW1d12345678abcdefghijklmnop\1\n", 34},
    {"\0\0\0\35FW1d12345678abcdefghijklmnop\377", 33},
    {"\0\0\0\40FW1d12345678abcdefghijklmnop\3one", 36},
};

START_TEST(invalid_hello_closes_the_connection)
{
    struct peer_fixture one;
    struct peer_fixture two;
    struct rig_conn *c;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_Start(&two, "two", 9, FW_PEER_FIXTURE_SECRET);
    c = Fw_RigConn_Open(one.addr);
    Fw_RigConn_Send(c, invalid_hellos[_i].text,
                    (gssize)invalid_hellos[_i].len);
    Fw_RigConn_ExpectEof(c);
    ck_assert_str_eq(c->received->str, "");
    Fw_PeerFixture_SendPing(&two, &one);
    Fw_Rig_ExpectEvent(&one.core, "peer two boot=9 area=1\n");
    Fw_RigConn_Close(c);
    Fw_PeerFixture_Stop(&one);
    Fw_PeerFixture_Stop(&two);
}
END_TEST

/* Guards against unbounded memory for a peer that stops reading. */
START_TEST(peer_queue_is_bounded)
{
    struct peer_fixture one;
    struct peer_fixture two = {.self = {.name = "two"}};
    struct rig_server *stalled = Fw_RigServer_New();

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    g_strlcpy(two.addr, stalled->url + strlen("http://"), sizeof(two.addr));
    for (int i = 0; i < 10; i++) {
        Fw_PeerFixture_SendConfig(&one, &two, 100000);
    }
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_dropped_total"), 5);
    Fw_PeerFixture_SendConfig(&one, &two, 2000000);
    ck_assert_int_eq(Fw_PeerFixture_Metric(&one, "fw_peer_dropped_total"), 6);
    Fw_PeerFixture_Stop(&one);
    Fw_RigServer_Free(stalled);
}
END_TEST

/* A restarted instance has the same name, but a new boot and address. */
START_TEST(restarted_peer_is_reconnected)
{
    struct peer_fixture one;
    struct peer_fixture two;

    Fw_PeerFixture_Start(&one, "one", 7, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_Start(&two, "two", 9, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_SendPing(&one, &two);
    Fw_Rig_ExpectEvent(&two.core, "peer one");
    Fw_PeerFixture_Stop(&two);
    Fw_PeerFixture_Start(&two, "two", 10, FW_PEER_FIXTURE_SECRET);
    Fw_PeerFixture_SendPing(&one, &two);
    Fw_Rig_ExpectEvent(&two.core, "peer one boot=7 area=1\n");
    Fw_PeerFixture_SendPing(&two, &one);
    Fw_Rig_ExpectEvent(&one.core, "peer two boot=10 area=1\n");
    Fw_PeerFixture_Stop(&one);
    Fw_PeerFixture_Stop(&two);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("peer");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, messages_go_both_ways_on_one_connection);
    tcase_add_test(tc, peers_without_the_secret_are_rejected);
    tcase_add_test(tc, unexpected_instance_receives_nothing);
    tcase_add_loop_test(tc, tampering_closes_the_connection, 0, 5);
    tcase_add_test(tc, injected_fault_accepts_a_replayed_frame);
    tcase_add_loop_test(tc, malformed_payload_closes_the_connection, 0,
                        G_N_ELEMENTS(malformed_payloads));
    tcase_add_test(tc, large_frame_without_config_closes_the_connection);
    tcase_add_loop_test(tc, invalid_hello_closes_the_connection, 0,
                        G_N_ELEMENTS(invalid_hellos));
    tcase_add_test(tc, peer_queue_is_bounded);
    tcase_add_test(tc, restarted_peer_is_reconnected);
    return Fw_Suite_Run(tc);
}
