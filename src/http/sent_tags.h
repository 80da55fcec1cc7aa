/*
 * Which requests a connection to an upstream has carried. An upstream may send
 * an answer twice, the second time when it should answer the next request; the
 * id in it identifies the request, unless both have the same one.
 */
#ifndef FW_HTTP_SENT_TAGS_H
#define FW_HTTP_SENT_TAGS_H

#include <stdint.h>

/* Requests that a connection remembers. */
#define FW_SENT_TAGS_MAX 16

/**
 * struct fw_sent_tags - the requests that a connection has carried.
 * @tags: of the newest, a ring; 0 for a request without an id
 * @n: requests so far
 * @has_untagged: one of them had no id
 */
struct fw_sent_tags {
    uint64_t tags[FW_SENT_TAGS_MAX];
    unsigned n;
    int has_untagged;
};

/* @tag: hash of the request's id, 0 if it has none */
void
Fw_SentTags_Add(struct fw_sent_tags *t, uint64_t tag);
/* Whether the connection has carried a request without an id. */
int
Fw_SentTags_HasUntagged(const struct fw_sent_tags *t);
/*
 * Whether a copy of an answer that came on the connection differs from the
 * answer to a request with this id. Without an id, that holds only for the
 * next request after one with an id.
 */
int
Fw_SentTags_MayAdd(const struct fw_sent_tags *t, uint64_t tag);

#endif
