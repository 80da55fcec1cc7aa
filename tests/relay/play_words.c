/* Words of a script's line. */
#include <check.h>
#include <string.h>

#include "tests/relay/play.h"

const char *
Fw_Play_Text(const struct play *p, const char *key)
{
    size_t len = strlen(key);

    for (int i = 1; i < p->n; i++) {
        if (strncmp(p->word[i], key, len) == 0 && p->word[i][len] == '=') {
            return p->word[i] + len + 1;
        }
    }
    return NULL;
}

int64_t
Fw_Play_Number(const struct play *p, const char *key, int64_t fallback)
{
    const char *t = Fw_Play_Text(p, key);

    return t ? g_ascii_strtoll(t, NULL, 10) : fallback;
}

int
Fw_Play_Has(const struct play *p, const char *word)
{
    for (int i = 1; i < p->n; i++) {
        if (strcmp(p->word[i], word) == 0) {
            return 1;
        }
    }
    return 0;
}

uint64_t
Fw_Play_Arg(const struct play *p, int i)
{
    ck_assert_int_lt(i, p->n);
    return g_ascii_strtoull(p->word[i], NULL, 10);
}
