/* Arguments of a script's commands. */
#include <check.h>
#include <string.h>

#include "tests/relay/script_internal.h"

const char *
Fw_RelayScript_GetString(const struct relay_script_run *run, const char *key)
{
    size_t len = strlen(key);

    for (int i = 1; i < run->n; i++) {
        if (strncmp(run->word[i], key, len) == 0 && run->word[i][len] == '=') {
            return run->word[i] + len + 1;
        }
    }
    return NULL;
}

int64_t
Fw_RelayScript_GetNumber(const struct relay_script_run *run, const char *key,
                         int64_t fallback)
{
    const char *value = Fw_RelayScript_GetString(run, key);

    return value ? g_ascii_strtoll(value, NULL, 10) : fallback;
}

int
Fw_RelayScript_HasWord(const struct relay_script_run *run, const char *word)
{
    for (int i = 1; i < run->n; i++) {
        if (strcmp(run->word[i], word) == 0) {
            return 1;
        }
    }
    return 0;
}

uint64_t
Fw_RelayScript_GetArg(const struct relay_script_run *run, int i)
{
    ck_assert_int_lt(i, run->n);
    return g_ascii_strtoull(run->word[i], NULL, 10);
}
