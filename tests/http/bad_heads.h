/*
 * Malformed or ambiguous heads of requests, as used for request smuggling.
 * Each listening port must reject all of them.
 */
#ifndef FW_TESTS_BAD_HEADS_H
#define FW_TESTS_BAD_HEADS_H

/* The required field, so that only the tested defect causes a rejection. */
#define FW_HOST_FIELD "Host: a.example\r\n"
#define FW_BAD_HEADS_COUNT 44

extern const char *const fw_bad_heads[FW_BAD_HEADS_COUNT];

#endif
