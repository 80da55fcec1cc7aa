/*
 * Doubtful heads of requests: two readers could see two different messages
 * in them. Every port must refuse each of them.
 */
#ifndef FW_TESTS_BAD_HEADS_H
#define FW_TESTS_BAD_HEADS_H

/* A good field, to keep the doubt where it is meant. */
#define FW_H "Host: a.example\r\n"
#define FW_BAD_HEADS 44

extern const char *const fw_bad_heads[FW_BAD_HEADS];

#endif
