#include "core/pack_scan.h"

/* First type bytes of ranges, from the msgpack specification. */
#define FW_FIXMAP_MIN 0x80
#define FW_FIXARRAY_MIN 0x90
#define FW_FIXSTR_MIN 0xa0
#define FW_NIL_TYPE 0xc0
#define FW_NEGATIVE_FIXINT 0xe0

/** enum element_kind - what follows the type byte. */
enum element_kind {
    FW_ELEMENT_SCALAR,  /* a value of @size bytes */
    FW_ELEMENT_BYTES,   /* a length of @size bytes, then the data */
    FW_ELEMENT_ARRAY,   /* an element count of @size bytes */
    FW_ELEMENT_MAP,     /* a count of pairs of @size bytes */
    FW_ELEMENT_INVALID, /* reserved, or an extension type */
};

/** struct element_type - layout of an element with a type of 0xc0 to 0xdf. */
struct element_type {
    enum element_kind kind;
    uint8_t size;
};

static const struct element_type element_types[0x20] = {
    {FW_ELEMENT_SCALAR, 0},  {FW_ELEMENT_INVALID, 0}, {FW_ELEMENT_SCALAR, 0},
    {FW_ELEMENT_SCALAR, 0},  {FW_ELEMENT_BYTES, 1},   {FW_ELEMENT_BYTES, 2},
    {FW_ELEMENT_BYTES, 4},   {FW_ELEMENT_INVALID, 0}, {FW_ELEMENT_INVALID, 0},
    {FW_ELEMENT_INVALID, 0}, {FW_ELEMENT_SCALAR, 4},  {FW_ELEMENT_SCALAR, 8},
    {FW_ELEMENT_SCALAR, 1},  {FW_ELEMENT_SCALAR, 2},  {FW_ELEMENT_SCALAR, 4},
    {FW_ELEMENT_SCALAR, 8},  {FW_ELEMENT_SCALAR, 1},  {FW_ELEMENT_SCALAR, 2},
    {FW_ELEMENT_SCALAR, 4},  {FW_ELEMENT_SCALAR, 8},  {FW_ELEMENT_INVALID, 0},
    {FW_ELEMENT_INVALID, 0}, {FW_ELEMENT_INVALID, 0}, {FW_ELEMENT_INVALID, 0},
    {FW_ELEMENT_INVALID, 0}, {FW_ELEMENT_BYTES, 1},   {FW_ELEMENT_BYTES, 2},
    {FW_ELEMENT_BYTES, 4},   {FW_ELEMENT_ARRAY, 2},   {FW_ELEMENT_ARRAY, 4},
    {FW_ELEMENT_MAP, 2},     {FW_ELEMENT_MAP, 4},
};

/** struct element - bytes of an element, and child elements it declares. */
struct element {
    size_t bytes;
    uint64_t declared;
};

static uint64_t
read_big_endian(const uint8_t *at, size_t n)
{
    uint64_t v = 0;

    while (n-- > 0) {
        v = v << 8 | *at++;
    }
    return v;
}

/* Reads an element of a fix* type, which has its length in the type byte. */
static struct element
read_short_header(uint8_t type)
{
    struct element s = {.bytes = 1};

    if (type >= FW_FIXSTR_MIN && type < FW_NIL_TYPE) {
        s.bytes += type & 0x1f;
    }
    else if (type >= FW_FIXARRAY_MIN && type < FW_FIXSTR_MIN) {
        s.declared = type & 0x0f;
    }
    else if (type >= FW_FIXMAP_MIN && type < FW_FIXARRAY_MIN) {
        s.declared = 2ULL * (type & 0x0f);
    }
    return s;
}

/* Return: 0, or -1 when the type is invalid or the header is truncated. */
static int
read_long_header(const uint8_t *at, size_t remaining, struct element *s)
{
    const struct element_type *t = &element_types[at[0] - FW_NIL_TYPE];
    uint64_t n;

    if (t->kind == FW_ELEMENT_INVALID || remaining < 1U + t->size) {
        return -1;
    }
    n = read_big_endian(at + 1, t->size);
    s->bytes = 1U + t->size + (t->kind == FW_ELEMENT_BYTES ? n : 0);
    s->declared = t->kind == FW_ELEMENT_ARRAY ? n
                  : t->kind == FW_ELEMENT_MAP ? 2 * n
                                              : 0;
    return 0;
}

int
Fw_PackScan_IsSane(const uint8_t *data, size_t len)
{
    uint64_t declared = 0;
    size_t at = 0;

    while (at < len) {
        struct element s = read_short_header(data[at]);

        if (data[at] >= FW_NIL_TYPE && data[at] < FW_NEGATIVE_FIXINT &&
            read_long_header(data + at, len - at, &s)) {
            return 0;
        }
        declared += s.declared;
        if (s.bytes > len - at || declared > len) {
            return 0;
        }
        at += s.bytes;
    }
    return 1;
}
