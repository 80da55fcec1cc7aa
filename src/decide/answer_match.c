#include "decide/answer_match.h"

#include <string.h>

enum fw_answer_match
Fw_Answer_Match(const char *asked, const char *id, size_t len)
{
    if (!id || !len) {
        return asked[0] ? FW_ANSWER_UNIDENTIFIED : FW_ANSWER_OURS;
    }
    return len == strlen(asked) && memcmp(id, asked, len) == 0
               ? FW_ANSWER_OURS
               : FW_ANSWER_OF_OTHER;
}
