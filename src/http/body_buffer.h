/* The body of a request while it is received, charged in full from the start.
 */
#ifndef FW_HTTP_BODY_BUFFER_H
#define FW_HTTP_BODY_BUFFER_H

#include "held/held.h"

/**
 * struct fw_body_buffer - @len of @size bytes are received.
 * @expected: length of the body, 0 if unknown
 * @charged: at least @size, and @expected
 */
struct fw_body_buffer {
    struct fw_held_account *account;
    char *data;
    size_t len;
    size_t size;
    size_t expected;
    size_t charged;
};

/*
 * Begins a body of @expected bytes, 0 if unknown. @account must outlive the
 * buffer. Return: without FW_HELD_ADMITTED nothing has been charged.
 */
enum fw_held_admission
Fw_BodyBuffer_Begin(struct fw_body_buffer *b, struct fw_held_account *account,
                    size_t expected);
/* Return: without FW_HELD_ADMITTED nothing has been appended. */
enum fw_held_admission
Fw_BodyBuffer_Append(struct fw_body_buffer *b, const char *part, size_t len);
/* Returns the body, which keeps its charge, and empties the buffer. */
GBytes *
Fw_BodyBuffer_Take(struct fw_body_buffer *b);
void
Fw_BodyBuffer_Clear(struct fw_body_buffer *b);

#endif
