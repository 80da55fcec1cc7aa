#include "core/pack_scan.h"

/* The format's type bytes (msgpack specification). */
#define FW_FIXMAP 0x80
#define FW_FIXARRAY 0x90
#define FW_FIXSTR 0xa0
#define FW_NIL 0xc0
#define FW_NEGATIVE 0xe0

/** enum token_kind - what follows a type byte. */
enum token_kind {
    FW_TOKEN_PLAIN, /* @size bytes of value */
    FW_TOKEN_TEXT,  /* a length of @size bytes, then that many bytes */
    FW_TOKEN_ARRAY, /* a count of @size bytes */
    FW_TOKEN_MAP,
    FW_TOKEN_BAD, /* unused here, or an extension */
};

/** struct token - of the type bytes 0xc0 to 0xdf. */
struct token {
    enum token_kind kind;
    uint8_t size;
};

static const struct token tokens[0x20] = {
    {FW_TOKEN_PLAIN, 0}, {FW_TOKEN_BAD, 0},   {FW_TOKEN_PLAIN, 0},
    {FW_TOKEN_PLAIN, 0}, {FW_TOKEN_TEXT, 1},  {FW_TOKEN_TEXT, 2},
    {FW_TOKEN_TEXT, 4},  {FW_TOKEN_BAD, 0},   {FW_TOKEN_BAD, 0},
    {FW_TOKEN_BAD, 0},   {FW_TOKEN_PLAIN, 4}, {FW_TOKEN_PLAIN, 8},
    {FW_TOKEN_PLAIN, 1}, {FW_TOKEN_PLAIN, 2}, {FW_TOKEN_PLAIN, 4},
    {FW_TOKEN_PLAIN, 8}, {FW_TOKEN_PLAIN, 1}, {FW_TOKEN_PLAIN, 2},
    {FW_TOKEN_PLAIN, 4}, {FW_TOKEN_PLAIN, 8}, {FW_TOKEN_BAD, 0},
    {FW_TOKEN_BAD, 0},   {FW_TOKEN_BAD, 0},   {FW_TOKEN_BAD, 0},
    {FW_TOKEN_BAD, 0},   {FW_TOKEN_TEXT, 1},  {FW_TOKEN_TEXT, 2},
    {FW_TOKEN_TEXT, 4},  {FW_TOKEN_ARRAY, 2}, {FW_TOKEN_ARRAY, 4},
    {FW_TOKEN_MAP, 2},   {FW_TOKEN_MAP, 4},
};

/** struct step - one token: bytes it takes, elements it claims. */
struct step {
    size_t bytes;
    uint64_t claims;
};

static uint64_t
big_endian(const uint8_t *at, size_t n)
{
    uint64_t v = 0;

    while (n-- > 0) {
        v = v << 8 | *at++;
    }
    return v;
}

/* Types whose count is in the type byte itself. */
static struct step
short_step(uint8_t type)
{
    struct step s = {.bytes = 1};

    if (type >= FW_FIXSTR && type < FW_NIL) {
        s.bytes += type & 0x1f;
    }
    else if (type >= FW_FIXARRAY && type < FW_FIXSTR) {
        s.claims = type & 0x0f;
    }
    else if (type >= FW_FIXMAP && type < FW_FIXARRAY) {
        s.claims = 2ULL * (type & 0x0f);
    }
    return s;
}

/* Return: 0, or -1 for a type that is not taken or a cut one. */
static int
long_step(const uint8_t *at, size_t left, struct step *s)
{
    const struct token *t = &tokens[at[0] - FW_NIL];
    uint64_t n;

    if (t->kind == FW_TOKEN_BAD || left < 1U + t->size) {
        return -1;
    }
    n = big_endian(at + 1, t->size);
    s->bytes = 1U + t->size + (t->kind == FW_TOKEN_TEXT ? n : 0);
    s->claims = t->kind == FW_TOKEN_ARRAY ? n
                : t->kind == FW_TOKEN_MAP ? 2 * n
                                          : 0;
    return 0;
}

int
Fw_PackScan_IsSane(const uint8_t *data, size_t len)
{
    uint64_t claims = 0;
    size_t at = 0;

    while (at < len) {
        struct step s = short_step(data[at]);

        if (data[at] >= FW_NIL && data[at] < FW_NEGATIVE &&
            long_step(data + at, len - at, &s)) {
            return 0;
        }
        claims += s.claims;
        if (s.bytes > len - at || claims > len) {
            return 0;
        }
        at += s.bytes;
    }
    return 1;
}
