#include "http/body_buffer.h"

#include <string.h>

/*
 * First memory of a body. It doubles until the body is received, at most by
 * the last of these: a body of unknown length must not be rejected because of
 * memory that it doesn't need.
 */
#define FW_BODY_MIN_BYTES 1024
#define FW_BODY_STEP_MAX_BYTES (1024 * 1024)
/* The same for a body that names its length. */
#define FW_BODY_FIRST_BYTES (64 * 1024)

enum fw_held_admission
Fw_BodyBuffer_Begin(struct fw_body_buffer *b, struct fw_held_account *account,
                    size_t expected)
{
    enum fw_held_admission admission = Fw_HeldAccount_Admit(account, expected);

    *b = (struct fw_body_buffer){.account = account, .expected = expected};
    if (admission == FW_HELD_ADMITTED) {
        Fw_HeldAccount_Set(account, FW_HELD_BODY, &b->charged, expected);
    }
    return admission;
}

/* The memory that a body of at least @len bytes gets. */
static size_t
size_for(const struct fw_body_buffer *b, size_t len)
{
    size_t size = b->expected ? FW_BODY_FIRST_BYTES : FW_BODY_MIN_BYTES;

    size = MAX(size, b->size);
    while (size < len) {
        size += MIN(size, FW_BODY_STEP_MAX_BYTES);
    }
    return b->expected >= len ? MIN(size, b->expected) : size;
}

enum fw_held_admission
Fw_BodyBuffer_Append(struct fw_body_buffer *b, const char *part, size_t len)
{
    size_t size = size_for(b, b->len + len);

    if (size > b->charged) {
        enum fw_held_admission admission =
            Fw_HeldAccount_Admit(b->account, size - b->charged);

        if (admission != FW_HELD_ADMITTED) {
            return admission;
        }
        Fw_HeldAccount_Set(b->account, FW_HELD_BODY, &b->charged, size);
    }
    if (size != b->size) {
        b->data = g_realloc(b->data, size);
        b->size = size;
    }
    memcpy(b->data + b->len, part, len);
    b->len += len;
    return FW_HELD_ADMITTED;
}

GBytes *
Fw_BodyBuffer_Take(struct fw_body_buffer *b)
{
    GBytes *body;

    if (b->len < b->size) {
        b->data = g_realloc(b->data, b->len);
    }
    Fw_HeldAccount_Set(b->account, FW_HELD_BODY, &b->charged, b->len);
    body = b->len ? Fw_HeldAccount_TakeBytes(b->account, FW_HELD_BODY, b->data,
                                             b->len, b->len)
                  : g_bytes_new(NULL, 0);
    *b = (struct fw_body_buffer){0};
    return body;
}

void
Fw_BodyBuffer_Clear(struct fw_body_buffer *b)
{
    Fw_HeldAccount_Set(b->account, FW_HELD_BODY, &b->charged, 0);
    g_free(b->data);
    *b = (struct fw_body_buffer){0};
}
