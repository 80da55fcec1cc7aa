/* Whether an answer on a connection is the one to the request sent there. */
#ifndef FW_DECIDE_ANSWER_MATCH_H
#define FW_DECIDE_ANSWER_MATCH_H

#include <stddef.h>

/**
 * enum fw_answer_match - whose an answer is.
 * @FW_ANSWER_OURS: to the request
 * @FW_ANSWER_OF_OTHER: to another request
 * @FW_ANSWER_UNIDENTIFIED: it bears no id, though the request does
 */
enum fw_answer_match {
    FW_ANSWER_OURS,
    FW_ANSWER_OF_OTHER,
    FW_ANSWER_UNIDENTIFIED,
};

/**
 * Fw_Answer_Match - compares the ids of a request and of an answer.
 * @asked: the request's, empty if it has none
 * @id: the answer's, NULL if it has none; not null-terminated
 * @len: bytes of @id
 */
enum fw_answer_match
Fw_Answer_Match(const char *asked, const char *id, size_t len);

#endif
